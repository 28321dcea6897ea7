//! Promise: one probe without an answer does not take a target out of use.

use {
    base::{Instant, key},
    mastictrail_entry::observed::{Observed, UNREACHABLE_AFTER},
    route::Load,
};

#[test]
fn a_target_is_unreachable_after_several_probes_in_a_row() {
    let observed = Observed::default();
    let (target, now) = (key::Target::of("a"), Instant::default());
    for _ in 1..UNREACHABLE_AFTER {
        assert!(observed.note(target, now, None));
    }
    assert!(!observed.note(target, now, None));
    assert!(observed.note(target, now, Some(&Load::default())));
    assert!(observed.note(target, now, None));
}

#[test]
fn a_target_is_asked_once_at_a_time() {
    let observed = Observed::default();
    let (target, now) = (key::Target::of("a"), Instant::default());
    assert!(observed.begin(target));
    assert!(!observed.begin(target));
    observed.note(target, now, None);
    assert!(observed.begin(target));
}
