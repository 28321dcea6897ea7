//! Keeps the list of targets up to date.
//!
//! Calls to the store are expensive, so a few VMs watch the list and send the changes to the
//! others. A VM that missed a change notices it from what they announce of their list and reads the
//! change, or the whole list, from the store.

use {
    crate::{
        Shared,
        control::{backoff::Backoff, fleet::Subject, reports},
    },
    base::key,
    dispatch::{
        CatchUp, Position,
        catch_up::Step,
        listing::{Past, Target, WarmUp},
        peers::MAX_SMALL_FLEET,
        report::{Changes, Description, Entry, Watch},
        watch::WatchRole,
    },
    platform::store::{self, Change, Failure, Kind, Store, Versioned},
    smol::Timer,
    std::{
        collections::HashSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Minimum number of VMs that watch the store; each data centre has at least one.
pub const WATCHERS: usize = 3;
/// Maximum duration of one watch.
///
/// A half-open connection or a lost response is noticed after this time plus the response timeout,
/// which together meet the deadlines for applying configurations and for noticing leaving targets.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum delay between two watches, so that simultaneous changes are read in one call.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum delay between two watches of a standby, which only covers what the primary misses.
///
/// With the duration of a watch, it is less than the age from which a response counts as outdated.
const STANDBY_MIN_WATCH_INTERVAL: Duration = Duration::from_millis(350);
/// Interval at which VMs that don't watch check their peers' revisions and their own role.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start to wait for reports of peers, so that few VMs start to watch.
const STARTUP_TIME: Duration = Duration::from_millis(1_200);
/// Maximum duration of a watch that only reads missed changes.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1);
/// Time for which the pages of a list that was not read to its end are kept; the store's history
/// reaches back further.
const LISTING_LIFETIME: Duration = Duration::from_secs(10);
/// Delay before a list goes on that has more pages than are read at once, as all VMs share the reads
/// that the store permits.
const PAGES_DELAY: Duration = Duration::from_millis(500);
/// Delay after a failure to read the history of the targets.
const HISTORY_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which expired targets are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of invalid entries that are remembered and logged.
const MAX_LOGGED: usize = 256;

/// The invalid entries that are logged already, as their writers may renew them all the time.
#[derive(Debug, Default)]
struct Logged(HashSet<key::Target>);

impl Logged {
    /// Logs an invalid entry unless that was done before.
    fn record(&mut self, target: key::Target, revision: u64, error: &platform::Error) {
        if self.0.len() < MAX_LOGGED && self.0.insert(target) {
            log::warn!(target: "target", target_key:% = target, revision, error:% = error; "failed to parse a target's entry in the store");
        }
    }

    /// Forgets an entry that is valid or was removed.
    fn forget(&mut self, target: key::Target) {
        self.0.remove(&target);
    }

    /// Forgets the entries that are not among the invalid ones of a full list.
    fn retain(&mut self, listed: &[Change]) {
        let listed = listed.iter();
        let invalid = listed.filter(|change| matches!(change.kind, Kind::Invalid(..)));
        let invalid: HashSet<_> = invalid.map(Change::key).collect();
        self.0.retain(|target| invalid.contains(target));
    }
}

/// Keeps the list up to date until the process exits.
pub async fn run(shared: Arc<Shared>, store: Arc<Store>) {
    // Whether the store can report changes since the known revision; if not, the full list is read.
    let mut has_history = false;
    let mut backoff = Backoff::default();
    let mut catch_up = CatchUp::new(shared.fleet.incarnation());
    let mut last_role = None;
    let mut logged = Logged::default();
    let started = shared.now();
    let mut listing = store::Listing::default();
    let mut listing_begun = started;
    loop {
        let role = update_role(&shared, &mut last_role);
        let response = if !has_history {
            if shared.now().since(listing_begun) > LISTING_LIFETIME && !listing.is_empty() {
                log::warn!(target: "store", of = "targets"; "the list was not read to its end in time; reading it from its beginning");
                listing = store::Listing::default();
            }
            if listing.is_empty() {
                listing_begun = shared.now();
            }
            store.targets(&mut listing).await
        } else if role.is_some() {
            store
                .watch_targets(shared.directory.known_position(), WATCH_TIMEOUT)
                .await
        } else {
            let step = if shared.fleet.is_store_unreachable() {
                Step::ReadChanges
            } else {
                let now = shared.now();
                let announced = shared.fleet.peers().announced_targets(now);
                let is_large_fleet = shared.dispatcher.live_vms() > MAX_SMALL_FLEET;
                catch_up.step(shared.directory.state(), announced, is_large_fleet, now)
            };
            match step {
                Step::Idle => {
                    Timer::after(CHECK_INTERVAL).await;
                    continue;
                }
                Step::Wait(until) => {
                    Timer::after(until.since(shared.now()).min(CHECK_INTERVAL)).await;
                    continue;
                }
                Step::ReadChanges => {}
                Step::ReadList => {
                    log::info!(target: "store", of = "targets"; "the list differs from that of the VMs that watch the store; reading it");
                    has_history = false;
                    continue;
                }
            }
            store
                .watch_targets(shared.directory.known_position(), CATCH_UP_TIMEOUT)
                .await
        };
        match response {
            Ok(response) => {
                backoff.reset();
                mark_store_reachable(&shared);
                if !shared.directory.has_list() {
                    let history =
                        read_history(Arc::clone(&shared), Arc::clone(&store), response.position);
                    shared.runtime.spawn(history).detach();
                }
                let changes = apply_response(&shared, response, !has_history, &mut logged);
                if !std::mem::replace(&mut has_history, true) {
                    let announced = shared.fleet.peers().announced_targets(shared.now());
                    catch_up.record_list(shared.directory.state(), announced);
                }
                // The others have what a VM reads that has only missed something.
                if let Some(changes) = changes.filter(|_| role.is_some()) {
                    reports::send_changes(&shared, changes).await;
                }
                shared.fleet.record_response(Subject::Targets, shared.now());
                let startup_end = started + STARTUP_TIME;
                let min_interval = match role {
                    Some(WatchRole::Standby | WatchRole::Auxiliary) => STANDBY_MIN_WATCH_INTERVAL,
                    Some(WatchRole::Primary | WatchRole::Substitute) | None => MIN_WATCH_INTERVAL,
                };
                Timer::after(min_interval.max(startup_end.since(shared.now()))).await;
            }
            Err(failure @ (Failure::Compacted | Failure::TooLong)) if has_history => {
                log::info!(target: "store", of = "targets", reason:% = failure; "reading the full list instead of its history");
                has_history = false;
            }
            Err(Failure::Unfinished) => {
                Timer::after(PAGES_DELAY).await;
            }
            Err(failure) => {
                mark_store_unreachable(&shared, &failure);
                Timer::after(backoff.next_delay(&failure)).await;
            }
        }
    }
}

/// Returns the role of this VM in watching the store, and records and logs that it has changed.
fn update_role(shared: &Shared, last: &mut Option<WatchRole>) -> Option<WatchRole> {
    // Peers are not known yet when the process starts, and all VMs read the list then.
    let role = if shared.directory.has_list() {
        shared.fleet.watch_role(WATCHERS, shared.now())
    } else {
        None
    };
    if std::mem::replace(last, role) != role {
        let name = role.map_or_else(|| "none".to_owned(), |role| role.to_string());
        log::info!(target: "store", of = "targets", role = name; "the role in watching the store has changed");
        shared.fleet.set_watching(role.is_some());
    }
    role
}

/// Reads which targets left before this process started, once a request needs it: a stream that a
/// client resumes may have begun at one of them.
async fn read_history(shared: Arc<Shared>, store: Arc<Store>, position: Position) {
    let duration = shared.settings.load().platform.history;
    let started = shared.now();
    shared.history.wait_for_request().await;
    while shared.now().since(started) < duration {
        match store.targets_history(position).await {
            Ok(changes) => {
                log::info!(target: "store", of = "targets", changes = changes.len(), era = position.era, revision = position.revision; "read the history of the targets");
                let past = changes.into_iter().map(into_past).collect();
                let now = shared.now();
                // The history has moved on since the list was read.
                let before_start = duration.saturating_sub(now.since(started));
                shared.directory.update(|listing| {
                    listing.add_history(past, before_start, now);
                    false
                });
                break;
            }
            Err(failure) => {
                log::warn!(target: "store", of = "targets", reason:% = failure; "failed to read the history of the targets");
            }
        }
        Timer::after(HISTORY_RETRY_DELAY).await;
    }
    shared.history.finish();
}

fn into_past(change: Change) -> Past {
    match change.kind {
        Kind::Put(target) => Past::Listed(target),
        Kind::Removed(key) | Kind::Invalid(key, _) => Past::Gone(key),
    }
}

/// Checks when a request needs it that no target is missing here, until the process exits.
///
/// Watches don't show that: one that is silent may be cut off. The list that is read is only compared,
/// as a watch may bring an older state of an entry later.
pub async fn confirm(shared: Arc<Shared>, store: Arc<Store>) {
    loop {
        let waiting = shared.confirmation.next().await;
        match store.targets(&mut store::Listing::default()).await {
            Ok(response) => {
                let mut listed = response
                    .value
                    .into_iter()
                    .filter_map(into_target)
                    .map(|(_, target)| target);
                match listed.find(|target| !shared.directory.has_release(target)) {
                    None => waiting.confirm(),
                    Some(missed) => {
                        log::info!(target: "store", of = "targets", target_key:% = missed.key, release:% = missed.release; "this VM has missed a target");
                    }
                }
            }
            Err(failure) => {
                log::warn!(target: "store", of = "targets", reason:% = failure; "failed to confirm the list of targets");
            }
        }
    }
}

/// Removes expired targets until the process exits.
pub async fn expire_targets(shared: Arc<Shared>) {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        let now = shared.now();
        shared.directory.update(|listing| listing.expire(now));
    }
}

/// Applies changes that a peer has read from the store.
pub fn apply_changes(shared: &Shared, changes: &Changes) {
    let known = shared.directory.known_position();
    // Older builds don't send the era.
    let is_same_era = changes.era == 0 || changes.era == known.era;
    if !is_same_era || known.revision < changes.from || known.revision >= changes.to {
        return;
    }
    let now = shared.now();
    let removal_delay = Duration::from_millis(changes.removal_delay_ms.into());
    let mut is_changed = false;
    shared.directory.update(|listing| {
        for entry in &changes.entries {
            let key = key::Target::from_raw(entry.target);
            if !listing.record(key, entry.revision, entry.description.is_some()) {
                continue;
            }
            is_changed |= match &entry.description {
                Some(description) => listing.put(decode_target(key, description), now),
                None => listing.remove(key, removal_delay, now),
            };
        }
        listing.advance(changes.to, changes.to);
        is_changed
    });
    if is_changed {
        log::info!(
            target: "target", revision = changes.to, changes = changes.entries.len();
            "applied target changes received from a peer"
        );
    }
}

/// Compares the list of targets with that of a VM that watches the store.
pub fn receive_watch(shared: &Shared, watch: &Watch) {
    let now = shared.now();
    let announced = watch.targets();
    shared.directory.update(|listing| {
        let delay = Duration::from_millis(watch.removal_delay_ms.into());
        listing.delay_removals(delay, now);
        let own = listing.revisions().state();
        if own.position.era == announced.position.era && own.digest == announced.digest {
            // Both lists are the same, so this one has all changes up to there as well.
            listing.advance(announced.position.revision, 0);
        }
        false
    });
}

fn mark_store_unreachable(shared: &Shared, failure: &Failure) {
    if shared.fleet.set_store_unreachable(true) {
        log::warn!(target: "store", of = "targets", reason:% = failure; "the store is unreachable");
    }
    shared.directory.update(|listing| {
        listing.mark_store_unavailable();
        false
    });
}

fn mark_store_reachable(shared: &Shared) {
    let now = shared.now();
    shared.directory.update(|listing| {
        listing.mark_store_available(now);
        false
    });
    if shared.fleet.set_store_unreachable(false) {
        log::info!(target: "store", of = "targets"; "the store is reachable again");
    }
}

/// Applies a response of the store; returns the changes to send to peers.
fn apply_response(
    shared: &Shared,
    response: Versioned<Vec<Change>>,
    is_full_list: bool,
    logged: &mut Logged,
) -> Option<Changes> {
    if is_full_list {
        replace_list(shared, response, logged);
        return None;
    }
    let now = shared.now();
    let Position { era, revision } = response.position;
    let from = shared.directory.changed_position().revision;
    let to = response.value.iter().map(|change| change.revision).max();
    let to = to.unwrap_or_default();
    let mut changes = Changes {
        from,
        to,
        era,
        ..Changes::default()
    };
    shared.directory.update(|listing| {
        let removal_delay = listing.removal_delay(now);
        changes.removal_delay_ms = removal_delay.as_millis() as u32;
        let mut is_changed = false;
        for change in response.value {
            let is_listed = matches!(change.kind, Kind::Put(_));
            let is_news = listing.record(change.key(), change.revision, is_listed);
            let (entry, is_change) = match change.kind {
                Kind::Put(target) => {
                    let entry = encode_entry(change.revision, &target);
                    let (key, is_leaving) = (target.key, target.is_leaving);
                    logged.forget(key);
                    let cold_ms = cold_remaining_ms(&target).unwrap_or_default();
                    let is_change = is_news && listing.put(target, now);
                    log::info!(target: "target", target_key:% = key, is_leaving, cold_ms, revision = change.revision, is_change; "target listed by the store");
                    (entry, is_change)
                }
                Kind::Removed(key) => {
                    logged.forget(key);
                    let is_change = is_news && listing.remove(key, removal_delay, now);
                    log::info!(target: "target", target_key:% = key, revision = change.revision, at_once = is_change; "target removed from the store");
                    (encode_removal(change.revision, key), is_change)
                }
                // Such an entry names no target, even if it did before.
                Kind::Invalid(key, error) => {
                    let is_change = is_news && listing.remove(key, removal_delay, now);
                    logged.record(key, change.revision, &error);
                    (encode_removal(change.revision, key), is_change)
                }
            };
            changes.entries.push(entry);
            is_changed |= is_change;
        }
        listing.advance(revision, to);
        is_changed
    });
    (to > from).then_some(changes)
}

/// Applies the full list that the store had at a position.
fn replace_list(shared: &Shared, response: Versioned<Vec<Change>>, logged: &mut Logged) {
    let now = shared.now();
    let position = response.position;
    let before = shared.directory.known_position();
    if shared.directory.has_list() && position.era != before.era {
        log::warn!(target: "store", of = "targets", era = position.era, revision = position.revision, era_before = before.era, revision_before = before.revision; "the store has begun a new history");
    }
    logged.retain(&response.value);
    for change in &response.value {
        if let Kind::Invalid(key, error) = &change.kind {
            logged.record(*key, change.revision, error);
        }
    }
    let listed = response.value.into_iter().filter_map(into_target).collect();
    shared
        .directory
        .update(|listing| listing.replace_at(position, listed, now));
}

/// Returns the target that a change lists, with the change's revision.
fn into_target(change: Change) -> Option<(u64, Target)> {
    match change.kind {
        Kind::Put(target) => Some((change.revision, target)),
        Kind::Removed(_) | Kind::Invalid(..) => None,
    }
}

fn encode_removal(revision: u64, target: key::Target) -> Entry {
    Entry {
        revision,
        target: target.raw(),
        description: None,
    }
}

fn encode_entry(revision: u64, target: &Target) -> Entry {
    let address = match target.address.ip() {
        IpAddr::V4(address) => u32::from(address),
        // No target that was read from the store has one.
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
            release: target.release.to_string(),
            cold_remaining_ms: cold_remaining_ms(target),
        }),
    }
}

/// Returns the time for which an entry that was just read calls its target cold, rounded up.
fn cold_remaining_ms(target: &Target) -> Option<u32> {
    let remaining = target.warm_up.remaining?;
    u32::try_from(remaining.as_micros().div_ceil(1_000)).ok()
}

fn decode_target(key: key::Target, description: &Description) -> Target {
    let address = Ipv4Addr::from(description.address);
    Target {
        key,
        instance: description.instance.as_str().into(),
        address: SocketAddr::from((address, description.port as u16)),
        service: key::Service::from_raw(description.service),
        data_centre: description.data_centre.as_str().into(),
        slots: description.slots,
        is_leaving: description.is_leaving,
        is_cordoned: false,
        started_ms: description.started_ms,
        release: description.release.as_str().into(),
        warm_up: WarmUp::new(description.cold_remaining()),
    }
}
