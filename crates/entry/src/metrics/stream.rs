//! The measures of one stream's tokens.

use {
    super::{Metrics, request_attributes},
    base::Instant,
    config::deployment::Service,
    opentelemetry::KeyValue,
    std::time::Duration,
};

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
            pace: service.map_or(config::parse::DEFAULT_PACE, |service| service.pace),
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
