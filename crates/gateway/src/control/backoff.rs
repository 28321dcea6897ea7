//! Delays between failed calls.

use {rand::Rng, std::time::Duration};

/// Time after the first failed call until the next one; doubles up to [`MAX_DELAY`].
const INITIAL_DELAY: Duration = Duration::from_millis(300);
/// Longest time after a failed call until the next one: a store that is back is found within it.
const MAX_DELAY: Duration = Duration::from_millis(1_500);
/// Part of a delay by which it is drawn longer or shorter, so that VMs don't call in step.
const JITTER: f64 = 0.3;

/// Failures in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the delay until the next call.
    pub fn next_delay(&mut self) -> Duration {
        let delay = INITIAL_DELAY.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures += 1;
        let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        delay.min(MAX_DELAY).mul_f64(jitter)
    }

    /// Notes a call that was answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
