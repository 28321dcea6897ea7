//! The workload file: request kinds, arrival rates, customers and the embedded cluster (INI).

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

/// A workload, as read from its file; keys that are absent have the default values.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name, for reports.
    pub name: Box<str>,
    /// Seed of the arrivals, output lengths and prompts.
    pub seed: u64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Time at the start of the run whose requests are left out of the statistics.
    pub warmup: Duration,
    /// Arrival rate as a fraction of [`Workload::capacity`].
    pub load: f64,
    /// Longest wait for a token that does not count as a stall.
    pub stall_threshold: Duration,
    /// The embedded cluster.
    pub system: System,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Customers that send the requests.
    pub customers: Vec<Customer>,
    /// Changes of the engines' behaviour during the run.
    pub events: Vec<Event>,
}

/// The embedded cluster that a comparison starts.
#[derive(Clone, Debug)]
pub struct System {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Settings of each fake engine.
    pub engine: engine::Settings,
    /// Number of slower engines; they are the first ones.
    pub slow_engines: usize,
    /// Factor by which a decode step of a slower engine takes longer.
    pub slow_factor: f64,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name of the kind and of its request class.
    pub name: Box<str>,
    /// Share of all requests, relative to the shares of the other kinds.
    pub share: f64,
    /// Median of the output length, in tokens.
    pub median_tokens: f64,
    /// Standard deviation of the logarithm of the output length.
    pub sigma: f64,
    /// Length of the prompt, in bytes.
    pub prompt_bytes: usize,
    /// Length of the prompt's prefix that is shared with other prompts, in bytes.
    pub shared_bytes: usize,
    /// Number of distinct shared prefixes.
    pub distinct_prefixes: u64,
    /// Deadline of the class for a complete response.
    pub deadline: Duration,
    /// Maximum number of output tokens of the class.
    pub max_tokens: u32,
    /// Priority of the class.
    pub priority: u8,
    /// Headroom of the class, as a fraction from 0 to 1.
    pub headroom: f64,
    /// Start of the burst, measured from the start of the run.
    pub burst_start: Duration,
    /// Duration of the burst.
    pub burst_duration: Duration,
    /// Factor of the arrival rate during the burst.
    pub burst_factor: f64,
}

/// A customer of the workload.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer.
    pub name: Box<str>,
    /// Weight of the customer in the queue.
    pub weight: u32,
    /// Factor of each kind's arrival rate; the shares of all customers need not add up to 1.
    pub share: f64,
}

/// A change of a fake engine's behaviour during the run.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time of the change, measured from the start of the run.
    pub at: Duration,
    /// Index of the engine, from 0.
    pub engine: usize,
    /// New behaviour, as the JSON body of the fake engine's `/test/behaviour`.
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
            stall_threshold: Duration::from_millis(250),
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
            slow_engines: 0,
            slow_factor: 3.0,
        }
    }
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            name: Box::default(),
            share: 1.0,
            median_tokens: 120.0,
            sigma: 1.1,
            prompt_bytes: 256,
            shared_bytes: 0,
            distinct_prefixes: 1,
            deadline: Duration::from_secs(60),
            max_tokens: config::parse::DEFAULT_MAX_TOKENS,
            priority: 1,
            headroom: 0.0,
            burst_start: Duration::ZERO,
            burst_duration: Duration::ZERO,
            burst_factor: 1.0,
        }
    }
}

impl Kind {
    /// Returns the mean of the output length and the mean of its square.
    fn output_moments(&self) -> (f64, f64) {
        let variance = self.sigma * self.sigma;
        let mean = self.median_tokens * (variance / 2.0).exp();
        let mean_square = self.median_tokens * self.median_tokens * (2.0 * variance).exp();
        (mean, mean_square)
    }

    /// Returns the mean sum of a request's context lengths over its decode steps.
    ///
    /// A prompt is counted with 4 bytes per token.
    fn context_sum(&self) -> f64 {
        let (mean, mean_square) = self.output_moments();
        let prompt = self.prompt_bytes as f64 / 4.0;
        prompt * mean + mean_square / 2.0
    }
}

impl Workload {
    /// Returns the arrivals per second that fill the engines' memory on average, by Little's law.
    ///
    /// The mean batch size is then the memory divided by the mean context length, at most the
    /// engine's batch limit; it determines the duration of a decode step.
    pub fn capacity(&self) -> f64 {
        let shares: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let mean = |value: fn(&Kind) -> f64| {
            let sum: f64 = self.kinds.iter().map(|kind| kind.share * value(kind)).sum();
            sum / shares.max(f64::MIN_POSITIVE)
        };
        let context_sum = mean(Kind::context_sum);
        let tokens = mean(|kind| kind.output_moments().0);
        let engine = &self.system.engine;
        let context = context_sum / tokens;
        let batch = (engine.memory_tokens as f64 / context).min(engine.max_batch as f64);
        let step = engine.step.as_secs_f64() * (1.0 + engine.step_growth * batch);
        self.system.engines as f64 * batch / (tokens * step)
    }

    /// Returns the arrivals per second of a kind outside its burst.
    pub fn rate(&self, kind: &Kind) -> f64 {
        let shares: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        self.capacity() * self.load * kind.share / shares
    }

    /// Returns the embedded cluster to start for a run with a routing policy.
    pub fn cluster_spec(&self, policy: &str) -> embedded::Spec {
        let system = &self.system;
        let engines = (0..system.engines).map(|index| {
            let mut engine = system.engine.clone();
            if index < system.slow_engines {
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
            classes: self.class_sections().into(),
            customers: customers.collect(),
            ..embedded::Spec::default()
        }
    }

    /// Returns the sections of the deployment that define the request classes.
    fn class_sections(&self) -> String {
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
    /// Returns the customer's API key on the embedded cluster.
    pub fn key(&self) -> Box<str> {
        format!("load-{}", self.name).into()
    }
}

/// Parses and validates a workload file; `file` is its name for error messages.
///
/// # Errors
/// Returns all faults of the file.
pub fn parse(file: &str, text: &str) -> Result<Workload, Vec<Fault>> {
    const SECTIONS: &str = "workload, system, kind, customer, event";
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
                reader.reject("", "the section is unknown", SECTIONS);
                continue;
            }
        }
        reader.finish();
    }
    for (kind, is_missing) in [
        ("kind", workload.kinds.is_empty()),
        ("customer", workload.customers.is_empty()),
    ] {
        if is_missing {
            faults.borrow_mut().push(Fault {
                file: file.into(),
                line: 0,
                section: kind.into(),
                key: Box::default(),
                message: "the section is missing".into(),
                permitted: SECTIONS.into(),
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
    workload.name = reader.required("name", "a name", parse_text);
    set_if_some(&mut workload.seed, reader.optional("seed", parse_integer));
    set_if_some(
        &mut workload.duration,
        reader.optional("duration", unit::duration),
    );
    set_if_some(
        &mut workload.warmup,
        reader.optional("warmup", unit::duration),
    );
    set_if_some(&mut workload.load, reader.optional("load", parse_positive));
    set_if_some(
        &mut workload.stall_threshold,
        reader.optional("pace", unit::duration),
    );
}

fn read_system(system: &mut System, reader: &Reader<'_>) {
    set_if_some(&mut system.vms, reader.optional("vms", parse_count));
    set_if_some(&mut system.engines, reader.optional("engines", parse_count));
    set_if_some(
        &mut system.slow_engines,
        reader.optional("slow_engines", parse_integer),
    );
    set_if_some(
        &mut system.slow_factor,
        reader.optional("slow_factor", parse_positive),
    );
    let engine = &mut system.engine;
    set_if_some(
        &mut engine.memory_tokens,
        reader.optional("memory", parse_integer),
    );
    set_if_some(&mut engine.max_batch, reader.optional("batch", parse_count));
    set_if_some(&mut engine.step, reader.optional("step", unit::duration));
    set_if_some(
        &mut engine.step_growth,
        reader.optional("step_growth", parse_positive),
    );
    set_if_some(
        &mut engine.load_lag,
        reader.optional("load_lag", unit::duration),
    );
    set_if_some(
        &mut engine.cache_lag,
        reader.optional("cache_lag", unit::duration),
    );
    set_if_some(
        &mut engine.cache_gap,
        reader.optional("cache_gap", parse_integer),
    );
}

fn read_kind(section: &Section, reader: &Reader<'_>) -> Kind {
    let mut kind = Kind {
        name: section.name.clone(),
        ..Kind::default()
    };
    set_if_some(&mut kind.share, reader.optional("share", parse_positive));
    set_if_some(
        &mut kind.median_tokens,
        reader.optional("median", parse_positive),
    );
    set_if_some(&mut kind.sigma, reader.optional("spread", parse_positive));
    set_if_some(
        &mut kind.prompt_bytes,
        reader.optional("prompt", parse_count),
    );
    set_if_some(
        &mut kind.shared_bytes,
        reader.optional("shared", parse_integer),
    );
    set_if_some(
        &mut kind.distinct_prefixes,
        reader.optional("starts", parse_integer),
    );
    set_if_some(
        &mut kind.deadline,
        reader.optional("deadline", unit::duration),
    );
    set_if_some(
        &mut kind.max_tokens,
        reader.optional("max_tokens", parse_integer),
    );
    set_if_some(
        &mut kind.priority,
        reader.optional("priority", parse_integer),
    );
    set_if_some(&mut kind.headroom, reader.optional("headroom", unit::share));
    set_if_some(
        &mut kind.burst_start,
        reader.optional("burst_at", unit::duration),
    );
    set_if_some(
        &mut kind.burst_duration,
        reader.optional("burst_for", unit::duration),
    );
    set_if_some(
        &mut kind.burst_factor,
        reader.optional("burst_factor", parse_positive),
    );
    kind
}

fn read_customer(section: &Section, reader: &Reader<'_>) -> Customer {
    Customer {
        name: section.name.clone(),
        weight: reader.optional("weight", parse_integer).unwrap_or(1),
        share: reader.required("share", "a number above 0", parse_positive),
    }
}

fn read_event(reader: &Reader<'_>) -> Event {
    Event {
        at: reader.required("at", "a duration, such as 15s", unit::duration),
        engine: reader.required("engine", "the index of an engine", parse_integer),
        behaviour: reader.required(
            "behaviour",
            "a behaviour of the fake engine, as JSON",
            parse_text,
        ),
    }
}

/// Replaces a default if the file gives a value.
fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

fn parse_text(value: &str) -> Result<Box<str>, &'static str> {
    if value.is_empty() {
        return Err("a non-empty text");
    }
    Ok(value.into())
}

fn parse_integer<T: std::str::FromStr>(value: &str) -> Result<T, &'static str> {
    value.parse().map_err(|_error| "a whole number")
}

fn parse_count(value: &str) -> Result<usize, &'static str> {
    match value.parse() {
        Ok(value) if value > 0 => Ok(value),
        _ => Err("a whole number from 1"),
    }
}

fn parse_positive(value: &str) -> Result<f64, &'static str> {
    match value.parse::<f64>() {
        Ok(value) if value > 0.0 && value.is_finite() => Ok(value),
        _ => Err("a number above 0"),
    }
}
