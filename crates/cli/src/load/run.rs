//! Runs a workload against a system and collects the samples.

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

/// Number of threads that run the callers.
const CALLER_THREADS: u32 = 2;
/// Time for load reports and gossip to reach all VMs before the first request.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Addresses of the system under load, and the key to use.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// Caller addresses of the entry VMs.
    pub caller_addresses: Vec<SocketAddr>,
    /// Addresses of fake engines, to read counters from and send events to; may be empty.
    pub engine_addresses: Vec<SocketAddr>,
    /// Customer key for all requests; by default each customer's key on the embedded cluster.
    pub key: Option<Box<str>>,
}

/// Starts an embedded cluster with a routing policy, runs the workload on it and stops it.
///
/// # Errors
/// Returns an error if the cluster does not start or a fake engine does not respond.
pub async fn run_embedded(workload: &Workload, policy: &str) -> Result<Run, BoxError> {
    let cluster = Cluster::start(workload.cluster_spec(policy)).await?;
    cluster.wait_until_ready().await?;
    Timer::after(SETTLE_TIME).await;
    let endpoints = Endpoints {
        caller_addresses: cluster.caller_addresses.clone(),
        engine_addresses: cluster.engine_addresses.clone(),
        key: None,
    };
    let mut run = run_against(workload, &endpoints).await?;
    run.policy = policy.into();
    cluster.kill().await;
    Ok(run)
}

/// Runs the workload against a system that is already running.
///
/// # Errors
/// Returns an error if one of the given fake engines does not respond.
pub async fn run_against(workload: &Workload, endpoints: &Endpoints) -> Result<Run, BoxError> {
    let before = client::engine_counters(&endpoints.engine_addresses).await?;
    let runtime = Runtime::start(CALLER_THREADS);
    let start = Instant::now();
    let (sender, samples) = unbounded();
    let event_task = runtime.spawn(apply_events(
        workload.clone(),
        endpoints.engine_addresses.clone(),
        start,
    ));
    let mut sent = 0;
    for arrival in arrivals(workload) {
        Timer::at(start + arrival.at).await;
        sent += 1;
        spawn_request(
            &runtime,
            workload,
            endpoints,
            start,
            arrival,
            sender.clone(),
        );
    }
    let run = collect_samples(workload, samples, sent).await?;
    event_task.cancel().await;
    runtime.stop();
    let after = client::engine_counters(&endpoints.engine_addresses).await?;
    Ok(Run {
        preemptions: after.preemptions - before.preemptions,
        generations: after.generations - before.generations,
        ..run
    })
}

/// Starts a caller for one arrival; it sends its sample to the channel.
fn spawn_request(
    runtime: &Runtime,
    workload: &Workload,
    endpoints: &Endpoints,
    start: Instant,
    arrival: Arrival,
    samples: Sender<Sample>,
) {
    let kind = &workload.kinds[arrival.kind];
    let key = workload.customers[arrival.customer].key();
    let caller = Caller {
        address: endpoints.caller_addresses[arrival.vm_choice % endpoints.caller_addresses.len()],
        key: endpoints.key.clone().unwrap_or(key),
        class: kind.name.clone(),
        deadline: kind.deadline,
        start,
    };
    let task = async move {
        let _ = samples.send(caller.send(arrival).await).await;
    };
    runtime.spawn(task).detach();
}

/// Waits for the samples of all requests that were sent and adds them up.
async fn collect_samples(
    workload: &Workload,
    samples: Receiver<Sample>,
    sent: usize,
) -> Result<Run, BoxError> {
    let empty_stats = |name: &str| (Box::from(name), Stats::default());
    let mut run = Run {
        kinds: workload
            .kinds
            .iter()
            .map(|kind| empty_stats(&kind.name))
            .collect(),
        customers: workload
            .customers
            .iter()
            .map(|customer| empty_stats(&customer.name))
            .collect(),
        ..Run::default()
    };
    for _ in 0..sent {
        let sample = samples.recv().await?;
        run.add(&sample, workload.stall_threshold, workload.warmup);
    }
    Ok(run)
}

/// Sends the behaviour of each event to its fake engine at the time of the event.
async fn apply_events(workload: Workload, engine_addresses: Vec<SocketAddr>, start: Instant) {
    for event in &workload.events {
        Timer::at(start + event.at).await;
        let Some(&engine) = engine_addresses.get(event.engine) else {
            eprintln!(
                "skipped an event: the address of engine {} is not known",
                event.engine
            );
            continue;
        };
        let response = client::post(engine, "/test/behaviour", &[], &event.behaviour).await;
        if !response.is_ok_and(|response| response.status == 200) {
            eprintln!(
                "engine {} did not accept the behaviour of an event",
                event.engine
            );
        }
    }
}
