//! Sets of cordoned data centres that arrive late, in another era or with invalid names.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Cordon, Listing, Position,
        cordon::{Applied, Change, MAX_NAME_BYTES, MAX_NAMES, Set},
        listing::{Target, WarmUp},
    },
    std::collections::BTreeSet,
};

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn set(era: u64, revision: u64, names: &[&str]) -> Set {
    let names = names.iter().map(|name| Box::from(*name));
    Set::new(position(era, revision), names)
}

fn names(cordon: &Cordon) -> Vec<&str> {
    let set = cordon.set().expect("a set is known");
    set.names().iter().map(|name| &**name).collect()
}

fn known(era: u64, revision: u64, names: &[&str]) -> Cordon {
    let mut cordon = Cordon::default();
    cordon.replace(set(era, revision, names));
    cordon
}

fn put(revision: u64, name: &str) -> Change {
    Change {
        revision,
        name: name.into(),
        is_cordoned: true,
    }
}

fn deletion(revision: u64, name: &str) -> Change {
    Change {
        is_cordoned: false,
        ..put(revision, name)
    }
}

/// A VM that missed the deletion of a key reports its older set to all others.
#[test]
fn an_older_set_never_replaces_a_newer_one() {
    let mut cordon = known(1, 10, &["a"]);
    assert!(cordon.replace(set(1, 12, &[])));
    assert!(!cordon.replace(set(1, 10, &["a"])));
    assert!(!cordon.replace(set(1, 12, &["a"])));
    assert!(names(&cordon).is_empty());
}

/// With merged sets, the name that the newer set lacks would stay.
#[test]
fn a_newer_set_replaces_the_names_of_the_older_one() {
    let mut cordon = known(1, 10, &["a", "b"]);
    assert!(cordon.replace(set(1, 11, &["b", "c"])));
    assert_eq!(names(&cordon), ["b", "c"]);
}

/// Positions advance all the time; only other names are a change that must be sent at once.
#[test]
fn a_newer_set_of_the_same_names_is_no_change() {
    let mut cordon = Cordon::default();
    assert!(cordon.replace(set(1, 1, &[])));
    assert!(!cordon.replace(set(1, 11, &[])));
    assert_eq!(cordon.set().map(Set::position), Some(position(1, 11)));
}

/// A restored store begins again at lower revisions.
#[test]
fn the_set_of_a_new_era_replaces_that_of_a_higher_revision() {
    let mut cordon = known(1, 100, &["a"]);
    assert!(cordon.replace(set(2, 40, &["b"])));
    assert!(!cordon.replace(set(1, 101, &["a"])));
    assert_eq!(names(&cordon), ["b"]);
}

#[test]
fn changes_are_applied_in_their_order() {
    let mut cordon = known(1, 10, &["a"]);
    let changes = vec![
        put(11, "b"),
        deletion(12, "a"),
        deletion(13, "b"),
        put(14, "b"),
    ];
    let applied = cordon.apply(position(1, 10), 20, changes);
    assert_eq!(applied, Applied::Complete { is_changed: true });
    assert_eq!(names(&cordon), ["b"]);
    assert_eq!(cordon.set().map(Set::position), Some(position(1, 20)));
}

/// The watch begins at the older of two positions, so it repeats changes that the set includes.
#[test]
fn a_change_that_the_set_includes_is_not_applied_again() {
    let mut cordon = known(1, 10, &["a"]);
    cordon.replace(set(1, 15, &[]));
    let applied = cordon.apply(position(1, 10), 14, vec![put(11, "a"), deletion(12, "c")]);
    assert_eq!(applied, Applied::Complete { is_changed: false });
    assert!(names(&cordon).is_empty());
    assert_eq!(cordon.set().map(Set::position), Some(position(1, 15)));
}

/// Changes after a gap may follow others that nobody has seen.
#[test]
fn changes_after_a_gap_or_without_a_set_require_a_read() {
    let mut cordon = known(1, 10, &["a"]);
    let changes = || vec![put(13, "b")];
    assert_eq!(
        cordon.apply(position(1, 12), 13, changes()),
        Applied::Incomplete
    );
    assert_eq!(
        cordon.apply(position(2, 5), 13, changes()),
        Applied::Incomplete
    );
    assert_eq!(names(&cordon), ["a"]);
    let applied = Cordon::default().apply(position(1, 12), 13, changes());
    assert_eq!(applied, Applied::Incomplete);
}

/// A response of the era before may arrive after a peer's report of the new one.
#[test]
fn changes_of_an_earlier_era_are_ignored() {
    let mut cordon = known(2, 5, &["a"]);
    let applied = cordon.apply(position(1, 10), 20, vec![deletion(15, "a")]);
    assert_eq!(applied, Applied::Complete { is_changed: false });
    assert_eq!(names(&cordon), ["a"]);
    assert_eq!(cordon.set().map(Set::position), Some(position(2, 5)));
}

/// Keys that somebody writes by mistake must not make a report too large.
#[test]
fn surplus_and_invalid_names_are_ignored() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let longest = "x".repeat(MAX_NAME_BYTES);
    let cordon = known(1, 1, &["", &long, &longest, "b"]);
    assert_eq!(names(&cordon), ["b", &longest]);
    assert_eq!(cordon.set().map(Set::ignored), Some(2));

    let many: Vec<_> = (0..MAX_NAMES + 3)
        .map(|index| format!("dc-{index:03}"))
        .collect();
    let mut many: Vec<_> = many.iter().map(String::as_str).collect();
    let kept = many[..MAX_NAMES].to_vec();
    let cordon = known(1, 1, &many);
    assert_eq!(names(&cordon), kept);
    assert_eq!(cordon.set().map(Set::ignored), Some(3));
    // The order in which the keys were written doesn't matter.
    many.reverse();
    assert_eq!(names(&known(1, 1, &many)), kept);
}

/// A deleted key makes room for one that was left out, which only a read shows.
#[test]
fn a_deletion_from_a_full_set_requires_a_read() {
    let many: Vec<_> = (0..MAX_NAMES)
        .map(|index| format!("dc-{index:03}"))
        .collect();
    let many: Vec<_> = many.iter().map(String::as_str).collect();
    let mut cordon = known(1, 1, &many);
    let applied = cordon.apply(position(1, 1), 2, vec![deletion(2, "dc-000")]);
    assert_eq!(applied, Applied::Incomplete);
    assert!(cordon.replace(set(1, 2, &many[1..])));
    let applied = cordon.apply(position(1, 2), 3, vec![deletion(3, "dc-001")]);
    assert_eq!(applied, Applied::Complete { is_changed: true });
}

#[test]
fn a_report_carries_the_whole_set() {
    let sent = set(3, 7, &["a", "b c"]);
    assert_eq!(Set::from_report(&sent.to_report()), sent);
}

/// A cordoned target may come back at any time, so it stays listed and is not said to be leaving.
#[test]
fn targets_of_cordoned_data_centres_are_marked() {
    let target = |name: &str, data_centre: &str| Target {
        key: key::Target::of(name),
        instance: name.into(),
        address: "10.0.0.1:80".parse().expect("valid address"),
        service: key::Service::of("s"),
        data_centre: data_centre.into(),
        slots: 8,
        is_leaving: false,
        warm_up: WarmUp::default(),
        is_cordoned: false,
        started_ms: Some(1),
        release: "v1".into(),
    };
    let mut listing = Listing::default();
    let targets = vec![target("t-1", "dc-1"), target("t-2", "dc-2")];
    listing.replace(targets, Instant::default());
    let cordoned = BTreeSet::from([Box::from("dc-2"), Box::from("dc-3")]);
    assert!(listing.set_cordoned(&cordoned));
    assert!(!listing.set_cordoned(&cordoned));
    // A target that is listed later is marked as well.
    listing.put(target("t-3", "dc-3"), Instant::default());
    let usable = |listing: &Listing| -> BTreeSet<_> {
        let usable = listing.targets().filter(Target::is_usable);
        usable.map(|target| target.instance).collect()
    };
    assert_eq!(usable(&listing), BTreeSet::from([Box::from("t-1")]));
    assert!(listing.targets().all(|target| !target.is_leaving));
    assert!(listing.set_cordoned(&BTreeSet::new()));
    assert_eq!(usable(&listing).len(), 3);
}
