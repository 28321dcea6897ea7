//! The baseline that chooses the target with the fewest in-flight attempts of this VM.

use {
    crate::{
        Policy,
        policies::baseline::{Baseline, Strategy},
        target::Target,
    },
    base::key,
};

/// Name of the policy.
pub const NAME: &str = "least_in_flight";

/// Creates the policy.
pub fn make(_seed: u64, _data_centre: key::DataCentre) -> Box<dyn Policy> {
    Box::new(Baseline::new(Box::new(LeastInFlight)))
}

#[derive(Debug)]
struct LeastInFlight;

impl Strategy for LeastInFlight {
    fn name(&self) -> &'static str {
        NAME
    }

    fn choose(&mut self, candidates: &[&Target]) -> Option<usize> {
        (0..candidates.len()).min_by_key(|&index| candidates[index].in_flight)
    }
}
