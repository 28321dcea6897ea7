//! The state machine that places models: reads engines, and orders the models that they hold.

use {
    crate::{
        Action, EngineState, Event, Fence, Outcome,
        demand::Demand,
        desired::{self, ModelSet, weights_size},
        event::Cause,
    },
    base::{Instant, Machine, key, rendezvous},
    bon::bon,
    config::Snapshot,
    derive_more::Debug,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads of an engine's state.
pub const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Delay of the first order after a new configuration, a new engine or a stale membership view.
pub const SETTLE_DELAY: Duration = Duration::from_secs(5);
/// Delay after another VM's order under the same version, and between two orders by demand.
pub const COOLDOWN: Duration = Duration::from_secs(60);
/// Age beyond which a report of an engine's loaded models is ignored.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Timeout for the answer to an action.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Step of the exchange with an engine.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Idle,
    /// Waits for the engine's state.
    Reading,
    /// Waits for the peers' configuration version before the order is sent.
    Confirming(Plan),
    /// Waits for the engine's answer to the order.
    Ordering(Fence),
}

/// An order that is sent once peers have confirmed the configuration version.
#[derive(Clone, Debug, PartialEq)]
struct Plan {
    version: u64,
    fence: Fence,
    models: Vec<Box<str>>,
    /// Size of the weights that the engine has to load.
    load_bytes: u64,
    cause: Cause,
}

/// An engine that this VM is responsible for.
#[derive(Clone, Debug)]
struct Engine {
    /// Start of the settle delay.
    settling_since: Instant,
    step: Step,
    step_started: Instant,
    next_read: Instant,
    /// Fencing token of the last order by this VM that the engine accepted.
    own_fence: Option<Fence>,
    /// When the engine accepted that order.
    last_order_at: Option<Instant>,
    /// Fencing token of another VM's order, and when it was first seen.
    peer_fence: Option<(Fence, Instant)>,
}

/// The models that an engine reported as loaded.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    models: Vec<Box<str>>,
}

/// Places models on the engines that one entry VM is responsible for.
#[derive(Debug)]
pub struct Placement {
    vm: key::Vm,
    data_centre: key::DataCentre,
    snapshot: Option<Arc<Snapshot>>,
    members: Vec<key::Vm>,
    is_membership_fresh: bool,
    leaving: BTreeSet<key::Target>,
    reports: HashMap<key::Target, Report>,
    demand: Demand,
    assignment: desired::Assignment,
    engines: BTreeMap<key::Target, Engine>,
    /// When the weight store will have served the loads ordered by this VM, at its share of the
    /// store's rate.
    store_free_at: Instant,
    last_event_at: Instant,
}

#[bon]
impl Placement {
    /// Creates a placement that sends no orders until it has a configuration.
    #[builder]
    pub fn new(now: Instant, vm: key::Vm, data_centre: key::DataCentre) -> Self {
        Self {
            vm,
            data_centre,
            snapshot: None,
            members: vec![vm],
            is_membership_fresh: false,
            leaving: BTreeSet::new(),
            reports: HashMap::new(),
            demand: Demand::default(),
            assignment: desired::Assignment::new(),
            engines: BTreeMap::new(),
            store_free_at: now,
            last_event_at: now,
        }
    }

    /// Returns the models that each engine of the data centre is to hold.
    pub fn assignment(&self) -> &desired::Assignment {
        &self.assignment
    }

    /// Returns the engines that this VM is responsible for.
    pub fn engines(&self) -> impl Iterator<Item = key::Target> {
        self.engines.keys().copied()
    }

    fn assign(&mut self) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        self.assignment = desired::assign(snapshot, self.data_centre, &self.leaving, &self.demand);
    }

    /// Updates the engines that this VM is responsible for, by rendezvous hashing over the members.
    fn update_engines(&mut self, now: Instant) {
        let members = || self.members.iter().map(|vm| vm.raw());
        let responsible: BTreeSet<_> = self
            .assignment
            .keys()
            .copied()
            .filter(|target| rendezvous::choose(target.raw(), members()) == Some(self.vm.raw()))
            .collect();
        self.engines
            .retain(|target, _| responsible.contains(target));
        for target in responsible {
            self.engines.entry(target).or_insert(Engine {
                settling_since: now,
                step: Step::Idle,
                step_started: now,
                next_read: now,
                own_fence: None,
                last_order_at: None,
                peer_fence: None,
            });
        }
    }

    /// Delays the next order to every engine, as after a pause or a new configuration.
    fn restart_settling(&mut self, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.settling_since = now;
            engine.step = Step::Idle;
            engine.next_read = now;
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_membership_fresh {
            return;
        }
        for (target, engine) in &mut self.engines {
            if engine.step != Step::Idle && now.since(engine.step_started) >= ANSWER_TIMEOUT {
                engine.step = Step::Idle;
            }
            if engine.step != Step::Idle || now < engine.next_read {
                continue;
            }
            engine.step = Step::Reading;
            engine.step_started = now;
            engine.next_read = now + READ_INTERVAL;
            actions.push(Action::ReadState(*target));
        }
    }

    fn handle_state(
        &mut self,
        now: Instant,
        target: key::Target,
        state: Option<EngineState>,
        actions: &mut Vec<Action>,
    ) {
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        if engine.step != Step::Reading {
            return;
        }
        engine.step = Step::Idle;
        let Some(state) = state else { return };
        engine.record_peer_fence(now, state.fence);
        let Some(plan) = self.plan(now, target, &state) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&target) {
            engine.step = Step::Confirming(plan);
            engine.step_started = now;
            actions.push(Action::ConfirmVersion(target));
        }
    }

    /// Plans an order; `None` if the engine needs none or the order has to wait.
    fn plan(&self, now: Instant, target: key::Target, state: &EngineState) -> Option<Plan> {
        let snapshot = self.snapshot.as_ref()?;
        let engine = self.engines.get(&target)?;
        let model_set = self.assignment.get(&target)?;
        let version = snapshot.version;
        if !self.is_membership_fresh
            || now.since(engine.settling_since) < SETTLE_DELAY
            || state.fence.version > version
        {
            return None;
        }
        let is_recent_peer_order = engine
            .peer_fence
            .is_some_and(|(fence, first)| fence == state.fence && now.since(first) < COOLDOWN);
        if is_recent_peer_order && state.fence.version == version {
            return None;
        }
        let models = self.next_models(snapshot, target, model_set, state, now);
        let cause = Self::cause(now, engine, snapshot, model_set, state, &models)?;
        let loads = models.iter().filter(|model| !state.loaded.contains(*model));
        let load_bytes: u64 = loads
            .map(|model| weights_size(snapshot, model_key(model)))
            .sum();
        if load_bytes > 0 && now < self.store_free_at {
            return None;
        }
        Some(Plan {
            version,
            fence: engine.own_fence.max(Some(state.fence))?.next(version),
            models,
            load_bytes,
            cause,
        })
    }

    /// Returns the reason for an order now; `None` if there is none.
    fn cause(
        now: Instant,
        engine: &Engine,
        snapshot: &Snapshot,
        model_set: &ModelSet,
        state: &EngineState,
        models: &[Box<str>],
    ) -> Option<Cause> {
        let wanted: BTreeSet<_> = models.iter().collect();
        let current: BTreeSet<_> = state.models.iter().collect();
        if wanted == current {
            return None;
        }
        let required = model_set
            .required
            .iter()
            .map(|model| order_name(snapshot, *model));
        let mut missing = required.filter(|name| models.contains(name));
        if missing.any(|name| !state.models.contains(&name)) {
            return Some(Cause::Missing);
        }
        let is_current = |name: &str| *name == *order_name(snapshot, model_key(name));
        let has_obsolete = current
            .iter()
            .any(|name| !is_current(name) && !wanted.contains(*name));
        if has_obsolete {
            return Some(Cause::Obsolete);
        }
        let is_own_or_older =
            engine.own_fence == Some(state.fence) || state.fence.version < snapshot.version;
        let has_cooled_down = engine
            .last_order_at
            .is_none_or(|at| now.since(at) >= COOLDOWN);
        (is_own_or_older && has_cooled_down).then_some(Cause::Demand)
    }

    /// Returns the models that the engine is to hold next, as far as its capacity allows.
    ///
    /// Loaded models that stay come first: the wanted ones and those that the engine must retain.
    /// The rest of its model set follows.
    fn next_models(
        &self,
        snapshot: &Snapshot,
        target: key::Target,
        model_set: &ModelSet,
        state: &EngineState,
        now: Instant,
    ) -> Vec<Box<str>> {
        let mut free = snapshot.targets.get(target).map_or(0, |it| it.weights);
        let mut next = Vec::new();
        let mut add = |name: Box<str>| {
            let size = weights_size(snapshot, model_key(&name));
            if !next.contains(&name) && size <= free {
                free -= size;
                next.push(name);
            }
        };
        for loaded in &state.loaded {
            let model = model_key(loaded);
            let current = order_name(snapshot, model);
            let is_replaced = *loaded != current && state.loaded.contains(&current);
            if is_replaced {
                continue;
            }
            let is_wanted = model_set.contains(model) && *loaded == current;
            if is_wanted || self.must_retain(snapshot, target, model, state, now) {
                add(loaded.clone());
            }
        }
        for model in model_set.models() {
            add(order_name(snapshot, model));
        }
        next.sort_unstable();
        next
    }

    /// Returns whether an engine must retain a model, so that its last copy is never unloaded.
    ///
    /// One of the engines that have the model loaded must retain it. An engine with the version in
    /// force takes precedence, then one with a required copy, then rendezvous hashing decides. All
    /// VMs that see the same reports choose the same engine.
    fn must_retain(
        &self,
        snapshot: &Snapshot,
        target: key::Target,
        model: key::Model,
        state: &EngineState,
        now: Instant,
    ) -> bool {
        if !snapshot.models.contains(model) {
            return false;
        }
        let current = order_name(snapshot, model);
        let reports = self.reports.iter().filter(|(other, report)| {
            **other != target
                && self.assignment.contains_key(other)
                && now.since(report.at) < MAX_REPORT_AGE
        });
        let others = reports.map(|(other, report)| (*other, &report.models));
        let holders: Vec<_> = others
            .chain([(target, &state.loaded)])
            .filter(|(_, loaded)| loaded.iter().any(|it| model_key(it) == model))
            .map(|(holder, loaded)| {
                let is_current = loaded.contains(&current);
                (
                    is_current,
                    is_current && self.is_required(holder, model),
                    holder,
                )
            })
            .collect();
        let best = holders
            .iter()
            .map(|(is_current, is_required, _)| (is_current, is_required))
            .max();
        let candidates = holders
            .iter()
            .filter(|(is_current, is_required, _)| Some((is_current, is_required)) == best)
            .map(|(_, _, holder)| holder.raw());
        rendezvous::choose(model.raw(), candidates) == Some(target.raw())
    }

    fn is_required(&self, target: key::Target, model: key::Model) -> bool {
        let model_set = self.assignment.get(&target);
        model_set.is_some_and(|model_set| model_set.required.contains(&model))
    }

    fn handle_version(
        &mut self,
        now: Instant,
        target: key::Target,
        version: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let is_alone = self.members.iter().all(|vm| *vm == self.vm);
        let version_in_force = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.version);
        let store_free_at = self.store_free_at;
        let data_centre = self.data_centre;
        let settings = self.snapshot.as_ref();
        let settings = settings.and_then(|it| it.data_centres.get(data_centre));
        let store_rate = settings.map_or(config::parse::DEFAULT_WEIGHT_RATE, |it| it.weight_rate);
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        let Step::Confirming(plan) = &engine.step else {
            return;
        };
        let plan = plan.clone();
        engine.step = Step::Idle;
        let is_confirmed = version.map_or(is_alone, |version| version <= version_in_force);
        let is_store_free = plan.load_bytes == 0 || now >= store_free_at;
        if !self.is_membership_fresh
            || !is_confirmed
            || plan.version != version_in_force
            || !is_store_free
        {
            return;
        }
        engine.step = Step::Ordering(plan.fence);
        engine.step_started = now;
        let own_rate = (store_rate / self.members.len().max(1) as u64).max(1);
        let load_time = Duration::from_secs_f64(plan.load_bytes as f64 / own_rate as f64);
        self.store_free_at = self.store_free_at.max(now) + load_time;
        actions.push(Action::Order {
            target,
            fence: plan.fence,
            models: plan.models,
            cause: plan.cause,
        });
    }

    fn handle_outcome(&mut self, now: Instant, target: key::Target, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        let Step::Ordering(fence) = engine.step else {
            return;
        };
        engine.step = Step::Idle;
        if outcome == Outcome::Accepted {
            engine.own_fence = Some(fence);
            engine.last_order_at = Some(now);
        }
    }
}

impl Engine {
    /// Records the fencing token of another VM's order, with the time when it was first seen.
    fn record_peer_fence(&mut self, now: Instant, fence: Fence) {
        if self.own_fence == Some(fence) || fence.term == 0 {
            self.peer_fence = None;
        } else if self.peer_fence.is_none_or(|(known, _)| known != fence) {
            self.peer_fence = Some((fence, now));
        }
    }
}

/// Returns the name of a model in orders, `NAME@VERSION`.
fn order_name(snapshot: &Snapshot, model: key::Model) -> Box<str> {
    let model = snapshot.models.get(model);
    model.map_or_else(Box::default, |it| {
        format!("{}@{}", it.name, it.version).into()
    })
}

/// Returns the key of a model from its name in an order or a report.
fn model_key(name: &str) -> key::Model {
    key::Model::of(name.split_once('@').map_or(name, |(name, _)| name))
}

impl Machine for Placement {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.last_event_at = now;
        match event {
            Event::Configuration(snapshot) => {
                let is_up_to_date = self
                    .snapshot
                    .as_ref()
                    .is_none_or(|it| it.version <= snapshot.version);
                if is_up_to_date {
                    self.snapshot = Some(snapshot);
                    self.assign();
                    self.update_engines(now);
                    self.restart_settling(now);
                }
            }
            Event::Members(members) => {
                self.members = members;
                self.update_engines(now);
            }
            Event::MembershipFresh(fresh) => {
                if fresh && !self.is_membership_fresh {
                    self.restart_settling(now);
                }
                self.is_membership_fresh = fresh;
            }
            Event::Leaving { target, leaving } => {
                if leaving {
                    self.leaving.insert(target);
                } else {
                    self.leaving.remove(&target);
                }
                self.assign();
                self.update_engines(now);
            }
            Event::Loaded { target, models } => {
                self.reports.insert(target, Report { at: now, models });
            }
            Event::Demand { model, rate } => {
                if self.demand.update(now, model, rate) {
                    self.assign();
                    self.update_engines(now);
                }
            }
            Event::StateRead { target, state } => self.handle_state(now, target, state, actions),
            Event::VersionConfirmed { target, version } => {
                self.handle_version(now, target, version, actions);
            }
            Event::Ordered { target, outcome } => self.handle_outcome(now, target, outcome),
            Event::Tick => self.tick(now, actions),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last_event_at + TICK_INTERVAL)
    }
}
