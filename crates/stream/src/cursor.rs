//! The read position of a stream within its generation.

use crate::Chunk;

/// Where a chunk from the engine falls relative to the cursor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Position {
    /// It is the expected chunk; the cursor moved past it.
    Next,
    /// It was received before.
    Duplicate,
    /// A chunk before it is missing.
    Gap,
    /// It belongs to another request or generation, or violates the protocol.
    Mismatched,
}

/// The generation and the index of the next chunk.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    generation: Option<Box<str>>,
    next: u32,
}

impl Cursor {
    /// Creates a cursor at index `next` of a known generation.
    pub fn at(generation: Box<str>, next: u32) -> Self {
        Self {
            generation: Some(generation),
            next,
        }
    }

    /// Classifies a chunk received for the attempt `request` and moves past it if it is next.
    ///
    /// The first chunk with the attempt's id sets the generation.
    pub fn advance(&mut self, request: &str, chunk: &Chunk) -> Position {
        // The final chunk has no text.
        let is_malformed = chunk.finish.is_some() && !chunk.text.is_empty();
        if *chunk.request != *request || is_malformed {
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

    /// Returns the generation, or `None` before the first chunk.
    pub fn generation(&self) -> Option<&str> {
        self.generation.as_deref()
    }

    /// Returns the index of the next chunk.
    pub fn next(&self) -> u32 {
        self.next
    }
}
