//! Splits a server-sent event stream into complete events without changing their bytes.

use {
    bytes::{Bytes, BytesMut},
    derive_more::Display,
};

/// Size limit of an event in bytes; a larger one is a defect.
pub const EVENT_LIMIT: usize = 64 << 10;
/// Fields of an event that may stand without a value.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// An event as the target sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// All bytes, including the empty line at the end.
    pub bytes: Bytes,
}

/// Why an answer is not a stream of events, or not a whole one.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Defect {
    /// The last event is incomplete.
    #[display("the answer ended inside an event")]
    InsideEvent,
    /// There was no event, nor an end that only a whole answer has.
    #[display("the answer ended before its first event")]
    NoEvent,
    /// An event exceeds [`EVENT_LIMIT`].
    #[display("an event is too long")]
    Overlong,
    /// The answer has a line that no event has.
    #[display("the answer has bytes that are no event")]
    NoField,
    /// The answer goes on with a stream whose events have ids, but has an event without one.
    #[display("an event of a continued stream has no id")]
    NoId,
}

/// Buffers the bytes of an incomplete event; each answer takes a splitter of its own.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the part of `buffer` that contains no end of an event.
    searched: usize,
    has_event: bool,
    /// Whether the answer goes on with a stream whose events have ids.
    is_continuation: bool,
    /// Why the buffer begins with something else than an event of the stream.
    malformed: Option<Defect>,
}

impl Splitter {
    /// Creates a splitter for an answer that goes on with a stream whose events have ids.
    ///
    /// Another answer, such as the report of an error, is then a defect, and so is an empty one.
    pub fn of_continuation() -> Self {
        Self {
            is_continuation: true,
            ..Self::default()
        }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        // The end of an event, at most `\n\r\n`, may have been received in part before.
        let from = self.searched.saturating_sub(3);
        let Some(end) = find_end(&self.buffer, from) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.malformed = self.malformed.or(self.find_malformed(&self.buffer[..end]));
        if self.malformed.is_some() {
            return None;
        }
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = find_id(&bytes);
        self.has_event |= !self.is_continuation || id.is_some();
        Some(Event { id, bytes })
    }

    /// Returns why some bytes are no event of the stream; `None` if they are.
    fn find_malformed(&self, bytes: &[u8]) -> Option<Defect> {
        let mut lines = bytes.split(|&byte| byte == b'\n');
        if !lines.clone().all(is_field) {
            return Some(Defect::NoField);
        }
        let is_comment = |line: &[u8]| matches!(line, b"" | b"\r") || line.starts_with(b":");
        let lacks_id = self.is_continuation && find_id(bytes).is_none() && !lines.all(is_comment);
        lacks_id.then_some(Defect::NoId)
    }

    /// Returns why the buffered bytes can't be the beginning of an event; `None` if they can.
    pub fn defect(&self) -> Option<Defect> {
        if self.malformed.is_some() {
            self.malformed
        } else if self.buffer.len() > EVENT_LIMIT {
            Some(Defect::Overlong)
        } else {
            None
        }
    }

    /// Returns why the answer can't be complete if it ends here; `None` if it can.
    ///
    /// `is_delimited` is false if the answer ends with its connection, as one that is broken off
    /// does, too.
    pub fn find_defect(&self, is_delimited: bool) -> Option<Defect> {
        // Empty lines between events belong to none of them.
        let is_inside = self
            .buffer
            .iter()
            .any(|byte| !matches!(byte, b'\r' | b'\n'));
        if is_inside {
            Some(Defect::InsideEvent)
        } else if !self.has_event && (!is_delimited || self.is_continuation) {
            Some(Defect::NoEvent)
        } else {
            None
        }
    }

    /// Returns the number of bytes after the last complete event.
    pub fn rest_len(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.malformed = None;
        self.buffer.split().freeze()
    }
}

/// Returns the end of the first event, after its empty line, searching the bytes after `from`.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut line_start = from;
    // `from` may lie within a line, the start of which is then unknown.
    let mut is_start_known = from == 0;
    for (index, &byte) in bytes.iter().enumerate().skip(from) {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if is_start_known && (line.is_empty() || line == b"\r") && index > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
        is_start_known = true;
    }
    None
}

/// Returns whether a line has a field of an event, a comment or nothing.
fn is_field(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let name = line.split(|&byte| byte == b':').next().unwrap_or(line);
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    if name.len() < line.len() {
        name.iter().all(is_name)
    } else {
        line.is_empty() || FIELDS.contains(&line)
    }
}

/// Returns the value of the `id` field, if it is a number.
fn find_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
