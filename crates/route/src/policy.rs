//! The border behind which routing policies vary.

use {
    crate::{Action, Event},
    base::{Instant, Machine},
    std::fmt::Debug,
};

/// A routing policy: the product's own or a baseline to measure against.
pub trait Policy: Machine<Event = Event, Action = Action> + Debug + Send {
    /// Returns the name of the policy, as the settings and the load tool give it.
    fn name(&self) -> &'static str;

    /// Returns the number of requests that wait for a target.
    fn queued(&self) -> usize;
}

/// Runs one event and returns its actions.
pub fn step(policy: &mut dyn Policy, now: Instant, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    policy.handle(now, event, &mut actions);
    actions
}
