//! What every part of the process works with.

use {
    crate::{
        control::{current::Current, drain::Drain, fleet::Fleet, reports},
        metrics::Metrics,
        targets::{client::Client, directory::Directory, dispatcher::Dispatcher},
    },
    arc_swap::ArcSwap,
    base::{Clock, Instant},
    config::Gateway,
    entry::runtime::Runtime,
    std::sync::Arc,
};

/// The parts of one process; each one stands alone and knows none of the others.
#[derive(Debug)]
pub struct Shared {
    /// Settings, as last read.
    pub settings: ArcSwap<Gateway>,
    /// The process's clock.
    pub clock: Arc<dyn Clock>,
    /// Runs the tasks.
    pub runtime: Runtime,
    /// The configuration in force.
    pub current: Current,
    /// The known targets.
    pub directory: Directory,
    /// Work in progress and where new work goes.
    pub dispatcher: Dispatcher,
    /// The other VMs.
    pub fleet: Fleet,
    /// Requests in progress, and whether the process is stopping.
    pub drain: Arc<Drain>,
    /// Connections to targets and the store.
    pub client: Client,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl Shared {
    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Takes the work of the peers into account, if any has reported since the last time.
    pub fn refresh_peers(&self) {
        if !self.fleet.take_changed() {
            return;
        }
        let now = self.now();
        let peers = self.fleet.peers();
        let local_data_centre = (peers.live(now).count() >= reports::MAX_FULL_MESH_VMS)
            .then(|| self.fleet.data_centre());
        self.dispatcher.update_peers(&peers, local_data_centre, now);
    }

    /// Returns whether new connections may come: configured, with a list of targets, not stopping.
    pub fn is_ready(&self) -> bool {
        !self.drain.is_draining() && self.current.load().is_some() && self.directory.has_list()
    }
}
