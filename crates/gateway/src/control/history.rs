//! Request for the history of the targets before the process started.
//!
//! It takes several calls to the store, and only clients that resume streams need it.

use {
    derive_more::Debug,
    entry::runtime::with_timeout,
    smol::channel::{Receiver, Sender, bounded},
    std::{convert::Infallible, time::Duration},
};

/// Maximum time for which a request waits for the history.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Whether the history was requested, and whether the task that reads it has ended.
#[derive(Debug)]
pub struct History {
    #[debug(skip)]
    request: Sender<()>,
    #[debug(skip)]
    requested: Receiver<()>,
    /// Closed once the task has ended.
    #[debug(skip)]
    end: Sender<Infallible>,
    #[debug(skip)]
    ended: Receiver<Infallible>,
}

impl Default for History {
    fn default() -> Self {
        let (request, requested) = bounded(1);
        let (end, ended) = bounded(1);
        Self {
            request,
            requested,
            end,
            ended,
        }
    }
}

impl History {
    /// Requests the history, and waits a short time for it unless it was read before.
    pub async fn request(&self) {
        // If the channel is full, the history was requested before.
        let _ = self.request.try_send(());
        with_timeout(TIMEOUT, self.ended.recv()).await;
    }

    /// Waits until the history is requested.
    pub async fn wait_for_request(&self) {
        // `self` owns the sender, so the channel is never closed.
        let _ = self.requested.recv().await;
    }

    /// Ends the wait of all requests.
    pub fn finish(&self) {
        self.end.close();
    }
}
