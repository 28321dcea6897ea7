//! Which target holds which prefix: own routing first, the late and gappy cache events second.

use {
    base::{Instant, key},
    std::time::Duration,
};

/// Slots of the table; two for each set.
const SLOTS: usize = 1 << 15;
/// Age after which an own routing no longer counts as a held prefix.
const EXPIRY: Duration = Duration::from_secs(300);

#[derive(Clone, Copy, Debug)]
struct Slot {
    prefix: u64,
    target: key::Target,
    at: Instant,
}

/// A bounded table from prefix hashes to the targets that hold them.
#[derive(Debug)]
pub struct Table {
    slots: Box<[Option<Slot>]>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOTS].into_boxed_slice(),
        }
    }
}

impl Table {
    /// Notes that a target holds a prefix.
    pub fn store(&mut self, now: Instant, prefix: u64, target: key::Target) {
        let set = self.set(prefix);
        let oldest = set.iter_mut().min_by_key(|slot| match slot {
            Some(slot) if slot.prefix == prefix => (0, slot.at),
            None => (1, Instant::default()),
            Some(slot) => (2, slot.at),
        });
        if let Some(slot) = oldest {
            *slot = Some(Slot {
                prefix,
                target,
                at: now,
            });
        }
    }

    /// Notes that a target dropped a prefix.
    pub fn remove(&mut self, prefix: u64, target: key::Target) {
        for slot in self.set(prefix) {
            if slot.is_some_and(|held| held.prefix == prefix && held.target == target) {
                *slot = None;
            }
        }
    }

    /// Forgets what a target holds, after it could not be reached.
    ///
    /// A gap in its events is no reason: a prefix held wrongly only costs one score, and ages.
    pub fn forget(&mut self, target: key::Target) {
        for slot in &mut self.slots {
            if slot.is_some_and(|held| held.target == target) {
                *slot = None;
            }
        }
    }

    /// Returns the target that holds the longest of the prefixes, and that prefix's index.
    pub fn longest(&self, now: Instant, prefixes: &[u64]) -> Option<(usize, key::Target)> {
        let mut indexed = prefixes.iter().enumerate().rev();
        indexed.find_map(|(index, &prefix)| Some((index, self.find(now, prefix)?)))
    }

    fn find(&self, now: Instant, prefix: u64) -> Option<key::Target> {
        let begin = Self::begin(prefix);
        let mut slots = self.slots[begin..begin + 2].iter().flatten();
        let held = slots.find(|slot| slot.prefix == prefix && now.since(slot.at) < EXPIRY)?;
        Some(held.target)
    }

    fn set(&mut self, prefix: u64) -> &mut [Option<Slot>] {
        let begin = Self::begin(prefix);
        &mut self.slots[begin..begin + 2]
    }

    fn begin(prefix: u64) -> usize {
        (prefix as usize % (SLOTS / 2)) * 2
    }
}
