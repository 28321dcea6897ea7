//! An entry VM as seen by its peers.

use {
    base::{Instant, key},
    derive_more::{Debug, Display},
    std::{cmp::Ordering, net::SocketAddr},
    wire::msg,
};

/// State of a member in the view of this VM.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum State {
    /// The member answers.
    Live,
    /// The member missed a probe of this VM, which pings it again; not gossiped to others.
    Suspect,
    /// The member announced its planned stop; holds for the rest of its incarnation.
    Leaving,
    /// The member did not answer within the suspicion timeout.
    Dead,
}

/// An entry VM of this data centre.
#[derive(Clone, Debug)]
pub struct Member {
    /// Hash of its name.
    pub key: key::Vm,
    /// Name of the VM, which identifies it in gossip messages.
    pub name: Box<str>,
    /// Incarnation of its process; rises with each start.
    pub incarnation: u64,
    /// Rises when the member refutes a record that declares it dead.
    pub refutation: u32,
    /// State in the view of this VM.
    pub state: State,
    /// Address of the inner protocol.
    pub address: SocketAddr,
    /// When this VM first saw it in this state.
    pub since: Instant,
    /// When it last answered or sent a datagram itself.
    pub last_heard: Option<Instant>,
    /// Set while it doesn't answer this VM.
    pub(crate) suspicion: Option<Suspicion>,
}

/// The suspicion that a member has failed, raised by a missed probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Instant,
    /// Number of the last probe since then; 0 before the first.
    pub(crate) number: u64,
    /// Direct pings sent since then.
    pub(crate) probes: u32,
}

impl Member {
    /// Returns whether it is not declared dead; a suspected or leaving member is alive.
    pub fn is_alive(&self) -> bool {
        self.state != State::Dead
    }

    /// Records that it answered, which ends a suspicion; returns whether it was suspect.
    pub(crate) fn record_contact(&mut self, now: Instant) -> bool {
        self.last_heard = Some(now);
        self.suspicion = None;
        let was_suspect = self.state == State::Suspect;
        if was_suspect {
            self.state = State::Live;
            self.since = now;
        }
        was_suspect
    }

    /// Returns whether it may be given work: alive and not leaving.
    pub fn is_available(&self) -> bool {
        matches!(self.state, State::Live | State::Suspect)
    }

    /// Decodes a gossiped record; `None` if it is malformed.
    pub(crate) fn from_message(now: Instant, record: &msg::Member) -> Option<Self> {
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
            suspicion: None,
        })
    }

    /// Encodes the record for gossip; a suspicion stays local, so it is sent as live.
    pub(crate) fn to_message(&self, data_centre: &str) -> msg::Member {
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

    /// Merges a record of the same VM; returns whether it takes precedence over the known one.
    ///
    /// Within an incarnation a leaving member stays leaving unless it is declared dead.
    pub(crate) fn merge(&mut self, newer: Self) -> bool {
        let order = self.precedence().cmp(&newer.precedence());
        if order != Ordering::Less {
            return false;
        }
        let is_same_process = self.incarnation == newer.incarnation;
        let stays_leaving =
            is_same_process && self.state == State::Leaving && newer.state < State::Leaving;
        let last_heard = if is_same_process {
            self.last_heard
        } else {
            None
        };
        *self = Self {
            last_heard,
            ..newer
        };
        if stays_leaving {
            self.state = State::Leaving;
        }
        true
    }

    /// Returns the order of records of one VM; the highest is the newest.
    fn precedence(&self) -> (u64, u32, State) {
        (self.incarnation, self.refutation, self.state)
    }
}
