//! What the placement is told, and what it asks for.

use {
    crate::Fence,
    base::key,
    config::Snapshot,
    derive_more::{Debug, Display},
    std::sync::Arc,
};

/// The state that an engine was last ordered to take.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Fencing number of that order.
    pub fence: Fence,
    /// Models of that order, as `NAME@VERSION`.
    pub models: Vec<Box<str>>,
    /// Models that are loaded by now.
    pub loaded: Vec<Box<str>>,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// The engine took it.
    #[display("accepted")]
    Accepted,
    /// The engine holds a higher fencing number.
    #[display("stale, engine holds {_0}")]
    Stale(Fence),
    /// The engine did not answer.
    #[display("failed")]
    Failed,
}

/// Why an order is made.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// A copy that the configuration asks for is missing.
    Missing,
    /// The engine holds something that the configuration does not name.
    Obsolete,
    /// Demand moved.
    Demand,
}

/// What the world tells the placement.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration version is in force.
    Configuration(Arc<Snapshot>),
    /// The entry VMs of this data centre that take work, this one included.
    Members(Vec<key::Vm>),
    /// The view of the peers is fresh, or is not after a pause.
    MembershipFresh(bool),
    /// A target is leaving, or not any more.
    Leaving {
        /// The target.
        target: key::Target,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An engine reported what it has loaded, as `NAME@VERSION`.
    Loaded {
        /// The engine.
        target: key::Target,
        /// What is loaded.
        models: Vec<Box<str>>,
    },
    /// Requests a second for a model.
    Demand {
        /// The model.
        model: key::Model,
        /// Requests a second.
        rate: f64,
    },
    /// The answer to [`Action::ReadState`]; `None` if the engine did not answer.
    StateRead {
        /// The engine.
        target: key::Target,
        /// What it holds.
        state: Option<EngineState>,
    },
    /// The answer to [`Action::ConfirmVersion`]: the highest version that peers have in force; `None` if
    /// none of them answered.
    VersionConfirmed {
        /// The engine.
        target: key::Target,
        /// The version.
        version: Option<u64>,
    },
    /// The answer to [`Action::Order`].
    Ordered {
        /// The engine.
        target: key::Target,
        /// How it ended.
        outcome: Outcome,
    },
    /// Time has passed.
    Tick,
}

/// What the placement asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read what an engine holds.
    ReadState(key::Target),
    /// Ask peers which version they have in force.
    ConfirmVersion(key::Target),
    /// Order an engine to take a state.
    Order {
        /// The engine.
        target: key::Target,
        /// The fencing number.
        fence: Fence,
        /// The models, as `NAME@VERSION`.
        models: Vec<Box<str>>,
        /// Why.
        cause: Cause,
    },
}
