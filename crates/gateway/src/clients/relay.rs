//! A stream on its way to the client, which outlives the engine that began it.
//!
//! Load pattern: engines leave every few seconds at short notice while drafts run for many seconds.
//! The run's memory is copied to a second engine as it grows; when the first one breaks off, the
//! run goes on from the copy within the same answer. Only whole events are passed on, so the next
//! engine begins exactly after the last one that the client has.

use {
    crate::{
        clients::{
            answer::Broken,
            evacuation::Evacuation,
            exchange::Exchange,
            generation::{Item, Plan, copy, place},
        },
        metrics::Outcome,
        targets::{
            client::{Answer, Connection},
            dispatcher::Place,
        },
    },
    base::{Instant, key},
    bytes::{Bytes, BytesMut},
    dispatch::{Splitter, configuration::RetryPolicy, listing::Target},
    entry::runtime::within,
    http_body_util::BodyExt,
    hyper::body::{Frame, Incoming},
    platform::request::{GatewayFields, is_not_executed},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest time without an event after which an engine counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Time without an event after which the engine is asked for a connection: twice the usual time
/// between two events while other prompts are read.
const PROBE_DELAY: Duration = Duration::from_millis(85);
/// Time for that connection; links take a few milliseconds.
const PROBE_LIMIT: Duration = Duration::from_millis(55);
/// Least time between two such questions.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Most times that one stream goes on elsewhere.
const MOST_MOVES: u32 = 8;

/// A copy of a run's memory at another engine.
#[derive(Debug)]
pub struct Copy {
    /// The engine that holds it.
    pub target: Target,
    /// Its room there.
    pub place: Place,
    /// Engine that the copy's name belongs to.
    pub origin: SocketAddr,
    /// Name of the copy.
    pub handle: Box<str>,
}

/// The engine that a stream comes from, and the one that holds a copy of the run.
#[derive(Debug)]
pub struct Source {
    target: Target,
    place: Place,
    copy: Option<Copy>,
}

impl Source {
    /// Joins an engine with the one that gets a copy as the run grows, named by the attempt.
    pub fn new(
        (target, place): (Target, Place),
        backup: Option<(Target, Place)>,
        attempt: &str,
    ) -> Self {
        let copy = backup.map(|(target, place)| Copy {
            origin: target.address,
            handle: attempt.into(),
            target,
            place,
        });
        Self {
            target,
            place,
            copy,
        }
    }

    /// Returns the engine that the stream comes from.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the run's place at the engine.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns the engine that holds a copy.
    pub fn backup(&self) -> Option<&Target> {
        self.copy.as_ref().map(|copy| &copy.target)
    }
}

/// One stream.
#[derive(Debug)]
pub struct Relay {
    exchange: Arc<Exchange>,
    plan: Plan,
    source: Source,
    /// Empty once the stream has ended.
    upstream: Option<Upstream>,
    splitter: Splitter,
    last: Option<u64>,
    events: u64,
    moves: u32,
    first: Option<Instant>,
    /// When events were last passed on, and the longest time between two such moments.
    delivered: Instant,
    longest_pause: Duration,
    /// Where the longest pause began, as a number of events.
    paused_at: u64,
    heard: Instant,
    probed: Instant,
    evacuation: Evacuation,
    outcome: Option<(Outcome, Box<str>)>,
}

/// The body of an engine's answer; dropping it closes the connection.
#[derive(Debug)]
struct Upstream {
    body: Incoming,
    _connection: Connection,
}

/// What reading from the engine came to.
enum Read {
    Bytes(Bytes),
    End,
    Lost(Box<str>),
}

impl Relay {
    /// Starts with the head of an answer.
    pub fn new(
        exchange: Arc<Exchange>,
        source: Source,
        plan: Plan,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        let now = exchange.shared.now();
        Self {
            heard: now,
            probed: now,
            evacuation: Evacuation::default(),
            exchange,
            plan,
            source,
            upstream: Some(Upstream {
                body,
                _connection: connection,
            }),
            splitter: Splitter::default(),
            last: None,
            events: 0,
            moves: 0,
            first: None,
            delivered: now,
            longest_pause: Duration::ZERO,
            paused_at: 0,
            outcome: None,
        }
    }

    /// Returns the next whole events; `None` at the end of the stream.
    pub async fn next(&mut self) -> Option<Item> {
        loop {
            self.upstream.as_ref()?;
            if self.exchange.left().is_zero() {
                return Some(Err(self.fail("the time is over")));
            }
            self.evacuation.tend(
                &self.exchange,
                &self.plan,
                &self.source.target,
                &mut self.source.copy,
            );
            let lost = match self.read().await {
                Read::Bytes(bytes) => {
                    self.splitter.push(&bytes);
                    if self.splitter.is_overlong() {
                        return Some(Err(self.fail("an event is too long")));
                    }
                    if let Some(events) = self.take_events() {
                        return Some(Ok(events));
                    }
                    continue;
                }
                Read::End => return self.finish(),
                Read::Lost(_) if self.exchange.left().is_zero() => continue,
                Read::Lost(reason) => reason,
            };
            if !self.go_on_elsewhere(&lost).await {
                return Some(Err(self.fail(&lost)));
            }
        }
    }

    /// Reads from the engine; one that is silent is asked for a connection meanwhile.
    async fn read(&mut self) -> Read {
        let shared = Arc::clone(&self.exchange.shared);
        let address = self.source.target.address;
        loop {
            let Some(Upstream { body, .. }) = self.upstream.as_mut() else {
                return Read::End;
            };
            let left = self.exchange.deadline.since(shared.now());
            match within(left.min(PROBE_DELAY), body.frame()).await {
                Some(read) => {
                    self.heard = shared.now();
                    return interpret(read);
                }
                None if left <= PROBE_DELAY => return Read::Lost("the time is over".into()),
                None => {}
            }
            let now = shared.now();
            if now.since(self.heard) >= SILENCE_LIMIT {
                return Read::Lost("no event in time".into());
            }
            if self.first.is_none() || now.since(self.probed) < PROBE_INTERVAL {
                continue;
            }
            self.probed = now;
            let probe = async { Err(shared.client.reaches(address, PROBE_LIMIT).await) };
            match smol::future::or(async { Ok(body.frame().await) }, probe).await {
                Ok(read) => {
                    self.heard = shared.now();
                    return interpret(read);
                }
                Err(true) => {}
                Err(false) => return Read::Lost("silent and not reachable".into()),
            }
        }
    }

    fn take_events(&mut self) -> Option<Bytes> {
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last)
                && id <= last
            {
                continue;
            }
            self.last = event.id.or(self.last);
            self.events += 1;
            events.extend_from_slice(&event.bytes);
        }
        if events.is_empty() {
            return None;
        }
        let prompt = self.plan.generation.prompt_tokens;
        self.source.place.grew(prompt, self.tokens());
        let now = self.exchange.shared.now();
        if self.first.is_some() {
            let pause = now.since(self.delivered);
            self.exchange
                .shared
                .metrics
                .pause(&self.exchange.route.name, pause);
            if pause > self.longest_pause {
                self.longest_pause = pause;
                self.paused_at = self.events;
            }
        }
        self.delivered = now;
        if self.first.is_none() {
            self.first = Some(now);
            self.source.place.started();
            let route = &self.exchange.route.name;
            self.exchange
                .shared
                .metrics
                .first_event(route, now.since(self.exchange.arrived));
        }
        Some(events.freeze())
    }

    /// Returns the tokens that the client has got.
    fn tokens(&self) -> u32 {
        let stride = self.plan.engine.map_or(1, |engine| engine.tokens_per_event);
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        events.saturating_mul(stride)
    }

    fn finish(&mut self) -> Option<Item> {
        self.upstream = None;
        let tokens = self.tokens();
        let exchange = &self.exchange;
        exchange
            .shared
            .dispatcher
            .learn(&exchange.route.name, tokens);
        let time = exchange.shared.now().since(exchange.arrived);
        exchange.shared.dispatcher.ended(exchange.service, time);
        self.outcome = Some((Outcome::Served, "whole".into()));
        let rest = self.splitter.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn fail(&mut self, message: &str) -> Broken {
        self.upstream = None;
        self.outcome = Some((Outcome::Failed, message.into()));
        Broken {
            message: message.into(),
        }
    }

    /// Goes on at the engine with the copy, or where permitted at any other one.
    async fn go_on_elsewhere(&mut self, lost: &str) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let shared = &exchange.shared;
        let former = self.source.target.clone();
        shared.dispatcher.failed(former.key, shared.now());
        log::info!(
            target: "moved", request:% = exchange.head.attempt_id, instance:% = former.instance,
            events = self.events, backup = self.source.backup().map_or("", |backup| &*backup.instance),
            reason:% = lost;
            "an engine broke off a stream"
        );
        self.splitter.take_rest();
        self.moves += 1;
        if self.moves > MOST_MOVES {
            return false;
        }
        let mut evacuation = std::mem::take(&mut self.evacuation);
        evacuation
            .finish(&exchange, &former, &mut self.source.copy)
            .await;
        if let Some(copy) = self.source.copy.take()
            && self.go_on_from_copy(copy, former.key).await
        {
            return true;
        }
        exchange.route.retry_policy == RetryPolicy::Resumable && self.begin_anew(former.key).await
    }

    async fn go_on_from_copy(&mut self, held: Copy, former: key::Target) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let shared = &exchange.shared;
        let place = shared
            .dispatcher
            .place_at(held.target.key, self.plan.load());
        place.started();
        place.grew(self.plan.generation.prompt_tokens, self.tokens());
        drop(held.place);
        let next = copy(
            &exchange,
            &self.plan,
            &held.target,
            &[former, held.target.key],
        );
        let added = GatewayFields {
            backup: next.as_ref().map(|(target, _)| target.address),
            continue_from: Some((held.origin, &held.handle)),
            last_event: self.last,
            ..GatewayFields::default()
        };
        let source = Source::new((held.target, place), next, &exchange.head.attempt_id);
        self.attach(source, &added).await
    }

    async fn begin_anew(&mut self, former: key::Target) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let shared = &exchange.shared;
        if !exchange.may_run_again() {
            return false;
        }
        let now = shared.now();
        let placed = place(&exchange, &self.plan, &[former], 0, now);
        let Some(placed) = placed else {
            return false;
        };
        if !shared.dispatcher.retry(exchange.service, now) {
            return false;
        }
        let added = GatewayFields {
            last_event: self.last,
            ..GatewayFields::default()
        };
        let source = Source::new(placed, None, &exchange.head.attempt_id);
        let is_taken = self.attach(source, &added).await;
        if is_taken {
            exchange.note_run();
        }
        is_taken
    }

    /// Sends the request to another engine and takes its stream.
    async fn attach(&mut self, source: Source, added: &GatewayFields<'_>) -> bool {
        let exchange = &self.exchange;
        let request = exchange.request(&source.target, added);
        let sent = exchange
            .shared
            .client
            .send(source.target.address, request)
            .await;
        let (is_taken, detail) = match &sent {
            Ok(answer) => {
                let status = answer.response.status();
                let is_taken =
                    status.is_success() && !is_not_executed(status, answer.response.headers());
                (is_taken, status.to_string())
            }
            Err(failure) => (false, failure.to_string()),
        };
        log::info!(
            target: "moved", request:% = exchange.head.attempt_id, instance:% = source.target.instance,
            events = self.events, is_taken, detail;
            "a stream goes on at another engine"
        );
        exchange.shared.metrics.moved(is_taken);
        match sent {
            Ok(Answer {
                response,
                connection,
            }) if is_taken => {
                self.upstream = Some(Upstream {
                    body: response.into_body(),
                    _connection: connection,
                });
                self.source = source;
                self.heard = self.exchange.shared.now();
                true
            }
            _ => false,
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let exchange = &self.exchange;
        let left = (Outcome::Left, Box::from("the client left"));
        let (outcome, reason) = self.outcome.take().unwrap_or(left);
        let now = exchange.shared.now();
        let first = self.first.unwrap_or(now);
        let has_ended_well = outcome == Outcome::Served;
        std::mem::take(&mut self.evacuation).release(
            exchange,
            self.source.copy.take(),
            has_ended_well,
        );
        exchange.record(outcome, &reason);
        log::info!(
            target: "ended", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
            instance:% = self.source.target.instance, outcome:% = outcome, reason:% = reason,
            events = self.events, moves = self.moves, prompt = self.plan.generation.prompt_tokens,
            estimate = self.plan.tokens,
            longest_pause_ms = self.longest_pause.as_millis() as u64, paused_at = self.paused_at,
            first_ms = first.since(exchange.arrived).as_millis() as u64,
            elapsed_ms = now.since(exchange.arrived).as_millis() as u64;
            "a stream ended"
        );
    }
}

fn interpret(read: Option<Result<Frame<Bytes>, hyper::Error>>) -> Read {
    match read {
        Some(Ok(frame)) => Read::Bytes(frame.into_data().unwrap_or_default()),
        Some(Err(error)) => Read::Lost(error.to_string().into()),
        None => Read::End,
    }
}
