//! Tickets: each lets one call be run by one incarnation of one entry VM.

use {
    crate::Id,
    base::{
        Instant, key,
        sealed::{self, OpenError, Reader},
    },
    derive_more::{Display, Error},
};

/// Domain separator: tells tickets from other sealed texts under the same key.
const KIND: &str = "ticket";
/// Version of the binary layout, stored in its first byte.
const VERSION: u8 = 1;

/// Why a ticket was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// The text is not a ticket.
    #[display("the ticket is malformed")]
    Malformed,
    /// The MAC doesn't match the deployment's key.
    #[display("the ticket is not authentic")]
    Unauthentic,
    /// The ticket was issued to another customer.
    #[display("the ticket belongs to another customer")]
    Foreign,
}

/// Authorization to run one call, bound to the incarnation of the entry VM that issued it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The entry VM that issued it.
    pub vm: key::Vm,
    /// The incarnation of that VM.
    pub incarnation: u64,
    /// Serial number, unique within the incarnation.
    pub serial: u64,
    /// The customer that it was issued to.
    pub customer: key::Customer,
    /// When the ticket expires, by the clock of the issuing incarnation.
    pub expiry: Instant,
}

impl Ticket {
    /// Returns the id of the ticket's record.
    pub fn id(&self) -> Id {
        Id::of_ticket(self.vm, self.incarnation, self.serial)
    }

    /// Encodes the ticket as text, authenticated by a MAC under the deployment's key.
    pub fn encode(&self, key: &[u8]) -> Box<str> {
        let mut bytes = vec![VERSION];
        for number in [
            self.vm.raw(),
            self.incarnation,
            self.serial,
            self.customer.raw(),
            self.expiry.as_micros(),
        ] {
            bytes.extend_from_slice(&number.to_be_bytes());
        }
        sealed::seal(KIND, key, bytes)
    }

    /// Decodes and authenticates a ticket that `customer` presents.
    ///
    /// # Errors
    /// Returns [`Invalid`] unless the text is a ticket of this deployment for this customer.
    pub fn decode(text: &str, key: &[u8], customer: key::Customer) -> Result<Self, Invalid> {
        let payload = sealed::open(KIND, key, text).map_err(|error| match error {
            OpenError::Malformed => Invalid::Malformed,
            OpenError::Unauthentic => Invalid::Unauthentic,
        })?;
        let ticket = decode_payload(&payload).ok_or(Invalid::Malformed)?;
        if ticket.customer != customer {
            return Err(Invalid::Foreign);
        }
        Ok(ticket)
    }
}

fn decode_payload(payload: &[u8]) -> Option<Ticket> {
    let mut reader = Reader::new(payload);
    if reader.take::<1>()? != [VERSION] {
        return None;
    }
    let ticket = Ticket {
        vm: key::Vm::from_raw(reader.number()?),
        incarnation: reader.number()?,
        serial: reader.number()?,
        customer: key::Customer::from_raw(reader.number()?),
        expiry: Instant::from_micros(reader.number()?),
    };
    reader.is_empty().then_some(ticket)
}
