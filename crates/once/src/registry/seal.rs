//! Seals: the previous owners of a key that moved with a new VM list refuse it from then on.

use {
    super::{RETRY_DELAY, Registry, in_doubt},
    crate::{Action, Id, SealState, record::Stage},
    base::{Instant, key},
    std::time::Duration,
};

impl Registry {
    pub(super) fn handle_seal_query(
        &mut self,
        now: Instant,
        request_id: u64,
        vm: key::Vm,
        id: Id,
        actions: &mut Vec<Action>,
    ) {
        let history_age = self.rights.history_age(now);
        let state = self.try_seal(now, vm, id);
        actions.push(Action::ReplySeal {
            request_id,
            state,
            history_age,
        });
    }

    fn try_seal(&mut self, now: Instant, vm: key::Vm, id: Id) -> SealState {
        match self.records.get(&id).map(|record| &record.stage) {
            Some(Stage::Sealing(_)) => return SealState::Unknown,
            Some(_) => return SealState::Claimed,
            None => {}
        }
        let is_held_by_other = self.seals.get(&id).is_some_and(|(holder, _)| *holder != vm);
        let is_full = self.seals.len() >= self.settings.max_records;
        if is_held_by_other || is_full || self.handover.is_some() {
            return SealState::Unknown;
        }
        let expires_at = now + self.rights.in_doubt_period();
        self.seals.insert(id, (vm, expires_at));
        SealState::Sealed
    }

    pub(super) fn handle_seal_reply(
        &mut self,
        now: Instant,
        vm: key::Vm,
        id: Id,
        state: SealState,
        history_age: Duration,
        actions: &mut Vec<Action>,
    ) {
        let in_doubt_period = self.rights.in_doubt_period();
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let Stage::Sealing(owners) = &mut record.stage else {
            return;
        };
        if !owners.contains(&vm) {
            return;
        }
        match state {
            SealState::Sealed if history_age >= in_doubt_period => {
                owners.retain(|&owner| owner != vm);
            }
            SealState::Claimed => {
                let waiters = std::mem::take(&mut record.waiters);
                self.remove(id);
                actions.extend(
                    waiters
                        .into_iter()
                        .map(|waiter| Action::Redirect { waiter, vm }),
                );
                return;
            }
            _ => {
                self.abort(
                    id,
                    &in_doubt(in_doubt_period.saturating_sub(history_age)),
                    actions,
                );
                return;
            }
        }
        if owners.is_empty() {
            self.finish_sealing(now, id, actions);
        }
    }

    fn finish_sealing(&mut self, now: Instant, id: Id, actions: &mut Vec<Action>) {
        self.seals.remove(&id);
        let waiter = self
            .records
            .get(&id)
            .and_then(|record| record.waiters.first().copied());
        match waiter {
            Some(waiter) if self.handover.is_none() && self.still_owns(now, id) => {
                self.set_stage(id, Stage::Claimed);
                actions.push(Action::Run { id, waiter });
            }
            _ => self.abort(id, &in_doubt(RETRY_DELAY), actions),
        }
    }
}
