//! Deployment files and process settings.
//!
//! A deployment is published as one INI value and read into a [`Snapshot`] as a whole or not at
//! all. Process settings are a smaller INI file of each entry VM.

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
