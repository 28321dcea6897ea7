//! The failure detector: pings, pings through others, suspicion.

use {
    super::{Membership, PING_TIMEOUT, PROBE_INTERVAL},
    crate::{
        Action, Member, State,
        member::Silence,
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

/// Checks of a silent member that must have been sent before it is declared dead.
const CHECKS: u32 = 3;
/// Members that are asked to check a silent one too.
const CHECK_RELAYS: usize = 3;
/// Silent members beyond which an observer waits no longer; the more there are at once, the
/// likelier it is the observer that is cut off.
const SILENT_LIMIT: usize = 3;
/// How long a failed member is remembered, so that late news of it is not believed.
const DEAD_RETENTION: Duration = Duration::from_secs(60);
/// Members of a data centre that talk to each other data centre in one period, on average.
const BRIDGES: f64 = 2.0;
/// Share of periods in which an address is tried that belongs to no present member.
const CONTACT_SHARE: f64 = 0.25;
/// Addresses that are tried in a period while no member is known.
const FIRST_CONTACTS: usize = 3;

impl Membership {
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.probe_through_others(now, actions);
        self.judge_silent(now, actions);
        if now < self.next_period {
            return;
        }
        self.next_period = now + PROBE_INTERVAL;
        self.conclude_probe(now, actions);
        self.start_probe(now, actions);
        self.check_silent(now, actions);
        self.try_contacts(now, actions);
        self.bridge(now, actions);
        self.members.retain_present(now);
    }

    fn start_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let members = &self.members;
        let present = || members.iter().filter(|(_, member)| member.is_alive());
        let subject = self
            .prober
            .next(&mut self.rng, || present().map(|(vm, _)| vm).collect());
        let Some(member) = subject.and_then(|vm| self.members.get(vm)) else {
            return;
        };
        if !member.is_alive() {
            return;
        }
        let (subject, address) = (member.key, member.address);
        let number = self.prober.number();
        self.prober.current = Some(Probe {
            number,
            subject,
            sent: now,
            relayed: false,
            answered: false,
        });
        let probe = probe(msg::ProbeKind::Ping, number, "");
        self.send(now, address, Some(probe), Purpose::Full, actions);
    }

    /// Pings a member again that did not answer, and has a few others ping it too.
    fn probe_through_others(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(current) = &mut self.prober.current else {
            return;
        };
        if current.answered || current.relayed || now.since(current.sent) < PING_TIMEOUT {
            return;
        }
        current.relayed = true;
        let (number, subject) = (current.number, current.subject);
        let Some(member) = self.members.get(subject) else {
            return;
        };
        let (name, address) = (member.name.clone(), member.address);
        let again = probe(msg::ProbeKind::Ping, number, "");
        self.send(now, address, Some(again), Purpose::Brief, actions);
        let others = self.members.values();
        let others = others.filter(|other| other.is_alive() && other.key != subject);
        let others = others.map(|other| other.address);
        for address in others.choose_multiple(&mut self.rng, self.indirect_probes) {
            let probe = probe(msg::ProbeKind::PingRequest, number, &name);
            self.send(now, address, Some(probe), Purpose::Brief, actions);
        }
    }

    fn conclude_probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(current) = self.prober.current.take() else {
            return;
        };
        if current.answered {
            return;
        }
        let Some(member) = self.members.get_mut(current.subject) else {
            return;
        };
        if member.last_heard.is_some_and(|heard| heard > current.sent) {
            return;
        }
        member.silent.get_or_insert(Silence {
            since: now,
            number: 0,
            checks: 0,
        });
        if member.state == State::Live {
            member.state = State::Suspect;
            member.since = now;
            actions.push(Action::Member(Box::new(member.clone())));
        }
    }

    /// Asks silent members again, also through others, so that none is declared dead on hearsay
    /// or for want of bytes to ask it.
    fn check_silent(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let silent: Vec<_> = self
            .members
            .values()
            .filter(|member| member.silent.is_some())
            .map(|member| (member.key, member.name.clone(), member.address))
            .collect();
        for (vm, name, address) in silent {
            let number = self.prober.number();
            let ping = probe(msg::ProbeKind::Ping, number, "");
            let sent = self.send(now, address, Some(ping), Purpose::Check, actions);
            let others = self.members.values();
            let others = others.filter(|other| other.state == State::Live && other.key != vm);
            let others = others.map(|other| other.address);
            let relays = CHECK_RELAYS.min(self.indirect_probes);
            for relay in others.choose_multiple(&mut self.rng, relays) {
                let request = probe(msg::ProbeKind::PingRequest, number, &name);
                self.send(now, relay, Some(request), Purpose::Check, actions);
            }
            let member = self.members.get_mut(vm);
            if let Some(silence) = member.and_then(|member| member.silent.as_mut()) {
                silence.number = number;
                silence.checks += u32::from(sent);
            }
        }
    }

    /// Declares members dead that stayed silent.
    fn judge_silent(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let silent = self.members.values().filter(|it| it.silent.is_some());
        let factor = silent.count().clamp(1, SILENT_LIMIT) as u32;
        let mut dead = Vec::new();
        for (vm, member) in self.members.iter_mut() {
            let Some(silence) = member.silent else {
                continue;
            };
            let asked = self.suspicion_timeout.is_zero() || silence.checks >= CHECKS * factor;
            if !asked || now.since(silence.since) < self.suspicion_timeout * factor {
                continue;
            }
            member.state = State::Dead;
            member.since = now;
            member.silent = None;
            actions.push(Action::Member(Box::new(member.clone())));
            dead.push(vm);
        }
        for vm in dead {
            self.forget_uses(vm, actions);
            self.urge(Some(Subject::Member(vm)));
        }
    }

    /// Tries addresses of no present member: at the start, and to find members again after a
    /// partition.
    fn try_contacts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let present = |member: &&Member| member.is_alive();
        let known: Vec<_> = self.members.values().filter(present).collect();
        let count = if known.is_empty() {
            FIRST_CONTACTS
        } else {
            usize::from(self.rng.random_bool(CONTACT_SHARE))
        };
        let own = self.own.address;
        let unknown = self.contacts.iter().copied().filter(|contact| {
            *contact != own && known.iter().all(|member| member.address != *contact)
        });
        for address in unknown.choose_multiple(&mut self.rng, count) {
            self.greet(now, address, actions);
        }
    }

    /// Talks to another data centre now and then, so that each has a few changing bridges.
    fn bridge(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for address in self.bridges() {
            self.greet(now, address, actions);
        }
    }

    /// Returns addresses in other data centres; few VMs of this one get any.
    pub(super) fn bridges(&mut self) -> Vec<SocketAddr> {
        let present = self.members.values().filter(|member| member.is_alive());
        let share = (BRIDGES / (1 + present.count()) as f64).min(1.0);
        let mut addresses = Vec::new();
        for vms in &self.remotes {
            if self.rng.random_bool(share) {
                addresses.extend(vms.choose(&mut self.rng));
            }
        }
        addresses
    }

    fn greet(&mut self, now: Instant, address: SocketAddr, actions: &mut Vec<Action>) {
        let probe = probe(msg::ProbeKind::Ping, self.prober.number(), "");
        self.send(now, address, Some(probe), Purpose::Full, actions);
    }
}

/// Makes the probe part of a datagram.
pub(super) fn probe(kind: msg::ProbeKind, number: u64, subject: &str) -> msg::Probe {
    msg::Probe {
        kind: kind.into(),
        number,
        subject: subject.to_owned(),
    }
}

trait Retention {
    /// Forgets members that failed long ago.
    fn retain_present(&mut self, now: Instant);
}

impl Retention for base::arena::Arena<key::Vm, Member> {
    fn retain_present(&mut self, now: Instant) {
        let old: Vec<_> = self
            .iter()
            .filter(|(_, member)| !member.is_alive())
            .filter(|(_, member)| now.since(member.since) >= DEAD_RETENTION)
            .map(|(vm, _)| vm)
            .collect();
        for vm in old {
            self.remove(vm);
        }
    }
}
