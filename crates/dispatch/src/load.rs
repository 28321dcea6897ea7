//! What is in progress at a target, as one VM knows it.

use {derive_more::Display, std::ops::AddAssign};

/// Work of one VM, or of several, at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub runs: u32,
    /// Tokens of memory that they are expected to need at their ends.
    pub peak_memory: u32,
    /// Tokens of memory that they need by now, prompts that are still to be read included.
    pub used_memory: u32,
    /// Tokens of prompts that have not been read yet.
    pub pending_prefill: u32,
    /// Tokens of memory that copies of runs at other targets are expected to need.
    pub copy_memory: u32,
}

impl AddAssign for Load {
    fn add_assign(&mut self, rhs: Self) {
        self.runs += rhs.runs;
        self.peak_memory += rhs.peak_memory;
        self.used_memory += rhs.used_memory;
        self.pending_prefill += rhs.pending_prefill;
        self.copy_memory += rhs.copy_memory;
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
