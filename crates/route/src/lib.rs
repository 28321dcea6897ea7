//! Admission, queueing and choice of target under unknown output lengths.

pub mod event;
pub mod policies;
pub mod policy;
pub mod target;

pub use {
    event::{Action, Cause, Decision, Event, Load, Outcome, Request},
    policy::Policy,
};
