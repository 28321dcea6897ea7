//! Messages and bytes that a VM sends to the others, by the size of the fleet.
//!
//! `cargo test -p mastictrail-dispatch --test traffic -- --nocapture` prints the table of
//! docs/CAPACITY.md. The demand and the engines are the same for all sizes, so a VM of a larger fleet
//! has fewer runs.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Load, Peers,
        load::Pace,
        peers::MAX_SMALL_FLEET,
        report::{Datagram, Failing, QueuedRequest, Report, Summary, TargetLoad},
        waiting::Waiter,
    },
    prost::Message,
    std::{collections::HashMap, net::Ipv4Addr, ops::Add, time::Duration},
};

const DATA_CENTRES: u32 = 4;
const TARGETS: u32 = 60;
/// Runs, queued requests and requests per second of the whole fleet.
const RUNS: u32 = 360;
const QUEUED: u32 = 150;
const REQUESTS_PER_SECOND: f64 = 65.0;
/// A request is queued, placed, prefilled and ended; leaving the queue is reported as well.
const CHANGES_PER_REQUEST: f64 = 5.0;
/// Those that change what a summary states.
const LOAD_CHANGES_PER_REQUEST: f64 = 3.0;
/// Rates of `control/reports.rs` in a large fleet.
const HEARTBEATS_PER_SECOND: f64 = 0.5;
const SUMMARIES_PER_SECOND: f64 = 20.0;
const FULL_SUMMARIES_PER_SECOND: f64 = 1.0;

/// What a VM sends per second.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    messages: f64,
    bytes: f64,
}

impl Flow {
    fn new(datagram: &Datagram, recipients: usize, rate: f64) -> Self {
        let messages = recipients as f64 * rate;
        Self {
            messages,
            bytes: messages * datagram.encoded_len() as f64,
        }
    }
}

impl Add for Flow {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            messages: self.messages + rhs.messages,
            bytes: self.bytes + rhs.bytes,
        }
    }
}

/// Mean over the VMs of a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    heartbeats: Flow,
    changes: Flow,
    summaries: Flow,
}

impl Traffic {
    fn total(&self) -> Flow {
        self.heartbeats + self.changes + self.summaries
    }
}

fn now() -> Instant {
    Instant::default() + Duration::from_secs(60)
}

fn address(vm: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + vm)
}

fn data_centre(index: u32) -> u64 {
    key::DataCentre::of(&format!("dc-{index}")).raw()
}

fn target(index: u32) -> key::Target {
    key::Target::of(&format!("t-{index}"))
}

/// Returns the paces of all targets, as a VM has measured them that has run for a minute.
fn paces() -> HashMap<key::Target, Pace> {
    let pace = Pace {
        percent: 110,
        weight: 20,
    };
    (0..TARGETS).map(|index| (target(index), pace)).collect()
}

/// Returns the load of some runs of about 3,400 tokens.
fn loads(runs: impl Iterator<Item = u32>) -> Vec<TargetLoad> {
    let mut loads: HashMap<key::Target, Load> = HashMap::new();
    for run in runs {
        *loads.entry(target(run % TARGETS)).or_default() += Load {
            runs: 1,
            peak_memory: 3_750,
            used_memory: 3_400,
            pending_prefill: if run.is_multiple_of(8) { 3_000 } else { 0 },
            copy_memory: 0,
        };
    }
    let loads = loads.into_iter();
    loads
        .map(|(target, load)| TargetLoad::new(target, load))
        .collect()
}

fn report(vm: u32, vms: u32, introductions: Vec<u32>, has_paces: bool) -> Report {
    let mut loads = loads((vm..RUNS).step_by(vms as usize));
    if has_paces {
        TargetLoad::add_paces(&mut loads, &paces(), vm.into());
    }
    let waiter = Waiter {
        service: key::Service::of("s"),
        priority: 1,
        turn: Instant::default() + Duration::from_secs(59),
        deadline: now() + Duration::from_secs(2),
    };
    let waiters = (vm..QUEUED).step_by(vms as usize).map(|_| waiter);
    Report {
        address: address(vm).into(),
        incarnation: u64::MAX / 3,
        sequence: 100_000,
        configuration_version: 40,
        configuration_bytes: 90_000,
        configuration_transfer_bytes: 20_000,
        link_mbps: 100,
        targets_revision: 200_000,
        loads,
        introductions,
        data_centre: data_centre(vm % DATA_CENTRES),
        waiting: QueuedRequest::most_urgent(waiters, now()),
        ..Report::default()
    }
}

/// Returns what a VM sends on average in a fleet.
fn traffic(vms: u32) -> Traffic {
    assert!(vms as usize > MAX_SMALL_FLEET);
    let of_fleet = |peers: &mut Peers, own: u32| {
        for vm in 0..vms {
            peers.receive_report(report(vm, vms, Vec::new(), false), address(own), now());
        }
    };
    let senders: Vec<_> = (0..vms).step_by(DATA_CENTRES as usize).collect();
    let mut sum = Traffic::default();
    for &own in &senders {
        let mut peers = Peers::default();
        of_fleet(&mut peers, own);
        let datagram = |has_paces| Datagram {
            report: Some(report(
                own,
                vms,
                peers.introductions(own.into(), now()),
                has_paces,
            )),
            ..Datagram::default()
        };
        let all = peers.report_recipients(now()).len();
        sum.heartbeats = sum.heartbeats + Flow::new(&datagram(true), all, HEARTBEATS_PER_SECOND);
        let local = peers.live_in(data_centre(0), now()).len();
        let change_rate = REQUESTS_PER_SECOND * CHANGES_PER_REQUEST / f64::from(vms);
        sum.changes = sum.changes + Flow::new(&datagram(false), local, change_rate);
        let remote = peers
            .summary_recipients(address(own), data_centre(0), now())
            .len();
        let requests = REQUESTS_PER_SECOND / f64::from(DATA_CENTRES);
        let summarized = requests * LOAD_CHANGES_PER_REQUEST / SUMMARIES_PER_SECOND;
        let partial_rate = SUMMARIES_PER_SECOND - FULL_SUMMARIES_PER_SECOND;
        for (runs, is_full, rate) in [
            (summarized.ceil() as u32, false, partial_rate),
            (RUNS / DATA_CENTRES, true, FULL_SUMMARIES_PER_SECOND),
        ] {
            let mut loads = loads(0..runs);
            for load in &mut loads {
                *load = load.with_pace(paces().get(&key::Target::from_raw(load.target)).copied());
            }
            let mut summaries = Summary::split(data_centre(0), &loads, is_full);
            summaries[0].failing = is_full.then(|| Failing::new(&HashMap::new()));
            for summary in summaries {
                let summary = Datagram {
                    summary: Some(summary),
                    ..Datagram::default()
                };
                sum.summaries = sum.summaries + Flow::new(&summary, remote, rate);
            }
        }
    }
    let mean = |flow: Flow| Flow {
        messages: flow.messages / senders.len() as f64,
        bytes: flow.bytes / senders.len() as f64,
    };
    Traffic {
        heartbeats: mean(sum.heartbeats),
        changes: mean(sum.changes),
        summaries: mean(sum.summaries),
    }
}

/// Asserts that a flow takes the same bytes at 130 and 300 VMs as at 87, within a fifth.
fn assert_flat(flow: impl Fn(&Traffic) -> Flow) {
    let bytes = [87, 130, 300].map(|vms| flow(&traffic(vms)).bytes);
    let is_flat = |other: &f64| (other / bytes[0] - 1.0).abs() <= 0.2;
    assert!(
        bytes.iter().all(is_flat),
        "bytes per second at 87, 130 and 300 VMs: {bytes:.0?}"
    );
}

#[test]
fn changes_and_summaries_do_not_grow_with_the_fleet() {
    for vms in [87, 130, 300] {
        let traffic = traffic(vms);
        let cell = |flow: Flow| format!("{:.0} / {:.1}", flow.messages, flow.bytes / 1e3);
        println!(
            "| {vms} | {} | {} | {} | {} |",
            cell(traffic.heartbeats),
            cell(traffic.changes),
            cell(traffic.summaries),
            cell(traffic.total())
        );
    }
    assert_flat(|traffic| traffic.changes + traffic.summaries);
}

/// Guards against heartbeats whose number grows with the square of the fleet.
#[test]
fn the_bytes_of_a_vm_do_not_grow_with_the_fleet() {
    assert_flat(Traffic::total);
}
