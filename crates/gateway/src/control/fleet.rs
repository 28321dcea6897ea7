//! State of the deployment's other VMs.

use {
    base::Instant,
    derive_more::Debug,
    dispatch::{
        Peers,
        peers::{Candidate, Offer},
        watch::WatchRole,
    },
    smol::{
        Async,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Time for which a VM that failed to read the configuration leaves the watch to others.
const CEDE_DURATION: Duration = Duration::from_secs(3);

/// What is read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// The list of targets.
    Targets,
}

/// The peers' reported state and the socket for reports.
#[derive(Debug)]
pub struct Fleet {
    peers: Mutex<Peers>,
    #[debug(skip)]
    socket: Async<UdpSocket>,
    own_address: SocketAddrV4,
    incarnation: u64,
    sequence: AtomicU64,
    wakeup_sender: Sender<()>,
    wakeup_receiver: Receiver<()>,
    is_store_unreachable: AtomicBool,
    /// When this VM last failed to read the configuration, in microseconds of the clock; 0 if it
    /// has read it since.
    configuration_failure: AtomicU64,
    /// Whether this VM watches the store.
    is_watching: AtomicBool,
    /// When the store last responded about each subject, in microseconds of the clock; 0 if never.
    responses: [AtomicU64; 2],
    /// When this VM last announced that it watches, in microseconds of the clock.
    last_announcement: AtomicU64,
    announce_sender: Sender<()>,
    announce_receiver: Receiver<()>,
    has_changed: AtomicBool,
    data_centre: u64,
    link_mbps: u32,
}

impl Fleet {
    /// Creates the state for a bound socket; `incarnation` is random for each process.
    pub fn new(
        socket: Async<UdpSocket>,
        own_address: SocketAddrV4,
        incarnation: u64,
        data_centre: u64,
        link_mbps: u32,
    ) -> Self {
        let (wakeup_sender, wakeup_receiver) = bounded(1);
        let (announce_sender, announce_receiver) = bounded(1);
        Self {
            peers: Mutex::default(),
            socket,
            own_address,
            incarnation,
            sequence: AtomicU64::new(0),
            wakeup_sender,
            wakeup_receiver,
            is_store_unreachable: AtomicBool::new(false),
            configuration_failure: AtomicU64::new(0),
            is_watching: AtomicBool::new(false),
            responses: Default::default(),
            last_announcement: AtomicU64::new(0),
            announce_sender,
            announce_receiver,
            has_changed: AtomicBool::new(false),
            data_centre,
            link_mbps,
        }
    }

    /// Returns the socket for reports.
    pub fn socket(&self) -> &Async<UdpSocket> {
        &self.socket
    }

    /// Returns this VM's address.
    pub fn own_address(&self) -> Ipv4Addr {
        *self.own_address.ip()
    }

    /// Returns where a VM receives reports; all VMs use the same port.
    pub fn peer_address(&self, vm: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((vm, self.own_address.port()))
    }

    /// Returns the random number that identifies this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the sequence number of the next report.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Locks the state of the peers.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the hash of the name of this VM's data centre.
    pub fn data_centre(&self) -> u64 {
        self.data_centre
    }

    /// Returns the rate of this VM's link in Mbit/s; 0 if it is not known.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps
    }

    /// Returns whether this VM's last call to the store failed.
    pub fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable.load(Ordering::Relaxed)
    }

    /// Records whether the store is unreachable; returns whether that changed.
    pub fn set_store_unreachable(&self, is_unreachable: bool) -> bool {
        self.is_store_unreachable
            .swap(is_unreachable, Ordering::Relaxed)
            != is_unreachable
    }

    /// Records whether this VM has read the configuration from the store.
    pub fn record_configuration_read(&self, is_read: bool, now: Instant) {
        let failure = if is_read { 0 } else { now.as_micros().max(1) };
        self.configuration_failure.store(failure, Ordering::Relaxed);
    }

    /// Returns whether others should watch the store instead of this VM.
    ///
    /// Small responses may arrive where large ones don't, so a failure to read the configuration
    /// counts for a time, though the list of targets can be read.
    pub fn cedes_watch(&self, now: Instant) -> bool {
        let failure = self.configuration_failure.load(Ordering::Relaxed);
        let has_failed = failure > 0 && now.since(Instant::from_micros(failure)) < CEDE_DURATION;
        has_failed || self.is_store_unreachable()
    }

    /// Returns this VM's role in watching the store; `None` if it doesn't watch.
    pub fn watch_role(&self, count: usize, now: Instant) -> Option<WatchRole> {
        let is_unreachable = self.cedes_watch(now);
        let own = Candidate {
            address: self.own_address(),
            data_centre: self.data_centre,
            link_mbps: self.link_mbps,
        };
        self.peers().watch_role(own, is_unreachable, count, now)
    }

    /// Returns whether this VM asks the engines of its data centre whether they are leaving.
    pub fn polls_departures(&self, now: Instant) -> bool {
        // The same as peers are told, so that they don't leave it to a VM that doesn't poll.
        self.cedes_watch(now)
            && self
                .peers()
                .polls_departures(self.own_address(), self.data_centre, now)
    }

    /// Sets whether this VM watches the store, which is announced at once.
    ///
    /// Responses from before it has begun to watch don't count.
    pub fn set_watching(&self, is_watching: bool) {
        if is_watching && !self.is_watching() {
            for response in &self.responses {
                response.store(0, Ordering::Relaxed);
            }
        }
        self.is_watching.store(is_watching, Ordering::Relaxed);
        // A notification that is pending already covers this one.
        let _ = self.announce_sender.try_send(());
    }

    /// Returns whether this VM watches the store.
    pub fn is_watching(&self) -> bool {
        self.is_watching.load(Ordering::Relaxed)
    }

    /// Records that the store has responded.
    pub fn record_response(&self, subject: Subject, now: Instant) {
        self.responses[subject as usize].store(now.as_micros().max(1), Ordering::Relaxed);
    }

    /// Returns the time since the store has responded about everything; `None` if it has not since
    /// this VM has begun to watch it.
    pub fn response_age(&self, now: Instant) -> Option<Duration> {
        let responses = self.responses.iter();
        let oldest = responses.map(|at| at.load(Ordering::Relaxed)).min()?;
        (oldest > 0).then(|| now.since(Instant::from_micros(oldest)))
    }

    /// Returns whether an announcement of this VM's watch is due at `interval`, and counts it as sent.
    pub fn take_due_announcement(&self, interval: Duration, now: Instant) -> bool {
        let is_due = self.is_watching() && now.since(self.last_announcement()) >= interval;
        if is_due {
            self.last_announcement
                .store(now.as_micros(), Ordering::Relaxed);
        }
        is_due
    }

    /// Returns when this VM last announced that it watches the store.
    pub fn last_announcement(&self) -> Instant {
        Instant::from_micros(self.last_announcement.load(Ordering::Relaxed))
    }

    /// Waits until this VM begins or ends to watch the store.
    pub async fn wait_for_watch(&self) {
        // `self` owns the sender, so the channel is never closed.
        let _ = self.announce_receiver.recv().await;
    }

    /// Returns the peers that announce a newer configuration than `version`.
    pub fn newer_configurations(&self, version: u64, now: Instant) -> Vec<Offer> {
        self.peers()
            .newer_configurations(version, self.data_centre, now)
    }

    /// Records that a peer's state has changed.
    pub fn mark_changed(&self) {
        self.has_changed.store(true, Ordering::Release);
    }

    /// Returns whether a peer's state has changed since the last call.
    pub fn take_changed(&self) -> bool {
        self.has_changed.swap(false, Ordering::AcqRel)
    }

    /// Returns the number of live VMs, including this one.
    pub fn live_vms(&self, now: Instant) -> usize {
        self.peers().live(now).count() + 1
    }

    /// Wakes the task that fetches configurations.
    pub fn notify_newer_configuration(&self) {
        let _ = self.wakeup_sender.try_send(());
    }

    /// Waits until a peer announces a newer configuration.
    pub async fn wait_for_newer_configuration(&self) {
        // `self` owns the sender, so the channel is never closed.
        let _ = self.wakeup_receiver.recv().await;
    }
}
