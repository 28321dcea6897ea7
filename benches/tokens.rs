//! Processor time and memory of an entry VM by the number of streams that it carries.
//!
//! Real processes on loopback; every stream gets a token each 50 ms.
//! `cargo bench -p mastictrail-cli --bench tokens [-- STREAMS…]`

#![allow(
    missing_docs,
    unused_imports,
    reason = "a program that uses a part of the harness"
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

const STREAMS: [u64; 4] = [0, 50, 150, 300];
const ENGINES: usize = 6;
const STEP: &str = "50";
const MEASURED: Duration = Duration::from_secs(8);
/// Clock ticks of `/proc` a second.
const TICKS: f64 = 100.0;

fn main() {
    let given: Vec<u64> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let streams = if given.is_empty() {
        &STREAMS[..]
    } else {
        &given
    };
    println!("streams tokens_per_s core_percent resident_mib");
    for streams in streams {
        measure(*streams);
    }
}

fn measure(streams: u64) {
    let arguments = ["--step", STEP, "--batch", "64", "--memory", "1000000"];
    let mut cluster = Setup {
        vms: 1,
        engines: ENGINES,
        engine_arguments: arguments.map(str::to_owned).into(),
        ..Setup::default()
    }
    .start();
    let (begun, tokens) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for number in 0..streams {
        let prompt = format!("report {number} #tokens=1000");
        let mut stream = cluster.stream("vm-1", &prompt).expect("a stream");
        let (begun, tokens) = (Arc::clone(&begun), Arc::clone(&tokens));
        thread::spawn(move || {
            begun.fetch_add(u64::from(stream.next().is_some()), Ordering::Relaxed);
            while stream.next().is_some() {
                tokens.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    wait_until("every stream has begun", || {
        begun.load(Ordering::Relaxed) == streams
    });
    let process = format!("/proc/{}", cluster.process("vm-1").id());
    let (before, start) = (ticks(&process), Instant::now());
    let first = tokens.load(Ordering::Relaxed);
    thread::sleep(MEASURED);
    let elapsed = start.elapsed().as_secs_f64();
    let count = tokens.load(Ordering::Relaxed) - first;
    println!(
        "{streams} {:.0} {:.2} {:.1}",
        count as f64 / elapsed,
        (ticks(&process) - before) / TICKS / elapsed * 100.0,
        resident_mib(&process),
    );
}

/// Returns the user and system time of a process in clock ticks.
fn ticks(process: &str) -> f64 {
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
