//! Simulated entry VMs, the network between them, callers, and a target that counts sends.

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

pub const RETENTION: Duration = Duration::from_secs(20);
/// Time after which no key is in doubt at a new incarnation.
pub const IN_DOUBT_PERIOD: Duration = Duration::from_secs(30);
/// Time after which every process has seen all lists for longer than the in-doubt period.
pub const HISTORY_TIME: Duration = Duration::from_secs(32);
pub const VMS: u64 = 4;
const TICK_INTERVAL: Duration = Duration::from_millis(900);
const MAX_HOPS: u8 = 4;

pub fn settings() -> Settings {
    Settings {
        retention: RETENTION,
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

/// A process of an entry VM.
#[derive(Debug)]
pub struct Node {
    pub registry: Registry,
    /// Index of the process's VM list in [`World::lists`].
    pub version: usize,
    pub is_paused: bool,
}

#[derive(Debug)]
enum Body {
    Call { caller: u64, call: Call, hops: u8 },
    SealQuery(Id),
    SealReply(Id, SealState, Duration),
    Offered(Vec<Replica>),
    Committed(u64, bool),
    HandoverReply(bool),
    ReclaimQuery,
    Returned(Vec<Replica>, u64, bool),
}

/// Identifies a process by VM and incarnation.
type NodeId = (key::Vm, u64);

#[derive(Debug)]
struct Message {
    from: NodeId,
    to: key::Vm,
    /// The incarnation that a reply is meant for; `None` for a request.
    incarnation: Option<u64>,
    body: Body,
}

/// A call that a process was told to run.
#[derive(Debug)]
struct Run {
    node_id: NodeId,
    id: Id,
    is_sent: bool,
}

#[derive(Debug, Default)]
pub struct World {
    pub now: Instant,
    pub nodes: BTreeMap<NodeId, Node>,
    /// The incarnation that is reachable at a VM's address.
    pub current: BTreeMap<key::Vm, u64>,
    /// The published VM lists, oldest first.
    pub lists: Vec<Vec<key::Vm>>,
    /// Answers with their caller's number and call.
    pub answers: Vec<(u64, Call, Outcome)>,
    /// Times at which each call was sent to the target.
    pub sends: HashMap<Id, Vec<Instant>>,
    messages: Vec<Message>,
    runs: Vec<Run>,
    /// Caller, call and number of redirects, by waiter.
    waiters: HashMap<u64, (u64, Call, u8)>,
    /// The process that sent a query, and the key (unused for a reclaim), by request id.
    pending_requests: HashMap<u64, (NodeId, Id)>,
    last_number: u64,
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

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Starts a new incarnation of a VM with the newest list; the earlier one becomes unreachable.
    pub fn start(&mut self, vm: key::Vm) {
        let incarnation = self.next_number();
        let version = self.lists.len() - 1;
        self.current.insert(vm, incarnation);
        let node = Node {
            registry: Registry::new(vm, incarnation, settings()),
            version,
            is_paused: false,
        };
        self.nodes.insert((vm, incarnation), node);
        let vms = self.lists[version].clone();
        self.handle_event((vm, incarnation), Event::VmList(vms));
    }

    pub fn kill(&mut self, vm: key::Vm) {
        if let Some(incarnation) = self.current.remove(&vm) {
            self.remove((vm, incarnation));
        }
    }

    fn remove(&mut self, node_id: NodeId) {
        self.nodes.remove(&node_id);
        self.runs.retain(|run| run.node_id != node_id);
        if self.current.get(&node_id.0) == Some(&node_id.1) {
            self.current.remove(&node_id.0);
        }
    }

    pub fn node_id(&self, vm: key::Vm) -> Option<NodeId> {
        self.current.get(&vm).map(|&incarnation| (vm, incarnation))
    }

    pub fn pause(&mut self, vm: key::Vm, is_paused: bool) {
        let node_id = self.node_id(vm);
        if let Some(node) = node_id.and_then(|node_id| self.nodes.get_mut(&node_id)) {
            node.is_paused = is_paused;
        }
    }

    /// Resumes every paused process, superseded incarnations included.
    pub fn resume_all(&mut self) {
        for node in self.nodes.values_mut() {
            node.is_paused = false;
        }
    }

    pub fn publish(&mut self, vms: Vec<key::Vm>) {
        self.lists.push(vms);
    }

    /// Passes the newest VM list to a VM, unless it is paused.
    pub fn learn(&mut self, vm: key::Vm) {
        let version = self.lists.len() - 1;
        let Some(node_id) = self.node_id(vm) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(&node_id) else {
            return;
        };
        if !node.is_paused {
            node.version = version;
            let vms = self.lists[version].clone();
            self.handle_event(node_id, Event::VmList(vms));
        }
    }

    /// Confirms the list of each process that has the newest one of all processes.
    pub fn confirm(&mut self) {
        let newest = self.nodes.values().map(|node| node.version).max();
        let node_ids: Vec<_> = self
            .nodes
            .iter()
            .filter(|(node_id, node)| {
                Some(node.version) == newest
                    && !node.is_paused
                    && self.current.get(&node_id.0) == Some(&node_id.1)
            })
            .map(|(&node_id, _)| node_id)
            .collect();
        for node_id in node_ids {
            self.handle_event(node_id, Event::VmListConfirmed);
        }
    }

    /// Advances the clock, with ticks for the processes that are not paused.
    pub fn advance(&mut self, time: Duration, confirms: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            let running = self.nodes.iter().filter(|(_, node)| !node.is_paused);
            let node_ids: Vec<_> = running.map(|(&node_id, _)| node_id).collect();
            for node_id in node_ids {
                self.handle_event(node_id, Event::Tick);
            }
            if confirms {
                self.confirm();
            }
        }
    }

    pub fn issue(&mut self, vm: key::Vm) -> Option<Ticket> {
        let node_id = self.node_id(vm)?;
        let now = self.now;
        let node = self.nodes.get_mut(&node_id)?;
        node.registry.issue(now, customer()).ok()
    }

    /// Sends a call through an entry VM to its likeliest owner; returns the number of the caller.
    pub fn submit(&mut self, call: Call, vm: key::Vm) -> u64 {
        let caller = self.next_number();
        let node = self
            .node_id(vm)
            .and_then(|node_id| self.nodes.get(&node_id));
        let owners = node.map_or_else(Vec::new, |node| node.registry.owners(&call));
        let owner = owners.first().copied().unwrap_or(vm);
        let body = Body::Call {
            caller,
            call,
            hops: 0,
        };
        self.send_message((vm, 0), owner, None, body);
        caller
    }

    /// Sends a call to an entry VM and follows no redirect; returns the number of the caller.
    pub fn submit_to(&mut self, call: Call, vm: key::Vm) -> u64 {
        let caller = self.next_number();
        let hops = MAX_HOPS;
        self.send_message((vm, 0), vm, None, Body::Call { caller, call, hops });
        caller
    }

    /// Drops every message in flight.
    pub fn drop_messages(&mut self) {
        while !self.messages.is_empty() {
            self.drop_message(0);
        }
    }

    fn send_message(&mut self, from: NodeId, to: key::Vm, incarnation: Option<u64>, body: Body) {
        self.messages.push(Message {
            from,
            to,
            incarnation,
            body,
        });
    }

    /// Delivers a message in flight; one for a paused process stays in flight.
    pub fn deliver(&mut self, which: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(which % self.messages.len());
        let Some(node_id) = self.node_id(message.to) else {
            return self.fail(&message);
        };
        if self.nodes[&node_id].is_paused {
            self.messages.push(message);
            return;
        }
        if message
            .incarnation
            .is_some_and(|expected| expected != node_id.1)
        {
            return;
        }
        self.receive(node_id, message);
    }

    pub fn drop_message(&mut self, which: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(which % self.messages.len());
        self.fail(&message);
    }

    /// Handles a dropped message as its sender does after a timeout.
    fn fail(&mut self, message: &Message) {
        let event = match message.body {
            Body::Call { caller, call, hops } => {
                // The successor is asked instead of the owner that can't be reached.
                let list = VmList::new(self.lists[self.lists.len() - 1].clone());
                return match list.successor(call.id, message.to) {
                    Some(successor) if hops < MAX_HOPS => {
                        let hops = hops + 1;
                        let body = Body::Call { caller, call, hops };
                        self.send_message(message.from, successor, None, body);
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
            Body::ReclaimQuery => Event::Returned {
                vm: message.to,
                records: Vec::new(),
                list_digest: 0,
                includes_keys: false,
            },
            Body::Returned(..) => return self.fail_return(message),
            _ => return,
        };
        self.handle_event(message.from, event);
    }

    /// Reports a dropped reply to the process that waits for it.
    fn fail_return(&mut self, message: &Message) {
        let asker = (message.to, message.incarnation.unwrap_or_default());
        let event = Event::Returned {
            vm: message.from.0,
            records: Vec::new(),
            list_digest: 0,
            includes_keys: false,
        };
        self.handle_event(asker, event);
    }

    fn receive(&mut self, node_id: NodeId, message: Message) {
        let (from, back) = (message.from, Some(message.from.1));
        let event = match message.body {
            Body::Call { caller, call, hops } => {
                let waiter = self.next_number();
                self.waiters.insert(waiter, (caller, call, hops));
                Event::Call { waiter, call }
            }
            Body::SealQuery(id) => {
                let request_id = self.next_number();
                self.pending_requests.insert(request_id, (from, id));
                let vm = from.0;
                Event::SealQuery { request_id, vm, id }
            }
            Body::SealReply(id, state, history_age) => Event::SealReply {
                vm: from.0,
                id,
                state,
                history_age,
            },
            Body::Offered(records) => {
                let accepted = self.nodes[&node_id].registry.has_room(records.len());
                self.send_message(node_id, from.0, back, Body::HandoverReply(accepted));
                Event::Offered {
                    vm: from.0,
                    incarnation: from.1,
                    records,
                }
            }
            Body::Committed(list_digest, includes_keys) => {
                self.send_message(node_id, from.0, back, Body::HandoverReply(true));
                Event::Committed {
                    vm: from.0,
                    incarnation: from.1,
                    list_digest,
                    includes_keys,
                }
            }
            Body::HandoverReply(accepted) => Event::HandoverReply {
                vm: from.0,
                accepted,
            },
            Body::ReclaimQuery => {
                let request_id = self.next_number();
                self.pending_requests
                    .insert(request_id, (from, key_call(0).id));
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
        self.handle_event(node_id, event);
    }

    pub fn handle_event(&mut self, node_id: NodeId, event: Event) {
        let Some(node) = self.nodes.get_mut(&node_id) else {
            return;
        };
        let mut actions = Vec::new();
        node.registry.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(node_id, action);
        }
    }

    fn perform(&mut self, node_id: NodeId, action: Action) {
        match action {
            Action::Run { id, .. } => self.runs.push(Run {
                node_id,
                id,
                is_sent: false,
            }),
            Action::Answer { waiter, outcome } => {
                if let Some((caller, call, _)) = self.waiters.remove(&waiter) {
                    self.check(&call, &outcome);
                    self.answers.push((caller, call, outcome));
                }
            }
            Action::Redirect { waiter, vm } => self.redirect(node_id, waiter, vm),
            Action::QuerySeal { vm, id } => {
                self.send_message(node_id, vm, None, Body::SealQuery(id));
            }
            Action::ReplySeal {
                request_id,
                state,
                history_age,
            } => {
                if let Some((asker, id)) = self.pending_requests.remove(&request_id) {
                    self.send_message(
                        node_id,
                        asker.0,
                        Some(asker.1),
                        Body::SealReply(id, state, history_age),
                    );
                }
            }
            Action::Offer { vm, records } => {
                self.send_message(node_id, vm, None, Body::Offered(records));
            }
            Action::Commit {
                vm,
                list_digest,
                includes_keys,
            } => {
                self.send_message(
                    node_id,
                    vm,
                    None,
                    Body::Committed(list_digest, includes_keys),
                );
            }
            Action::Reclaim { vm } => self.send_message(node_id, vm, None, Body::ReclaimQuery),
            Action::Return {
                request_id,
                records,
                list_digest,
                includes_keys,
            } => {
                if let Some((asker, _)) = self.pending_requests.remove(&request_id) {
                    let body = Body::Returned(records, list_digest, includes_keys);
                    self.send_message(node_id, asker.0, Some(asker.1), body);
                }
            }
            Action::HandoverDone => self.remove(node_id),
        }
    }

    fn redirect(&mut self, node_id: NodeId, waiter: u64, vm: key::Vm) {
        let Some((caller, call, hops)) = self.waiters.remove(&waiter) else {
            return;
        };
        if hops >= MAX_HOPS {
            self.answers.push((caller, call, Err(lost())));
            return;
        }
        let hops = hops + 1;
        self.send_message(node_id, vm, None, Body::Call { caller, call, hops });
    }

    /// Checks that an answer is true: a reply needs a send, and "not run" excludes one.
    fn check(&self, call: &Call, outcome: &Outcome) {
        let sends = self.sends.get(&call.id);
        let is_ticket = matches!(call.source, Source::Ticket(_));
        let is_recent = |sent: &&Instant| is_ticket || self.now.since(**sent) < RETENTION;
        let count = sends.map_or(0, |sends| sends.iter().filter(is_recent).count());
        match outcome {
            Ok(_) => assert!(sends.is_some(), "an answer without a run"),
            Err(refusal) if refusal.verdict == Verdict::NotRun => {
                assert_eq!(count, 0, "{refusal} after a run");
            }
            Err(_) => {}
        }
    }

    /// Sends a call that a process was told to run; if `refused`, the target doesn't start it.
    pub fn send(&mut self, which: usize, refused: bool) {
        let waiting: Vec<_> = (0..self.runs.len())
            .filter(|&run| !self.runs[run].is_sent && self.is_running(self.runs[run].node_id))
            .collect();
        if waiting.is_empty() {
            return;
        }
        let index = waiting[which % waiting.len()];
        let Run { node_id, id, .. } = self.runs[index];
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&node_id) else {
            return;
        };
        let permitted = node.registry.permit(self.now, id, &mut actions);
        if !permitted || refused {
            self.runs.remove(index);
        } else {
            self.runs[index].is_sent = true;
            self.record_send(id);
        }
        for action in actions {
            self.perform(node_id, action);
        }
        if permitted && refused {
            let refusal = Refusal::not_run(Reason::TargetRefused, "refused");
            let outcome = Err(refusal);
            self.handle_event(node_id, Event::Done { id, outcome });
        }
    }

    /// Records a send; checks that it is the only one ever (ticket) or in a retention period (key).
    fn record_send(&mut self, id: Id) {
        let is_key = (0..1000).any(|number| key_call(number).id == id);
        let sends = self.sends.entry(id).or_default();
        if let Some(last) = sends.last() {
            let since = self.now.since(*last);
            assert!(is_key && since >= RETENTION, "{id:?} ran twice, {since:?}");
        }
        sends.push(self.now);
    }

    /// Completes a call that was sent, with a reply or with a lost connection.
    pub fn complete(&mut self, which: usize, answered: bool) {
        let sent: Vec<_> = (0..self.runs.len())
            .filter(|&run| self.runs[run].is_sent && self.is_running(self.runs[run].node_id))
            .collect();
        if sent.is_empty() {
            return;
        }
        let Run { node_id, id, .. } = self.runs.remove(sent[which % sent.len()]);
        let outcome = if answered {
            Ok(Arc::new(Reply {
                status: 200,
                ..Reply::default()
            }))
        } else {
            Err(Refusal::may_have_run(Reason::TargetLost, "lost"))
        };
        self.handle_event(node_id, Event::Done { id, outcome });
    }

    fn is_running(&self, node_id: NodeId) -> bool {
        self.nodes.get(&node_id).is_some_and(|node| !node.is_paused)
    }

    /// Starts the handover of a planned stop.
    pub fn stop(&mut self, vm: key::Vm) {
        if let Some(node_id) = self.node_id(vm)
            && self.is_running(node_id)
        {
            self.handle_event(node_id, Event::StartHandover);
        }
    }

    /// Delivers all messages and completes all runs, without faults.
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
        panic!("messages and runs do not end");
    }

    /// Sends and completes one call of a process that is not paused.
    pub fn send_and_complete(&mut self) {
        self.send(0, false);
        self.complete(0, true);
    }

    /// Returns the outcome that a caller was answered with.
    pub fn answer(&self, caller: u64) -> &Outcome {
        let answer = self.answers.iter().find(|(number, ..)| *number == caller);
        let (_, _, outcome) = answer.expect("every call is answered");
        outcome
    }
}

fn lost() -> Refusal {
    Refusal::may_have_run(Reason::PeerLost, "no owner could be reached")
}
