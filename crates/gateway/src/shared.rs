//! State shared by all tasks of the process.

use {
    crate::{
        clients::buffer::Budget,
        control::{
            confirmation::Confirmation, cordon::Cordon, current::Current, drain::Drain,
            fleet::Fleet, history::History, quarantine::Quarantine, reach::Reach, reports,
            transfer,
        },
        metrics::Metrics,
        targets::{client::Client, directory::Directory, dispatcher::Dispatcher},
        tunnel::Tunnels,
    },
    arc_swap::ArcSwap,
    base::{Clock, Instant},
    config::Gateway,
    dispatch::{Origins, listing::Target},
    entry::runtime::Runtime,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The components of a process; none refers to another, except that the client holds the runtime.
#[derive(Debug)]
pub struct Shared {
    /// Process settings, replaced on reload.
    pub settings: ArcSwap<Gateway>,
    /// Monotonic clock of the process.
    pub clock: Arc<dyn Clock>,
    /// Executor of all tasks.
    pub runtime: Runtime,
    /// Configuration in force.
    pub current: Current,
    /// Data centres that the operator has taken out of service.
    pub cordon: Cordon,
    /// Configurations that are being sent to peers.
    pub sender: transfer::Sender,
    /// Known targets.
    pub directory: Directory,
    /// Request for which targets left before the process started.
    pub history: History,
    /// Requests for a list of targets that is known to be current.
    pub confirmation: Confirmation,
    /// Placement, queueing and retry budgets.
    pub dispatcher: Dispatcher,
    /// State of the other VMs.
    pub fleet: Fleet,
    /// Where the streams began that clients may resume.
    pub origins: Mutex<Origins>,
    /// Which targets this VM reaches by itself.
    pub reach: Reach,
    /// Connections to targets for peers, and through them.
    pub tunnels: Tunnels,
    /// Parts of prompts on which engines crash.
    pub quarantine: Quarantine,
    /// Requests in flight and the state of the drain.
    pub drain: Arc<Drain>,
    /// HTTP client for targets, the store and peers.
    pub client: Client,
    /// Room for the bodies that the process holds.
    pub buffers: Arc<Budget>,
    /// Metric instruments.
    pub metrics: Metrics,
}

impl Shared {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Locks the origins of streams.
    pub fn origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the peers' state to the dispatcher if it has changed since the last call.
    pub fn refresh_peers(&self) {
        if !self.fleet.take_changed() {
            return;
        }
        let now = self.now();
        let peers = self.fleet.peers();
        let local_data_centre = (peers.live(now).count() >= reports::MAX_FULL_MESH_VMS)
            .then(|| self.fleet.data_centre());
        self.dispatcher.update_peers(&peers, local_data_centre, now);
        let configuration = self.current.load();
        if configuration.is_some_and(|current| current.configuration.has_cold_starts()) {
            self.dispatcher.set_known_vms(peers.known(now));
        }
    }

    /// Returns the targets that are warming up, with the time for which they still are.
    pub fn cold_targets(&self) -> Vec<(Target, Duration)> {
        let Some(current) = self.current.load() else {
            return Vec::new();
        };
        if !current.configuration.has_cold_starts() {
            return Vec::new();
        }
        let now = self.now();
        let targets = self.directory.all().into_iter();
        let cold = targets.filter_map(|target| {
            let start = current.configuration.cold_start(target.service)?;
            let remaining = self.dispatcher.cold_remaining(&target, &start, now)?;
            Some((target, remaining))
        });
        cold.collect()
    }

    /// Returns whether the VM reports that it is ready for new connections.
    ///
    /// It needs a configuration, a list of targets and, if data centres may be cordoned, the set of
    /// these, and must not be draining.
    pub fn is_ready(&self) -> bool {
        !self.drain.is_draining()
            && self.current.load().is_some()
            && self.directory.has_list()
            && self.cordon.is_known()
    }
}
