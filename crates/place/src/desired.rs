//! Which engine of a data centre shall hold which models.

use {
    crate::demand::Demand,
    base::{key, rendezvous},
    config::{Snapshot, deployment::Kind},
    std::collections::{BTreeMap, BTreeSet},
};

/// What one engine shall hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelSet {
    /// Models that the configuration's fewest copies ask for.
    pub required: BTreeSet<key::Model>,
    /// Further copies by demand, while there is room.
    pub extra: BTreeSet<key::Model>,
}

impl ModelSet {
    /// Iterates over all models of the share.
    pub fn models(&self) -> impl Iterator<Item = key::Model> {
        self.required.iter().chain(&self.extra).copied()
    }

    /// Returns whether the engine shall hold a model.
    pub fn contains(&self, model: key::Model) -> bool {
        self.required.contains(&model) || self.extra.contains(&model)
    }
}

/// The shares of the engines of one data centre.
pub type Assignment = BTreeMap<key::Target, ModelSet>;

/// Assigns models to the engines of a data centre that are not leaving.
///
/// The required copies depend on the configuration and the engines alone; demand decides only what
/// fills the room that is left.
pub fn assign(
    snapshot: &Snapshot,
    data_centre: key::DataCentre,
    leaving: &BTreeSet<key::Target>,
    demand: &Demand,
) -> Assignment {
    let mut assignment = Assignment::new();
    for (service, settings) in snapshot.services.iter() {
        if settings.kind != Kind::Model {
            continue;
        }
        let engines = snapshot.targets.iter().filter(|(key, target)| {
            target.service == service
                && target.data_centre == data_centre
                && target.weights > 0
                && !leaving.contains(key)
        });
        let mut fill = Fill {
            snapshot,
            shares: engines.map(|(key, _)| (key, ModelSet::default())).collect(),
        };
        let models = ordered(snapshot, &settings.models);
        fill.add_required(&models);
        fill.add_extra(&models, demand);
        assignment.extend(fill.shares);
    }
    assignment
}

/// Returns the bytes of weights of a model.
pub fn weights_size(snapshot: &Snapshot, model: key::Model) -> u64 {
    snapshot.models.get(model).map_or(0, |model| model.weight)
}

/// Orders models by key, each base before its adapters.
fn ordered(snapshot: &Snapshot, models: &[key::Model]) -> Vec<key::Model> {
    let is_adapter = |model: key::Model| {
        snapshot
            .models
            .get(model)
            .is_some_and(|it| it.base.is_some())
    };
    let mut ordered = models.to_vec();
    ordered.sort_unstable_by_key(|&model| (is_adapter(model), model));
    ordered
}

struct Fill<'a> {
    snapshot: &'a Snapshot,
    shares: Assignment,
}

impl Fill<'_> {
    fn add_required(&mut self, models: &[key::Model]) {
        for &model in models {
            let copies = self.snapshot.models.get(model).map_or(1, |it| it.copies);
            for _ in 0..copies.max(1) {
                let Some(engine) = self.best_engine(model) else {
                    break;
                };
                if let Some(share) = self.shares.get_mut(&engine) {
                    share.required.insert(model);
                }
            }
        }
    }

    /// Gives copies one by one to the model with the most demand for each copy, while any fits.
    fn add_extra(&mut self, models: &[key::Model], demand: &Demand) {
        loop {
            let fitting = models
                .iter()
                .filter_map(|&model| Some((model, self.best_engine(model)?)));
            let pressure = |model: key::Model| {
                let copies = self.shares.values().filter(|it| it.contains(model)).count();
                demand.level(model) / (copies + 1) as f64
            };
            let next = fitting.max_by(|(one, _), (other, _)| {
                let by_demand = pressure(*one).total_cmp(&pressure(*other));
                by_demand.then(other.cmp(one))
            });
            let Some((model, engine)) = next else { return };
            if let Some(share) = self.shares.get_mut(&engine) {
                share.extra.insert(model);
            }
        }
    }

    /// Returns the engine with room that comes first for a model; an adapter goes to its base.
    fn best_engine(&self, model: key::Model) -> Option<key::Target> {
        let base = self.snapshot.models.get(model).and_then(|it| it.base);
        let needed = weights_size(self.snapshot, model);
        let fitting = self.shares.iter().filter(|(engine, share)| {
            let held: u64 = share
                .models()
                .map(|held| weights_size(self.snapshot, held))
                .sum();
            let settings = self.snapshot.targets.get(**engine);
            let room = settings.map_or(0, |it| it.weights.saturating_sub(held));
            !share.contains(model) && room >= needed && base.is_none_or(|base| share.contains(base))
        });
        let best = rendezvous::choose(model.raw(), fitting.map(|(engine, _)| engine.raw()))?;
        Some(key::Target::from_raw(best))
    }
}
