//! State of one service.

use {
    crate::{budget::Budget, fair_queue::Queue},
    base::{Instant, key},
    config::{Snapshot, deployment::Service as Configuration},
    std::time::Duration,
};

/// Weight of the newest value in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.02;
/// Time constant of the average dispatch rate, in seconds.
const RATE_WINDOW_SECONDS: f64 = 15.0;

/// State of one class of the service.
#[derive(Clone, Debug)]
pub struct Class {
    /// Priority; a higher one goes first.
    pub priority: u8,
    /// Most output tokens of a request.
    pub max_tokens: u32,
    /// Share of each target's capacity that it may use.
    pub capacity_share: f64,
    /// Attempts of this VM that have not ended.
    pub in_flight: u32,
    /// Mean duration of a complete response in seconds; 0 if unknown.
    pub mean_seconds: f64,
    /// Rate of dispatches.
    pub rate: Rate,
}

/// An event rate with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    count: f64,
    updated: Instant,
}

impl Rate {
    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        self.count = self.per_second(now) * RATE_WINDOW_SECONDS + 1.0;
        self.updated = now;
    }

    /// Returns the rate in events per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.count * (-elapsed / RATE_WINDOW_SECONDS).exp() / RATE_WINDOW_SECONDS
    }
}

/// State of one service.
#[derive(Debug, Default)]
pub struct Service {
    /// Queued requests.
    pub queue: Queue,
    /// Retry budget.
    pub budget: Budget,
    /// Classes, in the order of the configuration.
    pub classes: Vec<Class>,
    /// Targets; the first `regional_count` ones are in the region of this VM.
    pub targets: Vec<key::Target>,
    /// Number of targets in the region of this VM.
    pub regional_count: usize,
    /// Retries allowed per first attempt, 0 to 1.
    pub retry_share: f64,
    /// Mean time between tokens of a stream in seconds; 0 if unknown.
    pub inter_token_seconds: f64,
}

impl Service {
    /// Applies a configuration; counters are kept.
    pub fn configure(
        &mut self,
        key: key::Service,
        snapshot: &Snapshot,
        data_centre: key::DataCentre,
    ) {
        let Some(service) = snapshot.services.get(key) else {
            return;
        };
        self.retry_share = service.retry_share;
        self.classes = build_classes(service, &self.classes);
        self.order_targets(key, snapshot, data_centre);
    }

    fn order_targets(
        &mut self,
        key: key::Service,
        snapshot: &Snapshot,
        data_centre: key::DataCentre,
    ) {
        let region = |key| Some(&*snapshot.data_centres.get(key)?.region);
        let own_region = region(data_centre);
        let (regional, other_regions): (Vec<_>, Vec<_>) = snapshot
            .targets
            .iter()
            .filter(|(_, target)| target.service == key)
            .partition(|(_, target)| {
                own_region.is_none() || region(target.data_centre) == own_region
            });
        self.regional_count = regional.len();
        self.targets = regional
            .into_iter()
            .chain(other_regions)
            .map(|(key, _)| key)
            .collect();
    }

    /// Returns whether some class has a lower priority than this one and none has a higher one.
    pub fn is_top_priority(&self, class: usize) -> bool {
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

    /// Records the time that new tokens of a stream took.
    pub fn record_inter_token_time(&mut self, tokens: u32, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64() / f64::from(tokens.max(1));
        update_mean(&mut self.inter_token_seconds, seconds);
    }

    /// Returns the expected duration of a complete response.
    pub fn expected_duration(&self, class: usize, expected_tokens: u32) -> Duration {
        let seconds = if expected_tokens > 0 {
            f64::from(expected_tokens) * self.inter_token_seconds
        } else {
            self.classes
                .get(class)
                .map_or(0.0, |class| class.mean_seconds)
        };
        Duration::from_secs_f64(seconds)
    }

    /// Returns the expected time until `ahead` requests are dispatched at the rate of a class.
    ///
    /// The assumed rate is the recent dispatch rate or the one that Little's law gives for the
    /// requests in flight, whichever is higher.
    pub fn expected_wait(
        &self,
        now: Instant,
        class: usize,
        ahead: f64,
        duration: Duration,
    ) -> Duration {
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
    /// Records the duration of a complete response.
    pub fn record_duration(&mut self, elapsed: Duration) {
        update_mean(&mut self.mean_seconds, elapsed.as_secs_f64());
    }
}

fn update_mean(mean: &mut f64, value: f64) {
    let weight = if *mean > 0.0 { EWMA_WEIGHT } else { 1.0 };
    *mean += weight * (value - *mean);
}

fn build_classes(service: &Configuration, previous: &[Class]) -> Vec<Class> {
    let classes = service.classes.iter().enumerate();
    classes
        .map(|(index, class)| Class {
            priority: class.priority,
            max_tokens: class.max_tokens,
            capacity_share: capacity_share(service, class.priority),
            in_flight: previous.get(index).map_or(0, |previous| previous.in_flight),
            mean_seconds: previous
                .get(index)
                .map_or(0.0, |previous| previous.mean_seconds),
            rate: previous
                .get(index)
                .map_or_else(Rate::default, |previous| previous.rate),
        })
        .collect()
}

/// Returns the share of a target that the headroom of higher priorities leaves to a class.
fn capacity_share(service: &Configuration, priority: u8) -> f64 {
    let higher = service
        .classes
        .iter()
        .filter(|class| class.priority > priority);
    let reserved: f64 = higher.map(|class| class.headroom).sum();
    (1.0 - reserved).max(0.0)
}
