//! Keeps the list of targets up to date.
//!
//! Calls to the store cost, so a few VMs watch the list for all and tell the others what has
//! changed. A VM that missed a change sees it in the reports of its peers and asks the store itself.

use {
    crate::{
        Shared,
        control::{backoff::Backoff, reports},
    },
    base::key,
    dispatch::{
        listing::Target,
        peers::WatchRole,
        report::{Changes, Description, Entry},
    },
    platform::store::{Change, Failure, Kind, Store, Versioned},
    smol::Timer,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Least VMs that watch the store for all; one of each data centre if there are more of these.
pub const WATCHERS: usize = 3;
/// Longest wait of such a watch. A link or an answer that went silent is noticed after it and the time
/// for an answer, together within the bounds for configurations and leaving targets.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Least time between two watches: changes that come together are read in one call.
const GATHER: Duration = Duration::from_millis(100);
/// The same for those that only make good what the first one misses.
const RESERVE_GATHER: Duration = Duration::from_millis(600);
/// Time between two looks of the others at what their peers know, and whether they have to watch.
pub const LOOK: Duration = Duration::from_millis(250);
/// Time after the start in which peers are heard, so that few VMs begin to watch.
const SETTLE: Duration = Duration::from_millis(1_200);
/// Longest wait of a read that catches up.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);
/// Time between two looks at what has lapsed.
const TICK: Duration = Duration::from_millis(150);

/// Reads and watches the list until the process ends.
pub async fn run(shared: Arc<Shared>, store: Arc<Store>) {
    let mut has_history = false;
    let mut backoff = Backoff::default();
    let mut was_behind = false;
    let started = shared.now();
    loop {
        let part = shared.fleet.watch(WATCHERS, shared.now());
        let answer = if !has_history {
            store.targets().await
        } else if part.is_some() {
            store
                .watch_targets(shared.directory.known(), WATCH_WAIT)
                .await
        } else {
            let is_behind = is_behind(&shared);
            // What a peer has is on its way; only what stays behind is asked for.
            let is_due = shared.fleet.is_store_lost() || is_behind && was_behind;
            if !is_due {
                was_behind = is_behind;
                Timer::after(LOOK).await;
                continue;
            }
            was_behind = false;
            store
                .watch_targets(shared.directory.known(), CATCH_UP_WAIT)
                .await
        };
        match answer {
            Ok(answer) => {
                backoff.reset();
                regain(&shared);
                let changes = take(&shared, answer, !has_history);
                has_history = true;
                if let Some(changes) = changes {
                    reports::tell(&shared, changes).await;
                }
                let settled = started + SETTLE;
                let gather = match part {
                    Some(WatchRole::Standby) => RESERVE_GATHER,
                    Some(WatchRole::Primary) | None => GATHER,
                };
                Timer::after(gather.max(settled.since(shared.now()))).await;
            }
            Err(Failure::Compacted) => {
                log::info!(target: "store", of = "targets"; "the store dropped its history; reading the list anew");
                has_history = false;
            }
            Err(failure) => {
                lose(&shared, &failure);
                Timer::after(backoff.next_delay()).await;
            }
        }
    }
}

/// Drops lapsed targets until the process ends.
pub async fn tick(shared: Arc<Shared>) {
    loop {
        Timer::after(TICK).await;
        let now = shared.now();
        shared.directory.update(|listing| listing.expire(now));
    }
}

/// Takes changes that a watching VM has read.
pub fn take_changes(shared: &Shared, changes: &Changes) {
    let known = shared.directory.known();
    if known < changes.from || known >= changes.to {
        return;
    }
    let now = shared.now();
    let hold = Duration::from_millis(changes.removal_delay_ms.into());
    shared.directory.update(|listing| {
        let mut is_new = false;
        for entry in changes
            .entries
            .iter()
            .filter(|entry| entry.revision > known)
        {
            let key = key::Target::from_raw(entry.target);
            is_new |= match &entry.description {
                Some(description) => listing.put(decode(key, description)),
                None => listing.remove(key, hold, now),
            };
        }
        is_new
    });
    log::info!(
        target: "target", revision = changes.to, changes = changes.entries.len();
        "a peer told what the store has changed"
    );
    shared.directory.raise(changes.to, changes.to);
}

/// Returns whether a peer has a later list.
fn is_behind(shared: &Shared) -> bool {
    let newest = shared.fleet.peers().newest_targets_revision(shared.now());
    newest > shared.directory.known()
}

fn lose(shared: &Shared, failure: &Failure) {
    if shared.fleet.set_store_lost(true) {
        log::warn!(target: "store", of = "targets", reason:% = failure; "the store does not answer");
    }
    shared.directory.update(|listing| {
        listing.mark_store_unavailable();
        false
    });
}

fn regain(shared: &Shared) {
    let now = shared.now();
    shared.directory.update(|listing| {
        listing.mark_store_available(now);
        false
    });
    if shared.fleet.set_store_lost(false) {
        log::info!(target: "store", of = "targets"; "the store answers again");
    }
}

/// Takes an answer of the store; returns what the other VMs are told.
fn take(shared: &Shared, answer: Versioned<Vec<Change>>, is_whole: bool) -> Option<Changes> {
    let now = shared.now();
    let from = shared.directory.changed();
    let last = answer
        .value
        .iter()
        .map(|change| change.revision)
        .max()
        .unwrap_or_default();
    let mut changes = Changes {
        from,
        to: last,
        ..Changes::default()
    };
    shared.directory.update(|listing| {
        if is_whole {
            let targets = answer.value.into_iter().filter_map(put).collect();
            return listing.replace(targets, now);
        }
        let hold = listing.removal_delay(now);
        changes.removal_delay_ms = hold.as_millis() as u32;
        let mut is_new = false;
        for change in answer.value {
            let (entry, is_change) = match change.kind {
                Kind::Put(target) => {
                    let entry = encode(change.revision, &target);
                    let (key, is_leaving) = (target.key, target.is_leaving);
                    let is_change = listing.put(target);
                    log::info!(target: "target", target_key:% = key, is_leaving, revision = change.revision, is_change; "the store lists a target");
                    (entry, is_change)
                }
                Kind::Removed(key) => {
                    let is_change = listing.remove(key, hold, now);
                    log::info!(target: "target", target_key:% = key, revision = change.revision, at_once = is_change; "the store no longer lists a target");
                    let entry = Entry {
                        revision: change.revision,
                        target: key.raw(),
                        description: None,
                    };
                    (entry, is_change)
                }
                Kind::Invalid(key, error) => {
                    log::warn!(target: "target", target_key:% = key, error:% = error; "an entry of the store can't be read");
                    continue;
                }
            };
            changes.entries.push(entry);
            is_new |= is_change;
        }
        is_new
    });
    shared.directory.raise(answer.revision, last);
    (!is_whole && last > from).then_some(changes)
}

fn put(change: Change) -> Option<Target> {
    match change.kind {
        Kind::Put(target) => Some(target),
        Kind::Removed(_) => None,
        Kind::Invalid(key, error) => {
            log::warn!(target: "target", target_key:% = key, error:% = error; "an entry of the store can't be read");
            None
        }
    }
}

fn encode(revision: u64, target: &Target) -> Entry {
    let address = match target.address.ip() {
        IpAddr::V4(address) => u32::from(address),
        // The platform is IPv4 alone; such an address can't be reached, here or there.
        IpAddr::V6(_) => 0,
    };
    Entry {
        revision,
        target: target.key.raw(),
        description: Some(Description {
            instance: target.instance.to_string(),
            address,
            port: target.address.port().into(),
            service: target.service.raw(),
            data_centre: target.data_centre.to_string(),
            slots: target.slots,
            is_leaving: target.is_leaving,
            started_ms: target.started_ms,
        }),
    }
}

fn decode(key: key::Target, description: &Description) -> Target {
    let address = Ipv4Addr::from(description.address);
    Target {
        key,
        instance: description.instance.as_str().into(),
        address: SocketAddr::from((address, description.port as u16)),
        service: key::Service::from_raw(description.service),
        data_centre: description.data_centre.as_str().into(),
        slots: description.slots,
        is_leaving: description.is_leaving,
        started_ms: description.started_ms,
    }
}
