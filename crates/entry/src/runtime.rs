//! The executor and its threads.

use {
    smol::{
        Executor, Task,
        channel::{Sender, bounded},
    },
    std::{convert::Infallible, sync::Arc, thread, time::Duration},
};

/// An executor that runs on several threads until it is dropped.
#[derive(Clone, Debug)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    stop: Sender<Infallible>,
}

impl Runtime {
    /// Starts the threads.
    pub fn start(threads: u32) -> Self {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = bounded::<Infallible>(1);
        for _ in 0..threads {
            let executor = Arc::clone(&executor);
            let stopped = stopped.clone();
            thread::spawn(move || smol::block_on(executor.run(stopped.recv())));
        }
        Self { executor, stop }
    }

    /// Ends the threads; tasks that have not ended stand still from then on.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Runs a task; dropping the handle cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(task)
    }
}

/// Waits for a future for at most `limit`; `None` if that passes.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        smol::Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(future.await) }, expired).await
}
