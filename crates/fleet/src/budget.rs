//! Rate limit on the bytes that a VM sends for gossip.

use base::Instant;

/// Bytes per second that a VM may send, whatever the number of members.
///
/// On average a VM receives as much as it sends, so both directions together stay within 4 KB/s.
pub const BYTES_PER_SECOND: u64 = 2000;
/// Capacity of the token bucket: bytes that may be sent at once after an idle time.
pub const BURST_BYTES: u64 = 4000;
/// Bytes of the IPv4 and UDP headers of a datagram.
pub const HEADER_BYTES: usize = 28;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket that counts bytes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Available tokens, in millionths of a byte.
    micro_bytes: u64,
    refilled_at: Instant,
}

impl Budget {
    /// Starts with a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            micro_bytes: BURST_BYTES * MICROS_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    pub fn available(&mut self, now: Instant) -> u64 {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        self.refilled_at = self.refilled_at.max(now);
        self.micro_bytes = self
            .micro_bytes
            .saturating_add(elapsed.saturating_mul(BYTES_PER_SECOND))
            .min(BURST_BYTES * MICROS_PER_SECOND);
        self.micro_bytes / MICROS_PER_SECOND
    }

    /// Takes a datagram's bytes from the bucket; returns whether there were enough.
    pub fn try_take(&mut self, now: Instant, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if self.available(now) < bytes {
            return false;
        }
        self.micro_bytes -= bytes * MICROS_PER_SECOND;
        true
    }
}
