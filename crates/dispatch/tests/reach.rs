//! When a VM takes failures for its own, and when for those of its targets.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Reach,
        listing::{Target, WarmUp},
        reach::{Change, Check, evidence_start},
    },
    std::net::Ipv4Addr,
};

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn at(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

/// Returns targets of two services, spread over two data centres.
fn targets() -> Vec<Target> {
    (0..8)
        .map(|index| Target {
            key: key::Target::of(&format!("t-{index}")),
            instance: format!("t-{index}").into(),
            address: ([10, 1, 0, index as u8], 8_000).into(),
            service: key::Service::of(if index < 5 { "engines" } else { "ledger" }),
            data_centre: format!("dc-{}", index % 2).into(),
            slots: 8,
            is_leaving: false,
            is_cordoned: false,
            started_ms: None,
            release: "v1".into(),
            warm_up: WarmUp::default(),
        })
        .collect()
}

fn keys(targets: &[Target]) -> Vec<key::Target> {
    targets.iter().map(|target| target.key).collect()
}

/// Lets the probes of a check fail, except at the targets that are `reached`.
fn run_check(reach: &mut Reach, check: &Check, reached: &[Target], now: Instant) {
    for target in &check.probes {
        if reached.iter().any(|other| other.key == target.key) {
            reach.record_reached(target, now);
        } else {
            reach.record_unreached(target, now, now);
        }
    }
}

fn isolate(reach: &mut Reach, targets: &[Target]) {
    reach.record_unreached(&targets[0], at(1_000), at(1_250));
    let check = reach
        .check(targets, at(1_250))
        .expect("a failure is checked");
    run_check(reach, &check, &[], at(1_500));
    reach.record_seen(PEER, &check.queried, at(1_260));
    assert!(matches!(
        reach.evaluate(targets),
        Some(Change::Isolated { .. })
    ));
}

#[test]
fn a_vm_that_reaches_nothing_while_a_peer_does_is_isolated() {
    let targets = targets();
    let mut reach = Reach::new(1);
    isolate(&mut reach, &targets);
    assert!(reach.is_isolated());
    assert!(targets.iter().all(|target| reach.needs_tunnel(target.key)));
    assert!(reach.is_witness(PEER, at(1_500)));
}

/// Nobody reaches anything, as when all targets have stopped.
#[test]
fn a_vm_whose_peers_reach_nothing_either_is_not_isolated() {
    let targets = targets();
    let mut reach = Reach::new(1);
    let mut now = 1_000;
    for _ in 0..40 {
        for target in &targets {
            reach.record_unreached(target, at(now), at(now + 250));
        }
        now += 250;
        if let Some(check) = reach.check(&targets, at(now)) {
            run_check(&mut reach, &check, &[], at(now));
            reach.record_seen(PEER, &[], at(now));
        }
        assert_eq!(reach.evaluate(&targets), None);
    }
    assert!(targets.iter().all(|target| !reach.needs_tunnel(target.key)));
}

#[test]
fn a_dead_service_isolates_no_vm() {
    let targets = targets();
    let (engines, ledger) = targets.split_at(5);
    let mut reach = Reach::new(1);
    let mut now = 1_000;
    for _ in 0..40 {
        for target in ledger {
            reach.record_unreached(target, at(now), at(now + 2));
        }
        now += 150;
        if let Some(check) = reach.check(&targets, at(now)) {
            run_check(&mut reach, &check, engines, at(now));
            let seen = keys(engines);
            let seen: Vec<_> = check
                .queried
                .iter()
                .filter(|target| seen.contains(target))
                .copied()
                .collect();
            reach.record_seen(PEER, &seen, at(now));
        }
        assert_eq!(reach.evaluate(&targets), None);
    }
    assert!(targets.iter().all(|target| !reach.needs_tunnel(target.key)));
}

/// A full queue of connections or a silent second: peers reach the target, and so does this VM.
#[test]
fn a_target_that_is_silent_for_a_second_or_two_is_sent_requests_directly() {
    let targets = targets();
    let mut reach = Reach::new(1);
    reach.record_reached(&targets[1], at(990));
    for ms in [1_000, 1_500, 2_000, 2_500, 3_000] {
        reach.record_unreached(&targets[0], at(ms), at(ms + 250));
        reach.record_reached(&targets[1], at(ms + 250));
        reach.record_seen(PEER, &keys(&targets[..1]), at(ms + 260));
        assert!(!reach.needs_tunnel(targets[0].key));
        assert_eq!(reach.evaluate(&targets), None);
    }
    // It isn't used for a while, since it failed.
    reach.record_reached(&targets[1], at(6_000));
    assert!(!reach.needs_tunnel(targets[0].key));
    reach.record_reached(&targets[0], at(7_000));
    assert!(!reach.needs_tunnel(targets[0].key));
}

#[test]
fn one_target_that_only_this_vm_does_not_reach_is_out_of_reach_in_the_end() {
    let targets = targets();
    let mut reach = Reach::new(1);
    for ms in [1_000, 2_000, 3_400] {
        reach.record_unreached(&targets[0], at(ms), at(ms + 250));
        reach.record_reached(&targets[1], at(ms + 250));
    }
    // It was reached before this VM failed, and may have crashed since.
    reach.record_seen(PEER, &keys(&targets[..1]), at(999));
    assert!(!reach.needs_tunnel(targets[0].key));
    let check = reach
        .check(&targets, at(3_700))
        .expect("a target that goes on failing is checked");
    assert_eq!(check.queried, keys(&targets[..1]));
    reach.record_seen(PEER, &check.queried, at(3_705));
    assert!(reach.needs_tunnel(targets[0].key));
    assert!(!reach.needs_tunnel(targets[1].key));
    assert!(!reach.is_isolated());
    // It is probed, as requests no longer show when it is reached again.
    let check = reach.check(&targets, at(4_800)).expect("it is probed");
    run_check(&mut reach, &check, &targets, at(4_805));
    assert!(!reach.needs_tunnel(targets[0].key));
}

#[test]
fn a_vm_that_reaches_two_targets_again_is_no_longer_isolated() {
    let targets = targets();
    let mut reach = Reach::new(1);
    isolate(&mut reach, &targets);
    let mut now = 2_000;
    let mut recovered = None;
    for _ in 0..4 {
        if let Some(check) = reach.check(&targets, at(now)) {
            run_check(&mut reach, &check, &targets, at(now + 2));
        }
        recovered = recovered.or(reach.evaluate(&targets));
        now += 250;
    }
    assert_eq!(recovered, Some(Change::Recovered));
    assert!(!reach.is_isolated());
}

/// The first checks may miss the few that it reaches; then it sends requests there itself.
#[test]
fn a_vm_that_reaches_two_of_eight_targets_soon_uses_them() {
    let targets = targets();
    let (reached, cut) = targets.split_at(2);
    let mut reach = Reach::new(1);
    let mut now = 1_000;
    for round in 0..40 {
        let target = &cut[round % cut.len()];
        reach.record_unreached(target, at(now), at(now + 250));
        now += 250;
        if let Some(check) = reach.check(&targets, at(now)) {
            run_check(&mut reach, &check, reached, at(now));
            reach.record_seen(PEER, &check.queried, at(now));
        }
        reach.evaluate(&targets);
        assert!(
            now < 2_500 || !reach.is_isolated(),
            "isolated after {now} ms"
        );
    }
    assert!(reached.iter().all(|target| !reach.needs_tunnel(target.key)));
    assert!(cut.iter().all(|target| reach.needs_tunnel(target.key)));
}

/// An attempt that began before an answer is no evidence, nor is an answer before the failure.
#[test]
fn an_attempt_that_began_before_an_answer_is_no_failure() {
    let targets = targets();
    let mut reach = Reach::new(1);
    reach.record_reached(&targets[0], at(1_100));
    assert!(!reach.record_unreached(&targets[0], at(1_000), at(1_250)));
    assert!(!reach.is_suspected());
    assert_eq!(reach.reaches(targets[0].key, at(1_000)), Some(true));
    assert_eq!(reach.reaches(targets[0].key, at(1_200)), None);
    assert_eq!(reach.reaches(targets[3].key, at(1_000)), None);
}

/// In a small site all targets of it must fail.
#[test]
fn a_vm_of_a_site_with_one_target_is_isolated_if_a_peer_reaches_it() {
    let targets = &targets()[..1];
    let mut reach = Reach::new(1);
    reach.record_unreached(&targets[0], at(1_000), at(1_250));
    assert_eq!(reach.evaluate(targets), None);
    reach.record_seen(PEER, &keys(targets), at(1_260));
    assert!(matches!(
        reach.evaluate(targets),
        Some(Change::Isolated { failed: 1, .. })
    ));
    reach.record_reached(&targets[0], at(2_000));
    assert_eq!(reach.evaluate(targets), Some(Change::Recovered));
}

#[test]
fn nothing_is_checked_while_nothing_fails() {
    let targets = targets();
    let mut reach = Reach::new(1);
    for (ms, target) in (0..).zip(&targets) {
        reach.record_reached(target, at(ms));
    }
    assert_eq!(reach.next_check(at(100)), None);
    assert!(reach.check(&targets, at(100)).is_none());
}

/// Otherwise a target that was out of reach when it was removed would be due for a check for ever.
#[test]
fn a_target_that_is_gone_is_not_checked() {
    let targets = targets();
    let mut reach = Reach::new(1);
    for ms in [1_000, 2_000, 3_400] {
        reach.record_unreached(&targets[0], at(ms), at(ms + 250));
        reach.record_reached(&targets[1], at(ms + 250));
    }
    reach.record_seen(PEER, &keys(&targets[..1]), at(3_700));
    assert!(reach.next_check(at(60_000)).is_some());
    assert!(reach.check(&targets[1..], at(60_000)).is_none());
    assert_eq!(reach.next_check(at(60_000)), None);
    assert!(!reach.needs_tunnel(targets[0].key));
}

/// While another target fails, the end of a stream waited up to 150 ms for the next check, although its
/// engine left as planned.
#[test]
fn the_latest_check_counts_for_a_target_that_leaves_but_not_for_others() {
    for (is_leaving, is_suspected) in [(true, false), (false, true)] {
        let mut targets = targets();
        let mut reach = Reach::new(1);
        reach.record_unreached(&targets[7], at(1_000), at(1_000));
        let check = reach
            .check(&targets, at(1_000))
            .expect("a failure is checked");
        run_check(&mut reach, &check, &targets[..7], at(1_010));
        targets[0].is_leaving = is_leaving;
        let lost = at(1_149);
        let since = evidence_start(lost, is_leaving);
        reach.record_unreached(&targets[0], since, lost);
        assert!(reach.check(&targets, lost).is_none(), "no check is due");
        let is_open = reach.is_suspected() && !reach.has_reached_since(since);
        assert_eq!(is_open, is_suspected, "is leaving: {is_leaving}");
    }
}

/// Evidence from before a cut must not blame a leaving target for it.
#[test]
fn an_older_check_does_not_count_for_a_target_that_leaves() {
    let mut targets = targets();
    targets[0].is_leaving = true;
    let mut reach = Reach::new(1);
    reach.record_reached(&targets[1], at(1_000));
    let since = evidence_start(at(1_151), true);
    reach.record_unreached(&targets[0], since, at(1_151));
    assert!(reach.is_suspected() && !reach.has_reached_since(since));
}
