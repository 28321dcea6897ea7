//! Targets that run a request and fail it with a status that tells clients that it did not run.
//!
//! A client that gets such a status as it is repeats a request that may run only once.

mod support;

use {
    fakes::site::{Target, partition::Kind, target::Behaviour},
    hyper::{Method, StatusCode},
    std::sync::atomic::{AtomicUsize, Ordering},
    support::{
        site::{
            RESUMABLE_PATH, Response, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, read_to_end, send,
        },
        wait_until,
    },
};

/// Statuses that clients take for the promise that the request did not run and never will.
const PROMISES: [u16; 3] = [408, 429, 503];

/// Behaviour of a target that runs requests and answers them with a status.
fn failing(status: u16) -> Behaviour {
    Behaviour {
        status,
        error: Some((status, "text/plain", "failed after work")),
        ..Behaviour::default()
    }
}

fn fetch(site: &Site, path: &str) -> Response {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let attempt = format!("a-{}", COUNT.fetch_add(1, Ordering::Relaxed));
    let headers = [("x-attempt-id", &*attempt), ("x-token-usage", "1000,80")];
    let address = site.gateways[0].clients;
    let response = send(address, &Method::POST, path, &headers);
    read_to_end(response.expect("the gateway responds"))
}

fn run_count(site: &Site) -> usize {
    let targets = site.engines.iter().chain(&site.services);
    targets.map(Target::run_count).sum()
}

/// Fetches a path whose requests may run once at most, and asserts that no client is told that they
/// did not run.
fn check(site: &Site, path: &str, status: u16) {
    let behaviour = failing(status);
    site.set_engine_behaviour(&behaviour);
    for service in &site.services {
        service.set_behaviour(behaviour.clone());
    }
    let before = run_count(site);
    let mut response = None;
    // A target that has failed may be left out for a moment.
    wait_until("a target runs a request", || {
        response = Some(fetch(site, path));
        run_count(site) > before
    });
    let response = response.expect("there is a response");
    let context = format!("{path} after {status}: {response:?}");
    assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{context}");
    for field in ["x-server-signature", "x-not-executed", "retry-after"] {
        assert!(!response.headers.contains_key(field), "{context}");
    }
    assert_eq!(run_count(site), before + 1, "{context}");
}

/// Guards against a promise for a request that ran: the status of its target is passed on.
#[test]
fn a_status_of_a_target_that_ran_the_request_does_not_deny_that() {
    for status in PROMISES {
        let site = Site::start(2, 2, 1);
        for path in [UNSAFE_PATH, STREAM_PATH] {
            check(&site, path, status);
        }
    }
}

/// The same through a peer, as this gateway does not reach the target.
#[test]
fn a_status_of_a_target_behind_a_tunnel_does_not_deny_that_the_request_ran() {
    let site = Site::start(2, 2, 2);
    site.wait_for_peers();
    site.cut(&[0], Kind::Reset);
    wait_until("the gateway finds out that it is cut off", || {
        fetch(&site, SAFE_PATH);
        site.metric(0, "isolated") == 1
    });
    for path in [UNSAFE_PATH, STREAM_PATH] {
        check(&site, path, 503);
    }
}

/// A target states in a field of its own that it did not run a request; clients are told so.
#[test]
fn a_refusal_of_all_targets_is_still_a_promise() {
    let site = Site::start(2, 2, 1);
    let refusing = Behaviour {
        refuses: true,
        ..Behaviour::default()
    };
    site.set_engine_behaviour(&refusing);
    for service in &site.services {
        service.set_behaviour(refusing.clone());
    }
    for path in [UNSAFE_PATH, STREAM_PATH] {
        let response = fetch(&site, path);
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(response.headers.contains_key("retry-after"), "{path}");
    }
    assert_eq!(run_count(&site), 0);
}

/// A request that may run again gets the answer of its target as it is, once no other one serves it.
#[test]
fn an_idempotent_request_gets_the_status_of_its_target() {
    let site = Site::start(0, 2, 1);
    for service in &site.services {
        service.set_behaviour(failing(503));
    }
    let response = fetch(&site, SAFE_PATH);
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("x-server-signature"));
    assert_eq!(run_count(&site), 2);
}

/// The same before the first event of a stream: another engine serves it.
#[test]
fn a_resumable_stream_is_served_by_another_engine() {
    let site = Site::start(2, 0, 1);
    site.engines[0].set_behaviour(failing(503));
    for _ in 0..6 {
        let response = fetch(&site, RESUMABLE_PATH);
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
}
