//! `[limits]`: timeouts, sizes and counts.

use {
    crate::{ini::Reader, settings::Section, unit, value},
    std::{ops::RangeInclusive, time::Duration},
};

/// Timeouts, sizes and counts that protect the process from slow or oversized requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of concurrent caller connections.
    pub connections: u32,
    /// Maximum size of the headers of a request in bytes.
    pub header_limit: u64,
    /// Timeout to receive the headers of a request.
    pub header_timeout: Duration,
    /// Timeout to receive the body of a request.
    pub body_timeout: Duration,
    /// Timeout without progress while a response is sent.
    pub write_timeout: Duration,
    /// Timeout to connect to a target or a peer.
    pub connect_timeout: Duration,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain_timeout: Duration,
    /// Number of worker threads of the executor.
    pub threads: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_limit: 64 << 10,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(1),
            drain_timeout: Duration::from_secs(600),
            threads: 2,
        }
    }
}

impl Section for Limits {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("connections", &mut self.connections, value::positive);
        reader.update("header_limit", &mut self.header_limit, header_limit);
        reader.update("header_timeout", &mut self.header_timeout, value::duration);
        reader.update("body_timeout", &mut self.body_timeout, value::duration);
        reader.update("write_timeout", &mut self.write_timeout, value::duration);
        reader.update(
            "connect_timeout",
            &mut self.connect_timeout,
            value::duration,
        );
        reader.update("drain_timeout", &mut self.drain_timeout, value::duration);
        reader.update("threads", &mut self.threads, value::positive);
    }
}

/// Parses the header limit; the HTTP library needs a buffer of at least 8 KiB.
fn header_limit(value: &str) -> Result<u64, Box<str>> {
    const PERMITTED: RangeInclusive<u64> = 8 << 10..=1 << 20;
    match unit::size(value)? {
        size if PERMITTED.contains(&size) => Ok(size),
        _ => Err("a size from 8KiB to 1MiB".into()),
    }
}
