//! The spread of configurations: who asks the platform, who asks whom, and what is in force.
//!
//! A few VMs of a data centre watch the platform; the others take a newer value from a peer that
//! announces it. While no VM of the data centre is answered, all of them try in turn, at a rate
//! that does not grow with their number.

use {
    crate::Version,
    base::{Instant, Machine, key},
    bon::bon,
    config::{Fault, Snapshot, parse},
    derive_more::{Debug, Display},
    rand::{
        Rng, SeedableRng,
        rngs::SmallRng,
        seq::{IndexedRandom, SliceRandom},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// VMs of a data centre that watch the platform while it answers them.
pub const WATCHERS: usize = 2;
/// Longest wait of a watch; a data centre that hears nothing for longer looks for another way.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Age of the platform's newest answer to a data centre beyond which all its VMs try.
pub const STALE_AFTER: Duration = Duration::from_secs(6);
/// Calls a second of a data centre while the platform answers none of its watchers.
pub const FALLBACK_RATE: f64 = 24.0;
/// Calls a second of the VMs that don't watch, to notice that the watchers are served old values.
pub const SAMPLE_RATE: f64 = 0.5;
/// Time between a failed call to the platform and the next of the same VM.
pub const BACKOFF: Duration = Duration::from_secs(1);
/// Longest time for a peer to hand over its value.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a starting VM waits for its peers once it has a configuration.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Peers that a starting VM asks, and whose answers it waits for.
pub const STARTUP_PEERS: usize = 2;

/// Most announced versions that are remembered.
const CANDIDATES: usize = 8;
/// Most refused versions that are remembered.
const REFUSED: usize = 16;
/// Slack after which a watch is taken to be lost.
const WATCH_SLACK: Duration = Duration::from_secs(3);

/// Where a value came from.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// The platform.
    #[display("platform")]
    Platform,
    /// A peer.
    #[display("peer {_0}")]
    Peer(SocketAddr),
}

/// What the platform answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A published value.
    Value {
        /// Its version as the platform gives it.
        version: u64,
        /// The value.
        #[debug("{} bytes", text.len())]
        text: Box<str>,
    },
    /// Nothing newer came in time.
    Unchanged,
    /// The call failed.
    Failed,
}

/// What the world tells the spread.
#[derive(Clone, Debug)]
pub enum Event {
    /// The answer to [`Action::Watch`].
    PlatformAnswer(Answer),
    /// The platform answered another VM of this data centre.
    PlatformAnsweredPeer {
        /// The VM.
        vm: key::Vm,
        /// How long ago.
        age: Duration,
    },
    /// A peer announced its configuration.
    VersionAnnounced {
        /// Address of the peer's inner protocol.
        peer: SocketAddr,
        /// What it has in force.
        version: Version,
    },
    /// The answer to [`Action::Pull`].
    Pulled {
        /// The peer.
        peer: SocketAddr,
        /// The version that the peer has in force; 0 if none.
        version: u64,
        /// Its value, if that is newer.
        #[debug(skip)]
        value: Option<Box<str>>,
    },
    /// A peer did not answer.
    PullFailed(SocketAddr),
    /// The place of this VM among the VMs of its data centre.
    Rank {
        /// VMs that come before it.
        rank: usize,
        /// All VMs.
        count: usize,
    },
    /// Time has passed.
    Tick,
}

/// What the spread asks for or has decided.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask the platform for a version above one, and wait for it.
    Watch {
        /// The version.
        after: u64,
        /// How long the platform may wait.
        wait: Duration,
    },
    /// Ask a peer for its value.
    Pull {
        /// Address of its inner protocol.
        peer: SocketAddr,
        /// The version to be passed.
        above: u64,
    },
    /// Bring a configuration into force.
    Apply {
        /// The configuration.
        snapshot: Arc<Snapshot>,
        /// Where it came from.
        source: Source,
    },
    /// A value was refused as a whole.
    Reject {
        /// Its version as announced.
        version: u64,
        /// Where it came from.
        source: Source,
        /// Why.
        faults: Vec<Fault>,
    },
    /// Two values were published with one version; the one with the higher digest is kept.
    Conflict {
        /// What is in force now.
        kept: Version,
        /// What gave way.
        dropped: Version,
    },
    /// The platform answered with nothing older than what is in force.
    PlatformAnswered,
    /// The configuration is known and the peers were asked: this VM may serve.
    Ready,
}

#[derive(Clone, Copy, Debug)]
struct Pull {
    peer: SocketAddr,
    sent: Instant,
}

/// How a starting VM asks its peers.
#[derive(Clone, Debug)]
struct Start {
    since: Instant,
    asked: Instant,
    answered: Vec<SocketAddr>,
}

/// The configuration in force and the search for a newer one.
#[derive(Debug)]
pub struct Spread {
    own: key::Vm,
    /// Peers that a starting VM asks.
    seeds: Vec<SocketAddr>,
    #[debug(skip)]
    rng: SmallRng,
    in_force: Option<Arc<Snapshot>>,
    version: Version,
    /// The highest version that the platform gave and that was refused here.
    refused_published: u64,
    /// What peers announced and was refused here.
    refused: Vec<Version>,
    candidates: Vec<(Version, SocketAddr)>,
    pulls: Vec<Pull>,
    watch: Option<(Instant, Duration)>,
    next_watch: Instant,
    next_sample: Instant,
    /// When this VM's turn in the search for the platform comes; `None` while a VM is answered.
    turn: Option<Instant>,
    rank: usize,
    count: usize,
    own_platform_answer: Option<Instant>,
    peer_platform_answer: Option<Instant>,
    start: Option<Start>,
    last: Instant,
}

#[bon]
impl Spread {
    /// Starts without a configuration.
    #[builder]
    pub fn new(
        now: Instant,
        name: &str,
        address: SocketAddr,
        seed: u64,
        #[builder(default)] mut seeds: Vec<SocketAddr>,
    ) -> Self {
        seeds.retain(|peer| *peer != address);
        Self {
            own: key::Vm::of(name),
            seeds,
            rng: SmallRng::seed_from_u64(seed),
            in_force: None,
            version: Version::default(),
            refused_published: 0,
            refused: Vec::new(),
            candidates: Vec::new(),
            pulls: Vec::new(),
            watch: None,
            next_watch: now,
            next_sample: now,
            turn: None,
            rank: 0,
            count: 1,
            own_platform_answer: None,
            peer_platform_answer: None,
            start: Some(Start {
                since: now,
                asked: now,
                answered: Vec::new(),
            }),
            last: now,
        }
    }

    /// Returns the configuration in force.
    pub fn active(&self) -> Option<&Arc<Snapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns whether this VM may serve.
    pub fn is_ready(&self) -> bool {
        self.start.is_none()
    }

    /// Returns whether this VM is one of the few of its data centre that ask the platform.
    pub fn is_watcher(&self, now: Instant) -> bool {
        self.rank < WATCHERS || self.is_sole(now)
    }

    /// Returns whether the platform answers this VM and no other one is known to be answered.
    fn is_sole(&self, now: Instant) -> bool {
        is_fresh(now, self.own_platform_answer) && !is_fresh(now, self.peer_platform_answer)
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.pulls
            .retain(|pull| now.since(pull.sent) < PULL_TIMEOUT);
        self.ask_first_peers(now, actions);
        self.pull_candidate(now, actions);
        self.ask_platform(now, actions);
        self.become_ready(now, actions);
    }

    fn ask_first_peers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(start) = &mut self.start else { return };
        if now < start.asked || start.answered.len() >= STARTUP_PEERS {
            return;
        }
        start.asked = now + BACKOFF;
        let mut peers = self.seeds.clone();
        peers.retain(|peer| !start.answered.contains(peer));
        peers.shuffle(&mut self.rng);
        for peer in peers.into_iter().take(STARTUP_PEERS + 1) {
            self.pull(now, peer, self.version.number, actions);
        }
    }

    fn become_ready(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(start) = &self.start else { return };
        if self.in_force.is_none() {
            return;
        }
        let needed = self.seeds.len().min(STARTUP_PEERS);
        let asked = start.answered.len() >= needed && self.candidates.is_empty();
        if !asked && now.since(start.since) < STARTUP_TIMEOUT {
            return;
        }
        self.start = None;
        actions.push(Action::Ready);
    }

    fn pull(&mut self, now: Instant, peer: SocketAddr, above: u64, actions: &mut Vec<Action>) {
        if self.pulls.iter().any(|pull| pull.peer == peer) {
            return;
        }
        self.pulls.push(Pull { peer, sent: now });
        actions.push(Action::Pull { peer, above });
    }

    /// Takes the highest announced version from one of the peers that announced it.
    fn pull_candidate(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (version, refused) = (self.version, &self.refused);
        self.candidates
            .retain(|(known, _)| *known > version && !refused.contains(known));
        let Some(highest) = self.candidates.iter().map(|(known, _)| *known).max() else {
            return;
        };
        let peers: Vec<_> = self
            .candidates
            .iter()
            .filter(|(known, _)| *known == highest)
            .map(|(_, peer)| *peer)
            .collect();
        if self.pulls.iter().any(|pull| peers.contains(&pull.peer)) {
            return;
        }
        if let Some(&peer) = peers.choose(&mut self.rng) {
            let above = version.number.min(highest.number.saturating_sub(1));
            self.pull(now, peer, above, actions);
        }
    }

    fn hear(&mut self, peer: SocketAddr, version: Version) {
        if version <= self.version || self.refused.contains(&version) {
            return;
        }
        self.candidates.retain(|(_, known)| *known != peer);
        if self.candidates.len() == CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push((version, peer));
    }

    fn ask_platform(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some((sent, wait)) = self.watch {
            if now.since(sent) < wait + WATCH_SLACK {
                return;
            }
            self.watch = None;
        }
        if now < self.next_watch {
            return;
        }
        let Some(wait) = self.next_wait(now) else {
            return;
        };
        self.watch = Some((now, wait));
        let after = self.version.number.max(self.refused_published);
        actions.push(Action::Watch { after, wait });
    }

    /// Returns how long the platform may wait if this VM is to ask now.
    fn next_wait(&mut self, now: Instant) -> Option<Duration> {
        if self.in_force.is_none() {
            return Some(Duration::ZERO);
        }
        if self.is_watcher(now) {
            return Some(WATCH_TIMEOUT);
        }
        let asks = if is_fresh(now, self.peer_platform_answer) {
            self.turn = None;
            self.is_sampled(now)
        } else {
            self.takes_turn(now)
        };
        asks.then_some(Duration::ZERO)
    }

    /// Returns whether this VM asks though others are answered.
    fn is_sampled(&mut self, now: Instant) -> bool {
        if now < self.next_sample {
            return false;
        }
        // The turns of VMs that started together do not coincide.
        let period = Duration::from_secs_f64(self.count.max(1) as f64 / SAMPLE_RATE);
        self.next_sample = now + period.mul_f64(self.rng.random_range(0.5..1.5));
        true
    }

    /// Returns whether it is this VM's turn to look whether the platform answers it.
    fn takes_turn(&mut self, now: Instant) -> bool {
        let time = |vms: usize| Duration::from_secs_f64(vms as f64 / FALLBACK_RATE);
        let turn = self.turn.unwrap_or(now + time(self.rank));
        if now < turn {
            self.turn = Some(turn);
            return false;
        }
        self.turn = Some(now + time(self.count).max(BACKOFF));
        true
    }

    fn take_answer(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        let wait = self.watch.take().map(|(_, wait)| wait);
        self.next_watch = now;
        if wait == Some(Duration::ZERO) || matches!(answer, Answer::Failed) {
            self.next_watch = now + BACKOFF;
        }
        match answer {
            Answer::Failed => return,
            Answer::Unchanged => {}
            Answer::Value { version, text } => {
                if version < self.version.number {
                    self.next_watch = now + BACKOFF;
                    return;
                }
                self.offer(version, &text, Source::Platform, actions);
            }
        }
        self.own_platform_answer = Some(now);
        actions.push(Action::PlatformAnswered);
    }

    /// Applies a value as a whole, or refuses it as a whole.
    fn offer(&mut self, version: u64, text: &str, source: Source, actions: &mut Vec<Action>) {
        let snapshot = match parse::snapshot("configuration", text) {
            Ok(snapshot) if snapshot.version == version => snapshot,
            Ok(snapshot) => {
                let fault = mismatch(version, snapshot.version);
                self.refuse(version, source, vec![fault], actions);
                return;
            }
            Err(faults) => {
                self.refuse(version, source, faults, actions);
                return;
            }
        };
        let offered = Version::from(&snapshot);
        let known = self.version;
        if offered.conflicts_with(known) {
            actions.push(Action::Conflict {
                kept: offered.max(known),
                dropped: offered.min(known),
            });
        }
        if offered <= known {
            return;
        }
        let snapshot = Arc::new(snapshot);
        self.version = offered;
        self.in_force = Some(Arc::clone(&snapshot));
        if self.start.is_some() {
            let vms = snapshot.vms.iter().filter(|(vm, _)| *vm != self.own);
            self.seeds.extend(vms.map(|(_, vm)| vm.inner));
            self.seeds.sort_unstable();
            self.seeds.dedup();
        }
        actions.push(Action::Apply { snapshot, source });
    }

    fn refuse(
        &mut self,
        version: u64,
        source: Source,
        faults: Vec<Fault>,
        actions: &mut Vec<Action>,
    ) {
        match source {
            Source::Platform => self.refused_published = self.refused_published.max(version),
            Source::Peer(peer) => self.remember_refused(peer),
        }
        actions.push(Action::Reject {
            version,
            source,
            faults,
        });
    }

    fn remember_refused(&mut self, peer: SocketAddr) {
        let mut announced = self.candidates.iter().filter(|(_, known)| *known == peer);
        let Some(&(version, _)) = announced.next() else {
            return;
        };
        if self.refused.len() == REFUSED {
            self.refused.remove(0);
        }
        self.refused.push(version);
    }

    fn take_pull(
        &mut self,
        peer: SocketAddr,
        version: u64,
        value: Option<&str>,
        actions: &mut Vec<Action>,
    ) {
        self.pulls.retain(|pull| pull.peer != peer);
        if let Some(start) = &mut self.start
            && version > 0
            && !start.answered.contains(&peer)
        {
            start.answered.push(peer);
        }
        if let Some(value) = value {
            self.offer(version, value, Source::Peer(peer), actions);
        }
        self.end_pull(peer);
    }

    fn end_pull(&mut self, peer: SocketAddr) {
        self.pulls.retain(|pull| pull.peer != peer);
        self.candidates.retain(|(_, known)| *known != peer);
    }
}

fn is_fresh(now: Instant, answer: Option<Instant>) -> bool {
    answer.is_some_and(|at| now.since(at) < STALE_AFTER)
}

fn mismatch(announced: u64, found: u64) -> Fault {
    Fault {
        file: "configuration".into(),
        line: 0,
        section: "deployment".into(),
        key: "version".into(),
        message: format!("the value has version {found} but was published as {announced}").into(),
        permitted: "the version under which the value is published".into(),
    }
}

impl Machine for Spread {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.last = now;
        match event {
            Event::PlatformAnswer(answer) => self.take_answer(now, answer, actions),
            Event::PlatformAnsweredPeer { vm, age } => {
                let at =
                    Instant::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
                if vm != self.own {
                    self.peer_platform_answer = self.peer_platform_answer.max(Some(at));
                }
            }
            Event::VersionAnnounced { peer, version } => {
                self.hear(peer, version);
                self.pull_candidate(now, actions);
            }
            Event::Pulled {
                peer,
                version,
                value,
            } => self.take_pull(peer, version, value.as_deref(), actions),
            Event::PullFailed(peer) => self.end_pull(peer),
            Event::Rank { rank, count } => (self.rank, self.count) = (rank, count),
            Event::Tick => self.tick(now, actions),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last + TICK)
    }
}
