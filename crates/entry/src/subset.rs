//! The targets that one entry VM sends work to.
//!
//! While a service has few targets in a data centre, every VM uses all of them. Beyond that each VM
//! uses a subset, so that what it reads and keeps does not grow with the fleet. The VMs of a data
//! centre deal the targets out in rounds, each round in an order of its own, so every target is used
//! by about the same number of VMs, and a VM that fails takes no target out of use.

use {
    base::{key, rendezvous},
    config::Snapshot,
    std::{collections::BTreeMap, sync::Arc},
};

/// Fewest targets of a service in its own data centre that a VM uses.
pub const LOCAL: usize = 16;
/// Fewest targets of a service in each other data centre that a VM uses.
pub const REMOTE: usize = 4;
/// Fewest VMs of a data centre that use one of its targets.
pub const COVER: usize = 4;

/// Returns the snapshot with the targets that a VM of a data centre uses; the same one if that is all.
pub fn view(snapshot: &Arc<Snapshot>, vm: key::Vm, home: key::DataCentre) -> Arc<Snapshot> {
    let mut groups: BTreeMap<_, Vec<key::Target>> = BTreeMap::new();
    for (key, target) in snapshot.targets.iter() {
        let group = groups.entry((target.service, target.data_centre));
        group.or_default().push(key);
    }
    let (index, vms) = place_of(snapshot, vm, home);
    let mut view = Snapshot::default();
    for ((_, data_centre), mut targets) in groups {
        let fewest = if data_centre == home { LOCAL } else { REMOTE };
        let size = fewest.max((targets.len() * COVER).div_ceil(vms));
        for key in subset(&mut targets, size, index) {
            if let Some(target) = snapshot.targets.get(*key) {
                view.targets.insert(*key, target.clone());
            }
        }
    }
    if view.targets.len() == snapshot.targets.len() {
        return Arc::clone(snapshot);
    }
    Arc::new(Snapshot {
        targets: view.targets,
        name: snapshot.name.clone(),
        version: snapshot.version,
        digest: snapshot.digest,
        value: Box::default(),
        data_centres: snapshot.data_centres.clone(),
        vms: snapshot.vms.clone(),
        services: snapshot.services.clone(),
        models: snapshot.models.clone(),
        customers: Arc::clone(&snapshot.customers),
    })
}

/// Returns the place of a VM among those of its data centre, and their number.
fn place_of(snapshot: &Snapshot, vm: key::Vm, home: key::DataCentre) -> (usize, usize) {
    let local = snapshot.vms.iter().filter(|(_, it)| it.data_centre == home);
    let mut vms: Vec<_> = local.map(|(key, _)| key).collect();
    vms.sort_unstable();
    let index = vms.iter().position(|it| *it == vm).unwrap_or(0);
    (index, vms.len().max(1))
}

/// Returns the hand of the VM with an index: a round deals all targets once, in an order of its own.
fn subset(targets: &mut [key::Target], size: usize, index: usize) -> &[key::Target] {
    if targets.len() <= size {
        return targets;
    }
    let hands = targets.len() / size;
    let round = (index / hands) as u64;
    targets.sort_unstable_by_key(|target| (rendezvous::weight(round, target.raw()), *target));
    let start = (index % hands) * size;
    &targets[start..start + size]
}
