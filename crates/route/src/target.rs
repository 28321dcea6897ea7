//! Configuration and state of targets, as all policies use them.

use {
    crate::{Load, Request},
    base::{Instant, arena::Arena, key},
    config::Snapshot,
    std::collections::HashMap,
};

/// Configuration and state of one target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of the target.
    pub key: key::Target,
    /// The service it serves.
    pub service: key::Service,
    /// Its data centre.
    pub data_centre: key::DataCentre,
    /// Most concurrent requests.
    pub concurrency: u32,
    /// Configured KV cache capacity, in tokens; 0 for a plain service.
    pub memory_tokens: u64,
    /// Attempts of this VM that have not ended.
    pub in_flight: u32,
    /// Whether it answers health checks.
    pub reachable: bool,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// The newest load report.
    pub load: Option<Report>,
}

/// A load report and its time of receipt.
#[derive(Clone, Debug)]
pub struct Report {
    /// When the report was received.
    pub received_at: Instant,
    /// The reported load.
    pub load: Load,
}

impl Target {
    /// Returns whether it is reachable and not leaving.
    pub fn is_usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Returns whether this VM has fewer attempts there than the target's concurrency.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.concurrency
    }

    /// Returns whether a model is loaded; `None` while no report has named any.
    pub fn has_model(&self, model: key::Model) -> Option<bool> {
        let models = &self.load.as_ref()?.load.models;
        (!models.is_empty()).then(|| models.contains(&model))
    }

    /// Returns whether it may run the request, apart from free slots.
    pub fn can_serve(&self, request: &Request) -> bool {
        self.service == request.service
            && self.is_usable()
            && !request.excluded.contains(&self.key)
            && request
                .model
                .is_none_or(|model| self.has_model(model) != Some(false))
    }
}

/// All targets, by key and by service.
#[derive(Debug, Default)]
pub struct Table {
    targets: Arena<key::Target, Target>,
    services: HashMap<key::Service, Vec<key::Target>>,
}

impl Table {
    /// Applies a configuration; the state of targets that stay is kept.
    ///
    /// Returns the removed targets.
    pub fn configure(&mut self, snapshot: &Snapshot) -> Vec<key::Target> {
        let removed: Vec<_> = self
            .targets
            .keys()
            .filter(|&key| !snapshot.targets.contains(key))
            .collect();
        for &key in &removed {
            self.targets.remove(key);
        }
        self.services.clear();
        for (key, configured) in snapshot.targets.iter() {
            let previous = self.targets.get(key);
            let target = Target {
                key,
                service: configured.service,
                data_centre: configured.data_centre,
                concurrency: configured.concurrency,
                memory_tokens: configured.memory_tokens,
                in_flight: previous.map_or(0, |previous| previous.in_flight),
                reachable: previous.is_none_or(|previous| previous.reachable),
                leaving: previous.is_some_and(|previous| previous.leaving),
                load: previous.and_then(|previous| previous.load.clone()),
            };
            self.targets.insert(key, target);
            self.services
                .entry(configured.service)
                .or_default()
                .push(key);
        }
        removed
    }

    /// Returns a target.
    pub fn get(&self, key: key::Target) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns a target, mutably.
    pub fn get_mut(&mut self, key: key::Target) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// Returns the keys of a service's targets, in the order of the configuration.
    pub fn keys_by_service(&self, service: key::Service) -> &[key::Target] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over a service's targets.
    pub fn iter_by_service(&self, service: key::Service) -> impl Iterator<Item = &Target> {
        self.keys_by_service(service)
            .iter()
            .filter_map(|&key| self.targets.get(key))
    }

    /// Stores a load report; callers pass the reports of a target in order.
    pub fn set_load(&mut self, now: Instant, key: key::Target, load: Load) {
        if let Some(target) = self.targets.get_mut(key) {
            target.load = Some(Report {
                received_at: now,
                load,
            });
        }
    }

    /// Sets whether a target answers health checks.
    pub fn set_reachable(&mut self, key: key::Target, reachable: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.reachable = reachable;
        }
    }

    /// Sets whether a target is leaving.
    pub fn set_leaving(&mut self, key: key::Target, leaving: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.leaving = leaving;
        }
    }

    /// Counts an attempt as in flight.
    pub fn begin(&mut self, key: key::Target) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
        }
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, key: key::Target) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
