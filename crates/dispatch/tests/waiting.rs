//! Queueing for capacity, alone and by many VMs under simulated bursts.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Placement, Queues,
        configuration::Engine,
        listing::{Target, WarmUp},
        placement::{Query, prefill_tokens},
        waiting::{Arrival, Demand, Position, Waiter},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
};

/// Time for which a request may wait.
const MAX_WAIT: Duration = Duration::from_secs(1);

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn service() -> key::Service {
    key::Service::of("s")
}

/// Outcomes of the requests of a burst.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    rejected: usize,
    timed_out: usize,
    longest_retry_delay: Duration,
}

/// Simulates 40 slots with runs of 4 s, enough for 10 requests per second, and a burst of 30
/// requests per second for 6 s.
fn replay_burst() -> Outcome {
    const SLOTS: usize = 40;
    const RUN_MS: u64 = 4_000;
    let mut queues = Queues::default();
    let mut running: Vec<u64> = (0..SLOTS as u64)
        .map(|slot| slot * RUN_MS / SLOTS as u64)
        .collect();
    let mut queue: Vec<(u64, Position)> = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..8_000_u64 {
        running.retain(|&end| {
            if end <= now {
                queues.record_run_time(service(), Duration::from_millis(RUN_MS));
            }
            end > now
        });
        queue.retain(|&(arrived, position)| {
            if running.len() < SLOTS && queues.ahead(service(), position, at(now)) == 0 {
                queues.remove(service(), position);
                running.push(now + RUN_MS);
                outcome.served += 1;
                return false;
            }
            let may_wait = at(arrived) + MAX_WAIT > at(now);
            if !may_wait {
                queues.remove(service(), position);
                outcome.timed_out += 1;
            }
            may_wait
        });
        if now < 6_000 && now % 33 == 0 {
            let demand = Demand {
                runs: running.len() as u32,
                remote_waiters: 0,
                ..Demand::default()
            };
            match queues.enqueue(
                service(),
                Arrival::new(0, at(now)),
                at(now) + MAX_WAIT,
                demand,
            ) {
                Ok(position) => queue.push((now, position)),
                Err(delay) => {
                    outcome.rejected += 1;
                    outcome.longest_retry_delay = outcome.longest_retry_delay.max(delay);
                }
            }
        }
    }
    outcome
}

#[test]
fn in_a_burst_excess_requests_are_rejected_at_once_and_the_others_served() {
    let outcome = replay_burst();
    let all = outcome.served + outcome.rejected + outcome.timed_out;
    assert!(outcome.rejected * 2 > all, "{outcome:?}");
    assert!(outcome.timed_out * 20 < all, "{outcome:?}");
    assert!(outcome.served >= 60, "no slot stays empty: {outcome:?}");
    assert!(outcome.longest_retry_delay >= MAX_WAIT, "{outcome:?}");
}

#[test]
fn retries_of_timed_out_requests_are_spread_over_the_run_duration() {
    let mut queues = Queues::default();
    for _ in 0..100 {
        queues.record_run_time(service(), Duration::from_secs(10));
    }
    let retry_delay = |jitter| queues.retry_delay(service(), jitter);
    assert!(retry_delay(0.0) > Duration::from_millis(1_900));
    assert!(retry_delay(1.0) < Duration::from_millis(7_100));
    assert!(retry_delay(1.0) > retry_delay(0.0) + Duration::from_secs(4));
}

#[test]
fn priority_goes_before_arrival() {
    let mut queues = Queues::default();
    let demand = Demand {
        runs: 100,
        remote_waiters: 0,
        ..Demand::default()
    };
    let mut enqueue = |priority, now| {
        queues
            .enqueue(
                service(),
                Arrival::new(priority, at(now)),
                at(now + 60_000),
                demand,
            )
            .expect("admitted")
    };
    let less_urgent = enqueue(1, 0);
    let later = enqueue(0, 20);
    let earlier = enqueue(0, 10);
    for position in [earlier, later, less_urgent] {
        assert_eq!(queues.ahead(service(), position, at(30)), 0);
        queues.remove(service(), position);
    }
    assert_eq!(queues.local_waiters().count(), 0);
}

#[test]
fn remote_waiters_add_to_the_expected_wait() {
    let mut queues = Queues::default();
    let demand = |others| Demand {
        runs: 10,
        remote_waiters: others,
        ..Demand::default()
    };
    let alone = queues.enqueue(service(), Arrival::new(0, at(0)), at(1_000), demand(0));
    queues.remove(service(), alone.expect("admitted"));
    let rejected = queues.enqueue(service(), Arrival::new(0, at(0)), at(1_000), demand(5));
    assert!(rejected.is_err_and(|delay| delay > Duration::from_secs(1)));
}

/// A VM with one queued request.
struct Vm {
    placement: Placement,
    queues: Queues,
    position: Position,
    arrived: u64,
    /// Offset of its polls for capacity in milliseconds.
    phase: u64,
    placed: Option<u64>,
}

/// Simulates the start of an engine while 30 VMs of its data centre have one queued request each.
/// Every VM polls for capacity every 15 ms and learns of the other VMs' load 10 ms later.
///
/// Returns the arrival times of the requests that were placed, in the order of their placement.
fn arrivals_placed_on_new_engine(seed: u64, uses_order: bool) -> Vec<u64> {
    const VMS: u64 = 30;
    const POLL_MS: u64 = 15;
    const DELAY_MS: u64 = 10;
    let engine = Engine {
        slots: 24,
        kv_capacity: 26_906,
        supports_migration: true,
        supports_backup: true,
        tokens_per_event: 4,
        copy_ms_per_token: 0.0,
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
        address: "10.0.0.1:80".parse().expect("valid address"),
        service: service(),
        data_centre: "dc-0".into(),
        slots: 24,
        is_leaving: false,
        is_cordoned: false,
        started_ms: None,
        release: "v1".into(),
        warm_up: WarmUp::default(),
    }];
    let mut random = SmallRng::seed_from_u64(seed);
    let demand = Demand {
        runs: 100,
        remote_waiters: 0,
        ..Demand::default()
    };
    let mut vms: Vec<_> = (0..VMS)
        .map(|vm| {
            let arrived = random.random_range(0..500);
            let mut queues = Queues::default();
            let end = at(arrived) + MAX_WAIT;
            let position = queues.enqueue(service(), Arrival::new(1, at(arrived)), end, demand);
            Vm {
                placement: Placement::new(seed + vm),
                queues,
                position: position.expect("admitted"),
                arrived,
                phase: random.random_range(0..POLL_MS),
                placed: None,
            }
        })
        .collect();
    for now in 500..700 {
        let arrivals: Vec<_> = vms.iter().map(|vm| (vm.arrived, vm.placed)).collect();
        for (index, vm) in vms.iter_mut().enumerate() {
            if now % POLL_MS != vm.phase || vm.placed.is_some() {
                continue;
            }
            let is_reported = |placed: Option<u64>| placed.is_some_and(|at| at + DELAY_MS <= now);
            let others = arrivals
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let (mut waiters, mut load_of_others) = (Vec::new(), Load::default());
            for (_, &(arrived, placed)) in others {
                if is_reported(placed) {
                    load_of_others += load;
                } else {
                    waiters.push(Waiter {
                        service: service(),
                        priority: 1,
                        turn: at(arrived),
                        deadline: at(arrived) + MAX_WAIT,
                    });
                }
            }
            vm.placement
                .set_peer_load(HashMap::from([(targets[0].key, load_of_others)]));
            vm.queues.set_remote_waiters(waiters);
            let ahead = vm.queues.ahead(service(), vm.position, at(now));
            let query = Query {
                load,
                engine: Some(engine),
                max_pending_prefill: prefill_tokens(Duration::from_millis(700)),
                queued_ahead: if uses_order { ahead } else { 0 },
                data_centre: "dc-0",
                ..Query::default()
            };
            if vm.placement.choose(at(now), &targets, &query).is_some() {
                vm.placed = Some(now);
            }
        }
    }
    let mut placed: Vec<_> = vms
        .iter()
        .filter_map(|vm| vm.placed.map(|placed| (placed, vm.arrived)))
        .collect();
    placed.sort_unstable();
    placed.into_iter().map(|(_, arrived)| arrived).collect()
}

#[test]
fn a_new_engine_goes_to_the_first_waiters_of_all_vms() {
    for seed in 1..=20 {
        let placed = arrivals_placed_on_new_engine(seed, true);
        assert!((2..=3).contains(&placed.len()), "seed {seed}: {placed:?}");
        let without_order = arrivals_placed_on_new_engine(seed, false);
        assert!(without_order.len() > 6, "seed {seed}: {without_order:?}");
        assert!(
            placed.iter().max() < without_order.iter().max(),
            "seed {seed}"
        );
    }
}

/// A service whose requests wait at other VMs only is overloaded as well.
#[test]
fn queued_requests_are_counted_by_service_and_by_vm() {
    let mut queues = Queues::default();
    let other = key::Service::of("other");
    let waiter = |deadline| Waiter {
        service: other,
        priority: 1,
        turn: at(0),
        deadline: at(deadline),
    };
    queues.set_remote_waiters(vec![waiter(50), waiter(200), waiter(300)]);
    let demand = Demand {
        runs: 100,
        ..Demand::default()
    };
    let position = queues.enqueue(service(), Arrival::new(1, at(0)), at(1_000), demand);
    let position = position.expect("capacity is expected in time");
    let counts = |queues: &Queues| {
        let counts = queues.counts(at(100));
        let counts = counts.map(|count| (count.service, (count.local, count.remote)));
        counts.collect::<HashMap<_, _>>()
    };
    let expected = HashMap::from([(service(), (1, 0)), (other, (0, 2))]);
    assert_eq!(counts(&queues), expected);
    queues.remove(service(), position);
    assert_eq!(counts(&queues), HashMap::from([(other, (0, 2))]));
}
