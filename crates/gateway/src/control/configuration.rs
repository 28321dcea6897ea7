//! Keeps the configuration up to date from the store or from peers.

use {
    crate::{
        Shared,
        control::{
            backoff::Backoff,
            discovery::{CHECK_INTERVAL, WATCH_TIMEOUT, WATCHERS},
            reports,
        },
    },
    bytes::Bytes,
    dispatch::peers::Offer,
    entry::runtime::with_timeout,
    hyper::Method,
    platform::store::{Failure, Published, RESPONSE_TIMEOUT, Store, parse_configuration},
    rand::Rng,
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Value of the log field `source` for a configuration read from the store.
const STORE_SOURCE: &str = "store";
/// Path at which VMs serve their configuration to peers.
pub const PATH: &str = "/configuration";
/// Minimum delay between two watches, so that frequent changes are read together.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum random delay before a fetch from a peer, so that VMs don't all ask the same one at once.
const MAX_PEER_JITTER: Duration = Duration::from_millis(250);
/// The same in a fleet of more than [`reports::MAX_FULL_MESH_VMS`], where many VMs ask the same one.
///
/// What that VM sends fills its link and delays its streams and connections.
const MAX_LARGE_FLEET_JITTER: Duration = Duration::from_millis(750);
/// Maximum size of a configuration that is fetched from a peer, in bytes.
///
/// A small VM serves one of this size to several peers within 100 ms. Larger ones are read from the
/// store.
const MAX_PEER_BYTES: u64 = 32 << 10;

/// Keeps the configuration up to date until the process exits.
pub async fn run(shared: Arc<Shared>, store: Arc<Store>) {
    let mut revision = None;
    let mut is_unreachable = false;
    let mut backoff = Backoff::default();
    loop {
        let response = match revision {
            None => store.configuration().await,
            Some(revision) => watch(&shared, &store, revision).await,
        };
        match response {
            Ok(response) => {
                backoff.reset();
                if std::mem::take(&mut is_unreachable) {
                    log::info!(target: "store", of = "configuration"; "the store is reachable again");
                }
                if let Some(published) = response.value {
                    apply(&shared, published, STORE_SOURCE).await;
                    revision = Some(response.revision);
                } else if revision.is_some() {
                    revision = Some(response.revision);
                }
                Timer::after(MIN_WATCH_INTERVAL).await;
            }
            Err(Failure::Compacted) => revision = None,
            Err(failure) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    log::warn!(target: "store", of = "configuration", reason:% = failure; "the store is unreachable");
                }
                fetch_from_peer(&shared).await;
                Timer::after(backoff.next_delay()).await;
            }
        }
    }
}

/// Waits for a configuration change and reads it.
///
/// Calls to the store are expensive, so a few VMs watch it and the others fetch from peers the
/// versions that their reports announce. If a response of the store is lost, its connection stays
/// silent, so each watch has a short timeout.
async fn watch(
    shared: &Shared,
    store: &Store,
    revision: u64,
) -> Result<platform::store::Versioned<Option<Published>>, Failure> {
    loop {
        let is_watcher = shared.fleet.watch_role(WATCHERS, shared.now()).is_some();
        if is_watcher {
            return store.watch_configuration(revision, WATCH_TIMEOUT).await;
        }
        with_timeout(CHECK_INTERVAL, shared.fleet.wait_for_newer_configuration()).await;
        let Some(offer) = newer_offer(shared) else {
            continue;
        };
        if offer.bytes > MAX_PEER_BYTES {
            return store.configuration().await;
        }
        let is_large = shared.dispatcher.live_vms() > reports::MAX_FULL_MESH_VMS;
        let max_jitter = if is_large {
            MAX_LARGE_FLEET_JITTER
        } else {
            MAX_PEER_JITTER
        };
        let jitter = max_jitter.mul_f64(rand::rng().random_range(0.0..1.0));
        Timer::after(jitter).await;
        fetch_from_peer(shared).await;
        // Fall back to the store if the peer could not provide the new version.
        if newer_offer(shared).is_some() {
            return store.configuration().await;
        }
    }
}

fn newer_offer(shared: &Shared) -> Option<Offer> {
    let version = shared.current.version();
    shared.fleet.newer_configuration(version, shared.now())
}

/// Fetches the configuration from the peer that announces the newest version, if any does.
async fn fetch_from_peer(shared: &Shared) {
    let Some(Offer {
        peer,
        version: announced,
        ..
    }) = newer_offer(shared)
    else {
        return;
    };
    let port = shared.settings.load().listen.control.port();
    let address = SocketAddr::from((peer, port));
    let call = shared
        .client
        .call(address, Method::GET, PATH, Bytes::new(), RESPONSE_TIMEOUT);
    match call.await {
        Ok((status, body)) if status.is_success() => match parse_configuration(body) {
            Ok(published) => apply(shared, published, "peer").await,
            Err(error) => {
                log::warn!(target: "configuration", peer:% = peer, error:% = error; "failed to parse the configuration of a peer");
            }
        },
        Ok((status, _)) => {
            log::warn!(target: "configuration", peer:% = peer, announced, status = status.as_u16(); "failed to fetch the configuration from a peer");
        }
        Err(failure) => {
            log::warn!(target: "configuration", peer:% = peer, announced, reason:% = failure; "failed to fetch the configuration from a peer");
        }
    }
}

/// Puts a configuration in force if it is newer and reports the new version to peers.
async fn apply(shared: &Shared, published: Published, source: &str) {
    let version = published.configuration.version();
    if !shared.current.replace_if_newer(published) {
        return;
    }
    log::info!(target: "configuration", version, source; "configuration applied");
    reports::send_now(shared, source == STORE_SOURCE).await;
}
