//! Clients that come back after a rejection, to other VMs than the one that rejected them.

mod support;

use {
    fakes::site::target::Behaviour,
    hyper::{Method, StatusCode},
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{
        site::{PendingResponse, STREAM_PATH, Site, event_stream, read_to_end},
        wait_until,
    },
};

/// Events of the run that fills the engine; it takes 6 s.
const EVENTS: u64 = 300;
/// Time that a client waits altogether.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts two gateways before one engine whose memory a draft fills.
fn start(settings: &str) -> Site {
    let site = Site::start_with(&["v1"], 1, 2, settings);
    site.publish(2, |document| {
        document["Services"][0]["Engine"]["KvCapacity"] = 2_000.into();
    });
    site.set_engine_behaviour(&Behaviour {
        events: EVENTS,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    });
    wait_until("both gateways have the configuration", || {
        (0..2).all(|index| site.metric(index, "configuration_version") == 2)
    });
    site.wait_for_peers();
    site
}

/// Sends a draft whose client has waited since `began`.
fn send(site: &Site, gateway: usize, attempt: &str, began: Instant) -> PendingResponse {
    let deadline = PATIENCE.saturating_sub(began.elapsed()).as_millis();
    let deadline = deadline.to_string();
    let headers = [
        ("x-attempt-id", attempt),
        ("x-token-usage", "1000,600"),
        ("x-deadline-ms", &deadline),
    ];
    site.send(gateway, &Method::POST, STREAM_PATH, &headers)
}

/// Returns the delay that a rejected client is told.
fn retry_after(response: PendingResponse) -> Duration {
    let response = read_to_end(response);
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let delay = response.headers["retry-after"].to_str().unwrap();
    Duration::from_secs_f64(delay.parse().unwrap())
}

/// Without a place, the client of a draft is rejected whenever the engine is full at its return.
#[test]
fn a_client_that_comes_back_to_another_vm_as_told_is_served() {
    let site = start("[limits]\nkept_places = 256\n");
    let long = site.open_stream("long", 600);
    wait_until("the engine runs a draft", || {
        site.engines[0].active_streams() == 1
    });
    let began = Instant::now();
    let delay = retry_after(send(&site, 0, "first", began));
    assert!(delay * 3 <= PATIENCE, "clients come back sooner: {delay:?}");
    thread::sleep(delay.saturating_sub(began.elapsed()));
    assert_eq!(
        site.engines[0].active_streams(),
        1,
        "the engine is still full"
    );
    let response = read_to_end(send(&site, 1, "again", began));
    assert_eq!(response.status, StatusCode::OK, "{}", response.received);
    assert_eq!(response.body, Some(event_stream(EVENTS)));
    assert_eq!(read_to_end(long).body, Some(event_stream(EVENTS)));
    assert_eq!(site.metric(1, "returns_total"), 1);
}

/// The setting is off unless a deployment asks for it; clients are then rejected as before.
#[test]
fn without_the_setting_no_place_is_kept() {
    let site = start("");
    let _long = site.open_stream("long", 600);
    wait_until("the engine runs a draft", || {
        site.engines[0].active_streams() == 1
    });
    let began = Instant::now();
    let delay = retry_after(send(&site, 0, "first", began));
    assert_eq!(site.metric(0, "places"), 0);
    thread::sleep(delay.saturating_sub(began.elapsed()));
    assert!(retry_after(send(&site, 1, "again", began)) > Duration::ZERO);
}
