//! Takeovers of the watch where the VMs that watch the store have fallen silent or get no responses.

use {
    base::Instant,
    mastictrail_dispatch::{
        Peers,
        peers::Candidate,
        report::{Report, Watch},
        watch::WatchRole,
    },
    std::{net::Ipv4Addr, time::Duration},
};

/// Number of VMs of each of the two data centres.
const VMS: u8 = 10;
/// Number of watchers of each data centre.
const WATCHERS: usize = 2;

fn address(vm: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, vm)
}

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn data_centre(vm: u8) -> u64 {
    u64::from(vm % 2)
}

/// All VMs of a fleet, each with reports of the others.
struct Fleet {
    vms: Vec<(u8, Peers)>,
    sequence: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            vms: (1..=2 * VMS).map(|vm| (vm, Peers::default())).collect(),
            sequence: 0,
        }
    }

    /// Sends a report of each VM that passes the filter.
    fn report(&mut self, milliseconds: u64, is_alive: impl Fn(u8) -> bool) {
        self.sequence += 1;
        for (own, peers) in &mut self.vms {
            for vm in (1..=2 * VMS).filter(|&vm| vm != *own && is_alive(vm)) {
                let report = Report {
                    address: address(vm).into(),
                    incarnation: u64::from(vm),
                    sequence: self.sequence,
                    data_centre: data_centre(vm),
                    ..Report::default()
                };
                peers.receive_report(report, address(*own), at(milliseconds));
            }
        }
    }

    /// Sends announcements of VMs, whose last responses of the store are `age` old.
    fn announce(&mut self, milliseconds: u64, watchers: &[u8], age: u32) {
        self.sequence += 1;
        for (own, peers) in &mut self.vms {
            for &vm in watchers {
                let watch = Watch {
                    address: address(vm).into(),
                    incarnation: u64::from(vm),
                    sequence: self.sequence,
                    data_centre: data_centre(vm),
                    response_age_ms: age,
                    ..Watch::default()
                };
                peers.receive_watch(watch, address(*own), at(milliseconds));
            }
        }
    }

    /// Returns the VMs that watch, with their roles.
    fn roles(&self, milliseconds: u64) -> Vec<(u8, WatchRole)> {
        let role = |(vm, peers): &(u8, Peers)| {
            let own = Candidate {
                address: address(*vm),
                data_centre: data_centre(*vm),
                link_mbps: 0,
            };
            let role = peers.watch_role(own, false, WATCHERS * 2, at(milliseconds));
            role.map(|role| (*vm, role))
        };
        self.vms.iter().filter_map(role).collect()
    }

    /// Returns the VMs that watch.
    fn watchers(&self, milliseconds: u64) -> Vec<u8> {
        let roles = self.roles(milliseconds).into_iter();
        roles.map(|(vm, _)| vm).collect()
    }

    /// Returns the VMs that watch with a role.
    fn with_role(&self, milliseconds: u64, role: WatchRole) -> Vec<u8> {
        let roles = self.roles(milliseconds).into_iter();
        roles
            .filter(|(_, other)| *other == role)
            .map(|(vm, _)| vm)
            .collect()
    }
}

/// Returns a fleet whose watchers have announced at 10 s that they watch, and these.
fn announced(age: u32) -> (Fleet, Vec<u8>) {
    let mut fleet = Fleet::new();
    fleet.report(9_900, |_| true);
    let watchers = fleet.watchers(0);
    assert_eq!(watchers.len(), 2 * WATCHERS);
    fleet.announce(10_000, &watchers, age);
    (fleet, watchers)
}

#[test]
fn no_other_vm_watches_while_the_watchers_announce_it() {
    let (mut fleet, watchers) = announced(0);
    for time in (10_000..14_000).step_by(250) {
        assert_eq!(fleet.watchers(time), watchers);
        fleet.report(time, |_| true);
        // Two of three announcements are lost.
        if time % 750 == 0 {
            fleet.announce(time, &watchers, 300);
        }
    }
}

/// Silent peers count as alive for 5 s; a version must be in force within 2 s.
#[test]
fn vms_of_each_data_centre_take_over_soon_after_the_watchers_fall_silent() {
    let (mut fleet, watchers) = announced(0);
    fleet.report(10_700, |vm| !watchers.contains(&vm));
    assert_eq!(fleet.watchers(10_800), watchers);
    let first = fleet.with_role(10_850, WatchRole::Substitute);
    assert_eq!(first.len(), 2, "{first:?}: one of each data centre");
    assert_ne!(data_centre(first[0]), data_centre(first[1]));
    // Should those be lost as well, the next ones follow, in the end all.
    assert!(fleet.watchers(10_950).len() < 2 * VMS as usize);
    assert_eq!(fleet.watchers(11_200).len(), 2 * VMS as usize);
}

#[test]
fn a_takeover_that_is_announced_is_not_repeated() {
    let (mut fleet, watchers) = announced(0);
    let is_alive = |vm| !watchers.contains(&vm);
    fleet.report(10_700, is_alive);
    let first = fleet.with_role(10_850, WatchRole::Substitute);
    for time in (10_850..13_000).step_by(250) {
        fleet.report(time, is_alive);
        fleet.announce(time, &first, 0);
        assert_eq!(fleet.with_role(time + 240, WatchRole::Substitute), first);
    }
    // The regular watchers are back.
    fleet.announce(13_000, &watchers, 0);
    assert_eq!(fleet.watchers(13_010), watchers);
}

/// If the store is away, further watchers would only add calls to it.
#[test]
fn few_vms_watch_in_addition_while_the_watchers_get_no_responses() {
    let (fleet, watchers) = announced(2_000);
    let roles = fleet.roles(10_700);
    assert_eq!(roles.len(), watchers.len() + 2, "{roles:?}");
    let auxiliaries = fleet.with_role(10_700, WatchRole::Auxiliary);
    assert!(auxiliaries.iter().all(|vm| !watchers.contains(vm)));
    let local = auxiliaries.iter().filter(|&&vm| data_centre(vm) == 0);
    assert_eq!(local.count(), 1);
}

/// While the store is away, the watch passes from VM to VM; those that take it over had no response
/// for long.
#[test]
fn no_vm_is_added_to_watchers_that_have_just_begun() {
    let (fleet, watchers) = announced(u32::MAX);
    assert_eq!(fleet.watchers(10_700), watchers);
}

#[test]
fn a_late_announcement_does_not_replace_a_newer_one() {
    let (fleet, watchers) = announced(0);
    let (own, mut peers) = fleet.vms.into_iter().next().expect("there is a VM");
    let vm = watchers[watchers.len() - 1];
    assert_ne!(own, vm);
    let older = Watch {
        address: address(vm).into(),
        incarnation: u64::from(vm),
        sequence: 1,
        ..Watch::default()
    };
    assert!(!peers.receive_watch(older, address(own), at(10_100)));
    let restarted = Watch {
        incarnation: 77,
        ..older
    };
    assert!(peers.receive_watch(restarted, address(own), at(10_100)));
    assert!(
        !peers.receive_watch(restarted, address(vm), at(10_200)),
        "its own"
    );
}

/// The watchers of a large fleet find the store unreachable and give way to VMs that haven't noticed.
/// Unless the first of them asks the engines, nobody learns that these leave.
#[test]
fn the_first_vm_that_does_not_reach_the_store_asks_engines_unless_a_peer_has_responses() {
    let noticed = [2, 4, 6];
    let poll = |fleet: &Fleet, milliseconds| {
        let vms = fleet.vms.iter().filter(|(vm, _)| noticed.contains(vm));
        let polling = vms.filter(|(vm, peers)| {
            let role = peers.watch_role(
                Candidate {
                    address: address(*vm),
                    data_centre: data_centre(*vm),
                    link_mbps: 0,
                },
                true,
                WATCHERS * 2,
                at(milliseconds),
            );
            assert_eq!(role, None, "VM {vm} gives way");
            peers.polls_departures(address(*vm), data_centre(*vm), at(milliseconds))
        });
        polling.map(|(vm, _)| *vm).collect::<Vec<_>>()
    };
    let mut fleet = Fleet::new();
    fleet.report(10_000, |_| true);
    fleet.sequence += 1;
    for (own, peers) in &mut fleet.vms {
        for vm in noticed.iter().filter(|vm| **vm != *own) {
            let report = Report {
                address: address(*vm).into(),
                incarnation: u64::from(*vm),
                sequence: fleet.sequence,
                data_centre: data_centre(*vm),
                is_store_unreachable: true,
                ..Report::default()
            };
            peers.receive_report(report, address(*own), at(10_000));
        }
    }
    assert_eq!(poll(&fleet, 10_100), [2]);
    // A watcher elsewhere has responses, which says nothing of this data centre's path to the store.
    fleet.announce(10_100, &[1], 100);
    assert_eq!(poll(&fleet, 10_100), [2]);
    fleet.announce(10_200, &[8], 100);
    assert_eq!(poll(&fleet, 10_300), [] as [u8; 0]);
    fleet.report(11_700, |vm| !noticed.contains(&vm));
    assert_eq!(poll(&fleet, 11_800), [2], "its responses are outdated");
}
