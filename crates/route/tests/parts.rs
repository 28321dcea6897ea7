//! What each part of the predictive policy promises.

mod support;

use {
    base::{Instant, key},
    config::deployment::Customer,
    mastictrail_route::{
        Request, affinity,
        budget::Budget,
        fair_queue::{Place, Queue, Waiting},
        length::{Book, Group},
        limit::Limit,
        memory::{Profile, Usage},
        outlier::{Health, Use, may_eject},
    },
    std::time::Duration,
};

const LIMIT: u32 = 16_384;

fn group() -> Group {
    Group {
        service: key::Service::of("s"),
        class: 0,
        customers: Some(0),
    }
}

fn book(lengths: &[u32]) -> Book {
    let mut book = Book::default();
    book.open(group(), LIMIT);
    for &length in lengths {
        book.observe(group(), length, true);
    }
    book
}

fn seconds(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

#[test]
fn a_draft_that_has_run_long_is_expected_to_run_longer() {
    let lengths: Vec<_> = (0..250)
        .map(|index| (50.0 * 1.02_f64.powi(index)) as u32)
        .collect();
    let book = book(&lengths);
    let curve = book.curve(group()).expect("the group is open");
    assert!(curve.rest(2_000, LIMIT) > curve.rest(100, LIMIT));
    assert!(curve.rest(2_000, LIMIT) <= (LIMIT - 2_000) as f32);
}

#[test]
fn the_estimate_finds_the_mean_of_what_ended() {
    let book = book(&[400; 200]);
    let curve = book.curve(group()).expect("the group is open");
    let rest = curve.rest(0, LIMIT);
    assert!((320.0..=520.0).contains(&rest), "{rest}");
}

#[test]
fn a_cut_off_answer_counts_as_longer_than_what_it_produced() {
    let mut naive = book(&[800; 100]);
    let mut censored = book(&[800; 100]);
    for _ in 0..100 {
        naive.observe(group(), 100, true);
        censored.observe(group(), 100, false);
    }
    let rest = |book: &Book| book.curve(group()).expect("open").rest(0, LIMIT);
    assert!(rest(&censored) > 1.4 * rest(&naive));
}

#[test]
fn running_requests_count_as_longer_than_what_they_produced() {
    let mut book = book(&[100; 50]);
    let before = book.curve(group()).expect("open").rest(100, LIMIT);
    for _ in 0..50 {
        book.advance(
            group(),
            None,
            Some(mastictrail_route::length::bucket(1_000)),
        );
    }
    book.observe(group(), 100, true);
    let after = book.curve(group()).expect("open").rest(100, LIMIT);
    assert!(after > before);
}

#[test]
fn predicted_memory_rises_with_the_horizon_and_the_margin() {
    let lengths: Vec<_> = (1..200).map(|index| index * 20).collect();
    let book = book(&lengths);
    let curve = book.curve(group()).expect("open");
    let profile = Profile::of(curve, 200, 0, LIMIT);
    let mut usage = Usage::default();
    for _ in 0..10 {
        usage.begin(seconds(1), 200, &profile);
    }
    let mean = usage.peak(&profile, curve, 0.0);
    assert!(mean > 11.0 * 200.0);
    assert!(usage.peak(&profile, curve, 1.0) > mean);
}

#[test]
fn a_late_report_is_matched_with_what_was_sent_by_then() {
    let mut usage = Usage::default();
    let none = Profile::default();
    usage.begin(seconds(1), 1_000, &none);
    usage.begin(seconds(10), 1_000, &none);
    // The report speaks of a time when only the first request was there, beside one of a peer's.
    usage.report(seconds(11), Duration::from_secs(5), 2, 1_500);
    let current = usage.current();
    assert_eq!((current.requests, current.tokens), (3, 2_500));
    usage.end(seconds(12), 1_000, &none);
    assert_eq!(usage.current().tokens, 1_500);
    // A peer's counters would count its request twice.
    usage.peer(seconds(13), key::Vm::of("b"), 1, 500);
    assert_eq!(usage.current().tokens, 1_500);
    // A report that is no longer renewed does not count for ever.
    usage.expire(seconds(60));
    assert_eq!(usage.current().tokens, 1_000);
}

#[test]
fn peers_counters_count_until_they_are_out_of_date() {
    let mut usage = Usage::default();
    usage.peer(seconds(1), key::Vm::of("b"), 3, 900);
    usage.peer(seconds(2), key::Vm::of("b"), 2, 600);
    assert_eq!(usage.current().tokens, 600);
    usage.expire(seconds(30));
    assert!(usage.is_idle());
}

fn waiting(serial: u64, customer: &str, cost: u32) -> Waiting {
    Waiting {
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
        since: seconds(0),
        cost,
        give_up: seconds(60),
    }
}

fn place(priority: u8, customer: &str) -> Place {
    Place {
        priority,
        customer: key::Customer::of(customer),
    }
}

/// Serves so many heads and counts those of a customer.
fn serve(queue: &mut Queue, count: usize, customer: &str) -> usize {
    let served = (0..count).map(|_| {
        let (head, _) = queue.heads().next().expect("something waits");
        queue.pop(head);
        usize::from(head.customer == key::Customer::of(customer))
    });
    served.sum()
}

#[test]
fn the_queue_serves_customers_by_weight_and_not_by_backlog() {
    let mut queue = Queue::default();
    for serial in 0..1_000 {
        queue.push(place(1, "greedy"), 1, waiting(serial, "greedy", 100));
    }
    for serial in 1_000..1_300 {
        queue.push(place(1, "large"), 3, waiting(serial, "large", 100));
    }
    let large = serve(&mut queue, 400, "large");
    assert!((298..=302).contains(&large), "{large} of 400");
}

#[test]
fn long_answers_cost_their_customer_more() {
    let mut queue = Queue::default();
    for serial in 0..100 {
        queue.push(place(1, "long"), 1, waiting(serial, "long", 900));
        queue.push(place(1, "short"), 1, waiting(serial + 100, "short", 100));
    }
    let short = serve(&mut queue, 100, "short");
    assert!((88..=92).contains(&short), "{short} of 100");
}

#[test]
fn a_higher_priority_goes_first_and_a_newcomer_does_not_wait_for_a_backlog() {
    let mut queue = Queue::default();
    for serial in 0..100 {
        queue.push(place(1, "greedy"), 1, waiting(serial, "greedy", 100));
    }
    assert_eq!(queue.ahead(place(1, "small"), 1) as u64, 1);
    queue.push(place(1, "small"), 1, waiting(200, "small", 100));
    queue.push(place(5, "anna"), 1, waiting(201, "anna", 100));
    assert_eq!(serve(&mut queue, 1, "anna"), 1);
    assert_eq!(serve(&mut queue, 2, "small"), 1);
}

#[test]
fn a_withdrawn_request_leaves_nothing_behind() {
    let mut queue = Queue::default();
    queue.push(place(1, "anna"), 1, waiting(1, "anna", 100));
    assert!(queue.remove(key::Request::from_raw(1)).is_some());
    assert!(queue.remove(key::Request::from_raw(1)).is_none());
    assert!(queue.is_empty());
    assert!(queue.heads().next().is_none());
    assert_eq!(queue.next_give_up(), None);
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

/// Asks at a steady pace for a while and counts what is admitted.
fn admitted(limit: &mut Limit, from: u64, per_second: u64, vms: u32) -> usize {
    let settings = customer(Some(20.0), None);
    let anna = key::Customer::of("anna");
    let asked = (0..per_second * 10).map(|index| {
        let now = seconds(from) + Duration::from_micros(index * 1_000_000 / per_second);
        usize::from(limit.admit(now, anna, &settings, vms).is_ok())
    });
    asked.sum()
}

#[test]
fn a_vm_that_hears_no_peers_enforces_an_equal_share() {
    let mut limit = Limit::default();
    let count = admitted(&mut limit, 1, 100, 4);
    assert!((45..=60).contains(&count), "{count} in 10 s of 20/s over 4");
}

#[test]
fn a_vm_with_all_the_demand_gets_the_whole_limit() {
    let mut limit = Limit::default();
    let anna = key::Customer::of("anna");
    limit.peer(seconds(1), key::Vm::of("b"), anna, 0.001, 0);
    let count = admitted(&mut limit, 1, 100, 4);
    assert!((180..=220).contains(&count), "{count} in 10 s of 20/s");
}

#[test]
fn two_vms_that_tell_each_other_keep_a_limit_on_requests_in_flight() {
    let anna = key::Customer::of("anna");
    let settings = customer(None, Some(8));
    let mut limits = [Limit::default(), Limit::default()];
    let mut in_flight = [0_u32; 2];
    for round in 1..20 {
        for own in 0..2 {
            let limit = &mut limits[own];
            limit.peer(
                seconds(round),
                key::Vm::of("peer"),
                anna,
                1.0,
                in_flight[1 - own],
            );
            (0..in_flight[own]).for_each(|_| limit.end(anna));
            in_flight[own] = 0;
            while limit.admit(seconds(round), anna, &settings, 2).is_ok() {
                limit.begin(anna);
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
    while budget.spend() {}
    for _ in 0..100 {
        budget.earn(0.05);
    }
    let retries = std::iter::repeat_with(|| budget.spend()).take_while(|&spent| spent);
    assert_eq!(retries.count(), 5);
}

#[test]
fn a_failing_target_is_ejected_and_probed_with_one_request() {
    let mut health = Health::default();
    while !health.fail() {}
    health.eject(seconds(1));
    assert_eq!(health.permitted(seconds(1)), Use::Ejected);
    assert_eq!(health.permitted(seconds(10)), Use::Probe);
    health.begin(seconds(10));
    assert_eq!(health.permitted(seconds(10)), Use::Ejected);
    assert!(health.fail(), "a failed probe ejects at once");
    health.eject(seconds(10));
    assert_eq!(health.permitted(seconds(11)), Use::Ejected, "twice as long");
    health.begin(seconds(13));
    health.succeed();
    assert_eq!(health.permitted(seconds(13)), Use::Open);
}

#[test]
fn half_of_the_targets_stay() {
    assert!(!may_eject(0, 1));
    assert!(may_eject(0, 2));
    assert!(!may_eject(1, 2));
    assert!(may_eject(4, 10));
    assert!(!may_eject(5, 10));
}

#[test]
fn the_longest_held_prefix_is_found_until_it_leaves() {
    let mut table = affinity::Table::default();
    let (a, b) = (key::Target::of("a"), key::Target::of("b"));
    table.store(seconds(1), 11, a);
    table.store(seconds(1), 12, b);
    assert_eq!(table.longest(seconds(2), &[11, 12, 13]), Some((1, b)));
    table.remove(12, b);
    assert_eq!(table.longest(seconds(2), &[11, 12, 13]), Some((0, a)));
    table.forget(a);
    assert_eq!(table.longest(seconds(2), &[11, 12, 13]), None);
}
