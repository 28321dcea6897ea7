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
    base::{Reason, Refusal, Verdict, key},
    bytes::Bytes,
    dispatch::{Load, configuration::Repeat, listing::Target, placement::Ask},
    http_body_util::{BodyExt, Limited},
    hyper::{Response, StatusCode, http::response::Parts},
    platform::request::{Added, belongs_to, is_not_run, strip},
    std::time::Duration,
};

/// Most sends of one request; refusals of targets count, so that a full service isn't flooded.
const MOST_SENDS: usize = 3;
/// When to come back if no target has room: about ten times what such a request takes.
const BUSY_DELAY: Duration = Duration::from_millis(150);
/// Largest answer that is held whole, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// What one send came to.
enum Sent {
    Answered(Parts, Bytes),
    NotRun(Box<str>),
    Lost(Box<str>),
}

/// Answers a request from a target's whole answer.
pub async fn serve(exchange: &Exchange) -> Result<Response<Body>, Refusal> {
    let mut excluded = Vec::new();
    let mut runs = 0;
    let mut sends = 0;
    let mut last = None;
    while let Some((target, place)) = place(exchange, &excluded) {
        if sends > 0
            && !exchange
                .shared
                .dispatcher
                .retry(exchange.service, exchange.shared.now())
        {
            log::info!(target: "retry", request:% = exchange.head.attempt; "no retry: the budget is spent");
            break;
        }
        excluded.push(target.key);
        let sent = send(exchange, &target).await;
        drop(place);
        note(exchange, &target, &sent);
        match sent {
            Sent::Answered(parts, body) => {
                runs += 1;
                let is_final = !parts.status.is_server_error()
                    || exchange.route.repeat != Repeat::Safe
                    || runs >= exchange.route.attempts;
                last = Some(Ok((parts, body)));
                if is_final {
                    break;
                }
            }
            Sent::NotRun(message) => {
                if last.is_none() {
                    last = Some(Err((Verdict::NotRun, message)));
                }
            }
            Sent::Lost(message) => {
                runs += 1;
                if !matches!(last, Some(Ok(_))) {
                    last = Some(Err((Verdict::MayHaveRun, message)));
                }
                if exchange.route.repeat != Repeat::Safe || runs >= exchange.route.attempts {
                    break;
                }
            }
        }
        sends += 1;
        if sends >= MOST_SENDS {
            break;
        }
    }
    match last {
        Some(Ok((parts, body))) => Ok(deliver(exchange, &parts, body)),
        Some(Err((Verdict::NotRun, message))) => {
            Err(Refusal::not_run(Reason::TargetRefused, message).retry_after(BUSY_DELAY))
        }
        Some(Err((_, message))) => Err(Refusal::may_have_run(Reason::TargetLost, message)),
        None => Err(Refusal::not_run(Reason::NoTarget, "no target").retry_after(BUSY_DELAY)),
    }
}

fn place(exchange: &Exchange, excluded: &[key::Target]) -> Option<(Target, Place)> {
    let shared = &exchange.shared;
    let settings = shared.settings.load();
    let ask = Ask {
        load: Load {
            runs: 1,
            ..Load::default()
        },
        engine: None,
        exclude: excluded,
        data_centre: &settings.vm.data_centre,
    };
    shared
        .dispatcher
        .place(shared.now(), &shared.directory.of(exchange.service), &ask)
}

async fn send(exchange: &Exchange, target: &Target) -> Sent {
    exchange.note_sent();
    let request = exchange.request(target, Added::default());
    let answer = match exchange.shared.client.send(target.address, request).await {
        Ok(answer) => answer,
        Err(Failure { verdict, message }) if verdict.is_repeatable() => {
            return Sent::NotRun(message);
        }
        Err(failure) => return Sent::Lost(failure.message),
    };
    let (parts, body) = answer.response.into_parts();
    if is_not_run(parts.status, &parts.headers) {
        return Sent::NotRun(format!("the target refused with {}", parts.status).into());
    }
    if !belongs_to(&parts.headers, &exchange.head.attempt) {
        return Sent::Lost("the answer belongs to another request".into());
    }
    let body = Limited::new(body, ANSWER_LIMIT).collect().await;
    drop(answer.connection);
    match body {
        Ok(body) => Sent::Answered(parts, body.to_bytes()),
        Err(error) => Sent::Lost(format!("a broken answer: {error}").into()),
    }
}

fn note(exchange: &Exchange, target: &Target, sent: &Sent) {
    let shared = &exchange.shared;
    let (outcome, detail) = match sent {
        Sent::Answered(parts, _) if parts.status.is_server_error() => {
            ("error", parts.status.as_str())
        }
        Sent::Answered(parts, _) => ("answered", parts.status.as_str()),
        Sent::NotRun(message) => ("not_run", &**message),
        Sent::Lost(message) => ("lost", &**message),
    };
    match sent {
        Sent::Answered(parts, _) if parts.status != StatusCode::INTERNAL_SERVER_ERROR => {
            shared.dispatcher.succeeded(target.key);
        }
        Sent::Answered(..) => {}
        Sent::NotRun(_) => shared.dispatcher.refused(target.key, shared.now()),
        Sent::Lost(_) => shared.dispatcher.failed(target.key, shared.now()),
    }
    log::info!(
        target: "sent", request:% = exchange.head.attempt, route:% = exchange.route.name,
        instance:% = target.instance, outcome, detail,
        elapsed_ms = shared.now().since(exchange.arrived).as_millis() as u64;
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
    *response.headers_mut() = strip(&parts.headers);
    response
}
