//! The cost of one decision at 600 runners and 42,000 customers.

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
    support::{DRAFT, Deployment, LOOKUP, Script, dispatched},
};

const RUNNERS: usize = 600;
const CUSTOMERS: usize = 42_000;

/// Counts allocations and the bytes that are held.
struct Counting;

static CALLS: AtomicU64 = AtomicU64::new(0);
static HELD: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        CALLS.fetch_add(1, Relaxed);
        HELD.fetch_add(layout.size() as u64, Relaxed);
        // SAFETY: the caller's promises hold for the system's allocator too.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as u64, Relaxed);
        // SAFETY: the caller's promises hold for the system's allocator too.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn deployment() -> Deployment {
    Deployment {
        targets: RUNNERS,
        concurrency: 64,
        memory: 131_072,
        ..Deployment::default()
    }
}

/// Adds the customers, who don't fit into one published value.
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

/// Makes a policy that knows loads, lengths, peers and customers.
fn busy(policy: &str, deployment: &Deployment) -> Script {
    let mut script = Script::new(policy, 1, deployment);
    script.tell(Event::Configuration(with_customers(deployment)));
    script.tell(Event::VmCount(350));
    for index in 0..RUNNERS {
        script.report(
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
        script.tell(Event::PeerDemand {
            vm: key::Vm::of("peer"),
            customer,
            requests_per_second: 1.0,
            in_flight: 1,
        });
        let (request, actions) = script.arrive(&format!("c{index}"), index % 2);
        if !dispatched(&actions).is_empty() {
            script.tell(Event::Progress {
                request,
                tokens: 40,
            });
            script.end(request, Outcome::Complete);
        }
        script.now = script.now + Duration::from_micros(500);
    }
    script
}

fn decisions(criterion: &mut Criterion) {
    let deployment = deployment();
    for policy in mastictrail_route::policies::NAMES {
        let before = HELD.load(Relaxed);
        let mut script = busy(policy, &deployment);
        let held = HELD.load(Relaxed) - before;
        println!(
            "{policy}: {:.1} MB of state, the snapshot included",
            held as f64 / 1e6
        );
        for (name, class) in [("lookup", LOOKUP), ("draft", DRAFT)] {
            let mut serial = 0_usize;
            let mut calls = 0;
            let mut count = 0;
            criterion.bench_function(&format!("{policy}/{name}"), |bencher| {
                bencher.iter_batched(
                    || {
                        serial += 1;
                        Box::new(request(serial, class))
                    },
                    |mut request| {
                        script.now = script.now + Duration::from_millis(2);
                        request.deadline = script.now + Duration::from_secs(60);
                        let key = request.key;
                        let before = CALLS.load(Relaxed);
                        let actions = black_box(script.tell(Event::Arrived(request)));
                        calls += CALLS.load(Relaxed) - before;
                        count += 1;
                        (actions, script.end(key, Outcome::Complete))
                    },
                    criterion::BatchSize::SmallInput,
                );
            });
            println!(
                "{policy}/{name}: {:.2} allocations a decision",
                calls as f64 / f64::from(count)
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
