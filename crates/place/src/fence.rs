//! Fencing tokens of orders.

use derive_more::{Debug, Display};

/// Number of low bits of the encoded token that hold the term.
const TERM_BITS: u32 = 20;

/// A fencing token: orders sort by configuration version, then by a term within it.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{version}.{term}")]
pub struct Fence {
    /// Configuration version under which the order was made.
    pub version: u64,
    /// Number of the order under that version; rises with each order, 0 if there was none.
    pub term: u32,
}

impl Fence {
    /// Decodes the number that engines store.
    pub fn from_number(number: u64) -> Self {
        Self {
            version: number >> TERM_BITS,
            term: (number & ((1 << TERM_BITS) - 1)) as u32,
        }
    }

    /// Encodes the token as the number that engines store.
    pub fn number(self) -> u64 {
        (self.version << TERM_BITS) | u64::from(self.term)
    }

    /// Returns the token of the next order under `version`; it is higher than this one.
    #[must_use]
    pub fn next(self, version: u64) -> Self {
        if version > self.version {
            return Self { version, term: 1 };
        }
        Self::from_number(self.number() + 1)
    }
}
