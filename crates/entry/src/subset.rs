//! Deterministic subsetting: the targets that one entry VM uses.
//!
//! While a service has few targets in a data centre, every VM uses all of them. Beyond that each VM
//! uses a subset, so that its probes and state don't grow with the fleet. The VMs of a data centre
//! are grouped into rounds. Each round shuffles the targets in its own way and splits them into one
//! subset for each of its VMs. So every target is used by about the same number of VMs, and the
//! failure of one VM leaves no target unused.

use {
    base::{key, rendezvous},
    config::Snapshot,
    std::{collections::BTreeMap, sync::Arc},
};

/// Least number of a service's targets that a VM uses in its own data centre.
pub const MIN_LOCAL: usize = 16;
/// Least number of a service's targets that a VM uses in each other data centre.
pub const MIN_REMOTE: usize = 4;
/// Least average number of a data centre's VMs that use a target, local or remote.
pub const MIN_VMS_PER_TARGET: usize = 4;

/// Returns the snapshot reduced to the targets that a VM uses, or the same one if it uses all.
pub fn view(
    snapshot: &Arc<Snapshot>,
    vm: key::Vm,
    own_data_centre: key::DataCentre,
) -> Arc<Snapshot> {
    let mut groups: BTreeMap<_, Vec<key::Target>> = BTreeMap::new();
    for (key, target) in snapshot.targets.iter() {
        let group = groups.entry((target.service, target.data_centre));
        group.or_default().push(key);
    }
    let (index, vms) = position_of(snapshot, vm, own_data_centre);
    let mut view = Snapshot::default();
    for ((_, data_centre), mut targets) in groups {
        let least = if data_centre == own_data_centre {
            MIN_LOCAL
        } else {
            MIN_REMOTE
        };
        let size = least.max((targets.len() * MIN_VMS_PER_TARGET).div_ceil(vms));
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

/// Returns the index of a VM among those of its data centre, and their number.
fn position_of(
    snapshot: &Snapshot,
    vm: key::Vm,
    own_data_centre: key::DataCentre,
) -> (usize, usize) {
    let local = snapshot
        .vms
        .iter()
        .filter(|(_, it)| it.data_centre == own_data_centre);
    let mut vms: Vec<_> = local.map(|(key, _)| key).collect();
    vms.sort_unstable();
    let index = vms.iter().position(|it| *it == vm).unwrap_or(0);
    (index, vms.len().max(1))
}

/// Returns the targets of the VM at `index`; the subsets of one round don't overlap.
fn subset(targets: &mut [key::Target], size: usize, index: usize) -> &[key::Target] {
    if targets.len() <= size {
        return targets;
    }
    let subsets = targets.len() / size;
    let round = (index / subsets) as u64;
    targets.sort_unstable_by_key(|target| (rendezvous::weight(round, target.raw()), *target));
    let start = (index % subsets) * size;
    &targets[start..start + size]
}
