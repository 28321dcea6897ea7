//! Tunnels: connections to targets that a peer opens for a VM that doesn't reach them itself.
//!
//! [`opener`] is the side of the VM that has the request, [`listener`] that of the peer; [`stream`]
//! makes a connection of a tunnel. See `docs/TUNNELS.md`.

pub mod frame;
pub mod listener;
pub mod opener;
pub mod stream;

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Maximum number of tunnels that a VM opens for its peers at the same time.
const MAX_SERVED: usize = 256;

/// The open tunnels of this VM.
#[derive(Debug, Default)]
pub struct Tunnels {
    /// Number of tunnels for peers.
    served: Arc<AtomicUsize>,
    /// Number of tunnels through each peer.
    used: Arc<Mutex<HashMap<Ipv4Addr, usize>>>,
}

/// A tunnel for a peer, until it is dropped.
#[derive(Debug)]
struct Served(Arc<AtomicUsize>);

/// A tunnel through a peer, until it is dropped.
#[derive(Debug)]
pub struct Used {
    used: Arc<Mutex<HashMap<Ipv4Addr, usize>>>,
    peer: Ipv4Addr,
}

impl Tunnels {
    /// Returns the number of tunnels that are open for peers.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::Relaxed)
    }

    /// Returns the number of tunnels that are open through a peer.
    pub fn used(&self, peer: Ipv4Addr) -> usize {
        lock(&self.used).get(&peer).copied().unwrap_or_default()
    }

    /// Counts a tunnel for a peer; `None` if there are too many.
    fn serve(&self) -> Option<Served> {
        let served = Served(Arc::clone(&self.served));
        let before = self.served.fetch_add(1, Ordering::Relaxed);
        (before < MAX_SERVED).then_some(served)
    }

    /// Counts a tunnel through a peer.
    fn record_use(&self, peer: Ipv4Addr) -> Used {
        *lock(&self.used).entry(peer).or_default() += 1;
        Used {
            used: Arc::clone(&self.used),
            peer,
        }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Used {
    fn drop(&mut self) {
        let mut used = lock(&self.used);
        if let Some(count) = used.get_mut(&self.peer) {
            *count -= 1;
            if *count == 0 {
                used.remove(&self.peer);
            }
        }
    }
}

fn lock(used: &Mutex<HashMap<Ipv4Addr, usize>>) -> MutexGuard<'_, HashMap<Ipv4Addr, usize>> {
    used.lock().unwrap_or_else(PoisonError::into_inner)
}
