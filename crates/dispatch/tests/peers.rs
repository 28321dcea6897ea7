//! Reports, summaries and roles of the VMs.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Peers, origin,
        peers::{Candidate, Update},
        replication::{Replication, Step},
        report::{
            Changes, Datagram, Description, Entry, Failing, Origin, QueuedRequest, Report, Summary,
            TargetLoad,
        },
        waiting::Waiter,
        watch::WatchRole,
    },
    prost::Message,
    std::{
        collections::{HashMap, HashSet},
        net::Ipv4Addr,
        time::Duration,
    },
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn candidate(last: u8, data_centre: u64, link_mbps: u32) -> Candidate {
    Candidate {
        address: Ipv4Addr::new(10, 0, 0, last),
        data_centre,
        link_mbps,
    }
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
            ..TargetLoad::default()
        }],
        ..Report::default()
    }
}

#[test]
fn a_report_replaces_the_previous_one_and_an_older_one_is_dropped() {
    let mut peers = Peers::default();
    assert!(
        peers
            .receive_report(report(2, 5), OWN, at(0))
            .is_some_and(|update| update.is_new)
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
            .is_some_and(|update| update.is_new)
    );
    assert_eq!(
        peers.receive_report(report(1, 1), OWN, at(5)),
        None,
        "its own report"
    );
}

#[test]
fn the_load_of_a_silent_peer_no_longer_counts() {
    let mut peers = Peers::default();
    peers.receive_report(report(2, 1), OWN, at(0));
    peers.receive_report(report(3, 1), OWN, at(4_000));
    let load = |peers: &Peers, now| peers.load(at(now)).get(&key::Target::of("t")).copied();
    assert_eq!(
        load(&peers, 4_000).map(|load: Load| load.peak_memory),
        Some(200)
    );
    assert_eq!(
        load(&peers, 6_000).map(|load: Load| load.peak_memory),
        Some(100)
    );
    assert_eq!(load(&peers, 12_000), None);
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
fn all_vms_agree_on_the_watchers_and_replace_those_without_the_store() {
    let watchers = |unreachable: &[u8]| -> Vec<u8> {
        (1..=20)
            .filter(|&own| {
                let mut peers = Peers::default();
                let own_address = Ipv4Addr::new(10, 0, 0, own);
                for other in (1..=20).filter(|&other| other != own) {
                    let report = Report {
                        is_store_unreachable: unreachable.contains(&other),
                        ..report(other, 1)
                    };
                    peers.receive_report(report, own_address, at(0));
                }
                let is_unreachable = unreachable.contains(&own);
                peers
                    .watch_role(candidate(own, 0, 0), is_unreachable, 3, at(1))
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
        "the store is still watched while no VM reaches it"
    );
}

/// State of one of 20 VMs that has a report of each other one; odd and even numbers form two data
/// centres.
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
fn each_data_centre_has_watchers_and_one_of_all_is_the_primary() {
    let roles: Vec<_> = (1..=20)
        .filter_map(|own| {
            let data_centre = u64::from(own % 2);
            let candidate = candidate(own, data_centre, 0);
            let role = two_data_centres(own).watch_role(candidate, false, 3, at(1));
            role.map(|role| (data_centre, role))
        })
        .collect();
    assert_eq!(roles.len(), 4, "{roles:?}");
    for data_centre in [0, 1] {
        assert_eq!(roles.iter().filter(|role| role.0 == data_centre).count(), 2);
    }
    let first = roles.iter().filter(|role| role.1 == WatchRole::Primary);
    assert_eq!(first.count(), 1);
}

#[test]
fn a_vm_without_reports_from_peers_soon_watches_the_store() {
    let role = |own: u8, now| {
        let candidate = candidate(own, u64::from(own % 2), 0);
        two_data_centres(own).watch_role(candidate, false, 3, at(now))
    };
    let idle: Vec<u8> = (1..=20).filter(|&own| role(own, 1).is_none()).collect();
    assert!(!idle.is_empty());
    for own in idle {
        assert_eq!(role(own, 1_000), Some(WatchRole::Primary));
    }
}

/// A release that replaces many targets at once, or the history after an outage, exceeds a datagram.
#[test]
fn changes_of_many_targets_are_split_into_datagrams_that_follow_one_another() {
    let entry = |index: u64| Entry {
        revision: 100 + index / 2,
        target: index,
        description: Some(Description {
            instance: format!("i-{index:010x}"),
            address: 1,
            port: 8644,
            service: 2,
            data_centre: "data-centre-1".into(),
            slots: 24,
            is_leaving: false,
            started_ms: Some(1_750_000_000_000),
            release: "v1.2.3".into(),
            cold_remaining_ms: Some(8_000),
        }),
    };
    let entries: Vec<_> = (0..600).map(entry).collect();
    let changes = Changes {
        from: 90,
        to: 500,
        entries: entries.clone(),
        removal_delay_ms: 7,
        era: 3,
    };
    let parts = changes.split();
    assert!(parts.len() > 5);
    let mut from = 90;
    for part in &parts {
        assert_eq!((part.from, part.removal_delay_ms, part.era), (from, 7, 3));
        from = part.to;
        let datagram = Datagram {
            changes: Some(part.clone()),
            ..Datagram::default()
        };
        assert!(datagram.encoded_len() <= 8 << 10);
    }
    assert_eq!(from, 500);
    let received: Vec<_> = parts.into_iter().flat_map(|part| part.entries).collect();
    assert_eq!(received, entries);
    let none = Changes {
        from: 1,
        to: 2,
        ..Changes::default()
    };
    assert_eq!(none.clone().split(), [none]);
}

#[test]
fn a_newer_configuration_is_fetched_in_the_local_data_centre() {
    let peers = two_data_centres(1);
    let offers = peers.newer_configurations(6, 1, at(1));
    assert_eq!(offers.len(), 19);
    for seed in 0..10 {
        let mut replication = Replication::new(seed);
        assert!(matches!(
            replication.step(6, &offers, false, at(1)),
            Step::Wait(_)
        ));
        let step = replication.step(6, &offers, false, at(1_000));
        let Step::Fetch(peer) = step else {
            panic!("{step:?}: peers have a newer configuration");
        };
        assert_eq!(peer.octets()[3] % 2, 1);
    }
    assert_eq!(peers.newer_configurations(7, 1, at(1)), []);
}

/// Returns the watchers of 20 VMs in two data centres, as the VMs that report their links rank them
/// and as those do whose build doesn't, with their roles.
fn watchers_by_link(link_mbps: impl Fn(u8) -> u32) -> Vec<(u8, WatchRole)> {
    let watchers = (1..=20).filter_map(|own: u8| {
        let mut peers = Peers::default();
        let is_older = link_mbps(own) == 0;
        for other in (1..=20).filter(|&other| other != own) {
            let report = Report {
                data_centre: u64::from(other % 2),
                // An older build ignores the field.
                link_mbps: if is_older { 0 } else { link_mbps(other) },
                ..report(other, 1)
            };
            peers.receive_report(report, Ipv4Addr::new(10, 0, 0, own), at(0));
        }
        let candidate = candidate(own, u64::from(own % 2), link_mbps(own));
        let role = peers.watch_role(candidate, false, 3, at(1));
        role.map(|role| (own, role))
    });
    watchers.collect()
}

#[test]
fn the_vms_with_the_fastest_links_watch_and_others_make_up_the_number() {
    let fast = [3, 4, 8];
    let watchers = watchers_by_link(|vm| if fast.contains(&vm) { 200 } else { 10 });
    assert_eq!(watchers.len(), 4, "{watchers:?}");
    for vm in fast {
        assert!(watchers.iter().any(|(watcher, _)| *watcher == vm));
    }
    let primary = watchers
        .iter()
        .filter(|(_, role)| *role == WatchRole::Primary);
    assert_eq!(primary.count(), 1);
}

/// VMs whose build reports no link choose other watchers; wherever the new build runs, none of the
/// data centres may be left without one, nor the deployment without a primary.
#[test]
fn each_data_centre_is_watched_while_two_builds_run_side_by_side() {
    for mask in 0..400_u32 {
        let is_new = |vm: u8| (mask.wrapping_mul(0x9e37_79b9) >> (vm % 20)) & 1 == 1;
        let link = |vm: u8| match vm {
            _ if !is_new(vm) => 0,
            3 | 4 | 8 => 200,
            _ => 10,
        };
        let watchers = watchers_by_link(link);
        for data_centre in [0, 1] {
            let watched = watchers.iter().any(|(vm, _)| vm % 2 == data_centre);
            assert!(watched, "{mask}: {watchers:?}");
        }
        let primary = watchers.iter().any(|(_, role)| *role == WatchRole::Primary);
        assert!(primary, "{mask}: {watchers:?}");
    }
}

#[test]
fn a_recent_summary_replaces_the_reports_of_its_data_centre() {
    let mut peers = two_data_centres(1);
    let target = key::Target::of("t");
    let runs = |peers: &Peers, now| peers.load(at(now)).get(&target).map(|load| load.runs);
    assert_eq!(runs(&peers, 10), Some(19));
    let load = Load {
        runs: 3,
        ..Load::default()
    };
    let summary = |load, is_full| Summary {
        data_centre: 0,
        loads: vec![TargetLoad::new(target, load)],
        is_full,
        failing: None,
    };
    peers.receive_summary(summary(load, true), at(20));
    assert_eq!(runs(&peers, 30), Some(9 + 3));
    let other = Summary {
        loads: vec![TargetLoad::new(key::Target::of("u"), load)],
        ..summary(load, false)
    };
    peers.receive_summary(other, at(40));
    assert_eq!(
        runs(&peers, 50),
        Some(9 + 3),
        "unlisted targets keep their load"
    );
    peers.receive_summary(summary(Load::default(), false), at(60));
    assert_eq!(runs(&peers, 70), Some(9));
    assert_eq!(runs(&peers, 1_500), Some(19), "the summary has expired");
}

/// A target that fails at once looks idle. VMs of other data centres report to this one every two
/// seconds only, so without summaries each VM loses requests to learn of such a target by itself.
#[test]
fn a_summary_carries_the_failing_targets_of_a_data_centre() {
    let mut peers = two_data_centres(1);
    let target = key::Target::of("t");
    let count = |peers: &Peers, now| peers.failure_counts(at(now)).get(&target).copied();
    assert_eq!(count(&peers, 10), None);
    let summary = |count| Summary {
        data_centre: 0,
        failing: Some(Failing::new(&HashMap::from([(target, count)]))),
        ..Summary::default()
    };
    peers.receive_summary(summary(3), at(20));
    assert_eq!(count(&peers, 30), Some(3));
    let unchanged = Summary {
        data_centre: 0,
        ..Summary::default()
    };
    peers.receive_summary(unchanged, at(40));
    assert_eq!(
        count(&peers, 50),
        Some(3),
        "a summary without it changes nothing"
    );
    peers.receive_summary(summary(1_000), at(60));
    assert_eq!(count(&peers, 70), Some(8), "the count is bounded");
    peers.receive_summary(summary(0), at(80));
    assert_eq!(count(&peers, 90), None);
    peers.receive_summary(summary(3), at(100));
    assert_eq!(count(&peers, 1_500), None, "the summary has expired");
}

/// A full target asks many VMs for a pause; it must not count as one that has failed requests.
#[test]
fn targets_that_want_a_pause_have_failed_nothing() {
    let mut peers = two_data_centres(1);
    let target = key::Target::of("t");
    let counts = |peers: &Peers, now| {
        let count = |counts: key::Map<_, u32>| counts.get(&target).copied();
        (
            count(peers.failure_counts(at(now))),
            count(peers.failed_counts(at(now))),
        )
    };
    let summary = |count, delayed| Summary {
        data_centre: 0,
        failing: Some(Failing::with_delayed(
            &HashMap::from([(target, count)]),
            &HashMap::from([(target, delayed)]),
        )),
        ..Summary::default()
    };
    peers.receive_summary(summary(3, 0), at(20));
    assert_eq!(counts(&peers, 30), (Some(3), Some(3)));
    peers.receive_summary(summary(3, 2), at(40));
    assert_eq!(counts(&peers, 50), (Some(3), Some(1)));
    peers.receive_summary(summary(20, 20), at(60));
    assert_eq!(counts(&peers, 70), (Some(8), None));
    peers.receive_summary(summary(20, 18), at(80));
    assert_eq!(counts(&peers, 90), (Some(8), Some(2)));
    // A peer of this data centre, by its own report.
    let report = Report {
        data_centre: 1,
        failing: vec![target.raw()],
        delayed: vec![target.raw()],
        ..report(3, 2)
    };
    peers.receive_report(report, Ipv4Addr::new(10, 0, 0, 1), at(100));
    assert_eq!(counts(&peers, 110), (Some(9), Some(2)));
}

#[test]
fn each_vm_gets_summaries_from_one_vm_of_every_other_data_centre() {
    let mut received = [0; 21];
    for own in 1..=20 {
        let address = Ipv4Addr::new(10, 0, 0, own);
        for recipient in
            two_data_centres(own).summary_recipients(address, u64::from(own % 2), at(1))
        {
            assert_ne!(recipient.octets()[3] % 2, own % 2);
            received[usize::from(recipient.octets()[3])] += 1;
        }
    }
    assert!(
        received[1..].iter().all(|&count| count == 1),
        "{received:?}"
    );
}

#[test]
fn remote_waiters_are_known_until_their_deadlines() {
    let service = key::Service::of("s");
    let waiter = |arrived, end| Waiter {
        service,
        priority: 1,
        turn: at(arrived),
        deadline: at(end),
    };
    let waiters = [waiter(100, 900), waiter(50, 400)].into_iter();
    let mut peers = Peers::default();
    let queued = Report {
        waiting: QueuedRequest::most_urgent(waiters, at(200)),
        ..report(2, 1)
    };
    // The clocks of the VMs differ, so reports contain ages and remaining times.
    peers.receive_report(queued, OWN, at(5_200));
    let mut known = peers.waiters(None, at(5_200));
    known.sort_by_key(|waiter| waiter.turn);
    assert_eq!(known, [waiter(5_050, 5_400), waiter(5_100, 5_900)]);
    assert_eq!(peers.waiters(None, at(5_500)).len(), 1);
    assert_eq!(peers.waiters(Some(9), at(5_200)).len(), 0);
}

#[test]
fn runs_are_expected_to_grow_between_two_reports() {
    let mut peers = Peers::default();
    peers.receive_report(report(2, 1), OWN, at(0));
    let used_memory = |now| {
        peers
            .load(at(now))
            .get(&key::Target::of("t"))
            .map(|load| load.used_memory)
    };
    assert_eq!(used_memory(0), Some(90));
    assert_eq!(used_memory(100), Some(99));
    assert_eq!(
        used_memory(4_000),
        Some(100),
        "not beyond the expected peak"
    );
}

#[test]
fn the_load_of_many_targets_is_split_into_several_datagrams() {
    let load = Load {
        runs: u32::MAX,
        peak_memory: u32::MAX,
        used_memory: u32::MAX,
        pending_prefill: u32::MAX,
        copy_memory: u32::MAX,
    };
    let loads: Vec<_> = (0..600)
        .map(|index| TargetLoad::new(key::Target::of(&format!("t-{index}")), load))
        .collect();
    let summaries = Summary::split(7, &loads, true);
    assert!(
        summaries
            .iter()
            .all(|summary| summary.encoded_len() < 8 << 10)
    );
    let is_full: Vec<_> = summaries.iter().map(|summary| summary.is_full).collect();
    assert_eq!(is_full, [true, false, false, false]);
    let targets: usize = summaries.iter().map(|summary| summary.loads.len()).sum();
    assert_eq!(targets, 600);
    assert_eq!(
        Summary::split(7, &[], true).len(),
        1,
        "an empty full summary is sent"
    );
    assert_eq!(
        Summary::split(7, &[], false).len(),
        0,
        "an empty update is not sent"
    );
}

/// Whatever VM a client comes back to, those that it asks include one that was told.
#[test]
fn a_vm_that_is_asked_for_an_origin_was_told_it() {
    let address = |vm: u8| Ipv4Addr::new(10, 0, 0, vm);
    let data_centre = |vm: u8| u64::from(vm % 3);
    // Peers of a VM, without those that are down.
    let peers_of = |own: u8, down: u8| {
        let mut peers = Peers::default();
        for vm in (1..=18).filter(|vm| *vm != own && *vm != down) {
            let report = Report {
                data_centre: data_centre(vm),
                ..report(vm, 1)
            };
            peers.receive_report(report, address(own), at(0));
        }
        peers
    };
    for stream in 0..200 {
        let attempt = key::Request::of(&format!("a-{stream}"));
        let holders = peers_of(1, 0).origin_holders(attempt, data_centre(1), at(1));
        let is_local = |holder: &&Ipv4Addr| data_centre(holder.octets()[3]) == data_centre(1);
        assert_eq!(holders.len(), 3);
        assert_eq!(holders.iter().filter(is_local).count(), 2);
        for asker in 2..=18 {
            let candidates = peers_of(asker, 1).origin_candidates(attempt, at(1));
            assert!(candidates.len() <= 9, "{candidates:?}");
            let knows = |vm: &Ipv4Addr| holders.contains(vm);
            let is_found = knows(&address(asker)) || candidates.iter().any(knows);
            assert!(is_found, "stream {stream} at VM {asker}");
        }
    }
}

/// A datagram that is longer than the receiver's buffer arrives without its end.
#[test]
fn no_beginning_of_a_message_passes_for_the_whole() {
    let report = Datagram {
        report: Some(report(2, 5)),
        ..Datagram::default()
    };
    let bytes = report.encode_to_vec();
    for length in 1..bytes.len() {
        Datagram::decode(&bytes[..length]).expect_err("the datagram is cut");
    }
    let origin = origin::Origin {
        service: key::Service::of("s"),
        release: "v1.2".into(),
    };
    let message = Origin::new(key::Request::of("a"), &origin, Duration::from_secs(9));
    assert_eq!(message.origin(), Some(origin));
    let bytes = message.encode_to_vec();
    for length in 0..bytes.len() {
        let part = Origin::decode(&bytes[..length]);
        assert!(part.is_err() || part.is_ok_and(|part| part.origin().is_none()));
    }
}

/// A partition must not change which VMs may use a cold target, so its other side stays known.
#[test]
fn silent_and_introduced_vms_are_known_for_30_s() {
    let mut peers = Peers::default();
    let introduction = Report {
        introductions: vec![Ipv4Addr::new(10, 0, 0, 3).into(), OWN.into()],
        ..report(2, 1)
    };
    peers.receive_report(introduction, OWN, at(0));
    peers.receive_report(report(4, 1), OWN, at(20_000));
    let known = |now| {
        let known: HashSet<_> = peers
            .known(now)
            .map(|address| address.octets()[3])
            .collect();
        known
    };
    assert_eq!(known(at(29_999)), HashSet::from([2, 3, 4]));
    assert_eq!(known(at(30_000)), HashSet::from([4]));
    assert!(known(at(50_000)).is_empty());
}
