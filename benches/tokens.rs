//! Processor time and memory of an entry VM, by the number of streams that it relays.
//!
//! Starts real processes on loopback; every stream receives a token each 50 ms.
//!
//! `cargo bench -p mastictrail-cli --bench tokens [-- STREAMS…]`

#![allow(
    missing_docs,
    unused_imports,
    reason = "the benchmark uses only a part of the test harness"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    support::{Setup, wait_until},
};

/// Numbers of streams measured by default.
const DEFAULT_STREAMS: [u64; 4] = [0, 50, 150, 300];
const ENGINES: usize = 6;
const STEP_MS: &str = "50";
const MEASUREMENT: Duration = Duration::from_secs(8);
/// Unit of the processor times in `/proc`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let requested: Vec<u64> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let streams = if requested.is_empty() {
        &DEFAULT_STREAMS[..]
    } else {
        &requested
    };
    println!("streams tokens_per_s core_percent resident_mib");
    for streams in streams {
        measure(*streams);
    }
}

/// Measures one number of streams and prints a line of results.
fn measure(streams: u64) {
    let arguments = ["--step", STEP_MS, "--batch", "64", "--memory", "1000000"];
    let mut cluster = Setup {
        vms: 1,
        engines: ENGINES,
        engine_arguments: arguments.map(str::to_owned).into(),
        ..Setup::default()
    }
    .start();
    let (started, tokens) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for number in 0..streams {
        let prompt = format!("report {number} #tokens=1000");
        let mut stream = cluster.stream("vm-1", &prompt).expect("a stream");
        let (started, tokens) = (Arc::clone(&started), Arc::clone(&tokens));
        thread::spawn(move || {
            started.fetch_add(u64::from(stream.next().is_some()), Ordering::Relaxed);
            while stream.next().is_some() {
                tokens.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    wait_until("every stream has begun", || {
        started.load(Ordering::Relaxed) == streams
    });
    let process = format!("/proc/{}", cluster.process("vm-1").id());
    let (ticks_before, start) = (cpu_ticks(&process), Instant::now());
    let tokens_before = tokens.load(Ordering::Relaxed);
    thread::sleep(MEASUREMENT);
    let elapsed = start.elapsed().as_secs_f64();
    let token_count = tokens.load(Ordering::Relaxed) - tokens_before;
    println!(
        "{streams} {:.0} {:.2} {:.1}",
        token_count as f64 / elapsed,
        (cpu_ticks(&process) - ticks_before) / CLOCK_TICKS_PER_SECOND / elapsed * 100.0,
        resident_mib(&process),
    );
}

/// Returns the user and system time of a process in clock ticks.
fn cpu_ticks(process: &str) -> f64 {
    let stat = std::fs::read_to_string(format!("{process}/stat")).expect("the process runs");
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    times.filter_map(|time| time.parse::<f64>().ok()).sum()
}

fn resident_mib(process: &str) -> f64 {
    let status = std::fs::read_to_string(format!("{process}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() / 1024.0
}
