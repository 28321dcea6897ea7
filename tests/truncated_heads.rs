//! Targets that end their connection within the head of a response.
//!
//! A head without its end has no length either, so what was sent must not pass for a response.

mod support;

use {
    hyper::{Method, StatusCode},
    support::{
        raw::{self, End},
        site::{
            RESUMABLE_PATH, Response, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, read_to_end,
            send_body,
        },
    },
};

/// Step between two places at which a head is cut, in bytes.
const STEP: usize = 11;
/// Fields that describe the body, of which a truncated head has a part or none.
const FRAMINGS: [&str; 3] = [
    "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Content-Length: 0\r\n",
];

fn fetch(site: &Site, path: &str, number: usize) -> Response {
    let attempt = format!("a-{number}");
    let headers = [
        ("x-attempt-id", &*attempt),
        ("x-token-usage", "10,40"),
        ("x-deadline-ms", "3000"),
    ];
    // Each request has a body of its own, so that none counts as one on which targets crash.
    let body = format!("body {number}");
    let address = site.gateways[0].clients;
    let response = send_body(address, &Method::POST, path, &headers, &body);
    read_to_end(response.expect("the gateway responds"))
}

fn check(service: &str, path: &str, content_type: &str) {
    let (engines, services) = if service == "engines" { (0, 1) } else { (1, 0) };
    let site = Site::start(engines, services, 1);
    let target = raw::Target::start(&site, service);
    site.wait_for_targets(2, 0);
    let mut number = 0;
    for framing in FRAMINGS {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nX-Server-Signature: signed\r\n{framing}\r\n"
        );
        for end in [End::Close, End::Reset] {
            let last = head.len() - 1;
            for length in (0..last).step_by(STEP).chain([last - 2, last]) {
                number += 1;
                target.set_answer(&head[..length], end);
                let response = fetch(&site, path, number);
                let sent = &head[..length];
                assert!(
                    response.status.is_server_error(),
                    "{path}, {end:?} after {sent:?}: {response:?}"
                );
                assert!(!response.headers.contains_key("x-server-signature"));
                assert_ne!(
                    response.status,
                    StatusCode::GATEWAY_TIMEOUT,
                    "{path}, {end:?} after {sent:?}"
                );
            }
        }
    }
    let requests = target.request_count();
    assert!(
        requests > 10,
        "{path}: {requests} of {number} requests came"
    );
}

/// Clients took a 200 with an empty or short body for the whole response.
#[test]
fn a_response_of_a_service_that_ends_within_its_head_is_a_failure() {
    check("ledger", UNSAFE_PATH, "text/plain");
    check("ledger", SAFE_PATH, "text/plain");
}

#[test]
fn a_response_of_an_engine_that_ends_within_its_head_is_a_failure() {
    check("engines", STREAM_PATH, "text/event-stream");
    check("engines", RESUMABLE_PATH, "text/event-stream");
}
