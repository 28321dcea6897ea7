//! The data centres that the operator has taken out of service.
//!
//! The load that this addresses is the traffic that a data centre under maintenance would still get:
//! its targets are healthy and registered, so that nothing else keeps requests away from them.
//!
//! Each VM has the whole set as of a position of the store. A set is replaced by a later one and
//! never merged with another, so a deleted key can't come back from a VM that has missed the deletion.

use {
    crate::{report, revision::Position},
    std::collections::BTreeSet,
};

/// Maximum number of cordoned data centres; a deployment has 3 to 5.
pub const MAX_NAMES: usize = 64;
/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// The cordoned data centres as of a position of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Set {
    position: Position,
    names: BTreeSet<Box<str>>,
    /// Number of keys that were left out.
    ignored: usize,
}

impl Set {
    /// Creates the set that the store has at `position`.
    ///
    /// Invalid names are left out, and of too many names the last ones in alphabetical order, so that
    /// all VMs leave out the same.
    pub fn new(position: Position, names: impl IntoIterator<Item = Box<str>>) -> Self {
        let mut set = Self {
            position,
            ..Self::default()
        };
        for name in names {
            set.insert(name);
        }
        set
    }

    /// Decodes the set of another VM.
    pub fn from_report(cordon: &report::Cordon) -> Self {
        let position = Position {
            era: cordon.era,
            revision: cordon.revision,
        };
        Self::new(
            position,
            cordon.names.iter().map(|name| name.as_str().into()),
        )
    }

    /// Encodes the set for the reports to other VMs.
    pub fn to_report(&self) -> report::Cordon {
        report::Cordon {
            era: self.position.era,
            revision: self.position.revision,
            names: self.names.iter().map(ToString::to_string).collect(),
        }
    }

    /// Returns the position of the store that the set is from.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the names of the cordoned data centres.
    pub fn names(&self) -> &BTreeSet<Box<str>> {
        &self.names
    }

    /// Returns the number of keys that were left out, as they are too many or too long.
    pub fn ignored(&self) -> usize {
        self.ignored
    }

    fn insert(&mut self, name: Box<str>) {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            self.ignored += 1;
            return;
        }
        self.names.insert(name);
        if self.names.len() > MAX_NAMES {
            self.names.pop_last();
            self.ignored += 1;
        }
    }
}

/// A change of one of the operator's keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision of the store at which it was made.
    pub revision: u64,
    /// Name of the data centre.
    pub name: Box<str>,
    /// Whether the key was written; otherwise it was deleted.
    pub is_cordoned: bool,
}

/// Result of [`Cordon::apply`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The set includes the changes; states whether its names have changed.
    Complete {
        /// Whether names were added or removed.
        is_changed: bool,
    },
    /// The set can't be derived from the changes and must be read as a whole; it is unchanged.
    Incomplete,
}

/// The newest known set; none until it was read or received for the first time.
#[derive(Debug, Default)]
pub struct Cordon {
    set: Option<Set>,
}

impl Cordon {
    /// Returns the known set.
    pub fn set(&self) -> Option<&Set> {
        self.set.as_ref()
    }

    /// Replaces the set if `set` is of a later position; returns whether names have changed, or are
    /// known for the first time.
    pub fn replace(&mut self, set: Set) -> bool {
        let known = self.set.as_ref();
        if known.is_some_and(|known| known.position >= set.position) {
            return false;
        }
        let is_changed = known.is_none_or(|known| known.names != set.names);
        self.set = Some(set);
        is_changed
    }

    /// Applies the changes that the store has made between two positions of one era, in their order.
    pub fn apply(&mut self, after: Position, until: u64, changes: Vec<Change>) -> Applied {
        let Some(known) = &self.set else {
            return Applied::Incomplete;
        };
        if known.position.era > after.era {
            // Another VM has reported the set of a later era meanwhile.
            return Applied::Complete { is_changed: false };
        }
        if known.position < after {
            return Applied::Incomplete;
        }
        let mut set = known.clone();
        for change in changes {
            if change.revision <= known.position.revision {
                continue;
            }
            if change.is_cordoned {
                set.insert(change.name);
            } else if set.names.len() >= MAX_NAMES {
                // A name that was left out may take the place.
                return Applied::Incomplete;
            } else {
                set.names.remove(&change.name);
            }
        }
        set.position.revision = set.position.revision.max(until);
        let is_changed = set.names != known.names;
        self.set = Some(set);
        Applied::Complete { is_changed }
    }
}
