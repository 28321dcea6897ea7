//! Faults of an engine, switched by tests.

use {
    serde::Deserialize,
    std::collections::{BTreeMap, VecDeque},
};

/// Exit code of an engine that was told to die.
pub const DEATH: i32 = 70;

/// Faults, as the body of `POST /test/behaviour`; positions count the events of one connection.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Each event at a multiple of this position is sent twice.
    pub duplicate_every: u64,
    /// Each event at a multiple of this position is left out.
    pub gap_every: u64,
    /// Each event at a multiple of this position is sent after the next one.
    pub reorder_every: u64,
    /// Before each event at a multiple of this position an event of another request is sent.
    pub cross_every: u64,
    /// Delay of each event in milliseconds.
    pub late_ms: u64,
    /// Generations are refused before the start.
    pub refuse: bool,
    /// Generations are refused before the start, since the engine is leaving.
    pub leaving: bool,
    /// The load report does not tell that the engine is leaving.
    pub unreported: bool,
    /// The process dies once a connection has sent this many events.
    pub die_after: Option<u64>,
    /// A connection goes silent once it has sent this many events, without heartbeats.
    pub silent_after: Option<u64>,
    /// Connections that break off once they have sent this many events.
    pub break_after: Option<u64>,
    /// Number of connections to which the faults of streams apply; all if `None`.
    pub times: Option<u64>,
}

impl Behaviour {
    /// Returns whether a fault with this period strikes at a position, counted from 1.
    pub(super) fn strikes(period: u64, position: u64) -> bool {
        period > 0 && position.is_multiple_of(period)
    }
}

/// The faults in force, with how often they may still strike.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub behaviour: Behaviour,
    left: Option<u64>,
    recent: VecDeque<Box<str>>,
    struck: BTreeMap<&'static str, u64>,
}

impl Faults {
    pub(super) fn new(behaviour: Behaviour) -> Self {
        Self {
            left: behaviour.times,
            behaviour,
            ..Self::default()
        }
    }

    /// Sets other faults.
    pub(super) fn set(&mut self, behaviour: Behaviour) {
        self.left = behaviour.times;
        self.behaviour = behaviour;
    }

    /// Returns the faults of a new stream connection.
    pub(super) fn of_connection(&mut self) -> Behaviour {
        match &mut self.left {
            None => self.behaviour.clone(),
            Some(0) => Behaviour::default(),
            Some(left) => {
                *left -= 1;
                self.behaviour.clone()
            }
        }
    }

    /// Remembers a request, for events that cross; returns another recent one.
    pub(super) fn cross(&mut self, request: &str) -> Box<str> {
        if !self.recent.iter().any(|recent| &**recent == request) {
            self.recent.push_back(request.into());
        }
        if self.recent.len() > 16 {
            self.recent.pop_front();
        }
        let other = self.recent.iter().find(|recent| &***recent != request);
        other.cloned().unwrap_or_else(|| "another-request".into())
    }

    /// Counts a fault that struck.
    pub(super) fn count(&mut self, fault: &'static str) {
        *self.struck.entry(fault).or_default() += 1;
    }

    /// Returns how often each fault struck.
    pub(super) fn struck(&self) -> &BTreeMap<&'static str, u64> {
        &self.struck
    }
}
