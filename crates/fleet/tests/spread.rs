//! Distribution of configurations while the platform is unreachable, stale or inconsistent.

mod support;

use {
    base::{Instant, Machine, key},
    mastictrail_fleet::{
        Spread, Version,
        spread::{
            Action, Answer, Event, FALLBACK_RATE, SAMPLE_RATE, Source, WATCH_TIMEOUT, WATCHERS,
        },
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashSet, net::SocketAddr, time::Duration},
    support::{address, deployment},
};

/// Time within which a published configuration must be active on all VMs.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(100);
/// Time between two gossip datagrams of a VM.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

struct Vm {
    spread: Spread,
    /// Highest version that has been active since the start of this process.
    highest: Version,
    /// The newest known answer of the platform, and the VM that got it.
    answer: Option<(key::Vm, Instant)>,
    rejected: usize,
    conflicts: usize,
}

/// Entry VMs of one data centre and the platform.
struct DataCentre {
    now: Instant,
    vms: Vec<Vm>,
    /// Version and value that the platform serves to each VM; a stale replica serves an older one.
    published: Vec<(u64, String)>,
    /// VMs that the platform answers.
    reachable: HashSet<usize>,
    /// Number of calls to the platform.
    calls: usize,
    rng: SmallRng,
    /// Watches in flight: VM, known version and end of the wait.
    watches: Vec<(usize, u64, Instant)>,
    /// Pulls in flight: VM, peer and known version.
    pulls: Vec<(usize, SocketAddr, u64)>,
    /// VMs that announce their new version to a few others at once.
    pending_pushes: Vec<usize>,
}

impl DataCentre {
    fn new(seed: u64, count: usize) -> Self {
        let now = Instant::default() + Duration::from_secs(1);
        let mut data_centre = Self {
            now,
            vms: Vec::new(),
            published: vec![(1, deployment(1, 1, count, 1)); count],
            reachable: (0..count).collect(),
            calls: 0,
            rng: SmallRng::seed_from_u64(seed),
            watches: Vec::new(),
            pulls: Vec::new(),
            pending_pushes: Vec::new(),
        };
        for index in 0..count {
            let vm = data_centre.start(index);
            data_centre.vms.push(vm);
        }
        data_centre
    }

    fn start(&mut self, index: usize) -> Vm {
        let others = (0..self.published.len()).filter(|&other| other != index);
        let mut spread = Spread::builder()
            .now(self.now)
            .name(&format!("vm{index}"))
            .address(address(index))
            .seed(self.rng.random())
            .seeds(others.map(address).collect())
            .build();
        let count = self.published.len();
        let rank = Event::Rank { rank: index, count };
        spread.handle(self.now, rank, &mut Vec::new());
        Vm {
            spread,
            highest: Version::default(),
            answer: None,
            rejected: 0,
            conflicts: 0,
        }
    }

    fn publish(&mut self, version: u64, text: &str) {
        for published in &mut self.published {
            *published = (version, text.to_owned());
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let vm = &mut self.vms[index];
        vm.spread.handle(self.now, event, &mut actions);
        for action in actions {
            let vm = &mut self.vms[index];
            match action {
                Action::Watch { after, wait } => {
                    self.calls += 1;
                    self.watches.push((index, after, self.now + wait));
                }
                Action::Pull { peer, above } => self.pulls.push((index, peer, above)),
                Action::Apply { snapshot, .. } => {
                    let version = Version::from(&*snapshot);
                    assert!(version > vm.highest, "a version went back");
                    vm.highest = version;
                    self.pending_pushes.push(index);
                }
                Action::Reject { .. } => vm.rejected += 1,
                Action::Conflict { .. } => vm.conflicts += 1,
                Action::PlatformAnswered => {
                    vm.answer = Some((key::Vm::of(&format!("vm{index}")), self.now));
                }
                Action::Ready => {}
            }
        }
    }

    fn answer_watches(&mut self) {
        for (index, after, until) in std::mem::take(&mut self.watches) {
            let (version, text) = self.published[index].clone();
            let answer = if !self.reachable.contains(&index) {
                Answer::Failed
            } else if version > after {
                let text = text.into();
                Answer::Value { version, text }
            } else if self.now >= until {
                Answer::Unchanged
            } else {
                self.watches.push((index, after, until));
                continue;
            };
            self.handle(index, Event::PlatformAnswer(answer));
        }
    }

    fn answer_pulls(&mut self) {
        for (index, peer, above) in std::mem::take(&mut self.pulls) {
            let source = (0..self.vms.len()).find(|&other| address(other) == peer);
            let active = source.and_then(|source| self.vms[source].spread.active());
            let version = active.map_or(0, |snapshot| snapshot.version);
            let newer = active.filter(|snapshot| snapshot.version > above);
            let value = newer.map(|snapshot| snapshot.value.clone());
            let event = Event::Pulled {
                peer,
                version,
                value,
            };
            self.handle(index, event);
        }
    }

    fn push_versions(&mut self) {
        for index in std::mem::take(&mut self.pending_pushes) {
            let version = self.vms[index].spread.version();
            let peer = address(index);
            for _ in 0..3 {
                let other = self.rng.random_range(0..self.vms.len());
                self.handle(other, Event::VersionAnnounced { peer, version });
            }
        }
    }

    fn gossip(&mut self) {
        for index in 0..self.vms.len() {
            let other = self.rng.random_range(0..self.vms.len());
            let version = self.vms[index].spread.version();
            let peer = address(index);
            self.handle(other, Event::VersionAnnounced { peer, version });
            let known = self.vms[other].answer.map(|(_, at)| at);
            if let Some((vm, at)) = self.vms[index].answer {
                if Some(at) > known {
                    self.vms[other].answer = Some((vm, at));
                }
                let age = self.now.since(at);
                self.handle(other, Event::PlatformAnsweredPeer { vm, age });
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.vms.len() {
            self.handle(index, Event::Tick);
        }
        self.answer_watches();
        self.answer_pulls();
        self.push_versions();
        if self
            .now
            .as_micros()
            .is_multiple_of(GOSSIP_INTERVAL.as_micros() as u64)
        {
            self.gossip();
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn all_at(&self, number: u64) -> bool {
        self.vms
            .iter()
            .all(|vm| vm.spread.version().number == number)
    }

    fn all_equal(&self) -> bool {
        let first = self.vms[0].spread.version();
        self.vms.iter().all(|vm| vm.spread.version() == first)
    }
}

#[test]
fn publication_is_active_in_time_when_the_platform_answers_one_vm_only() {
    for only in 0..6 {
        let mut data_centre = DataCentre::new(only as u64, 6);
        data_centre.run(Duration::from_secs(20));
        assert!(data_centre.vms.iter().all(|vm| vm.spread.is_ready()));
        data_centre.reachable = HashSet::from([only]);
        data_centre.publish(2, &deployment(2, 1, 6, 2));
        data_centre.run(ACTIVATION_LIMIT);
        assert!(data_centre.all_at(2), "only vm{only} is answered");
        data_centre.publish(3, &deployment(3, 1, 6, 3));
        data_centre.run(ACTIVATION_LIMIT);
        assert!(data_centre.all_at(3), "only vm{only} is answered");
    }
}

#[test]
fn publication_is_active_in_time_with_70_vms() {
    for only in [0, 1, 2, 10, 20, 30, 45, 60, 69] {
        let mut data_centre = DataCentre::new(only as u64, 70);
        data_centre.run(Duration::from_secs(30));
        data_centre.reachable = HashSet::from([only]);
        data_centre.publish(2, &deployment(2, 1, 70, 2));
        data_centre.run(ACTIVATION_LIMIT);
        assert!(data_centre.all_at(2), "only vm{only} is answered");
    }
}

#[test]
fn calls_to_the_platform_do_not_grow_with_the_vms() {
    let calls = |count, reachable: bool| {
        let mut data_centre = DataCentre::new(7, count);
        data_centre.run(Duration::from_secs(20));
        if !reachable {
            data_centre.reachable.clear();
        }
        data_centre.calls = 0;
        data_centre.run(Duration::from_secs(100));
        data_centre.calls
    };
    let bound = (FALLBACK_RATE + WATCHERS as f64) * 100.0 * 1.25;
    let watched = WATCHERS as f64 / WATCH_TIMEOUT.as_secs_f64() + SAMPLE_RATE;
    for count in [6, 24, 70] {
        assert!(
            (calls(count, false) as f64) < bound,
            "{count} VMs, platform down"
        );
        assert!(
            (calls(count, true) as f64) < watched * 100.0 * 2.0,
            "{count} VMs"
        );
    }
}

#[test]
fn starting_vm_takes_the_newest_from_its_peers_while_the_platform_is_stale() {
    let mut data_centre = DataCentre::new(1, 4);
    data_centre.publish(5, &deployment(5, 1, 4, 1));
    data_centre.run(Duration::from_secs(20));
    data_centre.publish(2, &deployment(2, 1, 4, 1));
    data_centre.vms[2] = data_centre.start(2);
    while !data_centre.vms[2].spread.is_ready() {
        data_centre.step();
    }
    assert_eq!(data_centre.vms[2].spread.version().number, 5);
    data_centre.run(Duration::from_secs(60));
    assert!(data_centre.all_at(5));
}

#[test]
fn starting_vm_is_not_ready_without_any_configuration() {
    let mut data_centre = DataCentre::new(1, 3);
    data_centre.reachable.clear();
    data_centre.run(Duration::from_secs(60));
    assert!(data_centre.vms.iter().all(|vm| !vm.spread.is_ready()));
}

#[test]
fn invalid_value_is_rejected_as_a_whole_and_the_next_one_applied() {
    let mut data_centre = DataCentre::new(1, 4);
    data_centre.run(Duration::from_secs(20));
    let invalid = deployment(2, 1, 4, 1).replace("kind = plain", "kind = other");
    data_centre.publish(2, &invalid);
    data_centre.run(ACTIVATION_LIMIT);
    assert!(data_centre.all_at(1));
    assert!(data_centre.vms.iter().any(|vm| vm.rejected == 1));
    assert!(data_centre.vms.iter().all(|vm| vm.rejected <= 1));
    data_centre.publish(3, &deployment(3, 1, 4, 1));
    data_centre.run(ACTIVATION_LIMIT);
    assert!(data_centre.all_at(3));
}

#[test]
fn value_published_under_another_version_is_rejected() {
    let mut data_centre = DataCentre::new(1, 2);
    data_centre.run(Duration::from_secs(20));
    data_centre.publish(9, &deployment(2, 1, 2, 1));
    data_centre.run(ACTIVATION_LIMIT);
    assert!(data_centre.all_at(1));
}

#[test]
fn two_values_of_one_version_converge_on_one() {
    for seed in 0..10 {
        let mut data_centre = DataCentre::new(seed, 5);
        data_centre.run(Duration::from_secs(20));
        let (one, other) = (deployment(2, 1, 5, 1), deployment(2, 1, 5, 2));
        for (index, published) in data_centre.published.iter_mut().enumerate() {
            let text = if index % 2 == 0 { &one } else { &other };
            *published = (2, text.clone());
        }
        data_centre.run(Duration::from_secs(30));
        assert!(
            data_centre.all_at(2) && data_centre.all_equal(),
            "seed {seed}"
        );
        assert!(
            data_centre.vms.iter().any(|vm| vm.conflicts > 0),
            "seed {seed}"
        );
    }
}

/// A change around the VMs.
#[derive(Clone, Debug)]
enum Change {
    Publish(u64),
    /// One VM's replica of the platform serves an old version.
    Stale(usize, u64),
    Reachable(usize, bool),
    Restart(usize),
    Wait(u8),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (1_u64..30).prop_map(Change::Publish),
        (0_usize..5, 1_u64..30).prop_map(|(vm, version)| Change::Stale(vm, version)),
        (0_usize..5, any::<bool>()).prop_map(|(vm, up)| Change::Reachable(vm, up)),
        (0_usize..5).prop_map(Change::Restart),
        (1_u8..60).prop_map(Change::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Under any sequence of publications, stale replicas, outages and restarts, no running VM
    /// goes back to an older version, and all VMs converge on the highest one.
    #[test]
    fn versions_only_rise_and_converge_on_the_highest(
        seed in any::<u64>(),
        changes in proptest::collection::vec(change(), 1..40),
    ) {
        let mut data_centre = DataCentre::new(seed, 5);
        data_centre.run(Duration::from_secs(10));
        for change in changes {
            match change {
                Change::Publish(version) => data_centre.publish(
                    version,
                    &deployment(version, 1, 5, 1),
                ),
                Change::Stale(vm, version) => {
                    data_centre.published[vm] = (version, deployment(version, 1, 5, 1));
                }
                Change::Reachable(vm, true) => {
                    data_centre.reachable.insert(vm);
                }
                Change::Reachable(vm, false) => {
                    data_centre.reachable.remove(&vm);
                }
                Change::Restart(vm) => data_centre.vms[vm] = data_centre.start(vm),
                Change::Wait(steps) => data_centre.run(STEP * u32::from(steps)),
            }
        }
        let highest = data_centre.vms.iter().map(|vm| vm.highest).max().unwrap_or_default();
        data_centre.run(Duration::from_secs(30));
        prop_assert!(data_centre.vms[0].spread.version() >= highest);
        prop_assert!(data_centre.all_equal());
    }
}

#[test]
fn pulled_configuration_names_its_source() {
    let mut data_centre = DataCentre::new(1, 2);
    data_centre.reachable = HashSet::from([0]);
    data_centre.run(Duration::from_secs(20));
    let mut actions = Vec::new();
    let peer = address(0);
    let version = Version {
        number: 2,
        digest: 0,
    };
    let now = data_centre.now;
    let spread = &mut data_centre.vms[1].spread;
    spread.handle(now, Event::VersionAnnounced { peer, version }, &mut actions);
    let value = Some(deployment(2, 1, 2, 1).into());
    spread.handle(
        now,
        Event::Pulled {
            peer,
            version: 2,
            value,
        },
        &mut actions,
    );
    let applied = actions.iter().any(|action| {
        matches!(action, Action::Apply { source: Source::Peer(from), .. } if *from == peer)
    });
    assert!(applied);
}
