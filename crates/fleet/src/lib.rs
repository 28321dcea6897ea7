//! Members of the system, their failures and departures, and the spread of configurations.
//!
//! Two state machines: [`Membership`] detects failures and gossips over datagrams, [`Spread`]
//! decides when to ask the platform and the peers for a configuration and which one is in force.

pub mod budget;
pub mod departure;
pub mod event;
pub mod member;
pub mod membership;
mod message;
mod probe;
pub mod spread;
pub mod version;

pub use {
    departure::Observation,
    event::{Action, Event},
    member::{Member, State},
    membership::Membership,
    spread::Spread,
    version::Version,
};
