//! Exponential backoff for calls to the store.

use {platform::store::Failure, rand::Rng, std::time::Duration};

/// Delay after the first failure; it doubles up to [`MAX_DELAY`].
const INITIAL_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay, which bounds how late the recovery of the store is noticed.
const MAX_DELAY: Duration = Duration::from_millis(1_500);
/// Delay after a list that has no end, whose reading takes hundreds of calls.
const ENDLESS_LIST_DELAY: Duration = Duration::from_secs(10);
/// Maximum deviation of a delay as a fraction of it, so that VMs don't retry in lockstep.
const JITTER: f64 = 0.3;

/// Counts consecutive failures.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the delay before the next call.
    pub fn next_delay(&mut self, failure: &Failure) -> Duration {
        let delay = match failure {
            Failure::Endless => ENDLESS_LIST_DELAY,
            _ => INITIAL_DELAY
                .saturating_mul(2_u32.saturating_pow(self.failures))
                .min(MAX_DELAY),
        };
        self.failures = self.failures.saturating_add(1);
        let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        delay.mul_f64(factor)
    }

    /// Resets the delay after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
