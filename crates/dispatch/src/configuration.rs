//! One version of the operator's configuration, with the indexes that requests are looked up in.

use {
    base::key,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// What may be done with a request whose fate is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Idempotent: it may run again.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream that may go on elsewhere after its last event.
    Resumable,
}

/// One service that a route sends requests to.
#[derive(Clone, Debug)]
pub struct Share {
    /// The service.
    pub service: key::Service,
    /// Its part of the route's requests, relative to the other shares.
    pub weight: u32,
}

/// A route: requests of one host below one path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Host of its requests.
    pub host: Box<str>,
    /// Prefix of their paths; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time to an answer, for streams to the first event, that earns the full credit.
    pub latency_objective: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// Services with their shares.
    pub shares: Vec<Share>,
    /// Most targets that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no customer key.
    pub is_public: bool,
    /// Longest pause between events that is still on time.
    pub gap_objective: Option<Duration>,
}

/// What is published about the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub kv_capacity: u32,
    /// Whether running requests can be moved to another engine.
    pub supports_migration: bool,
    /// Whether the memory of running requests can be copied to another engine as it grows.
    pub supports_backup: bool,
    /// Tokens of one event.
    pub tokens_per_event: u32,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Present if its targets are model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what clients may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time between the first and the last byte of a head.
    pub header_timeout: Duration,
    /// Longest time between two requests of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name, as targets get it.
    pub name: Box<str>,
    /// Keys that its requests carry.
    pub api_keys: Vec<Box<str>>,
}

/// One version of the configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    version: u64,
    limits: Limits,
    routes: Vec<Arc<Route>>,
    services: HashMap<key::Service, Service>,
    customers: Vec<Customer>,
    /// Routes of each host, the longest prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    by_key: HashMap<Box<str>, usize>,
}

impl Configuration {
    /// Indexes a version.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Vec<Customer>,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(routes[index].path_prefix.len()));
        }
        let keys = customers.iter().enumerate();
        let by_key = keys
            .flat_map(|(index, customer)| {
                customer
                    .api_keys
                    .iter()
                    .map(move |key| (key.clone(), index))
            })
            .collect();
        let services = services
            .into_iter()
            .map(|service| (key::Service::of(&service.name), service))
            .collect();
        Self {
            version,
            limits,
            routes: routes.into_iter().map(Arc::new).collect(),
            services,
            customers,
            by_host,
            by_key,
        }
    }

    /// Returns the version; later ones are higher.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on what clients may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a service.
    pub fn service(&self, service: key::Service) -> Option<&Service> {
        self.services.get(&service)
    }

    /// Finds the route of a request: the longest prefix of its host that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indexes = self.by_host.get(host).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.by_host.get(name)
        })?;
        indexes
            .iter()
            .map(|&index| &self.routes[index])
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether requests need a customer's key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Finds the customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_key.get(key).map(|&index| &self.customers[index])
    }
}

impl Route {
    /// Draws a service by the shares; `point` is uniform in 0 to 1.
    pub fn pick_service(&self, point: f64) -> Option<key::Service> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = point * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(share.service);
            }
        }
        self.shares
            .iter()
            .rfind(|share| share.weight > 0)
            .map(|share| share.service)
    }
}
