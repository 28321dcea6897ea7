//! Upstream side: connections, the directory of targets and the dispatcher that chooses among them.

pub mod client;
pub mod directory;
pub mod dispatcher;
pub mod meter;
pub mod notice;
pub mod path;
