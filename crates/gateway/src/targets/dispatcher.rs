//! Work in progress at the targets, and where new work goes.

use {
    base::{Instant, key},
    derive_more::Debug,
    dispatch::{
        Budget, Generation, Lengths, Load, Peers, Placement,
        budget::Terms,
        listing::Target,
        placement::{Ask, Basis, Ticket},
        waiting::{Crowd, Turn, Waiter, Waiting},
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
    waiting: Waiting,
}

/// Joins the decisions about placement, lengths and retries.
#[derive(Debug)]
pub struct Dispatcher {
    state: Arc<Mutex<State>>,
    terms: Terms,
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
    ticket: Ticket,
    basis: Basis,
    changed: Change,
    is_told: bool,
}

impl Dispatcher {
    /// Starts without work.
    pub fn new(seed: u64, terms: Terms) -> Self {
        let (changed, waker) = bounded(1);
        Self {
            state: Arc::new(Mutex::new(State {
                placement: Placement::new(seed),
                lengths: Lengths::default(),
                budgets: HashMap::new(),
                waiting: Waiting::default(),
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
        ask: &Ask<'_>,
    ) -> Option<(Target, Place)> {
        let mut state = self.lock();
        let choice = state.placement.choose(now, targets, ask)?;
        let (target, basis) = (choice.target.clone(), choice.basis);
        let ticket = state.placement.begin(target.key, ask.load);
        drop(state);
        Some((target, self.hold(ticket, basis, ask.engine.is_some())))
    }

    /// Takes a place at a given target.
    pub fn place_at(&self, target: key::Target, load: Load) -> Place {
        let ticket = self.lock().placement.begin(target, load);
        self.hold(ticket, Basis::default(), true)
    }

    /// Notes an answer of a target.
    pub fn succeeded(&self, target: &Target) {
        self.lock().placement.succeeded(target);
    }

    /// Notes the time that a plain service's target took.
    pub fn took(&self, target: key::Target, time: Duration, now: Instant) {
        self.lock().placement.took(target, time, now);
    }

    /// Notes that no connection to a target could be made.
    pub fn unreached(&self, target: &Target, now: Instant) {
        self.lock().placement.unreached(target, now);
    }

    /// Notes that a target failed a request.
    pub fn failed(&self, target: key::Target, now: Instant) {
        self.lock().placement.failed(target, now);
        self.changed.tell();
    }

    /// Notes that a target refused a request for want of room.
    pub fn refused(&self, target: key::Target, now: Instant) {
        self.lock().placement.refused(target, now);
    }

    /// Takes what the other VMs report; only those of `near`, if given, report each change.
    pub fn set_peers(&self, peers: &Peers, near: Option<u64>, now: Instant) {
        self.vms
            .store(peers.live(now).count() + 1, Ordering::Relaxed);
        let mut state = self.lock();
        state.placement.set_peers(peers.work(now));
        state.placement.set_summarized(peers.summarized(now));
        state.placement.set_reported(peers.failing(now));
        state.waiting.set_others(peers.waiting(near, now));
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
        let crowd = Crowd {
            runs: state.placement.runs(targets),
            waiting: state.waiting.others(service, now),
        };
        let turn = state.waiting.enter(service, priority, now, end, crowd)?;
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
        self.lock()
            .waiting
            .ahead_of_newcomer(service, priority, now)
    }

    /// Returns when a client had better come back that has waited in vain.
    pub fn return_delay(&self, service: key::Service) -> Duration {
        let draw = rand::rng().random_range(0.0..1.0);
        self.lock().waiting.return_delay(service, draw)
    }

    /// Returns the requests that wait here.
    pub fn waiters(&self) -> Vec<Waiter> {
        self.lock().waiting.waiters().collect()
    }

    /// Learns from a run that has ended.
    pub fn ended(&self, service: key::Service, time: Duration) {
        self.lock().waiting.ended(service, time);
    }

    /// Returns the number of VMs that were heard lately, with this one.
    pub fn vms(&self) -> usize {
        self.vms.load(Ordering::Relaxed)
    }

    /// Returns this VM's own work.
    pub fn own(&self) -> HashMap<key::Target, Load> {
        self.lock().placement.own()
    }

    /// Estimates the tokens of an answer.
    pub fn estimate(&self, route: &str, generation: &Generation) -> u32 {
        self.lock().lengths.estimate(route, generation)
    }

    /// Learns from an answer that has ended.
    pub fn learn(&self, route: &str, tokens: u32) {
        self.lock().lengths.learn(route, tokens);
    }

    /// Counts a request of a client for the retry budget of its service.
    pub fn request(&self, service: key::Service, now: Instant) {
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .request(now, &self.terms);
    }

    /// Takes a retry of a service's budget; returns whether there was one.
    pub fn retry(&self, service: key::Service, now: Instant) -> bool {
        let vms = self.vms.load(Ordering::Relaxed);
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .spend(now, &self.terms, vms)
    }

    /// Waits until this VM's own work has changed.
    pub async fn change(&self) {
        // The sender lives in `self`, so the channel is never closed.
        let _ = self.waker.recv().await;
    }

    fn hold(&self, ticket: Ticket, basis: Basis, is_told: bool) -> Place {
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
    turn: Turn,
    changed: Change,
}

impl Queued {
    /// Returns how many requests of all VMs go before; `None` if several of this VM do.
    pub fn ahead(&self, now: Instant) -> Option<usize> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let here = state.waiting.ahead_here(self.service, self.turn);
        (here <= MOST_AHEAD_HERE).then(|| state.waiting.ahead(self.service, self.turn, now))
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.waiting.leave(self.service, self.turn);
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
        state.placement.started(self.ticket);
        drop(state);
        self.tell();
    }

    /// Notes how many tokens the answer has.
    pub fn grew(&self, prompt: u32, tokens: u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.grew(self.ticket, prompt, tokens);
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
        state.placement.end(self.ticket);
        drop(state);
        self.tell();
    }
}
