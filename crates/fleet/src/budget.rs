//! The bound on the bytes that a node sends.

use base::Instant;

/// Bytes a second that a node may send, whatever the size of the fleet.
///
/// On average a node receives what it sends, so both directions stay below 4 KB/s.
pub const BYTES_PER_SECOND: u64 = 2000;
/// Most bytes that a node may send at once after a quiet time.
pub const BURST_BYTES: u64 = 4000;
/// Bytes of IPv4 and UDP headers in front of a datagram.
pub const HEADER_BYTES: usize = 28;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket that counts bytes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Bytes left, times a million.
    left: u64,
    filled: Instant,
}

impl Budget {
    /// Starts with a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            left: BURST_BYTES * MICROS_PER_SECOND,
            filled: now,
        }
    }

    /// Returns the bytes that may be sent now.
    pub fn available(&mut self, now: Instant) -> u64 {
        let elapsed = now.since(self.filled).as_micros() as u64;
        self.filled = self.filled.max(now);
        self.left = self
            .left
            .saturating_add(elapsed.saturating_mul(BYTES_PER_SECOND))
            .min(BURST_BYTES * MICROS_PER_SECOND);
        self.left / MICROS_PER_SECOND
    }

    /// Takes the bytes of a datagram; returns whether it may be sent.
    pub fn try_take(&mut self, now: Instant, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if self.available(now) < bytes {
            return false;
        }
        self.left -= bytes * MICROS_PER_SECOND;
        true
    }
}
