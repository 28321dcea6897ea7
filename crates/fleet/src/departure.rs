//! Which targets are leaving, judged by all that is heard of them.

use {
    base::{Instant, key},
    derive_more::{Debug, Display},
    std::{collections::HashMap, time::Duration},
    wire::msg,
};

/// How long a notice stands against later reports that contradict it; the platform's list and
/// the targets' load reports lag.
pub const HOLD: Duration = Duration::from_secs(60);

/// What this VM learned of a target by itself.
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
    /// The platform's list says that it is leaving, or no longer names it.
    ListedLeaving,
    /// The platform's list says that it is live.
    ListedLive,
}

impl Observation {
    /// Returns whether the notice says that the target is leaving.
    pub fn is_leaving(self) -> bool {
        !matches!(
            self,
            Self::ReportedLive | Self::Restarted | Self::ListedLive
        )
    }

    /// Returns whether the target itself said it.
    fn is_own(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::ReportedLeaving | Self::ReportedLive | Self::Restarted
        )
    }
}

/// The newest news of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Number of the news; rises with each one that contradicts or confirms an older one.
    pub sequence: u64,
    /// When leaving was last confirmed here.
    confirmed: Instant,
    /// Whether only the list said so.
    listed: bool,
}

/// The news of all targets.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    targets: HashMap<key::Target, Departure>,
    /// Sequence of the newest load report of each target.
    reports: HashMap<key::Target, u64>,
}

impl Departures {
    /// Returns whether a target is leaving.
    pub fn is_leaving(&self, target: key::Target) -> bool {
        self.targets
            .get(&target)
            .is_some_and(|departure| departure.leaving)
    }

    /// Iterates over the news.
    pub fn iter(&self) -> impl Iterator<Item = (key::Target, &Departure)> {
        self.targets
            .iter()
            .map(|(target, departure)| (*target, departure))
    }

    /// Returns what a load report says; a sequence that fell far back means a new process.
    ///
    /// Reports overtake each other by a few numbers, so a smaller fall means nothing.
    pub fn read_report(
        &mut self,
        target: key::Target,
        sequence: u64,
        leaving: bool,
    ) -> Observation {
        let newest = self.reports.entry(target).or_insert(sequence);
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

    /// Takes a notice of this VM; returns whether what is believed of the target changed.
    pub fn observe(&mut self, now: Instant, target: key::Target, observation: Observation) -> bool {
        if observation.is_leaving() {
            return self.confirm(now, target, observation);
        }
        let Some(departure) = self.targets.get_mut(&target) else {
            return false;
        };
        let standing =
            observation != Observation::Restarted && now.since(departure.confirmed) < HOLD;
        let entitled = observation.is_own() || departure.listed;
        if !departure.leaving || standing || !entitled {
            return false;
        }
        departure.leaving = false;
        departure.sequence += 1;
        true
    }

    fn confirm(&mut self, now: Instant, target: key::Target, observation: Observation) -> bool {
        let listed = !observation.is_own();
        let Some(departure) = self.targets.get_mut(&target) else {
            let departure = Departure {
                leaving: true,
                sequence: 1,
                confirmed: now,
                listed,
            };
            self.targets.insert(target, departure);
            return true;
        };
        departure.confirmed = now;
        if departure.leaving {
            departure.listed &= listed;
            return false;
        }
        departure.listed = listed;
        departure.leaving = true;
        departure.sequence += 1;
        true
    }

    /// Takes the news of a peer; returns whether what is believed of the target changed.
    ///
    /// The higher number wins; of two with one number, the one that says leaving.
    pub fn merge(&mut self, now: Instant, news: msg::Departure) -> Option<bool> {
        let target = key::Target::from_raw(news.target);
        let older = self.targets.get(&target).copied();
        let known = older.map_or((0, false), |own| (own.sequence, own.leaving));
        if (news.sequence, news.leaving) <= known {
            return None;
        }
        let departure = Departure {
            leaving: news.leaving,
            sequence: news.sequence,
            confirmed: now,
            listed: older.is_none_or(|own| own.listed),
        };
        self.targets.insert(target, departure);
        Some(known.1 != news.leaving)
    }

    /// Writes the news of a target.
    pub(crate) fn write(&self, target: key::Target) -> Option<msg::Departure> {
        let departure = self.targets.get(&target)?;
        Some(msg::Departure {
            target: target.raw(),
            leaving: departure.leaving,
            sequence: departure.sequence,
        })
    }
}
