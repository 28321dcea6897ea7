//! One run of a workload against a running system.

use {
    crate::{
        client::{self, BoxError},
        embedded::Cluster,
        load::{
            caller::Caller,
            record::{Run, Sample, Stats},
            schedule::{Arrival, arrivals},
            workload::Workload,
        },
    },
    entry::runtime::Runtime,
    smol::{
        Timer,
        channel::{Receiver, Sender, unbounded},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Threads of the callers.
const THREADS: u32 = 2;
/// Time for load reports and gossip to go round before the first request.
const SETTLE: Duration = Duration::from_secs(2);

/// Where the system is.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// Addresses for callers.
    pub callers: Vec<SocketAddr>,
    /// Addresses of engines that count preemptions, if they are known.
    pub engines: Vec<SocketAddr>,
    /// A customer's key in place of those of the embedded system.
    pub key: Option<Box<str>>,
}

/// Starts a system with a policy, runs the workload on it and ends it.
///
/// # Errors
/// Returns an error if the system does not start.
pub async fn run_embedded(workload: &Workload, policy: &str) -> Result<Run, BoxError> {
    let path = Cluster::start(workload.plan(policy)).await?;
    path.wait_until_ready().await?;
    Timer::after(SETTLE).await;
    let place = Endpoints {
        callers: path.caller_addresses.clone(),
        engines: path.engine_addresses.clone(),
        key: None,
    };
    let mut run = run_against(workload, &place).await?;
    run.policy = policy.into();
    path.kill().await;
    Ok(run)
}

/// Runs the workload on a system that is there.
///
/// # Errors
/// Returns an error if an engine that was named does not answer.
pub async fn run_against(workload: &Workload, place: &Endpoints) -> Result<Run, BoxError> {
    let before = client::counts(&place.engines).await?;
    let runtime = Runtime::start(THREADS);
    let start = Instant::now();
    let (sender, samples) = unbounded();
    let events = runtime.spawn(disturb(workload.clone(), place.engines.clone(), start));
    let mut sent = 0;
    for arrival in arrivals(workload) {
        Timer::at(start + arrival.at).await;
        sent += 1;
        send(&runtime, workload, place, start, arrival, sender.clone());
    }
    let run = collect(workload, samples, sent).await?;
    events.cancel().await;
    runtime.stop();
    let after = client::counts(&place.engines).await?;
    Ok(Run {
        preemptions: after.preemptions - before.preemptions,
        generations: after.generations - before.generations,
        ..run
    })
}

fn send(
    runtime: &Runtime,
    workload: &Workload,
    place: &Endpoints,
    start: Instant,
    arrival: Arrival,
    samples: Sender<Sample>,
) {
    let kind = &workload.kinds[arrival.kind];
    let key = workload.customers[arrival.customer].key();
    let caller = Caller {
        address: place.callers[arrival.vm % place.callers.len()],
        key: place.key.clone().unwrap_or(key),
        class: kind.name.clone(),
        deadline: kind.deadline,
        start,
    };
    let task = async move {
        let _ = samples.send(caller.ask(arrival).await).await;
    };
    runtime.spawn(task).detach();
}

async fn collect(
    workload: &Workload,
    samples: Receiver<Sample>,
    sent: usize,
) -> Result<Run, BoxError> {
    let names = |name: &str| (Box::from(name), Stats::default());
    let mut run = Run {
        kinds: workload
            .kinds
            .iter()
            .map(|kind| names(&kind.name))
            .collect(),
        customers: workload
            .customers
            .iter()
            .map(|customer| names(&customer.name))
            .collect(),
        ..Run::default()
    };
    for _ in 0..sent {
        let sample = samples.recv().await?;
        run.add(&sample, workload.pace, workload.warmup);
    }
    Ok(run)
}

/// Orders the engines' stand-ins to misbehave when their time has come.
async fn disturb(workload: Workload, engines: Vec<SocketAddr>, start: Instant) {
    for event in &workload.events {
        Timer::at(start + event.at).await;
        let Some(&engine) = engines.get(event.engine) else {
            eprintln!("the engine of an event is not known");
            continue;
        };
        let ordered = client::post(engine, "/test/behaviour", &[], &event.behaviour).await;
        if !ordered.is_ok_and(|answer| answer.status == 200) {
            eprintln!("an engine did not take its behaviour");
        }
    }
}
