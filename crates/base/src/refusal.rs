//! The error with which the system ends a request that it could not serve.

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
    /// A size limit was exceeded.
    TooLarge,
    /// The customer key is missing or wrong.
    Unauthorized,
    /// The token or ticket belongs to another customer.
    Forbidden,
    /// The service, path or generation is not known.
    NotFound,
    /// The customer is over its limit.
    CustomerLimit,
    /// The predicted wait exceeds the deadline, or a capacity limit is reached.
    Overloaded,
    /// The deadline has passed.
    Deadline,
    /// No target can take the request.
    NoTarget,
    /// All targets are in data centres that the operator has taken out of service.
    Cordoned,
    /// This VM is leaving or not ready.
    NotReady,
    /// Engines crash on a part of the prompt.
    Quarantined,
    /// The target refused the request before it started to run it.
    TargetRefused,
    /// The target or the connection to it was lost.
    TargetLost,
    /// The target's answer is not a valid answer to this request.
    TargetInvalid,
    /// The entry VM that owns the call was lost.
    PeerLost,
    /// The ticket is malformed, expired or used with another request.
    BadTicket,
    /// The incarnation that issued the ticket is gone.
    TicketVmGone,
    /// The VM responsible for the idempotency key can't rule out an earlier run.
    KeyInDoubt,
    /// The idempotency key was used with another request.
    KeyConflict,
    /// The record of the call, with its answer, is no longer kept.
    RecordDropped,
    /// An error inside the system.
    Internal,
}

/// A refusal, with what is known of the request's execution.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{reason} ({verdict}): {message}")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// Delay after which a retry may succeed; `None` if waiting doesn't help.
    pub retry_after: Option<Duration>,
    /// Description for people; not meant to be parsed.
    pub message: Box<str>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
