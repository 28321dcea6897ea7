//! Keeps the configuration in force up to date, from the store or from a peer.

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
    entry::runtime::within,
    hyper::Method,
    platform::store::{ANSWER_LIMIT, Failure, Published, Store, read_configuration},
    rand::Rng,
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Where a configuration came from, in the log.
const STORE_SOURCE: &str = "store";
/// Path at which peers give their configuration.
pub const PATH: &str = "/configuration";
/// Least time between two watches; a storm of changes is read in fewer calls.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time by which VMs put off asking a peer, so that they don't all ask the same one.
const MAX_PEER_JITTER: Duration = Duration::from_millis(250);
/// Largest configuration that peers give, in bytes: a small VM passes it on to some others in a
/// tenth of a second. Larger ones come from the store.
const MAX_PEER_BYTES: u64 = 32 << 10;

/// Reads and watches the configuration until the process ends.
pub async fn run(shared: Arc<Shared>, store: Arc<Store>) {
    let mut revision = None;
    let mut is_unreachable = false;
    let mut backoff = Backoff::default();
    loop {
        let answer = match revision {
            None => store.configuration().await,
            Some(revision) => watch(&shared, &store, revision).await,
        };
        match answer {
            Ok(answer) => {
                backoff.reset();
                if std::mem::take(&mut is_unreachable) {
                    log::info!(target: "store", of = "configuration"; "the store answers again");
                }
                if let Some(published) = answer.content {
                    apply(&shared, published, STORE_SOURCE).await;
                    revision = Some(answer.revision);
                } else if revision.is_some() {
                    revision = Some(answer.revision);
                }
                Timer::after(MIN_WATCH_INTERVAL).await;
            }
            Err(Failure::HistoryGone) => revision = None,
            Err(failure) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    log::warn!(target: "store", of = "configuration", reason:% = failure; "the store does not answer");
                }
                fetch_from_peer(&shared).await;
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
) -> Result<platform::store::Answer<Option<Published>>, Failure> {
    loop {
        let is_watcher = shared.fleet.watch_role(WATCHERS, shared.now()).is_some();
        if is_watcher {
            return store.watch_configuration(revision, WATCH_TIMEOUT).await;
        }
        within(CHECK_INTERVAL, shared.fleet.newer_announced()).await;
        let Some(offer) = newer_offer(shared) else {
            continue;
        };
        if offer.bytes > MAX_PEER_BYTES {
            return store.configuration().await;
        }
        let jitter = MAX_PEER_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
        Timer::after(jitter).await;
        fetch_from_peer(shared).await;
        // What no peer could give comes from the store.
        if newer_offer(shared).is_some() {
            return store.configuration().await;
        }
    }
}

fn newer_offer(shared: &Shared) -> Option<Offer> {
    let version = shared.current.version();
    shared.fleet.newer_configuration(version, shared.now())
}

/// Reads the configuration of the peer with the newest one.
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
    let answer = shared
        .client
        .call(address, Method::GET, PATH, Bytes::new(), ANSWER_LIMIT);
    match answer.await {
        Ok((status, body)) if status.is_success() => match read_configuration(body) {
            Ok(published) => apply(shared, published, "peer").await,
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
async fn apply(shared: &Shared, published: Published, source: &str) {
    let version = published.configuration.version();
    if !shared.current.replace_if_newer(published) {
        return;
    }
    log::info!(target: "configuration", version, source; "a configuration is in force");
    reports::send_now(shared, source == STORE_SOURCE).await;
}
