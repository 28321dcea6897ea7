//! What the baselines share: places per target, one first-in-first-out queue per service.

use {
    crate::{
        Action, Cause, Decision, Event, Outcome, Policy, Request,
        target::{Table, Target},
    },
    base::{Instant, Machine, Reason, Refusal, arena::Arena, key},
    std::{collections::VecDeque, fmt::Debug, time::Duration},
};

/// Weight of the newest duration in the moving average.
const NEWEST_SHARE: f64 = 0.05;
/// When to come back if no target can be used.
const NO_TARGET_DELAY: Duration = Duration::from_secs(1);
/// Expected output when a baseline is asked for one, in tokens.
const UNKNOWN_TOKENS: u32 = 0;

/// The rule by which baselines differ.
pub trait Choice: Debug + Send {
    /// Returns the name of the policy.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen candidate; `None` if there are no candidates.
    fn choose(&mut self, candidates: &[&Target]) -> Option<usize>;
}

/// A policy that admits up to each target's concurrency and knows nothing of lengths.
#[derive(Debug)]
pub struct Baseline {
    choice: Box<dyn Choice>,
    targets: Table,
    running: Arena<key::Request, Running>,
    queues: Arena<key::Service, Queue>,
}

#[derive(Debug)]
struct Running {
    target: key::Target,
    service: key::Service,
    started: Instant,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Waiting>,
    mean_seconds: f64,
}

#[derive(Debug)]
struct Waiting {
    request: Box<Request>,
    since: Instant,
}

impl Baseline {
    /// Makes a baseline with a rule.
    pub fn new(choice: Box<dyn Choice>) -> Self {
        Self {
            choice,
            targets: Table::default(),
            running: Arena::default(),
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

    fn arrive(&mut self, now: Instant, request: Box<Request>, actions: &mut Vec<Action>) {
        if let Some(refusal) = self.refusal(now, &request) {
            let request = request.key;
            actions.push(Action::Refuse { request, refusal });
            return;
        }
        let Some(queue) = self.queues.get_mut(request.service) else {
            return;
        };
        let service = request.service;
        queue.waiting.push_back(Waiting {
            request,
            since: now,
        });
        self.drain(now, service, actions);
    }

    /// Returns the refusal of a request that can't be served in time.
    fn refusal(&self, now: Instant, request: &Request) -> Option<Refusal> {
        if now >= request.deadline {
            return Some(late());
        }
        let targets = self.targets.iter_service(request.service);
        let places: u32 = targets
            .filter(|target| target.suits(request))
            .map(|target| target.concurrency)
            .sum();
        if places == 0 {
            let refusal = Refusal::not_run(Reason::NoTarget, "no target can take the request");
            return Some(refusal.retry_after(NO_TARGET_DELAY));
        }
        let queue = self.queues.get(request.service)?;
        let ahead = queue.waiting.len() as f64;
        let wait = Duration::from_secs_f64(ahead * queue.mean_seconds / f64::from(places));
        if now + wait < request.deadline {
            return None;
        }
        let refusal = Refusal::not_run(Reason::Overloaded, "the queue is longer than the deadline");
        Some(refusal.retry_after(wait))
    }

    /// Sends waiting requests of a service while there are places.
    fn drain(&mut self, now: Instant, service: key::Service, actions: &mut Vec<Action>) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        let mut index = 0;
        while let Some(waiting) = queue.waiting.get(index) {
            let candidates: Vec<_> = self
                .targets
                .iter_service(service)
                .filter(|target| target.has_place())
                .collect();
            if candidates.is_empty() {
                return;
            }
            let candidates: Vec<_> = candidates
                .into_iter()
                .filter(|target| target.suits(&waiting.request))
                .collect();
            let Some(chosen) = self.choice.choose(&candidates) else {
                index += 1;
                continue;
            };
            let decision = decide(now, waiting, &candidates, chosen);
            let running = Running {
                target: decision.target,
                service,
                started: now,
            };
            self.targets.begin(decision.target);
            self.running.insert(decision.request, running);
            queue.waiting.remove(index);
            actions.push(Action::Dispatch(Box::new(decision)));
        }
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
        if outcome == Outcome::Leaving {
            self.targets.set_leaving(running.target, true);
        }
        if let Some(queue) = self.queues.get_mut(running.service)
            && outcome == Outcome::Complete
        {
            let seconds = now.since(running.started).as_secs_f64();
            queue.mean_seconds += NEWEST_SHARE * (seconds - queue.mean_seconds);
        }
        self.drain(now, running.service, actions);
    }

    fn withdraw(&mut self, request: key::Request) {
        for (_, queue) in self.queues.iter_mut() {
            queue
                .waiting
                .retain(|waiting| waiting.request.key != request);
        }
    }

    /// Refuses what has passed its deadline, then sends what has a place.
    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (_, queue) in self.queues.iter_mut() {
            queue.waiting.retain(|waiting| {
                if now < waiting.request.deadline {
                    return true;
                }
                actions.push(Action::Refuse {
                    request: waiting.request.key,
                    refusal: late(),
                });
                false
            });
        }
        let services: Vec<_> = self.queues.keys().collect();
        for service in services {
            self.drain(now, service, actions);
        }
    }

    fn drain_target(&mut self, now: Instant, target: key::Target, actions: &mut Vec<Action>) {
        if let Some(service) = self.targets.get(target).map(|target| target.service) {
            self.drain(now, service, actions);
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
            Event::Arrived(request) => self.arrive(now, request, actions),
            Event::Ended { request, outcome } => self.end(now, request, outcome, actions),
            Event::Cancelled(request) => self.withdraw(request),
            Event::Report { target, load } => {
                self.targets.report(now, target, *load);
                self.drain_target(now, target, actions);
            }
            Event::Reachable { target, reachable } => {
                self.targets.set_reachable(target, reachable);
                self.drain_target(now, target, actions);
            }
            Event::Leaving { target, leaving } => {
                self.targets.set_leaving(target, leaving);
                self.drain_target(now, target, actions);
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
            .map(|waiting| waiting.request.deadline)
            .min()
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        self.choice.name()
    }

    fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }
}

/// Returns the refusal of a request whose deadline has passed.
fn late() -> Refusal {
    Refusal::not_run(
        Reason::Deadline,
        "the deadline passed before a target was free",
    )
    .retry_after(NO_TARGET_DELAY)
}

fn decide(now: Instant, waiting: &Waiting, candidates: &[&Target], chosen: usize) -> Decision {
    Decision {
        request: waiting.request.key,
        target: candidates[chosen].key,
        candidates: candidates
            .iter()
            .map(|target| (target.key, f64::from(target.in_flight)))
            .collect(),
        cause: Cause::Baseline,
        waited: now.since(waiting.since),
        expected_tokens: UNKNOWN_TOKENS,
    }
}
