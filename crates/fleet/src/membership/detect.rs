//! Failure detection: pings, indirect probes, suspicion and contact with unknown members.

use {
    super::{Membership, PING_TIMEOUT, PROBE_INTERVAL},
    crate::{
        Action, Member, State,
        member::Suspicion,
        membership::compose::{Purpose, Subject},
        probe::Probe,
    },
    base::{Instant, key},
    rand::{
        Rng,
        seq::{IndexedRandom, IteratorRandom},
    },
    std::{net::SocketAddr, time::Duration},
    wire::msg,
};

/// Pings that a suspected member must have been sent before it is declared dead.
const MIN_SUSPECT_PROBES: u32 = 3;
/// Members that are asked to ping a suspected one in each period.
const SUSPECT_PROBE_RELAYS: usize = 3;
/// Upper bound of the factor by which the timeout grows with the number of suspected members.
///
/// Many suspects at once make it likelier that the observer itself is cut off.
const MAX_SUSPICION_FACTOR: usize = 3;
/// How long a dead member is remembered, so that late records of it don't bring it back.
const DEAD_RETENTION: Duration = Duration::from_secs(60);
/// Members of a data centre that ping each other data centre in one period, on average.
const CROSS_CENTRE_SENDERS: f64 = 2.0;
/// Probability that a contact address of no live member is pinged in a period.
const CONTACT_PROBABILITY: f64 = 0.25;
/// Contact addresses that are pinged in a period while no live member is known.
const JOIN_CONTACTS: usize = 3;

impl Membership {
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.probe_indirectly(now, actions);
        self.expire_suspicions(now, actions);
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.conclude_probe(now, actions);
        self.start_probe(now, actions);
        self.probe_suspects(now, actions);
        self.ping_contacts(now, actions);
        self.ping_other_data_centres(now, actions);
        self.members.remove_expired(now);
    }

    fn start_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let members = &self.members;
        let alive = || members.iter().filter(|(_, member)| member.is_alive());
        let subject = self
            .prober
            .next_subject(&mut self.rng, || alive().map(|(vm, _)| vm).collect());
        let Some(member) = subject.and_then(|vm| self.members.get(vm)) else {
            return;
        };
        if !member.is_alive() {
            return;
        }
        let (subject, address) = (member.key, member.address);
        let number = self.prober.next_number();
        self.prober.current = Some(Probe {
            number,
            subject,
            sent_at: now,
            is_relayed: false,
            is_answered: false,
        });
        let probe = probe_message(msg::ProbeKind::Ping, number, "");
        self.send(now, address, Some(probe), Purpose::Full, actions);
    }

    /// Pings a member again that did not answer in time, and requests indirect probes of it.
    fn probe_indirectly(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(current) = &mut self.prober.current else {
            return;
        };
        if current.is_answered || current.is_relayed || now.since(current.sent_at) < PING_TIMEOUT {
            return;
        }
        current.is_relayed = true;
        let (number, subject) = (current.number, current.subject);
        let Some(member) = self.members.get(subject) else {
            return;
        };
        let (name, address) = (member.name.clone(), member.address);
        let ping = probe_message(msg::ProbeKind::Ping, number, "");
        self.send(now, address, Some(ping), Purpose::Brief, actions);
        let others = self.members.values();
        let others = others.filter(|other| other.is_alive() && other.key != subject);
        let others = others.map(|other| other.address);
        for address in others.choose_multiple(&mut self.rng, self.indirect_probes) {
            let probe = probe_message(msg::ProbeKind::PingRequest, number, &name);
            self.send(now, address, Some(probe), Purpose::Brief, actions);
        }
    }

    /// Ends the probe of the last period; a member that was not heard since becomes suspected.
    fn conclude_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(current) = self.prober.current.take() else {
            return;
        };
        if current.is_answered {
            return;
        }
        let Some(member) = self.members.get_mut(current.subject) else {
            return;
        };
        if member
            .last_heard
            .is_some_and(|heard| heard > current.sent_at)
        {
            return;
        }
        member.suspicion.get_or_insert(Suspicion {
            since: now,
            number: 0,
            probes: 0,
        });
        if member.state == State::Live {
            member.state = State::Suspect;
            member.since = now;
            actions.push(Action::Member(Box::new(member.clone())));
        }
    }

    /// Pings suspected members again, directly and through other members.
    ///
    /// Only pings that were sent are counted, so no member is declared dead because the budget
    /// left no room to ask it.
    fn probe_suspects(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let suspects: Vec<_> = self
            .members
            .values()
            .filter(|member| member.suspicion.is_some())
            .map(|member| (member.key, member.name.clone(), member.address))
            .collect();
        for (vm, name, address) in suspects {
            let number = self.prober.next_number();
            let ping = probe_message(msg::ProbeKind::Ping, number, "");
            let sent = self.send(now, address, Some(ping), Purpose::SuspectProbe, actions);
            let others = self.members.values();
            let others = others.filter(|other| other.state == State::Live && other.key != vm);
            let others = others.map(|other| other.address);
            let relays = SUSPECT_PROBE_RELAYS.min(self.indirect_probes);
            for relay in others.choose_multiple(&mut self.rng, relays) {
                let request = probe_message(msg::ProbeKind::PingRequest, number, &name);
                self.send(now, relay, Some(request), Purpose::SuspectProbe, actions);
            }
            let member = self.members.get_mut(vm);
            if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
                suspicion.number = number;
                suspicion.probes += u32::from(sent);
            }
        }
    }

    /// Declares suspected members dead whose time to answer has passed.
    fn expire_suspicions(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let suspects = self
            .members
            .values()
            .filter(|member| member.suspicion.is_some());
        let factor = suspects.count().clamp(1, MAX_SUSPICION_FACTOR) as u32;
        let mut dead = Vec::new();
        for (vm, member) in self.members.iter_mut() {
            let Some(suspicion) = member.suspicion else {
                continue;
            };
            let was_probed =
                self.suspicion_timeout.is_zero() || suspicion.probes >= MIN_SUSPECT_PROBES * factor;
            if !was_probed || now.since(suspicion.since) < self.suspicion_timeout * factor {
                continue;
            }
            member.state = State::Dead;
            member.since = now;
            member.suspicion = None;
            actions.push(Action::Member(Box::new(member.clone())));
            dead.push(vm);
        }
        for vm in dead {
            self.clear_peer_usage(vm, actions);
            self.queue_urgent(Some(Subject::Member(vm)));
        }
    }

    /// Pings contact addresses that belong to no live member.
    ///
    /// A starting VM joins in this way, and members find each other again after a partition.
    fn ping_contacts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let alive = |member: &&Member| member.is_alive();
        let known: Vec<_> = self.members.values().filter(alive).collect();
        let count = if known.is_empty() {
            JOIN_CONTACTS
        } else {
            usize::from(self.rng.random_bool(CONTACT_PROBABILITY))
        };
        let own = self.own.address;
        let unknown = self.contacts.iter().copied().filter(|contact| {
            *contact != own && known.iter().all(|member| member.address != *contact)
        });
        for address in unknown.choose_multiple(&mut self.rng, count) {
            self.ping_address(now, address, actions);
        }
    }

    /// Pings other data centres, so that gossip reaches them through a few changing VMs.
    fn ping_other_data_centres(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for address in self.choose_remote_vms() {
            self.ping_address(now, address, actions);
        }
    }

    /// Returns random addresses in other data centres.
    ///
    /// Each VM picks some with a probability that falls with the number of members, so the
    /// traffic between data centres doesn't grow with it.
    pub(super) fn choose_remote_vms(&mut self) -> Vec<SocketAddr> {
        let alive = self.members.values().filter(|member| member.is_alive());
        let share = (CROSS_CENTRE_SENDERS / (1 + alive.count()) as f64).min(1.0);
        let mut addresses = Vec::new();
        for vms in &self.remote_vms {
            if self.rng.random_bool(share) {
                addresses.extend(vms.choose(&mut self.rng));
            }
        }
        addresses
    }

    fn ping_address(&mut self, now: Instant, address: SocketAddr, actions: &mut Vec<Action>) {
        let probe = probe_message(msg::ProbeKind::Ping, self.prober.next_number(), "");
        self.send(now, address, Some(probe), Purpose::Full, actions);
    }
}

/// Builds the probe of a datagram; `subject` is empty in a ping and its direct answer.
pub(super) fn probe_message(kind: msg::ProbeKind, number: u64, subject: &str) -> msg::Probe {
    msg::Probe {
        kind: kind.into(),
        number,
        subject: subject.to_owned(),
    }
}

trait Retention {
    /// Removes dead members whose retention time has passed.
    fn remove_expired(&mut self, now: Instant);
}

impl Retention for base::arena::Arena<key::Vm, Member> {
    fn remove_expired(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .iter()
            .filter(|(_, member)| !member.is_alive())
            .filter(|(_, member)| now.since(member.since) >= DEAD_RETENTION)
            .map(|(vm, _)| vm)
            .collect();
        for vm in expired {
            self.remove(vm);
        }
    }
}
