//! The baseline that rotates through the targets.

use {
    crate::{
        Policy,
        policies::baseline::{Baseline, Strategy},
        target::Target,
    },
    base::key,
};

/// Name of the policy.
pub const NAME: &str = "round_robin";

/// Creates the policy; the seed sets the first index.
pub fn make(seed: u64, _data_centre: key::DataCentre) -> Box<dyn Policy> {
    Box::new(Baseline::new(Box::new(RoundRobin {
        next_index: seed as usize,
    })))
}

#[derive(Debug)]
struct RoundRobin {
    next_index: usize,
}

impl Strategy for RoundRobin {
    fn name(&self) -> &'static str {
        NAME
    }

    fn choose(&mut self, candidates: &[&Target]) -> Option<usize> {
        let chosen = self.next_index.checked_rem(candidates.len())?;
        self.next_index = self.next_index.wrapping_add(1);
        Some(chosen)
    }
}
