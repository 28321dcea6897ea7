//! The gateway daemon: connects the decisions of `dispatch` to sockets and timers.
//!
//! [`clients`] handles client requests, [`targets`] the connections to engines and services, and
//! [`control`] the communication with the platform, the other VMs and operators. [`Daemon`] runs
//! them all.

pub mod clients;
pub mod control;
pub mod daemon;
pub mod metrics;
pub mod shared;
pub mod targets;
pub mod tunnel;

pub use {daemon::Daemon, shared::Shared};
