//! Counts the allocations of a decision, each of which takes longer than the look-up of a target.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Cold, Load, Paces, Placement, Selection,
        cold::Access,
        configuration::{ColdStart, Engine},
        listing::{Target, WarmUp},
        placement::Query,
    },
    std::{
        alloc::{GlobalAlloc, Layout, System},
        cell::Cell,
        time::Duration,
    },
};

struct Counting;

thread_local! {
    static ALLOCATIONS: Cell<usize> = const { Cell::new(0) };
}

// SAFETY: all calls are passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller keeps the contract of this method.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: `ptr` is from `alloc`, which passes on to the same allocator.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn target(index: u8) -> Target {
    let is_cold = index < 15;
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
        warm_up: WarmUp::new(Some(Duration::from_secs(if is_cold { 60 } else { 0 }))),
    }
}

fn decide(
    selection: &mut Selection,
    (placement, cold): (&mut Placement, &mut Cold),
    targets: &[Target],
    queries: &[Query<'_>],
) {
    let now = Instant::default() + Duration::from_secs(60);
    for query in queries {
        let parts = (&mut *placement, &mut *cold);
        let choice = selection.choose(parts, now, targets, query);
        let target = choice.expect("there is capacity").target.key;
        let run = placement.start_run(target, query.load);
        placement.update_tokens(run, 3_000, 10);
        placement.finish_prefill(run);
        placement.end_run(run);
    }
}

#[test]
fn a_decision_allocates_nothing() {
    let targets: Vec<_> = (0..60).map(target).collect();
    let (mut placement, mut selection) = (Placement::new(1), Selection::default());
    let mut cold = Cold::new(1, true, Instant::default());
    cold.set_vms(0..130);
    let paces = Paces::default();
    let load = Load {
        runs: 1,
        peak_memory: 3_750,
        used_memory: 3_000,
        pending_prefill: 3_000,
        copy_memory: 0,
    };
    placement.set_peer_load(targets.iter().map(|target| (target.key, load)).collect());
    let engine = Engine {
        slots: 24,
        kv_capacity: 26_900,
        supports_migration: true,
        supports_backup: false,
        tokens_per_event: 4,
        copy_ms_per_token: 0.0,
    };
    let start = ColdStart {
        duration: Duration::from_secs(8),
        rate: 25.0,
    };
    let excluded = [targets[20].key];
    let request = Query {
        load,
        engine: Some(engine),
        excluded: &excluded,
        data_centre: "dc-0",
        is_remote_stale: true,
        queued_ahead: 10,
        cold_access: Some(Access::Limited(start)),
        paces: Some(&paces),
        ..Query::default()
    };
    let plain = Query {
        engine: None,
        ..request
    };
    let copy = Query {
        load: Load {
            copy_memory: 3_400,
            ..Load::default()
        },
        ..request
    };
    let urgent = Query {
        is_urgent: true,
        run_data_centre: Some("dc-0"),
        ..copy
    };
    let queries = [request, plain, copy, urgent];
    // The first decisions allocate what is kept for the later ones.
    decide(
        &mut selection,
        (&mut placement, &mut cold),
        &targets,
        &queries,
    );
    let before = ALLOCATIONS.get();
    assert!(before > 0, "allocations are not counted");
    for _ in 0..100 {
        decide(
            &mut selection,
            (&mut placement, &mut cold),
            &targets,
            &queries,
        );
    }
    assert_eq!(ALLOCATIONS.get() - before, 0);
}
