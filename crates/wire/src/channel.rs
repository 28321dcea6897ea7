//! Message authentication on a connection: seals messages into frames and opens frames.

use {
    crate::{Error, Frame, handshake::Side, msg::Envelope},
    bytes::{Bytes, BytesMut},
    derive_more::Debug,
    hmac::{Hmac, Mac},
    prost::Message,
    sha2::Sha256,
};

/// State of a connection after the handshake.
///
/// Each direction counts its frames and the MAC covers the count, so that a replayed, reordered
/// or dropped frame fails verification.
#[derive(Clone, Debug)]
pub struct Channel {
    side: Side,
    #[debug("redacted")]
    key: [u8; 32],
    /// Sequence number of the next frame to send.
    sent: u64,
    /// Sequence number of the next frame to receive.
    received: u64,
}

impl Channel {
    /// Creates a channel from the session key that the handshake derived.
    pub fn new(side: Side, key: [u8; 32]) -> Self {
        Self {
            side,
            key,
            sent: 0,
            received: 0,
        }
    }

    /// Encodes and authenticates a message as the next frame.
    pub fn seal(&mut self, envelope: &Envelope) -> Bytes {
        self.seal_bytes(Bytes::from(envelope.encode_to_vec()))
    }

    /// Authenticates an encoded message as the next frame.
    pub fn seal_bytes(&mut self, message: Bytes) -> Bytes {
        let mac = self
            .mac(self.side, self.sent, &message)
            .finalize()
            .into_bytes()
            .into();
        self.sent += 1;
        Frame { mac, message }.encode()
    }

    /// Verifies and decodes the next frame.
    ///
    /// # Errors
    /// Returns [`Error::Unauthentic`] if the MAC does not verify, as after a replayed or dropped
    /// frame, and [`Error::Malformed`] if the bytes can't be decoded.
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

    fn mac(&self, sender: Side, sequence: u64, message: &[u8]) -> Hmac<Sha256> {
        #[expect(clippy::expect_used, reason = "HMAC accepts keys of any length")]
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any key length");
        mac.update(&[u8::from(sender == Side::Server)]);
        mac.update(&sequence.to_be_bytes());
        mac.update(message);
        mac
    }
}
