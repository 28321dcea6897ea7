//! Identifiers of calls.

use {
    base::key,
    derive_more::Debug,
    sha2::{Digest, Sha256},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Length of an id in bytes.
pub const LENGTH: usize = 16;

/// Identifier of a call: the digest of a ticket, or of a customer and an idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[debug("{:032x}", u128::from_be_bytes(*_0))]
pub struct Id([u8; LENGTH]);

impl Id {
    /// Returns the id of a customer's idempotency key.
    pub fn of_key(customer: key::Customer, name: &str) -> Self {
        Self::digest(b"key", &[&customer.raw().to_be_bytes(), name.as_bytes()])
    }

    /// Returns the id of a ticket.
    pub fn of_ticket(vm: key::Vm, incarnation: u64, serial: u64) -> Self {
        Self::digest(
            b"ticket",
            &[
                &vm.raw().to_be_bytes(),
                &incarnation.to_be_bytes(),
                &serial.to_be_bytes(),
            ],
        )
    }

    /// Creates an id from its bytes, as carried by the inner protocol.
    pub fn from_bytes(bytes: [u8; LENGTH]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes that the inner protocol carries.
    pub fn bytes(self) -> [u8; LENGTH] {
        self.0
    }

    /// Returns the rendezvous weight of an entry VM; the VM with the highest weight owns the id.
    pub fn weight(self, vm: key::Vm) -> u64 {
        xxh3_64_with_seed(&self.0, vm.raw())
    }

    fn digest(kind: &[u8], parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new_with_prefix(kind);
        for part in parts {
            digest.update(part);
        }
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest.finalize()[..LENGTH]);
        Self(bytes)
    }
}
