//! Each part of the predictive policy by itself.

mod support;

use {
    base::{Instant, key},
    config::deployment::Customer,
    mastictrail_route::{
        Request, affinity,
        budget::Budget,
        fair_queue::{Entry, FlowKey, Queue},
        length::{Estimator, Group},
        limit::Limiter,
        memory::{Profile, Usage},
        outlier::{Health, Status, may_eject},
    },
    std::time::Duration,
};

const MAX_TOKENS: u32 = 16_384;

fn group() -> Group {
    Group {
        service: key::Service::of("s"),
        class: 0,
        weight_class: Some(0),
    }
}

fn estimator(lengths: &[u32]) -> Estimator {
    let mut estimator = Estimator::default();
    estimator.ensure_group(group(), MAX_TOKENS);
    for &length in lengths {
        estimator.observe(group(), length, true);
    }
    estimator
}

fn seconds(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

#[test]
fn an_output_that_is_already_long_has_more_expected_remaining_tokens() {
    let lengths: Vec<_> = (0..250)
        .map(|index| (50.0 * 1.02_f64.powi(index)) as u32)
        .collect();
    let estimator = estimator(&lengths);
    let curve = estimator.curve(group()).expect("the group exists");
    assert!(
        curve.expected_remaining(2_000, MAX_TOKENS) > curve.expected_remaining(100, MAX_TOKENS)
    );
    assert!(curve.expected_remaining(2_000, MAX_TOKENS) <= (MAX_TOKENS - 2_000) as f32);
}

#[test]
fn the_estimate_approaches_the_mean_of_complete_outputs() {
    let estimator = estimator(&[400; 200]);
    let curve = estimator.curve(group()).expect("the group exists");
    let remaining = curve.expected_remaining(0, MAX_TOKENS);
    assert!((320.0..=520.0).contains(&remaining), "{remaining}");
}

#[test]
fn a_censored_output_counts_as_longer_than_what_it_produced() {
    let mut naive = estimator(&[800; 100]);
    let mut censored = estimator(&[800; 100]);
    for _ in 0..100 {
        naive.observe(group(), 100, true);
        censored.observe(group(), 100, false);
    }
    let remaining = |estimator: &Estimator| {
        estimator
            .curve(group())
            .expect("the group exists")
            .expected_remaining(0, MAX_TOKENS)
    };
    assert!(remaining(&censored) > 1.4 * remaining(&naive));
}

#[test]
fn running_requests_count_as_longer_than_what_they_produced() {
    let mut estimator = estimator(&[100; 50]);
    let before = estimator
        .curve(group())
        .expect("the group exists")
        .expected_remaining(100, MAX_TOKENS);
    for _ in 0..50 {
        estimator.move_running(
            group(),
            None,
            Some(mastictrail_route::length::bucket(1_000)),
        );
    }
    estimator.observe(group(), 100, true);
    let after = estimator
        .curve(group())
        .expect("the group exists")
        .expected_remaining(100, MAX_TOKENS);
    assert!(after > before);
}

#[test]
fn predicted_memory_rises_with_the_horizon_and_the_margin() {
    let lengths: Vec<_> = (1..200).map(|index| index * 20).collect();
    let estimator = estimator(&lengths);
    let curve = estimator.curve(group()).expect("the group exists");
    let profile = Profile::predict(curve, 200, 0, MAX_TOKENS);
    let mut usage = Usage::default();
    for _ in 0..10 {
        usage.begin(seconds(1), 200, &profile);
    }
    let mean = usage.predict_peak(&profile, curve, 0.0);
    assert!(mean > 11.0 * 200.0);
    assert!(usage.predict_peak(&profile, curve, 1.0) > mean);
}

#[test]
fn a_lagging_report_is_matched_with_the_counters_at_its_time() {
    let mut usage = Usage::default();
    let none = Profile::default();
    usage.begin(seconds(1), 1_000, &none);
    usage.begin(seconds(10), 1_000, &none);
    // At the time of the report only the first request was there, and one of a peer.
    usage.apply_report(seconds(11), Duration::from_secs(5), 2, 1_500);
    let current = usage.current();
    assert_eq!((current.requests, current.tokens), (3, 2_500));
    usage.end(seconds(12), 1_000, &none);
    assert_eq!(usage.current().tokens, 1_500);
    // The peer's counters would count the same request twice.
    usage.update_peer(seconds(13), key::Vm::of("b"), 1, 500);
    assert_eq!(usage.current().tokens, 1_500);
    // A stale report no longer counts.
    usage.expire(seconds(60));
    assert_eq!(usage.current().tokens, 1_000);
}

#[test]
fn peers_counters_count_until_they_are_stale() {
    let mut usage = Usage::default();
    usage.update_peer(seconds(1), key::Vm::of("b"), 3, 900);
    usage.update_peer(seconds(2), key::Vm::of("b"), 2, 600);
    assert_eq!(usage.current().tokens, 600);
    usage.expire(seconds(30));
    assert!(usage.is_idle());
}

fn entry(serial: u64, customer: &str, cost: u32) -> Entry {
    Entry {
        request: Box::new(Request {
            key: key::Request::from_raw(serial),
            customer: key::Customer::of(customer),
            service: key::Service::of("s"),
            class: 0,
            model: None,
            prompt_tokens: 0,
            max_tokens: 0,
            prefixes: Box::default(),
            deadline: seconds(60),
            excluded: Vec::new(),
        }),
        queued_at: seconds(0),
        cost,
        expires_at: seconds(60),
    }
}

fn flow(priority: u8, customer: &str) -> FlowKey {
    FlowKey {
        priority,
        customer: key::Customer::of(customer),
    }
}

/// Pops `count` heads and returns how many belong to a customer.
fn count_served(queue: &mut Queue, count: usize, customer: &str) -> usize {
    let served = (0..count).map(|_| {
        let (head, _) = queue.heads().next().expect("a request is queued");
        queue.pop(head);
        usize::from(head.customer == key::Customer::of(customer))
    });
    served.sum()
}

#[test]
fn the_queue_serves_customers_by_weight_and_not_by_backlog() {
    let mut queue = Queue::default();
    for serial in 0..1_000 {
        queue.push(flow(1, "greedy"), 1, entry(serial, "greedy", 100));
    }
    for serial in 1_000..1_300 {
        queue.push(flow(1, "large"), 3, entry(serial, "large", 100));
    }
    let large = count_served(&mut queue, 400, "large");
    assert!((298..=302).contains(&large), "{large} of 400");
}

#[test]
fn long_outputs_cost_their_customer_more() {
    let mut queue = Queue::default();
    for serial in 0..100 {
        queue.push(flow(1, "long"), 1, entry(serial, "long", 900));
        queue.push(flow(1, "short"), 1, entry(serial + 100, "short", 100));
    }
    let short = count_served(&mut queue, 100, "short");
    assert!((88..=92).contains(&short), "{short} of 100");
}

#[test]
fn a_higher_priority_goes_first_and_a_new_flow_does_not_wait_for_a_backlog() {
    let mut queue = Queue::default();
    for serial in 0..100 {
        queue.push(flow(1, "greedy"), 1, entry(serial, "greedy", 100));
    }
    assert_eq!(queue.estimate_ahead(flow(1, "small"), 1) as u64, 1);
    queue.push(flow(1, "small"), 1, entry(200, "small", 100));
    queue.push(flow(5, "anna"), 1, entry(201, "anna", 100));
    assert_eq!(count_served(&mut queue, 1, "anna"), 1);
    assert_eq!(count_served(&mut queue, 2, "small"), 1);
}

#[test]
fn a_cancelled_request_is_removed_from_the_queue() {
    let mut queue = Queue::default();
    queue.push(flow(1, "anna"), 1, entry(1, "anna", 100));
    assert!(queue.remove(key::Request::from_raw(1)).is_some());
    assert!(queue.remove(key::Request::from_raw(1)).is_none());
    assert!(queue.is_empty());
    assert!(queue.heads().next().is_none());
    assert_eq!(queue.next_expiry(), None);
}

fn customer(rate: Option<f64>, concurrency: Option<u32>) -> Customer {
    Customer {
        name: "anna".into(),
        key_sha256: [0; 32],
        weight: 1,
        rate,
        concurrency,
    }
}

/// Requests admission at a steady rate for 10 s and returns the number admitted.
fn admitted(limiter: &mut Limiter, from: u64, per_second: u64, vms: u32) -> usize {
    let settings = customer(Some(20.0), None);
    let anna = key::Customer::of("anna");
    let results = (0..per_second * 10).map(|index| {
        let now = seconds(from) + Duration::from_micros(index * 1_000_000 / per_second);
        usize::from(limiter.admit(now, anna, &settings, vms).is_ok())
    });
    results.sum()
}

#[test]
fn a_vm_without_gossip_enforces_an_equal_share() {
    let mut limiter = Limiter::default();
    let count = admitted(&mut limiter, 1, 100, 4);
    assert!((45..=60).contains(&count), "{count} in 10 s of 20/s over 4");
}

#[test]
fn a_vm_with_all_the_demand_gets_the_whole_limit() {
    let mut limiter = Limiter::default();
    let anna = key::Customer::of("anna");
    limiter.update_peer(seconds(1), key::Vm::of("b"), anna, 0.001, 0);
    let count = admitted(&mut limiter, 1, 100, 4);
    assert!((180..=220).contains(&count), "{count} in 10 s of 20/s");
}

#[test]
fn two_vms_that_gossip_keep_a_concurrency_limit() {
    let anna = key::Customer::of("anna");
    let settings = customer(None, Some(8));
    let mut limiters = [Limiter::default(), Limiter::default()];
    let mut in_flight = [0_u32; 2];
    for round in 1..20 {
        for own in 0..2 {
            let limiter = &mut limiters[own];
            limiter.update_peer(
                seconds(round),
                key::Vm::of("peer"),
                anna,
                1.0,
                in_flight[1 - own],
            );
            (0..in_flight[own]).for_each(|_| limiter.end(anna));
            in_flight[own] = 0;
            while limiter.admit(seconds(round), anna, &settings, 2).is_ok() {
                limiter.begin(anna);
                in_flight[own] += 1;
            }
        }
        let total = in_flight[0] + in_flight[1];
        assert!(round == 1 || (6..=8).contains(&total), "{in_flight:?}");
        assert!(in_flight.iter().all(|&count| count > 0), "{in_flight:?}");
    }
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let mut budget = Budget::default();
    while budget.withdraw() {}
    for _ in 0..100 {
        budget.deposit(0.05);
    }
    let retries = std::iter::repeat_with(|| budget.withdraw()).take_while(|&spent| spent);
    assert_eq!(retries.count(), 5);
}

#[test]
fn a_failing_target_is_ejected_and_probed_with_one_request() {
    let mut health = Health::default();
    while !health.record_failure() {}
    health.eject(seconds(1));
    assert_eq!(health.status(seconds(1)), Status::Ejected);
    assert_eq!(health.status(seconds(10)), Status::ProbeDue);
    health.begin(seconds(10));
    assert_eq!(health.status(seconds(10)), Status::Ejected);
    assert!(health.record_failure(), "a failed probe ejects at once");
    health.eject(seconds(10));
    assert_eq!(health.status(seconds(11)), Status::Ejected, "twice as long");
    health.begin(seconds(13));
    health.record_success();
    assert_eq!(health.status(seconds(13)), Status::Available);
}

#[test]
fn half_of_the_targets_are_never_ejected() {
    assert!(!may_eject(0, 1));
    assert!(may_eject(0, 2));
    assert!(!may_eject(1, 2));
    assert!(may_eject(4, 10));
    assert!(!may_eject(5, 10));
}

#[test]
fn the_longest_cached_prefix_is_found_until_it_is_evicted() {
    let mut table = affinity::Table::default();
    let (a, b) = (key::Target::of("a"), key::Target::of("b"));
    table.insert(seconds(1), 11, a);
    table.insert(seconds(1), 12, b);
    assert_eq!(table.find_longest(seconds(2), &[11, 12, 13]), Some((1, b)));
    table.remove(12, b);
    assert_eq!(table.find_longest(seconds(2), &[11, 12, 13]), Some((0, a)));
    table.remove_target(a);
    assert_eq!(table.find_longest(seconds(2), &[11, 12, 13]), None);
}
