//! In-memory directory of the known targets.

use {
    arc_swap::ArcSwap,
    base::{Instant, key},
    dispatch::{Listing, Position, listing::Target, revision::State},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Targets grouped by service, in the order of their keys.
type ByService = HashMap<key::Service, Arc<[Target]>>;

/// The known targets; readers see a snapshot that each change replaces.
#[derive(Debug, Default)]
pub struct Directory {
    listing: Mutex<Listing>,
    by_service: ArcSwap<ByService>,
    has_list: AtomicBool,
}

impl Directory {
    /// Returns the targets of a service.
    pub fn targets_of(&self, service: key::Service) -> Arc<[Target]> {
        self.by_service
            .load()
            .get(&service)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns all known targets.
    pub fn all(&self) -> Vec<Target> {
        let by_service = self.by_service.load();
        let targets = by_service.values().flat_map(|targets| targets.iter());
        targets.cloned().collect()
    }

    /// Looks up a target by its key.
    pub fn get(&self, target: key::Target) -> Option<Target> {
        let by_service = self.by_service.load();
        let mut targets = by_service.values().flat_map(|targets| targets.iter());
        targets.find(|known| known.key == target).cloned()
    }

    /// Returns whether a target is known and not leaving.
    pub fn is_active(&self, target: key::Target) -> bool {
        self.get(target).is_some_and(|target| !target.is_leaving)
    }

    /// Returns whether a target is known and takes new requests.
    pub fn is_usable(&self, target: key::Target) -> bool {
        self.get(target).is_some_and(|target| target.is_usable())
    }

    /// Returns whether a service has targets that stay, all of them in cordoned data centres.
    pub fn is_service_cordoned(&self, service: key::Service) -> bool {
        let targets = self.targets_of(service);
        let mut staying = targets
            .iter()
            .filter(|target| !target.is_leaving)
            .peekable();
        staying.peek().is_some() && staying.all(|target| target.is_cordoned)
    }

    /// Returns the leaving targets, with the starts of their processes, if known.
    pub fn leaving_targets(&self) -> Vec<(key::Target, Option<u64>)> {
        let by_service = self.by_service.load();
        let targets = by_service.values().flat_map(|targets| targets.iter());
        targets
            .filter(|target| target.is_leaving)
            .map(|target| (target.key, target.started_ms))
            .collect()
    }

    /// Returns the number of targets for each value of `is_leaving`.
    pub fn counts(&self) -> [(bool, u64); 2] {
        let by_service = self.by_service.load();
        let mut counts = [(false, 0), (true, 0)];
        for target in by_service.values().flat_map(|targets| targets.iter()) {
            counts[usize::from(target.is_leaving)].1 += 1;
        }
        counts
    }

    /// Returns whether the targets of a service are known to have run one release only for the last
    /// `window`.
    pub fn has_one_release(&self, service: key::Service, window: Duration, now: Instant) -> bool {
        self.listing().only_release(service, window, now).is_some()
    }

    /// Returns whether a listed target is known with its release.
    pub fn has_release(&self, listed: &Target) -> bool {
        let known = self.get(listed.key);
        known.is_some_and(|known| known.release == listed.release)
    }

    /// Returns whether a full list was ever read from the store.
    pub fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Acquire)
    }

    /// Returns the position of the store up to which all changes are known.
    pub fn known_position(&self) -> Position {
        self.listing().revisions().position()
    }

    /// Returns the state of the list that is compared with other VMs.
    pub fn state(&self) -> State {
        self.listing().revisions().state()
    }

    /// Returns the time by which removals are delayed at present.
    pub fn removal_delay(&self, now: Instant) -> Duration {
        self.listing().removal_delay(now)
    }

    /// Returns the position of the last change.
    pub fn changed_position(&self) -> Position {
        self.listing().revisions().last_change()
    }

    fn listing(&self) -> MutexGuard<'_, Listing> {
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change`, which returns whether it changed the list; returns the same.
    pub fn update(&self, change: impl FnOnce(&mut Listing) -> bool) -> bool {
        let mut listing = self.listing();
        if !change(&mut listing) {
            return false;
        }
        let mut by_service: HashMap<key::Service, Vec<Target>> = HashMap::new();
        for target in listing.targets() {
            by_service.entry(target.service).or_default().push(target);
        }
        for targets in by_service.values_mut() {
            targets.sort_by_key(|target| target.key);
        }
        let by_service = by_service
            .into_iter()
            .map(|(service, targets)| (service, targets.into()));
        self.by_service.store(Arc::new(by_service.collect()));
        self.has_list.store(listing.has_synced(), Ordering::Release);
        true
    }

    /// Records that a target has said in an answer for how long it is still cold; returns whether
    /// that changes anything.
    pub fn mark_cold(&self, target: &Target, remaining: Duration, now: Instant) -> bool {
        // Most answers say what the snapshot that the request was sent by has already.
        if remaining.is_zero() && target.warm_up.remaining.is_some() {
            return false;
        }
        self.update(|listing| listing.mark_cold(target.key, remaining, now))
    }

    /// Marks a target as leaving by its own answer; returns whether it was not marked before.
    pub fn mark_announced_leaving(&self, target: key::Target) -> bool {
        let mut is_new = false;
        self.update(|listing| {
            is_new = listing.mark_announced_leaving(target);
            is_new
        });
        is_new
    }

    /// Marks a target as leaving whose process started at `started_ms`; returns whether it was not
    /// marked before.
    pub fn mark_leaving(&self, target: key::Target, started_ms: Option<u64>, now: Instant) -> bool {
        self.update(|listing| listing.mark_leaving(target, started_ms, now))
    }
}
