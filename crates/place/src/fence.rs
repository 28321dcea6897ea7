//! Fencing numbers of orders.

use derive_more::{Debug, Display};

/// Bits of a fencing number that hold the term.
const TERM_BITS: u32 = 20;

/// A fencing number: the configuration version, then a term within it.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{version}.{term}")]
pub struct Fence {
    /// Configuration version under which the order was made.
    pub version: u64,
    /// Rises with each order under that version.
    pub term: u32,
}

impl Fence {
    /// Reads a number as engines hold it.
    pub fn from_number(number: u64) -> Self {
        Self {
            version: number >> TERM_BITS,
            term: (number & ((1 << TERM_BITS) - 1)) as u32,
        }
    }

    /// Returns the number as engines hold it.
    pub fn number(self) -> u64 {
        (self.version << TERM_BITS) | u64::from(self.term)
    }

    /// Returns the number of the next order under a version, above this one.
    #[must_use]
    pub fn next(self, version: u64) -> Self {
        if version > self.version {
            return Self { version, term: 1 };
        }
        Self::from_number(self.number() + 1)
    }
}
