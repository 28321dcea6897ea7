//! The order of configuration versions.

use {
    config::Snapshot,
    derive_more::{Debug, Display},
    wire::msg::Gossip,
};

/// Length of the digest prefix in gossip messages, in bytes.
pub const DIGEST_LENGTH: usize = 8;

/// A configuration version with the prefix of its digest.
///
/// Versions are ordered by number. Two values published with one number are ordered by digest, so
/// that all VMs converge on the same one, whatever the order in which they learn of them.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{number}/{digest:016x}")]
pub struct Version {
    /// The published version; 0 before any is known.
    pub number: u64,
    /// The first eight bytes of the SHA-256 of the value.
    pub digest: u64,
}

impl Version {
    /// Returns the version that a gossip message announces.
    pub fn from_gossip(gossip: &Gossip) -> Self {
        let digest = gossip.configuration_digest.first_chunk();
        Self {
            number: gossip.configuration_version,
            digest: digest.map_or(0, |prefix| u64::from_be_bytes(*prefix)),
        }
    }

    /// Returns the digest prefix as gossip messages carry it.
    pub fn digest_prefix(self) -> [u8; DIGEST_LENGTH] {
        self.digest.to_be_bytes()
    }

    /// Returns whether two different values were published with the same number.
    pub fn conflicts_with(self, other: Self) -> bool {
        self.number == other.number && self.digest != other.digest
    }
}

impl From<&Snapshot> for Version {
    fn from(snapshot: &Snapshot) -> Self {
        let prefix = snapshot.digest.first_chunk();
        Self {
            number: snapshot.version,
            digest: prefix.map_or(0, |prefix| u64::from_be_bytes(*prefix)),
        }
    }
}
