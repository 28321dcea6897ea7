//! Targets that fail, fall silent or run slowly.

use {base::Instant, std::time::Duration};

/// Consecutive failures after which a target is ejected.
const FAILURES: u32 = 5;
/// Silence of a target whose streams had begun, after which it is ejected.
const SILENCE: Duration = Duration::from_secs(10);
/// First time out of use; doubles with each failed probe.
const BACKOFF: Duration = Duration::from_secs(1);
/// Most doublings of the time out of use.
const DOUBLINGS: u32 = 6;
/// Weight of the newest gap in the moving average.
const NEWEST_SHARE: f64 = 0.02;

/// What may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Use {
    /// Any request.
    Open,
    /// One request, to see whether it works again.
    Probe,
    /// Nothing.
    Ejected,
}

/// The health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
    probing: bool,
    streams: u32,
    last_sign: Instant,
    /// Mean time between tokens of a stream, in seconds; 0 if unknown.
    gap: f64,
}

impl Health {
    /// Returns what may be sent there.
    pub fn permitted(&self, now: Instant) -> Use {
        match self.until {
            None => Use::Open,
            Some(until) if now >= until && !self.probing => Use::Probe,
            Some(_) => Use::Ejected,
        }
    }

    /// Returns whether it is out of use or on probation.
    pub fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Returns the mean time between tokens in seconds, if streams have shown it.
    pub fn gap(&self) -> Option<f64> {
        (self.gap > 0.0).then_some(self.gap)
    }

    /// Notes that a request was sent.
    pub fn begin(&mut self, now: Instant) {
        if self.streams == 0 {
            self.last_sign = now;
        }
        self.probing |= self.is_ejected();
    }

    /// Notes the first token of a request.
    pub fn first_token(&mut self, now: Instant) {
        self.streams += 1;
        self.last_sign = now;
    }

    /// Notes further tokens of a request, and the time that they took.
    pub fn progress(&mut self, now: Instant, tokens: u32, took: Duration) {
        self.last_sign = now;
        let gap = took.as_secs_f64() / f64::from(tokens.max(1));
        let share = if self.gap > 0.0 { NEWEST_SHARE } else { 1.0 };
        self.gap += share * (gap - self.gap);
    }

    /// Notes that a stream ended, however it did.
    pub fn end_stream(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Notes an answer; the target works.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.until = None;
        self.probing = false;
    }

    /// Notes an attempt that says nothing of the target's health.
    pub fn pass(&mut self) {
        self.probing = false;
    }

    /// Notes a failure; returns whether the target should be ejected.
    pub fn fail(&mut self) -> bool {
        self.failures += 1;
        self.probing || self.failures >= FAILURES
    }

    /// Returns whether its streams have fallen silent.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.streams > 0 && self.until.is_none() && now.since(self.last_sign) > SILENCE
    }

    /// Takes the target out of use for a while.
    pub fn eject(&mut self, now: Instant) {
        let factor = 1 << self.ejections.min(DOUBLINGS);
        self.until = Some(now + BACKOFF * factor);
        self.ejections += 1;
        self.failures = 0;
        self.probing = false;
        self.last_sign = now;
    }
}

/// Returns whether one more of a service's targets may be ejected: half of them stay.
pub fn may_eject(ejected: usize, targets: usize) -> bool {
    (ejected + 1) * 2 <= targets
}
