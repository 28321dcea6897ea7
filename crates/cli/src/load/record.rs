//! What was seen of the answers.

use {
    hdrhistogram::Histogram,
    serde_json::{Value, json},
    std::time::Duration,
};

/// Longest time that is recorded, in microseconds.
const LONGEST: u64 = 600_000_000;
/// Digits that histograms keep.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Whole, in time.
    Good,
    /// Whole, after its deadline.
    Late,
    /// Refused with a time to come back.
    Refused,
    /// Refused without one.
    RefusedWithoutRetryAfter,
    /// Broken off, or no answer.
    Failed,
}

/// One request as its caller saw it; times are from its intended arrival.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the kind.
    pub kind: usize,
    /// Index of the customer.
    pub customer: usize,
    /// Intended arrival, from the start of the run.
    pub arrival: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// When each token came; the first gap is counted from the arrival.
    pub token_times: Vec<Duration>,
    /// When it ended.
    pub elapsed: Duration,
}

impl Sample {
    /// Returns the time between tokens, the wait for the first one left out.
    pub fn gaps(&self) -> impl Iterator<Item = (Duration, Duration)> {
        let pairs = self.token_times.windows(2);
        pairs.map(|pair| (pair[1], pair[1].saturating_sub(pair[0])))
    }

    /// Returns the stall time: waits without a token beyond the pace, the first wait included.
    pub fn stall_time(&self, pace: Duration) -> Duration {
        let first = self.token_times.first().copied().unwrap_or(self.elapsed);
        let gaps = self.gaps().map(|(_, gap)| gap);
        let waits = std::iter::once(first).chain(gaps);
        waits.map(|wait| wait.saturating_sub(pace)).sum()
    }
}

/// Times in microseconds.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST, DIGITS);
        Self(histogram.expect("the bounds are sound"))
    }
}

impl Times {
    /// Records a time.
    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Returns the quantile of a share in milliseconds.
    pub fn quantile(&self, share: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(share) as f64 / 1_000.0
    }
}

/// The figures of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Whole answers in time.
    pub good: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Refusals.
    pub refused: u64,
    /// Refusals without a time to come back.
    pub refused_without_retry_after: u64,
    /// Answers that broke off.
    pub failed: u64,
    /// Waits for the first token.
    pub first: Times,
    /// Times between tokens.
    pub gaps: Times,
    /// Stall times of requests that were not refused.
    pub stalls: Times,
    /// Times to a refusal.
    pub refusals: Times,
}

impl Stats {
    /// Adds a request.
    pub fn add(&mut self, sample: &Sample, pace: Duration) {
        self.arrived += 1;
        match sample.outcome {
            Outcome::Good => self.good += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused | Outcome::RefusedWithoutRetryAfter => {
                self.refused += 1;
                self.refused_without_retry_after +=
                    u64::from(sample.outcome == Outcome::RefusedWithoutRetryAfter);
                self.refusals.add(sample.elapsed);
                return;
            }
            Outcome::Failed => self.failed += 1,
        }
        if let Some(&first) = sample.token_times.first() {
            self.first.add(first);
        }
        for (_, gap) in sample.gaps() {
            self.gaps.add(gap);
        }
        self.stalls.add(sample.stall_time(pace));
    }

    /// Returns the figures as JSON; times are in milliseconds.
    pub fn json(&self) -> Value {
        json!({
            "arrived": self.arrived,
            "good": self.good,
            "late": self.late,
            "refused": self.refused,
            "refused_without_retry_after": self.refused_without_retry_after,
            "failed": self.failed,
            "first_token_ms": quantiles(&self.first),
            "between_tokens_ms": quantiles(&self.gaps),
            "stall_ms": quantiles(&self.stalls),
            "refusal_ms": quantiles(&self.refusals),
        })
    }
}

fn quantiles(times: &Times) -> Value {
    json!({
        "p50": times.quantile(0.5),
        "p95": times.quantile(0.95),
        "p99": times.quantile(0.99),
        "p999": times.quantile(0.999),
    })
}

/// What happened in one second of a run.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Times between tokens.
    pub gaps: Vec<f32>,
    /// Stall time of all requests in seconds.
    pub stall: f32,
}

/// One run of a workload with one policy.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The policy; empty if the system was not started here.
    pub policy: Box<str>,
    /// Figures by kind, in the order of the workload.
    pub kinds: Vec<(Box<str>, Stats)>,
    /// Figures of each customer, over all kinds.
    pub customers: Vec<(Box<str>, Stats)>,
    /// Preemptions as the engines count them.
    pub preemptions: u64,
    /// Generations as the engines count them.
    pub generations: u64,
    /// The course of the run.
    pub seconds: Vec<Second>,
}

impl Run {
    /// Adds a request to the course, and to the figures unless it belongs to the warm-up.
    pub fn add(&mut self, sample: &Sample, pace: Duration, warmup: Duration) {
        let mut before = Duration::ZERO;
        for (index, &token) in sample.token_times.iter().enumerate() {
            let gap = token.saturating_sub(before);
            before = token;
            let second = self.second(sample.arrival + token);
            second.stall += gap.saturating_sub(pace).as_secs_f32();
            if index > 0 {
                second.gaps.push(gap.as_secs_f32());
            }
        }
        if sample.arrival < warmup {
            return;
        }
        self.kinds[sample.kind].1.add(sample, pace);
        self.customers[sample.customer].1.add(sample, pace);
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let index = at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, Second::default);
        }
        &mut self.seconds[index]
    }

    /// Returns the figures over all kinds.
    pub fn total(&self, count: impl Fn(&Stats) -> u64) -> u64 {
        self.kinds.iter().map(|(_, figure)| count(figure)).sum()
    }

    /// Returns the preemptions per thousand generations.
    pub fn preemption_rate(&self) -> f64 {
        self.preemptions as f64 * 1_000.0 / (self.generations.max(1)) as f64
    }

    /// Returns the run as JSON.
    pub fn json(&self) -> Value {
        let figures = |list: &[(Box<str>, Stats)]| {
            let pairs = list
                .iter()
                .map(|(name, figure)| (name.to_string(), figure.json()));
            Value::Object(pairs.collect())
        };
        json!({
            "policy": self.policy,
            "kinds": figures(&self.kinds),
            "customers": figures(&self.customers),
            "preemptions": self.preemptions,
            "generations": self.generations,
        })
    }
}
