//! Gateways that reach no target, while clients, the store and the other gateways reach them.

mod support;

use {
    fakes::site::{Target, partition::Kind, target::Behaviour},
    hyper::{Method, StatusCode},
    std::{
        io::{Read as _, Write as _},
        net::TcpStream,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
    support::{
        site::{
            Connection, RESUMABLE_PATH, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, event_stream,
            read_to_end, send,
        },
        wait_until,
    },
};

/// Time after which gateways without a path must serve like the others.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time over which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(3);
/// Time between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Clients of each gateway; half of them keep their connections.
const CLIENTS: usize = 4;
/// Events of a stream.
const EVENTS: u64 = 12;

/// A request that a client sent.
#[derive(Debug)]
struct Exchange {
    gateway: usize,
    attempt: String,
    at: Instant,
    is_stream: bool,
    /// `None` if the connection ended without an answer.
    status: Option<StatusCode>,
    /// Whether the client got the whole answer.
    is_complete: bool,
}

impl Exchange {
    fn is_served(&self) -> bool {
        self.status == Some(StatusCode::OK) && self.is_complete
    }
}

/// Clients that send requests of all kinds to all gateways until they are stopped.
struct Load<'a> {
    site: &'a Site,
    is_stopped: AtomicBool,
    next: AtomicUsize,
}

impl<'a> Load<'a> {
    fn new(site: &'a Site) -> Self {
        Self {
            site,
            is_stopped: AtomicBool::new(false),
            next: AtomicUsize::new(0),
        }
    }

    /// Sends requests while `body` runs; returns them.
    fn run(&self, body: impl FnOnce()) -> Vec<Exchange> {
        thread::scope(|scope| {
            let mut clients = Vec::new();
            for gateway in 0..self.site.gateways.len() {
                for client in 0..CLIENTS {
                    let is_kept = client % 2 == 0;
                    clients.push(scope.spawn(move || self.client(gateway, is_kept)));
                }
            }
            body();
            self.is_stopped.store(true, Ordering::Relaxed);
            let clients = clients.into_iter();
            clients
                .flat_map(|client| client.join().expect("the client does not panic"))
                .collect()
        })
    }

    fn client(&self, gateway: usize, is_kept: bool) -> Vec<Exchange> {
        let address = self.site.gateways[gateway].clients;
        let mut exchanges = Vec::new();
        let mut kept: Option<Connection> = None;
        while !self.is_stopped.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let path = [SAFE_PATH, UNSAFE_PATH, RESUMABLE_PATH, STREAM_PATH][number / 4 % 4];
            let attempt = format!("p-{number}");
            let at = Instant::now();
            let headers = [
                ("x-attempt-id", &*attempt),
                ("x-token-usage", "100,40"),
                ("x-deadline-ms", "4000"),
            ];
            let kept_connection = kept.take().filter(|connection| !connection.is_closed());
            let connection = kept_connection.map_or_else(|| Connection::open(address), Ok);
            let mut result = (None, false);
            if let Ok(mut connection) = connection
                && let Ok(response) = connection.send(&Method::POST, path, &headers)
            {
                let response = read_to_end(response);
                let events = event_stream(EVENTS);
                let is_stream = [RESUMABLE_PATH, STREAM_PATH].contains(&path);
                let body = response.body;
                let is_complete = body.is_some_and(|body| {
                    !is_stream || body == events || !response.status.is_success()
                });
                result = (Some(response.status), is_complete);
                kept = is_kept.then_some(connection);
            }
            exchanges.push(Exchange {
                gateway,
                attempt,
                at,
                is_stream: [RESUMABLE_PATH, STREAM_PATH].contains(&path),
                status: result.0,
                is_complete: result.1,
            });
            thread::sleep(REQUEST_INTERVAL.mul_f64(rand::random_range(0.5..1.5)));
        }
        exchanges
    }
}

fn start(gateways: usize) -> Site {
    let site = Site::start(3, 3, gateways);
    site.wait_for_peers();
    site.set_engine_behaviour(&Behaviour {
        events: EVENTS,
        event_interval: Duration::from_millis(5),
        ..Behaviour::default()
    });
    site
}

/// Asserts that no attempt of a non-idempotent request ran twice, or ran although it was refused.
fn assert_at_most_once(site: &Site, exchanges: &[Exchange]) {
    for exchange in exchanges {
        let received = site.services.iter().flat_map(Target::received);
        let runs = received
            .filter(|request| *request.attempt == *exchange.attempt && request.ran)
            .filter(|request| *request.path == *UNSAFE_PATH)
            .count();
        assert!(runs <= 1, "{exchange:?} ran {runs} times");
        if exchange.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            assert_eq!(runs, 0, "{exchange:?} was refused and ran");
        }
    }
}

/// Returns how many requests of the chosen gateways were served, and how many there were.
fn share(
    exchanges: &[Exchange],
    is_chosen: impl Fn(usize) -> bool,
    from: Instant,
) -> (usize, usize) {
    let counted: Vec<_> = exchanges
        .iter()
        .filter(|exchange| is_chosen(exchange.gateway))
        .filter(|exchange| exchange.at >= from && exchange.at < from + COUNT_WINDOW)
        .collect();
    let served = counted.iter().filter(|exchange| exchange.is_served());
    (served.count(), counted.len())
}

/// Cuts gateways under load, and asserts that from the end of the stable window they serve as the
/// others do, and again once the cut has healed.
fn assert_served(gateways: usize, cut: &[usize], kind: Kind) {
    let site = start(gateways);
    let load = Load::new(&site);
    let mut cut_at = Instant::now();
    let mut healed_at = cut_at;
    let exchanges = load.run(|| {
        thread::sleep(Duration::from_secs(1));
        site.cut(cut, kind);
        cut_at = Instant::now();
        thread::sleep(STABLE_WINDOW + COUNT_WINDOW + Duration::from_millis(300));
        site.heal(cut);
        healed_at = Instant::now();
        thread::sleep(Duration::from_secs(1) + COUNT_WINDOW);
    });
    assert_at_most_once(&site, &exchanges);
    let is_cut = |gateway: usize| cut.contains(&gateway);
    let (served, all) = share(&exchanges, is_cut, cut_at + STABLE_WINDOW);
    let (others_served, others) = share(
        &exchanges,
        |gateway| !is_cut(gateway),
        cut_at + STABLE_WINDOW,
    );
    let report = format!(
        "{kind:?}: {served} of {all} at the cut gateways, {others_served} of {others} elsewhere"
    );
    eprintln!("{report}");
    assert!(all >= 20 && others >= 20, "{report}");
    // The bound of the rule.
    assert!(
        served * others * 3 >= others_served * all * 2
            || all + others - served - others_served <= 10 + (all + others) / 50,
        "{report}"
    );
    // The project's own aim is the same share.
    assert!(served * 100 >= all * 98, "{report}");
    assert!(others_served * 100 >= others * 98, "{report}");
    let (served, all) = share(&exchanges, is_cut, healed_at + Duration::from_secs(1));
    assert!(served * 100 >= all * 98, "{served} of {all} after the cut");
    wait_until("the gateways use their own path again", || {
        cut.iter()
            .all(|&gateway| site.metric(gateway, "isolated") == 0)
    });
}

#[test]
fn gateways_whose_connections_to_targets_hang_serve_like_the_others() {
    assert_served(4, &[0, 1], Kind::Hang);
}

#[test]
fn gateways_whose_connections_to_targets_are_reset_serve_like_the_others() {
    assert_served(4, &[0, 1], Kind::Reset);
}

#[test]
fn gateways_whose_new_connections_to_targets_are_refused_serve_like_the_others() {
    assert_served(4, &[0, 1], Kind::Refuse);
}

#[test]
fn one_gateway_with_a_path_serves_for_all_the_others() {
    assert_served(4, &[0, 1, 2], Kind::Hang);
}

/// Streams that run when the cut begins go on at another engine, or at their own once it heals.
#[test]
fn streams_outlive_a_cut_of_their_gateway() {
    for kind in [Kind::Hang, Kind::Reset, Kind::Refuse] {
        let site = start(3);
        let behaviour = Behaviour {
            events: 120,
            event_interval: Duration::from_millis(25),
            ..Behaviour::default()
        };
        site.set_engine_behaviour(&behaviour);
        let responses = thread::scope(|scope| {
            let site = &site;
            let streams: Vec<_> = (0..6)
                .map(|number| {
                    scope.spawn(move || {
                        let attempt = format!("d-{number}");
                        read_to_end(site.open_stream(&attempt, 480))
                    })
                })
                .collect();
            thread::sleep(Duration::from_millis(900));
            site.cut(&[0], kind);
            thread::sleep(Duration::from_secs(5));
            site.heal(&[0]);
            let streams = streams.into_iter();
            streams
                .map(|stream| stream.join().expect("the client does not panic"))
                .collect::<Vec<_>>()
        });
        for response in responses {
            assert_eq!(
                response.body.as_deref(),
                Some(&*event_stream(120)),
                "{kind:?}"
            );
            assert!(
                response.longest_pause < Duration::from_secs(2),
                "{kind:?}: {:?}",
                response.longest_pause
            );
        }
    }
}

/// Returns how many requests a gateway was to send through others, whether one took them or not.
fn tunnelled(site: &Site, gateway: usize) -> usize {
    let text = site.metrics(gateway);
    let lines = text
        .lines()
        .filter(|line| line.starts_with("mastictrail_gateway_tunnelled_total"));
    let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
    counts.sum()
}

/// A dead service, a target that takes no connection for a second and slow ones: no gateway takes
/// that for its own fault.
#[test]
fn nothing_goes_through_other_gateways_while_each_has_a_path() {
    let site = start(3);
    let load = Load::new(&site);
    let exchanges = load.run(|| {
        thread::sleep(Duration::from_secs(1));
        site.engines[0]
            .stall(Duration::from_millis(1_200))
            .expect("the engine stalls");
        site.engines[1].set_behaviour(Behaviour {
            events: EVENTS,
            delay: Duration::from_millis(700),
            ..Behaviour::default()
        });
        thread::sleep(Duration::from_secs(2));
        for service in &site.services {
            service.crash();
        }
        thread::sleep(Duration::from_secs(3));
    });
    assert_at_most_once(&site, &exchanges);
    for gateway in 0..site.gateways.len() {
        assert_eq!(tunnelled(&site, gateway), 0, "gateway {gateway}");
        assert_eq!(site.metric(gateway, "isolated"), 0, "gateway {gateway}");
        assert_eq!(site.metric(gateway, "quarantined"), 0, "gateway {gateway}");
    }
}

/// Whatever happens to the peer, what it was handed runs at most once, and others take over.
///
/// Half of the clients send streams only: one without a copy that is under way at a peer when that
/// is cut off waits for its engine, and its client sends nothing else meanwhile.
fn assert_peers_are_replaced(change: impl FnOnce(&mut Site)) {
    let mut site = start(4);
    let addresses: Vec<_> = site
        .gateways
        .iter()
        .map(|gateway| gateway.clients)
        .collect();
    site.cut(&[0], Kind::Hang);
    thread::sleep(Duration::from_secs(1));
    let is_stopped = AtomicBool::new(false);
    let exchanges = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (is_stopped, address) = (&is_stopped, addresses[0]);
                scope.spawn(move || {
                    let mut exchanges = Vec::new();
                    while !is_stopped.load(Ordering::Relaxed) {
                        let number = exchanges.len();
                        let attempt = format!("q-{client}-{number}");
                        let path = if client % 2 == 0 {
                            [SAFE_PATH, UNSAFE_PATH][number % 2]
                        } else {
                            STREAM_PATH
                        };
                        let headers = [("x-attempt-id", &*attempt), ("x-token-usage", "100,40")];
                        let at = Instant::now();
                        let response = send(address, &Method::POST, path, &headers);
                        let response = response.map(read_to_end).ok();
                        exchanges.push(Exchange {
                            gateway: 0,
                            attempt,
                            at,
                            is_stream: path == STREAM_PATH,
                            status: response.as_ref().map(|response| response.status),
                            is_complete: response.is_some_and(|response| response.body.is_some()),
                        });
                        thread::sleep(REQUEST_INTERVAL / 4);
                    }
                    exchanges
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(2));
        change(&mut site);
        thread::sleep(Duration::from_secs(4));
        is_stopped.store(true, Ordering::Relaxed);
        let clients = clients.into_iter();
        clients
            .flat_map(|client| client.join().expect("the client does not panic"))
            .collect::<Vec<_>>()
    });
    assert_at_most_once(&site, &exchanges);
    let served = exchanges.iter().filter(|exchange| exchange.is_served());
    let (served, all) = (served.count(), exchanges.len());
    // Those that were under way at a peer that is lost may fail.
    assert!(served + 2 * CLIENTS >= all, "{served} of {all} served");
    let plain = exchanges.iter().filter(|exchange| !exchange.is_stream);
    let plain = plain.count();
    assert!(plain >= 100, "{plain} of {all} requests are no streams");
}

#[test]
fn a_peer_that_is_killed_while_it_serves_another_is_replaced() {
    assert_peers_are_replaced(|site| site.gateways[1].process.kill());
}

#[test]
fn a_peer_that_stops_while_it_serves_another_loses_nothing() {
    assert_peers_are_replaced(|site| site.gateways[1].process.terminate());
}

#[test]
fn a_peer_that_is_cut_off_while_it_serves_another_is_replaced() {
    assert_peers_are_replaced(|site| site.cut(&[1, 2], Kind::Hang));
}

/// Cuts the first gateway, and sends it requests until it uses its peers.
fn cut_until_isolated(site: &Site) {
    site.cut(&[0], Kind::Refuse);
    wait_until("the gateway uses its peer", || {
        site.fetch(&Method::POST, SAFE_PATH, &[("x-attempt-id", "first")]);
        site.metric(0, "isolated") == 1
    });
}

/// Time for which a connection stays open that is reset late.
const LATE_RESET: Duration = Duration::from_millis(60);

/// A connection that is reset only after a moment must not pass for a target that is reached again.
#[test]
fn a_gateway_whose_connections_are_reset_late_stays_isolated() {
    let site = start(2);
    cut_until_isolated(&site);
    for target in site.engines.iter().chain(&site.services) {
        target.set_reset_delay(LATE_RESET);
    }
    let start = Instant::now();
    let mut served = 0;
    while start.elapsed() < STABLE_WINDOW {
        assert_eq!(site.metric(0, "isolated"), 1, "after {:?}", start.elapsed());
        let attempt = format!("late-{served}");
        let response = site.fetch(&Method::POST, SAFE_PATH, &[("x-attempt-id", &attempt)]);
        assert_eq!(response.status, StatusCode::OK);
        served += 1;
    }
    assert!(served > 0);
    site.heal(&[0]);
    wait_until("the gateway uses its own path again", || {
        site.metric(0, "isolated") == 0
    });
}

/// A request whose client leaves is no longer run, also at the other end of a tunnel.
#[test]
fn a_client_that_leaves_closes_the_whole_way() {
    let site = start(2);
    cut_until_isolated(&site);
    site.set_engine_behaviour(&Behaviour {
        events: 400,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    });
    let mut response = site.open_stream("left", 100);
    response.read_part();
    assert_eq!(site.metric(1, "tunnels"), 1);
    drop(response);
    wait_until("the engine's stream is closed", || {
        site.engines.iter().any(|engine| {
            engine
                .cancelled()
                .iter()
                .any(|attempt| &**attempt == "left")
        })
    });
    wait_until("the tunnel is closed", || site.metric(1, "tunnels") == 0);
}

/// A stranger can't reach a target through the port on which the gateways speak to each other.
#[test]
fn a_stranger_opens_no_tunnel() {
    let site = start(2);
    let address = site.gateways[1].peers;
    for greeting in [
        &b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"[..],
        // A well-formed greeting of a process that reports to no gateway.
        &[
            0, 0, 0, 14, 0x0d, 1, 0, 0, 127, 0x11, 1, 2, 3, 4, 5, 6, 7, 8,
        ],
    ] {
        let mut stream = TcpStream::connect(address).expect("the gateway accepts");
        stream.write_all(greeting).expect("the greeting is sent");
        stream
            .set_read_timeout(Some(Duration::from_secs(2)))
            .expect("the timeout is set");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        // At most the frame that refuses it.
        assert!(
            answer.is_empty() || answer == [0, 0, 0, 2, 0x10, 2],
            "{answer:?}"
        );
    }
    let mut targets = site.engines.iter().chain(&site.services);
    assert!(targets.all(|target| target.received().is_empty()));
}

/// A pause that a target requests through a tunnel is meant for the peer.
#[test]
fn a_pause_that_a_target_asks_for_through_a_tunnel_holds_for_the_peer() {
    let site = start(2);
    cut_until_isolated(&site);
    for service in &site.services {
        service.set_behaviour(Behaviour {
            refuses: true,
            notices: vec![("retry-after", "3".to_owned())],
            ..Behaviour::default()
        });
    }
    site.fetch(&Method::POST, SAFE_PATH, &[("x-attempt-id", "refused")]);
    thread::sleep(Duration::from_millis(500));
    let count = || -> usize {
        let services = site.services.iter();
        services.map(|service| service.received().len()).sum()
    };
    let before = count();
    for number in 0..20 {
        let attempt = format!("r-{number}");
        let headers = [("x-attempt-id", &*attempt)];
        let response = read_to_end(site.send(number % 2, &Method::POST, SAFE_PATH, &headers));
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    }
    assert_eq!(count(), before);
}

/// The kernel gives up a connection by its own timers, which must bear a silence of a second or two.
#[test]
fn a_target_that_is_silent_for_two_seconds_loses_no_run() {
    let site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        events: 60,
        event_interval: Duration::from_millis(25),
        ..Behaviour::default()
    });
    site.services[0].set_behaviour(Behaviour {
        delay: Duration::from_millis(800),
        ..Behaviour::default()
    });
    let headers = |attempt| [("x-attempt-id", attempt), ("x-token-usage", "100,40")];
    thread::scope(|scope| {
        let site = &site;
        let fetch = move |path, attempt| site.fetch(&Method::POST, path, &headers(attempt));
        let stream = scope.spawn(move || fetch(STREAM_PATH, "stream"));
        let plain = scope.spawn(move || fetch(UNSAFE_PATH, "plain"));
        thread::sleep(Duration::from_millis(400));
        site.cut(&[0], Kind::Hang);
        thread::sleep(Duration::from_millis(2_300));
        site.heal(&[0]);
        let stream = stream.join().expect("the client does not panic");
        assert_eq!(stream.body.as_deref(), Some(&*event_stream(60)));
        let plain = plain.join().expect("the client does not panic");
        assert_eq!(plain.status, StatusCode::OK);
        assert_eq!(plain.body.as_deref(), Some("s-0 ran plain"));
    });
    assert_eq!(site.metric(0, "quarantined"), 0);
    assert_eq!(site.engines[0].run_count(), 1);
}

#[test]
fn a_connection_that_is_silent_for_good_is_given_up() {
    let site = Site::start(1, 1, 1);
    site.services[0].set_behaviour(Behaviour {
        delay: Duration::from_millis(800),
        ..Behaviour::default()
    });
    thread::scope(|scope| {
        let site = &site;
        let begun = Instant::now();
        let plain = scope.spawn(move || {
            let headers = [("x-attempt-id", "plain"), ("x-deadline-ms", "20000")];
            site.fetch(&Method::POST, UNSAFE_PATH, &headers)
        });
        thread::sleep(Duration::from_millis(400));
        site.cut(&[0], Kind::Silence);
        let plain = plain.join().expect("the client does not panic");
        assert_eq!(plain.status, StatusCode::BAD_GATEWAY);
        assert!(
            begun.elapsed() < Duration::from_secs(7),
            "{:?}",
            begun.elapsed()
        );
    });
    let response = site.fetch(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", "next")]);
    assert_eq!(response.status, StatusCode::OK);
}
