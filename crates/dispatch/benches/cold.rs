//! Time that cold targets add to the choice of a target, with 60 engines and 130 VMs.
//!
//! `cargo bench -p mastictrail-dispatch --bench cold`

use {
    base::{Instant, key},
    criterion::{Criterion, criterion_group, criterion_main},
    mastictrail_dispatch::{
        Cold, Listing, Load, Placement,
        configuration::{ColdStart, Engine},
        listing::{Target, WarmUp},
        placement::Query,
    },
    std::{hint::black_box, time::Duration},
};

const TARGETS: u8 = 60;
const VMS: u64 = 130;
const START: ColdStart = ColdStart {
    duration: Duration::from_secs(8),
    rate: 25.0,
};

fn targets(cold: u8, now: Instant) -> Vec<Target> {
    let target = |index| {
        let remaining = Duration::from_secs(if index < cold { 60 } else { 0 });
        Target {
            key: key::Target::of(&format!("t-{index}")),
            instance: format!("t-{index}").into(),
            address: ([10, 1, 0, index], 80).into(),
            service: key::Service::of("s"),
            data_centre: format!("dc-{}", index % 4).into(),
            slots: 24,
            is_leaving: false,
            is_cordoned: false,
            started_ms: Some(1),
            release: "v1".into(),
            warm_up: WarmUp::new(Some(remaining)),
        }
    };
    let mut listing = Listing::default();
    listing.replace((0..TARGETS).map(target).collect(), now);
    listing.targets().collect()
}

fn decide(criterion: &mut Criterion) {
    let now = Instant::default() + Duration::from_secs(60);
    let mut cold = Cold::new(1, true, Instant::default());
    cold.set_vms(0..VMS);
    for count in [0, 15, 60] {
        let targets = targets(count, now);
        for target in &targets {
            cold.record_sent(target, &START, now);
        }
        criterion.bench_function(&format!("closed/{count} of 60 cold"), |bencher| {
            bencher.iter(|| black_box(cold.closed(black_box(&targets), &START, now)));
        });
    }
    criterion.bench_function("known VMs unchanged", |bencher| {
        bencher.iter(|| cold.set_vms(black_box(0..VMS)));
    });
    let mut placement = Placement::new(1);
    let targets = targets(0, now);
    let query = Query {
        load: Load {
            runs: 1,
            peak_memory: 3_750,
            used_memory: 3_000,
            pending_prefill: 3_000,
            copy_memory: 0,
        },
        engine: Some(Engine {
            slots: 24,
            kv_capacity: 26_900,
            supports_migration: true,
            supports_backup: false,
            tokens_per_event: 4,
            copy_ms_per_token: 0.0,
        }),
        data_centre: "dc-0",
        ..Query::default()
    };
    criterion.bench_function("placement alone", |bencher| {
        bencher.iter(|| {
            let choice = placement.choose(now, black_box(&targets), &query);
            choice.map(|choice| choice.target.key)
        });
    });
}

criterion_group!(benches, decide);
criterion_main!(benches);
