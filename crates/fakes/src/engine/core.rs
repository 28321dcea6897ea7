//! Continuous batching: admission, KV cache memory, and preemption when the memory is full.

use {
    super::{Settings, cache::Cache, law, order::Orders, report::Reports},
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// A request for a generation.
#[derive(Clone, Debug)]
pub(super) struct GenerationRequest {
    pub id: Box<str>,
    pub prompt: Box<str>,
    pub max_tokens: u32,
    pub priority: u8,
}

/// Lifecycle state of a generation; an ended one carries the time of its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Waiting,
    Running,
    Finished(Instant),
    Cancelled(Instant),
}

/// A generation and its progress.
#[derive(Clone, Debug)]
pub(super) struct Generation {
    pub request: GenerationRequest,
    pub phase: Phase,
    /// Output tokens generated so far.
    pub produced: u32,
    /// Output tokens at which the generation ends.
    pub length: u32,
    /// Prompt and output tokens left to prefill before the next token.
    pending_prefill: u64,
    /// Position in the order of arrival.
    arrival: u64,
}

impl Generation {
    /// Returns the tokens that the generation holds in the KV cache.
    fn context(&self) -> u64 {
        law::prompt_tokens(&self.request.prompt) + u64::from(self.produced)
    }

    /// Returns `stop` for a complete output, or `length` if a token or memory limit cut it short.
    pub(super) fn finish_reason(&self, seed: u64) -> &'static str {
        if law::output_length(seed, &self.request.prompt) <= self.length {
            return "stop";
        }
        "length"
    }
}

/// Generations of an engine, with its prefix cache, orders and load reports.
#[derive(Debug)]
pub(super) struct Scheduler {
    settings: Settings,
    /// Random number in generation ids, so that they differ after a restart.
    incarnation: u64,
    /// Number of generations started.
    arrivals: u64,
    /// Generations by id.
    pub generations: BTreeMap<Box<str>, Generation>,
    /// Number of generations started, by request id.
    pub runs: BTreeMap<Box<str>, u64>,
    /// Ids of requests whose generation was cancelled.
    pub cancelled: BTreeSet<Box<str>>,
    pub cache: Cache,
    pub orders: Orders,
    pub reports: Reports,
    pub preemptions: u64,
}

impl Scheduler {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            incarnation: SmallRng::from_os_rng().random(),
            arrivals: 0,
            generations: BTreeMap::new(),
            runs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            cache: Cache::new(settings.cache_capacity),
            orders: Orders::new(&settings),
            reports: Reports::default(),
            preemptions: 0,
            settings,
        }
    }

    /// Queues a generation, counts it as a run of its request and returns the generation id.
    pub(super) fn start(&mut self, request: GenerationRequest) -> Box<str> {
        self.arrivals += 1;
        let name = &self.settings.name;
        let id: Box<str> = format!("{name}-{:016x}-{}", self.incarnation, self.arrivals).into();
        *self.runs.entry(request.id.clone()).or_default() += 1;
        let full_length = law::output_length(self.settings.seed, &request.prompt);
        let cached_tokens = self.cache.access(&request.prompt) as u64 / 4;
        let generation = Generation {
            phase: Phase::Waiting,
            produced: 0,
            length: full_length.min(request.max_tokens),
            pending_prefill: law::prompt_tokens(&request.prompt).saturating_sub(cached_tokens),
            arrival: self.arrivals,
            request,
        };
        self.generations.insert(id.clone(), generation);
        id
    }

    /// Cancels the matching generations that have not ended; returns their number.
    pub(super) fn cancel(&mut self, matches: impl Fn(&str, &Generation) -> bool) -> usize {
        let mut count = 0;
        for (id, generation) in &mut self.generations {
            let is_active = matches!(generation.phase, Phase::Waiting | Phase::Running);
            if is_active && matches(id, generation) {
                generation.phase = Phase::Cancelled(Instant::now());
                self.cancelled.insert(generation.request.id.clone());
                count += 1;
            }
        }
        count
    }

    /// Returns the duration of the next step, which grows with the batch size.
    pub(super) fn step_duration(&self) -> Duration {
        let growth = self.settings.step_growth * self.running() as f64;
        self.settings.step.mul_f64(1.0 + growth)
    }

    /// Runs one step: admits waiting generations, advances the running ones and drops expired ones.
    pub(super) fn step(&mut self) {
        self.admit();
        for id in self.ids(Phase::Running, false) {
            self.advance(&id);
        }
        let ttl = self.settings.retention;
        self.generations.retain(|_, generation| {
            !matches!(generation.phase, Phase::Finished(at) | Phase::Cancelled(at) if at.elapsed() > ttl)
        });
        let load = self.load();
        self.reports.push(load, self.settings.load_lag);
    }

    /// Admits waiting generations in order of priority until the batch or the memory is full.
    fn admit(&mut self) {
        for id in self.ids(Phase::Waiting, false) {
            let Some(generation) = self.generations.get(&id) else {
                continue;
            };
            let needed = self.blocks(generation.context() + 1);
            if self.running() >= self.settings.max_batch || needed > self.free_blocks() {
                return;
            }
            self.set_phase(&id, Phase::Running);
        }
    }

    /// Prefills a chunk of a running generation's context, or generates its next token.
    fn advance(&mut self, id: &str) {
        let Some(generation) = self.generations.get_mut(id) else {
            return;
        };
        if generation.phase != Phase::Running {
            return;
        }
        if generation.pending_prefill > 0 {
            generation.pending_prefill = generation
                .pending_prefill
                .saturating_sub(self.settings.prefill_chunk);
            return;
        }
        let context = generation.context();
        if self.blocks(context + 1) > self.blocks(context) && !self.ensure_free_block(id) {
            return;
        }
        let Some(generation) = self.generations.get_mut(id) else {
            return;
        };
        if generation.produced < generation.length {
            generation.produced += 1;
        }
        if generation.produced == generation.length {
            generation.phase = Phase::Finished(Instant::now());
        }
    }

    /// Preempts generations until a block is free; returns whether `id` still runs.
    fn ensure_free_block(&mut self, id: &str) -> bool {
        while self.free_blocks() == 0 {
            let Some(victim) = self.ids(Phase::Running, true).into_iter().next() else {
                return false;
            };
            let is_only = self.running() == 1;
            if is_only {
                // No other generation can be preempted, so the output ends here.
                if let Some(generation) = self.generations.get_mut(&victim) {
                    generation.length = generation.produced;
                }
                self.set_phase(&victim, Phase::Finished(Instant::now()));
                return false;
            }
            self.preempt(&victim);
            if &*victim == id {
                return false;
            }
        }
        true
    }

    /// Returns a generation to the queue; its whole context must be prefilled again.
    fn preempt(&mut self, id: &str) {
        self.preemptions += 1;
        if let Some(generation) = self.generations.get_mut(id) {
            generation.pending_prefill = generation.context();
            generation.phase = Phase::Waiting;
        }
    }

    fn set_phase(&mut self, id: &str, phase: Phase) {
        if let Some(generation) = self.generations.get_mut(id) {
            generation.phase = phase;
        }
    }

    /// Returns the ids of the generations in a phase, highest priority and then oldest first.
    ///
    /// `reverse` inverts the order.
    fn ids(&self, phase: Phase, reverse: bool) -> Vec<Box<str>> {
        let in_phase = self.generations.iter().filter(|(_, g)| g.phase == phase);
        let mut ids: Vec<_> = in_phase
            .map(|(id, g)| (u8::MAX - g.request.priority, g.arrival, id.clone()))
            .collect();
        ids.sort_unstable();
        if reverse {
            ids.reverse();
        }
        ids.into_iter().map(|(_, _, id)| id).collect()
    }

    pub(super) fn count(&self, phase: Phase) -> usize {
        self.generations
            .values()
            .filter(|generation| generation.phase == phase)
            .count()
    }

    pub(super) fn running(&self) -> usize {
        self.count(Phase::Running)
    }

    pub(super) fn memory_total(&self) -> u64 {
        self.settings.memory_tokens
    }

    /// Returns the memory of running generations in tokens, rounded up to whole blocks each.
    pub(super) fn memory_used(&self) -> u64 {
        let running = self.generations.values();
        let running = running.filter(|generation| generation.phase == Phase::Running);
        let blocks: u64 = running.map(|g| self.blocks(g.context())).sum();
        blocks * self.settings.block_tokens
    }

    /// Returns the number of blocks that hold this many tokens.
    fn blocks(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.settings.block_tokens)
    }

    /// Returns the number of free blocks.
    fn free_blocks(&self) -> u64 {
        let total = self.settings.memory_tokens / self.settings.block_tokens;
        total.saturating_sub(self.memory_used() / self.settings.block_tokens)
    }
}
