//! Settings of one gateway process.

use {
    crate::{
        Fault,
        ini::{Reader, sections},
        settings::Log,
        unit, value,
    },
    std::{
        cell::RefCell,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Sections of a settings file.
const KINDS: [&str; 9] = [
    "vm",
    "listen",
    "platform",
    "peers",
    "targets",
    "limits",
    "promises",
    "quarantine",
    "log",
];

/// `[vm]`: the VM that the process runs on.
#[derive(Clone, Debug, Default)]
pub struct Vm {
    /// Name of the VM.
    pub name: Box<str>,
    /// Name of its data centre.
    pub data_centre: Box<str>,
}

/// `[listen]`: addresses that the process listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// HTTP, for clients.
    pub clients: SocketAddr,
    /// HTTP, for readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// HTTP, for other entry VMs that request the configuration.
    pub control: SocketAddr,
    /// UDP, for reports of other entry VMs.
    pub peers: SocketAddr,
    /// HTTP, for metrics.
    pub metrics: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            clients: address(8740),
            readiness: address(8749),
            control: address(8748),
            peers: address(7200),
            metrics: address(7201),
        }
    }
}

/// `[platform]`: connection to the platform's key-value store.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the store.
    pub address: SocketAddr,
    /// Time for which the store keeps the changes of its entries.
    pub history: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8742)),
            history: Duration::from_secs(20),
        }
    }
}

/// `[targets]`: connections to targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Targets {
    /// Local address of the connections; the system chooses one if there is none.
    pub source: Option<Ipv4Addr>,
}

/// Maximum of `kept_places`: a place takes 40 bytes, and each arrival may look at all of them.
const MAX_KEPT_PLACES: u32 = 4_096;

/// `[limits]`: resource limits of the process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Number of threads that serve requests.
    pub threads: u32,
    /// Timeout to connect to a target; a connection normally takes a few milliseconds.
    pub connect_timeout: Duration,
    /// Rate of the VM's network link in Mbit/s; 0 if it is not known.
    pub link_mbps: f64,
    /// Memory that the process may use in MB of 2^20 bytes; 0 if it is not known.
    pub memory_mb: f64,
    /// Number of rejected requests whose clients keep a place for their return; 0 for none.
    pub kept_places: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            threads: 1,
            connect_timeout: Duration::from_millis(250),
            link_mbps: 0.0,
            memory_mb: 0.0,
            kept_places: 0,
        }
    }
}

/// `[promises]`: limits that the platform's operators set.
#[derive(Clone, Debug)]
pub struct Promises {
    /// Time from the stop signal to the exit of the process.
    pub grace: Duration,
    /// Retries permitted per request.
    pub retry_ratio: f64,
    /// Further retries permitted per window, for all VMs together.
    pub retry_extra: f64,
    /// Length of the window for retries.
    pub retry_window: Duration,
    /// Time after which no request may reach a data centre that the operator has cordoned; `None`
    /// if operators can't cordon any.
    pub cordon: Option<Duration>,
    /// Time for which a target that has failed a request is on probation, unless it serves one;
    /// `None` if targets never are.
    pub probation: Option<Duration>,
}

impl Default for Promises {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_extra: 10.0,
            retry_window: Duration::from_secs(10),
            cordon: None,
            probation: None,
        }
    }
}

/// `[quarantine]`: refusal of requests on which engines crash.
#[derive(Clone, Copy, Debug)]
pub struct Quarantine {
    /// Time for which a part of prompts is refused first; it doubles each time.
    pub duration: Duration,
    /// Upper bound of the time.
    pub max_duration: Duration,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(60),
            max_duration: Duration::from_secs(15 * 60),
        }
    }
}

/// Settings of one gateway process; the `Default` of each section holds its defaults.
#[derive(Clone, Debug, Default)]
pub struct Gateway {
    /// `[vm]`
    pub vm: Vm,
    /// `[listen]`
    pub listen: Listen,
    /// `[platform]`
    pub platform: Platform,
    /// `[peers]` `seeds`: addresses of VMs to contact first; only the IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// `[targets]`
    pub targets: Targets,
    /// `[limits]`
    pub limits: Limits,
    /// `[promises]`
    pub promises: Promises,
    /// `[quarantine]`
    pub quarantine: Quarantine,
    /// `[log]`
    pub log: Log,
}

/// Parses and validates a settings file.
///
/// # Errors
/// Returns all faults found.
pub fn parse(file: &str, text: &str) -> Result<Gateway, Vec<Fault>> {
    let sections = sections(file, text)?;
    let faults = RefCell::default();
    let mut settings = Gateway::default();
    for section in &sections {
        let reader = Reader::new(file, section, &faults);
        if sections
            .iter()
            .filter(|other| other.kind == section.kind)
            .count()
            > 1
        {
            reader.reject("", "the section is given twice", "each section once");
        }
        match &*section.kind {
            "vm" => settings.vm.read(&reader),
            "listen" => settings.listen.read(&reader),
            "platform" => settings.platform.read(&reader),
            "peers" => reader.update("seeds", &mut settings.seeds, addresses),
            "targets" => reader.update("source", &mut settings.targets.source, source),
            "limits" => settings.limits.read(&reader),
            "promises" => settings.promises.read(&reader),
            "quarantine" => settings.quarantine.read(&reader),
            "log" => crate::settings::Section::read(&mut settings.log, &reader),
            _ => reader.reject("", "the section is unknown", &KINDS.join(", ")),
        }
        if KINDS.contains(&&*section.kind) {
            reader.finish();
        }
    }
    if !sections.iter().any(|section| &*section.kind == "vm") {
        faults.borrow_mut().push(Fault {
            file: file.into(),
            line: 0,
            section: "vm".into(),
            key: Box::default(),
            message: "the section is missing".into(),
            permitted: KINDS.join(", ").into(),
        });
    }
    let faults = faults.into_inner();
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(faults)
}

impl Vm {
    fn read(&mut self, reader: &Reader<'_>) {
        self.name = reader.required("name", value::NAME, value::name);
        self.data_centre = reader.required("data_centre", "a name", value::text);
    }
}

impl Listen {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("clients", &mut self.clients, value::address);
        reader.update("readiness", &mut self.readiness, value::address);
        reader.update("control", &mut self.control, value::address);
        reader.update("peers", &mut self.peers, value::address);
        reader.update("metrics", &mut self.metrics, value::address);
    }
}

impl Platform {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("address", &mut self.address, value::address);
        reader.update("history", &mut self.history, seconds);
    }
}

impl Limits {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("threads", &mut self.threads, value::positive);
        reader.update(
            "connect_timeout",
            &mut self.connect_timeout,
            value::duration,
        );
        reader.update("link_mbps", &mut self.link_mbps, optional_amount);
        reader.update("memory_mb", &mut self.memory_mb, optional_amount);
        reader.update("kept_places", &mut self.kept_places, optional_count);
    }
}

impl Promises {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("grace", &mut self.grace, seconds);
        reader.update("retry_ratio", &mut self.retry_ratio, amount);
        reader.update("retry_extra", &mut self.retry_extra, amount);
        reader.update("retry_window", &mut self.retry_window, seconds);
        reader.update("cordon", &mut self.cordon, optional_seconds);
        reader.update("probation", &mut self.probation, optional_seconds);
    }
}

impl Quarantine {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("duration", &mut self.duration, seconds);
        reader.update("max_duration", &mut self.max_duration, seconds);
    }
}

fn addresses(value: &str) -> Result<Vec<SocketAddr>, &'static str> {
    value
        .split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(value::address)
        .collect()
}

fn source(value: &str) -> Result<Option<Ipv4Addr>, &'static str> {
    let address = value.parse();
    address.map(Some).map_err(|_error| "an IPv4 address")
}

/// Parses an amount; without a value, it is 0, which means that it is not known.
fn optional_amount(value: &str) -> Result<f64, &'static str> {
    if value.is_empty() {
        return Ok(0.0);
    }
    amount(value)
}

/// Parses a number of places; without a value, it is 0.
fn optional_count(value: &str) -> Result<u32, &'static str> {
    if value.is_empty() {
        return Ok(0);
    }
    let count = value.parse().ok();
    count
        .filter(|count| *count <= MAX_KEPT_PLACES)
        .ok_or("a whole number from 0 to 4096")
}

fn amount(value: &str) -> Result<f64, &'static str> {
    let number = value.parse::<f64>().ok();
    number
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or("a number from 0")
}

/// Parses a duration; without a value, there is none.
fn optional_seconds(value: &str) -> Result<Option<Duration>, Box<str>> {
    if value.is_empty() {
        return Ok(None);
    }
    seconds(value).map(Some)
}

/// Parses a duration; a number of seconds may have a fraction.
fn seconds(value: &str) -> Result<Duration, Box<str>> {
    let number = value.strip_suffix('s').and_then(|text| text.parse().ok());
    match number.and_then(|number| Duration::try_from_secs_f64(number).ok()) {
        Some(duration) => Ok(duration),
        None => unit::duration(value),
    }
}
