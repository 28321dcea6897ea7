//! Splits the bytes of an event stream into whole events without changing them.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes; a longer one ends the stream.
pub const EVENT_LIMIT: usize = 1 << 20;

/// An event as the target sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// All bytes up to and with the empty line at its end.
    pub bytes: Bytes,
}

/// Holds the bytes of an event that is not whole yet.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// Bytes of `rest` in which no end of an event was found.
    searched: usize,
}

impl Splitter {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = find_end(&self.rest, from) else {
            self.searched = self.rest.len();
            return None;
        };
        let bytes = self.rest.split_to(end).freeze();
        self.searched = 0;
        Some(Event {
            id: find_id(&bytes),
            bytes,
        })
    }

    /// Returns whether the unfinished event is longer than any that is permitted.
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > EVENT_LIMIT
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.rest.split().freeze()
    }
}

/// Returns where the first event ends, after its empty line.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut line_start = from;
    // The line that `from` lies in began earlier; only later starts may be empty lines.
    let mut is_known = from == 0;
    for (index, &byte) in bytes.iter().enumerate().skip(from) {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if is_known && (line.is_empty() || line == b"\r") && index > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
        is_known = true;
    }
    None
}

fn find_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
