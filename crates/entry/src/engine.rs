//! Connections to model engines: starting, resuming and cancelling generations.

use {
    crate::{
        Context, Exchange,
        http::{self, is_refused_before_start},
        prompt::Prompt,
        runtime::with_timeout,
        sse::{Item, Parser},
    },
    base::{Refusal, key},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Method, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
    },
    serde::Deserialize,
    smol::{Timer, channel::Sender},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    stream::{Chunk, Event, Failure, Finish, Start},
};

/// Data of the last event of an engine's stream.
const DONE: &str = "[DONE]";
/// Most attempts to cancel a generation.
const CANCEL_ATTEMPTS: u32 = 3;
/// Longest wait for the response to a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a cancel is retried.
const CANCEL_BACKOFF: Duration = Duration::from_secs(1);

/// A connection that a session wants to open to an engine.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Number of the connection within the session.
    pub number: u32,
    /// The engine.
    pub target: key::Target,
    /// Request id of the attempt.
    pub request: Box<str>,
    /// Whether to start or to resume a generation.
    pub start: Start,
    /// The caller's request; `None` for a stream that is only resumed.
    pub prompt: Option<Arc<Prompt>>,
}

/// Opens a connection and forwards its events until it fails or the session has ended.
pub async fn read_stream(
    context: Arc<Context>,
    exchange: Exchange,
    connection: Connection,
    events: Sender<Event>,
) {
    let number = connection.number;
    let failure = match open(&context, &exchange, &connection).await {
        Ok(response) => match forward_events(response.into_body(), number, &events).await {
            Some(failure) => failure,
            None => return,
        },
        Err(failure) => failure,
    };
    let connection = number;
    let _ = events
        .send(Event::Failed {
            connection,
            failure,
        })
        .await;
}

async fn open(
    context: &Context,
    exchange: &Exchange,
    connection: &Connection,
) -> Result<Response<Incoming>, Failure> {
    let address = address(exchange, connection.target).ok_or(Failure::Unreachable)?;
    let request = match &connection.start {
        Start::New => completion_request(exchange, connection),
        Start::Resume { generation, index } => {
            let path = format!("/v1/generations/{generation}/events?from={index}");
            http::request(Method::GET, &path, Bytes::new())
        }
    };
    let mut request = request.map_err(|_refusal| Failure::Rejected)?;
    if let Ok(id) = connection.request.parse() {
        request.headers_mut().insert("x-request-id", id);
    }
    let response = http::send(context, address, request).await;
    let response = response.map_err(|refusal| {
        if refusal.verdict.is_repeatable() {
            Failure::Unreachable
        } else {
            Failure::Disconnected
        }
    })?;
    check_status(&response, &connection.start)?;
    Ok(response)
}

fn completion_request(
    exchange: &Exchange,
    connection: &Connection,
) -> Result<hyper::Request<http_body_util::Full<Bytes>>, Refusal> {
    let prompt = connection.prompt.as_ref();
    let body = prompt.map(|prompt| prompt.body()).unwrap_or_default();
    let priority = prompt.map_or(0, |prompt| prompt.priority(exchange));
    let mut request = http::request(Method::POST, "/v1/completions", body)?;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert("x-priority", HeaderValue::from(u16::from(priority)));
    Ok(request)
}

/// Maps an error status to the failure of the connection.
fn check_status(response: &Response<Incoming>, start: &Start) -> Result<(), Failure> {
    if is_refused_before_start(response) {
        return Err(if response.headers().contains_key("x-leaving") {
            Failure::Leaving
        } else {
            Failure::Refused
        });
    }
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    let is_resume = *start != Start::New;
    Err(match status {
        StatusCode::NOT_FOUND if is_resume => Failure::Unknown,
        _ if status.is_client_error() && !is_resume => Failure::Rejected,
        _ => Failure::Disconnected,
    })
}

/// Forwards events until the connection fails; `None` if the session has ended.
async fn forward_events(
    mut body: Incoming,
    connection: u32,
    events: &Sender<Event>,
) -> Option<Failure> {
    let mut parser = Parser::default();
    while let Some(Ok(frame)) = body.frame().await {
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        let Some(items) = parser.push(bytes) else {
            return Some(Failure::Mismatched);
        };
        for item in items {
            let Some(event) = decode_event(connection, &item) else {
                continue;
            };
            events.send(event).await.ok()?;
        }
    }
    Some(Failure::Disconnected)
}

fn decode_event(connection: u32, item: &Item) -> Option<Event> {
    let Item::Event(event) = item else {
        return Some(Event::Heartbeat { connection });
    };
    if event.data == DONE {
        return None;
    }
    Some(match parse_chunk(&event.data) {
        Some(chunk) => Event::Chunk { connection, chunk },
        None => Event::Failed {
            connection,
            failure: Failure::Mismatched,
        },
    })
}

/// JSON of one token event.
#[derive(Deserialize)]
struct Data<'a> {
    id: Box<str>,
    request: Box<str>,
    index: u32,
    #[serde(borrow)]
    choices: [Choice<'a>; 1],
}

#[derive(Deserialize)]
struct Choice<'a> {
    text: Box<str>,
    #[serde(borrow)]
    finish_reason: Option<std::borrow::Cow<'a, str>>,
}

fn parse_chunk(data: &str) -> Option<Chunk> {
    let data: Data<'_> = serde_json::from_str(data).ok()?;
    let [choice] = data.choices;
    let finish = match choice.finish_reason {
        Some(reason) => Some(Finish::parse(&reason)?),
        None => None,
    };
    Some(Chunk {
        generation: data.id,
        request: data.request,
        index: data.index,
        text: choice.text,
        finish,
    })
}

/// Cancels an attempt on its engine; retried, since an unreachable engine may still be generating.
pub async fn cancel(
    context: Arc<Context>,
    exchange: Exchange,
    target: key::Target,
    request: Box<str>,
) {
    let _guard = context.drain.track();
    let Some(address) = address(&exchange, target) else {
        return;
    };
    let path = format!("/v1/requests/{request}");
    for _ in 0..CANCEL_ATTEMPTS {
        if with_timeout(CANCEL_TIMEOUT, send_cancel(&context, address, &path)).await == Some(true) {
            return;
        }
        Timer::after(CANCEL_BACKOFF).await;
    }
}

/// Sends a cancel request; returns false if it must be retried.
async fn send_cancel(context: &Context, address: SocketAddr, path: &str) -> bool {
    let Ok(request) = http::request(Method::DELETE, path, Bytes::new()) else {
        return true;
    };
    http::send(context, address, request).await.is_ok()
}

/// Returns an engine's address in the configuration under which the request started.
fn address(exchange: &Exchange, target: key::Target) -> Option<SocketAddr> {
    let targets = &exchange.deployment.snapshot.targets;
    targets.get(target).map(|target| target.address)
}
