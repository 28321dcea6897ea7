//! Changes of the store that arrive late, twice or from another era.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Listing, Position,
        listing::{Target, WarmUp},
        revision::Revisions,
    },
    std::time::Duration,
};

fn key_of(name: &str) -> key::Target {
    key::Target::of(name)
}

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn target(name: &str, is_leaving: bool, started_ms: u64) -> Target {
    Target {
        key: key_of(name),
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

/// Returns the names of the listed targets, with a dash if they are leaving.
fn names(listing: &Listing) -> Vec<String> {
    let name = |target: Target| {
        let dash = if target.is_leaving { "-" } else { "" };
        format!("{dash}{}", target.instance)
    };
    let mut names: Vec<_> = listing.targets().map(name).collect();
    names.sort();
    names
}

/// Returns a list with the targets `a` and `b`, read at revision 10 of era 1.
fn listing() -> Listing {
    let mut listing = Listing::default();
    let listed = vec![(4, target("a", false, 1)), (7, target("b", false, 1))];
    assert!(listing.replace_at(position(1, 10), listed, at(0)));
    listing
}

#[test]
fn an_older_change_of_an_entry_is_no_news() {
    let mut revisions = Revisions::default();
    assert!(revisions.record(key_of("a"), 5, true));
    assert!(!revisions.record(key_of("a"), 5, true));
    assert!(!revisions.record(key_of("a"), 4, true));
    assert!(revisions.record(key_of("b"), 4, true));
    assert!(revisions.record(key_of("a"), 6, true));
}

/// A list that was read before a peer's newer changes may arrive after them.
#[test]
fn a_list_does_not_undo_newer_changes() {
    let mut listing = listing();
    assert!(listing.record(key_of("b"), 12, false));
    listing.remove(key_of("b"), Duration::ZERO, at(1));
    assert!(listing.record(key_of("c"), 13, true));
    listing.put(target("c", false, 1), at(1));
    listing.advance(13, 13);
    let older = vec![(4, target("a", false, 1)), (7, target("b", false, 1))];
    listing.replace_at(position(1, 11), older, at(2));
    assert_eq!(names(&listing), ["a", "c"]);
    assert_eq!(listing.revisions().position(), position(1, 13));
}

/// The next change that is sent to peers follows on the list's position, not on the last entry that
/// is still there: removals leave none.
#[test]
fn a_list_includes_the_removals_before_it() {
    assert_eq!(listing().revisions().last_change(), position(1, 10));
}

#[test]
fn revisions_go_back_in_a_new_era() {
    let mut listing = listing();
    let restored = vec![(4, target("a", false, 1)), (5, target("c", false, 1))];
    listing.replace_at(position(2, 6), restored, at(1));
    assert_eq!(listing.revisions().position(), position(2, 6));
    assert!(
        listing.record(key_of("b"), 7, true),
        "the revision is assigned anew"
    );
}

#[test]
fn a_target_that_a_backup_lacks_has_time_to_register_again() {
    let mut listing = listing();
    listing.replace_at(position(2, 6), vec![(4, target("a", false, 1))], at(1));
    listing.expire(at(1_600));
    assert_eq!(names(&listing), ["a", "b"]);
    listing.expire(at(1_800));
    assert_eq!(names(&listing), ["a"]);
}

#[test]
fn a_target_that_has_announced_its_departure_is_leaving_though_a_backup_does_not_show_it() {
    let mut listing = listing();
    listing.put(target("a", true, 1), at(1));
    listing.put(target("b", true, 1), at(1));
    let restored = vec![(4, target("a", false, 1)), (7, target("b", false, 2))];
    listing.replace_at(position(2, 8), restored, at(2));
    assert_eq!(names(&listing), ["-a", "b"], "`b` has restarted");
}

#[test]
fn a_departed_target_is_excluded_until_it_shows_a_sign_of_life() {
    let backup = || vec![(4, target("a", false, 1)), (7, target("b", false, 1))];
    let mut listing = listing();
    listing.remove(key_of("a"), Duration::ZERO, at(1));
    listing.remove(key_of("b"), Duration::ZERO, at(1));
    listing.replace_at(position(2, 8), backup(), at(100));
    assert!(names(&listing).is_empty());
    assert!(
        listing.put(target("b", false, 1), at(500)),
        "it registers again"
    );
    assert_eq!(names(&listing), ["b"]);
    // The store keeps the entry, so its target renews it.
    assert!(listing.expire(at(6_200)));
    assert_eq!(names(&listing), ["a", "b"]);
}

/// VMs that got the same changes on different ways have the same digest, and no others.
#[test]
fn two_lists_have_one_digest_only_if_they_are_the_same() {
    let read = listing().revisions().state();
    let mut received = Revisions::default();
    for (name, revision) in [("c", 5), ("b", 7), ("a", 4)] {
        received.record(key_of(name), revision, true);
    }
    assert_ne!(received.state().digest, read.digest);
    received.record(key_of("c"), 8, false);
    assert_eq!(received.state().digest, read.digest);
    received.record(key_of("b"), 9, true);
    assert_ne!(received.state().digest, read.digest);
}

/// Targets leave every few seconds, for as long as the process runs.
#[test]
fn old_removals_are_forgotten() {
    let mut revisions = Revisions::default();
    for revision in 1..10_000 {
        let target = key_of(&format!("i-{revision}"));
        revisions.record(target, revision, revision % 100 == 0);
        revisions.advance(revision, revision);
    }
    assert!(revisions.len() < 2_000, "{} entries", revisions.len());
    assert!(
        !revisions.record(key_of("i-100"), 99, false),
        "it is listed"
    );
    assert!(!revisions.record(key_of("i-9900"), 9_899, true));
}
