//! Fakes of the users' platform around the gateway: its store, engines and plain services.
//!
//! They run inside the test process; the test configures them and inspects what they received.

pub mod flood;
pub mod link;
pub mod partition;
pub mod store;
pub mod target;

pub use {flood::Flooder, link::Network, store::Store, target::Target};
