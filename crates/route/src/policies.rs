//! The routing policies, one file each, all listed in [`POLICIES`].

mod baseline;
pub mod least_in_flight;
pub mod predictive;
pub mod round_robin;
pub mod two_choices;

use {crate::Policy, base::key};

/// Creates a policy from the seed of its random generator and the data centre of this VM.
pub type Constructor = fn(u64, key::DataCentre) -> Box<dyn Policy>;

/// The policies by name, the default first.
pub const POLICIES: [(&str, Constructor); 4] = [
    (predictive::NAME, predictive::make),
    (least_in_flight::NAME, least_in_flight::make),
    (round_robin::NAME, round_robin::make),
    (two_choices::NAME, two_choices::make),
];

/// The names of the policies, the default first.
pub const NAMES: [&str; POLICIES.len()] = names();

const fn names() -> [&'static str; POLICIES.len()] {
    let mut names = [""; POLICIES.len()];
    let mut index = 0;
    while index < names.len() {
        names[index] = POLICIES[index].0;
        index += 1;
    }
    names
}

/// Creates the policy of a name; `None` if there is no such policy.
///
/// `predictive-MECHANISM` is the predictive policy with that mechanism disabled.
pub fn make(name: &str, seed: u64, data_centre: key::DataCentre) -> Option<Box<dyn Policy>> {
    if let Some((predictive::NAME, mechanism)) = name.split_once('-') {
        return predictive::make_without(mechanism, seed, data_centre);
    }
    let (_, make) = POLICIES.iter().find(|(candidate, _)| *candidate == name)?;
    Some(make(seed, data_centre))
}
