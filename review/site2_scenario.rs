//! The scenarios of the cases.

use {
    crate::{
        client::{self, Call},
        gateway::{self, Gateway},
        link,
        record::{BACKGROUND, Record},
        runner::{Kind, Pool, Run, Runner},
        store::Store,
    },
    std::{net::SocketAddr, thread, time::Duration},
};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// The key of the only tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
const ENGINES: &str = "huvo11a";
/// Another service of engines, to which a route moves.
const OTHER_ENGINES: &str = "nixo83c";
const PORTAL: &str = "wuno96b";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// `StableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// `DrainMs`.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which a machine stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// Number of clients that send short streams one after the other.
const TRAFFIC_CLIENTS: usize = 16;
/// Maximum number of streams that are resumed, one after the other; each takes up to 4 seconds.
const MAX_RESUMED: usize = 8;
/// Time after which a request may not be at work at the runner before.
const HANDOVER: Duration = Duration::from_millis(400);
/// Time without an event after which clients abandon a stream: four times its objective.
const PATIENCE: Duration = Duration::from_millis(7_200);

/// Whether the rule of the case was broken.
#[derive(Debug, Eq, PartialEq)]
pub enum Outcome {
    Held,
    Broken,
}

/// Runs a scenario by its name.
pub fn run(name: &str, record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    match name {
        "silent-channel" => handover(record, has_trouble, Loss::SilentChannel),
        "lost-answer" => handover(record, has_trouble, Loss::LostAnswer),
        "moved-route" => moved_route(record, has_trouble),
        "missed-release" => missed_release(record, has_trouble),
        "failed-after-work" => failed_after_work(record, has_trouble),
        _ => Err(format!("no scenario {name}")),
    }
}

struct Site {
    store: Store,
    engines: Vec<Runner>,
    plain: Vec<Runner>,
    gateways: Vec<Gateway>,
    pool: Pool,
    record: Record,
}

impl Site {
    fn start(
        record: &Record,
        engines: usize,
        plain: usize,
        machines: usize,
    ) -> Result<Self, String> {
        let pool = Pool::default();
        let store = Store::start(link::listen_anywhere());
        store.put("op/config", &configuration());
        let start = |kind, count: usize, prefix: &str| {
            let runners = (0..count).map(|index| {
                let id = format!("i-{prefix}{index:02}");
                Runner::start(&id, ZONES[index % ZONES.len()], "v1", kind, &pool, record)
            });
            runners.collect::<Vec<_>>()
        };
        let (engines, plain) = (
            start(Kind::Engine, engines, "7f3a"),
            start(Kind::Plain, plain, "02d9"),
        );
        for (service, runners) in [(ENGINES, &engines), (PORTAL, &plain)] {
            for runner in runners {
                store.put(
                    &format!("servers/{}", runner.id),
                    &runner.entry(service, "ready"),
                );
                record.line(&format!(
                    "runner {}: {service} in {} at {}",
                    runner.id,
                    runner.zone,
                    runner.address()
                ));
            }
        }
        let zones: Vec<_> = (0..machines)
            .map(|index| ZONES[index % ZONES.len()])
            .collect();
        let settings = gateway::Site {
            store: store.address,
            link_mbps: 700.0,
            memory_mb: 182,
            retry_extra: 126,
        };
        let gateways = gateway::start_all(&settings, &zones)?;
        // The machines find each other, and are in touch for the whole window before the case.
        thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
        record.line("the site is up");
        Ok(Self {
            store,
            engines,
            plain,
            gateways,
            pool,
            record: record.clone(),
        })
    }

    fn entry(&self) -> SocketAddr {
        self.gateways[0].clients
    }

    fn runs_of(&self, attempt: &str) -> Vec<Run> {
        let runs = self.pool.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.attempt == attempt)
            .cloned()
            .collect()
    }

    /// Starts a long stream, of about 14 seconds; returns the thread that reads it.
    fn draft(&self, attempt: &str) -> thread::JoinHandle<client::Answer> {
        let (entry, record, attempt) = (self.entry(), self.record.clone(), attempt.to_owned());
        thread::spawn(move || {
            let call = Call {
                method: "POST",
                path: "/lohu930/2f",
                attempt: &attempt,
                deadline_ms: 39_000,
                usage: Some((1_460, 1_400)),
                last_event: None,
            };
            client::call(entry, &call, PATIENCE, &record)
        })
    }

    /// Waits until a stream runs; returns its run and the engine.
    fn wait_for_run(&self, attempt: &str) -> Result<&Runner, String> {
        for _ in 0..100 {
            if let Some(run) = self.runs_of(attempt).first() {
                let mut engines = self.engines.iter();
                return engines
                    .find(|engine| engine.id == run.runner)
                    .ok_or_else(|| "no engine".into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the stream does not begin".into())
    }
}

/// The operator's configuration, as in the examples of the site.
fn configuration() -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout: u32,
                 objective: u32,
                 service: &str,
                 attempts: u32,
                 more: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"{prefix}","Type":"{kind}","TimeoutMs":{timeout},"TargetLatencyMs":{objective},"Priority":1,"Service":"{service}","MaxAttempts":{attempts},"Public":false{more}}}"#
        )
    };
    let stream = r#","SessionAffinity":true,"Resumable":false,"TargetGapMs":180"#;
    let resumable = r#","SessionAffinity":true,"Resumable":true,"TargetGapMs":180"#;
    let routes = [
        route(
            "r-draft",
            "/lohu930/",
            "streaming",
            39_000,
            1_800,
            ENGINES,
            1,
            stream,
        ),
        route(
            "r-check",
            "/pufi791/",
            "streaming",
            6_000,
            1_500,
            ENGINES,
            2,
            resumable,
        ),
        route("r-hold", "/pule252/", "unsafe", 1_000, 150, PORTAL, 1, ""),
        route("r-read", "/puxa403/", "safe", 1_000, 150, PORTAL, 2, ""),
    ];
    format!(
        r#"{{"Version":7,"Routes":[{}],"Services":[{{"Name":"{ENGINES}","HealthCheckPath":"/healthz","MaxConnections":702,"Protocol":"h1","Tls":false,"Engine":{{"Slots":32,"KvCapacity":34481,"KvBytes":327680,"LinkMbps":47000.0,"Moves":true,"Backups":true,"Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{{"Name":"m"}}]}}}},{{"Name":"{OTHER_ENGINES}","HealthCheckPath":"/healthz","MaxConnections":702,"Protocol":"h1","Tls":false,"Engine":{{"Slots":32,"KvCapacity":34481,"KvBytes":327680,"LinkMbps":47000.0,"Moves":true,"Backups":true,"Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{{"Name":"m"}}]}}}},{{"Name":"{PORTAL}","HealthCheckPath":"/healthz","MaxConnections":248,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"huka270","ApiKeys":["{KEY}"],"Priority":1}}]}}"#,
        routes.join(",")
    )
}

/// How the answer of a stream is lost while its run goes on.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Loss {
    /// The open channel falls silent, and new ones work.
    SilentChannel,
    /// The runner runs the request, and its answer is lost.
    LostAnswer,
}

/// TWICE: a stream goes on at another engine while the engine before still works on it.
fn handover(record: &Record, has_trouble: bool, loss: Loss) -> Result<Outcome, String> {
    let site = Site::start(record, 3, 1, 3)?;
    let attempt = "9c41d07be2a35f68";
    let reader = site.draft(attempt);
    let engine = site.wait_for_run(attempt)?;
    thread::sleep(Duration::from_millis(1_500));
    let mut disrupted = None;
    if has_trouble {
        match loss {
            Loss::SilentChannel => {
                if !engine.proxy.silence(attempt) {
                    return Err("no channel carries the stream".into());
                }
                record.line(&format!("the open channel to {} falls silent", engine.id));
            }
            Loss::LostAnswer => {
                *engine.lost_answer.lock().unwrap() = Some((attempt.into(), 0));
            }
        }
        disrupted = Some(record.now());
    }
    // Short streams show that the machine reaches all engines on new channels meanwhile.
    for index in 0..45 {
        let short = format!("short{index:02}");
        let call = Call {
            method: "POST",
            path: "/pufi791/2f",
            attempt: &short,
            deadline_ms: 6_000,
            usage: Some((700, 16)),
            last_event: None,
        };
        client::call(site.entry(), &call, PATIENCE, record);
        thread::sleep(Duration::from_millis(100));
    }
    let answer = reader.join().map_err(|_| "the client failed")?;
    thread::sleep(Duration::from_secs(2));
    record.line(&format!(
        "longest gap of the stream: {:?}",
        answer.longest_gap
    ));
    let runs = site.runs_of(attempt);
    let (Some(first), Some(next)) = (runs.first(), runs.iter().find(|run| run.is_continued)) else {
        return Ok(Outcome::Held);
    };
    let disrupted = disrupted.ok_or("a stream went on elsewhere without a disruption")?;
    let ended = first.ended.unwrap_or(record.now());
    let is_in_touch = loss == Loss::LostAnswer || next.arrived >= disrupted + STABLE_WINDOW;
    let all = site.pool.runs.lock().unwrap().clone();
    let reached = all
        .iter()
        .filter(|run| run.runner == first.runner && run.arrived > disrupted && run.arrived < ended)
        .count();
    record.line(&format!(
        "{} goes on at {} {:?} after the disruption; {} works on it for {:?} more and gets {reached} other requests of the machine; in touch: {is_in_touch}",
        attempt, next.runner, next.arrived - disrupted, first.runner, ended.saturating_sub(next.begun)
    ));
    let is_broken = is_in_touch && reached > 0 && ended > next.begun + HANDOVER;
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// REFUSED: a request that ran at a failing runner is answered with the promise that it did not run.
fn failed_after_work(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let site = Site::start(record, 1, 7, 3)?;
    if has_trouble {
        site.plain[0]
            .failing_percent
            .store(40, std::sync::atomic::Ordering::Relaxed);
        record.line(&format!(
            "runner {} fails 40 % of its requests from now on",
            site.plain[0].id
        ));
    }
    let mut broken = 0;
    for index in 0..300 {
        let attempt = format!("hold{index:03}");
        let call = Call {
            method: "POST",
            path: "/pule252/2f",
            attempt: &attempt,
            deadline_ms: 1_000,
            usage: None,
            last_event: None,
        };
        let answer = client::call(site.entry(), &call, Duration::from_secs(2), record);
        let runs = site.runs_of(&attempt).len();
        if matches!(answer.status, 408 | 421 | 429 | 503) && runs > 0 {
            record.line(&format!("{attempt} is answered {}, which promises that it did not run, and ran {runs} times", answer.status));
            broken += 1;
            // The client believes it, and comes back.
            let again = format!("{attempt}-again");
            let call = Call {
                attempt: &again,
                ..call
            };
            client::call(site.entry(), &call, Duration::from_secs(2), record);
            record.line(&format!(
                "what {attempt} asked for ran {} times",
                runs + site.runs_of(&again).len()
            ));
        }
    }
    record.line(&format!("{broken} false promises"));
    Ok(if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// ORDER: a stream that a release began goes on at another one, as a machine that stood still has missed that the
/// release joined and left.
fn missed_release(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let site = Site::start(record, 7, 1, 6)?;
    // The list of runners must be known for as long as a stream may be old.
    thread::sleep(Duration::from_secs(8));
    let frozen = site
        .gateways
        .iter()
        .position(|gateway| !gateway.is_watching())
        .ok_or("all machines watch")?;
    let others: Vec<_> = (0..site.gateways.len())
        .filter(|index| *index != frozen)
        .map(|index| site.gateways[index].clients)
        .collect();
    let end = record.now() + Duration::from_secs(12);
    let traffic: Vec<_> = (0..TRAFFIC_CLIENTS)
        .map(|number| {
            let (others, record) = (others.clone(), record.clone());
            thread::spawn(move || {
                let mut count = number;
                while record.now() < end {
                    let attempt = format!("{BACKGROUND}{number}-{count}");
                    let call = Call {
                        method: "POST",
                        path: "/pufi791/2f",
                        attempt: &attempt,
                        deadline_ms: 6_000,
                        usage: Some((300, 8)),
                        last_event: None,
                    };
                    client::call(
                        others[count % others.len()],
                        &call,
                        Duration::from_secs(2),
                        &record,
                    );
                    count += 1;
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        site.gateways[frozen].signal("STOP");
        record.line(&format!("machine {frozen} stands still"));
    }
    let began = record.now();
    thread::sleep(Duration::from_millis(1_500));
    let next = Runner::start("i-9e0b00", ZONES[0], "v2", Kind::Engine, &site.pool, record);
    let key = format!("servers/{}", next.id);
    site.store.put(&key, &next.entry(ENGINES, "ready"));
    record.line(&format!("runner {} of version v2 joins", next.id));
    thread::sleep(Duration::from_millis(200));
    let readers: Vec<_> = (0..48)
        .map(|index| {
            let (entry, record) = (others[index % others.len()], record.clone());
            thread::spawn(move || {
                let attempt = format!("check{index}");
                let call = Call {
                    method: "POST",
                    path: "/pufi791/2f",
                    attempt: &attempt,
                    deadline_ms: 6_000,
                    usage: Some((700, 480)),
                    last_event: None,
                };
                (
                    attempt.clone(),
                    client::call(entry, &call, PATIENCE, &record),
                )
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    site.store.remove(&key);
    let left = record.now();
    record.line(&format!(
        "runner {} leaves: its entry is removed, it serves on for DrainMs",
        next.id
    ));
    thread::sleep((left + DRAIN).saturating_sub(record.now()));
    next.exit();
    thread::sleep((began + FREEZE).saturating_sub(record.now()));
    if has_trouble {
        site.gateways[frozen].signal("CONT");
        record.line(&format!("machine {frozen} goes on"));
    }
    thread::sleep(Duration::from_millis(300));
    let (mut broken, mut cut) = (0, 0);
    for reader in readers {
        let (attempt, answer) = reader.join().map_err(|_| "a client failed")?;
        let began_at = site.runs_of(&attempt).first().map(|run| run.release);
        let events = client::count_events(&answer.body);
        if answer.is_complete || events == 0 || began_at != Some("v2") || cut == MAX_RESUMED {
            continue;
        }
        cut += 1;
        let again = format!("{attempt}-again");
        let call = Call {
            method: "POST",
            path: "/pufi791/2f",
            attempt: &again,
            deadline_ms: 6_000,
            usage: Some((700, 480)),
            last_event: Some(events),
        };
        let resumed = client::call(site.gateways[frozen].clients, &call, PATIENCE, record);
        let runs = site.runs_of(&again);
        for run in runs
            .iter()
            .filter(|run| run.release != "v2" && resumed.status == 200)
        {
            record.line(&format!(
                "{attempt} has events 1 to {events} of version v2, and goes on at {} of version {} after event {}",
                run.runner, run.release, run.after
            ));
            broken += 1;
        }
    }
    for client in traffic {
        let _ = client.join();
    }
    if cut == 0 {
        return Err("no stream began at version v2 and broke off".into());
    }
    Ok(if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// ORDER: a stream that a runner of one version began goes on at one of another version, as its route has moved to
/// another service meanwhile.
fn moved_route(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let site = Site::start(record, 3, 1, 3)?;
    let others = (0..3).map(|index| {
        Runner::start(
            &format!("i-5d1c{index:02}"),
            ZONES[index],
            "v2",
            Kind::Engine,
            &site.pool,
            record,
        )
    });
    for runner in others {
        site.store.put(
            &format!("servers/{}", runner.id),
            &runner.entry(OTHER_ENGINES, "ready"),
        );
        record.line(&format!(
            "runner {}: {OTHER_ENGINES}, version v2, in {}",
            runner.id, runner.zone
        ));
    }
    // The list of runners must be known for as long as a stream may be old.
    thread::sleep(Duration::from_secs(8));
    let attempt = "check0";
    let (entry, reader_record) = (site.entry(), record.clone());
    let check = |attempt, last_event| Call {
        method: "POST",
        path: "/pufi791/2f",
        attempt,
        deadline_ms: 6_000,
        usage: Some((700, 480)),
        last_event,
    };
    let reader =
        thread::spawn(move || client::call(entry, &check(attempt, None), PATIENCE, &reader_record));
    site.wait_for_run(attempt)?;
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        let moved = configuration().replace("\"Version\":7", "\"Version\":8");
        let (before, route) = moved
            .split_once("\"Name\":\"r-check\"")
            .ok_or("no route r-check")?;
        let next = format!(
            "{before}\"Name\":\"r-check\"{}",
            route.replacen(ENGINES, OTHER_ENGINES, 1)
        );
        site.store.put("op/config", &next);
        record.line(&format!(
            "version 8 moves the route to {OTHER_ENGINES}, acknowledged"
        ));
        thread::sleep(Duration::from_millis(1_500));
        site.gateways[0].signal("KILL");
        record.line("the process on machine 0 is killed");
    }
    let answer = reader.join().map_err(|_| "the client failed")?;
    let events = client::count_events(&answer.body);
    if answer.is_complete {
        return Ok(Outcome::Held);
    }
    if events == 0 || !has_trouble {
        return Err("the stream did not begin, or broke off by itself".into());
    }
    let again = "check0-again";
    let resumed = client::call(
        site.gateways[1].clients,
        &check(again, Some(events)),
        PATIENCE,
        record,
    );
    let began = site.runs_of(attempt).first().map(|run| run.release);
    let runs = site.runs_of(again);
    let other = runs
        .iter()
        .find(|run| Some(run.release) != began && resumed.status == 200);
    Ok(match other {
        Some(run) => {
            record.line(&format!(
                "{attempt} has events 1 to {events} of version {}, and goes on at {} of version {} after event {}",
                began.unwrap_or_default(), run.runner, run.release, run.after
            ));
            Outcome::Broken
        }
        None => Outcome::Held,
    })
}
