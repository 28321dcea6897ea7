//! What happens to requests at a gateway that drains after SIGTERM.
//!
//! The grace period is 6 s here, so the first part of a drain takes 3 s and the whole 5.6 s.

mod support;

use {
    fakes::site::target::Behaviour,
    hyper::{Method, StatusCode},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    support::{
        site::{
            API_KEY, Connection, HOST, RESUMABLE_PATH, Response, STREAM_PATH, Site, UNSAFE_PATH,
            event_stream, read_to_end, send,
        },
        wait_until,
    },
};

/// End of the part of a drain in which the load balancer may still send new connections.
const FIRST_PART: Duration = Duration::from_secs(3);
/// End of a drain, after which the process exits.
const END: Duration = Duration::from_millis(5_600);
/// Time from when a target must have received what the gateway took in the first part.
const MARGIN: Duration = Duration::from_millis(250);
/// Time from the end of the first part within which idle connections must be closed.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// Result of a request whose head was sent.
#[derive(Debug)]
struct Sent {
    attempt: String,
    /// Time from SIGTERM until it was sent.
    at: Duration,
    /// `None` if the connection ended without a response.
    response: Option<Response>,
}

impl Sent {
    fn is_refused(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| {
            response.status == StatusCode::SERVICE_UNAVAILABLE
                && response.headers["retry-after"] == "0.00"
                && response.headers["connection"] == "close"
        })
    }

    fn is_whole(&self) -> bool {
        let response = self.response.as_ref();
        response
            .is_some_and(|response| response.status == StatusCode::OK && response.body.is_some())
    }
}

fn slow_service(milliseconds: u64) -> Behaviour {
    Behaviour {
        delay: Duration::from_millis(milliseconds),
        ..Behaviour::default()
    }
}

/// Returns the behaviour of an engine whose streams have 60 events.
fn stream_of(event_interval: Duration) -> Behaviour {
    Behaviour {
        events: 60,
        event_interval,
        ..Behaviour::default()
    }
}

/// Returns the times from SIGTERM at which connections that were idle until then are used.
///
/// None lies where idle connections are closed, as a request can cross that.
fn use_times() -> Vec<Duration> {
    let times = (100..5_600).step_by(100).map(Duration::from_millis);
    let is_clear = |time: &Duration| *time + MARGIN < FIRST_PART || *time > FIRST_PART + CLOSE_TIME;
    times.filter(is_clear).collect()
}

fn sleep_until(sigterm: Instant, time: Duration) {
    thread::sleep(time.saturating_sub(sigterm.elapsed()));
}

/// Opens connections and serves a request on each, so that they are idle.
fn open_connections(address: SocketAddr, count: usize) -> Vec<Connection> {
    let open = |index: usize| {
        let mut connection = Connection::open(address).expect("the gateway listens");
        let attempt = format!("first-{index}");
        let response = connection.send(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", &attempt)]);
        let response = read_to_end(response.expect("the gateway responds"));
        assert_eq!(response.status, StatusCode::OK);
        connection
    };
    (0..count).map(open).collect()
}

/// Sends a request on each of the connections at its time, unless the gateway has closed it.
fn use_connections(
    connections: Vec<Connection>,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    sigterm: Instant,
) -> Vec<Sent> {
    let threads: Vec<_> = connections
        .into_iter()
        .zip(use_times())
        .enumerate()
        .map(|(index, (mut connection, time))| {
            thread::spawn(move || {
                sleep_until(sigterm, time);
                if connection.is_closed() {
                    return None;
                }
                let attempt = format!("a-{index}");
                let mut headers = headers.to_vec();
                headers.push(("x-attempt-id", &attempt));
                let at = sigterm.elapsed();
                let response = connection.send(&Method::POST, path, &headers);
                let response = response.ok().map(read_to_end);
                Some(Sent {
                    attempt,
                    at,
                    response,
                })
            })
        })
        .collect();
    let results = threads.into_iter().map(thread::JoinHandle::join);
    results
        .filter_map(|result| result.expect("the client doesn't panic"))
        .collect()
}

/// Returns the requests that were neither answered nor refused.
fn lost(sent: &[Sent]) -> Vec<(Duration, Option<StatusCode>)> {
    let lost = sent
        .iter()
        .filter(|sent| !sent.is_whole() && !sent.is_refused());
    lost.map(|sent| (sent.at, sent.response.as_ref().map(|it| it.status)))
        .collect()
}

/// Starts a draft that outlasts the drain, so that the process doesn't exit before.
fn hold_drain(site: &Site) -> thread::JoinHandle<Response> {
    site.set_engine_behaviour(&stream_of(Duration::from_millis(400)));
    let stream = site.open_stream("held", 600);
    thread::spawn(move || read_to_end(stream))
}

/// Requests of plain services were never checked: clients that go on sending on their connections
/// had them run until the process exited in the middle of them.
#[test]
fn plain_requests_on_kept_connections_are_not_taken_late_and_cut() {
    let site = Site::start(1, 1, 1);
    let draft = hold_drain(&site);
    let connections = open_connections(site.gateways[0].clients, use_times().len());
    site.services[0].set_behaviour(slow_service(700));
    let sigterm = Instant::now();
    site.gateways[0].process.terminate();
    let sent = use_connections(connections, UNSAFE_PATH, &[], sigterm);
    assert_eq!(lost(&sent), []);
    let late = sent
        .iter()
        .filter(|sent| sent.at > FIRST_PART && sent.is_whole());
    assert_eq!(late.count(), 0, "the route's time doesn't end in the drain");
    assert!(sent.iter().filter(|sent| sent.is_whole()).count() > 20);
    let received = site.services[0].received().into_iter();
    let late = received.filter(|request| request.at > sigterm + FIRST_PART + MARGIN);
    assert_eq!(late.count(), 0);
    draft.join().expect("the client doesn't panic");
}

/// The estimate for generations knew nothing of how slow the engines are.
#[test]
fn streams_of_slow_engines_are_not_taken_if_the_vm_stops_before_their_end() {
    let site = Site::start(3, 1, 1);
    site.set_engine_behaviour(&stream_of(Duration::from_millis(50)));
    let headers = &[("x-token-usage", "100,40")];
    let first = site.fetch(&Method::POST, RESUMABLE_PATH, headers);
    assert_eq!(first.body, Some(event_stream(60)));
    let connections = open_connections(site.gateways[0].clients, use_times().len());
    let sigterm = Instant::now();
    site.gateways[0].process.terminate();
    let sent = use_connections(connections, RESUMABLE_PATH, headers, sigterm);
    assert_eq!(lost(&sent), []);
    assert!(sent.iter().any(Sent::is_whole), "{sent:?}");
}

/// A request that waited for room as SIGTERM came wasn't looked at again when an engine had room.
#[test]
fn a_request_that_waits_for_room_is_looked_at_again_when_the_vm_stops() {
    let site = Site::start(1, 1, 1);
    let slow = stream_of(Duration::from_millis(100));
    site.set_engine_behaviour(&slow);
    let first = read_to_end(site.open_stream("first", 40));
    assert_eq!(first.body, Some(event_stream(60)));
    site.set_engine_behaviour(&stream_of(Duration::from_millis(20)));
    let headers = [("x-token-usage", "100,40")];
    let fill = |index: usize| {
        let attempt = format!("fill-{index}");
        let headers = [headers[0], ("x-attempt-id", &*attempt)];
        let stream = site.send(0, &Method::POST, STREAM_PATH, &headers);
        thread::spawn(move || read_to_end(stream))
    };
    let filling: Vec<_> = (0..8).map(fill).collect();
    site.set_engine_behaviour(&slow);
    let address = site.gateways[0].clients;
    let waiting = thread::spawn(move || {
        let headers = [("x-token-usage", "100,40"), ("x-attempt-id", "waiting")];
        send(address, &Method::POST, STREAM_PATH, &headers)
            .ok()
            .map(read_to_end)
    });
    thread::sleep(Duration::from_millis(200));
    assert_eq!(site.engines[0].active_streams(), 8, "the engine is full");
    site.gateways[0].process.terminate();
    let response = waiting.join().expect("the client doesn't panic");
    let response = response.expect("the gateway responds");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers["retry-after"], "0.00");
    let mut received = site.engines[0].received().into_iter();
    assert!(!received.any(|request| &*request.attempt == "waiting"));
    for filling in filling {
        let response = filling.join().expect("the client doesn't panic");
        assert_eq!(response.body, Some(event_stream(60)));
    }
}

/// Between the decision to exit and the exit, requests were still passed on.
#[test]
fn nothing_that_is_passed_on_as_the_process_ends_is_cut() {
    let site = Site::start(1, 1, 1);
    site.services[0].set_behaviour(slow_service(300));
    let address = site.gateways[0].clients;
    let sigterm = Instant::now();
    site.gateways[0].process.terminate();
    let send_at = |index: u64| {
        let time = FIRST_PART + Duration::from_millis(50 + 5 * index);
        thread::spawn(move || {
            sleep_until(sigterm, time);
            let attempt = format!("a-{index}");
            let headers = [("x-attempt-id", &*attempt), ("x-deadline-ms", "1500")];
            let response = send(address, &Method::POST, UNSAFE_PATH, &headers);
            Sent {
                at: time,
                response: response.ok().map(read_to_end),
                attempt,
            }
        })
    };
    let threads: Vec<_> = (0..20).map(send_at).collect();
    let sent = threads.into_iter().map(thread::JoinHandle::join);
    let sent: Vec<_> = sent
        .map(|sent| sent.expect("the client doesn't panic"))
        .collect();
    let received = site.services[0].received();
    let is_received = |sent: &Sent| {
        received
            .iter()
            .any(|request| *request.attempt == *sent.attempt)
    };
    // The exit resets a connection on which nothing was read yet, which nobody can tell from a cut.
    let is_unread = |sent: &Sent| sent.response.is_none() && !is_received(sent);
    let mut answered = sent.iter().filter(|sent| !is_unread(sent));
    let is_sound = |sent: &Sent| sent.is_whole() || sent.is_refused() && !is_received(sent);
    assert!(answered.all(is_sound), "{sent:?}");
}

/// The exit of the process cut what ran, and what had not come whole, without an answer.
#[test]
fn what_is_in_progress_at_the_end_of_the_drain_is_answered() {
    let site = Site::start(1, 1, 1);
    site.services[0].set_behaviour(slow_service(20_000));
    let address = site.gateways[0].clients;
    let running = thread::spawn(move || {
        let headers = [("x-attempt-id", "running")];
        send(address, &Method::POST, UNSAFE_PATH, &headers)
            .ok()
            .map(read_to_end)
    });
    wait_until("the service runs the request", || {
        site.services[0].run_count() == 1
    });
    let mut incomplete = TcpStream::connect(address).expect("the gateway listens");
    let request = format!(
        "POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {API_KEY}\r\n\
         X-Attempt-Id: incomplete\r\nContent-Length: 10\r\n\r\nhalf"
    );
    incomplete
        .write_all(request.as_bytes())
        .expect("the gateway reads");
    thread::sleep(Duration::from_millis(100));
    site.gateways[0].process.terminate();
    let running = running.join().expect("the client doesn't panic");
    let running = running.expect("the gateway responds");
    assert_eq!(running.status, StatusCode::BAD_GATEWAY, "it may have run");
    let mut response = String::new();
    incomplete
        .read_to_string(&mut response)
        .expect("the connection is not reset");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(site.services[0].run_count(), 1);
}

/// Idle connections stayed open until the exit, so clients sent on them until it cut them.
#[test]
fn idle_connections_are_closed_after_the_first_part_of_the_drain() {
    let site = Site::start(1, 1, 1);
    let draft = hold_drain(&site);
    let connections = open_connections(site.gateways[0].clients, 4);
    let mut begun = TcpStream::connect(site.gateways[0].clients).expect("the gateway listens");
    let unused = Connection::open(site.gateways[0].clients).expect("the gateway listens");
    let sigterm = Instant::now();
    site.gateways[0].process.terminate();
    sleep_until(sigterm, FIRST_PART.saturating_sub(MARGIN));
    assert!(!connections.iter().any(Connection::is_closed));
    let head = format!("POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\n");
    begun.write_all(head.as_bytes()).expect("the gateway reads");
    sleep_until(sigterm, FIRST_PART + CLOSE_TIME);
    assert!(connections.iter().all(Connection::is_closed));
    assert!(unused.is_closed());
    let rest = format!("Authorization: Token {API_KEY}\r\nContent-Length: 0\r\n\r\n");
    begun.write_all(rest.as_bytes()).expect("the gateway reads");
    let mut response = String::new();
    begun
        .read_to_string(&mut response)
        .expect("the connection is not reset");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let headers = [("x-attempt-id", "late")];
    let late = site.fetch(&Method::POST, UNSAFE_PATH, &headers);
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    let headers = [("x-attempt-id", "short"), ("x-deadline-ms", "500")];
    let short = site.fetch(&Method::POST, UNSAFE_PATH, &headers);
    assert_eq!(short.status, StatusCode::OK);
    assert!(sigterm.elapsed() < END);
    let draft = draft.join().expect("the client doesn't panic");
    assert_eq!(draft.body, None, "the drain ends before the draft");
}
