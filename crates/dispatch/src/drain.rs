//! Which requests a VM that stops still takes.
//!
//! The load balancer goes on sending new connections to a VM for a while, so a request that is
//! refused may well come back to it. Until that is over, an estimate decides. After that every other
//! VM is as near, and only what is certain to end is taken.

use {base::Instant, std::time::Duration};

/// Time between the end of a request and the end of the drain, for the response to be written.
const RESERVE: Duration = Duration::from_millis(100);

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Time until which new connections are expected.
    pub first_part_end: Instant,
    /// Time at which what is in progress is given up.
    pub end: Instant,
}

impl Drain {
    /// Returns whether a request may be sent to a target now.
    ///
    /// It is given up at its `deadline`, and `estimate` is how long it is expected to take.
    pub fn admits(&self, now: Instant, deadline: Instant, estimate: Duration) -> bool {
        let is_certain = deadline + RESERVE <= self.end;
        let is_expected = now < self.first_part_end && now + estimate + RESERVE <= self.end;
        now < self.end && (is_certain || is_expected)
    }
}
