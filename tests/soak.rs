//! A randomized soak test of gateways as real processes under external faults and planned work. It
//! checks the delivery guarantees against what clients and targets observed.
//!
//! Seeds that are even see planned work only: signals, changed settings and configurations, targets
//! that leave with notice, cordons, and hosts that are slow for a moment. There, no request that a
//! gateway has read may be cut. In seeds 7, 15 and so on, clients send requests on which services crash
//! all the while. In seeds 5, 13 and so on, the only faults are targets that lose their answers or deny
//! that they ran a request, so that no other fault excuses a run at two engines.
//!
//! `SOAK_SEEDS=1-50 SOAK_SECONDS=6 cargo test -p mastictrail-cli --test soak` runs other seeds;
//! seeds that have failed are kept in [`REGRESSIONS`].

mod support;

use {
    fakes::{
        proxy,
        site::{
            Flooder, Network, Target,
            flood::Flood,
            store::Mode,
            target::{Behaviour, Break, Copies, Framing, ReceivedRequest, Run},
        },
    },
    http_body_util::{BodyExt as _, Full},
    hyper::{Method, Request, StatusCode, client::conn::http1, header::CONNECTION},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    serde_json::{Value, json},
    smol_hyper::rt::FuturesIo,
    std::{
        collections::{HashMap, HashSet},
        io::{BufRead as _, BufReader, Write as _},
        net::{SocketAddr, TcpStream},
        sync::{
            Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    support::{
        process::{Process, free_address},
        site::{
            API_KEY, HOST, RESUMABLE_PATH, Response, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH,
            add_routes, event_stream, read_to_end, send,
        },
        wait_until,
    },
};

/// Seeds that have failed, each with the cause.
const REGRESSIONS: [u64; 0] = [];
/// Seeds that are run unless `SOAK_SEEDS` is set.
const DEFAULT_SEEDS: [u64; 4] = [1, 2, 3, 5];
/// Seconds of fault injection per seed unless `SOAK_SECONDS` is set.
const DEFAULT_SECONDS: u64 = 4;
const ENGINES: usize = 4;
const SERVICES: usize = 2;
/// Number of gateways by the seed.
const GATEWAYS: [usize; 5] = [3, 2, 4, 2, 8];
const CLIENTS: usize = 10;
/// Data centre of each endpoint: two engines and a service in each.
const DATA_CENTRES: [&str; ENGINES + SERVICES] = ["dc-1", "dc-1", "dc-2", "dc-2", "dc-1", "dc-2"];
/// Names of another writer's entries in the list of targets; some end a page of it.
const ODD_NAMES: [&str; 4] = ["e-0&x", "e-2-0#x", "f 1%+", "s-4-0?x=1"];
/// Events of every complete stream.
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Releases of the engines; each event names that of its engine.
const RELEASES: [&str; 2] = ["v1", "v2"];
/// Time until a service's response or an engine's first event.
const DELAYS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(300)];
const FRAMINGS: [Framing; 3] = [Framing::Chunks, Framing::Length, Framing::Close];

/// Idle timeouts of the published versions.
const IDLE_TIMEOUTS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(15),
];
/// Idle timeout of the first version.
const FIRST_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a version is in force at all VMs.
const PUBLISH_WINDOW: Duration = Duration::from_secs(12);
/// Route timeouts of the published versions.
const ROUTE_TIMEOUTS: [Duration; 3] = [
    MIN_ROUTE_TIMEOUT,
    Duration::from_secs(8),
    Duration::from_secs(20),
];
/// A request that takes as long may be given up.
const MIN_ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Numbers of routes that are added to published versions; the most is nearly 1 MiB.
const MORE_ROUTES: [usize; 4] = [0, 0, 1_400, 4_200];
/// Bytes per second of the links over which the VMs send each other their configuration.
const LINK_RATE: f64 = 1_250_000.0;
/// Number of threads that inject faults or do planned work.
const INJECTORS: u64 = 4;
/// The one of them that makes targets lose their answers, unless a seed has planned work only.
const LOSS_INJECTOR: u64 = 3;
/// Time after its publication by which a version is in force once all faults are over.
const APPLY_BOUND: Duration = Duration::from_secs(3);
/// Grace periods of the settings, in seconds.
const GRACES: [u64; 3] = [4, 5, 6];
/// Time after SIGTERM within which a process must have exited: the longest grace period and a margin.
const MAX_STOP: Duration = Duration::from_millis(7_500);
/// Time before a target leaves at which the store says so.
const NOTICE: Duration = Duration::from_secs(2);
/// Time around a fault in which a request may be cut.
const FAULT_MARGIN: Duration = Duration::from_secs(2);

/// Time for which an engine works on a run whose answer it has lost, unless it is told to stop.
const LINGER: Duration = Duration::from_secs(4);
/// Time for which a request waits in an engine's queue.
const QUEUE_DELAY: Duration = Duration::from_millis(300);
/// Time for which an engine may work on a run that goes on at another one.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Statuses that promise that a request did not run.
const PROMISES: [u16; 3] = [408, 429, 503];

/// Part of a prompt on which every engine crashes.
const BAD_PART: &str = "bad0";
/// Body of a non-idempotent request on which every service crashes.
const BAD_BODY: &str = "the bad body";
/// Number of crashes after which such requests may reach few services.
const KNOWN_REQUEST_CRASHES: usize = 3;
/// Number of crashes after which requests with such a part may reach few engines.
const KNOWN_CRASHES: usize = 5;
/// Number of requests with a part on which engines crash that may reach engines nevertheless.
const MAX_LATE_REQUESTS: usize = 3;
/// Time after which all VMs know what one of them was told or has seen.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time after its key is written from which a cordoned data centre gets no request.
const CORDON_BOUND: Duration = Duration::from_secs(5);
/// Time for which targets that come back cold stay so.
const COLD_START: Duration = Duration::from_secs(4);
/// Requests per second that a cold target takes; all VMs together may send 1.5 times that and 5.
const COLD_RATE: f64 = 1.0;
/// Time for which the host of an engine is slow.
const SLOW_TIME: Duration = Duration::from_millis(600);
/// Time that work takes on such a host, in percent of the normal.
const SLOW_PACE: u32 = 250;
/// Time over which requests to a target with a limit are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Requests per second that a target in need names.
const LIMIT: f64 = 2.0;
/// Memory of a small VM.
const MAX_MEMORY_BYTES: u64 = 96 << 20;

/// A proxied address, behind which one target at a time runs; each replacement has a new name.
struct Endpoint {
    index: usize,
    name: String,
    service: &'static str,
    target: Mutex<Target>,
    proxied: SocketAddr,
    generation: AtomicU64,
    /// Whether the target names a limit.
    is_limited: AtomicBool,
    /// Time that work takes in percent; 0 until the target reports it.
    pace: AtomicU32,
    /// When the current target is warm.
    warm_at: Mutex<Instant>,
}

impl Endpoint {
    fn generation(&self) -> usize {
        self.generation.load(Ordering::Relaxed) as usize
    }

    /// Returns the release of the current target; a replacement runs another one.
    fn release(&self) -> &'static str {
        RELEASES[(self.index + self.generation()) % RELEASES.len()]
    }

    /// Returns the behaviour of the current target without faults.
    fn behaviour(&self) -> Behaviour {
        let mut notices = if self.is_limited.load(Ordering::Relaxed) {
            vec![("server-limit", LIMIT.to_string())]
        } else {
            Vec::new()
        };
        let pace = self.pace.load(Ordering::Relaxed);
        if pace != 0 {
            notices.push(("x-server-load", format!("1,0,8,{pace}")));
        }
        let factor = f64::from(pace.max(100)) / 100.0;
        Behaviour {
            notices,
            event_interval: EVENT_INTERVAL.mul_f64(factor),
            events: EVENTS,
            mark: format!(" {}", self.release()).into(),
            framing: FRAMINGS[(self.index + self.generation()) % FRAMINGS.len()],
            crashes_on: Some(BAD_PART.into()),
            crashes_on_request: Some((UNSAFE_PATH.into(), BAD_BODY.into())),
            delay: DELAYS[self.index % DELAYS.len()].mul_f64(factor),
            recovery: Duration::from_secs(1),
            ..Behaviour::default()
        }
    }

    /// Makes a target break off its responses for a time.
    fn break_responses(&self, duration: Duration, random: &mut SmallRng) {
        // A service's response without a length ends like one whose connection is closed.
        let kinds = if self.service == "ledger" {
            &[Break::Reset][..]
        } else {
            &[Break::Close, Break::Reset, Break::End]
        };
        let break_kind = *kinds.choose(random).expect("the list is not empty");
        let behaviour = Behaviour {
            break_after: Some(random.random_range(0..EVENTS - 1)),
            break_kind,
            ..self.behaviour()
        };
        self.behave(behaviour, duration);
    }
}

/// A way in which an answer is lost while its engine works on.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The connection ends.
    Broken(Break),
    /// The connection falls silent; new ones work.
    Silent,
    /// The connection ends before the answer begins.
    Unanswered,
    /// The same, while the request waits in the engine's queue.
    Queued,
}

impl Endpoint {
    /// Makes an engine lose its answers for a time.
    fn lose_answers(&self, duration: Duration, random: &mut SmallRng) {
        let losses = [
            Loss::Broken(Break::Close),
            Loss::Broken(Break::Reset),
            Loss::Broken(Break::End),
            Loss::Silent,
            Loss::Unanswered,
            Loss::Queued,
        ];
        let loss = *losses.choose(random).expect("the list is not empty");
        let last_id = random.random_range(0..EVENTS - 1);
        let mut behaviour = Behaviour {
            linger: LINGER,
            ..self.behaviour()
        };
        match loss {
            Loss::Broken(kind) => {
                behaviour.break_after = Some(last_id);
                behaviour.break_kind = kind;
            }
            Loss::Silent => behaviour.silent_after = Some(last_id),
            Loss::Unanswered => behaviour.drops_response = true,
            Loss::Queued => {
                behaviour.drops_response = true;
                behaviour.queue_delay = QUEUE_DELAY;
            }
        }
        self.behave(behaviour, duration);
    }

    /// Makes a service run its requests and fail them with a status that denies that.
    fn deny_runs(&self, duration: Duration, random: &mut SmallRng) {
        let status = *PROMISES.choose(random).expect("the list is not empty");
        let behaviour = Behaviour {
            status,
            ..self.behaviour()
        };
        self.behave(behaviour, duration);
    }

    /// Sets the behaviour of the target for a time.
    fn behave(&self, behaviour: Behaviour, duration: Duration) {
        lock(&self.target).set_behaviour(behaviour);
        thread::sleep(duration);
        lock(&self.target).set_behaviour(self.behaviour());
    }
}

/// A connection that is kept for several requests.
struct Connection {
    sender: http1::SendRequest<Full<bytes::Bytes>>,
    /// End of its last response.
    last: Option<Instant>,
    _driver: smol::Task<()>,
}

impl Connection {
    /// Opens a connection to a gateway.
    fn open(address: SocketAddr) -> Option<Self> {
        smol::block_on(async {
            let stream = smol::net::TcpStream::connect(address).await.ok()?;
            let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
            let driver = smol::spawn(async move {
                let _ = connection.await;
            });
            Some(Self {
                sender,
                last: None,
                _driver: driver,
            })
        })
    }

    /// Returns whether the gateway has closed the connection.
    fn is_closed(&mut self) -> bool {
        smol::block_on(self.sender.ready()).is_err()
    }

    /// Sends a request and reads its response, or returns `None` if there is none.
    fn send(
        &mut self,
        (method, path, body): (&Method, &str, &'static str),
        headers: &[(&str, &str)],
    ) -> Option<Response> {
        let request = Request::builder().method(method).uri(path);
        let request = headers.iter().fold(request, |request, (name, value)| {
            request.header(*name, *value)
        });
        let request = request
            .header("host", HOST)
            .header("authorization", format!("Token {API_KEY}"))
            .body(Full::new(bytes::Bytes::from_static(body.as_bytes())))
            .expect("the request is valid");
        smol::block_on(async {
            let response = self.sender.send_request(request).await.ok()?;
            let (head, mut body) = response.into_parts();
            let mut received = Vec::new();
            let mut is_complete = true;
            while let Some(frame) = body.frame().await {
                match frame.map(hyper::body::Frame::into_data) {
                    Ok(Ok(data)) => received.extend_from_slice(&data),
                    Ok(Err(_)) => {}
                    Err(_) => {
                        is_complete = false;
                        break;
                    }
                }
            }
            let received = String::from_utf8_lossy(&received).into_owned();
            self.last = Some(Instant::now());
            Some(Response {
                status: head.status,
                headers: head.headers,
                body: is_complete.then(|| received.clone()),
                received,
                longest_pause: Duration::ZERO,
            })
        })
    }
}

/// A request that got no complete response, or a kept connection that was closed.
#[derive(Debug)]
struct Cut {
    attempt: String,
    path: &'static str,
    vm: usize,
    begun: Instant,
    ended: Instant,
    /// Whether the request was sent on this connection.
    is_sent: bool,
    /// Status of the response that was cut.
    status: Option<StatusCode>,
    /// When the connection's last response ended, if it had one.
    idle_since: Option<Instant>,
}

/// Attempt id, path, begin and end, and response of a request that got one.
type Answer = (String, &'static str, [Instant; 2], Response);

/// A running site with the clients and faults of one seed.
struct Soak {
    site: Mutex<Site>,
    endpoints: Vec<Endpoint>,
    /// Replaced targets, kept for the requests that they have received.
    replaced: Mutex<Vec<Target>>,
    proxy_control: Mutex<BufReader<TcpStream>>,
    /// Addresses on which the gateways accept clients.
    client_addresses: Vec<SocketAddr>,
    /// The last published version of the configuration.
    version: AtomicU64,
    is_finished: AtomicBool,
    /// Number of faults for which clients send prompts on which engines crash.
    sends_bad_prompts: AtomicU64,
    /// Number of faults for which clients send requests on which services crash.
    sends_bad_requests: AtomicU64,
    /// When a VM was killed, stopped within less than its grace period or frozen, or went on after
    /// that.
    vm_faults: Mutex<Vec<(usize, Instant)>>,
    /// When a VM was cut off from targets, reached them again, or was started as planned.
    vm_changes: Mutex<Vec<(usize, Instant)>>,
    /// Faults of the links to targets: name of the endpoint, begin and end.
    link_faults: Mutex<Vec<(String, Instant, Instant)>>,
    /// Faults of the store and of the link to it: begin and end.
    store_faults: Mutex<Vec<(Instant, Instant)>>,
    /// Cordons: data centre, when the key was written and when it was deleted. Locked while there is
    /// one, so that the other data centre serves.
    cordons: Mutex<Vec<(&'static str, Instant, Instant)>>,
    /// Replacements: name of the new target, begin, start, and when it is warm.
    replacements: Mutex<Vec<(String, Instant, Instant, Instant)>>,
    /// Held while a VM is killed, stopped, frozen or reloaded.
    vm_locks: Vec<Mutex<()>>,
    /// The settings with which the VMs began.
    settings: Vec<String>,
    /// Faults that are not planned work: begin and end.
    unplanned: Mutex<Vec<(Instant, Instant)>>,
    /// Planned stops: VM, begin, and end of the process.
    stops: Mutex<Vec<(usize, Instant, Instant)>>,
    /// Idle timeouts and when they were published.
    idle_timeouts: Mutex<Vec<(Instant, Duration)>>,
    cuts: Mutex<Vec<Cut>>,
    /// Processes that did not exit as they should.
    bad_exits: Mutex<Vec<String>>,
    reloads: AtomicU64,
    /// Number of requests sent on connections that were used before.
    kept: AtomicU64,
    /// Instances that named a limit, and for which time.
    limits: Mutex<Vec<(Box<str>, Instant, Instant)>>,
    floods: AtomicU64,
    /// Number of times at which a target lost its answers or denied its runs.
    lost_answers: AtomicU64,
    responses: Mutex<Vec<Answer>>,
}

impl Soak {
    fn start(gateways: usize) -> Self {
        let control = free_address();
        smol::spawn(async move {
            let listener = smol::net::TcpListener::bind(control).await?;
            proxy::serve(listener, proxy::Settings::default()).await
        })
        .detach();
        wait_until("the proxy listens", || TcpStream::connect(control).is_ok());
        let stream = TcpStream::connect(control).expect("the proxy listens");
        let mut soak = Self {
            site: Mutex::new(Site::new()),
            endpoints: Vec::new(),
            replaced: Mutex::default(),
            proxy_control: Mutex::new(BufReader::new(stream)),
            client_addresses: Vec::new(),
            version: AtomicU64::new(1),
            is_finished: AtomicBool::new(false),
            sends_bad_prompts: AtomicU64::new(0),
            sends_bad_requests: AtomicU64::new(0),
            vm_faults: Mutex::default(),
            vm_changes: Mutex::default(),
            link_faults: Mutex::default(),
            store_faults: Mutex::default(),
            cordons: Mutex::default(),
            replacements: Mutex::default(),
            vm_locks: (0..gateways).map(|_| Mutex::default()).collect(),
            settings: Vec::new(),
            unplanned: Mutex::default(),
            stops: Mutex::default(),
            idle_timeouts: Mutex::new(vec![(Instant::now(), FIRST_IDLE_TIMEOUT)]),
            cuts: Mutex::default(),
            bad_exits: Mutex::default(),
            reloads: AtomicU64::new(0),
            kept: AtomicU64::new(0),
            limits: Mutex::default(),
            floods: AtomicU64::new(0),
            lost_answers: AtomicU64::new(0),
            responses: Mutex::default(),
        };
        for index in 0..ENGINES + SERVICES {
            let (kind, service) = if index < ENGINES {
                ("e", "engines")
            } else {
                ("s", "ledger")
            };
            soak.add_endpoint(index, &format!("{kind}-{index}"), service);
        }
        let store = free_address();
        let mut site = lock(&soak.site);
        site.publish(1, add_cold_starts);
        for name in ODD_NAMES {
            site.store.put(&format!("servers/{name}"), "{}");
        }
        site.data_centres = vec!["dc-1", "dc-2"];
        site.settings = format!(
            "cordon = {}s\nprobation = 3s\n\n[limits]\nkept_places = 256\n",
            CORDON_BOUND.as_secs()
        );
        soak.proxy_command(&format!("tcp store {store} {}", site.store.address));
        let network = Network::default();
        site.network = Some(network.clone());
        site.start_gateways(gateways, store);
        let settings = site.gateways.iter().map(|gateway| {
            std::fs::read_to_string(&gateway.settings).expect("the settings are there")
        });
        soak.settings = settings.collect();
        for gateway in &site.gateways {
            network.set_rate(gateway.clients.ip(), LINK_RATE);
        }
        let addresses = site.gateways.iter().map(|gateway| gateway.clients);
        soak.client_addresses = addresses.collect();
        drop(site);
        soak.wait_for_service();
        soak
    }

    fn add_endpoint(&mut self, index: usize, name: &str, service: &'static str) {
        let proxied = free_address();
        let site = lock(&self.site);
        let (first, is_engine) = (format!("{name}-0"), service == "engines");
        let target = Target::start(free_address(), &first, is_engine, &site.copies);
        let target = target.expect("the address is free");
        drop(site);
        self.proxy_command(&format!("tcp {name} {proxied} {}", target.address));
        let endpoint = Endpoint {
            index,
            name: name.to_owned(),
            service,
            target: Mutex::new(target),
            proxied,
            generation: AtomicU64::new(0),
            is_limited: AtomicBool::new(false),
            pace: AtomicU32::new(0),
            warm_at: Mutex::new(Instant::now()),
        };
        self.register(&endpoint, "ready");
        self.endpoints.push(endpoint);
    }

    /// Resets the behaviour of an endpoint's target, and writes its entry, with the proxied address,
    /// to the store.
    fn register(&self, endpoint: &Endpoint, state: &str) {
        let site = lock(&self.site);
        let target = lock(&endpoint.target);
        target.advertise(endpoint.proxied);
        target.set_behaviour(endpoint.behaviour());
        let warm_at = *lock(&endpoint.warm_at);
        let cold = warm_at.saturating_duration_since(Instant::now());
        let entry = json!({
            "Service": endpoint.service, "Address": endpoint.proxied, "State": state,
            "Zone": DATA_CENTRES[endpoint.index], "Version": endpoint.release(), "Slots": 8,
            "ColdRemainingMs": cold.as_millis() as u64, "Sequence": 1, "born": 1,
        });
        let key = format!("servers/{}", target.instance);
        site.store.put(&key, &entry.to_string());
    }

    /// Sends a command to the fault proxy.
    fn proxy_command(&self, command: &str) {
        let mut control = lock(&self.proxy_control);
        writeln!(control.get_mut(), "{command}").expect("the proxy runs");
        let mut reply = String::new();
        control.read_line(&mut reply).expect("the proxy replies");
        assert!(reply.starts_with("ok"), "{command}: {reply}");
    }

    /// Crashes a target and starts another one in its place, which may be cold; its entry in the store
    /// is marked as draining for the time `notice` before.
    fn replace(&self, endpoint: &Endpoint, notice: Option<Duration>, is_cold: bool) {
        let begun = Instant::now();
        if let Some(notice) = notice {
            self.register(endpoint, "draining");
            thread::sleep(notice);
        }
        let instance = lock(&endpoint.target).instance.clone();
        lock(&endpoint.target).crash();
        let generation = endpoint.generation.fetch_add(1, Ordering::Relaxed) + 1;
        let site = lock(&self.site);
        site.store.remove(&format!("servers/{instance}"));
        let address = lock(&endpoint.target).address;
        let name = format!("{}-{generation}", endpoint.name);
        let start = || Target::start(address, &name, endpoint.service == "engines", &site.copies);
        let mut target = None;
        // The previous listener is closed asynchronously by another thread.
        wait_until("the address is free again", || {
            target = start().ok();
            target.is_some()
        });
        let target = target.expect("the target is started");
        drop(site);
        let previous = std::mem::replace(&mut *lock(&endpoint.target), target);
        lock(&self.replaced).push(previous);
        let started = Instant::now();
        let warm_at = started + COLD_START * u32::from(is_cold);
        *lock(&endpoint.warm_at) = warm_at;
        self.register(endpoint, "ready");
        lock(&self.replacements).push((name, begun, started, warm_at));
    }

    /// Injects one random fault and records it as unplanned.
    fn inject(&self, random: &mut SmallRng) {
        let begun = Instant::now();
        self.inject_fault(random);
        lock(&self.unplanned).push((begun, Instant::now()));
    }

    /// Injects one random fault; one that lasts, such as a blocked link, ends after a random time.
    fn inject_fault(&self, random: &mut SmallRng) {
        let duration = Duration::from_millis(random.random_range(100..1_500));
        let endpoint = self.endpoints.choose(random).expect("there are targets");
        let vm = random.random_range(0..self.vm_locks.len());
        let is_service = endpoint.service == "ledger";
        match random.random_range(0..24) {
            23 => self.slow_down(random),
            22 => self.restore_store(duration, random),
            21 => self.restart_watchers(duration, random),
            19.. => self.partition(random),
            18 => self.flood(endpoint.service, duration, random),
            17 if is_service => self.name_limit(endpoint, 4 * duration),
            15.. => {
                let senders = if random.random() {
                    &self.sends_bad_prompts
                } else {
                    &self.sends_bad_requests
                };
                senders.fetch_add(1, Ordering::Relaxed);
                thread::sleep(2 * duration);
                senders.fetch_sub(1, Ordering::Relaxed);
            }
            12.. => endpoint.break_responses(duration, random),
            0 => self.replace(endpoint, Some(Duration::from_millis(400)), random.random()),
            1 => self.replace(endpoint, None, random.random()),
            2 => {
                let Ok(_lock) = self.vm_locks[vm].try_lock() else {
                    return;
                };
                self.record_vm_fault(vm);
                lock(&self.site).restart(vm);
            }
            3 => self.shut_down_and_restart(vm, duration),
            4 => {
                let Ok(_lock) = self.vm_locks[vm].try_lock() else {
                    return;
                };
                self.set_frozen(vm, true);
                thread::sleep(duration);
                self.set_frozen(vm, false);
            }
            5 => {
                let mode = if random.random() {
                    Mode::Unavailable
                } else {
                    Mode::Unresponsive
                };
                lock(&self.site).store.set_mode(mode);
                let begun = Instant::now();
                thread::sleep(duration);
                lock(&self.site).store.set_mode(Mode::Normal);
                self.record_store_fault(begun);
            }
            6 => lock(&self.site).store.compact(),
            7 => self.publish(random),
            8 => {
                self.proxy_command(&format!("cut {}", endpoint.name));
                self.record_link_fault(&endpoint.name, Instant::now());
            }
            fault => {
                let name = if random.random_bool(0.2) {
                    "store"
                } else {
                    &*endpoint.name
                };
                let command = match fault {
                    9 => format!("silence {name}"),
                    10 => format!("block {name}"),
                    _ => format!("delay {name} 60"),
                };
                self.proxy_command(&command);
                let begun = Instant::now();
                thread::sleep(duration);
                self.proxy_command(&format!("heal {name}"));
                if name == "store" {
                    self.record_store_fault(begun);
                } else {
                    self.record_link_fault(name, begun);
                }
            }
        }
    }

    /// Makes a target lose its answers, or deny that it ran its requests, for a random time.
    fn inject_lost_answers(&self, random: &mut SmallRng) {
        let begun = Instant::now();
        let duration = Duration::from_millis(random.random_range(100..1_500));
        let endpoint = self.endpoints.choose(random).expect("there are targets");
        if endpoint.service == "ledger" {
            endpoint.deny_runs(duration, random);
        } else {
            endpoint.lose_answers(duration, random);
        }
        self.lost_answers.fetch_add(1, Ordering::Relaxed);
        lock(&self.unplanned).push((begun, Instant::now()));
    }

    /// Restores the store from a backup that is `age` old; what is missing is written again soon.
    fn restore_store(&self, age: Duration, random: &mut SmallRng) {
        let backup = lock(&self.site).store.backup();
        thread::sleep(age);
        lock(&self.site).store.set_mode(Mode::Unavailable);
        let begun = Instant::now();
        thread::sleep(Duration::from_millis(random.random_range(0..500)));
        let site = lock(&self.site);
        let written = site.store.backup();
        site.store.restore(backup);
        thread::sleep(Duration::from_millis(random.random_range(0..300)));
        site.store.write_again(&written);
        self.record_store_fault(begun);
    }

    /// Kills all gateways that watch the store, or lets them stand still, and changes the
    /// configuration meanwhile.
    fn restart_watchers(&self, duration: Duration, random: &mut SmallRng) {
        let watchers: Vec<_> = {
            let site = lock(&self.site);
            let vms = 0..site.gateways.len();
            vms.filter(|&vm| site.metric(vm, "store_watching") == 1)
                .collect()
        };
        let locked = watchers.into_iter().filter_map(|vm| {
            let lock = self.vm_locks[vm].try_lock().ok()?;
            Some((vm, lock))
        });
        let locked: Vec<_> = locked.collect();
        if random.random() {
            for (vm, _) in &locked {
                self.set_frozen(*vm, true);
            }
            self.publish(random);
            thread::sleep(duration);
            for (vm, _) in &locked {
                self.set_frozen(*vm, false);
            }
            return;
        }
        for (vm, _) in &locked {
            self.record_vm_fault(*vm);
            self.with_process(*vm, Process::kill);
        }
        self.publish(random);
        thread::sleep(duration);
        for (vm, _) in &locked {
            self.record_vm_fault(*vm);
            lock(&self.site).restart(*vm);
        }
    }

    /// Partitions some gateways from all targets, in one of the ways that the proxy has.
    fn partition(&self, random: &mut SmallRng) {
        let duration = Duration::from_millis(random.random_range(500..5_000));
        let command = *["refuse", "close", "block"]
            .choose(random)
            .expect("the list is not empty");
        let count = random.random_range(1..=self.client_addresses.len());
        let vms = self.client_addresses.choose_multiple(random, count);
        let vms: Vec<_> = vms.map(SocketAddr::ip).collect();
        let record = || {
            let mut changes = lock(&self.vm_changes);
            let addresses = self.client_addresses.iter().enumerate();
            let cut = addresses.filter(|(_, address)| vms.contains(&address.ip()));
            changes.extend(cut.map(|(vm, _)| (vm, Instant::now())));
        };
        let change = |command: &str| {
            record();
            for endpoint in &self.endpoints {
                for vm in &vms {
                    self.proxy_command(&format!("{command} {} from {vm}", endpoint.name));
                }
            }
        };
        change(command);
        thread::sleep(duration);
        change("heal");
    }

    /// Does planned work at random: signals and changes come in series and overlap.
    fn do_planned_work(&self, random: &mut SmallRng) {
        let vm = random.random_range(0..self.vm_locks.len());
        match random.random_range(0..10) {
            9 => self.cordon(random),
            8 => self.slow_down(random),
            0..3 => self.stop_and_restart(vm, random),
            3 => {
                let endpoint = self.endpoints.choose(random).expect("there are targets");
                self.replace(endpoint, Some(NOTICE), random.random());
            }
            4 | 5 => {
                for _ in 0..random.random_range(1..5) {
                    self.reload(vm, random);
                    thread::sleep(Duration::from_millis(random.random_range(0..120)));
                }
            }
            _ => {
                for _ in 0..random.random_range(1..5) {
                    self.publish(random);
                    thread::sleep(Duration::from_millis(random.random_range(0..120)));
                }
            }
        }
    }

    /// Cordons a data centre for a time that is longer than the bound.
    fn cordon(&self, random: &mut SmallRng) {
        let Ok(mut cordons) = self.cordons.try_lock() else {
            return;
        };
        let name = *DATA_CENTRES.choose(random).expect("the list is not empty");
        let key = format!("op/evacuate/{name}");
        lock(&self.site).store.put(&key, "{}");
        let written = Instant::now();
        thread::sleep(CORDON_BOUND + Duration::from_millis(random.random_range(1_000..4_000)));
        let deleted = Instant::now();
        lock(&self.site).store.remove(&key);
        cordons.push((name, written, deleted));
    }

    /// Slows down the host of an engine for a moment; the engine reports its pace from then on.
    fn slow_down(&self, random: &mut SmallRng) {
        let endpoint = self.endpoints[..ENGINES].choose(random);
        let endpoint = endpoint.expect("there are engines");
        for (pace, time) in [(SLOW_PACE, SLOW_TIME), (100, Duration::ZERO)] {
            endpoint.pace.store(pace, Ordering::Relaxed);
            lock(&endpoint.target).set_behaviour(endpoint.behaviour());
            thread::sleep(time);
        }
    }

    /// Publishes a version with other timeouts.
    fn publish(&self, random: &mut SmallRng) {
        let mut choose =
            |timeouts: &[Duration]| *timeouts.choose(random).expect("the list is not empty");
        let idle_timeout = choose(&IDLE_TIMEOUTS);
        let timeouts: Vec<_> = (0..4).map(|_| choose(&ROUTE_TIMEOUTS)).collect();
        let more = *MORE_ROUTES.choose(random).expect("the list is not empty");
        let site = lock(&self.site);
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        lock(&self.idle_timeouts).push((Instant::now(), idle_timeout));
        site.publish(version, |document| {
            document["Limits"]["IdleTimeoutMs"] = (idle_timeout.as_millis() as u64).into();
            for (index, timeout) in timeouts.iter().enumerate() {
                document["Routes"][index]["TimeoutMs"] = (timeout.as_millis() as u64).into();
            }
            add_routes(document, more);
            add_cold_starts(document);
        });
    }

    /// Checks that one more large version is in force everywhere in time.
    fn check_configuration(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        self.publish(&mut random);
        let site = lock(&self.site);
        let version = self.version.fetch_add(1, Ordering::Relaxed) as usize + 1;
        site.publish(version as u64, |document| {
            add_routes(document, MORE_ROUTES[3]);
            add_cold_starts(document);
        });
        let published = Instant::now();
        wait_until("the last version is in force", || {
            let mut gateways = 0..site.gateways.len();
            gateways.all(|index| site.metric(index, "configuration_version") == version)
        });
        let lag = published.elapsed();
        assert!(lag <= APPLY_BOUND, "seed {seed}: in force after {lag:?}");
    }

    /// Writes other settings for a gateway, or a file with a fault; the next start finds a valid one.
    fn write_settings(&self, vm: usize, random: &mut SmallRng) {
        let grace = GRACES.choose(random).expect("the list is not empty");
        let extra = random.random_range(10..40);
        let text = self.settings[vm]
            .replace("grace = 6s", &format!("grace = {grace}s"))
            .replace("retry_extra = 20", &format!("retry_extra = {extra}"));
        let site = lock(&self.site);
        let path = &site.gateways[vm].settings;
        let new_path = path.with_extension("new");
        std::fs::write(&new_path, text).expect("the settings are written");
        std::fs::rename(&new_path, path).expect("the settings are replaced");
    }

    /// Changes the settings of a gateway and sends it SIGHUP, unless it is starting or ending.
    fn reload(&self, vm: usize, random: &mut SmallRng) {
        let Ok(_lock) = self.vm_locks[vm].try_lock() else {
            return;
        };
        if self.is_vm_ready(vm) {
            self.write_settings(vm, random);
            lock(&self.site).gateways[vm].process.hang_up();
            self.reloads.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn is_vm_ready(&self, vm: usize) -> bool {
        let address = lock(&self.site).gateways[vm].readiness;
        let response = send(address, &Method::GET, "/v1/readyz", &[]);
        response.is_ok_and(|response| response.status == StatusCode::OK)
    }

    /// Stops a gateway by SIGTERM, and starts it again when it has exited.
    ///
    /// Further signals may come while it drains.
    fn stop_and_restart(&self, vm: usize, random: &mut SmallRng) {
        let Ok(_lock) = self.vm_locks[vm].try_lock() else {
            return;
        };
        if !self.is_vm_ready(vm) {
            return;
        }
        let begun = Instant::now();
        self.with_process(vm, |process| process.terminate());
        let mut status = None;
        while status.is_none() && begun.elapsed() < MAX_STOP {
            let is_signalled = random.random_bool(0.02);
            if is_signalled {
                self.write_settings(vm, random);
            }
            status = self.with_process(vm, |process| {
                let status = process.exit_status();
                if status.is_none() && is_signalled {
                    if random.random() {
                        process.hang_up();
                    } else {
                        process.terminate();
                    }
                }
                status
            });
            thread::sleep(Duration::from_millis(20));
        }
        if !status.is_some_and(|status| status.success()) {
            lock(&self.bad_exits).push(format!(
                "gateway {vm}: {status:?} after {:?}",
                begun.elapsed()
            ));
        }
        lock(&self.stops).push((vm, begun, Instant::now()));
        lock(&self.site).restart(vm);
        lock(&self.vm_changes).push((vm, Instant::now()));
        wait_until("the gateway is ready again", || self.is_vm_ready(vm));
    }

    fn with_process<T>(&self, vm: usize, act: impl FnOnce(&mut Process) -> T) -> T {
        act(&mut lock(&self.site).gateways[vm].process)
    }

    fn record_vm_fault(&self, vm: usize) {
        lock(&self.vm_faults).push((vm, Instant::now()));
    }

    fn record_link_fault(&self, endpoint: &str, begun: Instant) {
        let fault = (endpoint.to_owned(), begun, Instant::now());
        lock(&self.link_faults).push(fault);
    }

    fn record_store_fault(&self, begun: Instant) {
        lock(&self.store_faults).push((begun, Instant::now()));
    }

    /// Lists a target that answers without end.
    fn flood(&self, service: &'static str, duration: Duration, random: &mut SmallRng) {
        let flood = *Flood::ALL.choose(random).expect("the list is not empty");
        let flooder = Flooder::start(free_address(), flood).expect("the address is free");
        let name = format!("f-{}", self.floods.fetch_add(1, Ordering::Relaxed));
        let is_engine = service == "engines";
        let entry = Target::start(free_address(), &name, is_engine, &Copies::default());
        let entry = entry.expect("the address is free");
        let address = flooder.address;
        lock(&self.site).put_entry(&entry, address, service, "dc-1", "ready", "v1");
        thread::sleep(duration);
        lock(&self.site).store.remove(&format!("servers/{name}"));
    }

    /// Makes a target name a limit for a time, whatever happens to it meanwhile.
    fn name_limit(&self, endpoint: &Endpoint, duration: Duration) {
        if endpoint.is_limited.swap(true, Ordering::Relaxed) {
            return;
        }
        let begun = Instant::now();
        let instance = {
            let target = lock(&endpoint.target);
            target.set_behaviour(endpoint.behaviour());
            target.instance.clone()
        };
        thread::sleep(duration);
        let target = lock(&endpoint.target);
        lock(&self.limits).push((instance, begun, Instant::now()));
        endpoint.is_limited.store(false, Ordering::Relaxed);
        target.set_behaviour(endpoint.behaviour());
    }

    /// Returns whether no VM was killed, stopped or frozen in a span other than by planned work.
    fn are_vms_calm(&self, from: Instant, to: Instant) -> bool {
        let faults = lock(&self.vm_faults);
        !faults.iter().any(|(_, at)| (from..=to).contains(at))
    }

    /// Returns whether a VM was not killed, started, frozen or cut off from targets shortly before.
    fn is_vm_settled(&self, vm: usize, now: Instant) -> bool {
        [&self.vm_faults, &self.vm_changes].iter().all(|changes| {
            let changes = lock(changes);
            let mut times = changes.iter().filter(|(changed, _)| *changed == vm);
            !times.any(|(_, at)| (*at..*at + STABLE_WINDOW).contains(&now))
        })
    }

    /// Asserts that no engine works on a run for long that goes on at another one, and returns the number
    /// of runs that were told to stop.
    ///
    /// It doesn't count if the link to the engine, or the VM, had a fault meanwhile or shortly before.
    fn check_handovers(&self, seed: u64) -> usize {
        let mut runs: HashMap<Box<str>, Vec<(Box<str>, Run)>> = HashMap::new();
        self.for_each_target(|target| {
            for run in target.runs() {
                let of_attempt = runs.entry(run.attempt.clone()).or_default();
                of_attempt.push((target.instance.clone(), run));
            }
        });
        let now = Instant::now();
        let link_faults = lock(&self.link_faults);
        let mut stopped = 0;
        for (attempt, mut runs) in runs {
            // Requests of [`Self::wait_for_service`] share their attempt ID.
            let Some(vm) = vm_of(&attempt) else {
                continue;
            };
            runs.sort_by_key(|(_, run)| run.received);
            stopped += runs.iter().filter(|(_, run)| run.is_stopped).count();
            for pair in runs.windows(2) {
                let [(engine, former), (_, next)] = pair else {
                    continue;
                };
                let ended = former.ended.unwrap_or(now);
                let overlap = former.overlap(next);
                let is_link_calm = !link_faults.iter().any(|(name, begun, healed)| {
                    engine.starts_with(&**name)
                        && *begun < ended
                        && next.began < *healed + STABLE_WINDOW
                });
                let is_vm_calm = [&self.vm_faults, &self.vm_changes].iter().all(|changes| {
                    let changes = lock(changes);
                    let mut times = changes.iter().filter(|(changed, _)| *changed == vm);
                    !times.any(|(_, at)| *at < ended && next.began < *at + STABLE_WINDOW)
                });
                assert!(
                    overlap <= MAX_OVERLAP || !is_link_calm || !is_vm_calm,
                    "seed {seed}: two engines at work on {attempt} for {overlap:?}: {runs:?}"
                );
            }
        }
        stopped
    }

    /// Asserts that no request reached a cordoned data centre after the bound, which counts from the
    /// end of the store's last fault if that began later than the key was written.
    fn check_cordons(&self, seed: u64) {
        let store_faults = lock(&self.store_faults);
        let cordons = lock(&self.cordons);
        self.for_each_target(|target| {
            let number = target.instance.split('-').nth(1);
            let index: usize = number.and_then(|text| text.parse().ok()).expect("an index");
            let cordons = cordons
                .iter()
                .filter(|(name, ..)| *name == DATA_CENTRES[index]);
            let requests = &target.received();
            let pairs = cordons.flat_map(|cordon| requests.iter().map(move |one| (cordon, one)));
            for ((name, written, deleted), request) in pairs {
                let known = store_faults
                    .iter()
                    .filter(|(begun, _)| *begun <= request.at);
                let known = known.map(|(_, ended)| *ended).fold(*written, Instant::max);
                // A request of no client may come from any VM.
                let vm = vm_of(&request.attempt);
                let mut vms = vm.map_or(0..self.vm_locks.len(), |vm| vm..vm + 1);
                let is_late = (known + CORDON_BOUND..*deleted).contains(&request.at)
                    && vms.all(|vm| self.is_vm_settled(vm, request.at));
                let (to, after) = (&target.instance, request.at.duration_since(*written));
                assert!(
                    !is_late,
                    "seed {seed}: {request:?} at {to}, {name} cordoned {after:?} before"
                );
            }
        });
    }

    /// Asserts that planned work cuts nothing: a request that a gateway has read gets a complete
    /// response, a kept connection stays open for the idle timeout, and processes exit in time.
    fn check_planned_work(&self, seed: u64) {
        let unplanned = lock(&self.unplanned);
        let is_planned = |from: Instant, to: Instant| {
            !unplanned
                .iter()
                .any(|(begun, ended)| *begun < to + FAULT_MARGIN && from < *ended + FAULT_MARGIN)
        };
        let stops = lock(&self.stops);
        let is_stopping = |vm: usize, from: Instant, to: Instant| {
            let mut stops = stops.iter();
            stops.any(|(stopped, begun, ended)| *stopped == vm && *begun < to && from < *ended)
        };
        let idle_timeouts = lock(&self.idle_timeouts);
        let shortest_idle_timeout = |from: Instant, to: Instant| {
            let published = idle_timeouts.iter().enumerate();
            let in_force = published.filter(|(index, (at, _))| {
                let next = idle_timeouts.get(index + 1);
                *at <= to && next.is_none_or(|(next, _)| *next + PUBLISH_WINDOW > from)
            });
            let timeouts = in_force.map(|(_, (_, timeout))| *timeout);
            timeouts.min().expect("a version is in force")
        };
        let received = self.received_requests().into_iter();
        let received: HashSet<_> = received.map(|request| request.attempt).collect();
        let cuts = lock(&self.cuts);
        let mut failures = Vec::new();
        for cut in cuts.iter() {
            let took = cut.ended - cut.begun;
            if !is_planned(cut.begun, cut.ended) || took >= MIN_ROUTE_TIMEOUT {
                continue;
            }
            let was_read =
                cut.is_sent && (cut.status.is_some() || received.contains(&*cut.attempt));
            let is_early = cut.idle_since.is_some_and(|since| {
                cut.begun - since < shortest_idle_timeout(since, cut.begun)
                    && is_planned(since, cut.begun)
                    && !is_stopping(cut.vm, since, cut.ended)
            });
            if was_read || is_early {
                let stop = stops
                    .iter()
                    .rev()
                    .find(|(vm, begun, _)| *vm == cut.vm && *begun < cut.ended);
                let since_stop =
                    stop.map(|(_, begun, ended)| (cut.begun - *begun, *ended - *begun));
                failures.push(format!(
                    "{} {} at gateway {} {:?} after {took:?}, idle {:?}, sent after SIGTERM, which took {since_stop:?}",
                    cut.attempt, cut.path, cut.vm, cut.status, cut.idle_since.map(|since| cut.begun - since)
                ));
            }
        }
        let replacements = lock(&self.replacements);
        let has_targets = |from: Instant, to: Instant| {
            let mut replacements = replacements.iter();
            !replacements.any(|(_, begun, _, warm)| *begun < to && from < *warm + FAULT_MARGIN)
        };
        let responses = lock(&self.responses);
        for (name, written, deleted) in lock(&self.cordons).iter() {
            let responses = responses.iter();
            let (served, refused): (Vec<_>, Vec<_>) = responses
                .filter(|(_, _, [begun, ended], _)| written <= begun && ended <= deleted)
                .partition(|(.., response)| response.status == StatusCode::OK);
            if served.is_empty() {
                failures.push(format!("no client was served while {name} was cordoned"));
            }
            for (attempt, path, [begun, ended], response) in refused {
                let vm = vm_of(attempt).expect("the attempt names its gateway");
                if is_planned(*begun, *ended)
                    && has_targets(*begun, *ended)
                    && !is_stopping(vm, *begun, *ended)
                    && self.is_vm_settled(vm, *begun)
                {
                    failures.push(format!("{attempt} {path}, {name} cordoned: {response:?}"));
                }
            }
        }
        let exits = lock(&self.bad_exits);
        failures.extend(exits.iter().cloned());
        assert!(
            failures.is_empty(),
            "seed {seed}: {} cut by planned work: {failures:#?}",
            failures.len()
        );
    }

    /// Returns when engines, or else services, crashed on a request, in order.
    fn bad_crashes(&self, are_engines: bool) -> Vec<Instant> {
        let mut crashes = Vec::new();
        self.for_each_target(|target| {
            if target.instance.starts_with('e') == are_engines {
                crashes.extend(target.bad_crashes());
            }
        });
        crashes.sort_unstable();
        crashes
    }

    /// Asserts what holds for all VMs together: prompts on which engines crash, limits of targets,
    /// and the memory that floods take.
    fn check_fleet(&self, seed: u64) {
        let received = self.received_requests();
        for (are_engines, count) in [(true, KNOWN_CRASHES), (false, KNOWN_REQUEST_CRASHES)] {
            let crashes = self.bad_crashes(are_engines);
            let Some(known) = crashes.get(count - 1) else {
                continue;
            };
            let late = received.iter().filter(|request| {
                request.at > *known + STABLE_WINDOW
                    && is_bad(request, are_engines)
                    && self.are_vms_calm(crashes[0], request.at)
            });
            let late = late.count();
            assert!(
                late <= MAX_LATE_REQUESTS,
                "seed {seed}: {late} late bad requests, to engines: {are_engines}"
            );
        }
        let (limits, replacements) = (lock(&self.limits), lock(&self.replacements));
        let limits = limits.iter().map(|(instance, from, to)| {
            let span = *from + STABLE_WINDOW..*to;
            (&**instance, LIMIT, COUNT_WINDOW, span, Some(*from))
        });
        let colds = replacements.iter().map(|(instance, _, from, to)| {
            let second = Duration::from_secs(1);
            (&**instance, COLD_RATE, second, *from..*to, None)
        });
        for (instance, rate, window, span, calm_from) in limits.chain(colds) {
            let times = received.iter().filter(|request| {
                let name = request.headers.get("x-expect-instance");
                name.is_some_and(|name| name == instance) && span.contains(&request.at)
            });
            let times: Vec<_> = times.map(|request| request.at).collect();
            for start in &times {
                let end = *start + window;
                let count = times.iter().filter(|at| (*start..end).contains(at)).count();
                let allowed = (1.5 * rate * window.as_secs_f64()) as usize + 5;
                assert!(
                    count <= allowed || calm_from.is_some_and(|from| !self.are_vms_calm(from, end)),
                    "seed {seed}: {count} requests to {instance} in {window:?}, {allowed} allowed"
                );
            }
        }
        self.check_cordons(seed);
        let site = lock(&self.site);
        for gateway in &site.gateways {
            let memory = gateway.process.peak_memory();
            assert!(
                memory < MAX_MEMORY_BYTES,
                "seed {seed}: {memory} bytes of memory"
            );
        }
    }

    /// Requests a graceful shutdown, kills the gateway after `duration` and starts it again.
    fn shut_down_and_restart(&self, vm: usize, duration: Duration) {
        let Ok(_lock) = self.vm_locks[vm].try_lock() else {
            return;
        };
        self.record_vm_fault(vm);
        lock(&self.site).gateways[vm].process.terminate();
        thread::sleep(duration);
        self.record_vm_fault(vm);
        lock(&self.site).restart(vm);
    }

    fn set_frozen(&self, vm: usize, is_frozen: bool) {
        self.record_vm_fault(vm);
        let process = &lock(&self.site).gateways[vm].process;
        if is_frozen {
            process.freeze();
        } else {
            process.thaw();
        }
    }

    /// Sends requests of all kinds until the fault injection has ended.
    fn run_client(&self, number: usize, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed ^ (number as u64) << 32);
        let mut count = 0;
        let mut connections: Vec<_> = self.client_addresses.iter().map(|_| None).collect();
        while !self.is_finished.load(Ordering::Relaxed) {
            count += 1;
            let kinds = [
                (&Method::POST, STREAM_PATH),
                (&Method::POST, RESUMABLE_PATH),
                (&Method::POST, UNSAFE_PATH),
                (&Method::GET, SAFE_PATH),
            ];
            // While a service is cold, all requests are plain, which exceeds what it may get.
            let mut services = self.endpoints[ENGINES..].iter();
            let is_cold = services.any(|service| *lock(&service.warm_at) > Instant::now());
            let kinds = &kinds[if is_cold { 2 } else { 0 }..];
            let (method, path) = *kinds.choose(&mut random).expect("the list is not empty");
            let vm = random.random_range(0..self.client_addresses.len());
            let attempt = format!("c{number}-{count}-v{vm}");
            if random.random_bool(0.1) {
                connections[vm] = None;
            }
            let is_bad =
                self.sends_bad_prompts.load(Ordering::Relaxed) > 0 && random.random_bool(0.3);
            let own_part = if is_bad { BAD_PART } else { "cc" };
            let shared = random.random_range(0..4);
            let prompt = format!("aa:100,{own_part}:50,dd{shared}:20,{number:x}{count:x}:10");
            let headers = [
                ("x-attempt-id", &*attempt),
                ("x-token-usage", "1000,500"),
                ("x-deadline-ms", "8000"),
                ("x-prefix-hash", &*prompt),
            ];
            let is_bad = self.sends_bad_requests.load(Ordering::Relaxed) > 0;
            let body = if path == UNSAFE_PATH && is_bad && random.random_bool(0.3) {
                BAD_BODY
            } else {
                "the body"
            };
            let connection = &mut connections[vm];
            let begun = Instant::now();
            if let Some(mut response) =
                self.exchange(connection, vm, &attempt, (method, path, body), &headers)
            {
                if path == RESUMABLE_PATH && response.body.is_none() {
                    self.resume(&attempt, &mut response, &mut random);
                }
                lock(&self.responses).push((attempt, path, [begun, Instant::now()], response));
            }
            let pause = if random.random_bool(0.05) {
                random.random_range(60..1_500)
            } else {
                random.random_range(1..60)
            };
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends a request on a kept connection, or on a new one if that is closed, and returns its
    /// response.
    fn exchange(
        &self,
        kept: &mut Option<Connection>,
        vm: usize,
        attempt: &str,
        (method, path, body): (&Method, &'static str, &'static str),
        headers: &[(&str, &str)],
    ) -> Option<Response> {
        let cut = |begun, is_sent, status, idle_since| Cut {
            attempt: attempt.to_owned(),
            path,
            vm,
            begun,
            ended: Instant::now(),
            is_sent,
            status,
            idle_since,
        };
        let record = |cut| {
            lock(&self.cuts).push(cut);
        };
        if let Some(connection) = kept
            && connection.is_closed()
        {
            record(cut(Instant::now(), false, None, connection.last));
            *kept = None;
        }
        if kept.is_none() {
            *kept = Connection::open(self.client_addresses[vm]);
        }
        let connection = kept.as_mut()?;
        let idle_since = connection.last;
        if idle_since.is_some() {
            self.kept.fetch_add(1, Ordering::Relaxed);
        }
        let begun = Instant::now();
        let response = connection.send((method, path, body), headers);
        let status = response.as_ref().map(|response| response.status);
        let is_complete = response
            .as_ref()
            .is_some_and(|response| response.body.is_some());
        if !is_complete {
            record(cut(begun, true, status, idle_since));
        }
        let is_last = response.as_ref().is_none_or(|response| {
            let connection = response.headers.get(CONNECTION);
            connection.is_some_and(|value| value == "close")
        });
        if !is_complete || is_last {
            *kept = None;
        }
        response
    }

    /// Resumes a truncated stream at any gateway and appends what it sends.
    fn resume(&self, resumed: &str, response: &mut Response, random: &mut SmallRng) {
        let events = response.received.matches("id: ").count();
        if events == 0 {
            return;
        }
        let vm = random.random_range(0..self.client_addresses.len());
        let headers = [
            ("x-attempt-id", &*format!("{resumed}-r-v{vm}")),
            ("x-token-usage", "1000,500"),
            ("x-deadline-ms", "8000"),
            ("last-event-id", &*(events - 1).to_string()),
            ("resumes", resumed),
        ];
        let rest = send(
            self.client_addresses[vm],
            &Method::POST,
            RESUMABLE_PATH,
            &headers,
        );
        let Ok(rest) = rest.map(read_to_end) else {
            return;
        };
        if rest.status == StatusCode::OK {
            response.received.push_str(&rest.received);
            response.body = rest.body.map(|_| response.received.clone());
        }
    }

    /// Waits until every gateway serves streams, non-idempotent and idempotent requests.
    fn wait_for_service(&self) {
        for address in &self.client_addresses {
            for (method, path) in [
                (&Method::POST, STREAM_PATH),
                (&Method::POST, UNSAFE_PATH),
                (&Method::GET, SAFE_PATH),
            ] {
                wait_until("every gateway serves every route", || {
                    let headers = [
                        ("x-attempt-id", "last"),
                        ("x-token-usage", "10,40"),
                        ("x-prefix-hash", "aa:100,cc:50,dd0:20,1:10"),
                    ];
                    let response = send(*address, method, path, &headers).map(read_to_end);
                    response.is_ok_and(|response| {
                        response.status == StatusCode::OK && response.body.is_some()
                    })
                });
            }
        }
    }

    fn received_requests(&self) -> Vec<ReceivedRequest> {
        let mut requests = Vec::new();
        self.for_each_target(|target| requests.extend(target.received()));
        requests
    }

    fn for_each_target(&self, mut visit: impl FnMut(&Target)) {
        let replaced = lock(&self.replaced);
        replaced.iter().for_each(&mut visit);
        for endpoint in &self.endpoints {
            visit(&lock(&endpoint.target));
        }
    }

    /// Asserts the delivery guarantees and returns the number of requests that were served
    /// completely.
    ///
    /// A request of a route without retries runs at most once, and 503 means that it did not run.
    /// Events arrive in order without gaps and from one release, a truncated stream does not look complete, and a plain
    /// response belongs to its request.
    fn check_guarantees(&self, seed: u64) -> usize {
        let mut runs: HashMap<Box<str>, usize> = HashMap::new();
        let received = self.received_requests().into_iter();
        for request in received.filter(|request| request.ran) {
            // A run that continues from a copied KV cache is the same run.
            let is_new = !request.headers.contains_key("kv-from");
            let run_count = runs.entry(request.attempt.clone()).or_default();
            *run_count += usize::from(is_new);
            // All requests of [`Self::wait_for_service`] have the attempt id `last`.
            let may_repeat = [SAFE_PATH, RESUMABLE_PATH].contains(&&*request.path)
                || &*request.attempt == "last";
            assert!(
                *run_count <= 1 || may_repeat,
                "seed {seed}: {} ran {run_count} times",
                request.attempt
            );
        }
        let responses = lock(&self.responses);
        let complete = event_stream(EVENTS);
        for (attempt, path, _, response) in responses.iter() {
            let run_count = runs.get(&**attempt).copied().unwrap_or_default();
            let context = format!(
                "seed {seed}: {attempt} {path}: {:?}, ran {run_count} times",
                response.status
            );
            if PROMISES.contains(&response.status.as_u16())
                && *path != SAFE_PATH
                && *path != RESUMABLE_PATH
            {
                assert_eq!(run_count, 0, "a request that ran is denied: {context}");
            }
            if response.status != StatusCode::OK {
                continue;
            }
            if [STREAM_PATH, RESUMABLE_PATH].contains(path) {
                let is_of = |release: &&str| response.received.contains(&format!(" {release}\n"));
                let releases = RELEASES.iter().filter(|release| is_of(release)).count();
                assert!(
                    releases <= 1,
                    "events of two releases: {context}: {}",
                    response.received
                );
                let unmarked = RELEASES
                    .iter()
                    .fold(response.received.clone(), |text, release| {
                        text.replace(&format!(" {release}\n"), "\n")
                    });
                assert!(
                    complete.starts_with(&unmarked),
                    "wrong events: {context}: {}",
                    response.received
                );
                assert!(
                    response.body.is_none() || unmarked == complete,
                    "truncated stream that looks complete: {context}"
                );
            } else if let Some(body) = &response.body {
                assert!(
                    body.ends_with(&format!("ran {attempt}")),
                    "response of another request: {context}: {body}"
                );
            }
        }
        responses
            .iter()
            .filter(|(.., response)| response.status == StatusCode::OK && response.body.is_some())
            .count()
    }
}

/// Returns whether engines, or else services, crash on a request.
fn is_bad(request: &ReceivedRequest, are_engines: bool) -> bool {
    if !are_engines {
        return *request.body == *BAD_BODY.as_bytes();
    }
    request.has_shared_part(BAD_PART) && [STREAM_PATH, RESUMABLE_PATH].contains(&&*request.path)
}

/// Returns the gateway to which a client sent an attempt.
fn vm_of(attempt: &str) -> Option<usize> {
    attempt.rsplit_once("-v")?.1.parse().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("the lock is not poisoned")
}

/// Adds to a configuration at which rate of requests targets warm up.
fn add_cold_starts(document: &mut Value) {
    for index in 0..2 {
        document["Services"][index]["ColdStartS"] = COLD_START.as_secs().into();
        document["Services"][index]["ColdPerS"] = COLD_RATE.into();
    }
}

/// Runs clients and fault injection for one seed, then checks the guarantees.
fn run_seed(seed: u64, seconds: u64) {
    let is_planned = seed.is_multiple_of(2);
    let loses_answers_only = seed % 8 == 5;
    let gateways = GATEWAYS[seed as usize % GATEWAYS.len()];
    let soak = Soak::start(gateways);
    // Without a pause, since requests count only some seconds after the crashes.
    let senders = u64::from(seed % 8 == 7);
    soak.sends_bad_requests.store(senders, Ordering::Relaxed);
    let end = Instant::now() + Duration::from_secs(seconds);
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let soak = &soak;
            scope.spawn(move || soak.run_client(number, seed));
        }
        let count = if is_planned { LOSS_INJECTOR } else { INJECTORS };
        let injectors: Vec<_> = (0..count)
            .map(|injector| {
                let soak = &soak;
                scope.spawn(move || {
                    let mut random = SmallRng::seed_from_u64(seed * 1_000 + injector);
                    while Instant::now() < end {
                        if is_planned || injector == 2 {
                            soak.do_planned_work(&mut random);
                        } else if injector == LOSS_INJECTOR || loses_answers_only {
                            soak.inject_lost_answers(&mut random);
                        } else {
                            soak.inject(&mut random);
                        }
                        thread::sleep(Duration::from_millis(random.random_range(50..400)));
                    }
                })
            })
            .collect();
        for injector in injectors {
            injector.join().expect("the injector does not panic");
        }
        soak.is_finished.store(true, Ordering::Relaxed);
    });
    soak.proxy_command("heal *");
    soak.wait_for_service();
    let stopped = soak.check_handovers(seed);
    let served = soak.check_guarantees(seed);
    soak.check_fleet(seed);
    soak.check_planned_work(seed);
    soak.check_configuration(seed);
    assert!(served > 0, "seed {seed}: no request was served");
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "seed {seed}: {served} of {} served, {} on kept connections, {} unread or cut; {gateways} gateways, {} \
         stops, {} reloads, version {}, {} floods, {} cordons, {} cold targets, {} losses of answers, {stopped} \
         runs stopped",
        lock(&soak.responses).len(),
        count(&soak.kept),
        lock(&soak.cuts).len(),
        lock(&soak.stops).len(),
        count(&soak.reloads),
        count(&soak.version),
        count(&soak.floods),
        lock(&soak.cordons).len(),
        lock(&soak.replacements)
            .iter()
            .filter(|(_, _, start, warm)| start < warm)
            .count(),
        count(&soak.lost_answers),
    );
}

#[test]
fn the_promises_hold_under_random_faults() {
    let seconds = std::env::var("SOAK_SECONDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let seeds: Vec<u64> = match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once('-').unwrap_or((&range, &range));
            (first.parse().expect("SOAK_SEEDS is a number or a range")
                ..=last.parse().expect("SOAK_SEEDS is a number or a range"))
                .collect()
        }
        Err(_) => DEFAULT_SEEDS.into_iter().chain(REGRESSIONS).collect(),
    };
    for seed in seeds {
        run_seed(seed, seconds.unwrap_or(DEFAULT_SECONDS));
    }
}
