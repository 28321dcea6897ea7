//! One entry VM as its peers see it.

use {
    base::{Instant, key},
    derive_more::{Debug, Display},
    std::{cmp::Ordering, net::SocketAddr},
    wire::msg,
};

/// What is believed of a member.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum State {
    /// It answers.
    Live,
    /// It did not answer this VM, which goes on asking for a while; not told to others.
    Suspect,
    /// It announced its planned stop; stays so for the whole incarnation.
    Leaving,
    /// It did not contradict in time.
    Dead,
}

/// An entry VM of this data centre.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its key.
    pub key: key::Vm,
    /// Its name.
    pub name: Box<str>,
    /// Incarnation of its process; rises with each start.
    pub incarnation: u64,
    /// Rises when it contradicts a report that it is suspect or dead.
    pub refutation: u32,
    /// What is believed of it.
    pub state: State,
    /// Address of the inner protocol.
    pub address: SocketAddr,
    /// Since when it has been in this state, as seen here.
    pub since: Instant,
    /// When a datagram last came from itself.
    pub last_heard: Option<Instant>,
    /// Since when it has not answered.
    pub(crate) silent: Option<Silence>,
}

/// A member's silence towards this VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) since: Instant,
    /// Number of the last check.
    pub(crate) number: u64,
    /// Checks that were sent.
    pub(crate) checks: u32,
}

impl Member {
    /// Returns whether it can take part: live, or not yet known to have failed.
    pub fn is_alive(&self) -> bool {
        self.state != State::Dead
    }

    /// Notes that it answered; returns whether it was suspect.
    pub(crate) fn hear(&mut self, now: Instant) -> bool {
        self.last_heard = Some(now);
        self.silent = None;
        let suspect = self.state == State::Suspect;
        if suspect {
            self.state = State::Live;
            self.since = now;
        }
        suspect
    }

    /// Returns whether work may be given to it.
    pub fn is_available(&self) -> bool {
        matches!(self.state, State::Live | State::Suspect)
    }

    /// Reads a record; `None` if it is malformed.
    pub(crate) fn read(now: Instant, record: &msg::Member) -> Option<Self> {
        let state = match record.state() {
            msg::MemberState::Unspecified => return None,
            msg::MemberState::Live | msg::MemberState::Suspect => State::Live,
            msg::MemberState::Leaving => State::Leaving,
            msg::MemberState::Dead => State::Dead,
        };
        Some(Self {
            key: key::Vm::of(&record.vm),
            name: record.vm.as_str().into(),
            incarnation: record.incarnation,
            refutation: record.refutation,
            state,
            address: record.address.parse().ok()?,
            since: now,
            last_heard: None,
            silent: None,
        })
    }

    /// Writes the record.
    pub(crate) fn write(&self, data_centre: &str) -> msg::Member {
        let state = match self.state {
            State::Live | State::Suspect => msg::MemberState::Live,
            State::Leaving => msg::MemberState::Leaving,
            State::Dead => msg::MemberState::Dead,
        };
        msg::Member {
            vm: self.name.to_string(),
            incarnation: self.incarnation,
            state: state.into(),
            address: self.address.to_string(),
            data_centre: data_centre.to_owned(),
            refutation: self.refutation,
        }
    }

    /// Takes a newer record of the same VM; returns whether anything changed.
    pub(crate) fn merge(&mut self, newer: Self) -> bool {
        let order = self.precedence().cmp(&newer.precedence());
        if order != Ordering::Less {
            return false;
        }
        let same = self.incarnation == newer.incarnation;
        let leaving = same && self.state == State::Leaving && newer.state < State::Leaving;
        let last_heard = if same { self.last_heard } else { None };
        *self = Self {
            last_heard,
            ..newer
        };
        if leaving {
            self.state = State::Leaving;
        }
        true
    }

    fn precedence(&self) -> (u64, u32, State) {
        (self.incarnation, self.refutation, self.state)
    }
}
