//! The arrivals of a workload: open loop, and reproducible from the seed.

use {
    crate::load::workload::{Customer, Kind, Workload},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// One request to send.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Intended time of arrival, measured from the start of the run.
    pub at: Duration,
    /// Index of its kind in the workload.
    pub kind: usize,
    /// Index of its customer in the workload.
    pub customer: usize,
    /// Prompt; only the fake engine reads the output length from it.
    pub prompt: Box<str>,
    /// Random number that selects the entry VM, modulo their number.
    pub vm_choice: usize,
}

/// Returns all arrivals, ordered by time.
///
/// Each customer and kind has its own random stream, so that adding a customer does not change the
/// arrivals of the others.
pub fn arrivals(workload: &Workload) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, customer) in workload.customers.iter().enumerate() {
        for kind in 0..workload.kinds.len() {
            let seed = workload.seed << 16 ^ (index as u64) << 8 ^ kind as u64;
            let rng = SmallRng::seed_from_u64(seed);
            add_stream(workload, index, customer, kind, rng, &mut arrivals);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Adds the arrivals of one customer and kind, a Poisson process whose rate rises in the burst.
fn add_stream(
    workload: &Workload,
    customer_index: usize,
    customer: &Customer,
    kind_index: usize,
    mut rng: SmallRng,
    arrivals: &mut Vec<Arrival>,
) {
    let kind = &workload.kinds[kind_index];
    let rate = workload.rate(kind) * customer.share;
    let peak_rate = rate * kind.burst_factor.max(1.0);
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / peak_rate;
        if at >= workload.duration.as_secs_f64() {
            return;
        }
        // Thinning: arrivals are drawn at the peak rate, and those in excess of the current rate
        // are dropped.
        let acceptance = rate * rate_factor(kind, at) / peak_rate;
        if !rng.random_bool(acceptance.clamp(0.0, 1.0)) {
            continue;
        }
        let tokens = output_length(kind, &mut rng);
        let serial = rng.random::<u64>();
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            kind: kind_index,
            customer: customer_index,
            prompt: build_prompt(kind, serial, tokens).into(),
            vm_choice: rng.random_range(0..usize::MAX),
        });
    }
}

/// Returns the factor of the arrival rate at a time in seconds.
fn rate_factor(kind: &Kind, at: f64) -> f64 {
    let start = kind.burst_start.as_secs_f64();
    let end = start + kind.burst_duration.as_secs_f64();
    if (start..end).contains(&at) {
        return kind.burst_factor;
    }
    1.0
}

/// Draws a log-normal output length in tokens, with the Box-Muller transform.
fn output_length(kind: &Kind, rng: &mut SmallRng) -> u32 {
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    let normal = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt() * angle.cos();
    (kind.median_tokens * (kind.sigma * normal).exp()).max(1.0) as u32
}

/// Builds a prompt with a shared prefix; a marker at its end sets the fake engine's output length.
fn build_prompt(kind: &Kind, serial: u64, tokens: u32) -> String {
    let prefix = serial % kind.distinct_prefixes.max(1);
    let mut text = format!("{} {prefix} ", kind.name).repeat(kind.shared_bytes / 4 + 1);
    text.truncate(kind.shared_bytes);
    let suffix = format!(" {serial:016x} #tokens={tokens}");
    while text.len() + suffix.len() < kind.prompt_bytes {
        text.push('.');
    }
    text + &suffix
}
