//! The interface of routing policies.

use {
    crate::{Action, Event},
    base::{Instant, Machine},
    std::fmt::Debug,
};

/// A routing policy: the predictive one or a baseline for comparison.
pub trait Policy: Machine<Event = Event, Action = Action> + Debug + Send {
    /// Returns the name of the policy in the settings and the load tool.
    fn name(&self) -> &'static str;

    /// Returns the number of requests that wait for a target.
    fn queued(&self) -> usize;
}

/// Handles one event and returns the resulting actions.
pub fn step(policy: &mut dyn Policy, now: Instant, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    policy.handle(now, event, &mut actions);
    actions
}
