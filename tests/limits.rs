//! What a target says of itself to one VM, and what all VMs must make of it.

mod support;

use {
    fakes::site::{Target, target::Behaviour},
    hyper::{Method, StatusCode},
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
    support::{
        site::{SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, read_to_end, send},
        wait_until,
    },
};

const GATEWAYS: usize = 3;
const SERVICES: usize = 3;
/// Requests per second that a target names as its limit.
const LIMIT: f64 = 5.0;
/// Time after which all VMs must keep a limit that was named.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time over which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Time between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const CLIENTS: usize = 6;

/// Result of one request.
struct Exchange {
    status: Option<StatusCode>,
    duration: Duration,
    has_retry_after: bool,
}

fn start() -> Site {
    let site = Site::start(2, SERVICES, GATEWAYS);
    site.wait_for_peers();
    site
}

fn limited() -> Behaviour {
    Behaviour {
        notices: vec![("server-limit", LIMIT.to_string())],
        ..Behaviour::default()
    }
}

/// Sends requests to all gateways for a time, about 60 a second.
fn load(
    site: &Site,
    duration: Duration,
    path: impl Fn(usize) -> &'static str + Sync,
) -> Vec<Exchange> {
    let addresses: Vec<_> = site
        .gateways
        .iter()
        .map(|gateway| gateway.clients)
        .collect();
    let end = Instant::now() + duration;
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                scope.spawn(|| {
                    let mut exchanges = Vec::new();
                    while Instant::now() < end {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        let at = Instant::now();
                        let attempt = format!("a-{number}");
                        let headers = [("x-attempt-id", &*attempt), ("x-token-usage", "100,40")];
                        let address = addresses[number % addresses.len()];
                        let response = send(address, &Method::POST, path(number), &headers);
                        let response = response.map(read_to_end).ok();
                        exchanges.push(Exchange {
                            status: response.as_ref().map(|response| response.status),
                            duration: at.elapsed(),
                            has_retry_after: response.is_some_and(|response| {
                                response.headers.contains_key("retry-after")
                            }),
                        });
                        thread::sleep(REQUEST_INTERVAL.mul_f64(rand::random_range(0.5..1.5)));
                    }
                    exchanges
                })
            })
            .collect();
        let clients = clients.into_iter();
        clients
            .flat_map(|client| client.join().expect("the client does not panic"))
            .collect()
    })
}

/// Returns the largest number of requests that a target received in [`COUNT_WINDOW`] after a time.
fn most_in_window(target: &Target, from: Instant) -> usize {
    most_in(target, from, COUNT_WINDOW)
}

/// Returns the largest number of requests that a target received in a window after a time.
fn most_in(target: &Target, from: Instant, window: Duration) -> usize {
    let received = target.received();
    let times: Vec<_> = received
        .iter()
        .map(|request| request.at)
        .filter(|at| *at >= from)
        .collect();
    let counts = times.iter().map(|start| {
        let in_window = times
            .iter()
            .filter(|at| **at >= *start && **at < *start + window);
        in_window.count()
    });
    counts.max().unwrap_or_default()
}

/// Returns how many requests a target with [`LIMIT`] may get in a window.
fn allowed() -> usize {
    (1.5 * LIMIT * COUNT_WINDOW.as_secs_f64()) as usize + 5
}

fn plain_path(number: usize) -> &'static str {
    [SAFE_PATH, UNSAFE_PATH][number / GATEWAYS % 2]
}

/// Each VM sees a third of the requests, and hears of the limit with the first one it sends there.
#[test]
fn a_limit_that_a_target_names_holds_for_all_vms_together() {
    let site = start();
    for target in &site.services[..2] {
        target.set_behaviour(limited());
    }
    let named = Instant::now();
    let exchanges = load(&site, Duration::from_secs(10), plain_path);
    for target in &site.services[..2] {
        let most = most_in_window(target, named + STABLE_WINDOW);
        assert!(
            most <= allowed(),
            "{most} requests in 4 s, {} allowed",
            allowed()
        );
        // The rest of the limit is not wasted.
        assert!(
            most as f64 >= 0.5 * LIMIT * COUNT_WINDOW.as_secs_f64(),
            "{most} requests in 4 s"
        );
    }
    let served = exchanges
        .iter()
        .filter(|exchange| exchange.status == Some(StatusCode::OK));
    assert!(served.count() * 100 >= exchanges.len() * 99);
}

/// All targets are limited, so most requests can't be served and must not wait for it.
#[test]
fn requests_beyond_all_limits_are_refused_at_once_with_the_time_to_come_back() {
    let site = start();
    for target in &site.services {
        target.set_behaviour(limited());
    }
    let begun = Instant::now();
    let exchanges = load(&site, Duration::from_secs(9), plain_path);
    for target in &site.services {
        let most = most_in_window(target, begun + STABLE_WINDOW);
        assert!(
            most <= allowed(),
            "{most} requests in 4 s, {} allowed",
            allowed()
        );
    }
    let (served, refused): (Vec<_>, Vec<_>) = exchanges
        .iter()
        .partition(|exchange| exchange.status == Some(StatusCode::OK));
    assert!(served.len() >= 60, "{} served", served.len());
    assert!(refused.len() >= 100, "{} refused", refused.len());
    for exchange in refused {
        assert_eq!(exchange.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        assert!(exchange.has_retry_after);
        assert!(
            exchange.duration < Duration::from_millis(300),
            "{:?}",
            exchange.duration
        );
    }
}

#[test]
fn a_target_that_names_no_limit_any_more_gets_its_part_again() {
    let site = start();
    site.services[0].set_behaviour(limited());
    load(&site, Duration::from_secs(2), plain_path);
    wait_until("all gateways know the limit", || {
        (0..GATEWAYS).all(|gateway| site.metric(gateway, "limited") == 1)
    });
    site.services[0].set_behaviour(Behaviour::default());
    let before = site.services[0].received().len();
    load(&site, Duration::from_secs(4), plain_path);
    assert!((0..GATEWAYS).all(|gateway| site.metric(gateway, "limited") == 0));
    let received = site.services[0].received().len() - before;
    assert!(received >= 40, "{received} requests in 4 s");
}

/// It has had no answer of the target itself.
#[test]
fn a_gateway_that_starts_late_keeps_the_limit() {
    let mut site = start();
    for target in &site.services[..2] {
        target.set_behaviour(limited());
    }
    load(&site, Duration::from_secs(2), plain_path);
    site.restart(0);
    wait_until("the gateway knows the limits", || {
        site.metric(0, "limited") == 2
    });
    let restarted = Instant::now();
    load(&site, Duration::from_secs(6), plain_path);
    for target in &site.services[..2] {
        let most = most_in_window(target, restarted);
        assert!(
            most <= allowed(),
            "{most} requests in 4 s, {} allowed",
            allowed()
        );
    }
}

/// Engines name limits, too, and get requests in other ways.
#[test]
fn the_limit_of_an_engine_holds_for_all_vms_together() {
    let site = start();
    site.engines[0].set_behaviour(limited());
    let begun = Instant::now();
    let exchanges = load(&site, Duration::from_secs(9), |_| STREAM_PATH);
    let most = most_in_window(&site.engines[0], begun + STABLE_WINDOW);
    assert!(
        most <= allowed(),
        "{most} requests in 4 s, {} allowed",
        allowed()
    );
    let served = exchanges
        .iter()
        .filter(|exchange| exchange.status == Some(StatusCode::OK));
    assert!(served.count() * 100 >= exchanges.len() * 95);
}

/// Nothing in the store says so, and only one VM hears it.
#[test]
fn a_target_that_says_that_it_leaves_gets_nothing_more_from_any_vm() {
    let site = start();
    site.services[0].set_behaviour(Behaviour {
        notices: vec![("server-leaving", "1".to_owned())],
        ..Behaviour::default()
    });
    load(&site, Duration::from_secs(2), plain_path);
    let after = Instant::now();
    let exchanges = load(&site, Duration::from_secs(3), plain_path);
    let received = site.services[0].received();
    let late = received.iter().filter(|request| request.at > after).count();
    assert_eq!(late, 0, "{late} requests after all VMs knew");
    let served = exchanges
        .iter()
        .filter(|exchange| exchange.status == Some(StatusCode::OK));
    assert_eq!(served.count(), exchanges.len());
}

/// A target that is full asks each VM for a pause; other targets serve meanwhile, or none does.
#[test]
fn a_target_that_asks_a_vm_for_a_pause_gets_nothing_from_it_meanwhile() {
    for full in [1, SERVICES] {
        let site = start();
        for target in &site.services[..full] {
            target.set_behaviour(Behaviour {
                refuses: true,
                notices: vec![("retry-after", "4".to_owned())],
                ..Behaviour::default()
            });
        }
        load(&site, Duration::from_millis(3_500), plain_path);
        for target in &site.services[..full] {
            let received = target.received().len();
            // Two may be on their way from a VM when its first one is refused.
            assert!(
                received <= 3 * GATEWAYS,
                "{received} requests to a target that is full"
            );
        }
    }
}

/// Requests that are under way at the same time are refused with pauses of several lengths.
#[test]
fn a_short_pause_does_not_end_the_long_one_before() {
    for pauses in [["3", "0.03"], ["0.03", "3"], ["3", "0"]] {
        let site = Site::start(1, 1, 1);
        let full = &site.services[0];
        full.set_behaviour(Behaviour {
            refuses: true,
            refusal_delay: Duration::from_millis(50),
            pauses: pauses.to_vec(),
            ..Behaviour::default()
        });
        thread::scope(|scope| {
            for client in 0..4 {
                let site = &site;
                scope.spawn(move || {
                    let attempt = format!("first-{client}");
                    site.fetch(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", &attempt)]);
                });
            }
        });
        let paused = Instant::now();
        assert!(full.received().len() >= 2, "only one request was under way");
        while paused.elapsed() < Duration::from_millis(2_500) {
            let attempt = format!("later-{:?}", paused.elapsed());
            let response = site.fetch(&Method::POST, SAFE_PATH, &[("x-attempt-id", &attempt)]);
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            thread::sleep(REQUEST_INTERVAL / 2);
        }
        let received = full.received();
        let late = received
            .iter()
            .filter(|request| request.at > paused + Duration::from_millis(500));
        assert!(late.count() <= 2, "requests during the pause: {pauses:?}");
    }
}

/// Brittle targets crash if they have to refuse many requests in a second. Each VM sends each of
/// them about one request a second, and so sees few refusals itself.
#[test]
fn brittle_targets_that_are_full_are_not_made_to_fall_over() {
    const BRITTLE: usize = 2;
    let site = Site::start(1, 2, 8);
    site.wait_for_peers();
    for target in &site.services {
        target.set_behaviour(Behaviour {
            delay: Duration::from_millis(800),
            capacity: Some(1),
            brittle: Some(BRITTLE),
            notices: vec![("server-brittle", BRITTLE.to_string())],
            ..Behaviour::default()
        });
    }
    let named = Instant::now();
    let stop = named + STABLE_WINDOW + Duration::from_secs(6);
    thread::scope(|scope| {
        for gateway in &site.gateways {
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < stop {
                    number += 1;
                    let attempt = format!("b-{}-{number}", gateway.clients);
                    let headers = [("x-attempt-id", &*attempt), ("x-deadline-ms", "1500")];
                    if let Ok(response) =
                        send(gateway.clients, &Method::POST, UNSAFE_PATH, &headers)
                    {
                        read_to_end(response);
                    }
                    let interval = Duration::from_millis(700);
                    thread::sleep(interval.mul_f64(rand::random_range(0.5..1.5)));
                }
            });
        }
    });
    let late = |target: &Target| {
        let crashes = target.crashes().into_iter();
        crashes.filter(|at| *at > named + STABLE_WINDOW).count()
    };
    let falls: usize = site.services.iter().map(late).sum();
    let served: usize = site.services.iter().map(Target::run_count).sum();
    assert!(falls <= 2, "{falls} falls, {served} requests run");
    assert!(served >= 10, "{served} requests run");
}

/// A cold target crashes at a rate that a warm one bears. No VM knows what the others send to it.
#[test]
fn a_cold_target_gets_no_more_than_it_bears_from_all_vms_together() {
    const VMS: usize = 4;
    /// Requests per second that the cold target takes.
    const RATE: usize = 3;
    /// Requests that it bears in a second: 1.5 times that and 5.
    const BOUND: usize = 9;
    let site = Site::start(1, SERVICES, VMS);
    site.wait_for_peers();
    site.publish(2, |document| {
        document["Services"][1]["ColdStartS"] = 8.into();
        document["Services"][1]["ColdPerS"] = RATE.into();
    });
    let all = |name, value| (0..VMS).all(|vm| site.metric(vm, name) == value);
    wait_until("all gateways have the configuration", || {
        all("configuration_version", 2)
    });
    // The entries say that their targets are warm, so nothing is limited.
    assert!(all("cold", 0));
    let cold = &site.services[0];
    site.put_cold_entry(cold, Duration::from_secs(12));
    wait_until("all gateways know that the target is cold", || {
        all("cold", 1)
    });
    let begun = Instant::now();
    let exchanges = load(&site, Duration::from_secs(6), plain_path);
    let most = most_in(cold, begun, Duration::from_secs(1));
    assert!(most <= BOUND, "{most} requests in a second");
    let received = cold.received();
    let count = received.iter().filter(|request| request.at >= begun);
    let count = count.count();
    // It is used. How much depends on placement, which prefers targets whose latency it knows.
    assert!(count > 0);
    // The warm ones serve the rest.
    let served = exchanges
        .iter()
        .filter(|exchange| exchange.status == Some(StatusCode::OK));
    assert_eq!(served.count(), exchanges.len());
    wait_until("the target is warm", || all("cold", 0));
    let warm = Instant::now();
    load(&site, Duration::from_secs(3), plain_path);
    let most = most_in(cold, warm, Duration::from_secs(1));
    assert!(most > BOUND, "{most} requests in a second while it is warm");
}

/// All targets of the service are cold, so requests beyond their rate can't be served.
#[test]
fn requests_beyond_what_cold_targets_bear_are_refused_with_the_time_to_come_back() {
    let site = Site::start(1, 1, 2);
    site.wait_for_peers();
    site.publish(2, |document| {
        document["Services"][1]["ColdStartS"] = 30.into();
        document["Services"][1]["ColdPerS"] = 4.into();
    });
    site.put_cold_entry(&site.services[0], Duration::from_secs(30));
    wait_until("all gateways know that the target is cold", || {
        (0..2).all(|vm| site.metric(vm, "cold") == 1)
    });
    let begun = Instant::now();
    let exchanges = load(&site, Duration::from_secs(4), plain_path);
    let most = most_in(&site.services[0], begun, Duration::from_secs(1));
    assert!(most <= 11, "{most} requests in a second");
    let (served, refused): (Vec<_>, Vec<_>) = exchanges
        .iter()
        .partition(|exchange| exchange.status == Some(StatusCode::OK));
    assert!(served.len() >= 4 * 4 / 2, "{} served", served.len());
    assert!(!refused.is_empty());
    for exchange in refused {
        assert_eq!(exchange.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        assert!(exchange.has_retry_after);
    }
}
