//! Cost of the choice of a target, with 60 engines and 130 VMs.
//!
//! `cargo bench -p mastictrail-dispatch --bench selection`
//!
//! With `RUSTFLAGS="--cfg former"` it compiles at commit cf77203, for comparison; see
//! docs/CAPACITY.md.

#![expect(
    unexpected_cfgs,
    reason = "`former` is set by hand, in a checkout of cf77203 only"
)]

#[cfg(not(former))]
use mastictrail_dispatch::{
    Cold, Listing, Paces, Selection, cold::Access, configuration::ColdStart, listing::WarmUp,
    load::Occupancy,
};
use {
    base::{Instant, key},
    criterion::{Criterion, criterion_group, criterion_main},
    mastictrail_dispatch::{
        Load, Placement, configuration::Engine, listing::Target, placement::Query,
    },
    std::{
        collections::{HashMap, HashSet},
        hint::black_box,
        time::Duration,
    },
};

const TARGETS: u8 = 60;
const DATA_CENTRES: u8 = 4;
const RUNS: u8 = 12;

const ENGINE: Engine = Engine {
    slots: 24,
    kv_capacity: 26_900,
    supports_migration: true,
    supports_backup: false,
    tokens_per_event: 4,
    copy_ms_per_token: 0.0,
};

const REQUEST: Load = Load {
    runs: 1,
    peak_memory: 3_750,
    used_memory: 3_000,
    pending_prefill: 3_000,
    copy_memory: 0,
};

fn now() -> Instant {
    Instant::default() + Duration::from_secs(60)
}

fn target(index: u8) -> Target {
    Target {
        key: key::Target::of(&format!("t-{index}")),
        instance: format!("t-{index}").into(),
        address: ([10, 1, 0, index], 80).into(),
        service: key::Service::of("s"),
        data_centre: format!("dc-{}", index % DATA_CENTRES).into(),
        slots: 24,
        is_leaving: false,
        #[cfg(not(former))]
        is_cordoned: false,
        started_ms: Some(1),
        release: "v1".into(),
        #[cfg(not(former))]
        warm_up: WarmUp::new(Some(Duration::ZERO)),
    }
}

/// A VM of a large fleet whose engines are 60% full and whose other data centres send summaries.
fn placement(targets: &[Target]) -> Placement {
    let mut placement = Placement::new(1);
    let loads = targets.iter().zip(0_u32..).map(|(target, index)| {
        let load = Load {
            runs: 4 + index % 3,
            peak_memory: 15_000 + index * 50,
            used_memory: 13_000 + index * 50,
            pending_prefill: if index % 3 == 0 { 3_000 } else { 0 },
            copy_memory: 0,
        };
        (target.key, load)
    });
    placement.set_peer_load(loads.collect::<HashMap<_, _>>());
    let sites = (0..DATA_CENTRES).map(|index| key::DataCentre::of(&format!("dc-{index}")));
    placement.set_summarized(sites.collect::<HashSet<_>>());
    for target in targets.iter().take(RUNS.into()) {
        let run = placement.start_run(target.key, REQUEST);
        placement.finish_prefill(run);
    }
    placement
}

fn request() -> Query<'static> {
    Query {
        load: REQUEST,
        engine: Some(ENGINE),
        max_pending_prefill: 7_000,
        data_centre: "dc-0",
        is_remote_stale: true,
        ..Query::default()
    }
}

fn copy() -> Query<'static> {
    Query {
        load: Load {
            copy_memory: 3_400,
            ..Load::default()
        },
        is_urgent: true,
        run_data_centre: Some("dc-0"),
        ..request()
    }
}

fn choose(criterion: &mut Criterion) {
    let targets: Vec<_> = (0..TARGETS).map(target).collect();
    let mut placement = placement(&targets);
    let ahead = Query {
        queued_ahead: 10,
        ..request()
    };
    let small_fleet = Query {
        is_remote_stale: false,
        ..request()
    };
    let cases = [
        ("request", request()),
        ("request, 10 queued ahead", ahead),
        ("request, loads of all VMs known", small_fleet),
        ("evacuation copy", copy()),
    ];
    for (name, query) in cases {
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                let choice = placement.choose(now(), black_box(&targets), &query);
                choice.expect("capacity").target.key
            });
        });
    }
    #[cfg(not(former))]
    choose_among_cold(criterion, &mut placement, &targets);
}

/// The same with paces measured, alone and where some targets are cold.
#[cfg(not(former))]
fn choose_among_cold(criterion: &mut Criterion, placement: &mut Placement, targets: &[Target]) {
    const START: ColdStart = ColdStart {
        duration: Duration::from_secs(8),
        rate: 25.0,
    };
    let mut cold = Cold::new(1, true, Instant::default());
    cold.set_vms(0..130);
    let mut paces = Paces::default();
    for (target, pace) in targets.iter().zip(100_u32..) {
        let occupancy = Occupancy {
            running: 5,
            waiting: 0,
            pace_percent: Some(pace),
        };
        paces.record_occupancy(target, occupancy, now());
        paces.record_sample(target.key, f64::from(pace) / 100.0, now());
    }
    paces.refresh(targets[0].service, targets, now());
    let mut selection = Selection::default();
    for count in [0, 15, 60] {
        let mut listing = Listing::default();
        let targets = targets.iter().enumerate().map(|(index, target)| {
            let remaining = Duration::from_secs(if index < count { 60 } else { 0 });
            Target {
                warm_up: WarmUp::new(Some(remaining)),
                ..target.clone()
            }
        });
        listing.replace(targets.collect(), now());
        let targets: Vec<_> = listing.targets().collect();
        for ahead in [0, 10] {
            let query = Query {
                queued_ahead: ahead,
                cold_access: Some(Access::Limited(START)),
                paces: Some(&paces),
                ..request()
            };
            let name = format!("paced request, {count} of 60 cold, {ahead} queued ahead");
            criterion.bench_function(&name, |bencher| {
                bencher.iter(|| {
                    let parts = (&mut *placement, &mut cold);
                    let choice = selection.choose(parts, now(), black_box(&targets), &query);
                    // With 60 cold targets and 10 queued ahead, the open ones are full.
                    choice.map(|choice| choice.target.key)
                });
            });
        }
    }
}

criterion_group!(benches, choose);
criterion_main!(benches);
