//! Server-sent events: an incremental parser and an encoder.
//!
//! The parser reports comments, since engines send them as heartbeats.
//! Source: the HTML standard, section 9.2 "Server-sent events".

use std::fmt::Write;

/// Longest line in bytes; a longer one is an error.
pub const LINE_LIMIT: usize = 256 << 10;

/// One event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// The `id` field.
    pub id: Option<Box<str>>,
    /// The `event` field.
    pub kind: Option<Box<str>>,
    /// The `data` lines, joined by newlines.
    pub data: String,
}

/// An item of a parsed stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// An event with data.
    Event(Event),
    /// A comment line.
    Comment,
}

/// Incremental parser of an event stream's bytes.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    event: Event,
}

impl Parser {
    /// Parses a chunk and returns the items that it completes; `None` if a line is too long.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Vec<Item>> {
        let mut items = Vec::new();
        for part in chunk.split_inclusive(|&byte| byte == b'\n') {
            self.line.extend_from_slice(part);
            if self.line.len() > LINE_LIMIT {
                return None;
            }
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                let line = String::from_utf8_lossy(&line);
                items.extend(self.parse_line(line.trim_end_matches(['\r', '\n'])));
            }
        }
        Some(items)
    }

    fn parse_line(&mut self, line: &str) -> Option<Item> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return (!event.data.is_empty()).then_some(Item::Event(event));
        }
        if line.starts_with(':') {
            return Some(Item::Comment);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.into()),
            "event" => self.event.kind = Some(value.into()),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
        None
    }
}

impl Event {
    /// Encodes the event as text of an event stream.
    pub fn encode(&self) -> String {
        let mut text = String::with_capacity(self.data.len() + 64);
        if let Some(id) = &self.id {
            let _ = writeln!(text, "id: {id}");
        }
        if let Some(kind) = &self.kind {
            let _ = writeln!(text, "event: {kind}");
        }
        for line in self.data.split('\n') {
            let _ = writeln!(text, "data: {line}");
        }
        text.push('\n');
        text
    }
}
