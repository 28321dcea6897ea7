//! Reports between the VMs: sent when work changes and as a heartbeat, taken as they come.

use {
    crate::{Shared, control::discovery},
    base::key,
    dispatch::{
        Load,
        report::{Changes, Datagram, QueuedRequest, Report, Summary, TargetLoad},
    },
    entry::runtime::within,
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

/// Longest time between two reports in a small fleet; several are missed before a VM counts as gone.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The same in a large fleet, where each costs a datagram to every other VM.
const LARGE_HEARTBEAT: Duration = Duration::from_secs(2);
/// Part of a heartbeat by which it is drawn longer or shorter, so that VMs don't report in step.
const SCATTER: f64 = 0.15;
/// Time in which changes of work are gathered into one report.
const GATHER: Duration = Duration::from_millis(4);
/// Most VMs that each change of work is told to at once; in a larger fleet only those of the same
/// data centre hear of it before the next heartbeat.
pub const FULL_MESH: usize = 40;
/// Time between two summaries of a data centre: an eighth of the time in which a prompt is read.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two whole summaries.
const WHOLE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 8 << 10;

/// Sends reports until the process ends.
pub async fn send(shared: Arc<Shared>) {
    let mut turn = 0;
    let mut last_to_all = shared.now();
    let mut heartbeat = HEARTBEAT;
    loop {
        let now = shared.now();
        let is_heartbeat = turn == 0 || now.since(last_to_all) >= heartbeat;
        if is_heartbeat {
            last_to_all = now;
            heartbeat = next_heartbeat(&shared);
            shared.take_peers_work();
        }
        turn += 1;
        send_once(&shared, turn, is_heartbeat).await;
        let pause = heartbeat.saturating_sub(shared.now().since(last_to_all));
        within(pause, shared.dispatcher.change()).await;
        Timer::after(GATHER).await;
    }
}

fn next_heartbeat(shared: &Shared) -> Duration {
    let heartbeat = if shared.dispatcher.vms() > FULL_MESH {
        LARGE_HEARTBEAT
    } else {
        HEARTBEAT
    };
    heartbeat.mul_f64(rand::rng().random_range(1.0 - SCATTER..1.0 + SCATTER))
}

/// Takes datagrams until the process ends.
pub async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match shared.fleet.socket().recv_from(&mut buffer).await {
            Ok((length, _sender)) => match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => {
                    if let Some(report) = datagram.report
                        && let Some(newcomer) = take(&shared, report)
                    {
                        // A VM that has just started hears of all others from the first answers.
                        let answer = self::report(&shared, rand::random());
                        broadcast(&shared, &answer, HashSet::from([newcomer])).await;
                    }
                    if let Some(changes) = datagram.changes {
                        discovery::take_changes(&shared, &changes);
                    }
                    if let Some(summary) = datagram.summary {
                        let now = shared.now();
                        shared.fleet.peers().receive_summary(summary, now);
                        shared.fleet.set_changed();
                    }
                }
                Err(error) => {
                    log::warn!(target: "peer", error:% = error; "an unreadable datagram was dropped");
                }
            },
            Err(error) => {
                log::warn!(target: "peer", error:% = error; "no datagram could be read");
                Timer::after(GATHER).await;
            }
        }
    }
}

/// Tells VMs of the other data centres of a large fleet the work of this one until the process ends.
///
/// What has changed goes at once; a whole summary from time to time makes good what was lost.
pub async fn summarize(shared: Arc<Shared>) {
    let mut listeners = HashSet::new();
    let mut told = HashMap::new();
    let mut whole_at = shared.now();
    loop {
        Timer::after(SUMMARY_INTERVAL).await;
        let now = shared.now();
        let is_whole = now.since(whole_at) >= WHOLE_INTERVAL;
        if is_whole {
            whole_at = now;
            listeners = listeners_of(&shared);
        }
        if listeners.is_empty() {
            continue;
        }
        let work = near_work(&shared);
        let changed: Vec<_> = if is_whole {
            work.iter()
                .map(|(target, load)| TargetLoad::new(*target, *load))
                .collect()
        } else {
            changes(&told, &work)
        };
        told = work;
        let data_centre = shared.fleet.data_centre();
        for summary in Summary::split(data_centre, &changed, is_whole) {
            let datagram = Datagram {
                summary: Some(summary),
                ..Datagram::default()
            };
            broadcast(&shared, &datagram, listeners.clone()).await;
        }
    }
}

fn listeners_of(shared: &Shared) -> HashSet<Ipv4Addr> {
    let now = shared.now();
    let peers = shared.fleet.peers();
    if peers.live(now).count() < FULL_MESH || shared.drain.is_leaving() {
        return HashSet::new();
    }
    peers.summary_recipients(shared.fleet.own(), shared.fleet.data_centre(), now)
}

/// Returns the work of all VMs of the data centre.
fn near_work(shared: &Shared) -> HashMap<key::Target, Load> {
    let data_centre = shared.fleet.data_centre();
    let mut work = shared.fleet.peers().load_in(data_centre, shared.now());
    for (target, load) in shared.dispatcher.own() {
        *work.entry(target).or_default() += load;
    }
    work
}

/// Returns the work at targets where it is not as it was told; growth alone is foreseen there.
fn changes(
    told: &HashMap<key::Target, Load>,
    work: &HashMap<key::Target, Load>,
) -> Vec<TargetLoad> {
    let is_told = |target: &key::Target, load: &Load| {
        told.get(target).is_some_and(|told| {
            (told.runs, told.pending_prefill, told.copy_memory)
                == (load.runs, load.pending_prefill, load.copy_memory)
        })
    };
    let changed = work.iter().filter(|(target, load)| !is_told(target, load));
    let ended = told.keys().filter(|target| !work.contains_key(*target));
    changed
        .map(|(target, load)| TargetLoad::new(*target, *load))
        .chain(ended.map(|target| TargetLoad::new(*target, Load::default())))
        .collect()
}

/// Sends a report at once, to all peers or to those of the data centre.
pub async fn announce(shared: &Shared, is_for_all: bool) {
    send_once(shared, 0, is_for_all).await;
}

/// Sends changes of the list of targets to all peers.
pub async fn tell(shared: &Shared, changes: Changes) {
    let addresses = shared.fleet.peers().report_recipients(shared.now());
    let datagram = Datagram {
        changes: Some(changes),
        ..Datagram::default()
    };
    broadcast(shared, &datagram, addresses).await;
}

async fn send_once(shared: &Shared, turn: u64, is_heartbeat: bool) {
    let now = shared.now();
    let mut addresses = {
        let mut peers = shared.fleet.peers();
        peers.expire(now);
        let all = peers.report_recipients(now);
        if is_heartbeat || all.len() <= FULL_MESH {
            all
        } else {
            peers.live_in(shared.fleet.data_centre(), now)
        }
    };
    if is_heartbeat {
        addresses.extend(seeds(shared));
    }
    broadcast(shared, &report(shared, turn), addresses).await;
}

fn report(shared: &Shared, turn: u64) -> Datagram {
    let report = Report {
        address: shared.fleet.own().into(),
        incarnation: shared.fleet.incarnation(),
        sequence: shared.fleet.next_sequence(),
        configuration_version: shared.current.version(),
        configuration_bytes: shared.current.size(),
        targets_revision: shared.directory.changed(),
        loads: work(shared),
        leaving: shared
            .directory
            .leaving()
            .iter()
            .map(|key| key.raw())
            .collect(),
        introductions: shared.fleet.peers().introductions(turn, shared.now()),
        is_stopping: shared.drain.is_leaving(),
        is_store_unreachable: shared.fleet.is_store_lost(),
        data_centre: shared.fleet.data_centre(),
        waiting: QueuedRequest::most_urgent(shared.dispatcher.waiters().into_iter(), shared.now()),
        failing: shared
            .dispatcher
            .failing(shared.now())
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
    addresses.remove(&shared.fleet.own());
    for address in addresses {
        let sent = shared
            .fleet
            .socket()
            .send_to(&bytes, shared.fleet.address(address));
        if let Err(error) = sent.await {
            log::debug!(target: "peer", peer:% = address, error:% = error; "a datagram was not sent");
        }
    }
}

fn work(shared: &Shared) -> Vec<TargetLoad> {
    let own = shared.dispatcher.own().into_iter();
    own.map(|(target, load)| TargetLoad::new(target, load))
        .collect()
}

fn seeds(shared: &Shared) -> Vec<Ipv4Addr> {
    let settings = shared.settings.load();
    let seeds = settings.seeds.iter().map(SocketAddr::ip);
    seeds
        .filter_map(|ip| match ip {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        })
        .collect()
}

/// Takes a report; returns the address of a VM that was not known before.
fn take(shared: &Shared, report: Report) -> Option<Ipv4Addr> {
    let now = shared.now();
    let address = Ipv4Addr::from(report.address);
    let configuration = report.configuration_version;
    let news = shared
        .fleet
        .peers()
        .receive_report(report, shared.fleet.own(), now);
    let news = news?;
    shared.fleet.set_changed();
    if news.is_new {
        log::info!(target: "peer", peer:% = address, vms = shared.fleet.size(now); "a peer was heard");
    }
    for target in news.leaving {
        if shared.directory.notice(target, now) {
            log::info!(
                target: "target", target_key:% = target, peer:% = address;
                "a peer says that the target is leaving"
            );
        }
    }
    if configuration > shared.current.version() {
        shared.fleet.tell_newer();
    }
    news.is_new.then_some(address)
}
