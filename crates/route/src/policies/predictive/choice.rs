//! The randomised choice of a target among those that have room.

use {
    crate::{
        Cause, Request,
        affinity::Table as Prefixes,
        outlier::Use,
        policies::predictive::{
            engine::{Engine, Need},
            lane::Lane,
            settings::{Mechanism, Settings},
        },
        target::{Table, Target},
    },
    base::{Instant, arena::Arena, key},
    rand::{Rng, rngs::SmallRng},
};

/// Tokens of the shortest prefix that is hashed; each further one is twice as long.
const FIRST_PREFIX_TOKENS: u32 = 64;
/// Odd factor that spreads the bits of a key.
const ORDER_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bounds of how much slower than others a target is taken to be.
const SLOWNESS: (f64, f64) = (0.5, 4.0);

/// What a choice looks at.
#[derive(Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// Settings of the policy.
    pub settings: &'a Settings,
    /// What tells this VM's order of targets from that of others.
    pub seed: u64,
    /// Data centre of this VM.
    pub home: key::DataCentre,
    /// The targets.
    pub targets: &'a Table,
    /// What the policy keeps of them.
    pub engines: &'a Arena<key::Target, Engine>,
    /// The service.
    pub lane: &'a Lane,
    /// Who holds which prefix.
    pub prefixes: &'a Prefixes,
    /// What the request needs.
    pub need: Need<'a>,
}

/// A target that was looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: key::Target,
    /// Its score; lower is better.
    pub score: f64,
    /// Whether it is on probation.
    pub probe: bool,
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: key::Target,
    /// Why it was chosen.
    pub cause: Cause,
}

impl View<'_> {
    /// Chooses a target; `candidates` is cleared and left with those that had room.
    ///
    /// `first` is looked at besides the drawn ones, for a place that has just become free.
    pub fn choose(
        &self,
        request: &Request,
        first: Option<key::Target>,
        random: &mut SmallRng,
        candidates: &mut Vec<Candidate>,
    ) -> Option<Choice> {
        candidates.clear();
        let holder = self.holder(request);
        let special = [first, holder.map(|(target, _)| target)];
        for target in special.into_iter().flatten() {
            self.look(request, holder, target, false, candidates);
        }
        self.draw(request, holder, random, candidates);
        if candidates.is_empty() && first.is_none() {
            self.scan(request, holder, random, candidates);
        }
        for candidate in candidates.iter_mut() {
            candidate.score += self.settings.jitter * random.random::<f64>();
        }
        let best = candidates
            .iter()
            .min_by(|left, right| left.score.total_cmp(&right.score))?;
        let cause = match holder {
            _ if best.probe => Cause::Probe,
            Some((target, _)) if target == best.target => Cause::Prefix,
            _ if candidates.len() == 1 => Cause::Only,
            _ => Cause::Score,
        };
        Some(Choice {
            target: best.target,
            cause,
        })
    }

    /// Returns the target that holds the longest prefix, and the share of the prompt it saves.
    fn holder(&self, request: &Request) -> Option<(key::Target, f64)> {
        if !self.settings.has(Mechanism::Affinity) || request.prompt_tokens == 0 {
            return None;
        }
        let (index, target) = self.prefixes.longest(self.now, &request.prefixes)?;
        let saved = f64::from(FIRST_PREFIX_TOKENS << index.min(16));
        let share = saved / f64::from(request.prompt_tokens);
        Some((target, share.min(1.0)))
    }

    fn draw(
        &self,
        request: &Request,
        holder: Option<(key::Target, f64)>,
        random: &mut SmallRng,
        candidates: &mut Vec<Candidate>,
    ) {
        let near = &self.lane.targets[..self.lane.near];
        if near.is_empty() {
            return;
        }
        if near.len() <= self.settings.samples {
            for &target in near {
                self.look(request, holder, target, false, candidates);
            }
            return;
        }
        for _ in 0..self.settings.samples {
            let index = random.random_range(0..near.len());
            self.look(request, holder, near[index], false, candidates);
        }
    }

    /// Looks at more targets, those of other regions last and ejected ones if there are no others.
    fn scan(
        &self,
        request: &Request,
        holder: Option<(key::Target, f64)>,
        random: &mut SmallRng,
        candidates: &mut Vec<Candidate>,
    ) {
        let (near, far) = self.lane.targets.split_at(self.lane.near);
        for (targets, ejected) in [(near, false), (far, false), (near, true), (far, true)] {
            if targets.is_empty() {
                continue;
            }
            let begin = random.random_range(0..targets.len());
            let turn = targets[begin..].iter().chain(&targets[..begin]);
            for &target in turn.take(self.settings.scan) {
                self.look(request, holder, target, ejected, candidates);
                if candidates.len() >= self.settings.samples {
                    return;
                }
            }
            if !candidates.is_empty() {
                return;
            }
        }
    }

    /// Adds a target to the candidates if it has room for the request.
    fn look(
        &self,
        request: &Request,
        holder: Option<(key::Target, f64)>,
        key: key::Target,
        ejected: bool,
        candidates: &mut Vec<Candidate>,
    ) {
        if candidates.iter().any(|candidate| candidate.target == key) {
            return;
        }
        let (Some(target), Some(engine)) = (self.targets.get(key), self.engines.get(key)) else {
            return;
        };
        if !target.suits(request) {
            return;
        }
        let permitted = engine.health.permitted(self.now);
        if permitted == Use::Ejected && !ejected {
            return;
        }
        let Some(fill) = engine.fit(target, &self.need) else {
            return;
        };
        let held = match holder {
            Some((holder, share)) if holder == key => share,
            _ => 0.0,
        };
        let remote = f64::from(u8::from(target.data_centre != self.home));
        let score = fill.memory
            + self.settings.batch * fill.batch * self.slowness(target, engine)
            + fill.waiting
            + self.settings.remote * remote
            + self.settings.home * self.distance(key) * fill.memory.min(1.0)
            - self.settings.prefix * held;
        candidates.push(Candidate {
            target: key,
            score,
            probe: permitted == Use::Probe,
        });
    }

    /// Returns how far down this VM's own order of targets one stands, 0 to 1.
    fn distance(&self, key: key::Target) -> f64 {
        let mixed = (key.raw() ^ self.seed).wrapping_mul(ORDER_FACTOR);
        f64::from((mixed >> 32) as u32) / f64::from(u32::MAX)
    }

    /// Returns how much slower than the service's mean a target is.
    fn slowness(&self, target: &Target, engine: &Engine) -> f64 {
        let reported = target.load.as_ref().map(|load| load.load.tokens_per_second);
        let reported = reported.filter(|&rate| rate > 0.0).map(|rate| 1.0 / rate);
        let gap = engine.health.gap().or(reported);
        let Some(gap) = gap.filter(|_| self.lane.gap > 0.0) else {
            return 1.0;
        };
        (gap / self.lane.gap).clamp(SLOWNESS.0, SLOWNESS.1)
    }
}
