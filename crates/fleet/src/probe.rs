//! Probes in flight: the ping of this period and the pings relayed for other members.

use {
    base::{Instant, key},
    rand::{rngs::SmallRng, seq::SliceRandom},
    std::{net::SocketAddr, time::Duration},
};

/// How long a relayed ping is remembered.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Most relayed pings that are remembered.
const MAX_RELAYS: usize = 64;

/// The ping of this period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) subject: key::Vm,
    pub(crate) sent_at: Instant,
    /// Whether indirect probes were requested.
    pub(crate) is_relayed: bool,
    pub(crate) is_answered: bool,
}

/// A ping relayed for another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    /// Number of the relayed ping.
    number: u64,
    /// Number of the requester's own probe.
    pub(crate) original_number: u64,
    pub(crate) requester: SocketAddr,
    sent_at: Instant,
}

/// Probes in flight and the order of the next subjects.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    pub(crate) current: Option<Probe>,
    relays: Vec<Relay>,
    /// Members that are still to be pinged in this round.
    round: Vec<key::Vm>,
    number: u64,
}

impl Prober {
    /// Returns a new probe number; the first is 1.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Returns the number of the last probe.
    pub(crate) fn last_number(&self) -> u64 {
        self.number
    }

    /// Returns the next member to ping; each comes once a round, in random order.
    pub(crate) fn next_subject(
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

    /// Remembers a ping relayed for another member.
    pub(crate) fn add_relay(
        &mut self,
        now: Instant,
        number: u64,
        original_number: u64,
        requester: SocketAddr,
    ) {
        self.relays
            .retain(|relay| now.since(relay.sent_at) < RELAY_TIMEOUT);
        if self.relays.len() == MAX_RELAYS {
            self.relays.remove(0);
        }
        self.relays.push(Relay {
            number,
            original_number,
            requester,
            sent_at: now,
        });
    }

    /// Removes and returns the relay of a ping, if it was relayed.
    pub(crate) fn take_relay(&mut self, number: u64) -> Option<Relay> {
        let index = self
            .relays
            .iter()
            .position(|relay| relay.number == number)?;
        Some(self.relays.swap_remove(index))
    }

    /// Forgets all probes in flight, as needed after a pause.
    pub(crate) fn reset(&mut self) {
        self.current = None;
        self.relays.clear();
    }
}
