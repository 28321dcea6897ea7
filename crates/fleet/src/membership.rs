//! The membership: failure detector, gossip and the judgement of leaving targets.

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
    compose::{Rumor, Subject},
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
/// Time between two pings.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time to answer a ping before others are asked to ping too.
pub const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a suspect member is asked again before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Members that are asked to ping one that did not answer.
pub const INDIRECT_PROBES: usize = 3;
/// A time between two events that means that the process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Members that must answer after the start or a pause.
const REFRESH_ANSWERS: usize = 2;
/// Time without any answer after which this VM takes itself to be alone.
const ALONE: Duration = Duration::from_secs(6);

/// What was sent to a target or asked by a customer, with whether the peers have been told.
#[derive(Clone, Copy, Debug)]
struct Own<T> {
    value: T,
    told: bool,
}

/// The members of one data centre as one of them sees them.
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
    sequence: u64,
    members: Arena<key::Vm, Member>,
    windows: HashMap<key::Vm, (u64, ReplayWindow)>,
    prober: Prober,
    departures: Departures,
    rumors: Vec<Rumor>,
    rotation: usize,
    uses: Arena<key::Target, Own<(u64, u64, u64)>>,
    demands: Arena<key::Customer, Own<(u32, u32)>>,
    peer_uses: HashMap<key::Vm, HashSet<key::Target>>,
    listed: HashSet<key::Target>,
    targets: HashSet<key::Target>,
    contacts: Vec<SocketAddr>,
    remotes: Vec<Vec<SocketAddr>>,
    version: Version,
    /// When the platform last answered this VM.
    own_platform_answer: Option<Instant>,
    /// The platform's newest answer to another VM of this data centre.
    peer_platform_answer: Option<(key::Vm, Instant)>,
    last: Instant,
    next_period: Instant,
    next_push: Instant,
    pushes: u32,
    stale: Option<Stale>,
    /// Whether any peer has answered this process.
    joined: bool,
    /// Whether a later incarnation of this VM is known.
    superseded: bool,
}

/// A start or a pause after which too few peers have answered.
#[derive(Clone, Debug)]
struct Stale {
    since: Instant,
    /// The last ping before it.
    last_ping: u64,
    answered: HashSet<key::Vm>,
}

impl Stale {
    fn new(since: Instant, last_ping: u64) -> Self {
        Self {
            since,
            last_ping,
            answered: HashSet::new(),
        }
    }
}

#[bon]
impl Membership {
    /// Starts the membership of one process.
    ///
    /// It says nothing before it is told a configuration, which gives the address that peers use;
    /// `address` is what they use if the configuration does not name this VM.
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
            silent: None,
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
            windows: HashMap::new(),
            prober: Prober::default(),
            departures: Departures::default(),
            rumors: Vec::new(),
            rotation: 0,
            uses: Arena::default(),
            demands: Arena::default(),
            peer_uses: HashMap::new(),
            listed: HashSet::new(),
            targets: HashSet::new(),
            remotes: Vec::new(),
            version: Version::default(),
            own_platform_answer: None,
            peer_platform_answer: None,
            last: now,
            next_period: now,
            next_push: now,
            pushes: 0,
            stale: Some(Stale::new(now, 0)),
            joined: false,
            superseded: false,
        }
    }

    /// Returns the peers of this data centre, failed ones included for a while.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns this VM as its peers see it.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns what is known of leaving targets.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns whether peers have answered since the start or the last pause.
    pub fn is_fresh(&self) -> bool {
        self.stale.is_none() && !self.superseded
    }

    /// Returns the VMs of this data centre that take work, this one included.
    pub fn available(&self) -> impl Iterator<Item = key::Vm> {
        let own = self.own.is_available().then_some(self.own.key);
        let peers = self.members.values().filter(|member| member.is_available());
        own.into_iter().chain(peers.map(|member| member.key))
    }

    /// Returns how many VMs of this data centre come before this one as readers of the platform,
    /// and how many VMs there are.
    pub fn rank(&self) -> (usize, usize) {
        let item = key::DataCentre::of(&self.data_centre).raw();
        let rank = rendezvous::rank(item, self.own.key.raw(), self.available().map(key::Vm::raw));
        (rank, self.available().count().max(1))
    }

    /// Returns which other VM of this data centre the platform answered last, and how long ago.
    pub fn peer_platform_answer(&self, now: Instant) -> Option<(key::Vm, Duration)> {
        self.peer_platform_answer
            .map(|(vm, at)| (vm, now.since(at)))
    }

    fn detect_pause(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        if gap < PAUSE_THRESHOLD {
            return;
        }
        actions.push(Action::Paused(gap));
        self.prober.reset();
        self.next_period = now;
        self.stale = Some(Stale::new(now, self.prober.last()));
        for (_, member) in self.members.iter_mut() {
            member.hear(now);
        }
    }

    fn refresh(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(stale) = &self.stale else { return };
        let present = self.members.values().filter(|member| member.is_alive());
        let needed = present.count().min(REFRESH_ANSWERS);
        let answers = stale.answered.len();
        let alone = now.since(stale.since) >= ALONE;
        if answers < needed || (answers == 0 && !alone) {
            return;
        }
        self.stale = None;
        actions.push(Action::Refreshed);
    }

    fn configure(&mut self, snapshot: &Snapshot) {
        let version = Version::from(snapshot);
        if version <= self.version {
            return;
        }
        self.version = version;
        self.targets = snapshot.targets.keys().collect();
        let own = key::DataCentre::of(&self.data_centre);
        let mut remotes: HashMap<key::DataCentre, Vec<SocketAddr>> = HashMap::new();
        self.contacts = self.seeds.clone();
        if let Some(vm) = snapshot.vms.get(self.own.key) {
            self.own.address = vm.inner;
        }
        for vm in snapshot.vms.values() {
            if vm.data_centre == own {
                self.contacts.push(vm.inner);
            } else {
                remotes.entry(vm.data_centre).or_default().push(vm.inner);
            }
        }
        let address = self.own.address;
        self.contacts.retain(|contact| *contact != address);
        let mut remotes: Vec<_> = remotes.into_iter().collect();
        remotes.sort_by_key(|(data_centre, _)| *data_centre);
        self.remotes = remotes.into_iter().map(|(_, vms)| vms).collect();
        self.urge(None);
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
        self.urge(Some(Subject::Target(target)));
    }

    /// Takes the platform's list: a target that it names no longer is treated as leaving.
    fn read_list(&mut self, now: Instant, list: &[(Box<str>, bool)], actions: &mut Vec<Action>) {
        let mut named = HashSet::new();
        for (name, leaving) in list {
            let target = key::Target::of(name);
            if !self.targets.contains(&target) {
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
        let gone: Vec<_> = self.listed.difference(&named).copied().collect();
        for target in gone {
            self.observe_target(now, target, Observation::ListedLeaving, actions);
        }
        self.listed.extend(named);
    }

    fn leave(&mut self) {
        if self.own.state == State::Leaving {
            return;
        }
        self.own.state = State::Leaving;
        self.urge(None);
    }
}

impl Machine for Membership {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.detect_pause(now, actions);
        match event {
            Event::Configuration(snapshot) => self.configure(&snapshot),
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
                let observation = self.departures.read_report(target, sequence, leaving);
                self.observe_target(now, target, observation, actions);
            }
            Event::TargetList(list) => self.read_list(now, &list, actions),
            Event::Usage {
                target,
                sent,
                finished,
                tokens,
            } => {
                let value = (sent, finished, tokens);
                self.uses.insert(target, Own { value, told: false });
            }
            Event::Demand {
                customer,
                requests,
                in_flight,
            } => {
                let value = (requests, in_flight);
                self.demands.insert(customer, Own { value, told: false });
            }
            Event::PlatformAnswered => self.own_platform_answer = Some(now),
            Event::Leave => self.leave(),
            Event::Tick => self.tick(now, actions),
        }
        self.push(now, actions);
        self.refresh(now, actions);
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last + TICK)
    }
}
