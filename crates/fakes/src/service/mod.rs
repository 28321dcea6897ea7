//! Fake plain service: runs calls, counts the runs and injects faults on request.

mod echo;

use {
    self::echo::RepeatingStream,
    crate::{
        http::{self, Body, HandlerResult, Request},
        sync::lock,
    },
    bytes::Bytes,
    hyper::{Response, StatusCode, header::HeaderValue},
    serde::Deserialize,
    serde_json::json,
    smol::{Timer, channel, net::TcpListener},
    std::{
        collections::BTreeMap,
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Configuration of a fake service.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Faults injected from startup.
    pub behaviour: Behaviour,
}

/// Point at which a call fails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum FailurePoint {
    /// Closes the connection before the call runs.
    Before,
    /// Runs the call and closes the connection without a response.
    During,
    /// Runs the call and closes the connection in the middle of the response.
    After,
    /// Runs the call and responds with 500.
    Error,
    /// Runs the call and responds with a status that no response has.
    Status,
}

/// Faults to inject, the body of `POST /test/behaviour`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own"
)]
pub struct Behaviour {
    /// Delay before a call runs, in milliseconds.
    pub slow_ms: u64,
    /// Delay between the run of a call and its response, in milliseconds.
    pub late_ms: u64,
    /// Point at which calls fail.
    pub fail: Option<FailurePoint>,
    /// Sends each response twice on its connection.
    pub twice: bool,
    /// Responds to each call with the response to the previous call.
    pub crossed: bool,
    /// Refuses calls before they start.
    pub refuse: bool,
    /// Refuses calls because the service is leaving.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    /// Number of runs by operation.
    runs: BTreeMap<Box<str>, u64>,
    /// Reply to the previous call.
    last: Option<Reply>,
    /// Calls in progress.
    running: u64,
    /// Number of the latest load report.
    sequence: u64,
}

/// Reply to a call.
#[derive(Clone, Debug)]
struct Reply {
    request: Box<str>,
    body: Box<str>,
}

/// Serves requests until the listener fails.
///
/// # Errors
/// Returns an error if accepting a connection fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let state = Arc::new(Mutex::new(State {
        behaviour: settings.behaviour,
        ..State::default()
    }));
    loop {
        let (stream, _peer) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let repeats_response = Arc::new(AtomicBool::new(false));
        let stream = RepeatingStream::new(stream, Arc::clone(&repeats_response));
        let state = Arc::clone(&state);
        let connection = http::serve_connection(stream, move |request| {
            let (state, repeats_response) = (Arc::clone(&state), Arc::clone(&repeats_response));
            async move {
                let response = handle(&state, &request).await;
                let is_test = request.path.starts_with("/test/");
                repeats_response.store(!is_test && lock(&state).behaviour.twice, Ordering::SeqCst);
                response
            }
        });
        smol::spawn(connection).detach();
    }
}

/// Returns the digest that the service reports for a request body.
pub fn digest(body: &[u8]) -> Box<str> {
    format!("{:016x}", xxh3_64(body)).into()
}

async fn handle(state: &Arc<Mutex<State>>, request: &Request) -> HandlerResult {
    match &*request.path {
        "/test/runs" => Ok(http::json(&json!({ "runs": lock(state).runs }))),
        "/test/behaviour" => Ok(set_behaviour(state, request)),
        "/v1/load" => Ok(load(state)),
        _ => handle_call(state, request).await,
    }
}

fn set_behaviour(state: &Mutex<State>, request: &Request) -> Response<Body> {
    match request.json() {
        Ok(behaviour) => {
            lock(state).behaviour = behaviour;
            http::json(&json!({}))
        }
        Err(response) => *response,
    }
}

fn load(state: &Mutex<State>) -> Response<Body> {
    let mut state = lock(state);
    state.sequence += 1;
    http::json(&json!({
        "sequence": state.sequence,
        "age_ms": 0,
        "running": state.running,
        "waiting": 0,
        "leaving": state.behaviour.leaving,
    }))
}

async fn handle_call(state: &Arc<Mutex<State>>, request: &Request) -> HandlerResult {
    let behaviour = lock(state).behaviour.clone();
    if behaviour.refuse || behaviour.leaving {
        return Ok(http::not_started(behaviour.leaving));
    }
    if behaviour.fail == Some(FailurePoint::Before) {
        return Err(http::aborted());
    }
    let (sender, receiver) = channel::bounded(1);
    let execution = execute(
        Arc::clone(state),
        behaviour.clone(),
        request.clone(),
        sender,
    );
    smol::spawn(execution).detach();
    let reply = receiver.recv().await.map_err(io::Error::other)?;
    respond(state, &behaviour, reply)
}

/// Runs a call to its end, even if the caller disconnects.
async fn execute(
    state: Arc<Mutex<State>>,
    behaviour: Behaviour,
    request: Request,
    replies: channel::Sender<Reply>,
) {
    lock(&state).running += 1;
    Timer::after(Duration::from_millis(behaviour.slow_ms)).await;
    let reply = run(&mut lock(&state), &request);
    Timer::after(Duration::from_millis(behaviour.late_ms)).await;
    lock(&state).running -= 1;
    // The caller may have disconnected.
    let _ = replies.send(reply).await;
}

/// Runs a call and counts the run of its operation, by default the request id.
fn run(state: &mut State, request: &Request) -> Reply {
    let id = request.header("x-request-id");
    let operation = match request.header("x-operation") {
        "" => id,
        operation => operation,
    };
    let runs = state.runs.entry(operation.into()).or_default();
    *runs += 1;
    let body = json!({
        "method": request.method.as_str(),
        "path": request.path,
        "body": String::from_utf8_lossy(&request.body),
        "digest": digest(&request.body),
        "operation": operation,
        "run": runs,
    });
    Reply {
        request: id.into(),
        body: body.to_string().into(),
    }
}

/// Builds the response to a call, with the faults that apply after its run.
fn respond(state: &Mutex<State>, behaviour: &Behaviour, reply: Reply) -> HandlerResult {
    let previous = lock(state).last.replace(reply.clone());
    let reply = match previous {
        Some(previous) if behaviour.crossed => previous,
        _ => reply,
    };
    let mut response = match behaviour.fail {
        Some(FailurePoint::During) => return Err(http::aborted()),
        Some(FailurePoint::After) => truncated(&reply.body)?,
        Some(FailurePoint::Error) => http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        Some(FailurePoint::Status) => {
            http::text(StatusCode::from_u16(600).map_err(io::Error::other)?, "odd")
        }
        _ => http::text(StatusCode::OK, &reply.body),
    };
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&reply.request) {
        headers.insert("x-request-id", id);
    }
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    Ok(response)
}

/// Returns a response that is aborted in the middle of the body.
fn truncated(body: &str) -> HandlerResult {
    let (sender, receiver) = smol::channel::bounded(2);
    let first = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let sent = sender
        .try_send(Ok(first))
        .and_then(|()| sender.try_send(Err(http::aborted())));
    sent.map_err(io::Error::other)?;
    Ok(http::stream(receiver, "application/json"))
}
