//! Frames on a TCP connection: a length, a MAC and a message.

use {
    crate::Error,
    bytes::{Bytes, BytesMut},
    tokio_util::codec::LengthDelimitedCodec,
};

/// Longest frame in bytes; a configuration value of a megabyte fits.
pub const MAX_LENGTH: usize = 4 << 20;
/// Length of a MAC in bytes.
pub const MAC_LENGTH: usize = 32;

/// One frame: the MAC and the encoded message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// HMAC-SHA-256 over the direction, the sequence number and the message.
    pub mac: [u8; MAC_LENGTH],
    /// The encoded message.
    pub message: Bytes,
}

impl Frame {
    /// Splits the bytes of a frame.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] if they are shorter than a MAC.
    pub fn decode(mut bytes: BytesMut) -> Result<Self, Error> {
        if bytes.len() < MAC_LENGTH {
            return Err(Error::Malformed);
        }
        let mut mac = [0; MAC_LENGTH];
        mac.copy_from_slice(&bytes.split_to(MAC_LENGTH));
        Ok(Self {
            mac,
            message: bytes.freeze(),
        })
    }

    /// Joins the bytes of a frame.
    pub fn encode(&self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(MAC_LENGTH + self.message.len());
        bytes.extend_from_slice(&self.mac);
        bytes.extend_from_slice(&self.message);
        bytes.freeze()
    }
}

/// Returns the codec that splits a byte stream into frames.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_LENGTH)
        .new_codec()
}
