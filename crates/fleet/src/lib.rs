//! Cluster membership and configuration distribution among entry VMs, without I/O.
//!
//! Two state machines: [`Membership`] detects failures and gossips over datagrams. [`Spread`]
//! decides when to fetch a configuration from the platform or a peer, and which one is active.

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
