//! Serves generation requests: engine selection, admission and the start of the response.

use {
    crate::{
        clients::{
            answer::{self, Body, BodyError},
            exchange::Exchange,
            handover::Progress,
            relay::{Relay, Source, Upstream},
            resumption,
        },
        control::reports,
        metrics::Outcome,
        targets::{
            client::{Answer, Failure, is_event_stream},
            dispatcher::Reservation,
            notice, path,
        },
    },
    base::{Instant, Reason, Refusal, Verdict, key},
    bytes::Bytes,
    dispatch::{
        Generation, Load,
        cold::Access,
        configuration::{Engine, RetryPolicy},
        listing::Target,
        placement::{Query, overdue_delay, prefill_time, prefill_tokens},
        probation,
        returning::{self, Place, Return},
        waiting::Arrival,
    },
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{HeaderMap, Response, body::Frame, http::response::Parts},
    platform::request::{
        GatewayFields, is_for_attempt, is_not_executed, parse_limit, parse_occupancy,
        strip_connection_fields,
    },
    smol::Timer,
    std::{future, net::Ipv4Addr, sync::Arc, time::Duration},
};

/// Maximum number of engines that receive one request before its stream starts.
///
/// Refusals count; failed connections don't.
const MAX_ATTEMPTS: u32 = 3;
/// Inter-token latency of a full batch, used to predict the duration of a response.
const TOKEN_INTERVAL: Duration = Duration::from_millis(11);
/// Interval between placement attempts of a queued request.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Share of the time-to-first-event objective that is available for prefill.
///
/// It covers the prompts ahead of a request and its own. The rest is for the decode steps up to
/// the first event and for network latency.
const PREFILL_SHARE: f64 = 0.85;
/// Retry delay sent when no engine has capacity: roughly how often an engine completes a request.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Number of engines for each new request for which a returning one leaves capacity (trunk reservation).
const ENGINES_PER_HEADROOM: usize = 6;
/// Minimum time without an event after which clients leave.
const MIN_CLIENT_PATIENCE: Duration = Duration::from_secs(2);
/// Time without an event after which clients leave, in latency objectives.
const CLIENT_PATIENCE: u32 = 4;
/// Estimated output length above which a run's KV cache is copied to a second engine.
///
/// Shorter runs are restarted instead.
const COPY_THRESHOLD_TOKENS: u32 = 100;

/// Resource estimate for a generation, made when the request arrives.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Properties of the service's engines; `None` if the service has no engines.
    pub engine: Option<Engine>,
    /// Request parameters sent by the client.
    pub generation: Generation,
    /// Estimated output length in tokens.
    pub estimated_tokens: u32,
    /// Estimated duration at engines that are as fast as they should be.
    pub duration: Duration,
    /// Time by which the request should have its first event.
    pub first_event_deadline: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the client sent the request for the first time.
    pub first_arrived: Instant,
    /// Whether the client has come back to its place after a rejection.
    pub is_returning: bool,
}

impl Plan {
    /// Returns how the request is ordered among those that wait.
    ///
    /// The objective of a returning request has passed, and those that can still meet theirs go first.
    fn arrival(&self, priority: u32, now: Instant) -> Arrival {
        let arrival = Arrival::new(priority, now);
        if self.is_returning {
            arrival.with_turn(self.first_event_deadline)
        } else {
            arrival
        }
    }

    /// Returns the number of further requests for which capacity has to be left.
    ///
    /// A request whose objective has passed would otherwise fill the last capacity just before one
    /// arrives that can still meet its objective.
    ///
    /// At the end of its wait it takes what is left, so that it does not wait behind all others in vain.
    fn headroom(&self, engines: usize, now: Instant) -> usize {
        if self.is_returning && now < self.wait_deadline() {
            engines / ENGINES_PER_HEADROOM
        } else {
            0
        }
    }

    /// Returns until when the request may wait for capacity; its own prefill must be over by the time its
    /// first event is due.
    fn wait_deadline(&self) -> Instant {
        let prefill = prefill_time(self.generation.prompt_tokens);
        self.arrived
            + self
                .first_event_deadline
                .since(self.arrived)
                .saturating_sub(prefill)
    }

    /// Returns the load that the entire run adds to its engine.
    pub fn run_load(&self) -> Load {
        Load {
            runs: 1,
            peak_memory: self.generation.prompt_tokens + self.estimated_tokens,
            used_memory: self.generation.prompt_tokens,
            pending_prefill: self.generation.prompt_tokens,
            copy_memory: 0,
        }
    }

    /// Returns the load that a copy of the run adds to a second engine.
    pub fn copy_load(&self) -> Load {
        Load {
            copy_memory: self.generation.prompt_tokens + self.estimated_tokens,
            ..Load::default()
        }
    }

    /// Returns whether the run's KV cache should be copied to a second engine.
    pub fn is_copied(&self) -> bool {
        self.engine.is_some_and(|engine| engine.supports_backup)
            && self.estimated_tokens > COPY_THRESHOLD_TOKENS
    }
}

/// Sends the request to an engine and returns its response, usually a stream.
///
/// # Errors
/// The refusal's verdict states whether the request may have run.
pub async fn serve(exchange: &Arc<Exchange>) -> Result<Response<Body>, Refusal> {
    let mut plan = plan(exchange);
    exchange.check_drain(plan.duration)?;
    exchange.check_cordon()?;
    resumption::check(exchange)?;
    exchange.check_quarantine()?;
    claim_place(exchange, &mut plan);
    let mut excluded = Vec::new();
    let mut attempts = 0;
    let mut last_refusal: Option<Refusal> = None;
    while attempts < MAX_ATTEMPTS {
        if let Err(refusal) = path::check(&exchange.shared) {
            last_refusal.get_or_insert(refusal);
            break;
        }
        let may_retry = exchange.route.retry_policy != RetryPolicy::AtMostOnce
            && attempts + 1 < exchange.route.max_attempts;
        let is_repeatable = may_retry && attempts + 1 < MAX_ATTEMPTS;
        let reserved = wait_for_capacity(exchange, &plan, &excluded, is_repeatable).await;
        // Meanwhile this VM may have begun to stop.
        exchange.check_drain(plan.duration)?;
        let (target, reservation) = match reserved {
            Ok(reserved) => reserved,
            // An earlier engine's refusal is more informative than the lack of capacity elsewhere.
            Err(refusal) => {
                last_refusal.get_or_insert(refusal);
                break;
            }
        };
        // Meanwhile another release may have come, or an engine been lost to such a request.
        let checked = resumption::check(exchange).and_then(|()| exchange.check_quarantine());
        if let Err(refusal) = checked {
            last_refusal.get_or_insert(refusal);
            break;
        }
        if attempts > 0
            && !exchange
                .shared
                .dispatcher
                .take_retry(exchange.service, exchange.shared.now())
        {
            log::info!(target: "retry", request:% = exchange.head.attempt_id; "not retrying: the retry budget is exhausted");
            break;
        }
        if !exchange.handover.wait().await {
            log::info!(target: "retry", request:% = exchange.head.attempt_id; "not retrying: an engine that broke off its answer works on");
            break;
        }
        excluded.push(target.key);
        let backup = reserve_copy(exchange, &plan, &target, &excluded);
        let source = Source::new((target, reservation), backup, &exchange.head.attempt_id);
        let mut refusal = match send(exchange, source, plan, may_retry).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        // Failed connections count neither as attempts nor against the retry budget.
        let was_reached =
            refusal.reason != Reason::TargetLost || refusal.verdict != Verdict::NotRun;
        attempts += u32::from(was_reached);
        let is_retryable = refusal.verdict == Verdict::NotRun || may_retry;
        // A later refusal doesn't change that an earlier engine may have run the request.
        if let Some(earlier) = &last_refusal {
            refusal.verdict = refusal.verdict.and(earlier.verdict);
        }
        last_refusal = Some(refusal);
        if !is_retryable {
            break;
        }
        exchange.wait_after_loss().await;
    }
    Err(last_refusal.unwrap_or_else(|| {
        Refusal::not_run(Reason::NoTarget, "no engine has room").retry_after(BUSY_RETRY_AFTER)
    }))
}

fn plan(exchange: &Exchange) -> Plan {
    let dispatcher = &exchange.shared.dispatcher;
    let route = &exchange.route;
    let generation = exchange.head.generation.unwrap_or_default();
    let service = exchange.published.configuration.service(exchange.service);
    let estimated_tokens = dispatcher.estimate_tokens(&route.name, &generation);
    // Before any output of the route is known, only the permitted length is certain.
    let expected_tokens = match dispatcher.longest_duration(&route.name) {
        Some(_) => estimated_tokens,
        None => estimated_tokens.max(generation.max_tokens),
    };
    Plan {
        engine: service.and_then(|service| service.engine),
        generation,
        estimated_tokens,
        duration: route.latency_objective + TOKEN_INTERVAL * expected_tokens,
        first_event_deadline: exchange.arrived + usual_wait(exchange),
        arrived: exchange.arrived,
        first_arrived: exchange.arrived,
        is_returning: false,
    }
}

/// Returns the time for which a new request may await its first event.
fn usual_wait(exchange: &Exchange) -> Duration {
    exchange.route.latency_objective.mul_f64(PREFILL_SHARE)
}

/// Uses the place of a request whose client was rejected before.
fn claim_place(exchange: &Exchange, plan: &mut Plan) {
    let shared = &exchange.shared;
    let arrived = exchange.arrived;
    let claim = shared
        .dispatcher
        .take_place(exchange.fingerprint, exchange.deadline, arrived);
    plan.is_returning = claim.is_some();
    let Some(Return::Due(place)) = claim else {
        return;
    };
    log::info!(
        target: "returned", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
        age_ms = arrived.since(place.arrived).as_millis() as u64,
        late_ms = arrived.since(place.returns).as_millis() as u64;
        "a client came back to its place after a rejection"
    );
    shared.metrics.record_return();
    let patience = client_patience(exchange.route.latency_objective).mul_f64(PREFILL_SHARE);
    let usual = usual_wait(exchange);
    plan.first_arrived = place.arrived;
    plan.first_event_deadline =
        returning::first_event_deadline(arrived, exchange.deadline, usual, patience);
}

/// Returns the time without an event after which clients give up.
pub fn client_patience(latency_objective: Duration) -> Duration {
    MIN_CLIENT_PATIENCE.max(latency_objective * CLIENT_PATIENCE)
}

/// Rejects a request that there is no capacity for, and keeps its place if its client may return.
///
/// After an attempt (`excluded` has its engine) the client gets the refusal of that one instead.
fn reject(
    exchange: &Exchange,
    plan: &Plan,
    excluded: &[key::Target],
    refusal: Refusal,
    delay: Duration,
) -> Refusal {
    let dispatcher = &exchange.shared.dispatcher;
    if !dispatcher.keeps_places() || !excluded.is_empty() {
        return refusal.retry_after(delay);
    }
    let now = exchange.shared.now();
    let delay = returning::return_delay(delay, exchange.deadline.since(now));
    let place = Place {
        fingerprint: exchange.fingerprint,
        arrived: plan.first_arrived,
        deadline: exchange.deadline,
        returns: now + delay,
    };
    dispatcher.keep_place(place, now);
    refusal.retry_after(delay)
}

/// Returns the targets whose runs make room for requests that wait at this VM.
///
/// In a large fleet, requests that wait in other data centres are not known, so the runs there are
/// left to these.
fn targets_with_known_queues(exchange: &Exchange) -> Arc<[Target]> {
    let shared = &exchange.shared;
    let targets = shared.directory.targets_of(exchange.service);
    let dispatcher = &shared.dispatcher;
    if !dispatcher.keeps_places() || dispatcher.live_vms() <= reports::MAX_FULL_MESH_VMS {
        return targets;
    }
    let settings = shared.settings.load();
    let is_local = |target: &&Target| target.data_centre == settings.vm.data_centre;
    targets.iter().filter(is_local).cloned().collect()
}

/// Queues the request until an engine has capacity or the objective can no longer be met.
///
/// Engines on probation don't count, unless the request may be repeated and is their only one. They
/// get it as well if it would be refused otherwise and its client keeps no place.
///
/// # Errors
/// Returns a refusal with a retry delay: immediately if no capacity is expected in time, otherwise
/// when the wait has expired.
async fn wait_for_capacity(
    exchange: &Exchange,
    plan: &Plan,
    excluded: &[key::Target],
    is_repeatable: bool,
) -> Result<(Target, Reservation), Refusal> {
    let shared = &exchange.shared;
    let service = exchange.service;
    exchange.check_cordon()?;
    let now = shared.now();
    let access = probation::Access {
        is_repeatable,
        is_last_resort: false,
    };
    let last_resort = probation::Access {
        is_last_resort: true,
        ..access
    };
    let dispatcher = &shared.dispatcher;
    // A client that keeps its place comes back rather than lose its only run at a failing engine.
    let has_last_resort =
        dispatcher.has_probation() && (is_repeatable || !dispatcher.keeps_places());
    let wait_deadline = plan.wait_deadline();
    let arrival = plan.arrival(exchange.route.priority, now);
    let ahead = shared.dispatcher.ahead_of_arrival(service, arrival);
    if let Some(reserved) = reserve(exchange, plan, excluded, access, ahead, now) {
        return Ok(reserved);
    }
    let targets = shared.directory.targets_of(service);
    if let Some(delay) = shared
        .dispatcher
        .limit_delay(&targets, exchange.cold_start(), now)
        && now + delay > wait_deadline
    {
        let message = "all engines get as many requests as they take";
        let refusal = Refusal::not_run(Reason::Overloaded, message);
        return Err(reject(exchange, plan, excluded, refusal, delay));
    }
    let targets = targets_with_known_queues(exchange);
    let entry = shared
        .dispatcher
        .enqueue(service, arrival, wait_deadline, &targets, now);
    let entry = match entry {
        Ok(entry) => entry,
        Err(delay) => {
            if has_last_resort
                && let Some(reserved) = reserve(exchange, plan, excluded, last_resort, ahead, now)
            {
                return Ok(reserved);
            }
            let message = "no engine is expected to have room within the objective";
            let refusal = Refusal::not_run(Reason::Overloaded, message);
            return Err(reject(exchange, plan, excluded, refusal, delay));
        }
    };
    loop {
        let now = shared.now();
        shared.refresh_peers();
        let is_expired = now >= wait_deadline;
        let access = if is_expired && has_last_resort {
            last_resort
        } else {
            access
        };
        let ahead = if is_expired && plan.is_returning {
            Some(0)
        } else {
            entry.ahead(now)
        };
        if let Some(ahead) = ahead
            && let Some(reserved) = reserve(exchange, plan, excluded, access, ahead, now)
        {
            return Ok(reserved);
        }
        exchange.check_cordon()?;
        if is_expired || exchange.outlasts_drain(plan.duration) {
            drop(entry);
            let targets = targets_with_known_queues(exchange);
            let delay = shared.dispatcher.retry_delay(
                service,
                Arrival::new(exchange.route.priority, now),
                &targets,
                now,
            );
            let refusal = Refusal::not_run(Reason::NoTarget, "no engine had room");
            return Err(reject(exchange, plan, excluded, refusal, delay));
        }
        Timer::after(CAPACITY_POLL_INTERVAL).await;
    }
}

/// Reserves capacity for the run at an engine; `None` if no engine has any.
fn reserve(
    exchange: &Exchange,
    plan: &Plan,
    excluded: &[key::Target],
    probation: probation::Access,
    ahead: usize,
    now: Instant,
) -> Option<(Target, Reservation)> {
    let engines = exchange.shared.directory.targets_of(exchange.service).len();
    reserve_with(exchange, plan.run_load(), plan, now, |query| {
        query.excluded = excluded;
        query.release = exchange.origin().map(|origin| &*origin.release);
        query.queued_ahead = ahead + plan.headroom(engines, now);
        query.probation = Some(probation);
        query.max_pending_prefill = max_pending_prefill(exchange, plan, now);
    })
}

/// Reserves capacity for a run that goes on, if need be at a cold engine that has had its share.
pub fn reserve_continuation(
    exchange: &Exchange,
    plan: &Plan,
    excluded: &[key::Target],
    now: Instant,
) -> Option<(Target, Reservation)> {
    reserve_with(exchange, plan.run_load(), plan, now, |query| {
        query.excluded = excluded;
        query.release = exchange.origin().map(|origin| &*origin.release);
        query.max_pending_prefill = max_pending_prefill(exchange, plan, now);
        query.cold_access = exchange.cold_start().map(Access::Continuation);
    })
}

/// Returns how many prompt tokens an engine may process ahead of this request without delaying its
/// first event beyond the objective.
///
/// A returning request may wait for longer, but no longer at an engine than a new one: what awaits
/// prefill there is lost if the engine leaves.
fn max_pending_prefill(exchange: &Exchange, plan: &Plan, now: Instant) -> u32 {
    let time = if plan.is_returning {
        usual_wait(exchange)
    } else {
        plan.first_event_deadline.since(now)
    };
    prefill_tokens(time).saturating_sub(plan.generation.prompt_tokens)
}

/// Reserves capacity for a copy of a run, if the run is long enough to be copied.
///
/// The copy is placed at an engine of the same release, as no other one can continue the run.
pub fn reserve_copy(
    exchange: &Exchange,
    plan: &Plan,
    run_target: &Target,
    excluded: &[key::Target],
) -> Option<(Target, Reservation)> {
    if !plan.is_copied() {
        return None;
    }
    let is_run_local = run_target.data_centre == exchange.shared.settings.load().vm.data_centre;
    reserve_with(
        exchange,
        plan.copy_load(),
        plan,
        exchange.shared.now(),
        |query| {
            query.excluded = excluded;
            query.release = Some(&run_target.release);
            query.is_run_local = is_run_local;
        },
    )
}

/// Reserves capacity to evacuate a run, near its engine because remote transfers are slow.
pub fn reserve_evacuation(
    exchange: &Exchange,
    plan: &Plan,
    run_target: &Target,
    excluded: &[key::Target],
) -> Option<(Target, Reservation)> {
    let now = exchange.shared.now();
    reserve_with(exchange, plan.copy_load(), plan, now, |query| {
        query.excluded = excluded;
        query.release = Some(&run_target.release);
        query.run_data_centre = Some(&run_target.data_centre);
        query.is_urgent = true;
    })
}

fn reserve_with<'a>(
    exchange: &Exchange,
    load: Load,
    plan: &Plan,
    now: Instant,
    set_options: impl FnOnce(&mut Query<'a>),
) -> Option<(Target, Reservation)> {
    let shared = &exchange.shared;
    shared.refresh_peers();
    let settings = shared.settings.load();
    let mut query = Query {
        load,
        engine: plan.engine,
        cold_access: exchange.cold_start().map(Access::Limited),
        is_remote_stale: shared.dispatcher.live_vms() > reports::MAX_FULL_MESH_VMS,
        ..Query::default()
    };
    set_options(&mut query);
    let query = Query {
        data_centre: &settings.vm.data_centre,
        ..query
    };
    shared
        .dispatcher
        .reserve(now, &shared.directory.targets_of(exchange.service), &query)
}

/// Sends the request to one engine, records the result and returns the response.
///
/// # Errors
/// The refusal's verdict states whether the engine may have run the request.
async fn send(
    exchange: &Arc<Exchange>,
    source: Source,
    plan: Plan,
    may_retry: bool,
) -> Result<Response<Body>, Refusal> {
    let shared = &exchange.shared;
    let fields = GatewayFields {
        backup: source.backup().map(|backup| backup.address),
        ..GatewayFields::default()
    };
    let waited = shared.now().since(exchange.arrived);
    let target = source.target().clone();
    let mut via = None;
    let result = match path::open(shared, &target, exchange.purpose()).await {
        Ok(path) => {
            via = path.via;
            exchange.mark_sent(&target, via);
            let sent = shared.now();
            let request = exchange.request(&target, &fields);
            let response = path.send(shared, request);
            let result = smol::future::or(response, report_overdue(exchange, &source)).await;
            if let Ok(Answer { response, .. }) = &result {
                let answer = (response.status(), response.headers());
                notice::apply(shared, &target, answer, sent, via);
            }
            result
        }
        Err(failure) => Err(failure),
    };
    let (outcome, refusal) = match result {
        Err(failure) => {
            if may_retry && !failure.verdict.is_repeatable() {
                let progress = Progress::Unstarted;
                exchange.handover.stop(exchange, &target, None, progress);
            }
            record_failure(exchange, &target, &failure).await;
            let refusal = Refusal {
                verdict: failure.verdict,
                ..Refusal::not_run(Reason::TargetLost, failure.message)
            };
            ("lost", refusal)
        }
        Ok(answer) if is_not_executed(answer.response.status(), answer.response.headers()) => {
            shared.dispatcher.record_rejection(target.key, shared.now());
            let message = format!("the engine refused with {}", answer.response.status());
            ("not_run", Refusal::not_run(Reason::TargetRefused, message))
        }
        Ok(answer) if !is_for_attempt(answer.response.headers(), &exchange.head.attempt_id) => {
            if may_retry {
                let progress = Progress::Unstarted;
                exchange.handover.stop(exchange, &target, None, progress);
            }
            let message = "the answer belongs to another request";
            (
                "lost",
                Refusal::may_have_run(Reason::TargetInvalid, message),
            )
        }
        Ok(answer) if may_retry && answer.response.status().is_server_error() => {
            shared.dispatcher.record_failure(target.key, shared.now());
            let message = format!("the engine answered {}", answer.response.status());
            (
                "error",
                Refusal::may_have_run(Reason::TargetInvalid, message),
            )
        }
        Ok(answer) => {
            if answer.response.status().is_server_error() {
                shared.dispatcher.record_failure(target.key, shared.now());
            } else {
                shared.dispatcher.record_success(&target);
            }
            log_sent(
                exchange,
                &source,
                "answered",
                answer.response.status().as_str(),
                answer.response.headers(),
                waited,
            );
            exchange.record_run();
            return deliver(exchange, source, plan, answer, via).await;
        }
    };
    if refusal.verdict != Verdict::NotRun {
        exchange.record_run();
    }
    let headers = HeaderMap::new();
    log_sent(
        exchange,
        &source,
        outcome,
        &refusal.message,
        &headers,
        waited,
    );
    Err(refusal.retry_after(BUSY_RETRY_AFTER))
}

/// Tells peers that the engine doesn't answer once its response is overdue; never returns.
async fn report_overdue<T>(exchange: &Exchange, source: &Source) -> T {
    let basis = source.reservation().basis();
    let load = &basis.load;
    let prompt_tokens = exchange.head.generation.unwrap_or_default().prompt_tokens;
    let delay = overdue_delay(load.pending_prefill.saturating_add(prompt_tokens));
    Timer::after(delay.mul_f64(basis.factor.max(1.0))).await;
    let shared = &exchange.shared;
    shared.dispatcher.notify_peers();
    shared.metrics.record_overdue();
    log::info!(
        target: "overdue", request:% = exchange.head.attempt_id, instance:% = source.target().instance,
        data_centre:% = source.target().data_centre, prefill = load.pending_prefill, runs = load.runs;
        "the engine has not answered in the expected time"
    );
    future::pending().await
}

/// Records the failure of an engine, unless it is this VM's or a peer's.
async fn record_failure(exchange: &Exchange, target: &Target, failure: &Failure) {
    let shared = &exchange.shared;
    if failure.is_local {
        return;
    }
    if failure.verdict.is_repeatable() {
        shared.dispatcher.record_unreachable(target, shared.now());
    } else if exchange.is_targets_fault(target, failure.is_closed).await {
        shared.dispatcher.record_failure(target.key, shared.now());
        if failure.is_closed {
            exchange.record_loss(target);
        }
    }
}

fn log_sent(
    exchange: &Exchange,
    source: &Source,
    outcome: &str,
    detail: &str,
    headers: &HeaderMap,
    waited: Duration,
) {
    let occupancy =
        parse_occupancy(headers).map_or_else(String::new, |occupancy| occupancy.to_string());
    let basis = source.reservation().basis();
    log::info!(
        target: "sent", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
        instance:% = source.target().instance, release:% = source.target().release,
        data_centre:% = source.target().data_centre,
        backup = source.backup().map_or("", |backup| &*backup.instance), outcome, detail,
        runs = basis.load.runs, memory = basis.load.peak_memory, copies = basis.load.copy_memory,
        prefill = basis.load.pending_prefill, factor = basis.factor, told = occupancy,
        limit = parse_limit(headers).unwrap_or_default(), waited_ms = waited.as_millis() as u64,
        candidates = basis.candidates, cost_ms = basis.cost as u64,
        vms = exchange.shared.dispatcher.live_vms(), parts = exchange.shared_parts(), fingerprint:% = exchange.fingerprint,
        customer = exchange.customer.as_deref().unwrap_or_default(),
        elapsed_ms = exchange.shared.now().since(exchange.arrived).as_millis() as u64;
        "generation sent to an engine"
    );
}

/// Relays an event stream to the client; other responses are buffered and count as failed.
async fn deliver(
    exchange: &Arc<Exchange>,
    source: Source,
    plan: Plan,
    answer: Answer,
    via: Option<Ipv4Addr>,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = answer.response.into_parts();
    if !parts.status.is_success() || !is_event_stream(&parts.headers) {
        let body = exchange.shared.buffers.collect(body).await;
        let body = body.map_err(|error| {
            Refusal::may_have_run(Reason::TargetLost, format!("a broken answer: {error}"))
        })?;
        exchange.check_promise(parts.status)?;
        if !parts.status.is_server_error() {
            let now = exchange.shared.now();
            source.reservation().record_served(now);
        }
        exchange.log_error(parts.status);
        exchange.record_outcome(Outcome::Failed, parts.status.as_str());
        return Ok(response_with_head(&parts, answer::full(body)));
    }
    let upstream = Upstream::new(body, answer.framing, answer.connection, via);
    let relay = Relay::new(Arc::clone(exchange), source, plan, upstream);
    let events = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let body = StreamBody::new(Box::pin(events));
    Ok(response_with_head(&parts, BodyExt::boxed_unsync(body)))
}

fn response_with_head(parts: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = strip_connection_fields(&parts.headers);
    response
}

/// Item of a relayed stream: complete events or the error that ends it.
pub type Item = Result<Bytes, BodyError>;
