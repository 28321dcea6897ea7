//! The deployment as the system runs it: one immutable snapshot per version.

use {
    base::{arena::Arena, key},
    derive_more::{Debug, Display},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// One configuration version, in force as a whole.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Name of the deployment.
    pub name: Box<str>,
    /// Version; only rises.
    pub version: u64,
    /// SHA-256 of the published value.
    pub digest: [u8; 32],
    /// The published value itself, for peers that ask.
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
    /// Customers; shared, since a view of the same version has the same ones.
    pub customers: Arc<Arena<key::Customer, Customer>>,
}

/// A data centre.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Its name.
    pub name: Box<str>,
    /// The region it lies in.
    pub region: Box<str>,
    /// Bytes a second that the weight store gives to its engines.
    pub weight_rate: u64,
}

/// An entry VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub name: Box<str>,
    /// Where it stands.
    pub data_centre: key::DataCentre,
    /// Address of the inner protocol, both TCP and UDP.
    pub inner: SocketAddr,
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines.
    Model,
    /// Ordinary HTTP processes.
    Plain,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name, the first segment of the caller's path.
    pub name: Box<str>,
    /// What stands behind it.
    pub kind: Kind,
    /// Time to answer in full when neither class nor caller says otherwise.
    pub deadline: Duration,
    /// Longest wait without a token that does not count as a stall.
    pub pace: Duration,
    /// Share of first attempts that may be retried, 0 to 1.
    pub retry_share: f64,
    /// Largest request body in bytes.
    pub body_limit: u64,
    /// Classes of request, the default one first; never empty.
    pub classes: Vec<Class>,
    /// Rules of a plain service, first match wins; a call without a match is not idempotent
    /// unless its method is safe.
    pub routes: Vec<Route>,
    /// Models that the engines of the service serve.
    pub models: Vec<key::Model>,
}

/// A class of request within a service, such as lookups and drafts.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, as callers give it in `x-class`.
    pub name: Box<str>,
    /// Priority, handed to engines too; higher goes first.
    pub priority: u8,
    /// Time to answer in full.
    pub deadline: Duration,
    /// Most output tokens of one request.
    pub max_tokens: u32,
    /// Share of each engine's memory that only this class and higher priorities may use, 0 to 1.
    pub headroom: f64,
}

/// Whether calls to a path of a plain service may be repeated.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// HTTP method; any if `None`.
    pub method: Option<Box<str>>,
    /// Prefix of the path within the service.
    pub path: Box<str>,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// A model, an adapter, or a version of one.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name, as callers give it in `model`.
    pub name: Box<str>,
    /// The version that engines shall hold.
    pub version: Box<str>,
    /// The model that an adapter extends.
    pub base: Option<key::Model>,
    /// Size of its weights in bytes.
    pub weight: u64,
    /// Fewest copies in each data centre that has engines of its service.
    pub copies: u32,
}

/// What a target does with the fencing number of an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses an order with an old number.
    Checked,
    /// It ignores the number.
    Ignored,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name, the same as in the platform's list of VMs.
    pub name: Box<str>,
    /// The service it serves.
    pub service: key::Service,
    /// Where it stands.
    pub data_centre: key::DataCentre,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// What it does with fencing numbers.
    pub fencing: Fencing,
    /// Memory for contexts, in tokens; 0 for a plain service.
    pub memory_tokens: u64,
    /// Weights that it can hold, in bytes; 0 for a plain service.
    pub weights: u64,
    /// Most requests at once.
    pub concurrency: u32,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: Box<str>,
    /// SHA-256 of its key.
    #[debug("redacted")]
    pub key_sha256: [u8; 32],
    /// Share of the queue relative to others.
    pub weight: u32,
    /// Most requests a second over all entry VMs; unlimited if `None`.
    pub rate: Option<f64>,
    /// Most requests at once over all entry VMs; unlimited if `None`.
    pub concurrency: Option<u32>,
}

impl Service {
    /// Returns the class of a name, or the default one.
    pub fn class(&self, name: Option<&str>) -> Option<usize> {
        let Some(name) = name else { return Some(0) };
        self.classes.iter().position(|class| &*class.name == name)
    }

    /// Returns whether a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matching = self.routes.iter().find(|route| {
            route
                .method
                .as_deref()
                .is_none_or(|wanted| wanted == method)
                && path.starts_with(&*route.path)
        });
        match matching {
            Some(route) => route.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS"),
        }
    }
}
