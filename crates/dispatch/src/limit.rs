//! Keeps the rate at which a target in need takes requests from all VMs together.
//!
//! A target names the rate in its answers, so at first only one VM knows it. That VM tells the
//! others, and each VM announces what it sends to such a target. So all of them keep the same
//! schedule: each request takes a place of one interval in it, and none is sent while the schedule
//! is full. When it has a place again, each VM waits for a random part of an interval, so that few
//! take the same one. Those that do make the schedule run ahead, which delays the next requests.
//!
//! A brittle target falls over if it has to refuse many requests of all VMs in a second. Its
//! refusals are announced in the same way, and no VM sends to it while there were too many.

use {
    crate::report,
    base::{Instant, key, rendezvous},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Lower bound of a rate in requests per second; only an answer can show that a limit has ended.
const MIN_RATE: f64 = 1.0 / 30.0;
/// Number of intervals by which the schedule may be ahead when a request is sent.
const BURST: f64 = 1.0;
/// Share of an interval over which the VMs spread.
const SPREAD: f64 = 0.5;
/// Upper bound of the time over which the VMs spread.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Time for which the end of a limit is remembered, against older messages.
const ENDED_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum time for which a target is left alone at its own request.
const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Share of a brittle target's refusals that all VMs together risk in [`REFUSAL_WINDOW`].
const REFUSAL_SHARE: f64 = 0.5;
/// Window in which the refusals of a brittle target are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Time over which the VMs spread that send to a brittle target again.
const BRITTLE_SPREAD: Duration = Duration::from_millis(500);
/// Time after which a target that no answer has called brittle since no longer counts as such.
const BRITTLE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of targets whose notices are remembered.
const MAX_TARGETS: usize = 4_096;
/// Maximum number of targets in a message.
const MAX_SENT_TARGETS: usize = 128;

#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests per second.
    rate: f64,
    /// When an answer last named it.
    named: Instant,
    /// End of the schedule: when all requests so far have had their interval.
    scheduled: Instant,
    /// Requests of this VM that the others don't know of.
    unannounced: u32,
    /// Whether the others don't know the rate.
    is_new: bool,
}

impl Limit {
    fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate.max(MIN_RATE))
    }

    /// Takes places in the schedule.
    fn schedule(&mut self, requests: u32, now: Instant) {
        self.scheduled = self.scheduled.max(now) + self.interval() * requests;
    }

    /// Returns the time until a VM may send a request.
    fn delay(&self, vm: u64, now: Instant) -> Duration {
        let spread = self.interval().mul_f64(SPREAD).min(MAX_SPREAD);
        let random = rendezvous::weight(self.scheduled.as_micros(), vm) as f64 / u64::MAX as f64;
        let opened = self.scheduled + spread.mul_f64(random);
        opened
            .since(now)
            .saturating_sub(self.interval().mul_f64(BURST))
    }
}

/// A target that falls over if it has to refuse many requests.
#[derive(Debug)]
struct Brittle {
    /// Refusals per second beyond which it falls over.
    max_refusals: u32,
    /// When an answer last named the number.
    named: Instant,
    /// When it refused requests of any VM, for as long as that counts.
    refusals: VecDeque<Instant>,
    /// Refusals that have not been announced to the other VMs.
    unannounced: u32,
    /// Whether the number has not been announced.
    is_new: bool,
}

impl Brittle {
    fn record_refusals(&mut self, count: u32, now: Instant) {
        self.refusals
            .retain(|refused| now.since(*refused) < REFUSAL_WINDOW + BRITTLE_SPREAD);
        // More than these make no difference.
        let count = (count as usize).min(self.max_refusals as usize + 1);
        self.refusals.extend(std::iter::repeat_n(now, count));
    }

    /// Returns the time until a VM may send a request.
    fn delay(&self, vm: u64, now: Instant) -> Duration {
        let risked = (f64::from(self.max_refusals) * REFUSAL_SHARE).max(1.0) as usize;
        let Some(index) = self.refusals.len().checked_sub(risked) else {
            return Duration::ZERO;
        };
        let refused = self.refusals[index];
        let random = rendezvous::weight(refused.as_micros(), vm) as f64 / u64::MAX as f64;
        (refused + REFUSAL_WINDOW + BRITTLE_SPREAD.mul_f64(random)).since(now)
    }
}

/// The limits that targets have named, and the pauses that they have asked this VM for.
#[derive(Debug)]
pub struct Limits {
    /// Random number that identifies this process.
    vm: u64,
    rates: HashMap<key::Target, Limit>,
    /// When limits ended.
    ended: HashMap<key::Target, Instant>,
    /// Limits whose end the other VMs don't know of.
    unannounced_ends: Vec<key::Target>,
    brittle: HashMap<key::Target, Brittle>,
    /// Targets that want nothing from this VM until then.
    pauses: HashMap<key::Target, Instant>,
}

impl Limits {
    /// Starts without limits; `vm` identifies this process.
    pub fn new(vm: u64) -> Self {
        Self {
            vm,
            rates: HashMap::new(),
            ended: HashMap::new(),
            unannounced_ends: Vec::new(),
            brittle: HashMap::new(),
            pauses: HashMap::new(),
        }
    }

    /// Records whether an answer calls its target brittle, and from how many refusals per second.
    ///
    /// `sent` is when the request was sent. Returns whether that was unknown.
    pub fn record_brittle(
        &mut self,
        target: key::Target,
        max_refusals: Option<u32>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let Some(max_refusals) = max_refusals else {
            let known = self.brittle.get(&target);
            let has_ended = known.is_some_and(|brittle| brittle.named < sent);
            return has_ended && self.brittle.remove(&target).is_some();
        };
        let Some(brittle) = self.brittle_entry(target, max_refusals, now) else {
            return false;
        };
        let is_changed = brittle.is_new || brittle.max_refusals != max_refusals;
        brittle.is_new = is_changed;
        brittle.max_refusals = max_refusals;
        brittle.named = now;
        is_changed
    }

    fn brittle_entry(
        &mut self,
        target: key::Target,
        max_refusals: u32,
        named: Instant,
    ) -> Option<&mut Brittle> {
        if !self.brittle.contains_key(&target) && self.brittle.len() >= MAX_TARGETS {
            return None;
        }
        Some(self.brittle.entry(target).or_insert_with(|| Brittle {
            max_refusals,
            named,
            refusals: VecDeque::new(),
            unannounced: 0,
            is_new: true,
        }))
    }

    /// Records that a target refused a request for want of room; returns whether it is brittle.
    pub fn record_refusal(&mut self, target: key::Target, now: Instant) -> bool {
        let Some(brittle) = self.brittle.get_mut(&target) else {
            return false;
        };
        brittle.record_refusals(1, now);
        brittle.unannounced += 1;
        true
    }

    /// Returns the targets that fall over if they have to refuse many requests.
    pub fn brittle(&self, now: Instant) -> impl Iterator<Item = key::Target> {
        let brittle = self.brittle.iter();
        brittle
            .filter(move |(_, brittle)| now.since(brittle.named) < BRITTLE_LIFETIME)
            .map(|(target, _)| *target)
    }

    /// Returns the time until a brittle target takes a request.
    fn brittle_delay(&self, target: key::Target, now: Instant) -> Duration {
        let brittle = self.brittle.get(&target);
        brittle.map_or(Duration::ZERO, |brittle| brittle.delay(self.vm, now))
    }

    /// Records what an answer says: the rate that the target takes, or none if there is no limit.
    ///
    /// `sent` is when the request was sent; an answer may be older than a limit. Returns whether
    /// that was unknown.
    pub fn record_answer(
        &mut self,
        target: key::Target,
        rate: Option<f64>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let Some(rate) = rate else {
            let known = self.rates.get(&target);
            let has_ended = known.is_some_and(|limit| limit.named < sent);
            if has_ended {
                self.end(target, now);
                self.unannounced_ends.push(target);
            }
            return has_ended;
        };
        if !self.rates.contains_key(&target) && self.rates.len() >= MAX_TARGETS {
            return false;
        }
        let limit = self.rates.entry(target).or_insert(Limit {
            rate,
            named: now,
            scheduled: now,
            unannounced: 0,
            is_new: true,
        });
        let is_changed = limit.is_new || (limit.rate - rate).abs() > f64::EPSILON;
        limit.is_new = is_changed;
        limit.rate = rate;
        limit.named = now;
        is_changed
    }

    /// Records that a target wants nothing from this VM for a time.
    ///
    /// A pause that ends later holds on. If there are too many, those that end first are dropped.
    pub fn pause(&mut self, target: key::Target, duration: Duration, now: Instant) {
        let until = now + duration.min(MAX_PAUSE);
        let known = self.pauses.entry(target).or_insert(until);
        *known = until.max(*known);
        if self.pauses.len() > MAX_TARGETS {
            self.drop_early_pauses();
        }
    }

    /// Drops the half of the pauses that end first, so that this is rarely needed.
    fn drop_early_pauses(&mut self) {
        let mut pauses: Vec<_> = self.pauses.drain().collect();
        pauses.sort_unstable_by_key(|(_, until)| *until);
        self.pauses.extend(pauses.into_iter().skip(MAX_TARGETS / 2));
    }

    /// Returns the targets that want nothing from this VM now.
    pub fn paused(&self, now: Instant) -> impl Iterator<Item = key::Target> {
        let pauses = self.pauses.iter();
        pauses
            .filter(move |(_, until)| **until > now)
            .map(|(target, _)| *target)
    }

    /// Returns the targets that take no request now.
    pub fn closed(&self, now: Instant) -> Vec<key::Target> {
        let limits = self.rates.iter();
        let full = limits.filter(|(_, limit)| !limit.delay(self.vm, now).is_zero());
        let brittle = self.brittle.keys().copied();
        full.map(|(target, _)| *target)
            .chain(self.paused(now))
            .chain(brittle.filter(|target| !self.brittle_delay(*target, now).is_zero()))
            .collect()
    }

    /// Returns the time until a target takes a request; zero if it does now.
    pub fn delay(&self, target: key::Target, now: Instant) -> Duration {
        let limit = self.rates.get(&target);
        let limited = limit.map_or(Duration::ZERO, |limit| limit.delay(self.vm, now));
        let pause = self.pauses.get(&target);
        limited
            .max(pause.map_or(Duration::ZERO, |until| until.since(now)))
            .max(self.brittle_delay(target, now))
    }

    /// Records a request that this VM sends to a target; returns whether the others must be told.
    pub fn record_sent(&mut self, target: key::Target, now: Instant) -> bool {
        let limit = self.rates.get_mut(&target);
        let is_limited = limit.is_some();
        if let Some(limit) = limit {
            limit.schedule(1, now);
            limit.unannounced = limit.unannounced.saturating_add(1);
        }
        is_limited
    }

    /// Removes the limits of targets that are no longer listed.
    ///
    /// A pause ends by its time only, as the entry of a target may lapse and return.
    pub fn retain(&mut self, is_known: impl Fn(key::Target) -> bool) {
        self.rates.retain(|target, _| is_known(*target));
        self.brittle.retain(|target, _| is_known(*target));
    }

    /// Returns the number of targets with a limit.
    pub fn len(&self) -> usize {
        self.rates.len()
    }

    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    /// Returns what the other VMs don't know; `None` if nothing.
    pub fn take_news(&mut self, now: Instant) -> Option<report::Limits> {
        let mut entries = Vec::new();
        for target in std::mem::take(&mut self.unannounced_ends) {
            entries.push(report::TargetLimit {
                target: target.raw(),
                is_ended: true,
                ..report::TargetLimit::default()
            });
        }
        for (target, limit) in &mut self.rates {
            if limit.is_new || limit.unannounced > 0 {
                entries.push(report::TargetLimit {
                    sent: std::mem::take(&mut limit.unannounced),
                    ..encode(*target, limit, now)
                });
                limit.is_new = false;
            }
        }
        let mut brittle_entries = Vec::new();
        for (target, brittle) in &mut self.brittle {
            if brittle.is_new || brittle.unannounced > 0 {
                brittle_entries.push(report::BrittleTarget {
                    refused: std::mem::take(&mut brittle.unannounced),
                    ..encode_brittle(*target, brittle, now)
                });
                brittle.is_new = false;
            }
        }
        let has_news = !entries.is_empty() || !brittle_entries.is_empty();
        has_news.then_some(report::Limits {
            entries,
            brittle: brittle_entries,
        })
    }

    /// Returns messages with all limits, for VMs that have missed some.
    pub fn snapshot(&self, now: Instant) -> Vec<report::Limits> {
        let limits = self.rates.iter();
        let entries: Vec<_> = limits
            .map(|(target, limit)| report::TargetLimit {
                backlog_ms: u32::try_from(limit.scheduled.since(now).as_millis())
                    .unwrap_or(u32::MAX),
                ..encode(*target, limit, now)
            })
            .collect();
        let brittle: Vec<_> = self
            .brittle
            .iter()
            .map(|(target, brittle)| encode_brittle(*target, brittle, now))
            .collect();
        let of_limits = entries
            .chunks(MAX_SENT_TARGETS)
            .map(|entries| report::Limits {
                entries: entries.to_vec(),
                ..report::Limits::default()
            });
        let of_brittle = brittle
            .chunks(MAX_SENT_TARGETS)
            .map(|brittle| report::Limits {
                brittle: brittle.to_vec(),
                ..report::Limits::default()
            });
        of_limits.chain(of_brittle).collect()
    }

    /// Adds what another VM knows.
    pub fn receive(&mut self, message: &report::Limits, now: Instant) {
        self.ended
            .retain(|_, ended| now.since(*ended) < ENDED_LIFETIME);
        for entry in &message.brittle {
            self.receive_brittle(entry, now);
        }
        for entry in &message.entries {
            let target = key::Target::from_raw(entry.target);
            if entry.is_ended {
                self.end(target, now);
                continue;
            }
            let age = Duration::from_millis(entry.age_ms.into());
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let named = Instant::from_micros(now.as_micros().saturating_sub(age));
            let is_outdated = self.ended.get(&target).is_some_and(|ended| *ended >= named);
            let is_known = self.rates.contains_key(&target);
            if is_outdated || !is_known && self.rates.len() >= MAX_TARGETS {
                continue;
            }
            let limit = self.rates.entry(target).or_insert(Limit {
                rate: entry.rate,
                named,
                scheduled: now,
                unannounced: 0,
                is_new: false,
            });
            if named >= limit.named {
                limit.named = named;
                limit.rate = entry.rate;
            }
            limit.schedule(entry.sent, now);
            let backlog = Duration::from_millis(entry.backlog_ms.into());
            limit.scheduled = limit.scheduled.max(now + backlog);
        }
    }

    /// Adds another VM's announcement of a brittle target.
    fn receive_brittle(&mut self, message: &report::BrittleTarget, now: Instant) {
        let age = Duration::from_millis(message.age_ms.into());
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let named = Instant::from_micros(now.as_micros().saturating_sub(age));
        if now.since(named) >= BRITTLE_LIFETIME {
            return;
        }
        let target = key::Target::from_raw(message.target);
        let is_known = self.brittle.contains_key(&target);
        let Some(brittle) = self.brittle_entry(target, message.max_refusals, named) else {
            return;
        };
        brittle.is_new &= is_known;
        if named >= brittle.named {
            brittle.named = named;
            brittle.max_refusals = message.max_refusals;
        }
        brittle.record_refusals(message.refused, now);
    }

    fn end(&mut self, target: key::Target, now: Instant) {
        if self.rates.remove(&target).is_some() && self.ended.len() < MAX_TARGETS {
            self.ended.insert(target, now);
        }
    }
}

fn encode_brittle(target: key::Target, brittle: &Brittle, now: Instant) -> report::BrittleTarget {
    report::BrittleTarget {
        target: target.raw(),
        max_refusals: brittle.max_refusals,
        age_ms: u32::try_from(now.since(brittle.named).as_millis()).unwrap_or(u32::MAX),
        refused: 0,
    }
}

fn encode(target: key::Target, limit: &Limit, now: Instant) -> report::TargetLimit {
    report::TargetLimit {
        target: target.raw(),
        rate: limit.rate,
        age_ms: u32::try_from(now.since(limit.named).as_millis()).unwrap_or(u32::MAX),
        ..report::TargetLimit::default()
    }
}
