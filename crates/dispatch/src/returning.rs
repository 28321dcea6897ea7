//! Rejected requests whose clients are expected back.
//!
//! A burst of more than twice the usual generations leaves an excess that no engine has memory for.
//! A rejected client comes back once, mostly to another VM of its data centre. Without a place it
//! queues like a new request, for as long as its objective allows, among those that have just
//! arrived, and is rejected again for good. Its objective has passed by then, so with a place it may
//! wait for most of the time that it has left, and requests that can still be in time go first.

use {
    base::{Instant, key},
    std::time::Duration,
};

/// Time after a client may return for which its place is kept.
const PLACE_LIFETIME: Duration = Duration::from_secs(2);
/// Time by which a client may come too soon, as its clock and the network vary.
const EARLY_MARGIN: Duration = Duration::from_millis(50);
/// Time by which the deadline of a returning client may be later than it was, for the same reason.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Share of its remaining time for which a returning request may wait. It has no other retry, so a
/// rejection that comes later helps its client less than an early one.
const WAIT_SHARE: f64 = 0.25;
/// Share of a client's remaining time after which it comes back at the latest, whatever delay it got.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// The place of a rejected request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Fingerprint of the request, which its repetition shares.
    pub fingerprint: key::Fingerprint,
    /// When the client sent it for the first time.
    pub arrived: Instant,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// When the client may return.
    pub returns: Instant,
}

impl Place {
    fn ends(&self) -> Instant {
        self.returns + PLACE_LIFETIME
    }

    fn fits(&self, fingerprint: key::Fingerprint, deadline: Instant, now: Instant) -> bool {
        self.fingerprint == fingerprint
            && now < self.ends()
            && deadline <= self.deadline + DEADLINE_MARGIN
    }

    fn is_due(&self, now: Instant) -> bool {
        now + EARLY_MARGIN >= self.returns
    }
}

/// The return of a client that was rejected before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Return {
    /// The client has come back to its place.
    Due(Place),
    /// It comes sooner than it was told, or again; it gains nothing over those that wait.
    Early,
}

/// The places of the rejected requests that one VM knows.
#[derive(Debug)]
pub struct Places {
    capacity: usize,
    places: Vec<Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    place: Place,
    /// Whether this VM rejected the request.
    is_local: bool,
    /// Whether the client has come back. The entry stays, as reports of peers name it again.
    is_used: bool,
}

impl Places {
    /// Creates an empty table of at most `capacity` places; with 0 none are kept.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            places: Vec::new(),
        }
    }

    /// Returns whether places are kept at all.
    pub fn is_enabled(&self) -> bool {
        self.capacity > 0
    }

    /// Returns the number of clients that are expected back.
    pub fn count(&self, now: Instant) -> usize {
        let expected = |entry: &&Entry| !entry.is_used && now < entry.place.ends();
        self.places.iter().filter(expected).count()
    }

    /// Keeps the place of a request that this VM rejects.
    pub fn keep(&mut self, place: Place, now: Instant) {
        self.insert(place, true, now);
    }

    /// Adds a place that another VM keeps.
    pub fn receive(&mut self, place: Place, now: Instant) {
        let is_known = |known: &Entry| {
            known.place.fingerprint == place.fingerprint
                && known.place.returns + DEADLINE_MARGIN >= place.returns
        };
        if !self.places.iter().any(is_known) {
            self.insert(place, false, now);
        }
    }

    /// Returns places of requests that this VM rejected and whose clients are not due yet, at most
    /// `count`.
    pub fn local(&self, count: usize, now: Instant) -> impl Iterator<Item = Place> {
        let local = self
            .places
            .iter()
            .rev()
            .filter(move |entry| entry.is_local && !entry.is_used && now < entry.place.returns);
        local.map(|entry| entry.place).take(count)
    }

    /// Uses the place of a request that arrives; `None` if it was not rejected lately.
    pub fn take(
        &mut self,
        fingerprint: key::Fingerprint,
        deadline: Instant,
        now: Instant,
    ) -> Option<Return> {
        let mut places = self.places.iter_mut();
        let entry = places.find(|entry| entry.place.fits(fingerprint, deadline, now))?;
        if entry.is_used || !entry.place.is_due(now) {
            return Some(Return::Early);
        }
        entry.is_used = true;
        Some(Return::Due(entry.place))
    }

    fn insert(&mut self, place: Place, is_local: bool, now: Instant) {
        if self.capacity == 0 {
            return;
        }
        self.places.retain(|known| {
            now < known.place.ends() && known.place.fingerprint != place.fingerprint
        });
        if self.places.len() >= self.capacity {
            let earliest = self.places.iter().enumerate();
            let earliest = earliest.min_by_key(|(_, entry)| entry.place.returns);
            if let Some((index, _)) = earliest {
                self.places.remove(index);
            }
        }
        self.places.push(Entry {
            place,
            is_local,
            is_used: false,
        });
    }
}

/// Returns the time by which a request that returned at `arrived` should have its first event.
///
/// `usual` is the wait of a new request, and `patience` the time after which its client gives up
/// without an event.
pub fn first_event_deadline(
    arrived: Instant,
    deadline: Instant,
    usual: Duration,
    patience: Duration,
) -> Instant {
    let wait = deadline.since(arrived).mul_f64(WAIT_SHARE);
    arrived + wait.max(usual).min(patience)
}

/// Returns the delay after which a rejected client should return if those that wait now are expected to
/// be served after `expected`.
///
/// Requests that arrive meanwhile go first as well, as many as wait now while the load lasts. Clients
/// with less time come sooner whatever they are told.
pub fn return_delay(expected: Duration, remaining: Duration) -> Duration {
    (expected * 2).min(remaining.mul_f64(RETURN_SHARE))
}
