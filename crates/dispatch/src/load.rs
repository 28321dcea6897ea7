//! What is in progress at a target, as one VM knows it.

use {derive_more::Display, std::ops::AddAssign};

/// Work of one VM, or of several, at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub runs: u32,
    /// Tokens of memory that they are expected to need at their ends.
    pub memory: u32,
    /// Tokens of memory that they need by now, prompts that are still to be read included.
    pub held: u32,
    /// Tokens of prompts that have not been read yet.
    pub prefill: u32,
    /// Tokens of memory that copies of runs at other targets are expected to need.
    pub copies: u32,
}

impl AddAssign for Load {
    fn add_assign(&mut self, rhs: Self) {
        self.runs += rhs.runs;
        self.memory += rhs.memory;
        self.held += rhs.held;
        self.prefill += rhs.prefill;
        self.copies += rhs.copies;
    }
}

/// What a target says of itself on an answer: all that it has, of all VMs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{running} running, {waiting} waiting")]
pub struct Occupancy {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there for a slot or for memory.
    pub waiting: u32,
}
