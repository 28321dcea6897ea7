//! The prefix cache: least recently used, with events about what enters and leaves.

use {
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Length of the shortest prefix that is cached, in bytes.
const SHORTEST: usize = 256;
/// Cache events that are kept.
const EVENTS: usize = 4096;

/// Cached prefixes, the least recently used first.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    hashes: VecDeque<u64>,
    events: VecDeque<Event>,
    sequence: u64,
}

#[derive(Debug)]
struct Event {
    sequence: u64,
    at: Instant,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            hashes: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Uses a prompt; returns the bytes of its longest cached prefix and caches the others.
    pub(super) fn touch(&mut self, prompt: &str) -> usize {
        let mut held = 0;
        let mut stored = Vec::new();
        for (length, hash) in prefixes(prompt) {
            let place = self.hashes.iter().position(|&cached| cached == hash);
            match place.and_then(|place| self.hashes.remove(place)) {
                Some(_) => held = length,
                None => stored.push(hash),
            }
            self.hashes.push_back(hash);
        }
        let excess = self.hashes.len().saturating_sub(self.capacity);
        let removed = self.hashes.drain(..excess).collect();
        self.record(stored, removed);
        held
    }

    fn record(&mut self, stored: Vec<u64>, removed: Vec<u64>) {
        if stored.is_empty() && removed.is_empty() {
            return;
        }
        self.sequence += 1;
        self.events.push_back(Event {
            sequence: self.sequence,
            at: Instant::now(),
            stored,
            removed,
        });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number that are older than the lag; one in `gap` is lost.
    pub(super) fn events(&self, after: u64, lag: Duration, gap: u64) -> Value {
        let events = self.events.iter().filter(|event| {
            let lost = gap > 0 && event.sequence.is_multiple_of(gap);
            event.sequence > after && event.at.elapsed() >= lag && !lost
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

/// Returns lengths and hashes of the prompt's prefixes, the shortest first.
fn prefixes(prompt: &str) -> impl Iterator<Item = (usize, u64)> {
    let bytes = prompt.as_bytes();
    std::iter::successors(Some(SHORTEST), |length| Some(length * 2))
        .take_while(|&length| length <= bytes.len())
        .map(|length| (length, xxh3_64(&bytes[..length])))
}
