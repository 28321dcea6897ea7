//! Small `Copy` keys of named entities: customers, services, targets, VMs and so on.
//!
//! A key is the 64-bit XXH3 hash of the name, so it is the same on every VM and in every
//! configuration version. A deployment in which two names of one kind collide is rejected.

use {
    derive_more::{Debug, Display},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, hash::BuildHasherDefault},
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[debug("{}({_0:016x})", stringify!($name))]
        #[display("{_0:016x}")]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Returns the key of a name.
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }

            /// Builds a key from its raw value, as carried by the inner protocol.
            pub const fn from_raw(raw: u64) -> Self {
                Self(raw)
            }

            /// Returns the raw value, for the inner protocol.
            pub const fn raw(self) -> u64 {
                self.0
            }
        }
    )*};
}

keys! {
    /// A customer.
    Customer;
    /// A service: a group of targets behind one name.
    Service;
    /// A target: one model engine or one process of a plain service.
    Target;
    /// An entry VM.
    Vm;
    /// A data centre.
    DataCentre;
    /// A model, an adapter or a version of one, as engines name it.
    Model;
    /// A request; the name is the request id.
    Request;
    /// A part of a prompt that several requests may share.
    Part;
    /// What a request consists of, so that one that comes again word for word has the same.
    Fingerprint;
}

/// Hashes keys at no cost, as they are hashes themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hasher(u64);

impl std::hash::Hasher for Hasher {
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }

    fn write_u64(&mut self, i: u64) {
        self.0 = i;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// A map by keys whose names clients can't choose, such as those of targets.
pub type Map<K, V> = HashMap<K, V, BuildHasherDefault<Hasher>>;

impl Fingerprint {
    /// Returns the key of a request with these fields.
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest())
    }
}
