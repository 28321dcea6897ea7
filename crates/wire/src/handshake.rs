//! Handshake of a connection: protocol versions, VM names and the session key.

use {
    crate::{Error, channel::Channel, msg::Hello},
    hmac::{Hmac, Mac},
    sha2::Sha256,
};

/// Oldest protocol version that this build supports.
pub const VERSION_MIN: u32 = 1;
/// Newest protocol version that this build supports.
pub const VERSION_MAX: u32 = 1;
/// Length of a nonce in bytes.
pub const NONCE_LENGTH: usize = 16;

/// Which end of a connection this is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The end that opened the connection.
    Client,
    /// The end that accepted the connection.
    Server,
}

/// Creates the `Hello` of this end.
pub fn hello(vm: &str, incarnation: u64, nonce: [u8; NONCE_LENGTH]) -> Hello {
    Hello {
        version_min: VERSION_MIN,
        version_max: VERSION_MAX,
        vm: vm.to_owned(),
        incarnation,
        nonce: nonce.to_vec(),
    }
}

/// Derives the channel from the `Hello` messages of both ends.
///
/// The session key depends on both nonces, so frames of another connection do not verify.
///
/// # Errors
/// Returns [`Error::Version`] if there is no common protocol version and [`Error::Malformed`] if
/// the peer's nonce has the wrong length or repeats ours.
pub fn channel(key: &[u8], side: Side, ours: &Hello, theirs: &Hello) -> Result<Channel, Error> {
    if theirs.version_min > ours.version_max || theirs.version_max < ours.version_min {
        return Err(Error::Version);
    }
    if theirs.nonce.len() != NONCE_LENGTH || theirs.nonce == ours.nonce {
        return Err(Error::Malformed);
    }
    let (client, server) = match side {
        Side::Client => (ours, theirs),
        Side::Server => (theirs, ours),
    };
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_length| Error::Unauthentic)?;
    for hello in [client, server] {
        mac.update(&hello.nonce);
        mac.update(&(hello.vm.len() as u64).to_be_bytes());
        mac.update(hello.vm.as_bytes());
        mac.update(&hello.incarnation.to_be_bytes());
    }
    Ok(Channel::new(side, mac.finalize().into_bytes().into()))
}
