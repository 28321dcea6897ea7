//! A site on the users' platform: store, targets, and gateways as real processes.

use {
    super::{
        process::{Process, free_address},
        wait_until,
    },
    fakes::site::{
        Store, Target,
        target::{Behaviour, Copies},
    },
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming, client::conn::http1},
    serde_json::json,
    smol_hyper::rt::FuturesIo,
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

pub const HOST: &str = "site.example";
pub const KEY: &str = "key-of-alpha";
pub const DRAFT: &str = "/draft/1";
pub const CHECK: &str = "/check/1";
pub const HOLD: &str = "/hold/1";
pub const READ: &str = "/read/1";

/// One site; everything ends when it is dropped.
pub struct Site {
    pub store: Store,
    pub engines: Vec<Target>,
    pub services: Vec<Target>,
    pub gateways: Vec<Gateway>,
    pub copies: Copies,
    directory: tempfile::TempDir,
}

pub struct Gateway {
    pub process: Process,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub settings: PathBuf,
}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body; `None` if it broke off.
    pub body: Option<String>,
    /// What came of the body.
    pub received: String,
    /// Longest time between two pieces of the body.
    pub longest_pause: Duration,
}

/// An answer whose body is still to come.
pub struct Open {
    pub status: StatusCode,
    body: Incoming,
    headers: HeaderMap,
    _driver: smol::Task<()>,
}

impl Site {
    /// Starts a store alone.
    pub fn new() -> Self {
        Self {
            store: Store::start(free_address()).expect("an address of our own"),
            engines: Vec::new(),
            services: Vec::new(),
            gateways: Vec::new(),
            copies: Copies::default(),
            directory: tempfile::tempdir().expect("a directory"),
        }
    }

    /// Starts a store, engines, services and gateways, and waits until these are ready.
    pub fn start(engines: usize, services: usize, gateways: usize) -> Self {
        let mut site = Self::new();
        site.publish(1, |_| {});
        for index in 0..engines {
            site.add_engine(index, "dc-1");
        }
        for index in 0..services {
            let name = format!("s-{index}");
            let target = Target::start(free_address(), &name, false, &site.copies);
            let target = target.expect("an address of our own");
            site.list(&target, "ledger", "dc-1", "ready");
            site.services.push(target);
        }
        let store = site.store.address;
        site.start_gateways(gateways, store);
        for gateway in &site.gateways {
            wait_until("a gateway is ready", || is_ready(gateway));
        }
        site
    }

    /// Starts one more engine and lists it.
    pub fn add_engine(&mut self, index: usize, data_centre: &str) {
        let name = format!("e-{index}");
        let target = Target::start(free_address(), &name, true, &self.copies);
        let target = target.expect("an address of our own");
        self.list(&target, "engines", data_centre, "ready");
        self.engines.push(target);
    }

    /// Writes a target's entry.
    pub fn list(&self, target: &Target, service: &str, data_centre: &str, state: &str) {
        self.list_at(target, target.address, service, data_centre, state);
    }

    /// Writes a target's entry with the address of a proxy before it.
    pub fn list_at(
        &self,
        target: &Target,
        address: SocketAddr,
        service: &str,
        data_centre: &str,
        state: &str,
    ) {
        let entry = json!({
            "Service": service, "Address": address, "Zone": data_centre, "Version": "v1",
            "Slots": 8, "State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": 1,
        });
        self.store
            .put(&format!("servers/{}", target.instance), &entry.to_string());
    }

    /// Publishes a configuration after `change`.
    pub fn publish(&self, version: u64, change: impl FnOnce(&mut serde_json::Value)) {
        let route = |name: &str, kind: &str, service: &str, more: serde_json::Value| {
            let mut route = json!({
                "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Type": kind,
                "TimeoutMs": 20_000, "TargetLatencyMs": 1500, "Priority": 1, "Service": service,
                "MaxAttempts": 1, "Public": false,
            });
            for (key, value) in more.as_object().expect("a table") {
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
            "Tenants": [{"Name": "alpha", "ApiKeys": [KEY], "Priority": 1}],
        });
        change(&mut document);
        self.store.put("op/config", &document.to_string());
    }

    /// Starts gateways that reach the store at an address.
    pub fn start_gateways(&mut self, count: usize, store: SocketAddr) {
        let ports: Vec<u16> = (0..5).map(|_| free_address().port()).collect();
        let ips: Vec<Ipv4Addr> = (0..count).map(address_of_vm).collect();
        for (index, ip) in ips.iter().enumerate() {
            let at = |port: usize| SocketAddr::from((*ip, ports[port]));
            let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:{}", ports[2])).collect();
            let text = format!(
                "[vm]\nname = vm-{index}\ndata_centre = dc-1\n\n[listen]\nclients = {}\n\
                 readiness = {}\ncontrol = {}\npeers = {}\nmetrics = {}\n\n[platform]\n\
                 address = {}\n\n[peers]\nseeds = {}\n\n[promises]\ngrace = 6s\nretry_extra = 20\n",
                at(0),
                at(1),
                at(2),
                at(3),
                at(4),
                store,
                seeds.join(","),
            );
            let settings = self.directory.path().join(format!("vm-{index}.ini"));
            std::fs::write(&settings, text).expect("a file");
            self.gateways.push(Gateway {
                process: start_process(&settings),
                clients: at(0),
                readiness: at(1),
                metrics: at(4),
                settings,
            });
        }
    }

    /// Kills a gateway and starts it again.
    pub fn restart(&mut self, index: usize) {
        self.gateways[index].process.kill();
        self.gateways[index].process = start_process(&self.gateways[index].settings);
    }

    /// Sends a request and returns the whole answer.
    pub fn ask(&self, method: &Method, path: &str, fields: &[(&str, &str)]) -> Reply {
        finish(self.open(0, method, path, fields))
    }

    /// Sends a request to a gateway and returns the head of the answer.
    pub fn open(&self, index: usize, method: &Method, path: &str, fields: &[(&str, &str)]) -> Open {
        open(self.gateways[index].clients, method, path, fields).expect("an answer")
    }

    /// Sends a request for a draft of about `tokens` tokens.
    pub fn draft(&self, attempt: &str, tokens: u32) -> Open {
        let usage = format!("1000,{tokens}");
        self.open(
            0,
            &Method::POST,
            DRAFT,
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
                .any(|seen| &*seen.attempt == attempt && seen.ran)
        });
        engine.expect("an engine runs it")
    }

    /// Waits until a gateway knows so many targets that stay, and so many that leave.
    pub fn wait_for_targets(&self, staying: usize, leaving: usize) {
        let knows = |is_leaving: bool, count: usize| {
            let reply = open(self.gateways[0].metrics, &Method::GET, "/metrics", &[]).map(finish);
            let line = format!("mastictrail_gateway_targets{{leaving=\"{is_leaving}\"}} {count}\n");
            reply.is_ok_and(|reply| reply.body.is_some_and(|text| text.contains(&line)))
        };
        wait_until("the gateway knows its targets", || {
            knows(false, staying) && knows(true, leaving)
        });
    }

    /// Returns the copies of runs that engines hold.
    pub fn copies(&self) -> usize {
        self.copies.lock().expect("no holder panics").len()
    }

    /// Sets what all engines do.
    pub fn engines_behave(&self, behaviour: &Behaviour) {
        for engine in &self.engines {
            engine.set_behaviour(behaviour.clone());
        }
    }
}

/// Returns the loopback address of a VM, which no other test process takes.
fn address_of_vm(index: usize) -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let first = [64, 128, 192][index];
    Ipv4Addr::new(127, first + high % 64, middle, low)
}

pub fn start_process(settings: &std::path::Path) -> Process {
    let arguments = ["gateway".to_owned(), settings.display().to_string()];
    Process::start(env!("CARGO_BIN_EXE_mastictrail"), &arguments)
}

/// Returns whether a gateway says that it takes connections.
pub fn is_ready(gateway: &Gateway) -> bool {
    let open = open(gateway.readiness, &Method::GET, "/v1/readyz", &[]);
    open.is_ok_and(|open| open.status == StatusCode::OK)
}

/// Sends a request over a connection of its own.
pub fn open(
    address: SocketAddr,
    method: &Method,
    path: &str,
    fields: &[(&str, &str)],
) -> Result<Open, Box<dyn std::error::Error>> {
    smol::block_on(async {
        let stream = smol::net::TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
        let driver = smol::spawn(async move {
            let _ = connection.await;
        });
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST);
        if !fields.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Token {KEY}"));
        }
        for (name, value) in fields {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(bytes::Bytes::from_static(b"the body")))?;
        let response = sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        Ok(Open {
            status: parts.status,
            headers: parts.headers,
            body,
            _driver: driver,
        })
    })
}

/// Reads an answer to its end.
pub fn finish(mut open: Open) -> Reply {
    let mut received = String::new();
    let mut is_whole = true;
    let mut longest_pause = Duration::ZERO;
    let mut last = std::time::Instant::now();
    smol::block_on(async {
        while let Some(frame) = open.body.frame().await {
            let Ok(frame) = frame else {
                is_whole = false;
                return;
            };
            longest_pause = longest_pause.max(last.elapsed());
            last = std::time::Instant::now();
            if let Ok(data) = frame.into_data() {
                received.push_str(&String::from_utf8_lossy(&data));
            }
        }
    });
    Reply {
        status: open.status,
        headers: open.headers,
        body: is_whole.then(|| received.clone()),
        received,
        longest_pause,
    }
}

/// Returns the text of all events of a whole stream.
pub fn events(count: u64) -> String {
    let events: Vec<_> = (0..count)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect();
    events.concat()
}
