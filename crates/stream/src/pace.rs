//! When a connection counts as silent, judged against its own pace and the engine's heartbeats.

use {base::Instant, std::time::Duration};

/// Time between two heartbeats of an engine that has no token ready.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest silence that counts: one lost heartbeat is no loss of the connection.
pub const TIMEOUT_MIN: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);
/// Longest silence that does not count, however slow the stream was.
pub const TIMEOUT_MAX: Duration = Duration::from_secs(5);
/// Silence that counts on a connection without a sign of life yet.
pub const TIMEOUT_FIRST: Duration = Duration::from_secs(2);
/// Share of a new gap in the mean, as a divisor.
const MEAN_DIVISOR: u32 = 8;
/// Share of a new difference in the deviation, as a divisor.
const DEVIATION_DIVISOR: u32 = 4;
/// Deviations above the mean that still count as the stream's own pace.
const DEVIATIONS: u32 = 4;

/// The gaps between signs of life of one stream; smoothed as a TCP round trip is (RFC 6298).
#[derive(Clone, Debug, Default)]
pub struct Pace {
    last: Instant,
    gap: Option<Gap>,
    signed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Gap {
    mean: Duration,
    deviation: Duration,
}

impl Pace {
    /// Begins to watch a new connection; what is known of the pace is kept.
    pub fn restart(&mut self, now: Instant) {
        self.last = now;
        self.signed = false;
    }

    /// Notes a token or a heartbeat.
    pub fn observe(&mut self, now: Instant) {
        if self.signed {
            self.note(now.since(self.last));
        }
        self.last = now;
        self.signed = true;
    }

    /// Returns the silence that counts as a loss of the connection.
    pub fn timeout(&self) -> Duration {
        let own = self
            .gap
            .map_or(Duration::ZERO, |gap| gap.mean + gap.deviation * DEVIATIONS);
        let floor = if self.signed {
            TIMEOUT_MIN
        } else {
            TIMEOUT_FIRST
        };
        own.clamp(floor, TIMEOUT_MAX)
    }

    /// Returns when the connection counts as silent.
    pub fn deadline(&self) -> Instant {
        self.last + self.timeout()
    }

    fn note(&mut self, gap: Duration) {
        let Some(known) = &mut self.gap else {
            self.gap = Some(Gap {
                mean: gap,
                deviation: gap / 2,
            });
            return;
        };
        known.deviation = smooth(known.deviation, gap.abs_diff(known.mean), DEVIATION_DIVISOR);
        known.mean = smooth(known.mean, gap, MEAN_DIVISOR);
    }
}

/// Moves an average towards a sample by the given share.
fn smooth(average: Duration, sample: Duration, divisor: u32) -> Duration {
    average * (divisor - 1) / divisor + sample / divisor
}
