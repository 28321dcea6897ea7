//! The targets that the platform's store lists, and which of them accept new requests.
//!
//! While the store is unavailable, entries of healthy targets expire because they can't be renewed.
//! A removal that is seen then or shortly after takes effect only once the targets have had time to
//! register again.

use {
    crate::revision::{Position, Revisions},
    base::{Instant, key},
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time for which removals are delayed after the store has become available again.
///
/// Targets register again within about two seconds. A target that has left may get requests for two
/// seconds at most, and the delay until the next call of [`Listing::expire`] counts towards that.
const REMOVAL_DELAY: Duration = Duration::from_millis(1_700);
/// Time after which a notice that a target is leaving expires unless the store confirms it.
const NOTICE_LIFETIME: Duration = Duration::from_secs(20);
/// Time for which a departed target is remembered; backups of the store are not older.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which a departed target that is listed again by a restored backup stays excluded.
///
/// Without a sign of life, the store removes such an entry after three heartbeats of the target.
const RESTORED_ENTRY_DELAY: Duration = Duration::from_secs(6);

/// Longest time for which a target is believed to be cold.
pub const MAX_COLD_REMAINING: Duration = Duration::from_secs(60);
/// Difference up to which two statements name the same end of a warm-up: the time that an entry
/// takes from the target through the store to this VM varies by less.
const WARM_UP_TOLERANCE: Duration = Duration::from_millis(500);

/// What a target has said of its warm-up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WarmUp {
    /// Time for which it was still cold; `None` if it hasn't said so.
    pub remaining: Option<Duration>,
    /// When this VM learned of it; `None` until the entry is applied.
    observed: Option<Instant>,
}

impl WarmUp {
    /// Creates the statement of an entry that has not been applied yet.
    pub fn new(remaining: Option<Duration>) -> Self {
        Self {
            remaining,
            observed: None,
        }
    }

    /// Returns when the target is warm; without a statement, it is cold for `duration`.
    pub fn end(&self, duration: Duration, now: Instant) -> Instant {
        self.observed.unwrap_or(now) + self.remaining.unwrap_or(duration)
    }

    /// Returns the time for which it is still cold, if it has said so.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let end = self.end(Duration::ZERO, now);
        self.remaining.map(|_| end.since(now))
    }

    /// Returns whether a later statement of the same process adds nothing to this one.
    fn covers(&self, later: &Self, now: Instant) -> bool {
        let (Some(_), Some(remaining)) = (self.remaining, later.remaining) else {
            return later.remaining.is_none();
        };
        let known = self.end(Duration::ZERO, now);
        let end = now + remaining;
        let is_warm = remaining.is_zero() && known <= now;
        is_warm || end.since(known).max(known.since(end)) <= WARM_UP_TOLERANCE
    }
}

/// A target as it is registered in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Key made from the instance name.
    pub key: key::Target,
    /// Name of the instance; a restarted process usually has a new one.
    pub instance: Box<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: key::Service,
    /// Name of the data centre that it runs in.
    pub data_centre: Box<str>,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it has announced that it is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Whether its data centre is cordoned; set by [`Listing::targets`] only.
    pub is_cordoned: bool,
    /// Start of its process in Unix milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Release of the software that it runs; empty if a peer described it without one.
    pub release: Box<str>,
    /// What it has said of its warm-up.
    pub warm_up: WarmUp,
}

impl Target {
    /// Returns whether it takes new requests, as it is neither leaving nor cordoned.
    pub fn is_usable(&self) -> bool {
        !self.is_leaving && !self.is_cordoned
    }

    /// Returns whether it is known to run a release; streams go on only within one.
    pub fn runs_release(&self, release: &str) -> bool {
        !release.is_empty() && *self.release == *release
    }
}

/// A notice that a target is leaving.
#[derive(Clone, Copy, Debug)]
struct Notice {
    at: Instant,
    /// Start of the process that is leaving, if known: a later one under the same name is not.
    started_ms: Option<u64>,
}

impl Notice {
    /// Returns whether it is about a process that started at this time.
    fn applies_to(self, started_ms: Option<u64>) -> bool {
        self.started_ms.is_none() || started_ms <= self.started_ms
    }
}

/// The known targets, with pending removals and notices that some are leaving.
#[derive(Debug, Default)]
pub struct Listing {
    targets: HashMap<key::Target, Target>,
    /// Targets whose entries were removed, with the time at which that takes effect.
    pending_removals: HashMap<key::Target, Instant>,
    /// Targets that are leaving by their own notice or a peer's.
    leaving_notices: HashMap<key::Target, Notice>,
    /// Targets that have said in an answer that they leave, which holds until they have left.
    announced_leaving: HashSet<key::Target>,
    is_store_unavailable: bool,
    /// Time from which removals take effect at once.
    immediate_removal_from: Instant,
    /// When the list was first read.
    synced: Option<Instant>,
    /// Releases of each service's targets that are gone, with the time at which one was last listed.
    former_releases: HashMap<key::Service, HashMap<Box<str>, Instant>>,
    /// Time before the first list for which the store's history is known as well.
    known_history: Duration,
    /// Whether a target left in that time whose release is not known.
    has_unknown_departure: bool,
    revisions: Revisions,
    /// Starts of the processes of targets that are gone, with the time of their removal.
    departed: HashMap<key::Target, (Option<u64>, Instant)>,
    /// Departed targets that a restored backup lists, with the time until which they are excluded.
    restored: HashMap<key::Target, Instant>,
    /// Names of the data centres that the operator has taken out of service.
    cordoned: BTreeSet<Box<str>>,
}

/// One change of an entry in the store's history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Past {
    /// A target was listed.
    Listed(Target),
    /// An entry was removed, or replaced by one that can't be read.
    Gone(key::Target),
}

impl Listing {
    /// Adds or replaces a target; returns whether anything changed.
    ///
    /// That the time until it is warm has run on is no change.
    pub fn put(&mut self, mut target: Target, now: Instant) -> bool {
        let before = self.targets.get(&target.key);
        if target.warm_up.observed.is_none() {
            let same = before.filter(|before| before.started_ms == target.started_ms);
            let known = same.map(|before| before.warm_up);
            let known = known.filter(|known| known.covers(&target.warm_up, now));
            target.warm_up.observed = Some(now);
            target.warm_up = known.unwrap_or(target.warm_up);
        }
        self.pending_removals.remove(&target.key);
        let was_excluded = self.restored.remove(&target.key).is_some();
        let before = self.targets.get(&target.key);
        if before.is_some_and(|before| *before == target) {
            return was_excluded;
        }
        if before.is_some_and(|before| before.started_ms < target.started_ms) {
            self.leaving_notices.remove(&target.key);
            self.announced_leaving.remove(&target.key);
        }
        let notice = self.leaving_notices.get(&target.key);
        if notice.is_some_and(|notice| !notice.applies_to(target.started_ms)) {
            self.leaving_notices.remove(&target.key);
        }
        if let Some(before) = self.targets.insert(target.key, target) {
            self.record_release(&before, now);
        }
        true
    }

    /// Removes a target unless it is registered again within `delay`.
    ///
    /// Returns whether anything changed at once.
    pub fn remove(&mut self, target: key::Target, delay: Duration, now: Instant) -> bool {
        if !self.targets.contains_key(&target) {
            return false;
        }
        if !delay.is_zero() {
            self.pending_removals.entry(target).or_insert(now + delay);
            return false;
        }
        self.remove_now(target, now);
        true
    }

    /// Replaces the whole list; targets that it lacks are removed with the current delay.
    ///
    /// Returns whether anything changed at once.
    pub fn replace(&mut self, targets: Vec<Target>, now: Instant) -> bool {
        let missing: Vec<_> = self
            .targets
            .keys()
            .filter(|key| !targets.iter().any(|target| target.key == **key))
            .copied()
            .collect();
        let mut changed = self.synced.is_none();
        self.synced.get_or_insert(now);
        for target in targets {
            changed |= self.put(target, now);
        }
        for key in missing {
            changed |= self.remove(key, self.removal_delay(now), now);
        }
        changed
    }

    /// Records a change that the store or a peer reports; returns whether it is newer than the known
    /// one of that target.
    pub fn record(&mut self, target: key::Target, revision: u64, is_listed: bool) -> bool {
        self.revisions.record(target, revision, is_listed)
    }

    /// Returns which changes of the store the list has.
    pub fn revisions(&self) -> &Revisions {
        &self.revisions
    }

    /// Advances the revision up to which all changes are known, and that of the last change.
    pub fn advance(&mut self, revision: u64, last_change: u64) {
        self.revisions.advance(revision, last_change);
    }

    /// Replaces the whole list by the one that the store had at `position`, except entries of which
    /// a newer change is known.
    ///
    /// Returns whether anything changed at once.
    pub fn replace_at(
        &mut self,
        position: Position,
        mut listed: Vec<(u64, Target)>,
        now: Instant,
    ) -> bool {
        if self.has_synced() && position.era > self.revisions.position().era {
            self.begin_era(&mut listed, now);
        }
        // An entry that was applied already says nothing of its target's present warm-up.
        let is_same_era = position.era == self.revisions.position().era;
        for (revision, target) in &mut listed {
            let is_applied = is_same_era && self.revisions.has(target.key, *revision);
            if let Some(known) = self.targets.get(&target.key).filter(|_| is_applied) {
                target.warm_up = known.warm_up;
            }
        }
        let revisions = listed
            .iter()
            .map(|(revision, target)| (target.key, *revision));
        let newer = self.revisions.replace(position, revisions);
        let targets = listed.into_iter().map(|(_, target)| target);
        let mut targets: Vec<_> = targets
            .filter(|target| !newer.contains(&target.key))
            .collect();
        let known = newer.iter().filter_map(|key| self.targets.get(key));
        targets.extend(known.cloned());
        let restored = std::mem::take(&mut self.restored);
        let is_changed = self.replace(targets, now);
        self.restored = restored;
        is_changed
    }

    /// Prepares for the list of a store that was restored from a backup.
    ///
    /// It may lack targets that register again soon, and have others as they were before they left
    /// or announced that they would.
    fn begin_era(&mut self, listed: &mut [(u64, Target)], now: Instant) {
        self.delay_removals(REMOVAL_DELAY, now);
        for (_, target) in listed {
            let is_same = |started_ms: Option<u64>| started_ms == target.started_ms;
            if let Some(before) = self.targets.get(&target.key) {
                target.is_leaving |= before.is_leaving && is_same(before.started_ms);
            } else if let Some((started_ms, _)) = self.departed.get(&target.key)
                && is_same(*started_ms)
            {
                let end = now + RESTORED_ENTRY_DELAY;
                self.restored.insert(target.key, end);
            }
        }
    }

    /// Returns the time by which removals are delayed at present.
    pub fn removal_delay(&self, now: Instant) -> Duration {
        self.immediate_removal_from.since(now)
    }

    /// Takes over from a peer that the store was unavailable until recently.
    pub fn delay_removals(&mut self, delay: Duration, now: Instant) {
        self.immediate_removal_from = self.immediate_removal_from.max(now + delay);
    }

    /// Records that the store does not respond.
    pub fn mark_store_unavailable(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Records that the store responds; returns whether it was unavailable before.
    pub fn mark_store_available(&mut self, now: Instant) -> bool {
        if !std::mem::take(&mut self.is_store_unavailable) {
            return false;
        }
        self.immediate_removal_from = now + REMOVAL_DELAY;
        true
    }

    /// Records a notice, by a target or a peer, that the target is leaving whose process started at
    /// `started_ms`.
    ///
    /// A notice about a process that has left already doesn't count. Returns whether that was unknown
    /// before.
    pub fn mark_leaving(
        &mut self,
        target: key::Target,
        started_ms: Option<u64>,
        now: Instant,
    ) -> bool {
        let notice = Notice {
            at: now,
            started_ms,
        };
        let known = self.targets.get(&target);
        let has_left = match (known, self.departed.get(&target)) {
            (Some(known), _) => !notice.applies_to(known.started_ms),
            (None, Some((departed, _))) => notice.applies_to(*departed),
            (None, None) => false,
        };
        if has_left {
            return false;
        }
        let is_new = known.is_some_and(|known| !known.is_leaving)
            && !self.leaving_notices.contains_key(&target);
        self.leaving_notices.insert(target, notice);
        is_new
    }

    /// Records that a target has said in an answer that it leaves.
    ///
    /// Returns whether that was unknown before.
    pub fn mark_announced_leaving(&mut self, target: key::Target) -> bool {
        let known = self.targets.get(&target);
        let is_known = known.is_some_and(|known| !known.is_leaving);
        let is_noticed = self.leaving_notices.contains_key(&target);
        let is_new = known.is_some() && self.announced_leaving.insert(target);
        is_new && is_known && !is_noticed
    }

    /// Records that a target has said in an answer for how long it is still cold.
    ///
    /// An answer may be older than the entry, so it can't end a warm-up that the entry names.
    /// Returns whether anything changed.
    pub fn mark_cold(&mut self, target: key::Target, remaining: Duration, now: Instant) -> bool {
        let Some(target) = self.targets.get_mut(&target) else {
            return false;
        };
        let told = WarmUp {
            remaining: Some(remaining),
            observed: Some(now),
        };
        let known = target.warm_up.remaining(now);
        let is_news = !target.warm_up.covers(&told, now);
        let is_change = is_news && known.is_none_or(|known| remaining > known);
        if is_change {
            target.warm_up = told;
        }
        is_change
    }

    /// Applies due removals and drops expired notices; returns whether anything changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.leaving_notices.len();
        self.leaving_notices
            .retain(|_, notice| now.since(notice.at) < NOTICE_LIFETIME);
        let mut changed = before != self.leaving_notices.len();
        let due: Vec<_> = self
            .pending_removals
            .iter()
            .filter(|(_, effective)| now >= **effective)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.remove_now(key, now);
            changed = true;
        }
        self.departed
            .retain(|_, (_, removed)| now.since(*removed) < DEPARTURE_LIFETIME);
        let before = self.restored.len();
        self.restored.retain(|_, end| now < *end);
        changed |= before != self.restored.len();
        changed
    }

    /// Returns whether the list of the store has been read at least once.
    pub fn has_synced(&self) -> bool {
        self.synced.is_some()
    }

    /// Adds the store's history of the time before the first list, back to which it reaches for
    /// `duration`.
    pub fn add_history(&mut self, past: Vec<Past>, duration: Duration, now: Instant) {
        let mut described = HashSet::new();
        for change in past {
            match change {
                Past::Listed(target) => {
                    described.insert(target.key);
                    self.record_release(&target, now);
                }
                // What it ran is known only if the history has an entry of it before.
                Past::Gone(key) => self.has_unknown_departure |= !described.contains(&key),
            }
        }
        self.known_history = duration;
    }

    /// Returns the one release that the targets of a service have run for the last `window`.
    ///
    /// `None` if there were several, or if that is not known, as the process has just started.
    pub fn only_release(
        &self,
        service: key::Service,
        window: Duration,
        now: Instant,
    ) -> Option<&str> {
        let known = now.since(self.synced?);
        let is_known =
            known >= window || known + self.known_history >= window && !self.has_unknown_departure;
        if !is_known {
            return None;
        }
        let listed = self.targets.values();
        let listed = listed.filter(|target| target.service == service);
        let former = self.former_releases.get(&service).into_iter().flatten();
        let former = former.filter(|(_, seen)| now.since(**seen) <= window);
        let mut releases = listed
            .map(|target| &*target.release)
            .chain(former.map(|(release, _)| &**release));
        let first = releases.next().filter(|release| !release.is_empty())?;
        releases.all(|release| release == first).then_some(first)
    }

    /// Sets the data centres whose targets are cordoned; returns whether these are others than before.
    pub fn set_cordoned(&mut self, names: &BTreeSet<Box<str>>) -> bool {
        if self.cordoned == *names {
            return false;
        }
        self.cordoned.clone_from(names);
        true
    }

    /// Returns all known targets, with `is_leaving` set by the store or by a notice, and
    /// `is_cordoned` by [`Self::set_cordoned`].
    pub fn targets(&self) -> impl Iterator<Item = Target> {
        let included = self.targets.values();
        let included = included.filter(|target| !self.restored.contains_key(&target.key));
        included.map(|target| Target {
            is_leaving: target.is_leaving
                || self.leaving_notices.contains_key(&target.key)
                || self.announced_leaving.contains(&target.key),
            is_cordoned: self.cordoned.contains(&target.data_centre),
            ..target.clone()
        })
    }

    fn record_release(&mut self, target: &Target, now: Instant) {
        let releases = self.former_releases.entry(target.service).or_default();
        releases.insert(target.release.clone(), now);
    }

    fn remove_now(&mut self, target: key::Target, now: Instant) {
        if let Some(removed) = self.targets.remove(&target) {
            self.record_release(&removed, now);
            self.departed.insert(target, (removed.started_ms, now));
            // The notice has come true; a process that is back under this name is another one.
            self.leaving_notices.remove(&target);
        }
        self.restored.remove(&target);
        self.pending_removals.remove(&target);
        self.announced_leaving.remove(&target);
    }
}
