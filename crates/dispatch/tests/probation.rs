//! Targets that have failed requests, alone and under the load of several VMs.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Placement, Probation,
        configuration::Engine,
        listing::{Target, WarmUp},
        placement::{Query, RunId},
        probation::{Access, Cause},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

const TARGETS: usize = 12;
/// The first targets fail by turns.
const FAILING: usize = 3;
/// Time for which a failing target is up, then down.
const PHASE_MS: u64 = 1_100;
/// End of the failures.
const FAULT_MS: u64 = 20_000;
/// End of the replay: after the longest back-off, a report between data centres, and probation.
const END_MS: u64 = FAULT_MS + 14_000;
const VMS: usize = 8;
/// Data centres of the VMs, in turn; those of one hear of each other's failures at once.
const GROUPS: usize = 2;
/// Interval of the reports, and the time that one takes within a data centre and between two.
const REPORT_MS: u64 = 5;
const LOCAL_REPORTS: usize = 1;
const REMOTE_REPORTS: usize = 40;
/// Interval of each kind of request, 30 a second, by turns. Half of it is longer than a report takes,
/// so that within a data centre each failure is known before the next request.
const REQUEST_MS: u64 = 33;
/// Time to the first event, and to the end of a request of each kind.
const PREFILL_MS: u64 = 200;
const DRAFT_MS: u64 = 1_000;
const CHECK_MS: u64 = 250;
const DURATION: Duration = Duration::from_secs(10);
const ONCE: Access = Access {
    is_repeatable: false,
    is_last_resort: false,
};
const REPEATABLE: Access = Access {
    is_repeatable: true,
    is_last_resort: false,
};
/// Load of a request of either kind.
const LOAD: Load = Load {
    runs: 1,
    peak_memory: 3_700,
    used_memory: 3_000,
    pending_prefill: 3_000,
    copy_memory: 0,
};
const ENGINE: Engine = Engine {
    slots: 24,
    kv_capacity: 26_900,
    supports_migration: true,
    supports_backup: true,
    tokens_per_event: 4,
    copy_ms_per_token: 0.0,
};

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn targets(count: usize) -> Vec<Target> {
    let target = |index: usize| Target {
        key: key::Target::of(&format!("t-{index}")),
        instance: format!("t-{index}").into(),
        address: ([10, 1, 0, index as u8], 80).into(),
        service: key::Service::of("s"),
        data_centre: "dc-0".into(),
        slots: 24,
        is_leaving: false,
        is_cordoned: false,
        started_ms: None,
        release: "v1".into(),
        warm_up: WarmUp::default(),
    };
    (0..count).map(target).collect()
}

/// A request in flight.
struct Run {
    target: usize,
    sent: u64,
    id: RunId,
    end: u64,
}

struct Vm {
    group: usize,
    placement: Placement,
    probation: Probation,
    runs: Vec<Run>,
    /// When the last request was sent to each target that was served.
    served: HashMap<usize, u64>,
}

impl Vm {
    fn new(index: usize, seed: u64, duration: Option<Duration>) -> Self {
        Self {
            group: index % GROUPS,
            placement: Placement::new(seed * 1_000 + index as u64),
            probation: Probation::new(duration),
            runs: Vec::new(),
            served: HashMap::new(),
        }
    }

    /// Records first events, and ends the requests that are complete.
    fn advance(&mut self, targets: &[Target], now: u64) {
        let (placement, probation) = (&mut self.placement, &mut self.probation);
        self.runs.retain_mut(|run| {
            let target = &targets[run.target];
            if now == run.sent + PREFILL_MS {
                placement.finish_prefill(run.id);
                placement.record_success(target);
                self.served.insert(run.target, run.sent);
                probation.record_served(target.key, at(run.sent), at(now));
            }
            let is_running = now < run.end;
            if !is_running {
                placement.end_run(run.id);
            }
            is_running
        });
    }

    /// Chooses the target of a request.
    fn choose(
        &mut self,
        targets: &[Target],
        excluded: &[key::Target],
        access: Access,
        now: u64,
    ) -> usize {
        let permitted = targets.iter();
        let permitted = permitted.filter(|target| !excluded.contains(&target.key));
        let is_busy = |target| self.placement.has_request(target);
        let mut closed = self.probation.closed(permitted, access, is_busy, at(now));
        closed.extend(excluded);
        let query = Query {
            load: LOAD,
            engine: Some(ENGINE),
            data_centre: "dc-0",
            excluded: &closed,
            ..Query::default()
        };
        let choice = self.placement.choose(at(now), targets, &query);
        let chosen = choice.expect("a target has room").target.key;
        let mut keys = targets.iter().map(|target| target.key);
        keys.position(|key| key == chosen).expect("it is known")
    }
}

/// What happened in a replay.
#[derive(Default)]
struct Outcome {
    /// Requests that could not be repeated and were lost, by target, group of the VM and phase.
    lost: HashMap<(usize, usize, u64), usize>,
    /// Those of VMs that the target had served nothing since it last failed a request of the group.
    lost_unproven: HashMap<(usize, usize), usize>,
    /// When each target last failed a request of each group.
    failed: HashMap<(usize, usize), u64>,
    /// Targets that got requests that can't be repeated once the failures were over.
    used_again: HashSet<usize>,
    /// Requests to a target on probation beside another request of the same VM.
    beside_another: usize,
    /// Targets on probation at the end, of all VMs.
    left: usize,
}

impl Outcome {
    fn record_lost(&mut self, target: usize, vm: &Vm, now: u64) {
        let place = (target, vm.group, phase(target, now));
        *self.lost.entry(place).or_default() += 1;
        let (failed, served) = (self.failed.get(&(target, vm.group)), vm.served.get(&target));
        if failed.is_none() || served < failed {
            let place = (target, vm.group);
            *self.lost_unproven.entry(place).or_default() += 1;
        }
    }
}

/// Returns the number of a target's phase; each target begins a little after the one before.
fn phase(target: usize, now: u64) -> u64 {
    (now + PHASE_MS).saturating_sub(target as u64 * 300) / PHASE_MS
}

/// Returns whether a target fails what is sent to it.
fn is_down(target: usize, now: u64) -> bool {
    target < FAILING && now < FAULT_MS && phase(target, now) % 2 == 1
}

/// Tells each VM which targets the others avoid, as of their last report that has arrived.
fn report(vms: &mut [Vm], reports: &mut Vec<Vec<Vec<key::Target>>>, now: u64) {
    reports.push(vms.iter().map(|vm| vm.placement.failing(at(now))).collect());
    for (index, vm) in vms.iter_mut().enumerate() {
        let mut counts = key::Map::default();
        for other in (0..VMS).filter(|other| *other != index) {
            let is_local = other % GROUPS == vm.group;
            let age = if is_local {
                LOCAL_REPORTS
            } else {
                REMOTE_REPORTS
            };
            let report = reports.len().checked_sub(age + 1);
            for target in report.map_or(&[][..], |report| &reports[report][other]) {
                *counts.entry(*target).or_default() += 1;
            }
        }
        vm.placement.set_failure_reports(&counts, at(now));
        vm.probation.set_reporters(&counts, at(now));
    }
}

/// Replays the load and the failures; without `duration`, no target is ever on probation.
fn replay(seed: u64, duration: Option<Duration>) -> Outcome {
    let targets = targets(TARGETS);
    let mut random = SmallRng::seed_from_u64(seed);
    let vms = (0..VMS).map(|index| Vm::new(index, seed, duration));
    let mut vms: Vec<_> = vms.collect();
    let mut reports = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..END_MS {
        if now.is_multiple_of(REPORT_MS) {
            report(&mut vms, &mut reports, now);
        }
        for vm in &mut vms {
            vm.advance(&targets, now);
        }
        let is_once = match now % REQUEST_MS {
            0 => true,
            16 => false,
            _ => continue,
        };
        let vm = &mut vms[random.random_range(0..VMS)];
        let mut excluded = Vec::new();
        // A request that may be repeated has two attempts.
        let attempts = if is_once {
            &[ONCE][..]
        } else {
            &[REPEATABLE, ONCE]
        };
        for access in attempts {
            let target = vm.choose(&targets, &excluded, *access, now);
            let key = targets[target].key;
            let is_beside = vm.placement.has_request(key);
            let is_on_probation = vm.probation.is_on_probation(key, at(now));
            outcome.beside_another += usize::from(is_on_probation && is_beside);
            if !is_down(target, now) {
                if is_once && now >= FAULT_MS {
                    outcome.used_again.insert(target);
                }
                vm.runs.push(Run {
                    target,
                    sent: now,
                    id: vm.placement.start_run(key, LOAD),
                    end: now + if is_once { DRAFT_MS } else { CHECK_MS },
                });
                break;
            }
            vm.placement.record_failure(key, at(now));
            vm.probation.record_failure(key, at(now));
            excluded.push(key);
            if !access.is_repeatable {
                outcome.record_lost(target, vm, now);
            }
            outcome.failed.insert((target, vm.group), now);
        }
    }
    let left = vms
        .iter()
        .map(|vm| vm.probation.targets(at(END_MS)).count());
    outcome.left = left.sum();
    outcome
}

/// A target that fails at once looks idle after each back-off, and requests that must not be sent
/// again were lost there one after the other.
///
/// Each group may lose one to learn of the failures, and then one each time that the target goes
/// down again after it has served a request of the VM that loses one.
#[test]
fn a_target_that_fails_by_turns_costs_each_group_one_request_at_a_time() {
    for seed in 1..=20 {
        let outcome = replay(seed, Some(DURATION));
        for (place, lost) in &outcome.lost {
            assert!(*lost <= 1, "seed {seed}, {place:?}: {lost} lost");
        }
        for (place, lost) in &outcome.lost_unproven {
            assert!(*lost <= 1, "seed {seed}, {place:?}: {lost} lost unproven");
        }
        assert_eq!(outcome.beside_another, 0, "seed {seed}");
        // Probes find that the targets serve again, or the failures are too long ago.
        assert_eq!(outcome.left, 0, "seed {seed}");
        assert_eq!(outcome.used_again.len(), TARGETS, "seed {seed}");
    }
}

/// The replay must lose more than the bound if nothing is on probation.
#[test]
fn without_probation_the_replay_loses_more() {
    for seed in 1..=20 {
        let outcome = replay(seed, None);
        let most = outcome.lost_unproven.values().max().copied();
        assert!(most > Some(1), "seed {seed}: {most:?}");
    }
}

/// Returns which of the targets are closed to a request, by index.
fn closed(probation: &Probation, access: Access, busy: &[usize], now: Instant) -> Vec<usize> {
    let targets = targets(3);
    let is_busy = |target| busy.iter().any(|index| targets[*index].key == target);
    let closed = probation.closed(targets.iter(), access, is_busy, now);
    (0..3)
        .filter(|index| closed.contains(&targets[*index].key))
        .collect()
}

fn counts(entries: &[(usize, u32)]) -> key::Map<key::Target, u32> {
    let key = |index: usize| targets(3)[index].key;
    entries
        .iter()
        .map(|(index, count)| (key(*index), *count))
        .collect()
}

#[test]
fn only_one_request_that_may_be_repeated_is_sent_at_a_time() {
    let mut probation = Probation::new(Some(DURATION));
    probation.record_failure(targets(3)[1].key, at(0));
    assert_eq!(closed(&probation, ONCE, &[], at(1)), [1]);
    assert_eq!(closed(&probation, REPEATABLE, &[], at(1)), []);
    assert_eq!(closed(&probation, REPEATABLE, &[1], at(1)), [1]);
    assert_eq!(closed(&probation, REPEATABLE, &[0, 2], at(1)), []);
}

/// A fault of all targets must not stop a service that its targets may still serve.
#[test]
fn if_all_targets_are_on_probation_none_is() {
    let mut probation = Probation::new(Some(DURATION));
    probation.set_reporters(&counts(&[(0, 1), (1, 1)]), at(0));
    assert_eq!(closed(&probation, ONCE, &[], at(1)), [0, 1]);
    probation.record_failure(targets(3)[2].key, at(2));
    assert_eq!(closed(&probation, ONCE, &[0], at(3)), []);
}

#[test]
fn probation_ends_some_time_after_the_last_report() {
    let mut probation = Probation::new(Some(DURATION));
    probation.set_reporters(&counts(&[(0, 1)]), at(0));
    probation.set_reporters(&counts(&[(0, 1)]), at(3_000));
    probation.set_reporters(&counts(&[]), at(4_000));
    assert_eq!(closed(&probation, ONCE, &[], at(12_999)), [0]);
    assert_eq!(closed(&probation, ONCE, &[], at(13_000)), []);
    assert_eq!(probation.targets(at(13_000)).count(), 0);
}

/// Peers name a target while they avoid it, which would undo this VM's success with each report.
#[test]
fn a_report_of_a_known_failure_does_not_undo_a_success() {
    let target = targets(3)[0].key;
    let mut probation = Probation::new(Some(DURATION));
    probation.set_reporters(&counts(&[(0, 1)]), at(0));
    probation.record_served(target, at(10), at(20));
    probation.set_reporters(&counts(&[(0, 1)]), at(30));
    assert!(!probation.is_on_probation(target, at(30)));
    probation.set_reporters(&counts(&[(0, 2)]), at(40));
    assert!(probation.is_on_probation(target, at(40)));
    probation.record_served(target, at(50), at(60));
    probation.set_reporters(&counts(&[]), at(70));
    probation.set_reporters(&counts(&[(0, 1)]), at(80));
    assert!(probation.is_on_probation(target, at(80)));
}

/// A target that goes down answers requests that it had before, which says nothing of new ones.
#[test]
fn a_request_sent_before_the_failure_ends_no_probation() {
    let target = targets(3)[0].key;
    let mut probation = Probation::new(Some(DURATION));
    probation.record_failure(target, at(100));
    probation.record_served(target, at(50), at(150));
    assert!(probation.is_on_probation(target, at(150)));
    probation.record_served(target, at(200), at(250));
    assert!(!probation.is_on_probation(target, at(250)));
}

/// Failures of all targets at once, repeated, must not fill the log.
#[test]
fn changes_are_logged_once_each_and_bounded() {
    let mut probation = Probation::new(Some(DURATION));
    let target = targets(1)[0].key;
    probation.record_failure(target, at(0));
    probation.record_failure(target, at(10));
    probation.record_served(target, at(20), at(30));
    probation.record_served(target, at(20), at(40));
    let changes = probation.take_changes(at(50)).changes;
    let causes: Vec<_> = changes.iter().map(|change| change.cause).collect();
    assert_eq!(causes, [Cause::Failed, Cause::Served]);
    for target in targets(24) {
        probation.record_failure(target.key, at(60));
        probation.record_served(target.key, at(70), at(80));
    }
    let changes = probation.take_changes(at(90));
    assert_eq!(changes.changes.len() + changes.omitted as usize, 48);
    assert_eq!(changes.changes.len(), 32);
    assert_eq!(probation.take_changes(at(20_000)).changes, []);
}

/// Deployments without the setting must be served as before.
#[test]
fn without_the_setting_nothing_is_recorded() {
    let mut probation = Probation::new(None);
    probation.record_failure(targets(3)[0].key, at(0));
    probation.set_reporters(&counts(&[(1, 3)]), at(0));
    assert_eq!(closed(&probation, ONCE, &[0, 1, 2], at(1)), []);
    assert_eq!(probation.targets(at(1)).count(), 0);
    assert_eq!(probation.take_changes(at(1)).changes, []);
}
