//! Measurements of a run: one sample per request, and the statistics made of them.

use {
    hdrhistogram::Histogram,
    serde_json::{Value, json},
    std::time::Duration,
};

/// Longest recorded time, in microseconds; longer times count as this.
const MAX_MICROSECONDS: u64 = 600_000_000;
/// Significant decimal digits that histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Complete before its deadline.
    Good,
    /// Complete after its deadline.
    Late,
    /// Refused with a `Retry-After` header.
    Refused,
    /// Refused without a `Retry-After` header.
    RefusedWithoutRetryAfter,
    /// Failed: an error, an incomplete response or none at all.
    Failed,
}

/// One request as its caller saw it; times are measured from its intended arrival.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of its kind in the workload.
    pub kind: usize,
    /// Index of its customer in the workload.
    pub customer: usize,
    /// Intended arrival, measured from the start of the run.
    pub arrival: Duration,
    /// How the request ended.
    pub outcome: Outcome,
    /// Time at which each token arrived.
    pub token_times: Vec<Duration>,
    /// Time at which the request ended.
    pub elapsed: Duration,
}

impl Sample {
    /// Returns the time of each token after the first, with the gap since the token before it.
    pub fn gaps(&self) -> impl Iterator<Item = (Duration, Duration)> {
        let pairs = self.token_times.windows(2);
        pairs.map(|pair| (pair[1], pair[1].saturating_sub(pair[0])))
    }

    /// Returns the stall time: the part of each wait for a token that is beyond the threshold.
    ///
    /// The wait for the first token counts too; without any token it lasts until the request ended.
    pub fn stall_time(&self, threshold: Duration) -> Duration {
        let first = self.token_times.first().copied().unwrap_or(self.elapsed);
        let gaps = self.gaps().map(|(_, gap)| gap);
        let waits = std::iter::once(first).chain(gaps);
        waits.map(|wait| wait.saturating_sub(threshold)).sum()
    }
}

/// A histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Latencies {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    /// Returns the quantile in milliseconds, such as 0.99 for the p99; 0 if nothing was recorded.
    pub fn quantile(&self, quantile: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Statistics of the requests of one kind or one customer.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Number of requests sent.
    pub arrived: u64,
    /// Number of responses that were complete before their deadline.
    pub good: u64,
    /// Number of responses that were complete after their deadline.
    pub late: u64,
    /// Number of refusals.
    pub refused: u64,
    /// Number of refusals without a `Retry-After` header.
    pub refused_without_retry_after: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Times to first token.
    pub first_token: Latencies,
    /// Inter-token latencies.
    pub inter_token: Latencies,
    /// Stall times per request; refused requests don't count.
    pub stall: Latencies,
    /// Times to a refusal.
    pub refusal: Latencies,
}

impl Stats {
    /// Adds a request; waits beyond the threshold count as stall time.
    pub fn add(&mut self, sample: &Sample, stall_threshold: Duration) {
        self.arrived += 1;
        match sample.outcome {
            Outcome::Good => self.good += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused | Outcome::RefusedWithoutRetryAfter => {
                self.refused += 1;
                self.refused_without_retry_after +=
                    u64::from(sample.outcome == Outcome::RefusedWithoutRetryAfter);
                self.refusal.record(sample.elapsed);
                return;
            }
            Outcome::Failed => self.failed += 1,
        }
        if let Some(&first) = sample.token_times.first() {
            self.first_token.record(first);
        }
        for (_, gap) in sample.gaps() {
            self.inter_token.record(gap);
        }
        self.stall.record(sample.stall_time(stall_threshold));
    }

    /// Returns the statistics as JSON; times are in milliseconds.
    pub fn to_json(&self) -> Value {
        json!({
            "arrived": self.arrived,
            "good": self.good,
            "late": self.late,
            "refused": self.refused,
            "refused_without_retry_after": self.refused_without_retry_after,
            "failed": self.failed,
            "first_token_ms": quantiles(&self.first_token),
            "between_tokens_ms": quantiles(&self.inter_token),
            "stall_ms": quantiles(&self.stall),
            "refusal_ms": quantiles(&self.refusal),
        })
    }
}

fn quantiles(latencies: &Latencies) -> Value {
    json!({
        "p50": latencies.quantile(0.5),
        "p95": latencies.quantile(0.95),
        "p99": latencies.quantile(0.99),
        "p999": latencies.quantile(0.999),
    })
}

/// Measurements of one second of a run.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Inter-token latencies in seconds.
    pub inter_token: Vec<f32>,
    /// Stall time, in seconds, of the waits that a token ended in this second.
    pub stall: f32,
}

/// One run of a workload with one policy.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Routing policy; empty for a system that was not started by this process.
    pub policy: Box<str>,
    /// Statistics per kind of request, in the order of the workload.
    pub kinds: Vec<(Box<str>, Stats)>,
    /// Statistics per customer, over all kinds.
    pub customers: Vec<(Box<str>, Stats)>,
    /// Number of preemptions, as counted by the engines.
    pub preemptions: u64,
    /// Number of generations, as counted by the engines.
    pub generations: u64,
    /// One bucket per second of the run, warm-up included.
    pub timeline: Vec<Bucket>,
}

impl Run {
    /// Adds a request to the timeline and, unless it arrived during warm-up, to the statistics.
    pub fn add(&mut self, sample: &Sample, stall_threshold: Duration, warmup: Duration) {
        let mut previous = Duration::ZERO;
        for (index, &token) in sample.token_times.iter().enumerate() {
            let gap = token.saturating_sub(previous);
            previous = token;
            let bucket = self.bucket(sample.arrival + token);
            bucket.stall += gap.saturating_sub(stall_threshold).as_secs_f32();
            if index > 0 {
                bucket.inter_token.push(gap.as_secs_f32());
            }
        }
        if sample.arrival < warmup {
            return;
        }
        self.kinds[sample.kind].1.add(sample, stall_threshold);
        self.customers[sample.customer]
            .1
            .add(sample, stall_threshold);
    }

    /// Returns the bucket of a time since the start of the run.
    fn bucket(&mut self, time: Duration) -> &mut Bucket {
        let index = time.as_secs() as usize;
        if self.timeline.len() <= index {
            self.timeline.resize_with(index + 1, Bucket::default);
        }
        &mut self.timeline[index]
    }

    /// Returns the sum of a count over all kinds.
    pub fn total(&self, count: impl Fn(&Stats) -> u64) -> u64 {
        self.kinds.iter().map(|(_, stats)| count(stats)).sum()
    }

    /// Returns the preemptions per thousand generations.
    pub fn preemption_rate(&self) -> f64 {
        self.preemptions as f64 * 1_000.0 / (self.generations.max(1)) as f64
    }

    /// Returns the results as JSON.
    pub fn to_json(&self) -> Value {
        let to_object = |list: &[(Box<str>, Stats)]| {
            let pairs = list
                .iter()
                .map(|(name, stats)| (name.to_string(), stats.to_json()));
            Value::Object(pairs.collect())
        };
        json!({
            "policy": self.policy,
            "kinds": to_object(&self.kinds),
            "customers": to_object(&self.customers),
            "preemptions": self.preemptions,
            "generations": self.generations,
        })
    }
}
