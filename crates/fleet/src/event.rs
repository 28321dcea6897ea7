//! What the membership is told, and what it asks for.

use {
    crate::{Member, Observation, Version},
    base::key,
    config::Snapshot,
    derive_more::Debug,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    wire::msg::Gossip,
};

/// Time over which the requests of [`Event::Demand`] are counted.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// What the world tells the membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration version is in force here.
    Configuration(Arc<Snapshot>),
    /// An authentic datagram came.
    Received {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        message: Box<Gossip>,
    },
    /// Something was learned of a target.
    TargetObserved {
        /// The target.
        target: key::Target,
        /// What was learned.
        observation: Observation,
    },
    /// A target reported its load.
    LoadReport {
        /// The target.
        target: key::Target,
        /// Rises with each report of one process of the target.
        sequence: u64,
        /// Whether it says that it is leaving.
        leaving: bool,
    },
    /// The platform's list was read: each name and whether it is leaving.
    TargetList(Vec<(Box<str>, bool)>),
    /// What this VM has sent to a target changed.
    Usage {
        /// The target.
        target: key::Target,
        /// Requests sent since the start.
        sent: u64,
        /// Requests finished since the start.
        finished: u64,
        /// Tokens of context held there now.
        tokens: u64,
    },
    /// What a customer asked of this VM over the last window.
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
    /// Time has passed.
    Tick,
}

/// What the membership asks for or has found.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What to say.
        message: Box<Gossip>,
    },
    /// What is believed of a member changed.
    Member(Box<Member>),
    /// A peer announced its configuration.
    VersionAnnounced {
        /// Address of the peer's inner protocol.
        peer: SocketAddr,
        /// What it has in force.
        version: Version,
    },
    /// What is believed of a target changed.
    Departure {
        /// The target.
        target: key::Target,
        /// Whether it is leaving.
        leaving: bool,
        /// What this VM learned itself; `None` if a peer told it.
        observation: Option<Observation>,
    },
    /// What a peer has on a target.
    PeerUsage {
        /// The peer.
        vm: key::Vm,
        /// The target.
        target: key::Target,
        /// Requests that have not finished.
        requests: u32,
        /// Tokens of context.
        tokens: u64,
    },
    /// What a customer asked of a peer over the last window.
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
    /// This process was paused; all that it knows is stale until [`Action::Refreshed`].
    Paused(Duration),
    /// Peers have answered since the start or the last pause.
    Refreshed,
}
