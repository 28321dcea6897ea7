//! Tests of orders, with simulated engines that check fencing tokens or ignore them.

use {
    base::{Instant, Machine, key},
    config::{Snapshot, parse},
    mastictrail_place::{
        Action, EngineState, Event, Fence, Outcome, Placement, placement::COOLDOWN,
    },
    proptest::prelude::*,
    std::{collections::HashMap, fmt::Write, sync::Arc, time::Duration},
};

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(200);
/// Size of the weights of one model.
const MODEL_BYTES: u64 = 1 << 30;
/// Rate of the weight store in bytes a second.
const STORE_RATE: u64 = MODEL_BYTES;
/// Time within which orders converge.
const CONVERGENCE_TIME: Duration = Duration::from_secs(300);

struct Engine {
    key: key::Target,
    checks_fence: bool,
    fence: u64,
    models: Vec<Box<str>>,
    /// Models that are loaded or loading, with the time at which the load is done.
    loads: Vec<(Box<str>, Instant)>,
    /// Accepted orders: time, fencing token, models.
    accepted: Vec<(Instant, u64, Vec<Box<str>>)>,
    /// Loads that were started: time, size in bytes.
    started_loads: Vec<(Instant, u64)>,
}

impl Engine {
    fn loaded(&self, now: Instant) -> Vec<Box<str>> {
        let loaded = self.loads.iter().filter(|(_, at)| *at <= now);
        loaded.map(|(name, _)| name.clone()).collect()
    }

    fn order(&mut self, now: Instant, fence: Fence, models: &[Box<str>]) -> Outcome {
        if self.checks_fence && fence.number() < self.fence {
            return Outcome::Stale(Fence::from_number(self.fence));
        }
        self.fence = fence.number();
        self.models = models.to_vec();
        self.accepted.push((now, self.fence, models.to_vec()));
        let mut loads = Vec::new();
        for model in models {
            let known = self.loads.iter().find(|(name, _)| name == model);
            if known.is_none() {
                self.started_loads.push((now, MODEL_BYTES));
            }
            loads.push(
                known
                    .cloned()
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
    is_paused: bool,
    /// Actions that are carried out at the next step; a paused VM keeps them.
    pending: Vec<Action>,
}

struct World {
    now: Instant,
    engines: Vec<Engine>,
    vms: Vec<Vm>,
    /// Models that have been loaded, by name without version, and whether a copy still is.
    loaded_before: HashMap<Box<str>, bool>,
}

fn vm(index: usize) -> key::Vm {
    key::Vm::of(&format!("vm{index}"))
}

fn base_name(model: &str) -> Box<str> {
    model.split('@').next().unwrap_or(model).into()
}

/// Returns a configuration with models of the given versions, on engines that fit `capacity` models.
fn snapshot(
    version: u64,
    models: &[u32],
    engines: usize,
    capacity: u64,
    copies: u32,
) -> Arc<Snapshot> {
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
        write!(text, "memory_tokens = 1000\nweights = {capacity}GiB\n").unwrap();
    }
    Arc::new(parse::snapshot("test", &text).expect("a valid deployment"))
}

impl World {
    fn new(vms: usize, engines: usize, checks_fence: bool) -> Self {
        let now = Instant::default() + Duration::from_secs(1);
        let engine = |index| Engine {
            key: key::Target::of(&format!("e{index}")),
            checks_fence,
            fence: 0,
            models: Vec::new(),
            loads: Vec::new(),
            accepted: Vec::new(),
            started_loads: Vec::new(),
        };
        let mut world = Self {
            now,
            engines: (0..engines).map(engine).collect(),
            vms: Vec::new(),
            loaded_before: HashMap::new(),
        };
        for index in 0..vms {
            world.vms.push(Vm {
                placement: Placement::builder()
                    .now(now)
                    .vm(vm(index))
                    .data_centre(key::DataCentre::of("d"))
                    .build(),
                version: 0,
                is_paused: false,
                pending: Vec::new(),
            });
        }
        world.set_members(&(0..vms).collect::<Vec<_>>());
        for index in 0..vms {
            world.handle_event(index, Event::MembershipFresh(true));
        }
        world
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let vm = &mut self.vms[index];
        vm.placement.handle(self.now, event, &mut vm.pending);
    }

    fn set_members(&mut self, members: &[usize]) {
        let members: Vec<_> = members.iter().map(|&index| vm(index)).collect();
        for index in 0..self.vms.len() {
            if !self.vms[index].is_paused {
                self.handle_event(index, Event::Members(members.clone()));
            }
        }
    }

    fn configure(&mut self, index: usize, snapshot: &Arc<Snapshot>) {
        self.vms[index].version = snapshot.version;
        self.handle_event(index, Event::Configuration(Arc::clone(snapshot)));
    }

    fn configure_all(&mut self, snapshot: &Arc<Snapshot>) {
        for index in 0..self.vms.len() {
            if !self.vms[index].is_paused {
                self.configure(index, snapshot);
            }
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let now = self.now;
        let engine_index = |world: &Self, target| {
            world
                .engines
                .iter()
                .position(|engine| engine.key == target)
                .expect("an engine")
        };
        let event = match action {
            Action::ReadState(target) => {
                let engine = &self.engines[engine_index(self, target)];
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
                let live = self.vms.iter().enumerate().filter(|(_, vm)| !vm.is_paused);
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
                let engine = engine_index(self, target);
                let outcome = self.engines[engine].order(now, fence, &models);
                Event::Ordered { target, outcome }
            }
        };
        self.handle_event(index, event);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.vms.len() {
            if self.vms[index].is_paused {
                continue;
            }
            for action in std::mem::take(&mut self.vms[index].pending) {
                self.perform(index, action);
            }
            for engine in 0..self.engines.len() {
                let target = self.engines[engine].key;
                let models = self.engines[engine].loaded(self.now);
                self.handle_event(index, Event::Loaded { target, models });
            }
            self.handle_event(index, Event::Tick);
        }
        self.check_copies();
    }

    /// Checks that each model loaded before is still loaded on some engine.
    fn check_copies(&mut self) {
        let mut loaded: HashMap<Box<str>, bool> = self
            .loaded_before
            .keys()
            .map(|it| (it.clone(), false))
            .collect();
        for engine in &self.engines {
            for model in engine.loaded(self.now) {
                loaded.insert(base_name(&model), true);
            }
        }
        for (model, is_loaded) in &loaded {
            assert!(is_loaded, "the last copy of {model} was unloaded");
        }
        self.loaded_before = loaded;
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the number of orders that engines accepted after an instant.
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
fn orders_converge_to_the_required_copies_and_then_stop() {
    for checks_fence in [true, false] {
        let mut world = World::new(3, 4, checks_fence);
        world.configure_all(&snapshot(1, &[1, 1, 1], 4, 2, 2));
        world.run(CONVERGENCE_TIME);
        for model in ["m0@1", "m1@1", "m2@1"] {
            assert!(world.copies(model) >= 2, "{model}");
        }
        let converged_at = world.now;
        world.run(CONVERGENCE_TIME);
        assert_eq!(world.orders_since(converged_at), 0);
    }
}

#[test]
fn new_version_is_rolled_out_without_losing_the_last_copy() {
    for (capacity, engines) in [(1, 2), (2, 2), (1, 4), (3, 3)] {
        let mut world = World::new(3, engines, true);
        world.configure_all(&snapshot(1, &[1], engines, capacity, 1));
        world.run(CONVERGENCE_TIME);
        world.configure_all(&snapshot(2, &[2], engines, capacity, 1));
        world.run(CONVERGENCE_TIME);
        assert_eq!(
            world.copies("m0@1"),
            0,
            "capacity {capacity}, {engines} engines"
        );
        assert!(
            world.copies("m0@2") >= 1,
            "capacity {capacity}, {engines} engines"
        );
    }
}

#[test]
fn stale_order_of_a_paused_vm_is_rejected_or_corrected() {
    for checks_fence in [true, false] {
        let mut world = World::new(3, 3, checks_fence);
        world.configure_all(&snapshot(1, &[1, 1], 3, 2, 1));
        let vm_with_order = |world: &World| {
            let has_order = |vm: &Vm| {
                vm.pending
                    .iter()
                    .any(|it| matches!(it, Action::Order { .. }))
            };
            world.vms.iter().position(has_order)
        };
        let paused = loop {
            world.step();
            if let Some(index) = vm_with_order(&world) {
                break index;
            }
        };
        world.vms[paused].is_paused = true;
        let live: Vec<_> = (0..3).filter(|&index| index != paused).collect();
        world.set_members(&live);
        world.configure_all(&snapshot(2, &[2, 2], 3, 2, 1));
        world.run(CONVERGENCE_TIME);
        world.vms[paused].is_paused = false;
        let resumed_at = world.now;
        world.step();
        world.handle_event(paused, Event::MembershipFresh(false));
        world.run(Duration::from_secs(10));
        world.set_members(&[0, 1, 2]);
        world.configure(paused, &snapshot(2, &[2, 2], 3, 2, 1));
        world.handle_event(paused, Event::MembershipFresh(true));
        world.run(CONVERGENCE_TIME);
        for engine in &world.engines {
            assert_eq!(
                Fence::from_number(engine.fence).version,
                2,
                "checks: {checks_fence}"
            );
            assert!(
                engine.models.iter().all(|model| model.ends_with("@2")),
                "checks: {checks_fence}"
            );
        }
        let converged_at = world.now;
        world.run(CONVERGENCE_TIME);
        assert_eq!(world.orders_since(converged_at), 0);
        assert!(
            world.orders_since(resumed_at) <= 3,
            "checks: {checks_fence}"
        );
    }
}

#[test]
fn partitioned_vms_do_not_alternate_orders() {
    for checks_fence in [true, false] {
        let mut world = World::new(2, 2, checks_fence);
        world.configure_all(&snapshot(1, &[1, 1, 1], 2, 2, 1));
        for index in 0..2 {
            world.handle_event(index, Event::Members(vec![vm(index)]));
            for model in 0..3 {
                let model_key = key::Model::of(&format!("m{model}"));
                let rate = if model == index { 50.0 } else { 1.0 };
                world.handle_event(
                    index,
                    Event::Demand {
                        model: model_key,
                        rate,
                    },
                );
            }
        }
        world.run(CONVERGENCE_TIME);
        let converged_at = world.now;
        world.run(CONVERGENCE_TIME * 4);
        let rounds = (CONVERGENCE_TIME * 4).as_secs() / COOLDOWN.as_secs();
        assert!(
            world.orders_since(converged_at) as u64 <= rounds,
            "checks: {checks_fence}"
        );
        assert_eq!(
            world.orders_since(converged_at),
            0,
            "checks: {checks_fence}"
        );
    }
}

#[test]
fn vm_with_an_older_version_orders_nothing() {
    let mut world = World::new(2, 2, false);
    world.configure_all(&snapshot(1, &[1], 2, 2, 1));
    world.run(CONVERGENCE_TIME);
    world.configure(0, &snapshot(2, &[2], 2, 2, 1));
    world.run(CONVERGENCE_TIME);
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
fn vm_orders_nothing_until_its_membership_view_is_fresh() {
    let mut world = World::new(1, 2, false);
    world.handle_event(0, Event::MembershipFresh(false));
    world.configure_all(&snapshot(1, &[1], 2, 2, 1));
    world.run(CONVERGENCE_TIME);
    assert_eq!(world.orders_since(Instant::default()), 0);
    world.handle_event(0, Event::MembershipFresh(true));
    world.run(CONVERGENCE_TIME);
    assert!(world.orders_since(Instant::default()) > 0);
}

#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let mut world = World::new(3, 8, true);
    world.configure_all(&snapshot(1, &[1, 1, 1, 1], 8, 4, 8));
    world.run(CONVERGENCE_TIME);
    let mut started_loads: Vec<_> = world
        .engines
        .iter()
        .flat_map(|engine| engine.started_loads.clone())
        .collect();
    started_loads.sort_unstable();
    assert_eq!(started_loads.len(), 32);
    let max_burst = 4 * MODEL_BYTES * world.vms.len() as u64;
    for (index, (start, _)) in started_loads.iter().enumerate() {
        let mut bytes = 0;
        for (at, weight) in &started_loads[index..] {
            bytes += weight;
            let allowed = max_burst as f64 + STORE_RATE as f64 * at.since(*start).as_secs_f64();
            assert!(
                bytes as f64 <= allowed + MODEL_BYTES as f64,
                "{bytes} bytes"
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Change {
    Publish([u32; 2]),
    Pause(usize),
    Resume(usize),
    Leaving(usize, bool),
    Wait(u16),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (1_u32..4, 1_u32..4).prop_map(|(one, other)| Change::Publish([one, other])),
        (0_usize..3).prop_map(Change::Pause),
        (0_usize..3).prop_map(Change::Resume),
        (0_usize..3, any::<bool>()).prop_map(|(engine, leaving)| Change::Leaving(engine, leaving)),
        (1_u16..200).prop_map(Change::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Under any sequence of new versions, pauses and departures, no last copy is unloaded (checked
    /// at each step), and the engines end with the models of the newest version.
    #[test]
    fn end_state_is_that_of_the_newest_version(
        checks_fence in any::<bool>(),
        changes in proptest::collection::vec(change(), 1..20),
    ) {
        let mut world = World::new(3, 3, checks_fence);
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
                Change::Pause(index) => {
                    world.vms[index].is_paused = true;
                }
                Change::Resume(index) => {
                    world.vms[index].is_paused = false;
                    world.handle_event(index, Event::MembershipFresh(false));
                    world.configure(index, &newest);
                    world.handle_event(index, Event::MembershipFresh(true));
                }
                Change::Leaving(engine, leaving) => {
                    let target = world.engines[engine].key;
                    for index in 0..3 {
                        world.handle_event(index, Event::Leaving { target, leaving });
                    }
                }
                Change::Wait(steps) => world.run(STEP * u32::from(steps)),
            }
            let live: Vec<_> = (0..3).filter(|&index| !world.vms[index].is_paused).collect();
            world.set_members(&live);
        }
        for index in 0..3 {
            world.vms[index].is_paused = false;
            world.configure(index, &newest);
            for engine in 0..3 {
                let target = world.engines[engine].key;
                world.handle_event(index, Event::Leaving { target, leaving: false });
            }
        }
        world.set_members(&[0, 1, 2]);
        world.run(CONVERGENCE_TIME * 2);
        for (index, model) in newest.models.iter() {
            let name = format!("{}@{}", model.name, model.version);
            prop_assert!(world.copies(&name) >= 1, "{index}: {name}");
        }
        for engine in &world.engines {
            prop_assert_eq!(engine.models.len(), 2);
        }
        let converged_at = world.now;
        world.run(CONVERGENCE_TIME);
        prop_assert_eq!(world.orders_since(converged_at), 0);
    }
}
