//! Retry budget of a service: a share of first attempts, so that retries cannot amplify overload.

/// Units of one retry; integers, so that shares add up exactly.
const UNITS_PER_RETRY: u64 = 10_000;
/// Most units that can accumulate.
const MAX_UNITS: u64 = 10 * UNITS_PER_RETRY;

/// Remaining retries of a service.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    units: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { units: MAX_UNITS }
    }
}

impl Budget {
    /// Counts a first attempt, which adds a share of a retry, 0 to 1.
    pub fn deposit(&mut self, share: f64) {
        let units = (share * UNITS_PER_RETRY as f64).round() as u64;
        self.units = (self.units + units).min(MAX_UNITS);
    }

    /// Gives back a retry that the planned stop of a target caused.
    pub fn refund(&mut self) {
        self.units = (self.units + UNITS_PER_RETRY).min(MAX_UNITS);
    }

    /// Takes one retry; returns whether one was left.
    pub fn withdraw(&mut self) -> bool {
        let Some(units) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = units;
        true
    }
}
