//! Time, allocations and memory of one routing decision with 600 targets and 42,000 customers.

#[path = "../tests/support/mod.rs"]
mod support;

use {
    base::key,
    config::{Snapshot, deployment::Customer},
    criterion::{Criterion, criterion_group, criterion_main},
    mastictrail_route::{Event, Load, Outcome},
    std::{
        alloc::{GlobalAlloc, Layout, System},
        hint::black_box,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
    support::{DRAFT, Deployment, Harness, LOOKUP, dispatched},
};

const TARGETS: usize = 600;
const CUSTOMERS: usize = 42_000;

/// An allocator that counts allocations and the bytes held.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static HELD_BYTES: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Relaxed);
        HELD_BYTES.fetch_add(layout.size() as u64, Relaxed);
        // SAFETY: the caller upholds the contract, which is the same for the system allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        HELD_BYTES.fetch_sub(layout.size() as u64, Relaxed);
        // SAFETY: the caller upholds the contract, which is the same for the system allocator.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn deployment() -> Deployment {
    Deployment {
        targets: TARGETS,
        concurrency: 64,
        memory: 131_072,
        ..Deployment::default()
    }
}

/// Adds the customers directly, as their text would not fit into one published configuration.
fn with_customers(deployment: &Deployment) -> Arc<Snapshot> {
    let mut snapshot = Snapshot::clone(&deployment.snapshot());
    let customers = Arc::make_mut(&mut snapshot.customers);
    for index in 0..CUSTOMERS {
        let name = format!("c{index}");
        let customer = Customer {
            name: name.as_str().into(),
            key_sha256: [0; 32],
            weight: 1,
            rate: Some(5.0),
            concurrency: Some(50),
        };
        customers.insert(key::Customer::of(&name), customer);
    }
    Arc::new(snapshot)
}

/// Creates a policy with reported loads, observed lengths, peer demand and customers.
fn loaded_harness(policy: &str, deployment: &Deployment) -> Harness {
    let mut harness = Harness::new(policy, 1, deployment);
    harness.handle(Event::Configuration(with_customers(deployment)));
    harness.handle(Event::VmCount(350));
    for index in 0..TARGETS {
        harness.report(
            index,
            Load {
                running: 20,
                memory_total: 131_072,
                memory_used: 40_000,
                tokens_per_second: 30.0,
                ..Load::default()
            },
        );
    }
    for index in 0..CUSTOMERS {
        let customer = key::Customer::of(&format!("c{index}"));
        harness.handle(Event::PeerDemand {
            vm: key::Vm::of("peer"),
            customer,
            requests_per_second: 1.0,
            in_flight: 1,
        });
        let (request, actions) = harness.arrive(&format!("c{index}"), index % 2);
        if !dispatched(&actions).is_empty() {
            harness.handle(Event::Progress {
                request,
                tokens: 40,
            });
            harness.end(request, Outcome::Complete);
        }
        harness.now = harness.now + Duration::from_micros(500);
    }
    harness
}

fn decisions(criterion: &mut Criterion) {
    let deployment = deployment();
    for policy in mastictrail_route::policies::NAMES {
        let before = HELD_BYTES.load(Relaxed);
        let mut harness = loaded_harness(policy, &deployment);
        let held_bytes = HELD_BYTES.load(Relaxed) - before;
        println!(
            "{policy}: {:.1} MB of state, the snapshot included",
            held_bytes as f64 / 1e6
        );
        for (name, class) in [("lookup", LOOKUP), ("draft", DRAFT)] {
            let mut serial = 0_usize;
            let mut allocations = 0;
            let mut decisions_made = 0;
            criterion.bench_function(&format!("{policy}/{name}"), |bencher| {
                bencher.iter_batched(
                    || {
                        serial += 1;
                        Box::new(request(serial, class))
                    },
                    |mut request| {
                        harness.now = harness.now + Duration::from_millis(2);
                        request.deadline = harness.now + Duration::from_secs(60);
                        let key = request.key;
                        let before = ALLOCATIONS.load(Relaxed);
                        let actions = black_box(harness.handle(Event::Arrived(request)));
                        allocations += ALLOCATIONS.load(Relaxed) - before;
                        decisions_made += 1;
                        (actions, harness.end(key, Outcome::Complete))
                    },
                    criterion::BatchSize::SmallInput,
                );
            });
            println!(
                "{policy}/{name}: {:.2} allocations a decision",
                allocations as f64 / f64::from(decisions_made)
            );
        }
    }
}

fn request(serial: usize, class: usize) -> mastictrail_route::Request {
    mastictrail_route::Request {
        key: key::Request::from_raw(serial as u64 + 1_000_000),
        customer: key::Customer::of(&format!("c{}", serial * 7_919 % CUSTOMERS)),
        service: key::Service::of(support::SERVICE),
        class,
        model: Some(key::Model::of("m")),
        prompt_tokens: 512,
        max_tokens: 16_384,
        prefixes: (0..4)
            .map(|index| (serial % 500 * 10 + index) as u64)
            .collect(),
        deadline: base::Instant::default(),
        excluded: Vec::new(),
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
