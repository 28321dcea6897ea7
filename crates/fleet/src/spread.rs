//! Distribution of configurations from the platform to all VMs of a data centre.
//!
//! A few VMs of a data centre watch the platform with long polls. The others pull a newer value
//! from a peer that announces it. While the platform answers no VM of the data centre, all of
//! them try it in turn, at a total rate that does not grow with their number.

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
/// How long the platform may hold a watch request before it answers that nothing changed.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Age of the platform's newest answer to a data centre beyond which all its VMs call it.
pub const STALE_AFTER: Duration = Duration::from_secs(6);
/// Calls per second of a data centre while the platform answers none of its VMs.
pub const FALLBACK_RATE: f64 = 24.0;
/// Calls per second of the VMs that don't watch, taken together.
///
/// They detect that the platform serves old values to the watchers.
pub const SAMPLE_RATE: f64 = 0.5;
/// Delay between a failed call to the platform and the next call of the same VM.
pub const BACKOFF: Duration = Duration::from_secs(1);
/// Time within which a peer must answer a pull.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time since its start after which a VM with a configuration no longer waits for its peers.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Peers whose answers a starting VM waits for.
pub const STARTUP_PEERS: usize = 2;

/// Most announced versions that are remembered as candidates for a pull.
const MAX_CANDIDATES: usize = 8;
/// Most rejected versions of peers that are remembered.
const MAX_REJECTED: usize = 16;
/// Time beyond its wait after which a watch is considered lost.
const WATCH_GRACE: Duration = Duration::from_secs(3);

/// The source of a value.
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
    /// Nothing newer was published in time.
    Unchanged,
    /// The call failed.
    Failed,
}

/// Input of the [`Spread`] state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The answer to [`Action::Watch`].
    PlatformAnswer(Answer),
    /// The platform answered a VM of this data centre, as learned by gossip.
    PlatformAnsweredPeer {
        /// The VM; ignored if it is this one.
        vm: key::Vm,
        /// Time since the answer.
        age: Duration,
    },
    /// A peer announced the version of its configuration.
    VersionAnnounced {
        /// Address of the peer's inner protocol.
        peer: SocketAddr,
        /// Its active version.
        version: Version,
    },
    /// The answer to [`Action::Pull`].
    Pulled {
        /// The peer.
        peer: SocketAddr,
        /// The peer's active version; 0 if none.
        version: u64,
        /// Its value, if that is newer.
        #[debug(skip)]
        value: Option<Box<str>>,
    },
    /// A peer did not answer a pull.
    PullFailed(SocketAddr),
    /// This VM's current position in the order of its data centre.
    Rank {
        /// VMs that come before it.
        rank: usize,
        /// All VMs, this one included.
        count: usize,
    },
    /// Sent every [`TICK`].
    Tick,
}

/// Output of the [`Spread`] state machine.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask the platform for a newer version.
    Watch {
        /// The answer must have a higher version than this.
        after: u64,
        /// How long the platform may wait for one; zero asks for an answer at once.
        wait: Duration,
    },
    /// Ask a peer for its value.
    Pull {
        /// Address of its inner protocol.
        peer: SocketAddr,
        /// The value must have a higher version than this.
        above: u64,
    },
    /// Make a configuration the active one.
    Apply {
        /// The configuration.
        snapshot: Arc<Snapshot>,
        /// Its source.
        source: Source,
    },
    /// A value is invalid and was rejected as a whole.
    Reject {
        /// Its version as announced.
        version: u64,
        /// Its source.
        source: Source,
        /// The faults found in it.
        faults: Vec<Fault>,
    },
    /// Two values were published with one version; the one with the higher digest is kept.
    Conflict {
        /// The version that is active now.
        kept: Version,
        /// The version that was dropped.
        dropped: Version,
    },
    /// The platform answered, and not with a version older than the active one.
    PlatformAnswered,
    /// This VM may serve: it has a configuration, and its peers have answered or timed out.
    Ready,
}

#[derive(Clone, Copy, Debug)]
struct Pull {
    peer: SocketAddr,
    sent_at: Instant,
}

/// State of a VM that is not ready yet.
#[derive(Clone, Debug)]
struct Startup {
    since: Instant,
    next_pull: Instant,
    /// Peers that have answered with a configuration.
    answered: Vec<SocketAddr>,
}

/// The active configuration and the search for a newer one.
#[derive(Debug)]
pub struct Spread {
    own: key::Vm,
    /// Peers that a starting VM pulls from.
    seeds: Vec<SocketAddr>,
    #[debug(skip)]
    rng: SmallRng,
    active: Option<Arc<Snapshot>>,
    version: Version,
    /// The highest version of the platform that was rejected here.
    highest_rejected: u64,
    /// Versions of peers that were rejected here.
    rejected: Vec<Version>,
    /// Newer versions that peers announced, with the peer.
    candidates: Vec<(Version, SocketAddr)>,
    /// Pulls in flight.
    pulls: Vec<Pull>,
    /// The watch in flight: when it was sent and how long the platform may wait.
    watch: Option<(Instant, Duration)>,
    next_watch: Instant,
    next_sample: Instant,
    /// Next call of this VM while the platform answers no VM; `None` while it answers a peer.
    next_fallback: Option<Instant>,
    /// VMs of the data centre that come before this one.
    rank: usize,
    /// VMs of the data centre, this one included.
    count: usize,
    own_platform_answer: Option<Instant>,
    peer_platform_answer: Option<Instant>,
    /// `None` once this VM is ready.
    startup: Option<Startup>,
    last_event: Instant,
}

#[bon]
impl Spread {
    /// Starts without a configuration; `seeds` are the peers known from the settings.
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
            active: None,
            version: Version::default(),
            highest_rejected: 0,
            rejected: Vec::new(),
            candidates: Vec::new(),
            pulls: Vec::new(),
            watch: None,
            next_watch: now,
            next_sample: now,
            next_fallback: None,
            rank: 0,
            count: 1,
            own_platform_answer: None,
            peer_platform_answer: None,
            startup: Some(Startup {
                since: now,
                next_pull: now,
                answered: Vec::new(),
            }),
            last_event: now,
        }
    }

    /// Returns the active configuration.
    pub fn active(&self) -> Option<&Arc<Snapshot>> {
        self.active.as_ref()
    }

    /// Returns the active version; number 0 if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns whether this VM may serve.
    pub fn is_ready(&self) -> bool {
        self.startup.is_none()
    }

    /// Returns whether this VM watches the platform for its data centre.
    pub fn is_watcher(&self, now: Instant) -> bool {
        self.rank < WATCHERS || self.is_only_one_answered(now)
    }

    /// Returns whether the platform answers this VM and is not known to answer a peer.
    fn is_only_one_answered(&self, now: Instant) -> bool {
        is_fresh(now, self.own_platform_answer) && !is_fresh(now, self.peer_platform_answer)
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.pulls
            .retain(|pull| now.since(pull.sent_at) < PULL_TIMEOUT);
        self.pull_from_startup_peers(now, actions);
        self.pull_candidate(now, actions);
        self.start_watch(now, actions);
        self.finish_startup(now, actions);
    }

    fn pull_from_startup_peers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(startup) = &mut self.startup else {
            return;
        };
        if now < startup.next_pull || startup.answered.len() >= STARTUP_PEERS {
            return;
        }
        startup.next_pull = now + BACKOFF;
        let mut peers = self.seeds.clone();
        peers.retain(|peer| !startup.answered.contains(peer));
        peers.shuffle(&mut self.rng);
        for peer in peers.into_iter().take(STARTUP_PEERS + 1) {
            self.pull(now, peer, self.version.number, actions);
        }
    }

    fn finish_startup(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(startup) = &self.startup else { return };
        if self.active.is_none() {
            return;
        }
        let needed = self.seeds.len().min(STARTUP_PEERS);
        let has_peer_answers = startup.answered.len() >= needed && self.candidates.is_empty();
        if !has_peer_answers && now.since(startup.since) < STARTUP_TIMEOUT {
            return;
        }
        self.startup = None;
        actions.push(Action::Ready);
    }

    fn pull(&mut self, now: Instant, peer: SocketAddr, above: u64, actions: &mut Vec<Action>) {
        if self.pulls.iter().any(|pull| pull.peer == peer) {
            return;
        }
        self.pulls.push(Pull { peer, sent_at: now });
        actions.push(Action::Pull { peer, above });
    }

    /// Pulls the highest announced version from one of the peers that announced it.
    fn pull_candidate(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (version, rejected) = (self.version, &self.rejected);
        self.candidates
            .retain(|(known, _)| *known > version && !rejected.contains(known));
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

    fn add_candidate(&mut self, peer: SocketAddr, version: Version) {
        if version <= self.version || self.rejected.contains(&version) {
            return;
        }
        self.candidates.retain(|(_, known)| *known != peer);
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push((version, peer));
    }

    fn start_watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some((sent_at, wait)) = self.watch {
            if now.since(sent_at) < wait + WATCH_GRACE {
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
        let after = self.version.number.max(self.highest_rejected);
        actions.push(Action::Watch { after, wait });
    }

    /// Returns the wait of a call to the platform; `None` if no call is due.
    fn next_wait(&mut self, now: Instant) -> Option<Duration> {
        if self.active.is_none() {
            return Some(Duration::ZERO);
        }
        if self.is_watcher(now) {
            return Some(WATCH_TIMEOUT);
        }
        let is_due = if is_fresh(now, self.peer_platform_answer) {
            self.next_fallback = None;
            self.is_sample_due(now)
        } else {
            self.is_fallback_due(now)
        };
        is_due.then_some(Duration::ZERO)
    }

    /// Returns whether a call is due while the platform answers other VMs.
    fn is_sample_due(&mut self, now: Instant) -> bool {
        if now < self.next_sample {
            return false;
        }
        // The jitter keeps VMs that started together from calling at the same time.
        let period = Duration::from_secs_f64(self.count.max(1) as f64 / SAMPLE_RATE);
        self.next_sample = now + period.mul_f64(self.rng.random_range(0.5..1.5));
        true
    }

    /// Returns whether it is this VM's turn to call while the platform answers none.
    fn is_fallback_due(&mut self, now: Instant) -> bool {
        let spacing = |vms: usize| Duration::from_secs_f64(vms as f64 / FALLBACK_RATE);
        let due = self.next_fallback.unwrap_or(now + spacing(self.rank));
        if now < due {
            self.next_fallback = Some(due);
            return false;
        }
        self.next_fallback = Some(now + spacing(self.count).max(BACKOFF));
        true
    }

    fn handle_platform_answer(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
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
                self.apply_value(version, &text, Source::Platform, actions);
            }
        }
        self.own_platform_answer = Some(now);
        actions.push(Action::PlatformAnswered);
    }

    /// Applies a value as a whole, or rejects it as a whole.
    fn apply_value(&mut self, version: u64, text: &str, source: Source, actions: &mut Vec<Action>) {
        let snapshot = match parse::snapshot("configuration", text) {
            Ok(snapshot) if snapshot.version == version => snapshot,
            Ok(snapshot) => {
                let fault = version_mismatch(version, snapshot.version);
                self.reject(version, source, vec![fault], actions);
                return;
            }
            Err(faults) => {
                self.reject(version, source, faults, actions);
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
        self.active = Some(Arc::clone(&snapshot));
        if self.startup.is_some() {
            let vms = snapshot.vms.iter().filter(|(vm, _)| *vm != self.own);
            self.seeds.extend(vms.map(|(_, vm)| vm.inner));
            self.seeds.sort_unstable();
            self.seeds.dedup();
        }
        actions.push(Action::Apply { snapshot, source });
    }

    fn reject(
        &mut self,
        version: u64,
        source: Source,
        faults: Vec<Fault>,
        actions: &mut Vec<Action>,
    ) {
        match source {
            Source::Platform => self.highest_rejected = self.highest_rejected.max(version),
            Source::Peer(peer) => self.remember_rejected(peer),
        }
        actions.push(Action::Reject {
            version,
            source,
            faults,
        });
    }

    fn remember_rejected(&mut self, peer: SocketAddr) {
        let mut announced = self.candidates.iter().filter(|(_, known)| *known == peer);
        let Some(&(version, _)) = announced.next() else {
            return;
        };
        if self.rejected.len() == MAX_REJECTED {
            self.rejected.remove(0);
        }
        self.rejected.push(version);
    }

    fn handle_pulled(
        &mut self,
        peer: SocketAddr,
        version: u64,
        value: Option<&str>,
        actions: &mut Vec<Action>,
    ) {
        self.pulls.retain(|pull| pull.peer != peer);
        if let Some(startup) = &mut self.startup
            && version > 0
            && !startup.answered.contains(&peer)
        {
            startup.answered.push(peer);
        }
        if let Some(value) = value {
            self.apply_value(version, value, Source::Peer(peer), actions);
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

fn version_mismatch(announced: u64, found: u64) -> Fault {
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
        self.last_event = now;
        match event {
            Event::PlatformAnswer(answer) => self.handle_platform_answer(now, answer, actions),
            Event::PlatformAnsweredPeer { vm, age } => {
                let at =
                    Instant::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
                if vm != self.own {
                    self.peer_platform_answer = self.peer_platform_answer.max(Some(at));
                }
            }
            Event::VersionAnnounced { peer, version } => {
                self.add_candidate(peer, version);
                self.pull_candidate(now, actions);
            }
            Event::Pulled {
                peer,
                version,
                value,
            } => self.handle_pulled(peer, version, value.as_deref(), actions),
            Event::PullFailed(peer) => self.end_pull(peer),
            Event::Rank { rank, count } => (self.rank, self.count) = (rank, count),
            Event::Tick => self.tick(now, actions),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last_event + TICK)
    }
}
