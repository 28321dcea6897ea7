//! Work in flight, and the drain of a planned stop that waits for it.

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

/// Counts work in flight and signals a planned stop.
#[derive(Debug)]
pub struct Drain {
    is_leaving: AtomicBool,
    is_closing: AtomicBool,
    count: Arc<AtomicUsize>,
    close: Sender<Infallible>,
    closed: Receiver<Infallible>,
}

/// One unit of work in flight, which ends on drop.
#[derive(Debug)]
pub struct Guard {
    count: Arc<AtomicUsize>,
}

impl Default for Drain {
    fn default() -> Self {
        let (close, closed) = bounded(1);
        Self {
            is_leaving: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            count: Arc::default(),
            close,
            closed,
        }
    }
}

impl Drain {
    /// Starts the drain: this VM is not ready any more, but still serves requests.
    pub fn start(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether the drain has started.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Signals listeners and idle connections to close.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::SeqCst);
        self.close.close();
    }

    /// Returns whether listeners and idle connections must close.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::SeqCst)
    }

    /// Waits until listeners and idle connections must close.
    pub async fn closed(&self) {
        let _ = self.closed.recv().await;
    }

    /// Counts a unit of work as in flight until the guard is dropped.
    pub fn track(&self) -> Guard {
        self.count.fetch_add(1, Ordering::SeqCst);
        Guard {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the number of units of work in flight.
    pub fn in_flight(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Guard {
    /// Returns the number of units of work in flight, this one included.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
