//! Size-limited assembly of a gossip message.

use {
    crate::budget::HEADER_BYTES,
    prost::Message,
    wire::{frame::MAC_LENGTH, msg::Gossip},
};

/// Bytes around the message: IPv4 and UDP headers, MAC.
pub(crate) const ENVELOPE_BYTES: usize = HEADER_BYTES + MAC_LENGTH;
/// Bytes counted for the protobuf tag and length in front of an item.
const ITEM_OVERHEAD_BYTES: usize = 3;

/// A message that is being filled up to a number of bytes.
#[derive(Debug)]
pub(crate) struct Draft {
    message: Gossip,
    bytes_left: usize,
}

impl Draft {
    /// Starts from the fixed part; `None` if that alone exceeds the limit.
    ///
    /// `limit` is in bytes and counts headers and MAC.
    pub(crate) fn new(message: Gossip, limit: usize) -> Option<Self> {
        let bytes_left = limit.checked_sub(ENVELOPE_BYTES + message.encoded_len())?;
        Some(Self {
            message,
            bytes_left,
        })
    }

    /// Adds an item to a list of the message; returns whether there was room for it.
    pub(crate) fn add<T: Message>(
        &mut self,
        item: T,
        list: impl FnOnce(&mut Gossip) -> &mut Vec<T>,
    ) -> bool {
        let size = item.encoded_len() + ITEM_OVERHEAD_BYTES;
        let Some(bytes_left) = self.bytes_left.checked_sub(size) else {
            return false;
        };
        self.bytes_left = bytes_left;
        list(&mut self.message).push(item);
        true
    }

    /// Returns whether the message has a record of a member already.
    pub(crate) fn contains_member(&self, vm: &str) -> bool {
        self.message.members.iter().any(|member| member.vm == vm)
    }

    /// Returns the message and its size in bytes with headers and MAC.
    pub(crate) fn finish(self) -> (Gossip, usize) {
        let size = ENVELOPE_BYTES + self.message.encoded_len();
        (self.message, size)
    }
}
