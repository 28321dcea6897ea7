//! Instants and clocks.
//!
//! `smol` has no clock that tests can pause, so all code reads time through the [`Clock`] trait:
//! [`System`] is the monotonic clock, [`Manual`] stands still until a test advances it.

use {
    derive_more::Debug,
    std::{
        ops::{Add, Sub},
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// A point in time, in microseconds since the clock's own start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[debug("{_0}us")]
pub struct Instant(u64);

impl Instant {
    /// Rebuilds an instant from microseconds since the clock's start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since an earlier instant, or zero if that one is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}

/// A source of time; never goes back.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// The monotonic clock of the operating system.
#[derive(Debug)]
pub struct System {
    start: std::time::Instant,
}

impl System {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self {
            start: std::time::Instant::now(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::default() + self.start.elapsed()
    }
}

/// A clock that stands still until a test advances it.
#[derive(Debug, Default)]
pub struct Manual {
    micros: AtomicU64,
}

impl Manual {
    /// Moves the clock forward by a duration.
    pub fn advance(&self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(micros, Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        Instant(self.micros.load(Ordering::SeqCst))
    }
}
