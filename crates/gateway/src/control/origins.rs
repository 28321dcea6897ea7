//! Tells other VMs where resumable streams began, and asks them.

use {
    crate::{Shared, control::reports},
    base::key,
    bytes::Bytes,
    dispatch::{origin::Origin, report},
    futures_util::{StreamExt, stream::FuturesUnordered},
    hyper::Method,
    prost::Message,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Path prefix of the endpoint that returns the origin of a stream; the raw key follows it.
pub const PATH: &str = "/origins/";
/// Response timeout; peers respond within a few milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Remembers where a stream began, here and at the VMs that will be asked for it.
///
/// Clients may resume it within `lifetime`.
pub fn publish(shared: &Arc<Shared>, attempt: key::Request, origin: &Origin, lifetime: Duration) {
    let now = shared.now();
    shared
        .origins()
        .record(attempt, origin.clone(), lifetime, now);
    let data_centre = shared.fleet.data_centre();
    let holders = shared
        .fleet
        .peers()
        .origin_holders(attempt, data_centre, now);
    let message = report::Origin::new(attempt, origin, lifetime);
    let sender = Arc::clone(shared);
    let send = async move { reports::send_origin(&sender, message, holders).await };
    shared.runtime.spawn(send).detach();
}

/// Records the origin of a stream that a peer has begun.
pub fn receive(shared: &Shared, message: &report::Origin) {
    let Some(origin) = message.origin() else {
        log::warn!(target: "origin", reason = "no release"; "dropped the origin of a stream");
        return;
    };
    let attempt = key::Request::from_raw(message.attempt);
    let lifetime = Duration::from_millis(message.lifetime_ms.into());
    let now = shared.now();
    shared.origins().record(attempt, origin, lifetime, now);
}

/// Returns where a stream began; `None` if no VM that responds knows it.
pub async fn find(shared: &Shared, attempt: key::Request) -> Option<Origin> {
    let now = shared.now();
    let known = shared.origins().get(attempt, now).cloned();
    if known.is_some() {
        return known;
    }
    let candidates = shared.fleet.peers().origin_candidates(attempt, now);
    let mut answers: FuturesUnordered<_> = candidates
        .into_iter()
        .map(|peer| ask(shared, peer, attempt))
        .collect();
    while let Some(answer) = answers.next().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}

async fn ask(shared: &Shared, peer: Ipv4Addr, attempt: key::Request) -> Option<Origin> {
    let port = shared.settings.load().listen.control.port();
    let path = format!("{PATH}{}", attempt.raw());
    let address = SocketAddr::from((peer, port));
    let call = shared
        .client
        .call(address, Method::GET, &path, Bytes::new(), RESPONSE_TIMEOUT);
    let (status, body) = call
        .await
        .inspect_err(|failure| log::info!(target: "origin", peer:% = peer, reason:% = failure; "peer did not say where a stream began"))
        .ok()?;
    if !status.is_success() {
        return None;
    }
    let message = report::Origin::decode(body)
        .inspect_err(|error| log::warn!(target: "origin", peer:% = peer, error:% = error; "failed to parse where a stream began"))
        .ok()?;
    message.origin()
}

/// Returns the response to a peer's question; `None` if the stream is not known.
pub fn answer(shared: &Shared, path: &str) -> Option<Bytes> {
    let attempt = path.strip_prefix(PATH)?.parse().ok()?;
    let attempt = key::Request::from_raw(attempt);
    let origins = shared.origins();
    let origin = origins.get(attempt, shared.now())?;
    let message = report::Origin::new(attempt, origin, Duration::ZERO);
    Some(message.encode_to_vec().into())
}
