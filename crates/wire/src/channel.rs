//! An authenticated connection: seals messages into frames and opens frames.

use {
    crate::{Error, Frame, handshake::Side, msg::Envelope},
    bytes::{Bytes, BytesMut},
    derive_more::Debug,
    hmac::{Hmac, Mac},
    prost::Message,
    sha2::Sha256,
};

/// The state of one connection after the handshake.
///
/// Each direction counts its frames, so that a frame verifies once and only in its place.
#[derive(Clone, Debug)]
pub struct Channel {
    side: Side,
    #[debug("redacted")]
    key: [u8; 32],
    sent: u64,
    received: u64,
}

impl Channel {
    /// Makes a channel from the session key.
    pub fn new(side: Side, key: [u8; 32]) -> Self {
        Self {
            side,
            key,
            sent: 0,
            received: 0,
        }
    }

    /// Seals a message into the bytes of the next frame.
    pub fn seal(&mut self, envelope: &Envelope) -> Bytes {
        self.seal_bytes(Bytes::from(envelope.encode_to_vec()))
    }

    /// Seals an encoded message into the bytes of the next frame.
    pub fn seal_bytes(&mut self, message: Bytes) -> Bytes {
        let mac = self
            .mac(self.side, self.sent, &message)
            .finalize()
            .into_bytes()
            .into();
        self.sent += 1;
        Frame { mac, message }.encode()
    }

    /// Opens the bytes of the next frame.
    ///
    /// # Errors
    /// Returns [`Error::Unauthentic`] for a wrong MAC, also of a replayed or lost frame, and
    /// [`Error::Malformed`] for bytes that are no message.
    pub fn open(&mut self, bytes: BytesMut) -> Result<Envelope, Error> {
        let frame = Frame::decode(bytes)?;
        let peer = match self.side {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        };
        self.mac(peer, self.received, &frame.message)
            .verify_slice(&frame.mac)
            .map_err(|_error| Error::Unauthentic)?;
        self.received += 1;
        Envelope::decode(frame.message).map_err(|_error| Error::Malformed)
    }

    fn mac(&self, from: Side, sequence: u64, message: &[u8]) -> Hmac<Sha256> {
        #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any key length");
        mac.update(&[u8::from(from == Side::Server)]);
        mac.update(&sequence.to_be_bytes());
        mac.update(message);
        mac
    }
}
