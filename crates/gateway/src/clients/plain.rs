//! Requests for plain services: whole answers, repeated only where that is permitted.

use {
    crate::{
        clients::{
            answer::{self, Body},
            exchange::Exchange,
        },
        metrics::Outcome,
        targets::{client::Failure, dispatcher::Place},
    },
    base::{Instant, Reason, Refusal, Verdict, key},
    bytes::Bytes,
    dispatch::{Load, configuration::RetryPolicy, listing::Target, placement::Query},
    entry::runtime::within,
    futures_util::future::{Either, select},
    http_body_util::{BodyExt, Limited},
    hyper::{Response, http::response::Parts},
    platform::request::{GatewayFields, is_for_attempt, is_not_executed, strip_connection_fields},
    std::{pin::pin, time::Duration},
};

/// Most arrivals of one request at targets; their refusals count, so that a full service isn't
/// flooded.
const MOST_ARRIVALS: u32 = 3;
/// When to come back if no target has room: about ten times what such a request takes.
const BUSY_DELAY: Duration = Duration::from_millis(150);
/// Part of the objective after which an idempotent request is also sent to a second target.
const HEDGE_SHARE: f64 = 0.5;
/// Largest answer that is held whole, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// What one send came to.
enum Sent {
    Answered(Parts, Bytes),
    /// No connection was made.
    Unreached(Box<str>),
    /// The target refused and says that it did not run the request.
    Refused(Box<str>),
    /// The fate of the request is unknown.
    Lost(Box<str>),
}

/// The sends of one request so far.
#[derive(Default)]
struct Attempts {
    excluded: Vec<key::Target>,
    arrivals: u32,
    runs: u32,
    answer: Option<(Parts, Bytes)>,
    failure: Option<Failure>,
}

impl Attempts {
    /// Takes what a send came to; returns whether the request is settled.
    fn take(&mut self, sent: Sent, exchange: &Exchange) -> bool {
        let is_safe = exchange.route.retry_policy == RetryPolicy::Idempotent;
        match sent {
            Sent::Answered(parts, body) => {
                self.runs += 1;
                let is_error = parts.status.is_server_error();
                self.answer = Some((parts, body));
                !is_error || !is_safe || self.runs >= exchange.route.max_attempts
            }
            Sent::Unreached(message) => {
                self.failure.get_or_insert(Failure::not_run(message));
                false
            }
            Sent::Refused(message) => {
                self.failure.get_or_insert(Failure::not_run(message));
                self.arrivals >= MOST_ARRIVALS
            }
            Sent::Lost(message) => {
                self.runs += 1;
                self.failure = Some(Failure::may_have_run(message));
                !is_safe || self.runs >= exchange.route.max_attempts
            }
        }
    }

    /// Takes a place for the next send, with a retry of the budget if it is not the first arrival.
    fn next(&mut self, exchange: &Exchange) -> Option<(Target, Place)> {
        let placed = place(exchange, &self.excluded)?;
        let shared = &exchange.shared;
        if self.arrivals > 0 && !shared.dispatcher.retry(exchange.service, shared.now()) {
            log::info!(target: "retry", request:% = exchange.head.attempt_id; "no retry: the budget is spent");
            return None;
        }
        self.excluded.push(placed.0.key);
        self.arrivals += 1;
        Some(placed)
    }
}

/// Answers a request from a target's whole answer.
///
/// # Errors
/// The refusal says whether the request may have run.
pub async fn serve(exchange: &Exchange) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    while let Some((target, place)) = attempts.next(exchange) {
        if settle(exchange, &mut attempts, target, place).await {
            break;
        }
    }
    if let Some((parts, body)) = attempts.answer {
        return Ok(deliver(exchange, &parts, body));
    }
    Err(match attempts.failure {
        Some(failure) if failure.verdict == Verdict::NotRun => {
            Refusal::not_run(Reason::TargetRefused, failure.message).retry_after(BUSY_DELAY)
        }
        Some(failure) => Refusal::may_have_run(Reason::TargetLost, failure.message),
        None => Refusal::not_run(Reason::NoTarget, "no target").retry_after(BUSY_DELAY),
    })
}

/// Sends the request, and an idempotent one that is slow also to a second target.
async fn settle(
    exchange: &Exchange,
    attempts: &mut Attempts,
    target: Target,
    place: Place,
) -> bool {
    let can_hedge = exchange.route.retry_policy == RetryPolicy::Idempotent
        && attempts.runs + 1 < exchange.route.max_attempts;
    let mut first = pin!(send(exchange, target, place));
    if !can_hedge {
        let sent = first.await;
        return take(exchange, attempts, sent);
    }
    let delay = exchange.route.latency_objective.mul_f64(HEDGE_SHARE);
    if let Some(sent) = within(delay, first.as_mut()).await {
        return take(exchange, attempts, sent);
    }
    let Some((target, place)) = attempts.next(exchange) else {
        let sent = first.await;
        return take(exchange, attempts, sent);
    };
    log::info!(
        target: "retry", request:% = exchange.head.attempt_id, instance:% = target.instance;
        "no answer yet; the request also goes to a second target"
    );
    let second = pin!(send(exchange, target, place));
    match select(first, second).await {
        Either::Left((sent, second)) => {
            take(exchange, attempts, sent) || {
                let sent = second.await;
                take(exchange, attempts, sent)
            }
        }
        Either::Right((sent, first)) => {
            take(exchange, attempts, sent) || {
                let sent = first.await;
                take(exchange, attempts, sent)
            }
        }
    }
}

/// Counts a send; one that never reached its target is no arrival.
fn take(exchange: &Exchange, attempts: &mut Attempts, sent: Sent) -> bool {
    if matches!(sent, Sent::Unreached(_)) {
        attempts.arrivals -= 1;
    }
    attempts.take(sent, exchange)
}

fn place(exchange: &Exchange, excluded: &[key::Target]) -> Option<(Target, Place)> {
    let shared = &exchange.shared;
    let settings = shared.settings.load();
    let ask = Query {
        load: Load {
            runs: 1,
            ..Load::default()
        },
        excluded,
        data_centre: &settings.vm.data_centre,
        ..Query::default()
    };
    shared
        .dispatcher
        .place(shared.now(), &shared.directory.of(exchange.service), &ask)
}

async fn send(exchange: &Exchange, target: Target, place: Place) -> Sent {
    let begun = exchange.shared.now();
    let sent = ask(exchange, &target).await;
    drop(place);
    note(exchange, &target, begun, &sent);
    sent
}

async fn ask(exchange: &Exchange, target: &Target) -> Sent {
    let request = exchange.request(target, &GatewayFields::default());
    exchange.note_sent();
    let answer = match exchange.shared.client.send(target.address, request).await {
        Ok(answer) => answer,
        Err(Failure { verdict, message }) if verdict.is_repeatable() => {
            return Sent::Unreached(message);
        }
        Err(failure) => return Sent::Lost(failure.message),
    };
    let (parts, body) = answer.response.into_parts();
    if is_not_executed(parts.status, &parts.headers) {
        return Sent::Refused(format!("the target refused with {}", parts.status).into());
    }
    if !is_for_attempt(&parts.headers, &exchange.head.attempt_id) {
        return Sent::Lost("the answer belongs to another request".into());
    }
    let body = Limited::new(body, ANSWER_LIMIT).collect().await;
    drop(answer.connection);
    match body {
        Ok(body) => Sent::Answered(parts, body.to_bytes()),
        Err(error) => Sent::Lost(format!("a broken answer: {error}").into()),
    }
}

fn note(exchange: &Exchange, target: &Target, begun: Instant, sent: &Sent) {
    let shared = &exchange.shared;
    let now = shared.now();
    let (outcome, detail) = match sent {
        Sent::Answered(parts, _) if parts.status.is_server_error() => {
            // An error costs the caller as much as an answer that is late.
            shared
                .dispatcher
                .took(target.key, exchange.route.latency_objective, now);
            ("error", parts.status.as_str())
        }
        Sent::Answered(parts, _) => {
            shared.dispatcher.succeeded(target);
            shared.dispatcher.took(target.key, now.since(begun), now);
            ("answered", parts.status.as_str())
        }
        Sent::Unreached(message) => {
            shared.dispatcher.unreached(target, now);
            ("unreached", &**message)
        }
        Sent::Refused(message) => {
            shared.dispatcher.refused(target.key, now);
            ("refused", &**message)
        }
        Sent::Lost(message) => {
            shared.dispatcher.failed(target.key, now);
            ("lost", &**message)
        }
    };
    log::info!(
        target: "sent", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
        instance:% = target.instance, outcome, detail,
        elapsed_ms = now.since(exchange.arrived).as_millis() as u64;
        "a request was sent to a target"
    );
}

fn deliver(exchange: &Exchange, parts: &Parts, body: Bytes) -> Response<Body> {
    let outcome = if parts.status.is_success() {
        Outcome::Served
    } else {
        Outcome::Failed
    };
    exchange.record(outcome, parts.status.as_str());
    let mut response = Response::new(answer::whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = strip_connection_fields(&parts.headers);
    response
}
