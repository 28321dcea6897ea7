//! What the VMs know of each other.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Peers,
        peers::{Offer, Update, WatchRole},
        report::{QueuedRequest, Report, Summary, TargetLoad},
        waiting::Waiter,
    },
    prost::Message,
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
        loads: vec![TargetLoad {
            target: key::Target::of("t").raw(),
            runs: 1,
            peak_memory: 100,
            pending_prefill: 10,
            copy_memory: 5,
            used_memory: 90,
        }],
        ..Report::default()
    }
}

#[test]
fn a_report_replaces_the_one_before_and_an_older_one_is_dropped() {
    let mut peers = Peers::default();
    assert!(
        peers
            .receive_report(report(2, 5), OWN, at(0))
            .is_some_and(|news| news.is_new)
    );
    assert_eq!(
        peers.receive_report(report(2, 6), OWN, at(1)),
        Some(Update::default())
    );
    assert_eq!(peers.receive_report(report(2, 6), OWN, at(2)), None);
    assert_eq!(peers.receive_report(report(2, 4), OWN, at(3)), None);
    let restarted = Report {
        incarnation: 9,
        ..report(2, 1)
    };
    assert!(
        peers
            .receive_report(restarted, OWN, at(4))
            .is_some_and(|news| news.is_new)
    );
    assert_eq!(
        peers.receive_report(report(1, 1), OWN, at(5)),
        None,
        "its own report"
    );
}

#[test]
fn the_work_of_a_silent_peer_no_longer_counts() {
    let mut peers = Peers::default();
    peers.receive_report(report(2, 1), OWN, at(0));
    peers.receive_report(report(3, 1), OWN, at(4_000));
    let work = |peers: &Peers, now| peers.load(at(now)).get(&key::Target::of("t")).copied();
    assert_eq!(
        work(&peers, 4_000).map(|load: Load| load.peak_memory),
        Some(200)
    );
    assert_eq!(
        work(&peers, 6_000).map(|load: Load| load.peak_memory),
        Some(100)
    );
    assert_eq!(work(&peers, 12_000), None);
}

#[test]
fn introduced_vms_are_sent_reports() {
    let mut peers = Peers::default();
    let introduced = Report {
        introductions: vec![OWN.into(), Ipv4Addr::new(10, 0, 0, 9).into()],
        ..report(2, 1)
    };
    peers.receive_report(introduced, OWN, at(0));
    let mut addresses: Vec<_> = peers.report_recipients(at(1)).into_iter().collect();
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
                        is_store_unreachable: lost.contains(&other),
                        ..report(other, 1)
                    };
                    peers.receive_report(report, own_address, at(0));
                }
                let is_lost = lost.contains(&own);
                peers
                    .watch_role(own_address, 0, is_lost, 3, at(1))
                    .is_some()
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

/// Reports of 20 VMs, those with even numbers in the second data centre.
fn two_data_centres(own: u8) -> Peers {
    let mut peers = Peers::default();
    for other in (1..=20).filter(|&other| other != own) {
        let report = Report {
            data_centre: u64::from(other % 2),
            configuration_version: 7,
            configuration_bytes: 100,
            ..report(other, 1)
        };
        peers.receive_report(report, Ipv4Addr::new(10, 0, 0, own), at(0));
    }
    peers
}

#[test]
fn each_data_centre_has_vms_that_watch_and_one_of_all_is_the_first() {
    let parts: Vec<_> = (1..=20)
        .filter_map(|own| {
            let data_centre = u64::from(own % 2);
            let address = Ipv4Addr::new(10, 0, 0, own);
            let part = two_data_centres(own).watch_role(address, data_centre, false, 3, at(1));
            part.map(|part| (data_centre, part))
        })
        .collect();
    assert_eq!(parts.len(), 4, "{parts:?}");
    for data_centre in [0, 1] {
        assert_eq!(parts.iter().filter(|part| part.0 == data_centre).count(), 2);
    }
    let first = parts.iter().filter(|part| part.1 == WatchRole::Primary);
    assert_eq!(first.count(), 1);
}

#[test]
fn a_vm_that_hears_no_peer_soon_watches_for_itself() {
    let part = |own: u8, now| {
        let address = Ipv4Addr::new(10, 0, 0, own);
        two_data_centres(own).watch_role(address, u64::from(own % 2), false, 3, at(now))
    };
    let idle: Vec<u8> = (1..=20).filter(|&own| part(own, 1).is_none()).collect();
    assert!(!idle.is_empty());
    for own in idle {
        assert_eq!(part(own, 1_000), Some(WatchRole::Primary));
    }
}

#[test]
fn a_newer_configuration_is_asked_for_in_the_own_data_centre() {
    let peers = two_data_centres(1);
    for draw in 0..10 {
        let offer = peers.newer_configuration(6, 1, draw, at(1));
        let Some(Offer { peer, .. }) = offer else {
            panic!("peers have a newer one");
        };
        assert_eq!(peer.octets()[3] % 2, 1);
    }
    assert_eq!(peers.newer_configuration(7, 1, 0, at(1)), None);
}

#[test]
fn a_summary_takes_the_place_of_the_reports_of_its_data_centre_while_it_is_fresh() {
    let mut peers = two_data_centres(1);
    let target = key::Target::of("t");
    let runs = |peers: &Peers, now| peers.load(at(now)).get(&target).map(|load| load.runs);
    assert_eq!(runs(&peers, 10), Some(19));
    let load = Load {
        runs: 3,
        ..Load::default()
    };
    let summary = |load, is_whole| Summary {
        data_centre: 0,
        loads: vec![TargetLoad::new(target, load)],
        is_full: is_whole,
    };
    peers.receive_summary(summary(load, true), at(20));
    assert_eq!(runs(&peers, 30), Some(9 + 3));
    let other = Summary {
        loads: vec![TargetLoad::new(key::Target::of("u"), load)],
        ..summary(load, false)
    };
    peers.receive_summary(other, at(40));
    assert_eq!(runs(&peers, 50), Some(9 + 3), "as before");
    peers.receive_summary(summary(Load::default(), false), at(60));
    assert_eq!(runs(&peers, 70), Some(9));
    assert_eq!(runs(&peers, 1_500), Some(19), "the summary is old");
}

#[test]
fn each_vm_hears_one_vm_of_every_other_data_centre() {
    let mut heard = [0; 21];
    for own in 1..=20 {
        let address = Ipv4Addr::new(10, 0, 0, own);
        for listener in two_data_centres(own).summary_recipients(address, u64::from(own % 2), at(1))
        {
            assert_ne!(listener.octets()[3] % 2, own % 2);
            heard[usize::from(listener.octets()[3])] += 1;
        }
    }
    assert!(heard[1..].iter().all(|&count| count == 1), "{heard:?}");
}

#[test]
fn requests_that_wait_elsewhere_are_known_until_they_give_up() {
    let service = key::Service::of("s");
    let waiter = |arrived, end| Waiter {
        service,
        priority: 1,
        arrived: at(arrived),
        deadline: at(end),
    };
    let waiters = [waiter(100, 900), waiter(50, 400)].into_iter();
    let mut peers = Peers::default();
    let told = Report {
        waiting: QueuedRequest::most_urgent(waiters, at(200)),
        ..report(2, 1)
    };
    // The clocks of two VMs differ; ages and rests don't.
    peers.receive_report(told, OWN, at(5_200));
    let mut known = peers.waiters(None, at(5_200));
    known.sort_by_key(|waiter| waiter.arrived);
    assert_eq!(known, [waiter(5_050, 5_400), waiter(5_100, 5_900)]);
    assert_eq!(peers.waiters(None, at(5_500)).len(), 1);
    assert_eq!(peers.waiters(Some(9), at(5_200)).len(), 0);
}

#[test]
fn runs_are_expected_to_grow_between_two_reports() {
    let mut peers = Peers::default();
    peers.receive_report(report(2, 1), OWN, at(0));
    let held = |now| {
        peers
            .load(at(now))
            .get(&key::Target::of("t"))
            .map(|load| load.used_memory)
    };
    assert_eq!(held(0), Some(90));
    assert_eq!(held(100), Some(99));
    assert_eq!(held(4_000), Some(100), "not beyond what the run is to need");
}

#[test]
fn the_work_at_many_targets_is_told_in_several_datagrams() {
    let load = Load {
        runs: u32::MAX,
        peak_memory: u32::MAX,
        used_memory: u32::MAX,
        pending_prefill: u32::MAX,
        copy_memory: u32::MAX,
    };
    let work: Vec<_> = (0..600)
        .map(|index| TargetLoad::new(key::Target::of(&format!("t-{index}")), load))
        .collect();
    let parts = Summary::split(7, &work, true);
    assert!(parts.iter().all(|part| part.encoded_len() < 8 << 10));
    let wholes: Vec<_> = parts.iter().map(|part| part.is_full).collect();
    assert_eq!(wholes, [true, false, false, false]);
    let told: usize = parts.iter().map(|part| part.loads.len()).sum();
    assert_eq!(told, 600);
    assert_eq!(Summary::split(7, &[], true).len(), 1, "no work at all");
    assert_eq!(Summary::split(7, &[], false).len(), 0, "no change");
}
