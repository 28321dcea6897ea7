//! The configuration in force, with the indexes that a request needs.

use {
    crate::{context::Identity, subset},
    base::key,
    config::Snapshot,
    sha2::{Digest, Sha256},
    std::{collections::HashMap, sync::Arc},
};

/// One configuration version in force.
#[derive(Debug, Default)]
pub struct Deployment {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// The snapshot with only the targets that this VM sends work to.
    pub view: Arc<Snapshot>,
    by_digest: HashMap<[u8; 32], key::Customer>,
}

impl Deployment {
    /// Indexes a snapshot for one of its entry VMs.
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

    /// Returns whose key this is.
    ///
    /// The look-up goes by digest, so its time tells nothing about the key.
    pub fn customer(&self, key: &str) -> Option<key::Customer> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        self.by_digest.get(&digest).copied()
    }
}
