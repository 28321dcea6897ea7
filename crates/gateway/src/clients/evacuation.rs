//! Copies a run off an engine that leaves.
//!
//! Load pattern: the engine that held the copy of a run has left before the one that runs it. When
//! the latter gives notice as well, its runs are copied once more, again and again until it is
//! gone, so that little is read anew where they go on.

use {
    crate::{
        Shared,
        clients::{
            exchange::Exchange,
            generation::{Plan, refuge},
            relay::Copy,
        },
        targets::{client::Failure, dispatcher::Place},
    },
    base::{Instant, key},
    bytes::Bytes,
    dispatch::listing::Target,
    entry::runtime::within,
    hyper::Method,
    platform::engine,
    smol::Task,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between two looks at the engines.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two copies of the same run.
const COPY_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time for a copy: the longest notice of an engine, and a margin.
const COPY_LIMIT: Duration = Duration::from_millis(2_500);
/// Time for an engine to free a copy; its memory counts as taken meanwhile.
const FREE_LIMIT: Duration = Duration::from_millis(500);
/// Time for the answer about a copy once its engine has broken off: the answer was on its way.
const FINISH_LIMIT: Duration = Duration::from_millis(50);

/// The copies of one run.
#[derive(Debug, Default)]
pub struct Evacuation {
    under_way: Option<UnderWay>,
    /// The engine that got a copy at the source's order.
    copied_to: Option<Target>,
    /// Engine that the copies are made at.
    source: Option<SocketAddr>,
    /// Engines that had no room.
    full: Vec<key::Target>,
    next_look: Instant,
}

#[derive(Debug)]
struct UnderWay {
    task: Task<Result<Box<str>, Failure>>,
    target: Target,
    /// Empty if the room is held by the copy before.
    place: Option<Place>,
}

impl Evacuation {
    /// Looks at the engines and starts a copy, or takes one that is complete.
    pub fn tend(
        &mut self,
        exchange: &Exchange,
        plan: &Plan,
        source: &Target,
        held: &mut Option<Copy>,
    ) {
        let shared = &exchange.shared;
        let now = shared.now();
        if now < self.next_look || !plan.engine.is_some_and(|engine| engine.supports_migration) {
            return;
        }
        self.next_look = now + LOOK_INTERVAL;
        if let Some(under_way) = self
            .under_way
            .take_if(|under_way| under_way.task.is_finished())
        {
            let result = smol::future::block_on(under_way.task);
            self.complete(
                exchange,
                source,
                (under_way.target, under_way.place),
                result,
                held,
            );
            if self.copied_to.is_some() {
                self.next_look = now + COPY_INTERVAL;
                return;
            }
        }
        if self.under_way.is_some() || shared.directory.stays(source.key) {
            return;
        }
        let stays = held
            .as_ref()
            .is_some_and(|held| shared.directory.stays(held.target.key));
        let (target, place) = match (&self.copied_to, stays) {
            (Some(target), true) => (target.clone(), None),
            (None, true) => return,
            (_, false) => {
                let excluded = [&*self.full, &[source.key]].concat();
                let Some((target, place)) = refuge(exchange, plan, source, &excluded) else {
                    self.full.clear();
                    return;
                };
                (target, Some(place))
            }
        };
        let order = order(
            Arc::clone(shared),
            source.address,
            exchange.head.attempt_id.clone(),
            target.address,
        );
        self.source = Some(source.address);
        self.under_way = Some(UnderWay {
            task: shared.runtime.spawn(order),
            target,
            place,
        });
    }

    /// Waits for a copy that is under way when the engine breaks off.
    pub async fn finish(&mut self, exchange: &Exchange, source: &Target, held: &mut Option<Copy>) {
        let Some(under_way) = self.under_way.take() else {
            return;
        };
        let result = within(FINISH_LIMIT, under_way.task).await;
        let result = result.unwrap_or_else(|| Err(Failure::may_have_run("no answer in time")));
        self.complete(
            exchange,
            source,
            (under_way.target, under_way.place),
            result,
            held,
        );
    }

    /// Frees the copies of a run that has ended without them.
    ///
    /// Those that grow with the run go by themselves once it has ended well.
    pub fn release(self, exchange: &Exchange, held: Option<Copy>, has_ended_well: bool) {
        let shared = Arc::clone(&exchange.shared);
        let held = held.filter(|_| self.copied_to.is_some() || !has_ended_well);
        if let Some(held) = held {
            let freed = free(Arc::clone(&shared), held);
            shared.runtime.spawn(freed).detach();
        }
        let Some(UnderWay {
            task,
            target,
            place: Some(place),
        }) = self.under_way
        else {
            return;
        };
        let origin = self.source;
        let freed = async move {
            if let (Ok(handle), Some(origin)) = (task.await, origin) {
                let copy = Copy {
                    target,
                    place,
                    origin,
                    handle,
                };
                free(Arc::clone(&shared), copy).await;
            }
        };
        exchange.shared.runtime.spawn(freed).detach();
    }

    fn complete(
        &mut self,
        exchange: &Exchange,
        source: &Target,
        (target, place): (Target, Option<Place>),
        result: Result<Box<str>, Failure>,
        held: &mut Option<Copy>,
    ) {
        let (is_copied, detail) = match &result {
            Ok(_) => (true, "complete".to_owned()),
            Err(failure) => (false, failure.to_string()),
        };
        log::info!(
            target: "copied", request:% = exchange.head.attempt_id, instance:% = source.instance,
            to:% = target.instance, is_copied, detail;
            "the copy of a run off an engine that leaves has ended"
        );
        let Ok(handle) = result else {
            self.full.push(target.key);
            return;
        };
        if let Some(place) = place {
            *held = Some(Copy {
                target: target.clone(),
                place,
                origin: source.address,
                handle,
            });
        } else if let Some(held) = held {
            held.handle = handle;
        }
        self.copied_to = Some(target);
    }
}

/// Orders an engine to copy a run; returns the name of the copy.
async fn order(
    shared: Arc<Shared>,
    source: SocketAddr,
    attempt: Box<str>,
    to: SocketAddr,
) -> Result<Box<str>, Failure> {
    let body = engine::move_request(&attempt, to, false);
    let call = shared
        .client
        .call(source, Method::POST, engine::MOVE_PATH, body, COPY_LIMIT);
    let (status, body) = call.await?;
    if !status.is_success() {
        return Err(Failure::may_have_run(format!(
            "the engine answered {status}"
        )));
    }
    let moved = engine::parse_move_response(&body)
        .map_err(|error| Failure::may_have_run(error.to_string()))?;
    moved
        .handle
        .ok_or_else(|| Failure::may_have_run("the engine named no copy"))
}

/// Frees a copy at the engine that named it, or at the one that holds it if the former is gone.
async fn free(shared: Arc<Shared>, copy: Copy) {
    let path = engine::copy_path(&copy.handle);
    for address in [copy.origin, copy.target.address] {
        let body = Bytes::new();
        let call = shared
            .client
            .call(address, Method::DELETE, &path, body, FREE_LIMIT);
        match call.await {
            Ok((status, _)) => {
                log::debug!(target: "copied", instance:% = copy.target.instance, status = status.as_u16(); "a copy that is not needed was freed");
                return;
            }
            Err(failure) => {
                log::debug!(target: "copied", instance:% = copy.target.instance, reason:% = failure; "a copy could not be freed at one engine");
            }
        }
    }
}
