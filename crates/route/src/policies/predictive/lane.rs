//! What the policy keeps for one service.

use {
    crate::{budget::Budget, fair_queue::Queue},
    base::key,
    config::{Snapshot, deployment::Service},
    std::time::Duration,
};

/// Weight of the newest value in the moving averages.
const NEWEST_SHARE: f64 = 0.02;

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

    /// Returns the expected wait behind so many requests, by Little's law over the class.
    pub fn wait(&self, class: usize, ahead: f64, duration: Duration) -> Duration {
        let in_flight = self.classes.get(class).map_or(1, |class| class.in_flight);
        duration.mul_f64(ahead / f64::from(in_flight.max(1)))
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
