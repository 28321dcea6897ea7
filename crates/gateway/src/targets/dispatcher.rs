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
const MAX_AHEAD_LOCALLY: usize = 2;

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
    live_vms: AtomicUsize,
    notifier: Notifier,
    notified: Receiver<()>,
}

/// Wakes the sender of reports.
#[derive(Clone, Debug)]
struct Notifier(Sender<()>);

impl Notifier {
    fn notify(&self) {
        // A full channel means that it has work already.
        let _ = self.0.try_send(());
    }
}

/// A place at a target; dropping it frees the place.
#[derive(Debug)]
pub struct Reservation {
    state: Arc<Mutex<State>>,
    ticket: Ticket,
    basis: Basis,
    notifier: Notifier,
    notifies_peers: bool,
}

impl Dispatcher {
    /// Starts without work.
    pub fn new(seed: u64, terms: Terms) -> Self {
        let (notifier, notified) = bounded(1);
        Self {
            state: Arc::new(Mutex::new(State {
                placement: Placement::new(seed),
                lengths: Lengths::default(),
                budgets: HashMap::new(),
                waiting: Waiting::default(),
            })),
            terms,
            live_vms: AtomicUsize::new(1),
            notifier: Notifier(notifier),
            notified,
        }
    }

    /// Chooses a target and takes a place there; `None` if none has room.
    pub fn reserve(
        &self,
        now: Instant,
        targets: &[Target],
        ask: &Ask<'_>,
    ) -> Option<(Target, Reservation)> {
        let mut state = self.lock();
        let choice = state.placement.choose(now, targets, ask)?;
        let (target, basis) = (choice.target.clone(), choice.basis);
        let ticket = state.placement.begin(target.key, ask.load);
        drop(state);
        Some((
            target,
            self.new_reservation(ticket, basis, ask.engine.is_some()),
        ))
    }

    /// Takes a place at a given target.
    pub fn reserve_at(&self, target: key::Target, load: Load) -> Reservation {
        let ticket = self.lock().placement.begin(target, load);
        self.new_reservation(ticket, Basis::default(), true)
    }

    /// Notes an answer of a target.
    pub fn record_success(&self, target: &Target) {
        self.lock().placement.succeeded(target);
    }

    /// Notes the time that a plain service's target took.
    pub fn record_latency(&self, target: key::Target, time: Duration, now: Instant) {
        self.lock().placement.took(target, time, now);
    }

    /// Notes that no connection to a target could be made.
    pub fn record_unreachable(&self, target: &Target, now: Instant) {
        self.lock().placement.unreached(target, now);
    }

    /// Notes that a target failed a request.
    pub fn record_failure(&self, target: key::Target, now: Instant) {
        self.lock().placement.failed(target, now);
        self.notifier.notify();
    }

    /// Notes that a target refused a request for want of room.
    pub fn record_refusal(&self, target: key::Target, now: Instant) {
        self.lock().placement.refused(target, now);
    }

    /// Takes what the other VMs report; only those of `near`, if given, report each change.
    pub fn update_peers(&self, peers: &Peers, local_data_centre: Option<u64>, now: Instant) {
        self.live_vms
            .store(peers.live(now).count() + 1, Ordering::Relaxed);
        let mut state = self.lock();
        state.placement.set_peers(peers.work(now));
        state.placement.set_summarized(peers.summarized(now));
        state.placement.set_reported(peers.failing(now));
        state
            .waiting
            .set_others(peers.waiting(local_data_centre, now));
    }

    /// Returns the targets that this VM avoids since they failed requests.
    pub fn failing_targets(&self, now: Instant) -> Vec<key::Target> {
        self.lock().placement.failing(now)
    }

    /// Takes a place in the queue of a service if room is expected by `end`.
    ///
    /// # Errors
    /// Returns the time in which room is expected if that is later.
    pub fn enqueue(
        &self,
        service: key::Service,
        priority: u32,
        now: Instant,
        end: Instant,
        targets: &[Target],
    ) -> Result<QueueEntry, Duration> {
        let mut state = self.lock();
        let service_load = Crowd {
            runs: state.placement.runs(targets),
            waiting: state.waiting.others(service, now),
        };
        let turn = state
            .waiting
            .enter(service, priority, now, end, service_load)?;
        drop(state);
        self.notifier.notify();
        Ok(QueueEntry {
            state: Arc::clone(&self.state),
            service,
            turn,
            notifier: self.notifier.clone(),
        })
    }

    /// Returns how many requests of all VMs go before one that arrives now.
    pub fn ahead_of_arrival(&self, service: key::Service, priority: u32, now: Instant) -> usize {
        self.lock()
            .waiting
            .ahead_of_newcomer(service, priority, now)
    }

    /// Returns when a client had better come back that has waited in vain.
    pub fn retry_delay(&self, service: key::Service) -> Duration {
        let random = rand::rng().random_range(0.0..1.0);
        self.lock().waiting.return_delay(service, random)
    }

    /// Returns the requests that wait here.
    pub fn queued_requests(&self) -> Vec<Waiter> {
        self.lock().waiting.waiters().collect()
    }

    /// Learns from a run that has ended.
    pub fn record_run(&self, service: key::Service, time: Duration) {
        self.lock().waiting.ended(service, time);
    }

    /// Returns the number of VMs that were heard lately, with this one.
    pub fn live_vms(&self) -> usize {
        self.live_vms.load(Ordering::Relaxed)
    }

    /// Returns this VM's own work.
    pub fn own_load(&self) -> HashMap<key::Target, Load> {
        self.lock().placement.own()
    }

    /// Estimates the tokens of an answer.
    pub fn estimate_tokens(&self, route: &str, generation: &Generation) -> u32 {
        self.lock().lengths.estimate(route, generation)
    }

    /// Learns from an answer that has ended.
    pub fn record_tokens(&self, route: &str, tokens: u32) {
        self.lock().lengths.learn(route, tokens);
    }

    /// Counts a request of a client for the retry budget of its service.
    pub fn record_request(&self, service: key::Service, now: Instant) {
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .request(now, &self.terms);
    }

    /// Takes a retry of a service's budget; returns whether there was one.
    pub fn take_retry(&self, service: key::Service, now: Instant) -> bool {
        let vms = self.live_vms.load(Ordering::Relaxed);
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .spend(now, &self.terms, vms)
    }

    /// Waits until this VM's own work has notifier.
    pub async fn load_changed(&self) {
        // The sender lives in `self`, so the channel is never closed.
        let _ = self.notified.recv().await;
    }

    fn new_reservation(&self, ticket: Ticket, basis: Basis, notifies_peers: bool) -> Reservation {
        let reservation = Reservation {
            state: Arc::clone(&self.state),
            ticket,
            basis,
            notifier: self.notifier.clone(),
            notifies_peers,
        };
        reservation.notify();
        reservation
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue of a service; dropping it gives the place up.
#[derive(Debug)]
pub struct QueueEntry {
    state: Arc<Mutex<State>>,
    service: key::Service,
    turn: Turn,
    notifier: Notifier,
}

impl QueueEntry {
    /// Returns how many requests of all VMs go before; `None` if several of this VM do.
    pub fn ahead(&self, now: Instant) -> Option<usize> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let ahead_locally = state.waiting.ahead_here(self.service, self.turn);
        (ahead_locally <= MAX_AHEAD_LOCALLY)
            .then(|| state.waiting.ahead(self.service, self.turn, now))
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.waiting.leave(self.service, self.turn);
        drop(state);
        self.notifier.notify();
    }
}

impl Reservation {
    /// Returns what the target was chosen by.
    pub fn basis(&self) -> &Basis {
        &self.basis
    }

    /// Notes that the prompt has been read.
    pub fn prefill_finished(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.started(self.ticket);
        drop(state);
        self.notify();
    }

    /// Notes how many tokens the answer has.
    pub fn set_tokens(&self, prompt: u32, tokens: u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.grew(self.ticket, prompt, tokens);
    }

    /// Wakes the sender of reports if peers hear of the place at once.
    fn notify(&self) {
        if self.notifies_peers {
            self.notifier.notify();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.end(self.ticket);
        drop(state);
        self.notify();
    }
}
