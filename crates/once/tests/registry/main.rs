//! The registry's state machine: several entry VMs under faults.

mod faults;
mod interleaving;
mod liveness;
mod rules;
mod world;
