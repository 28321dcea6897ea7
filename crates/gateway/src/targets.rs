//! Towards engines and services: connections, the list of targets, and where requests go.

pub mod client;
pub mod directory;
pub mod dispatcher;
