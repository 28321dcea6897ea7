//! What holds of the spread of configurations.

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
    support::{address, value},
};

/// Time in which a configuration must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(100);
/// Time between two datagrams of a VM.
const GOSSIP: Duration = Duration::from_millis(500);

struct Vm {
    spread: Spread,
    highest: Version,
    answer: Option<(key::Vm, Instant)>,
    refused: usize,
    conflicts: usize,
}

/// One data centre of entry VMs before a platform.
struct Centre {
    now: Instant,
    vms: Vec<Vm>,
    /// What the platform publishes, by VM: a stale replica serves an older value.
    published: Vec<(u64, String)>,
    reachable: HashSet<usize>,
    calls: usize,
    rng: SmallRng,
    watches: Vec<(usize, u64, Instant)>,
    pulls: Vec<(usize, SocketAddr, u64)>,
    /// VMs that tell a few others at once.
    urgent: Vec<usize>,
}

impl Centre {
    fn new(seed: u64, count: usize) -> Self {
        let now = Instant::default() + Duration::from_secs(1);
        let mut centre = Self {
            now,
            vms: Vec::new(),
            published: vec![(1, value(1, 1, count, 1)); count],
            reachable: (0..count).collect(),
            calls: 0,
            rng: SmallRng::seed_from_u64(seed),
            watches: Vec::new(),
            pulls: Vec::new(),
            urgent: Vec::new(),
        };
        for index in 0..count {
            let vm = centre.start(index);
            centre.vms.push(vm);
        }
        centre
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
            refused: 0,
            conflicts: 0,
        }
    }

    fn publish(&mut self, version: u64, text: &str) {
        for published in &mut self.published {
            *published = (version, text.to_owned());
        }
    }

    fn event(&mut self, index: usize, event: Event) {
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
                    self.urgent.push(index);
                }
                Action::Reject { .. } => vm.refused += 1,
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
            self.event(index, Event::PlatformAnswer(answer));
        }
    }

    fn answer_pulls(&mut self) {
        for (index, peer, above) in std::mem::take(&mut self.pulls) {
            let source = (0..self.vms.len()).find(|&other| address(other) == peer);
            let in_force = source.and_then(|source| self.vms[source].spread.active());
            let version = in_force.map_or(0, |snapshot| snapshot.version);
            let newer = in_force.filter(|snapshot| snapshot.version > above);
            let value = newer.map(|snapshot| snapshot.value.clone());
            let event = Event::Pulled {
                peer,
                version,
                value,
            };
            self.event(index, event);
        }
    }

    fn push(&mut self) {
        for index in std::mem::take(&mut self.urgent) {
            let version = self.vms[index].spread.version();
            let peer = address(index);
            for _ in 0..3 {
                let other = self.rng.random_range(0..self.vms.len());
                self.event(other, Event::VersionAnnounced { peer, version });
            }
        }
    }

    fn gossip(&mut self) {
        for index in 0..self.vms.len() {
            let other = self.rng.random_range(0..self.vms.len());
            let version = self.vms[index].spread.version();
            let peer = address(index);
            self.event(other, Event::VersionAnnounced { peer, version });
            let known = self.vms[other].answer.map(|(_, at)| at);
            if let Some((vm, at)) = self.vms[index].answer {
                if Some(at) > known {
                    self.vms[other].answer = Some((vm, at));
                }
                let age = self.now.since(at);
                self.event(other, Event::PlatformAnsweredPeer { vm, age });
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.vms.len() {
            self.event(index, Event::Tick);
        }
        self.answer_watches();
        self.answer_pulls();
        self.push();
        if self
            .now
            .as_micros()
            .is_multiple_of(GOSSIP.as_micros() as u64)
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
fn publication_is_in_force_in_time_though_the_platform_answers_one_vm_only() {
    for only in 0..6 {
        let mut centre = Centre::new(only as u64, 6);
        centre.run(Duration::from_secs(20));
        assert!(centre.vms.iter().all(|vm| vm.spread.is_ready()));
        centre.reachable = HashSet::from([only]);
        centre.publish(2, &value(2, 1, 6, 2));
        centre.run(IN_FORCE);
        assert!(centre.all_at(2), "only vm{only} is answered");
        centre.publish(3, &value(3, 1, 6, 3));
        centre.run(IN_FORCE);
        assert!(centre.all_at(3), "only vm{only} is answered");
    }
}

#[test]
fn publication_is_in_force_in_time_at_the_size_to_come() {
    for only in [0, 1, 2, 10, 20, 30, 45, 60, 69] {
        let mut centre = Centre::new(only as u64, 70);
        centre.run(Duration::from_secs(30));
        centre.reachable = HashSet::from([only]);
        centre.publish(2, &value(2, 1, 70, 2));
        centre.run(IN_FORCE);
        assert!(centre.all_at(2), "only vm{only} is answered");
    }
}

#[test]
fn calls_to_the_platform_do_not_grow_with_the_vms() {
    let calls = |count, reachable: bool| {
        let mut centre = Centre::new(7, count);
        centre.run(Duration::from_secs(20));
        if !reachable {
            centre.reachable.clear();
        }
        centre.calls = 0;
        centre.run(Duration::from_secs(100));
        centre.calls
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
    let mut centre = Centre::new(1, 4);
    centre.publish(5, &value(5, 1, 4, 1));
    centre.run(Duration::from_secs(20));
    centre.publish(2, &value(2, 1, 4, 1));
    centre.vms[2] = centre.start(2);
    while !centre.vms[2].spread.is_ready() {
        centre.step();
    }
    assert_eq!(centre.vms[2].spread.version().number, 5);
    centre.run(Duration::from_secs(60));
    assert!(centre.all_at(5));
}

#[test]
fn starting_vm_is_not_ready_without_any_configuration() {
    let mut centre = Centre::new(1, 3);
    centre.reachable.clear();
    centre.run(Duration::from_secs(60));
    assert!(centre.vms.iter().all(|vm| !vm.spread.is_ready()));
}

#[test]
fn faulty_value_is_refused_as_a_whole_and_the_next_one_taken() {
    let mut centre = Centre::new(1, 4);
    centre.run(Duration::from_secs(20));
    let faulty = value(2, 1, 4, 1).replace("kind = plain", "kind = other");
    centre.publish(2, &faulty);
    centre.run(IN_FORCE);
    assert!(centre.all_at(1));
    assert!(centre.vms.iter().any(|vm| vm.refused == 1));
    assert!(centre.vms.iter().all(|vm| vm.refused <= 1));
    centre.publish(3, &value(3, 1, 4, 1));
    centre.run(IN_FORCE);
    assert!(centre.all_at(3));
}

#[test]
fn value_published_under_another_version_is_refused() {
    let mut centre = Centre::new(1, 2);
    centre.run(Duration::from_secs(20));
    centre.publish(9, &value(2, 1, 2, 1));
    centre.run(IN_FORCE);
    assert!(centre.all_at(1));
}

#[test]
fn two_values_of_one_version_end_as_the_same_one_everywhere() {
    for seed in 0..10 {
        let mut centre = Centre::new(seed, 5);
        centre.run(Duration::from_secs(20));
        let (one, other) = (value(2, 1, 5, 1), value(2, 1, 5, 2));
        for (index, published) in centre.published.iter_mut().enumerate() {
            let text = if index % 2 == 0 { &one } else { &other };
            *published = (2, text.clone());
        }
        centre.run(Duration::from_secs(30));
        assert!(centre.all_at(2) && centre.all_equal(), "seed {seed}");
        assert!(centre.vms.iter().any(|vm| vm.conflicts > 0), "seed {seed}");
    }
}

/// A change of the world around the VMs.
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

    /// Whatever is published, served stale or restarted: no version goes back while one VM that
    /// has it runs, and all end with the highest.
    #[test]
    fn versions_only_rise_and_all_end_with_the_highest(
        seed in any::<u64>(),
        changes in proptest::collection::vec(change(), 1..40),
    ) {
        let mut centre = Centre::new(seed, 5);
        centre.run(Duration::from_secs(10));
        for change in changes {
            match change {
                Change::Publish(version) => centre.publish(version, &value(version, 1, 5, 1)),
                Change::Stale(vm, version) => {
                    centre.published[vm] = (version, value(version, 1, 5, 1));
                }
                Change::Reachable(vm, true) => {
                    centre.reachable.insert(vm);
                }
                Change::Reachable(vm, false) => {
                    centre.reachable.remove(&vm);
                }
                Change::Restart(vm) => centre.vms[vm] = centre.start(vm),
                Change::Wait(steps) => centre.run(STEP * u32::from(steps)),
            }
        }
        let highest = centre.vms.iter().map(|vm| vm.highest).max().unwrap_or_default();
        centre.run(Duration::from_secs(30));
        prop_assert!(centre.vms[0].spread.version() >= highest);
        prop_assert!(centre.all_equal());
    }
}

#[test]
fn pull_names_its_source() {
    let mut centre = Centre::new(1, 2);
    centre.reachable = HashSet::from([0]);
    centre.run(Duration::from_secs(20));
    let mut actions = Vec::new();
    let peer = address(0);
    let version = Version {
        number: 2,
        digest: 0,
    };
    let now = centre.now;
    let spread = &mut centre.vms[1].spread;
    spread.handle(now, Event::VersionAnnounced { peer, version }, &mut actions);
    let value = Some(value(2, 1, 2, 1).into());
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
