//! Predicted memory of one engine, from lagging reports, own counters and peers' counters.

use {
    crate::length::Curve,
    base::{Instant, key},
    std::{collections::VecDeque, time::Duration},
};

/// Horizons of the memory prediction, in further tokens of each request.
pub const HORIZONS: [u32; 6] = [0, 32, 128, 512, 2_048, 8_192];
/// Past totals that are kept, to match a lagging report with the counters at its time.
const HISTORY_LEN: usize = 64;
/// Time between two kept totals.
const HISTORY_INTERVAL: Duration = Duration::from_millis(100);
/// Least probability of reaching a horizon at which the memory of a request is checked.
const MIN_REACH_PROBABILITY: f32 = 0.05;
/// Age after which a peer's counters or a report no longer count.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// Predicted memory of one request at each horizon, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Profile {
    /// Expected memory at each horizon.
    pub mean: [f32; HORIZONS.len()],
    /// Variance of the memory at each horizon.
    pub variance: [f32; HORIZONS.len()],
}

impl Profile {
    /// Predicts the memory of a request from its length curve.
    pub fn predict(curve: &Curve, prompt_tokens: u32, output_tokens: u32, max_tokens: u32) -> Self {
        let mut profile = Self::default();
        for (index, &more_tokens) in HORIZONS.iter().enumerate() {
            if output_tokens.saturating_add(more_tokens) > max_tokens {
                break;
            }
            let context_tokens = prompt_tokens as f32 + output_tokens as f32 + more_tokens as f32;
            let survival = curve.continue_probability(output_tokens, more_tokens);
            profile.mean[index] = context_tokens * survival;
            profile.variance[index] = context_tokens * context_tokens * survival * (1.0 - survival);
        }
        profile
    }

    /// Returns the number of horizons that the request is likely to reach, horizon 0 included.
    fn horizon_count(&self) -> usize {
        let context_tokens = self.mean[0];
        let reached = |(index, &mean): (usize, &f32)| {
            mean > MIN_REACH_PROBABILITY * (context_tokens + HORIZONS[index] as f32)
        };
        let last = self.mean.iter().enumerate().rposition(reached);
        last.map_or(1, |last| last + 1)
    }

    fn add(&mut self, other: &Self, sign: f32) {
        for index in 0..HORIZONS.len() {
            self.mean[index] = (self.mean[index] + sign * other.mean[index]).max(0.0);
            self.variance[index] = (self.variance[index] + sign * other.variance[index]).max(0.0);
        }
    }
}

/// Number of requests and the memory that they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of requests.
    pub requests: i64,
    /// Memory in tokens.
    pub tokens: i64,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    vm: key::Vm,
    totals: Totals,
    received_at: Instant,
}

/// Requests and memory in use on one engine, as far as known.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Attempts of this VM that have not ended.
    own: Totals,
    /// Sum of the predictions for these attempts.
    profile: Profile,
    peers: Vec<Peer>,
    peer_totals: Totals,
    /// Values of `own` at past times, oldest first.
    history: VecDeque<(Instant, Totals)>,
    /// What the newest report counted beyond the own counters at its time; `None` if it is stale.
    ///
    /// It replaces the peers' counters: they come by gossip, later than reports, and would count
    /// the same requests twice.
    reported_others: Option<Totals>,
    reported_at: Instant,
}

impl Usage {
    /// Counts a request that starts.
    pub fn begin(&mut self, now: Instant, prompt_tokens: u32, profile: &Profile) {
        self.own.requests += 1;
        self.own.tokens += i64::from(prompt_tokens);
        self.profile.add(profile, 1.0);
        self.record_history(now);
    }

    /// Counts tokens that a request produced.
    pub fn add_tokens(&mut self, now: Instant, tokens: u32) {
        self.own.tokens += i64::from(tokens);
        self.record_history(now);
    }

    /// Replaces the prediction of a request.
    pub fn replace_profile(&mut self, old: &Profile, new: &Profile) {
        self.profile.add(old, -1.0);
        self.profile.add(new, 1.0);
    }

    /// Counts a request that ended with a context of `tokens`.
    pub fn end(&mut self, now: Instant, tokens: u32, profile: &Profile) {
        self.own.requests -= 1;
        self.own.tokens -= i64::from(tokens);
        self.profile.add(profile, -1.0);
        if self.own.requests == 0 {
            self.profile = Profile::default();
        }
        self.record_history(now);
    }

    /// Replaces the counters of a peer.
    pub fn update_peer(&mut self, now: Instant, vm: key::Vm, requests: u32, tokens: u64) {
        let totals = Totals {
            requests: i64::from(requests),
            tokens: tokens.cast_signed(),
        };
        self.peers.retain(|peer| peer.vm != vm);
        if requests > 0 {
            self.peers.push(Peer {
                vm,
                totals,
                received_at: now,
            });
        }
        self.update_peer_totals(now);
    }

    /// Drops stale peers' counters and reports.
    pub fn expire(&mut self, now: Instant) {
        if now.since(self.reported_at) > STALE_AFTER {
            self.reported_others = None;
        }
        let before = self.peers.len();
        self.peers
            .retain(|peer| now.since(peer.received_at) < STALE_AFTER);
        if self.peers.len() != before {
            self.update_peer_totals(now);
        }
    }

    /// Applies a report of a given age by comparing it with the own counters at its time.
    pub fn apply_report(&mut self, now: Instant, age: Duration, requests: u32, tokens: u64) {
        self.reported_at = now;
        let report_time =
            Instant::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        let own = self.own_at(report_time);
        self.reported_others = Some(Totals {
            requests: i64::from(requests) - own.requests,
            tokens: tokens.cast_signed() - own.tokens,
        });
    }

    /// Estimates the requests and the memory in use now.
    pub fn current(&self) -> Totals {
        let others = self.reported_others.unwrap_or(self.peer_totals);
        Totals {
            requests: (self.own.requests + others.requests).max(self.own.requests),
            tokens: (self.own.tokens + others.tokens).max(0),
        }
    }

    /// Returns whether no request is known to run on the engine.
    pub fn is_idle(&self) -> bool {
        self.current().requests <= 0
    }

    /// Predicts the peak memory in tokens with one more request.
    ///
    /// The peak is `margin` standard deviations above the mean; `peer_curve` is the length curve
    /// assumed for requests sent by other VMs.
    pub fn predict_peak(&self, added: &Profile, peer_curve: &Curve, margin: f32) -> f32 {
        let current = self.current();
        let other_requests = (current.requests - self.own.requests).max(0) as f32;
        let other_tokens = (current.tokens - self.own.tokens) as f32;
        let mut peak = 0.0_f32;
        for (index, &more_tokens) in HORIZONS.iter().enumerate().take(added.horizon_count()) {
            let survival = peer_curve.residual_survival(more_tokens);
            let growth = other_requests * more_tokens as f32;
            let held_tokens = if other_tokens > 0.0 {
                (other_tokens + growth) * survival
            } else {
                other_tokens + growth * survival
            };
            let mean_context = held_tokens / other_requests.max(1.0);
            let other_variance = other_requests * mean_context * mean_context * (1.0 - survival);
            let mean = self.profile.mean[index] + added.mean[index] + held_tokens;
            let variance = self.profile.variance[index] + added.variance[index] + other_variance;
            peak = peak.max(mean + margin * variance.sqrt());
        }
        peak
    }

    fn update_peer_totals(&mut self, now: Instant) {
        let fresh = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.received_at) < STALE_AFTER);
        self.peer_totals = fresh.fold(Totals::default(), |sum, peer| Totals {
            requests: sum.requests + peer.totals.requests,
            tokens: sum.tokens + peer.totals.tokens,
        });
    }

    /// Returns the newest kept totals that are no later than a time, or else the oldest ones.
    fn own_at(&self, time: Instant) -> Totals {
        let past = self
            .history
            .iter()
            .rev()
            .find(|(recorded_at, _)| *recorded_at <= time);
        past.or(self.history.front())
            .map_or_else(Totals::default, |(_, totals)| *totals)
    }

    fn record_history(&mut self, now: Instant) {
        let totals = self.own;
        if let Some((recorded_at, last)) = self.history.back_mut()
            && now.since(*recorded_at) < HISTORY_INTERVAL
        {
            *last = totals;
            return;
        }
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
        }
        self.history.push_back((now, totals));
    }
}
