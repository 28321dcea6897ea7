//! Where a VM gets a newer configuration from, and which of its peers it serves.
//!
//! A few VMs read a new version from the store, and the others get it from one that has it. Each
//! of them spreads it further, so the number of holders grows with each round.

use {
    crate::peers::Offer,
    base::{Instant, rendezvous},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, net::Ipv4Addr, time::Duration},
};

/// Largest undeflated configuration that is requested from a peer, in bytes.
///
/// Builds that don't deflate it serve one of this size to several peers within 100 ms.
const MAX_PLAIN_BYTES: u64 = 32 << 10;
/// Maximum random delay before the first request, so that VMs spread over the holders and over time.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// The same in a large fleet, where more VMs send requests.
const MAX_LARGE_FLEET_DELAY: Duration = Duration::from_millis(500);
/// Time after the delay for which only peers get requests, before the store is read.
const MIN_READ_DELAY: Duration = Duration::from_secs(1);
/// Maximum random extension of [`MIN_READ_DELAY`].
const READ_JITTER: Duration = Duration::from_millis(500);
/// Interval between the first two reads of the store; it doubles up to [`MAX_READ_INTERVAL`].
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum interval between reads of the store.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(16);
/// Time for which a peer that failed gets no request; it doubles up to [`MAX_PEER_PAUSE`].
const PEER_PAUSE: Duration = Duration::from_secs(1);
/// Maximum time for which a peer that failed gets no request.
const MAX_PEER_PAUSE: Duration = Duration::from_secs(8);
/// Maximum random extension of a busy peer's `Retry-After`, as a fraction of it.
const PAUSE_JITTER: f64 = 0.5;

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// No peer has a newer version.
    Idle,
    /// Nothing until this time.
    Wait(Instant),
    /// Request the configuration of this peer.
    Fetch(Ipv4Addr),
    /// Read the configuration from the store, and go on with the peers meanwhile.
    Read,
}

/// How long newer versions have been missing.
#[derive(Clone, Copy, Debug)]
struct Lag {
    since: Instant,
    /// Newest version that a peer announced.
    announced: u64,
    /// Time of the first request.
    start: Instant,
    /// Time of the next read of the store.
    next_read: Instant,
    reads: u32,
}

/// A peer that gets no request for a time.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    failures: u32,
}

/// Decides where a VM gets a newer configuration from.
#[derive(Debug)]
pub struct Replication {
    random: SmallRng,
    lag: Option<Lag>,
    pauses: HashMap<Ipv4Addr, Pause>,
}

impl Replication {
    /// Creates the state of a VM; VMs with different seeds choose different peers and delays.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            lag: None,
            pauses: HashMap::new(),
        }
    }

    /// Returns the newest announced version and since when it or one before it has been missing.
    pub fn lag(&self) -> Option<(u64, Instant)> {
        self.lag.map(|lag| (lag.announced, lag.since))
    }

    /// Decides what to do, given the version in force and the peers that announce newer ones.
    ///
    /// The choice is made anew before each request, so that a version which is out of date is not
    /// waited for.
    pub fn step(
        &mut self,
        in_force: u64,
        offers: &[Offer],
        is_large_fleet: bool,
        now: Instant,
    ) -> Step {
        let newer = || offers.iter().filter(|offer| offer.version > in_force);
        let Some(newest) = newer().map(|offer| offer.version).max() else {
            self.lag = None;
            self.pauses.clear();
            return Step::Idle;
        };
        let has_eligible = newer().any(is_eligible);
        let mut lag = match self.lag {
            Some(lag) => lag,
            None => self.begin(has_eligible, is_large_fleet, now),
        };
        lag.announced = newest;
        self.lag = Some(lag);
        if now < lag.start {
            return Step::Wait(lag.start);
        }
        if let Some(offer) = self.choose(newer(), now) {
            return Step::Fetch(offer.peer);
        }
        if now >= lag.next_read {
            let interval = READ_INTERVAL.saturating_mul(2_u32.saturating_pow(lag.reads));
            let interval = interval.min(MAX_READ_INTERVAL);
            self.lag = Some(Lag {
                next_read: now + interval.mul_f64(1.0 + self.sample()),
                reads: lag.reads + 1,
                ..lag
            });
            return Step::Read;
        }
        let pauses = newer().filter(|offer| is_eligible(offer));
        let pauses = pauses.filter_map(|offer| self.pauses.get(&offer.peer));
        let next_peer = pauses.map(|pause| pause.until).min();
        Step::Wait(next_peer.map_or(lag.next_read, |until| until.min(lag.next_read)))
    }

    /// Records that a peer gave no newer version.
    pub fn record_failure(&mut self, peer: Ipv4Addr, now: Instant) {
        let pause = self.pauses.entry(peer).or_insert(Pause {
            until: now,
            failures: 0,
        });
        let duration = PEER_PAUSE.saturating_mul(2_u32.saturating_pow(pause.failures));
        pause.until = now + duration.min(MAX_PEER_PAUSE);
        pause.failures += 1;
    }

    /// Records that a peer serves others and takes requests again after a time.
    pub fn record_busy(&mut self, peer: Ipv4Addr, retry_after: Duration, now: Instant) {
        let retry_after = retry_after.mul_f64(1.0 + PAUSE_JITTER * self.sample());
        let pause = self.pauses.entry(peer).or_insert(Pause {
            until: now,
            failures: 0,
        });
        pause.until = now + retry_after.min(MAX_PEER_PAUSE);
    }

    fn begin(&mut self, has_eligible: bool, is_large_fleet: bool, now: Instant) -> Lag {
        let max_delay = if is_large_fleet {
            MAX_LARGE_FLEET_DELAY
        } else {
            MAX_DELAY
        };
        let start = now + max_delay.mul_f64(self.sample());
        let next_read = if has_eligible {
            start + MIN_READ_DELAY + READ_JITTER.mul_f64(self.sample())
        } else {
            start
        };
        Lag {
            since: now,
            announced: 0,
            start,
            next_read,
            reads: 0,
        }
    }

    /// Chooses the best peer that is not paused: newest version, own data centre, fastest link.
    fn choose<'a>(
        &mut self,
        offers: impl Iterator<Item = &'a Offer>,
        now: Instant,
    ) -> Option<&'a Offer> {
        let seed = self.random.random();
        let is_paused = |offer: &Offer| {
            let pause = self.pauses.get(&offer.peer);
            pause.is_some_and(|pause| now < pause.until)
        };
        let offers = offers.filter(|offer| is_eligible(offer) && !is_paused(offer));
        offers.max_by_key(|offer| {
            let id = u64::from(u32::from(offer.peer));
            (
                offer.version,
                offer.is_local,
                offer.link_mbps,
                rendezvous::weight(seed, id),
            )
        })
    }

    fn sample(&mut self) -> f64 {
        self.random.random_range(0.0..1.0)
    }
}

/// Returns whether a peer's link bears the transfer.
fn is_eligible(offer: &Offer) -> bool {
    offer.is_deflated || offer.bytes <= MAX_PLAIN_BYTES
}

/// Number of deflated configurations that a VM sends at a time.
const MAX_UPLOADS: u32 = 4;
/// Share of [`MAX_UPLOADS`] that one which is large and not deflated takes.
const PLAIN_WEIGHT: u32 = MAX_UPLOADS;
/// Time after which an upload no longer counts; its receiver has given up by then.
const UPLOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Time after which a peer that was refused may come back: that of a few uploads over a slow link.
pub const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Identifies an upload.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Upload(u64);

/// The configurations that a VM is sending to its peers.
///
/// Too many at a time would all be slow, and delay the streams on the same link.
#[derive(Debug, Default)]
pub struct Uploads {
    running: HashMap<Upload, (Instant, u32)>,
    next: u64,
}

impl Uploads {
    /// Begins an upload; `None` if too many are running.
    pub fn begin(&mut self, is_deflated: bool, now: Instant) -> Option<Upload> {
        self.running
            .retain(|_, (started, _)| now.since(*started) < UPLOAD_LIFETIME);
        let weight = if is_deflated { 1 } else { PLAIN_WEIGHT };
        let used: u32 = self.running.values().map(|(_, weight)| weight).sum();
        if used + weight > MAX_UPLOADS {
            return None;
        }
        self.next += 1;
        let upload = Upload(self.next);
        self.running.insert(upload, (now, weight));
        Some(upload)
    }

    /// Ends an upload.
    pub fn end(&mut self, upload: Upload) {
        self.running.remove(&upload);
    }
}
