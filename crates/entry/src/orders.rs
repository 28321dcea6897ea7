//! Sends the placement's orders to engines: which models each of them serves.

use {
    crate::{Context, configuration, context::Identity, gossip, http, runtime::with_timeout},
    base::{Instant, Machine, Refusal, key},
    bytes::Bytes,
    derive_more::Debug,
    fleet::{Version, spread},
    hyper::{Method, StatusCode},
    place::{Action, EngineState, Event, Fence, Outcome, Placement, event::Cause},
    serde_json::{Value, json},
    smol::Timer,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Longest wait for an answer of an engine or a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response body of an engine, in bytes.
const BODY_LIMIT: usize = 64 << 10;
/// Peers that are asked for a newer configuration version before an order is sent.
const CONFIRMING_PEERS: usize = 2;
/// Window over which the request rate of each model is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// The placement's state machine and the demand counted for it.
#[derive(Debug)]
pub struct Orders {
    placement: Mutex<Placement>,
    demand: Mutex<Demand>,
}

/// Requests per model since the window started.
#[derive(Debug, Default)]
struct Demand {
    since: Instant,
    requests: HashMap<key::Model, u32>,
}

impl Orders {
    /// Creates a placement that has no configuration yet.
    pub fn new(now: Instant, identity: &Identity) -> Self {
        let placement = Placement::builder()
            .now(now)
            .vm(identity.vm)
            .data_centre(identity.data_centre)
            .build();
        Self {
            placement: Mutex::new(placement),
            demand: Mutex::default(),
        }
    }

    /// Counts a request for a model.
    pub fn count_request(&self, model: key::Model) {
        let mut demand = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        *demand.requests.entry(model).or_default() += 1;
    }

    fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns each model's requests per second once a window is over, else nothing.
    fn take_demand(&self, now: Instant) -> Vec<(key::Model, f64)> {
        let mut demand = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.since(demand.since);
        if elapsed < DEMAND_WINDOW {
            return Vec::new();
        }
        demand.since = now;
        let rate = |requests: &mut u32| f64::from(std::mem::take(requests)) / elapsed.as_secs_f64();
        let requests = demand.requests.iter_mut();
        requests
            .map(|(model, requests)| (*model, rate(requests)))
            .collect()
    }
}

/// Ticks the placement until the process ends.
pub async fn run(context: Arc<Context>) {
    loop {
        Timer::after(place::placement::TICK_INTERVAL).await;
        report_members(&context);
        for (model, rate) in context.orders.take_demand(context.now()) {
            handle(&context, Event::Demand { model, rate });
        }
        handle(&context, Event::Tick);
    }
}

/// Reports the available entry VMs to the placement, and whether that view is fresh.
fn report_members(context: &Arc<Context>) {
    let (members, fresh) = {
        let membership = context.gossip.membership();
        (membership.available().collect(), membership.is_fresh())
    };
    let ready = fresh && context.configuration.is_ready();
    handle(context, Event::Members(members));
    handle(context, Event::MembershipFresh(ready));
}

/// Passes an event to the placement and performs the resulting actions.
pub fn handle(context: &Arc<Context>, event: Event) {
    let mut actions = Vec::new();
    context
        .orders
        .placement()
        .handle(context.now(), event, &mut actions);
    for action in actions {
        perform(context, action);
    }
}

fn perform(context: &Arc<Context>, action: Action) {
    let context = Arc::clone(context);
    match action {
        Action::ReadState(target) => Context::spawn(&Arc::clone(&context), async move {
            let state = match address(&context, target) {
                Some(address) => read_state(&context, address).await,
                None => None,
            };
            handle(&context, Event::StateRead { target, state });
        }),
        Action::ConfirmVersion(target) => Context::spawn(&Arc::clone(&context), async move {
            let version = confirm_version(&context).await;
            // Detects a pause of the process during the queries before their result is used.
            gossip::handle(&context, fleet::Event::Tick);
            report_members(&context);
            handle(&context, Event::VersionConfirmed { target, version });
        }),
        Action::Order {
            target,
            fence,
            models,
            cause,
        } => Context::spawn(&Arc::clone(&context), async move {
            let outcome = match address(&context, target) {
                Some(address) => send_order(&context, address, fence, &models).await,
                None => Outcome::Failed,
            };
            log_order(&context, target, fence, &models, cause, outcome);
            handle(&context, Event::Ordered { target, outcome });
        }),
    }
}

fn address(context: &Context, target: key::Target) -> Option<SocketAddr> {
    let snapshot = context.snapshot();
    Some(snapshot.targets.get(target)?.address)
}

/// Reads an engine's last order and the models that it has loaded.
async fn read_state(context: &Context, engine: SocketAddr) -> Option<EngineState> {
    let value = http::get_json(context, engine, "/v1/orders", ANSWER_TIMEOUT).await;
    let value = value.ok()?;
    Some(EngineState {
        fence: Fence::from_number(value["fence"].as_u64()?),
        models: model_names(&value["models"]),
        loaded: model_names(&value["loaded"]),
    })
}

/// Parses a list of models, each as `NAME@VERSION`.
pub fn model_names(value: &Value) -> Vec<Box<str>> {
    let names = value.as_array().into_iter().flatten();
    names
        .filter_map(Value::as_str)
        .map(Box::<str>::from)
        .collect()
}

/// Asks a few peers for their configuration version; returns the highest, `None` without an answer.
async fn confirm_version(context: &Arc<Context>) -> Option<u64> {
    let peers: Vec<_> = {
        let membership = context.gossip.membership();
        let available = membership.members().filter(|member| member.is_available());
        available
            .map(|member| member.address)
            .take(CONFIRMING_PEERS)
            .collect()
    };
    let mut highest = None;
    for peer in peers {
        let query = configuration::query_peer(context, peer, u64::MAX);
        let Some(Some((number, _))) = with_timeout(ANSWER_TIMEOUT, query).await else {
            continue;
        };
        highest = highest.max(Some(number));
        let version = Version { number, digest: 0 };
        configuration::handle(context, spread::Event::VersionAnnounced { peer, version });
    }
    highest
}

async fn send_order(
    context: &Context,
    engine: SocketAddr,
    fence: Fence,
    models: &[Box<str>],
) -> Outcome {
    let body = json!({"fence": fence.number(), "models": models, "role": "serve"});
    match with_timeout(ANSWER_TIMEOUT, post_order(context, engine, &body)).await {
        Some(Ok((status, _))) if status.is_success() => Outcome::Accepted,
        Some(Ok((StatusCode::CONFLICT, answer))) => {
            let fence = answer["fence"].as_u64().unwrap_or_default();
            Outcome::Stale(Fence::from_number(fence))
        }
        _ => Outcome::Failed,
    }
}

async fn post_order(
    context: &Context,
    engine: SocketAddr,
    body: &Value,
) -> Result<(StatusCode, Value), Refusal> {
    let body = Bytes::from(body.to_string());
    let request = http::request(Method::POST, "/v1/orders", body)?;
    let response = http::send(context, engine, request).await?;
    let status = response.status();
    let body = http::read(response.into_body(), BODY_LIMIT).await?;
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

fn log_order(
    context: &Context,
    target: key::Target,
    fence: Fence,
    models: &[Box<str>],
    cause: Cause,
    outcome: Outcome,
) {
    let snapshot = context.snapshot();
    let engine = snapshot.targets.get(target);
    let members = context.gossip.membership().available().count();
    log::info!(
        target: "order", engine:% = engine.map_or("", |engine| &*engine.name), fence:% = fence,
        models:% = models.join(" "), cause:% = cause, outcome:% = outcome, members,
        configuration_version = snapshot.version;
        "sent an order to an engine"
    );
}
