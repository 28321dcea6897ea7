//! Metrics: what the users measure first, then what explains it.
//!
//! Names and units follow OpenTelemetry's conventions; the exporter writes them in Prometheus' text
//! format. Attributes are names from the deployment and words of this crate, so the number of series
//! is bounded: customers appear by the class of their requests, never by name.

use {
    crate::{Context, Error, logs},
    base::{Instant, Refusal, key},
    config::deployment::Service,
    derive_more::Debug,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
    },
    opentelemetry_sdk::{Resource, metrics::SdkMeterProvider},
    prometheus::{Encoder, Registry, TextEncoder},
    std::{
        collections::HashMap,
        sync::{Mutex, OnceLock, PoisonError},
        time::Duration,
    },
};

/// Bounds of the buckets of times between tokens, in seconds.
const INTERVALS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.03, 0.05, 0.077, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];
/// Bounds of the buckets of waits and stalls, in seconds.
const WAITS: [f64; 15] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
];

/// Which way bytes go.
#[derive(Clone, Copy, Debug)]
pub enum Direction {
    /// To another process.
    Sent,
    /// From another process.
    Received,
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

#[derive(Debug)]
#[debug("instruments")]
struct Instruments {
    stall: Histogram<f64>,
    first_token: Histogram<f64>,
    token_interval: Histogram<f64>,
    preemptions: Counter<u64>,
    queue_wait: Histogram<f64>,
    requests: Counter<u64>,
    retries: Counter<u64>,
    control_bytes: Counter<u64>,
    log_dropped: Gauge<u64>,
    in_flight: Gauge<u64>,
    queued: Gauge<u64>,
    members: Gauge<u64>,
    version: Gauge<u64>,
    ready: Gauge<u64>,
}

impl Instruments {
    fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, description: &'static str, bounds: &[f64]| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(bounds.to_vec())
                .build()
        };
        let counter = |name: &'static str, unit: &'static str, description: &'static str| {
            let counter = meter.u64_counter(name).with_unit(unit);
            counter.with_description(description).build()
        };
        let gauge = |name: &'static str, unit: &'static str, description: &'static str| {
            let gauge = meter.u64_gauge(name).with_unit(unit);
            gauge.with_description(description).build()
        };
        Self {
            stall: histogram(
                "mastictrail.request.stall",
                "Time of a streamed request without a token beyond the pace of its service",
                &WAITS,
            ),
            first_token: histogram(
                "mastictrail.request.first_token",
                "Time from the arrival of a streamed request to its first token",
                &WAITS,
            ),
            token_interval: histogram(
                "mastictrail.token.interval",
                "Time between two tokens of a stream",
                &INTERVALS,
            ),
            preemptions: counter(
                "mastictrail.engine.preemptions",
                "{preemption}",
                "Preemptions that engines reported since the process began to watch them",
            ),
            queue_wait: histogram(
                "mastictrail.request.queue_wait",
                "Time that a dispatched attempt waited for a place on a target",
                &WAITS,
            ),
            requests: counter(
                "mastictrail.requests",
                "{request}",
                "Answered requests by verdict; the reason is empty for a complete answer",
            ),
            retries: counter(
                "mastictrail.retries",
                "{attempt}",
                "Attempts after the first, by the reason of the loss of the one before",
            ),
            control_bytes: counter(
                "mastictrail.control.io",
                "By",
                "Bytes of datagrams between entry VMs",
            ),
            log_dropped: gauge(
                "mastictrail.log.dropped",
                "{line}",
                "Lines of the log that were dropped since the start",
            ),
            in_flight: gauge(
                "mastictrail.work.in_flight",
                "{task}",
                "Connections of callers, streams and calls for peers that a planned stop waits for",
            ),
            queued: gauge(
                "mastictrail.requests.queued",
                "{request}",
                "Requests that wait for a place on a target",
            ),
            members: gauge(
                "mastictrail.members",
                "{vm}",
                "Entry VMs by what this one believes of them",
            ),
            version: gauge(
                "mastictrail.configuration.version",
                "{version}",
                "Configuration version in force",
            ),
            ready: gauge(
                "mastictrail.ready",
                "{state}",
                "1 if callers may be sent here",
            ),
        }
    }
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

/// Watches the tokens of one stream.
#[derive(Debug)]
pub struct Stream {
    attributes: [KeyValue; 2],
    pace: Duration,
    last: Instant,
    tokens: u64,
    stalled: Duration,
}

impl Stream {
    /// Begins with the arrival of a request, or of the caller that resumes it.
    pub fn new(service: Option<&Service>, class: usize, now: Instant) -> Self {
        Self {
            attributes: request_attributes(service, class),
            pace: service.map_or(config::parse::PACE, |service| service.pace),
            last: now,
            tokens: 0,
            stalled: Duration::ZERO,
        }
    }

    /// Notes a token on its way to the caller.
    pub fn token(&mut self, metrics: &Metrics, now: Instant) {
        let instruments = &metrics.instruments;
        let gap = now.since(self.last);
        let histogram = if self.tokens == 0 {
            &instruments.first_token
        } else {
            &instruments.token_interval
        };
        histogram.record(gap.as_secs_f64(), &self.attributes);
        self.stalled += gap.saturating_sub(self.pace);
        self.last = now;
        self.tokens += 1;
    }

    /// Returns whether a token was noted.
    pub fn has_begun(&self) -> bool {
        self.tokens > 0
    }

    /// Notes the end of the stream.
    pub fn end(&self, metrics: &Metrics, now: Instant) {
        let stalled = self.stalled + now.since(self.last).saturating_sub(self.pace);
        let stall = &metrics.instruments.stall;
        stall.record(stalled.as_secs_f64(), &self.attributes);
    }
}
