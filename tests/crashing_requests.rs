//! Requests on which every target crashes that runs them, served by several gateways.
//!
//! Such a request comes again word for word, at any gateway: with the same path, customer and body.
//! Only its body tells it from sound requests.

mod support;

use {
    fakes::site::{
        Target,
        target::{Behaviour, ReceivedRequest},
    },
    hyper::{Method, StatusCode},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
    support::{
        process::free_address,
        site::{
            RESUMABLE_PATH, SAFE_PATH, Site, UNSAFE_PATH, event_stream, is_ready, read_to_end,
            send_body,
        },
        wait_until,
    },
};

/// Body of the request on which targets crash.
const BAD_BODY: &str = "look up the bad one";
/// Number of crashes after which a request must be known.
const KNOWN_CRASHES: usize = 3;
/// Time after which all VMs must refuse a request that is known.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Number of times that it may reach targets nevertheless.
const MAX_LATE_REQUESTS: usize = 3;
const TARGETS: usize = 3;
const GATEWAYS: usize = 3;
/// Interval between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// Time after which a client repeats a request that was not served.
const REPEAT_DELAY: Duration = Duration::from_millis(20);
/// Time for which requests are sent at least when a request has to become known.
const MIN_LOAD_DURATION: Duration = Duration::from_secs(14);
/// The same at most, on a machine that is busy with other work.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(90);
/// Time for which reads are sent at least while their targets fail.
const MIN_READ_DURATION: Duration = Duration::from_secs(10);
/// Number of requests after the settling time of which a share is taken.
const MIN_REQUESTS: u32 = 20;
/// Number of clients that send requests without pause.
const BUSY_CLIENTS: usize = 6;
/// Time that a target takes for an answer or until it crashes.
const DELAY: Duration = Duration::from_millis(60);

/// A request that a client sent.
struct Exchange {
    at: Instant,
    is_served: bool,
    status: Option<StatusCode>,
    has_retry_after: bool,
    /// Whether it was refused because targets crash on it.
    is_quarantined: bool,
}

impl Exchange {
    fn is_refused_for_good(&self) -> bool {
        self.is_quarantined
            && self.has_retry_after
            && self.status == Some(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Targets that crash on the bad body at this path.
fn crashing(path: &str) -> Behaviour {
    Behaviour {
        delay: DELAY,
        crashes_on_request: Some((path.into(), BAD_BODY.into())),
        recovery: Duration::from_secs(2),
        ..Behaviour::default()
    }
}

fn set_behaviour(site: &Site, behaviour: &Behaviour) {
    for target in targets(site) {
        target.set_behaviour(behaviour.clone());
    }
}

/// Starts a site whose targets crash on the bad body at this path.
fn start(path: &str, gateways: usize, settings: &str) -> Site {
    let site = Site::start_with(&["v1"; TARGETS], TARGETS, gateways, settings);
    site.wait_for_peers();
    set_behaviour(&site, &crashing(path));
    site
}

fn targets(site: &Site) -> impl Iterator<Item = &Target> {
    site.engines.iter().chain(&site.services)
}

/// Sends one request and reads the whole response.
///
/// All prompts have the same shared parts.
fn exchange(gateway: SocketAddr, path: &str, attempt: &str, body: &str) -> Exchange {
    let at = Instant::now();
    let headers = [
        ("x-attempt-id", attempt),
        ("x-token-usage", "1000,80"),
        ("x-prefix-hash", "aa:100,cc:50,f1:10"),
    ];
    let response = send_body(gateway, &Method::POST, path, &headers, body).map(read_to_end);
    let response = response.ok();
    let whole = response.as_ref().and_then(|response| {
        let body = response.body.as_ref();
        body.filter(|_| response.status == StatusCode::OK)
    });
    Exchange {
        at,
        is_served: whole.is_some_and(|whole| {
            *whole == event_stream(20) || whole.ends_with(&format!(" ran {attempt}"))
        }),
        status: response.as_ref().map(|response| response.status),
        is_quarantined: response
            .as_ref()
            .is_some_and(|response| response.received.contains("\"quarantined\"")),
        has_retry_after: response
            .is_some_and(|response| response.headers.contains_key("retry-after")),
    }
}

/// Sends requests to all gateways in turn for a time; `body` returns the body of each.
fn load(
    site: &Site,
    name: &str,
    path: &str,
    duration: Duration,
    body: impl Fn(usize) -> String + Sync,
) -> Vec<Exchange> {
    let end = Instant::now() + duration;
    load_while(site, name, path, |_| Instant::now() < end, body)
}

/// Sends requests to all gateways in turn while `goes_on` returns true, given a client's last one.
fn load_while(
    site: &Site,
    name: &str,
    path: &str,
    goes_on: impl Fn(Option<&Exchange>) -> bool + Sync,
    body: impl Fn(usize) -> String + Sync,
) -> Vec<Exchange> {
    let addresses: Vec<_> = site
        .gateways
        .iter()
        .map(|gateway| gateway.clients)
        .collect();
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..3)
            .map(|_| {
                scope.spawn(|| {
                    let mut exchanges: Vec<Exchange> = Vec::new();
                    while goes_on(exchanges.last()) {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        let attempt = format!("{name}-{number}");
                        let address = addresses[number % addresses.len()];
                        exchanges.push(exchange(address, path, &attempt, &body(number)));
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

/// Sends reads without pause, and each word for word until it is served, to all gateways in turn, while
/// `goes_on` returns true.
///
/// `body` returns the body of a client's next one.
fn insist(
    site: &Site,
    goes_on: impl Fn() -> bool + Sync,
    body: impl Fn(usize, usize) -> String + Sync,
) -> Vec<Exchange> {
    let (goes_on, body) = (&goes_on, &body);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..BUSY_CLIENTS)
            .map(|client| {
                scope.spawn(move || {
                    let mut exchanges: Vec<Exchange> = Vec::new();
                    let mut served = 0;
                    while goes_on() {
                        let number = exchanges.len();
                        let gateway = &site.gateways[(client + number) % site.gateways.len()];
                        let attempt = format!("busy-{client}-{number}");
                        let body = body(client, served);
                        let exchange = exchange(gateway.clients, SAFE_PATH, &attempt, &body);
                        if exchange.is_served {
                            served += 1;
                        } else {
                            thread::sleep(REPEAT_DELAY);
                        }
                        exchanges.push(exchange);
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

/// Returns when the targets crashed on a request, in order.
fn crashes(site: &Site) -> Vec<Instant> {
    let mut crashes: Vec<_> = targets(site).flat_map(Target::bad_crashes).collect();
    crashes.sort_unstable();
    crashes
}

/// Returns when the bad request has become known; fewer crashes than may be are fine.
fn known_at(site: &Site) -> Instant {
    let crashes = crashes(site);
    crashes[(KNOWN_CRASHES - 1).min(crashes.len() - 1)]
}

/// Returns when all VMs must serve sound requests again; `None` if there was no crash yet.
fn settled_at(site: &Site) -> Option<Instant> {
    let has_crashed = !crashes(site).is_empty();
    has_crashed.then(|| known_at(site) + 2 * STABLE_WINDOW)
}

/// Returns how often the bad request reached a target after a time.
fn bad_requests_after(site: &Site, time: Instant) -> usize {
    let received = targets(site).flat_map(Target::received);
    received
        .filter(|request| request.at > time && request.body == BAD_BODY)
        .count()
}

/// Asserts that the bad request reached hardly any target once it was known.
fn assert_few_late(site: &Site) {
    let late = bad_requests_after(site, known_at(site) + STABLE_WINDOW);
    let crashes = crashes(site).len();
    println!("{crashes} crashes, {late} late requests");
    assert!(
        late <= MAX_LATE_REQUESTS,
        "{late} requests reached targets late, {crashes} crashes"
    );
}

fn served_share(exchanges: &[Exchange], from: Instant) -> f64 {
    let (mut served, mut count) = (0, 0);
    for exchange in exchanges.iter().filter(|exchange| exchange.at >= from) {
        served += usize::from(exchange.is_served);
        count += 1;
    }
    assert!(count >= MIN_REQUESTS, "{count} requests");
    f64::from(u32::try_from(served).unwrap()) / f64::from(count)
}

/// Repeats the bad request at all gateways, beside sound ones of the same path and customer.
fn assert_known_soon(path: &str) {
    let site = start(path, GATEWAYS, "");
    let (site, begun) = (&site, Instant::now());
    let counts = [AtomicU32::new(0), AtomicU32::new(0)];
    let goes_on = || {
        let is_short = |count: &AtomicU32| count.load(Ordering::Relaxed) < MIN_REQUESTS;
        let elapsed = begun.elapsed();
        elapsed < MIN_LOAD_DURATION || elapsed < MAX_LOAD_DURATION && counts.iter().any(is_short)
    };
    let goes_on_after = |count: &AtomicU32, last: Option<&Exchange>| {
        let is_settled = |last: &Exchange| settled_at(site).is_some_and(|at| last.at >= at);
        if last.is_some_and(is_settled) {
            count.fetch_add(1, Ordering::Relaxed);
        }
        goes_on()
    };
    let (other, repeated, bad) = thread::scope(|scope| {
        let sound = |name, count, body: fn(usize) -> String| {
            let goes_on = move |last: Option<&Exchange>| goes_on_after(count, last);
            scope.spawn(move || load_while(site, name, path, goes_on, body))
        };
        let other = sound("other", &counts[0], |number| format!("look up {number}"));
        let repeated = sound("repeated", &counts[1], |number| {
            format!("look up again {}", number % 3)
        });
        thread::sleep(Duration::from_secs(2));
        let bad = load_while(site, "bad", path, |_| goes_on(), |_| BAD_BODY.to_owned());
        (other.join().unwrap(), repeated.join().unwrap(), bad)
    });
    assert_few_late(site);
    let settled = settled_at(site).expect("targets have crashed");
    for exchange in bad.iter().filter(|exchange| exchange.at > settled) {
        assert!(exchange.is_refused_for_good(), "{:?}", exchange.status);
    }
    for sound in [other, repeated] {
        let share = served_share(&sound, settled);
        assert!(share >= 0.95, "{share} of the sound requests were served");
    }
}

/// The services crash on a read one after the other: its VM sends it on, and its clients repeat it.
#[test]
fn a_read_that_crashes_services_soon_reaches_none() {
    assert_known_soon(SAFE_PATH);
}

/// A VM sends such a call once, but clients that lack its answer repeat it at any VM.
#[test]
fn a_call_that_crashes_services_soon_reaches_none() {
    assert_known_soon(UNSAFE_PATH);
}

/// Its prompt has the parts of sound ones, so that no part can be refused in its place.
#[test]
fn a_generation_that_crashes_engines_soon_reaches_none() {
    assert_known_soon(RESUMABLE_PATH);
}

/// Each VM loses fewer targets to the request than it takes to know it.
#[test]
fn the_fleet_knows_a_request_of_which_each_vm_sees_too_little() {
    let site = start(UNSAFE_PATH, 8, "");
    let site = &site;
    thread::scope(|scope| {
        let sound = |number: usize| format!("hold {number}");
        let duration = Duration::from_secs(18);
        scope.spawn(move || load(site, "sound", UNSAFE_PATH, duration, sound));
        thread::sleep(Duration::from_secs(2));
        for number in 0..16 {
            let gateway = &site.gateways[number % site.gateways.len()];
            let attempt = format!("bad-{number}");
            exchange(gateway.clients, UNSAFE_PATH, &attempt, BAD_BODY);
            thread::sleep(Duration::from_secs(1));
        }
    });
    assert_few_late(site);
}

/// Repeats sound reads word for word while their targets fail for other reasons.
///
/// `disturb` returns the targets that it has added.
fn assert_none_blamed(disturb: impl FnOnce(&Site) -> Vec<Target>) {
    let site = start(SAFE_PATH, GATEWAYS, "");
    set_behaviour(
        &site,
        &Behaviour {
            delay: DELAY,
            ..Behaviour::default()
        },
    );
    let body = |_client, served| format!("look up again {}", served % 3);
    let (begun, is_disturbed) = (Instant::now(), AtomicBool::new(true));
    let goes_on = || {
        let elapsed = begun.elapsed();
        elapsed < MIN_READ_DURATION
            || elapsed < MAX_LOAD_DURATION && is_disturbed.load(Ordering::Relaxed)
    };
    let (reads, added) = thread::scope(|scope| {
        let reads = scope.spawn(|| insist(&site, goes_on, body));
        let added = disturb(&site);
        is_disturbed.store(false, Ordering::Relaxed);
        (reads.join().unwrap(), added)
    });
    let arrivals = targets(&site).chain(&added).flat_map(Target::received);
    let arrivals: Vec<_> = arrivals.map(|request| request.attempt).collect();
    let attempts: HashSet<_> = arrivals.iter().collect();
    let repeated = arrivals.len() - attempts.len();
    let failed = reads.iter().filter(|exchange| !exchange.is_served).count();
    let count = reads.len();
    println!("{count} reads, {failed} not served, {repeated} sent again by their VM");
    assert!(failed + repeated >= KNOWN_CRASHES, "no read was broken off");
    let refused = reads.iter().filter(|exchange| exchange.is_quarantined);
    assert_eq!(refused.count(), 0);
    for gateway in 0..GATEWAYS {
        assert_eq!(site.metric(gateway, "quarantined"), 0);
    }
}

/// Services are killed or fail by themselves, one by one, with what they run.
#[test]
fn no_read_is_refused_because_services_are_killed() {
    assert_none_blamed(|site| {
        for kill in 0..12 {
            thread::sleep(Duration::from_millis(700));
            site.services[kill % TARGETS].crash_and_recover();
        }
        Vec::new()
    });
}

/// Waits until a service has just begun a read.
fn wait_for_read(service: &Target) {
    wait_until("the service has begun a read", || {
        let received = service.received();
        let latest = received.last();
        latest.is_some_and(|request| request.at.elapsed() < DELAY / 4)
    });
}

/// Services leave by plan at short notice and break off what they still run; others replace them.
#[test]
fn no_read_is_refused_because_services_leave() {
    assert_none_blamed(|site| {
        let mut successors: Vec<Target> = Vec::new();
        for number in 0..12_usize {
            let name = format!("successor-{number}");
            let successor = Target::start(free_address(), &name, false, &site.copies);
            let successor = successor.expect("the address is free");
            successor.set_behaviour(Behaviour {
                delay: DELAY,
                ..Behaviour::default()
            });
            site.register(&successor, "ledger", "dc-1", "ready");
            thread::sleep(Duration::from_millis(500));
            let leaving = match number.checked_sub(TARGETS) {
                Some(index) => &successors[index],
                None => &site.services[number],
            };
            wait_for_read(leaving);
            site.register(leaving, "ledger", "dc-1", "draining");
            // Some VMs have read it by then, and the latest read has not ended.
            thread::sleep(DELAY / 2);
            leaving.crash();
            thread::sleep(Duration::from_millis(200));
            site.store.remove(&format!("servers/{}", leaving.instance));
            successors.push(successor);
        }
        successors
    });
}

/// Services run reads but their answers are lost: one service's at a time, then those of all.
#[test]
fn no_read_is_refused_because_its_answers_are_lost() {
    assert_none_blamed(|site| {
        let behaviour = |drops_response| Behaviour {
            delay: DELAY,
            drops_response,
            ..Behaviour::default()
        };
        let lose = |services: &[Target]| {
            for service in services {
                service.set_behaviour(behaviour(true));
            }
            thread::sleep(Duration::from_millis(400));
            for service in services {
                service.set_behaviour(behaviour(false));
            }
            thread::sleep(Duration::from_millis(600));
        };
        for number in 0..6 {
            lose(&site.services[number % TARGETS..=number % TARGETS]);
        }
        for _ in 0..3 {
            lose(&site.services);
        }
        Vec::new()
    });
}

/// Returns how many other requests the crashes on the bad one broke off.
fn broken_off(site: &Site) -> usize {
    let count = |target: &Target| {
        let crashes = target.bad_crashes();
        let is_broken_off = |request: &ReceivedRequest| {
            let is_running = |crash: &Instant| (request.at..request.at + DELAY).contains(crash);
            request.body != BAD_BODY && crashes.iter().any(is_running)
        };
        let received = target.received().into_iter();
        received.filter(is_broken_off).count()
    };
    targets(site).map(count).sum()
}

/// Each crash breaks off sound reads that are repeated at once, so that they meet the bad one again.
#[test]
fn reads_beside_one_that_crashes_services_are_served_once_it_is_known() {
    let site = start(SAFE_PATH, GATEWAYS, "");
    let site = &site;
    let sound = thread::scope(|scope| {
        let body = |client, served| format!("look up {client} {served}");
        let end = Instant::now() + Duration::from_secs(14);
        let sound = scope.spawn(move || insist(site, || Instant::now() < end, body));
        thread::sleep(Duration::from_secs(2));
        let duration = Duration::from_secs(12);
        load(site, "bad", SAFE_PATH, duration, |_| BAD_BODY.to_owned());
        sound.join().unwrap()
    });
    let broken_off = broken_off(site);
    println!("{broken_off} sound reads were broken off");
    assert!(broken_off >= KNOWN_CRASHES, "{broken_off} were broken off");
    assert_few_late(site);
    let settled = known_at(site) + 2 * STABLE_WINDOW;
    let share = served_share(&sound, settled);
    assert!(share >= 0.95, "{share} of the sound requests were served");
    let mut late = sound.iter().filter(|exchange| exchange.at > settled);
    assert!(!late.any(|exchange| exchange.is_quarantined));
}

/// Sends the bad request to a gateway.
fn send_bad(site: &Site, gateway: usize, number: usize) -> Exchange {
    let address = site.gateways[gateway].clients;
    exchange(address, SAFE_PATH, &format!("bad-{number}"), BAD_BODY)
}

/// Sends the bad request, beside sound ones, until all gateways refuse it and all targets are back.
fn quarantine(site: &Site) {
    let mut number = 0;
    wait_until("the bad request is refused", || {
        number += 1;
        let gateway = number % site.gateways.len();
        let address = site.gateways[gateway].clients;
        thread::scope(|scope| {
            scope.spawn(|| {
                let (attempt, body) = (format!("sound-{number}"), format!("look up {number}"));
                exchange(address, SAFE_PATH, &attempt, &body);
            });
            send_bad(site, gateway, number);
        });
        (0..site.gateways.len()).all(|gateway| site.metric(gateway, "quarantined") == 1)
    });
    let is_back = |target: &Target| std::net::TcpStream::connect(target.address).is_ok();
    wait_until("all targets are back", || targets(site).all(is_back));
}

/// The services are repaired, for instance by another release of their software.
#[test]
fn a_quarantined_request_is_served_again_once_services_survive_it() {
    let site = start(SAFE_PATH, GATEWAYS, "[quarantine]\nduration = 3s\n");
    quarantine(&site);
    set_behaviour(&site, &Behaviour::default());
    let crash_count = crashes(&site).len();
    for gateway in 0..GATEWAYS {
        let mut number = 100 * gateway;
        wait_until("the request is served again", || {
            number += 1;
            send_bad(&site, gateway, number).is_served
        });
    }
    assert_eq!(crashes(&site).len(), crash_count);
}

/// A trial is one request of the whole deployment and neither hedged nor sent again.
#[test]
fn a_trial_of_a_request_that_still_crashes_services_takes_one() {
    let site = start(SAFE_PATH, GATEWAYS, "[quarantine]\nduration = 3s\n");
    quarantine(&site);
    let begun = Instant::now();
    let mut number = 0;
    // The first trial begins within six seconds, the next one at least six after it.
    while begun.elapsed() < Duration::from_secs(8) {
        number += 1;
        send_bad(&site, number % GATEWAYS, number);
        thread::sleep(Duration::from_millis(20));
    }
    let crashes = crashes(&site);
    let trials: Vec<_> = crashes.iter().filter(|crash| **crash > begun).collect();
    assert!((1..=2).contains(&trials.len()), "{} trials", trials.len());
    let is_apart = |pair: &[&Instant]| *pair[1] - *pair[0] > STABLE_WINDOW;
    assert!(trials.windows(2).all(is_apart), "a trial took two services");
}

/// A VM that starts while a request is quarantined has seen none of the crashes.
#[test]
fn a_gateway_that_starts_late_refuses_the_request() {
    let mut site = start(SAFE_PATH, GATEWAYS, "");
    quarantine(&site);
    site.restart(0);
    let restarted = Instant::now();
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    wait_until("the gateway knows the request", || {
        site.metric(0, "quarantined") == 1
    });
    assert!(restarted.elapsed() < STABLE_WINDOW);
    for number in 0..5 {
        assert!(send_bad(&site, 0, number).is_refused_for_good());
    }
    assert_eq!(bad_requests_after(&site, restarted), 0);
}
