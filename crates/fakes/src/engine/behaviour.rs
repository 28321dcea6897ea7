//! Fault injection for a fake engine, controlled by tests.

use {
    serde::Deserialize,
    std::collections::{BTreeMap, VecDeque},
};

/// Exit code of an engine process that `die_after` ends.
pub const CRASH_EXIT_CODE: i32 = 70;

/// Faults to inject, the body of `POST /test/behaviour`.
///
/// Periods and positions count the events of one connection; a period of 0 disables its fault.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Sends every Nth event twice.
    pub duplicate_every: u64,
    /// Omits every Nth event.
    pub gap_every: u64,
    /// Sends every Nth event after the one that follows it.
    pub reorder_every: u64,
    /// Sends an event of another request before every Nth event.
    pub cross_every: u64,
    /// Delay before each event in milliseconds.
    pub late_ms: u64,
    /// Refuses new generations before they start.
    pub refuse: bool,
    /// Refuses new generations because the engine is leaving.
    pub leaving: bool,
    /// Omits from the load report that the engine is leaving.
    pub unreported: bool,
    /// Exits the process once a connection has sent this many events.
    pub die_after: Option<u64>,
    /// Stops sending on a connection, heartbeats included, after this many events; it stays open.
    pub silent_after: Option<u64>,
    /// Aborts a connection after this many events.
    pub break_after: Option<u64>,
    /// Number of stream connections that the stream faults apply to; `None` for all.
    pub times: Option<u64>,
}

impl Behaviour {
    /// Returns whether a fault with this period is due at a position, counted from 1.
    pub(super) fn is_due(every: u64, position: u64) -> bool {
        every > 0 && position.is_multiple_of(every)
    }
}

/// Active faults and the count of faults injected so far.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub behaviour: Behaviour,
    remaining_connections: Option<u64>,
    recent_requests: VecDeque<Box<str>>,
    injected: BTreeMap<&'static str, u64>,
}

impl Faults {
    pub(super) fn new(behaviour: Behaviour) -> Self {
        Self {
            remaining_connections: behaviour.times,
            behaviour,
            ..Self::default()
        }
    }

    /// Replaces the active faults.
    pub(super) fn set(&mut self, behaviour: Behaviour) {
        self.remaining_connections = behaviour.times;
        self.behaviour = behaviour;
    }

    /// Returns the faults for a new stream connection and counts it against the limit.
    pub(super) fn for_connection(&mut self) -> Behaviour {
        match &mut self.remaining_connections {
            None => self.behaviour.clone(),
            Some(0) => Behaviour::default(),
            Some(remaining) => {
                *remaining -= 1;
                self.behaviour.clone()
            }
        }
    }

    /// Adds a request to the recent ones and returns a different recent request id.
    pub(super) fn other_request(&mut self, request: &str) -> Box<str> {
        if !self
            .recent_requests
            .iter()
            .any(|recent| &**recent == request)
        {
            self.recent_requests.push_back(request.into());
        }
        if self.recent_requests.len() > 16 {
            self.recent_requests.pop_front();
        }
        let other = self
            .recent_requests
            .iter()
            .find(|recent| &***recent != request);
        other.cloned().unwrap_or_else(|| "another-request".into())
    }

    /// Counts an injected fault.
    pub(super) fn record(&mut self, fault: &'static str) {
        *self.injected.entry(fault).or_default() += 1;
    }

    /// Returns the number of injections by fault.
    pub(super) fn injected(&self) -> &BTreeMap<&'static str, u64> {
        &self.injected
    }
}
