//! The context of one caller's request: identity, customer, service, deadline and configuration.

use {
    crate::{Context, deployment::Deployment},
    base::{Instant, key},
    rand::Rng,
    std::{sync::Arc, time::Duration},
};

/// A request in progress: who sent it, to which service, and by when it must be answered.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Request id, unique across all VMs.
    pub id: Box<str>,
    /// Key derived from the id.
    pub key: key::Request,
    /// Customer that sent the request.
    pub customer: key::Customer,
    /// Service that the request is for.
    pub service: key::Service,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Time limit that the caller asked for.
    caller_limit: Option<Duration>,
    /// Configuration in force when the request arrived, used until the request ends.
    pub deployment: Arc<Deployment>,
}

impl Exchange {
    /// Creates a request with a new id and the service's deadline.
    pub fn new(
        context: &Context,
        deployment: Arc<Deployment>,
        customer: key::Customer,
        service: key::Service,
    ) -> Self {
        let limit = deployment
            .snapshot
            .services
            .get(service)
            .map_or(config::parse::DEFAULT_DEADLINE, |service| service.deadline);
        let id = new_id();
        let arrived = context.now();
        Self {
            key: key::Request::of(&id),
            id,
            customer,
            service,
            arrived,
            deadline: arrived + limit,
            caller_limit: None,
            deployment,
        }
    }

    /// Applies a caller's time limit, which never extends the deadline.
    pub fn limit_deadline(&mut self, limit: Duration) {
        self.caller_limit = Some(limit);
        self.deadline = self.deadline.min(self.arrived + limit);
    }

    /// Returns the request with the deadline of a class in place of the service's.
    ///
    /// The caller's time limit still applies.
    #[must_use]
    pub fn with_class(&self, class: usize) -> Self {
        let mut exchange = self.clone();
        let class = self
            .service()
            .and_then(|service| service.classes.get(class));
        if let Some(class) = class {
            let limit = self.caller_limit.unwrap_or(class.deadline);
            exchange.deadline = self.arrived + limit.min(class.deadline);
        }
        exchange
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the service's configuration.
    pub fn service(&self) -> Option<&config::deployment::Service> {
        self.deployment.snapshot.services.get(self.service)
    }

    /// Returns the service's name, for logs and metrics.
    pub fn service_name(&self) -> &str {
        self.service().map_or("", |service| &service.name)
    }

    /// Returns the version of the request's configuration.
    pub fn version(&self) -> u64 {
        self.deployment.snapshot.version
    }
}

/// Creates a random request id.
pub fn new_id() -> Box<str> {
    let bits: u128 = rand::rng().random();
    format!("r-{bits:032x}").into()
}
