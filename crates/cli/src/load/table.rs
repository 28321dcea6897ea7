//! Text tables of runs, and ratios between policies.

use {
    crate::load::record::{Run, Stats},
    std::fmt::Write,
};

/// The name of a metric and how to read it from a run.
type Metric = (&'static str, fn(&Run) -> f64);

/// The metrics whose ratios a comparison prints.
const METRICS: [Metric; 6] = [
    ("goodput", |run| run.total(|stats| stats.good) as f64),
    ("preemptions per 1000", Run::preemption_rate),
    ("first kind's p99 stall", |run| {
        first_kind(run).stall.quantile(0.99)
    }),
    ("last kind's p99 stall", |run| {
        last_kind(run).stall.quantile(0.99)
    }),
    ("last kind's p99 between tokens", |run| {
        last_kind(run).inter_token.quantile(0.99)
    }),
    ("last kind's p99.9 between tokens", |run| {
        last_kind(run).inter_token.quantile(0.999)
    }),
];

fn first_kind(run: &Run) -> &Stats {
    &run.kinds[0].1
}

fn last_kind(run: &Run) -> &Stats {
    &run.kinds[run.kinds.len() - 1].1
}

/// Formats the statistics of a run as a table; times are in milliseconds.
pub fn format_run(run: &Run) -> String {
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
    for (name, stats) in run.kinds.iter().chain(&run.customers) {
        write_row(&mut text, name, stats);
    }
    text
}

fn write_row(text: &mut String, name: &str, stats: &Stats) {
    let _ = writeln!(
        text,
        "{name:14}{:8}{:7}{:6}{:8}{:7}{:10.1}{:10.1}{:10.1}{:9.1}{:9.1}{:9.1}{:9.1}",
        stats.arrived,
        stats.good,
        stats.late,
        stats.refused,
        stats.failed,
        stats.first_token.quantile(0.5),
        stats.first_token.quantile(0.99),
        stats.stall.quantile(0.99),
        stats.inter_token.quantile(0.95),
        stats.inter_token.quantile(0.99),
        stats.inter_token.quantile(0.999),
        stats.refusal.quantile(0.99),
    );
}

/// Formats the ratios of the first policy's metrics to those of each other policy.
///
/// Ratios are taken per round; a line shows their median, minimum and maximum.
pub fn format_ratios(rounds: &[Vec<Run>]) -> String {
    let mut text = String::new();
    let Some(policies) = rounds.first().filter(|runs| runs.len() > 1) else {
        return text;
    };
    for (index, baseline) in policies.iter().enumerate().skip(1) {
        let _ = writeln!(
            text,
            "{} over {}, {} rounds",
            policies[0].policy,
            baseline.policy,
            rounds.len()
        );
        for (name, metric) in METRICS {
            let ratios = rounds
                .iter()
                .map(|runs| ratio(metric(&runs[0]), metric(&runs[index])));
            let _ = writeln!(text, "  {name:34}{}", format_distribution(ratios.collect()));
        }
    }
    text
}

/// Returns the ratio of two values; equal values, including two zeros, have the ratio 1.
fn ratio(value: f64, baseline: f64) -> f64 {
    if (value - baseline).abs() < f64::EPSILON {
        return 1.0;
    }
    value / baseline
}

/// Formats the median, minimum and maximum of at least one ratio.
fn format_distribution(mut ratios: Vec<f64>) -> String {
    ratios.sort_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    let max = ratios[ratios.len() - 1];
    format!("{median:8.3}  ({:.3} to {max:.3})", ratios[0])
}
