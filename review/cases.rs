//! The cases: the order of events, and the check of the rule as written.

use crate::{
    gateway::{Gateway, Network},
    http::{self, Message},
    record::Record,
    runner::Runner,
    store::Store,
};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Violations of the rule, or why the case could not run.
type Outcome = Result<Vec<String>, String>;

/// `ConfigApplyMs` of the sites.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `DrainMs` of the sites.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `StableWindowMs` of the sites.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const HOST: &str = "ledger.example";
const SERVICE: &str = "ledger";
/// A key of the tenant alpha that stays.
const KEPT_KEY: &str = "key-kept";
/// A key of the tenant alpha that is taken away.
const REVOKED_KEY: &str = "key-revoked";

/// Plays a case.
pub fn play(case: &str, record: &Record, trouble: bool) -> Outcome {
    match case {
        "watchers-lost" => watchers_lost(record, trouble),
        "older-copy" => older_copy(record, trouble),
        "missed-removal" => missed_removal(record, trouble),
        "same-id" => same_id(record, trouble),
        "older-list" => older_list(record, trouble),
        "large-bodies" => large_bodies(record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A store, runners and VMs.
struct Deployment {
    record: Record,
    network: Network,
    store: Store,
    runners: Vec<Runner>,
    gateways: Vec<Gateway>,
    zones: Vec<&'static str>,
    attempts: AtomicU64,
}

impl Deployment {
    /// Starts everything and waits until all VMs are ready.
    fn start(
        record: &Record,
        zones: &[&'static str],
        vms: usize,
        runners: usize,
    ) -> Result<Self, String> {
        let network = Network::new().map_err(|error| error.to_string())?;
        let mut deployment = Self {
            record: record.clone(),
            network,
            store: Store::new(record),
            runners: Vec::new(),
            gateways: Vec::new(),
            zones: zones.to_vec(),
            attempts: AtomicU64::new(1),
        };
        deployment
            .build(vms, runners)
            .map_err(|error| error.to_string())?;
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn build(&mut self, vms: usize, runners: usize) -> std::io::Result<()> {
        self.store
            .put("op/config", &configuration(1, &[KEPT_KEY, REVOKED_KEY]));
        for index in 0..runners {
            self.add_runner(index)?;
        }
        for vm in 0..vms {
            self.store.listen(vm, self.network.store(vm))?;
        }
        for vm in 0..vms {
            let zone = self.zones[vm % self.zones.len()];
            let gateway = Gateway::start(vm, zone, vms, &self.network, &self.record)?;
            self.gateways.push(gateway);
        }
        Ok(())
    }

    /// Starts a runner, which registers itself.
    fn add_runner(&mut self, index: usize) -> std::io::Result<()> {
        self.add_runner_as(index, &format!("i-{index}"))
    }

    fn add_runner_as(&mut self, index: usize, id: &str) -> std::io::Result<()> {
        let address = self.network.runner(index);
        let runner = Runner::start(id, address, &self.record)?;
        let zone = self.zones[index % self.zones.len()];
        self.store
            .put(&runner.key(), &runner.entry(SERVICE, zone, 1));
        self.runners.push(runner);
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > deadline {
                return Err("the VMs are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("process", "all VMs are ready");
        Ok(())
    }

    /// Waits until the same VMs have watched the store for some seconds.
    fn watchers(&self) -> Result<Vec<usize>, String> {
        let mut known = Vec::new();
        let mut since = Instant::now();
        let deadline = Instant::now() + Duration::from_secs(25);
        while Instant::now() < deadline {
            let now = self.store.watchers(Duration::from_millis(2_500));
            if now != known {
                known = now;
                since = Instant::now();
            }
            if since.elapsed() > Duration::from_secs(4) && !known.is_empty() {
                self.record
                    .line("store", &format!("watched by the VMs {known:?}"));
                return Ok(known);
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the VMs that watch the store change all the time".to_owned())
    }

    /// Sends a request with a key through a VM; returns the attempt, the time and the answer.
    fn request(&self, vm: usize, key: &str) -> (String, Duration, Option<Message>) {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("a{number}-vm{vm}");
        let authorization = format!("Token {key}");
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", "1000"),
            ("Authorization", authorization.as_str()),
            ("Connection", "close"),
        ];
        let sent = self.record.now();
        self.record
            .line("sent", &format!("{attempt} with {key} through vm-{vm}"));
        let address = self.gateways[vm].clients;
        let timeout = Duration::from_millis(1_500);
        let answer = http::send(address, "POST", "/hold/1", &headers, b"a lot", timeout);
        match &answer {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body);
                let text = format!("{attempt} {}: {}", answer.status(), text.trim_end());
                self.record.line("answered", &text);
            }
            Err(error) => self
                .record
                .line("answered", &format!("{attempt} nothing: {error}")),
        }
        (attempt, sent, answer.ok())
    }

    /// Sends requests through all VMs for a time; returns the share that is served.
    fn serve(&self, duration: Duration) -> f64 {
        let (mut sent, mut served) = (0_u32, 0_u32);
        let end = Instant::now() + duration;
        while Instant::now() < end {
            for vm in 0..self.gateways.len() {
                let (_, _, answer) = self.request(vm, KEPT_KEY);
                sent += 1;
                served += u32::from(answer.is_some_and(|answer| answer.status() == 200));
            }
            thread::sleep(Duration::from_millis(200));
        }
        f64::from(served) / f64::from(sent.max(1))
    }

    /// Returns the runner that ran an attempt.
    fn runner_of(&self, attempt: &str) -> Option<&Runner> {
        let has_run = |runner: &&Runner| runner.runs().iter().any(|run| run.attempt == attempt);
        self.runners.iter().find(has_run)
    }

    /// Sends requests through VMs; returns those that the runner i-0 ran, which was removed from the
    /// store over `DrainMs` before.
    fn send_past_drain(&self, vms: &[usize], acked: Duration) -> Outcome {
        let mut breaks = Vec::new();
        for _ in 0..6 {
            // All VMs get a request at the same time.
            let requests = thread::scope(|scope| {
                let threads = vms.iter();
                let threads =
                    threads.map(|&vm| (vm, scope.spawn(move || self.request(vm, KEPT_KEY))));
                let threads: Vec<_> = threads.collect();
                let requests = threads
                    .into_iter()
                    .map(|(vm, thread)| Some((vm, thread.join().ok()?)));
                requests.collect::<Option<Vec<_>>>()
            });
            for (vm, (attempt, sent, _)) in requests.ok_or("a requester failed")? {
                let is_late = sent > acked + DRAIN;
                if is_late
                    && self
                        .runner_of(&attempt)
                        .is_some_and(|runner| runner.id == "i-0")
                {
                    let after = (sent - acked).as_millis();
                    breaks.push(format!(
                        "DRAIN: {attempt} was sent through vm-{vm} {after} ms after the store acknowledged that \
                         i-0 is gone, and i-0 ran it"
                    ));
                }
            }
        }
        Ok(breaks)
    }

    /// Returns the requests that were sent with the revoked key too late and ran all the same.
    fn send_with_revoked_key(
        &self,
        vms: &[usize],
        acked: Duration,
        duration: Duration,
    ) -> Vec<String> {
        let mut breaks = Vec::new();
        let end = Instant::now() + duration;
        while Instant::now() < end {
            for &vm in vms {
                let (attempt, sent, _) = self.request(vm, REVOKED_KEY);
                if let Some(runner) = self.runner_of(&attempt)
                    && sent > acked + CONFIG_APPLY
                {
                    let after = (sent - acked).as_millis();
                    let id = &runner.id;
                    breaks.push(format!(
                        "CONFIG: {attempt} was sent with {REVOKED_KEY} {after} ms after the ack of the version \
                         without it, and {id} ran it"
                    ));
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        breaks
    }
}

/// Returns a configuration with one route and these keys of the tenant alpha.
fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-hold\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/hold/\",\
         \"Type\":\"unsafe\",\"TimeoutMs\":10000,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"{SERVICE}\",\
         \"MaxAttempts\":1,\"Public\":false,\"SessionAffinity\":false,\"Resumable\":false}}],\
         \"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthCheckPath\":\"/healthz\",\"MaxConnections\":248}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"alpha\",\"ApiKeys\":[{keys}],\"Priority\":1}}]}}"
    )
}

/// The VMs that watch the store lose power at the same time, and a key is taken away.
fn watchers_lost(record: &Record, trouble: bool) -> Outcome {
    /// Time for which the machines are dark.
    const DARK: Duration = Duration::from_millis(3_500);
    let mut site = Deployment::start(record, &["zone-a", "zone-b", "zone-c"], 18, 3)?;
    let watchers = site.watchers()?;
    let calm: Vec<_> = (0..18).filter(|vm| !watchers.contains(vm)).collect();
    for &vm in &calm {
        if site
            .request(vm, REVOKED_KEY)
            .2
            .is_none_or(|answer| answer.status() != 200)
        {
            return Err(format!("vm-{vm} does not serve"));
        }
    }
    let killed = Instant::now();
    if trouble {
        for &vm in &watchers {
            site.gateways[vm].kill();
        }
    }
    thread::sleep(Duration::from_millis(100));
    site.store.put("op/config", &configuration(2, &[KEPT_KEY]));
    let acked = record.now();
    thread::sleep(CONFIG_APPLY + Duration::from_millis(20));
    let mut breaks =
        site.send_with_revoked_key(&calm, acked, DARK.saturating_sub(killed.elapsed()));
    if trouble {
        for &vm in &watchers {
            site.gateways[vm].run().map_err(|error| error.to_string())?;
        }
    }
    breaks.extend(site.send_with_revoked_key(&calm, acked, Duration::from_secs(3)));
    Ok(breaks)
}

/// The store comes back from a copy some seconds old, and a key is taken away soon after.
fn older_copy(record: &Record, trouble: bool) -> Outcome {
    /// Time for which the store is away.
    const AWAY: Duration = Duration::from_secs(5);
    let mut site = Deployment::start(record, &["zone-a"], 2, 2)?;
    thread::sleep(Duration::from_secs(3));
    for vm in 0..2 {
        if site
            .request(vm, REVOKED_KEY)
            .2
            .is_none_or(|answer| answer.status() != 200)
        {
            return Err(format!("vm-{vm} does not serve"));
        }
    }
    let copy = site.store.copy();
    // The copy lacks these: a version of the configuration, and a runner that joins.
    site.store.put(
        "op/config",
        &configuration(2, &[KEPT_KEY, REVOKED_KEY, "key-2"]),
    );
    site.add_runner(2).map_err(|error| error.to_string())?;
    thread::sleep(Duration::from_millis(2_500));
    if trouble {
        site.store.go_away();
        thread::sleep(AWAY);
        site.store.return_from(copy);
        // The operator and the runner write again what they wrote, and the operator goes on.
        site.store.put(
            "op/config",
            &configuration(2, &[KEPT_KEY, REVOKED_KEY, "key-2"]),
        );
    } else {
        thread::sleep(AWAY);
    }
    site.store
        .put("op/config", &configuration(3, &[KEPT_KEY, "key-2"]));
    let acked = record.now();
    if trouble {
        thread::sleep(Duration::from_millis(500));
        let runner = &site.runners[2];
        site.store
            .put(&runner.key(), &runner.entry(SERVICE, "zone-a", 9));
    }
    // All is calm for longer than the stable window before the first request that counts.
    thread::sleep(CONFIG_APPLY.max(STABLE_WINDOW) * 2);
    Ok(site.send_with_revoked_key(&[0, 1], acked, Duration::from_secs(10)))
}

/// The VMs that watch the store are killed and start again, and a runner leaves meanwhile.
fn missed_removal(record: &Record, trouble: bool) -> Outcome {
    let mut site = Deployment::start(record, &["zone-a", "zone-b", "zone-c"], 18, 3)?;
    let watchers = site.watchers()?;
    let calm: Vec<_> = (0..18).filter(|vm| !watchers.contains(vm)).collect();
    if trouble {
        for &vm in &watchers {
            site.gateways[vm].kill();
        }
    }
    thread::sleep(Duration::from_millis(200));
    // A runner that never reports `draining`: its entry is removed, and it continues serving.
    site.runners[0].is_leaving.store(true, Ordering::Relaxed);
    site.store.remove(&site.runners[0].key());
    let acked = record.now();
    thread::sleep(Duration::from_millis(300));
    if trouble {
        for &vm in &watchers {
            site.gateways[vm].run().map_err(|error| error.to_string())?;
        }
    }
    thread::sleep((acked + DRAIN + Duration::from_millis(500)).saturating_sub(record.now()));
    site.send_past_drain(&calm, acked)
}

/// The store comes back from a copy some seconds old, and a runner leaves when all is stable again.
fn older_list(record: &Record, trouble: bool) -> Outcome {
    /// Time for which the store is away.
    const AWAY: Duration = Duration::from_secs(3);
    /// `HeartbeatMs` of the sites: how often a cold runner changes its entry.
    const HEARTBEAT: Duration = Duration::from_millis(1_200);
    let mut site = Deployment::start(record, &["zone-a", "zone-b", "zone-c"], 18, 3)?;
    let watchers = site.watchers()?;
    let calm: Vec<_> = (0..18).filter(|vm| !watchers.contains(vm)).collect();
    let copy = site.store.copy();
    // The copy lacks the entries of a runner that joins and is cold at first.
    site.add_runner(3).map_err(|error| error.to_string())?;
    let runner = &site.runners[3];
    for sequence in 2..4 {
        thread::sleep(HEARTBEAT);
        site.store
            .put(&runner.key(), &runner.entry(SERVICE, "zone-a", sequence));
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        site.store.go_away();
        thread::sleep(AWAY);
        site.store.return_from(copy);
        thread::sleep(Duration::from_millis(500));
        // The runner writes again what it wrote.
        site.store
            .put(&runner.key(), &runner.entry(SERVICE, "zone-a", 4));
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(STABLE_WINDOW + Duration::from_secs(3));
    // A runner that never reports `draining`: its entry is removed, and it continues serving.
    site.runners[0].is_leaving.store(true, Ordering::Relaxed);
    site.store.remove(&site.runners[0].key());
    let acked = record.now();
    thread::sleep(DRAIN + Duration::from_millis(500));
    site.send_past_drain(&calm, acked)
}

/// All VMs are killed and start again, and the runners of a service restart one after the other, each
/// under the id that it had.
fn same_id(record: &Record, trouble: bool) -> Outcome {
    /// `RecoverS` of the sites.
    const RECOVER: Duration = Duration::from_secs(12);
    /// Time for which the VMs are down.
    const DOWN: Duration = Duration::from_secs(1);
    /// Time between the end of a runner and its next start.
    const RESTART: Duration = Duration::from_secs(1);
    /// Time for which requests are counted before the final fault.
    const BEFORE: Duration = Duration::from_secs(4);
    /// The same from `RecoverS` after the VMs are back.
    const AFTER: Duration = Duration::from_secs(40);
    /// Smallest share of requests that must be served, if as many were before.
    const MIN_SERVED: f64 = 0.25;
    const RUNNERS: usize = 2;
    let mut site = Deployment::start(record, &["zone-a"], 3, RUNNERS)?;
    thread::sleep(Duration::from_secs(2));
    let before = site.serve(BEFORE);
    if before < MIN_SERVED {
        return Err("too few requests are served before the final fault".to_owned());
    }
    site.store.put("op/config", &configuration(2, &[KEPT_KEY]));
    if trouble {
        for gateway in &mut site.gateways {
            gateway.kill();
        }
        thread::sleep(DOWN);
        for gateway in &mut site.gateways {
            gateway.run().map_err(|error| error.to_string())?;
        }
    }
    site.wait_until_ready()?;
    let back = record.now();
    for index in 0..RUNNERS {
        let runner = &site.runners[index];
        runner.is_leaving.store(true, Ordering::Relaxed);
        site.store
            .put(&runner.key(), &runner.entry(SERVICE, "zone-a", 2));
        thread::sleep(DRAIN + Duration::from_millis(500));
        runner.is_gone.store(true, Ordering::Relaxed);
        site.store.remove(&runner.key());
        record.line("process", &format!("{} has ended", runner.id));
        thread::sleep(RESTART);
        let id = if trouble {
            format!("i-{index}")
        } else {
            format!("i-{}", RUNNERS + index)
        };
        site.add_runner_as(RUNNERS + index, &id)
            .map_err(|error| error.to_string())?;
        record.line("process", &format!("{id} has started"));
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep((back + RECOVER).saturating_sub(record.now()));
    let after = site.serve(AFTER);
    let text = format!(
        "RECOVER: a share of {after:.2} of the requests was served later than RecoverS after the VMs are back, \
         and {before:.2} before the final fault; all runners were ready"
    );
    record.line("counted", &text);
    Ok((after < MIN_SERVED).then_some(text).into_iter().collect())
}

/// Many users come at once, with bodies of up to `MaxBodyBytes`.
fn large_bodies(record: &Record, trouble: bool) -> Outcome {
    /// Usual number of uploads at a VM at a time.
    const USUAL: usize = 12;
    /// Strength of the site's `burst`.
    const BURST: f64 = 1.7;
    /// `MemoryMb` of the site.
    const MEMORY_BYTES: u64 = 182 << 20;
    /// `LinkMbps` of the site.
    const LINK_BYTES_PER_SECOND: f64 = 700e6 / 8.0;
    /// Size of a body; `MaxBodyBytes` is 4,194,304.
    const BODY_BYTES: usize = 4_190_000;
    /// Time after which the platform starts a process again.
    const RESTART: Duration = Duration::from_millis(500);
    const VMS: usize = 2;
    /// Ends of its own of each process from which the rule is broken, on two machines.
    const MAX_ENDS: u32 = 3;
    let mut site = Deployment::start(record, &["zone-a"], VMS, 2)?;
    let body = vec![b'x'; BODY_BYTES];
    let uploads = if trouble {
        (USUAL as f64 * BURST).round() as usize
    } else {
        USUAL
    };
    let duration = Duration::from_secs_f64((uploads * BODY_BYTES) as f64 / LINK_BYTES_PER_SECOND);
    let mut ends = [0_u32; VMS];
    let mut peaks = [0_u64; VMS];
    for round in 1..=MAX_ENDS {
        for vm in 0..VMS {
            let address = site.gateways[vm].clients;
            let unanswered = AtomicU64::new(0);
            thread::scope(|scope| {
                let mut threads = Vec::new();
                for index in 0..uploads {
                    let (body, unanswered) = (&body, &unanswered);
                    threads.push(scope.spawn(move || {
                        let attempt = format!("u{round}-{index}-vm{vm}");
                        let authorization = format!("Token {KEPT_KEY}");
                        let headers = [
                            ("Host", HOST),
                            ("X-Attempt-Id", attempt.as_str()),
                            ("X-Deadline-Ms", "10000"),
                            ("Authorization", authorization.as_str()),
                            ("Connection", "close"),
                        ];
                        record.line(
                            "sent",
                            &format!("{attempt} with {BODY_BYTES} bytes through vm-{vm}"),
                        );
                        let timeout = Duration::from_secs(10);
                        let answer =
                            http::upload(address, "/hold/1", &headers, body, duration, timeout);
                        match answer {
                            Ok(answer) => {
                                record.line("answered", &format!("{attempt} {}", answer.status()))
                            }
                            Err(error) => {
                                unanswered.fetch_add(1, Ordering::Relaxed);
                                record.line("answered", &format!("{attempt} nothing: {error}"));
                            }
                        }
                    }));
                }
                // The platform kills a process that exceeds its memory.
                while threads.iter().any(|thread| !thread.is_finished()) {
                    let memory = site.gateways[vm].memory();
                    peaks[vm] = peaks[vm].max(memory);
                    if memory > MEMORY_BYTES {
                        let text = format!(
                            "vm-{vm} uses {} MB, {} allowed",
                            memory >> 20,
                            MEMORY_BYTES >> 20
                        );
                        record.line("platform", &text);
                        site.gateways[vm].kill();
                        ends[vm] += 1;
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            });
            let unanswered = unanswered.load(Ordering::Relaxed);
            let peak = peaks[vm] >> 20;
            let text = format!(
                "vm-{vm}: {uploads} uploads, {unanswered} without an answer, at most {peak} MB"
            );
            record.line("counted", &text);
            if site.gateways[vm].memory() == 0 {
                thread::sleep(RESTART);
                site.gateways[vm].run().map_err(|error| error.to_string())?;
            }
        }
        site.wait_until_ready()?;
    }
    let text = format!(
        "Fault: the processes ended by themselves {ends:?} times, as they exceeded their memory"
    );
    record.line("counted", &text);
    let is_broken = ends.iter().all(|ends| *ends >= MAX_ENDS);
    Ok(is_broken.then_some(text).into_iter().collect())
}
