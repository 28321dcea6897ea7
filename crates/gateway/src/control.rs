//! Control plane: the platform's store, the other VMs and operators.

pub mod admin;
pub mod backoff;
pub mod configuration;
pub mod confirmation;
pub mod cordon;
pub mod current;
pub mod discovery;
pub mod drain;
pub mod encoding;
pub mod fleet;
pub mod history;
pub mod inquiry;
pub mod origins;
pub mod probation;
pub mod quarantine;
pub mod reach;
pub mod reports;
pub mod status;
pub mod transfer;
