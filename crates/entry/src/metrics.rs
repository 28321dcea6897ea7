//! Metrics: what the users measure first, then what explains it.
//!
//! Names and units follow OpenTelemetry's conventions; the exporter writes them in Prometheus' text
//! format. Attributes are names from the deployment and words of this crate, so the number of series
//! is bounded: customers appear by the class of their requests, never by name.

mod instruments;
mod stream;

pub use stream::Stream;

use {
    crate::{Context, Error, logs},
    base::{Refusal, key},
    config::deployment::Service,
    derive_more::{Debug, Display},
    instruments::Instruments,
    opentelemetry::{KeyValue, metrics::MeterProvider},
    opentelemetry_sdk::{Resource, metrics::SdkMeterProvider},
    prometheus::{Encoder, Registry, TextEncoder},
    std::{
        collections::HashMap,
        sync::{Mutex, OnceLock, PoisonError},
        time::Duration,
    },
};

/// Which way bytes go.
#[derive(Clone, Copy, Debug)]
pub enum Direction {
    /// To another process.
    Sent,
    /// From another process.
    Received,
}

/// What of the inner protocol was refused.
#[derive(Clone, Copy, Debug, Display)]
#[display(rename_all = "snake_case")]
pub enum Rejected {
    /// A first message, or none in time.
    Greeting,
    /// A frame of an authenticated connection.
    Frame,
    /// A datagram.
    Datagram,
}

/// The instruments of one process.
#[derive(Debug)]
pub struct Metrics {
    #[debug(skip)]
    registry: Registry,
    #[debug(skip)]
    provider: SdkMeterProvider,
    instruments: Instruments,
    log: OnceLock<logs::Queue>,
    /// Preemptions that each engine has reported so far.
    reported: Mutex<HashMap<key::Target, u64>>,
}

impl Metrics {
    /// Makes the instruments of a VM.
    ///
    /// # Errors
    /// Returns an error if the exporter refuses its own registry.
    pub fn new(vm: &str) -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .build()
            .map_err(|error| Error::new(error.to_string()))?;
        let resource = Resource::builder_empty()
            .with_attributes([
                KeyValue::new("service.name", "mastictrail"),
                KeyValue::new("service.instance.id", vm.to_owned()),
            ])
            .build();
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        Ok(Self {
            registry,
            instruments: Instruments::new(&provider.meter("mastictrail")),
            provider,
            log: OnceLock::new(),
            reported: Mutex::default(),
        })
    }

    /// Writes all metrics in Prometheus' text format.
    ///
    /// # Errors
    /// Returns an error if a metric can't be written.
    pub fn encode(&self, context: &Context) -> Result<Vec<u8>, Error> {
        self.observe(context);
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| Error::new(error.to_string()))?;
        Ok(text)
    }

    /// Reads what is a state rather than an event.
    fn observe(&self, context: &Context) {
        let instruments = &self.instruments;
        let drain = &context.drain;
        instruments.in_flight.record(drain.in_flight() as u64, &[]);
        let queued = context.router.queued() as u64;
        instruments.queued.record(queued, &[]);
        let version = context.snapshot().version;
        instruments.version.record(version, &[]);
        instruments.ready.record(context.is_ready().into(), &[]);
        let dropped = self.log.get().map_or(0, logs::Queue::dropped);
        instruments.log_dropped.record(dropped, &[]);
        let mut members: HashMap<String, u64> = HashMap::new();
        for state in ["live", "leaving", "suspect", "dead"] {
            members.insert(state.to_owned(), 0);
        }
        for member in context.gossip.membership().members() {
            *members.entry(member.state.to_string()).or_default() += 1;
        }
        for (state, count) in members {
            let state = KeyValue::new("state", state);
            instruments.members.record(count, &[state]);
        }
    }

    /// Counts the dropped lines of a log from now on; the first log that is given counts.
    pub fn watch_log(&self, log: logs::Queue) {
        self.log.get_or_init(|| log);
    }

    /// Counts a request that was answered in full.
    pub fn complete(&self, service: &str) {
        self.answered(service, "ran", "");
    }

    /// Counts a request that was refused.
    pub fn refused(&self, service: &str, refusal: &Refusal) {
        let verdict = refusal.verdict.to_string();
        self.answered(service, &verdict, &refusal.reason.to_string());
    }

    fn answered(&self, service: &str, verdict: &str, reason: &str) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("verdict", verdict.to_owned()),
            KeyValue::new("reason", reason.to_owned()),
        ];
        self.instruments.requests.add(1, &attributes);
    }

    /// Counts an attempt after the first.
    pub fn retry(&self, service: &str, reason: impl std::fmt::Display) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason.to_string()),
        ];
        self.instruments.retries.add(1, &attributes);
    }

    /// Notes how long an attempt waited for its target.
    pub fn queue_wait(&self, service: Option<&Service>, class: usize, wait: Duration) {
        let attributes = request_attributes(service, class);
        self.instruments
            .queue_wait
            .record(wait.as_secs_f64(), &attributes);
    }

    /// Counts bytes of datagrams.
    pub fn control_bytes(&self, direction: Direction, bytes: usize) {
        let direction = match direction {
            Direction::Sent => "transmit",
            Direction::Received => "receive",
        };
        let attributes = [KeyValue::new("network.io.direction", direction)];
        self.instruments
            .control_bytes
            .add(bytes as u64, &attributes);
    }

    /// Counts a message of the inner protocol that was refused.
    pub fn control_rejected(&self, rejected: Rejected) {
        let attributes = [KeyValue::new("kind", rejected.to_string())];
        self.instruments.control_rejected.add(1, &attributes);
    }

    /// Counts what an engine's total of preemptions has grown by; a restarted engine begins anew.
    pub fn preemptions(&self, target: key::Target, service: &str, total: u64) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let grown = match reported.insert(target, total) {
            Some(before) if before <= total => total - before,
            Some(_) => total,
            None => 0,
        };
        drop(reported);
        let attributes = [KeyValue::new("service", service.to_owned())];
        self.instruments.preemptions.add(grown, &attributes);
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        let _ = self.provider.shutdown();
    }
}

fn request_attributes(service: Option<&Service>, class: usize) -> [KeyValue; 2] {
    let name = service.map_or("", |service| &*service.name);
    let class = service
        .and_then(|service| service.classes.get(class))
        .map_or("", |class| &*class.name);
    [
        KeyValue::new("service", name.to_owned()),
        KeyValue::new("class", class.to_owned()),
    ]
}
