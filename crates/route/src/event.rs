//! Events that the router handles, and actions that it returns.

use {
    base::{Instant, Refusal, key},
    config::Snapshot,
    derive_more::{Debug, Display},
    std::{sync::Arc, time::Duration},
};

/// A request to be routed to a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Key of the request.
    pub key: key::Request,
    /// The customer who sent it.
    pub customer: key::Customer,
    /// The requested service.
    pub service: key::Service,
    /// Index of the class within the service.
    pub class: usize,
    /// The requested model or adapter; `None` for a plain service.
    pub model: Option<key::Model>,
    /// Length of the prompt in tokens, estimated from its bytes.
    pub prompt_tokens: u32,
    /// Most output tokens that the caller allows.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Box<[u64]>,
    /// Deadline of the whole response.
    pub deadline: Instant,
    /// Targets on which earlier attempts failed.
    pub excluded: Vec<key::Target>,
}

/// Load as a target reports it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Sequence number of the report; rises within one incarnation of the target.
    pub sequence: u64,
    /// Age of the values when the report was read.
    pub age: Duration,
    /// Running requests.
    pub running: u32,
    /// Requests queued inside the target.
    pub waiting: u32,
    /// Capacity of the KV cache, in tokens.
    pub memory_total: u64,
    /// KV cache in use, in tokens.
    pub memory_used: u64,
    /// Preemptions since the target started.
    pub preemptions: u64,
    /// Current decode rate of one request of the batch, in tokens per second.
    pub tokens_per_second: f64,
    /// Loaded models, adapters and versions.
    pub models: Vec<key::Model>,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// The target answered in full.
    Complete,
    /// The caller or a newer attempt cancelled it.
    Cancelled,
    /// The target refused it before running it.
    Refused,
    /// The target or the connection failed.
    Failed,
    /// The target answered that it is leaving.
    Leaving,
}

/// Input of a routing policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new configuration applies.
    Configuration(Arc<Snapshot>),
    /// A request arrived and needs a target.
    Arrived(Box<Request>),
    /// A target streamed tokens of a request.
    Progress {
        /// The request.
        request: key::Request,
        /// Tokens since the last event.
        tokens: u32,
    },
    /// An attempt ended; its slot on the target is free.
    Ended {
        /// The request.
        request: key::Request,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// The caller cancelled a queued request.
    Cancelled(key::Request),
    /// A target reported its load.
    Report {
        /// The target.
        target: key::Target,
        /// The reported load.
        load: Box<Load>,
    },
    /// A target announced changes of its prefix cache; announcements come late and can be lost.
    Cache {
        /// The target.
        target: key::Target,
        /// Hashes of cached prefixes.
        stored: Vec<u64>,
        /// Hashes of evicted prefixes.
        removed: Vec<u64>,
        /// Whether earlier announcements were lost.
        gap: bool,
    },
    /// A health check found a target reachable or unreachable.
    Reachable {
        /// The target.
        target: key::Target,
        /// Whether it answered the health check.
        reachable: bool,
    },
    /// A target starts to leave, or no longer leaves.
    Leaving {
        /// The target.
        target: key::Target,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Usage of a target by another entry VM.
    PeerUsage {
        /// The entry VM.
        vm: key::Vm,
        /// The target.
        target: key::Target,
        /// Requests that the VM has in flight there.
        requests: u32,
        /// Context tokens that these requests hold.
        tokens: u64,
    },
    /// Demand of a customer at another entry VM over the last window.
    PeerDemand {
        /// The entry VM.
        vm: key::Vm,
        /// The customer.
        customer: key::Customer,
        /// Requests per second.
        requests_per_second: f64,
        /// Requests in flight.
        in_flight: u32,
    },
    /// Whether this VM receives gossip from its peers, so that their reported demand is complete.
    PeersConnected(bool),
    /// Number of live entry VMs, this one included.
    VmCount(u32),
    /// Time has passed.
    Tick,
}

/// Output of a routing policy.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to the target.
    Dispatch(Box<Decision>),
    /// Refuse the request now.
    Refuse {
        /// The request.
        request: key::Request,
        /// The refusal to answer with.
        refusal: Refusal,
    },
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// It had the best score.
    Score,
    /// It caches the longest prefix of the prompt.
    Prefix,
    /// It was the only candidate.
    Only,
    /// The rule of a baseline policy.
    Baseline,
    /// The request probes an ejected target.
    Probe,
}

/// A routing decision, as logged.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The request.
    pub request: key::Request,
    /// The chosen target.
    pub target: key::Target,
    /// The candidates with their scores; the lowest wins.
    pub candidates: Vec<(key::Target, f64)>,
    /// Why the target was chosen.
    pub cause: Cause,
    /// Time that the request spent in the queue.
    pub waited: Duration,
    /// Expected output length in tokens.
    pub expected_tokens: u32,
}
