//! Removal of targets and notices that they are leaving.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Listing, Position,
        listing::{Past, Target, WarmUp},
    },
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
        is_cordoned: false,
        started_ms: Some(started_ms),
        release: "v1".into(),
        warm_up: WarmUp::default(),
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
    listing.put(target("a", false, 1), at(5_002));
    listing.expire(at(6_600));
    assert_eq!(names(&listing).len(), 2);
    listing.expire(at(6_800));
    assert_eq!(names(&listing), [Box::from("a")]);
}

/// Time within which a stream that a client resumes has begun.
const WINDOW: Duration = Duration::from_secs(6);

fn release(name: &str, release: &str) -> Target {
    Target {
        release: release.into(),
        ..target(name, false, 1)
    }
}

fn only_release(listing: &Listing, now: u64) -> Option<&str> {
    listing.only_release(key::Service::of("s"), WINDOW, at(now))
}

/// A stream may have begun at an engine that has left.
#[test]
fn a_release_counts_for_a_while_after_its_last_target_has_left() {
    let mut listing = Listing::default();
    listing.replace(vec![release("a", "v1"), release("b", "v1")], at(0));
    assert_eq!(only_release(&listing, 10_000), Some("v1"));
    listing.put(release("a", "v2"), at(10_000));
    assert_eq!(only_release(&listing, 11_000), None);
    listing.remove(key::Target::of("b"), Duration::ZERO, at(12_000));
    assert_eq!(only_release(&listing, 18_000), None);
    assert_eq!(only_release(&listing, 18_001), Some("v2"));
    let other = key::Service::of("other");
    assert_eq!(listing.only_release(other, WINDOW, at(18_001)), None);
}

/// A process that has just started has not seen what left before.
#[test]
fn a_list_of_one_release_proves_nothing_at_first() {
    let mut listing = Listing::default();
    assert_eq!(only_release(&listing, 0), None);
    listing.replace(vec![release("a", "v2")], at(1_000));
    assert_eq!(only_release(&listing, 1_000), None);
    assert_eq!(only_release(&listing, 6_999), None);
    assert_eq!(only_release(&listing, 7_000), Some("v2"));
}

#[test]
fn the_history_of_the_store_proves_that_no_other_release_has_left() {
    let history = Duration::from_secs(20);
    let listing = |past: Vec<Past>| {
        let mut listing = Listing::default();
        listing.replace(vec![release("a", "v2")], at(1_000));
        listing.add_history(past, history, at(1_010));
        listing
    };
    let gone = |name| Past::Gone(key::Target::of(name));
    let listed = |name, version| Past::Listed(release(name, version));
    assert_eq!(only_release(&listing(Vec::new()), 1_020), Some("v2"));
    let same = vec![listed("b", "v2"), gone("b")];
    assert_eq!(only_release(&listing(same), 1_020), Some("v2"));
    for other in [
        vec![listed("b", "v1"), gone("b")],
        vec![listed("b", "v1"), listed("b", "v2")],
        // What ran there is not known.
        vec![gone("b")],
        vec![gone("b"), listed("b", "v2")],
    ] {
        let listing = listing(other.clone());
        assert_eq!(only_release(&listing, 1_020), None, "{other:?}");
        assert_eq!(only_release(&listing, 7_011), Some("v2"), "{other:?}");
    }
    // A longer window than the history goes back.
    let long = Duration::from_secs(21);
    let listing = listing(Vec::new());
    let service = key::Service::of("s");
    assert_eq!(listing.only_release(service, long, at(1_020)), None);
    assert_eq!(listing.only_release(service, long, at(2_000)), Some("v2"));
}

#[test]
fn a_release_that_no_peer_described_is_not_known() {
    let mut listing = Listing::default();
    listing.replace(vec![release("a", "")], at(0));
    assert_eq!(only_release(&listing, 10_000), None);
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
    listing.put(target("a", false, 1), at(0));
    assert!(listing.mark_leaving(key::Target::of("a"), Some(1), at(0)));
    assert!(!listing.mark_leaving(key::Target::of("a"), Some(1), at(1)));
    assert!(listing.targets().all(|target| target.is_leaving));
    listing.put(target("a", false, 2), at(0));
    assert!(listing.targets().all(|target| !target.is_leaving));
}

/// Peers report a target as leaving until they have its removal, some of them after this VM has.
#[test]
fn a_notice_about_a_process_that_has_left_does_not_hold_for_the_next_one() {
    let key = key::Target::of("a");
    for started_ms in [Some(1), None] {
        let mut listing = Listing::default();
        listing.replace(vec![target("a", true, 1)], at(0));
        listing.mark_leaving(key, started_ms, at(1));
        listing.remove(key, Duration::ZERO, at(2));
        assert!(
            !listing.mark_leaving(key, started_ms, at(3)),
            "a late report"
        );
        assert!(listing.put(target("a", false, 2), at(4)));
        assert!(listing.targets().all(|target| !target.is_leaving));
        if started_ms.is_some() {
            assert!(!listing.mark_leaving(key, started_ms, at(5)), "a later one");
            assert!(listing.targets().all(|target| !target.is_leaving));
        }
        assert!(
            listing.mark_leaving(key, Some(2), at(6)),
            "it leaves as well"
        );
        assert!(listing.targets().all(|target| target.is_leaving));
    }
}

/// A report may come before the entry of the target that it names.
#[test]
fn a_notice_about_an_unknown_process_holds_for_it_only() {
    let key = key::Target::of("a");
    let mut listing = Listing::default();
    listing.replace(Vec::new(), at(0));
    assert!(!listing.mark_leaving(key, Some(1), at(1)));
    listing.put(target("a", false, 1), at(2));
    assert!(listing.targets().all(|target| target.is_leaving));
    let mut listing = Listing::default();
    listing.replace(Vec::new(), at(0));
    listing.mark_leaving(key, Some(1), at(1));
    listing.put(target("a", false, 2), at(2));
    assert!(listing.targets().all(|target| !target.is_leaving));
}

fn cold(remaining_ms: u64) -> Target {
    Target {
        warm_up: WarmUp::new(Some(Duration::from_millis(remaining_ms))),
        ..target("a", false, 1)
    }
}

/// Returns the milliseconds for which the only listed target is still cold.
fn cold_ms(listing: &Listing, now: Instant) -> u128 {
    let target = listing.targets().next().expect("a target is listed");
    let remaining = target.warm_up.remaining(now);
    remaining.expect("its entry says so").as_millis()
}

/// Each heartbeat of a cold target writes its entry again; that must not rebuild the directory.
#[test]
fn a_count_down_alone_is_no_change() {
    let mut listing = Listing::default();
    assert!(listing.put(cold(8_000), at(1_000)));
    assert!(!listing.put(cold(6_000), at(3_100)));
    assert!(!listing.put(cold(4_000), at(4_900)));
    assert!(!listing.put(cold(0), at(9_300)));
    assert!(!listing.put(cold(0), at(20_000)));
    assert_eq!(cold_ms(&listing, at(5_000)), 4_000);
    // It is cold again, or warm sooner than it said.
    assert!(listing.put(cold(8_000), at(30_000)));
    assert_eq!(cold_ms(&listing, at(30_000)), 8_000);
    assert!(listing.put(cold(0), at(31_000)));
    assert_eq!(cold_ms(&listing, at(31_000)), 0);
}

/// A list that is read later has entries with the time that was left when they were written.
#[test]
fn an_entry_that_is_read_again_does_not_make_its_target_cold_again() {
    let mut listing = Listing::default();
    let position = |revision| Position { era: 1, revision };
    listing.replace_at(position(5), vec![(4, cold(8_000))], at(1_000));
    listing.replace_at(position(9), vec![(4, cold(8_000))], at(7_000));
    assert_eq!(cold_ms(&listing, at(7_000)), 2_000);
    // The list has an older state of the entry than a peer has sent.
    let key = key::Target::of("a");
    assert!(listing.record(key, 12, true));
    listing.put(cold(8_000), at(20_000));
    listing.replace_at(position(11), vec![(10, cold(100))], at(21_000));
    assert_eq!(cold_ms(&listing, at(21_000)), 7_000);
    // The entry was written again.
    listing.replace_at(position(14), vec![(13, cold(9_000))], at(22_000));
    assert_eq!(cold_ms(&listing, at(22_000)), 9_000);
}

/// Answers overtake entries and are overtaken by them.
#[test]
fn an_answer_makes_a_target_cold_but_does_not_end_what_its_entry_says() {
    let mut listing = Listing::default();
    let key = key::Target::of("a");
    assert!(!listing.mark_cold(key, Duration::from_secs(8), at(500)));
    listing.put(target("a", false, 1), at(1_000));
    assert!(listing.mark_cold(key, Duration::ZERO, at(1_500)));
    assert_eq!(cold_ms(&listing, at(1_500)), 0);
    assert!(listing.mark_cold(key, Duration::from_secs(8), at(2_000)));
    assert!(!listing.mark_cold(key, Duration::from_secs(7), at(3_100)));
    assert!(!listing.mark_cold(key, Duration::ZERO, at(3_200)));
    assert_eq!(cold_ms(&listing, at(4_000)), 6_000);
}
