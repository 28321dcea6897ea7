//! Reads the cache events of engines for the policy: those of its own data centre that this VM sends
//! work to.

use {
    crate::{Context, http},
    base::key,
    config::deployment::{Kind, Target},
    route::Event,
    serde_json::Value,
    smol::Timer,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between two reads of one engine's events.
pub const INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for events.
const LIMIT: Duration = Duration::from_secs(1);

/// Sequence number of the last event that was read from each engine.
type Cursors = HashMap<key::Target, u64>;

/// Reads the events of engines for as long as the process runs.
pub async fn run(context: Arc<Context>) {
    let mut cursors = Cursors::new();
    loop {
        let view = Arc::clone(&context.deployment.load().view);
        let is_read = |target: &Target| {
            let service = view.services.get(target.service);
            target.data_centre == context.identity.data_centre
                && service.is_some_and(|service| service.kind == Kind::Model)
        };
        let engines = view.targets.iter();
        let engines = engines.filter(|(_, target)| is_read(target));
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
        Timer::after(INTERVAL).await;
    }
}

/// Reads new events; an engine that does not answer begins anew, since it may have restarted.
async fn read(
    context: Arc<Context>,
    target: key::Target,
    address: SocketAddr,
    after: u64,
) -> Option<(key::Target, u64)> {
    let path = format!("/v1/cache-events?after={after}");
    let value = http::get_json(&context, address, &path, LIMIT).await.ok()?;
    let (last, event) = event(target, after, &value);
    if let Some(event) = event {
        context.router.handle(context.now(), event);
    }
    Some((target, last))
}

/// Joins the events of an answer into one for the policy; also returns the last sequence number.
pub fn event(target: key::Target, after: u64, value: &Value) -> (u64, Option<Event>) {
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
