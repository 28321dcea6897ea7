//! Runners: engines that stream generations and copy them, and plain services.

use {
    crate::{
        link::{self, Proxy, Request},
        record::Record,
    },
    std::{
        collections::HashMap,
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Tokens in an event of a stream.
const STRIDE: u32 = 4;
/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_PER_MS: u64 = 14;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time that a plain request takes.
const WORK_TIME: Duration = Duration::from_millis(30);

/// What a runner does with requests.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Kind {
    Engine,
    Plain,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub runner: String,
    pub attempt: String,
    /// Version of the runner's software.
    pub release: &'static str,
    /// Event after which it begins.
    pub after: u64,
    /// Whether it goes on from a copy.
    pub is_continued: bool,
    pub arrived: Duration,
    pub begun: Duration,
    pub ended: Option<Duration>,
}

/// Copies of runs, and what has run, at all runners.
#[derive(Clone, Default)]
pub struct Pool {
    /// Copies that grow with a run, by the address of the engine that holds them and the attempt.
    backups: Arc<Mutex<HashMap<(SocketAddr, String), u64>>>,
    /// Copies made by order, by the address of the source and the handle: holder and attempt.
    handles: Arc<Mutex<HashMap<(SocketAddr, String), SocketAddr>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    sequence: Arc<AtomicU64>,
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub zone: &'static str,
    /// Version of its software.
    release: &'static str,
    pub proxy: Proxy,
    kind: Kind,
    pool: Pool,
    record: Record,
    /// Runs in progress: the number of events, and whether an order has stopped them.
    active: Arc<Mutex<HashMap<String, (u64, Arc<AtomicBool>)>>>,
    /// Requests that fail after they ran, in percent.
    pub failing_percent: Arc<AtomicU64>,
    count: Arc<AtomicU64>,
    /// Whether its process has ended.
    has_exited: Arc<AtomicBool>,
    /// An attempt whose answer is lost, with the number of events before that.
    pub lost_answer: Arc<Mutex<Option<(String, u64)>>>,
}

impl Runner {
    pub fn start(
        id: &str,
        zone: &'static str,
        release: &'static str,
        kind: Kind,
        pool: &Pool,
        record: &Record,
    ) -> Self {
        let listener = link::listen_anywhere();
        let runner = Self {
            id: id.into(),
            zone,
            release,
            proxy: Proxy::start(listener.local_addr().unwrap()),
            kind,
            pool: pool.clone(),
            record: record.clone(),
            active: Arc::default(),
            failing_percent: Arc::default(),
            count: Arc::default(),
            has_exited: Arc::default(),
            lost_answer: Arc::default(),
        };
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Returns the address at which it is registered.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        let slots = if self.kind == Kind::Engine { 32 } else { 6 };
        format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"{}","Version":"{}","Slots":{slots},"State":"{state}","ColdRemainingMs":0,"Phase":"mixed","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Sequence":4,"born":1790000000000}}"#,
            self.address(),
            self.zone,
            self.release
        )
    }

    /// Ends the process: all its channels end, and new ones are closed.
    pub fn exit(&self) {
        self.record.line(&format!("runner {}: exits", self.id));
        self.has_exited.store(true, Ordering::SeqCst);
    }

    fn has_exited(&self) -> bool {
        self.has_exited.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = link::read_request(&mut stream) {
            if self.has_exited() || !self.answer(&mut stream, &request) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the channel goes on.
    fn answer(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let arrived = self.record.now();
        let Some(attempt) = request.header("x-attempt-id") else {
            return self.answer_call(stream, request);
        };
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return respond(
                stream,
                "421 Misdirected Request",
                &format!("X-Instance-Id: {}\r\n", self.id),
                "",
            );
        }
        match self.kind {
            Kind::Engine => self.generate(stream, request, attempt, arrived),
            Kind::Plain => self.work(stream, attempt, arrived),
        }
    }

    fn begin(&self, attempt: &str, is_continued: bool, after: u64, arrived: Duration) -> usize {
        let how = if is_continued {
            "goes on with"
        } else {
            "begins"
        };
        self.record
            .line(&format!("runner {}: {how} {attempt}", self.id));
        let mut runs = self.pool.runs.lock().unwrap();
        runs.push(Run {
            runner: self.id.clone(),
            attempt: attempt.into(),
            release: self.release,
            after,
            is_continued,
            arrived,
            begun: self.record.now(),
            ended: None,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize, how: &str) {
        let mut runs = self.pool.runs.lock().unwrap();
        runs[run].ended = Some(self.record.now());
        self.record
            .line(&format!("runner {}: {how} {}", self.id, runs[run].attempt));
    }

    fn signature(&self) -> String {
        format!(
            "{}.{}",
            self.id,
            self.pool.sequence.fetch_add(1, Ordering::Relaxed)
        )
    }

    fn work(&self, stream: &mut TcpStream, attempt: &str, arrived: Duration) -> bool {
        let run = self.begin(attempt, false, 0, arrived);
        thread::sleep(WORK_TIME);
        self.end(run, "has done");
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        let percent = self.failing_percent.load(Ordering::Relaxed);
        let fails = count * percent / 100 > (count - 1) * percent / 100;
        let headers = format!(
            "X-Attempt-Id: {attempt}\r\nX-Server-Signature: {}\r\nX-Server-Load: 1,0,6\r\n",
            self.signature()
        );
        if fails {
            self.record.line(&format!(
                "runner {}: answers 503 to {attempt}, which it ran",
                self.id
            ));
            return respond(
                stream,
                "503 Service Unavailable",
                &headers,
                "the ledger did not confirm\n",
            );
        }
        respond(stream, "200 OK", &headers, "done\n")
    }

    fn generate(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        attempt: &str,
        arrived: Duration,
    ) -> bool {
        let own = self.address();
        let usage = request.header("x-token-usage").unwrap_or("14,4");
        let (prompt, output) = usage.split_once(',').unwrap_or((usage, "4"));
        let prompt: u64 = prompt.parse().unwrap_or(14);
        let total = u64::from(output.parse::<u32>().unwrap_or(STRIDE) / STRIDE);
        let copy = request.header("kv-from");
        if let Some((source, handle)) = copy.and_then(|copy| copy.split_once('/')) {
            let Ok(source) = source.parse::<SocketAddr>() else {
                return false;
            };
            let is_backup = source == own
                && self
                    .pool
                    .backups
                    .lock()
                    .unwrap()
                    .remove(&(own, handle.into()))
                    .is_some();
            let key = (source, handle.to_owned());
            let mut handles = self.pool.handles.lock().unwrap();
            let is_moved = handles.get(&key).is_some_and(|holder| *holder == own)
                && handles.remove(&key).is_some();
            if !is_backup && !is_moved {
                self.record
                    .line(&format!("runner {}: refuses {attempt}, no copy", self.id));
                return respond(
                    stream,
                    "503 Service Unavailable",
                    "X-Not-Executed: 1\r\n",
                    "",
                );
            }
        }
        let first = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0)
            + 1;
        let is_closed = Arc::new(AtomicBool::new(false));
        watch_close(stream, &is_closed);
        let prefill = if copy.is_some() { 280 } else { prompt };
        thread::sleep(Duration::from_millis(prefill / PREFILL_PER_MS));
        if is_closed.load(Ordering::SeqCst) {
            return false;
        }
        let run = self.begin(attempt, copy.is_some(), first - 1, arrived);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {}\r\nX-Server-Load: 1,0,32\r\n\r\n",
            self.signature()
        );
        let mut has_channel = stream.write_all(head.as_bytes()).is_ok();
        let backup: Option<SocketAddr> = request
            .header("x-kv-backup")
            .and_then(|address| address.parse().ok());
        let is_stopped = Arc::new(AtomicBool::new(false));
        let mut loses_answer = false;
        for event in first..=total {
            self.active
                .lock()
                .unwrap()
                .insert(attempt.into(), (event, Arc::clone(&is_stopped)));
            thread::sleep(EVENT_INTERVAL);
            let lost = self.lost_answer.lock().unwrap().clone();
            if lost.is_some_and(|(lost, after)| lost == attempt && event > after) && !loses_answer {
                self.record.line(&format!(
                    "runner {}: the answer to {attempt} is lost",
                    self.id
                ));
                loses_answer = true;
                has_channel = false;
                let _ = stream.shutdown(Shutdown::Both);
            }
            // The run ends with its channel, unless its answer is lost while it goes on.
            let is_left = is_closed.load(Ordering::SeqCst) && !loses_answer;
            if is_left || is_stopped.load(Ordering::SeqCst) || self.has_exited() {
                self.active.lock().unwrap().remove(attempt);
                let how = if is_left { "drops" } else { "stops" };
                self.end(run, &format!("{how} after event {} of", event - 1));
                let _ = stream.shutdown(Shutdown::Both);
                return false;
            }
            if let Some(holder) = backup {
                self.pool
                    .backups
                    .lock()
                    .unwrap()
                    .insert((holder, attempt.into()), event);
            }
            let data = format!("id: {event}\ndata: {{\"piece\":{event}}}\n\n");
            if has_channel {
                let chunk = format!("{:x}\r\n{data}\r\n", data.len());
                let _ = stream.write_all(chunk.as_bytes());
            }
        }
        self.active.lock().unwrap().remove(attempt);
        self.end(run, "has completed");
        if let Some(holder) = backup {
            self.pool
                .backups
                .lock()
                .unwrap()
                .remove(&(holder, attempt.into()));
        }
        let _ = stream.write_all(b"0\r\n\r\n");
        let _ = stream.shutdown(Shutdown::Both);
        false
    }

    /// Answers a call of the engine's own interface.
    fn answer_call(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let json = "Content-Type: application/json\r\n";
        self.record.line(&format!(
            "runner {}: {} {}",
            self.id, request.method, request.target
        ));
        match (&*request.method, &*request.target) {
            ("GET", "/v1/report") => {
                let active = self.active.lock().unwrap();
                let runs: Vec<_> = active
                    .iter()
                    .map(|(id, (events, _))| {
                        format!(r#"["{id}",{},{events},5]"#, 1000 + events * 4)
                    })
                    .collect();
                let body = format!(
                    r#"{{"Phase":"mixed","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Busy":false,"Sequence":0,"Queued":0,"Active":{},"KvUsed":0,"KvTotal":34481,"Handles":0,"State":"ready","Next":0,"Runs":[{}]}}"#,
                    runs.len(),
                    runs.join(",")
                );
                respond(stream, "200 OK", json, &body)
            }
            ("POST", "/v1/kv-move") => self.answer_move(stream, request),
            ("DELETE", target) if target.starts_with("/v1/kv-handle/") => {
                let handle = target.trim_start_matches("/v1/kv-handle/");
                self.pool
                    .handles
                    .lock()
                    .unwrap()
                    .retain(|(_, known), _| known != handle);
                self.pool
                    .backups
                    .lock()
                    .unwrap()
                    .retain(|(holder, known), _| known != handle || *holder != self.address());
                respond(stream, "200 OK", json, "{}")
            }
            ("GET", "/healthz") => respond(
                stream,
                "200 OK",
                &format!("X-Instance-Id: {}\r\n", self.id),
                "",
            ),
            _ => respond(stream, "404 Not Found", "", ""),
        }
    }

    fn answer_move(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let json = "Content-Type: application/json\r\n";
        let text = |name: &str| {
            let rest = request.body.split_once(&format!("\"{name}\":\""))?.1;
            Some(rest.split('"').next()?.to_owned())
        };
        let (Some(id), Some(to)) = (
            text("Id"),
            text("To").and_then(|to| to.parse::<SocketAddr>().ok()),
        ) else {
            return respond(stream, "400 Bad Request", json, "{}");
        };
        let run = self.active.lock().unwrap().get(&id).cloned();
        let Some((events, is_stopped)) = run else {
            return respond(stream, "404 Not Found", json, "{}");
        };
        if request.body.contains("\"Last\":true") {
            is_stopped.store(true, Ordering::SeqCst);
        }
        let handle = format!("h{}", self.pool.sequence.fetch_add(1, Ordering::Relaxed));
        self.pool
            .handles
            .lock()
            .unwrap()
            .insert((self.address(), handle.clone()), to);
        respond(
            stream,
            "200 OK",
            json,
            &format!(r#"{{"Handle":"{handle}","Created":{events}}}"#),
        )
    }
}

/// Notices when the other side ends a channel.
fn watch_close(stream: &TcpStream, is_closed: &Arc<AtomicBool>) {
    let (mut stream, is_closed) = (stream.try_clone().unwrap(), Arc::clone(is_closed));
    thread::spawn(move || {
        let mut buffer = [0; 64];
        while matches!(stream.read(&mut buffer), Ok(1..)) {}
        is_closed.store(true, Ordering::SeqCst);
    });
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}
