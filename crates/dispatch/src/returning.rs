//! Rejected requests whose clients are expected back.
//!
//! A burst of more than twice the usual generations leaves an excess that no engine has memory for.
//! A rejected client comes back once, mostly to another VM of its data centre. Without a place it
//! queues like a new request, for as long as its objective allows, among those that have just
//! arrived, and is rejected again for good. Its objective has passed by then, so with a place it may
//! wait for most of the time that it has left, and requests that can still be in time go first.

use {
    base::{Instant, key},
    std::{collections::VecDeque, time::Duration},
};

/// Time after a client may return for which its place is kept.
const PLACE_LIFETIME: Duration = Duration::from_secs(2);
/// Time by which a client may come too soon, as its clock and the network vary.
const EARLY_MARGIN: Duration = Duration::from_millis(50);
/// Time by which the deadline of a returning client may be later than it was, for the same reason.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Share of its remaining time for which a returning request may wait.
const WAIT_SHARE: f64 = 0.5;
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
            && now + EARLY_MARGIN >= self.returns
            && now < self.ends()
            && deadline <= self.deadline + DEADLINE_MARGIN
    }
}

/// The places of the rejected requests that one VM knows.
#[derive(Debug)]
pub struct Places {
    capacity: usize,
    /// The newest place is the last one.
    places: VecDeque<(Place, Origin)>,
}

/// Which VM rejected a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    Local,
    Peer,
}

impl Places {
    /// Creates an empty table of at most `capacity` places; with 0 none are kept.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            places: VecDeque::new(),
        }
    }

    /// Returns whether places are kept at all.
    pub fn is_enabled(&self) -> bool {
        self.capacity > 0
    }

    /// Returns the number of places that are kept.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no place is kept.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Keeps the place of a request that this VM rejects.
    pub fn keep(&mut self, place: Place, now: Instant) {
        self.insert(place, Origin::Local, now);
    }

    /// Adds a place that another VM keeps.
    pub fn receive(&mut self, place: Place, now: Instant) {
        let is_known = |(known, _): &(Place, Origin)| {
            known.fingerprint == place.fingerprint
                && known.returns + DEADLINE_MARGIN >= place.returns
        };
        if !self.places.iter().any(is_known) {
            self.insert(place, Origin::Peer, now);
        }
    }

    /// Returns the newest places of requests that this VM rejected, at most `count`.
    pub fn local(&self, count: usize, now: Instant) -> impl Iterator<Item = Place> {
        let local = self.places.iter().rev();
        let local =
            local.filter(move |(place, origin)| *origin == Origin::Local && now < place.ends());
        local.map(|(place, _)| *place).take(count)
    }

    /// Uses the place of a request that arrives; `None` if there is none or it comes too soon.
    pub fn take(
        &mut self,
        fingerprint: key::Fingerprint,
        deadline: Instant,
        now: Instant,
    ) -> Option<Place> {
        let fits = |(place, _): &(Place, Origin)| place.fits(fingerprint, deadline, now);
        let index = self.places.iter().position(fits)?;
        self.places.remove(index).map(|(place, _)| place)
    }

    fn insert(&mut self, place: Place, origin: Origin, now: Instant) {
        if self.capacity == 0 {
            return;
        }
        self.places
            .retain(|(known, _)| now < known.ends() && known.fingerprint != place.fingerprint);
        while self.places.len() >= self.capacity {
            self.places.pop_front();
        }
        self.places.push_back((place, origin));
    }
}

/// Returns the time by which a returning request must get its first event.
///
/// `patience` is the time after which its client gives up without an event.
pub fn first_event_deadline(arrived: Instant, deadline: Instant, patience: Duration) -> Instant {
    let wait = deadline.since(arrived).mul_f64(WAIT_SHARE);
    arrived + wait.min(patience)
}

/// Returns the delay after which a rejected client should return if capacity is expected after
/// `expected`; clients with less time come sooner whatever they are told.
pub fn return_delay(expected: Duration, remaining: Duration) -> Duration {
    expected.min(remaining.mul_f64(RETURN_SHARE))
}
