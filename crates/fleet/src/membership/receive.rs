//! Handling of authenticated datagrams.

use {
    super::Membership,
    crate::{
        Action, Member, State, Version,
        membership::{
            compose::{Purpose, Subject},
            detect::probe_message,
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
        let record = message
            .members
            .iter()
            .find(|member| member.vm == message.vm);
        if sender == self.own.key {
            return;
        }
        if self.is_older_incarnation(sender, message) {
            self.send_newer_incarnation(now, from, sender, record, actions);
            return;
        }
        if !self.accept_sequence(sender, message) {
            return;
        }
        let is_local = record.is_some_and(|record| *record.data_centre == *self.data_centre);
        if is_local {
            self.merge_members(now, message, actions);
            self.record_contact(now, sender, actions);
            self.merge_platform_answer(now, message);
        }
        self.merge_departures(now, message, actions);
        self.report_peer_usage(sender, is_local, message, actions);
        let peer = record.and_then(|record| record.address.parse().ok());
        let peer = peer.unwrap_or(from);
        let version = Version::from_gossip(message);
        if version > self.version {
            actions.push(Action::VersionAnnounced { peer, version });
        }
        if let Some(probe) = &message.probe {
            self.handle_probe(now, peer, sender, probe, actions);
        }
    }

    /// Returns whether a datagram comes from an older incarnation than the newest known one.
    fn is_older_incarnation(&self, sender: key::Vm, message: &Gossip) -> bool {
        let known = self.replay_windows.get(&sender);
        known.is_some_and(|(incarnation, _)| message.incarnation < *incarnation)
    }

    /// Sends a process the newer incarnation that is known of its VM.
    ///
    /// The process is then superseded, or takes a higher incarnation if it has just started with a
    /// clock that is behind.
    fn send_newer_incarnation(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sender: key::Vm,
        record: Option<&msg::Member>,
        actions: &mut Vec<Action>,
    ) {
        let address = record.and_then(|record| record.address.parse().ok());
        self.queue_update(Subject::Member(sender));
        self.send(now, address.unwrap_or(from), None, Purpose::Urgent, actions);
    }

    /// Records a sequence number; returns whether it is new, so that the datagram is no replay.
    fn accept_sequence(&mut self, sender: key::Vm, message: &Gossip) -> bool {
        let (incarnation, window) = self
            .replay_windows
            .entry(sender)
            .or_insert_with(|| (message.incarnation, ReplayWindow::default()));
        if message.incarnation > *incarnation {
            *incarnation = message.incarnation;
            *window = ReplayWindow::default();
        }
        window.accept(message.sequence).is_ok()
    }

    fn merge_members(&mut self, now: Instant, message: &Gossip, actions: &mut Vec<Action>) {
        for record in &message.members {
            if *record.data_centre != *self.data_centre {
                continue;
            }
            let Some(member) = Member::from_message(now, record) else {
                continue;
            };
            if member.key == self.own.key {
                self.handle_own_record(&member);
            } else {
                self.merge_member(member, actions);
            }
        }
    }

    fn merge_member(&mut self, newer: Member, actions: &mut Vec<Action>) {
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
            State::Leaving => self.queue_urgent(Some(Subject::Member(vm))),
            State::Dead => {
                self.clear_peer_usage(vm, actions);
                self.queue_urgent(Some(Subject::Member(vm)));
            }
            State::Live | State::Suspect => self.queue_update(Subject::Member(vm)),
        }
    }

    /// Handles a record of this VM: refutes that it is dead, or reacts to a newer incarnation.
    fn handle_own_record(&mut self, record: &Member) {
        if record.incarnation > self.own.incarnation {
            self.handle_newer_incarnation(record.incarnation);
            return;
        }
        let is_dead = record.state == State::Dead;
        if record.incarnation < self.own.incarnation
            || !is_dead
            || record.refutation < self.own.refutation
        {
            return;
        }
        self.own.refutation = record.refutation + 1;
        self.queue_urgent(None);
    }

    /// Marks this process as superseded, or exceeds the incarnation if no peer has answered yet.
    ///
    /// A process that starts with a clock that is behind takes too low an incarnation.
    fn handle_newer_incarnation(&mut self, incarnation: u64) {
        if self.is_joined {
            self.is_superseded = true;
            return;
        }
        self.own.incarnation = incarnation + 1;
        self.own.refutation = 0;
        self.queue_urgent(None);
    }

    /// Records that a member is reachable, which ends a suspicion.
    fn record_contact(&mut self, now: Instant, sender: key::Vm, actions: &mut Vec<Action>) {
        if let Some(member) = self.members.get_mut(sender)
            && member.record_contact(now)
        {
            actions.push(Action::Member(Box::new(member.clone())));
        }
    }

    fn merge_platform_answer(&mut self, now: Instant, message: &Gossip) {
        let Some(answer) = message.platform_answer else {
            return;
        };
        let age = u64::from(answer.age_ms) * 1000;
        let at = Instant::from_micros(now.as_micros().saturating_sub(age));
        let vm = key::Vm::from_raw(answer.vm);
        let is_newer = self
            .peer_platform_answer
            .is_none_or(|(_, known)| known < at);
        if is_newer && vm != self.own.key {
            self.peer_platform_answer = Some((vm, at));
        }
    }

    fn merge_departures(&mut self, now: Instant, message: &Gossip, actions: &mut Vec<Action>) {
        for departure in &message.departures {
            let Some(changed) = self.departures.merge(now, *departure) else {
                continue;
            };
            let target = key::Target::from_raw(departure.target);
            self.queue_urgent(Some(Subject::Target(target)));
            if changed {
                actions.push(Action::Departure {
                    target,
                    leaving: departure.leaving,
                    observation: None,
                });
            }
        }
    }

    /// Reports the peer's usage of targets and its customers' demand.
    fn report_peer_usage(
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
                self.peer_targets.entry(sender).or_default().insert(target);
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

    /// Reports zero usage for all targets of a dead member.
    pub(super) fn clear_peer_usage(&mut self, vm: key::Vm, actions: &mut Vec<Action>) {
        for target in self.peer_targets.remove(&vm).into_iter().flatten() {
            actions.push(Action::PeerUsage {
                vm,
                target,
                requests: 0,
                tokens: 0,
            });
        }
    }

    fn handle_probe(
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
                let answer = probe_message(msg::ProbeKind::Ack, received.number, "");
                self.send(now, peer, Some(answer), Purpose::Full, actions);
            }
            msg::ProbeKind::PingRequest => {
                let subject = key::Vm::of(&received.subject);
                let Some(member) = self.members.get(subject) else {
                    return;
                };
                let address = member.address;
                let number = self.prober.next_number();
                self.prober.add_relay(now, number, received.number, peer);
                let ping = probe_message(msg::ProbeKind::Ping, number, "");
                self.send(now, address, Some(ping), Purpose::Brief, actions);
            }
            msg::ProbeKind::Ack => self.handle_ack(now, sender, received, actions),
        }
    }

    fn handle_ack(
        &mut self,
        now: Instant,
        sender: key::Vm,
        received: &msg::Probe,
        actions: &mut Vec<Action>,
    ) {
        if let Some(relay) = self.prober.take_relay(received.number) {
            let name = self.members.get(sender).map(|member| member.name.clone());
            let answer = probe_message(
                msg::ProbeKind::Ack,
                relay.original_number,
                name.as_deref().unwrap_or_default(),
            );
            self.send(now, relay.requester, Some(answer), Purpose::Brief, actions);
            return;
        }
        self.is_joined = true;
        if let Some(stale) = &mut self.stale
            && received.number > stale.last_probe
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
            current.is_answered = true;
        }
        let suspicion = self
            .members
            .get(subject)
            .and_then(|member| member.suspicion);
        if suspicion.is_some_and(|suspicion| suspicion.number == received.number) {
            self.record_contact(now, subject, actions);
        }
    }
}
