//! When a VM that doesn't watch the store reads what it has missed.
//!
//! Changes are sent once, in datagrams, and apply to the state that the sender had. Whatever makes
//! the lists of two VMs differ (a lost datagram, a removal between two reads of the whole list, a
//! restored store) shows in the digests that VMs announce which watch the store.

use {
    crate::revision::State,
    base::Instant,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Time for which a difference must last, as changes are usually in transit.
const MIN_DELAY: Duration = Duration::from_millis(150);
/// Maximum random extension of [`MIN_DELAY`], so that VMs don't read all at once.
const SPREAD: Duration = Duration::from_millis(250);
/// The same in a large fleet, where more VMs read and bounds are longer.
const LARGE_FLEET_SPREAD: Duration = Duration::from_millis(600);

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing is missing, as far as is known.
    Idle,
    /// Nothing until this time.
    Wait(Instant),
    /// Read the changes since the known position.
    ReadChanges,
    /// Read the whole list.
    ReadList,
}

/// A difference between this VM's list and the announced one.
#[derive(Clone, Copy, Debug)]
struct Difference {
    due: Instant,
    has_read_changes: bool,
}

/// Decides when to read the list of targets, and how much of it.
#[derive(Debug)]
pub struct CatchUp {
    random: SmallRng,
    difference: Option<Difference>,
    /// Announced digest that remained different after the whole list was read: the other VM's list
    /// is the one that lacks something.
    disputed: Option<u64>,
}

impl CatchUp {
    /// Creates the state of a VM; VMs with different seeds choose different delays.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            difference: None,
            disputed: None,
        }
    }

    /// Decides what to do, given this VM's list and the newest announced one.
    ///
    /// An announced list that is older than this VM's is not compared.
    pub fn step(
        &mut self,
        own: State,
        announced: Option<State>,
        is_large_fleet: bool,
        now: Instant,
    ) -> Step {
        let is_missing = |announced: &State| {
            announced.position >= own.position
                && (announced.position.era > own.position.era || announced.digest != own.digest)
        };
        let Some(announced) = announced.filter(is_missing) else {
            self.difference = None;
            return Step::Idle;
        };
        if self.disputed == Some(announced.digest) {
            return Step::Idle;
        }
        let spread = if is_large_fleet {
            LARGE_FLEET_SPREAD
        } else {
            SPREAD
        };
        let random = &mut self.random;
        let difference = self.difference.get_or_insert_with(|| Difference {
            due: now + MIN_DELAY + spread.mul_f64(random.random_range(0.0..1.0)),
            has_read_changes: false,
        });
        if now < difference.due {
            return Step::Wait(difference.due);
        }
        let has_read_changes = std::mem::replace(&mut difference.has_read_changes, true);
        if has_read_changes || announced.position.era > own.position.era {
            return Step::ReadList;
        }
        Step::ReadChanges
    }

    /// Records that the whole list was read while `announced` was the newest announced one.
    pub fn record_list(&mut self, own: State, announced: Option<State>) {
        self.difference = None;
        let announced = announced.filter(|announced| announced.digest != own.digest);
        self.disputed = announced.map(|announced| announced.digest);
    }
}
