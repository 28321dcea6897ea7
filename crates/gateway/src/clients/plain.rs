//! Serves requests of plain services: buffered responses, retried only where that is permitted.

use {
    crate::{
        clients::{
            answer::{self, Body},
            exchange::Exchange,
        },
        metrics::Outcome,
        targets::{client::Failure, dispatcher::Reservation, notice, path},
    },
    base::{Instant, Reason, Refusal, Verdict, key},
    bytes::Bytes,
    dispatch::{
        Load, cold::Access, configuration::RetryPolicy, listing::Target, placement::Query,
        probation,
    },
    entry::runtime::with_timeout,
    futures_util::future::{Either, select},
    hyper::{Response, http::response::Parts},
    platform::request::{
        GatewayFields, is_for_attempt, is_not_executed, parse_limit, strip_connection_fields,
    },
    std::{pin::pin, time::Duration},
};

/// Maximum number of targets that receive one request.
///
/// Refusals count as well, so that retries don't overload a service that is already full.
const MAX_ATTEMPTS: u32 = 3;
/// Retry delay sent when no target has capacity: about ten times the duration of such a request.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Share of the objective after which an idempotent request is hedged at a second target.
const HEDGE_DELAY_SHARE: f64 = 0.5;

/// Result of sending the request to one target.
enum Attempt {
    Answered(Parts, Bytes),
    /// The connection could not be established.
    Unreachable(Box<str>),
    /// The target is not reached from this VM, nor through a peer.
    NoPath(Box<str>),
    /// The target refused the request and states that it did not run it.
    Refused(Box<str>),
    /// The target may have run the request.
    Lost {
        message: Box<str>,
        /// Whether the failure is this VM's or a peer's.
        is_local: bool,
    },
}

impl Attempt {
    /// Classifies a failure of a request that may have run, and records a loss of the target.
    async fn lost(exchange: &Exchange, target: &Target, failure: &Failure) -> Self {
        let is_local =
            failure.is_local || !exchange.is_targets_fault(target, failure.is_closed).await;
        if failure.is_closed && !is_local {
            exchange.record_loss(target);
        }
        Self::Lost {
            message: failure.message.clone(),
            is_local,
        }
    }

    /// Creates the loss of an answer that the target did not give in a valid form.
    fn invalid(message: impl Into<Box<str>>) -> Self {
        Self::Lost {
            message: message.into(),
            is_local: false,
        }
    }
}

/// The attempts of one request so far.
#[derive(Default)]
struct Attempts {
    excluded: Vec<key::Target>,
    /// Number of attempts that count towards [`MAX_ATTEMPTS`].
    sends: u32,
    /// Number of targets that ran the request or may have run it.
    runs: u32,
    answer: Option<(Parts, Bytes)>,
    failure: Option<Failure>,
    /// Why no further attempt may follow.
    refusal: Option<Refusal>,
}

impl Attempts {
    /// Records a result; returns whether no further attempt may follow.
    fn record(&mut self, attempt: Attempt, exchange: &Exchange) -> bool {
        let is_idempotent = exchange.route.retry_policy == RetryPolicy::Idempotent;
        match attempt {
            Attempt::Answered(parts, body) => {
                self.runs += 1;
                exchange.record_run();
                let is_error = parts.status.is_server_error();
                self.answer = Some((parts, body));
                !is_error || !is_idempotent || self.runs >= exchange.route.max_attempts
            }
            Attempt::Unreachable(message) | Attempt::NoPath(message) => {
                self.failure.get_or_insert(Failure::not_run(message));
                false
            }
            Attempt::Refused(message) => {
                self.failure.get_or_insert(Failure::not_run(message));
                self.sends >= MAX_ATTEMPTS
            }
            Attempt::Lost { message, .. } => {
                self.runs += 1;
                exchange.record_run();
                self.failure = Some(Failure::may_have_run(message));
                !is_idempotent || self.runs >= exchange.route.max_attempts
            }
        }
    }

    /// Reserves a target for the next attempt; every attempt but the first takes a budgeted retry.
    ///
    /// `is_hedge` states whether another attempt is in progress.
    fn reserve_next(
        &mut self,
        exchange: &Exchange,
        is_hedge: bool,
    ) -> Option<(Target, Reservation)> {
        let route = &exchange.route;
        let probation = probation::Access {
            is_repeatable: route.retry_policy == RetryPolicy::Idempotent
                && self.runs + 1 < route.max_attempts
                && self.sends + 1 < MAX_ATTEMPTS,
            is_last_resort: !is_hedge,
        };
        let reserved = reserve(exchange, &self.excluded, probation)?;
        let shared = &exchange.shared;
        if self.sends > 0 && !shared.dispatcher.take_retry(exchange.service, shared.now()) {
            log::info!(target: "retry", request:% = exchange.head.attempt_id; "not retrying: the retry budget is exhausted");
            return None;
        }
        self.excluded.push(reserved.0.key);
        self.sends += 1;
        Some(reserved)
    }
}

/// Sends the request to targets until one of them responds or no attempt is left.
///
/// # Errors
/// The refusal's verdict states whether the request may have run.
pub async fn serve(exchange: &Exchange) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        exchange.check_drain(exchange.route.latency_objective)?;
        let checked = exchange
            .check_cordon()
            .and_then(|()| path::check(&exchange.shared));
        if let Err(refusal) = checked {
            attempts.refusal.get_or_insert(refusal);
            break;
        }
        let Some((target, reservation)) = attempts.reserve_next(exchange, false) else {
            break;
        };
        if let Err(refusal) = exchange.check_quarantine() {
            attempts.refusal = Some(refusal);
            break;
        }
        if send_hedged(exchange, &mut attempts, target, reservation).await {
            break;
        }
        exchange.wait_after_loss().await;
    }
    if let Some((parts, body)) = attempts.answer {
        exchange.check_promise(parts.status)?;
        return Ok(deliver(exchange, &parts, body));
    }
    Err(match attempts.failure {
        Some(failure) if failure.verdict != Verdict::NotRun => {
            Refusal::may_have_run(Reason::TargetLost, failure.message)
        }
        failure => match (attempts.refusal, failure) {
            (Some(refusal), _) => refusal,
            (None, Some(failure)) => Refusal::not_run(Reason::TargetRefused, failure.message)
                .retry_after(BUSY_RETRY_AFTER),
            (None, None) => exchange
                .check_cordon()
                .err()
                .unwrap_or_else(|| no_target(exchange)),
        },
    })
}

/// The refusal if no target takes the request now; says when one does that has a limit.
fn no_target(exchange: &Exchange) -> Refusal {
    let shared = &exchange.shared;
    let targets = shared.directory.targets_of(exchange.service);
    let cold_start = exchange.cold_start();
    match shared
        .dispatcher
        .limit_delay(&targets, cold_start, shared.now())
    {
        Some(delay) => {
            let message = "all targets get as many requests as they take";
            Refusal::not_run(Reason::Overloaded, message).retry_after(delay.max(BUSY_RETRY_AFTER))
        }
        None => Refusal::not_run(Reason::NoTarget, "no target").retry_after(BUSY_RETRY_AFTER),
    }
}

/// Sends the request, hedging a slow idempotent one at a second target.
///
/// Returns whether no further attempt may follow.
async fn send_hedged(
    exchange: &Exchange,
    attempts: &mut Attempts,
    target: Target,
    reservation: Reservation,
) -> bool {
    let can_hedge = exchange.route.retry_policy == RetryPolicy::Idempotent
        && attempts.runs + 1 < exchange.route.max_attempts
        && !exchange.is_suspect();
    let mut first = pin!(send(exchange, target, reservation));
    if !can_hedge {
        let attempt = first.await;
        return count_attempt(exchange, attempts, attempt);
    }
    let delay = exchange.route.latency_objective.mul_f64(HEDGE_DELAY_SHARE);
    if let Some(attempt) = with_timeout(delay, first.as_mut()).await {
        return count_attempt(exchange, attempts, attempt);
    }
    // Another VM may have lost a target to the same request meanwhile.
    let hedge = if exchange.is_suspect() {
        None
    } else {
        attempts.reserve_next(exchange, true)
    };
    let Some((target, reservation)) = hedge else {
        let attempt = first.await;
        return count_attempt(exchange, attempts, attempt);
    };
    log::info!(
        target: "retry", request:% = exchange.head.attempt_id, instance:% = target.instance;
        "slow response; hedging the request at a second target"
    );
    let second = pin!(send(exchange, target, reservation));
    match select(first, second).await {
        Either::Left((attempt, second)) => {
            count_attempt(exchange, attempts, attempt) || {
                let attempt = second.await;
                count_attempt(exchange, attempts, attempt)
            }
        }
        Either::Right((attempt, first)) => {
            count_attempt(exchange, attempts, attempt) || {
                let attempt = first.await;
                count_attempt(exchange, attempts, attempt)
            }
        }
    }
}

/// Records an attempt; failed connections don't count towards [`MAX_ATTEMPTS`].
///
/// Returns whether no further attempt may follow.
fn count_attempt(exchange: &Exchange, attempts: &mut Attempts, attempt: Attempt) -> bool {
    if matches!(attempt, Attempt::Unreachable(_) | Attempt::NoPath(_)) {
        attempts.sends -= 1;
    }
    attempts.record(attempt, exchange)
}

fn reserve(
    exchange: &Exchange,
    excluded: &[key::Target],
    probation: probation::Access,
) -> Option<(Target, Reservation)> {
    let shared = &exchange.shared;
    let settings = shared.settings.load();
    let query = Query {
        load: Load {
            runs: 1,
            ..Load::default()
        },
        excluded,
        cold_access: exchange.cold_start().map(Access::Limited),
        probation: Some(probation),
        data_centre: &settings.vm.data_centre,
        ..Query::default()
    };
    shared.dispatcher.reserve(
        shared.now(),
        &shared.directory.targets_of(exchange.service),
        &query,
    )
}

async fn send(exchange: &Exchange, target: Target, reservation: Reservation) -> Attempt {
    let started = exchange.shared.now();
    let attempt = send_request(exchange, &target).await;
    drop(reservation);
    update_target_health(exchange, &target, started, &attempt);
    attempt
}

async fn send_request(exchange: &Exchange, target: &Target) -> Attempt {
    let shared = &exchange.shared;
    let path = match path::open(shared, target, exchange.purpose()).await {
        Ok(path) => path,
        Err(failure) if failure.is_local => return Attempt::NoPath(failure.message),
        Err(failure) => return Attempt::Unreachable(failure.message),
    };
    let via = path.via;
    let request = exchange.request(target, &GatewayFields::default());
    exchange.mark_sent(target, via);
    let sent = shared.now();
    let answer = match path.send(shared, request).await {
        Ok(answer) => answer,
        Err(failure) if failure.verdict.is_repeatable() => {
            return Attempt::Unreachable(failure.message);
        }
        Err(failure) => return Attempt::lost(exchange, target, &failure).await,
    };
    let (parts, body) = answer.response.into_parts();
    notice::apply(shared, target, (parts.status, &parts.headers), sent, via);
    if is_not_executed(parts.status, &parts.headers) {
        return Attempt::Refused(format!("the target refused with {}", parts.status).into());
    }
    if !is_for_attempt(&parts.headers, &exchange.head.attempt_id) {
        return Attempt::invalid("the answer belongs to another request");
    }
    let body = exchange.shared.buffers.collect(body).await;
    drop(answer.connection);
    match body {
        Ok(body) => {
            exchange.record_survival();
            Attempt::Answered(parts, body)
        }
        Err(error) => Attempt::Lost {
            message: format!("a broken answer: {error}").into(),
            is_local: !exchange.is_targets_fault(target, true).await,
        },
    }
}

/// Updates the target's health and latency in the dispatcher and logs the attempt.
fn update_target_health(exchange: &Exchange, target: &Target, started: Instant, attempt: &Attempt) {
    let shared = &exchange.shared;
    let now = shared.now();
    let limit = match attempt {
        Attempt::Answered(parts, _) => parse_limit(&parts.headers).unwrap_or_default(),
        _ => 0.0,
    };
    let (outcome, detail) = match attempt {
        Attempt::Answered(parts, _) if parts.status.is_server_error() => {
            // For the caller, an error is as costly as a late response.
            shared
                .dispatcher
                .record_latency(target.key, exchange.route.latency_objective, now);
            ("error", parts.status.as_str())
        }
        Attempt::Answered(parts, _) => {
            shared.dispatcher.record_success(target);
            shared.dispatcher.record_served(target.key, started, now);
            shared
                .dispatcher
                .record_latency(target.key, now.since(started), now);
            ("answered", parts.status.as_str())
        }
        Attempt::Unreachable(message) => {
            shared.dispatcher.record_unreachable(target, now);
            ("unreached", &**message)
        }
        Attempt::NoPath(message) => ("no_path", &**message),
        Attempt::Refused(message) => {
            shared.dispatcher.record_rejection(target.key, now);
            ("refused", &**message)
        }
        Attempt::Lost {
            message,
            is_local: true,
        } => ("path_lost", &**message),
        Attempt::Lost { message, .. } => {
            shared.dispatcher.record_failure(target.key, now);
            ("lost", &**message)
        }
    };
    log::info!(
        target: "sent", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
        instance:% = target.instance, outcome, detail, limit, fingerprint:% = exchange.fingerprint,
        elapsed_ms = now.since(exchange.arrived).as_millis() as u64;
        "request sent to a target"
    );
}

/// Records the outcome and builds the response to the client.
fn deliver(exchange: &Exchange, parts: &Parts, body: Bytes) -> Response<Body> {
    let outcome = if parts.status.is_success() {
        Outcome::Served
    } else {
        Outcome::Failed
    };
    if outcome == Outcome::Failed {
        exchange.log_error(parts.status);
    }
    exchange.record_outcome(outcome, parts.status.as_str());
    let mut response = Response::new(answer::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = strip_connection_fields(&parts.headers);
    response
}
