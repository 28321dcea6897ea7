//! The other VMs, as known from the messages of [`crate::report`].
//!
//! Each VM sends a report to the others when its load changes, and otherwise at regular intervals
//! as a heartbeat. A report replaces the previous one of its sender, so a lost one does no harm.

use {
    crate::{
        Load,
        load::Pace,
        report::{Report, Summary, TargetLoad, Watch},
        revision::State,
        waiting::Waiter,
        watch::{WatchRole, Watches},
    },
    base::{Instant, key, rendezvous},
    std::{
        collections::{HashMap, HashSet},
        hash::BuildHasher,
        net::Ipv4Addr,
        time::Duration,
    },
};

/// Time without a report after which a peer counts as gone: two lost heartbeats and a margin, or
/// one lost heartbeat in a large fleet, where they are sent less often.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a silent peer, or an address that was only introduced, is forgotten.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of addresses of other VMs in a report.
const MAX_INTRODUCTIONS: usize = 40;
/// Time without a summary after which a data centre's load is taken from its VMs' reports instead;
/// several summaries may be lost before that.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a report from any peer after which a VM watches the store itself.
///
/// A VM that is cut off must notice it well within the time in which a new configuration has to be
/// in force. Two VMs alone report less often than this, so both of them watch it.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of VMs of the data centre that are told where a stream began; one elsewhere is as well.
const LOCAL_ORIGIN_HOLDERS: usize = 2;
/// Number of VMs of each data centre that are asked where a stream began: one more than are told,
/// as the VMs that are live may have changed since.
const ORIGIN_CANDIDATES: usize = LOCAL_ORIGIN_HOLDERS + 1;
/// Time after which a pace that a peer measured is forgotten.
const PACE_LIFETIME: Duration = Duration::from_secs(60);
/// Key of the rendezvous hash that chooses the VMs that watch the store.
const WATCH_KEY: u64 = 1;

/// Load of a data centre, collected from its summaries.
#[derive(Debug, Default)]
struct SummarizedLoad {
    /// Load of each target by its raw key, with the time at which it was received.
    loads: key::Map<u64, (TargetLoad, Instant)>,
    /// Raw keys of the targets that fail requests there, once for each VM.
    failing: Vec<u64>,
    /// Those of which they have failed no request.
    delayed: Vec<u64>,
    updated: Instant,
}

/// A peer with its latest report.
#[derive(Debug)]
struct Peer {
    report: Report,
    received: Instant,
    /// Paces that it measured, with the time at which each was received; not in every report.
    paces: HashMap<u64, (Pace, Instant)>,
}

/// Paces of targets that several VMs measured, with the times at which they were received.
pub type Readings = HashMap<key::Target, Vec<(Pace, Instant)>>;

/// The other VMs, and the load and versions that they have reported.
#[derive(Debug, Default)]
pub struct Peers {
    reporting: HashMap<Ipv4Addr, Peer>,
    /// Addresses from the introductions of reports, with the time of the latest one.
    introduced: HashMap<Ipv4Addr, Instant>,
    /// Load of other data centres by the hash of their name.
    summaries: key::Map<u64, SummarizedLoad>,
    /// When the latest report of any peer was received.
    last_received: Instant,
    watches: Watches,
}

/// Number of VMs up to which a fleet is small: each VM is sent every change of the others' load.
pub const MAX_SMALL_FLEET: usize = 40;

/// A newer configuration that a peer has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Address of the peer.
    pub peer: Ipv4Addr,
    /// Version of the configuration.
    pub version: u64,
    /// Size of the configuration in bytes.
    pub bytes: u64,
    /// Whether the peer sends it deflated.
    pub is_deflated: bool,
    /// Whether the peer is in the receiver's data centre.
    pub is_local: bool,
    /// Rate of the peer's link in Mbit/s; 0 if it is not known.
    pub link_mbps: u32,
}

/// A VM as a candidate for watching the store.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Address of the VM.
    pub address: Ipv4Addr,
    /// Hash of the name of its data centre.
    pub data_centre: u64,
    /// Rate of its link in Mbit/s; 0 if it is not known.
    pub link_mbps: u32,
}

impl Candidate {
    fn id(&self) -> u64 {
        u64::from(u32::from(self.address))
    }
}

/// What a report changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Whether the sender was unknown, has restarted or had been silent for [`PEER_TIMEOUT`].
    pub is_new: bool,
    /// Targets that the sender reports as leaving, with the starts of their processes, if known.
    pub leaving: Vec<(key::Target, Option<u64>)>,
}

impl Peers {
    /// Processes a report; `None` if it is this VM's own or not newer than the last one.
    pub fn receive_report(
        &mut self,
        report: Report,
        own: Ipv4Addr,
        now: Instant,
    ) -> Option<Update> {
        let address = Ipv4Addr::from(report.address);
        if address == own {
            return None;
        }
        let previous = self.reporting.get(&address);
        if previous.is_some_and(|previous| {
            previous.report.incarnation == report.incarnation
                && previous.report.sequence >= report.sequence
        }) {
            return None;
        }
        let is_new = previous.is_none_or(|previous| {
            previous.report.incarnation != report.incarnation
                || now.since(previous.received) > PEER_TIMEOUT
        });
        for &introduced in &report.introductions {
            let introduced = Ipv4Addr::from(introduced);
            if introduced != own {
                self.introduced.insert(introduced, now);
            }
        }
        let leaving = report.leaving_targets();
        let previous = self.reporting.remove(&address);
        let mut paces = previous.map(|previous| previous.paces).unwrap_or_default();
        for load in &report.loads {
            if let Some(pace) = load.pace() {
                paces.insert(load.target, (pace, now));
            }
        }
        self.reporting.insert(
            address,
            Peer {
                report,
                received: now,
                paces,
            },
        );
        self.last_received = now;
        Some(Update { is_new, leaving })
    }

    /// Forgets peers and addresses that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        self.reporting
            .retain(|_, peer| now.since(peer.received) < ADDRESS_LIFETIME);
        for peer in self.reporting.values_mut() {
            peer.paces
                .retain(|_, (_, received)| now.since(*received) < PACE_LIFETIME);
        }
        self.introduced
            .retain(|_, introduced| now.since(*introduced) < ADDRESS_LIFETIME);
        self.watches.expire(ADDRESS_LIFETIME, now);
    }

    /// Processes an announcement of a VM that watches the store; returns whether it is newer than
    /// the last one of its sender.
    pub fn receive_watch(&mut self, watch: Watch, own: Ipv4Addr, now: Instant) -> bool {
        Ipv4Addr::from(watch.address) != own && self.watches.receive(watch, now)
    }

    /// Returns the peers whose last report is recent.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, &Report)> {
        self.reporting
            .iter()
            .filter(move |(_, peer)| now.since(peer.received) <= PEER_TIMEOUT)
            .map(|(address, peer)| (*address, &peer.report))
    }

    /// Returns the VMs known in the last 30 s, silent ones and those only introduced included.
    pub fn known(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let is_recent = move |at: Instant| now.since(at) < ADDRESS_LIFETIME;
        let reporting = self.reporting.iter();
        let reporting = reporting.filter(move |(_, peer)| is_recent(peer.received));
        let introduced = self.introduced.iter();
        let introduced = introduced.filter(move |(_, introduced)| is_recent(**introduced));
        let introduced = introduced.map(|(address, _)| *address);
        reporting.map(|(address, _)| *address).chain(introduced)
    }

    /// Returns the addresses of the live peers in a data centre.
    pub fn live_in(&self, data_centre: u64, now: Instant) -> HashSet<Ipv4Addr> {
        let live = self.live(now);
        live.filter(|(_, report)| report.data_centre == data_centre)
            .map(|(address, _)| address)
            .collect()
    }

    /// Returns this VM's role in watching the store; `None` if it isn't one of the watchers.
    ///
    /// A VM that receives no reports always watches. Otherwise at least `count` watchers are chosen
    /// among the VMs that reach the store, or among all if none does. They are chosen evenly from
    /// the data centres, so that one that is cut off has watchers of its own, and there from the
    /// VMs with the fastest links, which pass large values on soon. If these no longer announce
    /// that they watch, others do as well.
    pub fn watch_role(
        &self,
        own: Candidate,
        is_store_unreachable: bool,
        count: usize,
        now: Instant,
    ) -> Option<WatchRole> {
        let others = || self.live(now).filter(|(_, report)| !report.is_stopping);
        let is_store_reachable_by_peer = others().any(|(_, report)| !report.is_store_unreachable);
        if now.since(self.last_received) > ISOLATION_TIMEOUT {
            return Some(WatchRole::Primary);
        }
        if is_store_reachable_by_peer && is_store_unreachable {
            return None;
        }
        let candidates: Vec<_> = others()
            .filter(|(_, report)| !is_store_reachable_by_peer || !report.is_store_unreachable)
            .map(|(address, report)| Candidate {
                address,
                data_centre: report.data_centre,
                link_mbps: report.link_mbps,
            })
            .chain([own])
            .collect();
        let ranking = Ranking::new(&candidates);
        let data_centres: HashSet<_> = candidates.iter().map(|other| other.data_centre).collect();
        let per_data_centre = count.div_ceil(data_centres.len());
        let is_local = |other: &Candidate| other.data_centre == own.data_centre;
        let rank = ranking.rank(own, is_local);
        if rank >= per_data_centre {
            let is_senior = |address| ranking.is_before(address, own);
            let is_large_fleet = candidates.len() > MAX_SMALL_FLEET;
            let excess = rank - per_data_centre;
            return self
                .watches
                .role(own.data_centre, is_senior, excess, is_large_fleet, now);
        }
        // A build that reports no link ranks the VMs otherwise, and may leave the first rank to one
        // that is none of the watchers here.
        let is_primary = ranking.rank(own, |_| true) == 0
            || own.link_mbps > 0 && ranking.rank(own, |other| other.link_mbps > 0) == 0;
        Some(if is_primary {
            WatchRole::Primary
        } else {
            WatchRole::Standby
        })
    }

    /// Returns whether a VM that doesn't reach the store asks the engines of its data centre whether
    /// they are leaving.
    ///
    /// Watchers that get no response give way to others, which take seconds to notice the same, so
    /// this doesn't depend on who watches. No VM asks while one of the data centre has current
    /// responses, and only the first of those that don't reach the store does, as each request is
    /// priced.
    pub fn polls_departures(&self, own: Ipv4Addr, data_centre: u64, now: Instant) -> bool {
        if self.watches.has_current(data_centre, now) {
            return false;
        }
        let mut others = self.live(now);
        !others.any(|(address, report)| {
            report.data_centre == data_centre
                && report.is_store_unreachable
                && !report.is_stopping
                && address < own
        })
    }

    /// Returns the peers that a VM tells where a stream began.
    ///
    /// One of them is in another data centre, for clients that come back there.
    pub fn origin_holders(
        &self,
        attempt: key::Request,
        data_centre: u64,
        now: Instant,
    ) -> Vec<Ipv4Addr> {
        let ranked = self.ranked(attempt, now);
        let is_local = |peer: &&(Ipv4Addr, u64)| peer.1 == data_centre;
        let local = ranked.iter().filter(is_local).take(LOCAL_ORIGIN_HOLDERS);
        let remote = ranked.iter().find(|peer| !is_local(peer));
        local.chain(remote).map(|(address, _)| *address).collect()
    }

    /// Returns the peers that may know where a stream began, wherever that was.
    pub fn origin_candidates(&self, attempt: key::Request, now: Instant) -> Vec<Ipv4Addr> {
        let mut counts: HashMap<u64, usize> = HashMap::new();
        let mut ranked = self.ranked(attempt, now);
        ranked.retain(|(_, data_centre)| {
            let count = counts.entry(*data_centre).or_default();
            *count += 1;
            *count <= ORIGIN_CANDIDATES
        });
        ranked.into_iter().map(|(address, _)| address).collect()
    }

    /// Returns the live peers and their data centres, by descending weight for a stream.
    fn ranked(&self, attempt: key::Request, now: Instant) -> Vec<(Ipv4Addr, u64)> {
        let mut ranked: Vec<_> = self
            .live(now)
            .map(|(address, report)| (address, report.data_centre))
            .collect();
        ranked.sort_by_cached_key(|(address, _)| {
            let id = u64::from(u32::from(*address));
            std::cmp::Reverse((rendezvous::weight(attempt.raw(), id), id))
        });
        ranked
    }

    /// Returns the newest state of the list of targets that VMs announce which watch the store.
    pub fn announced_targets(&self, now: Instant) -> Option<State> {
        let is_large_fleet = self.live(now).count() >= MAX_SMALL_FLEET;
        self.watches.targets(is_large_fleet, now)
    }

    /// Returns all addresses that reports are sent to.
    pub fn report_recipients(&self, now: Instant) -> HashSet<Ipv4Addr> {
        let live = self.live(now).map(|(address, _)| address);
        let introduced = self.introduced.iter();
        let without_report = introduced
            .filter(|(address, _)| !self.reporting.contains_key(*address))
            .map(|(address, _)| *address);
        live.chain(without_report).collect()
    }

    /// Returns addresses of live peers for a report; successive `round`s cover all of them.
    pub fn introductions(&self, round: u64, now: Instant) -> Vec<u32> {
        let mut live: Vec<_> = self
            .live(now)
            .map(|(address, _)| u32::from(address))
            .collect();
        live.sort_unstable();
        let count = live.len().min(MAX_INTRODUCTIONS);
        if count == 0 {
            return live;
        }
        let start = (round as usize).wrapping_mul(MAX_INTRODUCTIONS) % live.len();
        live.rotate_left(start);
        live.truncate(count);
        live
    }

    /// Processes a summary of another data centre.
    pub fn receive_summary(&mut self, summary: Summary, now: Instant) {
        let summarized = self.summaries.entry(summary.data_centre).or_default();
        summarized.updated = now;
        if summary.is_full {
            summarized.loads.clear();
        }
        for load in summary.loads {
            summarized.loads.insert(load.target, (load, now));
        }
        if let Some(failing) = summary.failing {
            summarized.failing = failing.targets;
            summarized.delayed = failing.delayed;
        }
    }

    /// Returns the data centres whose summaries are recent.
    pub fn summarized_data_centres(&self, now: Instant) -> HashSet<key::DataCentre> {
        let fresh = self.fresh_summaries(now);
        fresh
            .map(|(data_centre, _)| key::DataCentre::from_raw(*data_centre))
            .collect()
    }

    /// Returns the VMs of other data centres to which this VM sends summaries of its own one.
    ///
    /// Each VM gets the summaries of a remote data centre from exactly one VM there.
    pub fn summary_recipients(
        &self,
        own: Ipv4Addr,
        data_centre: u64,
        now: Instant,
    ) -> HashSet<Ipv4Addr> {
        let local: Vec<_> = self
            .live(now)
            .filter(|(_, report)| report.data_centre == data_centre && !report.is_stopping)
            .map(|(address, _)| u64::from(u32::from(address)))
            .collect();
        let own = u64::from(u32::from(own));
        let remote = self
            .live(now)
            .filter(|(_, report)| report.data_centre != data_centre);
        let assigned = remote.filter(|(address, _)| {
            let recipient = u64::from(u32::from(*address));
            rendezvous::rank(recipient, own, local.iter().copied()) == 0
        });
        assigned.map(|(address, _)| address).collect()
    }

    /// Returns the load of the live peers in a data centre on each target.
    pub fn load_in(&self, data_centre: u64, now: Instant) -> HashMap<key::Target, Load> {
        let mut total = HashMap::new();
        for peer in self.live_peers(now) {
            if peer.report.data_centre == data_centre {
                add_loads(&mut total, &peer.report.loads, now.since(peer.received));
            }
        }
        total
    }

    /// Returns the load of all live peers on each target.
    ///
    /// That of a data centre with recent summaries comes from these, not from its VMs' reports.
    pub fn load(&self, now: Instant) -> key::Map<key::Target, Load> {
        let mut total = key::Map::default();
        self.add_load(&mut total, now);
        total
    }

    /// Adds the loads of [`Peers::load`] to a map.
    pub fn add_load(&self, total: &mut key::Map<key::Target, Load>, now: Instant) {
        for peer in self.live_peers(now) {
            if !self.is_summarized(peer.report.data_centre, now) {
                add_loads(total, &peer.report.loads, now.since(peer.received));
            }
        }
        for (_, summarized) in self.fresh_summaries(now) {
            for (load, received) in summarized.loads.values() {
                add_loads(total, &[*load], now.since(*received));
            }
        }
    }

    /// Returns the paces that the live peers in a data centre have measured.
    pub fn paces_in(&self, data_centre: u64, now: Instant) -> Readings {
        let peers = self.live_peers(now);
        let peers = peers.filter(|peer| peer.report.data_centre == data_centre);
        collect_paces(peers.flat_map(|peer| &peer.paces))
    }

    /// Returns the paces that all live peers have measured.
    ///
    /// Those of a data centre with recent summaries come from these, as the load does.
    pub fn paces(&self, now: Instant) -> Readings {
        let peers = self.live_peers(now);
        let peers = peers.filter(|peer| !self.is_summarized(peer.report.data_centre, now));
        let mut paces = collect_paces(peers.flat_map(|peer| &peer.paces));
        for (_, summarized) in self.fresh_summaries(now) {
            for (load, received) in summarized.loads.values() {
                if let Some(pace) = load.pace() {
                    let target = key::Target::from_raw(load.target);
                    paces.entry(target).or_default().push((pace, *received));
                }
            }
        }
        paces
    }

    fn fresh_summaries(&self, now: Instant) -> impl Iterator<Item = (&u64, &SummarizedLoad)> {
        let summaries = self.summaries.iter();
        summaries.filter(move |(_, summarized)| now.since(summarized.updated) <= SUMMARY_TIMEOUT)
    }

    /// Returns whether the summaries of a data centre are recent.
    fn is_summarized(&self, data_centre: u64, now: Instant) -> bool {
        let summarized = self.summaries.get(&data_centre);
        summarized.is_some_and(|summarized| now.since(summarized.updated) <= SUMMARY_TIMEOUT)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.reporting.values();
        peers.filter(move |peer| now.since(peer.received) <= PEER_TIMEOUT)
    }

    /// Returns the peers that may open tunnels, and the hashes of their data centres' names.
    pub fn tunnel_peers(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, u64)> {
        self.live(now)
            .filter(|(_, report)| !report.is_stopping && !report.is_isolated)
            .map(|(address, report)| (address, report.data_centre))
    }

    /// Returns whether a process is the one that reports from an address.
    pub fn is_process_at(&self, address: Ipv4Addr, incarnation: u64, now: Instant) -> bool {
        let mut live = self.live(now);
        live.any(|(other, report)| other == address && report.incarnation == incarnation)
    }

    /// Returns the number of live peers that report each target as failing.
    ///
    /// Those of a data centre with recent summaries come from these as well, as the reports of its
    /// VMs are rare and a failure may be over before the next one.
    pub fn failure_counts(&self, now: Instant) -> key::Map<key::Target, u32> {
        self.named(now, |report| &report.failing, |load| &load.failing)
    }

    /// Returns the number of live peers of which each target has failed a request.
    ///
    /// Those that report it as failing because it wants a pause or is late don't count.
    pub fn failed_counts(&self, now: Instant) -> key::Map<key::Target, u32> {
        let mut counts = self.failure_counts(now);
        let delayed = self.named(now, |report| &report.delayed, |load| &load.delayed);
        for (target, delayed) in delayed {
            if let Some(count) = counts.get_mut(&target) {
                *count = count.saturating_sub(delayed);
            }
        }
        counts.retain(|_, count| *count > 0);
        counts
    }

    /// Counts the targets in a list of each report, or of each summary of its data centre.
    fn named(
        &self,
        now: Instant,
        in_report: fn(&Report) -> &Vec<u64>,
        in_summary: fn(&SummarizedLoad) -> &Vec<u64>,
    ) -> key::Map<key::Target, u32> {
        let mut total = key::Map::default();
        // What fails at a VM without a path to targets is not the targets' fault.
        let reaching = self.live(now).filter(|(_, report)| !report.is_isolated);
        let reported = reaching
            .filter(|(_, report)| !self.is_summarized(report.data_centre, now))
            .flat_map(|(_, report)| in_report(report));
        let summaries = self.fresh_summaries(now);
        let summarized = summaries.flat_map(|(_, summarized)| in_summary(summarized));
        for &target in reported.chain(summarized) {
            *total.entry(key::Target::from_raw(target)).or_default() += 1;
        }
        total
    }

    /// Returns the number of live peers of a data centre that report each target as failing.
    pub fn failure_counts_in(&self, data_centre: u64, now: Instant) -> HashMap<key::Target, u32> {
        self.named_in(data_centre, now, |report| &report.failing)
    }

    /// Returns the number of those among these peers of which a target has failed no request.
    pub fn delayed_counts_in(&self, data_centre: u64, now: Instant) -> HashMap<key::Target, u32> {
        self.named_in(data_centre, now, |report| &report.delayed)
    }

    fn named_in(
        &self,
        data_centre: u64,
        now: Instant,
        in_report: fn(&Report) -> &Vec<u64>,
    ) -> HashMap<key::Target, u32> {
        let mut total = HashMap::new();
        let reaching = self.live(now).filter(|(_, report)| !report.is_isolated);
        let local = reaching.filter(|(_, report)| report.data_centre == data_centre);
        for &target in local.flat_map(|(_, report)| in_report(report)) {
            *total.entry(key::Target::from_raw(target)).or_default() += 1;
        }
        total
    }

    /// Returns the requests that are queued at live peers, or at those of one data centre.
    pub fn waiters(&self, data_centre: Option<u64>, now: Instant) -> Vec<Waiter> {
        let peers = self.live_peers(now).filter(|peer| {
            data_centre.is_none_or(|data_centre| peer.report.data_centre == data_centre)
        });
        let waiters = peers.flat_map(|peer| {
            let queued = peer.report.waiting.iter();
            queued.map(|request| request.to_waiter(peer.received))
        });
        waiters.filter(|waiter| waiter.deadline > now).collect()
    }

    /// Returns the live peers that have a newer configuration than `version`.
    pub fn newer_configurations(&self, version: u64, data_centre: u64, now: Instant) -> Vec<Offer> {
        let is_newer =
            |report: &Report| report.configuration_version > version && !report.is_stopping;
        let holders = self.live(now).filter(|(_, report)| is_newer(report));
        let offers = holders.map(|(peer, report)| Offer {
            peer,
            version: report.configuration_version,
            bytes: report.configuration_bytes,
            is_deflated: report.configuration_transfer_bytes > 0,
            is_local: report.data_centre == data_centre,
            link_mbps: report.link_mbps,
        });
        offers.collect()
    }
}

/// Factor between the fastest link of a data centre and the slowest one that counts as fast.
const FAST_LINK_FACTOR: u32 = 2;

/// The order in which VMs are chosen to watch the store: those with the fastest links of their data
/// centre first, and by rendezvous hashing among these and the others.
#[derive(Debug)]
struct Ranking<'a> {
    candidates: &'a [Candidate],
    /// Rate of the fastest link of each data centre.
    fastest: HashMap<u64, u32>,
}

impl<'a> Ranking<'a> {
    fn new(candidates: &'a [Candidate]) -> Self {
        let mut fastest: HashMap<u64, u32> = HashMap::new();
        for candidate in candidates {
            let fastest = fastest.entry(candidate.data_centre).or_default();
            *fastest = candidate.link_mbps.max(*fastest);
        }
        Self {
            candidates,
            fastest,
        }
    }

    /// Returns how many of the candidates that pass a filter come before `own`.
    fn rank(&self, own: Candidate, filter: impl Fn(&Candidate) -> bool) -> usize {
        let own = self.key(&own);
        let others = self.candidates.iter().filter(|other| filter(other));
        others.filter(|other| self.key(other) > own).count()
    }

    /// Returns whether a VM comes before `own`; one that is no candidate does.
    fn is_before(&self, address: Ipv4Addr, own: Candidate) -> bool {
        let mut candidates = self.candidates.iter();
        let candidate = candidates.find(|candidate| candidate.address == address);
        candidate.is_none_or(|candidate| self.key(candidate) > self.key(&own))
    }

    fn key(&self, candidate: &Candidate) -> (bool, u64, u64) {
        let fastest = self.fastest.get(&candidate.data_centre).copied();
        let link = candidate.link_mbps.saturating_mul(FAST_LINK_FACTOR);
        let id = candidate.id();
        (
            link >= fastest.unwrap_or_default(),
            rendezvous::weight(WATCH_KEY, id),
            id,
        )
    }
}

fn collect_paces<'a>(measured: impl Iterator<Item = (&'a u64, &'a (Pace, Instant))>) -> Readings {
    let mut paces = Readings::new();
    for (&target, &reading) in measured {
        let target = key::Target::from_raw(target);
        paces.entry(target).or_default().push(reading);
    }
    paces
}

/// Adds reported loads of a given age to the total of each target.
fn add_loads<S: BuildHasher>(
    total: &mut HashMap<key::Target, Load, S>,
    loads: &[TargetLoad],
    age: Duration,
) {
    for load in loads {
        *total.entry(key::Target::from_raw(load.target)).or_default() += load.load(age);
    }
}
