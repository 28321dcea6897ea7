//! Work in flight, and the planned stop that waits for it.

use {
    smol::channel::{Receiver, Sender, bounded},
    std::{
        convert::Infallible,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
};

/// Counts work in flight and announces a planned stop.
#[derive(Debug)]
pub struct Drain {
    leaving: AtomicBool,
    closing: AtomicBool,
    count: Arc<AtomicUsize>,
    close: Sender<Infallible>,
    closed: Receiver<Infallible>,
}

/// One piece of work in flight; ends when dropped.
#[derive(Debug)]
pub struct Guard {
    count: Arc<AtomicUsize>,
}

impl Default for Drain {
    fn default() -> Self {
        let (close, closed) = bounded(1);
        Self {
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            count: Arc::default(),
            close,
            closed,
        }
    }
}

impl Drain {
    /// Begins the planned stop: readiness goes off, calls are still served.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether the planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Tells listeners and idle connections to close.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        self.close.close();
    }

    /// Returns whether listeners and idle connections shall close.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Waits until listeners and idle connections shall close.
    pub async fn closed(&self) {
        let _ = self.closed.recv().await;
    }

    /// Counts one piece of work in flight.
    pub fn enter(&self) -> Guard {
        self.count.fetch_add(1, Ordering::SeqCst);
        Guard {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the work in flight.
    pub fn in_flight(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Guard {
    /// Returns all work in flight, this piece included.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
