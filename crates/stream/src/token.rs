//! Resume tokens: the SSE `id:` with which a caller goes on over any entry VM.

use {
    base::{
        key,
        sealed::{self, OpenError, Reader},
    },
    derive_more::{Display, Error},
};

/// Separates these texts from others under the same key.
const KIND: &str = "resume token";
/// Version of the layout, in its first byte.
const VERSION: u8 = 1;
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
pub struct ResumeToken {
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

impl ResumeToken {
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
        sealed::seal(KIND, key, bytes)
    }

    /// Reads a token that `customer` presents.
    ///
    /// # Errors
    /// Returns [`enum@Error`] for any text that is not a token of this deployment and customer.
    pub fn open(text: &str, key: &[u8], customer: key::Customer) -> Result<Self, Error> {
        let payload = sealed::open(KIND, key, text).map_err(|refused| match refused {
            OpenError::Malformed => Error::Malformed,
            OpenError::Unauthentic => Error::Unauthentic,
        })?;
        let token = read(&payload).ok_or(Error::Malformed)?;
        if token.customer != customer {
            return Err(Error::Foreign);
        }
        Ok(token)
    }
}

fn read(payload: &[u8]) -> Option<ResumeToken> {
    let mut reader = Reader::new(payload);
    if reader.take::<1>()? != [VERSION] {
        return None;
    }
    let token = ResumeToken {
        data_centre: key::DataCentre::from_raw(reader.number()?),
        target: key::Target::from_raw(reader.number()?),
        vm: key::Vm::from_raw(reader.number()?),
        customer: key::Customer::from_raw(reader.number()?),
        next: u32::from_be_bytes(reader.take()?),
        generation: reader.text()?,
        request: reader.text()?,
    };
    reader.is_empty().then_some(token)
}
