//! Whether the list of entry VMs in force here is the newest, as far as peers tell.
//!
//! A home of bare keys runs them only while a majority of its data centre's entry VMs and of the data
//! centres have announced the list that it goes by. So after a partition at most one side runs keys,
//! also when the platform answers one side with older values.

use {
    base::{Instant, key},
    config::Snapshot,
    std::{collections::HashMap, time::Duration},
};

/// What peers last announced.
#[derive(Debug, Default)]
pub struct Witness {
    heard: HashMap<key::Vm, (u64, Instant)>,
}

impl Witness {
    /// Notes the configuration version that a peer announced.
    pub fn hear(&mut self, now: Instant, vm: key::Vm, version: u64) {
        self.heard.insert(vm, (version, now));
    }

    /// Returns whether peers confirm the list that came into force with version `since`.
    ///
    /// Announcements count for `limit` and are dropped then; one of a newer version than ours says that ours is old.
    pub fn confirms(
        &mut self,
        now: Instant,
        own: key::Vm,
        snapshot: &Snapshot,
        since: u64,
        limit: Duration,
    ) -> bool {
        self.heard.retain(|_, (_, at)| now.since(*at) <= limit);
        let Some(home) = snapshot.vms.get(own).map(|vm| vm.data_centre) else {
            return false;
        };
        let mut centres: HashMap<key::DataCentre, (usize, usize)> = HashMap::new();
        for (vm, settings) in snapshot.vms.iter() {
            let version = self.heard.get(&vm).map(|(version, _)| *version);
            if version.is_some_and(|version| version > snapshot.version) {
                return false;
            }
            let agrees = vm == own || version.is_some_and(|version| version >= since);
            let (agreeing, all) = centres.entry(settings.data_centre).or_default();
            *agreeing += usize::from(agrees);
            *all += 1;
        }
        let heard = centres.values().filter(|(agreeing, _)| *agreeing > 0);
        let is_majority = heard.count() * 2 > centres.len();
        let (agreeing, all) = centres.get(&home).copied().unwrap_or_default();
        is_majority && agreeing * 2 > all
    }
}
