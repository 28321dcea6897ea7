//! Fetches configurations from the platform and from peers, and the platform's list of VMs.

use {
    crate::{
        Context, context::Identity, deployment::Deployment, gossip, http, inner::Link, orders,
        owner, runtime::with_timeout,
    },
    base::{Instant, Machine, Refusal},
    bytes::Bytes,
    config::{Fault, Settings, Snapshot},
    derive_more::Debug,
    fleet::{
        Spread,
        spread::{self, Action, Answer, Event, Source},
    },
    hyper::{Method, StatusCode},
    serde_json::Value,
    smol::Timer,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    wire::msg::{self, envelope::Body},
};

/// Largest configuration value of the platform, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Longest wait for an answer, on top of the long poll's own wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the configuration's distribution, shared by the tasks of the process.
#[derive(Debug)]
pub struct Configuration {
    spread: Mutex<Spread>,
    is_ready: AtomicBool,
    /// Serialises installations, so that an older configuration never replaces a newer one.
    install_lock: Mutex<()>,
}

impl Configuration {
    /// Creates the state of a process that has no configuration yet.
    pub fn new(now: Instant, settings: &Settings, identity: &Identity) -> Self {
        let spread = Spread::builder()
            .now(now)
            .name(&identity.name)
            .address(settings.listen.inner)
            .seed(identity.incarnation ^ identity.vm.raw())
            .seeds(settings.vm.peers.clone())
            .build();
        Self {
            spread: Mutex::new(spread),
            is_ready: AtomicBool::new(false),
            install_lock: Mutex::default(),
        }
    }

    /// Returns whether a configuration is installed and the peers were asked for a newer one.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    fn spread(&self) -> MutexGuard<'_, Spread> {
        self.spread.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ticks the state machine until the process ends.
pub async fn run(context: Arc<Context>) {
    loop {
        handle(&context, Event::Tick);
        Timer::after(spread::TICK).await;
    }
}

/// Passes an event to the state machine and performs the resulting actions.
pub fn handle(context: &Arc<Context>, event: Event) {
    let mut actions = Vec::new();
    context
        .configuration
        .spread()
        .handle(context.now(), event, &mut actions);
    for action in actions {
        perform(context, action);
    }
}

fn perform(context: &Arc<Context>, action: Action) {
    match action {
        Action::Watch { after, wait } => {
            context.spawn(watch(Arc::clone(context), after, wait));
        }
        Action::Pull { peer, above } => context.spawn(pull(Arc::clone(context), peer, above)),
        Action::Apply { snapshot, source } => install(context, snapshot, source),
        Action::Reject {
            version,
            source,
            faults,
        } => log_rejected(context, version, source, &faults),
        Action::Conflict { kept, dropped } => {
            log::warn!(
                target: "configuration", kept:% = kept, dropped:% = dropped;
                "two configurations have the same version; keeping the one with the higher digest"
            );
        }
        Action::PlatformAnswered => gossip::handle(context, fleet::Event::PlatformAnswered),
        Action::Ready => {
            context
                .configuration
                .is_ready
                .store(true, Ordering::Release);
            log::info!(
                target: "configuration", configuration_version = context.snapshot().version;
                "ready to serve"
            );
        }
    }
}

/// Waits on the platform for a newer configuration and reports the answer.
async fn watch(context: Arc<Context>, after: u64, wait: Duration) {
    let limit = wait + ANSWER_TIMEOUT;
    let answer = match with_timeout(limit, read_platform(&context, after, wait)).await {
        Some(Ok(answer)) => answer,
        Some(Err(refusal)) => {
            log::debug!(
                target: "configuration", error:% = refusal;
                "can't read the configuration from the platform"
            );
            Answer::Failed
        }
        None => Answer::Failed,
    };
    handle(&context, Event::PlatformAnswer(answer));
}

/// Reads a configuration newer than version `after` from the platform by long polling.
async fn read_platform(context: &Context, after: u64, wait: Duration) -> Result<Answer, Refusal> {
    let wait = wait.as_millis();
    let path = format!("/v1/config?after={after}&wait_ms={wait}");
    let mut request = http::request(Method::GET, &path, Bytes::new())?;
    if let Ok(name) = context.identity.name.parse() {
        request.headers_mut().insert("x-vm", name);
    }
    let response = http::send(context, context.settings.platform.address, request).await?;
    if response.status() == StatusCode::NOT_MODIFIED {
        return Ok(Answer::Unchanged);
    }
    if !response.status().is_success() {
        return Ok(Answer::Failed);
    }
    let version = response.headers().get("x-version");
    let version = version.and_then(|version| version.to_str().ok()?.parse().ok());
    let body = http::read(response.into_body(), VALUE_LIMIT).await?;
    Ok(Answer::Value {
        version: version.unwrap_or(0),
        text: String::from_utf8_lossy(&body).into(),
    })
}

/// Asks a peer for a configuration newer than version `above` and reports the answer.
async fn pull(context: Arc<Context>, peer: SocketAddr, above: u64) {
    let event = match with_timeout(spread::PULL_TIMEOUT, query_peer(&context, peer, above)).await {
        Some(Some((version, value))) => Event::Pulled {
            peer,
            version,
            value,
        },
        _ => Event::PullFailed(peer),
    };
    handle(&context, event);
}

/// Queries a peer; returns its configuration's version, and the configuration if that is newer than
/// `above`. `None` if the peer doesn't answer.
pub async fn query_peer(
    context: &Context,
    peer: SocketAddr,
    above: u64,
) -> Option<(u64, Option<Box<str>>)> {
    let mut link = Link::connect(context, peer).await.ok()?;
    let query = msg::ConfigurationQuery {
        number: 1,
        version: above,
    };
    link.send(Body::ConfigurationQuery(query)).await.ok()?;
    let Body::Configuration(answer) = link.receive().await.ok()? else {
        return None;
    };
    let value = (!answer.value.is_empty()).then(|| String::from_utf8_lossy(&answer.value).into());
    Some((answer.version, value))
}

/// Answers a peer's query for a newer configuration.
pub fn answer(context: &Context, query: msg::ConfigurationQuery) -> msg::Configuration {
    let snapshot = context.snapshot();
    let value = if snapshot.version > query.version {
        snapshot.value.as_bytes().to_vec()
    } else {
        Vec::new()
    };
    msg::Configuration {
        number: query.number,
        version: snapshot.version,
        value,
    }
}

/// Puts a configuration into force, unless the current one is as new or newer.
fn install(context: &Arc<Context>, snapshot: Arc<Snapshot>, source: Source) {
    let version = snapshot.version;
    let guard = context.configuration.install_lock.lock();
    if fleet::Version::from(&*snapshot) <= fleet::Version::from(&*context.snapshot()) {
        return;
    }
    let deployment = Deployment::new(Arc::clone(&snapshot), &context.identity);
    let event = route::Event::Configuration(Arc::clone(&deployment.view));
    context.deployment.store(Arc::new(deployment));
    context.router.handle(context.now(), event);
    reapply_departures(context);
    drop(guard);
    owner::update_vm_list(context);
    log::info!(
        target: "configuration", configuration_version = version, source:% = source;
        "configuration in force"
    );
    orders::handle(context, place::Event::Configuration(Arc::clone(&snapshot)));
    gossip::handle(context, fleet::Event::Configuration(snapshot));
}

/// Reports the leaving targets to the policy again, since a new configuration may add such targets.
fn reapply_departures(context: &Context) {
    let leaving: Vec<_> = {
        let membership = context.gossip.membership();
        let departures = membership.departures().iter();
        departures
            .filter(|(_, departure)| departure.leaving)
            .map(|(target, _)| target)
            .collect()
    };
    for target in leaving {
        let event = route::Event::Leaving {
            target,
            leaving: true,
        };
        context.router.handle(context.now(), event);
    }
}

fn log_rejected(context: &Context, version: u64, source: Source, faults: &[Fault]) {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    log::error!(
        target: "configuration", version, source:% = source, faults = faults.len(),
        first:% = first, configuration_version = context.snapshot().version;
        "rejected an invalid configuration; keeping the current one"
    );
}

/// Polls the platform's list of VMs while this VM is one of those that watch the platform.
pub async fn poll_vm_list(context: Arc<Context>) {
    loop {
        let platform = &context.settings.platform;
        if context.configuration.spread().is_watcher(context.now()) {
            let answer =
                http::get_json(&context, platform.address, "/v1/vms", ANSWER_TIMEOUT).await;
            if let Ok(value) = answer {
                gossip::handle(&context, fleet::Event::TargetList(parse_vm_list(&value)));
            }
        }
        Timer::after(platform.list_interval).await;
    }
}

/// Parses the list: each VM's name, and whether it is leaving.
fn parse_vm_list(value: &Value) -> Vec<(Box<str>, bool)> {
    let vms = value["vms"].as_array().into_iter().flatten();
    vms.filter_map(|vm| Some((vm["name"].as_str()?.into(), vm["state"] == "leaving")))
        .collect()
}
