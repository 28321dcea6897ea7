//! Tables of runs, and ratios between them.

use {
    crate::load::record::{Run, Stats},
    std::fmt::Write,
};

/// A measure and how to read it from a run.
type Measure = (&'static str, fn(&Run) -> f64);

/// The measures whose ratios a comparison prints.
const MEASURES: [Measure; 6] = [
    ("goodput", |run| run.total(|figure| figure.good) as f64),
    ("preemptions per 1000", Run::preemption_rate),
    ("first kind's p99 stall", |run| {
        first(run).stalls.quantile(0.99)
    }),
    ("last kind's p99 stall", |run| {
        last(run).stalls.quantile(0.99)
    }),
    ("last kind's p99 between tokens", |run| {
        last(run).gaps.quantile(0.99)
    }),
    ("last kind's p99.9 between tokens", |run| {
        last(run).gaps.quantile(0.999)
    }),
];

fn first(run: &Run) -> &Stats {
    &run.kinds[0].1
}

fn last(run: &Run) -> &Stats {
    &run.kinds[run.kinds.len() - 1].1
}

/// Writes the figures of a run; times are in milliseconds.
pub fn run(run: &Run) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{}: {} preemptions in {} generations, {:.1} per 1000",
        if run.policy.is_empty() {
            "system"
        } else {
            &run.policy
        },
        run.preemptions,
        run.generations,
        run.preemption_rate()
    );
    let _ = writeln!(
        text,
        "{:14}{:>8}{:>7}{:>6}{:>8}{:>7}{:>10}{:>10}{:>10}{:>9}{:>9}{:>9}{:>9}",
        "kind",
        "arrived",
        "good",
        "late",
        "refused",
        "failed",
        "first p50",
        "first p99",
        "stall p99",
        "gap p95",
        "gap p99",
        "gap p999",
        "ref p99"
    );
    for (name, figure) in run.kinds.iter().chain(&run.customers) {
        row(&mut text, name, figure);
    }
    text
}

fn row(text: &mut String, name: &str, figure: &Stats) {
    let _ = writeln!(
        text,
        "{name:14}{:8}{:7}{:6}{:8}{:7}{:10.1}{:10.1}{:10.1}{:9.1}{:9.1}{:9.1}{:9.1}",
        figure.arrived,
        figure.good,
        figure.late,
        figure.refused,
        figure.failed,
        figure.first.quantile(0.5),
        figure.first.quantile(0.99),
        figure.stalls.quantile(0.99),
        figure.gaps.quantile(0.95),
        figure.gaps.quantile(0.99),
        figure.gaps.quantile(0.999),
        figure.refusals.quantile(0.99),
    );
}

/// Writes the ratios of the first policy to each other one, round by round: median, least, most.
pub fn ratios(rounds: &[Vec<Run>]) -> String {
    let mut text = String::new();
    let Some(policies) = rounds.first().filter(|runs| runs.len() > 1) else {
        return text;
    };
    for (other, base) in policies.iter().enumerate().skip(1) {
        let _ = writeln!(
            text,
            "{} over {}, {} rounds",
            policies[0].policy,
            base.policy,
            rounds.len()
        );
        for (name, measure) in MEASURES {
            let ratios = rounds
                .iter()
                .map(|runs| ratio(measure(&runs[0]), measure(&runs[other])));
            let _ = writeln!(text, "  {name:34}{}", spread(ratios.collect()));
        }
    }
    text
}

/// Returns the ratio of two figures; equal ones, two zeros among them, have the ratio 1.
fn ratio(value: f64, base: f64) -> f64 {
    if (value - base).abs() < f64::EPSILON {
        return 1.0;
    }
    value / base
}

fn spread(mut ratios: Vec<f64>) -> String {
    ratios.sort_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    let most = ratios[ratios.len() - 1];
    format!("{median:8.3}  ({:.3} to {most:.3})", ratios[0])
}
