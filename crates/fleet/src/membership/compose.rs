//! Assembly of gossip datagrams within the byte budget, newest updates first.

use {
    super::{Counter, Membership},
    crate::{Action, State, Version, message::Draft},
    base::{Instant, arena::Arena, key},
    derive_more::Debug,
    rand::seq::IteratorRandom,
    std::{hash::Hash, net::SocketAddr, time::Duration},
    wire::msg::{self, Gossip},
};

/// Largest full datagram, headers and MAC included; below [`wire::datagram::MAX_LENGTH`].
const FULL_BYTES: usize = 640;
/// Largest brief datagram, headers and MAC included.
const BRIEF_BYTES: usize = 300;
/// Bytes of the budget that urgent updates and pings of suspects leave to regular probes.
const RESERVED_BYTES: u64 = 800;
/// Bytes of the budget below which every datagram is brief.
const FULL_MIN_BYTES: u64 = 1600;
/// Members that receive the urgent updates of a VM in one round.
const FANOUT: usize = 3;
/// Rounds in which urgent updates are sent.
const URGENT_ROUNDS: u32 = 2;
/// Time between two rounds of urgent updates.
const URGENT_INTERVAL: Duration = Duration::from_millis(200);
/// An update is sent this many times the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// Member records, and as many departure records, that a full datagram repeats in rotation.
const ANTI_ENTROPY_RECORDS: usize = 3;

/// What an update is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Subject {
    Member(key::Vm),
    Target(key::Target),
}

/// An update that is still piggybacked on datagrams.
#[derive(Clone, Copy, Debug)]
pub(super) struct Update {
    subject: Subject,
    sends_left: u32,
}

/// What a datagram is sent for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// Regular probe or acknowledgement: updates, then repeated records and counters.
    Full,
    /// Repeated ping, ping request, or relayed ping or acknowledgement: the newest updates only.
    Brief,
    /// Urgent updates.
    Urgent,
    /// Probe of a suspected member.
    SuspectProbe,
}

impl Membership {
    /// Queues an update, to be piggybacked on the next datagrams.
    pub(super) fn queue_update(&mut self, subject: Subject) {
        let sends_left = RETRANSMIT_FACTOR * (self.members.len() as u32 + 2).ilog2().max(1);
        self.updates.retain(|update| update.subject != subject);
        self.updates.push(Update {
            subject,
            sends_left,
        });
    }

    /// Queues an update, and starts rounds that send the own record and the queue at once.
    pub(super) fn queue_urgent(&mut self, subject: Option<Subject>) {
        if let Some(subject) = subject {
            self.queue_update(subject);
        }
        self.urgent_rounds = URGENT_ROUNDS;
    }

    /// Sends a round of urgent updates if one is due.
    pub(super) fn send_urgent(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.urgent_rounds == 0 || now < self.next_urgent_round {
            return;
        }
        self.urgent_rounds -= 1;
        self.next_urgent_round = now + URGENT_INTERVAL;
        let alive = self.members.values().filter(|member| member.is_alive());
        let mut addresses = alive
            .map(|member| member.address)
            .choose_multiple(&mut self.rng, FANOUT);
        addresses.extend(self.choose_remote_vms());
        for address in addresses {
            self.send(now, address, None, Purpose::Urgent, actions);
        }
    }

    /// Sends a datagram as large as the budget allows; returns whether there was room for it.
    pub(super) fn send(
        &mut self,
        now: Instant,
        to: SocketAddr,
        probe: Option<msg::Probe>,
        purpose: Purpose,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.version == Version::default() {
            return false;
        }
        let available_bytes = self.budget.available(now);
        let has_priority = matches!(purpose, Purpose::Full | Purpose::Brief);
        if !has_priority && available_bytes < RESERVED_BYTES {
            return false;
        }
        let is_full = purpose == Purpose::Full && available_bytes >= FULL_MIN_BYTES;
        let limit = if is_full { FULL_BYTES } else { BRIEF_BYTES };
        let limit = limit.min(available_bytes as usize);
        let Some(mut draft) = Draft::new(self.base_message(now, probe), limit) else {
            return false;
        };
        self.add_receiver_if_dead(&mut draft, to);
        self.add_updates(&mut draft);
        if is_full {
            self.add_anti_entropy(&mut draft);
            add_counters(&mut draft, &mut self.usage, encode_usage, |gossip| {
                &mut gossip.counters
            });
            add_counters(&mut draft, &mut self.demands, encode_demand, |gossip| {
                &mut gossip.demands
            });
        }
        let (message, size) = draft.finish();
        if !self.budget.try_take(now, size) {
            return false;
        }
        self.sequence += 1;
        let message = Box::new(Gossip {
            sequence: self.sequence,
            ..message
        });
        actions.push(Action::Send { to, message });
        true
    }

    fn base_message(&self, now: Instant, probe: Option<msg::Probe>) -> Gossip {
        Gossip {
            vm: self.own.name.to_string(),
            incarnation: self.own.incarnation,
            sequence: self.sequence + 1,
            probe,
            members: vec![self.own.to_message(&self.data_centre)],
            configuration_version: self.version.number,
            configuration_digest: self.version.digest_prefix().to_vec(),
            platform_answer: self
                .newest_platform_answer()
                .map(|(vm, at)| msg::PlatformAnswer {
                    vm: vm.raw(),
                    age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
                }),
            ..Gossip::default()
        }
    }

    fn newest_platform_answer(&self) -> Option<(key::Vm, Instant)> {
        let own = self.own_platform_answer.map(|at| (self.own.key, at));
        own.into_iter()
            .chain(self.peer_platform_answer)
            .max_by_key(|(_, at)| *at)
    }

    /// Adds the receiver's own record if it is declared dead, so that it can refute that.
    fn add_receiver_if_dead(&self, draft: &mut Draft, to: SocketAddr) {
        let mut members = self.members.values();
        let dead = members.find(|member| member.address == to && member.state == State::Dead);
        if let Some(member) = dead {
            draft.add(member.to_message(&self.data_centre), |gossip| {
                &mut gossip.members
            });
        }
    }

    fn add_updates(&mut self, draft: &mut Draft) {
        for update in self.updates.iter_mut().rev() {
            let added = match update.subject {
                Subject::Member(vm) => match self.members.get(vm) {
                    Some(member) if !draft.contains_member(&member.name) => draft
                        .add(member.to_message(&self.data_centre), |gossip| {
                            &mut gossip.members
                        }),
                    _ => true,
                },
                Subject::Target(target) => match self.departures.to_message(target) {
                    Some(departure) => draft.add(departure, |gossip| &mut gossip.departures),
                    None => true,
                },
            };
            if !added {
                break;
            }
            update.sends_left -= 1;
        }
        self.updates.retain(|update| update.sends_left > 0);
    }

    /// Repeats known records in rotation, for members that missed the updates.
    fn add_anti_entropy(&mut self, draft: &mut Draft) {
        self.rotation = self.rotation.wrapping_add(ANTI_ENTROPY_RECORDS);
        let members: Vec<_> = self
            .members
            .values()
            .filter(|member| member.is_alive())
            .collect();
        for member in rotated(&members, self.rotation) {
            if !draft.contains_member(&member.name) {
                draft.add(member.to_message(&self.data_centre), |gossip| {
                    &mut gossip.members
                });
            }
        }
        let mut targets: Vec<_> = self.departures.iter().map(|(target, _)| target).collect();
        targets.sort_unstable();
        for target in rotated(&targets, self.rotation) {
            if let Some(departure) = self.departures.to_message(*target) {
                draft.add(departure, |gossip| &mut gossip.departures);
            }
        }
    }
}

/// Returns up to [`ANTI_ENTROPY_RECORDS`] items from a position on, wrapping around.
fn rotated<T>(items: &[T], position: usize) -> impl Iterator<Item = &T> {
    let start = position % items.len().max(1);
    let count = ANTI_ENTROPY_RECORDS.min(items.len());
    items.iter().cycle().skip(start).take(count)
}

/// Adds counters whose values were not sent yet; once all were sent, starts again with the first.
fn add_counters<K: Copy + Eq + Hash, T: Copy, M: prost::Message>(
    draft: &mut Draft,
    counters: &mut Arena<K, Counter<T>>,
    encode: fn(K, T) -> M,
    list: fn(&mut Gossip) -> &mut Vec<M>,
) {
    if counters.values().all(|counter| counter.is_sent) {
        counters
            .iter_mut()
            .for_each(|(_, counter)| counter.is_sent = false);
    }
    for (key, counter) in counters.iter_mut() {
        if counter.is_sent {
            continue;
        }
        if !draft.add(encode(key, counter.value), list) {
            return;
        }
        counter.is_sent = true;
    }
}

fn encode_usage(target: key::Target, (sent, finished, tokens): (u64, u64, u64)) -> msg::Counter {
    msg::Counter {
        target: target.raw(),
        sent,
        finished,
        tokens,
    }
}

fn encode_demand(customer: key::Customer, (requests, in_flight): (u32, u32)) -> msg::Demand {
    msg::Demand {
        customer: customer.raw(),
        requests,
        in_flight,
    }
}
