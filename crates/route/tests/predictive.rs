//! Decisions of the predictive policy as a whole.

mod support;

use {
    base::{Reason, key},
    mastictrail_route::{Cause, Event, Load, Outcome},
    std::time::Duration,
    support::{DRAFT, Deployment, Harness, LOOKUP, dispatched, refused, target_key},
};

fn harness(deployment: &Deployment) -> Harness {
    Harness::new("predictive", 7, deployment)
}

/// Sends drafts until one is queued; returns those that were dispatched.
fn fill_with_drafts(harness: &mut Harness, customer: &str) -> Vec<key::Request> {
    let mut running = Vec::new();
    loop {
        let (request, actions) = harness.arrive(customer, DRAFT);
        if dispatched(&actions).is_empty() {
            return running;
        }
        running.push(request);
    }
}

#[test]
fn drafts_leave_headroom_for_lookups() {
    let mut harness = harness(&Deployment::default());
    fill_with_drafts(&mut harness, "anna");
    let (_, actions) = harness.arrive("anna", LOOKUP);
    assert_eq!(dispatched(&actions).len(), 1);
}

#[test]
fn fewer_long_drafts_are_admitted_than_short_ones() {
    let admitted = |tokens| {
        let deployment = Deployment {
            targets: 1,
            concurrency: 64,
            ..Deployment::default()
        };
        let mut harness = harness(&deployment);
        for _ in 0..60 {
            harness.run("anna", DRAFT, tokens);
        }
        fill_with_drafts(&mut harness, "anna").len()
    };
    assert!(admitted(1_600) * 2 < admitted(200));
}

#[test]
fn reported_memory_use_prevents_admission() {
    let mut harness = harness(&Deployment::default());
    for target in 0..4 {
        harness.report(
            target,
            Load {
                running: 3,
                memory_total: 16_384,
                memory_used: 16_000,
                ..Load::default()
            },
        );
    }
    let (_, actions) = harness.arrive("anna", DRAFT);
    assert!(dispatched(&actions).is_empty());
    let actions = harness.report(
        2,
        Load {
            memory_total: 16_384,
            ..Load::default()
        },
    );
    assert_eq!(dispatched(&actions)[0].target, target_key(2));
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_refused_at_once() {
    let mut harness = harness(&Deployment::default());
    for _ in 0..40 {
        harness.run("anna", DRAFT, 1_000);
    }
    fill_with_drafts(&mut harness, "anna");
    let mut request = harness.request("anna", DRAFT);
    request.deadline = harness.now + Duration::from_secs(5);
    let actions = harness.handle(Event::Arrived(Box::new(request.clone())));
    let refusals = refused(&actions);
    assert_eq!(refusals[0].0, request.key);
    assert_eq!(refusals[0].1.reason, Reason::Overloaded);
    assert!(refusals[0].1.retry_after.is_some());
}

#[test]
fn a_queued_request_is_refused_before_its_deadline_if_it_cannot_meet_it() {
    let mut harness = harness(&Deployment::default());
    for _ in 0..40 {
        harness.run("anna", DRAFT, 1_000);
    }
    fill_with_drafts(&mut harness, "anna");
    assert_eq!(harness.policy.queued(), 1);
    // The draft is expected to take 20 s of its 60 s.
    let actions = harness.advance(Duration::from_secs(50));
    assert_eq!(refused(&actions).len(), 1);
    assert_eq!(harness.policy.queued(), 0);
}

#[test]
fn a_small_customer_does_not_wait_for_a_greedy_one() {
    let deployment = Deployment {
        customers: vec![
            ("greedy".into(), String::new()),
            ("small".into(), String::new()),
        ],
        ..Deployment::default()
    };
    let mut harness = harness(&deployment);
    let mut running = fill_with_drafts(&mut harness, "greedy");
    for _ in 0..50 {
        harness.arrive("greedy", DRAFT);
    }
    let (small, _) = harness.arrive("small", DRAFT);
    let mut order = Vec::new();
    for request in running.drain(..).take(3) {
        let actions = harness.end(request, Outcome::Complete);
        order.extend(dispatched(&actions).iter().map(|decision| decision.request));
    }
    assert!(
        order.iter().take(2).any(|&request| request == small),
        "{order:?}"
    );
}

#[test]
fn an_engine_with_the_prefix_is_preferred() {
    let mut harness = harness(&Deployment::default());
    let mut targets = Vec::new();
    for _ in 0..4 {
        let mut request = harness.request("anna", LOOKUP);
        request.prefixes = vec![1, 2].into();
        let actions = harness.handle(Event::Arrived(Box::new(request.clone())));
        let decision = dispatched(&actions)[0].clone();
        targets.push((decision.target, decision.cause));
        harness.end(request.key, Outcome::Complete);
    }
    let first = targets[0].0;
    assert!(
        targets[1..]
            .iter()
            .all(|&target| target == (first, Cause::Prefix))
    );
}

#[test]
fn a_failing_target_gets_no_more_requests_until_its_probe_succeeds() {
    let mut harness = harness(&Deployment::default());
    let (request, actions) = harness.arrive("anna", LOOKUP);
    let failing = dispatched(&actions)[0].target;
    harness.end(request, Outcome::Failed);
    for _ in 0..200 {
        let (request, actions) = harness.arrive("anna", LOOKUP);
        let is_failing = dispatched(&actions)[0].target == failing;
        let outcome = if is_failing {
            Outcome::Failed
        } else {
            Outcome::Complete
        };
        harness.end(request, outcome);
    }
    for _ in 0..50 {
        let (request, actions) = harness.arrive("anna", LOOKUP);
        assert_ne!(dispatched(&actions)[0].target, failing);
        harness.end(request, Outcome::Complete);
    }
    harness.advance(Duration::from_secs(2));
    let probes = (0..50).filter(|_| {
        let (_, actions) = harness.arrive("anna", LOOKUP);
        dispatched(&actions)
            .iter()
            .any(|decision| decision.cause == Cause::Probe)
    });
    assert_eq!(probes.count(), 1);
}

#[test]
fn targets_that_all_fail_are_still_used() {
    let mut harness = harness(&Deployment::default());
    for _ in 0..100 {
        let (request, actions) = harness.arrive("anna", LOOKUP);
        assert_eq!(dispatched(&actions).len(), 1);
        harness.end(request, Outcome::Failed);
    }
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut harness = harness(&Deployment::default());
    let mut refusals = Vec::new();
    for _ in 0..40 {
        let mut request = harness.request("anna", LOOKUP);
        request.excluded = vec![target_key(0)];
        let actions = harness.handle(Event::Arrived(Box::new(request.clone())));
        assert!(
            dispatched(&actions)
                .iter()
                .all(|decision| decision.target != target_key(0))
        );
        refusals.extend(refused(&actions).iter().map(|(_, refusal)| refusal.reason));
        harness.end(request.key, Outcome::Complete);
    }
    assert_eq!(refusals.len(), 30);
}

#[test]
fn vms_that_see_the_same_report_do_not_all_fill_the_same_engine() {
    let mut sent = 0;
    for seed in 0..20 {
        let deployment = Deployment {
            targets: 1,
            concurrency: 64,
            ..Deployment::default()
        };
        let mut harness = Harness::new("predictive", seed, &deployment);
        for _ in 0..60 {
            harness.run("anna", DRAFT, 50);
        }
        harness.handle(Event::VmCount(20));
        // The engine has room for 16 more requests of mean size.
        harness.report(
            0,
            Load {
                running: 5,
                memory_total: 16_384,
                memory_used: 3_900,
                ..Load::default()
            },
        );
        let arrivals = (0..4).map(|_| harness.arrive("anna", DRAFT).1);
        sent += arrivals
            .map(|actions| dispatched(&actions).len())
            .sum::<usize>();
    }
    assert!(
        (1..=16).contains(&sent),
        "{sent} sent by 20 VMs where 16 have room"
    );
}
