//! Where a request goes: work in progress of this VM and of its peers, and what targets said.
//!
//! Load pattern: many VMs place generations on few engines at the same moment. Each knows its own
//! work at once and its peers' within a datagram, so a draw among nearly equal targets keeps them
//! from choosing the same one.

use {
    crate::{Load, configuration::Engine, listing::Target},
    base::{Instant, key, rendezvous},
    derive_more::Debug,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Prompt tokens that an engine reads in a millisecond between the steps of other answers: half of
/// what engines of this kind read alone.
const PREFILL_RATE: f64 = 7.0;
/// Part of an engine's memory that placements may plan for; lengths are estimates.
const MEMORY_SHARE: f64 = 0.97;
/// Runs whose growth is planned beside what is held: the memory that the others need until one of
/// them ends and frees its own.
const GROWING_RUNS: f64 = 3.0;
/// Part of an engine's memory up to which copies are planned in advance; the rest is left to runs.
const COPY_MEMORY_SHARE: f64 = 0.4;
/// Mean part of the engines' memory up to which copies are planned in advance: beyond it a copy takes
/// the room of a request that would be refused.
const COPY_FLEET_SHARE: f64 = 0.6;
/// Cost of one request that runs beside, in milliseconds: what it adds to the steps of an answer.
const RUN_COST: f64 = 12.0;
/// Cost of full memory, in milliseconds: a preempted request is read in again.
const MEMORY_COST: f64 = 250.0;
/// Cost of another data centre for a run, in milliseconds: it is lost to a partition between them.
const DISTANCE_COST: f64 = 30.0;
/// Further cost of a data centre whose load is known with delay, in milliseconds: others may have
/// chosen the same engine since.
const DELAY_COST: f64 = 100.0;
/// Cost of the wrong side for a copy, in milliseconds: one of the run and its copy belongs into the
/// VM's data centre, so that a partition can't take both, and its memory holds only one of them.
const COPY_SIDE_COST: f64 = 150.0;
/// Cost of memory that is full of other copies, in milliseconds.
const COPY_SPREAD_COST: f64 = 200.0;
/// Cost of a data centre to which the last connection failed, in milliseconds.
const UNREACHED_COST: f64 = 600.0;
/// Time after which a data centre is tried again.
const UNREACHED_LIFE: Duration = Duration::from_millis(2_500);
/// Part of a new time in the mean time that a plain service's target takes.
const TIME_RATE: f64 = 0.3;
/// Time in which half of what is known of a target's times is forgotten.
const TIME_HALF_LIFE: Duration = Duration::from_secs(4);
/// Time of a target that nothing is known of, in milliseconds.
const TIME_PRIOR: f64 = 20.0;
/// Width of the draw among nearly equal targets, in milliseconds.
const DRAW_WIDTH: f64 = 40.0;
/// Cost of plain requests that fill all slots of a target, as a multiple of its mean time.
const SLOT_COST: f64 = 3.0;
/// Cost of another data centre for a plain request, in milliseconds.
const PLAIN_DISTANCE_COST: f64 = 8.0;
/// Cost of a target for each VM that says that it fails requests, in milliseconds.
const REPORTED_COST: f64 = 400.0;
/// Time that a target is avoided after its first failure; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(400);
/// Longest time that a target is avoided without a new failure.
const LONGEST_BACKOFF: Duration = Duration::from_secs(3);
/// Time that a target is avoided after it refused for want of room: the lag of the peers' reports.
const BUSY_BACKOFF: Duration = Duration::from_millis(150);

/// One request in progress at a target.
#[derive(Clone, Copy, Debug)]
struct Run {
    target: key::Target,
    load: Load,
}

/// Number of a request in progress of this VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunId(u64);

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    /// Whether the last failure was of the target, not of the way to it.
    is_failing: bool,
    avoided_until: Instant,
}

/// What is asked of a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Work that the request adds.
    pub load: Load,
    /// The engines' description; `None` for plain services.
    pub engine: Option<Engine>,
    /// Most tokens of prompts that may be read before this one.
    pub max_pending_prefill: u32,
    /// Targets that must not be chosen.
    pub excluded: &'a [key::Target],
    /// Data centre of this VM.
    pub data_centre: &'a str,
    /// Whether the work in other data centres is known with delay, or not at all.
    pub is_remote_stale: bool,
    /// Requests that go before this one when there is too little room for all.
    pub queued_ahead: usize,
    /// Whether the run of a copy is on an engine that leaves; the copy may then take all room.
    pub is_urgent: bool,
    /// For an urgent copy: data centre of the run; moves to another one take twice as long.
    pub run_data_centre: Option<&'a str>,
    /// For any other copy: whether the run is in the VM's data centre.
    pub is_run_local: bool,
}

impl Default for Query<'_> {
    fn default() -> Self {
        Self {
            load: Load::default(),
            engine: None,
            max_pending_prefill: u32::MAX,
            excluded: &[],
            data_centre: "",
            is_remote_stale: false,
            queued_ahead: 0,
            is_urgent: false,
            run_data_centre: None,
            is_run_local: false,
        }
    }
}

/// What a choice was made by.
#[derive(Clone, Copy, Debug, Default)]
pub struct Basis {
    /// Cost of the chosen target in milliseconds.
    pub cost: f64,
    /// Work known there before.
    pub load: Load,
    /// Targets with room.
    pub candidates: usize,
}

/// A chosen target.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The target.
    pub target: &'a Target,
    /// What it was chosen by.
    pub basis: Basis,
}

/// A target that a request may go to.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    target: &'a Target,
    load: Load,
    /// Cost beside that of its load, in milliseconds.
    surcharge: f64,
    /// Mean time of its answers in milliseconds, for a plain service.
    pace: f64,
    /// Cost as last computed, in milliseconds.
    cost: f64,
}

/// How long a plain service's target took lately.
#[derive(Clone, Copy, Debug)]
struct Pace {
    mean: f64,
    at: Instant,
}

/// Returns the tokens of prompts that engines read in a time.
pub fn prefill_tokens(time: Duration) -> u32 {
    (time.as_secs_f64() * 1e3 * PREFILL_RATE) as u32
}

/// Returns the time in which engines read tokens of prompts.
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / PREFILL_RATE / 1e3)
}

/// The machine.
#[derive(Debug)]
pub struct Placement {
    runs: HashMap<RunId, Run>,
    next: u64,
    peers: HashMap<key::Target, Load>,
    health: HashMap<key::Target, Health>,
    paces: HashMap<key::Target, Pace>,
    /// Data centres whose VMs' work is known with little delay.
    summarized: HashSet<key::DataCentre>,
    /// VMs that say that a target fails requests.
    reported: HashMap<key::Target, u32>,
    /// When a connection to a data centre last failed, unless one succeeded since.
    unreached: HashMap<Box<str>, Instant>,
    #[debug(skip)]
    random: SmallRng,
}

impl Placement {
    /// Starts without any work; equal seeds draw alike.
    pub fn new(seed: u64) -> Self {
        Self {
            runs: HashMap::new(),
            next: 0,
            peers: HashMap::new(),
            health: HashMap::new(),
            paces: HashMap::new(),
            summarized: HashSet::new(),
            reported: HashMap::new(),
            unreached: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chooses a target with room for the request; `None` if there is none now.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        targets: &'a [Target],
        ask: &Query<'_>,
    ) -> Option<Choice<'a>> {
        let usable: Vec<_> = targets
            .iter()
            .filter(|target| !target.is_leaving && !ask.excluded.contains(&target.key))
            .collect();
        let own = self.local_load();
        let is_spare_copy = ask.engine.is_some() && ask.load.runs == 0 && !ask.is_urgent;
        if is_spare_copy && self.fill(&usable, &own, ask) > COPY_FLEET_SHARE {
            return None;
        }
        let mut candidates = self.candidates(now, &usable, &own, ask);
        for _ in 0..ask.queued_ahead {
            let next = cheapest(&mut candidates, ask, || 0.0)?;
            next.load += ask.load;
        }
        let random = &mut self.random;
        let count = candidates.len();
        let best = cheapest(&mut candidates, ask, || {
            random.random_range(0.0..DRAW_WIDTH)
        })?;
        Some(Choice {
            target: best.target,
            basis: Basis {
                cost: best.cost,
                load: best.load,
                candidates: count,
            },
        })
    }

    /// Returns the targets that a request may go to, with what is known of them.
    fn candidates<'a>(
        &self,
        now: Instant,
        usable: &[&'a Target],
        own: &HashMap<key::Target, Load>,
        ask: &Query<'_>,
    ) -> Vec<Candidate<'a>> {
        let all_avoided = usable.iter().all(|target| self.is_avoided(target.key, now));
        let is_near = |target: &Target| *target.data_centre == *ask.data_centre;
        let is_delayed = |target: &Target| ask.is_remote_stale && !is_near(target);
        // What looks idle by old reports looks so to all VMs, and all would choose it.
        let is_known = |target: &Target| {
            !is_delayed(target)
                || self
                    .summarized
                    .contains(&key::DataCentre::of(&target.data_centre))
        };
        let data_centres: HashSet<_> = usable
            .iter()
            .map(|target| key::DataCentre::of(&target.data_centre))
            .collect();
        let own_data_centre = key::DataCentre::of(ask.data_centre);
        let stays_where_known = ask.load.runs > 0
            && usable
                .iter()
                .any(|target| is_known(target) && !self.is_unreached(&target.data_centre, now));
        let usable = usable.iter().copied().filter(|target| {
            let is_avoided = !all_avoided && self.is_avoided(target.key, now);
            let is_open = ask.load.runs == 0
                || !is_delayed(target)
                || is_open_to(target, own_data_centre, &data_centres);
            !is_avoided && (!stays_where_known || is_known(target) && is_open)
        });
        let candidates = usable.filter_map(|target| {
            let load = self.load(target.key, own);
            let mut surcharge = 0.0;
            if self.is_unreached(&target.data_centre, now) {
                surcharge += UNREACHED_COST;
            }
            let reported = self.reported.get(&target.key).copied().unwrap_or_default();
            surcharge += REPORTED_COST * f64::from(reported);
            if is_delayed(target) && ask.load.runs > 0 {
                surcharge += DELAY_COST;
                // There must be room for another one that came meanwhile.
                let mut busier = load;
                busier += ask.load;
                cost(target, busier, ask, 0.0)?;
            }
            Some(Candidate {
                target,
                load,
                surcharge,
                pace: self.pace(target.key, now),
                cost: 0.0,
            })
        });
        candidates.collect()
    }

    /// Returns the work of all VMs at a target, given this VM's own.
    fn load(&self, target: key::Target, own: &HashMap<key::Target, Load>) -> Load {
        let mut load = own.get(&target).copied().unwrap_or_default();
        load += self.peers.get(&target).copied().unwrap_or_default();
        load
    }

    /// Returns the part of the engines' memory that is planned, in the VM's data centre if that is
    /// the one whose load is known.
    fn fill(&self, targets: &[&Target], own: &HashMap<key::Target, Load>, ask: &Query<'_>) -> f64 {
        let is_known =
            |target: &&&Target| !ask.is_remote_stale || *target.data_centre == *ask.data_centre;
        let (mut filled, mut room) = (0.0, 0.0);
        for target in targets.iter().filter(is_known) {
            filled += planned(self.load(target.key, own));
            room += f64::from(ask.engine.map_or(0, |engine| engine.kv_capacity));
        }
        filled / room.max(1.0)
    }

    /// Notes that a request goes to a target.
    pub fn start_run(&mut self, target: key::Target, load: Load) -> RunId {
        let ticket = RunId(self.next);
        self.next += 1;
        self.runs.insert(ticket, Run { target, load });
        ticket
    }

    /// Notes that a request's prompt has been read.
    pub fn finish_prefill(&mut self, ticket: RunId) {
        if let Some(run) = self.runs.get_mut(&ticket) {
            run.load.pending_prefill = 0;
        }
    }

    /// Notes how many tokens of its answer a request has.
    ///
    /// One that outgrows its estimate is expected to go on for a quarter of its length.
    pub fn update_tokens(&mut self, ticket: RunId, prompt: u32, tokens: u32) {
        if let Some(run) = self.runs.get_mut(&ticket) {
            run.load.used_memory = prompt + tokens;
            run.load.peak_memory = run.load.peak_memory.max(prompt + tokens + tokens / 4);
        }
    }

    /// Notes that a request has left its target.
    pub fn end_run(&mut self, ticket: RunId) {
        self.runs.remove(&ticket);
    }

    /// Takes the work of the other VMs.
    pub fn set_peer_load(&mut self, peers: HashMap<key::Target, Load>) {
        self.peers = peers;
    }

    /// Takes the data centres whose VMs' work is known with little delay.
    pub fn set_summarized(&mut self, summarized: HashSet<key::DataCentre>) {
        self.summarized = summarized;
    }

    /// Takes how many peers say of each target that it fails requests.
    pub fn set_failure_reports(&mut self, reported: HashMap<key::Target, u32>) {
        self.reported = reported;
    }

    /// Returns the targets that this VM avoids since they failed requests.
    pub fn failing(&self, now: Instant) -> Vec<key::Target> {
        let failing = self.health.iter();
        let failing = failing.filter(|(_, health)| health.is_failing && now < health.avoided_until);
        failing.map(|(target, _)| *target).collect()
    }

    /// Returns the requests in progress at some targets, of this VM and its peers.
    pub fn run_count(&self, targets: &[Target]) -> u32 {
        let own = self.local_load();
        let runs = |work: &HashMap<key::Target, Load>, target: &Target| {
            work.get(&target.key).map_or(0, |load| load.runs)
        };
        let targets = targets.iter();
        targets
            .map(|target| runs(&own, target) + runs(&self.peers, target))
            .sum()
    }

    /// Returns this VM's own work at each target.
    pub fn local_load(&self) -> HashMap<key::Target, Load> {
        let mut own: HashMap<key::Target, Load> = HashMap::new();
        for run in self.runs.values() {
            *own.entry(run.target).or_default() += run.load;
        }
        own
    }

    /// Notes an answer of a target.
    pub fn record_success(&mut self, target: &Target) {
        self.health.remove(&target.key);
        self.unreached.remove(&target.data_centre);
    }

    /// Notes that no connection to a target could be made.
    pub fn record_unreachable(&mut self, target: &Target, now: Instant) {
        self.record_failure(target.key, now);
        if let Some(health) = self.health.get_mut(&target.key) {
            health.is_failing = false;
        }
        self.unreached.insert(target.data_centre.clone(), now);
    }

    /// Notes the time that a plain service's target took.
    pub fn record_latency(&mut self, target: key::Target, time: Duration, now: Instant) {
        let before = self.pace(target, now);
        let mean = before + TIME_RATE * (time.as_secs_f64() * 1e3 - before);
        self.paces.insert(target, Pace { mean, at: now });
    }

    /// Returns the mean time of a target in milliseconds; it returns to the prior as it ages.
    fn pace(&self, target: key::Target, now: Instant) -> f64 {
        let Some(pace) = self.paces.get(&target) else {
            return TIME_PRIOR;
        };
        let lives = now.since(pace.at).as_secs_f64() / TIME_HALF_LIFE.as_secs_f64();
        TIME_PRIOR + (pace.mean - TIME_PRIOR) * (-lives).exp2()
    }

    fn is_unreached(&self, data_centre: &str, now: Instant) -> bool {
        let failed = self.unreached.get(data_centre);
        failed.is_some_and(|failed| now.since(*failed) < UNREACHED_LIFE)
    }

    /// Notes that a target failed a request.
    pub fn record_failure(&mut self, target: key::Target, now: Instant) {
        let health = self.health.entry(target).or_default();
        let backoff = FIRST_BACKOFF * 2_u32.pow(health.failures.min(4));
        health.failures += 1;
        health.is_failing = true;
        health.avoided_until = now + backoff.min(LONGEST_BACKOFF);
    }

    /// Notes that a target refused a request for want of room.
    pub fn record_rejection(&mut self, target: key::Target, now: Instant) {
        let health = self.health.entry(target).or_default();
        health.avoided_until = health.avoided_until.max(now + BUSY_BACKOFF);
    }

    fn is_avoided(&self, target: key::Target, now: Instant) -> bool {
        let health = self.health.get(&target);
        health.is_some_and(|health| now < health.avoided_until)
    }
}

/// Returns whether an engine takes requests of a data centre other than its own.
///
/// Two that chose the same engine would learn it too late, so it is open to one of them.
fn is_open_to(
    target: &Target,
    guest: key::DataCentre,
    data_centres: &HashSet<key::DataCentre>,
) -> bool {
    let home = key::DataCentre::of(&target.data_centre);
    let guests = data_centres.iter().chain([&guest]);
    let guests = guests.filter(|of| **of != home).map(|of| of.raw());
    rendezvous::choose(target.key.raw(), guests) == Some(guest.raw())
}

/// Returns the candidate with room that costs least; `draw` adds to each cost.
fn cheapest<'a, 'b>(
    candidates: &'b mut [Candidate<'a>],
    ask: &Query<'_>,
    mut draw: impl FnMut() -> f64,
) -> Option<&'b mut Candidate<'a>> {
    let priced = candidates.iter_mut().filter_map(|candidate| {
        let cost = cost(candidate.target, candidate.load, ask, candidate.pace)?;
        candidate.cost = cost + candidate.surcharge + draw();
        Some(candidate)
    });
    priced.min_by(|one, other| one.cost.total_cmp(&other.cost))
}

/// Returns the tokens of memory that an engine's runs are planned to need at once.
///
/// Each run grows until it ends, but not all of them end at the same moment: while the others grow,
/// the one that ends first frees all that it holds.
fn planned(load: Load) -> f64 {
    let growth = f64::from(load.peak_memory.saturating_sub(load.used_memory));
    let share = (GROWING_RUNS / f64::from(load.runs.max(1))).min(1.0);
    f64::from(load.used_memory) + share * growth + f64::from(load.copy_memory)
}

/// Returns what a request costs at a target; `None` if there is no room.
fn cost(target: &Target, load: Load, ask: &Query<'_>, pace: f64) -> Option<f64> {
    let is_near = *target.data_centre == *ask.data_centre;
    let distance = |cost| if is_near { 0.0 } else { cost };
    let Some(engine) = ask.engine else {
        let slots = f64::from(target.slots.max(1));
        let filled = f64::from(load.runs) / slots;
        return Some(distance(PLAIN_DISTANCE_COST) + pace * (1.0 + SLOT_COST * filled));
    };
    let is_copy = ask.load.runs == 0;
    if !is_copy && load.runs >= engine.slots {
        return None;
    }
    let mut with_ask = load;
    with_ask += ask.load;
    let filled = planned(with_ask) / f64::from(engine.kv_capacity.max(1));
    let limit = if is_copy && !ask.is_urgent {
        COPY_MEMORY_SHARE
    } else {
        MEMORY_SHARE
    };
    if filled > limit {
        return None;
    }
    let memory = MEMORY_COST * filled * filled;
    if is_copy {
        let is_wrong = match ask.run_data_centre {
            Some(data_centre) => *target.data_centre != *data_centre,
            None => is_near == ask.is_run_local,
        };
        let side = if is_wrong { COPY_SIDE_COST } else { 0.0 };
        // Runs whose engine ends go on at once at the engines with their copies: spread them.
        let shared = f64::from(load.copy_memory) / f64::from(engine.kv_capacity.max(1));
        return Some(side + memory + COPY_SPREAD_COST * shared);
    }
    if load.pending_prefill > ask.max_pending_prefill {
        return None;
    }
    let prefill = f64::from(load.pending_prefill) / PREFILL_RATE;
    Some(distance(DISTANCE_COST) + prefill + RUN_COST * f64::from(load.runs) + memory)
}
