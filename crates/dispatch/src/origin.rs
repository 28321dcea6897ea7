//! Remembers which release of the engines' software began each resumable stream.
//!
//! A client whose connection broke resumes its stream at any VM, and only engines of the release
//! that made the first event can continue it. The VM that forwards that event tells a few others,
//! and a VM that doesn't know a stream asks those.

use {
    base::{Instant, key},
    std::{collections::HashMap, time::Duration},
};

/// Interval between removals of expired streams.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Origin {
    release: Box<str>,
    expires: Instant,
}

/// The origins of streams that clients may still resume, by the attempt that began them.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<key::Request, Origin>,
    next_expiry: Instant,
}

impl Origins {
    /// Remembers for `lifetime` which release began a stream.
    ///
    /// A stream that is known already keeps its release.
    pub fn record(
        &mut self,
        attempt: key::Request,
        release: &str,
        lifetime: Duration,
        now: Instant,
    ) {
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.streams.retain(|_, origin| origin.expires > now);
        }
        let expires = now + lifetime;
        let origin = self.streams.entry(attempt).or_insert_with(|| Origin {
            release: release.into(),
            expires,
        });
        origin.expires = origin.expires.max(expires);
    }

    /// Returns the release that began a stream.
    pub fn release(&self, attempt: key::Request, now: Instant) -> Option<&str> {
        let origin = self.streams.get(&attempt);
        let origin = origin.filter(|origin| origin.expires > now);
        origin.map(|origin| &*origin.release)
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
