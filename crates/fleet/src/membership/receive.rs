//! What an authentic datagram teaches.

use {
    super::Membership,
    crate::{
        Action, Member, State, Version,
        membership::{
            compose::{Purpose, Subject},
            detect::probe,
        },
    },
    base::{Instant, key},
    std::net::SocketAddr,
    wire::{
        datagram::ReplayWindow,
        msg::{self, Gossip},
    },
};

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: &Gossip,
        actions: &mut Vec<Action>,
    ) {
        let sender = key::Vm::of(&message.vm);
        let record = message.members.iter().find(|item| item.vm == message.vm);
        if sender == self.own.key {
            return;
        }
        if self.is_outdated(sender, message) {
            self.tell_outdated(now, from, sender, record, actions);
            return;
        }
        if !self.accept(sender, message) {
            return;
        }
        let is_local = record.is_some_and(|record| *record.data_centre == *self.data_centre);
        if is_local {
            self.learn_members(now, message, actions);
            self.hear(now, sender, actions);
            self.learn_platform(now, message);
        }
        self.learn_departures(now, message, actions);
        self.learn_uses(sender, is_local, message, actions);
        let peer = record.and_then(|record| record.address.parse().ok());
        let peer = peer.unwrap_or(from);
        let version = Version::from_gossip(message);
        if version > self.version {
            actions.push(Action::VersionAnnounced { peer, version });
        }
        if let Some(probe) = &message.probe {
            self.answer(now, peer, sender, probe, actions);
        }
    }

    /// Returns whether a datagram comes from an earlier incarnation than the one that is known.
    fn is_outdated(&self, sender: key::Vm, message: &Gossip) -> bool {
        let known = self.windows.get(&sender);
        known.is_some_and(|(incarnation, _)| message.incarnation < *incarnation)
    }

    /// Tells a process which later incarnation of its VM is known, so that it steps back, or takes a
    /// higher number if it has just started with a clock that is behind.
    fn tell_outdated(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sender: key::Vm,
        record: Option<&msg::Member>,
        actions: &mut Vec<Action>,
    ) {
        let address = record.and_then(|record| record.address.parse().ok());
        self.tell(Subject::Member(sender));
        self.send(now, address.unwrap_or(from), None, Purpose::Urgent, actions);
    }

    /// Refuses replays.
    fn accept(&mut self, sender: key::Vm, message: &Gossip) -> bool {
        let (incarnation, window) = self
            .windows
            .entry(sender)
            .or_insert_with(|| (message.incarnation, ReplayWindow::default()));
        if message.incarnation > *incarnation {
            *incarnation = message.incarnation;
            *window = ReplayWindow::default();
        }
        window.accept(message.sequence).is_ok()
    }

    fn learn_members(&mut self, now: Instant, message: &Gossip, actions: &mut Vec<Action>) {
        for record in &message.members {
            if *record.data_centre != *self.data_centre {
                continue;
            }
            let Some(member) = Member::read(now, record) else {
                continue;
            };
            if member.key == self.own.key {
                self.refute(&member);
            } else {
                self.learn_member(member, actions);
            }
        }
    }

    fn learn_member(&mut self, newer: Member, actions: &mut Vec<Action>) {
        let vm = newer.key;
        let changed = match self.members.get_mut(vm) {
            Some(member) => member.merge(newer),
            None if newer.is_alive() => self.members.insert(vm, newer).is_none(),
            None => false,
        };
        if !changed {
            return;
        }
        let Some(member) = self.members.get(vm) else {
            return;
        };
        let state = member.state;
        actions.push(Action::Member(Box::new(member.clone())));
        match state {
            State::Leaving => self.urge(Some(Subject::Member(vm))),
            State::Dead => {
                self.forget_uses(vm, actions);
                self.urge(Some(Subject::Member(vm)));
            }
            State::Live | State::Suspect => self.tell(Subject::Member(vm)),
        }
    }

    /// Contradicts a report that this VM is dead.
    fn refute(&mut self, report: &Member) {
        if report.incarnation > self.own.incarnation {
            self.step_back(report.incarnation);
            return;
        }
        let doubted = report.state == State::Dead;
        if report.incarnation < self.own.incarnation
            || !doubted
            || report.refutation < self.own.refutation
        {
            return;
        }
        self.own.refutation = report.refutation + 1;
        self.urge(None);
    }

    /// Gives way to a later incarnation, or passes it if this process has only just started.
    fn step_back(&mut self, incarnation: u64) {
        if self.joined {
            self.superseded = true;
            return;
        }
        self.own.incarnation = incarnation + 1;
        self.own.refutation = 0;
        self.urge(None);
    }

    /// Notes that a member speaks for itself.
    fn hear(&mut self, now: Instant, sender: key::Vm, actions: &mut Vec<Action>) {
        if let Some(member) = self.members.get_mut(sender)
            && member.hear(now)
        {
            actions.push(Action::Member(Box::new(member.clone())));
        }
    }

    fn learn_platform(&mut self, now: Instant, message: &Gossip) {
        let Some(answer) = message.platform_answer else {
            return;
        };
        let age = u64::from(answer.age_ms) * 1000;
        let at = Instant::from_micros(now.as_micros().saturating_sub(age));
        let vm = key::Vm::from_raw(answer.vm);
        let newer = self
            .peer_platform_answer
            .is_none_or(|(_, known)| known < at);
        if newer && vm != self.own.key {
            self.peer_platform_answer = Some((vm, at));
        }
    }

    fn learn_departures(&mut self, now: Instant, message: &Gossip, actions: &mut Vec<Action>) {
        for news in &message.departures {
            let Some(changed) = self.departures.merge(now, *news) else {
                continue;
            };
            let target = key::Target::from_raw(news.target);
            self.urge(Some(Subject::Target(target)));
            if changed {
                actions.push(Action::Departure {
                    target,
                    leaving: news.leaving,
                    observation: None,
                });
            }
        }
    }

    fn learn_uses(
        &mut self,
        sender: key::Vm,
        is_local: bool,
        message: &Gossip,
        actions: &mut Vec<Action>,
    ) {
        for counter in &message.counters {
            let target = key::Target::from_raw(counter.target);
            let requests = counter.sent.saturating_sub(counter.finished) as u32;
            if is_local {
                self.peer_uses.entry(sender).or_default().insert(target);
            }
            actions.push(Action::PeerUsage {
                vm: sender,
                target,
                requests,
                tokens: counter.tokens,
            });
        }
        for demand in &message.demands {
            actions.push(Action::PeerDemand {
                vm: sender,
                customer: key::Customer::from_raw(demand.customer),
                requests: demand.requests,
                in_flight: demand.in_flight,
            });
        }
    }

    /// Takes back what a failed member had on targets.
    pub(super) fn forget_uses(&mut self, vm: key::Vm, actions: &mut Vec<Action>) {
        for target in self.peer_uses.remove(&vm).into_iter().flatten() {
            actions.push(Action::PeerUsage {
                vm,
                target,
                requests: 0,
                tokens: 0,
            });
        }
    }

    fn answer(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        sender: key::Vm,
        received: &msg::Probe,
        actions: &mut Vec<Action>,
    ) {
        match received.kind() {
            msg::ProbeKind::Unspecified => {}
            msg::ProbeKind::Ping => {
                let answer = probe(msg::ProbeKind::Ack, received.number, "");
                self.send(now, peer, Some(answer), Purpose::Full, actions);
            }
            msg::ProbeKind::PingRequest => {
                let subject = key::Vm::of(&received.subject);
                let Some(member) = self.members.get(subject) else {
                    return;
                };
                let address = member.address;
                let number = self.prober.number();
                self.prober.relay(now, number, received.number, peer);
                let ping = probe(msg::ProbeKind::Ping, number, "");
                self.send(now, address, Some(ping), Purpose::Brief, actions);
            }
            msg::ProbeKind::Ack => self.take_answer(now, sender, received, actions),
        }
    }

    fn take_answer(
        &mut self,
        now: Instant,
        sender: key::Vm,
        received: &msg::Probe,
        actions: &mut Vec<Action>,
    ) {
        if let Some(relay) = self.prober.take_relay(received.number) {
            let name = self.members.get(sender).map(|member| member.name.clone());
            let answer = probe(
                msg::ProbeKind::Ack,
                relay.original,
                name.as_deref().unwrap_or_default(),
            );
            self.send(now, relay.requester, Some(answer), Purpose::Brief, actions);
            return;
        }
        self.joined = true;
        if let Some(stale) = &mut self.stale
            && received.number > stale.last_ping
        {
            stale.answered.insert(sender);
        }
        let subject = if received.subject.is_empty() {
            sender
        } else {
            key::Vm::of(&received.subject)
        };
        if let Some(current) = &mut self.prober.current
            && current.number == received.number
            && current.subject == subject
        {
            current.answered = true;
        }
        let silence = self.members.get(subject).and_then(|member| member.silent);
        if silence.is_some_and(|silence| silence.number == received.number) {
            self.hear(now, subject, actions);
        }
    }
}
