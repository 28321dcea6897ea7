//! One request of a caller, on its way through the process.

use {
    crate::{Context, deployment::Deployment},
    base::{Instant, key},
    rand::Rng,
    std::{sync::Arc, time::Duration},
};

/// Who asked, for what, and until when.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Request id, unique over all VMs.
    pub id: Box<str>,
    /// Key of the id.
    pub key: key::Request,
    /// The customer.
    pub customer: key::Customer,
    /// The service.
    pub service: key::Service,
    /// When the request began.
    pub began: Instant,
    /// When the answer is due.
    pub deadline: Instant,
    /// What the caller itself allows.
    limit: Option<Duration>,
    /// The configuration that the request began under.
    pub deployment: Arc<Deployment>,
}

impl Exchange {
    /// Begins a request with a new id; it is due at the service's deadline.
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
        let began = context.now();
        Self {
            key: key::Request::of(&id),
            id,
            customer,
            service,
            began,
            deadline: began + limit,
            limit: None,
            deployment,
        }
    }

    /// Brings the deadline forward; a later one is ignored.
    pub fn shorten(&mut self, limit: Duration) {
        self.limit = Some(limit);
        self.deadline = self.deadline.min(self.began + limit);
    }

    /// Returns the request with the deadline of its class in place of the service's.
    #[must_use]
    pub fn of_class(&self, class: usize) -> Self {
        let mut exchange = self.clone();
        let class = self
            .service()
            .and_then(|service| service.classes.get(class));
        if let Some(class) = class {
            let limit = self.limit.unwrap_or(class.deadline);
            exchange.deadline = self.began + limit.min(class.deadline);
        }
        exchange
    }

    /// Returns the time left.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the service's settings.
    pub fn service(&self) -> Option<&config::deployment::Service> {
        self.deployment.snapshot.services.get(self.service)
    }

    /// Returns the service's name, for logs and metrics.
    pub fn service_name(&self) -> &str {
        self.service().map_or("", |service| &service.name)
    }

    /// Returns the configuration version that the request began under.
    pub fn version(&self) -> u64 {
        self.deployment.snapshot.version
    }
}

/// Makes a request id.
pub fn new_id() -> Box<str> {
    let bits: u128 = rand::rng().random();
    format!("r-{bits:032x}").into()
}
