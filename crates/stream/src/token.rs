//! Resume tokens: the SSE `id:` with which a caller goes on over any entry VM.

use {
    base::key,
    base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD},
    derive_more::{Display, Error},
    hmac::{Hmac, Mac},
    sha2::Sha256,
};

/// Longest token in characters.
pub const LIMIT: usize = 1024;
/// Version of the layout, in its first byte.
const VERSION: u8 = 1;
/// Bytes of the MAC that the token bears.
const MAC_LENGTH: usize = 16;
/// Separates these MACs from others of the same key.
const DOMAIN: &[u8] = b"mastictrail resume token";

/// Why a token was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// It is no token.
    #[display("the resume token is malformed")]
    Malformed,
    /// Its MAC is not that of the deployment's key.
    #[display("the resume token is not authentic")]
    Unauthentic,
    /// It belongs to another customer.
    #[display("the resume token belongs to another customer")]
    Foreign,
}

/// Where a stream is to be resumed, and whose it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Data centre of the engine.
    pub data_centre: key::DataCentre,
    /// The engine.
    pub target: key::Target,
    /// The entry VM that owns the generation and cancels it when its caller is gone.
    pub vm: key::Vm,
    /// The customer.
    pub customer: key::Customer,
    /// Index of the next event.
    pub next: u32,
    /// The generation.
    pub generation: Box<str>,
    /// The id of the attempt, as the engine's events bear it.
    pub request: Box<str>,
}

impl Token {
    /// Writes the token as text, with a MAC of the deployment's key.
    pub fn seal(&self, key: &[u8]) -> Box<str> {
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&self.data_centre.raw().to_be_bytes());
        bytes.extend_from_slice(&self.target.raw().to_be_bytes());
        bytes.extend_from_slice(&self.vm.raw().to_be_bytes());
        bytes.extend_from_slice(&self.customer.raw().to_be_bytes());
        bytes.extend_from_slice(&self.next.to_be_bytes());
        for text in [&self.generation, &self.request] {
            bytes.extend_from_slice(&(text.len() as u16).to_be_bytes());
            bytes.extend_from_slice(text.as_bytes());
        }
        let mac = mac(key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC_LENGTH]);
        BASE64_URL_SAFE_NO_PAD.encode(bytes).into()
    }

    /// Reads a token that `customer` presents.
    ///
    /// # Errors
    /// Returns [`enum@Error`] for any text that is not a token of this deployment and customer.
    pub fn open(text: &str, key: &[u8], customer: key::Customer) -> Result<Self, Error> {
        if text.len() > LIMIT {
            return Err(Error::Malformed);
        }
        let bytes = BASE64_URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_error| Error::Malformed)?;
        let (payload, tag) = bytes
            .split_last_chunk::<MAC_LENGTH>()
            .ok_or(Error::Malformed)?;
        mac(key, payload)
            .verify_truncated_left(tag)
            .map_err(|_error| Error::Unauthentic)?;
        let token = Reader(payload).token().ok_or(Error::Malformed)?;
        if token.customer != customer {
            return Err(Error::Foreign);
        }
        Ok(token)
    }
}

fn mac(key: &[u8], payload: &[u8]) -> Hmac<Sha256> {
    #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length");
    mac.update(DOMAIN);
    mac.update(payload);
    mac
}

/// The bytes of a token that are still unread.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn token(mut self) -> Option<Token> {
        if self.take::<1>()? != [VERSION] {
            return None;
        }
        let token = Token {
            data_centre: key::DataCentre::from_raw(self.number()?),
            target: key::Target::from_raw(self.number()?),
            vm: key::Vm::from_raw(self.number()?),
            customer: key::Customer::from_raw(self.number()?),
            next: u32::from_be_bytes(self.take()?),
            generation: self.text()?,
            request: self.text()?,
        };
        self.0.is_empty().then_some(token)
    }

    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*head)
    }

    fn number(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }

    fn text(&mut self) -> Option<Box<str>> {
        let length = usize::from(u16::from_be_bytes(self.take()?));
        let (head, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(head).ok().map(Into::into)
    }
}
