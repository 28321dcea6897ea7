//! Desired placement of models and adapters, and the orders that bring it about.
//!
//! [`desired::assign`] is a pure function of the configuration, the targets that are not leaving
//! and the demand. [`Placement`] is the state machine of one entry VM, which orders only for the
//! engines that it is responsible for.

pub mod demand;
pub mod desired;
pub mod event;
pub mod fence;
pub mod placement;

pub use {
    event::{Action, EngineState, Event, Outcome},
    fence::Fence,
    placement::Placement,
};
