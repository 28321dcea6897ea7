//! The place of a stream within its generation.

use crate::Chunk;

/// What an engine's event is to the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Position {
    /// The next one; the cursor moved past it.
    Next,
    /// One that was seen before.
    Duplicate,
    /// One after a missing one.
    Gap,
    /// One of another request or generation, or one that breaks the protocol.
    Mismatched,
}

/// The generation and the index of the next event.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    generation: Option<Box<str>>,
    next: u32,
}

impl Cursor {
    /// Makes a cursor within a known generation.
    pub fn at(generation: Box<str>, next: u32) -> Self {
        Self {
            generation: Some(generation),
            next,
        }
    }

    /// Checks an event of the attempt `request` and moves past it if it is the next one.
    ///
    /// The first event that bears the attempt's id fixes the generation.
    pub fn advance(&mut self, request: &str, chunk: &Chunk) -> Position {
        let is_torn = chunk.finish.is_some() && !chunk.text.is_empty();
        if *chunk.request != *request || is_torn {
            return Position::Mismatched;
        }
        let generation = self
            .generation
            .get_or_insert_with(|| chunk.generation.clone());
        if *generation != chunk.generation {
            return Position::Mismatched;
        }
        if chunk.index < self.next {
            return Position::Duplicate;
        }
        if chunk.index > self.next {
            return Position::Gap;
        }
        if chunk.finish.is_none() {
            self.next += 1;
        }
        Position::Next
    }

    /// Returns the generation, once an event has fixed it.
    pub fn generation(&self) -> Option<&str> {
        self.generation.as_deref()
    }

    /// Returns the index of the next event.
    pub fn next(&self) -> u32 {
        self.next
    }
}
