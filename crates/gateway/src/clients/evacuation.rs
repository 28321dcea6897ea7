//! Copies runs from an engine that is leaving.
//!
//! The engine that stores the copy of a run may leave before the engine that runs it. When the
//! running engine announces its departure as well, the run is copied again, repeatedly until that
//! engine is gone, so that little has to be recomputed where the run resumes. A copy in a cordoned
//! data centre can't be used, so its run is copied again like one without a copy.

use {
    crate::{
        Shared,
        clients::{
            exchange::Exchange,
            generation::{Plan, reserve_evacuation},
            relay::Copy,
        },
        targets::{client::Failure, dispatcher::Reservation, path},
    },
    base::{Instant, key},
    bytes::Bytes,
    derive_more::{Display, From},
    dispatch::{
        configuration::RetryPolicy,
        evacuation::{self, Failures, Run},
        listing::Target,
    },
    entry::runtime::with_timeout,
    hyper::{Method, StatusCode},
    platform::engine,
    smol::Task,
    std::{
        net::SocketAddr,
        sync::{Arc, Weak},
        time::Duration,
    },
};

/// Minimum interval between checks of the engines' state: less than between two events, so that each
/// event of a stream may reveal a notice.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Delay after a failed copy, unless another engine is asked immediately.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a copy: the longest notice period of an engine, plus a margin.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for freeing a copy; its memory stays reserved in the meantime.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to wait for a copy's result after its source has failed, as it may still be in transit.
const FINISH_TIMEOUT: Duration = Duration::from_millis(50);
/// The same for a run that has an earlier copy: the stream pauses meanwhile, and a result that is in
/// transit takes a few milliseconds.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(20);

/// State of the evacuation of one run.
#[derive(Debug, Default)]
pub struct Evacuation {
    pending: Option<PendingCopy>,
    /// Engine that stores the latest copy requested by this evacuation.
    copied_to: Option<Target>,
    /// Address of the engine that the run is copied from.
    source: Option<SocketAddr>,
    /// Engines where a copy failed.
    failures: Failures,
    next_poll: Instant,
    /// When the first copy may be requested; `None` unless the source engine gave notice.
    begins: Option<Instant>,
}

#[derive(Debug)]
struct PendingCopy {
    task: Task<Attempt>,
    /// Whether it replaces an earlier copy, whose reservation is reused.
    is_repeated: bool,
}

/// A finished attempt to copy a run.
#[derive(Debug)]
struct Attempt {
    /// Engine that was asked last.
    target: Target,
    /// `None` if the previous copy's reservation is reused.
    reservation: Option<Reservation>,
    result: Result<Box<str>, Error>,
    failures: Failures,
    /// When the last engine was asked.
    requested: Instant,
    finished: Instant,
}

/// Why a copy was not made.
#[derive(Debug, Display, From)]
enum Error {
    /// The destination has no capacity.
    #[display("the engine answered {}", StatusCode::SERVICE_UNAVAILABLE)]
    Refused,
    /// Any other failure.
    #[from]
    Failed(Failure),
}

impl Evacuation {
    /// Records a finished copy and starts the next one if it is needed.
    ///
    /// `tokens` is the number of tokens that the run has produced.
    pub fn poll(
        &mut self,
        exchange: &Arc<Exchange>,
        plan: &Plan,
        source: &Target,
        tokens: u32,
        copy: &mut Option<Copy>,
    ) {
        let shared = &exchange.shared;
        let now = shared.now();
        if now < self.next_poll || !plan.engine.is_some_and(|engine| engine.supports_migration) {
            return;
        }
        self.next_poll = now + POLL_INTERVAL;
        if let Some(pending) = self.pending.take_if(|pending| pending.task.is_finished()) {
            let attempt = smol::future::block_on(pending.task);
            let delay = match &attempt.result {
                Ok(_) => evacuation::interval(attempt.finished.since(attempt.requested)),
                Err(_) if pending.is_repeated => evacuation::MAX_INTERVAL,
                Err(_) => RETRY_DELAY,
            };
            self.next_poll = attempt.finished + delay;
            self.complete(exchange, source, attempt, copy);
            if now < self.next_poll {
                return;
            }
        }
        if self.pending.is_some() || shared.directory.is_active(source.key) {
            return;
        }
        let has_copy = copy
            .as_ref()
            .is_some_and(|copy| shared.directory.is_usable(copy.target.key));
        let run = Run {
            key: key::Request::of(&exchange.head.attempt_id),
            tokens,
            estimated_tokens: plan.estimated_tokens,
            is_repeatable: exchange.route.retry_policy == RetryPolicy::Resumable
                && exchange.may_run_again(),
        };
        if !has_copy && !run.is_copied() {
            return;
        }
        let begins = *self.begins.get_or_insert_with(|| now + run.delay());
        if now < begins {
            self.next_poll = begins;
            return;
        }
        let (target, reservation) = match (&self.copied_to, has_copy) {
            (Some(target), true) => (target.clone(), None),
            (None, true) => return,
            (_, false) => {
                let Some((target, reservation)) =
                    reserve_next(exchange, plan, source, &self.failures)
                else {
                    self.failures.clear();
                    self.next_poll = now + RETRY_DELAY;
                    return;
                };
                (target, Some(reservation))
            }
        };
        self.source = Some(source.address);
        let is_repeated = reservation.is_none();
        let request = Request {
            shared: Arc::clone(shared),
            exchange: Arc::downgrade(exchange),
            attempt_id: exchange.head.attempt_id.clone(),
            plan: *plan,
            source: source.clone(),
        };
        let attempt = request.run(target, reservation, self.failures.clone());
        self.pending = Some(PendingCopy {
            task: shared.runtime.spawn(attempt),
            is_repeated,
        });
    }

    /// Waits for a pending copy after the source engine has failed.
    pub async fn finish(&mut self, exchange: &Exchange, source: &Target, copy: &mut Option<Copy>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let timeout = if copy.is_some() && pending.is_repeated {
            REPLACEMENT_TIMEOUT
        } else {
            FINISH_TIMEOUT
        };
        if let Some(attempt) = with_timeout(timeout, pending.task).await {
            self.complete(exchange, source, attempt, copy);
        } else {
            let outcome = (false, "no answer in time");
            log_result(&exchange.head.attempt_id, source, None, outcome);
        }
    }

    /// Frees the copies of a run that has ended.
    ///
    /// Copies that grow along with the run are freed by the engines if the run is complete.
    pub fn release(self, exchange: &Exchange, copy: Option<Copy>, is_complete: bool) {
        let shared = Arc::clone(&exchange.shared);
        let copy = copy.filter(|_| self.copied_to.is_some() || !is_complete);
        if let Some(copy) = copy {
            let free = free_copy(Arc::clone(&shared), copy);
            shared.runtime.spawn(free).detach();
        }
        let Some(PendingCopy {
            task,
            is_repeated: false,
        }) = self.pending
        else {
            return;
        };
        let origin = self.source;
        let free = async move {
            let attempt = task.await;
            if let (Ok(handle), Some(reservation), Some(origin)) =
                (attempt.result, attempt.reservation, origin)
            {
                let copy = Copy {
                    target: attempt.target,
                    reservation,
                    origin,
                    handle,
                    was_asked: false,
                };
                free_copy(Arc::clone(&shared), copy).await;
            }
        };
        exchange.shared.runtime.spawn(free).detach();
    }

    /// Stores the handle of a copy that succeeded, and the engines where it failed.
    fn complete(
        &mut self,
        exchange: &Exchange,
        source: &Target,
        attempt: Attempt,
        copy: &mut Option<Copy>,
    ) {
        self.failures = attempt.failures;
        let Ok(handle) = attempt.result else {
            return;
        };
        if let Some(reservation) = attempt.reservation {
            let replaced = copy.replace(Copy {
                target: attempt.target.clone(),
                reservation,
                origin: source.address,
                handle,
                was_asked: false,
            });
            // The engine before may stay, as one in a cordoned data centre does.
            if let Some(replaced) = replaced {
                let shared = Arc::clone(&exchange.shared);
                let free = free_copy(Arc::clone(&shared), replaced);
                shared.runtime.spawn(free).detach();
            }
        } else if let Some(copy) = copy {
            copy.handle = handle;
        }
        self.copied_to = Some(attempt.target);
    }
}

/// What is needed to copy a run from its engine.
#[derive(Debug)]
struct Request {
    shared: Arc<Shared>,
    /// No further engine is asked once the exchange has ended.
    exchange: Weak<Exchange>,
    attempt_id: Box<str>,
    plan: Plan,
    source: Target,
}

impl Request {
    /// Copies the run to an engine; if a first copy is refused there, asks others immediately.
    async fn run(
        self,
        mut target: Target,
        mut reservation: Option<Reservation>,
        mut failures: Failures,
    ) -> Attempt {
        loop {
            let requested = self.shared.now();
            let result = request_copy(
                &self.shared,
                self.source.address,
                &self.attempt_id,
                target.address,
            );
            let result = result.await;
            let finished = self.shared.now();
            let detail = match &result {
                Ok(_) => "complete".to_owned(),
                Err(error) => error.to_string(),
            };
            let outcome = (result.is_ok(), &*detail);
            log_result(&self.attempt_id, &self.source, Some(&target), outcome);
            match &result {
                Ok(_) => {}
                Err(Error::Refused) if reservation.is_some() => {
                    if failures.record_refusal(target.key) {
                        reservation = None;
                        if let Some(next) = self.reserve_next(&mut failures) {
                            (target, reservation) = (next.0, Some(next.1));
                            continue;
                        }
                    }
                }
                Err(_) => failures.record_failure(target.key),
            }
            return Attempt {
                target,
                reservation,
                result,
                failures,
                requested,
                finished,
            };
        }
    }

    fn reserve_next(&self, failures: &mut Failures) -> Option<(Target, Reservation)> {
        let exchange = self.exchange.upgrade()?;
        let next = reserve_next(&exchange, &self.plan, &self.source, failures);
        if next.is_none() {
            failures.clear();
        }
        next
    }
}

/// Reserves capacity for a copy at an engine where it has not failed.
fn reserve_next(
    exchange: &Exchange,
    plan: &Plan,
    source: &Target,
    failures: &Failures,
) -> Option<(Target, Reservation)> {
    let excluded = [failures.engines(), &[source.key]].concat();
    reserve_evacuation(exchange, plan, source, &excluded)
}

/// Logs the result of a copy to `target`, which is unknown if the copy was given up.
fn log_result(
    attempt_id: &str,
    source: &Target,
    target: Option<&Target>,
    (is_copied, detail): (bool, &str),
) {
    log::info!(
        target: "copied", request = attempt_id, instance:% = source.instance,
        to = target.map_or("", |target| &*target.instance), is_copied, detail;
        "evacuation copy finished"
    );
}

/// Asks an engine to copy a run; returns the handle of the copy.
async fn request_copy(
    shared: &Arc<Shared>,
    source: SocketAddr,
    attempt_id: &str,
    to: SocketAddr,
) -> Result<Box<str>, Error> {
    let body = engine::move_request(attempt_id, to, false);
    let request = (Method::POST, engine::MOVE_PATH, body);
    let (status, body) = path::call(shared, source, attempt_id, request, COPY_TIMEOUT).await?;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Error::Refused);
    }
    if !status.is_success() {
        return Err(Failure::may_have_run(format!("the engine answered {status}")).into());
    }
    let moved = engine::parse_move_response(&body)
        .map_err(|error| Failure::may_have_run(error.to_string()))?;
    let handle = moved
        .handle
        .ok_or_else(|| Failure::may_have_run("the engine's response has no copy handle"))?;
    Ok(handle)
}

/// Frees a copy at the engine that issued its handle or, failing that, at the one that stores it.
async fn free_copy(shared: Arc<Shared>, copy: Copy) {
    let copy_path = engine::copy_path(&copy.handle);
    for address in [copy.origin, copy.target.address] {
        let request = (Method::DELETE, &*copy_path, Bytes::new());
        let call = path::call(&shared, address, &copy.handle, request, FREE_TIMEOUT);
        match call.await {
            Ok((status, _)) => {
                log::debug!(target: "copied", instance:% = copy.target.instance, status = status.as_u16(); "unused copy freed");
                return;
            }
            Err(failure) => {
                log::debug!(target: "copied", instance:% = copy.target.instance, reason:% = failure; "failed to free an unused copy");
            }
        }
    }
}
