//! A workload: what callers ask, how often, and of which system; read from an INI file.

use {
    crate::embedded::{self, MODEL_SERVICE},
    config::{
        Fault,
        ini::{Reader, Section, sections},
        unit,
    },
    fakes::engine,
    std::{cell::RefCell, fmt::Write, time::Duration},
};

/// A whole workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name.
    pub name: Box<str>,
    /// Seed of arrivals, lengths and prompts.
    pub seed: u64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Time at the start whose requests are not counted.
    pub warmup: Duration,
    /// Arrivals as a share of what the engines' memory carries.
    pub load: f64,
    /// Wait without a token that does not count as a stall.
    pub pace: Duration,
    /// The embedded system.
    pub system: System,
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// What happens to engines meanwhile.
    pub events: Vec<Event>,
}

/// The embedded system that a comparison starts.
#[derive(Clone, Debug)]
pub struct System {
    /// Entry VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// Settings of each engine.
    pub engine: engine::Settings,
    /// Engines that are slower, from the first one on.
    pub slow: usize,
    /// Factor of their step.
    pub slow_factor: f64,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name, the same as that of its class.
    pub name: Box<str>,
    /// Share of all requests.
    pub share: f64,
    /// Median of the output length in tokens.
    pub median: f64,
    /// Spread of the logarithm of the output length.
    pub spread: f64,
    /// Length of the prompt in bytes.
    pub prompt: usize,
    /// Bytes at the start of the prompt that it shares with others.
    pub shared: usize,
    /// Number of different shared starts.
    pub starts: u64,
    /// Time to answer in full.
    pub deadline: Duration,
    /// Most output tokens of its class.
    pub max_tokens: u32,
    /// Priority of its class.
    pub priority: u8,
    /// Headroom of its class.
    pub headroom: f64,
    /// When a burst begins.
    pub burst_at: Duration,
    /// How long it lasts.
    pub burst_for: Duration,
    /// Factor of the arrivals in it.
    pub burst_factor: f64,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: Box<str>,
    /// Its weight in the queue.
    pub weight: u32,
    /// Its share of the workload's requests.
    pub share: f64,
}

/// An order to an engine's stand-in.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Duration,
    /// Index of the engine.
    pub engine: usize,
    /// The behaviour, as the stand-in takes it in JSON.
    pub behaviour: Box<str>,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            name: Box::default(),
            seed: 1,
            duration: Duration::from_secs(45),
            warmup: Duration::from_secs(10),
            load: 0.9,
            pace: Duration::from_millis(250),
            system: System::default(),
            kinds: Vec::new(),
            customers: Vec::new(),
            events: Vec::new(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self {
            vms: 4,
            engines: 10,
            engine: engine::Settings {
                memory_tokens: 6_144,
                ..engine::Settings::default()
            },
            slow: 0,
            slow_factor: 3.0,
        }
    }
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            name: Box::default(),
            share: 1.0,
            median: 120.0,
            spread: 1.1,
            prompt: 256,
            shared: 0,
            starts: 1,
            deadline: Duration::from_secs(60),
            max_tokens: config::parse::DEFAULT_MAX_TOKENS,
            priority: 1,
            headroom: 0.0,
            burst_at: Duration::ZERO,
            burst_for: Duration::ZERO,
            burst_factor: 1.0,
        }
    }
}

impl Kind {
    /// Returns the mean of the output length and of its square.
    fn moments(&self) -> (f64, f64) {
        let variance = self.spread * self.spread;
        let mean = self.median * (variance / 2.0).exp();
        let square = self.median * self.median * (2.0 * variance).exp();
        (mean, square)
    }

    /// Returns the memory that a request holds over its tokens, in tokens times tokens.
    fn held(&self) -> f64 {
        let (mean, square) = self.moments();
        let prompt = self.prompt as f64 / 4.0;
        prompt * mean + square / 2.0
    }
}

impl Workload {
    /// Returns the arrivals a second that fill the engines' memory on average, by Little's law.
    ///
    /// The mean batch then is the memory over the mean context; it sets the time of a token.
    pub fn capacity(&self) -> f64 {
        let shares: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let mean = |value: fn(&Kind) -> f64| {
            let sum: f64 = self.kinds.iter().map(|kind| kind.share * value(kind)).sum();
            sum / shares.max(f64::MIN_POSITIVE)
        };
        let held = mean(Kind::held);
        let tokens = mean(|kind| kind.moments().0);
        let engine = &self.system.engine;
        let context = held / tokens;
        let batch = (engine.memory_tokens as f64 / context).min(engine.max_batch as f64);
        let step = engine.step.as_secs_f64() * (1.0 + engine.step_growth * batch);
        self.system.engines as f64 * batch / (tokens * step)
    }

    /// Returns the arrivals a second of a kind, bursts aside.
    pub fn rate(&self, kind: &Kind) -> f64 {
        let shares: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        self.capacity() * self.load * kind.share / shares
    }

    /// Returns what to start for a run with a policy.
    pub fn plan(&self, policy: &str) -> embedded::Spec {
        let system = &self.system;
        let engines = (0..system.engines).map(|index| {
            let mut engine = system.engine.clone();
            if index < system.slow {
                engine.step = engine.step.mul_f64(system.slow_factor);
            }
            engine
        });
        let customers = self.customers.iter().map(|customer| embedded::Customer {
            name: customer.name.clone(),
            key: customer.key(),
            weight: customer.weight,
        });
        embedded::Spec {
            engines: engines.collect(),
            vms: system.vms,
            policy: policy.into(),
            classes: self.classes().into(),
            customers: customers.collect(),
            ..embedded::Spec::default()
        }
    }

    fn classes(&self) -> String {
        let mut text = String::new();
        for kind in &self.kinds {
            let _ = write!(
                text,
                "[class {MODEL_SERVICE} {}]\npriority = {}\nheadroom = {}\ndeadline = {}ms\n\
                 max_tokens = {}\n",
                kind.name,
                kind.priority,
                kind.headroom,
                kind.deadline.as_millis(),
                kind.max_tokens
            );
        }
        text
    }
}

impl Customer {
    /// Returns the key that the embedded system knows the customer by.
    pub fn key(&self) -> Box<str> {
        format!("load-{}", self.name).into()
    }
}

/// Reads and checks a workload file.
///
/// # Errors
/// Returns every fault that was found.
pub fn parse(file: &str, text: &str) -> Result<Workload, Vec<Fault>> {
    const KINDS: &str = "workload, system, kind, customer, event";
    let sections = sections(file, text)?;
    let faults = RefCell::default();
    let mut workload = Workload::default();
    for section in &sections {
        let reader = Reader::new(file, section, &faults);
        match &*section.kind {
            "workload" => read_workload(&mut workload, &reader),
            "system" => read_system(&mut workload.system, &reader),
            "kind" => workload.kinds.push(read_kind(section, &reader)),
            "customer" => workload.customers.push(read_customer(section, &reader)),
            "event" => workload.events.push(read_event(&reader)),
            _ => {
                reader.reject("", "the section is unknown", KINDS);
                continue;
            }
        }
        reader.finish();
    }
    for (required, missing) in [
        ("kind", workload.kinds.is_empty()),
        ("customer", workload.customers.is_empty()),
    ] {
        if missing {
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
        return Ok(workload);
    }
    Err(faults)
}

fn read_workload(workload: &mut Workload, reader: &Reader<'_>) {
    workload.name = reader.required("name", "a name", text);
    set(&mut workload.seed, reader.optional("seed", whole));
    set(
        &mut workload.duration,
        reader.optional("duration", unit::duration),
    );
    set(
        &mut workload.warmup,
        reader.optional("warmup", unit::duration),
    );
    set(&mut workload.load, reader.optional("load", positive));
    set(&mut workload.pace, reader.optional("pace", unit::duration));
}

fn read_system(system: &mut System, reader: &Reader<'_>) {
    set(&mut system.vms, reader.optional("vms", count));
    set(&mut system.engines, reader.optional("engines", count));
    set(&mut system.slow, reader.optional("slow_engines", whole));
    set(
        &mut system.slow_factor,
        reader.optional("slow_factor", positive),
    );
    let engine = &mut system.engine;
    set(&mut engine.memory_tokens, reader.optional("memory", whole));
    set(&mut engine.max_batch, reader.optional("batch", count));
    set(&mut engine.step, reader.optional("step", unit::duration));
    set(
        &mut engine.step_growth,
        reader.optional("step_growth", positive),
    );
    set(
        &mut engine.load_lag,
        reader.optional("load_lag", unit::duration),
    );
    set(
        &mut engine.cache_lag,
        reader.optional("cache_lag", unit::duration),
    );
    set(&mut engine.cache_gap, reader.optional("cache_gap", whole));
}

fn read_kind(section: &Section, reader: &Reader<'_>) -> Kind {
    let mut kind = Kind {
        name: section.name.clone(),
        ..Kind::default()
    };
    set(&mut kind.share, reader.optional("share", positive));
    set(&mut kind.median, reader.optional("median", positive));
    set(&mut kind.spread, reader.optional("spread", positive));
    set(&mut kind.prompt, reader.optional("prompt", count));
    set(&mut kind.shared, reader.optional("shared", whole));
    set(&mut kind.starts, reader.optional("starts", whole));
    set(
        &mut kind.deadline,
        reader.optional("deadline", unit::duration),
    );
    set(&mut kind.max_tokens, reader.optional("max_tokens", whole));
    set(&mut kind.priority, reader.optional("priority", whole));
    set(&mut kind.headroom, reader.optional("headroom", unit::share));
    set(
        &mut kind.burst_at,
        reader.optional("burst_at", unit::duration),
    );
    set(
        &mut kind.burst_for,
        reader.optional("burst_for", unit::duration),
    );
    set(
        &mut kind.burst_factor,
        reader.optional("burst_factor", positive),
    );
    kind
}

fn read_customer(section: &Section, reader: &Reader<'_>) -> Customer {
    Customer {
        name: section.name.clone(),
        weight: reader.optional("weight", whole).unwrap_or(1),
        share: reader.required("share", "a number above 0", positive),
    }
}

fn read_event(reader: &Reader<'_>) -> Event {
    Event {
        at: reader.required("at", "a duration, such as 15s", unit::duration),
        engine: reader.required("engine", "the index of an engine", whole),
        behaviour: reader.required("behaviour", "a behaviour of the stand-in in JSON", text),
    }
}

fn set<T>(place: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *place = value;
    }
}

fn text(value: &str) -> Result<Box<str>, &'static str> {
    if value.is_empty() {
        return Err("a text");
    }
    Ok(value.into())
}

fn whole<T: std::str::FromStr>(value: &str) -> Result<T, &'static str> {
    value.parse().map_err(|_error| "a whole number")
}

fn count(value: &str) -> Result<usize, &'static str> {
    match value.parse() {
        Ok(value) if value > 0 => Ok(value),
        _ => Err("a whole number from 1"),
    }
}

fn positive(value: &str) -> Result<f64, &'static str> {
    match value.parse::<f64>() {
        Ok(value) if value > 0.0 && value.is_finite() => Ok(value),
        _ => Err("a number above 0"),
    }
}
