//! Relays a generation's event stream to the client and migrates it when its engine fails.
//!
//! Engines leave every few seconds at short notice while generations run for many seconds, so the
//! run's KV cache is copied to a second engine as it grows. When the first engine fails, the run
//! resumes from the copy within the same response. Only complete events are forwarded, so the next
//! engine resumes exactly after the last event that the client received.

use {
    crate::{
        clients::{
            answer::BodyError,
            evacuation::Evacuation,
            exchange::Exchange,
            generation::{Item, Plan, client_patience, reserve_continuation, reserve_copy},
            handover::{Pending, Progress},
        },
        metrics::Outcome,
        targets::{
            client::{
                Answer, Connection, Failure, Framing, is_closed, is_event_stream, is_peer_lost,
                is_timeout,
            },
            dispatcher::Reservation,
            notice,
            path::{self, Purpose},
        },
    },
    base::{Instant, Verdict, key},
    bytes::{Bytes, BytesMut},
    dispatch::{
        Splitter, configuration::RetryPolicy, listing::Target, pace::Window, reach::evidence_start,
    },
    entry::runtime::with_timeout,
    http_body_util::BodyExt,
    hyper::{
        StatusCode,
        body::{Frame, Incoming},
    },
    platform::request::{GatewayFields, is_for_attempt, is_not_executed},
    smol::Timer,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Maximum time without an event before the engine is suspected.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without an event before the engine is probed by opening a connection.
///
/// This is twice the usual interval between two events while the engine processes other prompts.
const PROBE_DELAY: Duration = Duration::from_millis(85);
/// Time without an event after which a stream counts as lost whose engine this VM doesn't reach, or
/// must not probe.
const CUT_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Connect timeout of a probe; the network latency is a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(55);
/// Minimum interval between two probes.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time in which another engine must take a stream whose engine is only suspected.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time in which the engine with the copy must take a stream that could begin again.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two attempts to continue a suspected engine's stream elsewhere.
const SUSPICION_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its first event in which an engine that is lost may have been lost to the request.
const SUSPECT_PERIOD: Duration = Duration::from_millis(100);
/// Time after its first event after which an engine has survived the request.
const SURVIVAL_DELAY: Duration = Duration::from_millis(250);
/// Delay before another engine is asked again to continue a stream; it doubles each time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Maximum number of migrations of one stream.
const MAX_MIGRATIONS: u32 = 8;
/// Minimum time for which the VM must have waited for an event that is used to measure the pace of its
/// engine; one that comes sooner may have arrived before.
const MIN_EVENT_WAIT: Duration = Duration::from_millis(1);

/// A copy of a run's KV cache at another engine.
#[derive(Debug)]
pub struct Copy {
    /// Engine that stores the copy.
    pub target: Target,
    /// Capacity reserved there.
    pub reservation: Reservation,
    /// Address of the engine that issued the handle.
    pub origin: SocketAddr,
    /// Handle of the copy at the origin.
    pub handle: Box<str>,
    /// Whether its engine was asked to continue the stream.
    pub was_asked: bool,
}

/// The engine that produces a stream, and the copy of the run, if any.
#[derive(Debug)]
pub struct Source {
    target: Target,
    reservation: Reservation,
    copy: Option<Copy>,
}

impl Source {
    /// Creates a source whose engine copies the run to `backup` as it grows.
    ///
    /// The copy's handle is the attempt ID.
    pub fn new(
        (target, reservation): (Target, Reservation),
        backup: Option<(Target, Reservation)>,
        attempt_id: &str,
    ) -> Self {
        let copy = backup.map(|(target, reservation)| Copy {
            origin: target.address,
            handle: attempt_id.into(),
            target,
            reservation,
            was_asked: false,
        });
        Self {
            target,
            reservation,
            copy,
        }
    }

    /// Returns the engine that produces the stream.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the capacity reserved for the run.
    pub fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Returns the engine that stores the copy.
    pub fn backup(&self) -> Option<&Target> {
        self.copy.as_ref().map(|copy| &copy.target)
    }
}

/// A stream in progress.
#[derive(Debug)]
pub struct Relay {
    exchange: Arc<Exchange>,
    plan: Plan,
    source: Source,
    /// `None` once the stream has ended.
    upstream: Option<Upstream>,
    splitter: Splitter,
    last_event_id: Option<u64>,
    /// Number of events without an id.
    unnumbered_events: u64,
    events: u64,
    migrations: u32,
    first_event_at: Option<Instant>,
    /// When the current engine began its answer.
    attached_at: Instant,
    /// When the current engine sent its first event.
    begun_at: Option<Instant>,
    /// Whether the current engine went on for [`SURVIVAL_DELAY`].
    has_survived: bool,
    /// Whether any engine did; the request is then not what engines are lost to.
    is_proven: bool,
    /// When events were last forwarded to the client.
    last_delivery: Instant,
    longest_pause: Duration,
    /// How the latest answer marks its end.
    framing: Framing,
    /// Bytes of an incomplete event at the end of the latest answer.
    incomplete_bytes: usize,
    /// Number of events up to and including the delivery that ended the longest pause.
    paused_at: u64,
    last_received: Instant,
    last_probe: Instant,
    /// How long the VM waited for what it received last.
    waited: Duration,
    /// Measures the pace of the current engine.
    window: Window,
    link: Link,
    /// Engines that were asked in vain to continue the stream.
    failed_targets: Vec<key::Target>,
    /// The last attempt to continue the stream of the current engine at another one.
    last_suspicion: Option<Suspicion>,
    evacuation: Evacuation,
    outcome: Option<(Outcome, Box<str>)>,
}

/// Body of an engine's response; dropping it closes the connection.
#[derive(Debug)]
pub struct Upstream {
    /// How the response marks its end.
    pub framing: Framing,
    body: Incoming,
    /// Peer through which the engine is connected.
    via: Option<Ipv4Addr>,
    _connection: Connection,
}

impl Upstream {
    /// Creates the body of a response that came through the peer `via`, if through any.
    pub fn new(
        body: Incoming,
        framing: Framing,
        connection: Connection,
        via: Option<Ipv4Addr>,
    ) -> Self {
        Self {
            framing,
            body,
            via,
            _connection: connection,
        }
    }
}

/// The connection to the current engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Link {
    #[default]
    Open,
    /// It is silent, but the engine may go on. The engine is told to stop the run once another one
    /// has taken the stream.
    Silent,
    /// Nothing was acknowledged for too long. The engine may not be reached and must not delay the
    /// stream, so that it is told to stop afterwards as well.
    TimedOut,
    /// It has ended. The engine may work on, and must have stopped the run before another one
    /// continues it.
    Ended,
}

/// An attempt to continue a stream whose engine is silent.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    at: Instant,
    /// Whether this VM didn't reach the engine.
    is_cut: bool,
}

/// Result of asking another engine to continue a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Takeover {
    /// The engine's stream replaces the one before.
    Taken,
    /// The engine did not run the request and may take it later.
    Refused,
    /// The engine did not run the request and never will.
    Impossible,
    /// The engine may have run the request, but its stream is lost.
    Lost,
}

impl Takeover {
    /// Classifies an answer.
    fn of(answer: &Answer, attempt_id: &str) -> Self {
        let (status, headers) = (answer.response.status(), answer.response.headers());
        if !is_for_attempt(headers, attempt_id) {
            Self::Lost
        } else if status == StatusCode::MISDIRECTED_REQUEST {
            Self::Impossible
        } else if is_not_executed(status, headers) {
            Self::Refused
        } else if status.is_success() && is_event_stream(headers) {
            Self::Taken
        } else {
            Self::Lost
        }
    }

    /// Classifies a failure.
    fn of_failure(failure: &Failure) -> Self {
        match failure.verdict {
            Verdict::NotRun if failure.is_refused => Self::Impossible,
            Verdict::NotRun => Self::Refused,
            _ => Self::Lost,
        }
    }
}

/// Result of reading from the engine.
enum Read {
    Bytes(Bytes),
    End,
    /// The engine broke off its answer.
    Closed(Box<str>),
    /// The answer can't be read on, or the time is over.
    Lost(Box<str>),
    /// The engine, or the network before it, no longer acknowledges anything.
    TimedOut(Box<str>),
    /// The engine is silent, but its connection is open.
    Suspected(Box<str>),
    /// The peer was lost through which the engine is connected.
    PeerLost(Box<str>),
    /// This VM's drain has ended.
    Stopped,
}

impl Relay {
    /// Creates a relay for the body of an engine's response.
    pub fn new(exchange: Arc<Exchange>, source: Source, plan: Plan, upstream: Upstream) -> Self {
        let now = exchange.shared.now();
        let last_event_id = exchange
            .head
            .last_event
            .filter(|_| exchange.route.retry_policy == RetryPolicy::Resumable);
        Self {
            last_received: now,
            last_probe: now,
            waited: Duration::ZERO,
            window: Window::default(),
            link: Link::default(),
            failed_targets: Vec::new(),
            last_suspicion: None,
            evacuation: Evacuation::default(),
            exchange,
            plan,
            source,
            framing: upstream.framing,
            upstream: Some(upstream),
            splitter: Splitter::default(),
            last_event_id,
            unnumbered_events: 0,
            events: 0,
            migrations: 0,
            first_event_at: None,
            attached_at: now,
            begun_at: None,
            has_survived: false,
            is_proven: false,
            last_delivery: now,
            longest_pause: Duration::ZERO,
            incomplete_bytes: 0,
            paused_at: 0,
            outcome: None,
        }
    }

    /// Returns the next complete events; `None` at the end of the stream.
    pub async fn next(&mut self) -> Option<Item> {
        loop {
            self.upstream.as_ref()?;
            if self.exchange.remaining().is_zero() {
                return Some(Err(self.fail("the time is over")));
            }
            let tokens = self.tokens();
            self.evacuation.poll(
                &self.exchange,
                &self.plan,
                &self.source.target,
                tokens,
                &mut self.source.copy,
            );
            let mut read = match self.splitter.defect() {
                Some(defect) => Read::Lost(defect.to_string().into()),
                None => self.read().await,
            };
            if let Read::Suspected(reason) = &read {
                let reason = reason.clone();
                let Some(sent) = self.replace_suspect(&reason).await else {
                    continue;
                };
                read = sent;
            }
            let read = self.check_end(read);
            self.link = match read {
                Read::Bytes(_) => Link::Open,
                Read::TimedOut(_) => Link::TimedOut,
                _ => Link::Ended,
            };
            let (reason, is_targets_fault) = match read {
                Read::Bytes(bytes) => {
                    self.splitter.push(&bytes);
                    if let Some(events) = self.next_events() {
                        return Some(Ok(events));
                    }
                    continue;
                }
                Read::End => return self.finish(),
                Read::Closed(_) | Read::Lost(_) | Read::TimedOut(_) | Read::PeerLost(_)
                    if self.exchange.remaining().is_zero() =>
                {
                    continue;
                }
                Read::Closed(reason) => {
                    let is_beginning = self.is_beginning();
                    let (exchange, target) = (&self.exchange, &self.source.target);
                    let shared = &exchange.shared;
                    let is_leaving = !shared.directory.is_active(target.key);
                    let since = evidence_start(shared.now(), is_leaving);
                    let fault = exchange.is_targets_fault_since(target, true, since);
                    let is_targets_fault = fault.await;
                    if is_beginning && is_targets_fault {
                        exchange.record_loss(target);
                    }
                    (reason, is_targets_fault)
                }
                Read::Lost(reason) | Read::TimedOut(reason) | Read::Suspected(reason) => {
                    let target = &self.source.target;
                    let is_targets_fault = self.exchange.is_targets_fault(target, false).await;
                    (reason, is_targets_fault)
                }
                Read::PeerLost(reason) => (reason, false),
                Read::Stopped => return Some(Err(self.fail("this VM has stopped"))),
            };
            if !self.migrate(&reason, is_targets_fault).await {
                return Some(Err(self.fail(&reason)));
            }
        }
    }

    /// Reads from the engine, probing it while it is silent.
    async fn read(&mut self) -> Read {
        let shared = Arc::clone(&self.exchange.shared);
        let target = self.source.target.clone();
        let began = shared.now();
        loop {
            let Some(Upstream { body, via, .. }) = self.upstream.as_mut() else {
                return Read::End;
            };
            if shared.drain.has_ended() {
                return Read::Stopped;
            }
            let via = *via;
            let remaining = self.exchange.deadline.since(shared.now());
            match with_timeout(remaining.min(PROBE_DELAY), body.frame()).await {
                Some(read) => {
                    self.last_received = shared.now();
                    self.waited = self.last_received.since(began);
                    return classify(read);
                }
                None if remaining <= PROBE_DELAY => return Read::Lost("the time is over".into()),
                None => {}
            }
            let now = shared.now();
            let is_cut = via.is_none() && shared.reach.needs_tunnel(target.key);
            let is_due = |last: Suspicion| {
                now.since(last.at) >= SUSPICION_INTERVAL || is_cut && !last.is_cut
            };
            if !self.last_suspicion.is_none_or(is_due) {
                continue;
            }
            if now.since(self.last_received) >= SILENCE_TIMEOUT {
                return Read::Suspected("no event in time".into());
            }
            if self.first_event_at.is_none() || now.since(self.last_probe) < MIN_PROBE_INTERVAL {
                continue;
            }
            if shared.cordon.contains(&target.data_centre) {
                // No probe is sent there.
                if now.since(self.last_received) < CUT_SILENCE_TIMEOUT {
                    continue;
                }
                return Read::Suspected("silent, and its data centre is cordoned".into());
            }
            if is_cut {
                // Other connections may live on, so this one counts as lost only if it is silent.
                if now.since(self.last_received) < CUT_SILENCE_TIMEOUT {
                    continue;
                }
                return Read::Suspected("silent, and this VM doesn't reach the engine".into());
            }
            self.last_probe = now;
            let attempt = &self.exchange.head.attempt_id;
            let probe = path::is_reachable(&shared, &target, attempt, via, PROBE_TIMEOUT);
            let probe = async { Err(probe.await) };
            match smol::future::or(async { Ok(body.frame().await) }, probe).await {
                Ok(read) => {
                    self.last_received = shared.now();
                    self.waited = self.last_received.since(began);
                    return classify(read);
                }
                Err(true) => {}
                Err(false) => return Read::Suspected("silent and not reachable".into()),
            }
        }
    }

    /// Turns the end of an answer that can't be complete into the loss of its engine.
    fn check_end(&self, read: Read) -> Read {
        if !matches!(read, Read::End) {
            return read;
        }
        let is_delimited = self.framing != Framing::Close;
        match self.splitter.find_defect(is_delimited) {
            Some(defect) => Read::Closed(defect.to_string().into()),
            None => read,
        }
    }

    fn next_events(&mut self) -> Option<Bytes> {
        let mut events = BytesMut::new();
        let events_before = self.events;
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event_id)
                && id <= last
            {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            self.unnumbered_events += u64::from(event.id.is_none());
            self.events += 1;
            events.extend_from_slice(&event.bytes);
        }
        if events.is_empty() {
            return None;
        }
        let prompt = self.plan.generation.prompt_tokens;
        self.source.reservation.set_tokens(prompt, self.tokens());
        let now = self.exchange.shared.now();
        let delivered = (self.events - events_before) as u32;
        let tokens = delivered.saturating_mul(self.tokens_per_event());
        let is_prompt = self.waited >= MIN_EVENT_WAIT && delivered == 1;
        self.source
            .reservation
            .record_delivery(&mut self.window, tokens, is_prompt, now);
        if self.first_event_at.is_some() {
            let pause = now.since(self.last_delivery);
            self.exchange
                .shared
                .metrics
                .record_pause(&self.exchange.route.name, pause);
            if pause > self.longest_pause {
                self.longest_pause = pause;
                self.paused_at = self.events;
            }
        }
        self.last_delivery = now;
        if self.begun_at.is_none() {
            // Also at an engine where the stream went on.
            self.source.reservation.finish_prefill();
            self.source.reservation.record_served(now);
        }
        let begun_at = *self.begun_at.get_or_insert(now);
        if now.since(begun_at) >= SURVIVAL_DELAY {
            self.record_survival();
        }
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            self.exchange.record_release(&self.source.target.release);
            self.source.reservation.record_first_event(prompt, now);
            let route = &self.exchange.route.name;
            self.exchange
                .shared
                .metrics
                .record_first_event(route, now.since(self.exchange.arrived));
        }
        Some(events.freeze())
    }

    /// Returns whether the current engine has not begun to answer, or only just.
    fn is_beginning(&self) -> bool {
        let now = self.exchange.shared.now();
        let is_new = |begun_at| now.since(begun_at) < SUSPECT_PERIOD;
        !self.has_survived && self.begun_at.is_none_or(is_new)
    }

    fn record_survival(&mut self) {
        self.is_proven = true;
        if !std::mem::replace(&mut self.has_survived, true) {
            self.exchange.record_survival();
        }
    }

    /// Returns the number of tokens forwarded to the client.
    fn tokens(&self) -> u32 {
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        events.saturating_mul(self.tokens_per_event())
    }

    fn tokens_per_event(&self) -> u32 {
        self.plan.engine.map_or(1, |engine| engine.tokens_per_event)
    }

    fn finish(&mut self) -> Option<Item> {
        self.upstream = None;
        self.record_survival();
        let tokens = self.tokens();
        let exchange = &self.exchange;
        exchange
            .shared
            .dispatcher
            .record_tokens(&exchange.route.name, tokens);
        let time = exchange.shared.now().since(exchange.arrived);
        exchange
            .shared
            .dispatcher
            .record_run(exchange.service, self.source.target.key, time);
        self.outcome = Some((Outcome::Served, "whole".into()));
        let rest = self.splitter.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn fail(&mut self, message: &str) -> BodyError {
        self.upstream = None;
        self.outcome = Some((Outcome::Failed, message.into()));
        BodyError {
            message: message.into(),
        }
    }

    /// Continues a stream that has ended at another engine; returns whether one takes it.
    async fn migrate(&mut self, reason: &str, is_targets_fault: bool) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let failed_target = self.source.target.clone();
        let now = exchange.shared.now();
        if is_targets_fault {
            exchange
                .shared
                .dispatcher
                .record_failure(failed_target.key, now);
        }
        self.log_loss(reason);
        self.incomplete_bytes = self.splitter.take_rest().len();
        if !self.is_proven {
            exchange.wait_after_loss().await;
        }
        let mut evacuation = std::mem::take(&mut self.evacuation);
        evacuation
            .finish(&exchange, &failed_target, &mut self.source.copy)
            .await;
        let wait = client_patience(exchange.route.latency_objective);
        let give_up = (self.last_delivery + wait).min(exchange.deadline);
        let mut delay = MIN_RETRY_DELAY;
        while self.can_continue() {
            let remaining = give_up.since(exchange.shared.now());
            let takeover = self.continue_elsewhere(failed_target.key);
            if with_timeout(remaining, takeover).await == Some(true) {
                return true;
            }
            let now = exchange.shared.now();
            let pause = delay.max(self.copy_delay(now));
            if now + pause >= give_up {
                break;
            }
            Timer::after(pause).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        false
    }

    /// Returns whether another engine may still take the stream.
    fn can_continue(&self) -> bool {
        let is_resumable = self.exchange.route.retry_policy == RetryPolicy::Resumable;
        self.migrations < MAX_MIGRATIONS
            && (self.has_usable_copy() || is_resumable && self.exchange.may_run_again())
            && self.is_admitted()
    }

    /// Returns whether there is a copy in a data centre that is not cordoned.
    fn has_usable_copy(&self) -> bool {
        let copy = self.source.copy.as_ref();
        let cordon = &self.exchange.shared.cordon;
        copy.is_some_and(|copy| !cordon.contains(&copy.target.data_centre))
    }

    /// Returns whether the request is not one that engines are lost to.
    fn is_admitted(&self) -> bool {
        if self.is_proven {
            return true;
        }
        let exchange = &self.exchange;
        let admission = exchange.check_quarantine();
        if let Err(refusal) = &admission {
            log::info!(
                target: "moved", request:% = exchange.head.attempt_id, reason:% = refusal.reason;
                "stream not continued: {}", refusal.message
            );
        }
        admission.is_ok()
    }

    /// Returns the time for which the engine with the copy wants no request from this VM.
    fn copy_delay(&self, now: Instant) -> Duration {
        let copy = self.source.copy.as_ref();
        let target = copy.map(|copy| std::slice::from_ref(&copy.target));
        let dispatcher = &self.exchange.shared.dispatcher;
        // A cold engine takes a stream that goes on.
        let delay = target.and_then(|target| dispatcher.limit_delay(target, None, now));
        delay.unwrap_or_default()
    }

    /// Continues the stream of a silent engine at another one, unless it is the first to go on.
    ///
    /// An engine that accepts no connection may only be busy. Its connection is read all the while,
    /// and the other engine has little time, so that the run is not at both of them for long.
    /// Returns what the silent engine has sent.
    async fn replace_suspect(&mut self, reason: &str) -> Option<Read> {
        let shared = Arc::clone(&self.exchange.shared);
        let suspect = self.source.target.clone();
        self.log_loss(reason);
        let mut upstream = self.upstream.take()?;
        self.link = Link::Silent;
        let takeover = async { self.can_continue() && self.continue_elsewhere(suspect.key).await };
        let takeover = async { Err(with_timeout(TAKEOVER_TIMEOUT, takeover).await) };
        let read = async { Ok(upstream.body.frame().await) };
        let result = smol::future::or(read, takeover).await;
        self.link = Link::Open;
        match result {
            Ok(read) => {
                self.upstream = Some(upstream);
                self.last_received = shared.now();
                return Some(classify(read));
            }
            Err(Some(true)) => {
                let now = shared.now();
                if !shared.reach.needs_tunnel(suspect.key) {
                    shared.dispatcher.record_silence(suspect.key, now);
                }
                let evacuation = std::mem::take(&mut self.evacuation);
                evacuation.release(&self.exchange, None, false);
            }
            Err(is_taken) => {
                self.upstream = Some(upstream);
                let now = shared.now();
                self.last_suspicion = Some(Suspicion {
                    at: now,
                    is_cut: shared.reach.needs_tunnel(suspect.key),
                });
                log::info!(
                    target: "moved", request:% = self.exchange.head.attempt_id, instance:% = suspect.instance,
                    events = self.events, in_time = is_taken.is_some();
                    "no engine takes the stream; reading on from the silent one"
                );
            }
        }
        None
    }

    /// Logs that the current engine has failed or is suspected.
    fn log_loss(&self, reason: &str) {
        let exchange = &self.exchange;
        let now = exchange.shared.now();
        let target = &self.source.target;
        log::info!(
            target: "moved", request:% = exchange.head.attempt_id, instance:% = target.instance,
            release:% = target.release, events = self.events, backup = self.source.backup().map_or("", |backup| &*backup.instance),
            reason:% = reason, framing:% = self.framing, incomplete_bytes = self.splitter.rest_len(),
            silent_ms = now.since(self.last_received).as_millis() as u64,
            parts = exchange.shared_parts(), fingerprint:% = exchange.fingerprint, customer = exchange.customer.as_deref().unwrap_or_default(),
            answered_ms = now.since(self.attached_at).as_millis() as u64;
            "engine lost while streaming"
        );
    }

    /// Resumes at the engine with the copy or, if the route permits it, restarts at another engine.
    ///
    /// Returns whether an engine takes the stream; the current connection is open until then.
    async fn continue_elsewhere(&mut self, failed_target: key::Target) -> bool {
        if self.link == Link::Ended && !self.stop_run().await {
            return false;
        }
        let is_taken = self.resume_from_copy(failed_target).await
            || self.exchange.route.retry_policy == RetryPolicy::Resumable
                && self.restart(failed_target).await;
        self.migrations += u32::from(is_taken);
        is_taken
    }

    /// Tells the current engine to stop the run; returns whether it isn't known to work on.
    async fn stop_run(&mut self) -> bool {
        let progress = self.progress();
        let (engine, handover) = (&self.source.target, &self.exchange.handover);
        let copy = self.source.copy.as_mut();
        let next = copy.as_ref().map(|copy| copy.target.address);
        // The engine with a copy that grows along with the run is the origin of its handle.
        let requested = copy.filter(|copy| copy.origin == engine.address);
        let progress = if requested.is_some() {
            Progress::Copied
        } else {
            progress
        };
        handover.stop(&self.exchange, engine, next, progress);
        let is_stopped = handover.wait().await;
        if let (Some(copy), Some(handle)) = (requested, handover.handle(engine.key)) {
            copy.handle = handle;
        }
        is_stopped
    }

    /// Returns how far the current engine has come with the request.
    fn progress(&self) -> Progress {
        if self.begun_at.is_none() {
            Progress::Unstarted
        } else {
            Progress::Streaming
        }
    }

    /// Sends the request to the engine that stores the copy; the copy is kept until that takes it.
    async fn resume_from_copy(&mut self, failed_target: key::Target) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let shared = &exchange.shared;
        let now = shared.now();
        if !self.copy_delay(now).is_zero() {
            return false;
        }
        let Some(copy) = &mut self.source.copy else {
            return false;
        };
        if shared.cordon.contains(&copy.target.data_centre) {
            return false;
        }
        let is_repeated = std::mem::replace(&mut copy.was_asked, true);
        if is_repeated && !shared.dispatcher.take_retry(exchange.service, now) {
            return false;
        }
        let (target, origin, handle) = (copy.target.clone(), copy.origin, copy.handle.clone());
        let (load, cold_start) = (self.plan.run_load(), exchange.cold_start());
        let reservation = shared.dispatcher.reserve_at(&target, load, cold_start, now);
        reservation.finish_prefill();
        reservation.set_tokens(self.plan.generation.prompt_tokens, self.tokens());
        let copy_target = target.key;
        let excluded = [failed_target, copy_target];
        let next = reserve_copy(&exchange, &self.plan, &target, &excluded);
        let fields = GatewayFields {
            backup: next.as_ref().map(|(target, _)| target.address),
            continue_from: Some((origin, &handle)),
            last_event: self.last_event_id,
            ..GatewayFields::default()
        };
        let source = Source::new((target, reservation), next, &exchange.head.attempt_id);
        let timeout = match exchange.route.retry_policy {
            RetryPolicy::Resumable => COPY_TIMEOUT,
            _ => exchange.remaining(),
        };
        let takeover = with_timeout(timeout, Box::pin(self.attach(source, &fields))).await;
        let takeover = takeover.unwrap_or(Takeover::Lost);
        // It is the same run, unless the engine before goes on with it.
        if takeover == Takeover::Lost && self.link == Link::Silent {
            exchange.record_run();
        }
        if matches!(takeover, Takeover::Impossible | Takeover::Lost) {
            self.source.copy = None;
            self.failed_targets.push(copy_target);
        }
        takeover == Takeover::Taken
    }

    async fn restart(&mut self, failed_target: key::Target) -> bool {
        let exchange = Arc::clone(&self.exchange);
        let shared = &exchange.shared;
        if !exchange.may_run_again() {
            return false;
        }
        let now = shared.now();
        let excluded = [&*self.failed_targets, &[failed_target]].concat();
        let reserved = reserve_continuation(&exchange, &self.plan, &excluded, now);
        let Some(reserved) = reserved else {
            return false;
        };
        if !shared.dispatcher.take_retry(exchange.service, now) {
            return false;
        }
        let fields = GatewayFields {
            last_event: self.last_event_id,
            ..GatewayFields::default()
        };
        let source = Source::new(reserved, None, &exchange.head.attempt_id);
        // The engine may run it even if its answer is no longer waited for.
        exchange.record_run();
        let takeover = Box::pin(self.attach(source, &fields)).await;
        if matches!(takeover, Takeover::Refused | Takeover::Impossible) {
            exchange.retract_run();
        }
        takeover == Takeover::Taken
    }

    /// Sends the request to another engine and, if that accepts it, continues with its stream.
    async fn attach(&mut self, source: Source, fields: &GatewayFields<'_>) -> Takeover {
        let exchange = &self.exchange;
        // It may have restarted as another release since it was chosen to hold a copy.
        let current = exchange.shared.directory.get(source.target.key);
        let current = current.as_ref().unwrap_or(&source.target);
        if let Some(origin) = exchange.origin()
            && !current.runs_release(&origin.release)
        {
            log::info!(
                target: "moved", request:% = exchange.head.attempt_id, instance:% = current.instance,
                release:% = current.release, events = self.events;
                "stream not continued at another release"
            );
            return Takeover::Impossible;
        }
        exchange.handover.cancel(source.target.key);
        let shared = &exchange.shared;
        let mut pending = None;
        let purpose = Purpose {
            may_leave: fields.continue_from.is_some(),
            ..exchange.purpose()
        };
        let mut via = None;
        let result = match path::open(shared, &source.target, purpose).await {
            Ok(path) => {
                via = path.via;
                exchange.mark_sent(&source.target, via);
                let former = self.source.target.address;
                pending = Some(Pending::new(exchange, &source.target, former));
                let sent = shared.now();
                let request = exchange.request(&source.target, fields);
                let result = path.send(shared, request).await;
                if let Ok(Answer { response, .. }) = &result {
                    let answer = (response.status(), response.headers());
                    notice::apply(shared, &source.target, answer, sent, via);
                }
                result
            }
            Err(failure) => Err(failure),
        };
        if let Err(failure) = &result
            && failure.is_closed
            && exchange.is_targets_fault(&source.target, true).await
        {
            exchange.record_loss(&source.target);
        }
        let attempt_id = &exchange.head.attempt_id;
        let (takeover, detail) = match &result {
            Ok(answer) => (
                Takeover::of(answer, attempt_id),
                answer.response.status().to_string(),
            ),
            Err(failure) => (Takeover::of_failure(failure), failure.to_string()),
        };
        if takeover != Takeover::Lost {
            pending.into_iter().for_each(Pending::settle);
        }
        let is_taken = takeover == Takeover::Taken;
        log::info!(
            target: "moved", request:% = exchange.head.attempt_id, instance:% = source.target.instance,
            release:% = source.target.release, events = self.events, is_taken, takeover:?, detail;
            "stream migration attempted"
        );
        exchange.shared.metrics.record_migration(is_taken);
        if let Ok(Answer {
            response,
            framing,
            connection,
        }) = result
            && is_taken
        {
            self.framing = framing;
            self.splitter = if self.events > 0 && self.unnumbered_events == 0 {
                Splitter::of_continuation()
            } else {
                Splitter::default()
            };
            let body = response.into_body();
            self.upstream = Some(Upstream::new(body, framing, connection, via));
            self.failed_targets.clear();
            let replaced = std::mem::replace(&mut self.source, source);
            let handover = &self.exchange.handover;
            let next = self.source.target.address;
            handover.stop(
                &self.exchange,
                &replaced.target,
                Some(next),
                self.progress(),
            );
            if fields.continue_from.is_none() {
                Evacuation::default().release(&self.exchange, replaced.copy, false);
            }
            self.last_received = self.exchange.shared.now();
            self.attached_at = self.last_received;
            self.begun_at = None;
            self.window = Window::default();
            self.has_survived = false;
            self.last_suspicion = None;
        }
        takeover
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let exchange = &self.exchange;
        let client_left = (Outcome::Left, Box::from("the client left"));
        let (outcome, reason) = self.outcome.take().unwrap_or(client_left);
        let now = exchange.shared.now();
        let first_event_at = self.first_event_at.unwrap_or(now);
        let is_complete = outcome == Outcome::Served;
        std::mem::take(&mut self.evacuation).release(
            exchange,
            self.source.copy.take(),
            is_complete,
        );
        exchange.record_outcome(outcome, &reason);
        log::info!(
            target: "ended", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
            instance:% = self.source.target.instance, outcome:% = outcome, reason:% = reason,
            events = self.events, moves = self.migrations, prompt = self.plan.generation.prompt_tokens,
            estimate = self.plan.estimated_tokens, framing:% = self.framing,
            incomplete_bytes = self.incomplete_bytes,
            longest_pause_ms = self.longest_pause.as_millis() as u64, paused_at = self.paused_at,
            first_ms = first_event_at.since(exchange.arrived).as_millis() as u64,
            elapsed_ms = now.since(exchange.arrived).as_millis() as u64;
            "stream ended"
        );
    }
}

fn classify(read: Option<Result<Frame<Bytes>, hyper::Error>>) -> Read {
    match read {
        Some(Ok(frame)) => Read::Bytes(frame.into_data().unwrap_or_default()),
        Some(Err(error)) if is_peer_lost(&error) => Read::PeerLost(error.to_string().into()),
        Some(Err(error)) if is_timeout(&error) => Read::TimedOut(error.to_string().into()),
        Some(Err(error)) if is_closed(&error) => Read::Closed(error.to_string().into()),
        Some(Err(error)) => Read::Lost(error.to_string().into()),
        None => Read::End,
    }
}
