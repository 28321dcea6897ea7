//! From the published INI value to a [`Snapshot`], as a whole or not at all.

mod check;
mod customer;
mod service;

use {
    crate::{
        Fault, Snapshot, Source,
        deployment::{DataCentre, Fencing, Model, Target, Vm},
        ini::{Reader, Section},
        source, unit, value,
    },
    base::{arena::Arena, key},
    sha2::{Digest, Sha256},
    std::{
        cell::RefCell,
        collections::{HashMap, HashSet},
        hash::Hash,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Default time to answer in full.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);
/// Default longest wait without a token that does not count as a stall.
pub const DEFAULT_PACE: Duration = Duration::from_millis(250);
/// Default share of first attempts that may be retried.
pub const DEFAULT_RETRY_SHARE: f64 = 0.1;
/// Default bytes a second that the weight store gives to a data centre.
pub const DEFAULT_WEIGHT_RATE: u64 = 1 << 30;
/// Default largest request body in bytes.
pub const DEFAULT_BODY_LIMIT: u64 = 1 << 20;
/// Default most output tokens of one request.
pub const DEFAULT_MAX_TOKENS: u32 = 32_768;
/// Default most requests at once on a target.
pub const DEFAULT_CONCURRENCY: u32 = 64;

/// Largest value that the configuration service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Kinds of section.
const KINDS: [&str; 10] = [
    "deployment",
    "data_centre",
    "vm",
    "model",
    "service",
    "class",
    "route",
    "target",
    "customer",
    "customers",
];
/// Stands in for an address that is missing or malformed.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// Most names that a fault lists as permitted.
const NAMES_SHOWN: usize = 20;

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
    let parser = Parser::new(&sections, &faults);
    let snapshot = parser.snapshot(value);
    let mut faults = faults.into_inner();
    if faults.is_empty() {
        return Ok(snapshot);
    }
    let position = |fault: &Fault| sources.iter().position(|source| source.file == fault.file);
    faults.sort_by_key(|fault| (position(fault), fault.line));
    Err(faults)
}

/// Reads sections, whatever file each stands in, and collects faults.
struct Parser<'a> {
    sections: &'a [Section],
    faults: &'a RefCell<Vec<Fault>>,
    names: HashMap<&'a str, HashSet<&'a str>>,
}

impl<'a> Parser<'a> {
    fn new(sections: &'a [Section], faults: &'a RefCell<Vec<Fault>>) -> Self {
        let mut names: HashMap<_, HashSet<_>> = HashMap::new();
        for section in sections {
            names
                .entry(&*section.kind)
                .or_default()
                .insert(&*section.name);
        }
        Self {
            sections,
            faults,
            names,
        }
    }

    fn snapshot(&self, text: &str) -> Snapshot {
        let mut snapshot = Snapshot {
            digest: Sha256::digest(text.as_bytes()).into(),
            value: text.into(),
            ..Snapshot::default()
        };
        self.check_kinds();
        self.read_deployment(&mut snapshot);
        snapshot.data_centres = self.arena("data_centre", key::DataCentre::of, Self::data_centre);
        snapshot.models = self.arena("model", key::Model::of, Self::model);
        snapshot.services = self.arena("service", key::Service::of, Self::service);
        snapshot.vms = self.arena("vm", key::Vm::of, Self::vm);
        snapshot.targets = self.arena("target", key::Target::of, Self::target);
        let mut customers = self.arena("customer", key::Customer::of, Self::customer);
        self.read_customers(&mut customers);
        snapshot.customers = Arc::new(customers);
        self.read_classes(&mut snapshot);
        self.read_routes(&mut snapshot);
        self.check(&snapshot);
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

    /// Notes a fault of the deployment as a whole.
    fn reject(&self, section: &str, message: &str, permitted: &str) {
        self.faults.borrow_mut().push(Fault {
            file: Box::default(),
            line: 0,
            section: section.into(),
            key: Box::default(),
            message: message.into(),
            permitted: permitted.into(),
        });
    }

    fn check_kinds(&self) {
        for section in self.sections {
            if !KINDS.contains(&&*section.kind) {
                let reader = self.reader(section);
                reader.reject("", "the section is unknown", &KINDS.join(", "));
            }
        }
    }

    fn read_deployment(&self, snapshot: &mut Snapshot) {
        const PERMITTED: &str = "one [deployment] section with name and version";
        let mut sections = self.of_kind("deployment");
        let Some(section) = sections.next() else {
            self.reject("deployment", "the section is missing", PERMITTED);
            return;
        };
        let reader = self.reader(section);
        snapshot.name = reader.required("name", value::NAME, value::name);
        snapshot.version = reader.required("version", value::POSITIVE, value::version);
        reader.finish();
        for section in sections {
            let reader = self.reader(section);
            reader.reject("", "the section is given twice", PERMITTED);
        }
    }

    /// Reads the sections of a kind into an arena; names must be well formed and differ.
    fn arena<K, V>(
        &self,
        kind: &'static str,
        key_of: impl Fn(&str) -> K,
        read: impl Fn(&Self, &'a Section, &Reader<'a>) -> V,
    ) -> Arena<K, V>
    where
        K: Copy + Eq + Hash,
    {
        let mut arena = Arena::default();
        for section in self.of_kind(kind) {
            let reader = self.reader(section);
            if section.name.is_empty() {
                reader.reject("", "the section has no name", &format!("[{kind} NAME]"));
            } else if let Err(permitted) = value::name_of(kind, &section.name) {
                let message = format!("`{}` is not a permitted name", section.name);
                reader.reject("", &message, permitted);
            }
            let item = read(self, section, &reader);
            reader.finish();
            if arena.insert(key_of(&section.name), item).is_some() {
                self.reject_repeat(kind, section);
            }
        }
        arena
    }

    /// Notes that the key of a section's name is taken: by the same name or by another.
    fn reject_repeat(&self, kind: &'static str, section: &'a Section) {
        let same = self
            .of_kind(kind)
            .filter(|other| other.name == section.name)
            .count();
        let reader = self.reader(section);
        if same > 1 {
            reader.reject("", "the name is given twice", "each name once");
        } else {
            reader.reject("", "the name's key collides with another's", "another name");
        }
    }

    #[expect(clippy::unused_self, reason = "all readers of sections have one shape")]
    fn data_centre(&self, section: &'a Section, reader: &Reader<'a>) -> DataCentre {
        DataCentre {
            name: section.name.clone(),
            region: reader.required("region", value::NAME, value::name),
            weight_rate: reader
                .optional("weight_rate", unit::size)
                .unwrap_or(DEFAULT_WEIGHT_RATE),
        }
    }

    fn vm(&self, section: &'a Section, reader: &Reader<'a>) -> Vm {
        Vm {
            name: section.name.clone(),
            data_centre: self.data_centre_of(reader),
            inner: reader.required_or("inner", value::ADDRESS, NO_ADDRESS, value::address),
        }
    }

    fn data_centre_of(&self, reader: &Reader<'a>) -> key::DataCentre {
        let name = reader.required("data_centre", "a [data_centre]", value::text);
        self.check_name(reader, "data_centre", "data_centre", &name);
        key::DataCentre::of(&name)
    }

    fn model(&self, section: &'a Section, reader: &Reader<'a>) -> Model {
        let base = reader.optional("base", value::text);
        if let Some(base) = &base {
            self.check_name(reader, "base", "model", base);
        }
        Model {
            name: section.name.clone(),
            version: reader.required("version", value::NAME, value::name),
            base: base.map(|base| key::Model::of(&base)),
            weight: reader.required("weight", "a size with a unit, such as 16GiB", unit::size),
            copies: reader.optional("copies", value::number).unwrap_or(1),
        }
    }

    fn target(&self, section: &'a Section, reader: &Reader<'a>) -> Target {
        let service = reader.required("service", "a [service]", value::text);
        self.check_name(reader, "service", "service", &service);
        Target {
            name: section.name.clone(),
            service: key::Service::of(&service),
            data_centre: self.data_centre_of(reader),
            address: reader.required_or("address", value::ADDRESS, NO_ADDRESS, value::address),
            fencing: reader
                .optional("fencing", value::fencing)
                .unwrap_or(Fencing::Ignored),
            memory_tokens: reader.optional("memory_tokens", value::number).unwrap_or(0),
            weights: reader.optional("weights", unit::size).unwrap_or(0),
            concurrency: reader
                .optional("concurrency", value::positive)
                .unwrap_or(DEFAULT_CONCURRENCY),
        }
    }

    /// Notes a fault if no section of the kind has the name.
    fn check_name(&self, reader: &Reader<'a>, key: &'static str, kind: &'static str, name: &str) {
        let known = self.names.get(kind);
        if name.is_empty() || known.is_some_and(|names| names.contains(name)) {
            return;
        }
        let mut names: Vec<_> = self
            .of_kind(kind)
            .map(|section| &*section.name)
            .take(NAMES_SHOWN + 1)
            .collect();
        if names.len() > NAMES_SHOWN {
            names[NAMES_SHOWN] = "…";
        }
        let permitted = if names.is_empty() {
            format!("the name of a [{kind} NAME], of which there is none")
        } else {
            names.join(", ")
        };
        reader.reject(key, &format!("there is no [{kind} {name}]"), &permitted);
    }
}
