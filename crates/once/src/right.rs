//! Decides whether this VM may run a call of a bare key, or of a ticket of a stopped VM.

use {
    crate::{Id, Ticket, VmList},
    base::{Instant, key},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Retry delay while the owner has yet to confirm its VM list or to get its keys back.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Whether this VM may run a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Claim {
    /// This VM may run it, and no other VM may.
    Granted,
    /// This VM may run it once these previous owners have sealed the key.
    QuerySeals(Vec<key::Vm>),
    /// This VM doesn't own the key; the one given does.
    Redirect(key::Vm),
    /// An earlier run can't be excluded; the caller may retry after this time.
    InDoubt(Duration),
}

/// What a stopping VM has handed over to this one.
#[derive(Debug)]
struct Takeover {
    incarnation: u64,
    /// Arrival of the first offer, which precedes the end of that incarnation and the next start.
    offered_at: Instant,
    /// The VM list that both VMs had in force; `None` until a commit with that list.
    list: Option<Arc<VmList>>,
    /// Whether the bare keys were handed over as well and have not been returned.
    includes_keys: bool,
}

/// The right of this VM to run calls.
///
/// An owner sends a call only if its VM list was confirmed within half a retention period, and a
/// successor acts for a stopped owner for at most half a retention period. So a VM that has seen
/// every list for one and a half retention periods knows every other VM that may have run a key
/// within the last retention period.
#[derive(Debug)]
pub(crate) struct Rights {
    vm: key::Vm,
    retention: Duration,
    /// The VM lists of this incarnation with their start times; the last one is in force.
    lists: Vec<(Instant, Arc<VmList>)>,
    /// Start of the period in which no list was missed; `None` before the first confirmation.
    history_start: Option<Instant>,
    confirmed_at: Instant,
    /// Whether the list must be confirmed before the next claim.
    needs_confirmation: bool,
    /// Successors that returned the keys of an earlier incarnation, with the time.
    returned_at: BTreeMap<key::Vm, Instant>,
    /// VMs that were asked to return keys and have not answered yet.
    pending_reclaims: BTreeSet<key::Vm>,
    /// Handovers to this VM, by stopping VM.
    takeovers: HashMap<key::Vm, Takeover>,
}

impl Rights {
    pub fn new(vm: key::Vm, retention: Duration) -> Self {
        Self {
            vm,
            retention,
            lists: Vec::new(),
            history_start: None,
            confirmed_at: Instant::default(),
            needs_confirmation: true,
            returned_at: BTreeMap::new(),
            pending_reclaims: BTreeSet::new(),
            takeovers: HashMap::new(),
        }
    }

    /// Returns the VM list in force.
    pub fn list(&self) -> Option<&Arc<VmList>> {
        self.lists.last().map(|(_, list)| list)
    }

    /// Puts a VM list into force; returns whether it differs from the previous one.
    pub fn set_list(&mut self, now: Instant, list: VmList) -> bool {
        if self.list().is_some_and(|known| **known == list) {
            return false;
        }
        self.lists.push((now, Arc::new(list)));
        self.needs_confirmation = true;
        self.returned_at.clear();
        true
    }

    /// Records that the list in force was confirmed as the newest one.
    pub fn confirm(&mut self, now: Instant) {
        let limit = self.retention / 2;
        let has_gap = now.since(self.confirmed_at) > limit;
        if has_gap || self.history_start.is_none() {
            // A list may have been in force in the meantime without being seen here.
            self.history_start = Some(now);
            self.returned_at.retain(|_, &mut at| now.since(at) <= limit);
        }
        self.confirmed_at = now;
        self.needs_confirmation = false;
    }

    /// Requires a confirmation of the list before the next claim, as after a process pause.
    pub fn require_confirmation(&mut self) {
        self.needs_confirmation = true;
    }

    /// Drops lists and takeovers that can no longer affect a claim.
    pub fn prune(&mut self, now: Instant, ticket_lifetime: Duration) {
        let in_doubt_period = self.in_doubt_period();
        while self.lists.len() > 1 && now.since(self.lists[1].0) > in_doubt_period {
            self.lists.remove(0);
        }
        let max_age = in_doubt_period.max(ticket_lifetime);
        self.takeovers
            .retain(|_, takeover| now.since(takeover.offered_at) <= max_age);
    }

    /// Returns the time for which this VM has seen every list.
    pub fn history_age(&self, now: Instant) -> Duration {
        self.history_start
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the time for which a run on another VM can't be excluded.
    pub fn in_doubt_period(&self) -> Duration {
        self.retention * 3 / 2
    }

    /// Returns whether the list was confirmed recently enough to send a call.
    fn is_confirmed(&self, now: Instant) -> bool {
        !self.needs_confirmation && now.since(self.confirmed_at) <= self.retention / 2
    }

    /// Decides whether this VM may run the call of a bare key.
    pub fn claim(&self, now: Instant, id: Id) -> Claim {
        let Some(list) = self.list() else {
            return Claim::InDoubt(CONFIRM_RETRY_DELAY);
        };
        let Some(owner) = list.owner(id) else {
            return Claim::InDoubt(CONFIRM_RETRY_DELAY);
        };
        let is_acting = owner != self.vm && self.is_acting_for(now, owner, id);
        if owner != self.vm && !is_acting {
            return Claim::Redirect(owner);
        }
        if !self.is_confirmed(now) {
            return Claim::InDoubt(CONFIRM_RETRY_DELAY);
        }
        if is_acting || self.is_key_returned(list, id) {
            return Claim::Granted;
        }
        let history_age = self.history_age(now);
        if history_age < self.in_doubt_period() && self.is_reclaim_pending(list, id) {
            return Claim::InDoubt(CONFIRM_RETRY_DELAY);
        }
        if history_age < self.in_doubt_period() {
            return Claim::InDoubt(self.in_doubt_period().saturating_sub(history_age));
        }
        match self.previous_owners(id) {
            previous if previous.is_empty() => Claim::Granted,
            previous => Claim::QuerySeals(previous),
        }
    }

    /// Returns whether this VM acts as successor of an owner that handed the key over to it.
    fn is_acting_for(&self, now: Instant, owner: key::Vm, id: Id) -> bool {
        let Some(takeover) = self.takeovers.get(&owner) else {
            return false;
        };
        let Some((since, list)) = self.lists.last() else {
            return false;
        };
        let is_same_list = takeover.list.as_ref().is_some_and(|known| known == list)
            && *since < takeover.offered_at;
        takeover.includes_keys
            && is_same_list
            && list.successor(id, owner) == Some(self.vm)
            && now.since(takeover.offered_at) < self.retention / 2
    }

    /// Returns whether the successor of a key has returned it to this VM.
    fn is_key_returned(&self, list: &VmList, id: Id) -> bool {
        let successor = list.successor(id, self.vm);
        successor.is_some_and(|successor| self.returned_at.contains_key(&successor))
    }

    /// Returns whether the successor of a key has yet to answer the reclaim.
    fn is_reclaim_pending(&self, list: &VmList, id: Id) -> bool {
        let successor = list.successor(id, self.vm);
        successor.is_some_and(|successor| self.pending_reclaims.contains(&successor))
    }

    /// Returns the owners of a key under earlier lists that did not hand it over to this VM.
    fn previous_owners(&self, id: Id) -> Vec<key::Vm> {
        let mut owners = BTreeSet::new();
        for pair in self.lists.windows(2) {
            let [(_, list), (end, _)] = pair else {
                continue;
            };
            let owner = list.owner(id).filter(|&owner| owner != self.vm);
            owners.extend(owner.filter(|&owner| !self.was_transferred(list, *end, owner, id)));
        }
        owners.into_iter().collect()
    }

    /// Returns whether a key was handed over to this VM while `list` was in force, until `end`.
    fn was_transferred(&self, list: &Arc<VmList>, end: Instant, owner: key::Vm, id: Id) -> bool {
        let Some(takeover) = self.takeovers.get(&owner) else {
            return false;
        };
        takeover.includes_keys
            && takeover.list.as_ref() == Some(list)
            && list.successor(id, owner) == Some(self.vm)
            && end.since(takeover.offered_at) < self.retention / 2
    }

    /// Returns whether none of this VM's keys is in doubt, so that they can be handed over.
    pub fn can_transfer_keys(&self, now: Instant) -> bool {
        let [(since, _)] = &*self.lists else {
            return false;
        };
        let in_doubt_period = self.in_doubt_period();
        self.is_confirmed(now)
            && self.history_age(now) >= in_doubt_period
            && now.since(*since) >= in_doubt_period
    }

    /// Records the first offer of a stopping VM.
    pub fn record_offer(&mut self, now: Instant, vm: key::Vm, incarnation: u64) {
        let known = self.takeovers.get(&vm);
        if known.is_some_and(|takeover| takeover.incarnation >= incarnation) {
            return;
        }
        let takeover = Takeover {
            incarnation,
            offered_at: now,
            list: None,
            includes_keys: false,
        };
        self.takeovers.insert(vm, takeover);
    }

    /// Completes the handover of a VM whose records were offered before.
    pub fn commit(&mut self, vm: key::Vm, incarnation: u64, digest: u64, includes_keys: bool) {
        let list = self.list().filter(|list| list.digest() == digest).cloned();
        let Some(takeover) = self.takeovers.get_mut(&vm) else {
            return;
        };
        if takeover.incarnation == incarnation && takeover.list.is_none() {
            takeover.includes_keys = includes_keys && list.is_some();
            takeover.list = list;
        }
    }

    /// Gives up the keys of a stopped VM; returns whether its new incarnation may rely on that.
    pub fn return_keys(&mut self, now: Instant, vm: key::Vm, incarnation: u64) -> bool {
        let since = self.lists.last().map(|(since, _)| *since);
        let Some(takeover) = self.takeovers.get_mut(&vm) else {
            return false;
        };
        let is_later = incarnation > takeover.incarnation;
        let is_current = since.is_some_and(|since| since < takeover.offered_at)
            && now.since(takeover.offered_at) < self.retention / 2;
        let had_keys = std::mem::take(&mut takeover.includes_keys);
        had_keys && is_later && is_current
    }

    /// Records that a VM is asked to return the keys of an earlier incarnation.
    pub fn start_reclaim(&mut self, vm: key::Vm) {
        self.pending_reclaims.insert(vm);
    }

    /// Handles the answer of a VM that was asked to return keys.
    pub fn finish_reclaim(&mut self, now: Instant, vm: key::Vm, digest: u64, includes_keys: bool) {
        self.pending_reclaims.remove(&vm);
        if includes_keys && self.list().is_some_and(|list| list.digest() == digest) {
            self.returned_at.insert(vm, now);
        }
    }

    /// Returns whether this VM took a ticket over from the stopped incarnation that issued it.
    pub fn owns_ticket(&self, now: Instant, ticket: &Ticket, lifetime: Duration) -> bool {
        let Some(takeover) = self.takeovers.get(&ticket.vm) else {
            return false;
        };
        let Some(list) = &takeover.list else {
            return false;
        };
        takeover.incarnation == ticket.incarnation
            && list.successor(ticket.id(), ticket.vm) == Some(self.vm)
            && now.since(takeover.offered_at) < lifetime
    }
}
