//! Keeps the configuration in force up to date, from the store or from a peer.

use {
    crate::{
        Shared,
        control::{
            backoff::Backoff,
            discovery::{LOOK, WATCH_WAIT, WATCHERS},
            reports,
        },
    },
    bytes::Bytes,
    dispatch::peers::Offer,
    entry::runtime::within,
    hyper::Method,
    platform::store::{Failure, Published, RESPONSE_TIMEOUT, Store, parse_configuration},
    rand::Rng,
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Where a configuration came from, in the log.
const FROM_STORE: &str = "store";
/// Path at which peers give their configuration.
pub const PATH: &str = "/configuration";
/// Least time between two watches; a storm of changes is read in fewer calls.
const GATHER: Duration = Duration::from_millis(500);
/// Longest time by which VMs put off asking a peer, so that they don't all ask the same one.
const PEER_SPREAD: Duration = Duration::from_millis(250);
/// Largest configuration that peers give, in bytes: a small VM passes it on to some others in a
/// tenth of a second. Larger ones come from the store.
const PEER_LIMIT: u64 = 32 << 10;

/// Reads and watches the configuration until the process ends.
pub async fn run(shared: Arc<Shared>, store: Arc<Store>) {
    let mut revision = None;
    let mut is_lost = false;
    let mut backoff = Backoff::default();
    loop {
        let watched = match revision {
            None => store.configuration().await,
            Some(revision) => watch(&shared, &store, revision).await,
        };
        match watched {
            Ok(answer) => {
                backoff.reset();
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "store", of = "configuration"; "the store answers again");
                }
                if let Some(published) = answer.value {
                    offer(&shared, published, FROM_STORE).await;
                    revision = Some(answer.revision);
                } else if revision.is_some() {
                    revision = Some(answer.revision);
                }
                Timer::after(GATHER).await;
            }
            Err(Failure::Compacted) => revision = None,
            Err(failure) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(target: "store", of = "configuration", reason:% = failure; "the store does not answer");
                }
                ask_peer(&shared).await;
                Timer::after(backoff.next_delay()).await;
            }
        }
    }
}

/// Waits until there is a change and reads it.
///
/// Calls to the store cost, so a few VMs watch it for all and the others read from their peers what
/// these report. An answer that the store lost leaves its connection silent for good, so the watch
/// is made in short turns.
async fn watch(
    shared: &Shared,
    store: &Store,
    revision: u64,
) -> Result<platform::store::Versioned<Option<Published>>, Failure> {
    loop {
        let is_watcher = shared.fleet.watch(WATCHERS, shared.now()).is_some();
        if is_watcher {
            return store.watch_configuration(revision, WATCH_WAIT).await;
        }
        within(LOOK, shared.fleet.newer()).await;
        let Some(offer) = newer(shared) else {
            continue;
        };
        if offer.bytes > PEER_LIMIT {
            return store.configuration().await;
        }
        let delay = PEER_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        Timer::after(delay).await;
        ask_peer(shared).await;
        // What no peer could give comes from the store.
        if newer(shared).is_some() {
            return store.configuration().await;
        }
    }
}

fn newer(shared: &Shared) -> Option<Offer> {
    let version = shared.current.version();
    shared.fleet.newer_configuration(version, shared.now())
}

/// Reads the configuration of the peer with the newest one.
async fn ask_peer(shared: &Shared) {
    let Some(Offer {
        peer,
        version: announced,
        ..
    }) = newer(shared)
    else {
        return;
    };
    let port = shared.settings.load().listen.control.port();
    let address = SocketAddr::from((peer, port));
    let answer = shared
        .client
        .call(address, Method::GET, PATH, Bytes::new(), RESPONSE_TIMEOUT);
    match answer.await {
        Ok((status, body)) if status.is_success() => match parse_configuration(body) {
            Ok(published) => offer(shared, published, "peer").await,
            Err(error) => {
                log::warn!(target: "configuration", peer:% = peer, error:% = error; "a peer's configuration can't be read");
            }
        },
        Ok((status, _)) => {
            log::warn!(target: "configuration", peer:% = peer, announced, status = status.as_u16(); "a peer did not give its configuration");
        }
        Err(failure) => {
            log::warn!(target: "configuration", peer:% = peer, announced, reason:% = failure; "a peer did not give its configuration");
        }
    }
}

/// Puts a configuration in force if it is newer, and tells the peers.
async fn offer(shared: &Shared, published: Published, source: &str) {
    let version = published.configuration.version();
    if !shared.current.offer(published) {
        return;
    }
    log::info!(target: "configuration", version, source; "a configuration is in force");
    reports::announce(shared, source == FROM_STORE).await;
}
