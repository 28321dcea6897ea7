//! The product's policy: admission by predicted memory, fair queueing, randomised choice.

pub mod choice;
pub mod engine;
pub mod lane;
pub mod settings;

mod admission;
mod attempt;
mod upkeep;
mod waiting;

use {
    crate::{
        Action, Event, Policy, affinity,
        fair_queue::Queue,
        length::{Book, Group},
        limit::Limit,
        memory::Profile,
        target::Table,
    },
    base::{Instant, Machine, Reason, Refusal, arena::Arena, key},
    choice::Candidate,
    config::Snapshot,
    engine::Engine,
    lane::Lane,
    rand::{SeedableRng, rngs::SmallRng},
    settings::Settings,
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
            Event::Cancelled(request) => self.withdraw(request),
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
            Event::PeerUsage {
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
            Event::PeersConnected(connected) => self.limit.set_connected(connected),
            Event::VmCount(vms) => self.vms = vms.max(1),
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

fn refuse(reason: Reason, message: &str, delay: Duration) -> Refusal {
    Refusal::not_run(reason, message).retry_after(delay)
}
