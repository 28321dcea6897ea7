//! Stand-in for a plain service: runs calls, counts them and fails as ordered.

mod echo;

use {
    self::echo::Echo,
    crate::{
        http::{self, Answer, Body, Request},
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

/// How the service is set up.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Faults that hold from the start.
    pub behaviour: Behaviour,
}

/// At which point a call fails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Point {
    /// The connection is closed before the call runs.
    Before,
    /// The call runs and the connection is closed without an answer.
    During,
    /// The call runs and the connection is closed in the middle of the answer.
    After,
    /// The call runs and answers 500.
    Error,
}

/// Faults, as the body of `POST /test/behaviour`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own"
)]
pub struct Behaviour {
    /// Time that a call takes before it has run, in milliseconds.
    pub slow_ms: u64,
    /// Time between the run of a call and its answer, in milliseconds.
    pub late_ms: u64,
    /// Where calls fail.
    pub fail: Option<Point>,
    /// Each answer is sent twice on its connection.
    pub twice: bool,
    /// Each call is given the answer of the call before it.
    pub crossed: bool,
    /// Calls are refused before the start.
    pub refuse: bool,
    /// Calls are refused before the start, since the service is leaving.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    runs: BTreeMap<Box<str>, u64>,
    last: Option<Reply>,
    running: u64,
    sequence: u64,
}

/// The answer to a call.
#[derive(Clone, Debug)]
struct Reply {
    request: Box<str>,
    body: Box<str>,
}

/// Serves until the listener fails.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let state = Arc::new(Mutex::new(State {
        behaviour: settings.behaviour,
        ..State::default()
    }));
    loop {
        let (stream, _peer) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let twice = Arc::new(AtomicBool::new(false));
        let stream = Echo::new(stream, Arc::clone(&twice));
        let state = Arc::clone(&state);
        let served = http::connection(stream, move |request| {
            let (state, twice) = (Arc::clone(&state), Arc::clone(&twice));
            async move {
                let answer = answer(&state, &request).await;
                let test = request.path.starts_with("/test/");
                twice.store(!test && lock(&state).behaviour.twice, Ordering::SeqCst);
                answer
            }
        });
        smol::spawn(served).detach();
    }
}

/// Returns the digest that the service gives for a body.
pub fn digest(body: &[u8]) -> Box<str> {
    format!("{:016x}", xxh3_64(body)).into()
}

async fn answer(state: &Arc<Mutex<State>>, request: &Request) -> Answer {
    match &*request.path {
        "/test/runs" => Ok(http::json(&json!({ "runs": lock(state).runs }))),
        "/test/behaviour" => Ok(order(state, request)),
        "/v1/load" => Ok(load(state)),
        _ => call(state, request).await,
    }
}

fn order(state: &Mutex<State>, request: &Request) -> Response<Body> {
    match request.json() {
        Ok(behaviour) => {
            lock(state).behaviour = behaviour;
            http::json(&json!({}))
        }
        Err(refusal) => *refusal,
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

async fn call(state: &Arc<Mutex<State>>, request: &Request) -> Answer {
    let behaviour = lock(state).behaviour.clone();
    if behaviour.refuse || behaviour.leaving {
        return Ok(http::refusal(behaviour.leaving));
    }
    if behaviour.fail == Some(Point::Before) {
        return Err(http::hang_up());
    }
    let (sender, receiver) = channel::bounded(1);
    let work = work(
        Arc::clone(state),
        behaviour.clone(),
        request.clone(),
        sender,
    );
    smol::spawn(work).detach();
    let reply = receiver.recv().await.map_err(io::Error::other)?;
    finish(state, &behaviour, reply)
}

/// Works on a call to its end, even if the caller hangs up meanwhile.
async fn work(
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
    // The caller may have hung up.
    let _ = replies.send(reply).await;
}

/// Runs the call and counts it.
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

/// Turns the reply into an answer, with the faults that come after the run.
fn finish(state: &Mutex<State>, behaviour: &Behaviour, reply: Reply) -> Answer {
    let former = lock(state).last.replace(reply.clone());
    let reply = match former {
        Some(former) if behaviour.crossed => former,
        _ => reply,
    };
    let mut response = match behaviour.fail {
        Some(Point::During) => return Err(http::hang_up()),
        Some(Point::After) => half(&reply.body)?,
        Some(Point::Error) => http::status(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        _ => http::status(StatusCode::OK, &reply.body),
    };
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&reply.request) {
        headers.insert("x-request-id", id);
    }
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    Ok(response)
}

/// Makes an answer that breaks off in the middle.
fn half(body: &str) -> Answer {
    let (sender, receiver) = smol::channel::bounded(2);
    let first = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let broken = sender
        .try_send(Ok(first))
        .and_then(|()| sender.try_send(Err(http::hang_up())));
    broken.map_err(io::Error::other)?;
    Ok(http::stream(receiver, "application/json"))
}
