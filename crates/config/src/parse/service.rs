//! Services with their classes and routes.

use {
    super::{
        DEFAULT_BODY_LIMIT, DEFAULT_DEADLINE, DEFAULT_MAX_TOKENS, DEFAULT_PACE,
        DEFAULT_RETRY_SHARE, Parser,
    },
    crate::{
        Snapshot,
        deployment::{Class, Kind, Route, Service},
        ini::{Reader, Section},
        unit, value,
    },
    base::key,
};

impl<'a> Parser<'a> {
    pub(super) fn service(&self, section: &'a Section, reader: &Reader<'a>) -> Service {
        let models = reader.optional("models", value::list).unwrap_or_default();
        for model in &models {
            self.check_name(reader, "models", "model", model);
        }
        Service {
            name: section.name.clone(),
            kind: reader.required_or("kind", value::KIND, Kind::Plain, value::kind),
            deadline: reader
                .optional("deadline", value::duration)
                .unwrap_or(DEFAULT_DEADLINE),
            pace: reader
                .optional("pace", value::duration)
                .unwrap_or(DEFAULT_PACE),
            retry_share: reader
                .optional("retry_share", unit::share)
                .unwrap_or(DEFAULT_RETRY_SHARE),
            body_limit: reader
                .optional("body_limit", unit::size)
                .unwrap_or(DEFAULT_BODY_LIMIT),
            classes: Vec::new(),
            routes: Vec::new(),
            models: models.iter().map(|name| key::Model::of(name)).collect(),
        }
    }

    pub(super) fn read_classes(&self, snapshot: &mut Snapshot) {
        for section in self.of_kind("class") {
            let reader = self.reader(section);
            let part = self.service_part(section, &reader);
            let deadline = reader.optional("deadline", value::duration);
            let mut class = Class {
                name: part.map_or("", |(_, name)| name).into(),
                priority: reader.optional("priority", value::priority).unwrap_or(0),
                deadline: deadline.unwrap_or(DEFAULT_DEADLINE),
                max_tokens: reader
                    .optional("max_tokens", value::positive)
                    .unwrap_or(DEFAULT_MAX_TOKENS),
                headroom: reader.optional("headroom", unit::share).unwrap_or(0.0),
            };
            reader.finish();
            let Some(service) = part.and_then(|(key, _)| snapshot.services.get_mut(key)) else {
                continue;
            };
            class.deadline = deadline.unwrap_or(service.deadline);
            if service.classes.iter().any(|other| other.name == class.name) {
                self.reader(section)
                    .reject("", "the class is given twice", "each name once");
            }
            service.classes.push(class);
        }
        for (_, service) in snapshot.services.iter_mut() {
            if service.classes.is_empty() {
                service.classes.push(default_class(service));
            }
        }
    }

    pub(super) fn read_routes(&self, snapshot: &mut Snapshot) {
        for section in self.of_kind("route") {
            let reader = self.reader(section);
            let part = self.service_part(section, &reader);
            let route = Route {
                name: part.map_or("", |(_, name)| name).into(),
                method: reader.optional("method", value::method),
                path: reader.required("path", value::PATH, value::path),
                idempotent: reader.required("idempotent", "yes or no", unit::flag),
            };
            reader.finish();
            let Some(service) = part.and_then(|(key, _)| snapshot.services.get_mut(key)) else {
                continue;
            };
            if service.kind == Kind::Model {
                let message = "the engines of a model service take no routes";
                self.reader(section)
                    .reject("", message, "routes of services with kind = plain");
            }
            if service.routes.iter().any(|other| other.name == route.name) {
                self.reader(section)
                    .reject("", "the route is given twice", "each name once");
            }
            service.routes.push(route);
        }
    }

    /// Splits `[class SERVICE NAME]` into the key of its service and its own name.
    fn service_part(
        &self,
        section: &'a Section,
        reader: &Reader<'a>,
    ) -> Option<(key::Service, &'a str)> {
        let Some((service, name)) = section.name.split_once(' ') else {
            let permitted = format!("[{} SERVICE NAME]", section.kind);
            reader.reject("", "the section needs a service and a name", &permitted);
            return None;
        };
        self.check_name(reader, "", "service", service);
        let name = name.trim();
        if let Err(permitted) = value::name(name) {
            let message = format!("`{name}` is not a permitted name");
            reader.reject("", &message, permitted);
        }
        Some((key::Service::of(service), name))
    }
}

/// Returns the class of a service that names none.
fn default_class(service: &Service) -> Class {
    Class {
        name: "default".into(),
        priority: 0,
        deadline: service.deadline,
        max_tokens: DEFAULT_MAX_TOKENS,
        headroom: 0.0,
    }
}
