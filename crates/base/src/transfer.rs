//! Bounds on the time and the size of a response.

use std::time::Duration;

/// How long a response may take and how much it may carry.
///
/// A large response that makes progress is not given up, since the next attempt would carry the
/// same bytes again.
#[derive(Clone, Copy, Debug, Eq, PartialEq, bon::Builder)]
pub struct Bounds {
    /// Time from the request to the head of the response.
    pub head: Duration,
    /// Longest time between two parts of the body.
    pub stall: Duration,
    /// Time from the request to the end of the body.
    pub total: Duration,
    /// Maximum size of the body in bytes.
    pub bytes: usize,
}

impl Bounds {
    /// Returns the bounds of a small response, which has to be complete within `timeout`.
    pub const fn within(timeout: Duration, bytes: usize) -> Self {
        Self {
            head: timeout,
            stall: timeout,
            total: timeout,
            bytes,
        }
    }
}
