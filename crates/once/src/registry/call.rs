//! Handling of incoming calls, with a ticket or a bare key.

use {
    super::{RETRY_DELAY, Registry, answer, in_doubt, ticket_vm_gone},
    crate::{
        Action, Call, Id, Source, Ticket,
        record::{Record, Stage},
        right::Claim,
    },
    base::{Instant, Reason, Refusal},
};

impl Registry {
    pub(super) fn handle_call(
        &mut self,
        now: Instant,
        waiter: u64,
        call: &Call,
        actions: &mut Vec<Action>,
    ) {
        if let Some(record) = self.records.get_mut(&call.id) {
            join(record, waiter, call, actions);
            return;
        }
        match &call.source {
            Source::Ticket(ticket) => self.handle_ticket(now, waiter, call, ticket, actions),
            Source::Key => self.handle_key(now, waiter, call, actions),
        }
    }

    fn handle_ticket(
        &mut self,
        now: Instant,
        waiter: u64,
        call: &Call,
        ticket: &Ticket,
        actions: &mut Vec<Action>,
    ) {
        let is_own = ticket.vm == self.vm && ticket.incarnation == self.incarnation;
        let lifetime = self.settings.ticket_lifetime;
        let is_taken_over = !is_own && self.rights.owns_ticket(now, ticket, lifetime);
        if !is_own && !is_taken_over {
            self.handle_unowned_ticket(waiter, call, ticket, actions);
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
        if !self.try_insert(waiter, call, Stage::Claimed, Some(expiry), actions) {
            return;
        }
        if is_own {
            self.set_serial(call.id, ticket.serial);
        }
        actions.push(Action::Run {
            id: call.id,
            waiter,
        });
    }

    fn set_serial(&mut self, id: Id, serial: u64) {
        self.serials.insert(serial, id);
        if let Some(record) = self.records.get_mut(&id) {
            record.serial = Some(serial);
        }
    }

    /// Redirects or refuses a ticket that this incarnation neither issued nor took over.
    fn handle_unowned_ticket(
        &self,
        waiter: u64,
        call: &Call,
        ticket: &Ticket,
        actions: &mut Vec<Action>,
    ) {
        let list = self.rights.list();
        let successor = list.and_then(|list| list.successor(call.id, ticket.vm));
        match successor {
            Some(vm) if vm != self.vm => actions.push(Action::Redirect { waiter, vm }),
            _ => answer(waiter, Err(ticket_vm_gone()), actions),
        }
    }

    fn handle_key(&mut self, now: Instant, waiter: u64, call: &Call, actions: &mut Vec<Action>) {
        if self.handover.is_some() {
            self.redirect(waiter, self.successor(call.id), actions);
            return;
        }
        match self.claim_key(now, call.id) {
            Claim::Granted => {
                if self.try_insert(waiter, call, Stage::Claimed, None, actions) {
                    actions.push(Action::Run {
                        id: call.id,
                        waiter,
                    });
                }
            }
            Claim::QuerySeals(owners) => {
                let stage = Stage::Sealing(owners.clone());
                if self.try_insert(waiter, call, stage, None, actions) {
                    let id = call.id;
                    actions.extend(owners.into_iter().map(|vm| Action::QuerySeal { vm, id }));
                }
            }
            Claim::Redirect(vm) => actions.push(Action::Redirect { waiter, vm }),
            Claim::InDoubt(delay) => answer(waiter, Err(in_doubt(delay)), actions),
        }
    }

    /// Claims a key; one that is sealed here has to be sealed by the holder of the seal as well.
    fn claim_key(&self, now: Instant, id: Id) -> Claim {
        let claim = self.rights.claim(now, id);
        let Some(&(holder, _)) = self.seals.get(&id) else {
            return claim;
        };
        match claim {
            Claim::Granted => Claim::QuerySeals(vec![holder]),
            Claim::QuerySeals(mut owners) => {
                if !owners.contains(&holder) {
                    owners.push(holder);
                }
                Claim::QuerySeals(owners)
            }
            other => other,
        }
    }

    /// Inserts a record if there is room; refuses the call otherwise.
    fn try_insert(
        &mut self,
        waiter: u64,
        call: &Call,
        stage: Stage,
        expiry: Option<Instant>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.records.len() >= self.settings.max_records && !self.evict_oldest_ticket() {
            let refusal = match stage {
                Stage::Sealing(_) => in_doubt(RETRY_DELAY),
                _ => Refusal::not_run(Reason::Overloaded, "the records are full")
                    .retry_after(RETRY_DELAY),
            };
            answer(waiter, Err(refusal), actions);
            return false;
        }
        let mut record = Record::new(call.fingerprint, stage, waiter);
        record.ticket_expiry = expiry;
        self.records.insert(call.id, record);
        true
    }
}

/// Answers a duplicate call from the record, or adds the caller to its waiters.
fn join(record: &mut Record, waiter: u64, call: &Call, actions: &mut Vec<Action>) {
    if record.fingerprint != call.fingerprint {
        answer(waiter, Err(conflict_refusal(&call.source)), actions);
        return;
    }
    match &record.stage {
        Stage::Done(outcome) => answer(waiter, outcome.clone(), actions),
        Stage::Moved(vm) => actions.push(Action::Redirect { waiter, vm: *vm }),
        _ => record.waiters.push(waiter),
    }
}

fn conflict_refusal(source: &Source) -> Refusal {
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
