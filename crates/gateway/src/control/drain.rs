//! Requests in progress, and the planned stop that waits for them.

use {
    base::Instant,
    smol::channel::{Receiver, Sender, bounded},
    std::{
        convert::Infallible,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// The state of a planned stop.
#[derive(Debug)]
pub struct Drain {
    in_flight: AtomicUsize,
    is_leaving: AtomicBool,
    /// When a planned stop ends the process, in microseconds of the process's clock.
    end: AtomicU64,
    close: Sender<Infallible>,
    closed: Receiver<Infallible>,
}

/// One request in progress.
#[derive(Debug)]
pub struct Guard(Arc<Drain>);

impl Default for Drain {
    fn default() -> Self {
        let (close, closed) = bounded(1);
        Self {
            in_flight: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
            end: AtomicU64::new(0),
            close,
            closed,
        }
    }
}

impl Drain {
    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Guard(Arc::clone(self))
    }

    /// Returns the requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Begins the planned stop, which ends the process at `end`.
    pub fn leave(&self, end: Instant) {
        self.end.store(end.as_micros(), Ordering::Release);
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Returns whether the planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Returns the time until a planned stop ends the process.
    pub fn left(&self, now: Instant) -> Duration {
        Instant::from_micros(self.end.load(Ordering::Acquire)).since(now)
    }

    /// Ends idle connections, and others after their request.
    pub fn close(&self) {
        self.close.close();
    }

    /// Waits until connections are to end.
    pub async fn closed(&self) {
        // Nothing is ever sent; the receiver returns when the channel is closed.
        let _ = self.closed.recv().await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
