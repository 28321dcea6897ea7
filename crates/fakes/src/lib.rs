//! Fakes of the system's surroundings: engines, plain services, the platform and a faulty network.
//!
//! Each fake is a module with a settings struct and a `serve` function, so that it runs as a
//! process of its own or embedded in another one.

pub mod command;
pub mod engine;
pub mod http;
pub mod platform;
pub mod proxy;
pub mod service;
pub mod site;
pub mod sync;

pub use command::run;
