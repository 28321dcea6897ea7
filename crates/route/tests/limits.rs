//! Customers' limits hold over all entry VMs, not at each by itself.

mod support;

use {
    base::{Instant, Reason, key},
    config::deployment::Customer,
    mastictrail_route::{Event, limit::Limit},
    support::{DRAFT, Deployment, Script, refused},
};

/// Entry VMs of a deployment of today.
const VMS: u32 = 18;

#[test]
fn a_customer_far_under_its_limits_is_not_refused() {
    let deployment = Deployment {
        concurrency: 64,
        customers: vec![("anna".into(), "rate = 80/s\nconcurrency = 240".into())],
        ..Deployment::default()
    };
    let mut script = Script::new("predictive", 7, &deployment);
    script.tell(Event::VmCount(VMS));
    script.tell(Event::PeersConnected(true));
    let mut reasons = Vec::new();
    for _ in 0..10 {
        let (_, actions) = script.arrive("anna", DRAFT);
        reasons.extend(refused(&actions).iter().map(|(_, refusal)| refusal.reason));
    }
    reasons.retain(|reason| *reason == Reason::CustomerLimit);
    assert_eq!(reasons, [], "10 requests of 80/s and 240 at once");
}

#[test]
fn vms_that_are_asked_all_at_once_pass_a_limit_by_a_bound() {
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
        let mut limit = Limit::default();
        limit.set_connected(true);
        let asked = (0..seconds * 100).map(|index| {
            let now = Instant::from_micros(1_000_000 + index * 10_000);
            usize::from(limit.admit(now, anna, &settings, VMS).is_ok())
        });
        asked.sum::<usize>()
    };
    let total: usize = (0..VMS).map(admitted).sum();
    // One second more than asked for may be saved up for a burst.
    let bound = rate * f64::from(VMS).sqrt() * (seconds as f64 + 1.0);
    assert!(total as f64 <= bound, "{total} of at most {bound}");
}
