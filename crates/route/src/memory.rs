//! Predicted memory of one engine from lagging reports, own counters and peers' counters.

use {
    crate::length::Curve,
    base::{Instant, key},
    std::{collections::VecDeque, time::Duration},
};

/// Further tokens of each request at which the memory is predicted.
pub const HORIZONS: [u32; 6] = [0, 32, 128, 512, 2_048, 8_192];
/// Totals that are kept to match a late report with what was known at its time.
const HISTORY: usize = 64;
/// Time between two totals that are kept.
const HISTORY_STEP: Duration = Duration::from_millis(100);
/// Least probability of reaching a horizon for which a request has to find room there.
const LIKELY: f32 = 0.05;
/// Age after which a peer's counters or a report no longer count.
const EXPIRY: Duration = Duration::from_secs(10);

/// Memory of one request over the horizons, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Profile {
    /// Expected memory at each horizon.
    pub mean: [f32; HORIZONS.len()],
    /// Its variance at each horizon.
    pub variance: [f32; HORIZONS.len()],
}

impl Profile {
    /// Predicts a request from its length curve.
    pub fn of(curve: &Curve, prompt: u32, produced: u32, limit: u32) -> Self {
        let mut profile = Self::default();
        for (index, &more) in HORIZONS.iter().enumerate() {
            if produced.saturating_add(more) > limit {
                break;
            }
            let size = prompt as f32 + produced as f32 + more as f32;
            let stays = curve.continues(produced, more);
            profile.mean[index] = size * stays;
            profile.variance[index] = size * size * stays * (1.0 - stays);
        }
        profile
    }

    /// Returns how many horizons the request is likely to reach, the present one included.
    fn horizons(&self) -> usize {
        let prompt = self.mean[0];
        let reached =
            |(index, &mean): (usize, &f32)| mean > LIKELY * (prompt + HORIZONS[index] as f32);
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

/// Requests and the memory that they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests.
    pub requests: i64,
    /// Memory in tokens.
    pub tokens: i64,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    vm: key::Vm,
    total: Total,
    at: Instant,
}

/// What is known of the memory in use on one engine.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: Total,
    profile: Profile,
    peers: Vec<Peer>,
    peer_total: Total,
    history: VecDeque<(Instant, Total)>,
    /// What the newest report counted beyond own counters at its time; `None` if it is out of date.
    ///
    /// Peers' counters come by gossip, later than reports; while there are reports they would count
    /// the same requests twice.
    others: Option<Total>,
    reported: Instant,
}

impl Usage {
    /// Counts a request that starts.
    pub fn begin(&mut self, now: Instant, prompt: u32, profile: &Profile) {
        self.own.requests += 1;
        self.own.tokens += i64::from(prompt);
        self.profile.add(profile, 1.0);
        self.record(now);
    }

    /// Counts tokens that a request produced.
    pub fn grow(&mut self, now: Instant, tokens: u32) {
        self.own.tokens += i64::from(tokens);
        self.record(now);
    }

    /// Replaces the prediction of a request.
    pub fn update(&mut self, old: &Profile, new: &Profile) {
        self.profile.add(old, -1.0);
        self.profile.add(new, 1.0);
    }

    /// Counts a request that ended with so many tokens of context.
    pub fn end(&mut self, now: Instant, tokens: u32, profile: &Profile) {
        self.own.requests -= 1;
        self.own.tokens -= i64::from(tokens);
        self.profile.add(profile, -1.0);
        if self.own.requests == 0 {
            self.profile = Profile::default();
        }
        self.record(now);
    }

    /// Takes the counters of a peer.
    pub fn peer(&mut self, now: Instant, vm: key::Vm, requests: u32, tokens: u64) {
        let total = Total {
            requests: i64::from(requests),
            tokens: tokens.cast_signed(),
        };
        self.peers.retain(|peer| peer.vm != vm);
        if requests > 0 {
            self.peers.push(Peer { vm, total, at: now });
        }
        self.sum_peers(now);
    }

    /// Forgets peers and reports that have said nothing for long.
    pub fn expire(&mut self, now: Instant) {
        if now.since(self.reported) > EXPIRY {
            self.others = None;
        }
        let before = self.peers.len();
        self.peers.retain(|peer| now.since(peer.at) < EXPIRY);
        if self.peers.len() != before {
            self.sum_peers(now);
        }
    }

    /// Matches a report with the counters at the time it speaks of.
    pub fn report(&mut self, now: Instant, age: Duration, requests: u32, tokens: u64) {
        self.reported = now;
        let then = Instant::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        let own = self.own_at(then);
        self.others = Some(Total {
            requests: i64::from(requests) - own.requests,
            tokens: tokens.cast_signed() - own.tokens,
        });
    }

    /// Returns the estimate of the requests and the memory in use now.
    pub fn current(&self) -> Total {
        let others = self.others.unwrap_or(self.peer_total);
        Total {
            requests: (self.own.requests + others.requests).max(self.own.requests),
            tokens: (self.own.tokens + others.tokens).max(0),
        }
    }

    /// Returns whether nothing is known to run there.
    pub fn is_idle(&self) -> bool {
        self.current().requests <= 0
    }

    /// Returns the predicted peak in tokens while one more request runs, `margin` deviations above
    /// the mean; `typical` is the curve of requests that others sent.
    pub fn peak(&self, added: &Profile, typical: &Curve, margin: f32) -> f32 {
        let current = self.current();
        let others = (current.requests - self.own.requests).max(0) as f32;
        let other_tokens = (current.tokens - self.own.tokens) as f32;
        let mut peak = 0.0_f32;
        for (index, &more) in HORIZONS.iter().enumerate().take(added.horizons()) {
            let stays = typical.renews(more);
            let growth = others * more as f32;
            let held = if other_tokens > 0.0 {
                (other_tokens + growth) * stays
            } else {
                other_tokens + growth * stays
            };
            let size = held / others.max(1.0);
            let spread = others * size * size * (1.0 - stays);
            let mean = self.profile.mean[index] + added.mean[index] + held;
            let variance = self.profile.variance[index] + added.variance[index] + spread;
            peak = peak.max(mean + margin * variance.sqrt());
        }
        peak
    }

    fn sum_peers(&mut self, now: Instant) {
        let fresh = self.peers.iter().filter(|peer| now.since(peer.at) < EXPIRY);
        self.peer_total = fresh.fold(Total::default(), |sum, peer| Total {
            requests: sum.requests + peer.total.requests,
            tokens: sum.tokens + peer.total.tokens,
        });
    }

    /// Returns the newest kept totals that are not younger than an instant.
    fn own_at(&self, then: Instant) -> Total {
        let kept = self.history.iter().rev().find(|(at, _)| *at <= then);
        kept.or(self.history.front())
            .map_or_else(Total::default, |(_, total)| *total)
    }

    fn record(&mut self, now: Instant) {
        let total = self.own;
        if let Some((at, last)) = self.history.back_mut()
            && now.since(*at) < HISTORY_STEP
        {
            *last = total;
            return;
        }
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, total));
    }
}
