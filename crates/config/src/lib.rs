//! Deployment files and process settings.
//!
//! A deployment is published as a single INI value and parsed into a [`Snapshot`]; if it has any
//! fault, the whole value is rejected. Process settings are a separate INI file on each VM.

pub mod deployment;
pub mod diagnostic;
pub mod difference;
pub mod fault;
pub mod gateway;
pub mod ini;
pub mod parse;
pub mod settings;
pub mod source;
pub mod unit;
mod value;

pub use deployment::Snapshot;
pub use fault::Fault;
pub use gateway::Gateway;
pub use settings::Settings;
pub use source::Source;
