//! Restricts what is sent to a target that has failed a request, until it has served one.
//!
//! Engines that fail every request at once and come back by turns (1.1 s up, 1.1 s down) look idle
//! after each back-off, so all VMs choose them, and each request that must not be sent again is
//! lost. Here such a target is in the half-open state of a circuit breaker, with real requests as
//! probes: each VM sends it one request at a time, and only those that can be repeated elsewhere.
//! There is no agreement. Each VM applies the rule to the failures that it has seen or was told of.

use {
    crate::listing::Target,
    base::{Instant, key},
    derive_more::Display,
    std::{collections::HashMap, time::Duration},
};

/// Maximum number of targets that are remembered; further ones are not restricted.
const MAX_TARGETS: usize = 4_096;
/// Maximum number of changes that are kept for the log between two calls that take them.
const MAX_CHANGES: usize = 32;

/// How a request may use targets on probation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Access {
    /// Whether it may be sent elsewhere if the target fails.
    pub is_repeatable: bool,
    /// Whether it would be rejected if no other target has room.
    pub is_last_resort: bool,
}

/// Why a target began or ended its probation.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// It failed a request of this VM.
    Failed,
    /// A peer or a summary named it as failing.
    Reported,
    /// It served a request of this VM.
    Served,
    /// It has not been named as failing for the time of the setting.
    Expired,
}

/// The begin or end of a target's probation, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The target.
    pub target: key::Target,
    /// Why its probation began or ended.
    pub cause: Cause,
}

impl Change {
    /// Returns whether the target is on probation from then on.
    pub fn is_begin(&self) -> bool {
        matches!(self.cause, Cause::Failed | Cause::Reported)
    }
}

/// Changes since they were last taken.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The first ones, in order.
    pub changes: Vec<Change>,
    /// Number of further ones.
    pub omitted: u64,
}

impl Changes {
    fn push(&mut self, target: key::Target, cause: Cause) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(Change { target, cause });
        } else {
            self.omitted += 1;
        }
    }
}

/// What is known of a target that has failed.
#[derive(Clone, Copy, Debug)]
struct Failing {
    /// When the last failure became known that had not been named before.
    failed: Instant,
    /// When it was last named as failing, also for a failure that was known already.
    named: Instant,
    /// Number of peers that named it as of their last reports.
    reporters: u32,
    /// Whether it has served a request of this VM that was sent after the last failure.
    has_served: bool,
}

/// The targets that have failed requests, of this VM or of its peers.
#[derive(Debug)]
pub struct Probation {
    /// Time for which a target stays on probation after it was last named; `None` if none is ever.
    duration: Option<Duration>,
    targets: HashMap<key::Target, Failing>,
    changes: Changes,
}

impl Probation {
    /// Starts without failures; without a duration, nothing is recorded or restricted.
    pub fn new(duration: Option<Duration>) -> Self {
        Self {
            duration,
            targets: HashMap::new(),
            changes: Changes::default(),
        }
    }

    /// Returns whether targets may be on probation.
    pub fn is_enabled(&self) -> bool {
        self.duration.is_some()
    }

    /// Records that a target failed a request of this VM.
    pub fn record_failure(&mut self, target: key::Target, now: Instant) {
        self.expire(now);
        self.begin(target, Cause::Failed, now);
    }

    /// Forgets the failures that no peer names, as they were this VM's own.
    pub fn forget_own(&mut self) {
        self.targets.retain(|_, failing| failing.reporters > 0);
    }

    /// Replaces the number of peers that name each target as failing.
    ///
    /// A peer names a target for as long as it avoids it, so after a success only a higher number
    /// than before is another failure.
    pub fn set_reporters(&mut self, counts: &key::Map<key::Target, u32>, now: Instant) {
        if self.duration.is_none() {
            return;
        }
        self.expire(now);
        for (target, failing) in &mut self.targets {
            if !counts.contains_key(target) {
                failing.reporters = 0;
            }
        }
        for (&target, &count) in counts {
            let known = self.targets.get(&target).copied();
            if known.is_none_or(|failing| count > failing.reporters) {
                self.begin(target, Cause::Reported, now);
            }
            if let Some(failing) = self.targets.get_mut(&target) {
                failing.reporters = count;
                failing.named = now;
            }
        }
    }

    /// Records that a target served a request of this VM: its first event or its whole response.
    ///
    /// A request that was sent before the failure became known proves nothing.
    pub fn record_served(&mut self, target: key::Target, sent: Instant, now: Instant) {
        self.expire(now);
        let Some(failing) = self.targets.get_mut(&target) else {
            return;
        };
        if sent >= failing.failed && !failing.has_served {
            failing.has_served = true;
            self.changes.push(target, Cause::Served);
        }
    }

    /// Returns the targets that don't get a request while another target has room.
    ///
    /// `targets` are those that the request may use; if all of them are on probation, none is.
    /// `is_busy` states whether a request of this VM is in flight at a target.
    pub fn closed<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target> + Clone,
        access: Access,
        is_busy: impl Fn(key::Target) -> bool,
        now: Instant,
    ) -> Vec<key::Target> {
        if self.targets.is_empty() {
            return Vec::new();
        }
        let keys = targets.map(|target| target.key);
        if keys.clone().all(|target| self.is_on_probation(target, now)) {
            return Vec::new();
        }
        let closed = keys.filter(|target| {
            self.is_on_probation(*target, now) && (!access.is_repeatable || is_busy(*target))
        });
        closed.collect()
    }

    /// Returns whether a target is on probation.
    pub fn is_on_probation(&self, target: key::Target, now: Instant) -> bool {
        let failing = self.targets.get(&target);
        failing.is_some_and(|failing| !failing.has_served && self.is_recent(failing, now))
    }

    /// Returns the targets on probation.
    pub fn targets(&self, now: Instant) -> impl Iterator<Item = key::Target> + '_ {
        let targets = self.targets.keys().copied();
        targets.filter(move |target| self.is_on_probation(*target, now))
    }

    /// Returns which targets have begun or ended their probation since the last call.
    pub fn take_changes(&mut self, now: Instant) -> Changes {
        self.expire(now);
        std::mem::take(&mut self.changes)
    }

    /// Puts a target on probation because of a failure that was not known before.
    fn begin(&mut self, target: key::Target, cause: Cause, now: Instant) {
        let is_full = self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(&target);
        if self.duration.is_none() || is_full {
            return;
        }
        let before = self.targets.get(&target).copied();
        if before.is_none_or(|failing| failing.has_served) {
            self.changes.push(target, cause);
        }
        let failing = Failing {
            failed: now,
            named: now,
            reporters: before.map_or(0, |failing| failing.reporters),
            has_served: false,
        };
        self.targets.insert(target, failing);
    }

    /// Forgets the targets that have not been named lately.
    fn expire(&mut self, now: Instant) {
        let Some(duration) = self.duration else {
            return;
        };
        let changes = &mut self.changes;
        self.targets.retain(|target, failing| {
            let is_recent = now.since(failing.named) < duration;
            if !is_recent && !failing.has_served {
                changes.push(*target, Cause::Expired);
            }
            is_recent
        });
    }

    fn is_recent(&self, failing: &Failing, now: Instant) -> bool {
        let duration = self.duration;
        duration.is_some_and(|duration| now.since(failing.named) < duration)
    }
}
