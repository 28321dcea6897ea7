//! Finds out at which engines a stream can go on that a client resumes.

use {
    crate::{Shared, clients::exchange::Exchange, control::origins},
    base::{Reason, Refusal, key},
    dispatch::{
        configuration::{RetryPolicy, Route},
        listing::Target,
        origin::Origin,
    },
    futures_util::future::join,
    platform::request::Head,
    std::time::Duration,
};

/// Retry delay sent when the origin of a stream is not known: a peer that is cut off may know it.
const ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay sent when no engine of the release serves: one may be listed again whose entry had
/// only expired.
const RELEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum time back to which the releases of a service must be known, as a stream may have begun
/// under a configuration with a longer timeout.
const MIN_ORIGIN_WINDOW: Duration = Duration::from_secs(10);

/// Returns whether a request resumes a stream that may go on at another engine.
fn is_resumption(route: &Route, head: &Head) -> bool {
    let is_resumed = head.resumes.is_some() || head.last_event.is_some();
    is_resumed && route.retry_policy == RetryPolicy::Resumable
}

/// What is known of the stream that a request resumes.
#[derive(Debug, Default)]
pub struct Lookup {
    /// Where it began; `None` if that is not known, or if the request resumes none.
    pub origin: Option<Origin>,
    /// Whether the store has confirmed the list of targets since the request arrived.
    pub is_list_confirmed: bool,
}

/// Finds out where the stream began that a request resumes or, failing that, which targets serve.
pub async fn look_up(shared: &Shared, route: &Route, head: &Head) -> Lookup {
    if !is_resumption(route, head) {
        return Lookup::default();
    }
    let origin = match &head.resumes {
        Some(attempt) => origins::find(shared, key::Request::of(attempt)).await,
        None => None,
    };
    if origin.is_some() {
        return Lookup {
            origin,
            is_list_confirmed: false,
        };
    }
    // Whether the stream may go on depends on what was listed before this process started, and on
    // what is listed now. This VM may have been cut off as another release joined.
    let (is_list_confirmed, ()) =
        join(shared.confirmation.request(), shared.history.request()).await;
    Lookup {
        origin,
        is_list_confirmed,
    }
}

/// Checks that engines which began a stream can continue it.
///
/// # Errors
/// Returns a refusal if the origin is not known but may matter, if the route no longer leads to the
/// service, or if no engine runs the release.
pub fn check(exchange: &Exchange) -> Result<(), Refusal> {
    if !is_resumption(&exchange.route, &exchange.head) {
        return Ok(());
    }
    let directory = &exchange.shared.directory;
    let Some(origin) = exchange.origin() else {
        // The stream began within the route's timeout, at an engine that may have left since.
        let window = exchange.route.timeout.max(MIN_ORIGIN_WINDOW);
        let now = exchange.shared.now();
        if exchange.is_list_confirmed
            && exchange.route.shares.len() <= 1
            && directory.has_one_release(exchange.service, window, now)
        {
            return Ok(());
        }
        let message = "it is not known where the stream began";
        return Err(Refusal::not_run(Reason::NoTarget, message).retry_after(ORIGIN_RETRY_AFTER));
    };
    let targets = directory.targets_of(exchange.service);
    let can_continue = |target: &Target| target.is_usable() && target.runs_release(&origin.release);
    if origin.service != exchange.service || !targets.iter().any(can_continue) {
        let message = format!(
            "no engine of release {}, which began the stream",
            origin.release
        );
        return Err(Refusal::not_run(Reason::NoTarget, message).retry_after(RELEASE_RETRY_AFTER));
    }
    Ok(())
}
