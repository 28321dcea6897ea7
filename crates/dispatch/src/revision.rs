//! Which changes of the store a VM has.
//!
//! Changes arrive from the store and from peers, in any order and more than once, so each entry is
//! compared by itself.

use {
    base::{key, rendezvous},
    std::collections::HashMap,
};

/// Revisions for which a removal is remembered; responses that come later than that are lost.
const REMOVAL_LIFETIME: u64 = 1_000;

/// A point in the store's history.
///
/// Revisions are only comparable within an era: a store that was restored from a backup begins a
/// new one, goes back and assigns the same revisions to other changes.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of times that the history has begun anew; 0 if the store doesn't report it.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}

/// What a VM has of the store, in a form in which two VMs can compare it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct State {
    /// Point up to which all changes are known.
    pub position: Position,
    /// Hash of all listed entries with their revisions.
    pub digest: u64,
}

/// The newest change of an entry.
#[derive(Clone, Copy, Debug)]
struct Change {
    revision: u64,
    /// Whether it added or updated the entry; otherwise it removed it.
    is_listed: bool,
}

/// The newest known change of each entry.
#[derive(Debug, Default)]
pub struct Revisions {
    /// Point up to which all changes are known.
    position: Position,
    /// Revision of the last change.
    last_change: u64,
    /// Also of entries that were removed not long ago.
    changes: HashMap<key::Target, Change>,
}

impl Revisions {
    /// Returns the point up to which all changes are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the revision of the last change, with its era.
    pub fn last_change(&self) -> Position {
        Position {
            era: self.position.era,
            revision: self.last_change,
        }
    }

    /// Returns the number of entries of which a change is remembered.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns whether no change is remembered.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns what is compared with other VMs.
    pub fn state(&self) -> State {
        let listed = self.changes.iter().filter(|(_, change)| change.is_listed);
        let hashes =
            listed.map(|(target, change)| rendezvous::weight(target.raw(), change.revision));
        State {
            position: self.position,
            digest: hashes.fold(0, u64::wrapping_add),
        }
    }

    /// Returns whether a listed entry is known in the state that it had at a revision.
    pub fn has(&self, target: key::Target, revision: u64) -> bool {
        let known = self.changes.get(&target);
        revision > 0 && known.is_some_and(|known| known.is_listed && known.revision == revision)
    }

    /// Records a change of an entry; returns whether it is newer than the known one.
    ///
    /// A change without a revision always is.
    pub fn record(&mut self, target: key::Target, revision: u64, is_listed: bool) -> bool {
        let known = self.changes.get(&target);
        if revision > 0 && known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        let change = Change {
            revision,
            is_listed,
        };
        self.changes.insert(target, change);
        true
    }

    /// Advances the point up to which all changes are known, and the revision of the last change.
    pub fn advance(&mut self, revision: u64, last_change: u64) {
        self.position.revision = self.position.revision.max(revision).max(last_change);
        if last_change > self.last_change {
            self.last_change = last_change;
            let first = last_change.saturating_sub(REMOVAL_LIFETIME);
            self.changes
                .retain(|_, change| change.is_listed || change.revision > first);
        }
    }

    /// Replaces everything by a full list that was read at `position`.
    ///
    /// Returns the entries of which a change is known that is newer than the list: those it lacks
    /// or has in an older state.
    pub fn replace(
        &mut self,
        position: Position,
        listed: impl Iterator<Item = (key::Target, u64)>,
    ) -> Vec<key::Target> {
        if position.era != self.position.era {
            *self = Self::default();
        }
        let listed: HashMap<_, _> = listed.collect();
        self.changes.retain(|target, change| {
            let in_list = listed.get(target).copied().unwrap_or(position.revision);
            change.revision > in_list
        });
        let newer = self.changes.keys().copied().collect();
        for (target, revision) in listed {
            self.record(target, revision, true);
        }
        self.position.era = position.era;
        // The list contains all changes up to its position, also those that have removed an entry.
        self.advance(position.revision, position.revision);
        newer
    }
}
