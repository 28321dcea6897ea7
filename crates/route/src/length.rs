//! Estimates of output lengths from complete, cut-off and running outputs.
//!
//! Lengths are counted in four buckets per doubling. The survival curve is the actuarial (life
//! table) form of the Kaplan–Meier estimator: requests that were cancelled or still run are
//! censored, so they count as longer than what they have produced, not as ended there.

use {
    base::key,
    std::{array, collections::HashMap, fmt},
};

/// Buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: usize = 4;
/// Number of buckets; the last one starts near 250,000 tokens.
pub const BUCKET_COUNT: usize = 72;
/// Total weight above which a histogram halves its counts, so that old lengths lose influence.
const DECAY_WEIGHT: f32 = 2_000.0;
/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f32 = 4.0;
/// Ratio of the prior shares of a bucket and the one before, so 2^-1/2 for each doubling.
const PRIOR_BUCKET_RATIO: f32 = 0.917;
/// Observations that a weight class needs before its own histogram is used.
const MIN_GROUP_WEIGHT: f32 = 32.0;

/// A group of requests with similar output lengths.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Group {
    /// The service.
    pub service: key::Service,
    /// Index of the class within the service.
    pub class: usize,
    /// Binary logarithm of the customer's weight; `None` for all customers together.
    pub weight_class: Option<u8>,
}

impl Group {
    /// Returns the group of all customers of the class.
    #[must_use]
    pub fn all_customers(self) -> Self {
        Self {
            weight_class: None,
            ..self
        }
    }
}

/// Returns the bucket of a length in tokens.
pub fn bucket(tokens: u32) -> usize {
    let tokens = tokens.max(1);
    let doubling = tokens.ilog2() as usize;
    let quarter = ((u64::from(tokens) << 2) >> doubling) as usize & (BUCKETS_PER_DOUBLING - 1);
    (doubling * BUCKETS_PER_DOUBLING + quarter).min(BUCKET_COUNT - 1)
}

/// Returns the length at which a bucket starts, in tokens.
fn bucket_start(bucket: usize) -> f32 {
    let factor =
        (BUCKETS_PER_DOUBLING + bucket % BUCKETS_PER_DOUBLING) as f32 / BUCKETS_PER_DOUBLING as f32;
    factor * (1_u32 << (bucket / BUCKETS_PER_DOUBLING)) as f32
}

/// Survival curve of output lengths.
#[derive(Clone)]
pub struct Curve {
    /// Probability of reaching the start of each bucket.
    survival: [f32; BUCKET_COUNT],
    /// Integral of the survival beyond the start of each bucket, in tokens.
    tail: [f32; BUCKET_COUNT],
}

impl fmt::Debug for Curve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Curve")
            .field("mean", &self.mean())
            .finish_non_exhaustive()
    }
}

impl Curve {
    /// Creates a curve from the probability of ending in each bucket once it is reached.
    fn from_hazards(hazards: &[f32; BUCKET_COUNT]) -> Self {
        let mut survival = [1.0; BUCKET_COUNT];
        for index in 1..BUCKET_COUNT {
            survival[index] = survival[index - 1] * (1.0 - hazards[index - 1]);
        }
        let mut tail = [0.0; BUCKET_COUNT];
        for index in (0..BUCKET_COUNT - 1).rev() {
            let width = bucket_start(index + 1) - bucket_start(index);
            tail[index] =
                tail[index + 1] + width * f32::midpoint(survival[index], survival[index + 1]);
        }
        Self { survival, tail }
    }

    /// Returns the bucket of a length and its relative position in the bucket, 0 to 1.
    fn locate(tokens: f32) -> (usize, f32) {
        let index = bucket(tokens as u32);
        if index + 1 == BUCKET_COUNT {
            return (index, 0.0);
        }
        let start = bucket_start(index);
        let position = (tokens - start) / (bucket_start(index + 1) - start);
        (index, position.clamp(0.0, 1.0))
    }

    fn survival_at(&self, tokens: f32) -> f32 {
        let (index, position) = Self::locate(tokens);
        let next = self.survival[(index + 1).min(BUCKET_COUNT - 1)];
        self.survival[index] + position * (next - self.survival[index])
    }

    fn tail_at(&self, tokens: f32) -> f32 {
        let (index, position) = Self::locate(tokens);
        let next = self.tail[(index + 1).min(BUCKET_COUNT - 1)];
        self.tail[index] + position * (next - self.tail[index])
    }

    /// Returns the mean length in tokens.
    pub fn mean(&self) -> f32 {
        1.0 + self.tail[0]
    }

    /// Returns the probability that an output of `output_tokens` goes on for `more_tokens`.
    pub fn continue_probability(&self, output_tokens: u32, more_tokens: u32) -> f32 {
        let reached = self
            .survival_at(output_tokens as f32)
            .max(f32::MIN_POSITIVE);
        (self.survival_at(output_tokens as f32 + more_tokens as f32) / reached).clamp(0.0, 1.0)
    }

    /// Returns the expected further tokens after `output_tokens`, with at most `max_tokens` in all.
    pub fn expected_remaining(&self, output_tokens: u32, max_tokens: u32) -> f32 {
        if output_tokens >= max_tokens {
            return 0.0;
        }
        let reached = self
            .survival_at(output_tokens as f32)
            .max(f32::MIN_POSITIVE);
        let area = self.tail_at(output_tokens as f32) - self.tail_at(max_tokens as f32);
        (area / reached).clamp(0.0, (max_tokens - output_tokens) as f32)
    }

    /// Returns the median length in tokens.
    pub fn median(&self) -> u32 {
        let median = self.survival.iter().rposition(|&reached| reached >= 0.5);
        bucket_start(median.unwrap_or(0)) as u32
    }

    /// Returns the probability that an output seen at a random time goes on for `more_tokens`.
    pub fn residual_survival(&self, more_tokens: u32) -> f32 {
        (self.tail_at(more_tokens as f32) / self.tail[0].max(f32::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

/// Length counts of one group, by bucket.
struct Histogram {
    ended: [f32; BUCKET_COUNT],
    censored: [f32; BUCKET_COUNT],
    running: [u32; BUCKET_COUNT],
    /// Number of observations, halved along with the counts.
    weight: f32,
    curve: Curve,
}

impl fmt::Debug for Histogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Histogram")
            .field("weight", &self.weight)
            .field("curve", &self.curve)
            .finish_non_exhaustive()
    }
}

impl Histogram {
    /// Creates a histogram with a heavy-tailed prior up to a maximum length.
    fn new(max_tokens: u32) -> Self {
        let last = bucket(max_tokens);
        let first = PRIOR_WEIGHT * (1.0 - PRIOR_BUCKET_RATIO);
        let share = |index: usize| first * PRIOR_BUCKET_RATIO.powf(index as f32);
        let mut histogram = Self {
            ended: array::from_fn(|index| if index <= last { share(index) } else { 0.0 }),
            censored: [0.0; BUCKET_COUNT],
            running: [0; BUCKET_COUNT],
            weight: 0.0,
            curve: Curve::from_hazards(&[0.0; BUCKET_COUNT]),
        };
        histogram.update_curve();
        histogram
    }

    fn observe(&mut self, tokens: u32, complete: bool) {
        let counts = if complete {
            &mut self.ended
        } else {
            &mut self.censored
        };
        counts[bucket(tokens)] += 1.0;
        self.weight += 1.0;
        if self.weight > DECAY_WEIGHT {
            self.decay();
        }
        self.update_curve();
    }

    fn decay(&mut self) {
        self.weight /= 2.0;
        for count in self.ended.iter_mut().chain(&mut self.censored) {
            *count /= 2.0;
        }
    }

    fn update_curve(&mut self) {
        let mut at_risk = 0.0;
        let mut hazards = [1.0; BUCKET_COUNT];
        for index in (0..BUCKET_COUNT).rev() {
            let censored = self.censored[index] + self.running[index] as f32;
            at_risk += self.ended[index] + censored;
            let exposed = at_risk - censored / 2.0;
            if exposed > 0.0 {
                hazards[index] = (self.ended[index] / exposed).clamp(0.0, 1.0);
            }
        }
        self.curve = Curve::from_hazards(&hazards);
    }
}

/// Length estimator with a histogram per group.
#[derive(Debug, Default)]
pub struct Estimator {
    groups: HashMap<Group, Histogram>,
}

impl Estimator {
    /// Creates the histograms of a group and of its class as a whole if they are missing.
    pub fn ensure_group(&mut self, group: Group, max_tokens: u32) {
        for group in [group, group.all_customers()] {
            self.groups
                .entry(group)
                .or_insert_with(|| Histogram::new(max_tokens));
        }
    }

    /// Returns the curve of a group, or of its class while the group has too few observations.
    pub fn curve(&self, group: Group) -> Option<&Curve> {
        let own = self.groups.get(&group);
        let trusted = own.filter(|histogram| histogram.weight >= MIN_GROUP_WEIGHT);
        let histogram = trusted.or_else(|| self.groups.get(&group.all_customers()))?;
        Some(&histogram.curve)
    }

    /// Records the length of an output that is complete, or censored if it was cut off.
    pub fn observe(&mut self, group: Group, tokens: u32, complete: bool) {
        for group in [group, group.all_customers()] {
            if let Some(histogram) = self.groups.get_mut(&group) {
                histogram.observe(tokens, complete);
            }
        }
    }

    /// Moves a running request between buckets; `None` means not yet started or already ended.
    pub fn move_running(&mut self, group: Group, from: Option<usize>, to: Option<usize>) {
        for group in [group, group.all_customers()] {
            let Some(histogram) = self.groups.get_mut(&group) else {
                continue;
            };
            if let Some(from) = from {
                histogram.running[from] = histogram.running[from].saturating_sub(1);
            }
            if let Some(to) = to {
                histogram.running[to] += 1;
            }
        }
    }
}
