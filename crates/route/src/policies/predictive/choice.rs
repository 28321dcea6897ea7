//! Choice of the best-scored target among sampled ones with enough free capacity.

use {
    crate::{
        Cause, Request,
        affinity::Table as Prefixes,
        outlier::Status,
        policies::predictive::{
            engine::{Engine, Requirements},
            service::Service,
            settings::{Mechanism, Settings},
        },
        target::{Table, Target},
    },
    base::{Instant, arena::Arena, key},
    rand::{Rng, rngs::SmallRng},
};

/// Tokens of the shortest hashed prefix; each further one is twice as long.
const MIN_PREFIX_TOKENS: u32 = 64;
/// Odd multiplier of a Fibonacci hash, which spreads the bits of a key.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bounds of the slowdown of a target against the mean of its service.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 4.0);

/// Selects a target for one request from the state of the policy.
#[derive(Debug)]
pub struct Selector<'a> {
    /// Current time.
    pub now: Instant,
    /// Settings of the policy.
    pub settings: &'a Settings,
    /// Seed of this VM's own preference order of targets.
    pub seed: u64,
    /// Data centre of this VM.
    pub data_centre: key::DataCentre,
    /// All targets.
    pub targets: &'a Table,
    /// The policy's state of each target.
    pub engines: &'a Arena<key::Target, Engine>,
    /// State of the requested service.
    pub service: &'a Service,
    /// Targets by cached prefix.
    pub prefixes: &'a Prefixes,
    /// Capacity that the request needs.
    pub requirements: Requirements<'a>,
}

/// A target with enough free capacity and its score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: key::Target,
    /// Its cost; the lowest wins.
    pub score: f64,
    /// Whether the request would probe an ejected target.
    pub is_probe: bool,
}

/// Result of a selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The chosen target.
    pub target: key::Target,
    /// Why it was chosen.
    pub cause: Cause,
}

impl Selector<'_> {
    /// Chooses a target; `candidates` is cleared and filled with the targets that have capacity.
    ///
    /// `freed` is a target that has just gained free capacity; it is considered with the samples.
    pub fn choose(
        &self,
        request: &Request,
        freed: Option<key::Target>,
        random: &mut SmallRng,
        candidates: &mut Vec<Candidate>,
    ) -> Option<Choice> {
        candidates.clear();
        let prefix_holder = self.prefix_holder(request);
        let preferred = [freed, prefix_holder.map(|(target, _)| target)];
        for target in preferred.into_iter().flatten() {
            self.consider(request, prefix_holder, target, false, candidates);
        }
        self.sample(request, prefix_holder, random, candidates);
        if candidates.is_empty() && freed.is_none() {
            self.scan(request, prefix_holder, random, candidates);
        }
        for candidate in candidates.iter_mut() {
            candidate.score += self.settings.jitter * random.random::<f64>();
        }
        let best = candidates
            .iter()
            .min_by(|left, right| left.score.total_cmp(&right.score))?;
        let cause = match prefix_holder {
            _ if best.is_probe => Cause::Probe,
            Some((target, _)) if target == best.target => Cause::Prefix,
            _ if candidates.len() == 1 => Cause::Only,
            _ => Cause::Score,
        };
        Some(Choice {
            target: best.target,
            cause,
        })
    }

    /// Returns the target that caches the longest prefix, and that prefix's share of the prompt.
    fn prefix_holder(&self, request: &Request) -> Option<(key::Target, f64)> {
        if !self.settings.is_enabled(Mechanism::Affinity) || request.prompt_tokens == 0 {
            return None;
        }
        let (index, target) = self.prefixes.find_longest(self.now, &request.prefixes)?;
        let saved = f64::from(MIN_PREFIX_TOKENS << index.min(16));
        let saved_share = saved / f64::from(request.prompt_tokens);
        Some((target, saved_share.min(1.0)))
    }

    fn sample(
        &self,
        request: &Request,
        prefix_holder: Option<(key::Target, f64)>,
        random: &mut SmallRng,
        candidates: &mut Vec<Candidate>,
    ) {
        let regional = &self.service.targets[..self.service.regional_count];
        if regional.is_empty() {
            return;
        }
        if regional.len() <= self.settings.samples {
            for &target in regional {
                self.consider(request, prefix_holder, target, false, candidates);
            }
            return;
        }
        for _ in 0..self.settings.samples {
            let index = random.random_range(0..regional.len());
            self.consider(request, prefix_holder, regional[index], false, candidates);
        }
    }

    /// Considers more targets: other regions after the own one, and ejected targets last.
    fn scan(
        &self,
        request: &Request,
        prefix_holder: Option<(key::Target, f64)>,
        random: &mut SmallRng,
        candidates: &mut Vec<Candidate>,
    ) {
        let (regional, other_regions) = self.service.targets.split_at(self.service.regional_count);
        for (targets, allow_ejected) in [
            (regional, false),
            (other_regions, false),
            (regional, true),
            (other_regions, true),
        ] {
            if targets.is_empty() {
                continue;
            }
            let start = random.random_range(0..targets.len());
            let rotated = targets[start..].iter().chain(&targets[..start]);
            for &target in rotated.take(self.settings.scan_limit) {
                self.consider(request, prefix_holder, target, allow_ejected, candidates);
                if candidates.len() >= self.settings.samples {
                    return;
                }
            }
            if !candidates.is_empty() {
                return;
            }
        }
    }

    /// Adds a target to the candidates if it has capacity for the request.
    fn consider(
        &self,
        request: &Request,
        prefix_holder: Option<(key::Target, f64)>,
        key: key::Target,
        allow_ejected: bool,
        candidates: &mut Vec<Candidate>,
    ) {
        if candidates.iter().any(|candidate| candidate.target == key) {
            return;
        }
        let (Some(target), Some(engine)) = (self.targets.get(key), self.engines.get(key)) else {
            return;
        };
        if !target.can_serve(request) {
            return;
        }
        let status = engine.health.status(self.now);
        if status == Status::Ejected && !allow_ejected {
            return;
        }
        let Some(occupancy) = engine.check_fit(target, &self.requirements) else {
            return;
        };
        let saved = match prefix_holder {
            Some((holder, saved_share)) if holder == key => saved_share,
            _ => 0.0,
        };
        let in_other_data_centre = f64::from(u8::from(target.data_centre != self.data_centre));
        let score = occupancy.memory
            + self.settings.batch_weight * occupancy.batch * self.slowdown(target, engine)
            + occupancy.waiting
            + self.settings.remote_penalty * in_other_data_centre
            + self.settings.preference_weight
                * self.preference_rank(key)
                * occupancy.memory.min(1.0)
            - self.settings.prefix_weight * saved;
        candidates.push(Candidate {
            target: key,
            score,
            is_probe: status == Status::ProbeDue,
        });
    }

    /// Returns the position of a target in this VM's own preference order, 0 to 1.
    fn preference_rank(&self, key: key::Target) -> f64 {
        let hash = (key.raw() ^ self.seed).wrapping_mul(HASH_MULTIPLIER);
        f64::from((hash >> 32) as u32) / f64::from(u32::MAX)
    }

    /// Returns the slowdown of a target against the mean of its service; 1 if unknown.
    fn slowdown(&self, target: &Target, engine: &Engine) -> f64 {
        let reported = target
            .load
            .as_ref()
            .map(|report| report.load.tokens_per_second);
        let reported = reported.filter(|&rate| rate > 0.0).map(|rate| 1.0 / rate);
        let seconds = engine.health.inter_token_seconds().or(reported);
        let Some(seconds) = seconds.filter(|_| self.service.inter_token_seconds > 0.0) else {
            return 1.0;
        };
        (seconds / self.service.inter_token_seconds).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
    }
}
