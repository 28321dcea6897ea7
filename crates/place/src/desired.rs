//! Assignment of models to the engines of a data centre.

use {
    crate::demand::Demand,
    base::{key, rendezvous},
    config::{Snapshot, deployment::Kind},
    std::collections::{BTreeMap, BTreeSet},
};

/// The models that one engine is to hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelSet {
    /// Models placed here to meet the minimum number of copies in the configuration.
    pub required: BTreeSet<key::Model>,
    /// Models placed here by demand, in the remaining capacity.
    pub extra: BTreeSet<key::Model>,
}

impl ModelSet {
    /// Iterates over all models, the required ones first.
    pub fn models(&self) -> impl Iterator<Item = key::Model> {
        self.required.iter().chain(&self.extra).copied()
    }

    /// Returns whether the engine is to hold a model.
    pub fn contains(&self, model: key::Model) -> bool {
        self.required.contains(&model) || self.extra.contains(&model)
    }
}

/// The models of each engine of a data centre.
pub type Assignment = BTreeMap<key::Target, ModelSet>;

/// Assigns models to the engines of a data centre that are not leaving.
///
/// The required copies depend on the configuration and the engines only; demand decides what fills
/// the remaining capacity.
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
        let mut allocator = Allocator {
            snapshot,
            model_sets: engines.map(|(key, _)| (key, ModelSet::default())).collect(),
        };
        let models = sorted(snapshot, &settings.models);
        allocator.add_required(&models);
        allocator.add_extra(&models, demand);
        assignment.extend(allocator.model_sets);
    }
    assignment
}

/// Returns the size of a model's weights in bytes; 0 for an unknown model.
pub fn weights_size(snapshot: &Snapshot, model: key::Model) -> u64 {
    snapshot.models.get(model).map_or(0, |model| model.weight)
}

/// Sorts models by key, base models before adapters.
fn sorted(snapshot: &Snapshot, models: &[key::Model]) -> Vec<key::Model> {
    let is_adapter = |model: key::Model| {
        snapshot
            .models
            .get(model)
            .is_some_and(|it| it.base.is_some())
    };
    let mut sorted = models.to_vec();
    sorted.sort_unstable_by_key(|&model| (is_adapter(model), model));
    sorted
}

/// Allocates the models of one service to its engines.
struct Allocator<'a> {
    snapshot: &'a Snapshot,
    model_sets: Assignment,
}

impl Allocator<'_> {
    /// Adds the copies that the configuration requires, as far as the capacity allows.
    fn add_required(&mut self, models: &[key::Model]) {
        for &model in models {
            let copies = self.snapshot.models.get(model).map_or(1, |it| it.copies);
            for _ in 0..copies.max(1) {
                let Some(engine) = self.best_engine(model) else {
                    break;
                };
                if let Some(model_set) = self.model_sets.get_mut(&engine) {
                    model_set.required.insert(model);
                }
            }
        }
    }

    /// Adds copies while any fits, each of the model with the highest demand per copy.
    fn add_extra(&mut self, models: &[key::Model], demand: &Demand) {
        loop {
            let candidates = models
                .iter()
                .filter_map(|&model| Some((model, self.best_engine(model)?)));
            let demand_per_copy = |model: key::Model| {
                let copies = self
                    .model_sets
                    .values()
                    .filter(|it| it.contains(model))
                    .count();
                demand.level(model) / (copies + 1) as f64
            };
            let next = candidates.max_by(|(one, _), (other, _)| {
                let by_demand = demand_per_copy(*one).total_cmp(&demand_per_copy(*other));
                by_demand.then(other.cmp(one))
            });
            let Some((model, engine)) = next else { return };
            if let Some(model_set) = self.model_sets.get_mut(&engine) {
                model_set.extra.insert(model);
            }
        }
    }

    /// Returns the engine with capacity that rendezvous hashing ranks first for a model.
    ///
    /// An adapter only fits an engine that holds its base.
    fn best_engine(&self, model: key::Model) -> Option<key::Target> {
        let base = self.snapshot.models.get(model).and_then(|it| it.base);
        let size = weights_size(self.snapshot, model);
        let candidates = self.model_sets.iter().filter(|(engine, model_set)| {
            let used: u64 = model_set
                .models()
                .map(|placed| weights_size(self.snapshot, placed))
                .sum();
            let settings = self.snapshot.targets.get(**engine);
            let free = settings.map_or(0, |it| it.weights.saturating_sub(used));
            !model_set.contains(model)
                && free >= size
                && base.is_none_or(|base| model_set.contains(base))
        });
        let best = rendezvous::choose(model.raw(), candidates.map(|(engine, _)| engine.raw()))?;
        Some(key::Target::from_raw(best))
    }
}
