//! A target that writes a refusal once more on a connection that it keeps open.
//!
//! A gateway that took the second one for the response to its next request would call a request not
//! run that runs, or send it to a second target.

mod support;

use {
    fakes::site::partition::Kind,
    hyper::{Method, StatusCode},
    serde_json::json,
    std::{
        collections::HashMap,
        io::{self, Read as _, Write as _},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    support::{
        process::free_address,
        site::{SAFE_PATH, Site, UNSAFE_PATH, read_to_end, send},
        wait_until,
    },
};

/// When a target writes a refusal that belongs to no request.
#[derive(Clone, Copy, Debug)]
enum Repeat {
    /// In the same write as the refusal.
    AtOnce,
    /// A moment after the refusal.
    Later,
    /// With a refusal before the body of the request has been read.
    BeforeBody,
    /// Behind the response to a request that it has run.
    AfterRun,
}

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 4\r\n\r\nbusy";
/// Delay of [`Repeat::Later`].
const LATER: Duration = Duration::from_millis(30);
/// Requests that are sent in each case.
const REQUESTS: usize = 40;

/// A target that refuses every other request.
#[derive(Clone)]
struct FaultyTarget {
    address: SocketAddr,
    /// Attempts that were run, with their number.
    runs: Arc<Mutex<HashMap<String, usize>>>,
    received: Arc<AtomicUsize>,
    /// Requests that came on a connection that had one before.
    reused: Arc<AtomicUsize>,
    /// VM whose connections are reset.
    cut: Arc<Mutex<Option<IpAddr>>>,
}

impl FaultyTarget {
    fn start(repeat: Repeat) -> Self {
        let listener = TcpListener::bind(free_address()).expect("the address is free");
        let target = Self {
            address: listener.local_addr().expect("it has an address"),
            runs: Arc::default(),
            received: Arc::default(),
            reused: Arc::default(),
            cut: Arc::default(),
        };
        let serving = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    // The gateway closes its connections at any time.
                    drop(serving.serve(stream, repeat));
                });
            }
        });
        target
    }

    fn serve(&self, mut stream: TcpStream, repeat: Repeat) -> io::Result<()> {
        if *self.cut.lock().unwrap() == Some(stream.peer_addr()?.ip()) {
            return socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        let mut has_served = false;
        loop {
            let head = read_head(&mut stream)?;
            if std::mem::replace(&mut has_served, true) {
                self.reused.fetch_add(1, Ordering::Relaxed);
            }
            let number = self.received.fetch_add(1, Ordering::Relaxed);
            let attempt = field(&head, "x-attempt-id");
            let length = field(&head, "content-length").parse().unwrap_or(0);
            let is_refused = number.is_multiple_of(2);
            if is_refused && matches!(repeat, Repeat::BeforeBody) {
                stream.write_all(format!("{REFUSAL}{REFUSAL}").as_bytes())?;
            }
            let mut body = vec![0; length];
            stream.read_exact(&mut body)?;
            if is_refused {
                match repeat {
                    Repeat::AtOnce => {
                        stream.write_all(format!("{REFUSAL}{REFUSAL}").as_bytes())?;
                    }
                    Repeat::Later => {
                        stream.write_all(REFUSAL.as_bytes())?;
                        thread::sleep(LATER);
                        stream.write_all(REFUSAL.as_bytes())?;
                    }
                    Repeat::BeforeBody => {}
                    Repeat::AfterRun => stream.write_all(REFUSAL.as_bytes())?,
                }
                continue;
            }
            *self
                .runs
                .lock()
                .unwrap()
                .entry(attempt.clone())
                .or_default() += 1;
            let mut response = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: signed\r\n\
                 content-length: {}\r\n\r\n{attempt}",
                attempt.len()
            );
            if matches!(repeat, Repeat::AfterRun) {
                response.push_str(REFUSAL);
            }
            stream.write_all(response.as_bytes())?;
        }
    }
}

fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn field(head: &str, name: &str) -> String {
    let value = head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    });
    value.unwrap_or_default()
}

/// Starts a site whose plain service is made up of faulty targets.
fn start(repeat: Repeat, gateways: usize) -> (Site, Vec<FaultyTarget>) {
    let site = Site::start(3, 0, gateways);
    let targets: Vec<_> = (0..3).map(|_| FaultyTarget::start(repeat)).collect();
    for (index, target) in targets.iter().enumerate() {
        let entry = json!({
            "Service": "ledger", "Address": target.address, "Zone": "dc-1", "Version": "v1",
            "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": 1,
        });
        let key = format!("servers/faulty-{index}");
        site.store.put(&key, &entry.to_string());
    }
    site.wait_for_targets(6, 0);
    (site, targets)
}

/// Sends requests through the first gateway, and checks that each response is its own and true.
fn check(site: &Site, targets: &[FaultyTarget], name: &str) {
    let address = site.gateways[0].clients;
    let mut served = 0;
    for index in 0..REQUESTS {
        let attempt = format!("{name}-{index}");
        let path = [SAFE_PATH, UNSAFE_PATH][index % 2];
        let response = send(address, &Method::POST, path, &[("x-attempt-id", &attempt)]);
        let response = read_to_end(response.expect("the gateway responds"));
        let runs = targets.iter().map(|target| {
            let runs = target.runs.lock().unwrap();
            runs.get(&attempt).copied().unwrap_or(0)
        });
        let runs: usize = runs.sum();
        match response.status {
            StatusCode::OK => {
                assert_eq!(response.body.as_deref(), Some(&*attempt), "{name}");
                assert_eq!(runs, 1, "{attempt}");
                served += 1;
            }
            StatusCode::SERVICE_UNAVAILABLE => assert_eq!(runs, 0, "{attempt} has run"),
            status => panic!("{attempt}: {status}"),
        }
    }
    assert!(served >= REQUESTS / 4, "{name}: {served} served");
    // A connection that is used again needs an answer to what else stands on it.
    for target in targets {
        assert_eq!(target.reused.load(Ordering::Relaxed), 0, "{name}");
    }
}

#[test]
fn a_refusal_that_a_target_repeats_is_no_response_to_another_request() {
    for repeat in [
        Repeat::AtOnce,
        Repeat::Later,
        Repeat::BeforeBody,
        Repeat::AfterRun,
    ] {
        let (site, targets) = start(repeat, 1);
        check(&site, &targets, &format!("{repeat:?}"));
    }
}

/// The same on connections that a peer opens for a VM without a path to the targets.
#[test]
fn a_refusal_that_a_target_repeats_through_a_tunnel_is_no_response_to_another_request() {
    for repeat in [Repeat::AtOnce, Repeat::BeforeBody, Repeat::AfterRun] {
        let (site, targets) = start(repeat, 3);
        site.wait_for_peers();
        site.cut(&[0], Kind::Reset);
        for target in &targets {
            *target.cut.lock().unwrap() = Some(site.gateways[0].clients.ip());
        }
        let probe = || {
            let response = send(site.gateways[0].clients, &Method::GET, SAFE_PATH, &[]);
            drop(response.map(read_to_end));
            site.metric(0, "isolated") == 1
        };
        wait_until("the gateway finds out that it is cut off", probe);
        check(&site, &targets, &format!("{repeat:?}"));
    }
}
