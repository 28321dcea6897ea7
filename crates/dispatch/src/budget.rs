//! The retry budget of a service over a sliding window, one VM's part of it.
//!
//! All VMs together may add `ratio` retries to each request and `extra` ones in a window. Each VM
//! counts its own requests and takes an equal part of the extra ones, so nothing is shared.

use {
    base::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Part of the budget that is used; the rest covers windows that begin at another moment.
const MARGIN: f64 = 0.8;

/// The budget's size.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beside these, of all VMs together.
    pub extra: f64,
    /// Length of the window.
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
    /// Counts a request of a client.
    pub fn record_request(&mut self, now: Instant, terms: &Policy) {
        expire(&mut self.requests, now, terms.window);
        self.requests.push_back(now);
    }

    /// Takes a retry if one is left for one of `vms` VMs; returns whether there was one.
    pub fn try_spend(&mut self, now: Instant, terms: &Policy, vms: usize) -> bool {
        expire(&mut self.requests, now, terms.window);
        expire(&mut self.retries, now, terms.window);
        if self.remaining(terms, vms) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the retries that are left.
    pub fn remaining(&self, terms: &Policy, vms: usize) -> f64 {
        let share = terms.extra / vms.max(1) as f64;
        let earned = terms.ratio * self.requests.len() as f64;
        MARGIN * (share + earned) - self.retries.len() as f64
    }
}

fn expire(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|&time| now.since(time) > window) {
        times.pop_front();
    }
}
