//! Plots of the time between tokens and of stall over time, as SVG.

use {
    crate::load::record::{Run, Second},
    std::fmt::Write,
};

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 240.0;
const MARGIN: f64 = 50.0;
const COLOURS: [&str; 6] = [
    "#1b6ca8", "#c1440e", "#3a7d44", "#7d3c98", "#b8860b", "#555555",
];

/// A plotted measure of one second.
type Measure = fn(&Second) -> f64;

/// Draws both plots of some runs.
pub fn svg(runs: &[&Run]) -> String {
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n",
        2.0 * HEIGHT
    );
    panel(
        &mut text,
        runs,
        0.0,
        "p99 time between tokens, ms",
        |second| 1_000.0 * high(&second.gaps),
    );
    panel(
        &mut text,
        runs,
        HEIGHT,
        "stall of all requests, s in each second",
        |second| f64::from(second.stall),
    );
    text.push_str("</svg>\n");
    text
}

fn panel(text: &mut String, runs: &[&Run], top: f64, title: &str, measure: Measure) {
    let seconds = runs
        .iter()
        .map(|run| run.seconds.len())
        .max()
        .unwrap_or(0)
        .max(2);
    let values = runs.iter().flat_map(|run| run.seconds.iter().map(measure));
    let most = values.fold(f64::MIN_POSITIVE, f64::max);
    let (left, bottom) = (MARGIN, top + HEIGHT - MARGIN / 2.0);
    let (right, height) = (WIDTH - MARGIN, HEIGHT - 1.5 * MARGIN);
    let _ = writeln!(
        text,
        "<text x=\"{left}\" y=\"{}\">{title}</text>\n\
         <path d=\"M{left} {}V{bottom}H{right}\" fill=\"none\" stroke=\"#999\"/>\n\
         <text x=\"4\" y=\"{}\">{most:.3}</text>\n<text x=\"4\" y=\"{bottom}\">0</text>\n\
         <text x=\"{right}\" y=\"{}\" text-anchor=\"end\">{seconds} s</text>",
        top + 15.0,
        bottom - height,
        bottom - height + 4.0,
        bottom + 14.0
    );
    for (index, run) in runs.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points = run.seconds.iter().enumerate().map(|(second, values)| {
            let x = left + (right - left) * second as f64 / (seconds - 1) as f64;
            let y = bottom - height * measure(values) / most;
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

/// Returns the p99 of some times.
fn high(times: &[f32]) -> f64 {
    let mut times = times.to_vec();
    times.sort_by(f32::total_cmp);
    let index = (times.len() * 99 / 100).min(times.len().saturating_sub(1));
    times.get(index).map_or(0.0, |&time| f64::from(time))
}
