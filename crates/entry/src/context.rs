//! State shared by all tasks of the process.

use {
    crate::{
        configuration::Configuration, deployment::Deployment, drain::Drain, gossip::Gossip,
        metrics::Metrics, observed::Probes, orders::Orders, owner::Registry, router::Router,
        runtime::Runtime, session::Sessions,
    },
    arc_swap::ArcSwap,
    base::{Clock, Instant, key},
    config::{Settings, Snapshot},
    derive_more::Debug,
    std::sync::Arc,
};

/// Identity of this process within the deployment.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub name: Box<str>,
    /// Key of the VM.
    pub vm: key::Vm,
    /// Key of the VM's data centre.
    pub data_centre: key::DataCentre,
    /// Number of this run of the process; each restart has a higher one.
    pub incarnation: u64,
}

/// The shared state of one entry VM's process.
#[derive(Debug)]
pub struct Context {
    /// Clock that drives all state machines.
    pub clock: Arc<dyn Clock>,
    /// Process settings.
    pub settings: Settings,
    /// Identity of this process.
    pub identity: Identity,
    /// Secret key of the deployment, which authenticates messages, tickets and tokens.
    #[debug("redacted")]
    pub key: Box<[u8]>,
    /// Configuration in force; version 0 until the first one is installed.
    pub deployment: ArcSwap<Deployment>,
    /// Distribution of newer configurations.
    pub configuration: Configuration,
    /// Membership of the entry VMs.
    pub gossip: Gossip,
    /// Placement and its orders to engines.
    pub orders: Orders,
    /// Admission and target selection.
    pub router: Router,
    /// Last probe results of the targets.
    pub probes: Probes,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Registry of at-most-once calls.
    pub registry: Registry,
    /// Streams of this process.
    pub sessions: Sessions,
    /// Work in flight and the planned stop.
    pub drain: Drain,
    /// Executor of all tasks.
    pub runtime: Runtime,
}

impl Context {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the configuration snapshot in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.deployment.load().snapshot)
    }

    /// Returns whether the load balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_ready() && !self.drain.is_leaving()
    }

    /// Spawns a detached task, which runs until it ends or the process does.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task).detach();
    }
}
