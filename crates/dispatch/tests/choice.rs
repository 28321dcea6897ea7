//! Compares choices of targets with a plain implementation of the same rules, in random states.
//!
//! Guards against a choice, a cost or a sequence of random numbers that depends on what is kept from
//! one decision to the next: sums of loads, scratch memory and precomputed costs.

use {
    base::{Instant, key, rendezvous},
    mastictrail_dispatch::{
        Load, Paces, Placement,
        configuration::Engine,
        listing::{Target, WarmUp},
        load::Occupancy,
        placement::{Query, RunId},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

const STATES: u64 = 4_000;
const CHOICES: usize = 4;
const ENGINE: Engine = Engine {
    slots: 12,
    kv_capacity: 26_900,
    supports_migration: true,
    supports_backup: true,
    tokens_per_event: 4,
    copy_ms_per_token: 0.0,
};
const NAMES: [&str; 4] = ["dc-0", "dc-1", "dc-2", "dc-3"];

fn now() -> Instant {
    Instant::default() + Duration::from_secs(60)
}

/// The same knowledge as that of [`Placement`], in plain collections.
struct Reference {
    runs: Vec<(RunId, key::Target, Load, Option<Instant>)>,
    peer_loads: HashMap<key::Target, Load>,
    avoided: HashSet<key::Target>,
    latencies: HashMap<key::Target, f64>,
    summarized: HashSet<key::DataCentre>,
    failure_counts: HashMap<key::Target, u32>,
    unreachable: HashSet<Box<str>>,
    random: SmallRng,
}

#[derive(Debug, PartialEq)]
struct Chosen {
    target: key::Target,
    cost: f64,
    load: Load,
    candidates: usize,
    factor: f64,
}

struct Candidate<'a> {
    target: &'a Target,
    load: Load,
    fixed: f64,
    factor: f64,
}

impl Reference {
    fn load(&self, target: key::Target) -> Load {
        let mut load = Load::default();
        for (_, _, run, _) in self.runs.iter().filter(|run| run.1 == target) {
            load += *run;
        }
        load += self.peer_loads.get(&target).copied().unwrap_or_default();
        load
    }

    fn choose(&mut self, targets: &[Target], query: &Query<'_>) -> Option<Chosen> {
        let usable: Vec<_> = targets
            .iter()
            .filter(|target| !target.is_leaving && !target.is_cordoned)
            .filter(|target| !query.excluded.contains(&target.key))
            .filter(|target| {
                query
                    .release
                    .is_none_or(|release| *target.release == *release)
            })
            .collect();
        let is_stale =
            |target: &Target| query.is_remote_stale && *target.data_centre != *query.data_centre;
        if query.engine.is_some() && query.load.runs == 0 && !query.is_urgent {
            let fresh = usable.iter().filter(|target| !is_stale(target));
            let (mut planned, mut capacity) = (0.0, 0.0);
            for target in fresh {
                planned += planned_memory(self.load(target.key));
                capacity += f64::from(ENGINE.kv_capacity);
            }
            if planned / capacity.max(1.0) > 0.6 {
                return None;
            }
        }
        let mut candidates = self.candidates(&usable, is_stale, query);
        let costs = |candidates: &[Candidate<'_>]| -> Vec<_> {
            let costs = candidates
                .iter()
                .enumerate()
                .filter_map(|(index, candidate)| {
                    let cost = self.cost(candidate, query)?;
                    Some((index, cost + candidate.fixed))
                });
            costs.collect()
        };
        let least = |costs: &[(usize, f64)]| {
            let costs = costs.iter().copied();
            costs.min_by(|one, other| one.1.total_cmp(&other.1))
        };
        for _ in 0..query.queued_ahead {
            let (first, _) = least(&costs(&candidates))?;
            candidates[first].load += query.load;
        }
        let mut jittered = costs(&candidates);
        let max_jitter = if query.is_urgent { 400.0 } else { 40.0 };
        for (_, cost) in &mut jittered {
            *cost += self.random.random_range(0.0..max_jitter);
        }
        let (best, cost) = least(&jittered)?;
        Some(Chosen {
            target: candidates[best].target.key,
            cost,
            load: candidates[best].load,
            candidates: candidates.len(),
            factor: candidates[best].factor,
        })
    }

    fn candidates<'a>(
        &self,
        usable: &[&'a Target],
        is_stale: impl Fn(&Target) -> bool,
        query: &Query<'_>,
    ) -> Vec<Candidate<'a>> {
        let site = |target: &Target| key::DataCentre::of(&target.data_centre);
        let is_fresh =
            |target: &Target| !is_stale(target) || self.summarized.contains(&site(target));
        let is_avoided = |target: &Target| self.avoided.contains(&target.key);
        let all_avoided = usable.iter().all(|target| is_avoided(target));
        let is_request = query.load.runs > 0;
        let must_be_fresh = is_request
            && usable
                .iter()
                .any(|target| is_fresh(target) && !self.unreachable.contains(&target.data_centre));
        let own = key::DataCentre::of(query.data_centre);
        let sites: HashSet<_> = usable
            .iter()
            .map(|target| site(target))
            .chain([own])
            .collect();
        let accepts = |target: &Target| {
            let others = sites.iter().filter(|other| **other != site(target));
            rendezvous::choose(target.key.raw(), others.map(|other| other.raw())) == Some(own.raw())
        };
        let mut candidates = Vec::new();
        for target in usable {
            let is_current = is_fresh(target) && (!is_stale(target) || accepts(target));
            if is_avoided(target) && !all_avoided || must_be_fresh && !is_current {
                continue;
            }
            let mut overdue = self.runs.iter().filter(|run| run.1 == target.key);
            let is_overdue = overdue.any(|run| run.3.is_some_and(|due| now() >= due));
            let reports = self
                .failure_counts
                .get(&target.key)
                .copied()
                .unwrap_or_default();
            let mut fixed = 0.0;
            if self.unreachable.contains(&target.data_centre) {
                fixed += 600.0;
            }
            fixed += 400.0 * f64::from(reports + u32::from(is_overdue));
            let factor = query.paces.map_or(1.0, |paces| match query.engine {
                Some(_) => paces.factor(target.key, now()),
                None => paces.momentary_factor(target.key, now()),
            });
            let load = self.load(target.key);
            let mut candidate = Candidate {
                target,
                load,
                fixed,
                factor,
            };
            if is_stale(target) && is_request {
                candidate.fixed += 100.0;
                candidate.load += query.load;
                if self.cost(&candidate, query).is_none() {
                    continue;
                }
                candidate.load = load;
            }
            candidates.push(candidate);
        }
        candidates
    }

    fn cost(&self, candidate: &Candidate<'_>, query: &Query<'_>) -> Option<f64> {
        let Candidate {
            target,
            load,
            factor,
            ..
        } = candidate;
        let is_local = *target.data_centre == *query.data_centre;
        let remote = |cost: f64| if is_local { 0.0 } else { cost };
        let Some(engine) = query.engine else {
            let latency = self.latencies.get(&target.key).copied().unwrap_or(20.0);
            let used = f64::from(load.runs) / f64::from(target.slots.max(1));
            return Some(remote(8.0) + factor * latency * (1.0 + 3.0 * used));
        };
        let is_copy = query.load.runs == 0;
        let mut sum = *load;
        sum += query.load;
        let capacity = f64::from(engine.kv_capacity);
        let used = planned_memory(sum) / capacity;
        let limit = if is_copy && !query.is_urgent {
            0.4
        } else {
            0.97
        };
        if used > limit || !is_copy && load.runs >= engine.slots {
            return None;
        }
        let memory = 250.0 * used * used;
        if is_copy {
            let wrong = match query.run_data_centre {
                Some(run) if *target.data_centre != *run => 400.0,
                None if is_local == query.is_run_local => 150.0,
                _ => 0.0,
            };
            return Some(wrong + memory + 200.0 * (f64::from(load.copy_memory) / capacity));
        }
        let own = f64::from(query.load.pending_prefill) * (factor - 1.0);
        let pending = f64::from(load.pending_prefill) * factor + own;
        if load.pending_prefill > 0 && pending > f64::from(query.max_pending_prefill) {
            return None;
        }
        let output = query
            .load
            .peak_memory
            .saturating_sub(query.load.used_memory);
        let remote = remote(30.0 + 0.6 * f64::from(output));
        Some(remote + pending / 7.0 + 12.0 * factor * f64::from(load.runs) + memory)
    }
}

fn planned_memory(load: Load) -> f64 {
    let growth = f64::from(load.peak_memory.saturating_sub(load.used_memory));
    let share = (3.0 / f64::from(load.runs.max(1))).min(1.0);
    f64::from(load.used_memory) + share * growth + f64::from(load.copy_memory)
}

fn random_load(random: &mut SmallRng) -> Load {
    if random.random_bool(0.02) {
        // Reports may carry any numbers, whose sums saturate.
        return Load {
            runs: 1,
            peak_memory: u32::MAX,
            used_memory: u32::MAX - 5,
            ..Load::default()
        };
    }
    if random.random_bool(0.3) {
        let copy_memory = random.random_range(0..4_000);
        return Load {
            copy_memory,
            ..Load::default()
        };
    }
    let prompt = random.random_range(0..4_000);
    Load {
        runs: 1,
        peak_memory: prompt + random.random_range(0..1_000),
        used_memory: prompt,
        pending_prefill: if random.random_bool(0.5) { prompt } else { 0 },
        copy_memory: 0,
    }
}

fn random_targets(random: &mut SmallRng) -> Vec<Target> {
    let count = random.random_range(0..=16);
    let sites = random.random_range(1..=NAMES.len());
    let target = |index| Target {
        key: key::Target::of(&format!("t-{index}")),
        instance: format!("t-{index}").into(),
        address: ([10, 1, 0, index], 80).into(),
        service: key::Service::of("s"),
        data_centre: NAMES[random.random_range(0..sites)].into(),
        slots: random.random_range(0..6),
        is_leaving: random.random_bool(0.1),
        is_cordoned: random.random_bool(0.1),
        started_ms: None,
        release: ["v1", "v2"][usize::from(random.random_bool(0.3))].into(),
        warm_up: WarmUp::default(),
    };
    (0..count).map(target).collect()
}

/// Draws a state, in which both implementations know the same.
fn random_state(seed: u64, targets: &[Target], random: &mut SmallRng) -> (Placement, Reference) {
    let mut placement = Placement::new(seed);
    let mut reference = Reference {
        runs: Vec::new(),
        peer_loads: HashMap::new(),
        avoided: HashSet::new(),
        latencies: HashMap::new(),
        summarized: HashSet::new(),
        failure_counts: HashMap::new(),
        unreachable: HashSet::new(),
        random: SmallRng::seed_from_u64(seed),
    };
    let mut avoid = *[0.0, 0.2, 1.0].choose(random).expect("not empty");
    for target in targets {
        let mut load = Load::default();
        for _ in 0..random.random_range(0..5) {
            load += random_load(random);
        }
        if random.random_bool(0.8) {
            reference.peer_loads.insert(target.key, load);
        }
        if random.random_bool(avoid) {
            placement.record_rejection(target.key, now());
            reference.avoided.insert(target.key);
        }
        if random.random_bool(avoid / 4.0) {
            placement.record_unreachable(target, now());
            reference.avoided.insert(target.key);
            reference.unreachable.insert(target.data_centre.clone());
            avoid = 0.0;
        }
        if random.random_bool(0.1) {
            reference
                .failure_counts
                .insert(target.key, random.random_range(1..4));
        }
        if random.random_bool(0.5) {
            let ms = random.random_range(1..200);
            placement.record_latency(target.key, Duration::from_millis(ms), now());
            let mean = 20.0 + 0.3 * (Duration::from_millis(ms).as_secs_f64() * 1e3 - 20.0);
            reference.latencies.insert(target.key, 20.0 + (mean - 20.0));
        }
    }
    let summarized = NAMES.iter().filter(|_| random.random_bool(0.5));
    reference.summarized = summarized.map(|name| key::DataCentre::of(name)).collect();
    placement.set_peer_load(reference.peer_loads.clone());
    placement.set_summarized(reference.summarized.clone());
    placement.set_failure_reports(&reference.failure_counts, now());
    (placement, reference)
}

/// Starts, changes and ends runs of this VM.
fn change_runs(
    (placement, reference): (&mut Placement, &mut Reference),
    targets: &[Target],
    random: &mut SmallRng,
) {
    for target in targets {
        if random.random_bool(0.7) {
            continue;
        }
        let load = random_load(random);
        let id = placement.start_run(target.key, load);
        let due = random.random_bool(0.3).then(|| {
            let due =
                Instant::default() + Duration::from_millis(random.random_range(59_998..60_002));
            placement.set_due(id, due);
            due
        });
        reference.runs.push((id, target.key, load, due));
    }
    reference.runs.retain_mut(|(id, _, load, due)| {
        match random.random_range(0..6) {
            0 => {
                placement.end_run(*id);
                return false;
            }
            1 => {
                placement.finish_prefill(*id);
                load.pending_prefill = 0;
                *due = None;
            }
            2 => {
                let (prompt, tokens) = (random.random_range(0..4_000), random.random_range(0..900));
                placement.update_tokens(*id, prompt, tokens);
                load.used_memory = prompt + tokens;
                load.peak_memory = load.peak_memory.max(prompt + tokens + tokens / 4);
            }
            _ => {}
        }
        true
    });
}

fn random_query<'a>(
    random: &mut SmallRng,
    excluded: &'a [key::Target],
    paces: &'a Paces,
) -> Query<'a> {
    let engine = random.random_bool(0.8).then_some(ENGINE);
    Query {
        load: random_load(random),
        engine,
        max_pending_prefill: *[u32::MAX, 8_000, 3_000].choose(random).expect("not empty"),
        excluded,
        release: random.random_bool(0.2).then_some("v1"),
        data_centre: NAMES.choose(random).expect("not empty"),
        is_remote_stale: random.random_bool(0.5),
        queued_ahead: *[0, 0, 1, 5].choose(random).expect("not empty"),
        is_urgent: random.random_bool(0.3),
        run_data_centre: random.random_bool(0.3).then_some("dc-1"),
        is_run_local: random.random_bool(0.5),
        paces: random.random_bool(0.7).then_some(paces),
        ..Query::default()
    }
}

#[test]
fn choices_are_those_of_a_plain_implementation() {
    let mut chosen = 0;
    for seed in 0..STATES {
        let random = &mut SmallRng::seed_from_u64(seed ^ 0x5eed);
        let targets = random_targets(random);
        let (mut placement, mut reference) = random_state(seed, &targets, random);
        let mut paces = Paces::default();
        for target in targets.iter().take(8) {
            let occupancy = Occupancy {
                running: 1,
                waiting: 0,
                pace_percent: Some(random.random_range(50..300)),
            };
            paces.record_occupancy(target, occupancy, now());
        }
        for choice in 0..CHOICES {
            change_runs((&mut placement, &mut reference), &targets, random);
            let mut excluded: Vec<_> = targets.iter().map(|target| target.key).collect();
            let share = *[0.0, 0.3, 0.9].choose(random).expect("not empty");
            excluded.retain(|_| random.random_bool(share));
            let query = random_query(random, &excluded, &paces);
            let actual = placement
                .choose(now(), &targets, &query)
                .map(|choice| Chosen {
                    target: choice.target.key,
                    cost: choice.basis.cost,
                    load: choice.basis.load,
                    candidates: choice.basis.candidates,
                    factor: choice.basis.factor,
                });
            let expected = reference.choose(&targets, &query);
            chosen += usize::from(expected.is_some());
            assert_eq!(actual, expected, "seed {seed}, choice {choice}, {query:?}");
            let mut local: HashMap<key::Target, Load> = HashMap::new();
            for (_, target, load, _) in &reference.runs {
                *local.entry(*target).or_default() += *load;
            }
            assert_eq!(
                placement.local_load(),
                local,
                "seed {seed}, choice {choice}"
            );
        }
    }
    // Most states must have capacity for the comparison to mean anything.
    let total = STATES as usize * CHOICES;
    assert!(
        chosen > total / 2,
        "{chosen} of {total} requests have a target"
    );
}
