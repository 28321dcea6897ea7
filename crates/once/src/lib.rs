//! Non-idempotent calls, at most once, without a shared store.
//!
//! The right to run a call is bound to one incarnation of one entry VM. A ticket names it; a bare
//! key has a home by rendezvous hashing over the entry VMs of the configuration in force. The owner
//! keeps a record of each call, and a duplicate joins the first.

pub mod event;
pub mod id;
pub mod list;
pub mod record;
pub mod registry;
pub mod right;
pub mod settings;
pub mod ticket;

pub use {
    event::{Action, Call, Event, SealState, Source},
    id::Id,
    list::VmList,
    record::{Outcome, Replica, Reply},
    registry::Registry,
    settings::Settings,
    ticket::Ticket,
};
