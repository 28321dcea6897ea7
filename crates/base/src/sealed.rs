//! Small texts that callers hold and that only this deployment can write.

use {
    base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD},
    derive_more::{Debug, Display, Error},
    hmac::{Hmac, Mac},
    sha2::Sha256,
};

/// Longest text in characters.
pub const LIMIT: usize = 1024;
/// Bytes of the MAC that a text bears.
const MAC_LENGTH: usize = 16;

/// Why a text was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum OpenError {
    /// It is not of the form.
    #[display("the text is malformed")]
    Malformed,
    /// Its MAC is not that of the deployment's key.
    #[display("the text is not authentic")]
    Unauthentic,
}

/// Writes a payload as text with a MAC; `kind` separates the MACs of different kinds of text.
pub fn seal(kind: &str, key: &[u8], mut payload: Vec<u8>) -> Box<str> {
    let mac = mac(kind, key, &payload).finalize().into_bytes();
    payload.extend_from_slice(&mac[..MAC_LENGTH]);
    BASE64_URL_SAFE_NO_PAD.encode(payload).into()
}

/// Reads the payload of a text.
///
/// # Errors
/// Returns [`OpenError`] for any text that was not sealed with this kind and key.
pub fn open(kind: &str, key: &[u8], text: &str) -> Result<Vec<u8>, OpenError> {
    if text.len() > LIMIT {
        return Err(OpenError::Malformed);
    }
    let bytes = BASE64_URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_error| OpenError::Malformed)?;
    let (payload, tag) = bytes
        .split_last_chunk::<MAC_LENGTH>()
        .ok_or(OpenError::Malformed)?;
    mac(kind, key, payload)
        .verify_truncated_left(tag)
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

/// The fields of a payload that are still unread.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a>(#[debug("{} bytes", _0.len())] &'a [u8]);

impl<'a> Reader<'a> {
    /// Starts to read a payload.
    pub fn new(payload: &'a [u8]) -> Self {
        Self(payload)
    }

    /// Reads bytes of a fixed length; `None` if there are fewer.
    pub fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*head)
    }

    /// Reads a number of eight bytes.
    pub fn number(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }

    /// Reads a text after its length of two bytes.
    pub fn text(&mut self) -> Option<Box<str>> {
        let length = usize::from(u16::from_be_bytes(self.take()?));
        let (head, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(head).ok().map(Into::into)
    }

    /// Returns whether everything was read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
