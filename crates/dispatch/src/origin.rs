//! Remembers which engines began each resumable stream.
//!
//! A client whose connection broke resumes its stream at any VM, and only engines of the service
//! and the release that made the first event can continue it. The VM that forwards that event tells a few others,
//! and a VM that doesn't know a stream asks those.

use {
    base::{Instant, key},
    std::{collections::HashMap, time::Duration},
};

/// Interval between removals of expired streams.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Service of the engine that made the first event.
    pub service: key::Service,
    /// Release of its software.
    pub release: Box<str>,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: Origin,
    expires: Instant,
}

/// The origins of streams that clients may still resume, by the attempt that began them.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<key::Request, Entry>,
    next_expiry: Instant,
}

impl Origins {
    /// Remembers for `lifetime` where a stream began.
    ///
    /// A stream that is known already keeps its origin.
    pub fn record(
        &mut self,
        attempt: key::Request,
        origin: Origin,
        lifetime: Duration,
        now: Instant,
    ) {
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.streams.retain(|_, entry| entry.expires > now);
        }
        let expires = now + lifetime;
        let entry = self.streams.entry(attempt);
        let entry = entry.or_insert(Entry { origin, expires });
        entry.expires = entry.expires.max(expires);
    }

    /// Returns where a stream began.
    pub fn get(&self, attempt: key::Request, now: Instant) -> Option<&Origin> {
        let entry = self.streams.get(&attempt);
        let entry = entry.filter(|entry| entry.expires > now);
        entry.map(|entry| &entry.origin)
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
