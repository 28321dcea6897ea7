//! Requests for generations: finding an engine with room, and the head of the stream.

use {
    crate::{
        clients::{
            answer::{self, Body, Broken},
            exchange::Exchange,
            relay::{Relay, Source},
        },
        control::reports,
        metrics::Outcome,
        targets::{client::Answer, dispatcher::Place},
    },
    base::{Instant, Reason, Refusal, Verdict, key},
    bytes::Bytes,
    dispatch::{
        Generation, Load,
        configuration::{Engine, RetryPolicy},
        listing::Target,
        load::Occupancy,
        placement::{Query, prefill_time, prefill_tokens},
    },
    futures_util::stream,
    http_body_util::{BodyExt, Limited, StreamBody},
    hyper::{Response, body::Frame, header::CONTENT_TYPE, http::response::Parts},
    platform::request::{
        GatewayFields, is_for_attempt, is_not_executed, parse_occupancy, strip_connection_fields,
    },
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Most arrivals of one request at engines before its stream began.
const MOST_ARRIVALS: u32 = 3;
/// Time of one token of an answer, by which its end is foreseen: a step of a full batch.
const TOKEN_TIME: Duration = Duration::from_millis(11);
/// Time between two looks for room.
const WAIT_POLL: Duration = Duration::from_millis(15);
/// Part of the objective in which the prompts before a request, and its own, must be read; the steps
/// to the first event and the way of the bytes take the rest.
const FIRST_SHARE: f64 = 0.85;
/// When to come back if there was no room: about the time in which an engine finishes a request.
const BUSY_DELAY: Duration = Duration::from_millis(400);
/// Answers above this many tokens are copied to a second engine; shorter ones are made anew.
const COPY_TOKENS: u32 = 100;
/// Largest answer that is no stream, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// A generation as it was planned at its arrival.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Description of the engines.
    pub engine: Option<Engine>,
    /// What the client says.
    pub generation: Generation,
    /// Estimated tokens of the answer.
    pub tokens: u32,
}

impl Plan {
    /// Returns the work that the whole generation is for an engine.
    pub fn load(&self) -> Load {
        Load {
            runs: 1,
            peak_memory: self.generation.prompt_tokens + self.tokens,
            used_memory: self.generation.prompt_tokens,
            pending_prefill: self.generation.prompt_tokens,
            copy_memory: 0,
        }
    }

    /// Returns the work that a copy of it is for a second engine.
    pub fn copy(&self) -> Load {
        Load {
            copy_memory: self.generation.prompt_tokens + self.tokens,
            ..Load::default()
        }
    }

    /// Returns whether a copy is kept at a second engine.
    pub fn is_copied(&self) -> bool {
        self.engine.is_some_and(|engine| engine.supports_backup) && self.tokens > COPY_TOKENS
    }
}

/// Answers a request with a stream.
///
/// # Errors
/// The refusal says whether the request may have run.
pub async fn serve(exchange: &Arc<Exchange>) -> Result<Response<Body>, Refusal> {
    let plan = plan(exchange);
    refuse_while_leaving(exchange, &plan)?;
    let mut excluded = Vec::new();
    let mut arrivals = 0;
    let mut last: Option<Refusal> = None;
    while arrivals < MOST_ARRIVALS {
        let (target, place) = match wait(exchange, &plan, &excluded).await {
            Ok(placed) => placed,
            // What an engine said before goes before the want of room at the others.
            Err(refusal) => {
                last.get_or_insert(refusal);
                break;
            }
        };
        if arrivals > 0
            && !exchange
                .shared
                .dispatcher
                .retry(exchange.service, exchange.shared.now())
        {
            log::info!(target: "retry", request:% = exchange.head.attempt_id; "no retry: the budget is spent");
            break;
        }
        excluded.push(target.key);
        let may_repeat = exchange.route.retry_policy != RetryPolicy::AtMostOnce
            && arrivals + 1 < exchange.route.max_attempts;
        let backup = copy(exchange, &plan, &target, &excluded);
        let source = Source::new((target, place), backup, &exchange.head.attempt_id);
        let mut refusal = match send(exchange, source, plan, may_repeat).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        // A target that was never reached leaves the retry budget and the attempts as they are.
        let was_reached =
            refusal.reason != Reason::TargetLost || refusal.verdict != Verdict::NotRun;
        arrivals += u32::from(was_reached);
        let is_repeatable = refusal.verdict == Verdict::NotRun || may_repeat;
        // What an earlier engine may have run has not become unrun by a later refusal.
        if let Some(earlier) = &last {
            refusal.verdict = refusal.verdict.and(earlier.verdict);
        }
        last = Some(refusal);
        if !is_repeatable {
            break;
        }
    }
    Err(last.unwrap_or_else(|| {
        Refusal::not_run(Reason::NoTarget, "no engine has room").retry_after(BUSY_DELAY)
    }))
}

/// Sends a client whose answer would outlast this process to another VM at once.
fn refuse_while_leaving(exchange: &Exchange, plan: &Plan) -> Result<(), Refusal> {
    let shared = &exchange.shared;
    if !shared.drain.is_leaving() {
        return Ok(());
    }
    let duration = exchange.route.latency_objective + TOKEN_TIME * plan.tokens;
    if duration < shared.drain.left(shared.now()) {
        return Ok(());
    }
    let refusal = Refusal::not_run(
        Reason::NotReady,
        "this VM stops before the answer would end",
    );
    Err(refusal.retry_after(Duration::ZERO))
}

fn plan(exchange: &Exchange) -> Plan {
    let generation = exchange.head.generation.unwrap_or_default();
    let service = exchange.published.configuration.service(exchange.service);
    Plan {
        engine: service.and_then(|service| service.engine),
        tokens: exchange
            .shared
            .dispatcher
            .estimate(&exchange.route.name, &generation),
        generation,
    }
}

/// Waits until an engine has room, for as long as the objective can still be met.
///
/// # Errors
/// Returns at once if no room is expected by then, with the time to come back in.
async fn wait(
    exchange: &Exchange,
    plan: &Plan,
    excluded: &[key::Target],
) -> Result<(Target, Place), Refusal> {
    let shared = &exchange.shared;
    let service = exchange.service;
    let priority = exchange.route.priority;
    let now = shared.now();
    let ahead = shared.dispatcher.ahead_of_newcomer(service, priority, now);
    if let Some(placed) = place(exchange, plan, excluded, ahead, now) {
        return Ok(placed);
    }
    let reading = exchange.route.latency_objective.mul_f64(FIRST_SHARE);
    let reading = reading.saturating_sub(prefill_time(plan.generation.prompt_tokens));
    let end = exchange.arrived + reading;
    let targets = shared.directory.of(service);
    let queued = shared
        .dispatcher
        .enter(service, priority, now, end, &targets);
    let queued = queued.map_err(|expected| {
        let message = "no engine is expected to have room within the objective";
        Refusal::not_run(Reason::Overloaded, message).retry_after(expected)
    })?;
    loop {
        let now = shared.now();
        shared.take_peers_work();
        if let Some(ahead) = queued.ahead(now)
            && let Some(placed) = place(exchange, plan, excluded, ahead, now)
        {
            return Ok(placed);
        }
        if now >= end {
            let delay = shared.dispatcher.return_delay(service);
            return Err(Refusal::not_run(Reason::NoTarget, "no engine had room").retry_after(delay));
        }
        Timer::after(WAIT_POLL).await;
    }
}

/// Takes a place at an engine, if one has room.
pub fn place(
    exchange: &Exchange,
    plan: &Plan,
    excluded: &[key::Target],
    ahead: usize,
    now: Instant,
) -> Option<(Target, Place)> {
    choose(exchange, plan.load(), plan, now, |ask| {
        ask.excluded = excluded;
        ask.queued_ahead = ahead;
        ask.max_pending_prefill = prefill_room(exchange, plan, now);
    })
}

/// Returns the tokens of prompts that an engine may have to read before this one, so that its first
/// event still comes within the objective.
fn prefill_room(exchange: &Exchange, plan: &Plan, now: Instant) -> u32 {
    let due = exchange.arrived + exchange.route.latency_objective.mul_f64(FIRST_SHARE);
    prefill_tokens(due.since(now)).saturating_sub(plan.generation.prompt_tokens)
}

/// Takes room for the copy of a run, if that is worth it.
pub fn copy(
    exchange: &Exchange,
    plan: &Plan,
    run: &Target,
    excluded: &[key::Target],
) -> Option<(Target, Place)> {
    if !plan.is_copied() {
        return None;
    }
    let is_run_near = run.data_centre == exchange.shared.settings.load().vm.data_centre;
    choose(exchange, plan.copy(), plan, exchange.shared.now(), |ask| {
        ask.excluded = excluded;
        ask.is_run_local = is_run_near;
    })
}

/// Takes room for a run that has to leave its engine, near to it since moves over distance are slow.
pub fn refuge(
    exchange: &Exchange,
    plan: &Plan,
    run: &Target,
    excluded: &[key::Target],
) -> Option<(Target, Place)> {
    let now = exchange.shared.now();
    choose(exchange, plan.copy(), plan, now, |ask| {
        ask.excluded = excluded;
        ask.run_data_centre = Some(&run.data_centre);
        ask.is_urgent = true;
    })
}

fn choose<'a>(
    exchange: &Exchange,
    load: Load,
    plan: &Plan,
    now: Instant,
    refine: impl FnOnce(&mut Query<'a>),
) -> Option<(Target, Place)> {
    let shared = &exchange.shared;
    shared.take_peers_work();
    let settings = shared.settings.load();
    let mut ask = Query {
        load,
        engine: plan.engine,
        is_remote_stale: shared.dispatcher.vms() > reports::FULL_MESH,
        ..Query::default()
    };
    refine(&mut ask);
    let ask = Query {
        data_centre: &settings.vm.data_centre,
        ..ask
    };
    shared
        .dispatcher
        .place(now, &shared.directory.of(exchange.service), &ask)
}

async fn send(
    exchange: &Arc<Exchange>,
    source: Source,
    plan: Plan,
    may_repeat: bool,
) -> Result<Response<Body>, Refusal> {
    let shared = &exchange.shared;
    let added = GatewayFields {
        backup: source.backup().map(|backup| backup.address),
        ..GatewayFields::default()
    };
    exchange.note_sent();
    let waited = shared.now().since(exchange.arrived);
    let request = exchange.request(source.target(), &added);
    let sent = shared.client.send(source.target().address, request).await;
    let target = source.target().clone();
    let (outcome, refusal) = match sent {
        Err(failure) => {
            if failure.verdict.is_repeatable() {
                shared.dispatcher.unreached(&target, shared.now());
            } else {
                shared.dispatcher.failed(target.key, shared.now());
            }
            let refusal = Refusal {
                verdict: failure.verdict,
                ..Refusal::not_run(Reason::TargetLost, failure.message)
            };
            ("lost", refusal)
        }
        Ok(answer) if is_not_executed(answer.response.status(), answer.response.headers()) => {
            shared.dispatcher.refused(target.key, shared.now());
            let message = format!("the engine refused with {}", answer.response.status());
            ("not_run", Refusal::not_run(Reason::TargetRefused, message))
        }
        Ok(answer) if !is_for_attempt(answer.response.headers(), &exchange.head.attempt_id) => {
            let message = "the answer belongs to another request";
            (
                "lost",
                Refusal::may_have_run(Reason::TargetInvalid, message),
            )
        }
        Ok(answer) if may_repeat && answer.response.status().is_server_error() => {
            shared.dispatcher.failed(target.key, shared.now());
            let message = format!("the engine answered {}", answer.response.status());
            (
                "error",
                Refusal::may_have_run(Reason::TargetInvalid, message),
            )
        }
        Ok(answer) => {
            if answer.response.status().is_server_error() {
                shared.dispatcher.failed(target.key, shared.now());
            } else {
                shared.dispatcher.succeeded(&target);
            }
            log_sent(
                exchange,
                &source,
                "answered",
                answer.response.status().as_str(),
                parse_occupancy(answer.response.headers()),
                waited,
            );
            exchange.note_run();
            return deliver(exchange, source, plan, answer).await;
        }
    };
    if refusal.verdict != Verdict::NotRun {
        exchange.note_run();
    }
    log_sent(exchange, &source, outcome, &refusal.message, None, waited);
    Err(refusal.retry_after(BUSY_DELAY))
}

fn log_sent(
    exchange: &Exchange,
    source: &Source,
    outcome: &str,
    detail: &str,
    told: Option<Occupancy>,
    waited: Duration,
) {
    let told = told.map_or_else(String::new, |told| told.to_string());
    let basis = source.place().basis();
    log::info!(
        target: "sent", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
        instance:% = source.target().instance, data_centre:% = source.target().data_centre,
        backup = source.backup().map_or("", |backup| &*backup.instance), outcome, detail,
        runs = basis.load.runs, memory = basis.load.peak_memory, copies = basis.load.copy_memory,
        prefill = basis.load.pending_prefill, told, waited_ms = waited.as_millis() as u64,
        candidates = basis.candidates, cost_ms = basis.cost as u64,
        vms = exchange.shared.dispatcher.vms(),
        elapsed_ms = exchange.shared.now().since(exchange.arrived).as_millis() as u64;
        "a generation was sent to an engine"
    );
}

async fn deliver(
    exchange: &Arc<Exchange>,
    source: Source,
    plan: Plan,
    answer: Answer,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = answer.response.into_parts();
    if !parts.status.is_success() || !is_event_stream(&parts) {
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body.map_err(|error| {
            Refusal::may_have_run(Reason::TargetLost, format!("a broken answer: {error}"))
        })?;
        exchange.record(Outcome::Failed, parts.status.as_str());
        return Ok(head(&parts, answer::whole(body.to_bytes())));
    }
    let relay = Relay::new(Arc::clone(exchange), source, plan, body, answer.connection);
    let events = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let body = StreamBody::new(Box::pin(events));
    Ok(head(&parts, BodyExt::boxed_unsync(body)))
}

fn is_event_stream(parts: &Parts) -> bool {
    let kind = parts
        .headers
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn head(parts: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = strip_connection_fields(&parts.headers);
    response
}

/// What a relay yields.
pub type Item = Result<Bytes, Broken>;
