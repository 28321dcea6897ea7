//! Waiting for room, under a replayed burst.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Placement, Queues,
        configuration::Engine,
        listing::Target,
        placement::{Query, prefill_tokens},
        waiting::{Demand, Position, Waiter},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
};

const PATIENCE: Duration = Duration::from_secs(1);

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn service() -> key::Service {
    key::Service::of("s")
}

/// What became of the requests of a burst.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    refused_at_once: usize,
    waited_in_vain: usize,
    longest_refused_delay: Duration,
}

/// Load pattern: 40 places, runs of 4 s, so that 10 requests a second are served; for 6 s there come
/// 30 a second.
fn replay_burst() -> Outcome {
    const PLACES: usize = 40;
    const RUN_MS: u64 = 4_000;
    let mut waiting = Queues::default();
    let mut running: Vec<u64> = (0..PLACES as u64)
        .map(|place| place * RUN_MS / PLACES as u64)
        .collect();
    let mut queue: Vec<(u64, Position)> = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..8_000_u64 {
        running.retain(|&end| {
            if end <= now {
                waiting.record_run_time(service(), Duration::from_millis(RUN_MS));
            }
            end > now
        });
        queue.retain(|&(arrived, turn)| {
            if running.len() < PLACES && waiting.ahead(service(), turn, at(now)) == 0 {
                waiting.remove(service(), turn);
                running.push(now + RUN_MS);
                outcome.served += 1;
                return false;
            }
            let is_patient = at(arrived) + PATIENCE > at(now);
            if !is_patient {
                waiting.remove(service(), turn);
                outcome.waited_in_vain += 1;
            }
            is_patient
        });
        if now < 6_000 && now % 33 == 0 {
            let crowd = Demand {
                runs: running.len() as u32,
                remote_waiters: 0,
            };
            match waiting.enqueue(service(), 0, at(now), at(now) + PATIENCE, crowd) {
                Ok(turn) => queue.push((now, turn)),
                Err(delay) => {
                    outcome.refused_at_once += 1;
                    outcome.longest_refused_delay = outcome.longest_refused_delay.max(delay);
                }
            }
        }
    }
    outcome
}

#[test]
fn in_a_burst_those_without_a_prospect_are_refused_at_once_and_the_others_are_served() {
    let outcome = replay_burst();
    let all = outcome.served + outcome.refused_at_once + outcome.waited_in_vain;
    assert!(outcome.refused_at_once * 2 > all, "{outcome:?}");
    assert!(outcome.waited_in_vain * 20 < all, "{outcome:?}");
    assert!(outcome.served >= 60, "no place stays empty: {outcome:?}");
    assert!(outcome.longest_refused_delay >= PATIENCE, "{outcome:?}");
}

#[test]
fn a_crowd_that_waited_in_vain_returns_spread_over_the_time_in_which_runs_end() {
    let mut waiting = Queues::default();
    for _ in 0..100 {
        waiting.record_run_time(service(), Duration::from_secs(10));
    }
    let returns = |draw| waiting.retry_delay(service(), draw);
    assert!(returns(0.0) > Duration::from_millis(1_900));
    assert!(returns(1.0) < Duration::from_millis(7_100));
    assert!(returns(1.0) > returns(0.0) + Duration::from_secs(4));
}

#[test]
fn urgency_goes_before_arrival() {
    let mut waiting = Queues::default();
    let crowd = Demand {
        runs: 100,
        remote_waiters: 0,
    };
    let mut enter = |priority, now| {
        waiting
            .enqueue(service(), priority, at(now), at(now + 60_000), crowd)
            .expect("a place")
    };
    let draft = enter(1, 0);
    let late_check = enter(0, 20);
    let early_check = enter(0, 10);
    for turn in [early_check, late_check, draft] {
        assert_eq!(waiting.ahead(service(), turn, at(30)), 0);
        waiting.remove(service(), turn);
    }
    assert_eq!(waiting.local_waiters().count(), 0);
}

#[test]
fn those_that_wait_at_other_vms_count() {
    let mut waiting = Queues::default();
    let crowd = |others| Demand {
        runs: 10,
        remote_waiters: others,
    };
    let alone = waiting.enqueue(service(), 0, at(0), at(1_000), crowd(0));
    waiting.remove(service(), alone.expect("a place"));
    let refused = waiting.enqueue(service(), 0, at(0), at(1_000), crowd(5));
    assert!(refused.is_err_and(|delay| delay > Duration::from_secs(1)));
}

/// One VM with one draft that waits.
struct Vm {
    placement: Placement,
    waiting: Queues,
    turn: Position,
    arrived: u64,
    /// Offset of its looks for room in milliseconds.
    phase: u64,
    placed: Option<u64>,
}

/// Load pattern: an engine starts while 30 drafts wait at as many VMs of its data centre, each of
/// which looks for room every 15 ms and hears of the others' work 10 ms later.
///
/// Returns the arrivals of those that took the engine, in the order in which they did.
fn drafts_that_take_a_new_engine(seed: u64, knows_order: bool) -> Vec<u64> {
    const VMS: u64 = 30;
    const LOOK_MS: u64 = 15;
    const DELAY_MS: u64 = 10;
    let engine = Engine {
        slots: 24,
        kv_capacity: 26_906,
        supports_migration: true,
        supports_backup: true,
        tokens_per_event: 4,
    };
    let load = Load {
        runs: 1,
        peak_memory: 3_700,
        used_memory: 3_000,
        pending_prefill: 3_000,
        copy_memory: 0,
    };
    let targets = [Target {
        key: key::Target::of("new"),
        instance: "new".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        service: service(),
        data_centre: "dc-0".into(),
        slots: 24,
        is_leaving: false,
        started_ms: None,
    }];
    let mut random = SmallRng::seed_from_u64(seed);
    let crowd = Demand {
        runs: 100,
        remote_waiters: 0,
    };
    let mut vms: Vec<_> = (0..VMS)
        .map(|vm| {
            let arrived = random.random_range(0..500);
            let mut waiting = Queues::default();
            let end = at(arrived) + PATIENCE;
            let turn = waiting.enqueue(service(), 1, at(arrived), end, crowd);
            Vm {
                placement: Placement::new(seed + vm),
                waiting,
                turn: turn.expect("a place"),
                arrived,
                phase: random.random_range(0..LOOK_MS),
                placed: None,
            }
        })
        .collect();
    for now in 500..700 {
        let arrivals: Vec<_> = vms.iter().map(|vm| (vm.arrived, vm.placed)).collect();
        for (index, vm) in vms.iter_mut().enumerate() {
            if now % LOOK_MS != vm.phase || vm.placed.is_some() {
                continue;
            }
            let is_known = |placed: Option<u64>| placed.is_some_and(|at| at + DELAY_MS <= now);
            let others = arrivals
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let (mut waiters, mut work) = (Vec::new(), Load::default());
            for (_, &(arrived, placed)) in others {
                if is_known(placed) {
                    work += load;
                } else {
                    waiters.push(Waiter {
                        service: service(),
                        priority: 1,
                        arrived: at(arrived),
                        deadline: at(arrived) + PATIENCE,
                    });
                }
            }
            vm.placement
                .set_peer_load(HashMap::from([(targets[0].key, work)]));
            vm.waiting.set_remote_waiters(waiters);
            let ahead = vm.waiting.ahead(service(), vm.turn, at(now));
            let ask = Query {
                load,
                engine: Some(engine),
                max_pending_prefill: prefill_tokens(Duration::from_millis(700)),
                queued_ahead: if knows_order { ahead } else { 0 },
                data_centre: "dc-0",
                ..Query::default()
            };
            if vm.placement.choose(at(now), &targets, &ask).is_some() {
                vm.placed = Some(now);
            }
        }
    }
    let mut taken: Vec<_> = vms
        .iter()
        .filter_map(|vm| vm.placed.map(|placed| (placed, vm.arrived)))
        .collect();
    taken.sort_unstable();
    taken.into_iter().map(|(_, arrived)| arrived).collect()
}

#[test]
fn a_new_engine_goes_to_the_first_of_those_that_wait_at_all_vms() {
    for seed in 1..=20 {
        let taken = drafts_that_take_a_new_engine(seed, true);
        assert!((2..=3).contains(&taken.len()), "seed {seed}: {taken:?}");
        let without_order = drafts_that_take_a_new_engine(seed, false);
        assert!(without_order.len() > 6, "seed {seed}: {without_order:?}");
        assert!(
            taken.iter().max() < without_order.iter().max(),
            "seed {seed}"
        );
    }
}
