//! Definitions of the instruments: names, units, descriptions and histogram buckets.

use {
    derive_more::Debug,
    opentelemetry::metrics::{Counter, Gauge, Histogram, Meter},
};

/// Bucket bounds of inter-token latencies, in seconds.
const INTERVAL_BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.03, 0.05, 0.077, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];
/// Bucket bounds of queue waits, times to first token and stalls, in seconds.
const WAIT_BOUNDS: [f64; 15] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
];

/// All instruments of the daemon.
#[derive(Debug)]
#[debug("instruments")]
pub(super) struct Instruments {
    pub(super) stall: Histogram<f64>,
    pub(super) first_token: Histogram<f64>,
    pub(super) token_interval: Histogram<f64>,
    pub(super) preemptions: Counter<u64>,
    pub(super) queue_wait: Histogram<f64>,
    pub(super) requests: Counter<u64>,
    pub(super) retries: Counter<u64>,
    pub(super) control_bytes: Counter<u64>,
    pub(super) control_rejected: Counter<u64>,
    pub(super) log_dropped: Gauge<u64>,
    pub(super) in_flight: Gauge<u64>,
    pub(super) queued: Gauge<u64>,
    pub(super) members: Gauge<u64>,
    pub(super) version: Gauge<u64>,
    pub(super) ready: Gauge<u64>,
}

impl Instruments {
    pub(super) fn new(meter: &Meter) -> Self {
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
                &WAIT_BOUNDS,
            ),
            first_token: histogram(
                "mastictrail.request.first_token",
                "Time from the arrival of a streamed request to its first token",
                &WAIT_BOUNDS,
            ),
            token_interval: histogram(
                "mastictrail.token.interval",
                "Time between two tokens of a stream",
                &INTERVAL_BOUNDS,
            ),
            preemptions: counter(
                "mastictrail.engine.preemptions",
                "{preemption}",
                "Preemptions that engines reported since the process began to watch them",
            ),
            queue_wait: histogram(
                "mastictrail.request.queue_wait",
                "Time that a dispatched attempt waited for a place on a target",
                &WAIT_BOUNDS,
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
            control_rejected: counter(
                "mastictrail.control.rejected",
                "{message}",
                "Greetings, frames and datagrams of the inner protocol that were refused",
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
