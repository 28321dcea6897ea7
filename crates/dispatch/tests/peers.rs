//! What the VMs know of each other.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Peers,
        peers::{News, Report, Work},
    },
    std::{net::Ipv4Addr, time::Duration},
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn report(last: u8, sequence: u64) -> Report {
    Report {
        address: Ipv4Addr::new(10, 0, 0, last).into(),
        incarnation: 1,
        sequence,
        work: vec![Work {
            target: key::Target::of("t").raw(),
            runs: 1,
            memory: 100,
            prefill: 10,
            copies: 5,
            held: 90,
        }],
        ..Report::default()
    }
}

#[test]
fn a_report_replaces_the_one_before_and_an_older_one_is_dropped() {
    let mut peers = Peers::default();
    assert!(
        peers
            .receive(report(2, 5), OWN, at(0))
            .is_some_and(|news| news.is_new)
    );
    assert_eq!(
        peers.receive(report(2, 6), OWN, at(1)),
        Some(News::default())
    );
    assert_eq!(peers.receive(report(2, 6), OWN, at(2)), None);
    assert_eq!(peers.receive(report(2, 4), OWN, at(3)), None);
    let restarted = Report {
        incarnation: 9,
        ..report(2, 1)
    };
    assert!(
        peers
            .receive(restarted, OWN, at(4))
            .is_some_and(|news| news.is_new)
    );
    assert_eq!(
        peers.receive(report(1, 1), OWN, at(5)),
        None,
        "its own report"
    );
}

#[test]
fn the_work_of_a_silent_peer_no_longer_counts() {
    let mut peers = Peers::default();
    peers.receive(report(2, 1), OWN, at(0));
    peers.receive(report(3, 1), OWN, at(4_000));
    let work = |peers: &Peers, now| peers.work(at(now)).get(&key::Target::of("t")).copied();
    assert_eq!(work(&peers, 4_000).map(|load: Load| load.memory), Some(200));
    assert_eq!(work(&peers, 6_000).map(|load: Load| load.memory), Some(100));
    assert_eq!(work(&peers, 12_000), None);
}

#[test]
fn introduced_vms_are_sent_reports() {
    let mut peers = Peers::default();
    let introduced = Report {
        introductions: vec![OWN.into(), Ipv4Addr::new(10, 0, 0, 9).into()],
        ..report(2, 1)
    };
    peers.receive(introduced, OWN, at(0));
    let mut addresses: Vec<_> = peers.addresses(at(1)).into_iter().collect();
    addresses.sort();
    assert_eq!(
        addresses,
        [Ipv4Addr::new(10, 0, 0, 2), Ipv4Addr::new(10, 0, 0, 9)]
    );
}

#[test]
fn all_vms_agree_on_few_that_watch_and_a_lost_store_passes_the_task_on() {
    let watchers = |lost: &[u8]| -> Vec<u8> {
        (1..=20)
            .filter(|&own| {
                let mut peers = Peers::default();
                let own_address = Ipv4Addr::new(10, 0, 0, own);
                for other in (1..=20).filter(|&other| other != own) {
                    let report = Report {
                        is_store_lost: lost.contains(&other),
                        ..report(other, 1)
                    };
                    peers.receive(report, own_address, at(0));
                }
                peers.is_watcher(own_address, lost.contains(&own), 3, at(1))
            })
            .collect()
    };
    let first = watchers(&[]);
    assert_eq!(first.len(), 3);
    let second = watchers(&first);
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|vm| !first.contains(vm)));
    let all: Vec<u8> = (1..=20).collect();
    assert_eq!(
        watchers(&all),
        first,
        "somebody goes on asking while the store is away"
    );
}
