//! The batch: which generations run, what memory they hold, and who is preempted when it is full.

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
pub(super) struct Order {
    pub request: Box<str>,
    pub prompt: Box<str>,
    pub max_tokens: u32,
    pub priority: u8,
}

/// How far a generation has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Waiting,
    Running,
    Finished(Instant),
    Cancelled(Instant),
}

/// One generation.
#[derive(Clone, Debug)]
pub(super) struct Generation {
    pub order: Order,
    pub phase: Phase,
    pub produced: u32,
    pub length: u32,
    /// Prompt and output tokens that must be computed before the next token.
    prefill: u64,
    arrival: u64,
}

impl Generation {
    fn context(&self) -> u64 {
        law::prompt_tokens(&self.order.prompt) + u64::from(self.produced)
    }

    /// Returns why the generation ends after its last token.
    pub(super) fn finish_reason(&self, seed: u64) -> &'static str {
        if law::output_length(seed, &self.order.prompt) <= self.length {
            return "stop";
        }
        "length"
    }
}

/// All generations of an engine.
#[derive(Debug)]
pub(super) struct Core {
    settings: Settings,
    incarnation: u64,
    arrivals: u64,
    pub generations: BTreeMap<Box<str>, Generation>,
    pub runs: BTreeMap<Box<str>, u64>,
    pub cancelled: BTreeSet<Box<str>>,
    pub cache: Cache,
    pub orders: Orders,
    pub reports: Reports,
    pub preemptions: u64,
}

impl Core {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            incarnation: SmallRng::from_os_rng().random(),
            arrivals: 0,
            generations: BTreeMap::new(),
            runs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            cache: Cache::new(settings.cache),
            orders: Orders::new(&settings),
            reports: Reports::default(),
            preemptions: 0,
            settings,
        }
    }

    /// Starts a generation and returns its id; a run is counted.
    pub(super) fn start(&mut self, order: Order) -> Box<str> {
        self.arrivals += 1;
        let name = &self.settings.name;
        let id: Box<str> = format!("{name}-{:016x}-{}", self.incarnation, self.arrivals).into();
        *self.runs.entry(order.request.clone()).or_default() += 1;
        let natural = law::output_length(self.settings.seed, &order.prompt);
        let held = self.cache.touch(&order.prompt) as u64 / 4;
        let generation = Generation {
            phase: Phase::Waiting,
            produced: 0,
            length: natural.min(order.max_tokens),
            prefill: law::prompt_tokens(&order.prompt).saturating_sub(held),
            arrival: self.arrivals,
            order,
        };
        self.generations.insert(id.clone(), generation);
        id
    }

    /// Cancels the generations that match; returns how many were under way.
    pub(super) fn cancel(&mut self, matches: impl Fn(&str, &Generation) -> bool) -> usize {
        let mut count = 0;
        for (id, generation) in &mut self.generations {
            let active = matches!(generation.phase, Phase::Waiting | Phase::Running);
            if active && matches(id, generation) {
                generation.phase = Phase::Cancelled(Instant::now());
                self.cancelled.insert(generation.order.request.clone());
                count += 1;
            }
        }
        count
    }

    /// Returns the time of the next step; it grows with the batch.
    pub(super) fn step_duration(&self) -> Duration {
        let growth = self.settings.step_growth * self.running() as f64;
        self.settings.step.mul_f64(1.0 + growth)
    }

    /// Computes one step: admits, gives each running generation a token, preempts where memory is full.
    pub(super) fn step(&mut self) {
        self.admit();
        for id in self.ids(Phase::Running, false) {
            self.advance(&id);
        }
        let keep = self.settings.keep;
        self.generations.retain(|_, generation| {
            !matches!(generation.phase, Phase::Finished(at) | Phase::Cancelled(at) if at.elapsed() > keep)
        });
        let load = self.load();
        self.reports.push(load, self.settings.load_lag);
    }

    /// Moves waiting generations into the batch, the highest priority first, while memory lasts.
    fn admit(&mut self) {
        for id in self.ids(Phase::Waiting, false) {
            let Some(generation) = self.generations.get(&id) else {
                continue;
            };
            let need = self.blocks(generation.context() + 1);
            if self.running() >= self.settings.max_batch || need > self.free() {
                return;
            }
            self.set_phase(&id, Phase::Running);
        }
    }

    /// Gives a running generation its next token, or computes a part of its prompt.
    fn advance(&mut self, id: &str) {
        let Some(generation) = self.generations.get_mut(id) else {
            return;
        };
        if generation.phase != Phase::Running {
            return;
        }
        if generation.prefill > 0 {
            generation.prefill = generation.prefill.saturating_sub(self.settings.prefill);
            return;
        }
        let context = generation.context();
        if self.blocks(context + 1) > self.blocks(context) && !self.make_room(id) {
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

    /// Frees a block by preemption if none is free; returns whether `id` still runs.
    fn make_room(&mut self, id: &str) -> bool {
        while self.free() == 0 {
            let Some(victim) = self.ids(Phase::Running, true).into_iter().next() else {
                return false;
            };
            let alone = self.running() == 1;
            if alone {
                // Nothing else can be freed, so the output ends here.
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

    fn preempt(&mut self, id: &str) {
        self.preemptions += 1;
        if let Some(generation) = self.generations.get_mut(id) {
            generation.prefill = generation.context();
            generation.phase = Phase::Waiting;
        }
    }

    fn set_phase(&mut self, id: &str, phase: Phase) {
        if let Some(generation) = self.generations.get_mut(id) {
            generation.phase = phase;
        }
    }

    /// Returns the ids in a phase: highest priority and oldest first, or the reverse.
    fn ids(&self, phase: Phase, reverse: bool) -> Vec<Box<str>> {
        let in_phase = self.generations.iter().filter(|(_, g)| g.phase == phase);
        let mut ids: Vec<_> = in_phase
            .map(|(id, g)| (u8::MAX - g.order.priority, g.arrival, id.clone()))
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

    /// Returns the memory in use, in tokens.
    pub(super) fn memory_used(&self) -> u64 {
        let running = self.generations.values();
        let running = running.filter(|generation| generation.phase == Phase::Running);
        let blocks: u64 = running.map(|g| self.blocks(g.context())).sum();
        blocks * self.settings.block
    }

    fn blocks(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.settings.block)
    }

    fn free(&self) -> u64 {
        let total = self.settings.memory_tokens / self.settings.block;
        total.saturating_sub(self.memory_used() / self.settings.block)
    }
}
