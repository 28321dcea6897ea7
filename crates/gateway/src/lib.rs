//! The gateway daemon: sockets and timers around the decisions of `dispatch`.
//!
//! [`clients`] faces the clients, [`targets`] the engines and services, [`control`] the platform,
//! the other VMs and the operators. [`Daemon`] joins them.

pub mod clients;
pub mod control;
pub mod daemon;
pub mod metrics;
pub mod shared;
pub mod targets;

pub use {daemon::Daemon, shared::Shared};
