//! Graceful shutdown: tracks the requests in flight and the drain that waits for them.

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

/// State of the drain.
#[derive(Debug)]
pub struct Drain {
    in_flight: AtomicUsize,
    is_draining: AtomicBool,
    /// Latest end of the drain, in microseconds of the process's clock.
    deadline: AtomicU64,
    close_signal: Sender<Infallible>,
    close_receiver: Receiver<Infallible>,
}

/// Marks a request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard(Arc<Drain>);

impl Default for Drain {
    fn default() -> Self {
        let (close_signal, close_receiver) = bounded(1);
        Self {
            in_flight: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            deadline: AtomicU64::new(0),
            close_signal,
            close_receiver,
        }
    }
}

impl Drain {
    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Guard(Arc::clone(self))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Starts the drain, which ends at `deadline` at the latest.
    pub fn start(&self, deadline: Instant) {
        self.deadline.store(deadline.as_micros(), Ordering::Release);
        self.is_draining.store(true, Ordering::Release);
    }

    /// Returns whether the drain has started.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Returns the time until the drain's deadline; zero if none has started.
    pub fn remaining(&self, now: Instant) -> Duration {
        Instant::from_micros(self.deadline.load(Ordering::Acquire)).since(now)
    }

    /// Closes idle connections immediately and the others after their current request.
    pub fn close_connections(&self) {
        self.close_signal.close();
    }

    /// Waits until connections are to be closed.
    pub async fn wait_for_close(&self) {
        // Nothing is ever sent; `recv` returns once the channel is closed.
        let _ = self.close_receiver.recv().await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
