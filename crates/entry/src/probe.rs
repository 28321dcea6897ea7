//! Reads the load of targets for the policy.
//!
//! A VM reads the targets of its own data centre that it sends work to, and those of other data
//! centres at a quarter of the pace.

use {
    crate::{Context, gossip, http, orders},
    base::key,
    config::deployment::{Kind, Target},
    route::{Event, Load},
    serde_json::Value,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Time between two reads of the load of one target of the same data centre.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Reads of a target of the same data centre for each one of a target of another.
const REMOTE_DIVISOR: u64 = 4;
/// Longest wait for a load report.
const LIMIT: Duration = Duration::from_secs(2);

/// Reads the load of targets for as long as the process runs.
pub async fn run(context: Arc<Context>) {
    for round in 0.. {
        let view = Arc::clone(&context.deployment.load().view);
        context
            .observed
            .retain(|target| view.targets.contains(target));
        for (index, (key, target)) in (0..).zip(view.targets.iter()) {
            let is_local = target.data_centre == context.identity.data_centre;
            let is_due = is_local || (round + index) % REMOTE_DIVISOR == 0;
            if is_due && context.observed.begin(key) {
                let probe = probe(Arc::clone(&context), key, target.clone());
                context.spawn(probe);
            }
        }
        Timer::after(INTERVAL).await;
    }
}

async fn probe(context: Arc<Context>, target: key::Target, settings: Target) {
    let answer = http::get_json(&context, settings.address, "/v1/load", LIMIT).await;
    let now = context.now();
    let report = answer.as_ref().ok().map(load);
    let reachable = context.observed.note(target, now, report.as_ref());
    context
        .router
        .handle(now, Event::Reachable { target, reachable });
    let (Ok(value), Some(load)) = (answer, report.map(Box::new)) else {
        return;
    };
    let snapshot = context.snapshot();
    let service = snapshot.services.get(settings.service);
    if let Some(service) = service.filter(|service| service.kind == Kind::Model) {
        let metrics = &context.metrics;
        metrics.preemptions(target, &service.name, load.preemptions);
    }
    context.router.handle(now, Event::Report { target, load });
    let models = orders::names(&value["models"]);
    orders::handle(&context, place::Event::Loaded { target, models });
    let Some(leaving) = value["leaving"].as_bool() else {
        return;
    };
    let sequence = value["sequence"].as_u64().unwrap_or(0);
    let report = fleet::Event::LoadReport {
        target,
        sequence,
        leaving,
    };
    gossip::handle(&context, report);
}

fn load(value: &Value) -> Load {
    let number = |name: &str| value[name].as_u64().unwrap_or(0);
    let models = value["models"].as_array().into_iter().flatten();
    Load {
        sequence: number("sequence"),
        age: Duration::from_millis(number("age_ms")),
        running: number("running") as u32,
        waiting: number("waiting") as u32,
        memory_total: number("memory_total"),
        memory_used: number("memory_used"),
        preemptions: number("preemptions"),
        tokens_per_second: value["tokens_per_second"].as_f64().unwrap_or(0.0),
        models: models
            .filter_map(Value::as_str)
            .map(|name| key::Model::of(name.split('@').next().unwrap_or(name)))
            .collect(),
    }
}
