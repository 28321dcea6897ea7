//! Seals: a key that moved with a new list is refused by its earlier homes.

use {
    super::{FULL_RETRY, Registry, in_doubt},
    crate::{Action, Id, SealState, record::Stage},
    base::{Instant, key},
    std::time::Duration,
};

impl Registry {
    pub(super) fn seal_query(
        &mut self,
        now: Instant,
        request_id: u64,
        vm: key::Vm,
        id: Id,
        actions: &mut Vec<Action>,
    ) {
        let history_age = self.rights.history_age(now);
        let state = self.seal(now, vm, id);
        actions.push(Action::ReplySeal {
            request_id,
            state,
            history_age,
        });
    }

    fn seal(&mut self, now: Instant, vm: key::Vm, id: Id) -> SealState {
        match self.records.get(&id).map(|record| &record.stage) {
            Some(Stage::Sealing(_)) => return SealState::Unknown,
            Some(_) => return SealState::Claimed,
            None => {}
        }
        let other = self.seals.get(&id).is_some_and(|(holder, _)| *holder != vm);
        let is_full = self.seals.len() >= self.settings.max_records;
        if other || is_full || self.handover.is_some() {
            return SealState::Unknown;
        }
        let until = now + self.rights.doubt_period();
        self.seals.insert(id, (vm, until));
        SealState::Sealed
    }

    pub(super) fn sealed(
        &mut self,
        now: Instant,
        vm: key::Vm,
        id: Id,
        state: SealState,
        history_age: Duration,
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
        match state {
            SealState::Sealed if history_age >= doubt => homes.retain(|&home| home != vm),
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
                self.withdraw(id, &in_doubt(doubt.saturating_sub(history_age)), actions);
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
}
