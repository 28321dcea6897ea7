//! Types shared by all crates: keys, verdicts, refusals, clocks and the state machine trait.

pub mod arena;
pub mod clock;
pub mod key;
pub mod machine;
pub mod refusal;
pub mod rendezvous;
pub mod sealed;
pub mod transfer;
pub mod verdict;

pub use clock::{Clock, Instant};
pub use machine::Machine;
pub use refusal::{Reason, Refusal};
pub use verdict::Verdict;
