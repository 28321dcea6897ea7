//! Confirmation that no target is missing from the list.
//!
//! A VM that was cut off, or stood still, has missed the targets that joined meanwhile. Most decisions
//! tolerate that; whether a stream of unknown origin may go on does not.

use {
    derive_more::Debug,
    entry::runtime::with_timeout,
    smol::channel::{Receiver, Sender, bounded, unbounded},
    std::time::Duration,
};

/// Maximum time for which a request waits for the store.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Requests that wait until the store has confirmed the list.
#[derive(Debug)]
pub struct Confirmation {
    #[debug(skip)]
    sender: Sender<Sender<()>>,
    #[debug(skip)]
    receiver: Receiver<Sender<()>>,
}

impl Default for Confirmation {
    fn default() -> Self {
        let (sender, receiver) = unbounded();
        Self { sender, receiver }
    }
}

impl Confirmation {
    /// Returns whether the store has confirmed the list since this call; doesn't wait long.
    pub async fn request(&self) -> bool {
        let (reply, replied) = bounded(1);
        // `self` owns the receiver, so the channel is never closed.
        let _ = self.sender.try_send(reply);
        matches!(with_timeout(TIMEOUT, replied.recv()).await, Some(Ok(())))
    }

    /// Waits for requests; a read that begins now serves all of them.
    pub async fn next(&self) -> Waiting {
        let mut replies = Vec::new();
        // `self` owns the sender, so the channel is never closed.
        replies.extend(self.receiver.recv().await.ok());
        while let Ok(reply) = self.receiver.try_recv() {
            replies.push(reply);
        }
        Waiting(replies)
    }
}

/// Requests that one read of the list serves; dropping them leaves the list unconfirmed.
#[derive(Debug)]
pub struct Waiting(#[debug(skip)] Vec<Sender<()>>);

impl Waiting {
    /// Ends the wait, as the list is complete.
    pub fn confirm(self) {
        for reply in self.0 {
            // A request that has given up is no longer interested.
            let _ = reply.try_send(());
        }
    }
}
