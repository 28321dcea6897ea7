//! Metrics of the daemon.
//!
//! Names and units follow OpenTelemetry's conventions; the exporter writes them in Prometheus' text
//! format. Attribute values are names from the deployment and fixed words, which bounds the number
//! of time series: customers appear by the class of their requests, never by name.

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

/// Direction of network traffic.
#[derive(Clone, Copy, Debug)]
pub enum Direction {
    /// To another process.
    Sent,
    /// From another process.
    Received,
}

/// Kind of a refused message of the inner protocol.
#[derive(Clone, Copy, Debug, Display)]
#[display(rename_all = "snake_case")]
pub enum Rejected {
    /// An invalid handshake, or none in time.
    Greeting,
    /// An invalid frame on an authenticated connection.
    Frame,
    /// An invalid datagram.
    Datagram,
}

/// The instruments of one process and their exporter.
#[derive(Debug)]
pub struct Metrics {
    #[debug(skip)]
    registry: Registry,
    #[debug(skip)]
    provider: SdkMeterProvider,
    instruments: Instruments,
    /// Log whose dropped lines are reported.
    log: OnceLock<logs::Queue>,
    /// Each engine's total of preemptions in its last report.
    preemptions: Mutex<HashMap<key::Target, u64>>,
}

impl Metrics {
    /// Creates the instruments of a VM.
    ///
    /// # Errors
    /// Returns an error if the exporter can't be registered.
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
            preemptions: Mutex::default(),
        })
    }

    /// Encodes all metrics in Prometheus' text format.
    ///
    /// # Errors
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self, context: &Context) -> Result<Vec<u8>, Error> {
        self.update_gauges(context);
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| Error::new(error.to_string()))?;
        Ok(text)
    }

    /// Records the current state in the gauges, which change only when the metrics are read.
    fn update_gauges(&self, context: &Context) {
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

    /// Reports the dropped lines of a log from now on; only the first call has an effect.
    pub fn watch_log(&self, log: logs::Queue) {
        self.log.get_or_init(|| log);
    }

    /// Counts a request whose answer was complete.
    pub fn count_complete(&self, service: &str) {
        self.count_answer(service, "ran", "");
    }

    /// Counts a request that was refused.
    pub fn count_refused(&self, service: &str, refusal: &Refusal) {
        let verdict = refusal.verdict.to_string();
        self.count_answer(service, &verdict, &refusal.reason.to_string());
    }

    fn count_answer(&self, service: &str, verdict: &str, reason: &str) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("verdict", verdict.to_owned()),
            KeyValue::new("reason", reason.to_owned()),
        ];
        self.instruments.requests.add(1, &attributes);
    }

    /// Counts a retry, by the reason why the previous attempt failed.
    pub fn count_retry(&self, service: &str, reason: impl std::fmt::Display) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason.to_string()),
        ];
        self.instruments.retries.add(1, &attributes);
    }

    /// Records how long an attempt waited in the queue for a target.
    pub fn record_queue_wait(&self, service: Option<&Service>, class: usize, wait: Duration) {
        let attributes = request_attributes(service, class);
        self.instruments
            .queue_wait
            .record(wait.as_secs_f64(), &attributes);
    }

    /// Counts bytes of gossip datagrams.
    pub fn count_control_bytes(&self, direction: Direction, bytes: usize) {
        let direction = match direction {
            Direction::Sent => "transmit",
            Direction::Received => "receive",
        };
        let attributes = [KeyValue::new("network.io.direction", direction)];
        self.instruments
            .control_bytes
            .add(bytes as u64, &attributes);
    }

    /// Counts a refused message of the inner protocol.
    pub fn count_rejected(&self, rejected: Rejected) {
        let attributes = [KeyValue::new("kind", rejected.to_string())];
        self.instruments.control_rejected.add(1, &attributes);
    }

    /// Counts an engine's preemptions since its last report, from its total.
    ///
    /// The first report only sets the baseline. A smaller total than before means that the engine
    /// has restarted, so all of it counts.
    pub fn count_preemptions(&self, target: key::Target, service: &str, total: u64) {
        let mut last = self
            .preemptions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let increase = match last.insert(target, total) {
            Some(previous) if previous <= total => total - previous,
            Some(_) => total,
            None => 0,
        };
        drop(last);
        let attributes = [KeyValue::new("service", service.to_owned())];
        self.instruments.preemptions.add(increase, &attributes);
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
