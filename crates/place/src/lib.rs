//! Desired placement of models and adapters on engines, and the orders that bring it about.
//!
//! [`desired::assign`] is a pure function of the configuration, the targets that are not leaving
//! and the demand. [`Placement`] is the state machine of one entry VM, which sends orders only to
//! the engines assigned to that VM. Each order carries a fencing token, see [`Fence`].

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
