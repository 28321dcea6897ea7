//! Targets whose answers are none in the protocol: clients get a failure of the gateway instead.

mod support;

use {
    fakes::site::{partition::Kind, target::Behaviour},
    hyper::{Method, StatusCode},
    std::time::Duration,
    support::{
        raw::{self, End},
        site::{
            RESUMABLE_PATH, Response, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, event_stream,
            read_to_end, send, send_body,
        },
        wait_until,
    },
};

/// Status lines that are none; RFC 9110, section 15, has codes from 100 to 599, and 101 only as the
/// answer to a request for an upgrade.
const STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000",
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 0x0 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/9.9 200 OK",
    "ICY 200 OK",
];
/// Lines of a head that are no fields.
const FIELD_LINES: [&str; 15] = [
    "X Field: 1",
    "X-Field : 1",
    "X-Field\t: 1",
    "X\tField: 1",
    "X\u{1}Field: 1",
    "X\u{7f}Field: 1",
    "X\0Field: 1",
    "X-Field\u{1}: 1",
    "Content-Length : 2",
    "Content Length: 2",
    "Transfer-Encoding : chunked",
    ": 1",
    "no colon",
    "X-Field: 1\r\n folded",
    "X-Field: a\u{1}b",
];
/// The same, but an interim response has no body whatever its fields say (RFC 9112, section 6.3).
const FRAMING_LINES: [&str; 1] = ["Content-Length: 999\r\nContent-Length: 2"];

/// Step between the answers of a test that takes seconds for each; heads are read in one place.
const STEP: usize = 7;

/// Answers that are none, all with the signature, the length and the body of a sound one.
fn odd_answers(content_type: &str, body: &str) -> Vec<String> {
    let head = format!(
        "Content-Type: {content_type}\r\nX-Server-Signature: signed\r\nContent-Length: {}\r\n",
        body.len()
    );
    let with_status = |status: &str| format!("{status}\r\n{head}\r\n{body}");
    let with_field = |field: &str| format!("HTTP/1.1 200 OK\r\n{field}\r\n{head}\r\n{body}");
    let refused = |line: &str| format!("{line}\r\nX-Not-Executed: 1\r\n{head}\r\n{body}");
    let interim = |field: &str| {
        format!("HTTP/1.1 103 Early\r\n{field}\r\n\r\nHTTP/1.1 200 OK\r\n{head}\r\n{body}")
    };
    let statuses = STATUS_LINES.iter();
    let statuses = statuses.flat_map(|line| [with_status(line), refused(line)]);
    let fields = FIELD_LINES.iter().chain(&FRAMING_LINES);
    let fields = fields.flat_map(|line| {
        let refusal = refused(&format!("HTTP/1.1 503 Busy\r\n{line}"));
        [with_field(line), refusal]
    });
    let interim = FIELD_LINES.iter().map(|line| interim(line));
    statuses.chain(fields).chain(interim).collect()
}

/// Sends requests until one has reached the target; returns the response to that one.
fn fetch(site: &Site, target: &raw::Target, path: &str, name: &str) -> Response {
    let before = target.request_count();
    let mut number = 0;
    let mut last = None;
    wait_until("a request reaches the target", || {
        number += 1;
        // Each request has a body of its own, so that none counts as one on which targets crash.
        let (attempt, body) = (format!("{name}-{number}"), format!("{name} {number}"));
        let headers = [
            ("x-attempt-id", &*attempt),
            ("x-token-usage", "10,40"),
            ("x-deadline-ms", "3000"),
        ];
        let address = site.gateways[0].clients;
        let response = send_body(address, &Method::POST, path, &headers, &body);
        last = Some(read_to_end(response.expect("the gateway responds")));
        let is_reached = target.request_count() > before;
        if !is_reached {
            std::thread::sleep(Duration::from_millis(50));
        }
        is_reached
    });
    last.expect("there is a response")
}

/// Lets the only target of a service send each odd answer.
fn check(site: &Site, target: &raw::Target, path: &str, content_type: &str, body: &str) {
    for (number, answer) in odd_answers(content_type, body).iter().enumerate() {
        target.set_answer(answer, End::Close);
        let before = target.request_count();
        let response = fetch(site, target, path, &format!("{path}-{number}"));
        let sent = target.request_count() - before;
        let context = format!("{path} after {answer:?}: {response:?}");
        // It may have run.
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{context}");
        let signature = response.headers.get("x-server-signature");
        assert!(signature.is_none(), "{context}");
        assert_eq!(sent, 1, "{context}");
    }
}

fn check_service(site: &Site) {
    let target = raw::Target::start(site, "ledger");
    wait_for_raw(site);
    for path in [UNSAFE_PATH, SAFE_PATH] {
        check(site, &target, path, "text/plain", "whole");
    }
}

fn check_engine(site: &Site) {
    let target = raw::Target::start(site, "engines");
    wait_for_raw(site);
    for path in [STREAM_PATH, RESUMABLE_PATH] {
        check(site, &target, path, "text/event-stream", &event_stream(3));
    }
}

/// Waits until the first gateway knows the raw target beside the other one.
fn wait_for_raw(site: &Site) {
    site.wait_for_targets(2, 0);
}

#[test]
fn an_odd_answer_of_a_service_is_a_failure_that_may_have_run() {
    check_service(&Site::start(1, 0, 1));
}

#[test]
fn an_odd_answer_of_an_engine_is_a_failure_that_may_have_run() {
    check_engine(&Site::start(0, 1, 1));
}

/// The gateway reads the answer itself, through a peer.
#[test]
fn an_odd_answer_through_a_tunnel_is_a_failure_that_may_have_run() {
    let site = Site::start(1, 0, 2);
    site.wait_for_peers();
    let target = raw::Target::start(&site, "ledger");
    wait_for_raw(&site);
    cut_off(&site, &target);
    check(&site, &target, UNSAFE_PATH, "text/plain", "whole");
}

#[test]
fn an_odd_answer_to_an_idempotent_request_is_tried_at_another_target() {
    let site = Site::start(0, 1, 1);
    let target = raw::Target::start(&site, "ledger");
    wait_for_raw(&site);
    let answers = odd_answers("text/plain", "whole");
    for (number, answer) in answers.iter().enumerate().step_by(STEP) {
        target.set_answer(answer, End::Close);
        let response = fetch(&site, &target, SAFE_PATH, &format!("safe-{number}"));
        assert_eq!(response.status, StatusCode::OK, "{answer:?}: {response:?}");
        let body = response.body.unwrap_or_default();
        assert!(body.starts_with("s-0 ran"), "{answer:?}: {body}");
    }
}

/// The client has events of the first engine already, so the stream ends between two of them.
#[test]
fn an_odd_answer_of_the_next_engine_is_no_part_of_a_stream() {
    let rest = "id: 100\ndata: token 100\n\n";
    for answer in odd_answers("text/event-stream", rest).iter().step_by(STEP) {
        let site = Site::start(1, 0, 1);
        site.set_engine_behaviour(&Behaviour {
            events: 1_000,
            ..Behaviour::default()
        });
        let headers = [("x-attempt-id", "a-1"), ("x-token-usage", "10,40")];
        let response = site.send(0, &Method::POST, RESUMABLE_PATH, &headers);
        let target = raw::Target::start(&site, "engines");
        target.set_answer(answer, End::Close);
        wait_for_raw(&site);
        site.engines[0].crash();
        let response = read_to_end(response);
        assert!(target.request_count() > 0, "{answer:?}: {response:?}");
        assert_eq!(response.body, None, "{answer:?}");
        let received = &response.received;
        let whole = event_stream(1_000);
        assert!(whole.starts_with(&**received), "{answer:?}: {received}");
        assert!(received.ends_with("\n\n"), "{answer:?}: {received}");
    }
}

/// The engine that has the copy of a run sends a status that is none, directly and through a peer.
#[test]
fn a_status_that_is_none_of_the_engine_with_the_copy_is_no_part_of_a_stream() {
    for (number, is_cut) in [(0, false), (1, false), (2, false), (3, true)] {
        let site = Site::start(1, 0, 1 + usize::from(is_cut));
        let target = raw::Target::start(&site, "engines");
        wait_for_raw(&site);
        let body = event_stream(3);
        target.set_answer(&invalid_statuses(&body)[number % 3], End::Close);
        if is_cut {
            cut_off(&site, &target);
        }
        site.set_engine_behaviour(&Behaviour {
            events: 1_000,
            ..Behaviour::default()
        });
        let mut attempt = 0;
        let mut stream = None;
        // A target that has just failed gets no copies for a moment.
        wait_until("the other engine has a copy of a stream", || {
            attempt += 1;
            let response = site.open_stream(&format!("a-{attempt}"), 600);
            let received = site.engines[0].received();
            let run = received.iter().find(|request| {
                *request.attempt == *format!("a-{attempt}")
                    && request.headers.contains_key("x-kv-backup")
            });
            stream = run.map(|_| response);
            stream.is_some()
        });
        let stream = stream.expect("there is a stream");
        std::thread::sleep(Duration::from_millis(300));
        site.engines[0].crash();
        let response = read_to_end(stream);
        let requests = target.requests();
        let is_asked = requests.iter().any(|request| request.contains("kv-from"));
        assert!(is_asked, "{number}: {requests:?}");
        assert_eq!(response.body, None, "{number}");
        let received = &response.received;
        assert!(
            event_stream(1_000).starts_with(&**received),
            "{number}: {received}"
        );
        assert!(received.ends_with("\n\n"), "{number}: {received}");
    }
}

/// Streams that go through a peer from their first event.
#[test]
fn a_status_that_is_none_of_an_engine_through_a_tunnel_is_a_failure_that_may_have_run() {
    let site = Site::start(0, 1, 2);
    site.wait_for_peers();
    let target = raw::Target::start(&site, "engines");
    wait_for_raw(&site);
    cut_off(&site, &target);
    for (number, answer) in invalid_statuses(&event_stream(3)).iter().enumerate() {
        target.set_answer(answer, End::Close);
        for path in [STREAM_PATH, RESUMABLE_PATH] {
            let response = fetch(&site, &target, path, &format!("{path}-{number}"));
            let context = format!("{path} after {answer:?}: {response:?}");
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{context}");
            let signature = response.headers.get("x-server-signature");
            assert!(signature.is_none(), "{context}");
        }
    }
}

/// Answers whose status is 000: with a reason, without one, and behind an interim response.
fn invalid_statuses(body: &str) -> [String; 3] {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 OK",
    ];
    lines.map(|line| {
        format!(
            "{line}\r\nContent-Type: text/event-stream\r\nX-Server-Signature: signed\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    })
}

/// Cuts the first gateway off from all targets, and waits until it knows.
fn cut_off(site: &Site, target: &raw::Target) {
    site.cut(&[0], Kind::Reset);
    target.cut(site.gateways[0].clients.ip());
    wait_until("the gateway finds out that it is cut off", || {
        for path in [SAFE_PATH, RESUMABLE_PATH] {
            let headers = [("x-token-usage", "10,40")];
            let response = send(site.gateways[0].clients, &Method::POST, path, &headers);
            drop(response.map(read_to_end));
        }
        site.metric(0, "isolated") == 1
    });
}

/// The handle of a copy goes into a header. Without one, the run would begin again at the engine with
/// the copy, though it may run only once.
#[test]
fn a_run_does_not_begin_again_for_want_of_a_usable_handle() {
    for handle in [
        "",
        "h\n1",
        "h\u{1}1",
        "h\u{7f}1",
        "h 1",
        "\u{e9}",
        &"h".repeat(100_000),
    ] {
        let behaviour = Behaviour {
            events: 1_000,
            copy_handle: Some(handle.into()),
            ..Behaviour::default()
        };
        let mut site = Site::start(1, 1, 1);
        site.set_engine_behaviour(&behaviour);
        let stream = site.open_stream("a-1", 600);
        wait_until("an engine runs the stream", || {
            site.engines[0].active_streams() == 1
        });
        site.add_engine(1, "dc-1");
        site.set_engine_behaviour(&behaviour);
        site.wait_for_targets(3, 0);
        site.register(&site.engines[0], "engines", "dc-1", "draining");
        wait_until("the run is copied", || {
            !site.engines[0].copied_to().is_empty()
        });
        // The gateway learns of the copy when the call has ended.
        std::thread::sleep(Duration::from_millis(200));
        site.engines[0].crash();
        let response = read_to_end(stream);
        let received = site.engines[1].received();
        let begun = received
            .iter()
            .find(|request| !request.headers.contains_key("kv-from"));
        assert!(begun.is_none(), "{handle:.9?}: {begun:?}");
        let whole = event_stream(1_000);
        assert!(whole.starts_with(&*response.received), "{handle:.9?}");
    }
}
