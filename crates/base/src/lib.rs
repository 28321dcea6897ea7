//! Shared types of the system: keys, verdicts, refusals, clocks and the form of the state machines.

pub mod arena;
pub mod clock;
pub mod key;
pub mod machine;
pub mod refusal;
pub mod rendezvous;
pub mod sealed;
pub mod verdict;

pub use clock::{Clock, Instant};
pub use machine::Machine;
pub use refusal::{Reason, Refusal};
pub use verdict::Verdict;
