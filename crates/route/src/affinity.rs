//! Which target caches which prompt prefix, from own dispatches and the targets' cache events.
//!
//! Own dispatches are recorded at once. Cache events come late and some are lost, so they only
//! correct the table.

use {
    base::{Instant, key},
    std::time::Duration,
};

/// Slots of the table, which is two-way set associative.
const SLOT_COUNT: usize = 1 << 15;
/// Age after which an entry no longer counts.
const ENTRY_TTL: Duration = Duration::from_secs(300);

#[derive(Clone, Copy, Debug)]
struct Entry {
    prefix: u64,
    target: key::Target,
    stored_at: Instant,
}

/// A bounded table from prefix hashes to the targets that cache them.
#[derive(Debug)]
pub struct Table {
    slots: Box<[Option<Entry>]>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOT_COUNT].into_boxed_slice(),
        }
    }
}

impl Table {
    /// Records that a target caches a prefix.
    ///
    /// It replaces the earlier entry of the prefix, else takes an empty slot, else the oldest one.
    pub fn insert(&mut self, now: Instant, prefix: u64, target: key::Target) {
        let set = self.set_mut(prefix);
        let replaced = set.iter_mut().min_by_key(|slot| match slot {
            Some(entry) if entry.prefix == prefix => (0, entry.stored_at),
            None => (1, Instant::default()),
            Some(entry) => (2, entry.stored_at),
        });
        if let Some(slot) = replaced {
            *slot = Some(Entry {
                prefix,
                target,
                stored_at: now,
            });
        }
    }

    /// Records that a target evicted a prefix.
    pub fn remove(&mut self, prefix: u64, target: key::Target) {
        for slot in self.set_mut(prefix) {
            if slot.is_some_and(|entry| entry.prefix == prefix && entry.target == target) {
                *slot = None;
            }
        }
    }

    /// Removes all prefixes of a removed target.
    ///
    /// It is not needed when cache events are lost: a stale prefix only skews a score until it
    /// expires.
    pub fn remove_target(&mut self, target: key::Target) {
        for slot in &mut self.slots {
            if slot.is_some_and(|entry| entry.target == target) {
                *slot = None;
            }
        }
    }

    /// Returns the target that caches the longest of the prefixes, and that prefix's index.
    pub fn find_longest(&self, now: Instant, prefixes: &[u64]) -> Option<(usize, key::Target)> {
        let mut indexed = prefixes.iter().enumerate().rev();
        indexed.find_map(|(index, &prefix)| Some((index, self.find(now, prefix)?)))
    }

    fn find(&self, now: Instant, prefix: u64) -> Option<key::Target> {
        let start = Self::set_start(prefix);
        let mut slots = self.slots[start..start + 2].iter().flatten();
        let entry =
            slots.find(|entry| entry.prefix == prefix && now.since(entry.stored_at) < ENTRY_TTL)?;
        Some(entry.target)
    }

    fn set_mut(&mut self, prefix: u64) -> &mut [Option<Entry>] {
        let start = Self::set_start(prefix);
        &mut self.slots[start..start + 2]
    }

    fn set_start(prefix: u64) -> usize {
        (prefix as usize % (SLOT_COUNT / 2)) * 2
    }
}
