//! One version of the operator's configuration, indexed for looking up routes and customers.

use {
    base::key,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// How a request may be retried once a target may have executed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// May be executed more than once.
    Idempotent,
    /// Must not be executed again.
    AtMostOnce,
    /// A stream that may be resumed on another target after the last delivered event.
    Resumable,
}

/// One of the services among which a route splits its requests.
#[derive(Clone, Debug)]
pub struct Share {
    /// Key of the service.
    pub service: key::Service,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route: rules for requests to one host below one path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Host that requests are addressed to.
    pub host: Box<str>,
    /// Prefix of the paths; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Whether requests may be executed again once a target may have executed them.
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Time after which a request fails.
    pub timeout: Duration,
    /// Time to the response, or to the first event of a stream, that counts as on time.
    pub latency_objective: Duration,
    /// Rank among routes; requests of 0 are served first.
    pub priority: u32,
    /// Services among which requests are split by weight.
    pub shares: Vec<Share>,
    /// Maximum number of targets that may execute one request.
    pub max_attempts: u32,
    /// Whether requests need no customer's API key.
    pub is_public: bool,
    /// Longest gap between two events of a stream that counts as on time.
    pub gap_objective: Option<Duration>,
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that an engine runs in one batch.
    pub slots: u32,
    /// Capacity of the KV cache, which holds prompts and outputs, in tokens.
    pub kv_capacity: u32,
    /// Whether running requests can be migrated to another engine.
    pub supports_migration: bool,
    /// Whether the KV cache of a running request can be copied to another engine as it grows.
    pub supports_backup: bool,
    /// Number of tokens that each event of a stream carries.
    pub tokens_per_event: u32,
    /// Time that the link of an engine takes for one token of a run's KV cache, in milliseconds; 0 if
    /// it is not known.
    pub copy_ms_per_token: f64,
}

/// How the targets of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold target takes from all VMs together.
    pub rate: f64,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, for logs and metrics.
    pub name: Box<str>,
    /// Properties of its targets if they are engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// How its targets warm up; `None` if they take all requests at once.
    pub cold_start: Option<ColdStart>,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Size limit of a request's head.
    pub max_header_bytes: usize,
    /// Size limit of a request's body.
    pub max_body_bytes: usize,
    /// Longest time from the first to the last byte of a request's head.
    pub header_timeout: Duration,
    /// Longest time between two requests on a keep-alive connection.
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

/// A customer whose requests are authenticated by API keys.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name that is sent to targets.
    pub name: Box<str>,
    /// API keys, one of which each request carries.
    pub api_keys: Vec<Box<str>>,
}

/// One version of the configuration, looked up by host and path or by API key.
#[derive(Debug, Default)]
pub struct Configuration {
    version: u64,
    limits: Limits,
    routes: Vec<Arc<Route>>,
    services: HashMap<key::Service, Service>,
    customers: Vec<Customer>,
    /// Indexes of the routes of each host, the longest path prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    /// Index of the customer of each API key.
    by_api_key: HashMap<Box<str>, usize>,
}

impl Configuration {
    /// Builds the lookup tables of one version.
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
        let by_api_key = keys
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
            by_api_key,
        }
    }

    /// Returns the version number, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what clients may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the properties of a service.
    pub fn service(&self, service: key::Service) -> Option<&Service> {
        self.services.get(&service)
    }

    /// Returns how the targets of a service warm up; `None` if they take all requests at once.
    pub fn cold_start(&self, service: key::Service) -> Option<ColdStart> {
        self.services.get(&service)?.cold_start
    }

    /// Returns whether the targets of any service have to warm up.
    pub fn has_cold_starts(&self) -> bool {
        let mut services = self.services.values();
        services.any(|service| service.cold_start.is_some())
    }

    /// Finds the route of a request: the one of its host with the longest matching path prefix.
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

    /// Returns whether there are customers, so that requests of private routes need an API key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Finds the customer of an API key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_api_key
            .get(key)
            .map(|&index| &self.customers[index])
    }
}

impl Route {
    /// Picks a service by weight; `sample` is uniformly distributed between 0 and 1.
    pub fn pick_service(&self, sample: f64) -> Option<key::Service> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = sample * f64::from(total);
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(share.service);
            }
        }
        self.shares
            .iter()
            .rfind(|share| share.weight > 0)
            .map(|share| share.service)
    }
}
