//! What a datagram says, newest news first, within the budget.

use {
    super::{Membership, Own},
    crate::{Action, State, Version, message::Draft},
    base::{Instant, arena::Arena, key},
    derive_more::Debug,
    rand::seq::IteratorRandom,
    std::{hash::Hash, net::SocketAddr, time::Duration},
    wire::msg::{self, Gossip},
};

/// Most bytes of a full datagram, with headers and MAC; below [`wire::datagram::MAX_LENGTH`].
const FULL: usize = 640;
/// Most bytes of a brief datagram.
const BRIEF: usize = 300;
/// Bytes of the budget that urgent news and checks leave to probes.
const RESERVE: u64 = 800;
/// Bytes of the budget below which datagrams are brief.
const PLENTY: u64 = 1600;
/// Members that each VM tells of urgent news in one round.
const FANOUT: usize = 3;
/// Rounds in which urgent news is told.
const ROUNDS: u32 = 2;
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// A piece of news is sent this many times the binary logarithm of the number of members.
const REPEATS: u32 = 3;
/// Records of members that a full datagram repeats in turn, and of targets.
const REPEATED_RECORDS: usize = 3;

/// What a piece of news is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Subject {
    Member(key::Vm),
    Target(key::Target),
}

/// A piece of news that is still being sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rumor {
    subject: Subject,
    left: u32,
}

/// What a datagram is sent for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// A regular exchange: news, then whatever else fits.
    Full,
    /// A probe or an answer with the newest news.
    Brief,
    /// Urgent news.
    Urgent,
    /// A question to a member that did not answer.
    Check,
}

impl Membership {
    /// Sends news along with the coming datagrams.
    pub(super) fn tell(&mut self, subject: Subject) {
        let left = REPEATS * (self.members.len() as u32 + 2).ilog2().max(1);
        self.rumors.retain(|rumor| rumor.subject != subject);
        self.rumors.push(Rumor { subject, left });
    }

    /// Sends news along with the coming datagrams and to a few members at once.
    pub(super) fn urge(&mut self, subject: Option<Subject>) {
        if let Some(subject) = subject {
            self.tell(subject);
        }
        self.pushes = ROUNDS;
    }

    /// Runs a round of urgent news if one is due.
    pub(super) fn push(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.pushes == 0 || now < self.next_push {
            return;
        }
        self.pushes -= 1;
        self.next_push = now + ROUND_INTERVAL;
        let present = self.members.values().filter(|member| member.is_alive());
        let mut addresses = present
            .map(|member| member.address)
            .choose_multiple(&mut self.rng, FANOUT);
        addresses.extend(self.bridges());
        for address in addresses {
            self.send(now, address, None, Purpose::Urgent, actions);
        }
    }

    /// Sends a datagram, shortened or left out where the budget is used up; returns whether it was
    /// sent.
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
        let left = self.budget.available(now);
        let is_first = matches!(purpose, Purpose::Full | Purpose::Brief);
        if !is_first && left < RESERVE {
            return false;
        }
        let is_full = purpose == Purpose::Full && left >= PLENTY;
        let limit = if is_full { FULL } else { BRIEF };
        let limit = limit.min(left as usize);
        let Some(mut draft) = Draft::new(self.fixed_part(now, probe), limit) else {
            return false;
        };
        self.add_receiver(&mut draft, to);
        self.add_rumors(&mut draft);
        if is_full {
            self.add_repeated(&mut draft);
            add_own(&mut draft, &mut self.uses, write_use, |gossip| {
                &mut gossip.counters
            });
            add_own(&mut draft, &mut self.demands, write_demand, |gossip| {
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

    fn fixed_part(&self, now: Instant, probe: Option<msg::Probe>) -> Gossip {
        Gossip {
            vm: self.own.name.to_string(),
            incarnation: self.own.incarnation,
            sequence: self.sequence + 1,
            probe,
            members: vec![self.own.write(&self.data_centre)],
            configuration_version: self.version.number,
            configuration_digest: self.version.digest_prefix().to_vec(),
            platform_answer: self.newest_answer().map(|(vm, at)| msg::PlatformAnswer {
                vm: vm.raw(),
                age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
            }),
            ..Gossip::default()
        }
    }

    fn newest_answer(&self) -> Option<(key::Vm, Instant)> {
        let own = self.own_platform_answer.map(|at| (self.own.key, at));
        own.into_iter()
            .chain(self.peer_platform_answer)
            .max_by_key(|(_, at)| *at)
    }

    /// Tells a member that is taken for dead so, that it can contradict.
    fn add_receiver(&self, draft: &mut Draft, to: SocketAddr) {
        let mut members = self.members.values();
        let doubted = members.find(|it| it.address == to && it.state == State::Dead);
        if let Some(member) = doubted {
            draft.add(member.write(&self.data_centre), |gossip| {
                &mut gossip.members
            });
        }
    }

    fn add_rumors(&mut self, draft: &mut Draft) {
        for rumor in self.rumors.iter_mut().rev() {
            let added = match rumor.subject {
                Subject::Member(vm) => match self.members.get(vm) {
                    Some(member) if !draft.names(&member.name) => draft
                        .add(member.write(&self.data_centre), |gossip| {
                            &mut gossip.members
                        }),
                    _ => true,
                },
                Subject::Target(target) => match self.departures.write(target) {
                    Some(news) => draft.add(news, |gossip| &mut gossip.departures),
                    None => true,
                },
            };
            if !added {
                break;
            }
            rumor.left -= 1;
        }
        self.rumors.retain(|rumor| rumor.left > 0);
    }

    /// Repeats what is known in turn, so that those who missed the news learn it too.
    fn add_repeated(&mut self, draft: &mut Draft) {
        self.rotation = self.rotation.wrapping_add(REPEATED_RECORDS);
        let members: Vec<_> = self.members.values().filter(|it| it.is_alive()).collect();
        for member in in_turn(&members, self.rotation) {
            if !draft.names(&member.name) {
                draft.add(member.write(&self.data_centre), |gossip| {
                    &mut gossip.members
                });
            }
        }
        let mut news: Vec<_> = self.departures.iter().map(|(target, _)| target).collect();
        news.sort_unstable();
        for target in in_turn(&news, self.rotation) {
            if let Some(news) = self.departures.write(*target) {
                draft.add(news, |gossip| &mut gossip.departures);
            }
        }
    }
}

/// Returns the few items whose turn it is.
fn in_turn<T>(items: &[T], turn: usize) -> impl Iterator<Item = &T> {
    let start = turn % items.len().max(1);
    let count = REPEATED_RECORDS.min(items.len());
    items.iter().cycle().skip(start).take(count)
}

/// Adds own counters that the peers have not been told; all of them start again when all are told.
fn add_own<K: Copy + Eq + Hash, T: Copy, M: prost::Message>(
    draft: &mut Draft,
    own: &mut Arena<K, Own<T>>,
    write: fn(K, T) -> M,
    list: fn(&mut Gossip) -> &mut Vec<M>,
) {
    if own.values().all(|item| item.told) {
        own.iter_mut().for_each(|(_, item)| item.told = false);
    }
    for (key, item) in own.iter_mut() {
        if item.told {
            continue;
        }
        if !draft.add(write(key, item.value), list) {
            return;
        }
        item.told = true;
    }
}

fn write_use(target: key::Target, (sent, finished, tokens): (u64, u64, u64)) -> msg::Counter {
    msg::Counter {
        target: target.raw(),
        sent,
        finished,
        tokens,
    }
}

fn write_demand(customer: key::Customer, (requests, in_flight): (u32, u32)) -> msg::Demand {
    msg::Demand {
        customer: customer.raw(),
        requests,
        in_flight,
    }
}
