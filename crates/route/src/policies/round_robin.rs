//! The baseline that sends requests to the targets in turn.

use {
    crate::{
        Policy,
        policies::baseline::{Baseline, Choice},
        target::Target,
    },
    base::key,
};

/// Name of the policy.
pub const NAME: &str = "round_robin";

/// Makes the policy; the seed says where the turn begins.
pub fn make(seed: u64, _data_centre: key::DataCentre) -> Box<dyn Policy> {
    Box::new(Baseline::new(Box::new(RoundRobin {
        turn: seed as usize,
    })))
}

#[derive(Debug)]
struct RoundRobin {
    turn: usize,
}

impl Choice for RoundRobin {
    fn name(&self) -> &'static str {
        NAME
    }

    fn choose(&mut self, candidates: &[&Target]) -> Option<usize> {
        let chosen = self.turn.checked_rem(candidates.len())?;
        self.turn = self.turn.wrapping_add(1);
        Some(chosen)
    }
}
