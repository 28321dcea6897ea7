//! Estimates of output lengths from what has ended and what was cut off or still runs.
//!
//! Lengths are counted in buckets of a quarter of a doubling. The survival curve is the actuarial
//! (life table) form of the Kaplan–Meier estimator, so requests that were cancelled or still run
//! count as longer than what they have produced, not as ended there.

use {
    base::key,
    std::{array, collections::HashMap, fmt},
};

/// Buckets of one doubling.
const PER_DOUBLING: usize = 4;
/// Number of buckets; the last one begins near 250,000 tokens.
pub const BUCKETS: usize = 72;
/// Total weight above which a histogram halves its counts, so that old lengths fade.
const FULL_WEIGHT: f32 = 2_000.0;
/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f32 = 4.0;
/// Share of the prior in a bucket over that in the one before; a doubling has 2^-1/2 of the last.
const PRIOR_RATIO: f32 = 0.917;
/// Observations that a customer class needs before its own histogram is used.
const OWN_WEIGHT: f32 = 32.0;

/// Requests whose lengths are alike.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Group {
    /// The service.
    pub service: key::Service,
    /// Index of the class within the service.
    pub class: usize,
    /// Class of the customer by its weight; `None` for all customers together.
    pub customers: Option<u8>,
}

impl Group {
    /// Returns the group of all customers.
    #[must_use]
    pub fn of_all(self) -> Self {
        Self {
            customers: None,
            ..self
        }
    }
}

/// Returns the bucket of a length in tokens.
pub fn bucket(tokens: u32) -> usize {
    let tokens = tokens.max(1);
    let doubling = tokens.ilog2() as usize;
    let quarter = ((u64::from(tokens) << 2) >> doubling) as usize & (PER_DOUBLING - 1);
    (doubling * PER_DOUBLING + quarter).min(BUCKETS - 1)
}

/// Returns the length at which a bucket begins, in tokens.
fn start(bucket: usize) -> f32 {
    let quarters = (PER_DOUBLING + bucket % PER_DOUBLING) as f32 / PER_DOUBLING as f32;
    quarters * (1_u32 << (bucket / PER_DOUBLING)) as f32
}

/// Probabilities of reaching a length, and what is expected beyond it.
#[derive(Clone)]
pub struct Curve {
    /// Probability of reaching the start of each bucket.
    survival: [f32; BUCKETS],
    /// Integral of the survival from the start of each bucket on, in tokens.
    tail: [f32; BUCKETS],
}

impl fmt::Debug for Curve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Curve")
            .field("mean", &self.mean())
            .finish_non_exhaustive()
    }
}

impl Curve {
    /// Makes a curve from the probability of ending in each bucket once it is reached.
    fn from_hazards(hazards: &[f32; BUCKETS]) -> Self {
        let mut survival = [1.0; BUCKETS];
        for index in 1..BUCKETS {
            survival[index] = survival[index - 1] * (1.0 - hazards[index - 1]);
        }
        let mut tail = [0.0; BUCKETS];
        for index in (0..BUCKETS - 1).rev() {
            let width = start(index + 1) - start(index);
            tail[index] =
                tail[index + 1] + width * f32::midpoint(survival[index], survival[index + 1]);
        }
        Self { survival, tail }
    }

    /// Returns the bucket of a length and the share of the bucket that lies before it.
    fn locate(tokens: f32) -> (usize, f32) {
        let index = bucket(tokens as u32);
        if index + 1 == BUCKETS {
            return (index, 0.0);
        }
        let begin = start(index);
        let share = (tokens - begin) / (start(index + 1) - begin);
        (index, share.clamp(0.0, 1.0))
    }

    fn reach(&self, tokens: f32) -> f32 {
        let (index, share) = Self::locate(tokens);
        let next = self.survival[(index + 1).min(BUCKETS - 1)];
        self.survival[index] + share * (next - self.survival[index])
    }

    fn beyond(&self, tokens: f32) -> f32 {
        let (index, share) = Self::locate(tokens);
        let next = self.tail[(index + 1).min(BUCKETS - 1)];
        self.tail[index] + share * (next - self.tail[index])
    }

    /// Returns the mean length in tokens.
    pub fn mean(&self) -> f32 {
        1.0 + self.tail[0]
    }

    /// Returns the probability that an output of a length goes on for more tokens.
    pub fn continues(&self, produced: u32, more: u32) -> f32 {
        let reached = self.reach(produced as f32).max(f32::MIN_POSITIVE);
        (self.reach(produced as f32 + more as f32) / reached).clamp(0.0, 1.0)
    }

    /// Returns the expected further tokens of an output of a length, at most `limit` in all.
    pub fn rest(&self, produced: u32, limit: u32) -> f32 {
        if produced >= limit {
            return 0.0;
        }
        let reached = self.reach(produced as f32).max(f32::MIN_POSITIVE);
        let area = self.beyond(produced as f32) - self.beyond(limit as f32);
        (area / reached).clamp(0.0, (limit - produced) as f32)
    }

    /// Returns the length that half of the outputs reach, in tokens.
    pub fn median(&self) -> u32 {
        let half = self.survival.iter().rposition(|&reached| reached >= 0.5);
        start(half.unwrap_or(0)) as u32
    }

    /// Returns the probability that an output met at a random moment goes on for more tokens.
    pub fn renews(&self, more: u32) -> f32 {
        (self.beyond(more as f32) / self.tail[0].max(f32::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

/// Lengths of one group.
struct Histogram {
    ended: [f32; BUCKETS],
    censored: [f32; BUCKETS],
    running: [u32; BUCKETS],
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
    /// Makes a histogram with a heavy-tailed prior up to a limit.
    fn new(limit: u32) -> Self {
        let last = bucket(limit);
        let first = PRIOR_WEIGHT * (1.0 - PRIOR_RATIO);
        let share = |index: usize| first * PRIOR_RATIO.powf(index as f32);
        let mut histogram = Self {
            ended: array::from_fn(|index| if index <= last { share(index) } else { 0.0 }),
            censored: [0.0; BUCKETS],
            running: [0; BUCKETS],
            weight: 0.0,
            curve: Curve::from_hazards(&[0.0; BUCKETS]),
        };
        histogram.refresh();
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
        if self.weight > FULL_WEIGHT {
            self.fade();
        }
        self.refresh();
    }

    fn fade(&mut self) {
        self.weight /= 2.0;
        for count in self.ended.iter_mut().chain(&mut self.censored) {
            *count /= 2.0;
        }
    }

    fn refresh(&mut self) {
        let mut at_risk = 0.0;
        let mut hazards = [1.0; BUCKETS];
        for index in (0..BUCKETS).rev() {
            let cut = self.censored[index] + self.running[index] as f32;
            at_risk += self.ended[index] + cut;
            let exposed = at_risk - cut / 2.0;
            if exposed > 0.0 {
                hazards[index] = (self.ended[index] / exposed).clamp(0.0, 1.0);
            }
        }
        self.curve = Curve::from_hazards(&hazards);
    }
}

/// The histograms of all groups.
#[derive(Debug, Default)]
pub struct Book {
    groups: HashMap<Group, Histogram>,
}

impl Book {
    /// Makes sure that a group and the one of all its customers exist.
    pub fn open(&mut self, group: Group, limit: u32) {
        for group in [group, group.of_all()] {
            self.groups
                .entry(group)
                .or_insert_with(|| Histogram::new(limit));
        }
    }

    /// Returns the curve of a group, or of all customers while the group has seen too little.
    pub fn curve(&self, group: Group) -> Option<&Curve> {
        let own = self.groups.get(&group);
        let known = own.filter(|histogram| histogram.weight >= OWN_WEIGHT);
        let histogram = known.or_else(|| self.groups.get(&group.of_all()))?;
        Some(&histogram.curve)
    }

    /// Notes a length that ended, or was cut off if it is not complete.
    pub fn observe(&mut self, group: Group, tokens: u32, complete: bool) {
        for group in [group, group.of_all()] {
            if let Some(histogram) = self.groups.get_mut(&group) {
                histogram.observe(tokens, complete);
            }
        }
    }

    /// Moves a running request between buckets; `None` is before its start or after its end.
    pub fn advance(&mut self, group: Group, from: Option<usize>, to: Option<usize>) {
        for group in [group, group.of_all()] {
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
