//! Adaptive idle timeout of a connection to an engine.

use {base::Instant, std::time::Duration};

/// Interval at which an engine without a new token sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Lower bound of the idle timeout; a single lost heartbeat must not fail the connection.
pub const TIMEOUT_MIN: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);
/// Upper bound of the idle timeout, however slow the stream was.
pub const TIMEOUT_MAX: Duration = Duration::from_secs(5);
/// Least idle timeout before the first token or heartbeat of a connection.
pub const TIMEOUT_FIRST: Duration = Duration::from_secs(2);
/// Divisor of the weight of a new sample in the mean, as in RFC 6298.
const MEAN_DIVISOR: u32 = 8;
/// Divisor of the weight of a new sample in the deviation, as in RFC 6298.
const DEVIATION_DIVISOR: u32 = 4;
/// Mean deviations above the mean interval at which the timeout is set, as in RFC 6298.
const DEVIATION_FACTOR: u32 = 4;

/// Intervals between the tokens and heartbeats of a stream, smoothed as in RFC 6298.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    last: Instant,
    interval: Option<Interval>,
    /// Whether a token or heartbeat arrived on the current connection.
    has_activity: bool,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    mean: Duration,
    deviation: Duration,
}

impl Pace {
    /// Restarts the timeout for a new connection; the smoothed interval is kept.
    pub fn restart(&mut self, now: Instant) {
        self.last = now;
        self.has_activity = false;
    }

    /// Records the arrival of a token or a heartbeat.
    pub fn observe(&mut self, now: Instant) {
        if self.has_activity {
            self.record(now.since(self.last));
        }
        self.last = now;
        self.has_activity = true;
    }

    /// Returns the time without a token or heartbeat after which the connection has failed.
    pub fn timeout(&self) -> Duration {
        let estimate = self.interval.map_or(Duration::ZERO, |interval| {
            interval.mean + interval.deviation * DEVIATION_FACTOR
        });
        let min = if self.has_activity {
            TIMEOUT_MIN
        } else {
            TIMEOUT_FIRST
        };
        estimate.clamp(min, TIMEOUT_MAX)
    }

    /// Returns when the connection times out unless a token or heartbeat arrives.
    pub fn deadline(&self) -> Instant {
        self.last + self.timeout()
    }

    fn record(&mut self, sample: Duration) {
        let Some(interval) = &mut self.interval else {
            self.interval = Some(Interval {
                mean: sample,
                deviation: sample / 2,
            });
            return;
        };
        interval.deviation = smooth(
            interval.deviation,
            sample.abs_diff(interval.mean),
            DEVIATION_DIVISOR,
        );
        interval.mean = smooth(interval.mean, sample, MEAN_DIVISOR);
    }
}

/// Moves an average towards a sample by `1 / divisor` of the difference.
fn smooth(average: Duration, sample: Duration, divisor: u32) -> Duration {
    average * (divisor - 1) / divisor + sample / divisor
}
