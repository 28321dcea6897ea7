//! Decides whether, when and how often the copy of a run is requested whose engine gives notice.
//!
//! A sixth of the engines leaves at the same moment with 1.5 to 2.1 s of notice. Each sends the copies
//! of its runs one after the other, so the last ones may not be complete when it leaves. The VMs of
//! all these runs, each with one or two of an engine's, choose destinations from the same load, so
//! some engines get more copies than they have room for and refuse them.

use {
    base::{key, rendezvous},
    std::time::Duration,
};

/// Time over which the copies of all runs of engines that leave together are requested.
///
/// A VM learns of the others' copies in its data centre after some milliseconds. An engine sends one
/// copy after the other, so the delay costs little of its notice.
pub const SPREAD: Duration = Duration::from_millis(200);
/// Share of the spread that is random.
///
/// Runs with equal numbers of tokens, as those that began together, must not all choose from the same
/// load.
const JITTER_SHARE: f64 = 0.2;
/// Tokens in which the rest of the delay halves: about half the output of a long run, so that the
/// delays of runs at any stage differ.
const HALVING_TOKENS: f64 = 400.0;
/// Output length in tokens from which a run is copied that could be started again.
///
/// A shorter one loses little, and the link is left to the others.
pub const MIN_TOKENS: u32 = 100;
/// Maximum number of engines that are asked for room for a run's copy, one right after the other.
///
/// After that the VM waits for newer load reports, as those that it chose by are outdated.
const MAX_ENGINES: usize = 4;
/// Time that a copy takes, including its wait for the link, relative to which the next one is delayed:
/// up to the maximum delay, the repeated copies of a run take a third of the link.
const INTERVAL_FACTOR: u32 = 2;
/// Minimum delay between two copies of the same run.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum delay between two copies of the same run, about a quarter of the shortest notice.
pub const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// What is known of a run whose engine gives notice.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Key of the request.
    pub key: key::Request,
    /// Tokens that it has produced.
    pub tokens: u32,
    /// Estimated output length in tokens.
    pub estimated_tokens: u32,
    /// Whether it may be started again at another engine.
    pub is_repeatable: bool,
}

impl Run {
    /// Returns whether the run is copied rather than started again.
    pub fn is_copied(&self) -> bool {
        !self.is_repeatable || self.estimated_tokens.max(self.tokens) >= MIN_TOKENS
    }

    /// Returns the delay after the notice with which the run's first copy is requested.
    ///
    /// It decreases with the tokens that are lost without a copy.
    pub fn delay(&self) -> Duration {
        let random = rendezvous::weight(self.key.raw(), 0) as f64 / u64::MAX as f64;
        let order = (-f64::from(self.tokens) / HALVING_TOKENS).exp2();
        SPREAD.mul_f64((1.0 - JITTER_SHARE) * order + JITTER_SHARE * random)
    }
}

/// Returns the delay after a copy that took `duration` with which the next one is requested.
///
/// What the run produced since its last copy is lost with its engine. A copy that was quick is repeated
/// soon, and one that took long leaves the link to the other runs.
pub fn interval(duration: Duration) -> Duration {
    (duration * INTERVAL_FACTOR).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Engines at which the copy of a run failed since the notice.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    engines: Vec<key::Target>,
    /// Number of engines that refused the copy for lack of capacity.
    refusals: usize,
}

impl Failures {
    /// Returns the engines that are not asked next.
    pub fn engines(&self) -> &[key::Target] {
        &self.engines
    }

    /// Records that an engine had no room; returns whether to ask another one immediately.
    pub fn record_refusal(&mut self, engine: key::Target) -> bool {
        self.engines.push(engine);
        self.refusals += 1;
        if self.refusals == MAX_ENGINES {
            self.clear();
        }
        self.refusals < MAX_ENGINES
    }

    /// Records that the copy to an engine failed otherwise.
    pub fn record_failure(&mut self, engine: key::Target) {
        self.engines.push(engine);
    }

    /// Permits all engines again.
    pub fn clear(&mut self) {
        self.engines.clear();
    }
}
