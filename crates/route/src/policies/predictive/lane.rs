//! What the policy keeps for one service.

use {
    crate::{budget::Budget, fair_queue::Queue},
    base::{Instant, key},
    config::{Snapshot, deployment::Service},
    std::time::Duration,
};

/// Weight of the newest value in the moving averages.
const NEWEST_SHARE: f64 = 0.02;
/// Time over which the rate of dispatches is averaged, in seconds.
const RATE_WINDOW: f64 = 15.0;

/// One class of the service.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its priority.
    pub priority: u8,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Share of each target that it may use.
    pub share: f64,
    /// Attempts of this VM that have not ended.
    pub in_flight: u32,
    /// Mean duration of a whole answer in seconds; 0 if unknown.
    pub seconds: f64,
    /// Rate of its dispatches.
    pub rate: Rate,
}

/// A rate that fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    count: f64,
    at: Instant,
}

impl Rate {
    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        self.count = self.per_second(now) * RATE_WINDOW + 1.0;
        self.at = now;
    }

    /// Returns the events a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.count * (-passed / RATE_WINDOW).exp() / RATE_WINDOW
    }
}

/// The state of one service.
#[derive(Debug, Default)]
pub struct Lane {
    /// Its waiting requests.
    pub queue: Queue,
    /// Its retry budget.
    pub budget: Budget,
    /// Its classes.
    pub classes: Vec<Class>,
    /// Its targets: the first `near` ones stand in the region of this VM.
    pub targets: Vec<key::Target>,
    /// Number of targets in the region of this VM.
    pub near: usize,
    /// Share of first attempts that may be retried.
    pub retry_share: f64,
    /// Mean time between tokens of a stream in seconds; 0 if unknown.
    pub gap: f64,
}

impl Lane {
    /// Takes a configuration over; counters stay.
    pub fn configure(&mut self, key: key::Service, snapshot: &Snapshot, home: key::DataCentre) {
        let Some(service) = snapshot.services.get(key) else {
            return;
        };
        self.retry_share = service.retry_share;
        self.classes = classes(service, &self.classes);
        self.order_targets(key, snapshot, home);
    }

    fn order_targets(&mut self, key: key::Service, snapshot: &Snapshot, home: key::DataCentre) {
        let region = |place| Some(&*snapshot.data_centres.get(place)?.region);
        let home = region(home);
        let (near, far): (Vec<_>, Vec<_>) = snapshot
            .targets
            .iter()
            .filter(|(_, target)| target.service == key)
            .partition(|(_, target)| home.is_none() || region(target.data_centre) == home);
        self.near = near.len();
        self.targets = near.into_iter().chain(far).map(|(key, _)| key).collect();
    }

    /// Returns whether a class goes before some others and none goes before it.
    pub fn is_first(&self, class: usize) -> bool {
        let Some(class) = self.classes.get(class) else {
            return false;
        };
        let priorities = self.classes.iter().map(|other| other.priority);
        let (mut higher, mut lower) = (false, false);
        for priority in priorities {
            higher |= priority > class.priority;
            lower |= priority < class.priority;
        }
        lower && !higher
    }

    /// Notes the time between tokens of a stream.
    pub fn observe_gap(&mut self, tokens: u32, took: Duration) {
        let gap = took.as_secs_f64() / f64::from(tokens.max(1));
        average(&mut self.gap, gap);
    }

    /// Returns the expected duration of an answer.
    pub fn duration(&self, class: usize, expected_tokens: u32) -> Duration {
        let seconds = if expected_tokens > 0 {
            f64::from(expected_tokens) * self.gap
        } else {
            self.classes.get(class).map_or(0.0, |class| class.seconds)
        };
        Duration::from_secs_f64(seconds)
    }

    /// Returns the expected wait behind so many requests of a class.
    ///
    /// They go as fast as of late, or as Little's law has it for those in flight if that is faster.
    pub fn wait(&self, now: Instant, class: usize, ahead: f64, duration: Duration) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return Duration::ZERO;
        };
        let seconds = duration.as_secs_f64().max(f64::EPSILON);
        let in_flight = f64::from(class.in_flight.max(1));
        let rate = class.rate.per_second(now).max(in_flight / seconds);
        Duration::from_secs_f64(ahead / rate)
    }
}

impl Class {
    /// Notes the duration of a whole answer.
    pub fn observe(&mut self, took: Duration) {
        average(&mut self.seconds, took.as_secs_f64());
    }
}

fn average(mean: &mut f64, value: f64) {
    let share = if *mean > 0.0 { NEWEST_SHARE } else { 1.0 };
    *mean += share * (value - *mean);
}

fn classes(service: &Service, former: &[Class]) -> Vec<Class> {
    let classes = service.classes.iter().enumerate();
    classes
        .map(|(index, class)| Class {
            priority: class.priority,
            max_tokens: class.max_tokens,
            share: share(service, class.priority),
            in_flight: former.get(index).map_or(0, |former| former.in_flight),
            seconds: former.get(index).map_or(0.0, |former| former.seconds),
            rate: former
                .get(index)
                .map_or_else(Rate::default, |former| former.rate),
        })
        .collect()
}

/// Returns the share of a target that is left after the headroom of higher priorities.
fn share(service: &Service, priority: u8) -> f64 {
    let higher = service
        .classes
        .iter()
        .filter(|class| class.priority > priority);
    let kept: f64 = higher.map(|class| class.headroom).sum();
    (1.0 - kept).max(0.0)
}
