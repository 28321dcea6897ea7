//! Tokens that clients hold and that only this deployment can create.
//!
//! A token is a payload with a truncated HMAC-SHA-256, in URL-safe base64. The payload is
//! authenticated but not encrypted.

use {
    base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD},
    derive_more::{Debug, Display, Error},
    hmac::{Hmac, Mac},
    sha2::Sha256,
};

/// Longest token in bytes.
pub const LIMIT: usize = 1024;
/// Length of the truncated MAC, in bytes.
const MAC_LENGTH: usize = 16;

/// Why a token was rejected.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum OpenError {
    /// The token is too long, not base64 or too short for a MAC.
    #[display("the token is malformed")]
    Malformed,
    /// The MAC doesn't match the kind, the key and the payload.
    #[display("the token is not authentic")]
    Unauthentic,
}

/// Encodes a payload as a token; a MAC is valid only for tokens of the same `kind`.
pub fn seal(kind: &str, key: &[u8], mut payload: Vec<u8>) -> Box<str> {
    let mac = mac(kind, key, &payload).finalize().into_bytes();
    payload.extend_from_slice(&mac[..MAC_LENGTH]);
    BASE64_URL_SAFE_NO_PAD.encode(payload).into()
}

/// Verifies a token and returns its payload.
///
/// # Errors
/// Returns [`OpenError`] for any token that was not sealed with this kind and key.
pub fn open(kind: &str, key: &[u8], token: &str) -> Result<Vec<u8>, OpenError> {
    if token.len() > LIMIT {
        return Err(OpenError::Malformed);
    }
    let bytes = BASE64_URL_SAFE_NO_PAD
        .decode(token)
        .map_err(|_error| OpenError::Malformed)?;
    let (payload, mac_bytes) = bytes
        .split_last_chunk::<MAC_LENGTH>()
        .ok_or(OpenError::Malformed)?;
    mac(kind, key, payload)
        .verify_truncated_left(mac_bytes)
        .map_err(|_error| OpenError::Unauthentic)?;
    Ok(payload.to_vec())
}

fn mac(kind: &str, key: &[u8], payload: &[u8]) -> Hmac<Sha256> {
    #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length");
    mac.update(&(kind.len() as u64).to_be_bytes());
    mac.update(kind.as_bytes());
    mac.update(payload);
    mac
}

/// A cursor over the fields of a payload.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a>(#[debug("{} bytes", _0.len())] &'a [u8]);

impl<'a> Reader<'a> {
    /// Creates a reader at the start of a payload.
    pub fn new(payload: &'a [u8]) -> Self {
        Self(payload)
    }

    /// Reads a fixed number of bytes; `None` if fewer are left.
    pub fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*head)
    }

    /// Reads a big-endian 64-bit integer.
    pub fn number(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }

    /// Reads a UTF-8 string with a 16-bit length prefix.
    pub fn text(&mut self) -> Option<Box<str>> {
        let length = usize::from(u16::from_be_bytes(self.take()?));
        let (head, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(head).ok().map(Into::into)
    }

    /// Returns whether all bytes were read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
