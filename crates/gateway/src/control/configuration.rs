//! Keeps the configuration up to date from the store or from peers.
//!
//! Calls to the store are expensive, and a large value takes each reader's whole link for a time.
//! So a few VMs watch it, and the others get from peers the versions that their reports announce.

use {
    crate::{
        Shared,
        control::{
            backoff::Backoff,
            cordon,
            current::Snapshot,
            discovery::{CHECK_INTERVAL, WATCH_TIMEOUT, WATCHERS},
            encoding::{Encoding, LARGE_BYTES},
            fleet::Subject,
            reports, transfer,
        },
    },
    dispatch::{Position, Replication, peers::Offer, replication::Step, report::Watch},
    entry::runtime::with_timeout,
    platform::store::{
        Cordoned, Failure, Published, Reading, Store, Versioned, parse_configuration,
    },
    smol::{Task, Timer},
    std::{net::Ipv4Addr, sync::Arc, time::Duration},
};

/// Value of the log field `source` for a configuration read from the store.
const STORE_SOURCE: &str = "store";
/// The same for one that a peer sent.
const PEER_SOURCE: &str = "peer";
/// Minimum delay between two watches, so that frequent changes are read together; after a change it
/// counts from the beginning of the watch.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Reads the configuration from the store and, on the VMs that do, watches it until the process
/// exits.
///
/// If a response of the store is lost, its connection stays silent, so each watch has a short
/// timeout.
pub async fn watch(shared: Arc<Shared>, store: Arc<Store>) {
    let mut is_unreachable = false;
    let mut backoff = Backoff::default();
    loop {
        let began = shared.now();
        let version = shared.current.version();
        let is_watcher = shared.fleet.watch_role(WATCHERS, began).is_some();
        if version > 0 && shared.cordon.is_known() && !is_watcher {
            Timer::after(CHECK_INTERVAL).await;
            continue;
        }
        // The history since an older position contains all versions that peers have sent meanwhile.
        let after = watch_position(&shared);
        let reading = match after {
            None if shared.cordon.is_enabled() => store.operator_keys().await,
            None => store.configuration().await,
            Some(position) => {
                let plain_bytes = shared.current.size_bytes();
                store
                    .watch_configuration(position, WATCH_TIMEOUT, plain_bytes)
                    .await
            }
        };
        let result = match reading {
            Ok(reading) => decode_reading(reading).await,
            Err(failure) => Err(failure),
        };
        let result = match result {
            Ok(response) => apply_cordon(&shared, response).await,
            Err(failure) => Err(failure),
        };
        match result {
            Ok(response) => {
                backoff.reset();
                shared.fleet.record_configuration_read(true, shared.now());
                if std::mem::take(&mut is_unreachable) {
                    log::info!(target: "store", of = "configuration"; "the store is reachable again");
                }
                let is_known = response.value.is_some() || after.is_some();
                // Changes gather while a large version is read.
                let mut elapsed = Duration::ZERO;
                if let Some(snapshot) = response.value {
                    apply(&shared, snapshot, STORE_SOURCE).await;
                    elapsed = shared.now().since(began);
                }
                let newest = is_known.then(|| (response.position, shared.current.version()));
                shared.current.set_newest_until(newest);
                shared
                    .fleet
                    .record_response(Subject::Configuration, shared.now());
                Timer::after(MIN_WATCH_INTERVAL.saturating_sub(elapsed)).await;
            }
            Err(failure @ (Failure::Compacted | Failure::TooLong)) if after.is_some() => {
                log::info!(target: "store", of = "configuration", reason:% = failure; "reading the value instead of its history");
                shared.current.set_newest_until(None);
            }
            Err(failure) => {
                shared.fleet.record_configuration_read(false, shared.now());
                if !std::mem::replace(&mut is_unreachable, true) {
                    log::warn!(target: "store", of = "configuration", reason:% = failure; "the store is unreachable");
                    // Others take over the watch.
                    reports::send_now(&shared, true).await;
                }
                Timer::after(backoff.next_delay(&failure)).await;
            }
        }
    }
}

/// Returns the position to watch from; `None` if the values must be read.
///
/// If data centres may be cordoned, it is the older of the positions of the configuration and of the
/// set of these.
fn watch_position(shared: &Shared) -> Option<Position> {
    let newest_until = shared.current.newest_until()?;
    if !shared.cordon.is_enabled() {
        return Some(newest_until);
    }
    shared.cordon.position().map(|set| set.min(newest_until))
}

/// Puts the cordon in a response in force, and reports it to peers if it has changed.
///
/// # Errors
/// Returns a failure if the response lacks what the set needs, or if the configuration in it is not
/// valid.
async fn apply_cordon(shared: &Shared, response: Response) -> Result<Applicable, Failure> {
    let Versioned { position, value } = response;
    let outcome = cordon::apply(shared, value.cordon, position.revision);
    if outcome == cordon::Outcome::Changed {
        reports::send_now(shared, true).await;
    }
    // Checked first: an invalid configuration must not keep a cordon from being read as a whole.
    if outcome == cordon::Outcome::Incomplete {
        return Err(Failure::Compacted);
    }
    let value = value.configuration?;
    Ok(Versioned { position, value })
}

/// Takes over from a VM that watches the store how long the configuration in force is the newest.
///
/// This VM then needs no read of the whole value if it has to watch the store itself.
pub fn receive_watch(shared: &Shared, watch: &Watch) {
    let position = Position {
        era: watch.configuration_era,
        revision: watch.configuration_revision,
    };
    let version = shared.current.version();
    let is_same = watch.configuration_version == version && position.revision > 0;
    if is_same && shared.current.newest_until() < Some(position) {
        shared.current.set_newest_until(Some((position, version)));
    }
}

/// Gets newer versions from the peers that announce them until the process exits.
pub async fn replicate(shared: Arc<Shared>, store: Arc<Store>) {
    let mut replication = Replication::new(shared.fleet.incarnation());
    let mut read: Option<Task<()>> = None;
    loop {
        let now = shared.now();
        let version = shared.current.version();
        let offers = shared.fleet.newer_configurations(version, now);
        let is_large_fleet = shared.dispatcher.live_vms() > reports::MAX_FULL_MESH_VMS;
        let announced = replication.lag().map(|(announced, _)| announced);
        let step = replication.step(version, &offers, is_large_fleet, now);
        shared.current.set_lag(replication.lag());
        if let Some((newest, since)) = replication.lag()
            && announced != Some(newest)
        {
            log::info!(target: "configuration", announced = newest, version, holders = offers.len(), lag_ms = now.since(since).as_millis() as u64; "peers announce a newer configuration");
        }
        match step {
            Step::Idle => {
                let news = shared.fleet.wait_for_newer_configuration();
                with_timeout(CHECK_INTERVAL, news).await;
            }
            Step::Wait(until) => {
                Timer::after(until.since(now)).await;
            }
            Step::Fetch(peer) => fetch(&shared, &mut replication, &offers, peer).await,
            Step::Read => {
                if read.as_ref().is_none_or(Task::is_finished) {
                    log::warn!(target: "configuration", announced = replication.lag().map_or(0, |(announced, _)| announced), version; "no peer provides the newer configuration; reading it from the store");
                    let task = read_once(Arc::clone(&shared), Arc::clone(&store));
                    read = Some(shared.runtime.spawn(task));
                }
            }
        }
    }
}

/// Requests the configuration of a peer and puts it in force.
async fn fetch(shared: &Shared, replication: &mut Replication, offers: &[Offer], peer: Ipv4Addr) {
    let offer = offers.iter().find(|offer| offer.peer == peer);
    let announced = offer.map_or(0, |offer| offer.version);
    let started = shared.now();
    let result = match transfer::fetch(shared, peer).await {
        Ok(encoding) => decode_encoding(encoding).await,
        Err(failure) => Err(failure),
    };
    let now = shared.now();
    let elapsed_ms = now.since(started).as_millis() as u64;
    match result {
        Ok(snapshot) => {
            let version = snapshot.configuration.version();
            if !apply(shared, snapshot, PEER_SOURCE).await && version < announced {
                log::warn!(target: "configuration", peer:% = peer, announced, version; "peer sent an older configuration than it announced");
                replication.record_failure(peer, now);
            }
        }
        Err(transfer::Failure::Busy(retry_after)) => {
            log::info!(target: "configuration", peer:% = peer, announced, retry_after_ms = retry_after.as_millis() as u64; "peer is busy sending its configuration to others");
            replication.record_busy(peer, retry_after, now);
        }
        Err(transfer::Failure::Other(reason)) => {
            log::warn!(target: "configuration", peer:% = peer, announced, elapsed_ms, reason; "failed to fetch the configuration from a peer");
            replication.record_failure(peer, now);
        }
    }
}

/// Reads the configuration from the store once.
async fn read_once(shared: Arc<Shared>, store: Arc<Store>) {
    let result = match store.configuration().await {
        Ok(reading) => decode_reading(reading).await,
        Err(failure) => Err(failure),
    };
    let result = result.and_then(|response| response.value.configuration);
    match result {
        Ok(Some(snapshot)) => {
            apply(&shared, snapshot, STORE_SOURCE).await;
        }
        Ok(None) => {
            log::warn!(target: "store", of = "configuration"; "the store has no configuration though peers have one");
        }
        Err(failure) => {
            log::warn!(target: "store", of = "configuration", reason:% = failure; "failed to read the configuration");
        }
    }
}

/// Puts a configuration in force if it is newer, and reports the new version to peers; returns
/// whether it is newer.
async fn apply(shared: &Shared, snapshot: Snapshot, source: &str) -> bool {
    let version = snapshot.configuration.version();
    let bytes = snapshot.encoding.plain_bytes();
    let transfer_bytes = snapshot.encoding.body().len();
    if !shared.current.replace_if_newer(snapshot) {
        return false;
    }
    log::info!(target: "configuration", version, source, bytes, transfer_bytes; "configuration applied");
    reports::send_now(shared, source == STORE_SOURCE).await;
    true
}

/// A decoded response of the store.
type Response = Versioned<Values>;
/// The configuration in a response of the store, if there is one.
type Applicable = Versioned<Option<Snapshot>>;

/// What a response says about the operator's keys.
struct Values {
    configuration: Result<Option<Snapshot>, Failure>,
    cordon: Cordoned,
}

/// Decodes a response of the store.
async fn decode_reading(reading: Reading) -> Result<Response, Failure> {
    let is_large = reading.len() > LARGE_BYTES;
    let decode = move || {
        let Versioned { position, value } = reading.decode()?;
        let configuration = value.configuration;
        let configuration =
            configuration.and_then(|published| published.map(encode_published).transpose());
        let cordon = value.cordon;
        Ok(Versioned {
            position,
            value: Values {
                configuration,
                cordon,
            },
        })
    };
    run_off_thread(is_large, decode).await
}

fn encode_published(published: Published) -> Result<Snapshot, Failure> {
    let encoding = Encoding::new(published.bytes)
        .map_err(|error| Failure::Unavailable(error.to_string().into()))?;
    Ok(Snapshot {
        configuration: published.configuration,
        encoding,
    })
}

/// Decodes what a peer sent.
async fn decode_encoding(received: transfer::Received) -> Result<Snapshot, transfer::Failure> {
    let is_large = received.body.len() > LARGE_BYTES || received.is_deflated;
    let decode = move || {
        let (encoding, plain) = Encoding::from_peer(received.body, received.is_deflated)
            .map_err(|error| transfer::Failure::Other(error.to_string().into()))?;
        let published = parse_configuration(plain)
            .map_err(|error| transfer::Failure::Other(error.to_string().into()))?;
        Ok(Snapshot {
            configuration: published.configuration,
            encoding,
        })
    };
    run_off_thread(is_large, decode).await
}

/// Runs work that takes long on a thread of its own, as the streams of this one would wait for it.
async fn run_off_thread<T: Send + 'static>(
    is_long: bool,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    if is_long {
        smol::unblock(work).await
    } else {
        work()
    }
}
