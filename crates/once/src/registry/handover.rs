//! Handover of records and keys to other entry VMs in a planned stop, and their return.

use {
    super::{RETRY_DELAY, Registry, answer, in_doubt},
    crate::{
        Action, Id, Replica,
        record::{Record, Stage, State},
    },
    base::{Instant, key},
    std::{collections::BTreeMap, time::Duration},
};

/// Progress of the handover to one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Handover {
    /// The records were offered.
    Offered,
    /// The offer was accepted and the commit sent.
    Committed,
    /// The commit was accepted, or the handover failed.
    Done,
}

impl Registry {
    /// Adopts records of another VM; a record that exists here is kept instead.
    pub(super) fn adopt(&mut self, now: Instant, vm: key::Vm, replicas: Vec<Replica>) {
        for replica in replicas {
            if self.records.contains_key(&replica.id) {
                continue;
            }
            let expires_at = now + replica.retention;
            let stage = match &replica.state {
                // Replaced by `finish` below.
                State::Done(_) => Stage::Claimed,
                State::HeldBySender => Stage::Moved(vm),
            };
            let mut record = Record::new(replica.fingerprint, stage, 0);
            record.waiters.clear();
            record.expires_at = Some(expires_at);
            self.records.insert(replica.id, record);
            match replica.state {
                State::Done(outcome) => self.finish(replica.id, outcome, expires_at),
                State::HeldBySender => {
                    self.expiries.insert((expires_at, replica.id));
                }
            }
        }
    }

    /// Starts the handover: offers each record to its successor, and redirects calls from now on.
    pub(super) fn start_handover(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.handover.is_some() {
            return;
        }
        let list = self.rights.list().cloned();
        let vms = list.iter().flat_map(|list| list.vms().iter().copied());
        let mut offers: BTreeMap<_, _> = vms
            .filter(|&vm| vm != self.vm)
            .map(|vm| (vm, Vec::new()))
            .collect();
        for (&id, record) in &self.records {
            let successor = list.as_ref().and_then(|list| list.successor(id, self.vm));
            if let Some(replicas) = successor.and_then(|vm| offers.get_mut(&vm)) {
                replicas.push(record.replica(id, now, self.retention(record), true));
            }
        }
        let states = offers.keys().map(|&vm| (vm, Handover::Offered));
        self.handover = Some(states.collect());
        for (vm, records) in offers {
            actions.push(Action::Offer { vm, records });
        }
        self.finish_handover(actions);
    }

    pub(super) fn handle_handover_reply(
        &mut self,
        now: Instant,
        vm: key::Vm,
        accepted: bool,
        actions: &mut Vec<Action>,
    ) {
        // A key that was sealed here may be run by its new owner, which the successor can't know.
        let includes_keys = self.rights.can_transfer_keys(now) && self.seals.is_empty();
        let list_digest = self.rights.list().map_or(0, |list| list.digest());
        let Some(handover) = &mut self.handover else {
            return;
        };
        let Some(state) = handover.get_mut(&vm) else {
            return;
        };
        if accepted && *state == Handover::Offered {
            *state = Handover::Committed;
            actions.push(Action::Commit {
                vm,
                list_digest,
                includes_keys,
            });
            return;
        }
        *state = Handover::Done;
        let (released, rest) = self
            .deferred_redirects
            .iter()
            .partition(|(_, to)| *to == vm);
        self.deferred_redirects = rest;
        let redirect = |(waiter, vm)| Action::Redirect { waiter, vm };
        actions.extend(Vec::into_iter(released).map(redirect));
        self.finish_handover(actions);
    }

    fn finish_handover(&self, actions: &mut Vec<Action>) {
        let handover = self.handover.iter().flatten();
        if handover
            .map(|(_, state)| state)
            .all(|state| *state == Handover::Done)
        {
            actions.push(Action::HandoverDone);
        }
    }

    /// Returns how long the successor must keep a record: at least as long as it may run the call.
    fn retention(&self, record: &Record) -> Duration {
        match record.ticket_expiry {
            Some(_) => self.settings.retention.max(self.settings.ticket_lifetime),
            None => self.settings.retention,
        }
    }

    pub(super) fn successor(&self, id: Id) -> Option<key::Vm> {
        self.rights.list()?.successor(id, self.vm)
    }

    /// Redirects a caller to a successor, once the handover to that one has ended.
    pub(super) fn redirect(&mut self, waiter: u64, vm: Option<key::Vm>, actions: &mut Vec<Action>) {
        let Some(vm) = vm else {
            answer(waiter, Err(in_doubt(RETRY_DELAY)), actions);
            return;
        };
        let state = self.handover.as_ref().and_then(|vms| vms.get(&vm));
        if state.is_none_or(|state| *state == Handover::Done) {
            actions.push(Action::Redirect { waiter, vm });
        } else {
            self.deferred_redirects.push((waiter, vm));
        }
    }

    pub(super) fn handle_reclaim_query(
        &mut self,
        now: Instant,
        request_id: u64,
        vm: key::Vm,
        incarnation: u64,
        actions: &mut Vec<Action>,
    ) {
        let includes_keys =
            self.handover.is_none() && self.rights.return_keys(now, vm, incarnation);
        let list = self.rights.list().cloned();
        let is_returned = |id: Id| {
            list.as_ref().is_some_and(|list| {
                list.owner(id) == Some(vm) && list.successor(id, vm) == Some(self.vm)
            })
        };
        let records = self
            .records
            .iter()
            .filter(|(id, record)| record.ticket_expiry.is_none() && is_returned(**id))
            .map(|(&id, record)| record.replica(id, now, self.retention(record), false))
            .collect();
        actions.push(Action::Return {
            request_id,
            records,
            list_digest: list.map_or(0, |list| list.digest()),
            includes_keys,
        });
    }
}
