//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Prefix of the attempts that are not recorded, as there are thousands of them.
pub const BACKGROUND: &str = "bg-";

/// Writes lines with the time since the start; clones share the file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("record.txt is created"),
            )),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line, unless it is about [`BACKGROUND`] traffic.
    pub fn line(&self, text: &str) {
        if text.contains(BACKGROUND) {
            return;
        }
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:8.3} {text}").expect("record.txt is written");
    }
}
