//! The async executor and its threads.

use {
    smol::{
        Executor, Task,
        channel::{Sender, bounded},
    },
    std::{convert::Infallible, sync::Arc, thread, time::Duration},
};

/// A multi-threaded executor, which runs until it is stopped or its last clone is dropped.
#[derive(Clone, Debug)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    stop: Sender<Infallible>,
}

impl Runtime {
    /// Starts the executor's threads.
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

    /// Stops the threads; unfinished tasks are not polled any more.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Spawns a task; dropping the handle cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(task)
    }
}

/// Waits at most `limit` for a future; `None` if the time is up first.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        smol::Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(future.await) }, expired).await
}
