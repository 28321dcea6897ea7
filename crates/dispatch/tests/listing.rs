//! Removal of targets and notices that they are leaving.

use {
    base::{Instant, key},
    mastictrail_dispatch::{Listing, listing::Target},
    std::time::Duration,
};

fn target(name: &str, is_leaving: bool, started_ms: u64) -> Target {
    Target {
        key: key::Target::of(name),
        instance: name.into(),
        address: "10.0.0.1:80".parse().expect("valid address"),
        service: key::Service::of("s"),
        data_centre: "dc-1".into(),
        slots: 8,
        is_leaving,
        started_ms: Some(started_ms),
        release: "v1".into(),
    }
}

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn names(listing: &Listing) -> Vec<Box<str>> {
    let mut names: Vec<_> = listing.targets().map(|target| target.instance).collect();
    names.sort();
    names
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_is_available() {
    let mut listing = Listing::default();
    listing.replace(vec![target("a", false, 1), target("b", false, 1)], at(0));
    assert!(listing.remove(key::Target::of("a"), Duration::ZERO, at(1)));
    assert_eq!(names(&listing), [Box::from("b")]);
}

#[test]
fn an_entry_that_expires_while_the_store_is_unavailable_may_return() {
    let mut listing = Listing::default();
    listing.replace(vec![target("a", false, 1), target("b", false, 1)], at(0));
    listing.mark_store_unavailable();
    assert!(listing.mark_store_available(at(5_000)));
    assert!(!listing.replace(Vec::new(), at(5_001)));
    assert_eq!(names(&listing).len(), 2);
    listing.put(target("a", false, 1));
    listing.expire(at(6_600));
    assert_eq!(names(&listing).len(), 2);
    listing.expire(at(6_800));
    assert_eq!(names(&listing), [Box::from("a")]);
}

/// A stream of an engine that has left may still be resumed.
#[test]
fn a_service_has_mixed_releases_even_after_the_targets_of_one_have_left() {
    let service = key::Service::of("s");
    let mut listing = Listing::default();
    assert!(!listing.has_mixed_releases(service));
    listing.put(target("a", false, 1));
    listing.put(target("b", false, 1));
    assert!(!listing.has_mixed_releases(service));
    listing.put(Target {
        release: "v2".into(),
        ..target("a", false, 2)
    });
    listing.remove(key::Target::of("b"), Duration::ZERO, at(1));
    assert!(listing.has_mixed_releases(service));
    assert!(!listing.has_mixed_releases(key::Service::of("other")));
}

/// Longest time for which a target that has left may get requests.
const DRAIN_BOUND_MS: u64 = 2_000;
/// Interval of the calls of [`Listing::expire`].
const TICK_MS: u64 = 150;

#[test]
fn a_delayed_removal_takes_effect_within_the_drain_bound() {
    for after_return in (0..4_000).step_by(50) {
        let mut reader = Listing::default();
        let mut informed = Listing::default();
        for listing in [&mut reader, &mut informed] {
            listing.replace(vec![target("a", false, 1)], at(0));
        }
        // The store is still unavailable to the VM that is informed by the reader.
        informed.mark_store_unavailable();
        reader.mark_store_unavailable();
        reader.mark_store_available(at(10_000));
        let removed = 10_000 + after_return;
        let delay = reader.removal_delay(at(removed));
        reader.remove(key::Target::of("a"), delay, at(removed));
        informed.remove(key::Target::of("a"), delay, at(removed));
        let last = at(removed + DRAIN_BOUND_MS - TICK_MS);
        for listing in [&mut reader, &mut informed] {
            listing.expire(last);
            assert!(
                names(listing).is_empty(),
                "{after_return} ms after the store is available again"
            );
        }
    }
}

#[test]
fn a_leaving_notice_holds_until_the_target_restarts() {
    let mut listing = Listing::default();
    listing.put(target("a", false, 1));
    assert!(listing.mark_leaving(key::Target::of("a"), at(0)));
    assert!(!listing.mark_leaving(key::Target::of("a"), at(1)));
    assert!(listing.targets().all(|target| target.is_leaving));
    listing.put(target("a", false, 2));
    assert!(listing.targets().all(|target| !target.is_leaving));
}
