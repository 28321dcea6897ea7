//! Entry VMs in memory over a seeded lossy network.

#![expect(dead_code, reason = "each program uses its own part")]

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

/// Bytes of IPv4 and UDP headers.
const HEADERS: usize = 28;
/// Resolution of the network's time.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two ticks of a node.
const TICK_STEPS: u64 = 10;

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub machine: Membership,
    pub up: bool,
    pub frozen: bool,
    pub sent: u64,
    pub received: u64,
    pub datagrams: u64,
    /// Everything that the machine found, with its time; datagrams left out.
    pub log: Vec<(Instant, Action)>,
}

pub struct Net {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub cut: HashSet<(usize, usize)>,
    /// A node whose datagrams, both ways, are lost at another rate.
    pub lossy: Option<(usize, f64)>,
    /// Members that are asked to ping, and time to contradict, of the nodes added next.
    pub rule: (usize, Duration),
    pub longest: usize,
    rng: SmallRng,
    steps: u64,
    serial: u64,
    seed: u64,
    in_flight: BTreeMap<(Instant, u64), (usize, SocketAddr, Box<Gossip>)>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}

/// Writes a deployment with the VMs spread over data centres, and targets in each.
pub fn value(version: u64, centres: usize, vms: usize, targets: usize) -> String {
    let mut text = format!("[deployment]\nname = test\nversion = {version}\n");
    for centre in 0..centres {
        write!(text, "[data_centre dc{centre}]\nregion = r\n").unwrap();
    }
    if targets > 0 {
        text.push_str("[service s]\nkind = plain\n");
    }
    for vm in 0..vms {
        let centre = vm % centres;
        let inner = address(vm);
        write!(
            text,
            "[vm vm{vm}]\ndata_centre = dc{centre}\ninner = {inner}\n"
        )
        .unwrap();
    }
    for target in 0..targets {
        let centre = target % centres;
        let port = 30_000 + target;
        write!(
            text,
            "[target t{target}]\nservice = s\ndata_centre = dc{centre}\naddress = 127.0.0.1:{port}\n"
        )
        .unwrap();
    }
    text
}

pub fn snapshot(version: u64, centres: usize, vms: usize, targets: usize) -> Arc<Snapshot> {
    let text = value(version, centres, vms, targets);
    Arc::new(parse::snapshot("test", &text).expect("a valid deployment"))
}

impl Net {
    pub fn new(seed: u64, loss: f64) -> Self {
        Self {
            now: Instant::default() + Duration::from_secs(1),
            nodes: Vec::new(),
            loss,
            cut: HashSet::new(),
            lossy: None,
            rule: (INDIRECT_PROBES, SUSPICION_TIMEOUT),
            longest: 0,
            rng: SmallRng::seed_from_u64(seed),
            steps: 0,
            serial: 0,
            seed,
            in_flight: BTreeMap::new(),
        }
    }

    /// Starts the VMs of a deployment and lets them find each other.
    pub fn with_deployment(seed: u64, loss: f64, centres: usize, vms: usize) -> Self {
        let mut net = Self::new(seed, loss);
        net.start(centres, vms);
        net
    }

    /// Starts the VMs of a deployment.
    pub fn start(&mut self, centres: usize, vms: usize) {
        let snapshot = snapshot(1, centres, vms, 8);
        for vm in 0..vms {
            self.add(&format!("vm{vm}"), &format!("dc{}", vm % centres), 1);
            self.event(vm, Event::Configuration(Arc::clone(&snapshot)));
        }
    }

    pub fn machine(&self, index: usize, name: &str, centre: &str, incarnation: u64) -> Membership {
        Membership::builder()
            .now(self.now)
            .name(name)
            .data_centre(centre)
            .address(address(index))
            .incarnation(incarnation)
            .indirect_probes(self.rule.0)
            .suspicion_timeout(self.rule.1)
            .seed(self.seed.wrapping_mul(1_000_003).wrapping_add(index as u64))
            .build()
    }

    pub fn add(&mut self, name: &str, centre: &str, incarnation: u64) -> usize {
        let index = self.nodes.len();
        let machine = self.machine(index, name, centre, incarnation);
        self.nodes.push(Node {
            name: name.to_owned(),
            address: address(index),
            machine,
            up: true,
            frozen: false,
            sent: 0,
            received: 0,
            datagrams: 0,
            log: Vec::new(),
        });
        index
    }

    /// Replaces the process of a node by a new incarnation.
    pub fn restart(
        &mut self,
        index: usize,
        centre: &str,
        incarnation: u64,
        snapshot: Arc<Snapshot>,
    ) {
        let name = self.nodes[index].name.clone();
        self.nodes[index].machine = self.machine(index, &name, centre, incarnation);
        self.nodes[index].up = true;
        self.nodes[index].frozen = false;
        self.event(index, Event::Configuration(snapshot));
    }

    pub fn event(&mut self, index: usize, event: Event) {
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
        self.longest = self.longest.max(size);
        self.nodes[from].sent += (size + HEADERS) as u64;
        self.nodes[from].datagrams += 1;
        let Some(target) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        let loss = match self.lossy {
            Some((node, loss)) if node == from || node == target => loss,
            _ => self.loss,
        };
        if self.cut.contains(&(from, target)) || self.rng.random_bool(loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(200..3000));
        self.serial += 1;
        let from = self.nodes[from].address;
        self.in_flight
            .insert((self.now + delay, self.serial), (target, from, message));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (target, from, message) = entry.remove();
            let node = &mut self.nodes[target];
            if !node.up || node.frozen {
                continue;
            }
            node.received += (message.encoded_len() + MAC_LENGTH + HEADERS) as u64;
            self.event(target, Event::Received { from, message });
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let due = (self.steps + index as u64).is_multiple_of(TICK_STEPS);
            if node.up && !node.frozen && due {
                self.event(index, Event::Tick);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds; returns how long that took, `None` past the limit.
    pub fn until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now.since(start) > limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    /// Returns what a node believes of another one.
    pub fn view(&self, of: usize, on: usize) -> Option<State> {
        let key = key::Vm::of(&self.nodes[on].name);
        let mut members = self.nodes[of].machine.members();
        members
            .find(|member| member.key == key)
            .map(|member| member.state)
    }

    /// Returns whether every running node but the excepted ones believes the same of a node.
    pub fn all_view(&self, on: usize, state: State) -> bool {
        (0..self.nodes.len())
            .filter(|&of| of != on && self.nodes[of].up && !self.nodes[of].frozen)
            .all(|of| self.view(of, on) == Some(state))
    }

    /// Returns whether all nodes see all others as live.
    pub fn is_converged(&self) -> bool {
        (0..self.nodes.len()).all(|on| self.all_view(on, State::Live))
    }

    /// Returns whether all nodes know all others and take none for dead.
    pub fn is_joined(&self) -> bool {
        let all = 0..self.nodes.len();
        all.clone().all(|of| {
            let view = |on| self.view(of, on);
            all.clone()
                .all(|on| of == on || view(on).is_some_and(|state| state != State::Dead))
        })
    }

    pub fn set_cut(&mut self, one: &[usize], other: &[usize], cut: bool) {
        for &a in one {
            for &b in other {
                for pair in [(a, b), (b, a)] {
                    if cut {
                        self.cut.insert(pair);
                    } else {
                        self.cut.remove(&pair);
                    }
                }
            }
        }
    }

    /// Counts how often a node was declared dead by any other.
    pub fn declared_dead(&self, on: usize) -> usize {
        let key = key::Vm::of(&self.nodes[on].name);
        let all = self.nodes.iter().flat_map(|node| &node.log);
        all.filter(|(_, action)| {
            matches!(action, Action::Member(member) if member.key == key && member.state == State::Dead)
        })
        .count()
    }

    /// Counts how often any node became suspect in the eyes of any other.
    pub fn suspicions(&self) -> usize {
        let all = self.nodes.iter().flat_map(|node| &node.log);
        all.filter(|(_, action)| {
            matches!(action, Action::Member(member) if member.state == State::Suspect)
        })
        .count()
    }
}
