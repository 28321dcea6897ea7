//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A record with times in seconds since its creation; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Returns the time since the record began.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, kind: &str, text: &str) {
        let line = format!("{:8.3} {kind:<9} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
        if matches!(kind, "broken" | "verdict") {
            print!("{line}");
        }
    }
}
