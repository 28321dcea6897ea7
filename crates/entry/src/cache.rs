//! Polls the KV cache events of engines for the policy.
//!
//! A VM polls the engines that it uses in its own data centre.

use {
    crate::{Context, http},
    base::key,
    config::deployment::{Kind, Target},
    route::Event,
    serde_json::Value,
    smol::Timer,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval between two polls of an engine's events.
pub const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for an engine's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sequence number of the last event read from each engine.
type Cursors = HashMap<key::Target, u64>;

/// Polls the engines until the process ends.
pub async fn run(context: Arc<Context>) {
    let mut cursors = Cursors::new();
    loop {
        let view = Arc::clone(&context.deployment.load().view);
        let is_polled = |target: &Target| {
            let service = view.services.get(target.service);
            target.data_centre == context.identity.data_centre
                && service.is_some_and(|service| service.kind == Kind::Model)
        };
        let engines = view.targets.iter();
        let engines = engines.filter(|(_, target)| is_polled(target));
        let reads = engines.map(|(key, target)| {
            let after = cursors.get(&key).copied().unwrap_or(0);
            let read = read(Arc::clone(&context), key, target.address, after);
            context.runtime.spawn(read)
        });
        let reads: Vec<_> = reads.collect();
        let mut next = Cursors::new();
        for read in reads {
            next.extend(read.await);
        }
        cursors = next;
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Reads an engine's new events; without an answer its cursor is reset, as it may have restarted.
async fn read(
    context: Arc<Context>,
    target: key::Target,
    address: SocketAddr,
    after: u64,
) -> Option<(key::Target, u64)> {
    let path = format!("/v1/cache-events?after={after}");
    let value = http::get_json(&context, address, &path, ANSWER_TIMEOUT)
        .await
        .ok()?;
    let (last, event) = merge_events(target, after, &value);
    if let Some(event) = event {
        context.router.handle(context.now(), event);
    }
    Some((target, last))
}

/// Merges an answer's events into one for the policy; also returns the last sequence number.
pub fn merge_events(target: key::Target, after: u64, value: &Value) -> (u64, Option<Event>) {
    let (mut stored, mut removed) = (Vec::new(), Vec::new());
    let (mut last, mut gap) = (after, false);
    for event in value["events"].as_array().into_iter().flatten() {
        let Some(sequence) = event["sequence"].as_u64() else {
            continue;
        };
        gap |= sequence > last + 1;
        last = last.max(sequence);
        stored.extend(hashes(&event["stored"]));
        removed.extend(hashes(&event["removed"]));
    }
    if last == after {
        return (after, None);
    }
    let event = Event::Cache {
        target,
        stored,
        removed,
        gap,
    };
    (last, Some(event))
}

fn hashes(value: &Value) -> impl Iterator<Item = u64> {
    let hashes = value.as_array().into_iter().flatten();
    hashes.filter_map(Value::as_u64)
}
