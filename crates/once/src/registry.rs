//! The registry of calls of one entry VM: a state machine that runs each call at most once.

mod call;
mod handover;
mod seal;

use {
    crate::{
        Action, Call, Event, Id, Outcome, Settings, Source, Ticket, VmList,
        record::{self, Fingerprint, Record, Stage},
        right::{Claim, Rights},
    },
    base::{Instant, Machine, Reason, Refusal, key},
    handover::Handover,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Time between two events beyond which the process is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Maximum time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of all records, adopted ones included, as a multiple of the limit for new ones.
const ADOPTED_FACTOR: usize = 2;
/// Retry delay for refusals that are expected to pass soon.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The records of one incarnation of an entry VM, and its right to run calls.
#[derive(Debug)]
pub struct Registry {
    vm: key::Vm,
    incarnation: u64,
    settings: Settings,
    rights: Rights,
    records: HashMap<Id, Record>,
    /// Expiry times of the records that may be dropped.
    expiries: BTreeSet<(Instant, Id)>,
    /// Calls that ended with a reply, oldest first; their records may have been removed since.
    replies: VecDeque<Id>,
    /// Total size of the replies in the records.
    reply_bytes: usize,
    /// Records of the tickets that this incarnation issued, by serial number.
    serials: BTreeMap<u64, Id>,
    next_serial: u64,
    /// Highest serial number evicted; tickets up to it are refused unless they have a record.
    watermark: u64,
    /// Sealed keys, with the VM that asked for the seal and the end of the seal.
    seals: HashMap<Id, (key::Vm, Instant)>,
    /// Handover of the planned stop, by receiving VM; new calls are redirected once it has begun.
    handover: Option<BTreeMap<key::Vm, Handover>>,
    /// Callers to be redirected to a VM once the handover to it has ended.
    deferred_redirects: Vec<(u64, key::Vm)>,
    last_event_at: Option<Instant>,
}

impl Registry {
    /// Creates the empty registry of a new incarnation.
    pub fn new(vm: key::Vm, incarnation: u64, settings: Settings) -> Self {
        Self {
            vm,
            incarnation,
            rights: Rights::new(vm, settings.retention),
            settings,
            records: HashMap::new(),
            expiries: BTreeSet::new(),
            replies: VecDeque::new(),
            reply_bytes: 0,
            serials: BTreeMap::new(),
            next_serial: 1,
            watermark: 0,
            seals: HashMap::new(),
            handover: None,
            deferred_redirects: Vec::new(),
            last_event_at: None,
        }
    }

    /// Issues a ticket.
    ///
    /// # Errors
    /// Returns a refusal once the handover of a planned stop has begun.
    pub fn issue(&mut self, now: Instant, customer: key::Customer) -> Result<Ticket, Refusal> {
        if self.handover.is_some() {
            let refusal = Refusal::not_run(Reason::NotReady, "this entry VM is leaving");
            return Err(refusal.retry_after(RETRY_DELAY));
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

    /// Returns the entry VMs that may own a call, the most likely one first.
    pub fn owners(&self, call: &Call) -> Vec<key::Vm> {
        let list = self.rights.list();
        let owner = match &call.source {
            Source::Ticket(ticket) => Some(ticket.vm),
            Source::Key => list.and_then(|list| list.owner(call.id)),
        };
        let successor = owner.and_then(|owner| list?.successor(call.id, owner));
        owner.into_iter().chain(successor).collect()
    }

    /// Returns whether `count` records of another VM can be adopted.
    pub fn has_room(&self, count: usize) -> bool {
        let limit = self.settings.max_records.saturating_mul(ADOPTED_FACTOR);
        self.handover.is_none() && self.records.len() + count <= limit
    }

    /// Returns whether a VM list differs from the one in force here.
    pub fn is_other_list(&self, vms: &[key::Vm]) -> bool {
        let list = VmList::new(vms.iter().copied());
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

    /// Returns whether a call named by [`Action::Run`] may be sent now; must precede each send.
    ///
    /// If not, the callers are answered through `actions` and the call must not be sent.
    pub fn permit(&mut self, now: Instant, id: Id, actions: &mut Vec<Action>) -> bool {
        self.detect_pause(now);
        let Some(record) = self.records.get(&id) else {
            return false;
        };
        let is_unfinished = matches!(record.stage, Stage::Claimed | Stage::Sent);
        let is_ticket = record.ticket_expiry.is_some();
        let has_right = is_ticket || self.still_owns(now, id);
        if is_unfinished && has_right && self.handover.is_none() {
            self.set_stage(id, Stage::Sent);
            return true;
        }
        if is_unfinished {
            self.abort(id, &in_doubt(RETRY_DELAY), actions);
        }
        false
    }

    /// Returns whether this VM may still run a claimed key.
    fn still_owns(&self, now: Instant, id: Id) -> bool {
        !self.seals.contains_key(&id)
            && matches!(
                self.rights.claim(now, id),
                Claim::Granted | Claim::QuerySeals(_)
            )
    }

    /// Drops the oldest finished ticket; its serial number and all lower ones are then refused.
    fn evict_oldest_ticket(&mut self) -> bool {
        let oldest = self.serials.iter().find(|(_, id)| {
            let record = self.records.get(id);
            record.is_some_and(|record| matches!(record.stage, Stage::Done(_)))
        });
        let Some((&serial, &id)) = oldest else {
            return false;
        };
        self.watermark = self.watermark.max(serial);
        self.remove(id);
        true
    }

    fn remove(&mut self, id: Id) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.reply_bytes -= record.reply_size();
        if let Some(expires_at) = record.expires_at {
            self.expiries.remove(&(expires_at, id));
        }
        if let Some(serial) = record.serial {
            self.serials.remove(&serial);
        }
        Some(record)
    }

    fn set_stage(&mut self, id: Id, stage: Stage) {
        if let Some(record) = self.records.get_mut(&id) {
            self.reply_bytes -= record.reply_size();
            record.stage = stage;
            self.reply_bytes += record.reply_size();
        }
    }

    /// Drops the record of a call that was not run, and answers its callers.
    fn abort(&mut self, id: Id, refusal: &Refusal, actions: &mut Vec<Action>) {
        let Some(record) = self.remove(id) else {
            return;
        };
        for waiter in record.waiters {
            answer(waiter, Err(refusal.clone()), actions);
        }
    }

    fn complete(&mut self, now: Instant, id: Id, outcome: Outcome, actions: &mut Vec<Action>) {
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
            self.abort(id, &refusal, actions);
            return;
        }
        for waiter in std::mem::take(&mut record.waiters) {
            answer(waiter, outcome.clone(), actions);
        }
        let retained_until = now + self.settings.retention;
        let expires_at = record
            .ticket_expiry
            .map_or(retained_until, |expiry| retained_until.max(expiry));
        self.finish(id, outcome, expires_at);
    }

    fn finish(&mut self, id: Id, outcome: Outcome, expires_at: Instant) {
        if let Some(record) = self.records.get_mut(&id) {
            record.expires_at = Some(expires_at);
        }
        self.expiries.insert((expires_at, id));
        if outcome.is_ok() {
            self.replies.push_back(id);
        }
        self.set_stage(id, Stage::Done(outcome));
        self.drop_oldest_replies();
    }

    /// Drops the oldest replies beyond the size limit; their records stay.
    fn drop_oldest_replies(&mut self) {
        while self.reply_bytes > self.settings.max_reply_bytes {
            let Some(oldest) = self.replies.pop_front() else {
                return;
            };
            let record = self.records.get(&oldest);
            if record.is_some_and(|record| matches!(record.stage, Stage::Done(Ok(_)))) {
                self.set_stage(oldest, Stage::Done(Err(record::reply_dropped())));
            }
        }
    }

    fn set_list(&mut self, now: Instant, vms: Vec<key::Vm>, actions: &mut Vec<Action>) {
        if self.handover.is_some() {
            // The successors were chosen by the list in force when the handover began.
            return;
        }
        let is_first = self.rights.list().is_none();
        self.rights.set_list(now, VmList::new(vms));
        if !is_first {
            return;
        }
        let list = self.rights.list().cloned();
        let vms = list.iter().flat_map(|list| list.vms().iter().copied());
        for vm in vms.filter(|&vm| vm != self.vm) {
            self.rights.start_reclaim(vm);
            actions.push(Action::Reclaim { vm });
        }
    }

    fn expire(&mut self, now: Instant) {
        self.rights.prune(now, self.settings.ticket_lifetime);
        self.seals.retain(|_, (_, expires_at)| *expires_at > now);
        while let Some(&(expires_at, id)) = self.expiries.first() {
            if expires_at > now {
                return;
            }
            self.expiries.pop_first();
            self.remove(id);
        }
    }

    /// Requires the VM list to be confirmed again if the process has been paused.
    fn detect_pause(&mut self, now: Instant) {
        let has_paused = self
            .last_event_at
            .is_some_and(|last| now.since(last) > PAUSE_THRESHOLD);
        if has_paused {
            self.rights.require_confirmation();
        }
        self.last_event_at = Some(now);
    }
}

impl Machine for Registry {
    type Action = Action;
    type Event = Event;

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        match event {
            Event::VmList(vms) => self.set_list(now, vms, actions),
            Event::VmListConfirmed => self.rights.confirm(now),
            Event::Call { waiter, call } => self.handle_call(now, waiter, &call, actions),
            Event::Done { id, outcome } => self.complete(now, id, outcome, actions),
            Event::SealQuery { request_id, vm, id } => {
                self.handle_seal_query(now, request_id, vm, id, actions);
            }
            Event::SealReply {
                vm,
                id,
                state,
                history_age,
            } => {
                self.handle_seal_reply(now, vm, id, state, history_age, actions);
            }
            Event::Offered {
                vm,
                incarnation,
                records,
            } => {
                self.rights.record_offer(now, vm, incarnation);
                self.adopt(now, vm, records);
            }
            Event::Committed {
                vm,
                incarnation,
                list_digest,
                includes_keys,
            } => self
                .rights
                .commit(vm, incarnation, list_digest, includes_keys),
            Event::ReclaimQuery {
                request_id,
                vm,
                incarnation,
            } => self.handle_reclaim_query(now, request_id, vm, incarnation, actions),
            Event::Returned {
                vm,
                records,
                list_digest,
                includes_keys,
            } => {
                self.adopt(now, vm, records);
                self.rights
                    .finish_reclaim(now, vm, list_digest, includes_keys);
            }
            Event::HandoverReply { vm, accepted } => {
                self.handle_handover_reply(now, vm, accepted, actions);
            }
            Event::StartHandover => self.start_handover(now, actions),
            Event::Tick => self.expire(now),
        }
    }

    fn next_timeout(&self) -> Option<Instant> {
        Some(self.last_event_at.unwrap_or_default() + TICK_INTERVAL)
    }
}

fn answer(waiter: u64, outcome: Outcome, actions: &mut Vec<Action>) {
    actions.push(Action::Answer { waiter, outcome });
}

fn in_doubt(delay: Duration) -> Refusal {
    Refusal::may_have_run(
        Reason::KeyInDoubt,
        "an earlier run of this key can't be excluded; use a ticket",
    )
    .retry_after(delay)
}

/// The refusal for a ticket whose incarnation has ended without a handover.
pub fn ticket_vm_gone() -> Refusal {
    Refusal::may_have_run(
        Reason::TicketVmGone,
        "the entry VM that issued the ticket is gone",
    )
}

/// Returns the digest of a request's parts, each prefixed by its length.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    use sha2::{Digest, Sha256};
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.finalize().into()
}
