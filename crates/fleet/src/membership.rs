//! Cluster membership: failure detection, gossip and tracking of leaving targets.
//!
//! The protocol follows SWIM: each VM pings one member per period, has other members ping one
//! that doesn't answer, and declares a suspected member dead after a timeout. Updates about
//! members and targets travel with the probes.

mod compose;
mod detect;
mod receive;

use {
    crate::{
        Action, Event, Member, Observation, State, Version, budget::Budget, departure::Departures,
        probe::Prober,
    },
    base::{Instant, Machine, arena::Arena, key, rendezvous},
    bon::bon,
    compose::{Subject, Update},
    config::Snapshot,
    derive_more::Debug,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
    wire::datagram::ReplayWindow,
};

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Time between the pings of a VM, each to another member.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer after which a ping is repeated and indirect probes are requested.
pub const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a suspected member has to answer before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Members that are asked to ping one that did not answer, as in SWIM.
pub const INDIRECT_PROBES: usize = 3;
/// Least time between two events after which the process is assumed to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Members whose answers make the view fresh again after the start or a pause.
const MIN_FRESH_ANSWERS: usize = 2;
/// Time without any answer after which the view is fresh if no live peer is known.
const NO_PEERS_TIMEOUT: Duration = Duration::from_secs(6);

/// A local measurement of a target or customer that is gossiped to the peers.
#[derive(Clone, Copy, Debug)]
struct Counter<T> {
    value: T,
    /// Whether a datagram has carried this value.
    is_sent: bool,
}

/// The members of one data centre as seen by one of them.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    data_centre: Box<str>,
    indirect_probes: usize,
    suspicion_timeout: Duration,
    seeds: Vec<SocketAddr>,
    #[debug(skip)]
    rng: SmallRng,
    budget: Budget,
    /// Sequence number of the last datagram sent.
    sequence: u64,
    members: Arena<key::Vm, Member>,
    /// Newest incarnation of each sender and the sequence numbers received from it.
    replay_windows: HashMap<key::Vm, (u64, ReplayWindow)>,
    prober: Prober,
    departures: Departures,
    updates: Vec<Update>,
    /// Position of the records that are repeated next for anti-entropy.
    rotation: usize,
    /// Requests sent, requests finished and context tokens by target.
    usage: Arena<key::Target, Counter<(u64, u64, u64)>>,
    /// Requests in the last window and requests in flight by customer.
    demands: Arena<key::Customer, Counter<(u32, u32)>>,
    /// Targets for which each peer has reported usage.
    peer_targets: HashMap<key::Vm, HashSet<key::Target>>,
    /// Targets that the platform's list has named.
    listed_targets: HashSet<key::Target>,
    configured_targets: HashSet<key::Target>,
    /// Addresses of this data centre's other VMs, from the settings and the configuration.
    contacts: Vec<SocketAddr>,
    /// Addresses of the VMs of each other data centre.
    remote_vms: Vec<Vec<SocketAddr>>,
    version: Version,
    /// When the platform last answered this VM.
    own_platform_answer: Option<Instant>,
    /// The platform's newest answer to another VM of this data centre.
    peer_platform_answer: Option<(key::Vm, Instant)>,
    last_event: Instant,
    next_probe: Instant,
    next_urgent_round: Instant,
    /// Rounds in which urgent updates are still to be sent.
    urgent_rounds: u32,
    stale: Option<Stale>,
    /// Whether any peer has answered a ping of this process.
    is_joined: bool,
    /// Whether a later incarnation of this VM is known.
    is_superseded: bool,
}

/// A start or a pause since which too few peers have answered.
#[derive(Clone, Debug)]
struct Stale {
    since: Instant,
    /// Number of the last probe before it.
    last_probe: u64,
    answered: HashSet<key::Vm>,
}

impl Stale {
    fn new(since: Instant, last_probe: u64) -> Self {
        Self {
            since,
            last_probe,
            answered: HashSet::new(),
        }
    }
}

#[bon]
impl Membership {
    /// Starts the membership of one process.
    ///
    /// It sends nothing before the first [`Event::Configuration`]. Peers use the address that the
    /// configuration gives this VM, or `address` if it doesn't name the VM.
    #[builder]
    pub fn new(
        now: Instant,
        name: &str,
        data_centre: &str,
        address: SocketAddr,
        incarnation: u64,
        seed: u64,
        #[builder(default)] seeds: Vec<SocketAddr>,
        #[builder(default = INDIRECT_PROBES)] indirect_probes: usize,
        #[builder(default = SUSPICION_TIMEOUT)] suspicion_timeout: Duration,
    ) -> Self {
        let own = Member {
            key: key::Vm::of(name),
            name: name.into(),
            incarnation,
            refutation: 0,
            state: State::Live,
            address,
            since: now,
            last_heard: None,
            suspicion: None,
        };
        Self {
            own,
            data_centre: data_centre.into(),
            indirect_probes,
            suspicion_timeout,
            contacts: seeds.clone(),
            seeds,
            rng: SmallRng::seed_from_u64(seed),
            budget: Budget::new(now),
            sequence: 0,
            members: Arena::default(),
            replay_windows: HashMap::new(),
            prober: Prober::default(),
            departures: Departures::default(),
            updates: Vec::new(),
            rotation: 0,
            usage: Arena::default(),
            demands: Arena::default(),
            peer_targets: HashMap::new(),
            listed_targets: HashSet::new(),
            configured_targets: HashSet::new(),
            remote_vms: Vec::new(),
            version: Version::default(),
            own_platform_answer: None,
            peer_platform_answer: None,
            last_event: now,
            next_probe: now,
            next_urgent_round: now,
            urgent_rounds: 0,
            stale: Some(Stale::new(now, 0)),
            is_joined: false,
            is_superseded: false,
        }
    }

    /// Returns the peers of this data centre; dead ones remain for a retention time.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns this VM's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the departure records of targets.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns whether the view of the peers is fresh.
    ///
    /// It is stale from the start or a pause until peers answer, and for good once a later
    /// incarnation of this VM is known.
    pub fn is_fresh(&self) -> bool {
        self.stale.is_none() && !self.is_superseded
    }

    /// Returns the VMs of this data centre that accept work, this one included.
    pub fn available(&self) -> impl Iterator<Item = key::Vm> {
        let own = self.own.is_available().then_some(self.own.key);
        let peers = self.members.values().filter(|member| member.is_available());
        own.into_iter().chain(peers.map(|member| member.key))
    }

    /// Returns this VM's rank in its data centre, by rendezvous hashing, and the number of VMs.
    ///
    /// Only VMs that accept work are counted. The rank decides which of them watch the platform.
    pub fn rank(&self) -> (usize, usize) {
        let item = key::DataCentre::of(&self.data_centre).raw();
        let rank = rendezvous::rank(item, self.own.key.raw(), self.available().map(key::Vm::raw));
        (rank, self.available().count().max(1))
    }

    /// Returns the peer of this data centre that the platform answered last, and how long ago.
    pub fn peer_platform_answer(&self, now: Instant) -> Option<(key::Vm, Duration)> {
        self.peer_platform_answer
            .map(|(vm, at)| (vm, now.since(at)))
    }

    fn detect_pause(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap < PAUSE_THRESHOLD {
            return;
        }
        actions.push(Action::Paused(gap));
        self.prober.reset();
        self.next_probe = now;
        self.stale = Some(Stale::new(now, self.prober.last_number()));
        // Answers missed during the pause raise no suspicion.
        for (_, member) in self.members.iter_mut() {
            member.record_contact(now);
        }
    }

    fn update_freshness(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(stale) = &self.stale else { return };
        let alive = self.members.values().filter(|member| member.is_alive());
        let needed = alive.count().min(MIN_FRESH_ANSWERS);
        let answers = stale.answered.len();
        let has_timed_out = now.since(stale.since) >= NO_PEERS_TIMEOUT;
        if answers < needed || (answers == 0 && !has_timed_out) {
            return;
        }
        self.stale = None;
        actions.push(Action::Refreshed);
    }

    fn apply_configuration(&mut self, snapshot: &Snapshot) {
        let version = Version::from(snapshot);
        if version <= self.version {
            return;
        }
        self.version = version;
        self.configured_targets = snapshot.targets.keys().collect();
        let own_data_centre = key::DataCentre::of(&self.data_centre);
        let mut remote_vms: HashMap<key::DataCentre, Vec<SocketAddr>> = HashMap::new();
        self.contacts = self.seeds.clone();
        if let Some(vm) = snapshot.vms.get(self.own.key) {
            self.own.address = vm.inner;
        }
        for vm in snapshot.vms.values() {
            if vm.data_centre == own_data_centre {
                self.contacts.push(vm.inner);
            } else {
                remote_vms.entry(vm.data_centre).or_default().push(vm.inner);
            }
        }
        let address = self.own.address;
        self.contacts.retain(|contact| *contact != address);
        let mut remote_vms: Vec<_> = remote_vms.into_iter().collect();
        remote_vms.sort_by_key(|(data_centre, _)| *data_centre);
        self.remote_vms = remote_vms.into_iter().map(|(_, vms)| vms).collect();
        self.queue_urgent(None);
    }

    fn observe_target(
        &mut self,
        now: Instant,
        target: key::Target,
        observation: Observation,
        actions: &mut Vec<Action>,
    ) {
        if !self.departures.observe(now, target, observation) {
            return;
        }
        actions.push(Action::Departure {
            target,
            leaving: observation.is_leaving(),
            observation: Some(observation),
        });
        self.queue_urgent(Some(Subject::Target(target)));
    }

    /// Applies the platform's list; a target that disappears from it counts as leaving.
    ///
    /// A list that names no configured target is ignored.
    fn apply_target_list(
        &mut self,
        now: Instant,
        list: &[(Box<str>, bool)],
        actions: &mut Vec<Action>,
    ) {
        let mut named = HashSet::new();
        for (name, leaving) in list {
            let target = key::Target::of(name);
            if !self.configured_targets.contains(&target) {
                continue;
            }
            named.insert(target);
            let observation = if *leaving {
                Observation::ListedLeaving
            } else {
                Observation::ListedLive
            };
            self.observe_target(now, target, observation, actions);
        }
        if named.is_empty() {
            return;
        }
        let removed: Vec<_> = self.listed_targets.difference(&named).copied().collect();
        for target in removed {
            self.observe_target(now, target, Observation::ListedLeaving, actions);
        }
        self.listed_targets.extend(named);
    }

    fn leave(&mut self) {
        if self.own.state == State::Leaving {
            return;
        }
        self.own.state = State::Leaving;
        self.queue_urgent(None);
    }
}

impl Machine for Membership {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.detect_pause(now, actions);
        match event {
            Event::Configuration(snapshot) => self.apply_configuration(&snapshot),
            Event::Received { from, message } => self.receive(now, from, &message, actions),
            Event::TargetObserved {
                target,
                observation,
            } => self.observe_target(now, target, observation, actions),
            Event::LoadReport {
                target,
                sequence,
                leaving,
            } => {
                let observation = self.departures.classify_report(target, sequence, leaving);
                self.observe_target(now, target, observation, actions);
            }
            Event::TargetList(list) => self.apply_target_list(now, &list, actions),
            Event::Usage {
                target,
                sent,
                finished,
                tokens,
            } => {
                let value = (sent, finished, tokens);
                self.usage.insert(
                    target,
                    Counter {
                        value,
                        is_sent: false,
                    },
                );
            }
            Event::Demand {
                customer,
                requests,
                in_flight,
            } => {
                let value = (requests, in_flight);
                self.demands.insert(
                    customer,
                    Counter {
                        value,
                        is_sent: false,
                    },
                );
            }
            Event::PlatformAnswered => self.own_platform_answer = Some(now),
            Event::Leave => self.leave(),
            Event::Tick => self.tick(now, actions),
        }
        self.send_urgent(now, actions);
        self.update_freshness(now, actions);
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last_event + TICK)
    }
}
