//! Synchronization of state that tasks share.

use {
    smol::{channel, future},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Locks a mutex, even if another holder has panicked and poisoned it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Notifies all waiting tasks of a change.
#[derive(Debug, Default)]
pub struct Signal {
    waiters: Mutex<Vec<channel::Sender<()>>>,
}

/// Registration for the next notification of a [`Signal`].
#[derive(Debug)]
pub struct Waiter(channel::Receiver<()>);

impl Signal {
    /// Registers for the next notification; one sent before [`Waiter::wait`] is not missed.
    pub fn waiter(&self) -> Waiter {
        let (sender, receiver) = channel::bounded(1);
        lock(&self.waiters).push(sender);
        Waiter(receiver)
    }

    /// Wakes all registered waiters.
    pub fn notify(&self) {
        for waiter in lock(&self.waiters).drain(..) {
            let _ = waiter.try_send(());
        }
    }
}

impl Waiter {
    /// Waits for the notification; returns false if the timeout elapses first.
    pub async fn wait(self, timeout: Duration) -> bool {
        let notified = async { self.0.recv().await.is_ok() };
        let elapsed = async {
            smol::Timer::after(timeout).await;
            false
        };
        future::or(notified, elapsed).await
    }
}
