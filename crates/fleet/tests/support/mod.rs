//! Entry VMs in memory, connected by a simulated network with seeded loss and delay.

#![expect(dead_code, reason = "each test binary uses a part of this module")]

use {
    base::{Instant, Machine, key},
    config::{Snapshot, parse},
    mastictrail_fleet::{
        Action, Event, Membership, State,
        membership::{INDIRECT_PROBES, SUSPICION_TIMEOUT},
    },
    prost::Message,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashSet},
        fmt::Write,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    wire::{frame::MAC_LENGTH, msg::Gossip},
};

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two ticks of a node.
const TICK_STEPS: u64 = 10;

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub machine: Membership,
    /// Whether the process runs.
    pub is_up: bool,
    /// Whether the process is paused.
    pub is_frozen: bool,
    /// Bytes sent, with headers.
    pub sent: u64,
    /// Bytes received, with headers.
    pub received: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// All actions except sent datagrams, with their times.
    pub log: Vec<(Instant, Action)>,
}

pub struct Network {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Pairs of sender and receiver whose datagrams are all lost.
    pub blocked_links: HashSet<(usize, usize)>,
    /// A node with its own loss rate in both directions.
    pub lossy: Option<(usize, f64)>,
    /// Number of indirect probes and suspicion timeout of the nodes added next.
    pub detection: (usize, Duration),
    /// Bytes of the longest datagram, without headers.
    pub longest_datagram: usize,
    rng: SmallRng,
    steps: u64,
    last_id: u64,
    seed: u64,
    /// Receiver, sender and message by time of arrival.
    in_flight: BTreeMap<(Instant, u64), (usize, SocketAddr, Box<Gossip>)>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}

/// Returns the text of a deployment whose VMs and targets are spread over data centres.
pub fn deployment(version: u64, data_centres: usize, vms: usize, targets: usize) -> String {
    let mut text = format!("[deployment]\nname = test\nversion = {version}\n");
    for data_centre in 0..data_centres {
        write!(text, "[data_centre dc{data_centre}]\nregion = r\n").unwrap();
    }
    if targets > 0 {
        text.push_str("[service s]\nkind = plain\n");
    }
    for vm in 0..vms {
        let data_centre = vm % data_centres;
        let inner = address(vm);
        write!(
            text,
            "[vm vm{vm}]\ndata_centre = dc{data_centre}\ninner = {inner}\n"
        )
        .unwrap();
    }
    for target in 0..targets {
        let data_centre = target % data_centres;
        let port = 30_000 + target;
        write!(
            text,
            "[target t{target}]\nservice = s\ndata_centre = dc{data_centre}\naddress = 127.0.0.1:{port}\n"
        )
        .unwrap();
    }
    text
}

pub fn snapshot(version: u64, data_centres: usize, vms: usize, targets: usize) -> Arc<Snapshot> {
    let text = deployment(version, data_centres, vms, targets);
    Arc::new(parse::snapshot("test", &text).expect("a valid deployment"))
}

impl Network {
    pub fn new(seed: u64, loss: f64) -> Self {
        Self {
            now: Instant::default() + Duration::from_secs(1),
            nodes: Vec::new(),
            loss,
            blocked_links: HashSet::new(),
            lossy: None,
            detection: (INDIRECT_PROBES, SUSPICION_TIMEOUT),
            longest_datagram: 0,
            rng: SmallRng::seed_from_u64(seed),
            steps: 0,
            last_id: 0,
            seed,
            in_flight: BTreeMap::new(),
        }
    }

    /// Creates a network and starts the VMs of a deployment.
    pub fn with_deployment(seed: u64, loss: f64, data_centres: usize, vms: usize) -> Self {
        let mut net = Self::new(seed, loss);
        net.start(data_centres, vms);
        net
    }

    /// Starts the VMs of a deployment.
    pub fn start(&mut self, data_centres: usize, vms: usize) {
        let snapshot = snapshot(1, data_centres, vms, 8);
        for vm in 0..vms {
            self.add(&format!("vm{vm}"), &format!("dc{}", vm % data_centres), 1);
            self.handle(vm, Event::Configuration(Arc::clone(&snapshot)));
        }
    }

    pub fn machine(
        &self,
        index: usize,
        name: &str,
        data_centre: &str,
        incarnation: u64,
    ) -> Membership {
        Membership::builder()
            .now(self.now)
            .name(name)
            .data_centre(data_centre)
            .address(address(index))
            .incarnation(incarnation)
            .indirect_probes(self.detection.0)
            .suspicion_timeout(self.detection.1)
            .seed(self.seed.wrapping_mul(1_000_003).wrapping_add(index as u64))
            .build()
    }

    pub fn add(&mut self, name: &str, data_centre: &str, incarnation: u64) -> usize {
        let index = self.nodes.len();
        let machine = self.machine(index, name, data_centre, incarnation);
        self.nodes.push(Node {
            name: name.to_owned(),
            address: address(index),
            machine,
            is_up: true,
            is_frozen: false,
            sent: 0,
            received: 0,
            datagrams: 0,
            log: Vec::new(),
        });
        index
    }

    /// Replaces the process of a node with a new one of another incarnation.
    pub fn restart(
        &mut self,
        index: usize,
        data_centre: &str,
        incarnation: u64,
        snapshot: Arc<Snapshot>,
    ) {
        let name = self.nodes[index].name.clone();
        self.nodes[index].machine = self.machine(index, &name, data_centre, incarnation);
        self.nodes[index].is_up = true;
        self.nodes[index].is_frozen = false;
        self.handle(index, Event::Configuration(snapshot));
    }

    /// Lets a node handle an event; sends its datagrams and logs its other actions.
    pub fn handle(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        node.machine.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Send { to, message } = action else {
                self.nodes[index].log.push((self.now, action));
                continue;
            };
            self.send(index, to, message);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Box<Gossip>) {
        let size = message.encoded_len() + MAC_LENGTH;
        self.longest_datagram = self.longest_datagram.max(size);
        self.nodes[from].sent += (size + HEADER_BYTES) as u64;
        self.nodes[from].datagrams += 1;
        let Some(receiver) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        let loss = match self.lossy {
            Some((node, loss)) if node == from || node == receiver => loss,
            _ => self.loss,
        };
        if self.blocked_links.contains(&(from, receiver)) || self.rng.random_bool(loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(200..3000));
        self.last_id += 1;
        let from = self.nodes[from].address;
        self.in_flight
            .insert((self.now + delay, self.last_id), (receiver, from, message));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (receiver, from, message) = entry.remove();
            let node = &mut self.nodes[receiver];
            if !node.is_up || node.is_frozen {
                continue;
            }
            node.received += (message.encoded_len() + MAC_LENGTH + HEADER_BYTES) as u64;
            self.handle(receiver, Event::Received { from, message });
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let is_due = (self.steps + index as u64).is_multiple_of(TICK_STEPS);
            if node.is_up && !node.is_frozen && is_due {
                self.handle(index, Event::Tick);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds; returns how long that took, `None` if longer than the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) > limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    /// Returns the state of a node in the view of another one.
    pub fn state_seen(&self, observer: usize, subject: usize) -> Option<State> {
        let key = key::Vm::of(&self.nodes[subject].name);
        let mut members = self.nodes[observer].machine.members();
        members
            .find(|member| member.key == key)
            .map(|member| member.state)
    }

    /// Returns whether all other running nodes see a node in a state.
    pub fn all_see(&self, subject: usize, state: State) -> bool {
        (0..self.nodes.len())
            .filter(|&observer| {
                observer != subject && self.nodes[observer].is_up && !self.nodes[observer].is_frozen
            })
            .all(|observer| self.state_seen(observer, subject) == Some(state))
    }

    /// Returns whether all nodes see all others as live.
    pub fn is_converged(&self) -> bool {
        (0..self.nodes.len()).all(|subject| self.all_see(subject, State::Live))
    }

    /// Returns whether all nodes know all others and see none as dead.
    pub fn is_joined(&self) -> bool {
        let all = 0..self.nodes.len();
        all.clone().all(|observer| {
            let state = |subject| self.state_seen(observer, subject);
            all.clone().all(|subject| {
                observer == subject || state(subject).is_some_and(|state| state != State::Dead)
            })
        })
    }

    /// Blocks or unblocks all links between two groups of nodes.
    pub fn set_partition(&mut self, one: &[usize], other: &[usize], is_partitioned: bool) {
        for &a in one {
            for &b in other {
                for pair in [(a, b), (b, a)] {
                    if is_partitioned {
                        self.blocked_links.insert(pair);
                    } else {
                        self.blocked_links.remove(&pair);
                    }
                }
            }
        }
    }

    /// Counts how often any other node logged that a node is dead.
    pub fn count_declared_dead(&self, subject: usize) -> usize {
        let key = key::Vm::of(&self.nodes[subject].name);
        let all = self.nodes.iter().flat_map(|node| &node.log);
        all.filter(|(_, action)| {
            matches!(action, Action::Member(member) if member.key == key && member.state == State::Dead)
        })
        .count()
    }

    /// Counts how often any node suspected any other.
    pub fn count_suspicions(&self) -> usize {
        let all = self.nodes.iter().flat_map(|node| &node.log);
        all.filter(|(_, action)| {
            matches!(action, Action::Member(member) if member.state == State::Suspect)
        })
        .count()
    }
}
