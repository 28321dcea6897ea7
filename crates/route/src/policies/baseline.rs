//! Common part of the baselines: slots per target and one FIFO queue per service.

use {
    crate::{
        Action, Cause, Decision, Event, Outcome, Policy, Request,
        target::{Table, Target},
    },
    base::{Instant, Machine, Reason, Refusal, arena::Arena, key},
    std::{collections::VecDeque, fmt::Debug, time::Duration},
};

/// Weight of the newest duration in the exponential moving average.
const EWMA_WEIGHT: f64 = 0.05;
/// Retry delay of refusals when no target can be used.
const NO_TARGET_DELAY: Duration = Duration::from_secs(1);
/// Expected output that baselines report, in tokens, as they don't estimate lengths.
const NO_LENGTH_ESTIMATE: u32 = 0;

/// How a baseline chooses among the targets with free slots.
pub trait Strategy: Debug + Send {
    /// Returns the name of the policy.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen candidate; `None` if there are no candidates.
    fn choose(&mut self, candidates: &[&Target]) -> Option<usize>;
}

/// A policy that admits up to each target's concurrency, whatever the lengths.
#[derive(Debug)]
pub struct Baseline {
    strategy: Box<dyn Strategy>,
    targets: Table,
    attempts: Arena<key::Request, Attempt>,
    queues: Arena<key::Service, Queue>,
}

#[derive(Debug)]
struct Attempt {
    target: key::Target,
    service: key::Service,
    started: Instant,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Entry>,
    /// Moving average of the duration of a complete response.
    mean_seconds: f64,
}

#[derive(Debug)]
struct Entry {
    request: Box<Request>,
    queued_at: Instant,
}

impl Baseline {
    /// Creates a baseline from a strategy.
    pub fn new(strategy: Box<dyn Strategy>) -> Self {
        Self {
            strategy,
            targets: Table::default(),
            attempts: Arena::default(),
            queues: Arena::default(),
        }
    }

    fn configure(&mut self, snapshot: &config::Snapshot) {
        self.targets.configure(snapshot);
        for service in snapshot.services.keys() {
            if !self.queues.contains(service) {
                self.queues.insert(service, Queue::default());
            }
        }
    }

    fn handle_arrival(&mut self, now: Instant, request: Box<Request>, actions: &mut Vec<Action>) {
        if let Some(refusal) = self.check_admission(now, &request) {
            let request = request.key;
            actions.push(Action::Refuse { request, refusal });
            return;
        }
        let Some(queue) = self.queues.get_mut(request.service) else {
            return;
        };
        let service = request.service;
        queue.waiting.push_back(Entry {
            request,
            queued_at: now,
        });
        self.dispatch_queued(now, service, actions);
    }

    /// Returns the refusal of a request that can't be dispatched before its deadline.
    fn check_admission(&self, now: Instant, request: &Request) -> Option<Refusal> {
        if now >= request.deadline {
            return Some(deadline_refusal());
        }
        let targets = self.targets.iter_by_service(request.service);
        let slots: u32 = targets
            .filter(|target| target.can_serve(request))
            .map(|target| target.concurrency)
            .sum();
        if slots == 0 {
            let refusal = Refusal::not_run(Reason::NoTarget, "no target can take the request");
            return Some(refusal.retry_after(NO_TARGET_DELAY));
        }
        let queue = self.queues.get(request.service)?;
        let ahead = queue.waiting.len() as f64;
        let wait = Duration::from_secs_f64(ahead * queue.mean_seconds / f64::from(slots));
        if now + wait < request.deadline {
            return None;
        }
        let refusal = Refusal::not_run(Reason::Overloaded, "the queue is longer than the deadline");
        Some(refusal.retry_after(wait))
    }

    /// Dispatches queued requests of a service while there are free slots.
    fn dispatch_queued(&mut self, now: Instant, service: key::Service, actions: &mut Vec<Action>) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        let mut index = 0;
        while let Some(entry) = queue.waiting.get(index) {
            let candidates: Vec<_> = self
                .targets
                .iter_by_service(service)
                .filter(|target| target.has_free_slot())
                .collect();
            if candidates.is_empty() {
                return;
            }
            let candidates: Vec<_> = candidates
                .into_iter()
                .filter(|target| target.can_serve(&entry.request))
                .collect();
            let Some(chosen) = self.strategy.choose(&candidates) else {
                index += 1;
                continue;
            };
            let decision = decision(now, entry, &candidates, chosen);
            let attempt = Attempt {
                target: decision.target,
                service,
                started: now,
            };
            self.targets.begin(decision.target);
            self.attempts.insert(decision.request, attempt);
            queue.waiting.remove(index);
            actions.push(Action::Dispatch(Box::new(decision)));
        }
    }

    fn handle_end(
        &mut self,
        now: Instant,
        request: key::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(request) else {
            return;
        };
        self.targets.end(attempt.target);
        if outcome == Outcome::Leaving {
            self.targets.set_leaving(attempt.target, true);
        }
        if let Some(queue) = self.queues.get_mut(attempt.service)
            && outcome == Outcome::Complete
        {
            let seconds = now.since(attempt.started).as_secs_f64();
            queue.mean_seconds += EWMA_WEIGHT * (seconds - queue.mean_seconds);
        }
        self.dispatch_queued(now, attempt.service, actions);
    }

    fn cancel_queued(&mut self, request: key::Request) {
        for (_, queue) in self.queues.iter_mut() {
            queue.waiting.retain(|entry| entry.request.key != request);
        }
    }

    /// Refuses queued requests past their deadline, then dispatches those that fit.
    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (_, queue) in self.queues.iter_mut() {
            queue.waiting.retain(|entry| {
                if now < entry.request.deadline {
                    return true;
                }
                actions.push(Action::Refuse {
                    request: entry.request.key,
                    refusal: deadline_refusal(),
                });
                false
            });
        }
        let services: Vec<_> = self.queues.keys().collect();
        for service in services {
            self.dispatch_queued(now, service, actions);
        }
    }

    fn dispatch_queued_to(&mut self, now: Instant, target: key::Target, actions: &mut Vec<Action>) {
        if let Some(service) = self.targets.get(target).map(|target| target.service) {
            self.dispatch_queued(now, service, actions);
        }
    }
}

impl Machine for Baseline {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configuration(snapshot) => {
                self.configure(&snapshot);
                self.tick(now, actions);
            }
            Event::Arrived(request) => self.handle_arrival(now, request, actions),
            Event::Ended { request, outcome } => self.handle_end(now, request, outcome, actions),
            Event::Cancelled(request) => self.cancel_queued(request),
            Event::Report { target, load } => {
                self.targets.set_load(now, target, *load);
                self.dispatch_queued_to(now, target, actions);
            }
            Event::Reachable { target, reachable } => {
                self.targets.set_reachable(target, reachable);
                self.dispatch_queued_to(now, target, actions);
            }
            Event::Leaving { target, leaving } => {
                self.targets.set_leaving(target, leaving);
                self.dispatch_queued_to(now, target, actions);
            }
            Event::Tick => self.tick(now, actions),
            Event::Progress { .. }
            | Event::Cache { .. }
            | Event::PeerUsage { .. }
            | Event::PeerDemand { .. }
            | Event::PeersConnected(_)
            | Event::VmCount(_) => {}
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        let queues = self.queues.values();
        queues
            .flat_map(|queue| &queue.waiting)
            .map(|entry| entry.request.deadline)
            .min()
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        self.strategy.name()
    }

    fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }
}

/// Returns the refusal of a request whose deadline has passed.
fn deadline_refusal() -> Refusal {
    Refusal::not_run(
        Reason::Deadline,
        "the deadline passed before a target was free",
    )
    .retry_after(NO_TARGET_DELAY)
}

fn decision(now: Instant, entry: &Entry, candidates: &[&Target], chosen: usize) -> Decision {
    Decision {
        request: entry.request.key,
        target: candidates[chosen].key,
        candidates: candidates
            .iter()
            .map(|target| (target.key, f64::from(target.in_flight)))
            .collect(),
        cause: Cause::Baseline,
        waited: now.since(entry.queued_at),
        expected_tokens: NO_LENGTH_ESTIMATE,
    }
}
