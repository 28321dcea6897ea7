//! The default policy: admission by predicted memory, fair queueing, sampled choice of targets.

pub mod choice;
pub mod engine;
pub mod service;
pub mod settings;

mod admission;
mod attempt;
mod housekeeping;
mod waiting;

use {
    crate::{
        Action, Event, Policy, affinity,
        fair_queue::Queue,
        length::{Estimator, Group},
        limit::Limiter,
        memory::Profile,
        target::Table,
    },
    base::{Instant, Machine, Reason, Refusal, arena::Arena, key},
    choice::Candidate,
    config::Snapshot,
    engine::Engine,
    rand::{SeedableRng, rngs::SmallRng},
    service::Service,
    settings::Settings,
    std::{sync::Arc, time::Duration},
};

/// Name of the policy.
pub const NAME: &str = "predictive";

/// Retry delay of refusals when no target can be used or a retry is not allowed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two removals of expired state and checks for stalled targets.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Most flows whose first request is tried on a target if earlier ones may not run there.
const MAX_HEADS: usize = 8;
/// The customer under which all requests are queued when fair queueing is off.
const SHARED_FLOW: key::Customer = key::Customer::from_raw(0);

/// Creates the policy with default settings.
pub fn make(seed: u64, data_centre: key::DataCentre) -> Box<dyn Policy> {
    Box::new(Predictive::new(seed, data_centre, Settings::default()))
}

/// Creates the policy with one mechanism disabled; `None` if the mechanism is unknown.
pub fn make_without(
    mechanism: &str,
    seed: u64,
    data_centre: key::DataCentre,
) -> Option<Box<dyn Policy>> {
    let settings = Settings {
        disabled: vec![mechanism.parse().ok()?],
        ..Settings::default()
    };
    Some(Box::new(Predictive::new(seed, data_centre, settings)))
}

/// The predictive policy with its state.
#[derive(Debug)]
pub struct Predictive {
    settings: Settings,
    data_centre: key::DataCentre,
    seed: u64,
    random: SmallRng,
    snapshot: Arc<Snapshot>,
    targets: Table,
    engines: Arena<key::Target, Engine>,
    services: Arena<key::Service, Service>,
    attempts: Arena<key::Request, Attempt>,
    lengths: Estimator,
    limiter: Limiter,
    prefixes: affinity::Table,
    vms: u32,
    /// Candidates of the last selection; the allocation is reused.
    candidates: Vec<Candidate>,
    last_housekeeping: Instant,
}

/// An attempt in flight on a target.
#[derive(Debug)]
struct Attempt {
    target: key::Target,
    customer: key::Customer,
    class: usize,
    group: Group,
    prompt_tokens: u32,
    max_tokens: u32,
    output_tokens: u32,
    profile: Profile,
    started: Instant,
    last_token: Instant,
}

/// Predicted output length and memory of a request.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    group: Group,
    max_tokens: u32,
    /// Mean output in tokens.
    mean_tokens: u32,
    /// Median output in tokens.
    median_tokens: u32,
    profile: Profile,
}

impl Predictive {
    /// Creates the policy for a VM in a data centre.
    pub fn new(seed: u64, data_centre: key::DataCentre, settings: Settings) -> Self {
        Self {
            settings,
            data_centre,
            seed,
            random: SmallRng::seed_from_u64(seed),
            snapshot: Arc::default(),
            targets: Table::default(),
            engines: Arena::default(),
            services: Arena::default(),
            attempts: Arena::default(),
            lengths: Estimator::default(),
            limiter: Limiter::default(),
            prefixes: affinity::Table::default(),
            vms: 1,
            candidates: Vec::new(),
            last_housekeeping: Instant::default(),
        }
    }

    fn configure(&mut self, snapshot: Arc<Snapshot>) {
        for removed in self.targets.configure(&snapshot) {
            self.engines.remove(removed);
            self.prefixes.remove_target(removed);
        }
        for target in snapshot.targets.keys() {
            if !self.engines.contains(target) {
                self.engines.insert(target, Engine::default());
            }
        }
        for key in snapshot.services.keys() {
            if !self.services.contains(key) {
                self.services.insert(key, Service::default());
            }
            if let Some(service) = self.services.get_mut(key) {
                service.configure(key, &snapshot, self.data_centre);
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
            Event::Arrived(request) => self.handle_arrival(now, request, actions),
            Event::Progress { request, tokens } => self.handle_progress(now, request, tokens),
            Event::Ended { request, outcome } => self.handle_end(now, request, outcome, actions),
            Event::Cancelled(request) => self.cancel_queued(request),
            Event::Report { target, load } => self.handle_report(now, target, *load, actions),
            Event::Cache {
                target,
                stored,
                removed,
                ..
            } => self.update_prefixes(now, target, &stored, &removed),
            Event::Reachable { target, reachable } => {
                self.targets.set_reachable(target, reachable);
                self.dispatch_queued_to(now, target, actions);
            }
            Event::Leaving { target, leaving } => {
                self.targets.set_leaving(target, leaving);
                self.dispatch_queued_to(now, target, actions);
            }
            Event::PeerUsage {
                vm,
                target,
                requests,
                tokens,
            } => {
                if let Some(engine) = self.engines.get_mut(target) {
                    engine.usage.update_peer(now, vm, requests, tokens);
                }
            }
            Event::PeerDemand {
                vm,
                customer,
                requests_per_second,
                in_flight,
            } => {
                self.limiter
                    .update_peer(now, vm, customer, requests_per_second, in_flight);
            }
            Event::PeersConnected(connected) => self.limiter.set_peers_connected(connected),
            Event::VmCount(vms) => self.vms = vms.max(1),
            Event::Tick => self.tick(now, actions),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        let housekeeping = self.last_housekeeping + HOUSEKEEPING_INTERVAL;
        let queues = self.services.values().map(|service| &service.queue);
        let expiry = queues.filter_map(Queue::next_expiry).min();
        expiry.into_iter().chain([housekeeping]).min()
    }
}

impl Policy for Predictive {
    fn name(&self) -> &'static str {
        NAME
    }

    fn queued(&self) -> usize {
        self.services
            .values()
            .map(|service| service.queue.len())
            .sum()
    }
}

fn refuse(reason: Reason, message: &str, delay: Duration) -> Refusal {
    Refusal::not_run(reason, message).retry_after(delay)
}
