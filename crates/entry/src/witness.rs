//! Quorum check: whether this VM's list of entry VMs is the newest, by the peers' announcements.
//!
//! The owner of a bare idempotency key runs its call only while a majority of the entry VMs of its
//! data centre, and at least one VM in a majority of the data centres, have announced its VM list.
//! So at most one side of a network partition runs such calls, even if the platform serves older
//! configurations to one side.

use {
    base::{Instant, key},
    config::Snapshot,
    std::{collections::HashMap, time::Duration},
};

/// The configuration version that each peer last announced, and when.
#[derive(Debug, Default)]
pub struct Announcements {
    by_vm: HashMap<key::Vm, (u64, Instant)>,
}

impl Announcements {
    /// Records the configuration version that a peer announced.
    pub fn record(&mut self, now: Instant, vm: key::Vm, version: u64) {
        self.by_vm.insert(vm, (version, now));
    }

    /// Returns whether a quorum of peers confirms the VM list introduced by version `list_version`.
    ///
    /// Drops announcements older than `max_age`. An announcement newer than the snapshot means that
    /// the snapshot is outdated, so the list isn't confirmed.
    pub fn confirm(
        &mut self,
        now: Instant,
        own_vm: key::Vm,
        snapshot: &Snapshot,
        list_version: u64,
        max_age: Duration,
    ) -> bool {
        self.by_vm.retain(|_, (_, at)| now.since(*at) <= max_age);
        let Some(own_data_centre) = snapshot.vms.get(own_vm).map(|vm| vm.data_centre) else {
            return false;
        };
        let mut data_centres: HashMap<key::DataCentre, (usize, usize)> = HashMap::new();
        for (vm, settings) in snapshot.vms.iter() {
            let version = self.by_vm.get(&vm).map(|(version, _)| *version);
            if version.is_some_and(|version| version > snapshot.version) {
                return false;
            }
            let agrees = vm == own_vm || version.is_some_and(|version| version >= list_version);
            let (agreeing, total) = data_centres.entry(settings.data_centre).or_default();
            *agreeing += usize::from(agrees);
            *total += 1;
        }
        let confirming = data_centres.values().filter(|(agreeing, _)| *agreeing > 0);
        let is_majority = confirming.count() * 2 > data_centres.len();
        let (agreeing, total) = data_centres
            .get(&own_data_centre)
            .copied()
            .unwrap_or_default();
        is_majority && agreeing * 2 > total
    }
}
