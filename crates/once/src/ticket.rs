//! Tickets: the right to have one call run by one incarnation of one entry VM.

use {
    crate::Id,
    base::{
        Instant, key,
        sealed::{self, OpenError, Reader},
    },
    derive_more::{Display, Error},
};

/// Separates these texts from others under the same key.
const KIND: &str = "ticket";
/// Version of the layout, in its first byte.
const VERSION: u8 = 1;

/// Why a ticket was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// It is no ticket.
    #[display("the ticket is malformed")]
    Malformed,
    /// Its MAC is not that of the deployment's key.
    #[display("the ticket is not authentic")]
    Unauthentic,
    /// It belongs to another customer.
    #[display("the ticket belongs to another customer")]
    Foreign,
}

/// The right to have one call run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The entry VM that issued it.
    pub vm: key::Vm,
    /// The incarnation of that VM.
    pub incarnation: u64,
    /// Number of the ticket within the incarnation.
    pub serial: u64,
    /// The customer that it was issued to.
    pub customer: key::Customer,
    /// When it can't be used any more, by the clock of the incarnation.
    pub expiry: Instant,
}

impl Ticket {
    /// Returns the id of the ticket's record.
    pub fn id(&self) -> Id {
        Id::of_ticket(self.vm, self.incarnation, self.serial)
    }

    /// Writes the ticket as text, with a MAC of the deployment's key.
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

    /// Reads a ticket that `customer` presents.
    ///
    /// # Errors
    /// Returns [`Invalid`] for any text that is not a ticket of this deployment and customer.
    pub fn decode(text: &str, key: &[u8], customer: key::Customer) -> Result<Self, Invalid> {
        let payload = sealed::open(KIND, key, text).map_err(|refused| match refused {
            OpenError::Malformed => Invalid::Malformed,
            OpenError::Unauthentic => Invalid::Unauthentic,
        })?;
        let ticket = read(&payload).ok_or(Invalid::Malformed)?;
        if ticket.customer != customer {
            return Err(Invalid::Foreign);
        }
        Ok(ticket)
    }
}

fn read(payload: &[u8]) -> Option<Ticket> {
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
