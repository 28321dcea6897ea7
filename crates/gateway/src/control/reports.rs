//! Reports between the VMs: sent when work changes and as a heartbeat, taken as they come.

use {
    crate::{Shared, control::discovery},
    dispatch::peers::{Changes, Datagram, Report, Work},
    entry::runtime::within,
    prost::Message,
    smol::Timer,
    std::{
        collections::HashSet,
        net::{IpAddr, Ipv4Addr},
        sync::Arc,
        time::Duration,
    },
};

/// Longest time between two reports; a third of the silence after which a VM counts as gone.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time in which changes of work are gathered into one report.
const GATHER: Duration = Duration::from_millis(25);
/// Most VMs that each change of work is told to at once; in a larger fleet only those of the same
/// data centre hear of it before the next heartbeat.
pub const FULL_MESH: usize = 40;
/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 8 << 10;

/// Sends reports until the process ends.
pub async fn send(shared: Arc<Shared>) {
    let mut turn = 0;
    let mut last_to_all = shared.now();
    loop {
        let now = shared.now();
        let is_heartbeat = turn == 0 || now.since(last_to_all) >= HEARTBEAT;
        if is_heartbeat {
            last_to_all = now;
        }
        turn += 1;
        send_once(&shared, turn, is_heartbeat).await;
        let pause = HEARTBEAT.saturating_sub(shared.now().since(last_to_all));
        within(pause, shared.dispatcher.change()).await;
        Timer::after(GATHER).await;
    }
}

/// Takes datagrams until the process ends.
pub async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match shared.fleet.socket().recv_from(&mut buffer).await {
            Ok((length, _sender)) => match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => {
                    if let Some(report) = datagram.report {
                        take(&shared, report);
                    }
                    if let Some(changes) = datagram.changes {
                        discovery::take_changes(&shared, &changes);
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

/// Sends changes of the list of targets to all peers.
pub async fn tell(shared: &Shared, changes: Changes) {
    let addresses = shared.fleet.peers().addresses(shared.now());
    let datagram = Datagram {
        report: None,
        changes: Some(changes),
    };
    broadcast(shared, &datagram, addresses).await;
}

async fn send_once(shared: &Shared, turn: u64, is_heartbeat: bool) {
    let now = shared.now();
    let (mut addresses, introductions) = {
        let mut peers = shared.fleet.peers();
        peers.advance(now);
        let all = peers.addresses(now);
        let addresses = if is_heartbeat || all.len() <= FULL_MESH {
            all
        } else {
            peers.near(shared.fleet.data_centre(), now)
        };
        (addresses, peers.introductions(turn, now))
    };
    let report = Report {
        address: shared.fleet.own().into(),
        incarnation: shared.fleet.incarnation(),
        sequence: shared.fleet.next_sequence(),
        configuration: shared.current.version(),
        listing: shared.directory.changed(),
        work: work(shared),
        leaving: shared
            .directory
            .leaving()
            .iter()
            .map(|key| key.raw())
            .collect(),
        introductions,
        is_stopping: shared.drain.is_leaving(),
        is_store_lost: shared.fleet.is_store_lost(),
        data_centre: shared.fleet.data_centre(),
    };
    if is_heartbeat {
        addresses.extend(seeds(shared));
    }
    let datagram = Datagram {
        report: Some(report),
        changes: None,
    };
    broadcast(shared, &datagram, addresses).await;
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

fn work(shared: &Shared) -> Vec<Work> {
    let own = shared.dispatcher.own().into_iter();
    own.map(|(target, load)| Work {
        target: target.raw(),
        runs: load.runs,
        memory: load.memory,
        prefill: load.prefill,
        copies: load.copies,
    })
    .collect()
}

fn seeds(shared: &Shared) -> Vec<Ipv4Addr> {
    let settings = shared.settings.load();
    let seeds = settings.seeds.iter().map(|seed| seed.ip());
    seeds
        .filter_map(|ip| match ip {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        })
        .collect()
}

fn take(shared: &Shared, report: Report) {
    let now = shared.now();
    let address = Ipv4Addr::from(report.address);
    let configuration = report.configuration;
    let (news, work, vms) = {
        let mut peers = shared.fleet.peers();
        let Some(news) = peers.receive(report, shared.fleet.own(), now) else {
            return;
        };
        (news, peers.work(now), peers.live(now).count() + 1)
    };
    shared.dispatcher.set_peers(work, vms);
    if news.is_new {
        log::info!(target: "peer", peer:% = address, vms = vms; "a peer was heard");
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
}
