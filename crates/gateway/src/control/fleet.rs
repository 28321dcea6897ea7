//! The other VMs of the deployment.

use {
    base::Instant,
    derive_more::Debug,
    dispatch::{
        Peers,
        peers::{Offer, WatchRole},
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
    },
};

/// What this VM knows of the others, and the socket to them.
#[derive(Debug)]
pub struct Fleet {
    peers: Mutex<Peers>,
    #[debug(skip)]
    socket: Async<UdpSocket>,
    own: SocketAddrV4,
    incarnation: u64,
    sequence: AtomicU64,
    newer: Sender<()>,
    newer_seen: Receiver<()>,
    is_store_lost: AtomicBool,
    has_changed: AtomicBool,
    data_centre: u64,
}

impl Fleet {
    /// Makes the state around a bound socket; `incarnation` is drawn at each start.
    pub fn new(
        socket: Async<UdpSocket>,
        own: SocketAddrV4,
        incarnation: u64,
        data_centre: u64,
    ) -> Self {
        let (newer, newer_seen) = bounded(1);
        Self {
            peers: Mutex::default(),
            socket,
            own,
            incarnation,
            sequence: AtomicU64::new(0),
            newer,
            newer_seen,
            is_store_lost: AtomicBool::new(false),
            has_changed: AtomicBool::new(false),
            data_centre,
        }
    }

    /// Returns the socket of reports.
    pub fn socket(&self) -> &Async<UdpSocket> {
        &self.socket
    }

    /// Returns this VM's address.
    pub fn own(&self) -> Ipv4Addr {
        *self.own.ip()
    }

    /// Returns where a VM takes reports; the port is the same on all.
    pub fn address(&self, vm: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((vm, self.own.port()))
    }

    /// Returns the draw of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of the next report.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns what is known of the peers.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the hash of this VM's data centre.
    pub fn data_centre(&self) -> u64 {
        self.data_centre
    }

    /// Returns whether the store left the last call of this VM unanswered.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost.load(Ordering::Relaxed)
    }

    /// Notes whether the store answers this VM; returns whether that is a change.
    pub fn set_store_lost(&self, is_lost: bool) -> bool {
        self.is_store_lost.swap(is_lost, Ordering::Relaxed) != is_lost
    }

    /// Returns the part that this VM has in watching the store for all.
    pub fn watch(&self, count: usize, now: Instant) -> Option<WatchRole> {
        let is_lost = self.is_store_lost();
        self.peers()
            .watch_role(self.own(), self.data_centre, is_lost, count, now)
    }

    /// Returns a peer with a newer configuration than `version`.
    pub fn newer_configuration(&self, version: u64, now: Instant) -> Option<Offer> {
        self.peers()
            .newer_configuration(version, self.data_centre, self.incarnation, now)
    }

    /// Notes that a peer has reported.
    pub fn set_changed(&self) {
        self.has_changed.store(true, Ordering::Release);
    }

    /// Returns whether a peer has reported since the last call.
    pub fn take_changed(&self) -> bool {
        self.has_changed.swap(false, Ordering::AcqRel)
    }

    /// Returns the number of VMs that were heard lately, with this one.
    pub fn size(&self, now: Instant) -> usize {
        self.peers().live(now).count() + 1
    }

    /// Tells the reader of configurations that a peer has a newer one.
    pub fn tell_newer(&self) {
        let _ = self.newer.try_send(());
    }

    /// Waits until a peer has a newer configuration.
    pub async fn newer(&self) {
        // The sender lives in `self`, so the channel is never closed.
        let _ = self.newer_seen.recv().await;
    }
}
