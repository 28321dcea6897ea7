//! Fake target of the users' platform: an engine that streams events, or a plain service.

use {
    crate::{
        http::{self, HandlerResult, Request},
        site::partition::{self, Partition},
        sync::lock,
    },
    bytes::Bytes,
    hyper::{
        StatusCode, Version,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
    },
    serde::Deserialize,
    serde_json::json,
    smol::{
        Task, Timer, channel, future,
        net::{TcpListener, TcpStream},
    },
    socket2::SockRef,
    std::{
        collections::{HashSet, VecDeque},
        convert::Infallible,
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Number of new connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 128;

/// How a target marks the end of a response body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Framing {
    /// By a last chunk.
    #[default]
    Chunks,
    /// By a length in the header.
    Length,
    /// By the end of the connection.
    Close,
}

/// How a target breaks off a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Break {
    /// Closes the connection, a stream's inside an event.
    #[default]
    Close,
    /// Resets the connection, a stream's between two events.
    Reset,
    /// Completes the framing, a stream's inside an event.
    End,
}

/// How a target handles requests.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Delay of the response of a plain service, or of the first event of an engine.
    pub delay: Duration,
    /// Time for which a request waits in an engine's queue; it is dropped from there with its connection,
    /// unless `linger` is set.
    pub queue_delay: Duration,
    /// Time after which an engine sends the head of its answer, or drops the response.
    pub head_delay: Duration,
    /// Delay between two events.
    pub event_interval: Duration,
    /// Number of events in a stream.
    pub events: u64,
    /// Text at the end of each event's data.
    pub mark: Box<str>,
    /// Breaks off the stream after the event with this id, or half-way the response of a service.
    pub break_after: Option<u64>,
    /// How a response is broken off.
    pub break_kind: Break,
    /// How the end of a body is marked.
    pub framing: Framing,
    /// Stops sending after the event with this id and keeps the connection open.
    pub silent_after: Option<u64>,
    /// Time for which an engine works on a run whose connection has ended or fallen silent, unless it
    /// is told to stop the run.
    pub linger: Duration,
    /// Response status of a plain service.
    pub status: u16,
    /// Status, content type and body that an engine answers with instead of a stream.
    pub error: Option<(u16, &'static str, &'static str)>,
    /// Refuses requests without running them.
    pub refuses: bool,
    /// Number of requests that a plain service runs at the same time; it refuses further ones.
    pub capacity: Option<usize>,
    /// Number of refusals for want of capacity in a second beyond which it crashes.
    pub brittle: Option<usize>,
    /// Delay of a refusal.
    pub refusal_delay: Duration,
    /// Pauses that the target requests, in seconds, with one refusal after the other; the last one
    /// from then on.
    pub pauses: Vec<&'static str>,
    /// Runs requests, but closes the connection without a response.
    pub drops_response: bool,
    /// Attempt that a stream claims to answer instead of the one of its request.
    pub answers_for: Option<Box<str>>,
    /// Reports the target as draining.
    pub leaves: bool,
    /// Number of copies of runs, the first ones, that are refused as if the other engine were full.
    pub copy_refusals: usize,
    /// Number of calls to stop a run, the first ones, that meet another call for the run.
    pub stop_conflicts: usize,
    /// Handle of all copies, in place of one made from the attempt.
    pub copy_handle: Option<Box<str>>,
    /// Header fields that the target adds to all its responses.
    pub notices: Vec<(&'static str, String)>,
    /// Shared part of a prompt on which an engine crashes as it begins to answer.
    pub crashes_on: Option<Box<str>>,
    /// Path and body of a request on which the target crashes as it begins to run it.
    pub crashes_on_request: Option<(Box<str>, Box<str>)>,
    /// Time after which a target that crashed on a request accepts connections again.
    pub recovery: Duration,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(5),
            queue_delay: Duration::ZERO,
            head_delay: Duration::ZERO,
            event_interval: Duration::from_millis(10),
            events: 20,
            mark: Box::default(),
            break_after: None,
            break_kind: Break::default(),
            framing: Framing::default(),
            silent_after: None,
            linger: Duration::ZERO,
            status: 200,
            error: None,
            refuses: false,
            capacity: None,
            brittle: None,
            refusal_delay: Duration::ZERO,
            pauses: Vec::new(),
            drops_response: false,
            answers_for: None,
            leaves: false,
            copy_refusals: 0,
            stop_conflicts: 0,
            copy_handle: None,
            notices: Vec::new(),
            crashes_on: None,
            crashes_on_request: None,
            recovery: Duration::from_secs(1),
        }
    }
}

/// Copies of runs held by the engines of a test: address of the holder and handle of the copy.
pub type Copies = Arc<Mutex<HashSet<(SocketAddr, Box<str>)>>>;

/// A request received by a target.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Value of the `x-attempt-id` header.
    pub attempt: Box<str>,
    /// URL path.
    pub path: Box<str>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether the target ran the request.
    pub ran: bool,
    /// When it was received.
    pub at: Instant,
}

impl ReceivedRequest {
    /// Returns whether the request's prompt has a part, which isn't its last one.
    pub fn has_shared_part(&self, part: &str) -> bool {
        let prompt = self.headers.get("x-prefix-hash");
        has_shared_part(
            prompt
                .and_then(|prompt| prompt.to_str().ok())
                .unwrap_or_default(),
            part,
        )
    }
}

fn has_shared_part(prompt: &str, part: &str) -> bool {
    let shared = prompt.rsplit_once(',').map_or("", |(shared, _last)| shared);
    let mut parts = shared.split(',').map(|entry| entry.split(':').next());
    parts.any(|id| id.is_some_and(|id| id.trim() == part))
}

/// A run that an engine works on or has worked on.
#[derive(Clone, Debug)]
pub struct Run {
    /// Value of the `x-attempt-id` header.
    pub attempt: Box<str>,
    /// When the engine got the request.
    pub received: Instant,
    /// When the engine began.
    pub began: Instant,
    /// When it completed the run, dropped it or was told to stop; `None` while it works.
    pub ended: Option<Instant>,
    /// Whether it was told to stop.
    pub is_stopped: bool,
}

impl Run {
    /// Returns for how long the engine worked while another one, which got the request later, had begun it.
    pub fn overlap(&self, next: &Self) -> Duration {
        let ended = self.ended.unwrap_or_else(Instant::now);
        ended.saturating_duration_since(next.began.max(self.began))
    }
}

/// A run in progress.
#[derive(Debug)]
struct ActiveRun {
    attempt: Box<str>,
    /// Index of its record.
    record: usize,
    /// Its end stops the run.
    _stop: channel::Sender<Infallible>,
}

/// The part of a target that ends with a crash.
#[derive(Debug)]
struct Server {
    listener: TcpListener,
    /// Accepts connections; `None` while the target stalls.
    acceptor: Option<Task<io::Result<()>>>,
    /// Closed at the end of `_lifetime`.
    end: channel::Receiver<Infallible>,
    /// Its end breaks off the requests whose responses have not begun.
    _lifetime: channel::Sender<Infallible>,
}

#[derive(Debug)]
struct State {
    instance: Box<str>,
    address: SocketAddr,
    is_engine: bool,
    behaviour: Behaviour,
    received: Vec<ReceivedRequest>,
    /// Attempts whose client closed the connection before the stream ended.
    cancelled: Vec<Box<str>>,
    active_streams: usize,
    /// Runs that an engine works on.
    active_runs: Vec<ActiveRun>,
    /// Runs that it has begun.
    runs: Vec<Run>,
    /// Calls that told it to stop a run, also one that it doesn't have.
    stop_calls: usize,
    /// Addresses to which runs were copied on request.
    copied_to: Vec<SocketAddr>,
    /// Addresses to which copies were refused.
    refused_copies: Vec<SocketAddr>,
    /// When the target crashed.
    crashes: Vec<Instant>,
    /// When it crashed on a request.
    bad_crashes: Vec<Instant>,
    /// Whether it crashed for good.
    is_gone: bool,
    copies: Copies,
    /// `None` after a crash.
    server: Option<Server>,
    /// Address that the target listens on.
    listen: SocketAddr,
    /// Requests of a plain service that run now.
    running: Arc<()>,
    /// When requests were refused for want of capacity lately.
    refusals: VecDeque<Instant>,
    /// VMs that don't reach the target.
    partition: Partition,
    /// Until when the target neither sends events nor accepts connections.
    stalled_until: Option<Instant>,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Instance name.
    pub instance: Box<str>,
    state: Arc<Mutex<State>>,
}

/// Body of `POST /v1/kv-move`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct MoveRequest {
    id: Box<str>,
    to: SocketAddr,
    /// Whether the run is stopped before it is copied.
    #[serde(default)]
    last: bool,
}

impl Target {
    /// Starts a target; all engines of a test share `copies`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        instance: &str,
        is_engine: bool,
        copies: &Copies,
    ) -> io::Result<Self> {
        let listener = smol::block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            instance: instance.into(),
            address,
            is_engine,
            behaviour: Behaviour::default(),
            received: Vec::new(),
            cancelled: Vec::new(),
            active_streams: 0,
            active_runs: Vec::new(),
            runs: Vec::new(),
            stop_calls: 0,
            copied_to: Vec::new(),
            refused_copies: Vec::new(),
            crashes: Vec::new(),
            bad_crashes: Vec::new(),
            is_gone: false,
            copies: Arc::clone(copies),
            server: None,
            listen: address,
            running: Arc::default(),
            refusals: VecDeque::new(),
            partition: Partition::default(),
            stalled_until: None,
        }));
        accept(&state, listener);
        Ok(Self {
            address,
            instance: instance.into(),
            state,
        })
    }

    /// Sets the address that clients use, if the target is behind a proxy.
    pub fn advertise(&self, address: SocketAddr) {
        lock(&self.state).address = address;
    }

    /// Sets how further requests are handled.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Crashes the target: what it runs is broken off and no new connection is accepted.
    pub fn crash(&self) {
        lock(&self.state).is_gone = true;
        crash(&self.state);
    }

    /// Crashes the target and restarts it after its time to recover.
    pub fn crash_and_recover(&self) {
        let recovery = lock(&self.state).behaviour.recovery;
        crash_and_recover(&self.state, recovery);
    }

    /// Stalls the target: it sends no events, and the queue of new connections is full.
    ///
    /// # Errors
    /// Returns an error if the size of the queue can't be set.
    pub fn stall(&self, duration: Duration) -> io::Result<()> {
        let until = Instant::now() + duration;
        let listener = {
            let mut state = lock(&self.state);
            state.stalled_until = Some(until);
            let Some(server) = &mut state.server else {
                return Ok(());
            };
            server.acceptor = None;
            server.listener.clone()
        };
        SockRef::from(&listener).listen(0)?;
        let address = listener.local_addr()?;
        let pending = [TcpStream::connect(address), TcpStream::connect(address)];
        let state = Arc::downgrade(&self.state);
        smol::spawn(async move {
            let mut pending = pending.map(Box::pin);
            for connection in &mut pending {
                // The second one stays in the queue of the kernel and connects only afterwards.
                drop(future::poll_once(connection).await);
            }
            Timer::at(until).await;
            drop(pending);
            if let Err(error) = SockRef::from(&listener).listen(LISTEN_BACKLOG) {
                log::warn!(target: "fake", error:% = error; "failed to accept connections again");
            }
            let Some(state) = state.upgrade() else {
                return;
            };
            let partition = lock(&state).partition.clone();
            if let Some(server) = &mut lock(&state).server
                && server.acceptor.is_none()
            {
                let end = server.end.clone();
                server.acceptor = Some(spawn_acceptor(&state, partition, listener, end));
            }
        })
        .detach();
        Ok(())
    }

    /// Partitions a VM from the target.
    ///
    /// # Errors
    /// Returns an error if the VM's packets can't be dropped.
    pub fn cut(&self, vm: Ipv4Addr, kind: partition::Kind) -> io::Result<()> {
        let state = lock(&self.state);
        let listener = state.server.as_ref().map(|server| &server.listener);
        state.partition.cut(vm, kind, listener)
    }

    /// Lets new connections of VMs that are cut off by a reset stay open for a time before.
    pub fn set_reset_delay(&self, delay: Duration) {
        lock(&self.state).partition.set_reset_delay(delay);
    }

    /// Ends the partition of a VM.
    ///
    /// # Errors
    /// Returns an error if the VM's packets are still dropped.
    pub fn heal(&self, vm: Ipv4Addr) -> io::Result<()> {
        let state = lock(&self.state);
        let listener = state.server.as_ref().map(|server| &server.listener);
        state.partition.heal(vm, listener)
    }

    /// Returns when the target crashed on a request.
    pub fn bad_crashes(&self) -> Vec<Instant> {
        lock(&self.state).bad_crashes.clone()
    }

    /// Returns when the target crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.state).crashes.clone()
    }

    /// Returns the requests received, without reports, moves and releases of copies.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).received.clone()
    }

    /// Returns the number of requests run.
    pub fn run_count(&self) -> usize {
        lock(&self.state)
            .received
            .iter()
            .filter(|received| received.ran)
            .count()
    }

    /// Returns the attempts whose client closed the connection before the stream ended.
    pub fn cancelled(&self) -> Vec<Box<str>> {
        lock(&self.state).cancelled.clone()
    }

    /// Returns the addresses to which runs were copied on request.
    pub fn copied_to(&self) -> Vec<SocketAddr> {
        lock(&self.state).copied_to.clone()
    }

    /// Returns the addresses to which copies were refused.
    pub fn refused_copies(&self) -> Vec<SocketAddr> {
        lock(&self.state).refused_copies.clone()
    }

    /// Returns the runs that an engine has begun.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Returns the number of calls that told the target to stop a run.
    pub fn stop_calls(&self) -> usize {
        lock(&self.state).stop_calls
    }

    /// Returns the number of open streams.
    pub fn active_streams(&self) -> usize {
        lock(&self.state).active_streams
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        // The server refers to the state, which would keep it running.
        lock(&self.state).server.take();
    }
}

/// Accepts connections until the target crashes.
fn accept(state: &Arc<Mutex<State>>, listener: TcpListener) {
    let (lifetime, end) = channel::bounded::<Infallible>(1);
    let partition = lock(state).partition.clone();
    let acceptor = spawn_acceptor(state, partition, listener.clone(), end.clone());
    lock(state).server = Some(Server {
        listener,
        acceptor: Some(acceptor),
        end,
        _lifetime: lifetime,
    });
}

/// Accepts connections whose requests are broken off at the `end` of the server.
fn spawn_acceptor(
    state: &Arc<Mutex<State>>,
    partition: Partition,
    listener: TcpListener,
    end: channel::Receiver<Infallible>,
) -> Task<io::Result<()>> {
    let state = Arc::clone(state);
    if let Err(error) = partition.filter(&listener) {
        log::warn!(target: "fake", error:% = error; "failed to drop the packets of VMs");
    }
    smol::spawn(http::serve_partitioned(
        listener,
        partition,
        move |request| {
            let (state, end) = (Arc::clone(&state), end.clone());
            let crashed = async move {
                let _ = end.recv().await;
                Err(http::aborted())
            };
            future::or(crashed, handle(state, request))
        },
    ))
}

/// Crashes the target; returns whether it was running.
fn crash(state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let was_running = state.server.take().is_some();
    if was_running {
        state.crashes.push(Instant::now());
    }
    was_running
}

/// Crashes the target and restarts it after `recovery`; returns whether it was running.
fn crash_and_recover(state: &Arc<Mutex<State>>, recovery: Duration) -> bool {
    if !crash(state) {
        return false;
    }
    let state = Arc::downgrade(state);
    smol::spawn(async move {
        loop {
            Timer::after(recovery).await;
            let Some(state) = state.upgrade() else {
                return;
            };
            let (address, is_gone) = {
                let state = lock(&state);
                (state.listen, state.is_gone)
            };
            if is_gone {
                return;
            }
            // The previous listener is closed asynchronously by another thread.
            if let Ok(listener) = TcpListener::bind(address).await {
                return accept(&state, listener);
            }
        }
    })
    .detach();
    true
}

/// Crashes the target on a request.
fn crash_on_request(state: &Arc<Mutex<State>>, recovery: Duration) {
    let now = Instant::now();
    if crash_and_recover(state, recovery) {
        lock(state).bad_crashes.push(now);
    }
}

async fn handle(state: Arc<Mutex<State>>, request: Request) -> HandlerResult {
    let mut response = respond(&state, request).await?;
    let notices = lock(&state).behaviour.notices.clone();
    for (name, value) in notices {
        let value = HeaderValue::from_str(&value).map_err(io::Error::other)?;
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

async fn respond(state: &Arc<Mutex<State>>, request: Request) -> HandlerResult {
    if &*request.path == "/v1/kv-move" {
        return Ok(create_copy(state, &request));
    }
    if &*request.path == "/v1/report" {
        let state = lock(state);
        let state_name = if state.behaviour.leaves {
            "draining"
        } else {
            "ready"
        };
        let runs = state.active_runs.iter();
        let runs: Vec<_> = runs.map(|run| json!([run.attempt, 1_000, 1, 5])).collect();
        return Ok(http::json(&json!({"State": state_name, "Runs": runs})));
    }
    if let Some(handle) = request.path.strip_prefix("/v1/kv-handle/") {
        let state = lock(state);
        lock(&state.copies).remove(&(state.address, handle.into()));
        return Ok(http::text(StatusCode::OK, ""));
    }
    let attempt: Box<str> = request.header("x-attempt-id").into();
    let expected_instance = request.header("x-expect-instance").to_owned();
    let (behaviour, is_engine, instance) = {
        let state = lock(state);
        (
            state.behaviour.clone(),
            state.is_engine,
            state.instance.clone(),
        )
    };
    let is_wrong_instance = !expected_instance.is_empty() && *expected_instance != *instance;
    let place = take_place(state, &behaviour);
    let has_place = behaviour.capacity.is_none() || place.is_some();
    let ran = !is_wrong_instance && !behaviour.refuses && has_place && take_copy(state, &request);
    let falls_over = !has_place && record_refusal(state, behaviour.brittle);
    lock(state).received.push(ReceivedRequest {
        attempt: attempt.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        ran,
        at: Instant::now(),
    });
    if is_wrong_instance {
        return Ok(http::text(
            StatusCode::MISDIRECTED_REQUEST,
            "another instance",
        ));
    }
    if falls_over {
        crash_and_recover(state, behaviour.recovery);
        return Err(http::aborted());
    }
    if !ran {
        let number = lock(state).received.len() - 1;
        Timer::after(behaviour.refusal_delay).await;
        let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, "full");
        let pauses = &behaviour.pauses;
        if let Some(pause) = pauses.get(number).or(pauses.last()) {
            let pause = HeaderValue::from_static(pause);
            response.headers_mut().insert(RETRY_AFTER, pause);
        }
        response
            .headers_mut()
            .insert("x-not-executed", HeaderValue::from_static("1"));
        return Ok(response);
    }
    if is_engine {
        return respond_as_engine(state, behaviour, &attempt, &request).await;
    }
    Timer::after(behaviour.delay).await;
    if is_crashing(&behaviour, &request) {
        crash_on_request(state, behaviour.recovery);
        return Err(http::aborted());
    }
    if behaviour.drops_response {
        return Err(http::aborted());
    }
    let status = StatusCode::from_u16(behaviour.status).map_err(io::Error::other)?;
    let text = format!("{instance} ran {attempt}");
    let (sender, receiver) = channel::bounded(2);
    let sent = match behaviour.break_after {
        Some(_) => text.len() / 2,
        None => text.len(),
    };
    let mut chunks = vec![Ok(Bytes::copy_from_slice(&text.as_bytes()[..sent]))];
    if behaviour.break_after.is_some() {
        chunks.extend(break_error(behaviour.break_kind).map(Err));
    }
    for chunk in chunks {
        sender.send(chunk).await.map_err(io::Error::other)?;
    }
    let mut response = http::stream(receiver, "text/plain");
    *response.status_mut() = status;
    frame(&mut response, behaviour.framing, text.len());
    sign(&mut response, &attempt);
    Ok(response)
}

/// Takes one of the places of a plain service until it is dropped; `None` if all are taken.
fn take_place(state: &Mutex<State>, behaviour: &Behaviour) -> Option<Arc<()>> {
    let state = lock(state);
    let running = Arc::strong_count(&state.running) - 1;
    (running < behaviour.capacity?).then(|| Arc::clone(&state.running))
}

/// Counts a refusal for want of capacity; returns whether there were too many in a second.
fn record_refusal(state: &Mutex<State>, brittle: Option<usize>) -> bool {
    let now = Instant::now();
    let refusals = &mut lock(state).refusals;
    refusals.push_back(now);
    refusals.retain(|refused| now.duration_since(*refused) < Duration::from_secs(1));
    brittle.is_some_and(|most| refusals.len() > most)
}

/// Returns whether a target with this behaviour crashes as it begins to run a request.
fn is_crashing(behaviour: &Behaviour, request: &Request) -> bool {
    let has_part = |part: &str| has_shared_part(request.header("x-prefix-hash"), part);
    let is_request = |(path, body): &(Box<str>, Box<str>)| {
        *path == request.path && *body.as_bytes() == *request.body
    };
    behaviour.crashes_on.as_deref().is_some_and(has_part)
        || behaviour
            .crashes_on_request
            .as_ref()
            .is_some_and(is_request)
}

/// Returns the error that ends a body that is broken off; `None` if its framing is completed.
fn break_error(kind: Break) -> Option<io::Error> {
    match kind {
        Break::Close => Some(http::aborted()),
        Break::Reset => Some(http::reset()),
        Break::End => None,
    }
}

/// Sets how a response marks the end of a body of `length` bytes.
fn frame(response: &mut hyper::Response<http::Body>, framing: Framing, length: usize) {
    match framing {
        Framing::Chunks => {}
        Framing::Length => {
            let length = HeaderValue::from(length);
            response.headers_mut().insert(CONTENT_LENGTH, length);
        }
        // HTTP/1.0 has no chunks, so a body without a length ends with its connection.
        Framing::Close => *response.version_mut() = Version::HTTP_10,
    }
}

/// Consumes the copy that a request resumes from; returns false if that copy does not exist.
fn take_copy(state: &Mutex<State>, request: &Request) -> bool {
    let from = request.header("kv-from");
    if from.is_empty() {
        return true;
    }
    let Some((address, handle)) = from.split_once('/') else {
        return false;
    };
    let Ok(address) = address.parse() else {
        return false;
    };
    let copies = Arc::clone(&lock(state).copies);
    lock(&copies).remove(&(address, handle.into()))
}

/// Stores a copy of a run on this engine and returns its handle; stops the run before if that is asked.
fn create_copy(state: &Mutex<State>, request: &Request) -> hyper::Response<http::Body> {
    let move_request: MoveRequest = match request.json() {
        Ok(move_request) => move_request,
        Err(response) => return *response,
    };
    let mut state = lock(state);
    if move_request.last {
        state.stop_calls += 1;
        if state.stop_calls <= state.behaviour.stop_conflicts {
            return http::text(StatusCode::CONFLICT, "another call is in progress");
        }
        let mut active = state.active_runs.iter();
        let Some(index) = active.position(|run| run.attempt == move_request.id) else {
            return http::text(StatusCode::NOT_FOUND, "no such run");
        };
        let record = state.active_runs.swap_remove(index).record;
        state.runs[record].is_stopped = true;
        state.runs[record].ended = Some(Instant::now());
    }
    if state.refused_copies.len() < state.behaviour.copy_refusals {
        state.refused_copies.push(move_request.to);
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "full");
    }
    state.copied_to.push(move_request.to);
    let handle = state.behaviour.copy_handle.as_deref();
    let handle = handle.map_or_else(|| format!("h-{}", move_request.id), str::to_owned);
    lock(&state.copies).insert((state.address, handle.as_str().into()));
    http::json(&json!({"Handle": handle, "Created": 0}))
}

/// Sets the headers that confirm that this target ran the attempt.
fn sign(response: &mut hyper::Response<http::Body>, attempt: &str) {
    let headers = response.headers_mut();
    headers.insert("x-server-signature", HeaderValue::from_static("signed"));
    if let Ok(attempt) = HeaderValue::from_str(attempt) {
        headers.insert("x-attempt-id", attempt);
    }
}

async fn respond_as_engine(
    state: &Arc<Mutex<State>>,
    behaviour: Behaviour,
    attempt: &str,
    request: &Request,
) -> HandlerResult {
    let head_delay = behaviour.head_delay;
    if behaviour.drops_response {
        let (sender, _) = channel::bounded(1);
        start_run(state, behaviour, attempt, 0, false, sender);
        Timer::after(head_delay).await;
        return Err(http::aborted());
    }
    if let Some(error) = behaviour.error {
        return answer_with_error(error, attempt);
    }
    let response = stream(state, behaviour, attempt, request);
    Timer::after(head_delay).await;
    Ok(response)
}

/// Answers with a status, content type and body instead of a stream.
fn answer_with_error(
    (status, content_type, body): (u16, &'static str, &'static str),
    attempt: &str,
) -> HandlerResult {
    let status = StatusCode::from_u16(status).map_err(io::Error::other)?;
    let mut response = http::text(status, body);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    sign(&mut response, attempt);
    Ok(response)
}

/// Streams the events after `last-event-id`, and stores a copy of the run at the backup engine.
fn stream(
    state: &Arc<Mutex<State>>,
    behaviour: Behaviour,
    attempt: &str,
    request: &Request,
) -> hyper::Response<http::Body> {
    let (sender, receiver) = channel::bounded(1);
    let first_id = request
        .header("last-event-id")
        .parse()
        .map_or(0, |last_id: u64| last_id + 1);
    if let Ok(backup) = request.header("x-kv-backup").parse::<SocketAddr>() {
        let copies = Arc::clone(&lock(state).copies);
        lock(&copies).insert((backup, attempt.into()));
    }
    let framing = behaviour.framing;
    let answered = behaviour.answers_for.clone();
    let answered = answered.unwrap_or_else(|| attempt.into());
    let events = (first_id..behaviour.events).map(|id| event(id, &behaviour.mark));
    let length = events.map(|event| event.len()).sum();
    let crashes = is_crashing(&behaviour, request);
    start_run(state, behaviour, attempt, first_id, crashes, sender);
    let mut response = http::stream(receiver, "text/event-stream");
    frame(&mut response, framing, length);
    sign(&mut response, &answered);
    response
}

/// Runs a request, whose events go to `sender`, once it has waited in the queue.
fn start_run(
    state: &Arc<Mutex<State>>,
    behaviour: Behaviour,
    attempt: &str,
    first_id: u64,
    crashes: bool,
    sender: channel::Sender<io::Result<Bytes>>,
) {
    let received = Instant::now();
    if behaviour.queue_delay.is_zero() {
        leave_queue(
            state, behaviour, attempt, received, first_id, crashes, sender,
        );
        return;
    }
    let (state, attempt): (_, Box<str>) = (Arc::clone(state), attempt.into());
    smol::spawn(async move {
        Timer::after(behaviour.queue_delay).await;
        if !sender.is_closed() || !behaviour.linger.is_zero() {
            leave_queue(
                &state, behaviour, &attempt, received, first_id, crashes, sender,
            );
        }
    })
    .detach();
}

/// Runs a request that the engine got at the time `received`.
fn leave_queue(
    state: &Arc<Mutex<State>>,
    behaviour: Behaviour,
    attempt: &str,
    received: Instant,
    first_id: u64,
    crashes: bool,
    sender: channel::Sender<io::Result<Bytes>>,
) {
    let (stop, stopped) = channel::bounded::<Infallible>(1);
    let record = begin_run(state, attempt, received, stop);
    let (state, attempt): (_, Box<str>) = (Arc::clone(state), attempt.into());
    smol::spawn(async move {
        lock(&state).active_streams += 1;
        let connection = sender.downgrade();
        let is_stopped = async {
            let _ = stopped.recv().await;
            (End::Stopped, connection.upgrade())
        };
        let run = run_to_end(&state, &behaviour, first_id, crashes, sender);
        let run = async { (run.await, None) };
        let (end, connection) = future::or(is_stopped, run).await;
        {
            let mut state = lock(&state);
            state.active_streams -= 1;
            state.active_runs.retain(|run| run.record != record);
            state.runs[record].ended.get_or_insert_with(Instant::now);
            if end == End::Cancelled {
                state.cancelled.push(attempt);
            }
        }
        if let Some(connection) = connection {
            let _ = connection.send(Err(http::aborted())).await;
        }
    })
    .detach();
}

/// Records a run that ends with `stop` and returns the index of its record.
fn begin_run(
    state: &Mutex<State>,
    attempt: &str,
    received: Instant,
    stop: channel::Sender<Infallible>,
) -> usize {
    let mut state = lock(state);
    let record = state.runs.len();
    state.runs.push(Run {
        attempt: attempt.into(),
        received,
        began: Instant::now(),
        ended: None,
        is_stopped: false,
    });
    state.active_runs.push(ActiveRun {
        attempt: attempt.into(),
        record,
        _stop: stop,
    });
    record
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// With its last event.
    Complete,
    /// Its client has closed the connection.
    Cancelled,
    /// The engine has broken off its answer.
    Broken,
    /// The connection has fallen silent: neither side learns that the other one closes it.
    Silent,
    /// The engine was told to stop.
    Stopped,
}

/// Streams a run to its end, and works on it for a time after its connection has ended.
async fn run_to_end(
    state: &Arc<Mutex<State>>,
    behaviour: &Behaviour,
    first_id: u64,
    crashes: bool,
    sender: channel::Sender<io::Result<Bytes>>,
) -> End {
    let crash_count = lock(state).crashes.len();
    let sent = send_events(state, behaviour, first_id, crashes, &sender).await;
    let end = sent.unwrap_or(End::Cancelled);
    if end == End::Silent {
        // The connection stays open for as long as its client waits.
        smol::spawn(async move { sender.closed().await }).detach();
    } else {
        drop(sender);
    }
    let lingers_until = Instant::now() + behaviour.linger;
    while end != End::Complete
        && Instant::now() < lingers_until
        && lock(state).crashes.len() == crash_count
    {
        Timer::after(behaviour.event_interval).await;
    }
    end
}

/// Returns the event with an id.
fn event(id: u64, mark: &str) -> String {
    format!("id: {id}\ndata: token {id}{mark}\n\n")
}

/// Sends the events of a stream; fails if the client closes the connection.
async fn send_events(
    state: &Arc<Mutex<State>>,
    behaviour: &Behaviour,
    first_id: u64,
    crashes: bool,
    sender: &channel::Sender<io::Result<Bytes>>,
) -> Result<End, Closed> {
    let crash_count = lock(state).crashes.len();
    Timer::after(behaviour.delay).await;
    if crashes && lock(state).crashes.len() == crash_count {
        crash_on_request(state, behaviour.recovery);
    }
    for id in first_id..behaviour.events {
        let stalled_until = lock(state).stalled_until;
        if let Some(until) = stalled_until {
            Timer::at(until).await;
        }
        let has_crashed = lock(state).crashes.len() != crash_count;
        if has_crashed || behaviour.break_after.is_some_and(|last_id| id > last_id) {
            if behaviour.break_kind != Break::Reset {
                let part = Bytes::from(format!("id: {id}\nda"));
                send_part(sender, Ok(part)).await?;
            }
            if let Some(error) = break_error(behaviour.break_kind) {
                send_part(sender, Err(error)).await?;
            }
            return Ok(End::Broken);
        }
        if behaviour.silent_after.is_some_and(|last_id| id > last_id) {
            if behaviour.linger.is_zero() {
                sender.closed().await;
                return Err(Closed);
            }
            return Ok(End::Silent);
        }
        let part = Bytes::from(event(id, &behaviour.mark));
        send_part(sender, Ok(part)).await?;
        Timer::after(behaviour.event_interval).await;
    }
    Ok(End::Complete)
}

/// The client has closed the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Closed;

async fn send_part(
    sender: &channel::Sender<io::Result<Bytes>>,
    part: io::Result<Bytes>,
) -> Result<(), Closed> {
    sender.send(part).await.map_err(|_closed| Closed)
}
