//! Entry VMs, the network between them, callers and a target that counts.

use {
    base::{Instant, Machine, Reason, Refusal, Verdict, key},
    mastictrail_once::{
        Action, Call, Event, Id, Outcome, Registry, Replica, Reply, SealState, Settings, Source,
        Ticket, VmList,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

pub const WINDOW: Duration = Duration::from_secs(20);
/// Time after which a new incarnation has no doubt any more.
pub const DOUBT: Duration = Duration::from_secs(30);
/// Time in which every process has seen all lists for long enough.
pub const QUIET: Duration = Duration::from_secs(32);
pub const VMS: u64 = 4;
const STEP: Duration = Duration::from_millis(900);
const HOPS: u8 = 4;

pub fn settings() -> Settings {
    Settings {
        retention: WINDOW,
        ticket_lifetime: Duration::from_secs(200),
        ..Settings::default()
    }
}

pub fn vm(number: u64) -> key::Vm {
    key::Vm::from_raw(number % VMS)
}

pub fn customer() -> key::Customer {
    key::Customer::of("customer")
}

pub fn key_call(number: u64) -> Call {
    Call {
        id: Id::of_key(customer(), &number.to_string()),
        source: Source::Key,
        fingerprint: [0; 32],
    }
}

pub fn ticket_call(ticket: Ticket) -> Call {
    Call {
        id: ticket.id(),
        source: Source::Ticket(ticket),
        fingerprint: [0; 32],
    }
}

/// One process of an entry VM.
#[derive(Debug)]
pub struct Node {
    pub registry: Registry,
    pub version: usize,
    pub is_paused: bool,
}

#[derive(Debug)]
enum Body {
    Call { caller: u64, call: Call, hops: u8 },
    SealQuery(Id),
    Sealed(Id, SealState, Duration),
    Offered(Vec<Replica>),
    Committed(u64, bool),
    Accepted(bool),
    Reclaimed,
    Returned(Vec<Replica>, u64, bool),
}

/// A process, by VM and incarnation.
type Place = (key::Vm, u64);

#[derive(Debug)]
struct Message {
    from: Place,
    to: key::Vm,
    /// The incarnation that an answer belongs to.
    incarnation: Option<u64>,
    body: Body,
}

/// A call that a process may send, or has sent.
#[derive(Debug)]
struct Run {
    place: Place,
    id: Id,
    is_sent: bool,
}

#[derive(Debug, Default)]
pub struct World {
    pub now: Instant,
    pub nodes: BTreeMap<Place, Node>,
    /// The incarnation that answers at a VM's address.
    pub current: BTreeMap<key::Vm, u64>,
    pub lists: Vec<Vec<key::Vm>>,
    pub answers: Vec<(u64, Call, Outcome)>,
    pub sends: HashMap<Id, Vec<Instant>>,
    messages: Vec<Message>,
    runs: Vec<Run>,
    waiters: HashMap<u64, (u64, Call, u8)>,
    questions: HashMap<u64, (Place, Id)>,
    count: u64,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            lists: vec![(0..VMS).map(vm).collect()],
            ..Self::default()
        };
        (0..VMS).for_each(|number| world.start(vm(number)));
        world
    }

    fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Starts a new incarnation of a VM at the newest list; the earlier one is unreachable.
    pub fn start(&mut self, vm: key::Vm) {
        let incarnation = self.number();
        let version = self.lists.len() - 1;
        self.current.insert(vm, incarnation);
        let node = Node {
            registry: Registry::new(vm, incarnation, settings()),
            version,
            is_paused: false,
        };
        self.nodes.insert((vm, incarnation), node);
        let vms = self.lists[version].clone();
        self.tell((vm, incarnation), Event::VmList(vms));
    }

    pub fn kill(&mut self, vm: key::Vm) {
        if let Some(incarnation) = self.current.remove(&vm) {
            self.remove((vm, incarnation));
        }
    }

    fn remove(&mut self, place: Place) {
        self.nodes.remove(&place);
        self.runs.retain(|run| run.place != place);
        if self.current.get(&place.0) == Some(&place.1) {
            self.current.remove(&place.0);
        }
    }

    pub fn place(&self, vm: key::Vm) -> Option<Place> {
        self.current.get(&vm).map(|&incarnation| (vm, incarnation))
    }

    pub fn pause(&mut self, vm: key::Vm, is_paused: bool) {
        let place = self.place(vm);
        if let Some(node) = place.and_then(|place| self.nodes.get_mut(&place)) {
            node.is_paused = is_paused;
        }
    }

    /// Wakes every paused process, superseded ones too.
    pub fn wake_all(&mut self) {
        for node in self.nodes.values_mut() {
            node.is_paused = false;
        }
    }

    pub fn publish(&mut self, vms: Vec<key::Vm>) {
        self.lists.push(vms);
    }

    pub fn learn(&mut self, vm: key::Vm) {
        let version = self.lists.len() - 1;
        let Some(place) = self.place(vm) else { return };
        let Some(node) = self.nodes.get_mut(&place) else {
            return;
        };
        if !node.is_paused {
            node.version = version;
            let vms = self.lists[version].clone();
            self.tell(place, Event::VmList(vms));
        }
    }

    /// Confirms the list of each process that holds the newest in force anywhere.
    pub fn confirm(&mut self) {
        let newest = self.nodes.values().map(|node| node.version).max();
        let places: Vec<_> = self
            .nodes
            .iter()
            .filter(|(place, node)| {
                Some(node.version) == newest
                    && !node.is_paused
                    && self.current.get(&place.0) == Some(&place.1)
            })
            .map(|(&place, _)| place)
            .collect();
        for place in places {
            self.tell(place, Event::VmListConfirmed);
        }
    }

    /// Lets time pass; processes that are not paused tick.
    pub fn advance(&mut self, time: Duration, confirms: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let awake = self.nodes.iter().filter(|(_, node)| !node.is_paused);
            let places: Vec<_> = awake.map(|(&place, _)| place).collect();
            for place in places {
                self.tell(place, Event::Tick);
            }
            if confirms {
                self.confirm();
            }
        }
    }

    pub fn issue(&mut self, vm: key::Vm) -> Option<Ticket> {
        let place = self.place(vm)?;
        let now = self.now;
        let node = self.nodes.get_mut(&place)?;
        node.registry.issue(now, customer()).ok()
    }

    /// Sends a call through an entry VM; the answer comes under the caller's number.
    pub fn submit(&mut self, call: Call, vm: key::Vm) -> u64 {
        let caller = self.number();
        let through = self.place(vm).and_then(|place| self.nodes.get(&place));
        let owners = through.map_or_else(Vec::new, |node| node.registry.owners(&call));
        let owner = owners.first().copied().unwrap_or(vm);
        let body = Body::Call {
            caller,
            call,
            hops: 0,
        };
        self.post((vm, 0), owner, None, body);
        caller
    }

    /// Sends a call to one entry VM, whoever owns it.
    pub fn ask(&mut self, call: Call, vm: key::Vm) -> u64 {
        let caller = self.number();
        let hops = HOPS;
        self.post((vm, 0), vm, None, Body::Call { caller, call, hops });
        caller
    }

    /// Loses every message that is under way.
    pub fn cut(&mut self) {
        while !self.messages.is_empty() {
            self.lose(0);
        }
    }

    fn post(&mut self, from: Place, to: key::Vm, incarnation: Option<u64>, body: Body) {
        self.messages.push(Message {
            from,
            to,
            incarnation,
            body,
        });
    }

    pub fn deliver(&mut self, which: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(which % self.messages.len());
        let Some(place) = self.place(message.to) else {
            return self.bounce(&message);
        };
        if self.nodes[&place].is_paused {
            self.messages.push(message);
            return;
        }
        if message
            .incarnation
            .is_some_and(|expected| expected != place.1)
        {
            return;
        }
        self.receive(place, message);
    }

    pub fn lose(&mut self, which: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(which % self.messages.len());
        self.bounce(&message);
    }

    /// A message that was lost is answered by its sender's time limit.
    fn bounce(&mut self, message: &Message) {
        let event = match message.body {
            Body::Call { caller, call, hops } => {
                // Lost on the way: an owner beside the one that can't be reached is asked.
                let list = VmList::new(self.lists[self.lists.len() - 1].clone());
                return match list.successor(call.id, message.to) {
                    Some(deputy) if hops < HOPS => {
                        let hops = hops + 1;
                        let body = Body::Call { caller, call, hops };
                        self.post(message.from, deputy, None, body);
                    }
                    _ => self.answers.push((caller, call, Err(lost()))),
                };
            }
            Body::SealQuery(id) => Event::SealReply {
                vm: message.to,
                id,
                state: SealState::Unknown,
                history_age: Duration::ZERO,
            },
            Body::Offered(_) | Body::Committed(..) => Event::HandoverReply {
                vm: message.to,
                accepted: false,
            },
            Body::Reclaimed => Event::Returned {
                vm: message.to,
                records: Vec::new(),
                list_digest: 0,
                includes_keys: false,
            },
            Body::Returned(..) => return self.lose_return(message),
            _ => return,
        };
        self.tell(message.from, event);
    }

    /// Tells the asker that nothing came back.
    fn lose_return(&mut self, message: &Message) {
        let asker = (message.to, message.incarnation.unwrap_or_default());
        let event = Event::Returned {
            vm: message.from.0,
            records: Vec::new(),
            list_digest: 0,
            includes_keys: false,
        };
        self.tell(asker, event);
    }

    fn receive(&mut self, place: Place, message: Message) {
        let (from, back) = (message.from, Some(message.from.1));
        let event = match message.body {
            Body::Call { caller, call, hops } => {
                let waiter = self.number();
                self.waiters.insert(waiter, (caller, call, hops));
                Event::Call { waiter, call }
            }
            Body::SealQuery(id) => {
                let request_id = self.number();
                self.questions.insert(request_id, (from, id));
                let vm = from.0;
                Event::SealQuery { request_id, vm, id }
            }
            Body::Sealed(id, state, history_age) => Event::SealReply {
                vm: from.0,
                id,
                state,
                history_age,
            },
            Body::Offered(records) => {
                let accepted = self.nodes[&place].registry.has_room(records.len());
                self.post(place, from.0, back, Body::Accepted(accepted));
                Event::Offered {
                    vm: from.0,
                    incarnation: from.1,
                    records,
                }
            }
            Body::Committed(list_digest, includes_keys) => {
                self.post(place, from.0, back, Body::Accepted(true));
                Event::Committed {
                    vm: from.0,
                    incarnation: from.1,
                    list_digest,
                    includes_keys,
                }
            }
            Body::Accepted(accepted) => Event::HandoverReply {
                vm: from.0,
                accepted,
            },
            Body::Reclaimed => {
                let request_id = self.number();
                self.questions.insert(request_id, (from, key_call(0).id));
                Event::ReclaimQuery {
                    request_id,
                    vm: from.0,
                    incarnation: from.1,
                }
            }
            Body::Returned(records, list_digest, includes_keys) => Event::Returned {
                vm: from.0,
                records,
                list_digest,
                includes_keys,
            },
        };
        self.tell(place, event);
    }

    pub fn tell(&mut self, place: Place, event: Event) {
        let Some(node) = self.nodes.get_mut(&place) else {
            return;
        };
        let mut actions = Vec::new();
        node.registry.handle(self.now, event, &mut actions);
        for action in actions {
            self.obey(place, action);
        }
    }

    fn obey(&mut self, place: Place, action: Action) {
        match action {
            Action::Run { id, .. } => self.runs.push(Run {
                place,
                id,
                is_sent: false,
            }),
            Action::Answer { waiter, outcome } => {
                if let Some((caller, call, _)) = self.waiters.remove(&waiter) {
                    self.check(&call, &outcome);
                    self.answers.push((caller, call, outcome));
                }
            }
            Action::Redirect { waiter, vm } => self.redirect(place, waiter, vm),
            Action::QuerySeal { vm, id } => self.post(place, vm, None, Body::SealQuery(id)),
            Action::ReplySeal {
                request_id,
                state,
                history_age,
            } => {
                if let Some((asker, id)) = self.questions.remove(&request_id) {
                    self.post(
                        place,
                        asker.0,
                        Some(asker.1),
                        Body::Sealed(id, state, history_age),
                    );
                }
            }
            Action::Offer { vm, records } => self.post(place, vm, None, Body::Offered(records)),
            Action::Commit {
                vm,
                list_digest,
                includes_keys,
            } => {
                self.post(place, vm, None, Body::Committed(list_digest, includes_keys));
            }
            Action::Reclaim { vm } => self.post(place, vm, None, Body::Reclaimed),
            Action::Return {
                request_id,
                records,
                list_digest,
                includes_keys,
            } => {
                if let Some((asker, _)) = self.questions.remove(&request_id) {
                    let body = Body::Returned(records, list_digest, includes_keys);
                    self.post(place, asker.0, Some(asker.1), body);
                }
            }
            Action::HandoverDone => self.remove(place),
        }
    }

    fn redirect(&mut self, place: Place, waiter: u64, vm: key::Vm) {
        let Some((caller, call, hops)) = self.waiters.remove(&waiter) else {
            return;
        };
        if hops >= HOPS {
            self.answers.push((caller, call, Err(lost())));
            return;
        }
        let hops = hops + 1;
        self.post(place, vm, None, Body::Call { caller, call, hops });
    }

    /// "Not run" is said only of calls that were not sent.
    fn check(&self, call: &Call, outcome: &Outcome) {
        let sends = self.sends.get(&call.id);
        let is_ticket = matches!(call.source, Source::Ticket(_));
        let lately = |sent: &&Instant| is_ticket || self.now.since(**sent) < WINDOW;
        let count = sends.map_or(0, |sends| sends.iter().filter(lately).count());
        match outcome {
            Ok(_) => assert!(sends.is_some(), "an answer without a run"),
            Err(refusal) if refusal.verdict == Verdict::NotRun => {
                assert_eq!(count, 0, "{refusal} after a run");
            }
            Err(_) => {}
        }
    }

    /// Sends a call that a process was told to run; `refused` by the target before the start.
    pub fn send(&mut self, which: usize, refused: bool) {
        let waiting: Vec<_> = (0..self.runs.len())
            .filter(|&run| !self.runs[run].is_sent && self.is_awake(self.runs[run].place))
            .collect();
        if waiting.is_empty() {
            return;
        }
        let index = waiting[which % waiting.len()];
        let Run { place, id, .. } = self.runs[index];
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&place) else {
            return;
        };
        let permitted = node.registry.permit(self.now, id, &mut actions);
        if !permitted || refused {
            self.runs.remove(index);
        } else {
            self.runs[index].is_sent = true;
            self.count_send(id);
        }
        for action in actions {
            self.obey(place, action);
        }
        if permitted && refused {
            let refusal = Refusal::not_run(Reason::TargetRefused, "refused");
            let outcome = Err(refusal);
            self.tell(place, Event::Done { id, outcome });
        }
    }

    /// At most once: ever for a ticket, within the window for a key.
    fn count_send(&mut self, id: Id) {
        let is_key = (0..1000).any(|number| key_call(number).id == id);
        let sends = self.sends.entry(id).or_default();
        if let Some(last) = sends.last() {
            let since = self.now.since(*last);
            assert!(is_key && since >= WINDOW, "{id:?} ran twice, {since:?}");
        }
        sends.push(self.now);
    }

    /// Ends a call that was sent, with an answer or without.
    pub fn complete(&mut self, which: usize, answered: bool) {
        let sent: Vec<_> = (0..self.runs.len())
            .filter(|&run| self.runs[run].is_sent && self.is_awake(self.runs[run].place))
            .collect();
        if sent.is_empty() {
            return;
        }
        let Run { place, id, .. } = self.runs.remove(sent[which % sent.len()]);
        let outcome = if answered {
            Ok(Arc::new(Reply {
                status: 200,
                ..Reply::default()
            }))
        } else {
            Err(Refusal::may_have_run(Reason::TargetLost, "lost"))
        };
        self.tell(place, Event::Done { id, outcome });
    }

    fn is_awake(&self, place: Place) -> bool {
        self.nodes.get(&place).is_some_and(|node| !node.is_paused)
    }

    /// Begins the handover of a planned stop.
    pub fn stop(&mut self, vm: key::Vm) {
        if let Some(place) = self.place(vm)
            && self.is_awake(place)
        {
            self.tell(place, Event::StartHandover);
        }
    }

    /// Runs everything that is under way, without a fault.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            if !self.messages.is_empty() {
                self.deliver(0);
            } else if self.runs.iter().any(|run| !run.is_sent) {
                self.send(0, false);
            } else if !self.runs.is_empty() {
                self.complete(0, true);
            } else {
                return;
            }
        }
        panic!("the world does not settle");
    }

    /// Sends and completes what processes that are awake may.
    pub fn settle_awake(&mut self) {
        self.send(0, false);
        self.complete(0, true);
    }

    /// Returns the answer to a caller.
    pub fn answer(&self, caller: u64) -> &Outcome {
        let answer = self.answers.iter().find(|(number, ..)| *number == caller);
        let (_, _, outcome) = answer.expect("every call is answered");
        outcome
    }
}

fn lost() -> Refusal {
    Refusal::may_have_run(Reason::PeerLost, "no owner could be reached")
}
