//! The baseline that samples two targets and chooses the one with fewer of this VM's attempts.

use {
    crate::{
        Policy,
        policies::baseline::{Baseline, Strategy},
        target::Target,
    },
    base::key,
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Name of the policy.
pub const NAME: &str = "two_choices";

/// Creates the policy.
pub fn make(seed: u64, _data_centre: key::DataCentre) -> Box<dyn Policy> {
    Box::new(Baseline::new(Box::new(TwoChoices {
        random: SmallRng::seed_from_u64(seed),
    })))
}

#[derive(Debug)]
struct TwoChoices {
    random: SmallRng,
}

impl Strategy for TwoChoices {
    fn name(&self) -> &'static str {
        NAME
    }

    fn choose(&mut self, candidates: &[&Target]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..candidates.len());
        let second = self.random.random_range(0..candidates.len());
        [first, second]
            .into_iter()
            .min_by_key(|&index| candidates[index].in_flight)
    }
}
