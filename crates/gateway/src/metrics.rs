//! Metrics of the process, exported in the Prometheus text format.
//!
//! Names and units follow the OpenTelemetry conventions. Attribute values are configured route
//! names, status codes and the texts of reasons and errors. Clients choose none of them, so they
//! can't add time series.

use {
    crate::Shared,
    derive_more::{Debug, Display},
    entry::{Error, logs},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
    },
    opentelemetry_sdk::{Resource, metrics::SdkMeterProvider},
    prometheus::{Encoder, Registry, TextEncoder},
    std::{sync::OnceLock, time::Duration},
};

/// Histogram bucket boundaries, in seconds.
const DURATION_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0,
];

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// A target's success response was delivered completely.
    Served,
    /// The request was refused and did not run.
    Refused,
    /// The request failed or may have run.
    Failed,
    /// The client disconnected before the end of the response.
    Left,
}

/// The metric instruments and their registry.
#[derive(Debug)]
#[debug("metrics")]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    migrations: Counter<u64>,
    overdue: Counter<u64>,
    returns: Counter<u64>,
    first_event: Histogram<f64>,
    pause: Histogram<f64>,
    duration: Histogram<f64>,
    in_flight: Gauge<u64>,
    versions: Versions,
    history: History,
    ready: Gauge<u64>,
    vms: Gauge<u64>,
    origins: Gauge<u64>,
    restrictions: Restrictions,
    pace: Gauge<f64>,
    isolated: Gauge<u64>,
    tunnels: Gauge<u64>,
    tunnelled: Counter<u64>,
    targets: Gauge<u64>,
    log_dropped: Gauge<u64>,
    log_queue: OnceLock<logs::Queue>,
}

/// Instruments that show which configuration a VM has, and which it lacks.
#[derive(Debug)]
struct Versions {
    in_force: Gauge<u64>,
    announced: Gauge<u64>,
    lag: Gauge<f64>,
}

impl Versions {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            in_force: gauge(
                "mastictrail.gateway.configuration.version",
                "Configuration version in force",
            ),
            announced: gauge(
                "mastictrail.gateway.configuration.announced",
                "Newest configuration version that a peer announces or this VM has",
            ),
            lag: meter
                .f64_gauge("mastictrail.gateway.configuration.lag")
                .with_unit("s")
                .with_description(
                    "Time since a version was announced that is newer than the one in force",
                )
                .build(),
        }
    }

    fn record(&self, shared: &Shared) {
        let version = shared.current.version();
        let now = shared.now();
        let (announced, since) = shared.current.lag().unwrap_or((version, now));
        self.in_force.record(version, &[]);
        self.announced.record(announced, &[]);
        self.lag.record(now.since(since).as_secs_f64(), &[]);
    }
}

/// Instruments that show up to where a VM has the store's history, and whether it watches.
#[derive(Debug)]
struct History {
    era: Gauge<u64>,
    revision: Gauge<u64>,
    watching: Gauge<u64>,
}

impl History {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            era: gauge(
                "mastictrail.gateway.store.era",
                "Era of the store that the list of targets is from",
            ),
            revision: gauge(
                "mastictrail.gateway.store.revision",
                "Revision of the store up to which the list of targets has all changes",
            ),
            watching: gauge(
                "mastictrail.gateway.store.watching",
                "1 if this VM watches the store on behalf of others",
            ),
        }
    }

    fn record(&self, shared: &Shared) {
        let position = shared.directory.known_position();
        self.era.record(position.era, &[]);
        self.revision.record(position.revision, &[]);
        self.watching.record(shared.fleet.is_watching().into(), &[]);
    }
}

/// Instruments of what keeps requests from targets that would take them otherwise.
#[derive(Debug)]
struct Restrictions {
    limited: Gauge<u64>,
    cold: Gauge<u64>,
    probation: Gauge<u64>,
    quarantined: Gauge<u64>,
    cordoned: Gauge<u64>,
    places: Gauge<u64>,
}

impl Restrictions {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            limited: gauge(
                "mastictrail.gateway.limited",
                "Targets that name a number of requests per second that they take",
            ),
            cold: gauge(
                "mastictrail.gateway.cold",
                "Targets that are warming up, so that few requests are sent to them",
            ),
            probation: gauge(
                "mastictrail.gateway.probation",
                "Targets that have failed a request and have not served one since",
            ),
            quarantined: gauge(
                "mastictrail.gateway.quarantined",
                "Requests and parts of prompts that are refused because targets crash on them",
            ),
            cordoned: gauge(
                "mastictrail.gateway.cordoned",
                "Data centres that the operator has cordoned",
            ),
            places: gauge(
                "mastictrail.gateway.places",
                "Rejected requests whose clients are expected back",
            ),
        }
    }

    fn record(&self, shared: &Shared) {
        self.limited
            .record(shared.dispatcher.limited_targets() as u64, &[]);
        self.cold.record(shared.cold_targets().len() as u64, &[]);
        let probation = shared.dispatcher.targets_on_probation(shared.now());
        self.probation.record(probation.len() as u64, &[]);
        self.quarantined.record(shared.quarantine.len() as u64, &[]);
        self.cordoned
            .record(shared.cordon.names().len() as u64, &[]);
        self.places
            .record(shared.dispatcher.kept_places(shared.now()) as u64, &[]);
    }
}

impl Metrics {
    /// Creates the instruments; `vm` identifies this instance.
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
            .with_attribute(KeyValue::new("service.instance.id", vm.to_owned()))
            .build();
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        let meter = provider.meter("mastictrail");
        let histogram = |name: &'static str, description: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s");
            builder
                .with_description(description)
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Ok(Self {
            requests: counter(
                "mastictrail.gateway.requests",
                "Requests by route, outcome and reason",
            ),
            migrations: counter(
                "mastictrail.gateway.moves",
                "Streams that went on at another engine, by whether it took them",
            ),
            overdue: counter(
                "mastictrail.gateway.overdue",
                "Generations whose engine did not answer in the expected time",
            ),
            returns: counter(
                "mastictrail.gateway.returns",
                "Clients that came back to their place after a rejection",
            ),
            first_event: histogram(
                "mastictrail.gateway.first_event",
                "Time from a request's arrival to its first event",
            ),
            pause: histogram(
                "mastictrail.gateway.pause",
                "Time between two deliveries of events of a stream",
            ),
            duration: histogram(
                "mastictrail.gateway.duration",
                "Time from a request's arrival to its end",
            ),
            in_flight: gauge("mastictrail.gateway.in_flight", "Requests in progress"),
            versions: Versions::new(&meter),
            history: History::new(&meter),
            ready: gauge("mastictrail.gateway.ready", "1 if new connections may come"),
            vms: gauge(
                "mastictrail.gateway.vms",
                "VMs that were heard lately, with this one",
            ),
            origins: gauge(
                "mastictrail.gateway.origins",
                "Resumable streams of which the VM knows where they began",
            ),
            restrictions: Restrictions::new(&meter),
            pace: pace_gauge(&meter),
            isolated: gauge(
                "mastictrail.gateway.isolated",
                "1 if the VM reaches no target while others do",
            ),
            tunnels: gauge(
                "mastictrail.gateway.tunnels",
                "Open connections to targets for other VMs",
            ),
            tunnelled: counter(
                "mastictrail.gateway.tunnelled",
                "Requests that were to go through another VM, by whether one took them",
            ),
            targets: gauge(
                "mastictrail.gateway.targets",
                "Known targets, by whether they leave",
            ),
            log_dropped: gauge(
                "mastictrail.gateway.log.dropped",
                "Lines of the log that were dropped since the start",
            ),
            registry,
            _provider: provider,
            log_queue: OnceLock::new(),
        })
    }

    /// Sets the log queue whose dropped lines are exported.
    pub fn watch_log(&self, queue: logs::Queue) {
        self.log_queue.get_or_init(|| queue);
    }

    /// Records a finished request.
    pub fn record_request(&self, route: &str, outcome: Outcome, reason: &str, duration: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        let outcome = KeyValue::new("outcome", outcome.to_string());
        let reason = KeyValue::new("reason", reason.to_owned());
        self.duration
            .record(duration.as_secs_f64(), &[route.clone(), outcome.clone()]);
        self.requests.add(1, &[route, outcome, reason]);
    }

    /// Records the time from a request's arrival to its first event.
    pub fn record_first_event(&self, route: &str, time: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        self.first_event.record(time.as_secs_f64(), &[route]);
    }

    /// Records the time between two deliveries of events.
    pub fn record_pause(&self, route: &str, time: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        self.pause.record(time.as_secs_f64(), &[route]);
    }

    /// Counts a stream migration; `is_taken` states whether the new engine accepted it.
    pub fn record_migration(&self, is_taken: bool) {
        self.migrations.add(1, &[KeyValue::new("taken", is_taken)]);
    }

    /// Counts a generation whose engine does not answer in the expected time.
    pub fn record_overdue(&self) {
        self.overdue.add(1, &[]);
    }

    /// Records a client that came back to its place after a rejection.
    pub fn record_return(&self) {
        self.returns.add(1, &[]);
    }

    /// Counts a request that was to go through another VM.
    pub fn record_tunnel(&self, is_open: bool) {
        self.tunnelled.add(1, &[KeyValue::new("opened", is_open)]);
    }

    fn record_paces(&self, shared: &Shared) {
        let Some(published) = shared.current.load() else {
            return;
        };
        for spread in shared.dispatcher.pace_spreads() {
            let Some(service) = published.configuration.service(spread.service) else {
                continue;
            };
            let service = KeyValue::new("service", service.name.to_string());
            let of = |target: &'static str| [service.clone(), KeyValue::new("of", target)];
            self.pace.record(spread.slowest, &of("slowest"));
            self.pace.record(spread.median, &of("median"));
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self, shared: &Shared) -> Result<Vec<u8>, Error> {
        self.in_flight.record(shared.drain.in_flight() as u64, &[]);
        self.versions.record(shared);
        self.history.record(shared);
        self.ready.record(shared.is_ready().into(), &[]);
        self.vms
            .record(shared.fleet.live_vms(shared.now()) as u64, &[]);
        self.origins.record(shared.origins().len() as u64, &[]);
        self.restrictions.record(shared);
        self.record_paces(shared);
        self.isolated.record(shared.reach.is_isolated().into(), &[]);
        self.tunnels.record(shared.tunnels.served() as u64, &[]);
        for (is_leaving, count) in shared.directory.counts() {
            let is_leaving = KeyValue::new("leaving", is_leaving);
            self.targets.record(count, &[is_leaving]);
        }
        self.log_dropped
            .record(self.log_queue.get().map_or(0, logs::Queue::dropped), &[]);
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| Error::new(error.to_string()))?;
        Ok(text)
    }
}

fn pace_gauge(meter: &Meter) -> Gauge<f64> {
    let description = "Time that work takes at targets: at the slowest one of a service relative to \
                       the median one, and at that relative to the expected time";
    meter
        .f64_gauge("mastictrail.gateway.pace")
        .with_description(description)
        .build()
}
