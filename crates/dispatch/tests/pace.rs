//! Targets of unequal and varying speed: measurement, sharing and placement by pace.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Paces, Peers, Placement,
        configuration::Engine,
        listing::{Target, WarmUp},
        load::{Occupancy, Pace},
        pace::{Window, step_ms},
        peers::Readings,
        placement::{Query, RunId, prefill_time},
        report::{Report, Summary, TargetLoad},
    },
    prost::Message,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::{
        collections::{HashMap, HashSet, VecDeque},
        net::Ipv4Addr,
        time::Duration,
    },
};

const ENGINE: Engine = Engine {
    slots: 24,
    kv_capacity: 26_900,
    supports_migration: false,
    supports_backup: false,
    tokens_per_event: 4,
    copy_ms_per_token: 0.0,
};

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn target(index: usize) -> Target {
    Target {
        key: key::Target::of(&format!("t-{index}")),
        instance: format!("t-{index}").into(),
        address: format!("10.0.0.{}:80", index + 1)
            .parse()
            .expect("valid address"),
        service: key::Service::of("s"),
        data_centre: "dc-0".into(),
        slots: ENGINE.slots,
        is_leaving: false,
        is_cordoned: false,
        started_ms: Some(1_000),
        release: "v1".into(),
        warm_up: WarmUp::default(),
    }
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(target).collect()
}

fn host(percent: u32) -> Occupancy {
    Occupancy {
        running: 1,
        waiting: 0,
        pace_percent: Some(percent),
    }
}

fn new_run(prompt: u32, output: u32) -> Load {
    Load {
        runs: 1,
        peak_memory: prompt + output,
        used_memory: prompt,
        pending_prefill: prompt,
        copy_memory: 0,
    }
}

fn query(load: Load, paces: Option<&Paces>) -> Query<'_> {
    Query {
        load,
        engine: Some(ENGINE),
        data_centre: "dc-0",
        paces,
        ..Query::default()
    }
}

/// Returns paces in which the targets were measured with the given ratios, `samples` times each.
fn measured(targets: &[Target], ratios: &[f64], samples: usize, now: Instant) -> Paces {
    let mut paces = Paces::default();
    for (target, ratio) in targets.iter().zip(ratios) {
        paces.record_occupancy(target, host(100), now);
        for _ in 0..samples {
            paces.record_sample(target.key, *ratio, now);
        }
    }
    paces.refresh(targets[0].service, targets, now);
    paces
}

const SLOW_FACTOR: f64 = 2.4;
const MOMENT_FACTOR: f64 = 2.5;
const MOMENT_MS: u64 = 600;
const VMS: usize = 87;
const ENGINES: usize = 48;
/// Share of the engines' capacity that the slow third has.
const SLOW_CAPACITY_SHARE: f64 = (1.0 / SLOW_FACTOR) / (2.0 + 1.0 / SLOW_FACTOR);

fn is_slow(engine: usize) -> bool {
    engine.is_multiple_of(3)
}

/// A run of the replay.
struct Run {
    vm: usize,
    engine: usize,
    id: RunId,
    prompt: u32,
    output: u32,
    arrived: u64,
    placed: u64,
    /// Load of the engine that was known when it was placed.
    known: Load,
    prefill_left: f64,
    tokens: f64,
    events: u32,
    window: Window,
}

impl Run {
    fn load(&self) -> Load {
        let tokens = self.tokens as u32;
        Load {
            used_memory: self.prompt + tokens,
            pending_prefill: if self.prefill_left > 0.0 {
                self.prompt
            } else {
                0
            },
            ..new_run(self.prompt, self.output)
        }
    }
}

/// One of the VMs of the replay.
struct Vm {
    placement: Placement,
    paces: Paces,
}

/// What a replay measured once the VMs had had time to measure the engines.
#[derive(Debug)]
struct Outcome {
    slow_share: f64,
    mean_first_ms: f64,
    late_share: f64,
    served: usize,
}

/// Duration of a step of the replay, in milliseconds.
const STEP: u64 = 5;
/// Time until the VMs have measured the engines.
const WARM_UP: u64 = 20_000;
const END: u64 = 60_000;

/// A request that has no engine yet.
#[derive(Clone, Copy)]
struct Waiting {
    arrived: u64,
    vm: usize,
    prompt: u32,
    output: u32,
}

/// VMs and engines under load.
struct Replay {
    has_paces: bool,
    targets: Vec<Target>,
    vms: Vec<Vm>,
    peers: Peers,
    runs: Vec<Run>,
    queue: VecDeque<Waiting>,
    /// Engines that are slowed at the moment.
    moments: HashSet<usize>,
    random: SmallRng,
    /// What is random in reports must not change the arrivals.
    rounds: SmallRng,
    placed: u32,
    slow: u32,
    first_ms: Vec<u64>,
}

impl Replay {
    fn new(seed: u64, has_paces: bool) -> Self {
        Self {
            has_paces,
            targets: targets(ENGINES),
            vms: (0..VMS)
                .map(|vm| Vm {
                    placement: Placement::new(seed * 1_000 + vm as u64),
                    paces: Paces::default(),
                })
                .collect(),
            peers: Peers::default(),
            runs: Vec::new(),
            queue: VecDeque::new(),
            moments: HashSet::new(),
            random: SmallRng::seed_from_u64(seed),
            rounds: SmallRng::seed_from_u64(seed),
            placed: 0,
            slow: 0,
            first_ms: Vec::new(),
        }
    }

    fn run(mut self, requests_per_second: f64) -> Outcome {
        for now in (0..END).step_by(STEP as usize) {
            if now.is_multiple_of(MOMENT_MS) {
                let mut engines: Vec<_> = (0..ENGINES).collect();
                engines.shuffle(&mut self.random);
                self.moments = engines.into_iter().take(ENGINES / 6).collect();
            }
            let random = &mut self.random;
            if random.random_bool(requests_per_second * STEP as f64 / 1e3) {
                let vm = random.random_range(0..VMS);
                let (prompt, output) = if random.random_bool(0.5) {
                    (3_000, 750)
                } else {
                    (2_200, 10)
                };
                self.queue.push_back(Waiting {
                    arrived: now,
                    vm,
                    prompt,
                    output,
                });
            }
            if self.has_paces {
                self.share(now);
            }
            while let Some(&request) = self.queue.front() {
                if !self.place(request, now) {
                    break;
                }
                self.queue.pop_front();
            }
            self.advance(now);
        }
        let late = self.first_ms.iter().filter(|time| **time > 1_500).count();
        let served = self.first_ms.len();
        Outcome {
            slow_share: f64::from(self.slow) / f64::from(self.placed),
            mean_first_ms: self.first_ms.iter().sum::<u64>() as f64 / served as f64,
            late_share: late as f64 / served as f64,
            served,
        }
    }

    /// Sends a heartbeat of each VM every 2 s, which the others read within 0.5 s.
    fn share(&mut self, now: u64) {
        for vm in (0..VMS).filter(|vm| (now / STEP) as usize % 400 == vm * 4) {
            let mut loads = Vec::new();
            let paces = self.vms[vm].paces.local(at(now));
            TargetLoad::add_paces(&mut loads, &paces, self.rounds.random());
            let report = Report {
                address: Ipv4Addr::new(10, 1, 0, vm as u8).into(),
                sequence: now + 1,
                loads,
                ..Report::default()
            };
            self.peers
                .receive_report(report, Ipv4Addr::LOCALHOST, at(now));
        }
        if now.is_multiple_of(500) {
            for vm in &mut self.vms {
                vm.paces.set_readings(self.peers.paces(at(now)), at(now));
            }
        }
    }

    /// Places a request; each VM learns of the others' load 10 ms later.
    fn place(&mut self, request: Waiting, now: u64) -> bool {
        let mut known: HashMap<key::Target, Load> = HashMap::new();
        let others = self.runs.iter().filter(|run| run.vm != request.vm);
        for run in others.filter(|run| run.placed + 10 <= now) {
            *known.entry(self.targets[run.engine].key).or_default() += run.load();
        }
        let Vm { placement, paces } = &mut self.vms[request.vm];
        placement.set_peer_load(known);
        paces.refresh(self.targets[0].service, &self.targets, at(now));
        let load = new_run(request.prompt, request.output);
        let query = query(load, self.has_paces.then_some(&*paces));
        let Some(choice) = placement.choose(at(now), &self.targets, &query) else {
            return false;
        };
        let (chosen, known) = (choice.target.key, choice.basis.load);
        let engine = self.targets.iter().position(|target| target.key == chosen);
        let engine = engine.expect("a listed target");
        if now >= WARM_UP {
            self.placed += 1;
            self.slow += u32::from(is_slow(engine));
        }
        self.runs.push(Run {
            vm: request.vm,
            engine,
            id: placement.start_run(chosen, load),
            prompt: request.prompt,
            output: request.output,
            arrived: request.arrived,
            placed: now,
            known,
            prefill_left: f64::from(request.prompt),
            tokens: 0.0,
            events: 0,
            window: Window::default(),
        });
        true
    }

    /// Lets the engines work for a step.
    fn advance(&mut self, now: u64) {
        let mut decoding = [0_u32; ENGINES];
        let mut prefilling = [0_u32; ENGINES];
        for run in &self.runs {
            decoding[run.engine] += u32::from(run.prefill_left <= 0.0);
            prefilling[run.engine] += u32::from(run.prefill_left > 0.0);
        }
        let mut has_prefilled = [false; ENGINES];
        for run in &mut self.runs {
            let engine = run.engine;
            let moment = if self.moments.contains(&engine) {
                MOMENT_FACTOR
            } else {
                1.0
            };
            let factor = moment * if is_slow(engine) { SLOW_FACTOR } else { 1.0 };
            let Vm { placement, paces } = &mut self.vms[run.vm];
            let target = &self.targets[engine];
            if run.prefill_left > 0.0 {
                if std::mem::replace(&mut has_prefilled[engine], true) {
                    continue;
                }
                let rate = if decoding[engine] > 0 { 7.0 } else { 14.0 };
                run.prefill_left -= rate * STEP as f64 / factor;
                if run.prefill_left > 0.0 {
                    continue;
                }
                placement.finish_prefill(run.id);
                if run.arrived >= WARM_UP {
                    self.first_ms.push(now + STEP - run.arrived);
                }
                paces.record_occupancy(target, host((moment * 100.0) as u32), at(now));
                let mut prefill = prefill_time(run.known.pending_prefill + run.prompt);
                if run.known.runs == 0 {
                    prefill /= 2;
                }
                paces.record_first_event(target.key, prefill, at(run.placed), at(now));
                continue;
            }
            let load = Load {
                runs: decoding[engine],
                pending_prefill: prefilling[engine],
                ..Load::default()
            };
            run.tokens += STEP as f64 / (step_ms(load) * factor);
            let events = run.tokens as u32 / ENGINE.tokens_per_event;
            if events > run.events {
                run.events = events;
                placement.update_tokens(run.id, run.prompt, run.tokens as u32);
                let step = step_ms(placement.load_on(target.key));
                if let Some(ratio) = run.window.record(4, step, true, at(now)) {
                    paces.record_sample(target.key, ratio, at(now));
                }
            }
        }
        let vms = &mut self.vms;
        self.runs.retain(|run| {
            let is_running = run.tokens < f64::from(run.output);
            if !is_running {
                vms[run.vm].placement.end_run(run.id);
            }
            is_running
        });
    }
}

/// Replays requests on 48 engines of which a third is slow for everything, and of which a sixth is
/// slowed for 0.6 s at a time. They come in equal numbers of drafts and checks at 87 VMs.
fn replay(seed: u64, requests_per_second: f64, has_paces: bool) -> Outcome {
    Replay::new(seed, has_paces).run(requests_per_second)
}

/// Guards against a placement that assumes equal speed, by which requests wait at slow engines while
/// fast ones have room, and against one that leaves the slow engines without any load.
#[test]
fn a_slow_third_of_the_engines_gets_at_most_its_share_and_first_events_come_sooner() {
    for seed in 1..=3 {
        let without = replay(seed, 50.0, false);
        let with = replay(seed, 50.0, true);
        println!("seed {seed}: without {without:?}, with {with:?}");
        assert!(
            with.slow_share <= SLOW_CAPACITY_SHARE,
            "seed {seed}: {with:?}"
        );
        assert!(with.slow_share > 0.0, "seed {seed}: {with:?}");
        assert!(
            with.mean_first_ms < without.mean_first_ms && with.late_share <= without.late_share,
            "seed {seed}: {with:?}, without pace {without:?}"
        );
    }
}

/// Guards against leaving the slow engines idle when the fast ones are full.
#[test]
fn a_slow_third_serves_what_the_fast_engines_have_no_room_for() {
    for seed in 1..=3 {
        let without = replay(seed, 60.0, false);
        let with = replay(seed, 60.0, true);
        println!("seed {seed}: without {without:?}, with {with:?}");
        assert!(
            with.served >= without.served && with.mean_first_ms < without.mean_first_ms,
            "seed {seed}: {with:?}, without pace {without:?}"
        );
        assert!(
            with.slow_share >= SLOW_CAPACITY_SHARE / 2.0,
            "seed {seed}: {with:?}"
        );
    }
    // More than all engines have capacity for: each request takes what becomes free.
    let with = replay(1, 80.0, true);
    assert!(with.slow_share >= SLOW_CAPACITY_SHARE / 2.0, "{with:?}");
}

/// Guards against avoiding a target for what its host reported in the past.
#[test]
fn a_slow_moment_is_forgotten_when_it_is_no_longer_valid() {
    let targets = targets(4);
    let mut paces = measured(&targets, &[1.0; 4], 20, at(0));
    paces.record_occupancy(&targets[0], host(250), at(100));
    assert!((paces.factor(targets[0].key, at(399)) - 2.5).abs() < 1e-9);
    assert!((paces.factor(targets[0].key, at(400)) - 1.0).abs() < 0.01);
    paces.record_occupancy(&targets[0], host(250), at(500));
    paces.record_occupancy(&targets[0], host(100), at(510));
    assert!((paces.factor(targets[0].key, at(511)) - 1.0).abs() < 0.01);
    paces.record_occupancy(&targets[0], host(250), at(1_000));
    let chosen = |now| {
        let mut counts: HashMap<key::Target, u32> = HashMap::new();
        for seed in 0..200 {
            let mut placement = Placement::new(seed);
            let choice = placement.choose(now, &targets, &query(new_run(3_000, 750), Some(&paces)));
            let key = choice.expect("a target has capacity").target.key;
            *counts.entry(key).or_default() += 1;
        }
        counts.get(&targets[0].key).copied().unwrap_or_default()
    };
    assert_eq!(chosen(at(1_010)), 0, "slow now");
    assert!(chosen(at(1_310)) > 20, "one of four equal targets again");
}

/// Guards against avoiding a target for ten seconds that was slow for one: many streams measure the
/// same moment.
#[test]
fn a_slow_second_doesnt_change_the_long_term_factor_for_long() {
    let targets = targets(4);
    let mut paces = measured(&targets, &[1.0; 4], 2, at(0));
    for second in 1..=10 {
        for target in &targets {
            let is_slow = second == 6 && target.key == targets[0].key;
            for _ in 0..3 {
                paces.record_sample(
                    target.key,
                    if is_slow { 2.5 } else { 1.0 },
                    at(second * 1_000),
                );
            }
        }
        paces.refresh(targets[0].service, &targets, at(second * 1_000));
        let factor = paces.usual_factor(targets[0].key);
        // The cost of a prompt of 3,000 tokens then differs by less than that of four runs.
        assert!(factor < 1.3, "second {second}: {factor}");
        assert!(second < 9 || factor < 1.15, "second {second}: {factor}");
    }
}

#[test]
fn a_factor_decays_halfway_to_normal_within_its_half_life() {
    let targets = targets(3);
    let mut paces = measured(&targets, &[2.4, 1.0, 1.0], 100, at(0));
    let before = paces.usual_factor(targets[0].key);
    assert!((before - 2.4).abs() < 0.1, "{before}");
    // The other targets are still measured.
    for second in 1..=30 {
        for target in &targets[1..] {
            paces.record_sample(target.key, 1.0, at(second * 1_000));
        }
    }
    paces.refresh(targets[0].service, &targets, at(30_000));
    let after = paces.usual_factor(targets[0].key);
    assert!((after.ln() / before.ln() - 0.5).abs() < 0.05, "{after}");
}

/// Guards against charging a new process with what VMs measured of the one before it.
#[test]
fn a_restarted_target_begins_without_measurements_of_any_vm() {
    let mut targets = targets(3);
    let mut paces = measured(&targets, &[4.0, 1.0, 1.0], 50, at(0));
    assert!(paces.usual_factor(targets[0].key) > 3.5);
    let readings = |received| -> Readings {
        let pace = Pace {
            percent: 400,
            weight: 50,
        };
        HashMap::from([(targets[0].key, vec![(pace, received)])])
    };
    let (early, late) = (readings(at(2_000)), readings(at(8_000)));
    targets[0].started_ms = Some(2_000);
    paces.set_readings(early, at(2_000));
    paces.refresh(targets[0].service, &targets, at(1_000));
    assert!((paces.usual_factor(targets[0].key) - 1.0).abs() < 1e-9);
    paces.refresh(targets[0].service, &targets, at(5_000));
    assert!((paces.usual_factor(targets[0].key) - 1.0).abs() < 1e-9);
    // A description without a start, or of the process before, is not another restart.
    paces.set_readings(late, at(8_000));
    paces.refresh(targets[0].service, &targets, at(8_000));
    assert!(
        paces.usual_factor(targets[0].key) > 3.0,
        "the new process is slow too"
    );
    targets[0].started_ms = None;
    paces.refresh(targets[0].service, &targets, at(9_000));
    targets[0].started_ms = Some(1_000);
    paces.refresh(targets[0].service, &targets, at(10_000));
    assert!(paces.usual_factor(targets[0].key) > 3.0);
}

/// Guards against a VM that must measure each engine itself, which takes it minutes.
#[test]
fn measurements_of_peers_and_of_other_data_centres_count() {
    let targets = targets(3);
    let pace = |percent| Pace { percent, weight: 3 };
    let loads = |percent| {
        let paces = HashMap::from([(targets[0].key, pace(percent)), (targets[1].key, pace(100))]);
        let mut loads = vec![TargetLoad::new(targets[0].key, new_run(100, 10))];
        TargetLoad::add_paces(&mut loads, &paces, 0);
        loads
    };
    let mut peers = Peers::default();
    for vm in 1..=10 {
        let report = Report {
            address: Ipv4Addr::new(10, 1, 0, vm).into(),
            sequence: 1,
            loads: loads(240),
            ..Report::default()
        };
        peers.receive_report(report.clone(), Ipv4Addr::LOCALHOST, at(0));
        // A report on a change of load carries no paces, and must not remove them.
        let without = Report {
            sequence: 2,
            loads: Vec::new(),
            ..report
        };
        peers.receive_report(without, Ipv4Addr::LOCALHOST, at(10));
    }
    let mut paces = Paces::default();
    paces.record_occupancy(&targets[2], host(100), at(0));
    assert!(paces.needs_readings(at(20)));
    paces.set_readings(peers.paces(at(20)), at(20));
    paces.refresh(targets[0].service, &targets, at(20));
    let factor = paces.usual_factor(targets[0].key);
    assert!((factor - 2.4).abs() < 0.2, "{factor}");
    let summary = paces.summarize(&peers.paces_in(0, at(20)), at(20));
    assert_eq!(
        summary.get(&targets[0].key),
        Some(&Pace {
            percent: 240,
            weight: 30
        })
    );
    let mut remote = Peers::default();
    let loads: Vec<_> = summary
        .iter()
        .map(|(target, pace)| TargetLoad::new(*target, Load::default()).with_pace(Some(*pace)))
        .collect();
    for summary in Summary::split(7, &loads, true) {
        remote.receive_summary(summary, at(30));
    }
    let mut paces = Paces::default();
    paces.record_occupancy(&targets[2], host(100), at(0));
    paces.set_readings(remote.paces(at(40)), at(40));
    paces.refresh(targets[0].service, &targets, at(40));
    assert!((paces.usual_factor(targets[0].key) - factor).abs() < 0.05);
}

/// [`TargetLoad`] as older builds know it.
#[derive(Clone, Copy, Eq, PartialEq, Message)]
struct OldTargetLoad {
    #[prost(fixed64, tag = "1")]
    target: u64,
    #[prost(uint32, tag = "2")]
    runs: u32,
    #[prost(uint32, tag = "3")]
    peak_memory: u32,
}

#[test]
fn older_builds_and_reports_without_a_valid_pace_are_understood() {
    let pace = Pace {
        percent: 240,
        weight: 9,
    };
    let new = TargetLoad::new(key::Target::of("t"), new_run(100, 10)).with_pace(Some(pace));
    assert_eq!(
        TargetLoad::decode(&*new.encode_to_vec()).map(|load| load.pace()),
        Ok(Some(pace))
    );
    let old = OldTargetLoad::decode(&*new.encode_to_vec()).expect("unknown fields are ignored");
    assert_eq!((old.runs, old.peak_memory), (1, 110));
    let decoded = TargetLoad::decode(&*old.encode_to_vec()).expect("absent fields are 0");
    assert_eq!((decoded.runs, decoded.pace()), (1, None));
    for (pace_percent, pace_weight) in [(0, 9), (240, 0), (240, 256), (0, 0)] {
        let load = TargetLoad {
            pace_percent,
            pace_weight,
            ..new
        };
        assert_eq!(load.pace(), None, "{pace_percent} {pace_weight}");
    }
    // An extreme value must not make a target unusable or irresistible.
    let targets = targets(3);
    let mut paces = measured(&targets, &[1.0; 3], 10, at(0));
    for percent in [1, u32::MAX] {
        let pace = Pace {
            percent,
            weight: 255,
        };
        paces.set_readings(
            HashMap::from([(targets[0].key, vec![(pace, at(0))])]),
            at(0),
        );
        paces.refresh(
            targets[0].service,
            &targets,
            at(u64::from(percent % 7) * 1_000 + 1_000),
        );
        let factor = paces.factor(targets[0].key, at(1_000));
        assert!((0.25..=8.0).contains(&factor), "{percent}: {factor}");
    }
}

/// Guards against reports that grow with the number of targets.
#[test]
fn a_report_carries_a_limited_number_of_paces_and_successive_ones_carry_all() {
    let pace = Pace {
        percent: 120,
        weight: 1,
    };
    let paces: HashMap<_, _> = targets(60)
        .iter()
        .map(|target| (target.key, pace))
        .collect();
    let mut sent = HashSet::new();
    for round in 0..4 {
        let mut loads = vec![TargetLoad::new(target(0).key, new_run(100, 10))];
        TargetLoad::add_paces(&mut loads, &paces, round);
        assert_eq!(loads.len(), 17);
        assert_eq!(loads[0].pace(), Some(pace));
        sent.extend(loads.iter().map(|load| load.target));
    }
    assert_eq!(sent.len(), 60);
}

/// Guards against effects on deployments whose targets don't report the pace of their hosts.
#[test]
fn without_the_figure_nothing_is_measured_and_choices_are_the_same() {
    let targets = targets(12);
    let mut paces = Paces::default();
    for target in &targets {
        let occupancy = Occupancy {
            pace_percent: None,
            ..host(100)
        };
        assert!(!paces.record_occupancy(target, occupancy, at(0)));
        paces.record_sample(target.key, 5.0, at(0));
        paces.record_first_event(target.key, Duration::from_millis(400), at(0), at(4_000));
        assert!(!paces.is_measured(target.key));
    }
    paces.refresh(targets[0].service, &targets, at(1));
    assert!(paces.local(at(1)).is_empty() && !paces.needs_readings(at(1)));
    assert_eq!(paces.spreads().count(), 0);
    let (mut with, mut without) = (Placement::new(1), Placement::new(1));
    for now in 0..60 {
        let load = new_run(3_000, 750);
        let one = with.choose(at(now), &targets, &query(load, Some(&paces)));
        let other = without.choose(at(now), &targets, &query(load, None));
        assert_eq!(
            one.map(|choice| (choice.target.key, choice.basis.cost.to_bits())),
            other.map(|choice| (choice.target.key, choice.basis.cost.to_bits()))
        );
        let Some(choice) = one else { break };
        with.start_run(choice.target.key, load);
        without.start_run(choice.target.key, load);
        assert_eq!(
            with.paced_run_count(&targets, &paces, at(now)),
            with.run_count(&targets)
        );
    }
}

/// Guards against a prompt that is queued at a slow engine as if the engine were fast enough.
#[test]
fn the_prompts_that_may_be_pending_depend_on_the_pace() {
    let targets = targets(3);
    let paces = measured(&targets, &[2.4, 1.0, 1.0], 100, at(0));
    let only_slow: Vec<_> = targets[..1].to_vec();
    let choose = |pending, max_pending_prefill| {
        let mut placement = Placement::new(1);
        let load = Load {
            pending_prefill: pending,
            ..new_run(pending, 10)
        };
        placement.set_peer_load(HashMap::from([(targets[0].key, load)]));
        let query = Query {
            max_pending_prefill,
            ..query(new_run(2_200, 10), Some(&paces))
        };
        placement.choose(at(1), &only_slow, &query).is_some()
    };
    // 2.4 x 1,000 pending tokens and 1.4 x 2,200 more of its own prompt take as long as 5,480.
    assert!(choose(1_000, 5_600));
    assert!(!choose(1_000, 5_300));
    assert!(choose(0, 0), "an idle engine takes it, however late");
    let count = {
        let mut placement = Placement::new(1);
        for _ in 0..12 {
            placement.start_run(targets[0].key, new_run(100, 10));
            placement.start_run(targets[1].key, new_run(100, 10));
        }
        placement.paced_run_count(&targets, &paces, at(1))
    };
    assert_eq!(count, 17, "12 runs, and 12 that end 2.4 times less often");
}

/// Guards against measuring pauses of the VM instead of the engine.
#[test]
fn a_pause_of_the_vm_doesnt_change_a_sample() {
    let mut window = Window::default();
    let mut samples = Vec::new();
    // The engine sends an event of 4 tokens every 40 ms; the VM sees nothing from 1,000 to 1,500 ms.
    for now in (0..4_000).step_by(40) {
        let (events, is_prompt) = match now {
            1_000..1_500 => continue,
            1_500..1_540 => (14, false),
            _ => (1, true),
        };
        samples.extend(window.record(4 * events, 10.0, is_prompt, at(now)));
    }
    assert!(samples.len() >= 2);
    for sample in samples {
        assert!((sample - 1.0).abs() < 0.1, "{sample}");
    }
    let mut window = Window::default();
    window.record(4, 10.0, true, at(0));
    window.record(4, 10.0, true, at(40));
    assert_eq!(window.record(4, 10.0, true, at(9_000)), None, "interrupted");
}
