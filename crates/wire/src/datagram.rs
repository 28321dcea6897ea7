//! Gossip datagrams: a MAC and a message, with a replay window per sender.

use {
    crate::{Error, frame::MAC_LENGTH, msg::Gossip},
    hmac::{Hmac, Mac},
    prost::Message,
    sha2::Sha256,
};

/// Maximum length of a datagram in bytes; below the usual MTU.
pub const MAX_LENGTH: usize = 1400;
/// Width of the replay window in sequence numbers.
pub const REPLAY_WINDOW: u64 = 64;

/// Encodes and authenticates a message as a datagram.
///
/// # Errors
/// Returns [`Error::TooLong`] if the datagram would exceed [`MAX_LENGTH`].
pub fn seal(key: &[u8], gossip: &Gossip) -> Result<Vec<u8>, Error> {
    let message = gossip.encode_to_vec();
    if message.len() + MAC_LENGTH > MAX_LENGTH {
        return Err(Error::TooLong);
    }
    let mut bytes = mac(key, &message)?.finalize().into_bytes().to_vec();
    bytes.extend_from_slice(&message);
    Ok(bytes)
}

/// Verifies and decodes a datagram.
///
/// This detects no replay: the caller must also pass the sequence number to the sender's
/// [`ReplayWindow`].
///
/// # Errors
/// Returns [`Error::TooLong`] above [`MAX_LENGTH`], [`Error::Malformed`] if the bytes can't be
/// decoded and [`Error::Unauthentic`] if the MAC does not verify.
pub fn open(key: &[u8], bytes: &[u8]) -> Result<Gossip, Error> {
    if bytes.len() > MAX_LENGTH {
        return Err(Error::TooLong);
    }
    let Some((tag, message)) = bytes.split_at_checked(MAC_LENGTH) else {
        return Err(Error::Malformed);
    };
    mac(key, message)?
        .verify_slice(tag)
        .map_err(|_error| Error::Unauthentic)?;
    Gossip::decode(message).map_err(|_error| Error::Malformed)
}

fn mac(key: &[u8], message: &[u8]) -> Result<Hmac<Sha256>, Error> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_length| Error::Unauthentic)?;
    mac.update(message);
    Ok(mac)
}

/// Sequence numbers received from one incarnation of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    /// Highest sequence number received.
    newest: u64,
    /// Bit `n` is set if sequence number `newest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Accepts a sequence number once.
    ///
    /// # Errors
    /// Returns [`Error::Replayed`] if it was received before or is older than the window.
    pub fn accept(&mut self, sequence: u64) -> Result<(), Error> {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.received = self
                .received
                .checked_shl(shift as u32)
                .filter(|_| shift < REPLAY_WINDOW)
                .unwrap_or(0)
                | 1;
            self.newest = sequence;
            return Ok(());
        }
        let age = self.newest - sequence;
        if age >= REPLAY_WINDOW || self.received & (1 << age) != 0 {
            return Err(Error::Replayed);
        }
        self.received |= 1 << age;
        Ok(())
    }
}
