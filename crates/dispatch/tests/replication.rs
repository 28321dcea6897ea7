//! Where a VM gets a newer configuration from, and how many peers it serves at a time.

use {
    base::Instant,
    mastictrail_dispatch::{
        peers::Offer,
        replication::{Replication, Step, Uploads},
    },
    std::{collections::HashSet, net::Ipv4Addr, time::Duration},
};

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn peer(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

/// Returns the offer of a deflated configuration by a peer in the same data centre.
fn offer(last: u8, version: u64) -> Offer {
    Offer {
        peer: peer(last),
        version,
        bytes: 900_000,
        is_deflated: true,
        is_local: true,
        link_mbps: 10,
    }
}

/// Time by which the random delay has ended.
const STARTED: u64 = 600;

/// Returns a state whose random delay has ended.
fn started(seed: u64, offers: &[Offer]) -> Replication {
    let mut replication = Replication::new(seed);
    assert!(matches!(
        replication.step(1, offers, true, at(0)),
        Step::Wait(_)
    ));
    replication
}

#[test]
fn the_newest_version_is_fetched_whichever_was_announced_first() {
    let mut replication = started(1, &[offer(2, 2)]);
    let offers = [offer(2, 2), offer(3, 4), offer(4, 3)];
    let step = replication.step(1, &offers, true, at(STARTED));
    assert_eq!(step, Step::Fetch(peer(3)));
    assert_eq!(replication.lag(), Some((4, at(0))));
    assert_eq!(replication.step(4, &offers, true, at(STARTED)), Step::Idle);
    assert_eq!(replication.lag(), None);
}

#[test]
fn a_peer_of_the_data_centre_with_a_fast_link_is_preferred() {
    let remote = Offer {
        is_local: false,
        link_mbps: 200,
        ..offer(2, 2)
    };
    let fast = Offer {
        link_mbps: 200,
        ..offer(3, 2)
    };
    for seed in 0..20 {
        let offers = [remote, fast, offer(4, 2)];
        let step = started(seed, &offers).step(1, &offers, true, at(STARTED));
        assert_eq!(step, Step::Fetch(peer(3)));
        let offers = [remote, offer(4, 2)];
        let step = started(seed, &offers).step(1, &offers, true, at(STARTED));
        assert_eq!(step, Step::Fetch(peer(4)));
    }
}

#[test]
fn vms_ask_different_peers_at_different_times() {
    let offers: Vec<_> = (2..10).map(|last| offer(last, 2)).collect();
    let mut peers = HashSet::new();
    let mut delays = HashSet::new();
    for seed in 0..100 {
        let mut replication = Replication::new(seed);
        let Step::Wait(until) = replication.step(1, &offers, true, at(0)) else {
            panic!("a VM waits before it asks");
        };
        delays.insert(until);
        assert!(until <= at(500));
        if let Step::Fetch(peer) = replication.step(1, &offers, true, at(STARTED)) {
            peers.insert(peer);
        }
    }
    assert_eq!(peers.len(), offers.len());
    assert!(delays.len() > 90);
}

#[test]
fn a_peer_that_fails_or_is_busy_is_passed_over_for_a_time() {
    let offers = [offer(2, 2), offer(3, 2)];
    let mut replication = started(1, &offers);
    let Step::Fetch(first) = replication.step(1, &offers, true, at(STARTED)) else {
        panic!("a peer is asked");
    };
    replication.record_failure(first, at(STARTED));
    let Step::Fetch(second) = replication.step(1, &offers, true, at(STARTED)) else {
        panic!("the other peer is asked");
    };
    assert_ne!(first, second);
    replication.record_busy(second, Duration::from_millis(100), at(STARTED));
    let Step::Wait(until) = replication.step(1, &offers, true, at(STARTED)) else {
        panic!("no peer is left");
    };
    assert!((at(STARTED + 100)..=at(STARTED + 150)).contains(&until));
    let step = replication.step(1, &offers, true, until);
    assert_eq!(step, Step::Fetch(second));
}

/// An older version that can be had is better than a newer one whose holders fail.
#[test]
fn another_version_is_fetched_while_the_holders_of_the_newest_fail() {
    let offers = [offer(2, 5), offer(3, 4)];
    let mut replication = started(1, &offers);
    assert_eq!(
        replication.step(1, &offers, true, at(STARTED)),
        Step::Fetch(peer(2))
    );
    replication.record_failure(peer(2), at(STARTED));
    assert_eq!(
        replication.step(1, &offers, true, at(STARTED)),
        Step::Fetch(peer(3))
    );
    // With that one in force, the newest is still missing.
    assert_eq!(replication.lag(), Some((5, at(0))));
    assert!(matches!(
        replication.step(4, &offers, true, at(STARTED)),
        Step::Wait(_)
    ));
}

/// The store is read only when no peer provides the version, and not again at once.
#[test]
fn the_store_is_the_last_resort_and_read_at_growing_intervals() {
    let offers = [offer(2, 2)];
    let mut replication = started(7, &offers);
    let mut reads = Vec::new();
    for now in (STARTED..60_000).step_by(10) {
        match replication.step(1, &offers, true, at(now)) {
            Step::Fetch(peer) => replication.record_failure(peer, at(now)),
            Step::Read => reads.push(now),
            Step::Idle | Step::Wait(_) => {}
        }
    }
    assert!(reads[0] >= 1_000 && reads[0] <= 2_010, "{reads:?}");
    let intervals: Vec<_> = reads.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(intervals.iter().all(|interval| *interval >= 2_000));
    assert!(reads.len() <= 7, "{reads:?}");
}

/// Builds that send a large version undeflated would fill their link with it.
#[test]
fn a_large_version_that_no_peer_deflates_comes_from_the_store() {
    let plain = Offer {
        is_deflated: false,
        ..offer(2, 2)
    };
    let mut replication = started(1, &[plain]);
    assert_eq!(replication.step(1, &[plain], true, at(STARTED)), Step::Read);
    let offers = [plain, offer(3, 2)];
    let step = replication.step(1, &offers, true, at(STARTED));
    assert_eq!(step, Step::Fetch(peer(3)));
    let small = Offer {
        bytes: 32 << 10,
        ..plain
    };
    let step = started(1, &[small]).step(1, &[small], true, at(STARTED));
    assert_eq!(step, Step::Fetch(peer(2)));
}

#[test]
fn few_transfers_run_at_a_time_and_one_that_hangs_does_not_count_for_ever() {
    let mut uploads = Uploads::default();
    let running: Vec<_> = (0..4)
        .map(|_| uploads.begin(true, at(0)).expect("there is a place"))
        .collect();
    assert_eq!(uploads.begin(true, at(1_000)), None);
    uploads.end(running[0]);
    assert_eq!(uploads.begin(false, at(1_000)), None);
    assert!(uploads.begin(true, at(1_000)).is_some());
    assert_eq!(uploads.begin(true, at(1_000)), None);
    assert!(uploads.begin(true, at(2_000)).is_some());
}

#[test]
fn a_transfer_that_is_not_deflated_runs_alone() {
    let mut uploads = Uploads::default();
    let plain = uploads.begin(false, at(0)).expect("there is a place");
    assert_eq!(uploads.begin(true, at(0)), None);
    uploads.end(plain);
    assert!(uploads.begin(true, at(0)).is_some());
    assert_eq!(uploads.begin(false, at(0)), None);
}
