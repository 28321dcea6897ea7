//! From the published INI value to a [`Snapshot`], as a whole or not at all.

use {
    crate::{
        Fault, Snapshot, Source,
        deployment::{
            Class, Customer, DataCentre, Fencing, Kind, Model, Route, Service, Target, Vm,
        },
        ini::{Reader, Section},
        source, unit,
    },
    base::{arena::Arena, key},
    sha2::{Digest, Sha256},
    std::{cell::RefCell, hash::Hash, time::Duration},
};

/// Default time to answer in full.
pub const DEADLINE: Duration = Duration::from_secs(120);
/// Default longest wait without a token that does not count as a stall.
pub const PACE: Duration = Duration::from_millis(250);
/// Default share of first attempts that may be retried.
pub const RETRY_SHARE: f64 = 0.1;
/// Default largest request body in bytes.
pub const BODY_LIMIT: u64 = 1 << 20;
/// Default most output tokens of one request.
pub const MAX_TOKENS: u32 = 32_768;
/// Default most requests at once on a target.
pub const CONCURRENCY: u32 = 64;

const TEXT: &str = "a name";
const ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:9000";

/// Reads and checks a published value.
///
/// # Errors
/// Returns every fault that was found, in the order of the lines.
pub fn snapshot(file: &str, text: &str) -> Result<Snapshot, Vec<Fault>> {
    read(&[Source::new(file, text)], text)
}

/// Reads and checks the files of a deployment together, as the one value to publish.
///
/// # Errors
/// Returns every fault that was found, in the order of the files and their lines. Faults of the
/// syntax come alone, since they hide what else is in a file.
pub fn deployment(sources: &[Source]) -> Result<Snapshot, Vec<Fault>> {
    read(sources, &source::render(sources))
}

fn read(sources: &[Source], value: &str) -> Result<Snapshot, Vec<Fault>> {
    let sections = source::sections(sources)?;
    let faults = RefCell::default();
    let parser = Parser {
        sections: &sections,
        faults: &faults,
    };
    let snapshot = parser.snapshot(value);
    let mut faults = faults.into_inner();
    if faults.is_empty() {
        return Ok(snapshot);
    }
    let position = |fault: &Fault| sources.iter().position(|source| source.file == fault.file);
    faults.sort_by_key(|fault| (position(fault), fault.line));
    Err(faults)
}

struct Parser<'a> {
    sections: &'a [Section],
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Parser<'a> {
    fn snapshot(&self, text: &str) -> Snapshot {
        let mut snapshot = Snapshot {
            digest: Sha256::digest(text.as_bytes()).into(),
            value: text.into(),
            ..Snapshot::default()
        };
        self.check_kinds();
        self.read_deployment(&mut snapshot);
        snapshot.data_centres =
            self.arena("data_centre", key::DataCentre::of, |_, section, reader| {
                Self::data_centre(section, reader)
            });
        snapshot.models = self.arena("model", key::Model::of, Self::model);
        snapshot.services = self.arena("service", key::Service::of, Self::service);
        snapshot.vms = self.arena("vm", key::Vm::of, Self::vm);
        snapshot.targets = self.arena("target", key::Target::of, Self::target);
        snapshot.customers = self.arena("customer", key::Customer::of, |_, section, reader| {
            Self::customer(section, reader)
        });
        self.read_classes(&mut snapshot);
        self.read_routes(&mut snapshot);
        self.check_references(&snapshot);
        snapshot
    }

    fn of_kind(&self, kind: &'static str) -> impl Iterator<Item = &'a Section> + use<'a> {
        self.sections
            .iter()
            .filter(move |section| &*section.kind == kind)
    }

    fn reader(&self, section: &'a Section) -> Reader<'a> {
        Reader::new(&section.file, section, self.faults)
    }

    fn check_kinds(&self) {
        const KINDS: [&str; 9] = [
            "deployment",
            "data_centre",
            "vm",
            "model",
            "service",
            "class",
            "route",
            "target",
            "customer",
        ];
        for section in self.sections {
            if !KINDS.contains(&&*section.kind) {
                self.reader(section)
                    .reject("", "the section is unknown", &KINDS.join(", "));
            }
        }
    }

    fn read_deployment(&self, snapshot: &mut Snapshot) {
        let Some(section) = self.of_kind("deployment").next() else {
            self.faults.borrow_mut().push(Fault {
                file: Box::default(),
                line: 0,
                section: "deployment".into(),
                key: Box::default(),
                message: "the section is missing".into(),
                permitted: "one [deployment] section with name and version".into(),
            });
            return;
        };
        let reader = self.reader(section);
        snapshot.name = reader.required("name", TEXT, text);
        snapshot.version = reader.required("version", "a number from 1", number);
        reader.finish();
    }

    /// Reads the sections of a kind into an arena; a name given twice is a fault.
    fn arena<K: Copy + Eq + Hash, V>(
        &self,
        kind: &'static str,
        key_of: impl Fn(&str) -> K,
        read: impl Fn(&Self, &Section, &Reader<'a>) -> V,
    ) -> Arena<K, V> {
        let mut arena = Arena::default();
        for section in self.of_kind(kind) {
            let reader = self.reader(section);
            if section.name.is_empty() {
                reader.reject("", "the section has no name", &format!("[{kind} NAME]"));
            }
            let value = read(self, section, &reader);
            if arena.insert(key_of(&section.name), value).is_some() {
                reader.reject("", "the name is given twice", "each name once");
            }
            reader.finish();
        }
        arena
    }

    fn data_centre(section: &Section, reader: &Reader<'a>) -> DataCentre {
        DataCentre {
            name: section.name.clone(),
            region: reader.required("region", TEXT, text),
        }
    }

    fn vm(&self, section: &Section, reader: &Reader<'a>) -> Vm {
        Vm {
            name: section.name.clone(),
            data_centre: self.data_centre_of(reader),
            inner: reader
                .optional("inner", address)
                .unwrap_or_else(|| missing_address(reader, "inner")),
        }
    }

    fn data_centre_of(&self, reader: &Reader<'a>) -> key::DataCentre {
        let name = reader.required("data_centre", TEXT, text);
        self.check_name(reader, "data_centre", "data_centre", &name);
        key::DataCentre::of(&name)
    }

    fn model(&self, section: &Section, reader: &Reader<'a>) -> Model {
        let base = reader.optional("base", text);
        if let Some(base) = &base {
            self.check_name(reader, "base", "model", base);
        }
        Model {
            name: section.name.clone(),
            version: reader.required("version", TEXT, text),
            base: base.map(|base| key::Model::of(&base)),
            weight: reader.required("weight", "a size with a unit, such as 16GiB", unit::size),
            copies: reader.optional("copies", number).unwrap_or(1),
        }
    }

    fn service(&self, section: &Section, reader: &Reader<'a>) -> Service {
        let models = reader.optional("models", list).unwrap_or_default();
        for model in &models {
            self.check_name(reader, "models", "model", model);
        }
        Service {
            name: section.name.clone(),
            kind: reader.optional("kind", kind).unwrap_or_else(|| {
                reader.required("kind", "model or plain", |_| Ok::<_, &str>(()));
                Kind::Plain
            }),
            deadline: reader
                .optional("deadline", unit::duration)
                .unwrap_or(DEADLINE),
            pace: reader.optional("pace", unit::duration).unwrap_or(PACE),
            retry_share: reader
                .optional("retry_share", unit::share)
                .unwrap_or(RETRY_SHARE),
            body_limit: reader
                .optional("body_limit", unit::size)
                .unwrap_or(BODY_LIMIT),
            classes: Vec::new(),
            routes: Vec::new(),
            models: models.iter().map(|name| key::Model::of(name)).collect(),
        }
    }

    fn target(&self, section: &Section, reader: &Reader<'a>) -> Target {
        let service = reader.required("service", TEXT, text);
        self.check_name(reader, "service", "service", &service);
        Target {
            name: section.name.clone(),
            service: key::Service::of(&service),
            data_centre: self.data_centre_of(reader),
            address: reader
                .optional("address", address)
                .unwrap_or_else(|| missing_address(reader, "address")),
            fencing: reader
                .optional("fencing", fencing)
                .unwrap_or(Fencing::Ignored),
            memory_tokens: reader.optional("memory_tokens", number).unwrap_or(0),
            weights: reader.optional("weights", unit::size).unwrap_or(0),
            concurrency: reader
                .optional("concurrency", number)
                .unwrap_or(CONCURRENCY),
        }
    }

    fn customer(section: &Section, reader: &Reader<'a>) -> Customer {
        Customer {
            name: section.name.clone(),
            key_sha256: reader.required("key_sha256", DIGEST, digest),
            weight: reader.optional("weight", positive).unwrap_or(1),
            rate: reader.optional("rate", rate),
            concurrency: reader.optional("concurrency", positive),
        }
    }

    fn read_classes(&self, snapshot: &mut Snapshot) {
        for section in self.of_kind("class") {
            let reader = self.reader(section);
            let Some((service, name)) = self.service_part(section, &reader, snapshot) else {
                continue;
            };
            let class = Class {
                name: name.into(),
                priority: reader.optional("priority", number).unwrap_or(0),
                deadline: reader
                    .optional("deadline", unit::duration)
                    .unwrap_or(service.deadline),
                max_tokens: reader
                    .optional("max_tokens", positive)
                    .unwrap_or(MAX_TOKENS),
                headroom: reader.optional("headroom", unit::share).unwrap_or(0.0),
            };
            service.classes.push(class);
            reader.finish();
        }
        let keys: Vec<_> = snapshot.services.keys().collect();
        for service in keys {
            let Some(service) = snapshot.services.get_mut(service) else {
                continue;
            };
            if service.classes.is_empty() {
                service.classes.push(Class {
                    name: "default".into(),
                    priority: 0,
                    deadline: service.deadline,
                    max_tokens: MAX_TOKENS,
                    headroom: 0.0,
                });
            }
        }
    }

    fn read_routes(&self, snapshot: &mut Snapshot) {
        for section in self.of_kind("route") {
            let reader = self.reader(section);
            let Some((service, name)) = self.service_part(section, &reader, snapshot) else {
                continue;
            };
            let route = Route {
                name: name.into(),
                method: reader.optional("method", text),
                path: reader.required("path", "a path that begins with /", path),
                idempotent: reader.required("idempotent", "yes or no", unit::flag),
            };
            service.routes.push(route);
            reader.finish();
        }
    }

    /// Splits `[class SERVICE NAME]` and finds the service.
    fn service_part<'s>(
        &self,
        section: &'a Section,
        reader: &Reader<'a>,
        snapshot: &'s mut Snapshot,
    ) -> Option<(&'s mut Service, &'a str)> {
        let Some((service, name)) = section.name.split_once(' ') else {
            reader.reject("", "the section names no service", "[KIND SERVICE NAME]");
            return None;
        };
        self.check_name(reader, "", "service", service);
        let service = snapshot.services.get_mut(key::Service::of(service))?;
        Some((service, name.trim()))
    }

    /// Notes a fault if no section of the kind has the name.
    fn check_name(&self, reader: &Reader<'a>, key: &'static str, kind: &'static str, name: &str) {
        if name.is_empty() || self.of_kind(kind).any(|section| &*section.name == name) {
            return;
        }
        let names: Vec<_> = self.of_kind(kind).map(|section| &*section.name).collect();
        let message = format!("there is no [{kind} {name}]");
        reader.reject(key, &message, &names.join(", "));
    }

    fn check_references(&self, snapshot: &Snapshot) {
        for section in self.of_kind("target") {
            let Some(target) = snapshot.targets.get(key::Target::of(&section.name)) else {
                continue;
            };
            let Some(service) = snapshot.services.get(target.service) else {
                continue;
            };
            if service.kind == Kind::Model && target.memory_tokens == 0 {
                let reader = self.reader(section);
                reader.reject(
                    "memory_tokens",
                    "a model engine needs it",
                    "a number from 1",
                );
            }
        }
    }
}

const DIGEST: &str = "64 hexadecimal digits";

fn missing_address(reader: &Reader<'_>, key: &'static str) -> std::net::SocketAddr {
    let none: Box<str> = reader.required(key, ADDRESS, |_| Ok::<_, &str>(Box::default()));
    debug_assert!(none.is_empty());
    std::net::SocketAddr::from(([0, 0, 0, 0], 0))
}

fn text(value: &str) -> Result<Box<str>, &'static str> {
    if value.is_empty() {
        return Err(TEXT);
    }
    Ok(value.into())
}

fn path(value: &str) -> Result<Box<str>, &'static str> {
    if value.starts_with('/') {
        return Ok(value.into());
    }
    Err("a path that begins with /")
}

fn list(value: &str) -> Result<Vec<Box<str>>, &'static str> {
    value.split(',').map(str::trim).map(text).collect()
}

fn number<T: std::str::FromStr>(value: &str) -> Result<T, &'static str> {
    value.parse().map_err(|_error| "a whole number")
}

fn positive(value: &str) -> Result<u32, &'static str> {
    match value.parse() {
        Ok(value) if value > 0 => Ok(value),
        _ => Err("a whole number from 1"),
    }
}

fn rate(value: &str) -> Result<f64, &'static str> {
    let number = value.strip_suffix("/s").unwrap_or("").trim();
    match number.parse::<f64>() {
        Ok(value) if value > 0.0 && value.is_finite() => Ok(value),
        _ => Err("a rate with its unit, such as 20/s"),
    }
}

fn address(value: &str) -> Result<std::net::SocketAddr, &'static str> {
    value.parse().map_err(|_error| ADDRESS)
}

fn kind(value: &str) -> Result<Kind, &'static str> {
    match value {
        "model" => Ok(Kind::Model),
        "plain" => Ok(Kind::Plain),
        _ => Err("model or plain"),
    }
}

fn fencing(value: &str) -> Result<Fencing, &'static str> {
    match value {
        "checked" => Ok(Fencing::Checked),
        "ignored" => Ok(Fencing::Ignored),
        _ => Err("checked or ignored"),
    }
}

fn digest(value: &str) -> Result<[u8; 32], &'static str> {
    let mut digest = [0; 32];
    if value.len() != 64 || !value.is_ascii() {
        return Err(DIGEST);
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        let pair = &value[index * 2..index * 2 + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(|_error| DIGEST)?;
    }
    Ok(digest)
}
