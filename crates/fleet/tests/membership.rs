//! Membership under datagram loss, pauses, partitions and restarts.

mod support;

use {
    base::{Machine, key},
    mastictrail_fleet::{Action, Event, Observation, State, budget},
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
    support::{Network, snapshot},
};

/// Time within which the members' views must converge.
const CONVERGENCE: Duration = Duration::from_secs(60);
/// Time within which all members of a data centre must learn that a target is leaving.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(3);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn converged(seed: u64, loss: f64, vms: usize) -> Network {
    let mut net = Network::with_deployment(seed, loss, 1, vms);
    assert!(
        net.run_until(CONVERGENCE, Network::is_joined).is_some(),
        "seed {seed}"
    );
    net
}

#[test]
fn crashed_member_is_declared_dead_everywhere_and_rejoins_with_a_new_incarnation() {
    for seed in 0..5 {
        let mut net = converged(seed, 0.1, 8);
        net.nodes[3].is_up = false;
        assert!(
            net.run_until(CONVERGENCE, |net| net.all_see(3, State::Dead))
                .is_some(),
            "seed {seed}"
        );
        net.restart(3, "dc0", 2, snapshot(1, 1, 8, 8));
        assert!(
            net.run_until(CONVERGENCE, Network::is_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn no_member_is_declared_dead_while_it_answers() {
    for seed in 0..8 {
        let mut net = converged(seed, 0.1, 12);
        net.run(seconds(300));
        for subject in 0..12 {
            assert_eq!(
                net.count_declared_dead(subject),
                0,
                "seed {seed}, member {subject}"
            );
        }
    }
}

#[test]
fn process_that_starts_with_a_clock_behind_joins_again() {
    for seed in 0..5 {
        let mut net = converged(seed, 0.1, 6);
        net.nodes[3].is_up = false;
        net.run(seconds(1));
        net.restart(3, "dc0", 0, snapshot(1, 1, 6, 8));
        let joined = |net: &Network| {
            net.all_see(3, State::Live)
                && net.nodes[3].machine.is_fresh()
                && net.nodes[3].machine.own().incarnation > 1
        };
        assert!(net.run_until(CONVERGENCE, joined).is_some(), "seed {seed}");
    }
}

#[test]
fn process_that_was_replaced_while_it_was_frozen_stays_stale() {
    let mut net = converged(1, 0.0, 4);
    net.run_until(CONVERGENCE, |net| net.nodes[0].machine.is_fresh());
    net.nodes[0].is_frozen = true;
    net.run(seconds(10));
    let successor = net.add("vm0", "dc0", 2);
    net.handle(successor, Event::Configuration(snapshot(1, 1, 4, 8)));
    net.run(seconds(10));
    net.nodes[0].is_frozen = false;
    net.run(seconds(20));
    assert!(!net.nodes[0].machine.is_fresh());
}

#[test]
fn large_data_centre_under_loss_keeps_its_budget_for_probes() {
    for (vms, loss) in [(70, 0.1), (32, 0.2)] {
        let mut net = converged(1, loss, vms);
        net.run(seconds(120));
        for subject in 0..vms {
            assert_eq!(
                net.count_declared_dead(subject),
                0,
                "{vms} members, member {subject}"
            );
        }
    }
}

#[test]
fn partition_heals_without_a_restart() {
    for seed in 0..5 {
        let mut net = converged(seed, 0.05, 8);
        let (one, other) = ([0, 1, 2], [3, 4, 5, 6, 7]);
        net.set_partition(&one, &other, true);
        assert!(
            net.run_until(CONVERGENCE, |net| net.state_seen(0, 5) == Some(State::Dead))
                .is_some()
        );
        net.run(seconds(100));
        net.set_partition(&one, &other, false);
        assert!(
            net.run_until(CONVERGENCE, Network::is_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn leaving_member_stays_leaving_for_its_incarnation() {
    for seed in 0..5 {
        let mut net = converged(seed, 0.2, 6);
        net.handle(2, Event::Leave);
        assert!(
            net.run_until(CONVERGENCE, |net| net.all_see(2, State::Leaving))
                .is_some(),
            "seed {seed}"
        );
        net.nodes[2].is_frozen = true;
        net.run(seconds(2));
        net.nodes[2].is_frozen = false;
        for _ in 0..600 {
            net.run(Duration::from_millis(100));
            for observer in (0..6).filter(|&observer| observer != 2) {
                let state = net.state_seen(observer, 2);
                assert!(
                    matches!(state, Some(State::Leaving | State::Dead)),
                    "seed {seed}: {state:?}"
                );
            }
        }
        net.restart(2, "dc0", 2, snapshot(1, 1, 6, 8));
        assert!(
            net.run_until(CONVERGENCE, |net| net.all_see(2, State::Live))
                .is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn paused_process_is_stale_until_peers_answer_and_declares_nobody_dead() {
    for seed in 0..5 {
        let mut net = converged(seed, 0.0, 6);
        assert!(
            net.run_until(CONVERGENCE, |net| net.nodes[1].machine.is_fresh())
                .is_some()
        );
        net.nodes[1].is_frozen = true;
        net.run(seconds(20));
        net.nodes[1].log.clear();
        net.nodes[1].is_frozen = false;
        let others: Vec<_> = (0..6).filter(|&other| other != 1).collect();
        net.set_partition(&[1], &others, true);
        net.run(seconds(2));
        assert!(!net.nodes[1].machine.is_fresh(), "seed {seed}");
        let log = &net.nodes[1].log;
        assert!(
            matches!(log.first(), Some((_, Action::Paused(_)))),
            "seed {seed}"
        );
        let has_declared_dead = log.iter().any(
            |(_, action)| matches!(action, Action::Member(member) if member.state == State::Dead),
        );
        assert!(!has_declared_dead, "seed {seed}");
        net.set_partition(&[1], &others, false);
        assert!(
            net.run_until(CONVERGENCE, |net| net.nodes[1].machine.is_fresh())
                .is_some()
        );
        assert!(
            net.run_until(CONVERGENCE, Network::is_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn departure_of_a_target_reaches_the_data_centre_in_time() {
    let target = key::Target::of("t1");
    for seed in 0..10 {
        for vms in [3, 8, 32] {
            let mut net = converged(seed, 0.1, vms);
            let observation = Observation::Refused;
            net.handle(
                0,
                Event::TargetObserved {
                    target,
                    observation,
                },
            );
            let learned = net.run_until(DEPARTURE_LIMIT, |net| {
                net.nodes
                    .iter()
                    .all(|node| node.machine.departures().is_leaving(target))
            });
            assert!(learned.is_some(), "seed {seed}, {vms} members");
        }
    }
}

#[test]
fn lagging_list_and_report_do_not_bring_a_leaving_target_back() {
    let target = key::Target::of("t1");
    let mut net = converged(1, 0.0, 3);
    net.handle(
        0,
        Event::TargetObserved {
            target,
            observation: Observation::Refused,
        },
    );
    net.run(seconds(2));
    for _ in 0..30 {
        for vm in 0..3 {
            net.handle(
                vm,
                Event::TargetList(vec![("t1".into(), false), ("t2".into(), false)]),
            );
            net.handle(
                vm,
                Event::TargetObserved {
                    target,
                    observation: Observation::ReportedLive,
                },
            );
        }
        net.run(seconds(1));
        for node in &net.nodes {
            assert!(node.machine.departures().is_leaving(target));
        }
    }
}

#[test]
fn restarted_target_gets_work_again_at_once() {
    let target = key::Target::of("t1");
    let mut net = converged(1, 0.1, 4);
    let report = |net: &mut Network, vm, sequence| {
        let leaving = false;
        net.handle(
            vm,
            Event::LoadReport {
                target,
                sequence,
                leaving,
            },
        );
    };
    let leaving_on = |net: &Network| {
        let nodes = net.nodes.iter();
        nodes
            .filter(|node| node.machine.departures().is_leaving(target))
            .count()
    };
    report(&mut net, 0, 1000);
    let observation = Observation::Refused;
    net.handle(
        0,
        Event::TargetObserved {
            target,
            observation,
        },
    );
    net.run(seconds(3));
    report(&mut net, 0, 1010);
    report(&mut net, 0, 1009);
    net.run(seconds(3));
    assert_eq!(leaving_on(&net), 4);
    report(&mut net, 0, 2);
    assert!(
        net.run_until(CONVERGENCE, |net| leaving_on(net) == 0)
            .is_some()
    );
}

#[test]
fn target_gone_from_the_list_is_leaving_and_an_empty_list_is_ignored() {
    let mut net = converged(1, 0.0, 3);
    let list = |names: &[&str]| {
        Event::TargetList(names.iter().map(|name| ((*name).into(), false)).collect())
    };
    net.handle(0, list(&["t0", "t1", "t2"]));
    net.handle(0, list(&[]));
    assert!(
        !net.nodes[0]
            .machine
            .departures()
            .is_leaving(key::Target::of("t0"))
    );
    net.handle(0, list(&["t0", "t2"]));
    assert!(
        net.nodes[0]
            .machine
            .departures()
            .is_leaving(key::Target::of("t1"))
    );
    assert!(
        !net.nodes[0]
            .machine
            .departures()
            .is_leaving(key::Target::of("t0"))
    );
}

#[test]
fn departure_of_a_target_reaches_other_data_centres() {
    let target = key::Target::of("t1");
    let mut net = Network::with_deployment(3, 0.1, 3, 12);
    net.run(seconds(10));
    net.handle(
        0,
        Event::TargetObserved {
            target,
            observation: Observation::Refused,
        },
    );
    let learned = net.run_until(CONVERGENCE, |net| {
        net.nodes
            .iter()
            .all(|node| node.machine.departures().is_leaving(target))
    });
    assert!(learned.is_some());
}

#[test]
fn replayed_datagram_changes_nothing() {
    let mut net = converged(1, 0.0, 3);
    net.run(seconds(5));
    let mut actions = Vec::new();
    let now = net.now;
    net.nodes[0].machine.handle(now, Event::Leave, &mut actions);
    let send = actions.into_iter().find_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    let message = send.expect("a datagram");
    let from = net.nodes[0].address;
    net.handle(
        1,
        Event::Received {
            from,
            message: message.clone(),
        },
    );
    let before = format!("{:?}", net.nodes[1].machine.members().collect::<Vec<_>>());
    net.now = net.now + Duration::from_millis(50);
    net.handle(1, Event::Received { from, message });
    let after = format!("{:?}", net.nodes[1].machine.members().collect::<Vec<_>>());
    assert_eq!(before, after);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// No node exceeds its byte rate and no datagram the size limit, under any load.
    #[test]
    fn budget_is_kept(seed in 0_u64..1000, vms in 2_usize..40, loss in 0.0..0.4, targets in 1_usize..60) {
        let mut net = Network::with_deployment(seed, loss, 1, vms);
        let snapshot = snapshot(2, 1, vms, targets);
        net.handle(0, Event::Configuration(Arc::clone(&snapshot)));
        for target in 0..targets {
            let target = key::Target::of(&format!("t{target}"));
            for vm in 0..vms {
                net.handle(vm, Event::Usage { target, sent: 1 << 40, finished: 5, tokens: 1 << 30 });
                net.handle(
                    vm,
                    Event::TargetObserved { target, observation: Observation::Refused },
                );
            }
        }
        let time = 20;
        net.run(seconds(time));
        for node in &net.nodes {
            prop_assert!(node.sent <= budget::BYTES_PER_SECOND * time + budget::BURST_BYTES);
        }
        prop_assert!(net.longest_datagram <= wire::datagram::MAX_LENGTH);
    }
}
