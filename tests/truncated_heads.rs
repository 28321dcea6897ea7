//! Targets that end their connection within the head of a response.
//!
//! A head without its end has no length either, so what was sent must not pass for a response.

mod support;

use {
    fakes::site::{Target, target::Copies},
    hyper::{Method, StatusCode},
    socket2::SockRef,
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    support::{
        process::free_address,
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

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// A target that sends a text and ends the connection, whatever the request.
struct Truncating {
    text: Arc<Mutex<(String, Option<End>)>>,
    requests: Arc<AtomicUsize>,
}

impl Truncating {
    /// Starts the target and registers it as the only one of a service.
    fn start(site: &Site, service: &str) -> Self {
        let listener = TcpListener::bind(free_address()).expect("the address is free");
        let entry = Target::start(free_address(), "truncating", false, &Copies::default());
        let address = listener.local_addr().expect("it is bound");
        let entry = entry.expect("the address is free");
        site.register_at(&entry, address, service, "dc-1", "ready");
        let text = Arc::new(Mutex::new((String::new(), None)));
        let requests = Arc::new(AtomicUsize::new(0));
        let (served_text, counter) = (Arc::clone(&text), Arc::clone(&requests));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if read_request(&stream).is_some() {
                    counter.fetch_add(1, Ordering::Relaxed);
                    let (text, end) = served_text.lock().expect("not poisoned").clone();
                    respond(stream, &text, end);
                }
            }
        });
        Self { text, requests }
    }
}

/// Reads a request whose body has a length; `None` if the connection ends before.
fn read_request(mut stream: &TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        request.extend_from_slice(&buffer[..count]);
    }
}

fn respond(mut stream: TcpStream, text: &str, end: Option<End>) {
    let _ = stream.write_all(text.as_bytes());
    if let Some(End::Reset) = end {
        // The gateway reads what was sent before the reset drops it.
        thread::sleep(Duration::from_millis(20));
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

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
    let target = Truncating::start(&site, service);
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
                *target.text.lock().expect("not poisoned") = (head[..length].to_owned(), Some(end));
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
    let requests = target.requests.load(Ordering::Relaxed);
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
