//! The known targets, as requests read them.

use {
    arc_swap::ArcSwap,
    base::{Instant, key},
    dispatch::{Listing, listing::Target},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// Targets of each service.
type Groups = HashMap<key::Service, Arc<[Target]>>;

/// The list of targets, replaced as a whole when it changes.
#[derive(Debug, Default)]
pub struct Directory {
    listing: Mutex<Listing>,
    groups: ArcSwap<Groups>,
    has_listed: AtomicBool,
    /// Revision of the store up to which all changes are known.
    known: AtomicU64,
    /// Revision of the last change.
    changed: AtomicU64,
}

impl Directory {
    /// Returns the targets of a service.
    pub fn of(&self, service: key::Service) -> Arc<[Target]> {
        self.groups
            .load()
            .get(&service)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns all known targets.
    pub fn all(&self) -> Vec<Target> {
        let groups = self.groups.load();
        let targets = groups.values().flat_map(|group| group.iter());
        targets.cloned().collect()
    }

    /// Returns a target by its key.
    pub fn find(&self, target: key::Target) -> Option<Target> {
        let groups = self.groups.load();
        let mut targets = groups.values().flat_map(|group| group.iter());
        targets.find(|known| known.key == target).cloned()
    }

    /// Returns whether a target is known and stays.
    pub fn stays(&self, target: key::Target) -> bool {
        self.find(target).is_some_and(|target| !target.is_leaving)
    }

    /// Returns the keys of targets that leave.
    pub fn leaving(&self) -> Vec<key::Target> {
        let groups = self.groups.load();
        let targets = groups.values().flat_map(|group| group.iter());
        targets
            .filter(|target| target.is_leaving)
            .map(|target| target.key)
            .collect()
    }

    /// Returns how many targets stay and how many leave.
    pub fn count(&self) -> [(bool, u64); 2] {
        let groups = self.groups.load();
        let mut counts = [(false, 0), (true, 0)];
        for target in groups.values().flat_map(|group| group.iter()) {
            counts[usize::from(target.is_leaving)].1 += 1;
        }
        counts
    }

    /// Returns whether a list of the store was ever read.
    pub fn has_listed(&self) -> bool {
        self.has_listed.load(Ordering::Acquire)
    }

    /// Returns the store's revision up to which all changes are known.
    pub fn known(&self) -> u64 {
        self.known.load(Ordering::Relaxed)
    }

    /// Returns the store's revision of the last change.
    pub fn changed(&self) -> u64 {
        self.changed.load(Ordering::Relaxed)
    }

    /// Notes that all changes up to a revision are known, the last of which had another.
    pub fn raise(&self, known: u64, changed: u64) {
        self.known.fetch_max(known.max(changed), Ordering::Relaxed);
        self.changed.fetch_max(changed, Ordering::Relaxed);
    }

    /// Changes the list; `change` returns whether anything changed.
    pub fn update(&self, change: impl FnOnce(&mut Listing) -> bool) -> bool {
        let mut listing = self.listing.lock().unwrap_or_else(PoisonError::into_inner);
        if !change(&mut listing) {
            return false;
        }
        let mut groups: HashMap<key::Service, Vec<Target>> = HashMap::new();
        for target in listing.targets() {
            groups.entry(target.service).or_default().push(target);
        }
        for group in groups.values_mut() {
            group.sort_by_key(|target| target.key);
        }
        let groups = groups
            .into_iter()
            .map(|(service, group)| (service, group.into()));
        self.groups.store(Arc::new(groups.collect()));
        self.has_listed
            .store(listing.has_synced(), Ordering::Release);
        true
    }

    /// Notes that a target leaves; returns whether that is news.
    pub fn notice(&self, target: key::Target, now: Instant) -> bool {
        self.update(|listing| listing.mark_leaving(target, now))
    }
}
