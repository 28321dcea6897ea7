//! Non-blocking logs of JSON lines.
//!
//! The logging thread formats a line and puts it into a bounded queue; a separate thread writes it.
//! A line is dropped and counted if the queue is full or the write fails. The log reports the count
//! as soon as it can be written again.

use {
    crate::Error,
    config::settings,
    derive_more::Debug,
    fern::FormatCallback,
    log::{
        Record,
        kv::{self, Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{
        fmt::Arguments,
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, SystemTime},
    },
};

/// Longest time that a stopping process waits for queued lines to be written.
pub const FLUSH_LIMIT: Duration = Duration::from_secs(1);
/// Interval of the check whether the queue is flushed.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest message or text field in bytes; longer ones are truncated.
const TEXT_LIMIT: usize = 2048;
/// Interval of the check for dropped lines to report while no line arrives.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Where the lines are written to.
type Sink = Box<dyn Write + Send>;

/// The queue of lines for the writer thread.
#[derive(Clone, Debug)]
pub struct Queue {
    #[debug(skip)]
    lines: SyncSender<Box<str>>,
    counts: Arc<Counts>,
}

/// Numbers of lines since the start of the process.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    /// Queued lines that the writer has written or dropped.
    processed: AtomicU64,
    dropped: AtomicU64,
}

/// Installs the process's logger, as configured.
///
/// # Errors
/// Returns an error if the file can't be opened or a logger is installed already.
pub fn start(settings: &settings::Log, vm: &str) -> Result<Queue, Error> {
    let sink: Sink = match &settings.file {
        Some(path) => Box::new(fern::log_file(path).map_err(|error| Error::file(path, error))?),
        None => Box::new(io::stdout()),
    };
    let queue = Queue::start(sink, settings.queue as usize, vm);
    let (lines, vm) = (queue.clone(), Box::from(vm));
    fern::Dispatch::new()
        .level(settings.level)
        .format(move |out, message, record| format(out, &vm, message, record))
        .chain(fern::Output::call(move |record| {
            lines.push(record.args().to_string().into());
        }))
        .apply()
        .map_err(|error| Error::new(error.to_string()))?;
    Ok(queue)
}

impl Queue {
    /// Starts the thread that writes lines to a sink; the queue holds `capacity` lines.
    pub fn start(sink: Sink, capacity: usize, vm: &str) -> Self {
        let (lines, receiver) = sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        let writer = Writer {
            sink,
            vm: vm.into(),
            counts: Arc::clone(&counts),
            reported: 0,
            is_partial: false,
        };
        thread::spawn(move || writer.run(&receiver));
        Self { lines, counts }
    }

    /// Queues a line, or drops and counts it if the queue is full; never waits.
    pub fn push(&self, line: Box<str>) {
        if self.lines.try_send(line).is_ok() {
            self.counts.queued.fetch_add(1, Ordering::Release);
        } else {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits at most `limit` until the lines queued so far are written or dropped.
    ///
    /// Returns whether they all are.
    pub fn flush(&self, limit: Duration) -> bool {
        let deadline = std::time::Instant::now() + limit;
        let queued = self.counts.queued.load(Ordering::Acquire);
        while self.counts.processed.load(Ordering::Acquire) < queued {
            if std::time::Instant::now() >= deadline {
                return false;
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        true
    }
}

/// The writer thread's state.
struct Writer {
    sink: Sink,
    vm: Box<str>,
    counts: Arc<Counts>,
    /// Dropped lines that the log has reported.
    reported: u64,
    /// Whether the last line may have been written only partly.
    is_partial: bool,
}

impl Writer {
    fn run(mut self, lines: &Receiver<Box<str>>) {
        loop {
            match lines.recv_timeout(REPORT_INTERVAL) {
                Ok(line) => {
                    self.report_dropped();
                    if !self.write(&line) {
                        self.counts.dropped.fetch_add(1, Ordering::Relaxed);
                    }
                    self.counts.processed.fetch_add(1, Ordering::Release);
                }
                Err(RecvTimeoutError::Timeout) => self.report_dropped(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Writes the number of dropped lines, if it has changed since the last report.
    fn report_dropped(&mut self) {
        let dropped = self.counts.dropped.load(Ordering::Relaxed);
        if dropped == self.reported {
            return;
        }
        let line = json!({
            "time": timestamp(),
            "level": "WARN",
            "vm": self.vm,
            "event": "log",
            "message": "log lines were dropped",
            "dropped": dropped,
        });
        if self.write(&line.to_string()) {
            self.reported = dropped;
        }
    }

    /// Writes a line, after a line break if the previous line may be incomplete.
    fn write(&mut self, line: &str) -> bool {
        let start = if self.is_partial { "\n" } else { "" };
        let line = format!("{start}{line}\n");
        let written = self.sink.write_all(line.as_bytes());
        let written = written.and_then(|()| self.sink.flush());
        self.is_partial = written.is_err();
        written.is_ok()
    }
}

fn format(out: FormatCallback<'_>, vm: &str, message: &Arguments<'_>, record: &Record<'_>) {
    let mut fields = Fields(Map::new());
    let mut insert = |key: &str, value: serde_json::Value| {
        fields.0.insert(key.to_owned(), value);
    };
    insert("time", json!(timestamp()));
    insert("level", json!(record.level().as_str()));
    insert("vm", json!(vm));
    insert("event", json!(record.target()));
    insert("message", json!(truncate(message.to_string())));
    let _ = record.key_values().visit(&mut fields);
    out.finish(format_args!("{}", serde_json::Value::Object(fields.0)));
}

/// Truncates an overlong text, such as one that a caller sent.
fn truncate(mut text: String) -> String {
    if text.len() > TEXT_LIMIT {
        let boundary = (0..=TEXT_LIMIT).rev().find(|&at| text.is_char_boundary(at));
        text.truncate(boundary.unwrap_or_default());
        text.push('…');
    }
    text
}

/// Returns the current UTC time in RFC 3339 format with microseconds.
fn timestamp() -> String {
    humantime::format_rfc3339_micros(SystemTime::now()).to_string()
}

/// Collects the key-value pairs of a record as JSON fields.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(flag) = value.to_bool() {
            json!(flag)
        } else if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else {
            json!(truncate(value.to_string()))
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
