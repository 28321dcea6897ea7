//! One VM's part of the retry budget of a service, over a sliding window.
//!
//! All VMs together may send `ratio` retries per request and `extra` further ones within the
//! window. Each VM counts only its own requests and takes an equal part of the extra retries, so
//! the VMs need not coordinate.

use {
    base::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Share of the budget that may be spent; the rest allows for windows that start at other times.
const SPENDABLE_SHARE: f64 = 0.8;

/// Size of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries that each request adds to the budget.
    pub ratio: f64,
    /// Retries that are permitted in addition, for all VMs together.
    pub extra: f64,
    /// Time for which requests and retries count.
    pub window: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Requests and retries of one service within the window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Counts a client's request, which adds to the budget.
    pub fn record_request(&mut self, now: Instant, policy: &Policy) {
        expire(&mut self.requests, now, policy.window);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget of one of `vms` VMs; returns whether one was left.
    pub fn try_spend(&mut self, now: Instant, policy: &Policy, vms: usize) -> bool {
        expire(&mut self.requests, now, policy.window);
        expire(&mut self.retries, now, policy.window);
        if self.remaining(policy, vms) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the number of retries that are left; may be fractional or negative.
    pub fn remaining(&self, policy: &Policy, vms: usize) -> f64 {
        let extra = policy.extra / vms.max(1) as f64;
        let earned = policy.ratio * self.requests.len() as f64;
        SPENDABLE_SHARE * (extra + earned) - self.retries.len() as f64
    }
}

/// Drops times that are older than the window.
fn expire(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|&time| now.since(time) > window) {
        times.pop_front();
    }
}
