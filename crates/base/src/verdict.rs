//! Knowledge of whether a request has run.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What is known of a request's execution on a target.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of it reached a target, or the target refused it before it started to run it.
    #[display("not_run")]
    NotRun,
    /// It was sent to a target, and the outcome is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// A target ran it.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Returns whether the request can be retried without running twice.
    pub fn is_repeatable(self) -> bool {
        self == Self::NotRun
    }

    /// Combines the verdicts of two attempts of one request.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}
