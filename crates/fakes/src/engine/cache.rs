//! Prefix cache with least-recently-used eviction and an event log of stored and evicted prefixes.

use {
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Cached prefixes have this length or a power-of-two multiple of it.
const MIN_PREFIX_BYTES: usize = 256;
/// Number of cache events retained; older ones are dropped.
const MAX_EVENTS: usize = 4096;

/// Hashes of the cached prefixes and the most recent cache events.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    /// Least recently used first.
    prefix_hashes: VecDeque<u64>,
    events: VecDeque<Event>,
    sequence: u64,
}

#[derive(Debug)]
struct Event {
    sequence: u64,
    created_at: Instant,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefix_hashes: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the bytes of a prompt's longest cached prefix, then caches all its prefixes.
    pub(super) fn access(&mut self, prompt: &str) -> usize {
        let mut cached_bytes = 0;
        let mut stored = Vec::new();
        for (length, hash) in prefixes(prompt) {
            let index = self
                .prefix_hashes
                .iter()
                .position(|&candidate| candidate == hash);
            match index.and_then(|index| self.prefix_hashes.remove(index)) {
                Some(_) => cached_bytes = length,
                None => stored.push(hash),
            }
            self.prefix_hashes.push_back(hash);
        }
        let excess = self.prefix_hashes.len().saturating_sub(self.capacity);
        let removed = self.prefix_hashes.drain(..excess).collect();
        self.record(stored, removed);
        cached_bytes
    }

    fn record(&mut self, stored: Vec<u64>, removed: Vec<u64>) {
        if stored.is_empty() && removed.is_empty() {
            return;
        }
        self.sequence += 1;
        self.events.push_back(Event {
            sequence: self.sequence,
            created_at: Instant::now(),
            stored,
            removed,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    ///
    /// Every `omit_every`th event is left out; 0 leaves out none.
    pub(super) fn events(&self, after: u64, lag: Duration, omit_every: u64) -> Value {
        let events = self.events.iter().filter(|event| {
            let is_omitted = omit_every > 0 && event.sequence.is_multiple_of(omit_every);
            event.sequence > after && event.created_at.elapsed() >= lag && !is_omitted
        });
        let events = events.map(|event| {
            json!({
                "sequence": event.sequence,
                "stored": event.stored,
                "removed": event.removed,
            })
        });
        json!({ "events": events.collect::<Vec<_>>() })
    }
}

/// Returns length in bytes and hash of each cacheable prefix of a prompt, shortest first.
fn prefixes(prompt: &str) -> impl Iterator<Item = (usize, u64)> {
    let bytes = prompt.as_bytes();
    std::iter::successors(Some(MIN_PREFIX_BYTES), |length| Some(length * 2))
        .take_while(|&length| length <= bytes.len())
        .map(|length| (length, xxh3_64(&bytes[..length])))
}
