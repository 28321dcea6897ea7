//! Outlier detection: ejection and probing of targets that fail or stall, and their speed.

use {base::Instant, std::time::Duration};

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Time without a token on any started stream after which a target is ejected.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Duration of the first ejection; doubles with each failed probe.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Most doublings of the duration of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Weight of the newest value in the exponential moving average.
const EWMA_WEIGHT: f64 = 0.02;

/// Whether a target should get requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Any request.
    Available,
    /// One request, as a probe after an ejection.
    ProbeDue,
    /// None: the ejection lasts, or a probe is in flight.
    Ejected,
}

/// The health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Failures since the last success or ejection.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    /// Time after which a probe may be sent; `None` if the target is not ejected.
    ejected_until: Option<Instant>,
    /// Whether a probe is in flight.
    is_probing: bool,
    /// Streams that have had their first token and have not ended.
    active_streams: u32,
    last_activity: Instant,
    /// Mean time between tokens of a stream, in seconds; 0 if unknown.
    inter_token_seconds: f64,
}

impl Health {
    /// Returns whether the target should get requests.
    pub fn status(&self, now: Instant) -> Status {
        match self.ejected_until {
            None => Status::Available,
            Some(until) if now >= until && !self.is_probing => Status::ProbeDue,
            Some(_) => Status::Ejected,
        }
    }

    /// Returns whether it is ejected and no probe has succeeded yet.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the mean time between tokens in seconds; `None` if unknown.
    pub fn inter_token_seconds(&self) -> Option<f64> {
        (self.inter_token_seconds > 0.0).then_some(self.inter_token_seconds)
    }

    /// Records that a request was dispatched.
    pub fn begin(&mut self, now: Instant) {
        if self.active_streams == 0 {
            self.last_activity = now;
        }
        self.is_probing |= self.is_ejected();
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, now: Instant) {
        self.active_streams += 1;
        self.last_activity = now;
    }

    /// Records further tokens of a request and the time that they took.
    pub fn record_tokens(&mut self, now: Instant, tokens: u32, elapsed: Duration) {
        self.last_activity = now;
        let seconds = elapsed.as_secs_f64() / f64::from(tokens.max(1));
        let weight = if self.inter_token_seconds > 0.0 {
            EWMA_WEIGHT
        } else {
            1.0
        };
        self.inter_token_seconds += weight * (seconds - self.inter_token_seconds);
    }

    /// Records the end of a stream, whatever its outcome.
    pub fn end_stream(&mut self) {
        self.active_streams = self.active_streams.saturating_sub(1);
    }

    /// Records a complete response, which ends an ejection.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.is_probing = false;
    }

    /// Records an attempt whose outcome says nothing about the target's health.
    pub fn record_neutral(&mut self) {
        self.is_probing = false;
    }

    /// Records a failure; returns whether the target should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.is_probing || self.failures >= FAILURES_TO_EJECT
    }

    /// Returns whether its streams have stalled.
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.active_streams > 0
            && self.ejected_until.is_none()
            && now.since(self.last_activity) > STALL_TIMEOUT
    }

    /// Ejects the target for a while.
    pub fn eject(&mut self, now: Instant) {
        let factor = 1 << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = Some(now + BASE_EJECTION * factor);
        self.ejections += 1;
        self.failures = 0;
        self.is_probing = false;
        self.last_activity = now;
    }
}

/// Returns whether another target of a service may be ejected; at least half must remain.
pub fn may_eject(ejected: usize, targets: usize) -> bool {
    (ejected + 1) * 2 <= targets
}
