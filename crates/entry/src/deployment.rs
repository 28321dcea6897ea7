//! The configuration in force, with indexes for request handling.

use {
    crate::{context::Identity, subset},
    base::key,
    config::Snapshot,
    sha2::{Digest, Sha256},
    std::{collections::HashMap, sync::Arc},
};

/// A configuration in force.
#[derive(Debug, Default)]
pub struct Deployment {
    /// The complete snapshot.
    pub snapshot: Arc<Snapshot>,
    /// The snapshot, reduced to the targets that this VM uses.
    pub view: Arc<Snapshot>,
    /// Customers by the SHA-256 digest of their key.
    by_digest: HashMap<[u8; 32], key::Customer>,
}

impl Deployment {
    /// Indexes a snapshot for this entry VM.
    pub fn new(snapshot: Arc<Snapshot>, own: &Identity) -> Self {
        let by_digest = snapshot
            .customers
            .iter()
            .map(|(key, customer)| (customer.key_sha256, key))
            .collect();
        Self {
            view: subset::view(&snapshot, own.vm, own.data_centre),
            snapshot,
            by_digest,
        }
    }

    /// Returns the customer with this key.
    ///
    /// Looks the key up by its digest, so that the lookup's timing reveals nothing about the key.
    pub fn customer(&self, key: &str) -> Option<key::Customer> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        self.by_digest.get(&digest).copied()
    }
}
