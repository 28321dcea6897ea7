//! The number of targets that a VM uses doesn't grow with the fleet, and every target is used.

use {
    base::key,
    config::{Snapshot, parse},
    mastictrail_entry::subset::{MIN_LOCAL, MIN_REMOTE, MIN_VMS_PER_TARGET, view},
    std::{collections::HashMap, fmt::Write, sync::Arc},
};

/// Builds a deployment of two data centres with this number of VMs and targets in each.
fn snapshot(vms: usize, targets: usize) -> Arc<Snapshot> {
    let mut text = "[deployment]\nname = a\nversion = 1\n[service s]\nkind = plain\n".to_owned();
    for (index, centre) in ["a", "b"].into_iter().enumerate() {
        writeln!(text, "[data_centre {centre}]\nregion = r").unwrap();
        for vm in 0..vms {
            let port = 1000 * (index + 1) + vm;
            writeln!(
                text,
                "[vm {centre}{vm}]\ndata_centre = {centre}\ninner = 127.0.0.1:{port}"
            )
            .unwrap();
        }
        for target in 0..targets {
            let port = 20_000 + 1000 * index + target;
            writeln!(
                text,
                "[target t{centre}{target}]\nservice = s\ndata_centre = {centre}\n\
                 address = 127.0.0.1:{port}"
            )
            .unwrap();
        }
    }
    Arc::new(parse::snapshot("test", &text).expect("a valid deployment"))
}

/// Returns how many VMs of data centre `a` use each target, and the most targets that one VM uses.
fn uses(snapshot: &Arc<Snapshot>, vms: usize) -> (HashMap<key::Target, usize>, usize) {
    let own_data_centre = key::DataCentre::of("a");
    let mut uses = HashMap::new();
    let mut most = 0;
    for vm in 0..vms {
        let view = view(snapshot, key::Vm::of(&format!("a{vm}")), own_data_centre);
        most = most.max(view.targets.len());
        for target in view.targets.keys() {
            *uses.entry(target).or_insert(0) += 1;
        }
    }
    (uses, most)
}

#[test]
fn every_target_of_a_small_deployment_is_used() {
    let snapshot = snapshot(2, MIN_REMOTE);
    let own_data_centre = key::DataCentre::of("a");
    let view = view(&snapshot, key::Vm::of("a0"), own_data_centre);
    assert!(Arc::ptr_eq(&view, &snapshot));
}

#[test]
fn subsets_of_a_large_deployment_are_bounded_and_even() {
    let (vms, targets) = (70, 120);
    let (uses, most) = uses(&snapshot(vms, targets), vms);
    let remote = (targets * MIN_VMS_PER_TARGET).div_ceil(vms).max(MIN_REMOTE);
    assert!(most <= MIN_LOCAL + remote, "{most} targets");
    let local: Vec<_> = (0..targets)
        .map(|target| {
            uses.get(&key::Target::of(&format!("ta{target}")))
                .copied()
                .unwrap_or(0)
        })
        .collect();
    let mean = vms * MIN_LOCAL / targets;
    assert!(
        local.iter().all(|&count| count >= MIN_VMS_PER_TARGET),
        "{local:?}"
    );
    assert!(local.iter().all(|&count| count <= mean + 2), "{local:?}");
}

#[test]
fn subsets_are_larger_with_few_vms() {
    let (vms, targets) = (5, 120);
    let (uses, _) = uses(&snapshot(vms, targets), vms);
    assert_eq!(uses.len(), targets * 2, "no target is left out");
}
