//! Which targets this VM reaches, as opposed to which targets run.
//!
//! A failed attempt may be the fault of the target or lie on this VM's side. The evidence is whether this VM reaches other targets, and whether other VMs have
//! reached the same target since.

use {
    crate::listing::Target,
    base::{Instant, key},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::{
        collections::{HashMap, HashSet},
        net::Ipv4Addr,
        time::Duration,
    },
};

/// Number of targets that must have failed before a VM counts as isolated, if there are as many.
const MIN_FAILED_TARGETS: usize = 3;
/// Number of services, and of data centres, that these must belong to, if there are as many.
const MIN_FAILED_GROUPS: usize = 2;
/// Number of targets that an isolated VM must reach before it is no longer isolated.
const MIN_RECOVERED_TARGETS: usize = 2;
/// Time for which a single target must have failed before it counts as out of reach.
///
/// A target may be silent for a second or so; a peer's connection may wait in its queue meanwhile.
const OUT_OF_REACH_DELAY: Duration = Duration::from_millis(2_500);
/// Number of failures in that time.
const OUT_OF_REACH_FAILURES: u32 = 3;
/// Number of targets that are probed in one check of a VM that may be isolated.
const MAX_PROBES: usize = 3;
/// Number of targets that an isolated VM probes in one check.
const RECOVERY_PROBES: usize = 2;
/// Maximum number of targets in a query to peers.
const MAX_QUERIED: usize = 4;
/// Interval between two checks while the VM may be isolated.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two checks of an isolated VM.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two queries to peers while only single targets fail.
const TARGET_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its last failure after which a target is no longer checked.
const FAILURE_LIFETIME: Duration = Duration::from_secs(4);
/// Time for which a peer that has reached a target is preferred.
const WITNESS_LIFETIME: Duration = Duration::from_secs(3);

/// State of the connections to one target.
#[derive(Clone, Debug)]
struct Contact {
    service: key::Service,
    data_centre: Box<str>,
    /// When this VM last got an answer of it.
    reached: Option<Instant>,
    /// When the first of the failed attempts since then began.
    failing_since: Option<Instant>,
    failures: u32,
    last_failure: Instant,
    /// When a peer last confirmed that it reaches the target.
    seen: Option<Instant>,
}

impl Contact {
    /// Returns whether peers have reached it since this VM failed to.
    fn is_seen(&self) -> bool {
        self.failing_since
            .is_some_and(|since| self.seen.is_some_and(|seen| seen >= since))
    }

    /// Returns whether only this VM fails to reach it.
    ///
    /// Time without an attempt is no evidence.
    fn is_out_of_reach(&self) -> bool {
        let is_long = |since: Instant| self.last_failure.since(since) >= OUT_OF_REACH_DELAY;
        self.failing_since.is_some_and(is_long)
            && self.failures >= OUT_OF_REACH_FAILURES
            && self.is_seen()
    }

    /// Returns whether it may be this VM that does not reach the target.
    fn is_checked(&self, now: Instant) -> bool {
        let is_recent = now.since(self.last_failure) < FAILURE_LIFETIME;
        self.failures >= OUT_OF_REACH_FAILURES && (is_recent || self.is_out_of_reach())
    }
}

/// Connections to open and targets to query peers for, to find out what this VM reaches.
#[derive(Clone, Debug, Default)]
pub struct Check {
    /// Targets to connect to.
    pub probes: Vec<Target>,
    /// Targets to query peers for; there is no query if it is empty.
    pub queried: Vec<key::Target>,
    /// Peers must have reached these since then.
    pub since: Instant,
}

/// A change of the path from this VM to the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// This VM reaches no target; other VMs do.
    Isolated {
        /// Number of targets that failed.
        failed: usize,
        /// When the first of them did.
        since: Instant,
    },
    /// This VM reaches targets again.
    Recovered,
}

/// Returns since when this VM must have reached a target for a connection that was lost at `lost` not to
/// be its own fault.
///
/// A target that leaves breaks off its streams as planned. So the latest check counts for it too: while
/// other targets fail, the next one may begin only 150 ms later, and the stream would pause meanwhile.
pub fn evidence_start(lost: Instant, is_leaving: bool) -> Instant {
    if !is_leaving {
        return lost;
    }
    let interval = CHECK_INTERVAL.as_micros() as u64;
    Instant::from_micros(lost.as_micros().saturating_sub(interval))
}

/// Decides which targets this VM reaches by itself.
#[derive(Debug)]
pub struct Reach {
    contacts: HashMap<key::Target, Contact>,
    /// When the first of the failed attempts began since which no target was reached.
    failing_since: Option<Instant>,
    last_reached: Option<Instant>,
    isolated_since: Option<Instant>,
    /// Targets that were reached since the VM is isolated.
    recovered: HashSet<key::Target>,
    /// Peers that reach targets, with the time of the latest evidence.
    witnesses: HashMap<Ipv4Addr, Instant>,
    last_check: Option<Instant>,
    last_query: Option<Instant>,
    random: SmallRng,
}

impl Reach {
    /// Starts without any contact; `seed` determines which targets are probed.
    pub fn new(seed: u64) -> Self {
        Self {
            contacts: HashMap::new(),
            failing_since: None,
            last_reached: None,
            isolated_since: None,
            recovered: HashSet::new(),
            witnesses: HashMap::new(),
            last_check: None,
            last_query: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn contact(&mut self, target: &Target) -> &mut Contact {
        self.contacts.entry(target.key).or_insert_with(|| Contact {
            service: target.service,
            data_centre: target.data_centre.clone(),
            reached: None,
            failing_since: None,
            failures: 0,
            last_failure: Instant::default(),
            seen: None,
        })
    }

    /// Records that a target has answered this VM on a new connection.
    pub fn record_reached(&mut self, target: &Target, now: Instant) {
        let contact = self.contact(target);
        contact.reached = Some(now);
        contact.failing_since = None;
        contact.failures = 0;
        self.last_reached = Some(now);
        self.failing_since = None;
        if self.isolated_since.is_some() {
            self.recovered.insert(target.key);
        }
    }

    /// Records that an attempt to reach a target failed that began at `began`.
    ///
    /// Returns whether a check is due, as the fault may lie on this VM's side.
    pub fn record_unreached(&mut self, target: &Target, began: Instant, now: Instant) -> bool {
        let is_reached_since = |reached: Option<Instant>| reached.is_some_and(|at| at >= began);
        let is_any_reached = is_reached_since(self.last_reached);
        let contact = self.contact(target);
        if is_reached_since(contact.reached) {
            return false;
        }
        contact.failing_since.get_or_insert(began);
        contact.failures += 1;
        contact.last_failure = now;
        let is_repeated = contact.failures >= OUT_OF_REACH_FAILURES;
        self.recovered.remove(&target.key);
        if !is_any_reached {
            self.failing_since.get_or_insert(began);
        }
        !is_any_reached || is_repeated
    }

    /// Records that a peer has reached targets.
    pub fn record_seen(&mut self, peer: Ipv4Addr, targets: &[key::Target], now: Instant) {
        for target in targets {
            if let Some(contact) = self.contacts.get_mut(target) {
                contact.seen = Some(now);
            }
        }
        if !targets.is_empty() {
            self.witnesses.insert(peer, now);
        }
    }

    /// Records that a peer could not reach a target.
    pub fn record_unseen(&mut self, peer: Ipv4Addr) {
        self.witnesses.remove(&peer);
    }

    /// Returns whether there is recent evidence that a peer reaches targets.
    pub fn is_witness(&self, peer: Ipv4Addr, now: Instant) -> bool {
        let seen = self.witnesses.get(&peer);
        seen.is_some_and(|seen| now.since(*seen) < WITNESS_LIFETIME)
    }

    /// Returns whether this VM reaches no target while others do.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns whether this VM must reach a target through a peer.
    pub fn needs_tunnel(&self, target: key::Target) -> bool {
        self.is_isolated()
            || self
                .contacts
                .get(&target)
                .is_some_and(Contact::is_out_of_reach)
    }

    /// Returns whether any target has answered this VM since a time.
    pub fn has_reached_since(&self, time: Instant) -> bool {
        self.last_reached.is_some_and(|reached| reached >= time)
    }

    /// Returns whether this VM has reached a target since a time; `None` if it hasn't tried.
    pub fn reaches(&self, target: key::Target, since: Instant) -> Option<bool> {
        let contact = self.contacts.get(&target)?;
        if contact.reached.is_some_and(|reached| reached >= since) {
            return Some(true);
        }
        (contact.failing_since.is_some() && contact.last_failure >= since).then_some(false)
    }

    /// Returns whether no target was reached since one failed.
    pub fn is_suspected(&self) -> bool {
        self.failing_since.is_some() && self.isolated_since.is_none()
    }

    /// Returns what to check now, given all targets; `None` if nothing is due.
    ///
    /// Targets that are leaving, cordoned or no longer listed are forgotten.
    pub fn check(&mut self, targets: &[Target], now: Instant) -> Option<Check> {
        let is_due = |last: Option<Instant>, interval| {
            last.is_none_or(|last: Instant| now.since(last) >= interval)
        };
        let usable: Vec<_> = targets.iter().filter(|target| target.is_usable()).collect();
        self.contacts
            .retain(|key, _| usable.iter().any(|target| target.key == *key));
        if let Some(since) = self.isolated_since {
            if !is_due(self.last_check, RECOVERY_INTERVAL) {
                return None;
            }
            // Tunnels show as well which peers reach targets.
            let has_witness = self
                .witnesses
                .keys()
                .any(|peer| self.is_witness(*peer, now));
            let queries_peers = !has_witness && is_due(self.last_query, TARGET_INTERVAL);
            return Some(self.new_check(&usable, RECOVERY_PROBES, queries_peers, since, now));
        }
        if let Some(since) = self.failing_since {
            let is_recent = self
                .contacts
                .values()
                .any(|contact| now.since(contact.last_failure) < FAILURE_LIFETIME);
            if !is_recent {
                self.failing_since = None;
            } else if is_due(self.last_check, CHECK_INTERVAL) {
                return Some(self.new_check(&usable, MAX_PROBES, true, since, now));
            } else {
                return None;
            }
        }
        if !is_due(self.last_query, TARGET_INTERVAL) {
            return None;
        }
        self.check_single_targets(&usable, now)
    }

    /// Returns what to check of targets that fail while others are reached.
    fn check_single_targets(&mut self, usable: &[&Target], now: Instant) -> Option<Check> {
        let failing = |target: &&&Target| {
            let contact = self.contacts.get(&target.key);
            contact.is_some_and(|contact| contact.is_checked(now))
        };
        let mut check = Check::default();
        for target in usable.iter().filter(failing) {
            let contact = self.contacts.get(&target.key)?;
            if contact.is_seen() {
                check.probes.push((*target).clone());
            } else {
                check.queried.push(target.key);
                check.since = check.since.max(contact.failing_since.unwrap_or_default());
            }
        }
        check.probes.shuffle(&mut self.random);
        check.probes.truncate(MAX_PROBES);
        check.queried.truncate(MAX_QUERIED);
        if check.probes.is_empty() && check.queried.is_empty() {
            return None;
        }
        (self.last_check, self.last_query) = (Some(now), Some(now));
        Some(check)
    }

    fn new_check(
        &mut self,
        usable: &[&Target],
        probes: usize,
        queries_peers: bool,
        since: Instant,
        now: Instant,
    ) -> Check {
        self.last_check = Some(now);
        let probes = self.choose_probes(usable, probes);
        let candidates = usable.iter().map(|target| target.key);
        let mut queried: Vec<_> = candidates
            .filter(|target| {
                let is_probed = probes.iter().any(|probe| probe.key == *target);
                let contact = self.contacts.get(target);
                is_probed || contact.is_some_and(|contact| contact.failing_since.is_some())
            })
            .collect();
        queried.shuffle(&mut self.random);
        queried.sort_by_key(|target| self.contacts.get(target).is_some_and(Contact::is_seen));
        queried.truncate(MAX_QUERIED);
        if queries_peers {
            self.last_query = Some(now);
        } else {
            queried.clear();
        }
        Check {
            probes: probes.into_iter().cloned().collect(),
            queried,
            since,
        }
    }

    /// Chooses targets of different services and data centres, first those that haven't failed.
    fn choose_probes<'a>(&mut self, usable: &[&'a Target], count: usize) -> Vec<&'a Target> {
        let mut candidates = usable.to_vec();
        candidates.shuffle(&mut self.random);
        let mut chosen: Vec<&Target> = Vec::new();
        while chosen.len() < count && !candidates.is_empty() {
            let rank = |target: &Target| {
                let contact = self.contacts.get(&target.key);
                let has_failed = contact.is_some_and(|contact| contact.failing_since.is_some());
                let of_service = chosen
                    .iter()
                    .filter(|other| other.service == target.service);
                let of_data_centre = chosen
                    .iter()
                    .filter(|other| other.data_centre == target.data_centre);
                (has_failed, of_service.count() + of_data_centre.count())
            };
            let best = (0..candidates.len()).min_by_key(|&index| rank(candidates[index]));
            let Some(best) = best else { break };
            chosen.push(candidates.swap_remove(best));
        }
        chosen
    }

    /// Evaluates the evidence, given all targets; returns what has changed.
    pub fn evaluate(&mut self, targets: &[Target]) -> Option<Change> {
        let usable: Vec<_> = targets.iter().filter(|target| target.is_usable()).collect();
        if self.isolated_since.is_some() {
            let needed = MIN_RECOVERED_TARGETS.min(usable.len());
            if self.recovered.len() < needed {
                return None;
            }
            self.isolated_since = None;
            self.failing_since = None;
            self.recovered.clear();
            return Some(Change::Recovered);
        }
        let since = self.failing_since?;
        let failed: Vec<_> = usable
            .iter()
            .filter_map(|target| self.contacts.get(&target.key))
            .filter(|contact| contact.failing_since.is_some() && contact.last_failure >= since)
            .collect();
        let services = |contacts: &mut dyn Iterator<Item = key::Service>| {
            contacts.collect::<HashSet<_>>().len()
        };
        let known_services = services(&mut usable.iter().map(|target| target.service));
        let failed_services = services(&mut failed.iter().map(|contact| contact.service));
        let known_centres: HashSet<_> = usable.iter().map(|target| &target.data_centre).collect();
        let failed_centres: HashSet<_> =
            failed.iter().map(|contact| &contact.data_centre).collect();
        let is_seen = |contact: &&Contact| contact.seen.is_some_and(|seen| seen >= since);
        let is_isolated = failed.len() >= MIN_FAILED_TARGETS.min(usable.len())
            && failed_services >= MIN_FAILED_GROUPS.min(known_services)
            && failed_centres.len() >= MIN_FAILED_GROUPS.min(known_centres.len())
            && failed.iter().any(is_seen);
        if !is_isolated {
            return None;
        }
        self.isolated_since = Some(since);
        self.recovered.clear();
        Some(Change::Isolated {
            failed: failed.len(),
            since,
        })
    }

    /// Returns the time until the next check; `None` if none is needed.
    pub fn next_check(&mut self, now: Instant) -> Option<Duration> {
        let last = self.last_check.unwrap_or_default();
        if self.is_isolated() {
            return Some(RECOVERY_INTERVAL.saturating_sub(now.since(last)));
        }
        if self.failing_since.is_some() {
            return Some(CHECK_INTERVAL.saturating_sub(now.since(last)));
        }
        let jitter = self.random.random_range(1.0..1.2);
        self.contacts
            .values()
            .any(|contact| contact.is_checked(now))
            .then(|| {
                TARGET_INTERVAL
                    .saturating_sub(now.since(last))
                    .mul_f64(jitter)
            })
    }
}
