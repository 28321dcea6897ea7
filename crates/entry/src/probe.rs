//! Polls the load reports of targets, which also serve as health checks.
//!
//! A VM polls the targets that it uses: those of its own data centre at each interval, those of
//! other data centres at a quarter of that rate.

use {
    crate::{Context, gossip, http, orders},
    base::key,
    config::deployment::{Kind, Target},
    route::{Event, Load},
    serde_json::Value,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Interval between two polls of a target of the same data centre.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Polls of a target of the same data centre per poll of a target of another one.
const REMOTE_DIVISOR: u64 = 4;
/// Longest wait for a load report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the targets until the process ends.
pub async fn run(context: Arc<Context>) {
    for round in 0.. {
        let view = Arc::clone(&context.deployment.load().view);
        context
            .probes
            .retain(|target| view.targets.contains(target));
        for (index, (key, target)) in (0..).zip(view.targets.iter()) {
            let is_local = target.data_centre == context.identity.data_centre;
            let is_due = is_local || (round + index) % REMOTE_DIVISOR == 0;
            if is_due && context.probes.start(key) {
                let probe = probe(Arc::clone(&context), key, target.clone());
                context.spawn(probe);
            }
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Polls one target and reports the result to the policy, the placement and the membership.
async fn probe(context: Arc<Context>, target: key::Target, settings: Target) {
    let answer = http::get_json(&context, settings.address, "/v1/load", ANSWER_TIMEOUT).await;
    let now = context.now();
    let report = answer.as_ref().ok().map(parse_load);
    let reachable = context.probes.record(target, now, report.as_ref());
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
        metrics.count_preemptions(target, &service.name, load.preemptions);
    }
    context.router.handle(now, Event::Report { target, load });
    let models = orders::model_names(&value["models"]);
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

fn parse_load(value: &Value) -> Load {
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
