//! Work in progress at the targets, and where new work goes.

use {
    base::{Instant, key},
    derive_more::Debug,
    dispatch::{
        Budget, Generation, Lengths, Load, Peers, Placement,
        budget::Policy,
        listing::Target,
        placement::{Basis, Query, RunId},
        waiting::{Demand, Position, Queues, Waiter},
    },
    rand::Rng,
    smol::channel::{Receiver, Sender, bounded},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Most requests of this VM before one that looks for room itself; those behind would look in vain.
const MOST_AHEAD_HERE: usize = 2;

#[derive(Debug)]
struct State {
    placement: Placement,
    lengths: Lengths,
    budgets: HashMap<key::Service, Budget>,
    waiting: Queues,
}

/// Joins the decisions about placement, lengths and retries.
#[derive(Debug)]
pub struct Dispatcher {
    state: Arc<Mutex<State>>,
    terms: Policy,
    /// VMs that share the retry budget.
    vms: AtomicUsize,
    changed: Change,
    waker: Receiver<()>,
}

/// Wakes the sender of reports.
#[derive(Clone, Debug)]
struct Change(Sender<()>);

impl Change {
    fn tell(&self) {
        // A full channel means that it has work already.
        let _ = self.0.try_send(());
    }
}

/// A place at a target; dropping it frees the place.
#[derive(Debug)]
pub struct Place {
    state: Arc<Mutex<State>>,
    ticket: RunId,
    basis: Basis,
    changed: Change,
    is_told: bool,
}

impl Dispatcher {
    /// Starts without work.
    pub fn new(seed: u64, terms: Policy) -> Self {
        let (changed, waker) = bounded(1);
        Self {
            state: Arc::new(Mutex::new(State {
                placement: Placement::new(seed),
                lengths: Lengths::default(),
                budgets: HashMap::new(),
                waiting: Queues::default(),
            })),
            terms,
            vms: AtomicUsize::new(1),
            changed: Change(changed),
            waker,
        }
    }

    /// Chooses a target and takes a place there; `None` if none has room.
    pub fn place(
        &self,
        now: Instant,
        targets: &[Target],
        ask: &Query<'_>,
    ) -> Option<(Target, Place)> {
        let mut state = self.lock();
        let choice = state.placement.choose(now, targets, ask)?;
        let (target, basis) = (choice.target.clone(), choice.basis);
        let ticket = state.placement.start_run(target.key, ask.load);
        drop(state);
        Some((target, self.hold(ticket, basis, ask.engine.is_some())))
    }

    /// Takes a place at a given target.
    pub fn place_at(&self, target: key::Target, load: Load) -> Place {
        let ticket = self.lock().placement.start_run(target, load);
        self.hold(ticket, Basis::default(), true)
    }

    /// Notes an answer of a target.
    pub fn succeeded(&self, target: &Target) {
        self.lock().placement.record_success(target);
    }

    /// Notes the time that a plain service's target took.
    pub fn took(&self, target: key::Target, time: Duration, now: Instant) {
        self.lock().placement.record_latency(target, time, now);
    }

    /// Notes that no connection to a target could be made.
    pub fn unreached(&self, target: &Target, now: Instant) {
        self.lock().placement.record_unreachable(target, now);
    }

    /// Notes that a target failed a request.
    pub fn failed(&self, target: key::Target, now: Instant) {
        self.lock().placement.record_failure(target, now);
        self.changed.tell();
    }

    /// Notes that a target refused a request for want of room.
    pub fn refused(&self, target: key::Target, now: Instant) {
        self.lock().placement.record_rejection(target, now);
    }

    /// Takes what the other VMs report; only those of `near`, if given, report each change.
    pub fn set_peers(&self, peers: &Peers, near: Option<u64>, now: Instant) {
        self.vms
            .store(peers.live(now).count() + 1, Ordering::Relaxed);
        let mut state = self.lock();
        state.placement.set_peer_load(peers.load(now));
        state
            .placement
            .set_summarized(peers.summarized_data_centres(now));
        state
            .placement
            .set_failure_reports(peers.failure_counts(now));
        state.waiting.set_remote_waiters(peers.waiters(near, now));
    }

    /// Returns the targets that this VM avoids since they failed requests.
    pub fn failing(&self, now: Instant) -> Vec<key::Target> {
        self.lock().placement.failing(now)
    }

    /// Takes a place in the queue of a service if room is expected by `end`.
    ///
    /// # Errors
    /// Returns the time in which room is expected if that is later.
    pub fn enter(
        &self,
        service: key::Service,
        priority: u32,
        now: Instant,
        end: Instant,
        targets: &[Target],
    ) -> Result<Queued, Duration> {
        let mut state = self.lock();
        let crowd = Demand {
            runs: state.placement.run_count(targets),
            remote_waiters: state.waiting.remote_count(service, now),
        };
        let turn = state.waiting.enqueue(service, priority, now, end, crowd)?;
        drop(state);
        self.changed.tell();
        Ok(Queued {
            state: Arc::clone(&self.state),
            service,
            turn,
            changed: self.changed.clone(),
        })
    }

    /// Returns how many requests of all VMs go before one that arrives now.
    pub fn ahead_of_newcomer(&self, service: key::Service, priority: u32, now: Instant) -> usize {
        self.lock().waiting.ahead_of_arrival(service, priority, now)
    }

    /// Returns when a client had better come back that has waited in vain.
    pub fn return_delay(&self, service: key::Service) -> Duration {
        let draw = rand::rng().random_range(0.0..1.0);
        self.lock().waiting.retry_delay(service, draw)
    }

    /// Returns the requests that wait here.
    pub fn waiters(&self) -> Vec<Waiter> {
        self.lock().waiting.local_waiters().collect()
    }

    /// Learns from a run that has ended.
    pub fn ended(&self, service: key::Service, time: Duration) {
        self.lock().waiting.record_run_time(service, time);
    }

    /// Returns the number of VMs that were heard lately, with this one.
    pub fn vms(&self) -> usize {
        self.vms.load(Ordering::Relaxed)
    }

    /// Returns this VM's own work.
    pub fn own(&self) -> HashMap<key::Target, Load> {
        self.lock().placement.local_load()
    }

    /// Estimates the tokens of an answer.
    pub fn estimate(&self, route: &str, generation: &Generation) -> u32 {
        self.lock().lengths.estimate(route, generation)
    }

    /// Learns from an answer that has ended.
    pub fn learn(&self, route: &str, tokens: u32) {
        self.lock().lengths.record(route, tokens);
    }

    /// Counts a request of a client for the retry budget of its service.
    pub fn request(&self, service: key::Service, now: Instant) {
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .record_request(now, &self.terms);
    }

    /// Takes a retry of a service's budget; returns whether there was one.
    pub fn retry(&self, service: key::Service, now: Instant) -> bool {
        let vms = self.vms.load(Ordering::Relaxed);
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .try_spend(now, &self.terms, vms)
    }

    /// Waits until this VM's own work has changed.
    pub async fn change(&self) {
        // The sender lives in `self`, so the channel is never closed.
        let _ = self.waker.recv().await;
    }

    fn hold(&self, ticket: RunId, basis: Basis, is_told: bool) -> Place {
        let place = Place {
            state: Arc::clone(&self.state),
            ticket,
            basis,
            changed: self.changed.clone(),
            is_told,
        };
        place.tell();
        place
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue of a service; dropping it gives the place up.
#[derive(Debug)]
pub struct Queued {
    state: Arc<Mutex<State>>,
    service: key::Service,
    turn: Position,
    changed: Change,
}

impl Queued {
    /// Returns how many requests of all VMs go before; `None` if several of this VM do.
    pub fn ahead(&self, now: Instant) -> Option<usize> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let here = state.waiting.ahead_locally(self.service, self.turn);
        (here <= MOST_AHEAD_HERE).then(|| state.waiting.ahead(self.service, self.turn, now))
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.waiting.remove(self.service, self.turn);
        drop(state);
        self.changed.tell();
    }
}

impl Place {
    /// Returns what the target was chosen by.
    pub fn basis(&self) -> &Basis {
        &self.basis
    }

    /// Notes that the prompt has been read.
    pub fn started(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.finish_prefill(self.ticket);
        drop(state);
        self.tell();
    }

    /// Notes how many tokens the answer has.
    pub fn grew(&self, prompt: u32, tokens: u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.update_tokens(self.ticket, prompt, tokens);
    }

    /// Wakes the sender of reports if peers hear of the place at once.
    fn tell(&self) {
        if self.is_told {
            self.changed.tell();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.end_run(self.ticket);
        drop(state);
        self.tell();
    }
}
