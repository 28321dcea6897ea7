//! The targets that the platform's store lists, and which of them take new work.
//!
//! Entries lapse while the store is in trouble although their targets live, so a removal that
//! comes then, or shortly after, stands only once the targets had time to return.

use {
    base::{Instant, key},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Time after trouble of the store in which lapsed entries may return.
///
/// The platform says about two seconds; a target that has left may get requests for no more than
/// two, which also hold the time until [`Listing::advance`] is called.
const RETURN_WINDOW: Duration = Duration::from_millis(1_700);
/// Longest time that a notice of departure counts without a word from the store.
const NOTICE_LIFE: Duration = Duration::from_secs(20);

/// A target as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Key of its instance name.
    pub key: key::Target,
    /// Name of the instance; a process that starts anew mostly has another one.
    pub instance: Box<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: key::Service,
    /// Data centre that it stands in.
    pub data_centre: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
    /// Start of its process in Unix milliseconds, if it says so.
    pub started_ms: Option<u64>,
}

/// The known targets.
#[derive(Debug, Default)]
pub struct Listing {
    targets: HashMap<key::Target, Target>,
    /// Targets whose entries are gone, with the time at which they are dropped.
    lapsed: HashMap<key::Target, Instant>,
    /// Targets that leave by another notice than the store's.
    notices: HashMap<key::Target, Instant>,
    in_trouble: bool,
    /// When removals count at once again.
    settled: Instant,
    has_listed: bool,
}

impl Listing {
    /// Takes one entry; returns whether anything changed.
    pub fn put(&mut self, target: Target) -> bool {
        self.lapsed.remove(&target.key);
        let before = self.targets.get(&target.key);
        if before.is_some_and(|before| *before == target) {
            return false;
        }
        if before.is_some_and(|before| before.started_ms < target.started_ms) {
            self.notices.remove(&target.key);
        }
        self.targets.insert(target.key, target);
        true
    }

    /// Takes the removal of an entry, which stands once `hold` has passed without its return.
    ///
    /// Returns whether anything changed at once.
    pub fn remove(&mut self, target: key::Target, hold: Duration, now: Instant) -> bool {
        if !self.targets.contains_key(&target) {
            return false;
        }
        if !hold.is_zero() {
            self.lapsed.entry(target).or_insert(now + hold);
            return false;
        }
        self.drop_target(target);
        true
    }

    /// Takes the whole list; entries that it lacks are removed.
    pub fn replace(&mut self, targets: Vec<Target>, now: Instant) -> bool {
        let missing: Vec<_> = self
            .targets
            .keys()
            .filter(|key| !targets.iter().any(|target| target.key == **key))
            .copied()
            .collect();
        let mut changed = !self.has_listed;
        self.has_listed = true;
        for target in targets {
            changed |= self.put(target);
        }
        for key in missing {
            changed |= self.remove(key, self.removal_delay(now), now);
        }
        changed
    }

    /// Returns the time for which entries that the store has removed may come back.
    pub fn removal_delay(&self, now: Instant) -> Duration {
        self.settled.since(now)
    }

    /// Notes that the store does not answer.
    pub fn mark_store_unavailable(&mut self) {
        self.in_trouble = true;
    }

    /// Notes that the store answers; returns whether it had been in trouble.
    pub fn mark_store_available(&mut self, now: Instant) -> bool {
        if !std::mem::take(&mut self.in_trouble) {
            return false;
        }
        self.settled = now + RETURN_WINDOW;
        true
    }

    /// Notes that a target leaves, told by itself or by another VM; returns whether that is news.
    pub fn mark_leaving(&mut self, target: key::Target, now: Instant) -> bool {
        let known = self.targets.get(&target);
        let is_news =
            known.is_some_and(|known| !known.is_leaving) && !self.notices.contains_key(&target);
        self.notices.insert(target, now);
        is_news
    }

    /// Drops what has lapsed; returns whether anything changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.notices.len();
        self.notices
            .retain(|_, noticed| now.since(*noticed) < NOTICE_LIFE);
        let mut changed = before != self.notices.len();
        let gone: Vec<_> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.drop_target(key);
            changed = true;
        }
        changed
    }

    /// Returns whether a list of the store was ever read.
    pub fn has_synced(&self) -> bool {
        self.has_listed
    }

    /// Returns every known target with `is_leaving` as all notices say.
    pub fn targets(&self) -> impl Iterator<Item = Target> {
        self.targets.values().map(|target| Target {
            is_leaving: target.is_leaving || self.notices.contains_key(&target.key),
            ..target.clone()
        })
    }

    fn drop_target(&mut self, target: key::Target) {
        self.targets.remove(&target);
        self.lapsed.remove(&target);
    }
}
