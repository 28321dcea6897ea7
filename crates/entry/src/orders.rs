//! Orders to engines: what the placement decides, sent and logged.

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

/// Longest wait for an engine's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Longest answer of an engine in bytes.
const BODY_LIMIT: usize = 64 << 10;
/// Peers that are asked for a newer configuration before an order.
const CONFIRMING_PEERS: usize = 2;
/// Time over which the demand for a model is counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// The placement and what it is told in passing.
#[derive(Debug)]
pub struct Orders {
    placement: Mutex<Placement>,
    demand: Mutex<Demand>,
}

/// Requests for each model since the window began.
#[derive(Debug, Default)]
struct Demand {
    since: Instant,
    requests: HashMap<key::Model, u32>,
}

impl Orders {
    /// Starts without a configuration.
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
    pub fn count(&self, model: key::Model) {
        let mut demand = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        *demand.requests.entry(model).or_default() += 1;
    }

    fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the rate of each model at the end of a window.
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

/// Ticks the placement for as long as the process runs.
pub async fn run(context: Arc<Context>) {
    loop {
        Timer::after(place::placement::TICK_INTERVAL).await;
        tell_peers(&context);
        for (model, rate) in context.orders.take_demand(context.now()) {
            handle(&context, Event::Demand { model, rate });
        }
        handle(&context, Event::Tick);
    }
}

/// Tells the placement who shares the engines, and whether that view is fresh.
fn tell_peers(context: &Arc<Context>) {
    let (members, fresh) = {
        let membership = context.gossip.membership();
        (membership.available().collect(), membership.is_fresh())
    };
    let ready = fresh && context.configuration.is_ready();
    handle(context, Event::Members(members));
    handle(context, Event::MembershipFresh(ready));
}

/// Tells the placement what happened, and does what follows.
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
            let held = match address(&context, target) {
                Some(address) => read(&context, address).await,
                None => None,
            };
            handle(
                &context,
                Event::StateRead {
                    target,
                    state: held,
                },
            );
        }),
        Action::ConfirmVersion(target) => Context::spawn(&Arc::clone(&context), async move {
            let version = confirm(&context).await;
            // A pause while the peers were asked is noticed before their answer counts.
            gossip::handle(&context, fleet::Event::Tick);
            tell_peers(&context);
            handle(&context, Event::VersionConfirmed { target, version });
        }),
        Action::Order {
            target,
            fence,
            models,
            cause,
        } => Context::spawn(&Arc::clone(&context), async move {
            let outcome = match address(&context, target) {
                Some(address) => order(&context, address, fence, &models).await,
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

/// Reads what an engine was ordered to hold, and what it has loaded.
async fn read(context: &Context, engine: SocketAddr) -> Option<EngineState> {
    let value = http::get_json(context, engine, "/v1/orders", ANSWER_LIMIT).await;
    let value = value.ok()?;
    Some(EngineState {
        fence: Fence::from_number(value["fence"].as_u64()?),
        models: names(&value["models"]),
        loaded: names(&value["loaded"]),
    })
}

/// Reads a list of models, as `NAME@VERSION`.
pub fn names(value: &Value) -> Vec<Box<str>> {
    let names = value.as_array().into_iter().flatten();
    names
        .filter_map(Value::as_str)
        .map(Box::<str>::from)
        .collect()
}

/// Asks a few peers which version they have in force; returns the highest.
async fn confirm(context: &Arc<Context>) -> Option<u64> {
    let peers: Vec<_> = {
        let membership = context.gossip.membership();
        let open = membership.members().filter(|member| member.is_available());
        open.map(|member| member.address)
            .take(CONFIRMING_PEERS)
            .collect()
    };
    let mut highest = None;
    for peer in peers {
        let asking = configuration::ask(context, peer, u64::MAX);
        let Some(Some((number, _))) = with_timeout(ANSWER_LIMIT, asking).await else {
            continue;
        };
        highest = highest.max(Some(number));
        let version = Version { number, digest: 0 };
        configuration::handle(context, spread::Event::VersionAnnounced { peer, version });
    }
    highest
}

async fn order(
    context: &Context,
    engine: SocketAddr,
    fence: Fence,
    models: &[Box<str>],
) -> Outcome {
    let body = json!({"fence": fence.number(), "models": models, "role": "serve"});
    match with_timeout(ANSWER_LIMIT, post(context, engine, &body)).await {
        Some(Ok((status, _))) if status.is_success() => Outcome::Accepted,
        Some(Ok((StatusCode::CONFLICT, answer))) => {
            let held = answer["fence"].as_u64().unwrap_or_default();
            Outcome::Stale(Fence::from_number(held))
        }
        _ => Outcome::Failed,
    }
}

async fn post(
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

/// Writes the log line of an order.
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
        "ordered the state of an engine"
    );
}
