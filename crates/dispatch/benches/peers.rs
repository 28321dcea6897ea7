//! Cost of passing on what the other VMs have reported, after any change of it: 130 VMs, 32 of them in
//! this VM's data centre with full reports, and summaries of 3 data centres.
//!
//! `cargo bench -p mastictrail-dispatch --bench peers`
//!
//! While requests are queued, a VM does this at each of their attempts, every 15 ms.

use {
    base::{Instant, key},
    criterion::{Criterion, criterion_group, criterion_main},
    mastictrail_dispatch::{
        Load, Peers, Placement, Queues,
        report::{Failing, QueuedRequest, Report, Summary, TargetLoad},
    },
    std::{hint::black_box, net::Ipv4Addr, time::Duration},
};

const VMS: u32 = 130;
const LOCAL_VMS: u32 = 33;
const TARGETS: u32 = 60;

fn now() -> Instant {
    Instant::default() + Duration::from_secs(60)
}

fn data_centre(index: u32) -> u64 {
    key::DataCentre::of(&format!("dc-{index}")).raw()
}

fn load(index: u32) -> TargetLoad {
    let load = Load {
        runs: 1 + index % 2,
        peak_memory: 3_750,
        used_memory: 3_400,
        pending_prefill: 0,
        copy_memory: 0,
    };
    TargetLoad::new(key::Target::of(&format!("t-{}", index % TARGETS)), load)
}

fn peers() -> Peers {
    let own = Ipv4Addr::from(0x0a01_0000);
    let mut peers = Peers::default();
    for vm in 1..VMS {
        let queued = QueuedRequest {
            service: key::Service::of("s").raw(),
            priority: 1,
            age_ms: 900,
            remaining_ms: 2_000,
            ..QueuedRequest::default()
        };
        let report = Report {
            address: 0x0a01_0000 + vm,
            sequence: 1,
            loads: (0..4).map(|index| load(vm * 7 + index * 11)).collect(),
            data_centre: data_centre(if vm < LOCAL_VMS { 0 } else { 1 + vm % 3 }),
            waiting: vec![queued; 2],
            failing: if vm % 10 == 0 {
                vec![load(7).target]
            } else {
                vec![]
            },
            ..Report::default()
        };
        peers.receive_report(report, own, now());
    }
    for index in 1..4 {
        let mut summaries = Summary::split(
            data_centre(index),
            &(0..TARGETS).map(load).collect::<Vec<_>>(),
            true,
        );
        summaries[0].failing = Some(Failing {
            targets: vec![load(7).target; 2],
            ..Failing::default()
        });
        for summary in summaries {
            peers.receive_summary(summary, now());
        }
    }
    peers
}

fn update(criterion: &mut Criterion) {
    let peers = peers();
    let mut placement = Placement::new(1);
    let mut queues = Queues::default();
    criterion.bench_function("update", |bencher| {
        bencher.iter(|| {
            let peers = black_box(&peers);
            black_box(peers.live(now()).count());
            placement.refill_peer_load(|loads| peers.add_load(loads, now()));
            placement.set_summarized(peers.summarized_data_centres(now()));
            placement.set_failure_reports(&peers.failure_counts(now()), now());
            queues.set_remote_waiters(peers.waiters(Some(data_centre(0)), now()));
        });
    });
}

criterion_group!(benches, update);
criterion_main!(benches);
