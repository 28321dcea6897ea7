//! Chooses the target of a request from the load and the failures that this VM and its peers know.
//!
//! Many VMs place generations on few engines at the same time. Each VM knows its own load at once
//! but that of its peers only after a datagram, so random jitter on the costs keeps VMs from
//! choosing the same one of several nearly equal targets.

use {
    crate::{Load, Paces, cold::Access, configuration::Engine, listing::Target},
    base::{Instant, key, rendezvous},
    derive_more::Debug,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Prompt tokens that an engine prefills per millisecond while it decodes other requests: half the
/// rate of an otherwise idle engine.
const PREFILL_TOKENS_PER_MS: f64 = 7.0;
/// Share of an engine's memory that may be planned; the rest absorbs errors of length estimates.
const MAX_MEMORY_SHARE: f64 = 0.97;
/// Number of runs whose growth is reserved in addition to the memory in use: about what all runs
/// need until the first of them ends and frees its memory.
const GROWING_RUNS: f64 = 3.0;
/// Share of an engine's memory up to which copies are placed in advance; the rest is for runs.
const MAX_COPY_MEMORY_SHARE: f64 = 0.4;
/// Mean planned share of all engines' memory up to which copies are placed in advance; beyond it a
/// copy takes memory for lack of which a request would be refused.
const MAX_COPY_FLEET_SHARE: f64 = 0.6;
/// Cost of each other run on the engine: the time that it adds to the decode steps of one run.
const RUN_COST_MS: f64 = 12.0;
/// Cost of full memory: a preempted request repeats its prefill.
const FULL_MEMORY_COST_MS: f64 = 250.0;
/// Cost of a remote data centre for a run: a network partition between the two would lose the run.
const REMOTE_COST_MS: f64 = 30.0;
/// Additional cost for each token that the run is expected to produce there: the longer it runs, the
/// more likely a partition falls into it.
const REMOTE_TOKEN_COST_MS: f64 = 0.6;
/// Additional cost of a remote data centre whose load is known with delay: other VMs may have
/// chosen the same engine meanwhile.
const STALE_LOAD_COST_MS: f64 = 100.0;
/// Cost of the wrong data centre for a copy. Of a run and its copy, one belongs in the VM's data
/// centre, so that a partition can't lose both; having both there would use its memory twice.
const COPY_DATA_CENTRE_COST_MS: f64 = 150.0;
/// The same for the copy of a run whose engine is leaving: a remote transfer takes twice as long on
/// the link that all its runs share.
const EVACUATION_DATA_CENTRE_COST_MS: f64 = 400.0;
/// Cost of memory that is full of other copies.
const COPY_CONCENTRATION_COST_MS: f64 = 200.0;
/// Cost of a data centre to which the last connection attempt failed.
const UNREACHABLE_COST_MS: f64 = 600.0;
/// Time after a failed connection attempt for which the data centre counts as unreachable.
const UNREACHABLE_DURATION: Duration = Duration::from_millis(2_500);
/// Weight of a new sample in the moving average of a plain service target's latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.3;
/// Time in which a latency average decays halfway to the prior.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(4);
/// Latency assumed for a target without samples.
const LATENCY_PRIOR_MS: f64 = 20.0;
/// Upper bound of the random jitter that is added to the cost of each candidate.
const MAX_JITTER_MS: f64 = 40.0;
/// The same for the copy of a run whose engine is leaving: the VMs of all its runs choose at the same
/// moment, from the same load.
const MAX_EVACUATION_JITTER_MS: f64 = 400.0;
/// Cost of a plain service target with all slots in use, as a multiple of its mean latency.
const FULL_SLOTS_COST_FACTOR: f64 = 3.0;
/// Cost of a remote data centre for a plain request.
const PLAIN_REMOTE_COST_MS: f64 = 8.0;
/// Cost of a target for each peer that reports it as failing.
const REPORTED_FAILURE_COST_MS: f64 = 400.0;
/// Multiple of the expected time to the first event after which a run counts as overdue.
const OVERDUE_FACTOR: u32 = 2;
/// Time after that, for decode steps up to the first event and for network latency.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);
/// Time for which a target is avoided after its first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Upper bound of the time for which a target is avoided after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Time without reports of a failing target after which further ones are of another failure.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without reports after which earlier failures no longer lengthen the back-off.
const EPISODE_LIFETIME: Duration = Duration::from_secs(6);
/// Time for which a target is avoided after it rejected a request for lack of capacity: about the
/// delay with which peers report the load that filled it.
const REJECTION_BACKOFF: Duration = Duration::from_millis(150);

/// One execution of a request on a target.
#[derive(Clone, Copy, Debug)]
struct Run {
    target: key::Target,
    load: Load,
    /// Time by which its first event is expected, even if the target is slow; `None` if it has come
    /// or the run is none of an engine.
    due: Option<Instant>,
}

impl Run {
    fn is_overdue(&self, now: Instant) -> bool {
        self.due.is_some_and(|due| now >= due)
    }
}

/// Identifies a run of this VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunId(u64);

/// Recent failures of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    consecutive_failures: u32,
    /// Whether the last failure was the target's own rather than one of the connection.
    is_failing: bool,
    avoided_until: Instant,
}

/// Reports of peers that a target fails their requests.
#[derive(Clone, Copy, Debug, Default)]
struct FailureReports {
    /// Number of peers that report it now.
    peers: u32,
    /// How often it began to be reported, one time soon after the other.
    episodes: u32,
    /// When it was last reported.
    last: Instant,
}

/// Requirements of one request, or of the copy of a run, on its target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Load that the request adds; one without runs is a copy.
    pub load: Load,
    /// Properties of the service's engines; `None` for plain services.
    pub engine: Option<Engine>,
    /// Maximum number of prompt tokens that may await prefill at the engine before this request.
    pub max_pending_prefill: u32,
    /// Targets that must not be chosen.
    pub excluded: &'a [key::Target],
    /// Release that the target must run, as that of a stream that goes on; `None` if any will do.
    pub release: Option<&'a str>,
    /// Data centre of this VM.
    pub data_centre: &'a str,
    /// Whether the load in other data centres is known with delay or not at all.
    pub is_remote_stale: bool,
    /// Queued requests that go first; capacity for them is set aside.
    pub queued_ahead: usize,
    /// Whether a copy's run is on an engine that is leaving; the copy may then use all memory.
    pub is_urgent: bool,
    /// For an urgent copy: data centre of the run; moving it to another one takes twice as long.
    pub run_data_centre: Option<&'a str>,
    /// How it may use cold targets; `None` if the service's targets take all requests at once.
    pub cold_access: Option<Access>,
    /// For other copies: whether the run is in this VM's data centre.
    pub is_run_local: bool,
    /// How long work takes at the targets; `None` if all are assumed to be equally fast.
    pub paces: Option<&'a Paces>,
}

impl Default for Query<'_> {
    fn default() -> Self {
        Self {
            load: Load::default(),
            engine: None,
            max_pending_prefill: u32::MAX,
            excluded: &[],
            release: None,
            data_centre: "",
            is_remote_stale: false,
            queued_ahead: 0,
            is_urgent: false,
            run_data_centre: None,
            cold_access: None,
            is_run_local: false,
            paces: None,
        }
    }
}

/// Data on which a choice was based, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Basis {
    /// Cost of the chosen target in milliseconds.
    pub cost: f64,
    /// Known load of the target without the request.
    pub load: Load,
    /// Number of targets that were considered.
    pub candidates: usize,
    /// Time that work takes at the target relative to the median one.
    pub factor: f64,
}

/// A chosen target.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The target.
    pub target: &'a Target,
    /// Data on which the choice was based.
    pub basis: Basis,
}

/// A target that is considered for a request.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    target: &'a Target,
    load: Load,
    /// Cost that does not depend on its load, in milliseconds.
    fixed_cost: f64,
    /// Mean latency; used for plain services only.
    latency_ms: f64,
    /// Time that work takes there relative to the median target.
    factor: f64,
    /// Total cost as last computed, in milliseconds.
    cost: f64,
}

/// Moving average of the latency of a plain service's target.
#[derive(Clone, Copy, Debug)]
struct Latency {
    mean_ms: f64,
    updated: Instant,
}

/// Returns the number of prompt tokens that an engine prefills in a time.
pub fn prefill_tokens(time: Duration) -> u32 {
    (time.as_secs_f64() * 1e3 * PREFILL_TOKENS_PER_MS) as u32
}

/// Returns the time that an engine takes to prefill a prompt.
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1e3)
}

/// Returns the time after which a run is overdue at an engine that has `pending_prefill` prompt
/// tokens to process, including the run's own.
pub fn overdue_delay(pending_prefill: u32) -> Duration {
    prefill_time(pending_prefill) * OVERDUE_FACTOR + OVERDUE_MARGIN
}

/// Chooses targets by the load and the failures that are known of them.
#[derive(Debug)]
pub struct Placement {
    runs: HashMap<RunId, Run>,
    next_id: u64,
    /// Load of the other VMs on each target.
    peer_loads: HashMap<key::Target, Load>,
    health: HashMap<key::Target, Health>,
    latencies: HashMap<key::Target, Latency>,
    /// Data centres whose load is known with little delay.
    summarized: HashSet<key::DataCentre>,
    /// What peers report of failing targets.
    failure_reports: HashMap<key::Target, FailureReports>,
    /// Time of the last failed connection attempt to a data centre, until a request succeeds.
    unreachable: HashMap<Box<str>, Instant>,
    #[debug(skip)]
    random: SmallRng,
}

impl Placement {
    /// Starts without load; `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            runs: HashMap::new(),
            next_id: 0,
            peer_loads: HashMap::new(),
            health: HashMap::new(),
            latencies: HashMap::new(),
            summarized: HashSet::new(),
            failure_reports: HashMap::new(),
            unreachable: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chooses the target of least cost with capacity for the request; `None` if there is none.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        targets: &'a [Target],
        query: &Query<'_>,
    ) -> Option<Choice<'a>> {
        let usable: Vec<_> = targets
            .iter()
            .filter(|target| target.is_usable() && !query.excluded.contains(&target.key))
            .filter(|target| {
                query
                    .release
                    .is_none_or(|release| target.runs_release(release))
            })
            .collect();
        let local = self.local_load();
        let is_advance_copy = query.engine.is_some() && query.load.runs == 0 && !query.is_urgent;
        if is_advance_copy && self.planned_share(&usable, &local, query) > MAX_COPY_FLEET_SHARE {
            return None;
        }
        let mut candidates = self.candidates(now, &usable, &local, query);
        for _ in 0..query.queued_ahead {
            let first = cheapest(&mut candidates, query, || 0.0)?;
            first.load += query.load;
        }
        let random = &mut self.random;
        let count = candidates.len();
        let max_jitter = if query.is_urgent {
            MAX_EVACUATION_JITTER_MS
        } else {
            MAX_JITTER_MS
        };
        let best = cheapest(&mut candidates, query, || {
            random.random_range(0.0..max_jitter)
        })?;
        Some(Choice {
            target: best.target,
            basis: Basis {
                cost: best.cost,
                load: best.load,
                candidates: count,
                factor: best.factor,
            },
        })
    }

    /// Returns the targets that are considered for a request, with their load and fixed costs.
    fn candidates<'a>(
        &self,
        now: Instant,
        usable: &[&'a Target],
        local: &HashMap<key::Target, Load>,
        query: &Query<'_>,
    ) -> Vec<Candidate<'a>> {
        let all_avoided = usable.iter().all(|target| self.is_avoided(target.key, now));
        let is_local = |target: &Target| *target.data_centre == *query.data_centre;
        let is_stale = |target: &Target| query.is_remote_stale && !is_local(target);
        // An engine that seems idle by stale reports seems so to all VMs, and all would choose it.
        let is_fresh = |target: &Target| {
            !is_stale(target)
                || self
                    .summarized
                    .contains(&key::DataCentre::of(&target.data_centre))
        };
        let data_centres: HashSet<_> = usable
            .iter()
            .map(|target| key::DataCentre::of(&target.data_centre))
            .collect();
        let local_data_centre = key::DataCentre::of(query.data_centre);
        let must_be_fresh = query.load.runs > 0
            && usable
                .iter()
                .any(|target| is_fresh(target) && !self.is_unreachable(&target.data_centre, now));
        let usable = usable.iter().copied().filter(|target| {
            let is_avoided = !all_avoided && self.is_avoided(target.key, now);
            let is_accepted = query.load.runs == 0
                || !is_stale(target)
                || accepts_remote(target, local_data_centre, &data_centres);
            !is_avoided && (!must_be_fresh || is_fresh(target) && is_accepted)
        });
        let candidates = usable.filter_map(|target| {
            let load = self.total_load(target.key, local);
            let factor = factor(target.key, query, now);
            let mut fixed_cost = 0.0;
            if self.is_unreachable(&target.data_centre, now) {
                fixed_cost += UNREACHABLE_COST_MS;
            }
            let reports = self.failure_reports.get(&target.key);
            let failure_reports = reports.map_or(0, |reports| reports.peers);
            let own_report = u32::from(self.has_overdue_run(target.key, now));
            fixed_cost += REPORTED_FAILURE_COST_MS * f64::from(failure_reports + own_report);
            if is_stale(target) && query.load.runs > 0 {
                fixed_cost += STALE_LOAD_COST_MS;
                // Require capacity for one more request, as a peer may have placed one meanwhile.
                let mut busier = load;
                busier += query.load;
                cost(target, busier, query, 0.0, factor)?;
            }
            Some(Candidate {
                target,
                load,
                fixed_cost,
                latency_ms: self.latency(target.key, now),
                factor,
                cost: 0.0,
            })
        });
        candidates.collect()
    }

    /// Returns the load of all VMs on a target, given that of this VM.
    fn total_load(&self, target: key::Target, local: &HashMap<key::Target, Load>) -> Load {
        let mut load = local.get(&target).copied().unwrap_or_default();
        load += self.peer_loads.get(&target).copied().unwrap_or_default();
        load
    }

    /// Returns the planned share of the engines' memory.
    ///
    /// Counts only the engines of this VM's data centre if the load of remote ones is stale.
    fn planned_share(
        &self,
        targets: &[&Target],
        local: &HashMap<key::Target, Load>,
        query: &Query<'_>,
    ) -> f64 {
        let is_fresh =
            |target: &&&Target| !query.is_remote_stale || *target.data_centre == *query.data_centre;
        let (mut planned, mut capacity) = (0.0, 0.0);
        for target in targets.iter().filter(is_fresh) {
            planned += planned_memory(self.total_load(target.key, local));
            capacity += f64::from(query.engine.map_or(0, |engine| engine.kv_capacity));
        }
        planned / capacity.max(1.0)
    }

    /// Adds the load of a request to a target until [`Placement::end_run`].
    pub fn start_run(&mut self, target: key::Target, load: Load) -> RunId {
        let id = RunId(self.next_id);
        self.next_id += 1;
        let due = None;
        self.runs.insert(id, Run { target, load, due });
        id
    }

    /// Sets the time by which the first event of a run is expected.
    ///
    /// An engine that accepts requests and never answers looks idle to all other VMs. Until such a
    /// run has an event, its engine counts as failing here and at the VMs that are told so.
    pub fn set_due(&mut self, id: RunId, due: Instant) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.due = Some(due);
        }
    }

    /// Records that a run's prefill is complete.
    pub fn finish_prefill(&mut self, id: RunId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.load.pending_prefill = 0;
            run.due = None;
        }
    }

    /// Records how many output tokens a run has produced.
    ///
    /// A run that outgrows its estimate is expected to produce a quarter more tokens than so far.
    pub fn update_tokens(&mut self, id: RunId, prompt: u32, tokens: u32) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.load.used_memory = prompt + tokens;
            run.load.peak_memory = run.load.peak_memory.max(prompt + tokens + tokens / 4);
        }
    }

    /// Removes the load of a run that has ended.
    pub fn end_run(&mut self, id: RunId) {
        self.runs.remove(&id);
    }

    /// Replaces the load of the other VMs on each target.
    pub fn set_peer_load(&mut self, peer_loads: HashMap<key::Target, Load>) {
        self.peer_loads = peer_loads;
    }

    /// Replaces the set of data centres whose load is known with little delay.
    pub fn set_summarized(&mut self, summarized: HashSet<key::DataCentre>) {
        self.summarized = summarized;
    }

    /// Replaces the number of peers that report each target as failing.
    pub fn set_failure_reports(&mut self, counts: &HashMap<key::Target, u32>, now: Instant) {
        for (target, reports) in &mut self.failure_reports {
            reports.peers = counts.get(target).copied().unwrap_or_default();
        }
        for (target, peers) in counts {
            let reports = self.failure_reports.entry(*target).or_default();
            let is_new = reports.episodes == 0 || now.since(reports.last) > REPORT_INTERVAL;
            reports.episodes += u32::from(is_new);
            reports.peers = *peers;
            reports.last = now;
        }
        self.failure_reports
            .retain(|_, reports| now.since(reports.last) < EPISODE_LIFETIME);
    }

    /// Returns the targets that this VM currently avoids because they failed requests, and those where
    /// a run is overdue.
    pub fn failing(&self, now: Instant) -> Vec<key::Target> {
        let failing = self.health.iter();
        let failing = failing.filter(|(_, health)| health.is_failing && now < health.avoided_until);
        let overdue = self.runs.values().filter(|run| run.is_overdue(now));
        let mut targets: Vec<_> = failing
            .map(|(target, _)| *target)
            .chain(overdue.map(|run| run.target))
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns whether a run of this VM is overdue at a target.
    fn has_overdue_run(&self, target: key::Target, now: Instant) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.target == target && run.is_overdue(now))
    }

    /// Returns the number of runs of this VM and its peers on the given targets.
    pub fn run_count<'a>(&self, targets: impl IntoIterator<Item = &'a Target>) -> u32 {
        let local = self.local_load();
        let runs = |loads: &HashMap<key::Target, Load>, target: &Target| {
            loads.get(&target.key).map_or(0, |load| load.runs)
        };
        let targets = targets.into_iter();
        targets
            .map(|target| runs(&local, target) + runs(&self.peer_loads, target))
            .sum()
    }

    /// Returns the number of runs on the given targets, each counted by the speed of its target.
    ///
    /// As many runs end in a given time as at that number of runs on targets of normal speed.
    pub fn paced_run_count<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a Target>,
        paces: &Paces,
        now: Instant,
    ) -> u32 {
        let counts = targets.into_iter().map(|target| {
            let runs = self.load_on(target.key).runs;
            f64::from(runs) / paces.factor(target.key, now)
        });
        counts.sum::<f64>().round() as u32
    }

    /// Returns the load of this VM and its peers on a target.
    pub fn load_on(&self, target: key::Target) -> Load {
        let mut load = self.peer_loads.get(&target).copied().unwrap_or_default();
        for run in self.runs.values().filter(|run| run.target == target) {
            load += run.load;
        }
        load
    }

    /// Returns the load of this VM on each target.
    pub fn local_load(&self) -> HashMap<key::Target, Load> {
        let mut local: HashMap<key::Target, Load> = HashMap::new();
        for run in self.runs.values() {
            *local.entry(run.target).or_default() += run.load;
        }
        local
    }

    /// Records a successful response of a target, which clears its failures.
    pub fn record_success(&mut self, target: &Target) {
        self.health.remove(&target.key);
        self.unreachable.remove(&target.data_centre);
    }

    /// Records that no connection to a target could be established.
    pub fn record_unreachable(&mut self, target: &Target, now: Instant) {
        self.record_silence(target.key, now);
        self.unreachable.insert(target.data_centre.clone(), now);
    }

    /// Records that a target is silent and takes no connection, which may soon be over.
    ///
    /// Other VMs don't learn of it.
    pub fn record_silence(&mut self, target: key::Target, now: Instant) {
        self.record_failure(target, now);
        if let Some(health) = self.health.get_mut(&target) {
            health.is_failing = false;
        }
    }

    /// Adds a sample to the average latency of a plain service's target.
    pub fn record_latency(&mut self, target: key::Target, time: Duration, now: Instant) {
        let before = self.latency(target, now);
        let mean_ms = before + LATENCY_SAMPLE_WEIGHT * (time.as_secs_f64() * 1e3 - before);
        self.latencies.insert(
            target,
            Latency {
                mean_ms,
                updated: now,
            },
        );
    }

    /// Returns the mean latency of a target in milliseconds, which decays to the prior with age.
    fn latency(&self, target: key::Target, now: Instant) -> f64 {
        let Some(latency) = self.latencies.get(&target) else {
            return LATENCY_PRIOR_MS;
        };
        let half_lives = now.since(latency.updated).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        LATENCY_PRIOR_MS + (latency.mean_ms - LATENCY_PRIOR_MS) * (-half_lives).exp2()
    }

    fn is_unreachable(&self, data_centre: &str, now: Instant) -> bool {
        let failed = self.unreachable.get(data_centre);
        failed.is_some_and(|failed| now.since(*failed) < UNREACHABLE_DURATION)
    }

    /// Records that a request failed at a target, and avoids the target with exponential backoff.
    ///
    /// Peers that report the target as failing count as earlier failures: a target that fails at once
    /// looks idle, and each VM of a large fleet would lose several requests to learn the same.
    pub fn record_failure(&mut self, target: key::Target, now: Instant) {
        let reports = self.failure_reports.get(&target);
        let reported = reports.map_or(0, |reports| reports.episodes);
        let health = self.health.entry(target).or_default();
        let failures = health.consecutive_failures.max(reported);
        let backoff = INITIAL_BACKOFF * 2_u32.pow(failures.min(4));
        health.consecutive_failures += 1;
        health.is_failing = true;
        health.avoided_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records that a target rejected a request for lack of capacity.
    pub fn record_rejection(&mut self, target: key::Target, now: Instant) {
        let health = self.health.entry(target).or_default();
        health.avoided_until = health.avoided_until.max(now + REJECTION_BACKOFF);
    }

    /// Forgets all failures, as they were this VM's own; what targets refused was not.
    pub fn forget_failures(&mut self) {
        self.health
            .retain(|_, health| health.consecutive_failures == 0);
        self.unreachable.clear();
    }

    fn is_avoided(&self, target: key::Target, now: Instant) -> bool {
        let health = self.health.get(&target);
        health.is_some_and(|health| now < health.avoided_until)
    }
}

/// Returns whether an engine accepts requests of a given remote data centre.
///
/// It accepts those of only one, chosen by rendezvous hashing: VMs of two data centres that chose
/// the same engine would learn of each other's choice too late.
fn accepts_remote(
    target: &Target,
    requester: key::DataCentre,
    data_centres: &HashSet<key::DataCentre>,
) -> bool {
    let target_data_centre = key::DataCentre::of(&target.data_centre);
    let candidates = data_centres.iter().chain([&requester]);
    let candidates = candidates
        .filter(|data_centre| **data_centre != target_data_centre)
        .map(|data_centre| data_centre.raw());
    rendezvous::choose(target.key.raw(), candidates) == Some(requester.raw())
}

/// Returns the candidate of least cost that has capacity; `jitter` is added to each cost.
fn cheapest<'a, 'b>(
    candidates: &'b mut [Candidate<'a>],
    query: &Query<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Option<&'b mut Candidate<'a>> {
    let with_capacity = candidates.iter_mut().filter_map(|candidate| {
        let cost = cost(
            candidate.target,
            candidate.load,
            query,
            candidate.latency_ms,
            candidate.factor,
        )?;
        candidate.cost = cost + candidate.fixed_cost + jitter();
        Some(candidate)
    });
    with_capacity.min_by(|one, other| one.cost.total_cmp(&other.cost))
}

/// Returns the peak memory that an engine's load is expected to need, in tokens.
///
/// Each run grows until it ends, but the runs end at different times, and each one that ends frees
/// its memory for the others. So only the growth of [`GROWING_RUNS`] of them is counted in full.
fn planned_memory(load: Load) -> f64 {
    let growth = f64::from(load.peak_memory.saturating_sub(load.used_memory));
    let share = (GROWING_RUNS / f64::from(load.runs.max(1))).min(1.0);
    f64::from(load.used_memory) + share * growth + f64::from(load.copy_memory)
}

/// Returns the time that work takes at a target relative to the median one.
///
/// The mean latency of a plain service's target already contains the long-term factor.
fn factor(target: key::Target, query: &Query<'_>, now: Instant) -> f64 {
    let Some(paces) = query.paces else {
        return 1.0;
    };
    if query.engine.is_some() {
        paces.factor(target, now)
    } else {
        paces.momentary_factor(target, now)
    }
}

/// Returns the cost of a request on a target in milliseconds; `None` if it lacks capacity.
///
/// `factor` is the time that work takes at the target relative to the median one.
fn cost(
    target: &Target,
    load: Load,
    query: &Query<'_>,
    latency_ms: f64,
    factor: f64,
) -> Option<f64> {
    let is_local = *target.data_centre == *query.data_centre;
    let remote_cost = |cost| if is_local { 0.0 } else { cost };
    let Some(engine) = query.engine else {
        let slots = f64::from(target.slots.max(1));
        let used_share = f64::from(load.runs) / slots;
        return Some(
            remote_cost(PLAIN_REMOTE_COST_MS)
                + factor * latency_ms * (1.0 + FULL_SLOTS_COST_FACTOR * used_share),
        );
    };
    let is_copy = query.load.runs == 0;
    if !is_copy && load.runs >= engine.slots {
        return None;
    }
    let mut with_request = load;
    with_request += query.load;
    let used_share = planned_memory(with_request) / f64::from(engine.kv_capacity.max(1));
    let limit = if is_copy && !query.is_urgent {
        MAX_COPY_MEMORY_SHARE
    } else {
        MAX_MEMORY_SHARE
    };
    if used_share > limit {
        return None;
    }
    let memory = FULL_MEMORY_COST_MS * used_share * used_share;
    if is_copy {
        let (is_wrong_data_centre, wrong_cost) = match query.run_data_centre {
            Some(data_centre) => (
                *target.data_centre != *data_centre,
                EVACUATION_DATA_CENTRE_COST_MS,
            ),
            None => (is_local == query.is_run_local, COPY_DATA_CENTRE_COST_MS),
        };
        let data_centre_cost = if is_wrong_data_centre {
            wrong_cost
        } else {
            0.0
        };
        // When an engine stops, all its runs continue on the engines with their copies at once, so
        // copies are spread over engines.
        let copy_share = f64::from(load.copy_memory) / f64::from(engine.kv_capacity.max(1));
        return Some(data_centre_cost + memory + COPY_CONCENTRATION_COST_MS * copy_share);
    }
    // The request's own prefill at normal speed is the same at all targets, so only the difference
    // counts, here and in `max_pending_prefill`.
    let own_excess = f64::from(query.load.pending_prefill) * (factor - 1.0);
    let prefill_tokens = f64::from(load.pending_prefill) * factor + own_excess;
    // An engine without pending prompts takes any request: none would be faster there by waiting.
    if load.pending_prefill > 0 && prefill_tokens > f64::from(query.max_pending_prefill) {
        return None;
    }
    let prefill = prefill_tokens / PREFILL_TOKENS_PER_MS;
    let output = query
        .load
        .peak_memory
        .saturating_sub(query.load.used_memory);
    let remote = remote_cost(REMOTE_COST_MS + REMOTE_TOKEN_COST_MS * f64::from(output));
    Some(remote + prefill + RUN_COST_MS * factor * f64::from(load.runs) + memory)
}
