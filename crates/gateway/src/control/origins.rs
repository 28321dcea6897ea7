//! Tells other VMs where resumable streams began, and asks them.

use {
    crate::{Shared, control::reports},
    base::key,
    bytes::Bytes,
    dispatch::report::Origin,
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

/// Remembers which release began a stream, here and at the VMs that will be asked for it.
///
/// Clients may resume it within `lifetime`.
pub fn publish(shared: &Arc<Shared>, attempt: key::Request, release: &str, lifetime: Duration) {
    let now = shared.now();
    shared.origins().record(attempt, release, lifetime, now);
    let data_centre = shared.fleet.data_centre();
    let holders = shared
        .fleet
        .peers()
        .origin_holders(attempt, data_centre, now);
    let origin = Origin {
        attempt: attempt.raw(),
        lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
        release: release.into(),
    };
    let sender = Arc::clone(shared);
    let send = async move { reports::send_origin(&sender, origin, holders).await };
    shared.runtime.spawn(send).detach();
}

/// Records the origin of a stream that a peer has begun.
pub fn receive(shared: &Shared, origin: &Origin) {
    let attempt = key::Request::from_raw(origin.attempt);
    let lifetime = Duration::from_millis(origin.lifetime_ms.into());
    let now = shared.now();
    shared
        .origins()
        .record(attempt, &origin.release, lifetime, now);
}

/// Returns the release that began a stream; `None` if no VM that responds knows it.
pub async fn find(shared: &Shared, attempt: key::Request) -> Option<Box<str>> {
    let now = shared.now();
    if let Some(release) = shared.origins().release(attempt, now) {
        return Some(release.into());
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

async fn ask(shared: &Shared, peer: Ipv4Addr, attempt: key::Request) -> Option<Box<str>> {
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
    let origin = Origin::decode(body)
        .inspect_err(|error| log::warn!(target: "origin", peer:% = peer, error:% = error; "failed to parse where a stream began"))
        .ok()?;
    (!origin.release.is_empty()).then(|| origin.release.into())
}

/// Returns the response to a peer's question; `None` if the path is another one or the stream is
/// not known.
pub fn answer(shared: &Shared, path: &str) -> Option<Bytes> {
    let attempt = path.strip_prefix(PATH)?.parse().ok()?;
    let release = shared
        .origins()
        .release(key::Request::from_raw(attempt), shared.now())?
        .to_owned();
    let origin = Origin {
        attempt,
        lifetime_ms: 0,
        release,
    };
    Some(origin.encode_to_vec().into())
}
