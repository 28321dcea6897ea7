//! Who may run a call of a bare key, or a ticket of a VM that has stopped.

use {
    crate::{Id, Ticket, VmList},
    base::{Instant, key},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Wait for a home that has not confirmed its list yet.
const CONFIRM_RETRY: Duration = Duration::from_secs(1);

/// Whether this VM may run a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Claim {
    /// It may, and nobody else.
    Granted,
    /// It may once these earlier homes have sealed the key.
    Ask(Vec<key::Vm>),
    /// Another entry VM is to be asked.
    Elsewhere(key::Vm),
    /// It can't exclude an earlier run; when to come back.
    Doubt(Duration),
}

/// What a VM in a planned stop has passed to this one.
#[derive(Debug)]
struct Held {
    incarnation: u64,
    /// When its first offer came, which was before its end and its next incarnation.
    offered: Instant,
    /// The list that both went by; `None` while the rights have not passed.
    list: Option<Arc<VmList>>,
    /// Whether the rights to bare keys passed too and were not given back.
    keys: bool,
}

/// What this VM may run.
///
/// A home's list is confirmed at most half a window ago when it sends a call, and a deputy acts for
/// half a window. So a VM that has seen every list for one and a half windows knows each call of the
/// last window that could have been sent elsewhere.
#[derive(Debug)]
pub(crate) struct Rights {
    vm: key::Vm,
    window: Duration,
    /// The lists of this incarnation with the time since when; the last one is in force.
    lists: Vec<(Instant, Arc<VmList>)>,
    /// Since when every list was seen; `None` before the first confirmation.
    attentive: Option<Instant>,
    confirmed: Instant,
    /// Whether the list must be confirmed before the next claim.
    stale: bool,
    /// Deputies that gave back the rights of an earlier incarnation.
    returned: BTreeMap<key::Vm, Instant>,
    /// Deputies that were asked for them and have not answered yet.
    asked: BTreeSet<key::Vm>,
    held: HashMap<key::Vm, Held>,
}

impl Rights {
    pub fn new(vm: key::Vm, window: Duration) -> Self {
        Self {
            vm,
            window,
            lists: Vec::new(),
            attentive: None,
            confirmed: Instant::default(),
            stale: true,
            returned: BTreeMap::new(),
            asked: BTreeSet::new(),
            held: HashMap::new(),
        }
    }

    /// Returns the list in force.
    pub fn list(&self) -> Option<&Arc<VmList>> {
        self.lists.last().map(|(_, list)| list)
    }

    /// Brings a list into force; returns whether it differs from the last one.
    pub fn set_list(&mut self, now: Instant, list: VmList) -> bool {
        if self.list().is_some_and(|known| **known == list) {
            return false;
        }
        self.lists.push((now, Arc::new(list)));
        self.stale = true;
        self.returned.clear();
        true
    }

    /// Notes that no newer list is in force anywhere.
    pub fn confirm(&mut self, now: Instant) {
        let limit = self.window / 2;
        let gap = now.since(self.confirmed) > limit;
        if gap || self.attentive.is_none() {
            // A list may have come and gone unseen.
            self.attentive = Some(now);
            self.returned.retain(|_, &mut at| now.since(at) <= limit);
        }
        self.confirmed = now;
        self.stale = false;
    }

    /// Notes that this process slept: its list must be confirmed before the next claim.
    pub fn doubt(&mut self) {
        self.stale = true;
    }

    /// Drops what is too old to matter.
    pub fn prune(&mut self, now: Instant, ticket_lifetime: Duration) {
        let doubt = self.doubt_period();
        while self.lists.len() > 1 && now.since(self.lists[1].0) > doubt {
            self.lists.remove(0);
        }
        let keep = doubt.max(ticket_lifetime);
        self.held.retain(|_, held| now.since(held.offered) <= keep);
    }

    /// Returns the time for which every list was seen.
    pub fn history_age(&self, now: Instant) -> Duration {
        self.attentive
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the time for which a run elsewhere can't be excluded.
    pub fn doubt_period(&self) -> Duration {
        self.window * 3 / 2
    }

    /// Returns whether the list was confirmed lately enough to send a call.
    fn is_confirmed(&self, now: Instant) -> bool {
        !self.stale && now.since(self.confirmed) <= self.window / 2
    }

    /// Returns whether this VM may run the call of a bare key.
    pub fn claim(&self, now: Instant, id: Id) -> Claim {
        let Some(list) = self.list() else {
            return Claim::Doubt(CONFIRM_RETRY);
        };
        let Some(home) = list.owner(id) else {
            return Claim::Doubt(CONFIRM_RETRY);
        };
        let acts = home != self.vm && self.acts_for(now, home, id);
        if home != self.vm && !acts {
            return Claim::Elsewhere(home);
        }
        if !self.is_confirmed(now) {
            return Claim::Doubt(CONFIRM_RETRY);
        }
        if acts || self.is_returned(list, id) {
            return Claim::Granted;
        }
        let history_age = self.history_age(now);
        if history_age < self.doubt_period() && self.is_asked(list, id) {
            return Claim::Doubt(CONFIRM_RETRY);
        }
        if history_age < self.doubt_period() {
            return Claim::Doubt(self.doubt_period().saturating_sub(history_age));
        }
        match self.earlier_homes(id) {
            earlier if earlier.is_empty() => Claim::Granted,
            earlier => Claim::Ask(earlier),
        }
    }

    /// Returns whether this VM acts for a home that handed over to it.
    fn acts_for(&self, now: Instant, home: key::Vm, id: Id) -> bool {
        let Some(held) = self.held.get(&home) else {
            return false;
        };
        let Some((since, list)) = self.lists.last() else {
            return false;
        };
        let is_same = held.list.as_ref().is_some_and(|of| of == list) && *since < held.offered;
        held.keys
            && is_same
            && list.successor(id, home) == Some(self.vm)
            && now.since(held.offered) < self.window / 2
    }

    /// Returns whether the deputy of a key gave its right back.
    fn is_returned(&self, list: &VmList, id: Id) -> bool {
        let deputy = list.successor(id, self.vm);
        deputy.is_some_and(|deputy| self.returned.contains_key(&deputy))
    }

    /// Returns whether the deputy of a key has yet to say whether it gives a right back.
    fn is_asked(&self, list: &VmList, id: Id) -> bool {
        let deputy = list.successor(id, self.vm);
        deputy.is_some_and(|deputy| self.asked.contains(&deputy))
    }

    /// Returns the homes of a key under earlier lists whose rights did not pass to this VM.
    fn earlier_homes(&self, id: Id) -> Vec<key::Vm> {
        let mut homes = BTreeSet::new();
        for pair in self.lists.windows(2) {
            let [(_, list), (end, _)] = pair else {
                continue;
            };
            let home = list.owner(id).filter(|&home| home != self.vm);
            homes.extend(home.filter(|&home| !self.was_passed(list, *end, home, id)));
        }
        homes.into_iter().collect()
    }

    /// Returns whether the right to a key passed to this VM while a list was in force.
    fn was_passed(&self, list: &Arc<VmList>, end: Instant, home: key::Vm, id: Id) -> bool {
        let Some(held) = self.held.get(&home) else {
            return false;
        };
        held.keys
            && held.list.as_ref() == Some(list)
            && list.successor(id, home) == Some(self.vm)
            && end.since(held.offered) < self.window / 2
    }

    /// Returns whether no key of this home is in doubt, so that its rights can pass.
    pub fn is_settled(&self, now: Instant) -> bool {
        let [(since, _)] = &*self.lists else {
            return false;
        };
        let doubt = self.doubt_period();
        self.is_confirmed(now) && self.history_age(now) >= doubt && now.since(*since) >= doubt
    }

    /// Notes the first records of a VM in a planned stop.
    pub fn offer(&mut self, now: Instant, vm: key::Vm, incarnation: u64) {
        let known = self.held.get(&vm);
        if known.is_some_and(|held| held.incarnation >= incarnation) {
            return;
        }
        let held = Held {
            incarnation,
            offered: now,
            list: None,
            keys: false,
        };
        self.held.insert(vm, held);
    }

    /// Takes the rights of a VM whose records came before.
    pub fn commit(&mut self, vm: key::Vm, incarnation: u64, digest: u64, settled: bool) {
        let list = self.list().filter(|list| list.digest() == digest).cloned();
        let Some(held) = self.held.get_mut(&vm) else {
            return;
        };
        if held.incarnation == incarnation && held.list.is_none() {
            held.keys = settled && list.is_some();
            held.list = list;
        }
    }

    /// Gives the rights to bare keys back to a new incarnation; returns whether there were any.
    pub fn give_back(&mut self, now: Instant, vm: key::Vm, incarnation: u64) -> bool {
        let since = self.lists.last().map(|(since, _)| *since);
        let Some(held) = self.held.get_mut(&vm) else {
            return false;
        };
        let is_later = incarnation > held.incarnation;
        let is_current = since.is_some_and(|since| since < held.offered)
            && now.since(held.offered) < self.window / 2;
        let had = std::mem::take(&mut held.keys);
        had && is_later && is_current
    }

    /// Notes that a deputy is asked for the rights of an earlier incarnation.
    pub fn ask_back(&mut self, vm: key::Vm) {
        self.asked.insert(vm);
    }

    /// Takes the answer of a deputy that an earlier incarnation of this VM had passed rights to.
    pub fn take_back(&mut self, now: Instant, vm: key::Vm, digest: u64, settled: bool) {
        self.asked.remove(&vm);
        if settled && self.list().is_some_and(|list| list.digest() == digest) {
            self.returned.insert(vm, now);
        }
    }

    /// Returns whether this VM took over the tickets of a stopped incarnation, this one among them.
    pub fn holds_ticket(&self, now: Instant, ticket: &Ticket, lifetime: Duration) -> bool {
        let Some(held) = self.held.get(&ticket.vm) else {
            return false;
        };
        let Some(list) = &held.list else { return false };
        held.incarnation == ticket.incarnation
            && list.successor(ticket.id(), ticket.vm) == Some(self.vm)
            && now.since(held.offered) < lifetime
    }
}
