//! Latency that an entry VM adds, compared with direct requests to the engine and the service.
//!
//! Starts real processes on loopback. Requests are sent at a fixed rate, regardless of responses,
//! alternating between direct and through an entry VM; latencies count from the scheduled time.
//!
//! `cargo bench -p mastictrail-cli --bench path -- [REQUESTS_PER_SECOND] [SECONDS]`

#![allow(
    missing_docs,
    unused_imports,
    reason = "the benchmark uses only a part of the test harness"
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

/// Output length of each generation.
const TOKENS: usize = 8;
const WARM_UP_REQUESTS: usize = 200;

/// Destination and body of a request.
#[derive(Clone, Debug)]
struct Destination {
    address: SocketAddr,
    path: String,
    body: String,
}

/// Latencies of the requests to one destination, in microseconds.
#[derive(Debug)]
struct Latencies {
    first: Histogram<u64>,
    total: Histogram<u64>,
    failed: usize,
}

impl Latencies {
    fn new() -> Self {
        Self {
            first: Histogram::new(3).expect("three digits"),
            total: Histogram::new(3).expect("three digits"),
            failed: 0,
        }
    }

    fn record(&mut self, latency: Option<(Duration, Duration)>) {
        let Some((first, total)) = latency else {
            self.failed += 1;
            return;
        };
        self.first
            .record(first.as_micros() as u64)
            .expect("the histogram grows");
        self.total
            .record(total.as_micros() as u64)
            .expect("the histogram grows");
    }
}

/// Sends a request and returns the latencies of the first byte of the body and of its end.
async fn send(destination: Destination, scheduled: Instant) -> Option<(Duration, Duration)> {
    let stream = TcpStream::connect(destination.address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let connection = smol::spawn(connection);
    let request = Request::post(&destination.path)
        .header("host", "bench")
        .header("authorization", format!("Bearer {}", CUSTOMERS[0].1))
        .body(Full::new(Bytes::from(destination.body)))
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

/// Sends requests at a fixed rate, alternating between the destinations.
async fn run(destinations: &[Destination], rate: f64, count: usize) -> Vec<Latencies> {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..count {
        let scheduled = start + Duration::from_secs_f64(number as f64 / rate);
        Timer::at(scheduled).await;
        let index = number % destinations.len();
        tasks.push((
            index,
            smol::spawn(send(destinations[index].clone(), scheduled)),
        ));
    }
    let mut latencies: Vec<_> = destinations.iter().map(|_| Latencies::new()).collect();
    for (index, task) in tasks {
        latencies[index].record(task.await);
    }
    latencies
}

/// Prints the quantiles of both latencies and their difference in milliseconds.
fn print_rows(label: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let direct = direct.value_at_quantile(quantile) as f64 / 1e3;
        let through = through.value_at_quantile(quantile) as f64 / 1e3;
        let added = through - direct;
        println!("| {label} | {name} | {direct:.2} | {through:.2} | {added:.2} |");
    }
}

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse::<f64>().ok());
    let rate = arguments.next().unwrap_or(500.0);
    let seconds = arguments.next().unwrap_or(10.0);
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
    let destination = |name: &str, path: String, body: &str| Destination {
        address: cluster.addresses[name],
        path,
        body: body.to_owned(),
    };
    let generations = [
        destination("engine-1", "/v1/completions".into(), &prompt),
        destination(
            "vm-1/caller",
            format!("/{MODEL_SERVICE}/v1/completions"),
            &prompt,
        ),
    ];
    let calls = [
        destination("service-1", "/read".into(), "lot 7"),
        destination("vm-1/caller", format!("/{PLAIN_SERVICE}/read"), "lot 7"),
    ];
    println!("{rate} requests/s, half of them direct, {seconds} s each; milliseconds");
    println!("| time | | direct | through an entry VM | added |\n| --- | --- | --- | --- | --- |");
    for (label, destinations) in [("generation", generations), ("call", calls)] {
        smol::block_on(run(&destinations, rate, WARM_UP_REQUESTS));
        let latencies = smol::block_on(run(&destinations, rate, (rate * seconds) as usize));
        print_rows(
            &format!("{label}, first byte"),
            &latencies[0].first,
            &latencies[1].first,
        );
        print_rows(
            &format!("{label}, whole"),
            &latencies[0].total,
            &latencies[1].total,
        );
        println!(
            "failed: {} direct, {} through",
            latencies[0].failed, latencies[1].failed
        );
    }
}
