//! Which targets take new work.

use {
    base::{Instant, key},
    mastictrail_dispatch::{Listing, listing::Target},
    std::time::Duration,
};

fn target(name: &str, is_leaving: bool, born: u64) -> Target {
    Target {
        key: key::Target::of(name),
        instance: name.into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        service: key::Service::of("s"),
        data_centre: "dc-1".into(),
        slots: 8,
        is_leaving,
        started_ms: Some(born),
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
fn a_removed_target_is_gone_at_once_while_the_store_is_well() {
    let mut listing = Listing::default();
    listing.replace(vec![target("a", false, 1), target("b", false, 1)], at(0));
    assert!(listing.remove(key::Target::of("a"), Duration::ZERO, at(1)));
    assert_eq!(names(&listing), [Box::from("b")]);
}

#[test]
fn an_entry_that_lapses_while_the_store_is_away_has_time_to_return() {
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

/// Longest time for which a target that has left may get requests, and between two calls of
/// [`Listing::advance`].
const DRAIN_BOUND_MS: u64 = 2_000;
const TICK_MS: u64 = 150;

#[test]
fn a_removal_around_trouble_stands_within_the_bound_for_targets_that_leave() {
    for after_return in (0..4_000).step_by(50) {
        let mut reader = Listing::default();
        let mut told = Listing::default();
        for listing in [&mut reader, &mut told] {
            listing.replace(vec![target("a", false, 1)], at(0));
        }
        // The told VM is still without the store itself.
        told.mark_store_unavailable();
        reader.mark_store_unavailable();
        reader.mark_store_available(at(10_000));
        let removed = 10_000 + after_return;
        let hold = reader.removal_delay(at(removed));
        reader.remove(key::Target::of("a"), hold, at(removed));
        told.remove(key::Target::of("a"), hold, at(removed));
        let last = at(removed + DRAIN_BOUND_MS - TICK_MS);
        for listing in [&mut reader, &mut told] {
            listing.expire(last);
            assert!(
                names(listing).is_empty(),
                "{after_return} ms after the return"
            );
        }
    }
}

#[test]
fn a_notice_of_departure_stands_until_the_target_starts_anew() {
    let mut listing = Listing::default();
    listing.put(target("a", false, 1));
    assert!(listing.mark_leaving(key::Target::of("a"), at(0)));
    assert!(!listing.mark_leaving(key::Target::of("a"), at(1)));
    assert!(listing.targets().all(|target| target.is_leaving));
    listing.put(target("a", false, 2));
    assert!(listing.targets().all(|target| !target.is_leaving));
}
