//! A site: gateways as real processes, with a fake store and fake targets of the users' platform.

use {
    super::{
        process::{Process, free_address},
        wait_until,
    },
    fakes::site::{
        Network, Store, Target,
        partition::Kind,
        target::{Behaviour, Copies},
    },
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming, client::conn::http1},
    serde_json::{Value, json},
    smol_hyper::rt::FuturesIo,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
};

pub const HOST: &str = "site.example";
/// Software version of the targets unless a test says otherwise.
const RELEASE: &str = "v1";
pub const API_KEY: &str = "key-of-alpha";
/// Path of the streaming route; its streams are moved to another engine only with a copy.
pub const STREAM_PATH: &str = "/draft/1";
/// Path of the resumable streaming route, whose streams may be started again at another engine.
pub const RESUMABLE_PATH: &str = "/check/1";
/// Path of the non-idempotent route.
pub const UNSAFE_PATH: &str = "/hold/1";
/// Path of the idempotent route.
pub const SAFE_PATH: &str = "/read/1";

/// A running site; its processes and fakes are stopped when it is dropped.
pub struct Site {
    pub store: Store,
    pub engines: Vec<Target>,
    pub services: Vec<Target>,
    pub gateways: Vec<Gateway>,
    /// Copies of runs that the engines hold.
    pub copies: Copies,
    /// Sections that are added to the settings of the gateways.
    pub settings: String,
    /// Data centres of the gateways, in turn.
    pub data_centres: Vec<&'static str>,
    /// Whether each gateway reaches the store at an address of its own, as its caller of the same
    /// index.
    pub has_callers: bool,
    /// Links of the gateways to the store and to each other; `None` if nothing limits them.
    pub network: Option<Network>,
    proxied_store: Option<SocketAddr>,
    directory: tempfile::TempDir,
}

/// A gateway process, with the addresses on which it listens and its settings file.
pub struct Gateway {
    pub process: Process,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    /// Address on which it speaks with the other gateways.
    pub peers: SocketAddr,
    pub settings: PathBuf,
}

/// A response that was read to its end.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body, or `None` if it was truncated.
    pub body: Option<String>,
    /// The part of the body that was received.
    pub received: String,
    /// Longest time between two chunks of the body.
    pub longest_pause: Duration,
}

/// A response whose body has not been read.
pub struct PendingResponse {
    pub status: StatusCode,
    body: Incoming,
    headers: HeaderMap,
    /// Drives a connection of its own, which is closed when this is dropped.
    driver: Option<smol::Task<()>>,
}

impl PendingResponse {
    /// Reads the next part of the body.
    pub fn read_part(&mut self) -> String {
        let frame = smol::block_on(self.body.frame()).expect("the body goes on");
        let data = frame.expect("the body is not broken").into_data();
        String::from_utf8_lossy(&data.expect("the body has no trailers")).into_owned()
    }
}

impl Site {
    /// Starts a site that has only the fake store.
    pub fn new() -> Self {
        Self {
            store: Store::start(free_address()).expect("the address is free"),
            engines: Vec::new(),
            services: Vec::new(),
            gateways: Vec::new(),
            copies: Copies::default(),
            settings: String::new(),
            data_centres: vec!["dc-1"],
            has_callers: false,
            network: None,
            proxied_store: None,
            directory: tempfile::tempdir().expect("a temporary directory is created"),
        }
    }

    /// Starts a site and waits until its gateways are ready.
    pub fn start(engines: usize, services: usize, gateways: usize) -> Self {
        Self::start_releases(&vec![RELEASE; engines], services, gateways)
    }

    /// Starts a site with an engine of each of these releases.
    pub fn start_releases(releases: &[&str], services: usize, gateways: usize) -> Self {
        Self::start_with(releases, services, gateways, "")
    }

    /// Starts a site whose gateways have further settings.
    pub fn start_with(releases: &[&str], services: usize, gateways: usize, settings: &str) -> Self {
        let mut site = Self::new();
        settings.clone_into(&mut site.settings);
        site.publish(1, |_| {});
        for (index, release) in releases.iter().enumerate() {
            site.add_engine_of(index, "dc-1", release);
        }
        site.add_services(services);
        let store = site.store.address;
        site.start_gateways(gateways, store);
        for gateway in &site.gateways {
            wait_until("a gateway is ready", || is_ready(gateway));
        }
        site
    }

    /// Starts fake processes of a plain service and registers them in the store.
    pub fn add_services(&mut self, count: usize) {
        for index in 0..count {
            let name = format!("s-{index}");
            let target = Target::start(free_address(), &name, false, &self.copies);
            let target = target.expect("the address is free");
            self.register(&target, "ledger", "dc-1", "ready");
            self.services.push(target);
        }
    }

    /// Starts another fake engine and registers it in the store.
    pub fn add_engine(&mut self, index: usize, data_centre: &str) {
        self.add_engine_of(index, data_centre, RELEASE);
    }

    /// Starts another fake engine of a release and registers it in the store.
    pub fn add_engine_of(&mut self, index: usize, data_centre: &str, release: &str) {
        let name = format!("e-{index}");
        let target = Target::start(free_address(), &name, true, &self.copies);
        let target = target.expect("the address is free");
        self.put_entry(
            &target,
            target.address,
            "engines",
            data_centre,
            "ready",
            release,
        );
        self.engines.push(target);
    }

    /// Writes a target's entry to the store.
    pub fn register(&self, target: &Target, service: &str, data_centre: &str, state: &str) {
        self.register_at(target, target.address, service, data_centre, state);
    }

    /// Writes a target's entry to the store with the address of a proxy in front of it.
    pub fn register_at(
        &self,
        target: &Target,
        address: SocketAddr,
        service: &str,
        data_centre: &str,
        state: &str,
    ) {
        self.put_entry(target, address, service, data_centre, state, RELEASE);
    }

    /// Writes a target's entry to the store.
    pub fn put_entry(
        &self,
        target: &Target,
        address: SocketAddr,
        service: &str,
        data_centre: &str,
        state: &str,
        release: &str,
    ) {
        self.put_entry_of(target, address, service, data_centre, state, release, 1);
    }

    /// Writes the entry of a process that started at `started_ms` to the store.
    #[expect(clippy::too_many_arguments, reason = "the fields of an entry")]
    pub fn put_entry_of(
        &self,
        target: &Target,
        address: SocketAddr,
        service: &str,
        data_centre: &str,
        state: &str,
        release: &str,
        started_ms: u64,
    ) {
        let entry = json!({
            "Service": service, "Address": address, "Zone": data_centre, "Version": release,
            "Slots": 8, "State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": started_ms,
        });
        self.store
            .put(&format!("servers/{}", target.instance), &entry.to_string());
    }

    /// Writes the entry of a plain service's target that is still cold for a time.
    pub fn put_cold_entry(&self, target: &Target, remaining: Duration) {
        let entry = json!({
            "Service": "ledger", "Address": target.address, "Zone": "dc-1", "Version": RELEASE,
            "Slots": 8, "State": "ready", "ColdRemainingMs": remaining.as_millis() as u64,
            "Sequence": 2, "born": 1,
        });
        self.store
            .put(&format!("servers/{}", target.instance), &entry.to_string());
    }

    /// Publishes a version of the default configuration, modified by `change`.
    pub fn publish(&self, version: u64, change: impl FnOnce(&mut serde_json::Value)) {
        let route = |name: &str, kind: &str, service: &str, settings: serde_json::Value| {
            let mut route = json!({
                "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Type": kind,
                "TimeoutMs": 20_000, "TargetLatencyMs": 1500, "Priority": 1, "Service": service,
                "MaxAttempts": 1, "Public": false,
            });
            for (key, value) in settings.as_object().expect("route settings are an object") {
                route[key] = value.clone();
            }
            route
        };
        let mut document = json!({
            "Version": version,
            "Routes": [
                route("draft", "streaming", "engines", json!({"TargetGapMs": 180})),
                route("check", "streaming", "engines", json!({"Resumable": true, "MaxAttempts": 2})),
                route("hold", "unsafe", "ledger", json!({})),
                route("read", "safe", "ledger", json!({"MaxAttempts": 2, "TargetLatencyMs": 400})),
            ],
            "Services": [
                {"Name": "engines", "HealthCheckPath": "/healthz", "MaxConnections": 100,
                 "Engine": {"Slots": 8, "KvCapacity": 30_000, "KvBytes": 1000, "LinkMbps": 1000.0,
                            "Moves": true, "Backups": true, "Stride": 4}},
                {"Name": "ledger", "HealthCheckPath": "/healthz", "MaxConnections": 100},
            ],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "alpha", "ApiKeys": [API_KEY], "Priority": 1}],
        });
        change(&mut document);
        self.store.put("op/config", &document.to_string());
    }

    /// Starts gateways that reach the store at the address `store`.
    ///
    /// If the site has a network, they reach each other's control address over their links.
    pub fn start_gateways(&mut self, count: usize, store: SocketAddr) {
        self.proxied_store = Some(store);
        let ports: Vec<u16> = (0..6).map(|_| free_address().port()).collect();
        let ips: Vec<Ipv4Addr> = (0..count).map(vm_address).collect();
        for (index, ip) in ips.iter().enumerate() {
            let address = |port: usize| SocketAddr::from((*ip, ports[port]));
            let mut control = address(2);
            if let Some(network) = &self.network {
                control.set_ip(vm_address(MAX_GATEWAYS / 2 + index).into());
                let proxy = network.proxy(address(2), control);
                proxy.expect("the address is free");
            }
            let mut store = store;
            if self.has_callers {
                store = address(5);
                let caller = self.store.listen_for_caller(store);
                assert_eq!(caller.expect("the address is free"), index);
            }
            let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:{}", ports[2])).collect();
            let text = format!(
                "[vm]\nname = vm-{index}\ndata_centre = {}\n\n[listen]\nclients = {}\n\
                 readiness = {}\ncontrol = {}\npeers = {}\nmetrics = {}\n\n[platform]\n\
                 address = {}\n\n[peers]\nseeds = {}\n\n[targets]\nsource = {ip}\n\n[promises]\ngrace = 6s\nretry_extra = 20\n\n{}",
                self.data_centres[index % self.data_centres.len()],
                address(0),
                address(1),
                control,
                address(3),
                address(4),
                store,
                seeds.join(","),
                self.settings,
            );
            let settings = self.directory.path().join(format!("vm-{index}.ini"));
            std::fs::write(&settings, text).expect("the settings file is written");
            self.gateways.push(Gateway {
                process: start_gateway(&settings),
                clients: address(0),
                readiness: address(1),
                metrics: address(4),
                peers: address(3),
                settings,
            });
        }
    }

    /// Returns the gateways that watch the store, by their calls.
    pub fn watchers(&self) -> Vec<usize> {
        /// Time in which a gateway that watches calls the store.
        const WINDOW: Duration = Duration::from_millis(1_500);
        self.store.watching(WINDOW)
    }

    /// Waits until the same gateways have watched the store for some seconds, and returns them.
    ///
    /// The site must have a caller of the store for each gateway.
    pub fn wait_for_watchers(&self) -> Vec<usize> {
        /// Time for which the watchers must stay the same.
        const STABLE: Duration = Duration::from_secs(3);
        let mut known = Vec::new();
        let mut since = std::time::Instant::now();
        wait_until("the same gateways watch the store", || {
            let now = self.watchers();
            if now != known {
                known = now;
                since = std::time::Instant::now();
            }
            // Until the gateways have discovered each other, all of them watch.
            let are_some = !known.is_empty() && known.len() < self.gateways.len();
            are_some && since.elapsed() > STABLE
        });
        known
    }

    /// Returns the address at which the gateways reach the store.
    pub fn store_address(&self) -> SocketAddr {
        self.proxied_store.unwrap_or(self.store.address)
    }

    /// Kills a gateway and starts it again.
    pub fn restart(&mut self, index: usize) {
        self.gateways[index].process.kill();
        self.gateways[index].process = start_gateway(&self.gateways[index].settings);
    }

    /// Sends a request to the first gateway and reads the complete response.
    pub fn fetch(&self, method: &Method, path: &str, headers: &[(&str, &str)]) -> Response {
        read_to_end(self.send(0, method, path, headers))
    }

    /// Sends a request to a gateway and returns the response with its body unread.
    pub fn send(
        &self,
        index: usize,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> PendingResponse {
        send(self.gateways[index].clients, method, path, headers).expect("the gateway responds")
    }

    /// Requests a stream of about `tokens` tokens through the first gateway.
    pub fn open_stream(&self, attempt: &str, tokens: u32) -> PendingResponse {
        let usage = format!("1000,{tokens}");
        self.send(
            0,
            &Method::POST,
            STREAM_PATH,
            &[("x-attempt-id", attempt), ("x-token-usage", &usage)],
        )
    }

    /// Returns the engine that runs an attempt.
    pub fn engine_of(&self, attempt: &str) -> &Target {
        let mut engines = self.engines.iter();
        let engine = engines.find(|engine| {
            engine
                .received()
                .iter()
                .any(|request| &*request.attempt == attempt && request.ran)
        });
        engine.expect("an engine runs the attempt")
    }

    /// Waits until the first gateway knows these numbers of staying and of leaving targets.
    pub fn wait_for_targets(&self, staying: usize, leaving: usize) {
        let has_targets = |is_leaving: bool, count: usize| {
            let response =
                send(self.gateways[0].metrics, &Method::GET, "/metrics", &[]).map(read_to_end);
            let line = format!("mastictrail_gateway_targets{{leaving=\"{is_leaving}\"}} {count}\n");
            response.is_ok_and(|response| response.body.is_some_and(|text| text.contains(&line)))
        };
        wait_until("the gateway knows its targets", || {
            has_targets(false, staying) && has_targets(true, leaving)
        });
    }

    /// Waits until each gateway knows of all the others.
    pub fn wait_for_peers(&self) {
        let count = self.gateways.len();
        wait_until("the gateways know each other", || {
            (0..count).all(|index| self.metric(index, "vms") == count)
        });
    }

    /// Partitions gateways from all targets; the clients, the store and the others reach them.
    pub fn cut(&self, gateways: &[usize], kind: Kind) {
        for (target, vm) in self.links(gateways) {
            target
                .cut(vm, kind)
                .expect("the packets of the gateway are dropped");
        }
    }

    /// Ends the partition of gateways.
    pub fn heal(&self, gateways: &[usize]) {
        for (target, vm) in self.links(gateways) {
            target
                .heal(vm)
                .expect("the packets of the gateway pass again");
        }
    }

    fn links(&self, gateways: &[usize]) -> impl Iterator<Item = (&Target, Ipv4Addr)> {
        let vms: Vec<_> = gateways
            .iter()
            .map(|&index| match self.gateways[index].clients.ip() {
                IpAddr::V4(vm) => vm,
                IpAddr::V6(vm) => panic!("{vm} is no IPv4 address"),
            })
            .collect();
        let targets = self.engines.iter().chain(&self.services);
        targets.flat_map(move |target| vms.clone().into_iter().map(move |vm| (target, vm)))
    }

    /// Returns the text of a gateway's metrics; empty if it does not answer.
    pub fn metrics(&self, index: usize) -> String {
        let address = self.gateways[index].metrics;
        let response = send(address, &Method::GET, "/metrics", &[]).map(read_to_end);
        let text = response.ok().and_then(|response| response.body);
        text.unwrap_or_default()
    }

    /// Returns the value of a gateway's gauge without attributes; 0 if there is none.
    pub fn metric(&self, index: usize, name: &str) -> usize {
        let text = self.metrics(index);
        let prefix = format!("mastictrail_gateway_{name} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or_default()
    }

    /// Returns the number of run copies that engines hold.
    pub fn copy_count(&self) -> usize {
        self.copies.lock().expect("the lock is not poisoned").len()
    }

    /// Sets the behaviour of all engines.
    pub fn set_engine_behaviour(&self, behaviour: &Behaviour) {
        for engine in &self.engines {
            engine.set_behaviour(behaviour.clone());
        }
    }
}

/// Maximum number of gateways of a site; half of it if the site has a network.
pub const MAX_GATEWAYS: usize = 16;

/// Number of test processes that differ by the first byte of their gateways' addresses only.
pub const VM_BLOCK: u8 = 16;

/// Returns the loopback address of a VM, derived from the process id so that it is not shared with
/// another test process that draws from the same ports.
pub fn vm_address(index: usize) -> Ipv4Addr {
    assert!(
        index < MAX_GATEWAYS,
        "a site has up to {MAX_GATEWAYS} gateways"
    );
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let first = index as u8 * VM_BLOCK + high % VM_BLOCK;
    Ipv4Addr::new(127, first, middle, low)
}

/// Starts the gateway process of a settings file.
///
/// `GATEWAY_BUILDS` names programs, separated by commas, that are started in turn: with those of two
/// builds, both run side by side, and a restart is a roll from one to the other.
pub fn start_gateway(settings: &std::path::Path) -> Process {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    let arguments = ["gateway".to_owned(), settings.display().to_string()];
    let builds = std::env::var("GATEWAY_BUILDS").unwrap_or_default();
    let builds: Vec<_> = builds.split(',').filter(|path| !path.is_empty()).collect();
    let started = STARTED.fetch_add(1, Ordering::Relaxed);
    let program = builds.get(started % builds.len().max(1));
    Process::start(
        program.unwrap_or(&env!("CARGO_BIN_EXE_mastictrail")),
        &arguments,
    )
}

/// Returns whether a gateway reports that it is ready.
pub fn is_ready(gateway: &Gateway) -> bool {
    let response = send(gateway.readiness, &Method::GET, "/v1/readyz", &[]);
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

/// Sends a request on a new connection and returns the response with its body unread.
///
/// The API key of the tenant alpha is added unless `headers` has an authorization.
pub fn send(
    address: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<PendingResponse, Box<dyn std::error::Error>> {
    send_body(address, method, path, headers, "the body")
}

/// Sends a request with a body like [`send`].
pub fn send_body(
    address: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<PendingResponse, Box<dyn std::error::Error>> {
    let mut connection = Connection::open(address)?;
    let mut response = connection.send_body(method, path, headers, body)?;
    response.driver = Some(connection.driver);
    Ok(response)
}

/// A client's connection, which is used for one request after the other.
pub struct Connection {
    sender: http1::SendRequest<Full<bytes::Bytes>>,
    driver: smol::Task<()>,
}

impl Connection {
    /// Opens a connection to a gateway.
    pub fn open(address: SocketAddr) -> Result<Self, Box<dyn std::error::Error>> {
        smol::block_on(async {
            let stream = smol::net::TcpStream::connect(address).await?;
            let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
            let driver = smol::spawn(async move {
                let _ = connection.await;
            });
            Ok(Self { sender, driver })
        })
    }

    /// Returns whether the gateway has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and returns the response with its body unread.
    pub fn send(
        &mut self,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<PendingResponse, Box<dyn std::error::Error>> {
        self.send_body(method, path, headers, "the body")
    }

    /// Sends a request with a body like [`Self::send`].
    pub fn send_body(
        &mut self,
        method: &Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<PendingResponse, Box<dyn std::error::Error>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST);
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Token {API_KEY}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(bytes::Bytes::copy_from_slice(body.as_bytes())))?;
        let response = smol::block_on(self.sender.send_request(request))?;
        let (parts, body) = response.into_parts();
        Ok(PendingResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            driver: None,
        })
    }
}

/// Reads the body of a response to its end.
pub fn read_to_end(mut response: PendingResponse) -> Response {
    let mut received = String::new();
    let mut is_complete = true;
    let mut longest_pause = Duration::ZERO;
    let mut last_frame = std::time::Instant::now();
    smol::block_on(async {
        while let Some(frame) = response.body.frame().await {
            let Ok(frame) = frame else {
                is_complete = false;
                return;
            };
            longest_pause = longest_pause.max(last_frame.elapsed());
            last_frame = std::time::Instant::now();
            if let Ok(data) = frame.into_data() {
                received.push_str(&String::from_utf8_lossy(&data));
            }
        }
    });
    Response {
        status: response.status,
        headers: response.headers,
        body: is_complete.then(|| received.clone()),
        received,
        longest_pause,
    }
}

/// Returns the body of a complete stream of `count` events.
pub fn event_stream(count: u64) -> String {
    let events: Vec<_> = (0..count)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect();
    events.concat()
}

/// Adds this many idempotent routes to a configuration.
pub fn add_routes(document: &mut Value, count: usize) {
    let routes = document["Routes"].as_array_mut();
    let routes = routes.expect("routes are a list");
    routes.extend((0..count).map(added_route));
}

/// Returns the path prefix of a route that [`add_routes`] adds; each has another one, without a pattern.
pub fn added_prefix(index: usize) -> String {
    let hash = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("/{:x}/", hash >> 24)
}

fn added_route(index: usize) -> Value {
    let prefix = added_prefix(index);
    json!({
        "Name": format!("r-{}", prefix.trim_matches('/')), "Host": HOST, "PathPrefix": prefix,
        "Type": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 2,
        "Service": "ledger", "MaxAttempts": 2, "Public": false, "SessionAffinity": false,
        "Resumable": false,
    })
}
