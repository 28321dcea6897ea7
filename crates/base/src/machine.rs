//! The trait that all state machines implement.

use crate::Instant;

/// A state machine without I/O: events in, actions out.
///
/// A machine opens no sockets, starts no threads and reads no clock, and its randomness comes from
/// a seed, so the same events at the same instants give the same actions.
pub trait Machine {
    /// Input of the machine: what happened outside.
    type Event;
    /// Output of the machine: what the caller is to do.
    type Action;

    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: Instant, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// Returns when the machine wants its next tick, if it waits for one.
    fn next_timeout(&self) -> Option<Instant>;
}
