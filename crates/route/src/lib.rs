//! Admission, queueing and choice of target under unknown output lengths.

pub mod affinity;
pub mod budget;
pub mod event;
pub mod fair_queue;
pub mod length;
pub mod limit;
pub mod memory;
pub mod outlier;
pub mod policies;
pub mod policy;
pub mod target;

pub use {
    event::{Action, Cause, Decision, Event, Load, Outcome, Request},
    policy::Policy,
};
