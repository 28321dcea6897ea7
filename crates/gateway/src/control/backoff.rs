//! Delays between failed calls.

use {rand::Rng, std::time::Duration};

/// Time after the first failed call until the next one; doubles up to [`LONGEST_DELAY`].
const FIRST_DELAY: Duration = Duration::from_millis(300);
/// Longest time after a failed call until the next one: a store that is back is found within it.
const LONGEST_DELAY: Duration = Duration::from_millis(1_500);
/// Part of a delay by which it is drawn longer or shorter, so that VMs don't call in step.
const SCATTER: f64 = 0.3;

/// Failures in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the delay until the next call.
    pub fn next_delay(&mut self) -> Duration {
        let delay = FIRST_DELAY.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures += 1;
        let scatter = rand::rng().random_range(1.0 - SCATTER..1.0 + SCATTER);
        delay.min(LONGEST_DELAY).mul_f64(scatter)
    }

    /// Notes a call that was answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
