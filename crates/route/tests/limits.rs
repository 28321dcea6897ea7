//! Customer limits hold over all entry VMs together, not at each VM by itself.

mod support;

use {
    base::{Instant, Reason, key},
    config::deployment::Customer,
    mastictrail_route::{Event, limit::Limiter},
    support::{DRAFT, Deployment, Harness, refused},
};

/// Number of entry VMs.
const VMS: u32 = 18;

#[test]
fn a_customer_far_under_its_limits_is_not_refused() {
    let deployment = Deployment {
        concurrency: 64,
        customers: vec![("anna".into(), "rate = 80/s\nconcurrency = 240".into())],
        ..Deployment::default()
    };
    let mut harness = Harness::new("predictive", 7, &deployment);
    harness.handle(Event::VmCount(VMS));
    harness.handle(Event::PeersConnected(true));
    let mut reasons = Vec::new();
    for _ in 0..10 {
        let (_, actions) = harness.arrive("anna", DRAFT);
        reasons.extend(refused(&actions).iter().map(|(_, refusal)| refusal.reason));
    }
    reasons.retain(|reason| *reason == Reason::CustomerLimit);
    assert_eq!(
        reasons,
        [],
        "10 requests under limits of 80/s and 240 in flight"
    );
}

#[test]
fn requests_to_all_vms_at_once_exceed_a_limit_by_a_bounded_factor() {
    let rate = 80.0;
    let settings = Customer {
        name: "anna".into(),
        key_sha256: [0; 32],
        weight: 1,
        rate: Some(rate),
        concurrency: None,
    };
    let anna = key::Customer::of("anna");
    let seconds = 3;
    let admitted = |_vm| {
        let mut limiter = Limiter::default();
        limiter.set_peers_connected(true);
        let results = (0..seconds * 100).map(|index| {
            let now = Instant::from_micros(1_000_000 + index * 10_000);
            usize::from(limiter.admit(now, anna, &settings, VMS).is_ok())
        });
        results.sum::<usize>()
    };
    let total: usize = (0..VMS).map(admitted).sum();
    // Up to one second of unused rate may accumulate for a burst.
    let bound = rate * f64::from(VMS).sqrt() * (seconds as f64 + 1.0);
    assert!(total as f64 <= bound, "{total} of at most {bound}");
}
