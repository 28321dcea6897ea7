//! Tests of the registry's state machine: one registry, and several entry VMs under faults.

mod faults;
mod interleaving;
mod liveness;
mod rules;
mod world;
