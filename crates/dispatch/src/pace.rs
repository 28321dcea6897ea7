//! How long work takes at each target, relative to the median target of its service.
//!
//! Some deployments have engines of unequal speed, and neighbours on the host slow a target for
//! fractions of a second. What a response reports of its host is valid for a moment only. What VMs
//! measure themselves is averaged over longer times and shared, as a single VM sends a request to
//! the same engine only every minute or so. Only services whose targets report the pace of their
//! hosts are measured; to all others, every target has the factor 1.

use {
    crate::{
        Load,
        listing::Target,
        load::{Occupancy, Pace},
        peers::Readings,
    },
    base::{Instant, key},
    std::{collections::HashMap, time::Duration},
};

/// Time for which the pace that a response reports is valid; it changes several times a second.
const MOMENT_LIFETIME: Duration = Duration::from_millis(300);
/// Time in which the weight of samples halves, and a factor decays halfway to 1 without new ones.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Bounds of all factors.
const FACTORS: (f64, f64) = (0.25, 8.0);
/// Upper bound of the weight of one VM's measurements.
const MAX_WEIGHT: f64 = 255.0;
/// Weight of the assumption that a target is as fast as the median one: few samples may all come
/// from one slow moment.
const PRIOR_WEIGHT: f64 = 2.0;
/// Interval at which the factors of a service are computed from the measurements.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a restart in which peers' measurements may still be of the process before: a heartbeat
/// interval and the interval of summaries.
const RESTART_DELAY: Duration = Duration::from_millis(3_300);
/// Time after which a target that is no longer listed is forgotten.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(60);
/// Deviation, as a logarithm, up to which a measurement counts in full in a mean; the weight of one
/// that is further off is inversely proportional to its deviation, as in a median.
const FULL_WEIGHT_DEVIATION: f64 = 0.1;
/// Number of times that the weights are adapted to the mean.
const MEAN_ROUNDS: usize = 4;
/// Minimum duration of a sample of a stream: VMs are throttled for up to 100 ms at a time, which
/// then changes the sample by a tenth at most.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// Maximum duration of a sample of a stream; a longer one was interrupted.
const MAX_WINDOW: Duration = Duration::from_secs(3);
/// Duration of a decode step of an engine with one run, in milliseconds.
const STEP_MS: f64 = 7.0;
/// Time that each run adds to a decode step, in milliseconds.
const STEP_RUN_MS: f64 = 0.12;
/// Factor by which decode steps take longer while the engine prefills other prompts: it spends half
/// of its time on either.
const PREFILL_STEP_FACTOR: f64 = 2.0;
/// Minimum expected time to a first event that is measured; network latency would distort shorter
/// ones.
const MIN_PREFILL: Duration = Duration::from_millis(100);

/// Returns the expected time of a decode step, in milliseconds, at an engine of normal speed.
pub fn step_ms(load: Load) -> f64 {
    let step = STEP_MS + STEP_RUN_MS * f64::from(load.runs);
    if load.pending_prefill > 0 {
        step * PREFILL_STEP_FACTOR
    } else {
        step
    }
}

/// Measures the pace of the target that produces a stream, from the second event on.
///
/// A sample begins and ends with a delivery that is prompt: a single event for which the VM was
/// waiting. Pauses of the VM or of the client in between don't change the time that it covers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    has_first_event: bool,
    started: Option<Instant>,
    expected_ms: f64,
}

impl Window {
    /// Adds a delivery of `tokens`; returns the time relative to the expected one if a sample ends.
    ///
    /// `step_ms` is the expected time per token at the load that is known now.
    pub fn record(
        &mut self,
        tokens: u32,
        step_ms: f64,
        is_prompt: bool,
        now: Instant,
    ) -> Option<f64> {
        if !std::mem::replace(&mut self.has_first_event, true) {
            return None;
        }
        let Some(started) = self.started else {
            self.started = is_prompt.then_some(now);
            self.expected_ms = 0.0;
            return None;
        };
        self.expected_ms += f64::from(tokens) * step_ms;
        let elapsed = now.since(started);
        if elapsed < MIN_WINDOW || !is_prompt && elapsed < MAX_WINDOW {
            return None;
        }
        let is_valid = elapsed < MAX_WINDOW && self.expected_ms > 0.0;
        let ratio = elapsed.as_secs_f64() * 1e3 / self.expected_ms;
        self.started = is_prompt.then_some(now);
        self.expected_ms = 0.0;
        is_valid.then_some(ratio)
    }
}

/// Mean of this VM's samples of a target, as a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    log: f64,
    weight: f64,
    updated: Instant,
}

impl Estimate {
    fn weight(&self, now: Instant) -> f64 {
        self.weight * decay(now.since(self.updated))
    }

    fn add(&mut self, log: f64, now: Instant) {
        let before = self.weight(now);
        self.weight = (before + 1.0).min(MAX_WEIGHT);
        self.log += (log - self.log) / (before + 1.0);
        self.updated = now;
    }

    fn pace(&self, now: Instant) -> Option<Pace> {
        let weight = self.weight(now).round() as u32;
        (weight > 0).then_some(Pace {
            percent: percent(self.log),
            weight,
        })
    }
}

/// What is known of one target.
#[derive(Debug)]
struct Known {
    service: key::Service,
    /// Start of its process in Unix milliseconds, if known.
    started_ms: Option<u64>,
    own: Estimate,
    /// Time from which peers' measurements are of the current process.
    valid_from: Instant,
    /// Sum of the weights that peers sent; it grows only with new samples.
    remote_weight: u32,
    /// Time of the last known sample, of any VM.
    sampled: Instant,
    /// Mean of all VMs' measurements, as a logarithm, and their weight.
    mean: (f64, f64),
    /// Factor relative to the median target.
    factor: f64,
    /// Factor that a response reported, and the time until which it is valid.
    moment: (f64, Instant),
    /// When a response last reported that requests wait at the target.
    queued: Option<Instant>,
    listed: Instant,
}

impl Known {
    fn new(service: key::Service, started_ms: Option<u64>, now: Instant) -> Self {
        Self {
            service,
            started_ms,
            own: Estimate::default(),
            valid_from: Instant::default(),
            remote_weight: 0,
            sampled: now,
            mean: (0.0, 0.0),
            factor: 1.0,
            moment: (1.0, Instant::default()),
            queued: None,
            listed: now,
        }
    }

    /// Forgets the measurements if they are of an earlier process than the listed one.
    fn update_process(&mut self, target: &Target, now: Instant) {
        let is_restart = self.started_ms.is_some() && target.started_ms > self.started_ms;
        if is_restart {
            *self = Self::new(self.service, target.started_ms, now);
            self.valid_from = now + RESTART_DELAY;
        }
        self.started_ms = self.started_ms.max(target.started_ms);
        self.listed = now;
    }

    /// Returns the valid measurements of peers, as logarithms with weights.
    fn remote<'a>(
        &self,
        readings: &'a [(Pace, Instant)],
        now: Instant,
    ) -> impl Iterator<Item = (f64, f64)> + Clone + 'a {
        let valid_from = self.valid_from;
        let valid = readings
            .iter()
            .filter(move |(_, received)| *received >= valid_from);
        valid.map(move |(pace, received)| {
            let weight = f64::from(pace.weight) * decay(now.since(*received));
            (log(f64::from(pace.percent) / 100.0), weight)
        })
    }

    /// Computes the mean of all measurements.
    fn update_mean(&mut self, readings: &[(Pace, Instant)], now: Instant) {
        let valid_from = self.valid_from;
        let valid = readings
            .iter()
            .filter(|(_, received)| *received >= valid_from);
        let remote_weight = valid.map(|(pace, _)| pace.weight).sum();
        // A weight that has reached its bound no longer grows with new samples.
        let is_saturated = readings.iter().any(|(pace, received)| {
            f64::from(pace.weight) >= MAX_WEIGHT && now.since(*received) < RESTART_DELAY
        });
        if remote_weight > self.remote_weight || is_saturated {
            self.sampled = now;
        }
        self.remote_weight = remote_weight;
        let own = (self.own.log, self.own.weight(now));
        self.mean = mean(&self.remote(readings, now).chain([own]));
    }

    /// Computes the factor from the mean and that of the median target.
    fn update_factor(&mut self, median: f64, now: Instant) {
        let (mean, weight) = self.mean;
        let certainty = weight / (weight + PRIOR_WEIGHT);
        let log = (mean - median) * certainty * decay(now.since(self.sampled));
        self.factor = log.exp().clamp(FACTORS.0, FACTORS.1);
    }
}

/// Factors of one target, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Factors {
    /// Time that work takes there now, relative to the median target.
    pub current: f64,
    /// Time that work takes there in the long run, relative to the median target.
    pub usual: f64,
}

/// Factors of a service's targets, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Service that the targets belong to.
    pub service: key::Service,
    /// Factor of the slowest target, relative to the median one.
    pub slowest: f64,
    /// Time that work takes at the median target, relative to the expected one.
    pub median: f64,
}

/// A service whose targets report the pace of their hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    refreshed: Option<Instant>,
    slowest: f64,
    /// Logarithm of the pace of the median target.
    median: f64,
}

/// Paces of targets, as this VM and its peers have measured them and as responses report them.
#[derive(Debug, Default)]
pub struct Paces {
    services: HashMap<key::Service, Measured>,
    targets: key::Map<key::Target, Known>,
    readings: Readings,
    received: Option<Instant>,
}

impl Paces {
    /// Records what a response reports of its target's load.
    ///
    /// Returns whether it is the first one of the service that reports the pace of the host.
    pub fn record_occupancy(
        &mut self,
        target: &Target,
        occupancy: Occupancy,
        now: Instant,
    ) -> bool {
        let Some(percent) = occupancy.pace_percent else {
            return false;
        };
        let is_new = !self.services.contains_key(&target.service);
        self.services.entry(target.service).or_default();
        let known = self
            .targets
            .entry(target.key)
            .or_insert_with(|| Known::new(target.service, target.started_ms, now));
        let factor = f64::from(percent) / 100.0;
        let factor = factor.clamp(FACTORS.0, FACTORS.1);
        known.moment = (factor, now + MOMENT_LIFETIME);
        if occupancy.waiting > 0 {
            known.queued = Some(now);
        }
        is_new
    }

    /// Adds a sample of this VM: a time relative to the expected one.
    ///
    /// Targets of services that don't report the pace of their hosts are not measured.
    pub fn record_sample(&mut self, target: key::Target, ratio: f64, now: Instant) {
        if let Some(known) = self.targets.get_mut(&target) {
            known.own.add(log(ratio), now);
            known.sampled = now;
        }
    }

    /// Adds the time to the first event of a request as a sample.
    ///
    /// `sent` is the time at which the request was sent, and `prefill` the time that the prompts
    /// that were pending and its own take at normal speed. Nothing is known of a time in which the
    /// request may have waited for a slot or for memory.
    pub fn record_first_event(
        &mut self,
        target: key::Target,
        prefill: Duration,
        sent: Instant,
        now: Instant,
    ) {
        let Some(known) = self.targets.get(&target) else {
            return;
        };
        let has_queued = known.queued.is_some_and(|queued| queued >= sent);
        if !has_queued && prefill >= MIN_PREFILL {
            let ratio = now.since(sent).as_secs_f64() / prefill.as_secs_f64();
            self.record_sample(target, ratio, now);
        }
    }

    /// Returns whether a target is measured.
    pub fn is_measured(&self, target: key::Target) -> bool {
        self.targets.contains_key(&target)
    }

    /// Returns whether the measurements of the peers are due to be passed on.
    pub fn needs_readings(&self, now: Instant) -> bool {
        let is_due = |received| now.since(received) >= REFRESH_INTERVAL;
        !self.services.is_empty() && self.received.is_none_or(is_due)
    }

    /// Replaces the measurements of the peers.
    pub fn set_readings(&mut self, readings: Readings, now: Instant) {
        self.readings = readings;
        self.received = Some(now);
    }

    /// Computes the factors of a service's targets, of which all are given, if that is due.
    pub fn refresh(&mut self, service: key::Service, targets: &[Target], now: Instant) {
        let Some(measured) = self.services.get_mut(&service) else {
            return;
        };
        let is_due = |refreshed| now.since(refreshed) >= REFRESH_INTERVAL;
        if !measured.refreshed.is_none_or(is_due) {
            return;
        }
        measured.refreshed = Some(now);
        let mut means = Vec::with_capacity(targets.len());
        for target in targets {
            let known = self
                .targets
                .entry(target.key)
                .or_insert_with(|| Known::new(service, target.started_ms, now));
            known.update_process(target, now);
            let readings = self.readings.get(&target.key);
            known.update_mean(readings.map_or(&[], Vec::as_slice), now);
            let (mean, weight) = known.mean;
            if weight >= 0.5 {
                means.push(mean);
            }
        }
        means.sort_unstable_by(f64::total_cmp);
        let median = means.get(means.len().saturating_sub(1) / 2);
        measured.median = median.copied().unwrap_or_default();
        measured.slowest = FACTORS.0;
        for target in targets {
            if let Some(known) = self.targets.get_mut(&target.key) {
                known.update_factor(measured.median, now);
                measured.slowest = measured.slowest.max(known.factor);
            }
        }
        self.targets
            .retain(|_, known| now.since(known.listed) < UNLISTED_LIFETIME);
    }

    /// Returns the time that work takes at a target now, relative to the median one.
    ///
    /// What a host reports may or may not contain that it is slow at all times, so the larger of the
    /// two factors counts rather than their product.
    pub fn factor(&self, target: key::Target, now: Instant) -> f64 {
        let Some(known) = self.targets.get(&target) else {
            return 1.0;
        };
        let (moment, until) = known.moment;
        if now < until {
            known.factor.max(moment)
        } else {
            known.factor
        }
    }

    /// Returns the time that work takes at a target by the last response alone, if that is valid.
    pub fn momentary_factor(&self, target: key::Target, now: Instant) -> f64 {
        let known = self.targets.get(&target);
        let moment = known.map(|known| known.moment);
        moment
            .filter(|(_, until)| now < *until)
            .map_or(1.0, |(factor, _)| factor)
    }

    /// Returns the time that work takes at a target in the long run, relative to the median one.
    pub fn usual_factor(&self, target: key::Target) -> f64 {
        self.targets.get(&target).map_or(1.0, |known| known.factor)
    }

    /// Returns the factors of a target, for operators.
    pub fn factors(&self, target: key::Target, now: Instant) -> Factors {
        Factors {
            current: self.factor(target, now),
            usual: self.usual_factor(target),
        }
    }

    /// Returns this VM's measurements, for its reports.
    pub fn local(&self, now: Instant) -> HashMap<key::Target, Pace> {
        let targets = self.targets.iter();
        targets
            .filter_map(|(target, known)| Some((*target, known.own.pace(now)?)))
            .collect()
    }

    /// Returns the weighted means of this VM's measurements and those of the other VMs of its data
    /// centre, for its summaries.
    pub fn summarize(&self, readings: &Readings, now: Instant) -> HashMap<key::Target, Pace> {
        let summarized = self.targets.iter().filter_map(|(target, known)| {
            let readings = readings.get(target).map_or(&[][..], Vec::as_slice);
            let own = (known.own.log, known.own.weight(now));
            let (mut sum, mut total) = (0.0, 0.0);
            for (log, weight) in known.remote(readings, now).chain([own]) {
                sum += log * weight;
                total += weight;
            }
            let weight = total.min(MAX_WEIGHT).round() as u32;
            let pace = (weight > 0).then(|| Pace {
                percent: percent(sum / total),
                weight,
            });
            Some((*target, pace?))
        });
        summarized.collect()
    }

    /// Returns the spread of the factors of each measured service.
    pub fn spreads(&self) -> impl Iterator<Item = Spread> {
        let refreshed = self
            .services
            .iter()
            .filter(|(_, measured)| measured.refreshed.is_some());
        refreshed.map(|(service, measured)| Spread {
            service: *service,
            slowest: measured.slowest,
            median: measured.median.exp(),
        })
    }
}

/// Returns the mean of logarithms with weights, and the sum of the weights.
///
/// Measurements far from the others count less, as in a median.
fn mean(measurements: &(impl Iterator<Item = (f64, f64)> + Clone)) -> (f64, f64) {
    let total = measurements.clone().map(|(_, weight)| weight).sum();
    let mut mean: Option<f64> = None;
    for _ in 0..=MEAN_ROUNDS {
        let (mut sum, mut weights) = (0.0, 0.0);
        for (log, weight) in measurements.clone() {
            let deviation = mean.map_or(0.0, |mean| (log - mean).abs());
            let weight = weight / deviation.max(FULL_WEIGHT_DEVIATION);
            sum += log * weight;
            weights += weight;
        }
        if weights > 0.0 {
            mean = Some(sum / weights);
        }
    }
    (mean.unwrap_or_default(), total)
}

fn log(factor: f64) -> f64 {
    factor.clamp(FACTORS.0, FACTORS.1).ln()
}

fn percent(log: f64) -> u32 {
    (log.exp() * 100.0).round() as u32
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}
