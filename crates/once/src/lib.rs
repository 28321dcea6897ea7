//! At-most-once execution of non-idempotent calls without a shared store.
//!
//! Only one incarnation of one entry VM, the owner, may run a call. A ticket names its owner; the
//! owner of a bare key (an idempotency key without a ticket) is chosen by rendezvous hashing over
//! the entry VMs of the configuration in force. The owner keeps a record of each call, so that a
//! duplicate waits for the outcome of the first.
//!
//! In a planned stop a VM hands its records and keys over to their successors. When a new
//! configuration moves a key, the new owner first has the previous ones seal it. An owner that
//! can't exclude an earlier run refuses the key as in doubt.

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
