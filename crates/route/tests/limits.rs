//! Customers' limits hold over all entry VMs, not at each by itself.

mod support;

use {
    base::Reason,
    mastictrail_route::Event,
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
    script.tell(Event::Vms(VMS));
    let mut reasons = Vec::new();
    for _ in 0..10 {
        let (_, actions) = script.arrive("anna", DRAFT);
        reasons.extend(refused(&actions).iter().map(|(_, refusal)| refusal.reason));
    }
    reasons.retain(|reason| *reason == Reason::CustomerLimit);
    assert_eq!(reasons, [], "10 requests of 80/s and 240 at once");
}
