//! Load of targets, as the VMs compute it and as targets report it.

use {derive_more::Display, std::ops::AddAssign};

/// Requests in flight of one or more VMs on one target, and the memory that they need there.
///
/// Memory is counted in tokens of the engine's KV cache.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests in flight.
    pub runs: u32,
    /// Memory that the runs are expected to need by the time they end.
    pub peak_memory: u32,
    /// Memory that the runs need now, including prompts that still await prefill.
    pub used_memory: u32,
    /// Prompt tokens that await prefill.
    pub pending_prefill: u32,
    /// Memory that copies of runs on other targets are expected to need.
    pub copy_memory: u32,
}

impl AddAssign for Load {
    fn add_assign(&mut self, rhs: Self) {
        // Peers may report any numbers.
        self.runs = self.runs.saturating_add(rhs.runs);
        self.peak_memory = self.peak_memory.saturating_add(rhs.peak_memory);
        self.used_memory = self.used_memory.saturating_add(rhs.used_memory);
        self.pending_prefill = self.pending_prefill.saturating_add(rhs.pending_prefill);
        self.copy_memory = self.copy_memory.saturating_add(rhs.copy_memory);
    }
}

/// Total load, of all VMs, that a target reports in the header of a response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{running} running, {waiting} waiting")]
pub struct Occupancy {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that are queued at the target for a slot or for memory.
    pub waiting: u32,
    /// Time that work takes on the target's host at this moment, in percent of the normal time.
    pub pace_percent: Option<u32>,
}

/// Time that work takes at a target, as measured by one or more VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Time relative to the expected one, in percent.
    pub percent: u32,
    /// Number of recent samples.
    pub weight: u32,
}
