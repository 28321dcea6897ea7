//! Stops runs whose streams go on at another engine.
//!
//! The end of a connection, or its silence, doesn't say that the engine has stopped: its answer may
//! be lost while it works on, or a middlebox may have dropped the connection. So before a stream
//! goes on elsewhere, the engine is told to stop the run, on a new connection. An engine that is
//! gone or not reached must not delay the stream; the call is then repeated in the background until
//! the engine answers, is gone, or the time of the request is over, when engines stop by themselves.

use {
    crate::{Shared, clients::exchange::Exchange, targets::path},
    base::{Instant, key},
    bytes::Bytes,
    derive_more::Display,
    dispatch::listing::Target,
    entry::runtime::with_timeout,
    futures_util::future::join_all,
    hyper::{Method, StatusCode},
    platform::engine,
    smol::{
        Task, Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Maximum time for which a stream waits for the answer of an engine that may be gone.
///
/// An engine answers within milliseconds, unless it copies the run first, and has stopped it by then.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// The same after each answer of an engine that works on.
const AT_WORK_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a call, which is answered once the run is copied.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for freeing the copy that a call makes.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a call is repeated; it grows each time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// What is known of a run at an engine that was told to stop it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum Outcome {
    /// The engine has stopped it.
    #[display("stopped")]
    Stopped,
    /// The engine doesn't have it.
    #[display("unknown")]
    Unknown,
    /// Nothing listens at the engine's address.
    #[display("gone")]
    Gone,
    /// The engine answers, but has not stopped it.
    #[display("at_work")]
    AtWork,
    /// The engine did not answer.
    #[display("unreached")]
    Unreached,
}

impl Outcome {
    /// Returns the delay that follows a delay before the call is repeated.
    ///
    /// It grows slowly at an engine that answers: another one may have the stream already, and the run
    /// has to end soon after the engine can stop it.
    fn next_delay(self, delay: Duration) -> Duration {
        let next = match self {
            Self::Unreached => delay * 2,
            _ => delay.mul_f64(1.25),
        };
        next.min(MAX_RETRY_DELAY)
    }
}

/// How far an engine has come with a request that it is told to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It has sent no event: the request may wait in its queue, and begin later.
    Unstarted,
    /// It streams the run. The copy that the call makes is freed.
    Streaming,
    /// The same, but the run continues from an earlier copy that was made by such a call: the new one
    /// brings it up to date.
    Copied,
}

/// Calls that tell one engine to stop a run; they go on when this is dropped.
#[derive(Debug)]
struct Stop {
    engine: key::Target,
    task: Option<Task<()>>,
    /// Whether the latest answer says that the engine works on.
    is_at_work: Arc<AtomicBool>,
    /// Handle of the copy that the call has made, if it is kept.
    handle: Arc<OnceLock<Box<str>>>,
    /// Closed with the last call.
    answers: Receiver<()>,
}

impl Drop for Stop {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.detach();
        }
    }
}

/// The calls of one request to engines that it has left.
#[derive(Debug, Default)]
pub struct Handover {
    stops: Mutex<Vec<Stop>>,
}

impl Handover {
    /// Tells an engine to stop the run of a request, in the background.
    ///
    /// The call copies the run to `next`, the engine that continues it, or to any other one if that is
    /// not known. It is left out at engines that can't move runs.
    pub fn stop(
        &self,
        exchange: &Exchange,
        engine: &Target,
        next: Option<SocketAddr>,
        progress: Progress,
    ) {
        let service = exchange.published.configuration.service(exchange.service);
        let properties = service.and_then(|service| service.engine);
        if !properties.is_some_and(|engine| engine.supports_migration) {
            return;
        }
        let others = exchange.shared.directory.targets_of(exchange.service);
        let other = || others.iter().find(|other| other.key != engine.key);
        let Some(next) = next.or_else(|| Some(other()?.address)) else {
            return;
        };
        let mut stops = self.lock();
        if stops.iter().any(|stop| stop.engine == engine.key) {
            return;
        }
        let is_at_work = Arc::<AtomicBool>::default();
        let handle = Arc::<OnceLock<Box<str>>>::default();
        let (notifier, answers) = bounded(1);
        let order = Order {
            shared: Arc::clone(&exchange.shared),
            attempt_id: exchange.head.attempt_id.clone(),
            engine: engine.clone(),
            next,
            deadline: exchange.deadline,
            is_at_work: Arc::clone(&is_at_work),
            is_unstarted: progress == Progress::Unstarted,
            kept: (progress == Progress::Copied).then(|| Arc::clone(&handle)),
            notifier,
        };
        stops.push(Stop {
            engine: engine.key,
            task: Some(exchange.shared.runtime.spawn(order.run())),
            is_at_work,
            handle,
            answers,
        });
    }

    /// Returns the handle of the copy that an engine has kept as it stopped the run.
    pub fn handle(&self, engine: key::Target) -> Option<Box<str>> {
        let stops = self.lock();
        let stop = stops.iter().find(|stop| stop.engine == engine)?;
        stop.handle.get().cloned()
    }

    /// Waits until the engines have stopped the run.
    ///
    /// An engine that doesn't answer soon is gone or not reached, and not waited for. Returns `false`
    /// if one answers that it works on.
    pub async fn wait(&self) -> bool {
        let waits: Vec<_> = self.lock().iter().map(Stop::wait).collect();
        join_all(waits)
            .await
            .into_iter()
            .all(|is_at_work| !is_at_work)
    }

    /// Ends the calls to an engine to which the request is sent again.
    pub fn cancel(&self, engine: key::Target) {
        self.lock().retain_mut(|stop| {
            if stop.engine == engine {
                // Dropping the task cancels it.
                drop(stop.task.take());
                return false;
            }
            true
        });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Stop>> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Stop {
    /// Waits for an answer that is final; returns whether the engine works on.
    fn wait(&self) -> impl Future<Output = bool> + use<> {
        let (answers, is_at_work) = (self.answers.clone(), Arc::clone(&self.is_at_work));
        async move {
            let mut limit = ANSWER_TIMEOUT;
            while let Some(Ok(())) = with_timeout(limit, answers.recv()).await {
                limit = if is_at_work.load(Ordering::Relaxed) {
                    AT_WORK_TIMEOUT
                } else {
                    Duration::ZERO
                };
            }
            !answers.is_closed() && is_at_work.load(Ordering::Relaxed)
        }
    }
}

/// A request at an engine that may run it; dropping it tells the engine to stop.
#[derive(Debug)]
pub struct Pending {
    exchange: Arc<Exchange>,
    engine: Target,
    next: SocketAddr,
    is_settled: bool,
}

impl Pending {
    /// Creates the guard of a request that is sent to an engine while the stream is at `next`.
    pub fn new(exchange: &Arc<Exchange>, engine: &Target, next: SocketAddr) -> Self {
        Self {
            exchange: Arc::clone(exchange),
            engine: engine.clone(),
            next,
            is_settled: false,
        }
    }

    /// Leaves the request to the engine, which has taken it or will not run it.
    pub fn settle(mut self) {
        self.is_settled = true;
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.is_settled {
            let handover = &self.exchange.handover;
            let (next, progress) = (Some(self.next), Progress::Unstarted);
            handover.stop(&self.exchange, &self.engine, next, progress);
        }
    }
}

/// What is needed to tell an engine to stop a run.
#[derive(Debug)]
struct Order {
    shared: Arc<Shared>,
    attempt_id: Box<str>,
    engine: Target,
    next: SocketAddr,
    deadline: Instant,
    is_at_work: Arc<AtomicBool>,
    /// Whether the request may wait in the engine's queue.
    is_unstarted: bool,
    /// Takes the handle of the copy; `None` if that is freed.
    kept: Option<Arc<OnceLock<Box<str>>>>,
    notifier: Sender<()>,
}

impl Order {
    /// Calls the engine until the run has ended there.
    async fn run(self) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let (outcome, detail) = self.call().await;
            log::info!(
                target: "stopped", request = self.attempt_id, instance:% = self.engine.instance,
                outcome:%, detail;
                "engine told to stop a run that goes on elsewhere"
            );
            let is_at_work = outcome == Outcome::AtWork;
            self.is_at_work.store(is_at_work, Ordering::Relaxed);
            // If the channel is full, an answer is already pending.
            let _ = self.notifier.try_send(());
            if self.is_over(outcome) || self.shared.now() + delay >= self.deadline {
                return;
            }
            Timer::after(delay).await;
            delay = outcome.next_delay(delay);
        }
    }

    /// Returns whether the engine neither works on the run nor will.
    ///
    /// An engine doesn't know a run that waits in its queue.
    fn is_over(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Stopped | Outcome::Gone => true,
            Outcome::Unknown => !self.is_unstarted || !self.is_listed(),
            Outcome::AtWork => false,
            Outcome::Unreached => !self.is_listed(),
        }
    }

    /// Returns whether the engine is still listed with the process that had the run.
    fn is_listed(&self) -> bool {
        let current = self.shared.directory.get(self.engine.key);
        current.is_some_and(|current| current.started_ms == self.engine.started_ms)
    }

    async fn call(&self) -> (Outcome, Box<str>) {
        let body = engine::move_request(&self.attempt_id, self.next, true);
        let request = (Method::POST, engine::MOVE_PATH, body);
        let address = self.engine.address;
        let timeout = CALL_TIMEOUT.min(self.deadline.since(self.shared.now()));
        let call = path::call(&self.shared, address, &self.attempt_id, request, timeout);
        let (status, body) = match call.await {
            Ok(answer) => answer,
            Err(failure) if failure.is_refused => return (Outcome::Gone, failure.message),
            Err(failure) => return (Outcome::Unreached, failure.message),
        };
        let handle = engine::parse_move_response(&body)
            .ok()
            .and_then(|response| response.handle);
        let outcome = match status {
            // Without a handle it says nothing of the run: the engine may only be busy.
            StatusCode::SERVICE_UNAVAILABLE if handle.is_some() => Outcome::Stopped,
            StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS => Outcome::AtWork,
            _ if status.is_success() => Outcome::Stopped,
            // The address may be another target's by now.
            _ if status.is_client_error() => Outcome::Unknown,
            _ => Outcome::AtWork,
        };
        match (handle, &self.kept) {
            (Some(handle), Some(kept)) => drop(kept.set(handle)),
            (Some(handle), None) => {
                let free = free_copy(Arc::clone(&self.shared), address, handle);
                self.shared.runtime.spawn(free).detach();
            }
            (None, _) => {}
        }
        (outcome, status.as_str().into())
    }
}

/// Frees the copy that a call made, at both engines.
async fn free_copy(shared: Arc<Shared>, address: SocketAddr, handle: Box<str>) {
    let copy_path = engine::copy_path(&handle);
    let request = (Method::DELETE, &*copy_path, Bytes::new());
    if let Err(failure) = path::call(&shared, address, &handle, request, FREE_TIMEOUT).await {
        log::debug!(target: "stopped", reason:% = failure; "failed to free an unused copy");
    }
}
