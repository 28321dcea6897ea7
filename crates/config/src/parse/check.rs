//! Faults that only show when the sections are seen together.

use {
    super::{MAX_VALUE_BYTES, Parser},
    crate::{
        Snapshot,
        deployment::{Kind, Model, Service, Target},
        ini::Section,
        unit,
    },
    base::key,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// First segment of the paths that belong to the system itself.
const RESERVED_SERVICE: &str = "v1";

impl<'a> Parser<'a> {
    pub(super) fn check(&self, snapshot: &Snapshot) {
        self.check_size(snapshot);
        self.check_addresses();
        self.check_customer_keys(&snapshot.customers);
        let served: HashSet<_> = snapshot
            .targets
            .values()
            .map(|target| target.service)
            .collect();
        for section in self.of_kind("service") {
            let key = key::Service::of(&section.name);
            if let Some(service) = snapshot.services.get(key) {
                self.check_service(section, service, served.contains(&key), snapshot);
            }
        }
        for section in self.of_kind("model") {
            if let Some(model) = snapshot.models.get(key::Model::of(&section.name)) {
                self.check_model(section, model, snapshot);
            }
        }
        for section in self.of_kind("target") {
            if let Some(target) = snapshot.targets.get(key::Target::of(&section.name)) {
                self.check_target(section, target, snapshot);
            }
        }
    }

    fn check_size(&self, snapshot: &Snapshot) {
        let size = snapshot.value.len();
        if size > MAX_VALUE_BYTES {
            let message = format!("the value to publish has {size} bytes");
            self.reject("", &message, &format!("up to {MAX_VALUE_BYTES} bytes"));
        }
    }

    /// Notes a fault for each target or VM whose address an earlier one has.
    fn check_addresses(&self) {
        for (kind, key) in [("target", "address"), ("vm", "inner")] {
            let mut owners: HashMap<SocketAddr, &str> = HashMap::new();
            for section in self.of_kind(kind) {
                let mut entries = section.entries.iter();
                let Some(address) = entries
                    .find(|entry| &*entry.key == key)
                    .and_then(|entry| entry.value.parse().ok())
                else {
                    continue;
                };
                if let Some(owner) = owners.insert(address, &section.name) {
                    let message = format!("[{kind} {owner}] has the same address");
                    self.reader(section)
                        .reject(key, &message, "an address of its own");
                }
            }
        }
    }

    fn check_service(
        &self,
        section: &'a Section,
        service: &Service,
        is_served: bool,
        snapshot: &Snapshot,
    ) {
        let reader = self.reader(section);
        if &*service.name == RESERVED_SERVICE {
            let message = "the system's own paths begin with /v1";
            reader.reject("", message, "any other name");
        }
        if !is_served {
            let message = "the service has no target";
            reader.reject("", message, "at least one [target] with this service");
        }
        let headroom: f64 = service.classes.iter().map(|class| class.headroom).sum();
        if headroom >= 1.0 {
            let message = format!("the headroom of its classes adds up to {headroom:.2}");
            reader.reject("", &message, "a sum below 1");
        }
        if service.kind == Kind::Model && service.models.is_empty() {
            let message = "a model service needs models";
            reader.reject("models", message, "names of [model] sections");
        }
        if service.kind == Kind::Plain && !service.models.is_empty() {
            let message = "a plain service has no models";
            reader.reject("models", message, "services with kind = model");
        }
        let models = service.models.iter();
        for model in models.filter_map(|key| snapshot.models.get(*key)) {
            if model
                .base
                .is_some_and(|base| !service.models.contains(&base))
            {
                let message = format!("the base of the adapter {} is not listed", model.name);
                reader.reject("models", &message, "adapters beside their base");
            }
        }
    }

    fn check_model(&self, section: &'a Section, model: &Model, snapshot: &Snapshot) {
        let Some(base) = model.base.and_then(|base| snapshot.models.get(base)) else {
            return;
        };
        if base.base.is_some() {
            let message = format!("{} is an adapter itself", base.name);
            let reader = self.reader(section);
            reader.reject("base", &message, "a [model] without a base");
        }
    }

    fn check_target(&self, section: &'a Section, target: &Target, snapshot: &Snapshot) {
        let Some(service) = snapshot.services.get(target.service) else {
            return;
        };
        if service.kind == Kind::Plain {
            return;
        }
        let reader = self.reader(section);
        if target.memory_tokens == 0 {
            let message = "a model engine needs it";
            reader.reject("memory_tokens", message, "a whole number from 1");
        }
        let models = service.models.iter();
        let largest = models
            .filter_map(|key| snapshot.models.get(*key))
            .map(|model| model.weight)
            .max()
            .unwrap_or(0);
        if target.weights > 0 && target.weights < largest {
            let message = "the engine can't hold the largest model of its service";
            reader.reject(
                "weights",
                message,
                &format!("at least {}", unit::format_size(largest)),
            );
        }
    }
}
