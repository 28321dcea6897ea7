//! Towards the platform, the other VMs and the operators.

pub mod admin;
pub mod backoff;
pub mod configuration;
pub mod current;
pub mod discovery;
pub mod drain;
pub mod fleet;
pub mod inquiry;
pub mod reports;
