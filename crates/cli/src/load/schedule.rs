//! The arrivals of a workload: open loop, a function of the seed alone.

use {
    crate::load::workload::{Customer, Kind, Workload},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// One request to send.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// Index of the kind.
    pub kind: usize,
    /// Index of the customer.
    pub customer: usize,
    /// The prompt; it tells the stand-in alone how long the output is.
    pub prompt: Box<str>,
    /// A number that picks the entry VM.
    pub vm: usize,
}

/// Returns the arrivals in the order of time.
///
/// Each customer has a stream of its own, so that another customer changes nothing for it.
pub fn arrivals(workload: &Workload) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (customer, settings) in workload.customers.iter().enumerate() {
        for kind in 0..workload.kinds.len() {
            let seed = workload.seed << 16 ^ (customer as u64) << 8 ^ kind as u64;
            let random = SmallRng::seed_from_u64(seed);
            stream(workload, customer, settings, kind, random, &mut arrivals);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn stream(
    workload: &Workload,
    customer: usize,
    settings: &Customer,
    index: usize,
    mut random: SmallRng,
    arrivals: &mut Vec<Arrival>,
) {
    let kind = &workload.kinds[index];
    let rate = workload.rate(kind) * settings.share;
    let most = rate * kind.burst_factor.max(1.0);
    let mut at = 0.0;
    loop {
        at -= (1.0 - random.random::<f64>()).ln() / most;
        if at >= workload.duration.as_secs_f64() {
            return;
        }
        // Thinning: the stream runs at the rate of the burst and loses the surplus outside it.
        let kept = rate * factor(kind, at) / most;
        if !random.random_bool(kept.clamp(0.0, 1.0)) {
            continue;
        }
        let tokens = length(kind, &mut random);
        let serial = random.random::<u64>();
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            kind: index,
            customer,
            prompt: prompt(kind, serial, tokens).into(),
            vm: random.random_range(0..usize::MAX),
        });
    }
}

fn factor(kind: &Kind, at: f64) -> f64 {
    let begin = kind.burst_at.as_secs_f64();
    let end = begin + kind.burst_for.as_secs_f64();
    if (begin..end).contains(&at) {
        return kind.burst_factor;
    }
    1.0
}

/// Draws a log-normal length.
fn length(kind: &Kind, random: &mut SmallRng) -> u32 {
    let angle = std::f64::consts::TAU * random.random::<f64>();
    let normal = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt() * angle.cos();
    (kind.median * (kind.spread * normal).exp()).max(1.0) as u32
}

/// Writes a prompt; the marker at its end tells the stand-in how long its output is.
fn prompt(kind: &Kind, serial: u64, tokens: u32) -> String {
    let start = serial % kind.starts.max(1);
    let mut text = format!("{} {start} ", kind.name).repeat(kind.shared / 4 + 1);
    text.truncate(kind.shared);
    let end = format!(" {serial:016x} #tokens={tokens}");
    while text.len() + end.len() < kind.prompt {
        text.push('.');
    }
    text + &end
}
