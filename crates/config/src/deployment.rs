//! The parsed deployment: one immutable snapshot per version.

use {
    base::{arena::Arena, key},
    derive_more::{Debug, Display},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// One version of the configuration, which takes effect as a whole.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Name of the deployment.
    pub name: Box<str>,
    /// Version; increases with each publication.
    pub version: u64,
    /// SHA-256 of the published value.
    pub digest: [u8; 32],
    /// The published value itself, to send to peers that request it.
    #[debug("{} bytes", value.len())]
    pub value: Box<str>,
    /// Data centres.
    pub data_centres: Arena<key::DataCentre, DataCentre>,
    /// Entry VMs.
    pub vms: Arena<key::Vm, Vm>,
    /// Services.
    pub services: Arena<key::Service, Service>,
    /// Models, adapters and their versions.
    pub models: Arena<key::Model, Model>,
    /// Targets.
    pub targets: Arena<key::Target, Target>,
    /// Customers; shared, since all views of a version have the same ones.
    pub customers: Arc<Arena<key::Customer, Customer>>,
}

/// A data centre.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Its name.
    pub name: Box<str>,
    /// The region that it belongs to.
    pub region: Box<str>,
    /// Bandwidth from the weight store to its engines, in bytes per second.
    pub weight_rate: u64,
}

/// An entry VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub name: Box<str>,
    /// Data centre that it runs in.
    pub data_centre: key::DataCentre,
    /// Address of the inner protocol, for both TCP and UDP.
    pub inner: SocketAddr,
}

/// Type of the targets of a service.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// Engines that generate tokens.
    Model,
    /// Ordinary HTTP servers.
    Plain,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name, which is the first segment of the request path.
    pub name: Box<str>,
    /// Type of its targets.
    pub kind: Kind,
    /// Default deadline of a request, unless its class or the caller sets another one.
    pub deadline: Duration,
    /// Longest wait for a token that does not count as a stall.
    pub pace: Duration,
    /// Retry budget as a share of first attempts, 0 to 1.
    pub retry_share: f64,
    /// Maximum size of a request body in bytes.
    pub body_limit: u64,
    /// Request classes, the default one first; never empty.
    pub classes: Vec<Class>,
    /// Routes of a plain service, of which the first match applies; without a match, only safe
    /// methods are idempotent.
    pub routes: Vec<Route>,
    /// Models that its engines serve.
    pub models: Vec<key::Model>,
}

/// A request class within a service, such as lookups or drafts.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, as sent by callers in `x-class`.
    pub name: Box<str>,
    /// Priority, also sent to engines; higher values go first.
    pub priority: u8,
    /// Default deadline of a request.
    pub deadline: Duration,
    /// Maximum number of output tokens of a request.
    pub max_tokens: u32,
    /// Share of each engine's memory reserved for this class and higher priorities, 0 to 1.
    pub headroom: f64,
}

/// Rule that says whether requests to a path of a plain service may be retried.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// HTTP method that it matches; any if `None`.
    pub method: Option<Box<str>>,
    /// Path prefix that it matches, relative to the service.
    pub path: Box<str>,
    /// Whether a request may be retried.
    pub idempotent: bool,
}

/// A model or an adapter.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name, as sent by callers in `model`.
    pub name: Box<str>,
    /// The version that engines should load.
    pub version: Box<str>,
    /// Base model of an adapter; `None` for a model.
    pub base: Option<key::Model>,
    /// Size of its weights in bytes.
    pub weight: u64,
    /// Minimum number of copies in each data centre that has engines of its service.
    pub copies: u32,
}

/// How a target treats the fencing token of an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses an order with an outdated token.
    Checked,
    /// It ignores the token.
    Ignored,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name, as in the platform's list of VMs.
    pub name: Box<str>,
    /// The service that it belongs to.
    pub service: key::Service,
    /// Data centre that it runs in.
    pub data_centre: key::DataCentre,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// How it treats fencing tokens.
    pub fencing: Fencing,
    /// Capacity of its KV cache in tokens; 0 for a plain service.
    pub memory_tokens: u64,
    /// Memory for model weights in bytes; 0 for a plain service.
    pub weights: u64,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: Box<str>,
    /// SHA-256 of its API key.
    #[debug("redacted")]
    pub key_sha256: [u8; 32],
    /// Weight in fair queueing, relative to other customers.
    pub weight: u32,
    /// Maximum requests per second over all entry VMs; unlimited if `None`.
    pub rate: Option<f64>,
    /// Maximum concurrent requests over all entry VMs; unlimited if `None`.
    pub concurrency: Option<u32>,
}

impl Service {
    /// Returns the index of the named class; without a name, that of the default class.
    pub fn class(&self, name: Option<&str>) -> Option<usize> {
        let Some(name) = name else { return Some(0) };
        self.classes.iter().position(|class| &*class.name == name)
    }

    /// Returns whether a request may be retried.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matched = self.routes.iter().find(|route| {
            route
                .method
                .as_deref()
                .is_none_or(|expected| expected == method)
                && path.starts_with(&*route.path)
        });
        match matched {
            Some(route) => route.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS"),
        }
    }
}
