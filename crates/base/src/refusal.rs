//! The final answer to a request that the system has given up on.

use {
    crate::Verdict,
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Why a request was refused; also the `reason` of the JSON error body.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed or names something unknown.
    BadRequest,
    /// A size limit was passed.
    TooLarge,
    /// The customer key is missing or wrong.
    Unauthorized,
    /// The token or ticket belongs to another customer.
    Forbidden,
    /// The service, path or generation is not known.
    NotFound,
    /// The customer is over its limit.
    CustomerLimit,
    /// The predicted wait passes the deadline.
    Overloaded,
    /// The deadline passed while waiting.
    Deadline,
    /// No target can be reached.
    NoTarget,
    /// This VM is leaving or not ready.
    NotReady,
    /// The target refused before it started.
    TargetRefused,
    /// The target or the link to it was lost.
    TargetLost,
    /// The target answered with something that is not its answer to this request.
    TargetInvalid,
    /// The entry VM that owns the call was lost.
    PeerLost,
    /// The ticket is malformed, expired or used with another request.
    BadTicket,
    /// The incarnation that issued the ticket is gone.
    TicketVmGone,
    /// The home of the key can't exclude an earlier run.
    KeyInDoubt,
    /// The key was used with another request.
    KeyConflict,
    /// The record of the call was dropped.
    RecordDropped,
    /// An error inside the system.
    Internal,
}

/// A refusal with its verdict.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{reason} ({verdict}): {message}")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
    /// A sentence for a person.
    pub message: Box<str>,
}

impl Refusal {
    /// Makes a refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(reason, message)
        }
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
