//! SVG plots of inter-token latency and stall time over a run.

use {
    crate::load::record::{Bucket, Run},
    std::fmt::Write,
};

/// Width of both panels, in SVG units.
const WIDTH: f64 = 900.0;
/// Height of one panel.
const HEIGHT: f64 = 240.0;
/// Space around the plotted area of a panel.
const MARGIN: f64 = 50.0;
/// Colours of the runs, in order.
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c1440e", "#3a7d44", "#7d3c98", "#b8860b", "#555555",
];

/// A plotted metric; returns its value for one second of a run.
type Metric = fn(&Bucket) -> f64;

/// Draws both plots, with one line per run.
pub fn svg(runs: &[&Run]) -> String {
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n",
        2.0 * HEIGHT
    );
    draw_panel(
        &mut text,
        runs,
        0.0,
        "p99 inter-token latency, ms",
        |bucket| 1_000.0 * p99(&bucket.inter_token),
    );
    draw_panel(
        &mut text,
        runs,
        HEIGHT,
        "stall time of all requests, s per second",
        |bucket| f64::from(bucket.stall),
    );
    text.push_str("</svg>\n");
    text
}

/// Appends one plot below `top`, with axes, a maximum label and a line per run.
fn draw_panel(text: &mut String, runs: &[&Run], top: f64, title: &str, metric: Metric) {
    let seconds = runs
        .iter()
        .map(|run| run.timeline.len())
        .max()
        .unwrap_or(0)
        .max(2);
    let values = runs.iter().flat_map(|run| run.timeline.iter().map(metric));
    let max = values.fold(f64::MIN_POSITIVE, f64::max);
    let (left, bottom) = (MARGIN, top + HEIGHT - MARGIN / 2.0);
    let (right, height) = (WIDTH - MARGIN, HEIGHT - 1.5 * MARGIN);
    let _ = writeln!(
        text,
        "<text x=\"{left}\" y=\"{}\">{title}</text>\n\
         <path d=\"M{left} {}V{bottom}H{right}\" fill=\"none\" stroke=\"#999\"/>\n\
         <text x=\"4\" y=\"{}\">{max:.3}</text>\n<text x=\"4\" y=\"{bottom}\">0</text>\n\
         <text x=\"{right}\" y=\"{}\" text-anchor=\"end\">{seconds} s</text>",
        top + 15.0,
        bottom - height,
        bottom - height + 4.0,
        bottom + 14.0
    );
    for (index, run) in runs.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points = run.timeline.iter().enumerate().map(|(second, bucket)| {
            let x = left + (right - left) * second as f64 / (seconds - 1) as f64;
            let y = bottom - height * metric(bucket) / max;
            format!("{x:.1},{y:.1}")
        });
        let points: Vec<_> = points.collect();
        let _ = writeln!(
            text,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\"/>\n\
             <text x=\"{right}\" y=\"{}\" fill=\"{colour}\" text-anchor=\"end\">{}</text>",
            points.join(" "),
            top + 15.0 + 14.0 * index as f64,
            run.policy
        );
    }
}

/// Returns the 99th percentile, or 0 if there are no times.
fn p99(times: &[f32]) -> f64 {
    let mut times = times.to_vec();
    times.sort_by(f32::total_cmp);
    let index = (times.len() * 99 / 100).min(times.len().saturating_sub(1));
    times.get(index).map_or(0.0, |&time| f64::from(time))
}
