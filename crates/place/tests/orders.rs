//! What holds of orders, with engines in memory that check fencing numbers or ignore them.

use {
    base::{Instant, Machine, key},
    config::{Snapshot, parse},
    mastictrail_place::{
        Action, EngineState, Event, Fence, Outcome, Placement, placement::COOLDOWN,
    },
    proptest::prelude::*,
    std::{collections::HashMap, fmt::Write, sync::Arc, time::Duration},
};

const STEP: Duration = Duration::from_millis(200);
/// Weights of one model in bytes.
const WEIGHT: u64 = 1 << 30;
/// Bytes a second of the weight store in these tests.
const STORE_RATE: u64 = WEIGHT;
/// Time in which orders come to rest.
const REST: Duration = Duration::from_secs(300);

struct Engine {
    key: key::Target,
    checks: bool,
    fence: u64,
    models: Vec<Box<str>>,
    /// Models with the time at which they are loaded.
    loads: Vec<(Box<str>, Instant)>,
    accepted: Vec<(Instant, u64, Vec<Box<str>>)>,
    /// Bytes whose load began, with the time.
    begun: Vec<(Instant, u64)>,
}

impl Engine {
    fn loaded(&self, now: Instant) -> Vec<Box<str>> {
        let loaded = self.loads.iter().filter(|(_, at)| *at <= now);
        loaded.map(|(name, _)| name.clone()).collect()
    }

    fn order(&mut self, now: Instant, fence: Fence, models: &[Box<str>]) -> Outcome {
        if self.checks && fence.number() < self.fence {
            return Outcome::Stale(Fence::from_number(self.fence));
        }
        self.fence = fence.number();
        self.models = models.to_vec();
        self.accepted.push((now, self.fence, models.to_vec()));
        let mut loads = Vec::new();
        for model in models {
            let held = self.loads.iter().find(|(name, _)| name == model);
            if held.is_none() {
                self.begun.push((now, WEIGHT));
            }
            loads.push(
                held.cloned()
                    .unwrap_or((model.clone(), now + Duration::from_secs(2))),
            );
        }
        self.loads = loads;
        Outcome::Accepted
    }
}

struct Vm {
    placement: Placement,
    version: u64,
    frozen: bool,
    /// Actions that are carried out at the next step; a frozen VM keeps them.
    pending: Vec<Action>,
}

struct World {
    now: Instant,
    engines: Vec<Engine>,
    vms: Vec<Vm>,
    /// Models that some engine had loaded, by name without version.
    seen: HashMap<Box<str>, bool>,
}

fn vm(index: usize) -> key::Vm {
    key::Vm::of(&format!("vm{index}"))
}

fn base_name(model: &str) -> Box<str> {
    model.split('@').next().unwrap_or(model).into()
}

/// Writes a deployment with models of given versions on engines that hold a given number of them.
fn snapshot(version: u64, models: &[u32], engines: usize, room: u64, copies: u32) -> Arc<Snapshot> {
    let mut text = format!(
        "[deployment]\nname = t\nversion = {version}\n[data_centre d]\nregion = r\nweight_rate = 1GiB\n"
    );
    for (index, model) in models.iter().enumerate() {
        write!(
            text,
            "[model m{index}]\nversion = {model}\nweight = 1GiB\ncopies = {copies}\n"
        )
        .unwrap();
    }
    let names: Vec<_> = (0..models.len()).map(|index| format!("m{index}")).collect();
    write!(
        text,
        "[service s]\nkind = model\nmodels = {}\n",
        names.join(", ")
    )
    .unwrap();
    for engine in 0..engines {
        let port = 9000 + engine;
        write!(
            text,
            "[target e{engine}]\nservice = s\ndata_centre = d\naddress = 127.0.0.1:{port}\n"
        )
        .unwrap();
        write!(text, "memory_tokens = 1000\nweights = {room}GiB\n").unwrap();
    }
    Arc::new(parse::snapshot("test", &text).expect("a valid deployment"))
}

impl World {
    fn new(vms: usize, engines: usize, checks: bool) -> Self {
        let now = Instant::default() + Duration::from_secs(1);
        let engine = |index| Engine {
            key: key::Target::of(&format!("e{index}")),
            checks,
            fence: 0,
            models: Vec::new(),
            loads: Vec::new(),
            accepted: Vec::new(),
            begun: Vec::new(),
        };
        let mut world = Self {
            now,
            engines: (0..engines).map(engine).collect(),
            vms: Vec::new(),
            seen: HashMap::new(),
        };
        for index in 0..vms {
            world.vms.push(Vm {
                placement: Placement::builder()
                    .now(now)
                    .vm(vm(index))
                    .data_centre(key::DataCentre::of("d"))
                    .build(),
                version: 0,
                frozen: false,
                pending: Vec::new(),
            });
        }
        world.set_members(&(0..vms).collect::<Vec<_>>());
        for index in 0..vms {
            world.tell(index, Event::MembershipFresh(true));
        }
        world
    }

    fn tell(&mut self, index: usize, event: Event) {
        let vm = &mut self.vms[index];
        vm.placement.handle(self.now, event, &mut vm.pending);
    }

    fn set_members(&mut self, members: &[usize]) {
        let members: Vec<_> = members.iter().map(|&index| vm(index)).collect();
        for index in 0..self.vms.len() {
            if !self.vms[index].frozen {
                self.tell(index, Event::Members(members.clone()));
            }
        }
    }

    fn configure(&mut self, index: usize, snapshot: &Arc<Snapshot>) {
        self.vms[index].version = snapshot.version;
        self.tell(index, Event::Configuration(Arc::clone(snapshot)));
    }

    fn configure_all(&mut self, snapshot: &Arc<Snapshot>) {
        for index in 0..self.vms.len() {
            if !self.vms[index].frozen {
                self.configure(index, snapshot);
            }
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let now = self.now;
        let engine = |world: &Self, target| {
            world
                .engines
                .iter()
                .position(|engine| engine.key == target)
                .expect("an engine")
        };
        let event = match action {
            Action::ReadState(target) => {
                let engine = &self.engines[engine(self, target)];
                let held = Some(EngineState {
                    fence: Fence::from_number(engine.fence),
                    models: engine.models.clone(),
                    loaded: engine.loaded(now),
                });
                Event::StateRead {
                    target,
                    state: held,
                }
            }
            Action::ConfirmVersion(target) => {
                let live = self.vms.iter().enumerate().filter(|(_, vm)| !vm.frozen);
                let others = live.filter(|(other, _)| *other != index);
                let version = others.map(|(_, vm)| vm.version).max();
                Event::VersionConfirmed { target, version }
            }
            Action::Order {
                target,
                fence,
                models,
                ..
            } => {
                let engine = engine(self, target);
                let outcome = self.engines[engine].order(now, fence, &models);
                Event::Ordered { target, outcome }
            }
        };
        self.tell(index, event);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.vms.len() {
            if self.vms[index].frozen {
                continue;
            }
            for action in std::mem::take(&mut self.vms[index].pending) {
                self.perform(index, action);
            }
            for engine in 0..self.engines.len() {
                let target = self.engines[engine].key;
                let models = self.engines[engine].loaded(self.now);
                self.tell(index, Event::Loaded { target, models });
            }
            self.tell(index, Event::Tick);
        }
        self.check_copies();
    }

    /// A model that was loaded somewhere stays loaded somewhere.
    fn check_copies(&mut self) {
        let mut held: HashMap<Box<str>, bool> =
            self.seen.keys().map(|it| (it.clone(), false)).collect();
        for engine in &self.engines {
            for model in engine.loaded(self.now) {
                held.insert(base_name(&model), true);
            }
        }
        for (model, held) in &held {
            assert!(held, "the last copy of {model} was unloaded");
        }
        self.seen = held;
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the orders that engines took since an instant.
    fn orders_since(&self, start: Instant) -> usize {
        let all = self.engines.iter().flat_map(|engine| &engine.accepted);
        all.filter(|(at, ..)| *at > start).count()
    }

    fn copies(&self, model: &str) -> usize {
        let loaded = self.engines.iter().map(|engine| engine.loaded(self.now));
        loaded
            .filter(|loaded| loaded.iter().any(|it| &**it == model))
            .count()
    }
}

#[test]
fn orders_bring_about_the_required_copies_and_then_rest() {
    for checks in [true, false] {
        let mut world = World::new(3, 4, checks);
        world.configure_all(&snapshot(1, &[1, 1, 1], 4, 2, 2));
        world.run(REST);
        for model in ["m0@1", "m1@1", "m2@1"] {
            assert!(world.copies(model) >= 2, "{model}");
        }
        let rested = world.now;
        world.run(REST);
        assert_eq!(world.orders_since(rested), 0);
    }
}

#[test]
fn new_version_is_rolled_out_without_losing_the_last_copy() {
    for (room, engines) in [(1, 2), (2, 2), (1, 4), (3, 3)] {
        let mut world = World::new(3, engines, true);
        world.configure_all(&snapshot(1, &[1], engines, room, 1));
        world.run(REST);
        world.configure_all(&snapshot(2, &[2], engines, room, 1));
        world.run(REST);
        assert_eq!(world.copies("m0@1"), 0, "room {room}, {engines} engines");
        assert!(world.copies("m0@2") >= 1, "room {room}, {engines} engines");
    }
}

#[test]
fn old_order_of_a_frozen_process_is_refused_or_corrected() {
    for checks in [true, false] {
        let mut world = World::new(3, 3, checks);
        world.configure_all(&snapshot(1, &[1, 1], 3, 2, 1));
        let holds_order = |world: &World| {
            let has_order = |vm: &Vm| {
                vm.pending
                    .iter()
                    .any(|it| matches!(it, Action::Order { .. }))
            };
            world.vms.iter().position(has_order)
        };
        let frozen = loop {
            world.step();
            if let Some(index) = holds_order(&world) {
                break index;
            }
        };
        world.vms[frozen].frozen = true;
        let live: Vec<_> = (0..3).filter(|&index| index != frozen).collect();
        world.set_members(&live);
        world.configure_all(&snapshot(2, &[2, 2], 3, 2, 1));
        world.run(REST);
        world.vms[frozen].frozen = false;
        let woken = world.now;
        world.step();
        world.tell(frozen, Event::MembershipFresh(false));
        world.run(Duration::from_secs(10));
        world.set_members(&[0, 1, 2]);
        world.configure(frozen, &snapshot(2, &[2, 2], 3, 2, 1));
        world.tell(frozen, Event::MembershipFresh(true));
        world.run(REST);
        for engine in &world.engines {
            assert_eq!(
                Fence::from_number(engine.fence).version,
                2,
                "checks: {checks}"
            );
            assert!(
                engine.models.iter().all(|model| model.ends_with("@2")),
                "checks: {checks}"
            );
        }
        let rested = world.now;
        world.run(REST);
        assert_eq!(world.orders_since(rested), 0);
        assert!(world.orders_since(woken) <= 3, "checks: {checks}");
    }
}

#[test]
fn two_vms_that_do_not_see_each_other_do_not_alternate() {
    for checks in [true, false] {
        let mut world = World::new(2, 2, checks);
        world.configure_all(&snapshot(1, &[1, 1, 1], 2, 2, 1));
        for index in 0..2 {
            world.tell(index, Event::Members(vec![vm(index)]));
            for model in 0..3 {
                let model_key = key::Model::of(&format!("m{model}"));
                let rate = if model == index { 50.0 } else { 1.0 };
                world.tell(
                    index,
                    Event::Demand {
                        model: model_key,
                        rate,
                    },
                );
            }
        }
        world.run(REST);
        let rested = world.now;
        world.run(REST * 4);
        let rounds = (REST * 4).as_secs() / COOLDOWN.as_secs();
        assert!(
            world.orders_since(rested) as u64 <= rounds,
            "checks: {checks}"
        );
        assert_eq!(world.orders_since(rested), 0, "checks: {checks}");
    }
}

#[test]
fn vm_with_an_older_version_orders_nothing() {
    let mut world = World::new(2, 2, false);
    world.configure_all(&snapshot(1, &[1], 2, 2, 1));
    world.run(REST);
    world.configure(0, &snapshot(2, &[2], 2, 2, 1));
    world.run(REST);
    for engine in &world.engines {
        let versions: Vec<_> = engine
            .accepted
            .iter()
            .map(|(_, fence, _)| *fence >> 20)
            .collect();
        assert!(versions.is_sorted(), "{versions:?}");
    }
}

#[test]
fn paused_vm_orders_nothing_until_it_is_refreshed() {
    let mut world = World::new(1, 2, false);
    world.tell(0, Event::MembershipFresh(false));
    world.configure_all(&snapshot(1, &[1], 2, 2, 1));
    world.run(REST);
    assert_eq!(world.orders_since(Instant::default()), 0);
    world.tell(0, Event::MembershipFresh(true));
    world.run(REST);
    assert!(world.orders_since(Instant::default()) > 0);
}

#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let mut world = World::new(3, 8, true);
    world.configure_all(&snapshot(1, &[1, 1, 1, 1], 8, 4, 8));
    world.run(REST);
    let mut begun: Vec<_> = world
        .engines
        .iter()
        .flat_map(|engine| engine.begun.clone())
        .collect();
    begun.sort_unstable();
    assert_eq!(begun.len(), 32);
    let largest = 4 * WEIGHT * world.vms.len() as u64;
    for (index, (start, _)) in begun.iter().enumerate() {
        let mut bytes = 0;
        for (at, weight) in &begun[index..] {
            bytes += weight;
            let allowed = largest as f64 + STORE_RATE as f64 * at.since(*start).as_secs_f64();
            assert!(bytes as f64 <= allowed + WEIGHT as f64, "{bytes} bytes");
        }
    }
}

#[derive(Clone, Debug)]
enum Change {
    Publish([u32; 2]),
    Freeze(usize),
    Thaw(usize),
    Leaving(usize, bool),
    Wait(u16),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (1_u32..4, 1_u32..4).prop_map(|(one, other)| Change::Publish([one, other])),
        (0_usize..3).prop_map(Change::Freeze),
        (0_usize..3).prop_map(Change::Thaw),
        (0_usize..3, any::<bool>()).prop_map(|(engine, leaving)| Change::Leaving(engine, leaving)),
        (1_u16..200).prop_map(Change::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever is published, frozen or leaving: no last copy is unloaded (checked at each step),
    /// and the end is the state of the newest version.
    #[test]
    fn end_state_is_that_of_the_newest_version(
        checks in any::<bool>(),
        changes in proptest::collection::vec(change(), 1..20),
    ) {
        let mut world = World::new(3, 3, checks);
        let mut version = 1;
        let mut newest = snapshot(1, &[1, 1], 3, 2, 1);
        world.configure_all(&newest);
        for change in changes {
            match change {
                Change::Publish(models) => {
                    version += 1;
                    newest = snapshot(version, &models, 3, 2, 1);
                    world.configure_all(&newest);
                }
                Change::Freeze(index) => {
                    world.vms[index].frozen = true;
                }
                Change::Thaw(index) => {
                    world.vms[index].frozen = false;
                    world.tell(index, Event::MembershipFresh(false));
                    world.configure(index, &newest);
                    world.tell(index, Event::MembershipFresh(true));
                }
                Change::Leaving(engine, leaving) => {
                    let target = world.engines[engine].key;
                    for index in 0..3 {
                        world.tell(index, Event::Leaving { target, leaving });
                    }
                }
                Change::Wait(steps) => world.run(STEP * u32::from(steps)),
            }
            let live: Vec<_> = (0..3).filter(|&index| !world.vms[index].frozen).collect();
            world.set_members(&live);
        }
        for index in 0..3 {
            world.vms[index].frozen = false;
            world.configure(index, &newest);
            for engine in 0..3 {
                let target = world.engines[engine].key;
                world.tell(index, Event::Leaving { target, leaving: false });
            }
        }
        world.set_members(&[0, 1, 2]);
        world.run(REST * 2);
        for (index, model) in newest.models.iter() {
            let name = format!("{}@{}", model.name, model.version);
            prop_assert!(world.copies(&name) >= 1, "{index}: {name}");
        }
        for engine in &world.engines {
            prop_assert_eq!(engine.models.len(), 2);
        }
        let rested = world.now;
        world.run(REST);
        prop_assert_eq!(world.orders_since(rested), 0);
    }
}
