//! Probes in flight: the ping of this period and the pings made on behalf of others.

use {
    base::{Instant, key},
    rand::{rngs::SmallRng, seq::SliceRandom},
    std::{net::SocketAddr, time::Duration},
};

/// How long a ping on behalf of another member is remembered.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Most pings on behalf of others that are remembered.
const RELAYS: usize = 64;

/// The ping of this period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) subject: key::Vm,
    pub(crate) sent: Instant,
    /// Whether others were asked to ping the subject too.
    pub(crate) relayed: bool,
    pub(crate) answered: bool,
}

/// A ping on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    number: u64,
    /// The number that the other member gave.
    pub(crate) original: u64,
    pub(crate) requester: SocketAddr,
    sent: Instant,
}

/// Probes in flight and the order of the next ones.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    pub(crate) current: Option<Probe>,
    relays: Vec<Relay>,
    round: Vec<key::Vm>,
    number: u64,
}

impl Prober {
    /// Returns the number of the next ping.
    pub(crate) fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Returns the number of the last ping.
    pub(crate) fn last(&self) -> u64 {
        self.number
    }

    /// Returns the next member to ping; each comes once a round, in random order.
    pub(crate) fn next(
        &mut self,
        rng: &mut SmallRng,
        members: impl Fn() -> Vec<key::Vm>,
    ) -> Option<key::Vm> {
        if self.round.is_empty() {
            self.round = members();
            self.round.shuffle(rng);
        }
        self.round.pop()
    }

    /// Remembers a ping on behalf of another member.
    pub(crate) fn relay(&mut self, now: Instant, number: u64, original: u64, from: SocketAddr) {
        self.relays
            .retain(|relay| now.since(relay.sent) < RELAY_TIMEOUT);
        if self.relays.len() == RELAYS {
            self.relays.remove(0);
        }
        self.relays.push(Relay {
            number,
            original,
            requester: from,
            sent: now,
        });
    }

    /// Returns for whom a ping was made, once.
    pub(crate) fn take_relay(&mut self, number: u64) -> Option<Relay> {
        let index = self
            .relays
            .iter()
            .position(|relay| relay.number == number)?;
        Some(self.relays.swap_remove(index))
    }

    /// Forgets all probes in flight, as after a pause.
    pub(crate) fn reset(&mut self) {
        self.current = None;
        self.relays.clear();
    }
}
