//! Requests on which every target crashes that runs them, served by several gateways.
//!
//! Such a request comes again word for word, at any gateway: with the same path, customer and body.
//! Only its body tells it from sound requests.

mod support;

use {
    fakes::site::{Target, target::Behaviour},
    hyper::{Method, StatusCode},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
    support::site::{
        RESUMABLE_PATH, SAFE_PATH, Site, UNSAFE_PATH, event_stream, read_to_end, send_body,
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
        delay: Duration::from_millis(60),
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
    let addresses: Vec<_> = site
        .gateways
        .iter()
        .map(|gateway| gateway.clients)
        .collect();
    let end = Instant::now() + duration;
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..3)
            .map(|_| {
                scope.spawn(|| {
                    let mut exchanges = Vec::new();
                    while Instant::now() < end {
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
    assert!(count >= 20, "{count} requests");
    f64::from(u32::try_from(served).unwrap()) / f64::from(count)
}

/// Repeats the bad request at all gateways, beside sound ones of the same path and customer.
fn assert_known_soon(path: &str) {
    let site = start(path, GATEWAYS, "");
    let (site, duration) = (&site, Duration::from_secs(14));
    let (other, repeated, bad) = thread::scope(|scope| {
        let other = |number: usize| format!("look up {number}");
        let repeated = |number: usize| format!("look up again {}", number % 3);
        let other = scope.spawn(move || load(site, "other", path, duration, other));
        let repeated = scope.spawn(move || load(site, "repeated", path, duration, repeated));
        thread::sleep(Duration::from_secs(2));
        let duration = Duration::from_secs(12);
        let bad = load(site, "bad", path, duration, |_| BAD_BODY.to_owned());
        (other.join().unwrap(), repeated.join().unwrap(), bad)
    });
    assert_few_late(site);
    let settled = known_at(site) + 2 * STABLE_WINDOW;
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
