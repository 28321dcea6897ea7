//! A target of the users' platform: a model engine that streams events, or a plain service.

use {
    crate::{
        http::{self, Answer, Request},
        sync::lock,
    },
    bytes::Bytes,
    hyper::{
        StatusCode,
        header::{HeaderMap, HeaderValue},
    },
    serde::Deserialize,
    serde_json::json,
    smol::{Task, Timer, channel, net::TcpListener},
    std::{
        collections::HashSet,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// What a target does with requests.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Time to the answer of a plain service, or to the first event.
    pub delay: Duration,
    /// Time between two events.
    pub event_interval: Duration,
    /// Events of an answer.
    pub events: u64,
    /// The stream breaks off after this event.
    pub break_after: Option<u64>,
    /// The stream falls silent after this event, on an open connection.
    pub silent_after: Option<u64>,
    /// Status of the answer of a plain service.
    pub status: u16,
    /// The request is refused and not run.
    pub refuses: bool,
    /// The connection is closed after the run, without an answer.
    pub drops_response: bool,
    /// An engine that reports that it leaves.
    pub leaves: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(5),
            event_interval: Duration::from_millis(10),
            events: 20,
            break_after: None,
            silent_after: None,
            status: 200,
            refuses: false,
            drops_response: false,
            leaves: false,
        }
    }
}

/// Copies of runs that all engines of a test share: holder's name, and name of the copy.
pub type Copies = Arc<Mutex<HashSet<(SocketAddr, Box<str>)>>>;

/// A request that a target has seen.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Attempt id.
    pub attempt: Box<str>,
    /// Path.
    pub path: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether it ran.
    pub ran: bool,
}

#[derive(Debug)]
struct State {
    instance: Box<str>,
    address: SocketAddr,
    is_engine: bool,
    behaviour: Behaviour,
    seen: Vec<ReceivedRequest>,
    /// Streams whose connection was closed by the other side.
    cancelled: Vec<Box<str>>,
    active: usize,
    is_gone: bool,
    copies: Copies,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    /// Where it answers.
    pub address: SocketAddr,
    /// Name of the instance.
    pub instance: Box<str>,
    state: Arc<Mutex<State>>,
    server: Mutex<Option<Task<io::Result<()>>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct MoveOrder {
    id: Box<str>,
}

impl Target {
    /// Starts a target; engines share the copies of their runs.
    ///
    /// # Errors
    /// Returns the error of the listener.
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
            seen: Vec::new(),
            cancelled: Vec::new(),
            active: 0,
            is_gone: false,
            copies: Arc::clone(copies),
        }));
        let serving = Arc::clone(&state);
        let server = http::serve(listener, move |request| {
            answer(Arc::clone(&serving), request)
        });
        Ok(Self {
            address,
            instance: instance.into(),
            state,
            server: Mutex::new(Some(smol::spawn(server))),
        })
    }

    /// Sets the address that others know it by, if a proxy stands before it.
    pub fn advertise(&self, address: SocketAddr) {
        lock(&self.state).address = address;
    }

    /// Sets what it does from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Ends it: streams break off, and no connection is made any more.
    pub fn crash(&self) {
        lock(&self.server).take();
        lock(&self.state).is_gone = true;
    }

    /// Returns the requests that it has seen, without calls beside requests.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).seen.clone()
    }

    /// Returns how many requests it has run.
    pub fn run_count(&self) -> usize {
        lock(&self.state)
            .seen
            .iter()
            .filter(|seen| seen.ran)
            .count()
    }

    /// Returns the attempts whose streams were closed by the other side.
    pub fn cancelled(&self) -> Vec<Box<str>> {
        lock(&self.state).cancelled.clone()
    }

    /// Returns the streams in progress.
    pub fn active_streams(&self) -> usize {
        lock(&self.state).active
    }
}

async fn answer(state: Arc<Mutex<State>>, request: Request) -> Answer {
    if &*request.path == "/v1/kv-move" {
        return Ok(copy(&state, &request));
    }
    if &*request.path == "/v1/report" {
        let leaves = lock(&state).behaviour.leaves;
        let phase = if leaves { "draining" } else { "ready" };
        return Ok(http::json(&json!({"State": phase, "Runs": []})));
    }
    if let Some(handle) = request.path.strip_prefix("/v1/kv-handle/") {
        let state = lock(&state);
        lock(&state.copies).remove(&(state.address, handle.into()));
        return Ok(http::status(StatusCode::OK, ""));
    }
    let attempt: Box<str> = request.header("x-attempt-id").into();
    let expected = request.header("x-expect-instance").to_owned();
    let (behaviour, is_engine, instance) = {
        let state = lock(&state);
        (
            state.behaviour.clone(),
            state.is_engine,
            state.instance.clone(),
        )
    };
    let is_other = !expected.is_empty() && *expected != *instance;
    let ran = !is_other && !behaviour.refuses && take_copy(&state, &request);
    lock(&state).seen.push(ReceivedRequest {
        attempt: attempt.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        ran,
    });
    if is_other {
        return Ok(http::status(
            StatusCode::MISDIRECTED_REQUEST,
            "another instance",
        ));
    }
    if !ran {
        let mut response = http::status(StatusCode::SERVICE_UNAVAILABLE, "full");
        response
            .headers_mut()
            .insert("x-not-executed", HeaderValue::from_static("1"));
        return Ok(response);
    }
    if is_engine && behaviour.drops_response {
        return Err(http::hang_up());
    }
    if is_engine {
        return Ok(stream(state, behaviour, &attempt, &request));
    }
    Timer::after(behaviour.delay).await;
    if behaviour.drops_response {
        return Err(http::hang_up());
    }
    let status = StatusCode::from_u16(behaviour.status).map_err(io::Error::other)?;
    let mut response = http::status(status, &format!("{instance} ran {attempt}"));
    sign(&mut response, &attempt);
    Ok(response)
}

/// Takes the copy that a request goes on from; false if there is none.
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

fn copy(state: &Mutex<State>, request: &Request) -> hyper::Response<http::Body> {
    let order: MoveOrder = match request.json() {
        Ok(order) => order,
        Err(refusal) => return *refusal,
    };
    let state = lock(state);
    let handle = format!("h-{}", order.id);
    lock(&state.copies).insert((state.address, handle.as_str().into()));
    http::json(&json!({"Handle": handle, "Created": 0}))
}

fn sign(response: &mut hyper::Response<http::Body>, attempt: &str) {
    let headers = response.headers_mut();
    headers.insert("x-server-signature", HeaderValue::from_static("signed"));
    if let Ok(attempt) = HeaderValue::from_str(attempt) {
        headers.insert("x-attempt-id", attempt);
    }
}

fn stream(
    state: Arc<Mutex<State>>,
    behaviour: Behaviour,
    attempt: &str,
    request: &Request,
) -> hyper::Response<http::Body> {
    let (sender, receiver) = channel::bounded(1);
    let first = request
        .header("last-event-id")
        .parse()
        .map_or(0, |last: u64| last + 1);
    if let Ok(backup) = request.header("x-kv-backup").parse::<SocketAddr>() {
        let copies = Arc::clone(&lock(&state).copies);
        lock(&copies).insert((backup, attempt.into()));
    }
    let attempt: Box<str> = attempt.into();
    let name = attempt.clone();
    smol::spawn(async move {
        lock(&state).active += 1;
        let is_cancelled = events(&state, &behaviour, first, &sender).await.is_err();
        let mut state = lock(&state);
        state.active -= 1;
        if is_cancelled {
            state.cancelled.push(name);
        }
    })
    .detach();
    let mut response = http::stream(receiver, "text/event-stream");
    sign(&mut response, &attempt);
    response
}

/// Sends the events; fails if the other side has closed the connection.
async fn events(
    state: &Mutex<State>,
    behaviour: &Behaviour,
    first: u64,
    sender: &channel::Sender<io::Result<Bytes>>,
) -> Result<(), channel::SendError<io::Result<Bytes>>> {
    Timer::after(behaviour.delay).await;
    for id in first..behaviour.events {
        if lock(state).is_gone || behaviour.break_after.is_some_and(|last| id > last) {
            // Half an event goes before the end, as an engine may break off anywhere.
            sender
                .send(Ok(Bytes::from(format!("id: {id}\nda"))))
                .await?;
            return sender.send(Err(http::hang_up())).await;
        }
        if behaviour.silent_after.is_some_and(|last| id > last) {
            sender.closed().await;
            return sender.send(Err(http::hang_up())).await;
        }
        let event = format!("id: {id}\ndata: token {id}\n\n");
        sender.send(Ok(Bytes::from(event))).await?;
        Timer::after(behaviour.event_interval).await;
    }
    Ok(())
}
