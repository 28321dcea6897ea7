//! Which targets are leaving, according to local observations and the records of peers.

use {
    base::{Instant, key},
    derive_more::{Debug, Display},
    std::{collections::HashMap, time::Duration},
    wire::msg,
};

/// How long an observation that a target is leaving overrides later ones that it is not.
///
/// The platform's list and the targets' load reports lag behind, so only
/// [`Observation::Restarted`] takes effect earlier.
pub const HOLD_TIME: Duration = Duration::from_secs(60);

/// What this VM observed of a target itself.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Observation {
    /// The target refused work because it is leaving.
    Refused,
    /// The target's load report says that it is leaving.
    ReportedLeaving,
    /// The target's load report says that it is not leaving.
    ReportedLive,
    /// The target's load report shows a new process that is not leaving.
    Restarted,
    /// The platform's list says that the target is leaving, or no longer names it.
    ListedLeaving,
    /// The platform's list says that the target is live.
    ListedLive,
}

impl Observation {
    /// Returns whether the target is leaving according to this observation.
    pub fn is_leaving(self) -> bool {
        !matches!(
            self,
            Self::ReportedLive | Self::Restarted | Self::ListedLive
        )
    }

    /// Returns whether the target itself is the source, not the platform's list.
    fn is_from_target(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::ReportedLeaving | Self::ReportedLive | Self::Restarted
        )
    }
}

/// The departure record of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Rises with each change of `leaving`; of two records the one with the higher number wins.
    pub sequence: u64,
    /// When leaving was last observed here or the record was taken from a peer.
    last_confirmed: Instant,
    /// Whether this VM knows it from the platform's list or peers only, not from the target itself.
    is_only_listed: bool,
}

/// The departure records of all targets.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    targets: HashMap<key::Target, Departure>,
    /// Sequence number of the newest load report of each target.
    report_sequences: HashMap<key::Target, u64>,
}

impl Departures {
    /// Returns whether a target is leaving.
    pub fn is_leaving(&self, target: key::Target) -> bool {
        self.targets
            .get(&target)
            .is_some_and(|departure| departure.leaving)
    }

    /// Iterates over the records, also of targets that are no longer leaving.
    pub fn iter(&self) -> impl Iterator<Item = (key::Target, &Departure)> {
        self.targets
            .iter()
            .map(|(target, departure)| (*target, departure))
    }

    /// Turns a load report into an observation.
    ///
    /// A sequence number that falls below half of the newest one means a new process. A smaller
    /// fall means nothing, since reports overtake each other by a few numbers.
    pub fn classify_report(
        &mut self,
        target: key::Target,
        sequence: u64,
        leaving: bool,
    ) -> Observation {
        let newest = self.report_sequences.entry(target).or_insert(sequence);
        let restarted = sequence < *newest / 2;
        if restarted || sequence > *newest {
            *newest = sequence;
        }
        match (leaving, restarted) {
            (true, _) => Observation::ReportedLeaving,
            (false, true) => Observation::Restarted,
            (false, false) => Observation::ReportedLive,
        }
    }

    /// Applies an observation of this VM; returns whether the target's state changed.
    pub fn observe(&mut self, now: Instant, target: key::Target, observation: Observation) -> bool {
        if observation.is_leaving() {
            return self.mark_leaving(now, target, observation);
        }
        let Some(departure) = self.targets.get_mut(&target) else {
            return false;
        };
        let is_held = observation != Observation::Restarted
            && now.since(departure.last_confirmed) < HOLD_TIME;
        let may_revoke = observation.is_from_target() || departure.is_only_listed;
        if !departure.leaving || is_held || !may_revoke {
            return false;
        }
        departure.leaving = false;
        departure.sequence += 1;
        true
    }

    fn mark_leaving(
        &mut self,
        now: Instant,
        target: key::Target,
        observation: Observation,
    ) -> bool {
        let is_only_listed = !observation.is_from_target();
        let Some(departure) = self.targets.get_mut(&target) else {
            let departure = Departure {
                leaving: true,
                sequence: 1,
                last_confirmed: now,
                is_only_listed,
            };
            self.targets.insert(target, departure);
            return true;
        };
        departure.last_confirmed = now;
        if departure.leaving {
            departure.is_only_listed &= is_only_listed;
            return false;
        }
        departure.is_only_listed = is_only_listed;
        departure.leaving = true;
        departure.sequence += 1;
        true
    }

    /// Merges a peer's record; returns whether the target's state changed.
    ///
    /// The higher sequence number wins; of two records with the same one, the one that says
    /// leaving. Returns `None` if the record is no newer than the known one.
    pub fn merge(&mut self, now: Instant, record: msg::Departure) -> Option<bool> {
        let target = key::Target::from_raw(record.target);
        let known = self.targets.get(&target).copied();
        let current = known.map_or((0, false), |known| (known.sequence, known.leaving));
        if (record.sequence, record.leaving) <= current {
            return None;
        }
        let departure = Departure {
            leaving: record.leaving,
            sequence: record.sequence,
            last_confirmed: now,
            is_only_listed: known.is_none_or(|known| known.is_only_listed),
        };
        self.targets.insert(target, departure);
        Some(current.1 != record.leaving)
    }

    /// Returns the record of a target as sent to peers; `None` if there is none.
    pub(crate) fn to_message(&self, target: key::Target) -> Option<msg::Departure> {
        let departure = self.targets.get(&target)?;
        Some(msg::Departure {
            target: target.raw(),
            leaving: departure.leaving,
            sequence: departure.sequence,
        })
    }
}
