//! The scenarios of the cases.

use {
    crate::{
        client::{self, Call},
        gateway::{self, Gateway},
        link,
        record::Record,
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
const PORTAL: &str = "wuno96b";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// `StableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
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
        "failed-after-work" => failed_after_work(record, has_trouble),
        _ => Err(format!("no scenario {name}")),
    }
}

struct Site {
    engines: Vec<Runner>,
    plain: Vec<Runner>,
    gateways: Vec<Gateway>,
    pool: Pool,
    record: Record,
}

impl Site {
    fn start(record: &Record, engines: usize, plain: usize) -> Result<Self, String> {
        let pool = Pool::default();
        let store = Store::start(link::listen_anywhere());
        store.put("op/config", &configuration());
        let start = |kind, count: usize, prefix: &str| {
            let runners = (0..count).map(|index| {
                let id = format!("i-{prefix}{index:02}");
                Runner::start(&id, ZONES[index % ZONES.len()], kind, &pool, record)
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
        let settings = gateway::Site {
            store: store.address,
            link_mbps: 700.0,
            memory_mb: 182,
            retry_extra: 126,
        };
        let gateways = gateway::start_all(&settings, &ZONES)?;
        // The machines find each other, and are in touch for the whole window before the case.
        thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
        record.line("the site is up");
        Ok(Self {
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
        r#"{{"Version":7,"Routes":[{}],"Services":[{{"Name":"{ENGINES}","HealthCheckPath":"/healthz","MaxConnections":702,"Protocol":"h1","Tls":false,"Engine":{{"Slots":32,"KvCapacity":34481,"KvBytes":327680,"LinkMbps":47000.0,"Moves":true,"Backups":true,"Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{{"Name":"m"}}]}}}},{{"Name":"{PORTAL}","HealthCheckPath":"/healthz","MaxConnections":248,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"huka270","ApiKeys":["{KEY}"],"Priority":1}}]}}"#,
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
    let site = Site::start(record, 3, 1)?;
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
    let site = Site::start(record, 1, 7)?;
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
