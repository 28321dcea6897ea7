//! What the router is told, and what it asks for.

use {
    base::{Instant, Refusal, key},
    config::Snapshot,
    derive_more::{Debug, Display},
    std::{sync::Arc, time::Duration},
};

/// A request that wants a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its key.
    pub key: key::Request,
    /// Who asks.
    pub customer: key::Customer,
    /// The service asked for.
    pub service: key::Service,
    /// Index of its class within the service.
    pub class: usize,
    /// The model or adapter asked for; `None` for a plain service.
    pub model: Option<key::Model>,
    /// Length of the prompt in tokens, estimated from its bytes.
    pub prompt_tokens: u32,
    /// Most tokens that the caller allows.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Box<[u64]>,
    /// When the answer is due.
    pub deadline: Instant,
    /// Targets that already failed it.
    pub excluded: Vec<key::Target>,
}

/// What an engine or a service says of its load.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Rises with each report of one incarnation of the target.
    pub sequence: u64,
    /// Age of the figures when the report was read.
    pub age: Duration,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// Memory for contexts, in tokens.
    pub memory_total: u64,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Preemptions since the target's start.
    pub preemptions: u64,
    /// Tokens that one request of the batch gets a second now.
    pub tokens_per_second: f64,
    /// Models, adapters and versions that are loaded.
    pub models: Vec<key::Model>,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// It answered in full.
    Complete,
    /// The caller or a newer attempt gave it up.
    Cancelled,
    /// The target refused before it started.
    Refused,
    /// The target or the link failed.
    Failed,
    /// The target said that it is leaving.
    Leaving,
}

/// What the world tells the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration version is in force.
    Configuration(Arc<Snapshot>),
    /// A request wants a target.
    Arrived(Box<Request>),
    /// Tokens of a request came from its target.
    Progress {
        /// The request.
        request: key::Request,
        /// Tokens since the last event.
        tokens: u32,
    },
    /// The attempt of a request ended; its place on the target is free.
    Ended {
        /// The request.
        request: key::Request,
        /// How it ended.
        outcome: Outcome,
    },
    /// A queued request was given up by its caller.
    Cancelled(key::Request),
    /// A target reported its load.
    Report {
        /// The target.
        target: key::Target,
        /// What it said.
        load: Box<Load>,
    },
    /// A target announced prefixes that entered or left its cache; late and with gaps.
    Cache {
        /// The target.
        target: key::Target,
        /// Hashes that entered.
        stored: Vec<u64>,
        /// Hashes that left.
        removed: Vec<u64>,
        /// Whether events before these were lost.
        gap: bool,
    },
    /// A target could not be reached by a probe, or can again.
    Reachable {
        /// The target.
        target: key::Target,
        /// Whether it answered.
        reachable: bool,
    },
    /// A target is leaving, or not any more.
    Leaving {
        /// The target.
        target: key::Target,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// What another entry VM has on a target.
    PeerUsage {
        /// The entry VM.
        vm: key::Vm,
        /// The target.
        target: key::Target,
        /// Requests that it sent and that have not finished.
        requests: u32,
        /// Tokens of context that it holds there.
        tokens: u64,
    },
    /// What a customer asked of another entry VM over the last window.
    PeerDemand {
        /// The entry VM.
        vm: key::Vm,
        /// The customer.
        customer: key::Customer,
        /// Requests a second.
        requests_per_second: f64,
        /// Requests in flight.
        in_flight: u32,
    },
    /// Whether this VM hears its peers, so that what they say of demand is the whole of it.
    PeersConnected(bool),
    /// The number of entry VMs that share the load now, this one included.
    VmCount(u32),
    /// Time has passed.
    Tick,
}

/// What the router asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the target.
    Dispatch(Box<Decision>),
    /// Answer the request with a refusal, at once.
    Refuse {
        /// The request.
        request: key::Request,
        /// The answer.
        refusal: Refusal,
    },
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// It had the best score.
    Score,
    /// It holds the longest prefix of the prompt.
    Prefix,
    /// It was the only one that could take the request.
    Only,
    /// The baseline's own rule.
    Baseline,
    /// A probe of a target that failed before.
    Probe,
}

/// One routing decision, as it is logged.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The request.
    pub request: key::Request,
    /// The chosen target.
    pub target: key::Target,
    /// The candidates with their scores, lower is better.
    pub candidates: Vec<(key::Target, f64)>,
    /// Why this one.
    pub cause: Cause,
    /// Time that the request waited in the queue.
    pub waited: Duration,
    /// Expected output tokens.
    pub expected_tokens: u32,
}
