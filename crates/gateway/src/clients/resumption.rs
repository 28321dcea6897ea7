//! Finds out at which engines a stream can go on that a client resumes.

use {
    crate::{clients::exchange::Exchange, control::origins},
    base::{Reason, Refusal, key},
    dispatch::configuration::RetryPolicy,
    std::time::Duration,
};

/// Retry delay sent when the origin of a stream is not known: a peer that is cut off may know it.
const ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay sent when no engine of the release serves: one may be listed again whose entry had
/// only expired.
const RELEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Restricts a request that resumes a stream to the release that began the stream.
///
/// # Errors
/// Returns a refusal if the release is not known but may matter, or if no engine runs it.
pub async fn restrict(exchange: &Exchange) -> Result<(), Refusal> {
    let head = &exchange.head;
    let is_resumed = head.resumes.is_some() || head.last_event.is_some();
    if !is_resumed || exchange.route.retry_policy != RetryPolicy::Resumable {
        return Ok(());
    }
    let shared = &exchange.shared;
    let release = match &head.resumes {
        Some(attempt) => origins::find(shared, key::Request::of(attempt)).await,
        None => None,
    };
    let Some(release) = release else {
        if !shared.directory.has_mixed_releases(exchange.service) {
            return Ok(());
        }
        let message = "it is not known which release began the stream";
        return Err(Refusal::not_run(Reason::NoTarget, message).retry_after(ORIGIN_RETRY_AFTER));
    };
    let targets = shared.directory.targets_of(exchange.service);
    let mut active = targets.iter().filter(|target| !target.is_leaving);
    if !active.any(|target| target.runs_release(&release)) {
        let message = format!("no engine of release {release}, which began the stream");
        return Err(Refusal::not_run(Reason::NoTarget, message).retry_after(RELEASE_RETRY_AFTER));
    }
    exchange.set_release(release);
    Ok(())
}
