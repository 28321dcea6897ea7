//! What the router knows of each target, whatever the policy.

use {
    crate::{Load, Request},
    base::{Instant, arena::Arena, key},
    config::Snapshot,
    std::collections::HashMap,
};

/// One target as the router sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its key.
    pub key: key::Target,
    /// The service it serves.
    pub service: key::Service,
    /// Where it stands.
    pub data_centre: key::DataCentre,
    /// Most requests at once.
    pub concurrency: u32,
    /// Memory for contexts, in tokens; 0 for a plain service.
    pub memory_tokens: u64,
    /// Attempts of this VM that have not ended.
    pub in_flight: u32,
    /// Whether it answers probes.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The newest load report.
    pub load: Option<Report>,
}

/// A load report and when it came.
#[derive(Clone, Debug)]
pub struct Report {
    /// When it was read.
    pub received: Instant,
    /// What it said.
    pub load: Load,
}

impl Target {
    /// Returns whether new work may be sent there at all.
    pub fn is_usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Returns whether it has a free place of this VM's.
    pub fn has_place(&self) -> bool {
        self.in_flight < self.concurrency
    }

    /// Returns whether it holds a model; `None` while no report has named any.
    pub fn holds(&self, model: key::Model) -> Option<bool> {
        let models = &self.load.as_ref()?.load.models;
        (!models.is_empty()).then(|| models.contains(&model))
    }

    /// Returns whether it may run the request, places aside.
    pub fn suits(&self, request: &Request) -> bool {
        self.service == request.service
            && self.is_usable()
            && !request.excluded.contains(&self.key)
            && request
                .model
                .is_none_or(|model| self.holds(model) != Some(false))
    }
}

/// All targets, found by key and by service.
#[derive(Debug, Default)]
pub struct Table {
    targets: Arena<key::Target, Target>,
    services: HashMap<key::Service, Vec<key::Target>>,
}

impl Table {
    /// Takes a configuration over; what is known of targets that stay is kept.
    ///
    /// Returns the targets that are gone.
    pub fn configure(&mut self, snapshot: &Snapshot) -> Vec<key::Target> {
        let gone: Vec<_> = self
            .targets
            .keys()
            .filter(|&key| !snapshot.targets.contains(key))
            .collect();
        for &key in &gone {
            self.targets.remove(key);
        }
        self.services.clear();
        for (key, configured) in snapshot.targets.iter() {
            let former = self.targets.get(key);
            let target = Target {
                key,
                service: configured.service,
                data_centre: configured.data_centre,
                concurrency: configured.concurrency,
                memory_tokens: configured.memory_tokens,
                in_flight: former.map_or(0, |former| former.in_flight),
                reachable: former.is_none_or(|former| former.reachable),
                leaving: former.is_some_and(|former| former.leaving),
                load: former.and_then(|former| former.load.clone()),
            };
            self.targets.insert(key, target);
            self.services
                .entry(configured.service)
                .or_default()
                .push(key);
        }
        gone
    }

    /// Returns a target.
    pub fn get(&self, key: key::Target) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns a target, to change it.
    pub fn get_mut(&mut self, key: key::Target) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// Returns the keys of a service's targets, in the order of the configuration.
    pub fn of_service(&self, service: key::Service) -> &[key::Target] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over a service's targets.
    pub fn iter_service(&self, service: key::Service) -> impl Iterator<Item = &Target> {
        self.of_service(service)
            .iter()
            .filter_map(|&key| self.targets.get(key))
    }

    /// Keeps a load report; the caller reads each target's reports in order.
    pub fn report(&mut self, now: Instant, key: key::Target, load: Load) {
        if let Some(target) = self.targets.get_mut(key) {
            target.load = Some(Report {
                received: now,
                load,
            });
        }
    }

    /// Notes whether a target answers probes.
    pub fn set_reachable(&mut self, key: key::Target, reachable: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.reachable = reachable;
        }
    }

    /// Notes whether a target is leaving.
    pub fn set_leaving(&mut self, key: key::Target, leaving: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.leaving = leaving;
        }
    }

    /// Counts an attempt that starts.
    pub fn begin(&mut self, key: key::Target) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
        }
    }

    /// Counts an attempt that ended.
    pub fn end(&mut self, key: key::Target) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
