//! Events and actions of the placement's state machine.

use {
    crate::Fence,
    base::key,
    config::Snapshot,
    derive_more::{Debug, Display},
    std::sync::Arc,
};

/// The last order that an engine accepted, and what it has loaded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Fencing token of the order.
    pub fence: Fence,
    /// Models of the order, as `NAME@VERSION`.
    pub models: Vec<Box<str>>,
    /// Models that are loaded, as `NAME@VERSION`.
    pub loaded: Vec<Box<str>>,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// The engine accepted it.
    #[display("accepted")]
    Accepted,
    /// The engine rejected it, as it holds the higher fencing token given.
    #[display("stale, engine holds {_0}")]
    Stale(Fence),
    /// The engine did not answer.
    #[display("failed")]
    Failed,
}

/// The reason for an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// A copy that the configuration requires is missing.
    Missing,
    /// The engine holds a model or version that the configuration doesn't name.
    Obsolete,
    /// The demand changed.
    Demand,
}

/// An input of the placement.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Configuration(Arc<Snapshot>),
    /// The entry VMs of this data centre that accept work, this one included.
    Members(Vec<key::Vm>),
    /// Whether the membership view is fresh; it isn't after a pause of the process.
    MembershipFresh(bool),
    /// A target is leaving, or no longer is.
    Leaving {
        /// The target.
        target: key::Target,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An engine reported the models that it has loaded.
    Loaded {
        /// The engine.
        target: key::Target,
        /// The loaded models, as `NAME@VERSION`.
        models: Vec<Box<str>>,
    },
    /// A new measurement of the demand for a model.
    Demand {
        /// The model.
        model: key::Model,
        /// Rate in requests a second.
        rate: f64,
    },
    /// The answer to [`Action::ReadState`].
    StateRead {
        /// The engine.
        target: key::Target,
        /// Its state; `None` if the engine did not answer.
        state: Option<EngineState>,
    },
    /// The answer to [`Action::ConfirmVersion`].
    VersionConfirmed {
        /// The engine.
        target: key::Target,
        /// The highest version in force on the peers asked; `None` if no peer answered.
        version: Option<u64>,
    },
    /// The answer to [`Action::Order`].
    Ordered {
        /// The engine.
        target: key::Target,
        /// The outcome of the order.
        outcome: Outcome,
    },
    /// Periodic timer, to read engines whose state is due.
    Tick,
}

/// An output of the placement, to be carried out by its driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the state of an engine.
    ReadState(key::Target),
    /// Ask peers for their configuration version before an order to this engine.
    ConfirmVersion(key::Target),
    /// Order an engine to hold exactly these models.
    Order {
        /// The engine.
        target: key::Target,
        /// The fencing token.
        fence: Fence,
        /// The models, as `NAME@VERSION`.
        models: Vec<Box<str>>,
        /// The reason for the order.
        cause: Cause,
    },
}
