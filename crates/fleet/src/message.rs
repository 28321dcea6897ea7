//! Fills a datagram up to a number of bytes.

use {
    crate::budget::HEADER_BYTES,
    prost::Message,
    wire::{frame::MAC_LENGTH, msg::Gossip},
};

/// Bytes around the message: headers and MAC.
pub(crate) const OVERHEAD: usize = HEADER_BYTES + MAC_LENGTH;
/// Bytes of tag and length in front of an item.
const ITEM_OVERHEAD: usize = 3;

/// A datagram that is being filled.
#[derive(Debug)]
pub(crate) struct Draft {
    message: Gossip,
    left: usize,
}

impl Draft {
    /// Starts from the fixed part; `None` if that alone passes the limit.
    ///
    /// `limit` is in bytes and counts headers and MAC.
    pub(crate) fn new(message: Gossip, limit: usize) -> Option<Self> {
        let left = limit.checked_sub(OVERHEAD + message.encoded_len())?;
        Some(Self { message, left })
    }

    /// Adds an item to one of the lists; returns whether it fitted.
    pub(crate) fn add<T: Message>(
        &mut self,
        item: T,
        list: impl FnOnce(&mut Gossip) -> &mut Vec<T>,
    ) -> bool {
        let size = item.encoded_len() + ITEM_OVERHEAD;
        let Some(left) = self.left.checked_sub(size) else {
            return false;
        };
        self.left = left;
        list(&mut self.message).push(item);
        true
    }

    /// Returns whether a member's record is in already.
    pub(crate) fn names(&self, vm: &str) -> bool {
        self.message.members.iter().any(|member| member.vm == vm)
    }

    /// Returns the message and its size in bytes with headers and MAC.
    pub(crate) fn finish(self) -> (Gossip, usize) {
        let size = OVERHEAD + self.message.encoded_len();
        (self.message, size)
    }
}
