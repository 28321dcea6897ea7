//! `[log]`: the log of the process.

use {
    crate::{ini::Reader, settings::Section, value},
    std::path::PathBuf,
};

/// The log of the process.
#[derive(Clone, Debug)]
pub struct Log {
    /// File to append to; standard output if `None`.
    pub file: Option<PathBuf>,
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Capacity of the write queue in lines; further lines are dropped and counted.
    pub queue: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            file: None,
            level: log::LevelFilter::Info,
            queue: 8192,
        }
    }
}

impl Section for Log {
    fn read(&mut self, reader: &Reader<'_>) {
        self.file = reader.optional("file", value::file);
        reader.update("level", &mut self.level, level);
        reader.update("queue", &mut self.queue, value::positive);
    }
}

fn level(value: &str) -> Result<log::LevelFilter, &'static str> {
    value
        .parse()
        .map_err(|_error| "off, error, warn, info, debug or trace")
}
