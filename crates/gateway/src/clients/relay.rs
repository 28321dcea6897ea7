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
    dispatch::{Splitter, configuration::Repeat, listing::Target},
    entry::runtime::within,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    platform::request::{Added, is_not_run},
    std::{sync::Arc, time::Duration},
};

/// Longest time without an event after which an engine counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Most times that one stream goes on elsewhere.
const MOST_MOVES: u32 = 8;

/// The engine that a stream comes from, and the one that holds a copy of the run.
#[derive(Debug)]
pub struct Source {
    target: Target,
    place: Place,
    backup: Option<(Target, Place)>,
}

impl Source {
    /// Joins the two.
    pub fn new((target, place): (Target, Place), backup: Option<(Target, Place)>) -> Self {
        Self {
            target,
            place,
            backup,
        }
    }

    /// Returns the engine that the stream comes from.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the engine that holds a copy.
    pub fn backup(&self) -> Option<&Target> {
        self.backup.as_ref().map(|(target, _)| target)
    }
}

/// One stream.
#[derive(Debug)]
pub struct Relay {
    exchange: Arc<Exchange>,
    plan: Plan,
    source: Source,
    /// Empty once the stream has ended.
    body: Option<Incoming>,
    _connection: Connection,
    splitter: Splitter,
    last: Option<u64>,
    events: u64,
    moves: u32,
    first: Option<Instant>,
    outcome: Option<(Outcome, Box<str>)>,
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
        Self {
            exchange,
            plan,
            source,
            body: Some(body),
            _connection: connection,
            splitter: Splitter::default(),
            last: None,
            events: 0,
            moves: 0,
            first: None,
            outcome: None,
        }
    }

    /// Returns the next whole events; `None` at the end of the stream.
    pub async fn next(&mut self) -> Option<Item> {
        loop {
            let body = self.body.as_mut()?;
            let left = self.exchange.left();
            if left.is_zero() {
                return Some(Err(self.fail("the time is over")));
            }
            let limit = left.min(SILENCE_LIMIT);
            let lost = match within(limit, body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                    if let Some(events) = self.take_events() {
                        return Some(Ok(events));
                    }
                    continue;
                }
                Some(None) => return self.finish(),
                Some(Some(Err(error))) => error.to_string(),
                None if self.exchange.left().is_zero() => continue,
                None => "no event in time".to_owned(),
            };
            if !self.go_on_elsewhere(&lost).await {
                return Some(Err(self.fail(&lost)));
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
        if self.first.is_none() {
            let now = self.exchange.shared.now();
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

    fn finish(&mut self) -> Option<Item> {
        self.body = None;
        let stride = self.plan.engine.map_or(1, |engine| engine.stride);
        let tokens = u32::try_from(self.events)
            .unwrap_or(u32::MAX)
            .saturating_mul(stride);
        let exchange = &self.exchange;
        exchange
            .shared
            .dispatcher
            .learn(&exchange.route.name, tokens);
        self.outcome = Some((Outcome::Served, "whole".into()));
        let rest = self.splitter.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn fail(&mut self, message: &str) -> Broken {
        self.body = None;
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
            target: "moved", request:% = exchange.head.attempt, instance:% = former.instance,
            events = self.events, backup = self.source.backup().map_or("", |backup| &*backup.instance),
            reason = lost;
            "an engine broke off a stream"
        );
        self.splitter.take_rest();
        self.moves += 1;
        if self.moves > MOST_MOVES {
            return false;
        }
        if let Some((backup, _copy)) = self.source.backup.take()
            && self.go_on_from_copy(&backup, former.key).await
        {
            return true;
        }
        exchange.route.repeat == Repeat::Resumable && self.begin_anew(former.key).await
    }

    async fn go_on_from_copy(&mut self, backup: &Target, former: key::Target) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let shared = &exchange.shared;
        let place = shared.dispatcher.place_at(backup.key, self.plan.load());
        place.started();
        let next = copy(&exchange, &self.plan, &[former, backup.key]);
        let added = Added {
            backup: next.as_ref().map(|(target, _)| target.address),
            continue_from: Some((backup.address, &exchange.head.attempt)),
            last_event: self.last,
            ..Added::default()
        };
        self.attach(Source::new((backup.clone(), place), next), added)
            .await
    }

    async fn begin_anew(&mut self, former: key::Target) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let shared = &exchange.shared;
        let now = shared.now();
        let placed = place(
            &exchange,
            self.plan.load(),
            self.plan.engine,
            &[former],
            now,
        );
        let Some(placed) = placed else {
            return false;
        };
        if !shared.dispatcher.retry(exchange.service, now) {
            return false;
        }
        let added = Added {
            last_event: self.last,
            ..Added::default()
        };
        self.attach(Source::new(placed, None), added).await
    }

    /// Sends the request to another engine and takes its stream.
    async fn attach(&mut self, source: Source, added: Added<'_>) -> bool {
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
                    status.is_success() && !is_not_run(status, answer.response.headers());
                (is_taken, status.to_string())
            }
            Err(failure) => (false, failure.to_string()),
        };
        log::info!(
            target: "moved", request:% = exchange.head.attempt, instance:% = source.target.instance,
            events = self.events, is_taken, detail;
            "a stream goes on at another engine"
        );
        exchange.shared.metrics.moved(is_taken);
        match sent {
            Ok(Answer {
                response,
                connection,
            }) if is_taken => {
                self.body = Some(response.into_body());
                self._connection = connection;
                self.source = source;
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
        exchange.record(outcome, &reason);
        log::info!(
            target: "ended", request:% = exchange.head.attempt, route:% = exchange.route.name,
            instance:% = self.source.target.instance, outcome:% = outcome, reason:% = reason,
            events = self.events, moves = self.moves, prompt = self.plan.generation.prompt,
            estimate = self.plan.tokens,
            first_ms = first.since(exchange.arrived).as_millis() as u64,
            elapsed_ms = now.since(exchange.arrived).as_millis() as u64;
            "a stream ended"
        );
    }
}
