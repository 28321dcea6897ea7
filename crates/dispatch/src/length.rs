//! Estimates the output length of a generation in tokens.
//!
//! The clients' hints vary more than the actual lengths, so an estimate is a weighted geometric
//! mean of the hint and the route's average output length.

use {crate::Generation, std::collections::HashMap};

/// Weight of the hint in the estimate; the rest is that of the route's average.
const HINT_WEIGHT: f64 = 0.35;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Share of the permitted output length that is assumed as a route's average before any sample.
const PRIOR_SHARE: f64 = 0.35;

/// Average output length of each route.
#[derive(Debug, Default)]
pub struct Lengths {
    /// Moving average of the logarithm of the number of tokens.
    means: HashMap<Box<str>, f64>,
}

impl Lengths {
    /// Estimates an output length, at most the permitted one.
    pub fn estimate(&self, route: &str, generation: &Generation) -> u32 {
        let max_tokens = f64::from(generation.max_tokens.max(1));
        let mean = self.means.get(route).copied();
        let mean = mean.unwrap_or_else(|| (max_tokens * PRIOR_SHARE).max(1.0).ln());
        let hint = generation.length_hint.filter(|&hint| hint > 0);
        let log = hint.map_or(mean, |hint| {
            mean + HINT_WEIGHT * (f64::from(hint).ln() - mean)
        });
        log.exp().clamp(1.0, max_tokens) as u32
    }

    /// Adds the length of a complete output to the average of its route.
    pub fn record(&mut self, route: &str, tokens: u32) {
        let log = f64::from(tokens.max(1)).ln();
        if let Some(mean) = self.means.get_mut(route) {
            *mean += SAMPLE_WEIGHT * (log - *mean);
        } else {
            self.means.insert(route.into(), log);
        }
    }
}
