//! Limits what this VM sends to targets that are warming up.
//!
//! A cold target crashes at a rate of requests that it bears when it is warm. When a data centre
//! comes back, a quarter of the targets is cold and idle at the same moment, and all VMs that have
//! requests waiting would choose these targets. There is no time to agree, so each VM computes its
//! share from the VMs that it knows: rendezvous hashing chooses the few that may use a target, and
//! each of these keeps its own part of the rate. Divergent views add to the total only as far as
//! they differ.

use {
    crate::{configuration::ColdStart, listing::Target},
    base::{Instant, key, rendezvous},
    std::{collections::VecDeque, time::Duration},
};

/// Time in which a VM sends no more than its share: a second, and the time by which the delays of
/// two requests on their way to a target may differ.
const WINDOW: Duration = Duration::from_millis(1_100);
/// Time after the start in which a VM doesn't know its peers: the longest interval between their
/// reports.
const SETTLING_TIME: Duration = Duration::from_millis(2_300);
/// Maximum number of requests per window to a target, which bounds what is remembered of it.
const MAX_SHARE: usize = 1_024;
/// Maximum number of targets whose requests or ranks are remembered.
const MAX_TARGETS: usize = 4_096;

/// How a request may use cold targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access {
    /// Only within this VM's share.
    Limited(ColdStart),
    /// If need be beyond it, as the request continues a run that is lost otherwise.
    Continuation(ColdStart),
}

impl Access {
    /// Returns how the targets warm up.
    pub fn cold_start(&self) -> &ColdStart {
        match self {
            Self::Limited(start) | Self::Continuation(start) => start,
        }
    }
}

/// The part of a cold target's rate that each of the chosen VMs has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Share {
    /// Requests of one VM in [`WINDOW`].
    requests: usize,
    /// Number of VMs that may use the target.
    vms: usize,
}

impl Share {
    fn new(rate: f64, known_vms: usize) -> Self {
        let requests = (rate / known_vms as f64) as usize;
        let requests = requests.clamp(1, MAX_SHARE);
        Self {
            requests,
            vms: ((rate / requests as f64) as usize).max(1),
        }
    }
}

/// What this VM may send to cold targets, and what it has sent.
#[derive(Debug)]
pub struct Cold {
    /// Identity of this VM, the same for all of its processes.
    own: u64,
    /// Whether other VMs are expected.
    has_seeds: bool,
    started: Instant,
    /// The VMs known lately and this one, in ascending order.
    vms: Vec<u64>,
    /// How many known VMs come before this one at a target.
    ranks: key::Map<key::Target, usize>,
    /// When this VM sent requests in the last window, in ascending order.
    sends: key::Map<key::Target, VecDeque<Instant>>,
    /// When this VM last sent a request to any cold target.
    last_sent: Option<Instant>,
}

impl Cold {
    /// Starts without peers; `has_seeds` states whether there should be some.
    pub fn new(own: u64, has_seeds: bool, started: Instant) -> Self {
        Self {
            own,
            has_seeds,
            started,
            vms: vec![own],
            ranks: key::Map::default(),
            sends: key::Map::default(),
            last_sent: None,
        }
    }

    /// Replaces the other VMs that are known, also those that have been silent for a time.
    pub fn set_vms(&mut self, others: impl Iterator<Item = u64>) {
        let mut vms: Vec<_> = others.chain([self.own]).collect();
        vms.sort_unstable();
        vms.dedup();
        if vms != self.vms {
            self.vms = vms;
            self.ranks.clear();
        }
    }

    /// Returns whether this VM knows enough of its peers to have a share.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.since(self.started) >= SETTLING_TIME && (self.vms.len() > 1 || !self.has_seeds)
    }

    /// Returns whether a target counts as cold.
    ///
    /// One whose entry doesn't say so does for the whole time of a start, and until the peers are
    /// known.
    pub fn is_cold(&self, target: &Target, start: &ColdStart, now: Instant) -> bool {
        now < target.warm_up.end(start.duration, now)
            || target.warm_up.remaining.is_none() && !self.is_settled(now)
    }

    /// Returns the time for which a target is still expected to be cold; `None` if it isn't cold.
    ///
    /// It is zero for a target that is cold only until the peers are known.
    pub fn remaining(&self, target: &Target, start: &ColdStart, now: Instant) -> Option<Duration> {
        let end = target.warm_up.end(start.duration, now);
        self.is_cold(target, start, now).then(|| end.since(now))
    }

    /// Returns the time until this VM may send a request to a target; zero if it may now.
    pub fn delay(&mut self, target: &Target, start: &ColdStart, now: Instant) -> Duration {
        if !self.is_cold(target, start, now) {
            return Duration::ZERO;
        }
        if !self.is_settled(now) {
            return self.unsettled_delay(now);
        }
        let remaining = target.warm_up.end(start.duration, now).since(now);
        let share = Share::new(start.rate, self.vms.len());
        if self.rank(target.key) >= share.vms {
            return remaining;
        }
        let Some(sends) = self.sends.get(&target.key) else {
            let is_full = self.sends.len() >= MAX_TARGETS;
            return if is_full { WINDOW } else { Duration::ZERO };
        };
        let limiting = sends.len().checked_sub(share.requests);
        let next = limiting.map(|index| sends[index] + WINDOW);
        next.map_or(Duration::ZERO, |next| next.since(now).min(remaining))
    }

    /// Returns the cold targets that get no request of this VM while another one has room.
    pub fn closed(
        &mut self,
        targets: &[Target],
        start: &ColdStart,
        now: Instant,
    ) -> Vec<key::Target> {
        let mut closed = Vec::new();
        self.close(targets, start, now, &mut closed);
        closed
    }

    /// Adds the targets of [`Cold::closed`] to a list, in the order in which they are given.
    pub fn close(
        &mut self,
        targets: &[Target],
        start: &ColdStart,
        now: Instant,
        closed: &mut Vec<key::Target>,
    ) {
        let is_settled = self.is_settled(now);
        for target in targets {
            let is_closed = if is_settled {
                !self.delay(target, start, now).is_zero()
            } else {
                self.is_cold(target, start, now)
            };
            if is_closed {
                closed.push(target.key);
            }
        }
    }

    /// Returns whether a closed target may get a request of this VM if no other one has room.
    pub fn is_last_resort(&self, now: Instant) -> bool {
        !self.is_settled(now) && self.unsettled_delay(now).is_zero()
    }

    /// Returns the time until a VM without a share may send to any cold target.
    fn unsettled_delay(&self, now: Instant) -> Duration {
        let next = self.last_sent.map(|sent| sent + WINDOW);
        next.map_or(Duration::ZERO, |next| next.since(now))
    }

    /// Records a request that this VM sends to a target, which counts if the target is cold.
    pub fn record_sent(&mut self, target: &Target, start: &ColdStart, now: Instant) {
        if !self.is_cold(target, start, now) {
            return;
        }
        self.last_sent = Some(now);
        if self.sends.len() >= MAX_TARGETS && !self.sends.contains_key(&target.key) {
            self.forget_old_sends(now);
            if self.sends.len() >= MAX_TARGETS {
                return;
            }
        }
        let sends = self.sends.entry(target.key).or_default();
        while sends.front().is_some_and(|sent| *sent + WINDOW <= now) || sends.len() >= MAX_SHARE {
            sends.pop_front();
        }
        sends.push_back(now);
    }

    /// Drops what no longer counts, also of targets that are warm or gone.
    pub fn forget_old_sends(&mut self, now: Instant) {
        self.sends.retain(|_, sends| {
            let last = sends.back();
            last.is_some_and(|sent| *sent + WINDOW > now)
        });
    }

    /// Returns the number of targets whose requests are remembered.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns whether no target's requests are remembered.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    fn rank(&mut self, target: key::Target) -> usize {
        if let Some(rank) = self.ranks.get(&target) {
            return *rank;
        }
        let rank = rendezvous::rank(target.raw(), self.own, self.vms.iter().copied());
        if self.ranks.len() >= MAX_TARGETS {
            self.ranks.clear();
        }
        self.ranks.insert(target, rank);
        rank
    }
}
