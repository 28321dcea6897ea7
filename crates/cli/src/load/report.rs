//! The HTML report: tables and plots of all runs.

use {
    crate::load::{plot, record::Run, table, workload::Workload},
    std::fmt::Write,
};

/// Returns the report on all rounds as HTML.
pub fn html(workload: &Workload, rounds: &[Vec<Run>]) -> String {
    let mut text = format!(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>{0}</title>\n\
         <style>body {{ font-family: sans-serif; max-width: 75em; margin: auto }}</style>\n\
         <h1>{0}</h1>\n<p>Load {1} of {2:.1} requests per second, {3} s, seed {4}. \
         Times are in milliseconds.</p>\n",
        workload.name,
        workload.load,
        workload.capacity(),
        workload.duration.as_secs(),
        workload.seed
    );
    let ratios = table::format_ratios(rounds);
    if !ratios.is_empty() {
        let _ = writeln!(
            text,
            "<h2>Ratios: median (minimum to maximum)</h2>\n<pre>{ratios}</pre>"
        );
    }
    for (index, runs) in rounds.iter().enumerate() {
        let _ = writeln!(text, "<h2>Round {}</h2>", index + 1);
        text.push_str(&plot::svg(&runs.iter().collect::<Vec<_>>()));
        for run in runs {
            let _ = writeln!(text, "<pre>{}</pre>", table::format_run(run));
        }
    }
    text
}
