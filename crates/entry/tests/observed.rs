//! A single failed probe doesn't make a target unreachable; probes of a target don't overlap.

use {
    base::{Instant, key},
    mastictrail_entry::observed::{Probes, UNREACHABLE_AFTER},
    route::Load,
};

#[test]
fn a_target_is_unreachable_after_several_consecutive_failures() {
    let probes = Probes::default();
    let (target, now) = (key::Target::of("a"), Instant::default());
    for _ in 1..UNREACHABLE_AFTER {
        assert!(probes.record(target, now, None));
    }
    assert!(!probes.record(target, now, None));
    assert!(probes.record(target, now, Some(&Load::default())));
    assert!(probes.record(target, now, None));
}

#[test]
fn probes_of_a_target_do_not_overlap() {
    let probes = Probes::default();
    let (target, now) = (key::Target::of("a"), Instant::default());
    assert!(probes.start(target));
    assert!(!probes.start(target));
    probes.record(target, now, None);
    assert!(probes.start(target));
}
