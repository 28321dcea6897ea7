//! Placement, queueing and retry budgets behind one lock, shared by all requests of the process.

use {
    base::{Clock, Instant, key},
    derive_more::Debug,
    dispatch::{
        Budget, Cold, Durations, Generation, Lengths, Limits, Load, Paces, Peers, Placement,
        Probation, Selection,
        budget::Policy,
        configuration::ColdStart,
        listing::Target,
        load::{Occupancy, Pace},
        pace::{self, Factors, Spread, Window},
        peers::Readings,
        placement::{self, Basis, Choice, Query, RunId, overdue_delay},
        probation::Changes,
        report::{self, KeptPlace},
        returning::{Place, Places, Return},
        waiting::{Arrival, Count, Demand, Position, Queues, Waiter},
    },
    rand::Rng,
    smol::channel::{Receiver, Sender, bounded},
    std::{
        collections::HashMap,
        net::Ipv4Addr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Maximum number of local requests ahead of one that may attempt placement.
///
/// Attempts of requests further back would fail.
const MAX_AHEAD_LOCALLY: usize = 2;

#[derive(Debug)]
struct State {
    placement: Placement,
    lengths: Lengths,
    durations: Durations,
    budgets: HashMap<key::Service, Budget>,
    queues: Queues,
    places: Places,
    limits: Limits,
    cold: Cold,
    paces: Paces,
    probation: Probation,
    selection: Selection,
    /// Targets that the current request doesn't use; kept for its memory only.
    excluded: Vec<key::Target>,
}

impl State {
    /// Returns the demand for a service that goes before an arrival, given the targets whose runs make
    /// room for it.
    fn demand(
        &self,
        service: key::Service,
        arrival: Arrival,
        targets: &[Target],
        now: Instant,
    ) -> Demand {
        let counts_in_progress = self.places.is_enabled();
        // A run that ends at a cordoned target makes no room.
        let targets = targets.iter().filter(|target| !target.is_cordoned);
        Demand {
            runs: self.placement.paced_run_count(targets, &self.paces, now),
            remote_waiters: if counts_in_progress {
                self.queues.remote_ahead(service, arrival)
            } else {
                self.queues.remote_count(service, now)
            },
            counts_in_progress,
        }
    }
}

/// Chooses a target that is not in `closed`, or any one as a last resort.
fn choose_proven<'a>(
    (selection, placement, cold): (&mut Selection, &mut Placement, &mut Cold),
    now: Instant,
    targets: &'a [Target],
    query: &Query<'_>,
    mut closed: Vec<key::Target>,
) -> Option<Choice<'a>> {
    if closed.is_empty() {
        return selection.choose((placement, cold), now, targets, query);
    }
    closed.extend(query.excluded);
    let open = Query {
        excluded: &closed,
        ..*query
    };
    let choice = selection.choose((&mut *placement, &mut *cold), now, targets, &open);
    let is_last_resort = query.probation.is_some_and(|access| access.is_last_resort);
    if choice.is_none() && is_last_resort {
        return selection.choose((placement, cold), now, targets, query);
    }
    choice
}

/// Tracks the load on the targets and decides which requests are admitted, placed and retried.
#[derive(Debug)]
pub struct Dispatcher {
    state: Arc<Mutex<State>>,
    budget_policy: Policy,
    /// Number of live VMs, among which the retry budget is divided.
    live_vms: AtomicUsize,
    notifier: Notifier,
    wakeups: Receiver<()>,
    limit_notifier: Notifier,
    limit_wakeups: Receiver<()>,
}

/// Wakes the task that sends reports.
#[derive(Clone, Debug)]
struct Notifier(Sender<()>);

impl Notifier {
    fn notify(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.0.try_send(());
    }
}

/// Capacity reserved at a target; dropping it releases the capacity.
#[derive(Debug)]
pub struct Reservation {
    state: Arc<Mutex<State>>,
    run: RunId,
    target: key::Target,
    basis: Basis,
    /// When it was chosen; `None` if it was reserved whatever the load there.
    chosen: Option<Instant>,
    reserved: Instant,
    notifier: Notifier,
    /// Whether changes of the load are reported to peers immediately.
    notifies_peers: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without load; `seed` makes placement reproducible.
    ///
    /// At most `kept_places` places of rejected requests are kept; with 0 none are.
    pub fn new(
        seed: u64,
        budget_policy: Policy,
        cold: Cold,
        probation: Probation,
        kept_places: usize,
    ) -> Self {
        let (notifier, wakeups) = bounded(1);
        let (limit_notifier, limit_wakeups) = bounded(1);
        Self {
            state: Arc::new(Mutex::new(State {
                placement: Placement::new(seed),
                lengths: Lengths::default(),
                durations: Durations::default(),
                budgets: HashMap::new(),
                queues: Queues::default(),
                places: Places::new(kept_places),
                limits: Limits::new(seed),
                cold,
                paces: Paces::default(),
                probation,
                selection: Selection::default(),
                excluded: Vec::new(),
            })),
            budget_policy,
            live_vms: AtomicUsize::new(1),
            notifier: Notifier(notifier),
            wakeups,
            limit_notifier: Notifier(limit_notifier),
            limit_wakeups,
        }
    }

    /// Chooses a target and reserves capacity there; `None` if no target has enough.
    pub fn reserve(
        &self,
        now: Instant,
        targets: &[Target],
        query: &Query<'_>,
    ) -> Option<(Target, Reservation)> {
        let mut guard = self.lock();
        let state = &mut *guard;
        if let Some(first) = targets.first() {
            state.paces.refresh(first.service, targets, now);
        }
        // Without the limits, as a target that has had its share soon takes requests again.
        let on_probation = query.probation.map_or_else(Vec::new, |access| {
            let permitted = targets.iter().filter(|target| query.permits(target));
            let is_busy = |target| state.placement.has_request(target);
            state.probation.closed(permitted, access, is_busy, now)
        });
        let excluded = &mut state.excluded;
        excluded.clear();
        excluded.extend_from_slice(query.excluded);
        // A copy of a run is no request.
        let mut is_brittle = false;
        if query.load.runs > 0 {
            excluded.extend(state.limits.closed(now));
            let brittle: Vec<_> = state.limits.brittle(now).collect();
            is_brittle = !brittle.is_empty();
            let brittle = targets
                .iter()
                .filter(|target| brittle.contains(&target.key));
            // A brittle target is sent nothing that might have to wait.
            excluded.extend(brittle.filter_map(|target| {
                let runs = state.placement.run_count([target]);
                (runs >= target.slots).then_some(target.key)
            }));
        }
        let query = &Query {
            excluded,
            paces: Some(&state.paces),
            ..*query
        };
        let parts = (&mut state.selection, &mut state.placement, &mut state.cold);
        let choice = choose_proven(parts, now, targets, query, on_probation)?;
        let (target, basis) = (choice.target.clone(), choice.basis);
        let run = state.placement.start_run(target.key, query.load);
        let is_request = query.load.runs > 0;
        if query.engine.is_some() && is_request {
            let pending_prefill = basis.load.pending_prefill + query.load.pending_prefill;
            let due = now + overdue_delay(pending_prefill).mul_f64(basis.factor.max(1.0));
            state.placement.set_due(run, due);
        }
        let is_announced = is_request && state.limits.record_sent(target.key, now);
        if let Some(access) = query.cold_access.filter(|_| is_request) {
            let start = access.cold_start();
            state.cold.record_sent(&target, start, now);
        }
        let notifies_peers = query.engine.is_some() || is_brittle;
        drop(guard);
        if is_announced {
            self.limit_notifier.notify();
        }
        let reservation =
            self.new_reservation((run, target.key), (basis, Some(now)), now, notifies_peers);
        Some((target, reservation))
    }

    /// Reserves capacity at a given target, whether or not it has any.
    pub fn reserve_at(
        &self,
        target: &Target,
        load: Load,
        cold_start: Option<ColdStart>,
        now: Instant,
    ) -> Reservation {
        let mut state = self.lock();
        let run = state.placement.start_run(target.key, load);
        let is_announced = state.limits.record_sent(target.key, now);
        if let Some(start) = cold_start {
            state.cold.record_sent(target, &start, now);
        }
        drop(state);
        if is_announced {
            self.limit_notifier.notify();
        }
        self.new_reservation((run, target.key), (Basis::default(), None), now, true)
    }

    /// Records the limit that an answer names, or that it names none; returns whether that is new.
    pub fn record_limit(
        &self,
        target: key::Target,
        limit: Option<f64>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let is_new = state.limits.record_answer(target, limit, sent, now);
        drop(state);
        if is_new {
            self.limit_notifier.notify();
        }
        is_new
    }

    /// Records whether an answer calls its target brittle; returns whether that is new.
    pub fn record_brittle(
        &self,
        target: key::Target,
        max_refusals: Option<u32>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let is_new = state.limits.record_brittle(target, max_refusals, sent, now);
        drop(state);
        if is_new {
            self.limit_notifier.notify();
        }
        is_new
    }

    /// Records that a target wants nothing from this VM for a time.
    pub fn record_pause(&self, target: key::Target, duration: Duration, now: Instant) {
        self.lock().limits.pause(target, duration, now);
        self.notifier.notify();
    }

    /// Returns whether a target wants nothing from this VM now.
    pub fn is_paused(&self, target: key::Target, now: Instant) -> bool {
        self.lock()
            .limits
            .paused(now)
            .any(|paused| paused == target)
    }

    /// Forgets the failures of targets, as they were this VM's own.
    pub fn forget_failures(&self) {
        let mut state = self.lock();
        state.placement.forget_failures();
        state.probation.forget_own();
        drop(state);
        self.notifier.notify();
    }

    /// Returns the time until any of the targets takes a request; `None` if one does now.
    ///
    /// `cold_start` is how they warm up, if they have to.
    pub fn limit_delay(
        &self,
        targets: &[Target],
        cold_start: Option<ColdStart>,
        now: Instant,
    ) -> Option<Duration> {
        let state = &mut *self.lock();
        let usable = targets.iter().filter(|target| target.is_usable());
        let delays = usable.map(|target| {
            let limit_delay = state.limits.delay(target.key, now);
            let cold_delay = cold_start.map(|start| state.cold.delay(target, &start, now));
            limit_delay.max(cold_delay.unwrap_or_default())
        });
        delays.min().filter(|delay| !delay.is_zero())
    }

    /// Adds the limits that another VM knows.
    pub fn receive_limits(&self, limits: &report::Limits, now: Instant) {
        self.lock().limits.receive(limits, now);
    }

    /// Returns messages with all limits, for VMs that have missed some.
    pub fn limits(&self, now: Instant) -> Vec<report::Limits> {
        self.lock().limits.snapshot(now)
    }

    /// Returns the number of targets with a limit.
    pub fn limited_targets(&self) -> usize {
        self.lock().limits.len()
    }

    /// Removes the limits of targets that are no longer listed.
    pub fn retain_limits(&self, is_known: impl Fn(key::Target) -> bool, now: Instant) {
        let mut state = self.lock();
        state.limits.retain(is_known);
        state.cold.forget_old_sends(now);
    }

    /// Returns the time for which a target is still warming up; `None` if it isn't.
    pub fn cold_remaining(
        &self,
        target: &Target,
        start: &ColdStart,
        now: Instant,
    ) -> Option<Duration> {
        self.lock().cold.remaining(target, start, now)
    }

    /// Replaces the other VMs among which the requests to cold targets are divided.
    pub fn set_known_vms(&self, others: impl Iterator<Item = Ipv4Addr>) {
        let others = others.map(|address| u64::from(u32::from(address)));
        self.lock().cold.set_vms(others);
    }

    /// Waits until the other VMs lack a limit or a request to a target with one, and returns these.
    pub async fn wait_for_limits(&self, clock: &dyn Clock) -> report::Limits {
        loop {
            // `self` owns a sender, so the channel is never closed.
            let _ = self.limit_wakeups.recv().await;
            if let Some(news) = self.lock().limits.take_news(clock.now()) {
                return news;
            }
        }
    }

    /// Records a response without a server error.
    pub fn record_success(&self, target: &Target) {
        self.lock().placement.record_success(target);
    }

    /// Records a complete response of a target to a request that was sent at `sent`.
    pub fn record_served(&self, target: key::Target, sent: Instant, now: Instant) {
        self.lock().probation.record_served(target, sent, now);
    }

    /// Returns whether targets may be on probation.
    pub fn has_probation(&self) -> bool {
        self.lock().probation.is_enabled()
    }

    /// Returns the targets on probation.
    pub fn targets_on_probation(&self, now: Instant) -> Vec<key::Target> {
        self.lock().probation.targets(now).collect()
    }

    /// Returns which targets have begun or ended their probation since the last call.
    pub fn take_probation_changes(&self, now: Instant) -> Changes {
        self.lock().probation.take_changes(now)
    }

    /// Records the latency of a plain service's target.
    pub fn record_latency(&self, target: key::Target, time: Duration, now: Instant) {
        self.lock().placement.record_latency(target, time, now);
    }

    /// Records a failed connection to a target.
    pub fn record_unreachable(&self, target: &Target, now: Instant) {
        self.lock().placement.record_unreachable(target, now);
    }

    /// Records that a target is silent and takes no connection.
    pub fn record_silence(&self, target: key::Target, now: Instant) {
        self.lock().placement.record_silence(target, now);
    }

    /// Records a request that failed at a target.
    pub fn record_failure(&self, target: key::Target, now: Instant) {
        let mut state = self.lock();
        state.placement.record_failure(target, now);
        state.probation.record_failure(target, now);
        drop(state);
        self.notifier.notify();
    }

    /// Records a request that a target refused for lack of capacity.
    pub fn record_rejection(&self, target: key::Target, now: Instant) {
        let mut state = self.lock();
        state.placement.record_rejection(target, now);
        let is_brittle = state.limits.record_refusal(target, now);
        drop(state);
        if is_brittle {
            self.limit_notifier.notify();
        }
    }

    /// Updates the state that the other VMs reported.
    ///
    /// If `local_data_centre` is given, only the VMs of that data centre report each change.
    pub fn update_peers(&self, peers: &Peers, local_data_centre: Option<u64>, now: Instant) {
        self.live_vms
            .store(peers.live(now).count() + 1, Ordering::Relaxed);
        let mut state = self.lock();
        if state.paces.needs_readings(now) {
            state.paces.set_readings(peers.paces(now), now);
        }
        let placement = &mut state.placement;
        placement.refill_peer_load(|loads| peers.add_load(loads, now));
        state
            .placement
            .set_summarized(peers.summarized_data_centres(now));
        state
            .placement
            .set_failure_reports(&peers.failure_counts(now), now);
        if state.probation.is_enabled() {
            let failed_counts = peers.failed_counts(now);
            state.probation.set_reporters(&failed_counts, now);
        }
        state
            .queues
            .set_remote_waiters(peers.waiters(local_data_centre, now));
    }

    /// Returns the targets that this VM avoids because requests failed there.
    ///
    /// Targets that have asked this VM to pause count as well, as they lack capacity.
    pub fn failing_targets(&self, now: Instant) -> Vec<key::Target> {
        let state = self.lock();
        let mut failing = state.placement.failing(now);
        failing.extend(state.limits.paused(now));
        if state.probation.is_enabled() {
            // A target that is named twice would count as a failure at two VMs.
            failing.sort_unstable();
            failing.dedup();
        }
        failing
    }

    /// Returns those of the failing targets that failed no request, if peers need the difference.
    ///
    /// They want a pause, or their answer is overdue.
    pub fn delayed_targets(&self, now: Instant) -> Vec<key::Target> {
        let mut failing = self.failing_targets(now);
        let state = self.lock();
        let is_enabled = state.probation.is_enabled();
        failing.retain(|target| is_enabled && !state.placement.has_failed(*target, now));
        failing
    }

    /// Queues a request for a service if capacity is expected by `wait_deadline`.
    ///
    /// `targets` are those whose runs make room for it.
    ///
    /// # Errors
    /// Returns the expected time until capacity is available if that is later.
    pub fn enqueue(
        &self,
        service: key::Service,
        arrival: Arrival,
        wait_deadline: Instant,
        targets: &[Target],
        now: Instant,
    ) -> Result<QueueEntry, Duration> {
        let mut state = self.lock();
        let demand = state.demand(service, arrival, targets, now);
        let position = state
            .queues
            .enqueue(service, arrival, wait_deadline, demand)?;
        drop(state);
        self.notifier.notify();
        Ok(QueueEntry {
            state: Arc::clone(&self.state),
            service,
            position,
            notifier: self.notifier.clone(),
        })
    }

    /// Returns how many queued requests of all VMs are ahead of one that arrives.
    pub fn ahead_of_arrival(&self, service: key::Service, arrival: Arrival) -> usize {
        self.lock().queues.ahead_of_arrival(service, arrival)
    }

    /// Returns the retry delay for a request whose wait in the queue expired.
    ///
    /// A client that keeps its place comes back when the queue of now has been served.
    pub fn retry_delay(
        &self,
        service: key::Service,
        arrival: Arrival,
        targets: &[Target],
        now: Instant,
    ) -> Duration {
        let random = rand::rng().random_range(0.0..1.0);
        let state = self.lock();
        let delay = state.queues.retry_delay(service, random);
        if !state.places.is_enabled() {
            return delay;
        }
        let demand = state.demand(service, arrival, targets, now);
        delay.max(state.queues.expected_wait(service, arrival, demand))
    }

    /// Returns whether rejected requests keep their places.
    pub fn keeps_places(&self) -> bool {
        self.lock().places.is_enabled()
    }

    /// Returns the number of rejected requests whose clients are expected back.
    pub fn kept_places(&self, now: Instant) -> usize {
        self.lock().places.count(now)
    }

    /// Keeps the place of a request that this VM rejects, and notifies the peers.
    pub fn keep_place(&self, place: Place, now: Instant) {
        self.lock().places.keep(place, now);
        self.notifier.notify();
    }

    /// Uses the place of a request; `None` if it was not rejected lately.
    pub fn take_place(
        &self,
        fingerprint: key::Fingerprint,
        deadline: Instant,
        now: Instant,
    ) -> Option<Return> {
        self.lock().places.take(fingerprint, deadline, now)
    }

    /// Adds the places that another VM keeps.
    pub fn receive_places(&self, places: &[KeptPlace], now: Instant) {
        if places.is_empty() {
            return;
        }
        let mut state = self.lock();
        let places = places.iter().take(report::MAX_PLACES);
        for place in places.filter_map(|place| place.to_place(now)) {
            state.places.receive(place, now);
        }
    }

    /// Returns the newest places of requests that this VM rejected.
    pub fn reported_places(&self, now: Instant) -> Vec<KeptPlace> {
        KeptPlace::newest(&self.lock().places, now)
    }

    /// Returns the requests queued at this VM.
    pub fn queued_requests(&self) -> Vec<Waiter> {
        self.lock().queues.local_waiters().collect()
    }

    /// Returns the number of queued requests of each service that has any.
    pub fn queued_counts(&self, now: Instant) -> Vec<Count> {
        self.lock().queues.counts(now).collect()
    }

    /// Records the duration of a completed run at a target, as it would be at the median one.
    pub fn record_run(&self, service: key::Service, target: key::Target, time: Duration) {
        let mut state = self.lock();
        let factor = state.paces.usual_factor(target);
        state.queues.record_run_time(service, time.div_f64(factor));
    }

    /// Records what a response reports of its target's load.
    ///
    /// Returns whether it is the first one of the service that reports the pace of the host.
    pub fn record_occupancy(&self, target: &Target, occupancy: Occupancy, now: Instant) -> bool {
        self.lock().paces.record_occupancy(target, occupancy, now)
    }

    /// Returns the paces of targets that this VM has measured.
    pub fn local_paces(&self, now: Instant) -> HashMap<key::Target, Pace> {
        self.lock().paces.local(now)
    }

    /// Returns the paces that the VMs of the data centre have measured, given those of the peers.
    pub fn summarize_paces(&self, readings: &Readings, now: Instant) -> HashMap<key::Target, Pace> {
        self.lock().paces.summarize(readings, now)
    }

    /// Returns the spread of the factors of each service whose pace is measured.
    pub fn pace_spreads(&self) -> Vec<Spread> {
        self.lock().paces.spreads().collect()
    }

    /// Returns the factors of targets, in their order.
    pub fn factors(&self, targets: &[Target], now: Instant) -> Vec<Factors> {
        let state = self.lock();
        let factors = targets
            .iter()
            .map(|target| state.paces.factors(target.key, now));
        factors.collect()
    }

    /// Returns the number of live VMs, including this one.
    pub fn live_vms(&self) -> usize {
        self.live_vms.load(Ordering::Relaxed)
    }

    /// Returns the load that this VM has placed on the targets.
    pub fn local_load(&self) -> HashMap<key::Target, Load> {
        self.lock().placement.local_load()
    }

    /// Estimates the output length of a generation.
    pub fn estimate_tokens(&self, route: &str, generation: &Generation) -> u32 {
        self.lock().lengths.estimate(route, generation)
    }

    /// Records the output length of a completed run.
    pub fn record_tokens(&self, route: &str, tokens: u32) {
        self.lock().lengths.record(route, tokens);
    }

    /// Records how long a request took that was served.
    pub fn record_duration(&self, route: &str, duration: Duration) {
        self.lock().durations.record(route, duration);
    }

    /// Records after which time a request failed.
    pub fn record_failed_duration(&self, route: &str, duration: Duration) {
        self.lock().durations.record_failure(route, duration);
    }

    /// Returns how long a route's requests have taken lately at most; `None` if none has ended.
    pub fn longest_duration(&self, route: &str) -> Option<Duration> {
        self.lock().durations.longest(route)
    }

    /// Counts a client request towards the retry budget of its service.
    pub fn record_request(&self, service: key::Service, now: Instant) {
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .record_request(now, &self.budget_policy);
    }

    /// Takes a retry from a service's budget; returns whether one was left.
    pub fn take_retry(&self, service: key::Service, now: Instant) -> bool {
        let vms = self.live_vms.load(Ordering::Relaxed);
        let budgets = &mut self.lock().budgets;
        budgets
            .entry(service)
            .or_default()
            .try_spend(now, &self.budget_policy, vms)
    }

    /// Sends the state of the targets to peers soon.
    pub fn notify_peers(&self) {
        self.notifier.notify();
    }

    /// Waits until there is a change that peers should be notified of.
    pub async fn wait_for_change(&self) {
        // `self` owns a sender, so the channel is never closed.
        let _ = self.wakeups.recv().await;
    }

    fn new_reservation(
        &self,
        (run, target): (RunId, key::Target),
        (basis, chosen): (Basis, Option<Instant>),
        now: Instant,
        notifies_peers: bool,
    ) -> Reservation {
        let reservation = Reservation {
            state: Arc::clone(&self.state),
            run,
            target,
            basis,
            chosen,
            reserved: now,
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

/// A queued request; dropping it removes the request from the queue.
#[derive(Debug)]
pub struct QueueEntry {
    state: Arc<Mutex<State>>,
    service: key::Service,
    position: Position,
    notifier: Notifier,
}

impl QueueEntry {
    /// Returns how many queued requests of all VMs are ahead; `None` if too many of this VM are.
    pub fn ahead(&self, now: Instant) -> Option<usize> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let ahead_locally = state.queues.ahead_locally(self.service, self.position);
        (ahead_locally <= MAX_AHEAD_LOCALLY)
            .then(|| state.queues.ahead(self.service, self.position, now))
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.queues.remove(self.service, self.position);
        drop(state);
        self.notifier.notify();
    }
}

impl Reservation {
    /// Returns the data on which the placement was based.
    pub fn basis(&self) -> &Basis {
        &self.basis
    }

    /// Records that the run's prefill is complete.
    pub fn finish_prefill(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.finish_prefill(self.run);
        drop(state);
        self.notify();
    }

    /// Records that the target has served the request: its first event or its whole response.
    pub fn record_served(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = self.reserved;
        state.probation.record_served(self.target, sent, now);
    }

    /// Measures the target's pace by the time to the first event of a request.
    pub fn record_first_event(&self, prompt_tokens: u32, now: Instant) {
        let Some(chosen) = self.chosen else {
            return;
        };
        let load = self.basis.load;
        let mut prefill = placement::prefill_time(load.pending_prefill + prompt_tokens);
        if load.runs == 0 {
            // An engine that decodes nothing meanwhile takes half the time.
            prefill /= 2;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .paces
            .record_first_event(self.target, prefill, chosen, now);
    }

    /// Measures the target's pace by a delivery of tokens of its stream.
    ///
    /// `is_prompt` states whether the delivery was waited for and is a single event.
    pub fn record_delivery(&self, window: &mut Window, tokens: u32, is_prompt: bool, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.paces.is_measured(self.target) {
            return;
        }
        let step_ms = pace::step_ms(state.placement.load_on(self.target));
        if let Some(ratio) = window.record(tokens, step_ms, is_prompt, now) {
            state.paces.record_sample(self.target, ratio, now);
        }
    }

    /// Updates the number of tokens generated so far.
    pub fn set_tokens(&self, prompt: u32, tokens: u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.update_tokens(self.run, prompt, tokens);
    }

    /// Wakes the report sender if peers need the changed load immediately.
    fn notify(&self) {
        if self.notifies_peers {
            self.notifier.notify();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.placement.end_run(self.run);
        drop(state);
        self.notify();
    }
}
