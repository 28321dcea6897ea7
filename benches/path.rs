//! What the way through an entry VM adds, against asking the engine and the service directly.
//!
//! Real processes on loopback. Requests are sent at a fixed rate whatever the answers do, in turns
//! direct and through an entry VM; times count from the scheduled instant.
//! `cargo bench -p mastictrail-cli --bench path -- [REQUESTS_PER_SECOND] [SECONDS]`

#![allow(
    missing_docs,
    unused_imports,
    reason = "a program that uses a part of the harness"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use {
    bytes::Bytes,
    hdrhistogram::Histogram,
    http_body_util::{BodyExt, Full},
    hyper::{Request, client::conn::http1},
    smol::{Timer, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{CUSTOMERS, MODEL, MODEL_SERVICE, PLAIN_SERVICE, Setup},
};

const TOKENS: usize = 8;
const WARM_UP: usize = 200;

/// Where a request goes.
#[derive(Clone, Debug)]
struct Aim {
    address: SocketAddr,
    path: String,
    body: String,
}

/// Times of one way, in microseconds.
#[derive(Debug)]
struct Times {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    failed: usize,
}

impl Times {
    fn new() -> Self {
        Self {
            first: Histogram::new(3).expect("three digits"),
            whole: Histogram::new(3).expect("three digits"),
            failed: 0,
        }
    }

    fn take(&mut self, taken: Option<(Duration, Duration)>) {
        let Some((first, whole)) = taken else {
            self.failed += 1;
            return;
        };
        self.first
            .record(first.as_micros() as u64)
            .expect("the histogram grows");
        self.whole
            .record(whole.as_micros() as u64)
            .expect("the histogram grows");
    }
}

/// Sends a request; returns the times to the first byte of the body and to its end.
async fn ask(aim: Aim, scheduled: Instant) -> Option<(Duration, Duration)> {
    let stream = TcpStream::connect(aim.address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let connection = smol::spawn(connection);
    let request = Request::post(&aim.path)
        .header("host", "bench")
        .header("authorization", format!("Bearer {}", CUSTOMERS[0].1))
        .body(Full::new(Bytes::from(aim.body)))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let succeeded = response.status().is_success();
    let mut body = response.into_body();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        frame.ok()?;
        first.get_or_insert_with(|| scheduled.elapsed());
    }
    drop(sender);
    connection.cancel().await;
    succeeded.then_some((first?, scheduled.elapsed()))
}

/// Sends requests at a fixed rate, in turns to each aim.
async fn run(aims: &[Aim], rate: f64, count: usize) -> Vec<Times> {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..count {
        let scheduled = start + Duration::from_secs_f64(number as f64 / rate);
        Timer::at(scheduled).await;
        let which = number % aims.len();
        tasks.push((which, smol::spawn(ask(aims[which].clone(), scheduled))));
    }
    let mut times: Vec<_> = aims.iter().map(|_| Times::new()).collect();
    for (which, task) in tasks {
        times[which].take(task.await);
    }
    times
}

fn report(what: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let direct = direct.value_at_quantile(quantile) as f64 / 1e3;
        let through = through.value_at_quantile(quantile) as f64 / 1e3;
        let added = through - direct;
        println!("| {what} | {name} | {direct:.2} | {through:.2} | {added:.2} |");
    }
}

fn main() {
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse::<f64>().ok());
    let rate = numbers.next().unwrap_or(500.0);
    let seconds = numbers.next().unwrap_or(10.0);
    let cluster = Setup {
        vms: 1,
        engine_arguments: ["--step", "2", "--batch", "512", "--memory", "4000000"]
            .map(str::to_owned)
            .to_vec(),
        settings: "[limits]\nthreads = 2".into(),
        ..Setup::default()
    }
    .start();
    let prompt = format!(
        "{{\"model\": \"{MODEL}\", \"prompt\": \"bench #tokens={TOKENS}\", \"stream\": true}}"
    );
    let aim = |name: &str, path: String, body: &str| Aim {
        address: cluster.addresses[name],
        path,
        body: body.to_owned(),
    };
    let generations = [
        aim("engine-1", "/v1/completions".into(), &prompt),
        aim(
            "vm-1/caller",
            format!("/{MODEL_SERVICE}/v1/completions"),
            &prompt,
        ),
    ];
    let calls = [
        aim("service-1", "/read".into(), "lot 7"),
        aim("vm-1/caller", format!("/{PLAIN_SERVICE}/read"), "lot 7"),
    ];
    println!("{rate} requests/s, half of them direct, {seconds} s each; milliseconds");
    println!("| time | | direct | through an entry VM | added |\n| --- | --- | --- | --- | --- |");
    for (what, aims) in [("generation", generations), ("call", calls)] {
        smol::block_on(run(&aims, rate, WARM_UP));
        let times = smol::block_on(run(&aims, rate, (rate * seconds) as usize));
        report(
            &format!("{what}, first byte"),
            &times[0].first,
            &times[1].first,
        );
        report(&format!("{what}, whole"), &times[0].whole, &times[1].whole);
        println!(
            "failed: {} direct, {} through",
            times[0].failed, times[1].failed
        );
    }
}
