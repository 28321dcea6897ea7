//! The entry VMs of one configuration, and who of them owns an id.

use {crate::Id, base::key, xxhash_rust::xxh3::xxh3_64};

/// The entry VMs of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmList {
    digest: u64,
    vms: Box<[key::Vm]>,
}

impl VmList {
    /// Makes a list; the order and doubles do not matter.
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

    /// Returns a number that two lists share only if they are the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the entry VMs.
    pub fn vms(&self) -> &[key::Vm] {
        &self.vms
    }

    /// Returns the home of an id: the entry VM of the highest weight.
    pub fn owner(&self, id: Id) -> Option<key::Vm> {
        self.vms.iter().copied().max_by_key(|&vm| id.weight(vm))
    }

    /// Returns the entry VM of the highest weight beside `absent`.
    pub fn successor(&self, id: Id, absent: key::Vm) -> Option<key::Vm> {
        let others = self.vms.iter().copied().filter(|&vm| vm != absent);
        others.max_by_key(|&vm| id.weight(vm))
    }
}
