//! Exchanges state with the other VMs in UDP datagrams, on change and as a heartbeat.

use {
    crate::{
        Shared,
        control::{configuration, cordon, discovery, origins, quarantine},
    },
    base::key,
    dispatch::{
        Load,
        load::Pace,
        peers::MAX_SMALL_FLEET,
        report::{
            Changes, Datagram, Evidence, Failing, Limits, Origin, QueuedRequest, Report, Summary,
            TargetLoad, Watch,
        },
        watch,
    },
    entry::runtime::with_timeout,
    prost::Message,
    rand::Rng,
    smol::Timer,
    std::{
        collections::{HashMap, HashSet},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Heartbeat interval in a small fleet; a VM is considered dead after several missed heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Heartbeat interval in a large fleet, where each heartbeat takes a datagram to every other VM.
const LARGE_FLEET_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum deviation of an interval as a fraction of it, so that VMs don't report in lockstep.
const JITTER: f64 = 0.15;
/// Delay in which load changes are batched into one report.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Maximum number of peers that are sent every load change.
///
/// In a larger fleet, the VMs of other data centres receive changes with the next heartbeat.
pub const MAX_FULL_MESH_VMS: usize = MAX_SMALL_FLEET;
/// Interval between summaries of a data centre: an eighth of the duration of a prefill.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between full summaries.
const FULL_SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a received datagram, in bytes: the most that UDP carries.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Sends reports until the process exits.
pub async fn send(shared: Arc<Shared>) {
    let mut round = 0;
    let mut last_heartbeat = shared.now();
    let mut heartbeat = HEARTBEAT_INTERVAL;
    loop {
        let now = shared.now();
        let is_heartbeat = round == 0 || now.since(last_heartbeat) >= heartbeat;
        if is_heartbeat {
            last_heartbeat = now;
            heartbeat = next_heartbeat(&shared);
            shared.refresh_peers();
        }
        round += 1;
        send_once(&shared, round, is_heartbeat).await;
        let delay = heartbeat.saturating_sub(shared.now().since(last_heartbeat));
        with_timeout(delay, shared.dispatcher.wait_for_change()).await;
        Timer::after(BATCH_DELAY).await;
    }
}

fn next_heartbeat(shared: &Shared) -> Duration {
    let heartbeat = if shared.dispatcher.live_vms() > MAX_FULL_MESH_VMS {
        LARGE_FLEET_HEARTBEAT_INTERVAL
    } else {
        HEARTBEAT_INTERVAL
    };
    heartbeat.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}

/// Receives datagrams until the process exits.
pub async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match shared.fleet.socket().recv_from(&mut buffer).await {
            Ok((length, _sender)) => match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => {
                    if let Some(report) = datagram.report
                        && let Some(new_peer) = receive_report(&shared, report)
                    {
                        // Each VM replies with randomly chosen introductions, so together they
                        // introduce the whole fleet to a VM that has just started.
                        let reply = build_report(&shared, rand::random(), true);
                        broadcast(&shared, &reply, HashSet::from([new_peer])).await;
                        send_state(&shared, HashSet::from([new_peer])).await;
                    }
                    if let Some(changes) = datagram.changes {
                        discovery::apply_changes(&shared, &changes);
                    }
                    if let Some(origin) = datagram.origin {
                        origins::receive(&shared, &origin);
                    }
                    if let Some(limits) = datagram.limits {
                        shared.dispatcher.receive_limits(&limits, shared.now());
                    }
                    if let Some(evidence) = datagram.evidence {
                        quarantine::receive(&shared, &evidence);
                    }
                    if let Some(watch) = datagram.watch {
                        receive_watch(&shared, watch);
                    }
                    if let Some(summary) = datagram.summary {
                        let now = shared.now();
                        shared.fleet.peers().receive_summary(summary, now);
                        shared.fleet.mark_changed();
                    }
                }
                Err(error) => {
                    log::warn!(target: "peer", error:% = error; "dropped a malformed datagram");
                }
            },
            Err(error) => {
                log::warn!(target: "peer", error:% = error; "failed to receive a datagram");
                Timer::after(BATCH_DELAY).await;
            }
        }
    }
}

/// In a large fleet, sends summaries of the data centre's load to VMs of other data centres.
///
/// Runs until the process exits. Changes are sent immediately, and periodic full summaries make up
/// for lost datagrams.
pub async fn send_summaries(shared: Arc<Shared>) {
    let mut recipients = HashSet::new();
    let mut sent = HashMap::new();
    let mut sent_failing = Failing::default();
    let mut paces = HashMap::new();
    let mut full_sent_at = shared.now();
    loop {
        Timer::after(SUMMARY_INTERVAL).await;
        let now = shared.now();
        let is_full = now.since(full_sent_at) >= FULL_SUMMARY_INTERVAL;
        if is_full {
            full_sent_at = now;
            recipients = summary_recipients(&shared);
            paces = data_centre_paces(&shared);
        }
        if recipients.is_empty() {
            continue;
        }
        let load = data_centre_load(&shared);
        let mut changed = if is_full {
            full_load(&load, &paces)
        } else {
            changed_load(&sent, &load)
        };
        for load in &mut changed {
            let target = key::Target::from_raw(load.target);
            *load = load.with_pace(paces.get(&target).copied());
        }
        sent = load;
        let data_centre = shared.fleet.data_centre();
        let mut summaries = Summary::split(data_centre, &changed, is_full);
        let failing = data_centre_failures(&shared);
        let failing = Failing::with_delayed(&failing, &data_centre_delays(&shared));
        if is_full || failing != sent_failing {
            sent_failing = failing.clone();
            let empty = Summary {
                data_centre,
                ..Summary::default()
            };
            if summaries.is_empty() {
                summaries.push(empty);
            }
            summaries[0].failing = Some(failing);
        }
        for summary in summaries {
            let datagram = Datagram {
                summary: Some(summary),
                ..Datagram::default()
            };
            broadcast(&shared, &datagram, recipients.clone()).await;
        }
    }
}

fn summary_recipients(shared: &Shared) -> HashSet<Ipv4Addr> {
    let now = shared.now();
    let peers = shared.fleet.peers();
    if peers.live(now).count() < MAX_FULL_MESH_VMS || shared.drain.is_draining() {
        return HashSet::new();
    }
    peers.summary_recipients(shared.fleet.own_address(), shared.fleet.data_centre(), now)
}

/// Returns the load that all VMs of the data centre have placed.
fn data_centre_load(shared: &Shared) -> HashMap<key::Target, Load> {
    let data_centre = shared.fleet.data_centre();
    let mut load = shared.fleet.peers().load_in(data_centre, shared.now());
    for (target, local) in shared.dispatcher.local_load() {
        *load.entry(target).or_default() += local;
    }
    load
}

/// Returns the number of VMs of the data centre whose requests each target fails.
fn data_centre_failures(shared: &Shared) -> HashMap<key::Target, u32> {
    let now = shared.now();
    let data_centre = shared.fleet.data_centre();
    let mut failures = shared.fleet.peers().failure_counts_in(data_centre, now);
    if !shared.reach.is_isolated() {
        for target in shared.dispatcher.failing_targets(now) {
            *failures.entry(target).or_default() += 1;
        }
    }
    failures
}

/// Returns the number of those VMs of which each of these targets has failed no request.
fn data_centre_delays(shared: &Shared) -> HashMap<key::Target, u32> {
    let now = shared.now();
    let data_centre = shared.fleet.data_centre();
    let mut delayed = shared.fleet.peers().delayed_counts_in(data_centre, now);
    if !shared.reach.is_isolated() {
        for target in shared.dispatcher.delayed_targets(now) {
            *delayed.entry(target).or_default() += 1;
        }
    }
    delayed
}

/// Returns the pace of targets that the VMs of the data centre have measured.
fn data_centre_paces(shared: &Shared) -> HashMap<key::Target, Pace> {
    let now = shared.now();
    let data_centre = shared.fleet.data_centre();
    let readings = shared.fleet.peers().paces_in(data_centre, now);
    shared.dispatcher.summarize_paces(&readings, now)
}

/// Returns the load of all targets that have any or whose pace is known.
fn full_load(
    load: &HashMap<key::Target, Load>,
    paces: &HashMap<key::Target, Pace>,
) -> Vec<TargetLoad> {
    let unloaded = paces.keys().filter(|target| !load.contains_key(*target));
    let unloaded = unloaded.map(|target| TargetLoad::new(*target, Load::default()));
    load.iter()
        .map(|(target, load)| TargetLoad::new(*target, *load))
        .chain(unloaded)
        .collect()
}

/// Returns the load of targets where it differs from what was sent.
///
/// Memory growth alone is not sent because the receivers extrapolate it, and neither is another pace,
/// which changes slowly.
fn changed_load(
    sent: &HashMap<key::Target, Load>,
    load: &HashMap<key::Target, Load>,
) -> Vec<TargetLoad> {
    let is_current = |target: &key::Target, load: &Load| {
        sent.get(target).is_some_and(|sent| {
            (sent.runs, sent.pending_prefill, sent.copy_memory)
                == (load.runs, load.pending_prefill, load.copy_memory)
        })
    };
    let changed = load
        .iter()
        .filter(|(target, load)| !is_current(target, load));
    let ended = sent.keys().filter(|target| !load.contains_key(*target));
    changed
        .map(|(target, load)| TargetLoad::new(*target, *load))
        .chain(ended.map(|target| TargetLoad::new(*target, Load::default())))
        .collect()
}

/// Sends a report immediately, to all peers or only to those of the data centre.
pub async fn send_now(shared: &Shared, is_for_all_peers: bool) {
    send_once(shared, 0, is_for_all_peers).await;
}

/// Sends changes of the target list to all peers.
pub async fn send_changes(shared: &Shared, changes: Changes) {
    let addresses = shared.fleet.peers().report_recipients(shared.now());
    for changes in changes.split() {
        let datagram = Datagram {
            changes: Some(changes),
            ..Datagram::default()
        };
        broadcast(shared, &datagram, addresses.clone()).await;
    }
}

/// Announces to the data centre that this VM watches the store, until the process exits.
///
/// Reports that are sent meanwhile carry announcements as well, and take the place of these.
pub async fn announce_watch(shared: Arc<Shared>) {
    loop {
        shared.fleet.wait_for_watch().await;
        // That this VM begins to watch is announced at once.
        let mut min_interval = Duration::ZERO;
        while shared.fleet.is_watching() {
            if let Some(watch) = due_watch(&shared, min_interval) {
                let datagram = Datagram {
                    watch: Some(watch),
                    ..Datagram::default()
                };
                let data_centre = shared.fleet.data_centre();
                let addresses = shared.fleet.peers().live_in(data_centre, shared.now());
                broadcast(&shared, &datagram, addresses).await;
            }
            let interval = announcement_interval(&shared);
            let since = shared.now().since(shared.fleet.last_announcement());
            let delay = interval.saturating_sub(since).max(BATCH_DELAY);
            Timer::after(delay).await;
            min_interval = interval;
        }
    }
}

fn announcement_interval(shared: &Shared) -> Duration {
    watch::interval(shared.dispatcher.live_vms() > MAX_SMALL_FLEET)
}

/// Returns the announcement that this VM watches the store if the last one is `interval` ago.
fn due_watch(shared: &Shared, interval: Duration) -> Option<Watch> {
    let now = shared.now();
    let is_complete = shared.directory.has_list() && shared.current.version() > 0;
    if !is_complete || !shared.fleet.take_due_announcement(interval, now) {
        return None;
    }
    let response_age = shared.fleet.response_age(now);
    let newest_until = shared.current.newest_until().unwrap_or_default();
    let targets = shared.directory.state();
    Some(Watch {
        address: shared.fleet.own_address().into(),
        incarnation: shared.fleet.incarnation(),
        sequence: shared.fleet.next_sequence(),
        data_centre: shared.fleet.data_centre(),
        response_age_ms: response_age
            .and_then(|age| u32::try_from(age.as_millis()).ok())
            .unwrap_or(u32::MAX),
        configuration_version: shared.current.version(),
        configuration_era: newest_until.era,
        configuration_revision: newest_until.revision,
        targets_era: targets.position.era,
        targets_revision: targets.position.revision,
        targets_digest: targets.digest,
        removal_delay_ms: shared.directory.removal_delay(now).as_millis() as u32,
    })
}

/// Processes the announcement of a VM that watches the store.
fn receive_watch(shared: &Shared, watch: Watch) {
    let own = shared.fleet.own_address();
    let is_newer = shared.fleet.peers().receive_watch(watch, own, shared.now());
    if is_newer {
        configuration::receive_watch(shared, &watch);
        discovery::receive_watch(shared, &watch);
    }
}

/// Sends the origin of a stream to the given peers.
pub async fn send_origin(shared: &Shared, origin: Origin, holders: Vec<Ipv4Addr>) {
    let datagram = Datagram {
        origin: Some(origin),
        ..Datagram::default()
    };
    broadcast(shared, &datagram, holders.into_iter().collect()).await;
}

/// Sends evidence of prompts on which engines crash to all peers.
pub async fn send_evidence(shared: &Shared, evidence: Evidence) {
    let addresses = shared.fleet.peers().report_recipients(shared.now());
    broadcast(shared, &evidence_datagram(evidence), addresses).await;
}

/// Sends limits that targets have named, and what is sent to these, to all peers.
///
/// Runs until the process exits.
pub async fn send_limits(shared: Arc<Shared>) {
    loop {
        let limits = shared.dispatcher.wait_for_limits(&*shared.clock).await;
        let addresses = shared.fleet.peers().report_recipients(shared.now());
        broadcast(&shared, &limits_datagram(limits), addresses).await;
    }
}

/// Sends what peers may have missed: evidence about prompts, and limits of targets.
async fn send_state(shared: &Shared, addresses: HashSet<Ipv4Addr>) {
    if let Some(evidence) = shared.quarantine.evidence(shared) {
        broadcast(shared, &evidence_datagram(evidence), addresses.clone()).await;
    }
    let is_known = |target| shared.directory.get(target).is_some();
    shared.dispatcher.retain_limits(is_known, shared.now());
    for limits in shared.dispatcher.limits(shared.now()) {
        broadcast(shared, &limits_datagram(limits), addresses.clone()).await;
    }
}

fn evidence_datagram(evidence: Evidence) -> Datagram {
    Datagram {
        evidence: Some(evidence),
        ..Datagram::default()
    }
}

fn limits_datagram(limits: Limits) -> Datagram {
    Datagram {
        limits: Some(limits),
        ..Datagram::default()
    }
}

async fn send_once(shared: &Shared, round: u64, is_for_all_peers: bool) {
    let now = shared.now();
    let mut addresses = {
        let mut peers = shared.fleet.peers();
        peers.expire(now);
        let all = peers.report_recipients(now);
        if is_for_all_peers || all.len() <= MAX_FULL_MESH_VMS {
            all
        } else {
            peers.live_in(shared.fleet.data_centre(), now)
        }
    };
    if is_for_all_peers {
        addresses.extend(seed_addresses(shared));
        send_state(shared, addresses.clone()).await;
    }
    let mut datagram = build_report(shared, round, is_for_all_peers);
    // Half of the interval leaves room for a report to come before the announcement itself.
    datagram.watch = due_watch(shared, announcement_interval(shared) / 2);
    broadcast(shared, &datagram, addresses).await;
}

/// Builds a report; `round` selects the peers that it introduces.
///
/// The measured paces of targets change slowly, so only heartbeats carry them.
fn build_report(shared: &Shared, round: u64, has_paces: bool) -> Datagram {
    let leaving = shared.directory.leaving_targets();
    let report = Report {
        address: shared.fleet.own_address().into(),
        incarnation: shared.fleet.incarnation(),
        sequence: shared.fleet.next_sequence(),
        configuration_version: shared.current.version(),
        configuration_bytes: shared.current.size_bytes(),
        configuration_transfer_bytes: shared.current.deflated_bytes(),
        link_mbps: shared.fleet.link_mbps(),
        targets_revision: shared.directory.changed_position().revision,
        loads: local_loads(shared, has_paces.then_some(round)),
        leaving: leaving.iter().map(|(key, _)| key.raw()).collect(),
        leaving_started_ms: leaving
            .iter()
            .map(|(_, started_ms)| started_ms.unwrap_or_default())
            .collect(),
        introductions: shared.fleet.peers().introductions(round, shared.now()),
        is_stopping: shared.drain.is_draining(),
        is_store_unreachable: shared.fleet.cedes_watch(shared.now()),
        data_centre: shared.fleet.data_centre(),
        waiting: QueuedRequest::most_urgent(
            shared.dispatcher.queued_requests().into_iter(),
            shared.now(),
        ),
        is_isolated: shared.reach.is_isolated(),
        cordon: shared.cordon.report(),
        places: shared.dispatcher.reported_places(shared.now()),
        failing: shared
            .dispatcher
            .failing_targets(shared.now())
            .iter()
            .map(|key| key.raw())
            .collect(),
        delayed: shared
            .dispatcher
            .delayed_targets(shared.now())
            .iter()
            .map(|key| key.raw())
            .collect(),
    };
    Datagram {
        report: Some(report),
        ..Datagram::default()
    }
}

async fn broadcast(shared: &Shared, datagram: &Datagram, mut addresses: HashSet<Ipv4Addr>) {
    let bytes = datagram.encode_to_vec();
    addresses.remove(&shared.fleet.own_address());
    for address in addresses {
        let sent = shared
            .fleet
            .socket()
            .send_to(&bytes, shared.fleet.peer_address(address));
        if let Err(error) = sent.await {
            log::debug!(target: "peer", peer:% = address, error:% = error; "failed to send a datagram");
        }
    }
}

/// Returns this VM's load on each target, with paces of `pace_round` if that is given.
fn local_loads(shared: &Shared, pace_round: Option<u64>) -> Vec<TargetLoad> {
    let loads = shared.dispatcher.local_load().into_iter();
    let mut loads = loads
        .map(|(target, load)| TargetLoad::new(target, load))
        .collect();
    if let Some(round) = pace_round {
        let paces = shared.dispatcher.local_paces(shared.now());
        TargetLoad::add_paces(&mut loads, &paces, round);
    }
    loads
}

fn seed_addresses(shared: &Shared) -> Vec<Ipv4Addr> {
    let settings = shared.settings.load();
    let seeds = settings.seeds.iter().map(SocketAddr::ip);
    seeds
        .filter_map(|ip| match ip {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        })
        .collect()
}

/// Processes a report; returns the sender's address if it was not known before.
fn receive_report(shared: &Shared, report: Report) -> Option<Ipv4Addr> {
    let now = shared.now();
    let address = Ipv4Addr::from(report.address);
    let version = report.configuration_version;
    if let Some(message) = &report.cordon {
        // Also of a report that is not the sender's newest one, as sets have positions of their own.
        cordon::receive(shared, message);
    }
    let places = if report.data_centre == shared.fleet.data_centre() {
        report.places.clone()
    } else {
        // Clients return to their own data centre.
        Vec::new()
    };
    let update = shared
        .fleet
        .peers()
        .receive_report(report, shared.fleet.own_address(), now);
    let update = update?;
    shared.fleet.mark_changed();
    shared.dispatcher.receive_places(&places, now);
    if update.is_new {
        log::info!(target: "peer", peer:% = address, vms = shared.fleet.live_vms(now); "discovered a peer");
    }
    for (target, started_ms) in update.leaving {
        if shared.directory.mark_leaving(target, started_ms, now) {
            log::info!(
                target: "target", target_key:% = target, peer:% = address;
                "peer reports that the target is leaving"
            );
        }
    }
    if version > shared.current.version() {
        shared.fleet.notify_newer_configuration();
    }
    update.is_new.then_some(address)
}
