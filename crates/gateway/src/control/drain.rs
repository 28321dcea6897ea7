//! Graceful shutdown: tracks what is in progress and the drain that waits for it.

use {
    arc_swap::ArcSwapOption,
    base::Instant,
    smol::channel::{Receiver, Sender, bounded},
    std::{
        convert::Infallible,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// State of the drain.
#[derive(Debug, Default)]
pub struct Drain {
    requests: Counter,
    connections: Counter,
    /// The drain in progress.
    current: ArcSwapOption<dispatch::Drain>,
    closing: Signal,
    end: Signal,
}

/// Number of guards that exist.
#[derive(Debug, Default)]
struct Counter(Arc<AtomicUsize>);

/// Marks a request or a connection as in progress until it is dropped.
#[derive(Debug)]
pub struct Guard(Arc<AtomicUsize>);

/// Wakes all tasks that wait for it, once.
#[derive(Debug)]
struct Signal {
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Default for Signal {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }
}

impl Signal {
    fn set(&self) {
        self.sender.close();
    }

    fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    async fn wait(&self) {
        // Nothing is ever sent; `recv` returns once the channel is closed.
        let _ = self.receiver.recv().await;
    }
}

impl Counter {
    fn enter(&self) -> Guard {
        self.0.fetch_add(1, Ordering::AcqRel);
        Guard(Arc::clone(&self.0))
    }

    fn get(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drain {
    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(&self) -> Guard {
        self.requests.enter()
    }

    /// Counts a client's connection as open until the guard is dropped.
    pub fn connect(&self) -> Guard {
        self.connections.enter()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.get()
    }

    /// Returns the number of open client connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Starts a drain, or changes the one in progress.
    pub fn start(&self, drain: dispatch::Drain) {
        self.current.store(Some(Arc::new(drain)));
    }

    /// Returns the drain in progress.
    pub fn current(&self) -> Option<dispatch::Drain> {
        self.current.load().as_deref().copied()
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.current.load().is_some()
    }

    /// Stops taking requests; those in flight go on.
    pub fn refuse_all(&self, now: Instant) {
        if let Some(drain) = self.current() {
            self.start(dispatch::Drain { end: now, ..drain });
        }
    }

    /// Closes idle connections, and the others when they have become idle.
    pub fn close_connections(&self) {
        self.closing.set();
    }

    /// Waits until connections are to be closed.
    pub async fn wait_for_close(&self) {
        self.closing.wait().await;
    }

    /// Ends the drain: what has not been answered yet is given up.
    pub fn end(&self) {
        self.end.set();
    }

    /// Returns whether the drain has ended.
    pub fn has_ended(&self) -> bool {
        self.end.is_set()
    }

    /// Waits until the drain has ended.
    pub async fn wait_for_end(&self) {
        self.end.wait().await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
