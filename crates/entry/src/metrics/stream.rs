//! Latency metrics of one stream's tokens.

use {
    super::{Metrics, request_attributes},
    base::Instant,
    config::deployment::Service,
    opentelemetry::KeyValue,
    std::time::Duration,
};

/// Measures the token latencies of one stream.
#[derive(Debug)]
pub struct Stream {
    attributes: [KeyValue; 2],
    /// Longest time between two tokens that doesn't count as a stall.
    pace: Duration,
    /// When the last token was sent; the arrival of the request before the first one.
    last: Instant,
    tokens: u64,
    /// Total time beyond the pace so far.
    stalled: Duration,
}

impl Stream {
    /// Starts measuring at the arrival of a request, or of a request to resume a stream.
    pub fn new(service: Option<&Service>, class: usize, now: Instant) -> Self {
        Self {
            attributes: request_attributes(service, class),
            pace: service.map_or(config::parse::DEFAULT_PACE, |service| service.pace),
            last: now,
            tokens: 0,
            stalled: Duration::ZERO,
        }
    }

    /// Records a token that is sent to the caller.
    pub fn record_token(&mut self, metrics: &Metrics, now: Instant) {
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

    /// Returns whether a token was recorded.
    pub fn has_tokens(&self) -> bool {
        self.tokens > 0
    }

    /// Records the total stall at the end of the stream.
    pub fn record_end(&self, metrics: &Metrics, now: Instant) {
        let stalled = self.stalled + now.since(self.last).saturating_sub(self.pace);
        let stall = &metrics.instruments.stall;
        stall.record(stalled.as_secs_f64(), &self.attributes);
    }
}
