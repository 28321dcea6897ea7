//! Chooses the target of a request from the load and the failures that this VM and its peers know.
//!
//! Many VMs place generations on few engines at the same time. Each VM knows its own load at once
//! but that of its peers only after a datagram, so random jitter on the costs keeps VMs from
//! choosing the same one of several nearly equal targets.

use {
    crate::{Load, Paces, cold::Access, configuration::Engine, listing::Target, probation},
    base::{Instant, key, rendezvous},
    derive_more::Debug,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        hash::BuildHasher,
        mem,
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
/// Cost of memory that is full of other copies, for copies in advance.
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

/// Load of this VM's runs on one target.
///
/// Sums are wider than those of [`Load`], which saturate, so that runs can be subtracted again.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    /// Number of runs, copies included.
    count: usize,
    runs: u64,
    peak_memory: u64,
    used_memory: u64,
    pending_prefill: u64,
    copy_memory: u64,
}

impl Total {
    fn add(&mut self, load: Load) {
        self.count += 1;
        self.runs += u64::from(load.runs);
        self.peak_memory += u64::from(load.peak_memory);
        self.used_memory += u64::from(load.used_memory);
        self.pending_prefill += u64::from(load.pending_prefill);
        self.copy_memory += u64::from(load.copy_memory);
    }

    fn subtract(&mut self, load: Load) {
        self.count -= 1;
        self.runs -= u64::from(load.runs);
        self.peak_memory -= u64::from(load.peak_memory);
        self.used_memory -= u64::from(load.used_memory);
        self.pending_prefill -= u64::from(load.pending_prefill);
        self.copy_memory -= u64::from(load.copy_memory);
    }

    fn load(&self) -> Load {
        let saturated = |sum| u32::try_from(sum).unwrap_or(u32::MAX);
        Load {
            runs: saturated(self.runs),
            peak_memory: saturated(self.peak_memory),
            used_memory: saturated(self.used_memory),
            pending_prefill: saturated(self.pending_prefill),
            copy_memory: saturated(self.copy_memory),
        }
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
    /// How it may use targets on probation; `None` if as any other target, as a stream that goes on.
    pub probation: Option<probation::Access>,
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
            probation: None,
            is_run_local: false,
            paces: None,
        }
    }
}

impl Query<'_> {
    /// Returns whether the request may use a target, whatever the load and the failures there.
    pub fn permits(&self, target: &Target) -> bool {
        let runs_release = |release| target.runs_release(release);
        target.is_usable()
            && !self.excluded.contains(&target.key)
            && self.release.is_none_or(runs_release)
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

/// A data centre of targets that a request may use.
#[derive(Clone, Copy, Debug)]
struct Site {
    key: key::DataCentre,
    /// Whether its load is known with delay or not at all.
    is_stale: bool,
    /// Whether its load is known well enough to place requests there.
    is_fresh: bool,
    is_unreachable: bool,
    /// Cost of the data centre for the query, in milliseconds.
    cost: f64,
}

/// A target that is considered for a request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// Index of the target in the given list.
    index: usize,
    slots: u32,
    load: Load,
    /// Cost of its data centre, in milliseconds.
    site_cost: f64,
    /// Cost that does not depend on its load, in milliseconds.
    fixed_cost: f64,
    /// Mean latency; used for plain services only.
    latency_ms: f64,
    /// Time that work takes there relative to the median target.
    factor: f64,
}

/// Memory of a decision, which is kept for the next one so that none is allocated.
#[derive(Debug, Default)]
struct Scratch {
    /// Data centres of the usable targets.
    sites: Vec<Site>,
    /// Targets that the query permits: the index of each and that of its site.
    usable: Vec<(usize, usize)>,
    candidates: Vec<Candidate>,
    /// Cost of each candidate without jitter, or [`NO_CAPACITY`].
    costs: Vec<f64>,
}

/// Cost of a target that lacks capacity.
const NO_CAPACITY: f64 = f64::INFINITY;

/// The targets that a query excludes.
///
/// Those that are cold are listed in the order of the targets, so the search begins after the
/// target that was found last.
#[derive(Debug)]
struct Exclusions<'a> {
    keys: &'a [key::Target],
    next: usize,
}

impl Exclusions<'_> {
    #[expect(
        clippy::needless_bitwise_bool,
        reason = "a branch for each key would prevent vectorization"
    )]
    fn contains(&mut self, target: key::Target) -> bool {
        if self.keys.get(self.next) == Some(&target) {
            self.next += 1;
            return true;
        }
        let keys = self.keys.iter();
        let is_excluded = keys.fold(false, |found, key| found | (*key == target));
        if is_excluded && let Some(index) = self.keys.iter().position(|key| *key == target) {
            self.next = index + 1;
        }
        is_excluded
    }
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
    /// Load of this VM's runs on each target that has any.
    local_loads: key::Map<key::Target, Total>,
    /// Load of the other VMs on each target.
    peer_loads: key::Map<key::Target, Load>,
    health: key::Map<key::Target, Health>,
    latencies: key::Map<key::Target, Latency>,
    /// Data centres whose load is known with little delay.
    summarized: HashSet<key::DataCentre>,
    /// What peers report of failing targets.
    failure_reports: key::Map<key::Target, FailureReports>,
    /// Time of the last failed connection attempt to a data centre, until a request succeeds.
    unreachable: HashMap<Box<str>, Instant>,
    #[debug(skip)]
    random: SmallRng,
    #[debug(skip)]
    scratch: Scratch,
}

impl Placement {
    /// Starts without load; `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            runs: HashMap::new(),
            next_id: 0,
            local_loads: key::Map::default(),
            peer_loads: key::Map::default(),
            health: key::Map::default(),
            latencies: key::Map::default(),
            summarized: HashSet::new(),
            failure_reports: key::Map::default(),
            unreachable: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
            scratch: Scratch::default(),
        }
    }

    /// Chooses the target of least cost with capacity for the request; `None` if there is none.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        targets: &'a [Target],
        query: &Query<'_>,
    ) -> Option<Choice<'a>> {
        let mut scratch = mem::take(&mut self.scratch);
        let choice = self.choose_with(&mut scratch, now, targets, query);
        self.scratch = scratch;
        choice
    }

    fn choose_with<'a>(
        &mut self,
        scratch: &mut Scratch,
        now: Instant,
        targets: &'a [Target],
        query: &Query<'_>,
    ) -> Option<Choice<'a>> {
        self.collect_usable(scratch, now, targets, query);
        let is_advance_copy = query.engine.is_some() && query.load.runs == 0 && !query.is_urgent;
        if is_advance_copy && self.planned_share(scratch, targets, query) > MAX_COPY_FLEET_SHARE {
            return None;
        }
        self.collect_candidates(scratch, now, targets, query);
        let Scratch {
            candidates, costs, ..
        } = scratch;
        for _ in 0..query.queued_ahead {
            let (first, _) = cheapest(costs, || 0.0)?;
            candidates[first].load += query.load;
            costs[first] = candidates[first].cost(query);
        }
        let random = &mut self.random;
        let max_jitter = if query.is_urgent {
            MAX_EVACUATION_JITTER_MS
        } else {
            MAX_JITTER_MS
        };
        let (best, cost) = cheapest(costs, || random.random_range(0.0..max_jitter))?;
        let best = candidates[best];
        Some(Choice {
            target: &targets[best.index],
            basis: Basis {
                cost,
                load: best.load,
                candidates: candidates.len(),
                factor: best.factor,
            },
        })
    }

    /// Collects the targets that the query permits, and their data centres.
    fn collect_usable(
        &self,
        scratch: &mut Scratch,
        now: Instant,
        targets: &[Target],
        query: &Query<'_>,
    ) {
        let Scratch { sites, usable, .. } = scratch;
        sites.clear();
        usable.clear();
        let mut exclusions = Exclusions {
            keys: query.excluded,
            next: 0,
        };
        for (index, target) in targets.iter().enumerate() {
            let runs_release = |release| target.runs_release(release);
            if !target.is_usable()
                || exclusions.contains(target.key)
                || !query.release.is_none_or(runs_release)
            {
                continue;
            }
            let key = key::DataCentre::of(&target.data_centre);
            let known = sites.iter().position(|site| site.key == key);
            let site = known.unwrap_or_else(|| {
                sites.push(self.site(key, &target.data_centre, query, now));
                sites.len() - 1
            });
            usable.push((index, site));
        }
    }

    fn site(&self, key: key::DataCentre, name: &str, query: &Query<'_>, now: Instant) -> Site {
        let is_local = *name == *query.data_centre;
        let is_stale = query.is_remote_stale && !is_local;
        Site {
            key,
            is_stale,
            // An engine that seems idle by stale reports seems so to all VMs, and all would choose it.
            is_fresh: !is_stale || self.summarized.contains(&key),
            is_unreachable: self.is_unreachable(name, now),
            cost: data_centre_cost(name, is_local, query),
        }
    }

    /// Collects the targets that are considered for a request, with their load and costs.
    fn collect_candidates(
        &self,
        scratch: &mut Scratch,
        now: Instant,
        targets: &[Target],
        query: &Query<'_>,
    ) {
        let Scratch {
            sites,
            usable,
            candidates,
            costs,
        } = scratch;
        candidates.clear();
        costs.clear();
        let mut keys = usable.iter().map(|(index, _)| targets[*index].key);
        let all_avoided = keys.all(|key| self.is_avoided(key, now));
        let local_data_centre = key::DataCentre::of(query.data_centre);
        let is_request = query.load.runs > 0;
        let mut fresh = sites.iter().filter(|site| site.is_fresh);
        let must_be_fresh = is_request && fresh.any(|site| !site.is_unreachable);
        let has_overdue_run = self.runs.values().any(|run| run.is_overdue(now));
        for &(index, site) in &*usable {
            let target = &targets[index];
            let key = target.key;
            let site = &sites[site];
            if !all_avoided && self.is_avoided(key, now) {
                continue;
            }
            let is_accepted =
                || !site.is_stale || accepts_remote(key, site.key, local_data_centre, sites);
            if must_be_fresh && !(site.is_fresh && is_accepted()) {
                continue;
            }
            let mut fixed_cost = 0.0;
            if site.is_unreachable {
                fixed_cost += UNREACHABLE_COST_MS;
            }
            let reports = self.failure_reports.get(&key);
            let failure_reports = reports.map_or(0, |reports| reports.peers);
            let own_report = u32::from(has_overdue_run && self.has_overdue_run(key, now));
            fixed_cost += REPORTED_FAILURE_COST_MS * f64::from(failure_reports + own_report);
            let is_busy = site.is_stale && is_request;
            if is_busy {
                fixed_cost += STALE_LOAD_COST_MS;
            }
            let is_plain = query.engine.is_none();
            let candidate = Candidate {
                index,
                slots: target.slots,
                load: self.load_on(key),
                site_cost: site.cost,
                fixed_cost,
                latency_ms: if is_plain {
                    self.latency(key, now)
                } else {
                    0.0
                },
                factor: factor(key, query, now),
            };
            // Require capacity for one more request, as a peer may have placed one meanwhile.
            if is_busy && candidate.with(query.load).cost(query) == NO_CAPACITY {
                continue;
            }
            costs.push(candidate.cost(query));
            candidates.push(candidate);
        }
    }

    /// Returns the planned share of the engines' memory.
    ///
    /// Counts only the engines of this VM's data centre if the load of remote ones is stale.
    fn planned_share(&self, scratch: &Scratch, targets: &[Target], query: &Query<'_>) -> f64 {
        let (mut planned, mut capacity) = (0.0, 0.0);
        for (index, site) in &scratch.usable {
            if !scratch.sites[*site].is_stale {
                planned += planned_memory(self.load_on(targets[*index].key));
                capacity += f64::from(query.engine.map_or(0, |engine| engine.kv_capacity));
            }
        }
        planned / capacity.max(1.0)
    }

    /// Adds the load of a request to a target until [`Placement::end_run`].
    pub fn start_run(&mut self, target: key::Target, load: Load) -> RunId {
        let id = RunId(self.next_id);
        self.next_id += 1;
        let due = None;
        self.runs.insert(id, Run { target, load, due });
        self.local_loads.entry(target).or_default().add(load);
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
            run.due = None;
        }
        self.update_load(id, |load| load.pending_prefill = 0);
    }

    /// Records how many output tokens a run has produced.
    ///
    /// A run that outgrows its estimate is expected to produce a quarter more tokens than so far.
    pub fn update_tokens(&mut self, id: RunId, prompt: u32, tokens: u32) {
        self.update_load(id, |load| {
            load.used_memory = prompt + tokens;
            load.peak_memory = load.peak_memory.max(prompt + tokens + tokens / 4);
        });
    }

    /// Changes the load of a run.
    fn update_load(&mut self, id: RunId, update: impl FnOnce(&mut Load)) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let before = run.load;
        update(&mut run.load);
        if let Some(total) = self.local_loads.get_mut(&run.target) {
            total.subtract(before);
            total.add(run.load);
        }
    }

    /// Removes the load of a run that has ended.
    pub fn end_run(&mut self, id: RunId) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        if let Some(total) = self.local_loads.get_mut(&run.target) {
            total.subtract(run.load);
            if total.count == 0 {
                self.local_loads.remove(&run.target);
            }
        }
    }

    /// Replaces the load of the other VMs on each target.
    pub fn set_peer_load(&mut self, peer_loads: HashMap<key::Target, Load>) {
        self.refill_peer_load(|loads| loads.extend(peer_loads));
    }

    /// Replaces the load of the other VMs by what is added to an empty map, whose memory is kept.
    pub fn refill_peer_load(&mut self, fill: impl FnOnce(&mut key::Map<key::Target, Load>)) {
        self.peer_loads.clear();
        fill(&mut self.peer_loads);
    }

    /// Replaces the set of data centres whose load is known with little delay.
    pub fn set_summarized(&mut self, summarized: HashSet<key::DataCentre>) {
        self.summarized = summarized;
    }

    /// Replaces the number of peers that report each target as failing.
    pub fn set_failure_reports<S: BuildHasher>(
        &mut self,
        counts: &HashMap<key::Target, u32, S>,
        now: Instant,
    ) {
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
        let failing = self.health.keys().copied();
        let failing = failing.filter(|target| self.has_failed(*target, now));
        let overdue = self.runs.values().filter(|run| run.is_overdue(now));
        let mut targets: Vec<_> = failing.chain(overdue.map(|run| run.target)).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns whether this VM currently avoids a target because it failed requests.
    pub fn has_failed(&self, target: key::Target, now: Instant) -> bool {
        let health = self.health.get(&target);
        health.is_some_and(|health| health.is_failing && now < health.avoided_until)
    }

    /// Returns whether a run of this VM is overdue at a target.
    fn has_overdue_run(&self, target: key::Target, now: Instant) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.target == target && run.is_overdue(now))
    }

    /// Returns whether a request of this VM is in flight at a target.
    pub fn has_request(&self, target: key::Target) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.target == target && run.load.runs > 0)
    }

    /// Returns the number of runs of this VM and its peers on the given targets.
    pub fn run_count<'a>(&self, targets: impl IntoIterator<Item = &'a Target>) -> u32 {
        let counts = targets.into_iter().map(|target| {
            let local = self
                .local_loads
                .get(&target.key)
                .map_or(0, |total| total.load().runs);
            let remote = self.peer_loads.get(&target.key).map_or(0, |load| load.runs);
            local + remote
        });
        counts.sum()
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
        if let Some(total) = self.local_loads.get(&target) {
            load += total.load();
        }
        load
    }

    /// Returns the load of this VM on each target.
    pub fn local_load(&self) -> HashMap<key::Target, Load> {
        let totals = self.local_loads.iter();
        totals
            .map(|(target, total)| (*target, total.load()))
            .collect()
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
    target: key::Target,
    data_centre: key::DataCentre,
    requester: key::DataCentre,
    sites: &[Site],
) -> bool {
    let rank =
        |other: key::DataCentre| (rendezvous::weight(target.raw(), other.raw()), other.raw());
    let own = rank(requester);
    let mut others = sites.iter().filter(|site| site.key != data_centre);
    others.all(|other| rank(other.key) <= own)
}

/// Returns the index of the least cost with its random `jitter`, and that cost.
fn cheapest(costs: &[f64], mut jitter: impl FnMut() -> f64) -> Option<(usize, f64)> {
    let mut best = None;
    let mut least = NO_CAPACITY;
    for (index, cost) in costs.iter().enumerate() {
        if *cost < NO_CAPACITY {
            let cost = cost + jitter();
            if cost < least {
                least = cost;
                best = Some(index);
            }
        }
    }
    best.map(|index| (index, least))
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

/// Returns the cost of a data centre for a query, in milliseconds.
fn data_centre_cost(name: &str, is_local: bool, query: &Query<'_>) -> f64 {
    let Query { load, .. } = query;
    let (is_wrong, cost) = if query.engine.is_none() {
        (!is_local, PLAIN_REMOTE_COST_MS)
    } else if load.runs > 0 {
        let output = load.peak_memory.saturating_sub(load.used_memory);
        let cost = REMOTE_COST_MS + REMOTE_TOKEN_COST_MS * f64::from(output);
        (!is_local, cost)
    } else if let Some(run_data_centre) = query.run_data_centre {
        (*name != *run_data_centre, EVACUATION_DATA_CENTRE_COST_MS)
    } else {
        (is_local == query.is_run_local, COPY_DATA_CENTRE_COST_MS)
    };
    if is_wrong { cost } else { 0.0 }
}

impl Candidate {
    /// Returns the same target with more load.
    fn with(mut self, load: Load) -> Self {
        self.load += load;
        self
    }

    /// Returns the cost of a request on the target in milliseconds, or [`NO_CAPACITY`].
    fn cost(&self, query: &Query<'_>) -> f64 {
        let Self { load, factor, .. } = *self;
        let Some(engine) = query.engine else {
            let slots = f64::from(self.slots.max(1));
            let used_share = f64::from(load.runs) / slots;
            return self.site_cost
                + factor * self.latency_ms * (1.0 + FULL_SLOTS_COST_FACTOR * used_share)
                + self.fixed_cost;
        };
        let is_copy = query.load.runs == 0;
        if !is_copy && load.runs >= engine.slots {
            return NO_CAPACITY;
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
            return NO_CAPACITY;
        }
        let memory = FULL_MEMORY_COST_MS * used_share * used_share;
        if is_copy {
            // When an engine stops, all its runs continue on the engines with their copies at once,
            // so copies are spread over engines.
            let copy_share = f64::from(load.copy_memory) / f64::from(engine.kv_capacity.max(1));
            let mut concentration = COPY_CONCENTRATION_COST_MS * copy_share;
            if query.is_urgent {
                // The link of the engine carries one copy after the other, and the notice is short.
                let transfer = engine.copy_ms_per_token * f64::from(load.copy_memory);
                concentration = concentration.max(transfer);
            }
            return self.site_cost + memory + concentration + self.fixed_cost;
        }
        // The request's own prefill at normal speed is the same at all targets, so only the
        // difference counts, here and in `max_pending_prefill`.
        let own_excess = f64::from(query.load.pending_prefill) * (factor - 1.0);
        let prefill_tokens = f64::from(load.pending_prefill) * factor + own_excess;
        // An engine without pending prompts takes any request: none would be faster there by
        // waiting.
        if load.pending_prefill > 0 && prefill_tokens > f64::from(query.max_pending_prefill) {
            return NO_CAPACITY;
        }
        let prefill = prefill_tokens / PREFILL_TOKENS_PER_MS;
        let runs = RUN_COST_MS * factor * f64::from(load.runs);
        self.site_cost + prefill + runs + memory + self.fixed_cost
    }
}
