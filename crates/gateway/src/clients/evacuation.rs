//! Copies runs from an engine that is leaving.
//!
//! The engine that stores the copy of a run may leave before the engine that runs it. When the
//! running engine announces its departure as well, the run is copied again, repeatedly until that
//! engine is gone, so that little has to be recomputed where the run resumes. A copy in a cordoned
//! data centre can't be used, so its run is copied again like one without a copy.

use {
    crate::{
        Shared,
        clients::{
            exchange::Exchange,
            generation::{Plan, reserve_evacuation},
            relay::Copy,
        },
        targets::{client::Failure, dispatcher::Reservation, path},
    },
    base::{Instant, key},
    bytes::Bytes,
    dispatch::{listing::Target, placement::evacuation_delay},
    entry::runtime::with_timeout,
    hyper::Method,
    platform::engine,
    smol::Task,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval between checks of the engines' state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two copies of the same run.
const COPY_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a copy: the longest notice period of an engine, plus a margin.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for freeing a copy; its memory stays reserved in the meantime.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to wait for a copy's result after its source has failed, as it may still be in transit.
const FINISH_TIMEOUT: Duration = Duration::from_millis(50);

/// State of the evacuation of one run.
#[derive(Debug, Default)]
pub struct Evacuation {
    pending: Option<PendingCopy>,
    /// Engine that stores the latest copy requested by this evacuation.
    copied_to: Option<Target>,
    /// Address of the engine that the run is copied from.
    source: Option<SocketAddr>,
    /// Engines where a copy failed.
    failed_targets: Vec<key::Target>,
    next_poll: Instant,
    /// When the first copy may be ordered; `None` unless the source engine gave notice.
    begins: Option<Instant>,
}

#[derive(Debug)]
struct PendingCopy {
    task: Task<Result<Box<str>, Failure>>,
    target: Target,
    /// `None` if the previous copy's reservation is reused.
    reservation: Option<Reservation>,
}

impl Evacuation {
    /// Records a finished copy and starts the next one if it is needed.
    pub fn poll(
        &mut self,
        exchange: &Exchange,
        plan: &Plan,
        source: &Target,
        copy: &mut Option<Copy>,
    ) {
        let shared = &exchange.shared;
        let now = shared.now();
        if now < self.next_poll || !plan.engine.is_some_and(|engine| engine.supports_migration) {
            return;
        }
        self.next_poll = now + POLL_INTERVAL;
        if let Some(pending) = self.pending.take_if(|pending| pending.task.is_finished()) {
            let result = smol::future::block_on(pending.task);
            self.complete(
                exchange,
                source,
                (pending.target, pending.reservation),
                result,
                copy,
            );
            if self.copied_to.is_some() {
                self.next_poll = now + COPY_INTERVAL;
                return;
            }
        }
        if self.pending.is_some() || shared.directory.is_active(source.key) {
            return;
        }
        let run = key::Request::of(&exchange.head.attempt_id);
        let begins = *self
            .begins
            .get_or_insert_with(|| now + evacuation_delay(run));
        if now < begins {
            self.next_poll = begins;
            return;
        }
        let has_copy = copy
            .as_ref()
            .is_some_and(|copy| shared.directory.is_usable(copy.target.key));
        let (target, reservation) = match (&self.copied_to, has_copy) {
            (Some(target), true) => (target.clone(), None),
            (None, true) => return,
            (_, false) => {
                let excluded = [&*self.failed_targets, &[source.key]].concat();
                let Some((target, reservation)) =
                    reserve_evacuation(exchange, plan, source, &excluded)
                else {
                    self.failed_targets.clear();
                    return;
                };
                (target, Some(reservation))
            }
        };
        let request = request_copy(
            Arc::clone(shared),
            source.address,
            exchange.head.attempt_id.clone(),
            target.address,
        );
        self.source = Some(source.address);
        self.pending = Some(PendingCopy {
            task: shared.runtime.spawn(request),
            target,
            reservation,
        });
    }

    /// Waits for a pending copy after the source engine has failed.
    pub async fn finish(&mut self, exchange: &Exchange, source: &Target, copy: &mut Option<Copy>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let result = with_timeout(FINISH_TIMEOUT, pending.task).await;
        let result = result.unwrap_or_else(|| Err(Failure::may_have_run("no answer in time")));
        self.complete(
            exchange,
            source,
            (pending.target, pending.reservation),
            result,
            copy,
        );
    }

    /// Frees the copies of a run that has ended.
    ///
    /// Copies that grow along with the run are freed by the engines if the run is complete.
    pub fn release(self, exchange: &Exchange, copy: Option<Copy>, is_complete: bool) {
        let shared = Arc::clone(&exchange.shared);
        let copy = copy.filter(|_| self.copied_to.is_some() || !is_complete);
        if let Some(copy) = copy {
            let free = free_copy(Arc::clone(&shared), copy);
            shared.runtime.spawn(free).detach();
        }
        let Some(PendingCopy {
            task,
            target,
            reservation: Some(reservation),
        }) = self.pending
        else {
            return;
        };
        let origin = self.source;
        let free = async move {
            if let (Ok(handle), Some(origin)) = (task.await, origin) {
                let copy = Copy {
                    target,
                    reservation,
                    origin,
                    handle,
                    was_asked: false,
                };
                free_copy(Arc::clone(&shared), copy).await;
            }
        };
        exchange.shared.runtime.spawn(free).detach();
    }

    /// Logs the result of a copy and, if it succeeded, stores its handle.
    fn complete(
        &mut self,
        exchange: &Exchange,
        source: &Target,
        (target, reservation): (Target, Option<Reservation>),
        result: Result<Box<str>, Failure>,
        copy: &mut Option<Copy>,
    ) {
        let (is_copied, detail) = match &result {
            Ok(_) => (true, "complete".to_owned()),
            Err(failure) => (false, failure.to_string()),
        };
        log::info!(
            target: "copied", request:% = exchange.head.attempt_id, instance:% = source.instance,
            to:% = target.instance, is_copied, detail;
            "evacuation copy finished"
        );
        let Ok(handle) = result else {
            self.failed_targets.push(target.key);
            return;
        };
        if let Some(reservation) = reservation {
            let replaced = copy.replace(Copy {
                target: target.clone(),
                reservation,
                origin: source.address,
                handle,
                was_asked: false,
            });
            // The engine before may stay, as one in a cordoned data centre does.
            if let Some(replaced) = replaced {
                let shared = Arc::clone(&exchange.shared);
                let free = free_copy(Arc::clone(&shared), replaced);
                shared.runtime.spawn(free).detach();
            }
        } else if let Some(copy) = copy {
            copy.handle = handle;
        }
        self.copied_to = Some(target);
    }
}

/// Asks an engine to copy a run; returns the handle of the copy.
async fn request_copy(
    shared: Arc<Shared>,
    source: SocketAddr,
    attempt_id: Box<str>,
    to: SocketAddr,
) -> Result<Box<str>, Failure> {
    let body = engine::move_request(&attempt_id, to, false);
    let request = (Method::POST, engine::MOVE_PATH, body);
    let call = path::call(&shared, source, &attempt_id, request, COPY_TIMEOUT);
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
        .ok_or_else(|| Failure::may_have_run("the engine's response has no copy handle"))
}

/// Frees a copy at the engine that issued its handle or, failing that, at the one that stores it.
async fn free_copy(shared: Arc<Shared>, copy: Copy) {
    let copy_path = engine::copy_path(&copy.handle);
    for address in [copy.origin, copy.target.address] {
        let request = (Method::DELETE, &*copy_path, Bytes::new());
        let call = path::call(&shared, address, &copy.handle, request, FREE_TIMEOUT);
        match call.await {
            Ok((status, _)) => {
                log::debug!(target: "copied", instance:% = copy.target.instance, status = status.as_u16(); "unused copy freed");
                return;
            }
            Err(failure) => {
                log::debug!(target: "copied", instance:% = copy.target.instance, reason:% = failure; "failed to free an unused copy");
            }
        }
    }
}
