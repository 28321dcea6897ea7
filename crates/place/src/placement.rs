//! The orders of one entry VM.

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
/// Time between two reads of what an engine holds.
pub const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Wait after a change of responsibility or of the configuration before the first order.
pub const SETTLE_DELAY: Duration = Duration::from_secs(5);
/// Wait after another VM's order under the same version, and between two orders by demand.
pub const COOLDOWN: Duration = Duration::from_secs(60);
/// Age beyond which a report of what an engine has loaded counts for nothing.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Longest wait for the answer to an action.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// What this VM waits for on an engine.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Idle,
    Reading,
    Confirming(Plan),
    Ordering(Fence),
}

/// An order that waits for its confirmation.
#[derive(Clone, Debug, PartialEq)]
struct Plan {
    version: u64,
    fence: Fence,
    models: Vec<Box<str>>,
    loads: u64,
    cause: Cause,
}

/// An engine that this VM is responsible for.
#[derive(Clone, Debug)]
struct Engine {
    since: Instant,
    step: Step,
    stepped: Instant,
    next_read: Instant,
    /// The last order of this VM that the engine took.
    ordered: Option<Fence>,
    ordered_at: Option<Instant>,
    /// A fence of another VM under the version in force, and when it was first seen.
    foreign: Option<(Fence, Instant)>,
}

#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    models: Vec<Box<str>>,
}

/// The orders of one entry VM for the engines that it is responsible for.
#[derive(Debug)]
pub struct Placement {
    own: key::Vm,
    data_centre: key::DataCentre,
    snapshot: Option<Arc<Snapshot>>,
    members: Vec<key::Vm>,
    fresh: bool,
    leaving: BTreeSet<key::Target>,
    reports: HashMap<key::Target, Report>,
    demand: Demand,
    assignment: desired::Assignment,
    engines: BTreeMap<key::Target, Engine>,
    /// When the weight store has served this VM's share of the loads ordered so far.
    store_free: Instant,
    last: Instant,
}

#[bon]
impl Placement {
    /// Starts without a configuration.
    #[builder]
    pub fn new(now: Instant, vm: key::Vm, data_centre: key::DataCentre) -> Self {
        Self {
            own: vm,
            data_centre,
            snapshot: None,
            members: vec![vm],
            fresh: false,
            leaving: BTreeSet::new(),
            reports: HashMap::new(),
            demand: Demand::default(),
            assignment: desired::Assignment::new(),
            engines: BTreeMap::new(),
            store_free: now,
            last: now,
        }
    }

    /// Returns what the engines of the data centre shall hold.
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

    /// Takes and gives up engines by rendezvous hashing over the members.
    fn take_engines(&mut self, now: Instant) {
        let members = || self.members.iter().map(|vm| vm.raw());
        let responsible: BTreeSet<_> = self
            .assignment
            .keys()
            .copied()
            .filter(|target| rendezvous::choose(target.raw(), members()) == Some(self.own.raw()))
            .collect();
        self.engines
            .retain(|target, _| responsible.contains(target));
        for target in responsible {
            self.engines.entry(target).or_insert(Engine {
                since: now,
                step: Step::Idle,
                stepped: now,
                next_read: now,
                ordered: None,
                ordered_at: None,
                foreign: None,
            });
        }
    }

    /// Waits again on every engine, as after a pause or under a new version.
    fn settle(&mut self, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.since = now;
            engine.step = Step::Idle;
            engine.next_read = now;
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.fresh {
            return;
        }
        for (target, engine) in &mut self.engines {
            if engine.step != Step::Idle && now.since(engine.stepped) >= ANSWER_TIMEOUT {
                engine.step = Step::Idle;
            }
            if engine.step != Step::Idle || now < engine.next_read {
                continue;
            }
            engine.step = Step::Reading;
            engine.stepped = now;
            engine.next_read = now + READ_INTERVAL;
            actions.push(Action::ReadState(*target));
        }
    }

    fn take_read(
        &mut self,
        now: Instant,
        target: key::Target,
        held: Option<EngineState>,
        actions: &mut Vec<Action>,
    ) {
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        if engine.step != Step::Reading {
            return;
        }
        engine.step = Step::Idle;
        let Some(held) = held else { return };
        engine.note_foreign(now, held.fence);
        let Some(plan) = self.plan(now, target, &held) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&target) {
            engine.step = Step::Confirming(plan);
            engine.stepped = now;
            actions.push(Action::ConfirmVersion(target));
        }
    }

    /// Decides on an order; `None` if there is nothing to do or it has to wait.
    fn plan(&self, now: Instant, target: key::Target, held: &EngineState) -> Option<Plan> {
        let snapshot = self.snapshot.as_ref()?;
        let engine = self.engines.get(&target)?;
        let share = self.assignment.get(&target)?;
        let version = snapshot.version;
        if !self.fresh || now.since(engine.since) < SETTLE_DELAY || held.fence.version > version {
            return None;
        }
        let foreign = engine
            .foreign
            .is_some_and(|(fence, first)| fence == held.fence && now.since(first) < COOLDOWN);
        if foreign && held.fence.version == version {
            return None;
        }
        let models = self.next_state(snapshot, target, share, held, now);
        let cause = Self::cause(now, engine, snapshot, share, held, &models)?;
        let loads = models.iter().filter(|model| !held.loaded.contains(*model));
        let loads: u64 = loads
            .map(|model| weights_size(snapshot, key_of(model)))
            .sum();
        if loads > 0 && now < self.store_free {
            return None;
        }
        Some(Plan {
            version,
            fence: engine.ordered.max(Some(held.fence))?.next(version),
            models,
            loads,
            cause,
        })
    }

    /// Returns why the engine must change; `None` if it need not.
    fn cause(
        now: Instant,
        engine: &Engine,
        snapshot: &Snapshot,
        share: &ModelSet,
        held: &EngineState,
        models: &[Box<str>],
    ) -> Option<Cause> {
        let wanted: BTreeSet<_> = models.iter().collect();
        let current: BTreeSet<_> = held.models.iter().collect();
        if wanted == current {
            return None;
        }
        let required = share.required.iter().map(|model| name(snapshot, *model));
        let mut missing = required.filter(|name| models.contains(name));
        if missing.any(|name| !held.models.contains(&name)) {
            return Some(Cause::Missing);
        }
        let is_current = |held: &str| *held == *name(snapshot, key_of(held));
        let obsolete = current
            .iter()
            .any(|held| !is_current(held) && !wanted.contains(*held));
        if obsolete {
            return Some(Cause::Obsolete);
        }
        let own = engine.ordered == Some(held.fence) || held.fence.version < snapshot.version;
        let rested = engine.ordered_at.is_none_or(|at| now.since(at) >= COOLDOWN);
        (own && rested).then_some(Cause::Demand)
    }

    /// Returns the models that the engine shall hold next: copies that no other engine can stand in
    /// for stay first, then the share, as far as there is room.
    fn next_state(
        &self,
        snapshot: &Snapshot,
        target: key::Target,
        share: &ModelSet,
        held: &EngineState,
        now: Instant,
    ) -> Vec<Box<str>> {
        let mut room = snapshot.targets.get(target).map_or(0, |it| it.weights);
        let mut next = Vec::new();
        let mut add = |name: Box<str>| {
            let needed = weights_size(snapshot, key_of(&name));
            if !next.contains(&name) && needed <= room {
                room -= needed;
                next.push(name);
            }
        };
        for loaded in &held.loaded {
            let model = key_of(loaded);
            let current = name(snapshot, model);
            let replaced = *loaded != current && held.loaded.contains(&current);
            if replaced {
                continue;
            }
            let stays = share.contains(model) && *loaded == current;
            if stays || self.is_last_copy(snapshot, target, model, held, now) {
                add(loaded.clone());
            }
        }
        for model in share.models() {
            add(name(snapshot, model));
        }
        next.sort_unstable();
        next
    }

    /// Returns whether an engine may not give up a model, since it is the holder that stays.
    ///
    /// The holder that stays has the version in force if any engine has it; a required copy goes
    /// before others, then rendezvous hashing decides. All VMs that see the same reports agree.
    fn is_last_copy(
        &self,
        snapshot: &Snapshot,
        target: key::Target,
        model: key::Model,
        held: &EngineState,
        now: Instant,
    ) -> bool {
        if !snapshot.models.contains(model) {
            return false;
        }
        let current = name(snapshot, model);
        let reports = self.reports.iter().filter(|(other, report)| {
            **other != target
                && self.assignment.contains_key(other)
                && now.since(report.at) < MAX_REPORT_AGE
        });
        let others = reports.map(|(other, report)| (*other, &report.models));
        let holders: Vec<_> = others
            .chain([(target, &held.loaded)])
            .filter(|(_, loaded)| loaded.iter().any(|it| key_of(it) == model))
            .map(|(holder, loaded)| {
                let is_current = loaded.contains(&current);
                (is_current, is_current && self.keeps(holder, model), holder)
            })
            .collect();
        let best = holders
            .iter()
            .map(|(is_current, keeps, _)| (is_current, keeps))
            .max();
        let staying = holders
            .iter()
            .filter(|(is_current, keeps, _)| Some((is_current, keeps)) == best)
            .map(|(_, _, holder)| holder.raw());
        rendezvous::choose(model.raw(), staying) == Some(target.raw())
    }

    fn keeps(&self, target: key::Target, model: key::Model) -> bool {
        let share = self.assignment.get(&target);
        share.is_some_and(|share| share.required.contains(&model))
    }

    fn take_confirmation(
        &mut self,
        now: Instant,
        target: key::Target,
        version: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let alone = self.members.iter().all(|vm| *vm == self.own);
        let in_force = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.version);
        let store_free = self.store_free;
        let data_centre = self.data_centre;
        let settings = self.snapshot.as_ref();
        let settings = settings.and_then(|it| it.data_centres.get(data_centre));
        let rate = settings.map_or(config::parse::DEFAULT_WEIGHT_RATE, |it| it.weight_rate);
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        let Step::Confirming(plan) = &engine.step else {
            return;
        };
        let plan = plan.clone();
        engine.step = Step::Idle;
        let confirmed = version.map_or(alone, |version| version <= in_force);
        let paced = plan.loads == 0 || now >= store_free;
        if !self.fresh || !confirmed || plan.version != in_force || !paced {
            return;
        }
        engine.step = Step::Ordering(plan.fence);
        engine.stepped = now;
        let share = (rate / self.members.len().max(1) as u64).max(1);
        let time = Duration::from_secs_f64(plan.loads as f64 / share as f64);
        self.store_free = self.store_free.max(now) + time;
        actions.push(Action::Order {
            target,
            fence: plan.fence,
            models: plan.models,
            cause: plan.cause,
        });
    }

    fn take_outcome(&mut self, now: Instant, target: key::Target, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        let Step::Ordering(fence) = engine.step else {
            return;
        };
        engine.step = Step::Idle;
        if outcome == Outcome::Accepted {
            engine.ordered = Some(fence);
            engine.ordered_at = Some(now);
        }
    }
}

impl Engine {
    /// Notes when another VM's order was first seen on the engine.
    fn note_foreign(&mut self, now: Instant, fence: Fence) {
        if self.ordered == Some(fence) || fence.term == 0 {
            self.foreign = None;
        } else if self.foreign.is_none_or(|(known, _)| known != fence) {
            self.foreign = Some((fence, now));
        }
    }
}

/// Returns a model as orders name it.
fn name(snapshot: &Snapshot, model: key::Model) -> Box<str> {
    let model = snapshot.models.get(model);
    model.map_or_else(Box::default, |it| {
        format!("{}@{}", it.name, it.version).into()
    })
}

/// Returns the key of a model that an order or a report names.
fn key_of(name: &str) -> key::Model {
    key::Model::of(name.split_once('@').map_or(name, |(name, _)| name))
}

impl Machine for Placement {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.last = now;
        match event {
            Event::Configuration(snapshot) => {
                let newer = self
                    .snapshot
                    .as_ref()
                    .is_none_or(|it| it.version <= snapshot.version);
                if newer {
                    self.snapshot = Some(snapshot);
                    self.assign();
                    self.take_engines(now);
                    self.settle(now);
                }
            }
            Event::Members(members) => {
                self.members = members;
                self.take_engines(now);
            }
            Event::MembershipFresh(fresh) => {
                if fresh && !self.fresh {
                    self.settle(now);
                }
                self.fresh = fresh;
            }
            Event::Leaving { target, leaving } => {
                if leaving {
                    self.leaving.insert(target);
                } else {
                    self.leaving.remove(&target);
                }
                self.assign();
                self.take_engines(now);
            }
            Event::Loaded { target, models } => {
                self.reports.insert(target, Report { at: now, models });
            }
            Event::Demand { model, rate } => {
                if self.demand.update(now, model, rate) {
                    self.assign();
                    self.take_engines(now);
                }
            }
            Event::StateRead {
                target,
                state: held,
            } => self.take_read(now, target, held, actions),
            Event::VersionConfirmed { target, version } => {
                self.take_confirmation(now, target, version, actions);
            }
            Event::Ordered { target, outcome } => self.take_outcome(now, target, outcome),
            Event::Tick => self.tick(now, actions),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last + TICK_INTERVAL)
    }
}
