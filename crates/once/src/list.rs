//! The entry VMs of a configuration, and their assignment to ids by rendezvous hashing.

use {crate::Id, base::key, xxhash_rust::xxh3::xxh3_64};

/// The entry VMs of a configuration, sorted and without duplicates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmList {
    digest: u64,
    vms: Box<[key::Vm]>,
}

impl VmList {
    /// Creates a list; order and duplicates don't matter.
    pub fn new(vms: impl IntoIterator<Item = key::Vm>) -> Self {
        let mut vms: Vec<_> = vms.into_iter().collect();
        vms.sort_unstable();
        vms.dedup();
        let bytes: Vec<u8> = vms.iter().flat_map(|vm| vm.raw().to_be_bytes()).collect();
        Self {
            digest: xxh3_64(&bytes),
            vms: vms.into(),
        }
    }

    /// Returns a hash of the list, equal for equal lists.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the entry VMs in the order of their keys.
    pub fn vms(&self) -> &[key::Vm] {
        &self.vms
    }

    /// Returns the owner of an id: the entry VM with the highest weight.
    pub fn owner(&self, id: Id) -> Option<key::Vm> {
        self.vms.iter().copied().max_by_key(|&vm| id.weight(vm))
    }

    /// Returns the entry VM that takes over an id from `absent`: the highest weight of the others.
    pub fn successor(&self, id: Id, absent: key::Vm) -> Option<key::Vm> {
        let others = self.vms.iter().copied().filter(|&vm| vm != absent);
        others.max_by_key(|&vm| id.weight(vm))
    }
}
