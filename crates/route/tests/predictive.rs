//! How the predictive policy decides.

mod support;

use {
    base::{Reason, key},
    mastictrail_route::{Cause, Event, Load, Outcome},
    std::time::Duration,
    support::{DRAFT, Deployment, LOOKUP, Script, dispatched, refused, target_key},
};

fn script(deployment: &Deployment) -> Script {
    Script::new("predictive", 7, deployment)
}

/// Sends drafts until one has to wait; returns those that run.
fn fill(script: &mut Script, customer: &str) -> Vec<key::Request> {
    let mut running = Vec::new();
    loop {
        let (request, actions) = script.arrive(customer, DRAFT);
        if dispatched(&actions).is_empty() {
            return running;
        }
        running.push(request);
    }
}

#[test]
fn drafts_leave_room_for_lookups() {
    let mut script = script(&Deployment::default());
    fill(&mut script, "anna");
    let (_, actions) = script.arrive("anna", LOOKUP);
    assert_eq!(dispatched(&actions).len(), 1);
}

#[test]
fn long_drafts_are_admitted_more_sparingly_than_short_ones() {
    let admitted = |tokens| {
        let deployment = Deployment {
            targets: 1,
            concurrency: 64,
            ..Deployment::default()
        };
        let mut script = script(&deployment);
        for _ in 0..60 {
            script.run("anna", DRAFT, tokens);
        }
        fill(&mut script, "anna").len()
    };
    assert!(admitted(1_600) * 2 < admitted(200));
}

#[test]
fn memory_that_others_use_is_not_given_away() {
    let mut script = script(&Deployment::default());
    for target in 0..4 {
        script.report(
            target,
            Load {
                running: 3,
                memory_total: 16_384,
                memory_used: 16_000,
                ..Load::default()
            },
        );
    }
    let (_, actions) = script.arrive("anna", DRAFT);
    assert!(dispatched(&actions).is_empty());
    let actions = script.report(
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
    let mut script = script(&Deployment::default());
    for _ in 0..40 {
        script.run("anna", DRAFT, 1_000);
    }
    fill(&mut script, "anna");
    let mut request = script.request("anna", DRAFT);
    request.deadline = script.now + Duration::from_secs(5);
    let actions = script.tell(Event::Arrived(Box::new(request.clone())));
    let refusals = refused(&actions);
    assert_eq!(refusals[0].0, request.key);
    assert_eq!(refusals[0].1.reason, Reason::Overloaded);
    assert!(refusals[0].1.retry_after.is_some());
}

#[test]
fn a_queued_request_is_given_up_while_its_deadline_is_still_ahead() {
    let mut script = script(&Deployment::default());
    for _ in 0..40 {
        script.run("anna", DRAFT, 1_000);
    }
    fill(&mut script, "anna");
    assert_eq!(script.policy.queued(), 1);
    // The draft takes 20 s of its 60 s.
    let actions = script.advance(Duration::from_secs(50));
    assert_eq!(refused(&actions).len(), 1);
    assert_eq!(script.policy.queued(), 0);
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
    let mut script = script(&deployment);
    let mut running = fill(&mut script, "greedy");
    for _ in 0..50 {
        script.arrive("greedy", DRAFT);
    }
    let (small, _) = script.arrive("small", DRAFT);
    let mut order = Vec::new();
    for request in running.drain(..).take(3) {
        let actions = script.end(request, Outcome::Complete);
        order.extend(dispatched(&actions).iter().map(|decision| decision.request));
    }
    assert!(
        order.iter().take(2).any(|&request| request == small),
        "{order:?}"
    );
}

#[test]
fn an_engine_with_the_prefix_is_preferred() {
    let mut script = script(&Deployment::default());
    let mut targets = Vec::new();
    for _ in 0..4 {
        let mut request = script.request("anna", LOOKUP);
        request.prefixes = vec![1, 2].into();
        let actions = script.tell(Event::Arrived(Box::new(request.clone())));
        let decision = dispatched(&actions)[0].clone();
        targets.push((decision.target, decision.cause));
        script.end(request.key, Outcome::Complete);
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
    let mut script = script(&Deployment::default());
    let (request, actions) = script.arrive("anna", LOOKUP);
    let bad = dispatched(&actions)[0].target;
    script.end(request, Outcome::Failed);
    for _ in 0..200 {
        let (request, actions) = script.arrive("anna", LOOKUP);
        let failed = dispatched(&actions)[0].target == bad;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Complete
        };
        script.end(request, outcome);
    }
    for _ in 0..50 {
        let (request, actions) = script.arrive("anna", LOOKUP);
        assert_ne!(dispatched(&actions)[0].target, bad);
        script.end(request, Outcome::Complete);
    }
    script.advance(Duration::from_secs(2));
    let probes = (0..50).filter(|_| {
        let (_, actions) = script.arrive("anna", LOOKUP);
        dispatched(&actions)
            .iter()
            .any(|decision| decision.cause == Cause::Probe)
    });
    assert_eq!(probes.count(), 1);
}

#[test]
fn targets_that_all_fail_are_still_used() {
    let mut script = script(&Deployment::default());
    for _ in 0..100 {
        let (request, actions) = script.arrive("anna", LOOKUP);
        assert_eq!(dispatched(&actions).len(), 1);
        script.end(request, Outcome::Failed);
    }
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut script = script(&Deployment::default());
    let mut refusals = Vec::new();
    for _ in 0..40 {
        let mut request = script.request("anna", LOOKUP);
        request.excluded = vec![target_key(0)];
        let actions = script.tell(Event::Arrived(Box::new(request.clone())));
        assert!(
            dispatched(&actions)
                .iter()
                .all(|decision| decision.target != target_key(0))
        );
        refusals.extend(refused(&actions).iter().map(|(_, refusal)| refusal.reason));
        script.end(request.key, Outcome::Complete);
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
        let mut script = Script::new("predictive", seed, &deployment);
        for _ in 0..60 {
            script.run("anna", DRAFT, 50);
        }
        script.tell(Event::VmCount(20));
        // There is room for sixteen more requests of the usual size.
        script.report(
            0,
            Load {
                running: 5,
                memory_total: 16_384,
                memory_used: 3_900,
                ..Load::default()
            },
        );
        let arrivals = (0..4).map(|_| script.arrive("anna", DRAFT).1);
        sent += arrivals
            .map(|actions| dispatched(&actions).len())
            .sum::<usize>();
    }
    assert!(
        (1..=16).contains(&sent),
        "{sent} sent by 20 VMs where 16 have room"
    );
}
