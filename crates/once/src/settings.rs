//! Limits of the records.

use std::time::Duration;

/// How long and how many calls are remembered.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for which the result of a call is kept; a bare key means the same call for that long.
    pub retention: Duration,
    /// Time for which a ticket can be used.
    pub ticket_lifetime: Duration,
    /// Most records, and most sealed keys.
    pub max_records: usize,
    /// Most bytes of answers in the records.
    pub max_reply_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            ticket_lifetime: Duration::from_secs(3600),
            max_records: 65_536,
            max_reply_bytes: 16 << 20,
        }
    }
}
