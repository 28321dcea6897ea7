//! What every part of the process shares.

use {
    crate::{
        configuration::Configuration, deployment::Deployment, drain::Drain, gossip::Gossip,
        metrics::Metrics, observed::Observed, orders::Orders, owner::Owner, router::Router,
        runtime::Runtime, session::Sessions,
    },
    arc_swap::ArcSwap,
    base::{Clock, Instant, key},
    config::{Settings, Snapshot},
    derive_more::Debug,
    std::sync::Arc,
};

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub name: Box<str>,
    /// Key of the VM.
    pub vm: key::Vm,
    /// Key of its data centre.
    pub data_centre: key::DataCentre,
    /// Number of this run of the process; a later run has a higher one.
    pub incarnation: u64,
}

/// The shared state of one entry VM's process.
#[derive(Debug)]
pub struct Context {
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Process settings.
    pub settings: Settings,
    /// Who this process is.
    pub identity: Identity,
    /// The deployment's key.
    #[debug("redacted")]
    pub key: Box<[u8]>,
    /// The configuration in force; version 0 before one is known.
    pub deployment: ArcSwap<Deployment>,
    /// The search for newer configurations.
    pub configuration: Configuration,
    /// The other entry VMs.
    pub gossip: Gossip,
    /// Orders to engines.
    pub orders: Orders,
    /// Admission and choice of targets.
    pub router: Router,
    /// What was last seen of the targets.
    pub observed: Observed,
    /// Metrics.
    pub metrics: Metrics,
    /// Calls that run at most once.
    pub owner: Owner,
    /// Streams that this process carries.
    pub sessions: Sessions,
    /// Requests in flight and the planned stop.
    pub drain: Drain,
    /// The executor.
    pub runtime: Runtime,
}

impl Context {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.deployment.load().snapshot)
    }

    /// Returns whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_ready() && !self.drain.is_leaving()
    }

    /// Runs a task until its end or that of the process.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task).detach();
    }
}
