//! Where requests go, under replayed load.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Placement,
        configuration::Engine,
        listing::Target,
        placement::{Query, RunId},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
};

const ENGINE: Engine = Engine {
    slots: 32,
    kv_capacity: 34_000,
    supports_migration: true,
    supports_backup: true,
    tokens_per_event: 4,
};

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn targets(count: usize, data_centres: usize) -> Vec<Target> {
    (0..count)
        .map(|index| Target {
            key: key::Target::of(&format!("t-{index}")),
            instance: format!("t-{index}").into(),
            address: format!("10.0.0.{}:80", index + 1)
                .parse()
                .expect("an address"),
            service: key::Service::of("s"),
            data_centre: format!("dc-{}", index % data_centres).into(),
            slots: 6,
            is_leaving: false,
            started_ms: None,
        })
        .collect()
}

fn draft() -> Load {
    Load {
        runs: 1,
        peak_memory: 3_700,
        used_memory: 3_000,
        pending_prefill: 3_000,
        copy_memory: 0,
    }
}

fn ask(load: Load) -> Query<'static> {
    Query {
        load,
        engine: Some(ENGINE),
        data_centre: "dc-0",
        ..Query::default()
    }
}

/// Load pattern: 19 VMs place 9 generations a second on 9 engines; each VM hears of the others'
/// work 10 ms later. Returns the share of prompts that went to an engine which was reading another
/// one while one of the engines was idle.
fn share_of_collisions(seed: u64) -> f64 {
    const VMS: usize = 19;
    const READING_MS: u64 = 430;
    const DELAY_MS: u64 = 10;
    let targets = targets(9, 1);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut vms: Vec<_> = (0..VMS)
        .map(|vm| Placement::new(seed + vm as u64))
        .collect();
    let mut active: Vec<(u64, usize, key::Target, RunId)> = Vec::new();
    let (mut collisions, mut placed) = (0, 0);
    for now in 0..40_000_u64 {
        active.retain(|&(begun, vm, _, ticket)| {
            let is_reading = now < begun + READING_MS;
            if !is_reading {
                vms[vm].end_run(ticket);
            }
            is_reading
        });
        if !random.random_bool(9.0 / 1_000.0) {
            continue;
        }
        let vm = random.random_range(0..VMS);
        let mut peers: HashMap<key::Target, Load> = HashMap::new();
        for (_, _, target, _) in active
            .iter()
            .filter(|run| run.1 != vm && run.0 + DELAY_MS <= now)
        {
            *peers.entry(*target).or_default() += draft();
        }
        vms[vm].set_peer_load(peers);
        let choice = vms[vm].choose(at(now), &targets, &ask(draft()));
        let target = choice.expect("there is room").target.key;
        let is_busy = |target| active.iter().any(|run| run.2 == target);
        let has_idle = targets.iter().any(|target| !is_busy(target.key));
        placed += 1;
        collisions += usize::from(has_idle && is_busy(target));
        let ticket = vms[vm].start_run(target, draft());
        active.push((now, vm, target, ticket));
    }
    f64::from(collisions as u32) / f64::from(placed)
}

#[test]
fn vms_seldom_send_a_prompt_to_an_engine_that_reads_another_one() {
    for seed in 1..=5 {
        let share = share_of_collisions(seed);
        assert!(share < 0.05, "seed {seed}: {share}");
    }
}

/// How an engine's memory was used.
#[derive(Debug, Default)]
struct Usage {
    /// Mean part of the memory that runs held.
    mean: f64,
    /// Part of the time in which they needed more than there was.
    overflow: f64,
}

/// Load pattern: more drafts than three engines can hold, of lengths that nobody knows ahead: half
/// of them under 500 tokens, a tenth above 1,400; each engine adds 90 tokens a second to each run.
fn fill_engines(seed: u64) -> Usage {
    const STEP_MS: u64 = 50;
    const STEPS: u64 = 1_200;
    const PROMPT: u32 = 3_000;
    let targets = targets(3, 1);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut placement = Placement::new(seed);
    let mut runs: Vec<(key::Target, RunId, f64, f64)> = Vec::new();
    let mut usage = Usage::default();
    for step in 0..STEPS {
        if let Some(choice) = placement.choose(at(step * STEP_MS), &targets, &ask(draft())) {
            let target = choice.target.key;
            let ticket = placement.start_run(target, draft());
            let draws: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum();
            let length = (500.0 * ((draws - 6.0) * 0.8).exp()).min(1_756.0);
            runs.push((target, ticket, 0.0, length));
        }
        for (_, ticket, tokens, _) in &mut runs {
            *tokens += 0.09 * STEP_MS as f64;
            placement.finish_prefill(*ticket);
            placement.update_tokens(*ticket, PROMPT, *tokens as u32);
        }
        runs.retain(|&(_, ticket, tokens, length)| {
            if tokens >= length {
                placement.end_run(ticket);
            }
            tokens < length
        });
        for target in &targets {
            let of = runs.iter().filter(|run| run.0 == target.key);
            let held: f64 = of.map(|run| f64::from(PROMPT) + run.2).sum();
            let filled = held / f64::from(ENGINE.kv_capacity);
            usage.mean += filled.min(1.0);
            usage.overflow += f64::from(u8::from(filled > 1.0));
        }
    }
    let looks = (STEPS * targets.len() as u64) as f64;
    usage.mean /= looks;
    usage.overflow /= looks;
    usage
}

#[test]
fn engines_are_filled_and_seldom_need_more_memory_than_they_have() {
    for seed in 1..=5 {
        let usage = fill_engines(seed);
        assert!(usage.overflow < 0.01, "seed {seed}: {usage:?}");
        assert!(usage.mean > 0.88, "seed {seed}: {usage:?}");
    }
}

#[test]
fn no_run_is_planned_beyond_an_engines_memory() {
    let targets = targets(3, 1);
    let mut placement = Placement::new(1);
    let mut placed: HashMap<key::Target, u32> = HashMap::new();
    while let Some(choice) = placement.choose(at(0), &targets, &ask(draft())) {
        let target = choice.target.key;
        placement.start_run(target, draft());
        *placed.entry(target).or_default() += 1;
    }
    assert_eq!(placed.len(), 3);
    // The prompts of all, and the growth of two until the first run has ended.
    let need = |runs: u32| runs * 3_000 + 2 * 700;
    assert!(
        placed
            .values()
            .all(|&runs| need(runs) <= ENGINE.kv_capacity)
    );
    assert!(
        placed
            .values()
            .all(|&runs| need(runs) > ENGINE.kv_capacity * 3 / 4)
    );
}

#[test]
fn copies_in_advance_leave_room_for_runs_and_urgent_ones_take_it() {
    let targets = targets(1, 1);
    let mut placement = Placement::new(1);
    let copy = Load {
        copy_memory: 3_700,
        ..Load::default()
    };
    let mut copies = 0;
    while placement.choose(at(0), &targets, &ask(copy)).is_some() {
        placement.start_run(targets[0].key, copy);
        copies += 3_700;
    }
    assert!(copies <= ENGINE.kv_capacity / 2);
    let urgent = Query {
        is_urgent: true,
        ..ask(copy)
    };
    assert!(placement.choose(at(0), &targets, &urgent).is_some());
    assert!(placement.choose(at(0), &targets, &ask(draft())).is_some());
}

/// Load pattern: drafts come faster than they end, and an engine that has just started is empty.
#[test]
fn copies_in_advance_end_when_the_data_centre_fills_although_one_engine_is_empty() {
    let targets = targets(4, 1);
    let mut placement = Placement::new(1);
    let copy = Load {
        copy_memory: 3_700,
        ..Load::default()
    };
    assert!(placement.choose(at(0), &targets, &ask(copy)).is_some());
    for target in &targets[1..] {
        for _ in 0..9 {
            placement.start_run(target.key, draft());
        }
    }
    assert!(placement.choose(at(0), &targets, &ask(copy)).is_none());
    assert!(placement.choose(at(0), &targets, &ask(draft())).is_some());
}

#[test]
fn a_run_and_its_copy_stand_on_different_sides() {
    let targets = targets(4, 2);
    let mut placement = Placement::new(1);
    let copy = Load {
        copy_memory: 3_700,
        ..Load::default()
    };
    for (is_run_near, expected) in [(true, "dc-1"), (false, "dc-0")] {
        let ask = Query {
            is_run_local: is_run_near,
            ..ask(copy)
        };
        let choice = placement
            .choose(at(0), &targets, &ask)
            .expect("there is room");
        assert_eq!(&*choice.target.data_centre, expected);
    }
}

#[test]
fn a_large_fleet_leaves_its_data_centre_only_when_nothing_there_can_be_used() {
    let targets = targets(4, 2);
    let mut placement = Placement::new(1);
    let far_stale = Query {
        is_remote_stale: true,
        ..ask(draft())
    };
    while let Some(choice) = placement.choose(at(0), &targets, &far_stale) {
        assert_eq!(&*choice.target.data_centre, "dc-0");
        let target = choice.target.key;
        placement.start_run(target, draft());
    }
    placement.record_unreachable(&targets[0], at(1));
    let choice = placement
        .choose(at(2), &targets, &far_stale)
        .expect("there is room");
    assert_eq!(&*choice.target.data_centre, "dc-1");
    let leaving: Vec<_> = targets
        .iter()
        .map(|target| Target {
            is_leaving: &*target.data_centre == "dc-0",
            ..target.clone()
        })
        .collect();
    let choice = Placement::new(1)
        .choose(at(0), &leaving, &far_stale)
        .map(|choice| choice.target.data_centre.clone());
    assert_eq!(choice.as_deref(), Some("dc-1"));
}

#[test]
fn a_target_that_fails_is_avoided_and_all_that_fail_are_not() {
    let targets = targets(2, 1);
    let mut placement = Placement::new(1);
    placement.record_failure(targets[0].key, at(0));
    for _ in 0..20 {
        let choice = placement
            .choose(at(1), &targets, &ask(draft()))
            .expect("one is well");
        assert_eq!(choice.target.key, targets[1].key);
    }
    placement.record_failure(targets[1].key, at(2));
    assert!(placement.choose(at(3), &targets, &ask(draft())).is_some());
}

#[test]
fn a_data_centre_that_can_not_be_reached_is_left_out_while_another_has_room() {
    let targets = targets(4, 2);
    let mut placement = Placement::new(1);
    placement.record_unreachable(&targets[0], at(0));
    for _ in 0..20 {
        let choice = placement
            .choose(at(1), &targets, &ask(draft()))
            .expect("there is room");
        assert_eq!(&*choice.target.data_centre, "dc-1");
    }
    placement.record_success(&targets[2]);
    let choice = placement
        .choose(at(2), &targets, &ask(draft()))
        .expect("there is room");
    assert_eq!(&*choice.target.data_centre, "dc-0");
}

#[test]
fn a_plain_target_that_turned_slow_gets_less_and_is_tried_again_later() {
    let targets = targets(2, 1);
    let mut placement = Placement::new(1);
    let plain = Query {
        engine: None,
        ..ask(Load {
            runs: 1,
            ..Load::default()
        })
    };
    for _ in 0..5 {
        placement.record_latency(targets[0].key, Duration::from_millis(400), at(0));
    }
    let mut chosen = |now| {
        placement
            .choose(at(now), &targets, &plain)
            .expect("a target")
            .target
            .key
    };
    assert!((0..20).all(|_| chosen(10) == targets[1].key));
    assert!((0..200).any(|_| chosen(60_000) == targets[0].key));
}
