//! Differences between two versions of a deployment.

use {
    crate::{
        Snapshot,
        deployment::{Class, Customer, Model, Route, Service, Target},
        unit::format_size,
    },
    derive_more::Display,
    serde::Serialize,
    std::{collections::BTreeMap, fmt::Display as Text},
};

/// An item, such as a target or a customer, that differs between two versions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Kind of its section, such as `target`.
    pub kind: &'static str,
    /// Its name.
    pub name: Box<str>,
    /// How it changes.
    pub action: Action,
    /// Fields that differ; all of them if it is added or removed.
    pub fields: Vec<Field>,
}

/// How an item changes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Action {
    /// Only the new version has it.
    Added,
    /// Only the old version has it.
    Removed,
    /// Both versions have it, with different fields.
    Changed,
}

/// A field with its old and new value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Field {
    /// Its key.
    pub key: &'static str,
    /// Old value; `None` if the field was not set.
    pub old: Option<Box<str>>,
    /// New value; `None` if the field is not set.
    pub new: Option<Box<str>>,
}

/// The fields of one item, as text.
type Fields = BTreeMap<&'static str, Box<str>>;

/// All items of a snapshot, by kind and name.
type Items = BTreeMap<(&'static str, Box<str>), Fields>;

/// Returns the items that differ, sorted by kind and name.
///
/// Ignores the version and the published text.
pub fn changes(old: &Snapshot, new: &Snapshot) -> Vec<Change> {
    let before = items(old);
    let after = items(new);
    let mut changes = Vec::new();
    for (id, fields) in &before {
        match after.get(id) {
            Some(new) if new == fields => {}
            Some(new) => changes.push(change(id, Action::Changed, fields, new)),
            None => changes.push(change(id, Action::Removed, fields, &Fields::new())),
        }
    }
    for (id, fields) in &after {
        if !before.contains_key(id) {
            changes.push(change(id, Action::Added, &Fields::new(), fields));
        }
    }
    changes.sort_by(|left, right| (left.kind, &left.name).cmp(&(right.kind, &right.name)));
    changes
}

fn change(
    (kind, name): &(&'static str, Box<str>),
    action: Action,
    old: &Fields,
    new: &Fields,
) -> Change {
    let keys: std::collections::BTreeSet<_> = old.keys().chain(new.keys()).copied().collect();
    let fields = keys
        .into_iter()
        .filter(|key| old.get(key) != new.get(key))
        .map(|key| Field {
            key,
            old: old.get(key).cloned(),
            new: new.get(key).cloned(),
        })
        .collect();
    Change {
        kind,
        name: name.clone(),
        action,
        fields,
    }
}

fn items(snapshot: &Snapshot) -> Items {
    let mut items = Items::new();
    let mut add = |kind, name: &str, fields| {
        items.insert((kind, name.into()), fields);
    };
    add("deployment", &snapshot.name, Fields::new());
    for data_centre in snapshot.data_centres.values() {
        let rate = data_centre.weight_rate;
        let fields = [
            field("region", &data_centre.region),
            field("weight_rate", rate),
        ];
        let fields = Fields::from(fields);
        add("data_centre", &data_centre.name, fields);
    }
    for vm in snapshot.vms.values() {
        let data_centre = data_centre_name(snapshot, vm.data_centre);
        let fields = [field("data_centre", data_centre), field("inner", vm.inner)];
        add("vm", &vm.name, Fields::from(fields));
    }
    for model in snapshot.models.values() {
        add("model", &model.name, model_fields(snapshot, model));
    }
    for target in snapshot.targets.values() {
        add("target", &target.name, target_fields(snapshot, target));
    }
    for customer in snapshot.customers.values() {
        add("customer", &customer.name, customer_fields(customer));
    }
    for service in snapshot.services.values() {
        add("service", &service.name, service_fields(snapshot, service));
        for (position, class) in service.classes.iter().enumerate() {
            let name = format!("{} {}", service.name, class.name);
            add("class", &name, class_fields(class, position));
        }
        for (position, route) in service.routes.iter().enumerate() {
            let name = format!("{} {}", service.name, route.name);
            add("route", &name, route_fields(route, position));
        }
    }
    items
}

fn field(key: &'static str, value: impl Text) -> (&'static str, Box<str>) {
    (key, value.to_string().into())
}

fn data_centre_name(snapshot: &Snapshot, key: base::key::DataCentre) -> &str {
    let found = snapshot.data_centres.get(key);
    found.map_or("", |data_centre| &data_centre.name)
}

fn model_name(snapshot: &Snapshot, key: base::key::Model) -> &str {
    snapshot.models.get(key).map_or("", |model| &model.name)
}

fn model_fields(snapshot: &Snapshot, model: &Model) -> Fields {
    let mut fields = Fields::from([
        field("version", &model.version),
        field("weight", format_size(model.weight)),
        field("copies", model.copies),
    ]);
    fields.extend(
        model
            .base
            .map(|base| field("base", model_name(snapshot, base))),
    );
    fields
}

fn target_fields(snapshot: &Snapshot, target: &Target) -> Fields {
    let service = snapshot.services.get(target.service);
    let data_centre = data_centre_name(snapshot, target.data_centre);
    Fields::from([
        field("service", service.map_or("", |service| &service.name)),
        field("data_centre", data_centre),
        field("address", target.address),
        field("fencing", target.fencing),
        field("memory_tokens", target.memory_tokens),
        field("weights", format_size(target.weights)),
        field("concurrency", target.concurrency),
    ])
}

fn customer_fields(customer: &Customer) -> Fields {
    let digest = customer.key_sha256.iter().take(DIGEST_BYTES_SHOWN);
    let digest: Vec<_> = digest.map(|byte| format!("{byte:02x}")).collect();
    let mut fields = Fields::from([
        field("key_sha256", format_args!("{}…", digest.concat())),
        field("weight", customer.weight),
    ]);
    let rate = customer.rate;
    fields.extend(rate.map(|rate| field("rate", format_args!("{rate}/s"))));
    let concurrency = customer.concurrency;
    fields.extend(concurrency.map(|number| field("concurrency", number)));
    fields
}

/// Leading bytes of a customer's digest that are shown.
const DIGEST_BYTES_SHOWN: usize = 8;

fn service_fields(snapshot: &Snapshot, service: &Service) -> Fields {
    let models = service.models.iter();
    let models: Vec<_> = models.map(|key| model_name(snapshot, *key)).collect();
    Fields::from([
        field("kind", service.kind),
        field("deadline", humantime::format_duration(service.deadline)),
        field("pace", humantime::format_duration(service.pace)),
        field("retry_share", service.retry_share),
        field("body_limit", format_size(service.body_limit)),
        field("models", models.join(", ")),
    ])
}

fn class_fields(class: &Class, position: usize) -> Fields {
    Fields::from([
        field("position", position + 1),
        field("priority", class.priority),
        field("deadline", humantime::format_duration(class.deadline)),
        field("max_tokens", class.max_tokens),
        field("headroom", class.headroom),
    ])
}

fn route_fields(route: &Route, position: usize) -> Fields {
    let mut fields = Fields::from([
        field("position", position + 1),
        field("path", &route.path),
        field("idempotent", if route.idempotent { "yes" } else { "no" }),
    ]);
    fields.extend(route.method.as_ref().map(|method| field("method", method)));
    fields
}
