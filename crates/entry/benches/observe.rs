//! Time that a request's thread spends on a log line, and on the metrics of a token and a request.
//!
//! `cargo bench -p mastictrail-entry --bench observe`

use {
    base::Instant,
    config::{deployment::Service, parse, settings},
    mastictrail_entry::{
        logs,
        metrics::{Metrics, Stream},
    },
    std::{hint::black_box, time::Duration},
};

/// Runs of each measurement, whose median is reported.
const RUNS: usize = 11;
/// Log lines per run.
const LINES: u32 = 20_000;
/// Tokens or requests per run.
const TOKENS: u32 = 200_000;
/// Simulated time between two tokens.
const PACE: Duration = Duration::from_millis(50);

const DEPLOYMENT: &str = "
[deployment]
name = bench
version = 1
[data_centre dc]
region = r
[model base]
version = 1
weight = 1GiB
[service drafts]
kind = model
models = base
[target engine]
service = drafts
data_centre = dc
address = 127.0.0.1:9
memory_tokens = 1000
";

fn main() {
    let settings = settings::Log {
        file: Some("/dev/null".into()),
        queue: LINES * 2,
        ..settings::Log::default()
    };
    let queue = logs::start(&settings, "entry-a1").expect("can't install the logger");
    let line = median(LINES, |number| {
        log::info!(
            target: "route", request:% = "r-0123456789abcdef0123456789abcdef",
            customer:% = "night-shift", service:% = "kucharz",
            candidates:% = "kucharz-a1=0.123 kucharz-a2=0.456 kucharz-a3=0.789",
            chosen:% = "kucharz-a1", cause:% = "lowest score", waited_ms = u64::from(number),
            expected_tokens = 1234, configuration_version = 7;
            "dispatched"
        );
    });
    queue.flush(Duration::from_secs(60));
    println!("log_line_ns {line:.0} dropped {}", queue.dropped());

    let snapshot = parse::snapshot("bench", DEPLOYMENT).expect("invalid deployment");
    let service: Option<&Service> = snapshot.services.values().next();
    let metrics = Metrics::new("entry-a1").expect("can't create the metrics");
    let mut now = Instant::default();
    let mut stream = Stream::new(service, 0, now);
    let token = median(TOKENS, |_| {
        now = now + PACE;
        stream.record_token(&metrics, now);
    });
    println!("metrics_token_ns {token:.0}");
    let request = median(TOKENS, |_| {
        let stream = Stream::new(service, 0, now);
        metrics.record_queue_wait(service, 0, PACE);
        stream.record_end(&metrics, now);
        metrics.count_complete("drafts");
    });
    println!("metrics_request_ns {request:.0}");
}

/// Returns the median time of one repetition over all runs, in nanoseconds.
fn median(repetitions: u32, mut repeat: impl FnMut(u32)) -> f64 {
    let mut times: Vec<_> = (0..RUNS)
        .map(|_| {
            let start = std::time::Instant::now();
            for number in 0..repetitions {
                repeat(black_box(number));
            }
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2].as_secs_f64() * 1e9 / f64::from(repetitions)
}
