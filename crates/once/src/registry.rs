//! The records of one incarnation of one entry VM.

use {
    crate::{
        Action, Call, Copy, Event, Id, List, Outcome, Seal, Settings, Source, Ticket,
        record::{self, Fingerprint, Record, Stage, State},
        right::{Claim, Rights},
    },
    base::{Instant, Machine, Reason, Refusal, key},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Longest time between two events of a process that did not sleep.
const PAUSE: Duration = Duration::from_secs(1);
/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(250);
/// When a caller shall come back to full records.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// How far the handover to one VM has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Handover {
    Offered,
    Committed,
    Over,
}

/// The records of one incarnation, and its right to run calls.
#[derive(Debug)]
pub struct Registry {
    vm: key::Vm,
    incarnation: u64,
    settings: Settings,
    rights: Rights,
    records: HashMap<Id, Record>,
    /// When finished records may be dropped.
    expiries: BTreeSet<(Instant, Id)>,
    /// Finished records with an answer, the oldest first.
    answers: VecDeque<Id>,
    bytes: usize,
    /// The records of this incarnation's own tickets.
    serials: BTreeMap<u64, Id>,
    next_serial: u64,
    /// Tickets up to this serial are refused unless they have a record.
    watermark: u64,
    /// Keys that are refused, with who asked for it and until when.
    seals: HashMap<Id, (key::Vm, Instant)>,
    /// The planned stop's handover, by VM; calls are refused once it has begun.
    handover: Option<BTreeMap<key::Vm, Handover>>,
    /// Callers that wait for the handover to the VM that they shall ask.
    parked: Vec<(u64, key::Vm)>,
    last_event: Option<Instant>,
}

impl Registry {
    /// Makes the empty records of a new incarnation.
    pub fn new(vm: key::Vm, incarnation: u64, settings: Settings) -> Self {
        Self {
            vm,
            incarnation,
            rights: Rights::new(vm, settings.window),
            settings,
            records: HashMap::new(),
            expiries: BTreeSet::new(),
            answers: VecDeque::new(),
            bytes: 0,
            serials: BTreeMap::new(),
            next_serial: 1,
            watermark: 0,
            seals: HashMap::new(),
            handover: None,
            parked: Vec::new(),
            last_event: None,
        }
    }

    /// Issues a ticket.
    ///
    /// # Errors
    /// Returns a refusal once the planned stop hands over.
    pub fn issue(&mut self, now: Instant, customer: key::Customer) -> Result<Ticket, Refusal> {
        if self.handover.is_some() {
            let refusal = Refusal::not_run(Reason::NotReady, "this entry VM is leaving");
            return Err(refusal.retry_after(FULL_RETRY));
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        Ok(Ticket {
            vm: self.vm,
            incarnation: self.incarnation,
            serial,
            customer,
            expiry: now + self.settings.ticket_lifetime,
        })
    }

    /// Returns the entry VMs that may own a call, the likeliest first.
    pub fn owners(&self, call: &Call) -> Vec<key::Vm> {
        let list = self.rights.list();
        let first = match &call.source {
            Source::Ticket(ticket) => Some(ticket.vm),
            Source::Key => list.and_then(|list| list.home(call.id)),
        };
        let deputy = first.and_then(|first| list?.deputy(call.id, first));
        first.into_iter().chain(deputy).collect()
    }

    /// Returns whether the planned stop hands over, so that no records can be taken over any more.
    pub fn is_stopping(&self) -> bool {
        self.handover.is_some()
    }

    /// Returns whether a list differs from the one in force here.
    pub fn is_other_list(&self, vms: &[key::Vm]) -> bool {
        let list = List::new(vms.iter().copied());
        self.rights.list().is_none_or(|known| **known != list)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Asks whether a call that [`Action::Run`] named may be sent now; to be asked before each send.
    ///
    /// If it may not, its callers are answered and it must not be sent.
    pub fn permit(&mut self, now: Instant, id: Id, actions: &mut Vec<Action>) -> bool {
        self.notice_pause(now);
        let Some(record) = self.records.get(&id) else {
            return false;
        };
        let is_open = matches!(record.stage, Stage::Claimed | Stage::Sent);
        let is_ticket = record.expiry.is_some();
        let has_right = is_ticket || self.keeps(now, id);
        if is_open && has_right && self.handover.is_none() {
            self.set_stage(id, Stage::Sent);
            return true;
        }
        if is_open {
            self.withdraw(id, &in_doubt(FULL_RETRY), actions);
        }
        false
    }

    /// Returns whether a claimed key may still be run here.
    fn keeps(&self, now: Instant, id: Id) -> bool {
        !self.seals.contains_key(&id)
            && matches!(self.rights.claim(now, id), Claim::Granted | Claim::Ask(_))
    }

    fn call(&mut self, now: Instant, waiter: u64, call: &Call, actions: &mut Vec<Action>) {
        if let Some(record) = self.records.get_mut(&call.id) {
            join(record, waiter, call, actions);
            return;
        }
        match &call.source {
            Source::Ticket(ticket) => self.ticket(now, waiter, call, ticket, actions),
            Source::Key => self.key(now, waiter, call, actions),
        }
    }

    fn ticket(
        &mut self,
        now: Instant,
        waiter: u64,
        call: &Call,
        ticket: &Ticket,
        actions: &mut Vec<Action>,
    ) {
        let is_own = ticket.vm == self.vm && ticket.incarnation == self.incarnation;
        let lifetime = self.settings.ticket_lifetime;
        let is_held = !is_own && self.rights.holds_ticket(now, ticket, lifetime);
        if !is_own && !is_held {
            self.foreign_ticket(waiter, call, ticket, actions);
            return;
        }
        if self.handover.is_some() {
            self.redirect(waiter, self.successor(call.id), actions);
            return;
        }
        if is_own && ticket.serial <= self.watermark {
            let message = "the record of the ticket was dropped";
            let refusal = Refusal::may_have_run(Reason::RecordDropped, message);
            answer(waiter, Err(refusal), actions);
            return;
        }
        if is_own && now >= ticket.expiry {
            let refusal = Refusal::may_have_run(Reason::BadTicket, "the ticket has expired");
            answer(waiter, Err(refusal), actions);
            return;
        }
        let expiry = if is_own {
            ticket.expiry
        } else {
            now + lifetime
        };
        if !self.claim(waiter, call, Stage::Claimed, Some(expiry), actions) {
            return;
        }
        if is_own {
            self.serials.insert(ticket.serial, call.id);
        }
        actions.push(Action::Run {
            id: call.id,
            waiter,
        });
    }

    /// Answers a call with a ticket that this incarnation neither issued nor took over.
    fn foreign_ticket(&self, waiter: u64, call: &Call, ticket: &Ticket, actions: &mut Vec<Action>) {
        let list = self.rights.list();
        let deputy = list.and_then(|list| list.deputy(call.id, ticket.vm));
        match deputy {
            Some(vm) if vm != self.vm => actions.push(Action::Elsewhere { waiter, vm }),
            _ => answer(waiter, Err(ticket_gone()), actions),
        }
    }

    fn key(&mut self, now: Instant, waiter: u64, call: &Call, actions: &mut Vec<Action>) {
        if self.handover.is_some() {
            self.redirect(waiter, self.successor(call.id), actions);
            return;
        }
        match self.claim_key(now, call.id) {
            Claim::Granted => {
                if self.claim(waiter, call, Stage::Claimed, None, actions) {
                    actions.push(Action::Run {
                        id: call.id,
                        waiter,
                    });
                }
            }
            Claim::Ask(homes) => {
                let stage = Stage::Sealing(homes.clone());
                if self.claim(waiter, call, stage, None, actions) {
                    let id = call.id;
                    actions.extend(homes.into_iter().map(|vm| Action::AskSeal { vm, id }));
                }
            }
            Claim::Elsewhere(vm) => actions.push(Action::Elsewhere { waiter, vm }),
            Claim::Doubt(delay) => answer(waiter, Err(in_doubt(delay)), actions),
        }
    }

    /// A key that was sealed here may be run only if who asked for the seal seals it too.
    fn claim_key(&self, now: Instant, id: Id) -> Claim {
        let claim = self.rights.claim(now, id);
        let Some(&(holder, _)) = self.seals.get(&id) else {
            return claim;
        };
        match claim {
            Claim::Granted => Claim::Ask(vec![holder]),
            Claim::Ask(mut homes) => {
                if !homes.contains(&holder) {
                    homes.push(holder);
                }
                Claim::Ask(homes)
            }
            other => other,
        }
    }

    /// Makes a record if there is room; answers the caller otherwise.
    fn claim(
        &mut self,
        waiter: u64,
        call: &Call,
        stage: Stage,
        expiry: Option<Instant>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.records.len() >= self.settings.records && !self.evict() {
            let refusal = match stage {
                Stage::Sealing(_) => in_doubt(FULL_RETRY),
                _ => Refusal::not_run(Reason::Overloaded, "the records are full")
                    .retry_after(FULL_RETRY),
            };
            answer(waiter, Err(refusal), actions);
            return false;
        }
        let mut record = Record::new(call.fingerprint, stage, waiter);
        record.expiry = expiry;
        self.records.insert(call.id, record);
        true
    }

    /// Drops the oldest finished ticket; its serial and all before are refused from now on.
    fn evict(&mut self) -> bool {
        let oldest = self.serials.iter().find(|(_, id)| {
            let record = self.records.get(id);
            record.is_some_and(|record| matches!(record.stage, Stage::Done(_)))
        });
        let Some((&serial, &id)) = oldest else {
            return false;
        };
        self.watermark = self.watermark.max(serial);
        self.serials.remove(&serial);
        self.remove(id);
        true
    }

    fn remove(&mut self, id: Id) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.bytes -= record.weight();
        if let Some(until) = record.until {
            self.expiries.remove(&(until, id));
        }
        Some(record)
    }

    fn set_stage(&mut self, id: Id, stage: Stage) {
        if let Some(record) = self.records.get_mut(&id) {
            self.bytes -= record.weight();
            record.stage = stage;
            self.bytes += record.weight();
        }
    }

    /// Gives a call up that was not sent.
    fn withdraw(&mut self, id: Id, refusal: &Refusal, actions: &mut Vec<Action>) {
        let Some(record) = self.remove(id) else {
            return;
        };
        self.serials.retain(|_, own| *own != id);
        for waiter in record.waiters {
            answer(waiter, Err(refusal.clone()), actions);
        }
    }

    fn done(&mut self, now: Instant, id: Id, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if !matches!(record.stage, Stage::Claimed | Stage::Sent) {
            return;
        }
        if let Err(refusal) = &outcome
            && refusal.verdict.is_repeatable()
        {
            let refusal = refusal.clone();
            self.withdraw(id, &refusal, actions);
            return;
        }
        for waiter in std::mem::take(&mut record.waiters) {
            answer(waiter, outcome.clone(), actions);
        }
        let kept = now + self.settings.window;
        let until = record.expiry.map_or(kept, |expiry| kept.max(expiry));
        self.finish(id, outcome, until);
    }

    fn finish(&mut self, id: Id, outcome: Outcome, until: Instant) {
        if let Some(record) = self.records.get_mut(&id) {
            record.until = Some(until);
        }
        self.expiries.insert((until, id));
        if outcome.is_ok() {
            self.answers.push_back(id);
        }
        self.set_stage(id, Stage::Done(outcome));
        self.shed();
    }

    /// Drops the oldest answers beyond the limit; their records stay.
    fn shed(&mut self) {
        while self.bytes > self.settings.bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            let record = self.records.get(&oldest);
            if record.is_some_and(|record| matches!(record.stage, Stage::Done(Ok(_)))) {
                self.set_stage(oldest, Stage::Done(Err(record::dropped())));
            }
        }
    }

    fn seal_query(
        &mut self,
        now: Instant,
        number: u64,
        vm: key::Vm,
        id: Id,
        actions: &mut Vec<Action>,
    ) {
        let age = self.rights.age(now);
        let seal = self.seal(now, vm, id);
        actions.push(Action::Seal { number, seal, age });
    }

    fn seal(&mut self, now: Instant, vm: key::Vm, id: Id) -> Seal {
        match self.records.get(&id).map(|record| &record.stage) {
            Some(Stage::Sealing(_)) => return Seal::Unknown,
            Some(_) => return Seal::Claimed,
            None => {}
        }
        let other = self.seals.get(&id).is_some_and(|(holder, _)| *holder != vm);
        let is_full = self.seals.len() >= self.settings.records;
        if other || is_full || self.handover.is_some() {
            return Seal::Unknown;
        }
        let until = now + self.rights.doubt_period();
        self.seals.insert(id, (vm, until));
        Seal::Sealed
    }

    fn sealed(
        &mut self,
        now: Instant,
        vm: key::Vm,
        id: Id,
        seal: Seal,
        age: Duration,
        actions: &mut Vec<Action>,
    ) {
        let doubt = self.rights.doubt_period();
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let Stage::Sealing(homes) = &mut record.stage else {
            return;
        };
        if !homes.contains(&vm) {
            return;
        }
        match seal {
            Seal::Sealed if age >= doubt => homes.retain(|&home| home != vm),
            Seal::Claimed => {
                let waiters = std::mem::take(&mut record.waiters);
                self.remove(id);
                actions.extend(
                    waiters
                        .into_iter()
                        .map(|waiter| Action::Elsewhere { waiter, vm }),
                );
                return;
            }
            _ => {
                self.withdraw(id, &in_doubt(doubt.saturating_sub(age)), actions);
                return;
            }
        }
        if homes.is_empty() {
            self.sealed_by_all(now, id, actions);
        }
    }

    fn sealed_by_all(&mut self, now: Instant, id: Id, actions: &mut Vec<Action>) {
        self.seals.remove(&id);
        let waiter = self
            .records
            .get(&id)
            .and_then(|r| r.waiters.first().copied());
        match waiter {
            Some(waiter) if self.handover.is_none() && self.keeps(now, id) => {
                self.set_stage(id, Stage::Claimed);
                actions.push(Action::Run { id, waiter });
            }
            _ => self.withdraw(id, &in_doubt(FULL_RETRY), actions),
        }
    }

    /// Takes records over from another VM; a record that is known here is kept.
    fn adopt(&mut self, now: Instant, vm: key::Vm, copies: Vec<Copy>) {
        for copy in copies {
            if self.records.contains_key(&copy.id) {
                continue;
            }
            let until = now + copy.retention;
            let stage = match &copy.state {
                State::Done(_) => Stage::Claimed,
                State::Elsewhere => Stage::Moved(vm),
            };
            let mut record = Record::new(copy.fingerprint, stage, 0);
            record.waiters.clear();
            record.until = Some(until);
            self.records.insert(copy.id, record);
            match copy.state {
                State::Done(outcome) => self.finish(copy.id, outcome, until),
                State::Elsewhere => {
                    self.expiries.insert((until, copy.id));
                }
            }
        }
    }

    /// Begins to hand over: calls are refused, each record goes to its next owner.
    fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.handover.is_some() {
            return;
        }
        let list = self.rights.list().cloned();
        let others = list.iter().flat_map(|list| list.vms().iter().copied());
        let mut offers: BTreeMap<_, _> = others
            .filter(|&vm| vm != self.vm)
            .map(|vm| (vm, Vec::new()))
            .collect();
        for (&id, record) in &self.records {
            let next = list.as_ref().and_then(|list| list.deputy(id, self.vm));
            if let Some(copies) = next.and_then(|vm| offers.get_mut(&vm)) {
                copies.push(record.copy(id, now, self.retention(record), true));
            }
        }
        let vms = offers.keys().map(|&vm| (vm, Handover::Offered));
        self.handover = Some(vms.collect());
        for (vm, records) in offers {
            actions.push(Action::Offer { vm, records });
        }
        self.finish_handover(actions);
    }

    fn accepted(&mut self, now: Instant, vm: key::Vm, accepted: bool, actions: &mut Vec<Action>) {
        // A later home may run a key that was sealed for it, and the next owner can't know.
        let settled = self.rights.is_settled(now) && self.seals.is_empty();
        let list = self.rights.list().map_or(0, |list| list.digest());
        let Some(handover) = &mut self.handover else {
            return;
        };
        let Some(state) = handover.get_mut(&vm) else {
            return;
        };
        if accepted && *state == Handover::Offered {
            *state = Handover::Committed;
            actions.push(Action::Commit { vm, list, settled });
            return;
        }
        *state = Handover::Over;
        let (ready, rest) = self.parked.iter().partition(|(_, to)| *to == vm);
        self.parked = rest;
        let redirect = |(waiter, vm)| Action::Elsewhere { waiter, vm };
        actions.extend(Vec::into_iter(ready).map(redirect));
        self.finish_handover(actions);
    }

    fn finish_handover(&self, actions: &mut Vec<Action>) {
        let handover = self.handover.iter().flatten();
        if handover
            .map(|(_, state)| state)
            .all(|state| *state == Handover::Over)
        {
            actions.push(Action::Stopped);
        }
    }

    /// Returns how long the next owner must remember a call: as long as it would run it.
    fn retention(&self, record: &Record) -> Duration {
        match record.expiry {
            Some(_) => self.settings.window.max(self.settings.ticket_lifetime),
            None => self.settings.window,
        }
    }

    fn successor(&self, id: Id) -> Option<key::Vm> {
        self.rights.list()?.deputy(id, self.vm)
    }

    /// Sends a caller to the next owner, once that one has taken over.
    fn redirect(&mut self, waiter: u64, vm: Option<key::Vm>, actions: &mut Vec<Action>) {
        let Some(vm) = vm else {
            answer(waiter, Err(in_doubt(FULL_RETRY)), actions);
            return;
        };
        let state = self.handover.as_ref().and_then(|vms| vms.get(&vm));
        if state.is_none_or(|state| *state == Handover::Over) {
            actions.push(Action::Elsewhere { waiter, vm });
        } else {
            self.parked.push((waiter, vm));
        }
    }

    fn reclaimed(
        &mut self,
        now: Instant,
        number: u64,
        vm: key::Vm,
        incarnation: u64,
        actions: &mut Vec<Action>,
    ) {
        let settled = self.handover.is_none() && self.rights.give_back(now, vm, incarnation);
        let list = self.rights.list().cloned();
        let is_returned = |id: Id| {
            list.as_ref().is_some_and(|list| {
                list.home(id) == Some(vm) && list.deputy(id, vm) == Some(self.vm)
            })
        };
        let records = self
            .records
            .iter()
            .filter(|(id, record)| record.expiry.is_none() && is_returned(**id))
            .map(|(&id, record)| record.copy(id, now, self.retention(record), false))
            .collect();
        actions.push(Action::Return {
            number,
            records,
            list: list.map_or(0, |list| list.digest()),
            settled,
        });
    }

    fn set_list(&mut self, now: Instant, vms: Vec<key::Vm>, actions: &mut Vec<Action>) {
        if self.handover.is_some() {
            // The next owners were chosen under the list at the stop.
            return;
        }
        let is_first = self.rights.list().is_none();
        self.rights.set_list(now, List::new(vms));
        if !is_first {
            return;
        }
        let list = self.rights.list().cloned();
        let others = list.iter().flat_map(|list| list.vms().iter().copied());
        let others = others.filter(|&vm| vm != self.vm);
        actions.extend(others.map(|vm| Action::Reclaim { vm }));
    }

    fn expire(&mut self, now: Instant) {
        self.rights.prune(now, self.settings.ticket_lifetime);
        self.seals.retain(|_, (_, until)| *until > now);
        while let Some(&(until, id)) = self.expiries.first() {
            if until > now {
                break;
            }
            self.expiries.pop_first();
            self.remove(id);
        }
        let records = &self.records;
        self.serials.retain(|_, id| records.contains_key(id));
    }

    /// Notes that this process slept if no event came for long.
    fn notice_pause(&mut self, now: Instant) {
        let slept = self.last_event.is_some_and(|last| now.since(last) > PAUSE);
        if slept {
            self.rights.doubt();
        }
        self.last_event = Some(now);
    }
}

impl Machine for Registry {
    type Action = Action;
    type Event = Event;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        match event {
            Event::List(vms) => self.set_list(now, vms, actions),
            Event::Confirmed => self.rights.confirm(now),
            Event::Call { waiter, call } => self.call(now, waiter, &call, actions),
            Event::Done { id, outcome } => self.done(now, id, outcome, actions),
            Event::SealQuery { number, vm, id } => {
                self.seal_query(now, number, vm, id, actions);
            }
            Event::Sealed { vm, id, seal, age } => {
                self.sealed(now, vm, id, seal, age, actions);
            }
            Event::Offered {
                vm,
                incarnation,
                records,
            } => {
                self.rights.offer(now, vm, incarnation);
                self.adopt(now, vm, records);
            }
            Event::Committed {
                vm,
                incarnation,
                list,
                settled,
            } => self.rights.commit(vm, incarnation, list, settled),
            Event::Reclaimed {
                number,
                vm,
                incarnation,
            } => self.reclaimed(now, number, vm, incarnation, actions),
            Event::Returned {
                vm,
                records,
                list,
                settled,
            } => {
                self.adopt(now, vm, records);
                if settled {
                    self.rights.take_back(now, vm, list);
                }
            }
            Event::Accepted { vm, accepted } => self.accepted(now, vm, accepted, actions),
            Event::Stop => self.stop(now, actions),
            Event::Tick => self.expire(now),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last_event.unwrap_or_default() + TICK)
    }
}

/// Has a caller join a call that is known here.
fn join(record: &mut Record, waiter: u64, call: &Call, actions: &mut Vec<Action>) {
    if record.fingerprint != call.fingerprint {
        answer(waiter, Err(conflict(&call.source)), actions);
        return;
    }
    match &record.stage {
        Stage::Done(outcome) => answer(waiter, outcome.clone(), actions),
        Stage::Moved(vm) => actions.push(Action::Elsewhere { waiter, vm: *vm }),
        _ => record.waiters.push(waiter),
    }
}

fn answer(waiter: u64, outcome: Outcome, actions: &mut Vec<Action>) {
    actions.push(Action::Answer { waiter, outcome });
}

fn conflict(source: &Source) -> Refusal {
    match source {
        Source::Ticket(_) => Refusal::not_run(
            Reason::BadTicket,
            "the ticket was used with another request",
        ),
        Source::Key => {
            Refusal::not_run(Reason::KeyConflict, "the key was used with another request")
        }
    }
}

fn in_doubt(delay: Duration) -> Refusal {
    Refusal::may_have_run(
        Reason::KeyInDoubt,
        "an earlier run of this key can't be excluded; use a ticket",
    )
    .retry_after(delay)
}

/// The answer for a ticket whose incarnation has ended without a handover.
pub fn ticket_gone() -> Refusal {
    Refusal::may_have_run(
        Reason::TicketVmGone,
        "the entry VM that issued the ticket is gone",
    )
}

/// Digest of what a call asks, to tell two calls with one key apart.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    use sha2::{Digest, Sha256};
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.finalize().into()
}
