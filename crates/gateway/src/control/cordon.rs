//! The data centres that the operator has cordoned, from the store or from peers.

use {
    crate::Shared,
    derive_more::Display,
    dispatch::{
        cordon::{Applied, Set},
        report,
    },
    platform::store::Cordoned,
    std::{
        collections::BTreeSet,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Where a set comes from, for the log.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
enum Source {
    Store,
    Peer,
}

/// Result of applying a response of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The known set includes the response, and has the same names as before.
    Unchanged,
    /// The known set includes the response, and has other names than before.
    Changed,
    /// The set must be read as a whole.
    Incomplete,
}

#[derive(Debug, Default)]
struct State {
    cordon: dispatch::Cordon,
    /// Whether it was logged that keys are ignored.
    is_ignoring_logged: bool,
}

/// The cordoned data centres, if the settings permit that there are any.
#[derive(Debug)]
pub struct Cordon {
    is_enabled: bool,
    state: Mutex<State>,
}

impl Cordon {
    /// Starts without a known set; unless it is enabled, none is needed and nothing is cordoned.
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            state: Mutex::default(),
        }
    }

    /// Returns whether data centres may be cordoned.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns whether the set is known or not needed.
    pub fn is_known(&self) -> bool {
        !self.is_enabled || self.lock().cordon.set().is_some()
    }

    /// Returns the position of the store that the known set is from.
    pub fn position(&self) -> Option<dispatch::Position> {
        self.lock().cordon.set().map(Set::position)
    }

    /// Returns whether a data centre is cordoned.
    ///
    /// This also holds for targets that are no longer listed.
    pub fn contains(&self, data_centre: &str) -> bool {
        if !self.is_enabled {
            return false;
        }
        let state = self.lock();
        let set = state.cordon.set();
        set.is_some_and(|set| set.names().contains(data_centre))
    }

    /// Returns the names of the cordoned data centres.
    pub fn names(&self) -> BTreeSet<Box<str>> {
        names(&self.lock())
    }

    /// Returns the set for the reports to peers.
    pub fn report(&self) -> Option<report::Cordon> {
        self.lock().cordon.set().map(Set::to_report)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes over what a response of the store says, which includes everything up to `until`.
pub fn apply(shared: &Shared, cordoned: Cordoned, until: u64) -> Outcome {
    let cordon = &shared.cordon;
    if !cordon.is_enabled {
        return Outcome::Unchanged;
    }
    // Locked until the targets are marked, so that two changes are not applied in the wrong order.
    let mut state = cordon.lock();
    let before = names(&state);
    let is_changed = match cordoned {
        Cordoned::Unknown => false,
        Cordoned::Set(set) => state.cordon.replace(set),
        Cordoned::Changes { after, changes } => match state.cordon.apply(after, until, changes) {
            Applied::Complete { is_changed } => is_changed,
            Applied::Incomplete => return Outcome::Incomplete,
        },
    };
    log_ignored(&mut state);
    if !is_changed {
        return Outcome::Unchanged;
    }
    mark_targets(shared, &state, &before, Source::Store);
    Outcome::Changed
}

/// Takes over the set that a peer reports if it is of a later position.
pub fn receive(shared: &Shared, message: &report::Cordon) {
    let cordon = &shared.cordon;
    if !cordon.is_enabled {
        return;
    }
    let mut state = cordon.lock();
    let before = names(&state);
    if state.cordon.replace(Set::from_report(message)) {
        mark_targets(shared, &state, &before, Source::Peer);
    }
}

fn names(state: &State) -> BTreeSet<Box<str>> {
    state
        .cordon
        .set()
        .map(Set::names)
        .cloned()
        .unwrap_or_default()
}

/// Marks the targets of the cordoned data centres, and logs which these are.
fn mark_targets(shared: &Shared, state: &State, before: &BTreeSet<Box<str>>, source: Source) {
    let Some(set) = state.cordon.set() else {
        return;
    };
    shared
        .directory
        .update(|listing| listing.set_cordoned(set.names()));
    let position = set.position();
    log::info!(
        target: "cordon", cordoned = join(set.names()), before = join(before), source:% = source,
        era = position.era, revision = position.revision;
        "cordoned data centres are known"
    );
    if !shared.directory.has_list() {
        return;
    }
    let targets = shared.directory.all();
    for name in set.names().difference(before) {
        if targets.iter().all(|target| target.data_centre != *name) {
            log::warn!(target: "cordon", data_centre:% = name; "no target is in the cordoned data centre");
        }
    }
}

/// Logs once that keys are ignored, until none are.
fn log_ignored(state: &mut State) {
    let ignored = state.cordon.set().map_or(0, Set::ignored);
    let was_logged = std::mem::replace(&mut state.is_ignoring_logged, ignored > 0);
    if ignored > 0 && !was_logged {
        log::warn!(target: "cordon", ignored; "keys that cordon data centres are ignored: too many, or the names are too long");
    }
}

/// Returns names for the log, separated by commas.
pub fn join(names: &BTreeSet<Box<str>>) -> String {
    names
        .iter()
        .map(|name| &**name)
        .collect::<Vec<_>>()
        .join(",")
}
