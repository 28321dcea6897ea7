//! Estimates of the tokens of an answer, per route.
//!
//! The hints of clients scatter more than the lengths themselves, so the estimate lies between the
//! hint and the geometric mean of what the route's answers had, on a logarithmic scale.

use {crate::Generation, std::collections::HashMap};

/// Part of the hint in the estimate; the rest is the learned mean.
const HINT_WEIGHT: f64 = 0.35;
/// Part of a new answer in the learned mean.
const LEARN_RATE: f64 = 0.05;
/// Part of the most permitted tokens that is taken for the mean before any answer has ended.
const PRIOR_SHARE: f64 = 0.35;

/// Learned lengths of the answers of each route.
#[derive(Debug, Default)]
pub struct Lengths {
    /// Mean of the logarithm of the tokens.
    means: HashMap<Box<str>, f64>,
}

impl Lengths {
    /// Estimates the tokens of an answer.
    pub fn estimate(&self, route: &str, generation: &Generation) -> u32 {
        let most = f64::from(generation.max_tokens.max(1));
        let mean = self.means.get(route).copied();
        let mean = mean.unwrap_or_else(|| (most * PRIOR_SHARE).max(1.0).ln());
        let hint = generation.length_hint.filter(|&hint| hint > 0);
        let log = hint.map_or(mean, |hint| {
            mean + HINT_WEIGHT * (f64::from(hint).ln() - mean)
        });
        log.exp().clamp(1.0, most) as u32
    }

    /// Learns from an answer that has ended.
    pub fn record(&mut self, route: &str, tokens: u32) {
        let log = f64::from(tokens.max(1)).ln();
        if let Some(mean) = self.means.get_mut(route) {
            *mean += LEARN_RATE * (log - *mean);
        } else {
            self.means.insert(route.into(), log);
        }
    }
}
