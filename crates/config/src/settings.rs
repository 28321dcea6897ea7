//! Process settings of one entry VM, each section in a file of its own.

mod keys;
mod limits;
mod listen;
mod log;
mod platform;
mod records;
mod routing;
mod vm;

pub use {
    keys::Keys, limits::Limits, listen::Listen, log::Log, platform::Platform, records::Records,
    routing::Routing, vm::Vm,
};

use {
    crate::{
        Fault, Snapshot, Source,
        ini::{Reader, sections},
    },
    base::key,
    std::{cell::RefCell, collections::HashSet, fmt::Debug},
};

/// The sections, as [`Settings::section`] finds them.
const KINDS: [&str; 8] = [
    "vm", "listen", "platform", "keys", "log", "limits", "routing", "records",
];
/// The sections that have no default.
const REQUIRED: [&str; 2] = ["vm", "keys"];

/// One section of the settings.
pub(crate) trait Section: Debug {
    /// Reads the keys that are given; the others keep their defaults.
    fn read(&mut self, reader: &Reader<'_>);
}

/// Settings of one process; each default stands in the `Default` of its section.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// `[vm]`
    pub vm: Vm,
    /// `[listen]`
    pub listen: Listen,
    /// `[platform]`
    pub platform: Platform,
    /// `[keys]`
    pub keys: Keys,
    /// `[log]`
    pub log: Log,
    /// `[limits]`
    pub limits: Limits,
    /// `[routing]`
    pub routing: Routing,
    /// `[records]`
    pub records: Records,
}

impl Settings {
    fn section(&mut self, kind: &str) -> Option<&mut dyn Section> {
        match kind {
            "vm" => Some(&mut self.vm),
            "listen" => Some(&mut self.listen),
            "platform" => Some(&mut self.platform),
            "keys" => Some(&mut self.keys),
            "log" => Some(&mut self.log),
            "limits" => Some(&mut self.limits),
            "routing" => Some(&mut self.routing),
            "records" => Some(&mut self.records),
            _ => None,
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns every fault that was found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let sections = sections(file, text)?;
    let faults = RefCell::default();
    let mut settings = Settings::default();
    let mut kinds = HashSet::new();
    for section in &sections {
        let reader = Reader::new(file, section, &faults);
        if !kinds.insert(&section.kind) {
            reader.reject("", "the section is given twice", "each section once");
        }
        let Some(place) = settings.section(&section.kind) else {
            reader.reject("", "the section is unknown", &KINDS.join(", "));
            continue;
        };
        place.read(&reader);
        reader.finish();
    }
    for required in REQUIRED {
        if !sections.iter().any(|section| &*section.kind == required) {
            faults.borrow_mut().push(Fault {
                file: file.into(),
                line: 0,
                section: required.into(),
                key: Box::default(),
                message: "the section is missing".into(),
                permitted: KINDS.join(", ").into(),
            });
        }
    }
    let faults = faults.into_inner();
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(faults)
}

/// Compares valid settings with the deployment that the VM is part of.
pub fn check(source: &Source, settings: &Settings, snapshot: &Snapshot) -> Vec<Fault> {
    let sections = sections(&source.file, &source.text).unwrap_or_default();
    let faults = RefCell::default();
    for section in sections.iter().filter(|section| &*section.kind == "vm") {
        let reader = Reader::new(&source.file, section, &faults);
        let Some(vm) = snapshot.vms.get(key::Vm::of(&settings.vm.name)) else {
            let message = format!("the deployment has no [vm {}]", settings.vm.name);
            reader.reject(
                "name",
                &message,
                "the name of a [vm NAME] of the deployment",
            );
            continue;
        };
        let data_centre = snapshot.data_centres.get(vm.data_centre);
        let name = data_centre.map_or("", |data_centre| &data_centre.name);
        if name != &*settings.vm.data_centre {
            let message = format!("the deployment puts {} into another data centre", vm.name);
            reader.reject("data_centre", &message, name);
        }
    }
    faults.into_inner()
}
