//! Limits of a registry.

use std::time::Duration;

/// How long a registry keeps records, and how many.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for which a finished call is kept; a reused bare key denotes the same call for as long.
    pub retention: Duration,
    /// Time from issue to expiry of a ticket.
    pub ticket_lifetime: Duration,
    /// Maximum number of records, and of sealed keys.
    pub max_records: usize,
    /// Maximum total size of the replies in the records, in bytes.
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
