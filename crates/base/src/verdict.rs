//! Whether a request may have run.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What is known of the execution of a request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of it can have reached a target, or the target refused before it started.
    #[display("not_run")]
    NotRun,
    /// It was handed over and its fate is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// A target ran it.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Returns whether the request may be sent again without running twice.
    pub fn is_repeatable(self) -> bool {
        self == Self::NotRun
    }

    /// Returns what is known of several attempts of one request, given two of them.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}
