//! Process settings of an entry VM, with a module per section.

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

/// Section names; each is handled by [`Settings::section`].
const KINDS: [&str; 8] = [
    "vm", "listen", "platform", "keys", "log", "limits", "routing", "records",
];
/// Sections that have no default.
const REQUIRED: [&str; 2] = ["vm", "keys"];

/// A section of the settings.
pub(crate) trait Section: Debug {
    /// Reads the keys that are set; all others keep their defaults.
    fn read(&mut self, reader: &Reader<'_>);
}

/// Settings of one process; the `Default` of each section holds its defaults.
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

/// Parses and validates a settings file.
///
/// # Errors
/// Returns all faults found.
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
        let Some(target) = settings.section(&section.kind) else {
            reader.reject("", "the section is unknown", &KINDS.join(", "));
            continue;
        };
        target.read(&reader);
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

/// Checks valid settings against the deployment that the VM belongs to and returns the faults.
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
