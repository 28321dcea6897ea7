//! The common form of the state machines.

use crate::Instant;

/// A state machine without I/O: events in, actions out.
///
/// A machine opens no sockets, starts no threads and reads no clock; randomness comes from a seed.
/// The same events at the same instants give the same actions.
pub trait Machine {
    /// What the world tells the machine.
    type Event;
    /// What the machine asks of the world.
    type Action;

    /// Takes one event and appends the resulting actions.
    fn handle(&mut self, now: Instant, event: Self::Event, actions: &mut Vec<Self::Action>);

    /// Returns when the machine wants its next tick, if it waits for one.
    fn next_timeout(&self) -> Option<Instant>;
}
