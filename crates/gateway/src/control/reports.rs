//! Reports between the VMs: sent when work changes and as a heartbeat, taken as they come.

use {
    crate::Shared,
    dispatch::peers::{Report, Work},
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
/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 8 << 10;

/// Sends reports until the process ends.
pub async fn send(shared: Arc<Shared>) {
    let mut turn = 0;
    loop {
        turn += 1;
        send_once(&shared, turn).await;
        within(HEARTBEAT, shared.dispatcher.change()).await;
        Timer::after(GATHER).await;
    }
}

/// Takes reports until the process ends.
pub async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match shared.fleet.socket().recv_from(&mut buffer).await {
            Ok((length, _sender)) => match Report::decode(&buffer[..length]) {
                Ok(report) => take(&shared, report),
                Err(error) => {
                    log::warn!(target: "peer", error:% = error; "an unreadable report was dropped");
                }
            },
            Err(error) => {
                log::warn!(target: "peer", error:% = error; "no report could be read");
                Timer::after(GATHER).await;
            }
        }
    }
}

async fn send_once(shared: &Shared, turn: u64) {
    let now = shared.now();
    let (addresses, introductions) = {
        let mut peers = shared.fleet.peers();
        peers.advance(now);
        (peers.addresses(now), peers.introductions(turn, now))
    };
    let report = Report {
        address: shared.fleet.own().into(),
        incarnation: shared.fleet.incarnation(),
        sequence: shared.fleet.next_sequence(),
        configuration: shared.current.version(),
        listing: shared.directory.revision(),
        work: work(shared),
        leaving: shared
            .directory
            .leaving()
            .iter()
            .map(|key| key.raw())
            .collect(),
        introductions,
        is_stopping: shared.drain.is_leaving(),
    };
    let bytes = report.encode_to_vec();
    let mut addresses: HashSet<_> = addresses;
    addresses.extend(seeds(shared));
    addresses.remove(&shared.fleet.own());
    for address in addresses {
        let sent = shared
            .fleet
            .socket()
            .send_to(&bytes, shared.fleet.address(address));
        if let Err(error) = sent.await {
            log::debug!(target: "peer", peer:% = address, error:% = error; "a report was not sent");
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
