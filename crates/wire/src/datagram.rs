//! Datagrams of the gossip: a MAC and a message, with a window against replays.

use {
    crate::{Error, frame::MAC_LENGTH, msg::Gossip},
    hmac::{Hmac, Mac},
    prost::Message,
    sha2::Sha256,
};

/// Longest datagram in bytes; below the usual MTU.
pub const MAX_LENGTH: usize = 1400;
/// Width of the replay window in datagrams.
pub const REPLAY_WINDOW: u64 = 64;

/// Seals a message into a datagram.
///
/// # Errors
/// Returns [`Error::TooLong`] if it would pass [`MAX_LENGTH`].
pub fn seal(key: &[u8], gossip: &Gossip) -> Result<Vec<u8>, Error> {
    let message = gossip.encode_to_vec();
    if message.len() + MAC_LENGTH > MAX_LENGTH {
        return Err(Error::TooLong);
    }
    let mut bytes = mac(key, &message)?.finalize().into_bytes().to_vec();
    bytes.extend_from_slice(&message);
    Ok(bytes)
}

/// Opens a datagram; the sender's [`ReplayWindow`] must still be asked.
///
/// # Errors
/// Returns [`Error::TooLong`], [`Error::Malformed`] or [`Error::Unauthentic`].
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

/// The sequence numbers seen from one incarnation of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Takes a sequence number.
    ///
    /// # Errors
    /// Returns [`Error::Replayed`] if it was seen before or is older than the window.
    pub fn accept(&mut self, sequence: u64) -> Result<(), Error> {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.seen = self
                .seen
                .checked_shl(shift as u32)
                .filter(|_| shift < REPLAY_WINDOW)
                .unwrap_or(0)
                | 1;
            self.newest = sequence;
            return Ok(());
        }
        let age = self.newest - sequence;
        if age >= REPLAY_WINDOW || self.seen & (1 << age) != 0 {
            return Err(Error::Replayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}
