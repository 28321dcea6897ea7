//! Demand for each model: smoothed, with hysteresis.

use {
    base::{Instant, key},
    derive_more::Debug,
    std::{collections::BTreeMap, time::Duration},
};

/// Time constant of the exponential moving average.
pub const TIME_CONSTANT: Duration = Duration::from_secs(120);
/// Ratio between the average and the level in use beyond which the level changes.
pub const HYSTERESIS_FACTOR: f64 = 1.5;
/// Minimum time between two changes of a level.
pub const MIN_LEVEL_DURATION: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Level {
    average: f64,
    updated_at: Instant,
    /// The rate that the placement uses, in requests a second.
    in_use: f64,
    changed_at: Instant,
}

/// Demand for each model, in requests a second.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    levels: BTreeMap<key::Model, Level>,
}

impl Demand {
    /// Adds a measured rate in requests a second; returns whether the level in use changed.
    ///
    /// The first rate of a model becomes its level, which doesn't count as a change.
    pub fn update(&mut self, now: Instant, model: key::Model, rate: f64) -> bool {
        let level = self.levels.entry(model).or_insert(Level {
            average: rate,
            updated_at: now,
            in_use: rate,
            changed_at: now,
        });
        let elapsed = now.since(level.updated_at).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        level.average = level.average * decay + rate * (1.0 - decay);
        level.updated_at = now;
        let (low, high) = (
            level.in_use / HYSTERESIS_FACTOR,
            level.in_use * HYSTERESIS_FACTOR,
        );
        let is_outside = level.average < low || level.average > high;
        if !is_outside || now.since(level.changed_at) < MIN_LEVEL_DURATION {
            return false;
        }
        level.in_use = level.average;
        level.changed_at = now;
        true
    }

    /// Returns the level in use, in requests a second.
    pub fn level(&self, model: key::Model) -> f64 {
        self.levels.get(&model).map_or(0.0, |level| level.in_use)
    }
}
