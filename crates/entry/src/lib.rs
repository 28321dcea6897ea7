//! The entry daemon: connects the state machines of the other crates to sockets and timers.
//!
//! [`daemon::Daemon`] runs the process of one entry VM. Most other modules are tasks of it that
//! work on the shared [`context::Context`].

pub mod admin;
pub mod answer;
pub mod cache;
pub mod call;
pub mod caller;
pub mod configuration;
pub mod context;
pub mod daemon;
pub mod deployment;
pub mod drain;
pub mod engine;
pub mod error;
pub mod exchange;
pub mod generation;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod inner;
pub mod logs;
pub mod metrics;
pub mod observed;
pub mod orders;
pub mod owner;
pub mod probe;
pub mod prompt;
pub mod relay;
pub mod router;
pub mod runtime;
pub mod secret;
pub mod session;
pub mod sse;
pub mod subset;
pub mod ticket;
pub mod timed;
pub mod witness;

pub use {context::Context, daemon::Daemon, error::Error, exchange::Exchange};
