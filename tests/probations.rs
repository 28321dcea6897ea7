//! Targets that break connections for a while, behind real gateway processes.

mod support;

use {
    fakes::site::{Target, target::Behaviour},
    hyper::{Method, StatusCode},
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{
        site::{RESUMABLE_PATH, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, read_to_end},
        wait_until,
    },
};

/// Setting of the gateways, in their last section, that puts targets on probation.
const ENABLED: &str = "probation = 30s\n";
/// Time for which a target goes on failing: several back-offs, of 0.4 s at first.
const FAULT: Duration = Duration::from_secs(4);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends a request through a gateway; returns the status of its response.
fn send(site: &Site, gateway: usize, (method, path): (&Method, &str), attempt: &str) -> StatusCode {
    let headers = [("x-attempt-id", attempt), ("x-token-usage", "1000,60")];
    read_to_end(site.send(gateway, method, path, &headers)).status
}

/// Returns the number of requests with a path that a target got.
fn received(target: &Target, path: &str) -> usize {
    let requests = target.received();
    let requests = requests.iter().filter(|request| &*request.path == path);
    requests.count()
}

/// Returns whether all gateways have this number of targets on probation.
fn has_on_probation(site: &Site, count: usize) -> bool {
    (0..site.gateways.len()).all(|gateway| site.metric(gateway, "probation") == count)
}

/// Breaks the connections of a target until it fails a request; returns when all gateways know that.
fn fail_once(site: &Site, target: &Target, request: (&Method, &str)) {
    target.set_behaviour(Behaviour {
        drops_response: true,
        ..Behaviour::default()
    });
    let mut attempts = 0;
    wait_until("a request is lost at the target", || {
        attempts += 1;
        send(site, 0, request, &format!("lost-{attempts}")) == StatusCode::BAD_GATEWAY
    });
    wait_until("all gateways know that the target fails", || {
        has_on_probation(site, 1)
    });
}

/// Lets a target fail for a while and serve again, under requests that may be repeated (`safe`) and
/// others (`once`).
fn fail_and_recover(site: &Site, target: &Target, once: (&Method, &str), safe: (&Method, &str)) {
    site.wait_for_peers();
    fail_once(site, target, once);
    let (lost, probes) = (received(target, once.1), received(target, safe.1));
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < FAULT {
        for gateway in 0..site.gateways.len() {
            number += 1;
            let status = send(site, gateway, once, &format!("once-{number}"));
            assert_eq!(status, StatusCode::OK, "request {number}");
            let status = send(site, gateway, safe, &format!("safe-{number}"));
            assert_eq!(status, StatusCode::OK, "request {number}");
        }
        thread::sleep(PAUSE);
    }
    assert_eq!(received(target, once.1), lost, "requests that were lost");
    assert!(received(target, safe.1) > probes, "no probe was sent");
    target.set_behaviour(Behaviour::default());
    wait_until("probes end the probation at each gateway", || {
        for gateway in 0..site.gateways.len() {
            number += 1;
            send(site, gateway, safe, &format!("safe-{number}"));
        }
        has_on_probation(site, 0)
    });
    wait_until("the target gets all requests again", || {
        number += 1;
        send(site, 0, once, &format!("once-{number}"));
        received(target, once.1) > lost
    });
}

/// After each back-off, drafts went to the engine that failed, and were lost.
#[test]
fn an_engine_that_breaks_connections_gets_only_requests_that_may_be_repeated() {
    let site = Site::start_with(&["v1"; 3], 0, 2, ENABLED);
    let (draft, check) = (
        (&Method::POST, STREAM_PATH),
        (&Method::POST, RESUMABLE_PATH),
    );
    fail_and_recover(&site, &site.engines[0], draft, check);
}

/// The same for a plain service, whose requests wait in no queue.
#[test]
fn a_service_that_breaks_connections_gets_only_requests_that_may_be_repeated() {
    let site = Site::start_with(&[], 3, 2, ENABLED);
    let (hold, read) = ((&Method::POST, UNSAFE_PATH), (&Method::GET, SAFE_PATH));
    fail_and_recover(&site, &site.services[0], hold, read);
}

/// Peers are told of a target that wants a pause as of one that fails, but it has failed nothing.
#[test]
fn an_engine_that_wants_a_pause_is_not_on_probation() {
    let site = Site::start_with(&["v1"; 3], 0, 2, ENABLED);
    site.wait_for_peers();
    site.engines[0].set_behaviour(Behaviour {
        refuses: true,
        pauses: vec!["5"],
        ..Behaviour::default()
    });
    let mut number = 0;
    wait_until("the engine has asked for a pause", || {
        number += 1;
        let request = (&Method::POST, STREAM_PATH);
        let status = send(&site, 0, request, &format!("draft-{number}"));
        assert_eq!(status, StatusCode::OK);
        received(&site.engines[0], STREAM_PATH) > 0
    });
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        assert!(has_on_probation(&site, 0));
        thread::sleep(PAUSE);
    }
}

/// A request that finds no room elsewhere must not be refused because of a failure that may be over.
#[test]
fn a_draft_without_room_elsewhere_goes_to_an_engine_on_probation() {
    const SLOTS: usize = 8;
    let site = Site::start_with(&["v1"; 2], 0, 1, ENABLED);
    fail_once(&site, &site.engines[0], (&Method::POST, STREAM_PATH));
    site.engines[0].set_behaviour(Behaviour::default());
    let before = received(&site.engines[0], STREAM_PATH);
    site.engines[1].set_behaviour(Behaviour {
        events: 600,
        ..Behaviour::default()
    });
    let mut streams = Vec::new();
    for index in 0..SLOTS {
        let mut stream = site.open_stream(&format!("long-{index}"), 60);
        stream.read_part();
        streams.push(stream);
    }
    assert_eq!(received(&site.engines[0], STREAM_PATH), before);
    let status = send(&site, 0, (&Method::POST, STREAM_PATH), "last");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(received(&site.engines[0], STREAM_PATH), before + 1);
}
