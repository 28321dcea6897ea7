//! What a VM knows of the other entry VMs, from the messages of [`crate::report`].
//!
//! Each VM sends its report to every other one when its work changes, and at least once in a while;
//! a report replaces the one before, so a lost one does no harm. Reports double as heartbeats.

use {
    crate::{
        Load,
        report::{Report, Summary, TargetLoad},
        waiting::Waiter,
    },
    base::{Instant, key, rendezvous},
    std::{
        collections::{HashMap, HashSet},
        net::Ipv4Addr,
        time::Duration,
    },
};

/// Time without a report after which a peer counts as gone: two missed heartbeats and a margin.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an address that never answered is asked less often.
const MEMORY: Duration = Duration::from_secs(30);
/// Addresses of other VMs in a report.
const INTRODUCTIONS: usize = 40;
/// Time for which a summary of a data centre counts: several that were lost.
const SUMMARY_LIFE: Duration = Duration::from_millis(1_200);
/// Time without a word from any peer after which a VM watches the store for itself: a fleet of two
/// reports less often, a cut must be noticed well within the bounds for configurations.
const ISOLATION: Duration = Duration::from_millis(800);
/// Item by which the VMs that watch the store are chosen.
const WATCH_ITEM: u64 = 1;

/// What summaries have told of a data centre.
#[derive(Debug, Default)]
struct Heard {
    work: HashMap<u64, (TargetLoad, Instant)>,
    at: Instant,
}

#[derive(Debug)]
struct Peer {
    report: Report,
    heard: Instant,
}

/// What is known of the other VMs.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<Ipv4Addr, Peer>,
    /// Addresses that reports named, with the time of the newest mention.
    mentioned: HashMap<Ipv4Addr, Instant>,
    /// What summaries have told of each other data centre.
    summaries: HashMap<u64, Heard>,
    /// When any peer was last heard.
    heard: Instant,
}

/// The part that a VM has in watching the store for all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchRole {
    /// It reads each change at once.
    Primary,
    /// It makes good what the first one misses.
    Standby,
}

/// A peer that has a newer configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// The peer.
    pub peer: Ipv4Addr,
    /// Version that it has.
    pub version: u64,
    /// Size of that version in bytes.
    pub bytes: u64,
}

/// What a report changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// The sender was not known or had been silent.
    pub is_new: bool,
    /// Targets that leave.
    pub leaving: Vec<key::Target>,
}

impl Peers {
    /// Takes a report; `None` if it is older than one before.
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
        let before = self.known.get(&address);
        if before.is_some_and(|before| {
            before.report.incarnation == report.incarnation
                && before.report.sequence >= report.sequence
        }) {
            return None;
        }
        let is_new = before.is_none_or(|before| {
            before.report.incarnation != report.incarnation
                || now.since(before.heard) > PEER_TIMEOUT
        });
        for &introduced in &report.introductions {
            let introduced = Ipv4Addr::from(introduced);
            if introduced != own {
                self.mentioned.insert(introduced, now);
            }
        }
        let leaving = report.leaving.iter().map(|&raw| key::Target::from_raw(raw));
        let leaving = leaving.collect();
        self.known.insert(address, Peer { report, heard: now });
        self.heard = now;
        Some(Update { is_new, leaving })
    }

    /// Drops what is long gone.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, peer| now.since(peer.heard) < MEMORY);
        self.mentioned.retain(|_, heard| now.since(*heard) < MEMORY);
    }

    /// Returns the peers that were heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, &Report)> {
        self.known
            .iter()
            .filter(move |(_, peer)| now.since(peer.heard) <= PEER_TIMEOUT)
            .map(|(address, peer)| (*address, &peer.report))
    }

    /// Returns the live peers of a data centre.
    pub fn live_in(&self, data_centre: u64, now: Instant) -> HashSet<Ipv4Addr> {
        let live = self.live(now);
        live.filter(|(_, report)| report.data_centre == data_centre)
            .map(|(address, _)| address)
            .collect()
    }

    /// Returns the part that a VM has in watching the store for all, at least `count` VMs together.
    ///
    /// A VM that hears no peer watches for itself. The others are chosen among those whose calls
    /// the store answers, or among all if there are none, and evenly from the data centres, so that one that is cut off has its own.
    pub fn watch_role(
        &self,
        own: Ipv4Addr,
        data_centre: u64,
        is_store_lost: bool,
        count: usize,
        now: Instant,
    ) -> Option<WatchRole> {
        let others = || self.live(now).filter(|(_, report)| !report.is_stopping);
        let has_answered = others().any(|(_, report)| !report.is_store_unreachable);
        if now.since(self.heard) > ISOLATION {
            return Some(WatchRole::Primary);
        }
        if has_answered && is_store_lost {
            return None;
        }
        let members: Vec<_> = others()
            .filter(|(_, report)| !has_answered || !report.is_store_unreachable)
            .map(|(address, report)| (report.data_centre, u64::from(u32::from(address))))
            .collect();
        let own = u64::from(u32::from(own));
        let data_centres: HashSet<_> = members
            .iter()
            .map(|(data_centre, _)| *data_centre)
            .chain([data_centre])
            .collect();
        let each = count.div_ceil(data_centres.len());
        let near = members.iter().filter(|(of, _)| *of == data_centre);
        if rendezvous::rank(WATCH_ITEM, own, near.map(|(_, id)| *id)) >= each {
            return None;
        }
        let rank = rendezvous::rank(WATCH_ITEM, own, members.iter().map(|(_, id)| *id));
        Some(if rank == 0 {
            WatchRole::Primary
        } else {
            WatchRole::Standby
        })
    }

    /// Returns the highest revision of a change that a live peer has in its list of targets.
    pub fn newest_targets_revision(&self, now: Instant) -> u64 {
        self.live(now)
            .map(|(_, report)| report.targets_revision)
            .max()
            .unwrap_or_default()
    }

    /// Returns every address that a report goes to.
    pub fn report_recipients(&self, now: Instant) -> HashSet<Ipv4Addr> {
        let live = self.live(now).map(|(address, _)| address);
        let mentioned = self.mentioned.iter();
        let unheard = mentioned
            .filter(|(address, _)| !self.known.contains_key(*address))
            .map(|(address, _)| *address);
        live.chain(unheard).collect()
    }

    /// Returns addresses that introduce live peers; `turn` moves on from report to report.
    pub fn introductions(&self, turn: u64, now: Instant) -> Vec<u32> {
        let mut live: Vec<_> = self
            .live(now)
            .map(|(address, _)| u32::from(address))
            .collect();
        live.sort_unstable();
        let count = live.len().min(INTRODUCTIONS);
        if count == 0 {
            return live;
        }
        let start = (turn as usize).wrapping_mul(INTRODUCTIONS) % live.len();
        live.rotate_left(start);
        live.truncate(count);
        live
    }

    /// Takes a summary of another data centre.
    pub fn receive_summary(&mut self, summary: Summary, now: Instant) {
        let heard = self.summaries.entry(summary.data_centre).or_default();
        heard.at = now;
        if summary.is_full {
            heard.work.clear();
        }
        for work in summary.loads {
            heard.work.insert(work.target, (work, now));
        }
    }

    /// Returns the data centres with a fresh summary.
    pub fn summarized_data_centres(&self, now: Instant) -> HashSet<key::DataCentre> {
        let fresh = self.fresh_summaries(now);
        fresh
            .map(|(data_centre, _)| key::DataCentre::from_raw(*data_centre))
            .collect()
    }

    /// Returns the VMs of other data centres to which a VM sends the summaries of its own one; each
    /// of them has one such VM in each data centre.
    pub fn summary_recipients(
        &self,
        own: Ipv4Addr,
        data_centre: u64,
        now: Instant,
    ) -> HashSet<Ipv4Addr> {
        let near: Vec<_> = self
            .live(now)
            .filter(|(_, report)| report.data_centre == data_centre && !report.is_stopping)
            .map(|(address, _)| u64::from(u32::from(address)))
            .collect();
        let own = u64::from(u32::from(own));
        let far = self
            .live(now)
            .filter(|(_, report)| report.data_centre != data_centre);
        let heard_here = far.filter(|(address, _)| {
            let listener = u64::from(u32::from(*address));
            rendezvous::rank(listener, own, near.iter().copied()) == 0
        });
        heard_here.map(|(address, _)| address).collect()
    }

    /// Returns the work of the live peers of a data centre.
    pub fn load_in(&self, data_centre: u64, now: Instant) -> HashMap<key::Target, Load> {
        let mut total = HashMap::new();
        for peer in self.live_peers(now) {
            if peer.report.data_centre == data_centre {
                add(&mut total, &peer.report.loads, now.since(peer.heard));
            }
        }
        total
    }

    /// Returns the work of all live peers at each target, as summaries give it where they are fresh.
    pub fn load(&self, now: Instant) -> HashMap<key::Target, Load> {
        let mut total: HashMap<key::Target, Load> = HashMap::new();
        let summarized = self.summarized_data_centres(now);
        for peer in self.live_peers(now) {
            let data_centre = key::DataCentre::from_raw(peer.report.data_centre);
            if !summarized.contains(&data_centre) {
                add(&mut total, &peer.report.loads, now.since(peer.heard));
            }
        }
        for (_, heard) in self.fresh_summaries(now) {
            for (work, at) in heard.work.values() {
                add(&mut total, &[*work], now.since(*at));
            }
        }
        total
    }

    fn fresh_summaries(&self, now: Instant) -> impl Iterator<Item = (&u64, &Heard)> {
        let heard = self.summaries.iter();
        heard.filter(move |(_, heard)| now.since(heard.at) <= SUMMARY_LIFE)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.known.values();
        peers.filter(move |peer| now.since(peer.heard) <= PEER_TIMEOUT)
    }

    /// Returns how many live peers say of each target that it fails requests.
    pub fn failure_counts(&self, now: Instant) -> HashMap<key::Target, u32> {
        let mut total = HashMap::new();
        for (_, report) in self.live(now) {
            for &target in &report.failing {
                *total.entry(key::Target::from_raw(target)).or_default() += 1;
            }
        }
        total
    }

    /// Returns the requests that wait at live peers, of one data centre if one is named.
    pub fn waiters(&self, data_centre: Option<u64>, now: Instant) -> Vec<Waiter> {
        let peers = self.live_peers(now).filter(|peer| {
            data_centre.is_none_or(|data_centre| peer.report.data_centre == data_centre)
        });
        let waiters = peers.flat_map(|peer| {
            let waits = peer.report.waiting.iter();
            waits.map(|wait| wait.to_waiter(peer.heard))
        });
        waiters.filter(|waiter| waiter.deadline > now).collect()
    }

    /// Returns a live peer with a newer configuration than `version`: the newest, from the data
    /// centre if it is there, and by `draw` one of several.
    pub fn newer_configuration(
        &self,
        version: u64,
        data_centre: u64,
        draw: u64,
        now: Instant,
    ) -> Option<Offer> {
        let newest = self
            .live(now)
            .map(|(_, report)| report.configuration_version)
            .max();
        let newest = newest.filter(|newest| *newest > version)?;
        let holders = self
            .live(now)
            .filter(|(_, report)| report.configuration_version == newest && !report.is_stopping);
        let best = holders.max_by_key(|(address, report)| {
            let id = u64::from(u32::from(*address));
            (
                report.data_centre == data_centre,
                rendezvous::weight(draw, id),
            )
        });
        best.map(|(peer, report)| Offer {
            peer,
            version: newest,
            bytes: report.configuration_bytes,
        })
    }
}

fn add(total: &mut HashMap<key::Target, Load>, work: &[TargetLoad], age: Duration) {
    for work in work {
        *total.entry(key::Target::from_raw(work.target)).or_default() += work.load(age);
    }
}
