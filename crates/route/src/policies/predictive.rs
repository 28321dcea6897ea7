//! The product's policy: admission by predicted memory, fair queueing, randomised choice.

pub mod choice;
pub mod engine;
pub mod lane;
pub mod settings;

use {
    crate::{
        Action, Decision, Event, Load, Outcome, Policy, Request, affinity,
        fair_queue::{Place, Queue, Waiting},
        length::{Book, Curve, Group, bucket},
        limit::Limit,
        memory::Profile,
        outlier::{Health, may_eject},
        target::Table,
    },
    base::{Instant, Machine, Reason, Refusal, arena::Arena, key},
    choice::{Candidate, Choice, View},
    config::Snapshot,
    engine::{Engine, Need},
    lane::Lane,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    settings::{Mechanism, Settings},
    std::{sync::Arc, time::Duration},
};

/// Name of the policy.
pub const NAME: &str = "predictive";

/// When to come back if no target can be used, or a retry is not allowed.
const COME_BACK: Duration = Duration::from_secs(1);
/// Time between two looks at what has expired.
const HOUSEKEEPING_STEP: Duration = Duration::from_secs(1);
/// Heads of flows that are tried on a free place if the first ones may not run there.
const HEADS: usize = 8;
/// The customer that all requests are queued under without fairness.
const EVERYONE: key::Customer = key::Customer::from_raw(0);

/// Makes the policy.
pub fn make(seed: u64, data_centre: key::DataCentre) -> Box<dyn Policy> {
    Box::new(Predictive::new(seed, data_centre, Settings::default()))
}

/// Makes the policy with one mechanism switched off; `None` if there is no such mechanism.
pub fn make_without(
    mechanism: &str,
    seed: u64,
    data_centre: key::DataCentre,
) -> Option<Box<dyn Policy>> {
    let settings = Settings {
        off: vec![mechanism.parse().ok()?],
        ..Settings::default()
    };
    Some(Box::new(Predictive::new(seed, data_centre, settings)))
}

/// The policy.
#[derive(Debug)]
pub struct Predictive {
    settings: Settings,
    home: key::DataCentre,
    seed: u64,
    random: SmallRng,
    snapshot: Arc<Snapshot>,
    targets: Table,
    engines: Arena<key::Target, Engine>,
    lanes: Arena<key::Service, Lane>,
    running: Arena<key::Request, Running>,
    lengths: Book,
    limit: Limit,
    prefixes: affinity::Table,
    vms: u32,
    candidates: Vec<Candidate>,
    cleaned: Instant,
}

/// A request on a target.
#[derive(Debug)]
struct Running {
    target: key::Target,
    customer: key::Customer,
    class: usize,
    group: Group,
    prompt: u32,
    limit: u32,
    produced: u32,
    profile: Profile,
    started: Instant,
    last_token: Instant,
}

/// What is expected of a request.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    group: Group,
    limit: u32,
    /// Mean output in tokens.
    tokens: u32,
    /// Output that half of the requests reach, in tokens.
    median: u32,
    profile: Profile,
}

impl Predictive {
    /// Makes the policy for a VM in a data centre.
    pub fn new(seed: u64, home: key::DataCentre, settings: Settings) -> Self {
        Self {
            settings,
            home,
            seed,
            random: SmallRng::seed_from_u64(seed),
            snapshot: Arc::default(),
            targets: Table::default(),
            engines: Arena::default(),
            lanes: Arena::default(),
            running: Arena::default(),
            lengths: Book::default(),
            limit: Limit::default(),
            prefixes: affinity::Table::default(),
            vms: 1,
            candidates: Vec::new(),
            cleaned: Instant::default(),
        }
    }

    fn configure(&mut self, snapshot: Arc<Snapshot>) {
        for gone in self.targets.configure(&snapshot) {
            self.engines.remove(gone);
            self.prefixes.forget(gone);
        }
        for target in snapshot.targets.keys() {
            if !self.engines.contains(target) {
                self.engines.insert(target, Engine::default());
            }
        }
        for service in snapshot.services.keys() {
            if !self.lanes.contains(service) {
                self.lanes.insert(service, Lane::default());
            }
            if let Some(lane) = self.lanes.get_mut(service) {
                lane.configure(service, &snapshot, self.home);
            }
        }
        self.snapshot = snapshot;
    }

    fn arrive(&mut self, now: Instant, request: Box<Request>, actions: &mut Vec<Action>) {
        if let Err(refusal) = self.check(now, &request) {
            let request = request.key;
            actions.push(Action::Refuse { request, refusal });
            return;
        }
        self.limit.begin(request.customer);
        let estimate = self.estimate(&request);
        if !self.is_behind(&request)
            && let Some(choice) = self.choose(now, &request, &estimate, self.settings.margin, None)
        {
            self.dispatch(now, &request, now, choice, &estimate, actions);
            return;
        }
        self.enqueue(now, request, &estimate, actions);
    }

    /// Refuses what can't be served at all or is not allowed.
    fn check(&mut self, now: Instant, request: &Request) -> Result<(), Refusal> {
        if now >= request.deadline {
            return Err(refuse(
                Reason::Deadline,
                "the deadline has passed",
                COME_BACK,
            ));
        }
        let suited = self
            .targets
            .iter_service(request.service)
            .any(|target| target.suits(request));
        if !suited {
            let message = "no target can take the request";
            return Err(refuse(Reason::NoTarget, message, COME_BACK));
        }
        let Some(lane) = self.lanes.get_mut(request.service) else {
            return Err(Refusal::not_run(
                Reason::NotFound,
                "the service is not known",
            ));
        };
        if !request.excluded.is_empty() {
            if lane.budget.spend() {
                return Ok(());
            }
            let message = "the retry budget of the service is spent";
            return Err(refuse(Reason::TargetRefused, message, COME_BACK));
        }
        lane.budget.earn(lane.retry_share);
        let Some(customer) = self.snapshot.customers.get(request.customer) else {
            return Ok(());
        };
        self.limit
            .admit(now, request.customer, customer, self.vms)
            .map_err(|delay| {
                refuse(
                    Reason::CustomerLimit,
                    "the customer is over its limit",
                    delay,
                )
            })
    }

    fn estimate(&mut self, request: &Request) -> Estimate {
        let lane = self.lanes.get(request.service);
        let class = lane.and_then(|lane| lane.classes.get(request.class));
        let limit = class.map_or(u32::MAX, |class| class.max_tokens);
        let limit = limit.min(request.max_tokens).max(1);
        let weight = self.weight(request.customer);
        let group = Group {
            service: request.service,
            class: request.class,
            customers: Some(weight.max(1).ilog2() as u8),
        };
        if request.model.is_none() {
            return Estimate {
                group,
                limit,
                tokens: 0,
                median: 0,
                profile: Profile::default(),
            };
        }
        self.lengths
            .open(group, class.map_or(limit, |class| class.max_tokens));
        let curve = self.lengths.curve(group);
        Estimate {
            group,
            limit,
            tokens: curve.map_or(0, |curve| curve.rest(0, limit) as u32),
            median: curve.map_or(0, |curve| curve.median().min(limit)),
            profile: curve.map_or_else(Profile::default, |curve| {
                Profile::of(curve, request.prompt_tokens, 0, limit)
            }),
        }
    }

    fn weight(&self, customer: key::Customer) -> u32 {
        let customer = self.snapshot.customers.get(customer);
        customer.map_or(1, |customer| customer.weight)
    }

    fn place(&self, request: &Request) -> Place {
        let lane = self.lanes.get(request.service);
        let class = lane.and_then(|lane| lane.classes.get(request.class));
        let fair = self.settings.has(Mechanism::Fairness);
        Place {
            priority: class.map_or(0, |class| class.priority),
            customer: if fair { request.customer } else { EVERYONE },
        }
    }

    /// Returns whether others wait that go before the request.
    fn is_behind(&self, request: &Request) -> bool {
        let priority = self.place(request).priority;
        let lane = self.lanes.get(request.service);
        lane.is_some_and(|lane| lane.queue.is_ahead(priority))
    }

    fn choose(
        &mut self,
        now: Instant,
        request: &Request,
        estimate: &Estimate,
        margin: f32,
        first: Option<key::Target>,
    ) -> Option<Choice> {
        let lane = self.lanes.get(request.service)?;
        let class = lane.classes.get(request.class)?;
        let headroom = self.settings.has(Mechanism::Headroom);
        let view = View {
            now,
            settings: &self.settings,
            seed: self.seed,
            home: self.home,
            targets: &self.targets,
            engines: &self.engines,
            lane,
            prefixes: &self.prefixes,
            need: Need {
                profile: &estimate.profile,
                typical: typical(&self.lengths, estimate.group),
                share: if headroom { class.share } else { 1.0 },
                margin: if lane.is_first(request.class) {
                    0.0
                } else {
                    margin
                },
                forecast: self.settings.has(Mechanism::Forecast),
                claim: self.settings.has(Mechanism::Claim) && !lane.is_first(request.class),
            },
        };
        view.choose(request, first, &mut self.random, &mut self.candidates)
    }

    fn dispatch(
        &mut self,
        now: Instant,
        request: &Request,
        since: Instant,
        choice: Choice,
        estimate: &Estimate,
        actions: &mut Vec<Action>,
    ) {
        let target = choice.target;
        self.targets.begin(target);
        if let Some(engine) = self.engines.get_mut(target) {
            engine.begin(now, request.prompt_tokens, &estimate.profile);
        }
        if let Some(lane) = self.lanes.get_mut(request.service)
            && let Some(class) = lane.classes.get_mut(request.class)
        {
            class.in_flight += 1;
            class.rate.count(now);
        }
        for &prefix in &request.prefixes {
            self.prefixes.store(now, prefix, target);
        }
        self.lengths.advance(estimate.group, None, Some(bucket(0)));
        let running = Running {
            target,
            customer: request.customer,
            class: request.class,
            group: estimate.group,
            prompt: request.prompt_tokens,
            limit: estimate.limit,
            produced: 0,
            profile: estimate.profile,
            started: now,
            last_token: now,
        };
        self.running.insert(request.key, running);
        let candidates = self.candidates.iter();
        actions.push(Action::Dispatch(Box::new(Decision {
            request: request.key,
            target,
            candidates: candidates
                .map(|candidate| (candidate.target, candidate.score))
                .collect(),
            cause: choice.cause,
            waited: now.since(since),
            expected_tokens: estimate.tokens,
        })));
    }

    /// Queues a request, or refuses it at once if it would wait for too long.
    fn enqueue(
        &mut self,
        now: Instant,
        request: Box<Request>,
        estimate: &Estimate,
        actions: &mut Vec<Action>,
    ) {
        let place = self.place(&request);
        let weight = self.weight(request.customer);
        let refuses = self.settings.has(Mechanism::Refusal);
        let Some(lane) = self.lanes.get_mut(request.service) else {
            return;
        };
        let ahead = lane.queue.ahead(place, weight) + 1.0;
        let mean = lane.duration(request.class, estimate.tokens);
        let wait = lane.wait(now, request.class, ahead, mean);
        // Refused is what would more likely than not be late.
        let duration = lane.duration(request.class, estimate.median);
        let excess = (now + wait + duration).since(request.deadline);
        if refuses && !excess.is_zero() {
            self.limit.end(request.customer);
            let message = "the predicted wait passes the deadline";
            actions.push(Action::Refuse {
                request: request.key,
                refusal: refuse(Reason::Overloaded, message, excess.max(COME_BACK)),
            });
            return;
        }
        let give_up = if refuses {
            let left = request.deadline.since(now).saturating_sub(duration);
            now + left
        } else {
            request.deadline
        };
        let waiting = Waiting {
            cost: request.prompt_tokens.saturating_add(estimate.tokens),
            request,
            since: now,
            give_up,
        };
        lane.queue.push(place, weight, waiting);
    }

    /// Sends waiting requests of a service while there is room; `free` has just got some.
    fn drain(
        &mut self,
        now: Instant,
        service: key::Service,
        free: Option<key::Target>,
        actions: &mut Vec<Action>,
    ) {
        while let Some((place, choice, estimate)) = self.next(now, service, free) {
            let queue = self.lanes.get_mut(service).map(|lane| &mut lane.queue);
            let Some(waiting) = queue.and_then(|queue| queue.pop(place)) else {
                return;
            };
            let since = waiting.since;
            self.dispatch(now, &waiting.request, since, choice, &estimate, actions);
        }
    }

    /// Finds the next waiting request that has a target.
    fn next(
        &mut self,
        now: Instant,
        service: key::Service,
        free: Option<key::Target>,
    ) -> Option<(Place, Choice, Estimate)> {
        let queue = std::mem::take(&mut self.lanes.get_mut(service)?.queue);
        let next = self.next_of(now, &queue, free);
        self.lanes.get_mut(service)?.queue = queue;
        next
    }

    /// Tries the heads in order; one that may run on the free target but has no room there is
    /// not overtaken.
    fn next_of(
        &mut self,
        now: Instant,
        queue: &Queue,
        free: Option<key::Target>,
    ) -> Option<(Place, Choice, Estimate)> {
        for (place, waiting) in queue.heads().take(HEADS) {
            let request = &waiting.request;
            let estimate = self.estimate(request);
            let margin = self.margin(now, waiting);
            if let Some(choice) = self.choose(now, request, &estimate, margin, free) {
                return Some((place, choice, estimate));
            }
            let target = free.and_then(|free| self.targets.get(free));
            if target.is_none_or(|target| target.suits(request)) {
                return None;
            }
        }
        None
    }

    /// Returns the margin for a waiting request: it shrinks as the time to wait runs out.
    fn margin(&self, now: Instant, waiting: &Waiting) -> f32 {
        let waited = now.since(waiting.since).as_secs_f32();
        let allowed = waiting.give_up.since(waiting.since).as_secs_f32();
        let left = 1.0 - waited / allowed.max(f32::MIN_POSITIVE);
        let Settings {
            margin,
            least_margin,
            ..
        } = self.settings;
        least_margin + (margin - least_margin) * left.clamp(0.0, 1.0)
    }

    fn progress(&mut self, now: Instant, request: key::Request, tokens: u32) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let before = bucket(running.produced);
        let first = running.produced == 0;
        let took = now.since(running.last_token);
        running.produced += tokens;
        running.last_token = now;
        let after = bucket(running.produced);
        if let Some(engine) = self.engines.get_mut(running.target) {
            engine.usage.grow(now, tokens);
            if first {
                engine.health.first_token(now);
            } else {
                engine.health.progress(now, tokens, took);
            }
        }
        if !first && let Some(lane) = self.lanes.get_mut(running.group.service) {
            lane.observe_gap(tokens, took);
        }
        if before == after {
            return;
        }
        self.lengths
            .advance(running.group, Some(before), Some(after));
        let Some(curve) = self.lengths.curve(running.group) else {
            return;
        };
        let profile = Profile::of(curve, running.prompt, running.produced, running.limit);
        if let Some(engine) = self.engines.get_mut(running.target) {
            engine.usage.update(&running.profile, &profile);
        }
        running.profile = profile;
    }

    fn end(
        &mut self,
        now: Instant,
        request: key::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        self.targets.end(running.target);
        self.limit.end(running.customer);
        self.observe(now, &running, outcome);
        if let Some(engine) = self.engines.get_mut(running.target) {
            let tokens = running.prompt.saturating_add(running.produced);
            engine.end(now, tokens, &running.profile);
            if running.produced > 0 {
                engine.health.end_stream();
            }
        }
        self.judge(now, running.target, outcome);
        let service = running.group.service;
        self.drain(now, service, Some(running.target), actions);
    }

    /// Learns lengths and durations from an attempt that ended.
    fn observe(&mut self, now: Instant, running: &Running, outcome: Outcome) {
        self.lengths
            .advance(running.group, Some(bucket(running.produced)), None);
        if running.produced > 0 {
            // What reached the caller's limit would have gone on.
            let whole = outcome == Outcome::Complete && running.produced < running.limit;
            self.lengths.observe(running.group, running.produced, whole);
        }
        let Some(lane) = self.lanes.get_mut(running.group.service) else {
            return;
        };
        if outcome == Outcome::Leaving {
            lane.budget.give_back();
        }
        let Some(class) = lane.classes.get_mut(running.class) else {
            return;
        };
        class.in_flight = class.in_flight.saturating_sub(1);
        if outcome == Outcome::Complete {
            class.observe(now.since(running.started));
        }
    }

    /// Learns the health of a target from how an attempt ended.
    fn judge(&mut self, now: Instant, target: key::Target, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        match outcome {
            Outcome::Complete => engine.health.succeed(),
            Outcome::Cancelled | Outcome::Refused => engine.health.pass(),
            Outcome::Leaving => self.targets.set_leaving(target, true),
            Outcome::Failed => {
                if engine.health.fail() {
                    self.eject(now, target);
                }
            }
        }
    }

    /// Takes a target out of use for a while, unless too few would stay.
    fn eject(&mut self, now: Instant, target: key::Target) {
        if !self.settings.has(Mechanism::Outlier) {
            return;
        }
        let Some(service) = self.targets.get(target).map(|target| target.service) else {
            return;
        };
        let others = self
            .targets
            .iter_service(service)
            .filter(|other| other.key != target && other.is_usable());
        let (mut targets, mut ejected) = (1, 0);
        for other in others {
            targets += 1;
            let health = self.engines.get(other.key).map(|engine| &engine.health);
            ejected += usize::from(health.is_some_and(Health::is_ejected));
        }
        if may_eject(ejected, targets)
            && let Some(engine) = self.engines.get_mut(target)
        {
            engine.health.eject(now);
        }
    }

    fn withdraw(&mut self, request: key::Request) {
        for (_, lane) in self.lanes.iter_mut() {
            if let Some(waiting) = lane.queue.remove(request) {
                self.limit.end(waiting.request.customer);
                return;
            }
        }
    }

    fn report(&mut self, now: Instant, key: key::Target, load: Load, actions: &mut Vec<Action>) {
        let draw = self.random.random::<f64>();
        if let (Some(target), Some(engine)) = (self.targets.get(key), self.engines.get_mut(key)) {
            engine.report(now, target, &load, self.vms, draw);
        }
        self.targets.report(now, key, load);
        self.fill(now, key, actions);
    }

    /// Sends waiting requests to a target that may have got room.
    fn fill(&mut self, now: Instant, target: key::Target, actions: &mut Vec<Action>) {
        if let Some(service) = self.targets.get(target).map(|target| target.service) {
            self.drain(now, service, Some(target), actions);
        }
    }

    fn cache(&mut self, now: Instant, target: key::Target, stored: &[u64], removed: &[u64]) {
        for &prefix in removed {
            self.prefixes.remove(prefix, target);
        }
        for &prefix in stored {
            self.prefixes.store(now, prefix, target);
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.since(self.cleaned) >= HOUSEKEEPING_STEP {
            self.cleaned = now;
            self.clean(now);
        }
        self.give_up(now, actions);
        let services: Vec<_> = self.lanes.keys().collect();
        for service in services {
            self.drain(now, service, None, actions);
        }
    }

    /// Refuses what could no longer be answered in time, before its deadline.
    fn give_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (_, lane) in self.lanes.iter_mut() {
            while let Some(waiting) = lane.queue.expire(now) {
                self.limit.end(waiting.request.customer);
                let message = "no target became free in time for a whole answer";
                actions.push(Action::Refuse {
                    request: waiting.request.key,
                    refusal: refuse(Reason::Overloaded, message, COME_BACK),
                });
            }
        }
    }

    /// Drops what is out of date and ejects targets whose streams fell silent.
    fn clean(&mut self, now: Instant) {
        self.limit.expire(now);
        let mut silent = Vec::new();
        for (key, engine) in self.engines.iter_mut() {
            engine.usage.expire(now);
            if engine.health.is_silent(now) {
                silent.push(key);
            }
        }
        for target in silent {
            self.eject(now, target);
        }
    }
}

impl Machine for Predictive {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configuration(snapshot) => {
                self.configure(snapshot);
                self.tick(now, actions);
            }
            Event::Arrived(request) => self.arrive(now, request, actions),
            Event::Progress { request, tokens } => self.progress(now, request, tokens),
            Event::Ended { request, outcome } => self.end(now, request, outcome, actions),
            Event::Withdrawn(request) => self.withdraw(request),
            Event::Report { target, load } => self.report(now, target, *load, actions),
            Event::Cache {
                target,
                stored,
                removed,
                ..
            } => self.cache(now, target, &stored, &removed),
            Event::Reachable { target, reachable } => {
                self.targets.set_reachable(target, reachable);
                self.fill(now, target, actions);
            }
            Event::Leaving { target, leaving } => {
                self.targets.set_leaving(target, leaving);
                self.fill(now, target, actions);
            }
            Event::PeerUse {
                vm,
                target,
                requests,
                tokens,
            } => {
                if let Some(engine) = self.engines.get_mut(target) {
                    engine.usage.peer(now, vm, requests, tokens);
                }
            }
            Event::PeerDemand {
                vm,
                customer,
                requests_per_second,
                in_flight,
            } => {
                self.limit
                    .peer(now, vm, customer, requests_per_second, in_flight);
            }
            Event::Connected(connected) => self.limit.set_connected(connected),
            Event::Vms(vms) => self.vms = vms.max(1),
            Event::Tick => self.tick(now, actions),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        let housekeeping = self.cleaned + HOUSEKEEPING_STEP;
        let queues = self.lanes.values().map(|lane| &lane.queue);
        let give_up = queues.filter_map(Queue::next_give_up).min();
        give_up.into_iter().chain([housekeeping]).min()
    }
}

impl Policy for Predictive {
    fn name(&self) -> &'static str {
        NAME
    }

    fn queued(&self) -> usize {
        self.lanes.values().map(|lane| lane.queue.len()).sum()
    }
}

/// Returns the lengths by which requests of others on the same service are judged.
fn typical(lengths: &Book, group: Group) -> Option<&Curve> {
    lengths.curve(group.of_all())
}

fn refuse(reason: Reason, message: &str, delay: Duration) -> Refusal {
    Refusal::not_run(reason, message).retry_after(delay)
}
