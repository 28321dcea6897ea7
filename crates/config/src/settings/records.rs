//! `[records]`: records of calls that run at most once.

use {
    crate::{ini::Reader, settings::Section, unit, value},
    std::time::Duration,
};

/// Records of calls that run at most once; the durations must be the same on every entry VM.
#[derive(Clone, Debug)]
pub struct Records {
    /// Time for which results are kept and an idempotency key without a ticket means the same call.
    pub window: Duration,
    /// Time for which a ticket is valid.
    pub ticket_lifetime: Duration,
    /// Maximum number of records.
    pub limit: u32,
    /// Maximum size of all recorded responses in bytes.
    pub size: u64,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            ticket_lifetime: Duration::from_secs(3600),
            limit: 65_536,
            size: 16 << 20,
        }
    }
}

impl Section for Records {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("window", &mut self.window, value::duration);
        reader.update(
            "ticket_lifetime",
            &mut self.ticket_lifetime,
            value::duration,
        );
        reader.update("limit", &mut self.limit, value::positive);
        reader.update("size", &mut self.size, unit::size);
    }
}
