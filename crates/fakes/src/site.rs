//! Stand-ins for the users' platform as its pages describe it: the store, and targets of both kinds.
//!
//! They run inside the test, which sets what they do and looks at what they have seen.

pub mod store;
pub mod target;

pub use {store::Store, target::Target};
