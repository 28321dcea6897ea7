//! Input and output of the membership state machine.

use {
    crate::{Member, Observation, Version},
    base::key,
    config::Snapshot,
    derive_more::Debug,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    wire::msg::Gossip,
};

/// Time window over which the requests of [`Event::Demand`] are counted.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Input of the [`Membership`](crate::Membership) state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration became active on this VM.
    Configuration(Arc<Snapshot>),
    /// A datagram with a valid MAC was received.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The decoded message.
        message: Box<Gossip>,
    },
    /// This VM observed whether a target is leaving.
    TargetObserved {
        /// The target.
        target: key::Target,
        /// What was observed.
        observation: Observation,
    },
    /// A target reported its load.
    LoadReport {
        /// The target.
        target: key::Target,
        /// Rises with each report of one process of the target.
        sequence: u64,
        /// Whether the report says that the target is leaving.
        leaving: bool,
    },
    /// The platform's list was read: each target's name and whether it is leaving.
    TargetList(Vec<(Box<str>, bool)>),
    /// This VM's usage of a target changed.
    Usage {
        /// The target.
        target: key::Target,
        /// Requests sent since the start of this process.
        sent: u64,
        /// Requests finished since the start of this process.
        finished: u64,
        /// Context tokens held on the target now.
        tokens: u64,
    },
    /// A customer's demand on this VM over the last [`DEMAND_WINDOW`].
    Demand {
        /// The customer.
        customer: key::Customer,
        /// Requests in the window.
        requests: u32,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The platform answered this VM.
    PlatformAnswered,
    /// This VM begins its planned stop.
    Leave,
    /// Sent every [`TICK`](crate::membership::TICK).
    Tick,
}

/// Output of the [`Membership`](crate::Membership) state machine.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message to encode.
        message: Box<Gossip>,
    },
    /// A member's record changed.
    Member(Box<Member>),
    /// A peer announced a newer configuration than the active one.
    VersionAnnounced {
        /// Address of the peer's inner protocol.
        peer: SocketAddr,
        /// Its active version.
        version: Version,
    },
    /// A target began to leave, or is found not to be leaving.
    Departure {
        /// The target.
        target: key::Target,
        /// Whether it is leaving.
        leaving: bool,
        /// What this VM observed; `None` if it learned this from a peer.
        observation: Option<Observation>,
    },
    /// A peer's usage of a target.
    PeerUsage {
        /// The peer.
        vm: key::Vm,
        /// The target.
        target: key::Target,
        /// Requests that have not finished.
        requests: u32,
        /// Context tokens held on the target.
        tokens: u64,
    },
    /// A customer's demand on a peer over the last [`DEMAND_WINDOW`].
    PeerDemand {
        /// The peer.
        vm: key::Vm,
        /// The customer.
        customer: key::Customer,
        /// Requests in the window.
        requests: u32,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The process was paused for this long; its view is stale until [`Action::Refreshed`].
    Paused(Duration),
    /// Peers have answered since the start or the last pause; the view is fresh.
    Refreshed,
}
