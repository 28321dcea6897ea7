//! Process settings of one entry VM.

use {
    crate::{
        Fault, Snapshot, Source,
        ini::{Reader, sections},
        unit, value,
    },
    base::key,
    derive_more::Debug,
    std::{
        cell::RefCell,
        collections::HashSet,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

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

/// Which VM this is.
#[derive(Clone, Debug, Default)]
pub struct Vm {
    /// Name, as in the deployment.
    pub name: Box<str>,
    /// Data centre, as in the deployment.
    pub data_centre: Box<str>,
    /// Addresses of other entry VMs to begin with, before a list is known.
    pub peers: Vec<SocketAddr>,
}

/// Addresses that the process listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Callers, HTTP.
    pub caller: SocketAddr,
    /// Entry VMs, TCP and UDP.
    pub inner: SocketAddr,
    /// Operators: health, metrics, status.
    pub admin: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            caller: address(8080),
            inner: address(8081),
            admin: address(8082),
        }
    }
}

/// Where the platform answers.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the configuration service and of the list of VMs.
    pub address: SocketAddr,
    /// Longest wait of a watch.
    pub watch: Duration,
    /// Time between two reads of the list of VMs.
    pub list_interval: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8090)),
            watch: Duration::from_secs(10),
            list_interval: Duration::from_secs(1),
        }
    }
}

/// Secrets, by file.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    /// File with the deployment's key, for the inner protocol and tokens.
    pub deployment: PathBuf,
}

/// Logs.
#[derive(Clone, Debug)]
pub struct Log {
    /// File to append to; standard output if `None`.
    pub file: Option<PathBuf>,
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Lines that may wait to be written; further ones are dropped and counted.
    pub queue: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            file: None,
            level: log::LevelFilter::Info,
            queue: 8192,
        }
    }
}

/// Routing.
#[derive(Clone, Debug)]
pub struct Routing {
    /// Name of the policy.
    pub policy: Box<str>,
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            policy: "predictive".into(),
        }
    }
}

/// Limits against slow and oversized callers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most connections of callers at once.
    pub connections: u32,
    /// Most bytes of the headers of a request.
    pub header_limit: u64,
    /// Longest time for a caller to send its headers.
    pub header_timeout: Duration,
    /// Longest time for a caller to send its body.
    pub body_timeout: Duration,
    /// Longest time without progress in sending to a caller.
    pub write_timeout: Duration,
    /// Longest time to connect to a target or a peer.
    pub connect_timeout: Duration,
    /// Longest time for a planned stop to wait for requests in flight.
    pub drain_timeout: Duration,
    /// Worker threads of the executor.
    pub threads: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_limit: 64 << 10,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(1),
            drain_timeout: Duration::from_secs(600),
            threads: 2,
        }
    }
}

/// Records of calls that run at most once; the times are the same on every entry VM.
#[derive(Clone, Debug)]
pub struct Records {
    /// Time for which results are kept, and for which a bare key means the same call.
    pub window: Duration,
    /// Time for which a ticket can be used.
    pub ticket_lifetime: Duration,
    /// Most records.
    pub limit: u32,
    /// Most bytes of answers in the records.
    pub size: u64,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            ticket_lifetime: Duration::from_secs(3600),
            limit: 65_536,
            size: 16 << 20,
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns every fault that was found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    const KINDS: &str = "vm, listen, platform, keys, log, limits, routing, records";
    let sections = sections(file, text)?;
    let faults = RefCell::default();
    let mut settings = Settings::default();
    let mut kinds = HashSet::new();
    for section in &sections {
        let reader = Reader::new(file, section, &faults);
        if !kinds.insert(&section.kind) {
            reader.reject("", "the section is given twice", "each section once");
        }
        match &*section.kind {
            "vm" => read_vm(&mut settings.vm, &reader),
            "listen" => read_listen(&mut settings.listen, &reader),
            "platform" => read_platform(&mut settings.platform, &reader),
            "keys" => read_keys(&mut settings.keys, &reader),
            "log" => read_log(&mut settings.log, &reader),
            "limits" => read_limits(&mut settings.limits, &reader),
            "routing" => read_routing(&mut settings.routing, &reader),
            "records" => read_records(&mut settings.records, &reader),
            _ => {
                reader.reject("", "the section is unknown", KINDS);
                continue;
            }
        }
        reader.finish();
    }
    for required in ["vm", "keys"] {
        if !sections.iter().any(|section| &*section.kind == required) {
            faults.borrow_mut().push(Fault {
                file: file.into(),
                line: 0,
                section: required.into(),
                key: Box::default(),
                message: "the section is missing".into(),
                permitted: KINDS.into(),
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
pub fn compare(source: &Source, settings: &Settings, snapshot: &Snapshot) -> Vec<Fault> {
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

fn set<T>(place: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *place = value;
    }
}

fn read_vm(vm: &mut Vm, reader: &Reader<'_>) {
    vm.name = reader.required("name", value::NAME, value::name);
    vm.data_centre = reader.required("data_centre", "a name", value::text);
    set(&mut vm.peers, reader.optional("peers", addresses));
}

fn read_listen(listen: &mut Listen, reader: &Reader<'_>) {
    set(
        &mut listen.caller,
        reader.optional("caller", value::address),
    );
    set(&mut listen.inner, reader.optional("inner", value::address));
    set(&mut listen.admin, reader.optional("admin", value::address));
}

fn read_platform(platform: &mut Platform, reader: &Reader<'_>) {
    set(
        &mut platform.address,
        reader.optional("address", value::address),
    );
    set(
        &mut platform.watch,
        reader.optional("watch", value::duration),
    );
    set(
        &mut platform.list_interval,
        reader.optional("list_interval", value::duration),
    );
}

fn read_keys(keys: &mut Keys, reader: &Reader<'_>) {
    keys.deployment = reader.required("deployment", "a path", file);
}

fn read_log(log: &mut Log, reader: &Reader<'_>) {
    log.file = reader.optional("file", file);
    set(&mut log.level, reader.optional("level", level));
    set(&mut log.queue, reader.optional("queue", value::positive));
}

fn read_limits(limits: &mut Limits, reader: &Reader<'_>) {
    set(
        &mut limits.connections,
        reader.optional("connections", value::positive),
    );
    set(
        &mut limits.header_limit,
        reader.optional("header_limit", header_limit),
    );
    set(
        &mut limits.header_timeout,
        reader.optional("header_timeout", value::duration),
    );
    set(
        &mut limits.body_timeout,
        reader.optional("body_timeout", value::duration),
    );
    set(
        &mut limits.write_timeout,
        reader.optional("write_timeout", value::duration),
    );
    set(
        &mut limits.connect_timeout,
        reader.optional("connect_timeout", value::duration),
    );
    set(
        &mut limits.drain_timeout,
        reader.optional("drain_timeout", value::duration),
    );
    set(
        &mut limits.threads,
        reader.optional("threads", value::positive),
    );
}

fn read_routing(routing: &mut Routing, reader: &Reader<'_>) {
    set(&mut routing.policy, reader.optional("policy", value::text));
}

fn read_records(records: &mut Records, reader: &Reader<'_>) {
    set(
        &mut records.window,
        reader.optional("window", value::duration),
    );
    set(
        &mut records.ticket_lifetime,
        reader.optional("ticket_lifetime", value::duration),
    );
    set(
        &mut records.limit,
        reader.optional("limit", value::positive),
    );
    set(&mut records.size, reader.optional("size", unit::size));
}

/// Parses the limit of headers; the HTTP library needs 8 KiB for itself.
fn header_limit(value: &str) -> Result<u64, Box<str>> {
    const PERMITTED: std::ops::RangeInclusive<u64> = 8 << 10..=1 << 20;
    match unit::size(value)? {
        size if PERMITTED.contains(&size) => Ok(size),
        _ => Err("a size from 8KiB to 1MiB".into()),
    }
}

fn file(value: &str) -> Result<PathBuf, &'static str> {
    if value.is_empty() {
        return Err("a path");
    }
    Ok(PathBuf::from(value))
}

fn addresses(value: &str) -> Result<Vec<SocketAddr>, &'static str> {
    value
        .split(',')
        .map(|item| value::address(item.trim()))
        .collect()
}

fn level(value: &str) -> Result<log::LevelFilter, &'static str> {
    value
        .parse()
        .map_err(|_error| "off, error, warn, info, debug or trace")
}
