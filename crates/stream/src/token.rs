//! Resume tokens: the SSE `id:` values with which a caller resumes a stream on any entry VM.

use {
    base::{
        key,
        sealed::{self, OpenError, Reader},
    },
    derive_more::{Display, Error},
};

/// Domain separator against other texts sealed with the same key.
const KIND: &str = "resume token";
/// Version of the binary layout, stored in the first byte.
const VERSION: u8 = 1;

/// Why a resume token was rejected.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// The text is not a resume token.
    #[display("the resume token is malformed")]
    Malformed,
    /// The MAC does not verify with the deployment's key.
    #[display("the resume token is not authentic")]
    Unauthentic,
    /// The token belongs to another customer.
    #[display("the resume token belongs to another customer")]
    Foreign,
}

/// Where to resume a stream, and which customer may do so.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumeToken {
    /// Data centre of the engine.
    pub data_centre: key::DataCentre,
    /// Engine that runs the generation.
    pub target: key::Target,
    /// Entry VM that owns the generation and cancels it if the caller does not come back.
    pub vm: key::Vm,
    /// Customer that made the request.
    pub customer: key::Customer,
    /// Index of the next chunk.
    pub next: u32,
    /// Id of the generation.
    pub generation: Box<str>,
    /// Id of the attempt, which the engine's chunks carry.
    pub request: Box<str>,
}

impl ResumeToken {
    /// Encodes the token as text, authenticated with the deployment's key.
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

    /// Verifies and decodes a token that `customer` presents.
    ///
    /// # Errors
    /// Returns [`enum@Error`] if the text is not a token of this deployment and customer.
    pub fn open(text: &str, key: &[u8], customer: key::Customer) -> Result<Self, Error> {
        let payload = sealed::open(KIND, key, text).map_err(|error| match error {
            OpenError::Malformed => Error::Malformed,
            OpenError::Unauthentic => Error::Unauthentic,
        })?;
        let token = decode(&payload).ok_or(Error::Malformed)?;
        if token.customer != customer {
            return Err(Error::Foreign);
        }
        Ok(token)
    }
}

fn decode(payload: &[u8]) -> Option<ResumeToken> {
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
