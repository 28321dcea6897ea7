//! Small aids for state that tasks share.

use {
    smol::{channel, future},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Locks a mutex; a holder that panicked is of no concern to a stand-in.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Wakes every task that waits for a change.
#[derive(Debug, Default)]
pub struct Signal {
    waiters: Mutex<Vec<channel::Sender<()>>>,
}

/// A place in the row of those that a signal wakes.
#[derive(Debug)]
pub struct Waiter(channel::Receiver<()>);

impl Signal {
    /// Takes a place; a notification from now on is not missed.
    pub fn waiter(&self) -> Waiter {
        let (sender, receiver) = channel::bounded(1);
        lock(&self.waiters).push(sender);
        Waiter(receiver)
    }

    /// Wakes all that have a place.
    pub fn notify(&self) {
        for waiter in lock(&self.waiters).drain(..) {
            let _ = waiter.try_send(());
        }
    }
}

impl Waiter {
    /// Waits for the notification; returns false if the time passed first.
    pub async fn wait(self, limit: Duration) -> bool {
        let notified = async { self.0.recv().await.is_ok() };
        let timeout = async {
            smol::Timer::after(limit).await;
            false
        };
        future::or(notified, timeout).await
    }
}
