//! Logs as JSON lines that never hold up the process.
//!
//! A line is formatted where it arises and put into a bounded queue; a thread of its own writes it.
//! Lines that find the queue full, or can't be written, are dropped and counted; the log tells the
//! count as soon as it can be written again.

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

/// Longest time that the end of the process waits for lines in the queue.
pub const FLUSH_LIMIT: Duration = Duration::from_secs(1);
/// Time between two looks at the queue while it is flushed.
const FLUSH_POLL: Duration = Duration::from_millis(5);
/// Most bytes of a text in a line.
const TEXT_LIMIT: usize = 2048;
/// Longest time until dropped lines are told, without a line that could be written.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A place that lines are written to.
type Sink = Box<dyn Write + Send>;

/// The queue before the thread that writes lines.
#[derive(Clone, Debug)]
pub struct Queue {
    #[debug(skip)]
    lines: SyncSender<Box<str>>,
    counts: Arc<Counts>,
}

/// Lines since the start of the process.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    handled: AtomicU64,
    dropped: AtomicU64,
}

/// Begins to write logs as the settings say.
///
/// # Errors
/// Returns an error if the file can't be opened or logs are written already.
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
    /// Starts the thread that writes lines to a sink; `capacity` lines may wait.
    pub fn start(sink: Sink, capacity: usize, vm: &str) -> Self {
        let (lines, receiver) = sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        let writer = Writer {
            sink,
            vm: vm.into(),
            counts: Arc::clone(&counts),
            told: 0,
            is_torn: false,
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

    /// Returns the number of lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until the queued lines are written, for at most `limit`; returns whether they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let end = std::time::Instant::now() + limit;
        let target = self.counts.queued.load(Ordering::Acquire);
        while self.counts.handled.load(Ordering::Acquire) < target {
            if std::time::Instant::now() >= end {
                return false;
            }
            thread::sleep(FLUSH_POLL);
        }
        true
    }
}

/// The thread's side of the queue.
struct Writer {
    sink: Sink,
    vm: Box<str>,
    counts: Arc<Counts>,
    /// Dropped lines that the log has told of.
    told: u64,
    /// Whether the last line may have been written in part.
    is_torn: bool,
}

impl Writer {
    fn run(mut self, lines: &Receiver<Box<str>>) {
        loop {
            match lines.recv_timeout(REPORT_INTERVAL) {
                Ok(line) => {
                    self.tell_dropped();
                    if !self.write(&line) {
                        self.counts.dropped.fetch_add(1, Ordering::Relaxed);
                    }
                    self.counts.handled.fetch_add(1, Ordering::Release);
                }
                Err(RecvTimeoutError::Timeout) => self.tell_dropped(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Writes how many lines were dropped, if some were since the last time.
    fn tell_dropped(&mut self) {
        let dropped = self.counts.dropped.load(Ordering::Relaxed);
        if dropped == self.told {
            return;
        }
        let line = json!({
            "time": timestamp(),
            "level": "WARN",
            "vm": self.vm,
            "event": "log",
            "message": "lines of the log were dropped",
            "dropped": dropped,
        });
        if self.write(&line.to_string()) {
            self.told = dropped;
        }
    }

    /// Writes a line; one that follows a torn line begins on a line of its own.
    fn write(&mut self, line: &str) -> bool {
        let start = if self.is_torn { "\n" } else { "" };
        let line = format!("{start}{line}\n");
        let written = self.sink.write_all(line.as_bytes());
        let written = written.and_then(|()| self.sink.flush());
        self.is_torn = written.is_err();
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
    insert("message", json!(shorten(message.to_string())));
    let _ = record.key_values().visit(&mut fields);
    out.finish(format_args!("{}", serde_json::Value::Object(fields.0)));
}

/// Cuts a text that is too long for a line, such as one that a caller sent.
fn shorten(mut text: String) -> String {
    if text.len() > TEXT_LIMIT {
        let boundary = (0..=TEXT_LIMIT).rev().find(|&at| text.is_char_boundary(at));
        text.truncate(boundary.unwrap_or_default());
        text.push('…');
    }
    text
}

/// Returns the time of day in RFC 3339 with microseconds, in UTC.
fn timestamp() -> String {
    humantime::format_rfc3339_micros(SystemTime::now()).to_string()
}

/// Collects the fields of a record as JSON.
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
            json!(shorten(value.to_string()))
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
