//! Keeps the configuration in force up to date, from the store or from a peer.

use {
    crate::{
        Shared,
        control::{
            backoff::Backoff,
            discovery::{WATCH_WAIT, WATCHERS},
        },
    },
    bytes::Bytes,
    hyper::Method,
    platform::store::{ANSWER_LIMIT, Failure, Published, Store, read_configuration},
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Path at which peers give their configuration.
pub const PATH: &str = "/configuration";
/// Least time between two watches; a storm of changes is read in fewer calls.
const GATHER: Duration = Duration::from_millis(500);
/// Time that a watch of the platform has to tell of a version that a peer has already.
const PEER_LEAD: Duration = Duration::from_millis(100);

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
                if let Some(published) = answer.content {
                    offer(&shared, published, "store");
                    revision = Some(answer.revision);
                } else if revision.is_some() {
                    revision = Some(answer.revision);
                }
                Timer::after(GATHER).await;
            }
            Err(Failure::HistoryGone) => revision = None,
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

/// Watches until there is a change; a peer with a newer version ends the watch with a read.
///
/// An answer that the store lost leaves its connection silent for good, so a few VMs watch in short
/// turns for all; the long turns of the others only serve where none of these is heard.
async fn watch(
    shared: &Shared,
    store: &Store,
    revision: u64,
) -> Result<platform::store::Answer<Option<Published>>, Failure> {
    if is_watcher(shared) {
        return store.watch_configuration(revision, WATCH_WAIT).await;
    }
    let wait = shared.settings.load().platform.watch;
    let watched = async { Some(store.watch_configuration(revision, wait).await) };
    let told = async {
        loop {
            shared.fleet.newer().await;
            Timer::after(PEER_LEAD).await;
            let now = shared.now();
            let version = shared.current.version();
            if shared
                .fleet
                .peers()
                .newer_configuration(version, now)
                .is_some()
            {
                return None;
            }
        }
    };
    let promoted = async {
        while !is_watcher(shared) {
            Timer::after(WATCH_WAIT).await;
        }
        None
    };
    let ended = smol::future::or(watched, smol::future::or(told, promoted));
    match ended.await {
        Some(answer) => answer,
        None => store.configuration().await,
    }
}

fn is_watcher(shared: &Shared) -> bool {
    shared.fleet.is_watcher(WATCHERS, shared.now())
}

/// Reads the configuration of the peer with the newest one.
async fn ask_peer(shared: &Shared) {
    let (now, version) = (shared.now(), shared.current.version());
    let newer = shared.fleet.peers().newer_configuration(version, now);
    let Some((peer, announced)) = newer else {
        return;
    };
    let port = shared.settings.load().listen.control.port();
    let address = SocketAddr::from((peer, port));
    let answer = shared
        .client
        .call(address, Method::GET, PATH, Bytes::new(), ANSWER_LIMIT);
    match answer.await {
        Ok((status, body)) if status.is_success() => match read_configuration(body) {
            Ok(published) => offer(shared, published, "peer"),
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

fn offer(shared: &Shared, published: Published, source: &str) {
    let version = published.configuration.version();
    if shared.current.offer(published) {
        log::info!(target: "configuration", version, source; "a configuration is in force");
    }
}
