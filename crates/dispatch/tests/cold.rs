//! Requests to targets that are warming up.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Cold, Load, Peers, Placement,
        configuration::{ColdStart, Engine},
        listing::{Listing, MAX_COLD_REMAINING, Target, WarmUp},
        placement::{Query, RunId},
        report::{Description, Report},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        net::Ipv4Addr,
        time::Duration,
    },
};

const VMS: usize = 130;
const TARGETS: usize = 60;
/// Number of targets that come back at the same moment: those of one data centre.
const COLD_TARGETS: usize = 15;
const DATA_CENTRES: [&str; 4] = ["dc-0", "dc-1", "dc-2", "dc-3"];
const START: ColdStart = ColdStart {
    duration: Duration::from_secs(8),
    rate: 25.0,
};
/// Requests of all VMs that a cold target bears in a second: `ColdPerS` x 1.5 + 5.
const BOUND: usize = 42;
/// Time between two decisions of a VM.
const STEP: Duration = Duration::from_millis(15);
/// Interval at which VMs learn of the others' load.
const REPORT_INTERVAL: Duration = Duration::from_millis(105);
const ENGINE: Engine = Engine {
    slots: 24,
    kv_capacity: 26_900,
    supports_migration: true,
    supports_backup: false,
    tokens_per_event: 4,
    copy_ms_per_token: 0.0,
};
/// Load of a check.
const LOAD: Load = Load {
    runs: 1,
    peak_memory: 2_210,
    used_memory: 2_200,
    pending_prefill: 0,
    copy_memory: 0,
};
/// Time for which a check runs.
const RUN_TIME: Duration = Duration::from_millis(150);

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn target(index: usize, remaining_ms: Option<u64>) -> Target {
    Target {
        key: key::Target::of(&format!("t-{index}")),
        instance: format!("t-{index}").into(),
        address: ([10, 1, 0, index as u8], 80).into(),
        service: key::Service::of("s"),
        data_centre: DATA_CENTRES[index / COLD_TARGETS % DATA_CENTRES.len()].into(),
        slots: 24,
        is_leaving: false,
        is_cordoned: false,
        started_ms: Some(1),
        release: "v1".into(),
        warm_up: WarmUp::new(remaining_ms.map(Duration::from_millis)),
    }
}

/// Returns targets as a VM lists them at `now`; the first `cold` of them start just then.
fn targets(count: usize, cold: usize, now: Instant) -> Vec<Target> {
    let mut listing = Listing::default();
    let remaining = |index| if index < cold { 8_000 } else { 0 };
    let targets = (0..count).map(|index| target(index, Some(remaining(index))));
    listing.replace(targets.collect(), now);
    let mut targets: Vec<_> = listing.targets().collect();
    targets.sort_by_key(|target| target.address);
    targets
}

fn address(vm: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (vm / 250) as u8, (vm % 250) as u8)
}

fn id(address: Ipv4Addr) -> u64 {
    u64::from(u32::from(address))
}

fn report(vm: usize, sequence: u64) -> Report {
    Report {
        address: address(vm).into(),
        incarnation: 1,
        sequence,
        ..Report::default()
    }
}

/// A VM with queued requests.
struct Vm {
    cold: Cold,
    placement: Placement,
    data_centre: &'static str,
    queued: usize,
    runs: Vec<(Instant, RunId)>,
}

impl Vm {
    fn new(index: usize, started: Instant, known: impl Iterator<Item = usize>) -> Self {
        let mut cold = Cold::new(id(address(index)), true, started);
        cold.set_vms(known.map(|vm| id(address(vm))));
        Self {
            cold,
            placement: Placement::new(index as u64),
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()],
            queued: 0,
            runs: Vec::new(),
        }
    }

    /// Sends a queued request; returns its target.
    fn send(&mut self, targets: &[Target], keeps_limit: bool, now: Instant) -> Option<key::Target> {
        let query = Query {
            load: LOAD,
            engine: Some(ENGINE),
            data_centre: self.data_centre,
            ..Query::default()
        };
        let closed = if keeps_limit {
            self.cold.closed(targets, &START, now)
        } else {
            Vec::new()
        };
        let open = Query {
            excluded: &closed,
            ..query
        };
        let mut choice = self.placement.choose(now, targets, &open);
        if choice.is_none() && self.cold.is_last_resort(now) {
            choice = self.placement.choose(now, targets, &query);
        }
        let target = choice?.target;
        self.cold.record_sent(target, &START, now);
        let run = self.placement.start_run(target.key, LOAD);
        self.placement.finish_prefill(run);
        self.runs.push((now + RUN_TIME, run));
        Some(target.key)
    }
}

/// What all VMs sent in a replay.
#[derive(Default)]
struct Sent {
    /// When requests arrived at each target.
    arrivals: HashMap<key::Target, Vec<Instant>>,
    /// Number of requests that no target had room for.
    unplaced: usize,
}

impl Sent {
    /// Returns the largest number of requests that one of the targets got in a second.
    fn most_in_a_second(&self, targets: &[Target]) -> usize {
        let most = targets.iter().filter_map(|target| {
            let mut arrivals = self.arrivals.get(&target.key)?.clone();
            arrivals.sort();
            let counts = arrivals.iter().enumerate().map(|(index, first)| {
                let later = arrivals[index..].iter();
                let second = Duration::from_secs(1);
                later.take_while(|at| at.since(*first) < second).count()
            });
            counts.max()
        });
        most.max().unwrap_or_default()
    }

    fn count(&self, targets: &[Target]) -> usize {
        let counts = targets.iter().map(|target| {
            let arrivals = self.arrivals.get(&target.key);
            arrivals.map_or(0, Vec::len)
        });
        counts.sum()
    }
}

/// Lets the VMs send what they have queued, and `rate` more requests a second each, for a time.
fn replay(
    vms: &mut [Vm],
    targets: &[Target],
    rate: f64,
    keeps_limit: bool,
    begin: Instant,
    duration: Duration,
) -> Sent {
    let mut random = SmallRng::seed_from_u64(7);
    let mut sent = Sent::default();
    let mut now = begin;
    let mut reported = None;
    while now < begin + duration {
        if reported.is_none_or(|reported| now.since(reported) >= REPORT_INTERVAL) {
            reported = Some(now);
            let loads: Vec<_> = vms.iter().map(|vm| vm.placement.local_load()).collect();
            let mut total: HashMap<key::Target, Load> = HashMap::new();
            for (target, load) in loads.iter().flatten() {
                *total.entry(*target).or_default() += *load;
            }
            for (vm, own) in vms.iter_mut().zip(&loads) {
                let others = total.iter().map(|(target, load)| {
                    let own = own.get(target).copied().unwrap_or_default();
                    let others = Load {
                        runs: load.runs - own.runs,
                        peak_memory: load.peak_memory - own.peak_memory,
                        used_memory: load.used_memory - own.used_memory,
                        ..*load
                    };
                    (*target, others)
                });
                vm.placement.set_peer_load(others.collect());
            }
        }
        for vm in &mut *vms {
            vm.queued += usize::from(random.random_bool(rate * STEP.as_secs_f64()));
            let (ended, running) = vm.runs.iter().partition(|(end, _)| *end <= now);
            vm.runs = running;
            let ended: Vec<(Instant, RunId)> = ended;
            for (_, run) in ended {
                vm.placement.end_run(run);
            }
            while vm.queued > 0 {
                let Some(target) = vm.send(targets, keeps_limit, now) else {
                    sent.unplaced += vm.queued;
                    break;
                };
                vm.queued -= 1;
                let delay = Duration::from_millis(random.random_range(0..60));
                sent.arrivals.entry(target).or_default().push(now + delay);
            }
        }
        now = now + STEP;
    }
    sent
}

fn fleet(known: impl Fn(usize, usize) -> bool) -> Vec<Vm> {
    let known = &known;
    let vm = |vm| Vm::new(vm, at(0), (0..VMS).filter(move |other| known(vm, *other)));
    (0..VMS).map(vm).collect()
}

/// A data centre returns: a quarter of the targets is idle and cold as all VMs have requests queued.
#[test]
fn a_data_centre_that_returns_gets_no_more_than_its_targets_bear() {
    let begin = at(60_000);
    let targets = targets(TARGETS, COLD_TARGETS, begin);
    let (cold, warm) = targets.split_at(COLD_TARGETS);
    let run = |keeps_limit| {
        let mut vms = fleet(|_, _| true);
        for vm in &mut vms {
            vm.queued = 3;
        }
        let duration = Duration::from_secs(4);
        replay(&mut vms, &targets, 12.0, keeps_limit, begin, duration)
    };
    let sent = run(true);
    let most = sent.most_in_a_second(cold);
    assert!(most <= BOUND, "{most} requests in a second");
    // All cold targets are used, and the warm ones, which have room, take the rest.
    assert!(
        cold.iter()
            .all(|target| sent.arrivals.contains_key(&target.key))
    );
    assert!(sent.count(warm) > sent.count(cold));
    assert_eq!(sent.unplaced, 0);
    // The load would exceed the bound if VMs didn't limit themselves.
    let most = run(false).most_in_a_second(cold);
    assert!(most > BOUND, "{most} requests in a second without a limit");
}

/// Warm targets have no room left, so that all VMs keep trying to use the cold ones.
#[test]
fn the_bound_holds_when_warm_targets_are_full() {
    let begin = at(60_000);
    let targets = targets(3, 2, begin);
    let mut vms = fleet(|_, _| true);
    for vm in &mut vms {
        vm.queued = 50;
    }
    let sent = replay(&mut vms, &targets, 5.0, true, begin, Duration::from_secs(5));
    let most = sent.most_in_a_second(&targets[..2]);
    assert!(most <= BOUND, "{most} requests in a second");
    assert!(sent.unplaced > 0);
    // What they bear is used.
    let count = sent.count(&targets[..2]);
    assert!(count >= 2 * 5 * 25 / 2, "{count} requests");
}

/// A partition divides the VMs; each group hears only its own reports for 6 s.
#[test]
fn a_partition_into_four_does_not_change_who_may_send() {
    let mut all: Vec<_> = (0..VMS).map(|_| Peers::default()).collect();
    for (vm, peers) in all.iter_mut().enumerate() {
        for other in 0..VMS {
            peers.receive_report(report(other, 1), address(vm), at(60_000));
        }
        for other in (0..VMS).filter(|other| other % 4 == vm % 4) {
            peers.receive_report(report(other, 2), address(vm), at(65_000));
        }
        peers.expire(at(66_000));
    }
    let begin = at(66_000);
    let targets = targets(3, 2, begin);
    let mut vms = fleet(|_, _| false);
    for (vm, peers) in vms.iter_mut().zip(&all) {
        vm.cold.set_vms(peers.known(begin).map(id));
        vm.queued = 50;
    }
    let sent = replay(&mut vms, &targets, 5.0, true, begin, Duration::from_secs(5));
    let most = sent.most_in_a_second(&targets[..2]);
    assert!(most <= BOUND, "{most} requests in a second");
}

/// Some VMs have not heard of a twentieth of the others, each of a different one.
#[test]
fn the_bound_holds_with_views_that_differ_a_little() {
    let begin = at(60_000);
    let targets = targets(3, 2, begin);
    let mut vms = fleet(|vm, other| (vm * 7 + other * 13) % 20 != 0);
    for vm in &mut vms {
        vm.queued = 50;
    }
    let sent = replay(&mut vms, &targets, 5.0, true, begin, Duration::from_secs(5));
    let most = sent.most_in_a_second(&targets[..2]);
    assert!(most <= BOUND, "{most} requests in a second");
}

/// A VM whose process has just started, and one that has been cut off from all others for long.
#[test]
fn a_vm_without_peers_uses_cold_targets_as_a_last_resort_and_seldom() {
    let begin = at(60_000);
    let started = Vm::new(0, begin, 1..VMS);
    let cut_off = Vm::new(1, at(0), 0..0);
    for mut vm in [started, cut_off] {
        assert!(!vm.cold.is_settled(begin));
        // A warm target has room.
        let targets = targets(3, 2, begin);
        vm.queued = 8;
        let vms = std::slice::from_mut(&mut vm);
        let sent = replay(vms, &targets, 0.0, true, begin, Duration::from_millis(500));
        assert_eq!(sent.count(&targets[..2]), 0);
        assert_eq!(sent.count(&targets[2..]), 8);
        // No target is warm: one request in a second to all cold ones together.
        vm.queued = 8;
        let vms = std::slice::from_mut(&mut vm);
        let begin = begin + Duration::from_millis(500);
        let sent = replay(
            vms,
            &targets[..2],
            0.0,
            true,
            begin,
            Duration::from_millis(1_700),
        );
        assert_eq!(sent.count(&targets[..2]), 2);
        let second = begin + Duration::from_millis(1_500);
        let target = &targets[0];
        assert!(!vm.cold.delay(target, &START, second).is_zero());
    }
}

#[test]
fn a_vm_alone_by_its_settings_has_the_whole_rate() {
    let targets = targets(1, 1, at(10_000));
    let mut cold = Cold::new(1, false, at(0));
    let sends = (0..100).filter(|step| {
        let now = at(10_000 + 10 * step);
        let is_open = cold.closed(&targets, &START, now).is_empty();
        if is_open {
            cold.record_sent(&targets[0], &START, now);
        }
        is_open
    });
    assert_eq!(sends.count(), 25);
    // Once it is warm, nothing is counted or limited.
    assert!(cold.delay(&targets[0], &START, at(18_000)).is_zero());
    cold.record_sent(&targets[0], &START, at(18_000));
    cold.forget_old_sends(at(18_001));
    assert!(cold.is_empty());
}

/// Few VMs have a larger part each; together they have no more than the rate.
#[test]
fn the_parts_of_all_vms_add_up_to_no_more_than_the_rate() {
    for count in [1, 2, 3, 12, 13, 24, 25, 26, 87, 130, 300] {
        for rate in [0.4, 1.0, 7.0, 25.0, 100.0] {
            let start = ColdStart { rate, ..START };
            let targets = targets(1, 1, at(10_000));
            let total: usize = (0..count)
                .map(|vm| {
                    let mut cold = Vm::new(vm, at(0), 0..count).cold;
                    let has_room = |_: &usize| {
                        let is_open = cold.closed(&targets, &start, at(10_000)).is_empty();
                        cold.record_sent(&targets[0], &start, at(10_000));
                        is_open
                    };
                    if count > 1 {
                        (0..200).take_while(has_room).count()
                    } else {
                        0
                    }
                })
                .sum();
            let most = rate.max(1.0) as usize;
            assert!(total <= most, "{total} of {count} VMs at {rate}");
            assert!(count == 1 || total * 2 >= most.min(count), "{total}");
        }
    }
}

/// A run that goes on is sent to a cold target whatever was sent before, and counts.
#[test]
fn a_continuation_counts() {
    let targets = targets(1, 1, at(10_000));
    let mut cold = Cold::new(1, false, at(0));
    for _ in 0..40 {
        cold.record_sent(&targets[0], &START, at(10_000));
    }
    assert_eq!(cold.closed(&targets, &START, at(10_500)), [targets[0].key]);
    let delay = cold.delay(&targets[0], &START, at(10_500));
    assert_eq!(delay, Duration::from_millis(600));
}

#[test]
fn a_target_whose_entry_says_nothing_is_cold_from_when_it_was_learned_of() {
    let mut listing = Listing::default();
    listing.replace(vec![target(0, None)], at(10_000));
    // A later entry of the same process without the time doesn't begin again.
    assert!(!listing.put(target(0, None), at(15_000)));
    let listed: Vec<_> = listing.targets().collect();
    let mut cold = Cold::new(1, true, at(0));
    cold.set_vms([2].into_iter());
    assert!(cold.is_cold(&listed[0], &START, at(17_999)));
    assert!(!cold.is_cold(&listed[0], &START, at(18_000)));
    // Until the peers are known, it counts as cold all the same.
    let young = Cold::new(1, true, at(17_000));
    assert!(young.is_cold(&listed[0], &START, at(18_000)));
    // Another process under its name does begin again.
    let restarted = Target {
        started_ms: Some(2),
        ..target(0, None)
    };
    assert!(listing.put(restarted, at(30_000)));
    let listed: Vec<_> = listing.targets().collect();
    assert!(cold.is_cold(&listed[0], &START, at(31_000)));
    // It says that it is warm.
    let told = Target {
        started_ms: Some(2),
        ..target(0, Some(0))
    };
    assert!(listing.put(told, at(32_000)));
    let listed: Vec<_> = listing.targets().collect();
    assert!(!cold.is_cold(&listed[0], &START, at(32_000)));
}

#[test]
fn values_from_peers_that_cannot_be_true_are_no_information() {
    let remaining = |cold_remaining_ms| {
        let description = Description {
            cold_remaining_ms,
            ..Description::default()
        };
        description.cold_remaining()
    };
    assert_eq!(remaining(None), None);
    assert_eq!(remaining(Some(u32::MAX)), None);
    assert_eq!(remaining(Some(60_001)), None);
    assert_eq!(remaining(Some(60_000)), Some(MAX_COLD_REMAINING));
    assert_eq!(remaining(Some(0)), Some(Duration::ZERO));
}

/// Targets come and go under new names, and one gets many continuations.
#[test]
fn the_state_is_bounded() {
    let start = ColdStart {
        rate: 1e12,
        ..START
    };
    let mut cold = Cold::new(1, false, at(0));
    for index in 0..6_000 {
        let target = target(index, Some(8_000));
        cold.delay(&target, &start, at(10_000));
        cold.record_sent(&target, &start, at(10_000));
    }
    assert_eq!(cold.len(), 4_096);
    // What can't be counted isn't sent.
    assert!(
        !cold
            .delay(&target(5_000, Some(8_000)), &start, at(10_000))
            .is_zero()
    );
    for _ in 0..5_000 {
        cold.record_sent(&target(0, Some(8_000)), &start, at(10_000));
    }
    assert!(
        !cold
            .delay(&target(0, Some(8_000)), &start, at(10_000))
            .is_zero()
    );
    cold.record_sent(&target(5_000, Some(8_000)), &start, at(12_000));
    assert_eq!(cold.len(), 1);
    let ids: HashSet<_> = (0..VMS).map(|vm| id(address(vm))).collect();
    assert_eq!(ids.len(), VMS);
}
