//! A generation on a model engine, for one caller: the HTTP side.

use {
    crate::{
        Context, Exchange,
        answer::{self, Body},
        inner,
        prompt::Prompt,
        session::{self, Part},
    },
    base::{Reason, Refusal, Verdict, key},
    hyper::{
        Response, StatusCode,
        header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
        http::request::Parts,
    },
    smol::{Timer, channel::Receiver, stream::StreamExt},
    std::{sync::Arc, time::Duration},
    stream::{ResumeToken, token},
};

/// Header with which a caller names the last event that it has.
const LAST_EVENT_ID: &str = "last-event-id";
/// Attempts to tell the entry VM that owned a stream.
const ADOPT_ATTEMPTS: u32 = 5;
/// Longest wait for its answer, and wait before the next attempt.
const ADOPT_LIMIT: Duration = Duration::from_secs(1);

/// Answers a caller with a stream or with the whole answer.
///
/// # Errors
/// Returns a refusal if nothing of an answer was sent.
pub async fn serve(
    context: &Arc<Context>,
    exchange: &Exchange,
    parts: &Parts,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let prompt = Prompt::parse(exchange, parts, body)?;
    let exchange = &exchange.of_class(prompt.class());
    respond(exchange, session::begin(context, exchange, prompt)).await
}

/// Goes on with a stream that was cut, at the caller's `Last-Event-ID`.
///
/// # Errors
/// Returns a refusal if the token is not this customer's, or nothing of the stream can be had.
pub async fn resume(
    context: &Arc<Context>,
    exchange: &Exchange,
    parts: &Parts,
) -> Result<Response<Body>, Refusal> {
    let text = parts
        .headers
        .get(LAST_EVENT_ID)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| Refusal::not_run(Reason::BadRequest, "there is no Last-Event-ID"))?;
    let token = ResumeToken::open(text, &context.key, exchange.customer).map_err(refuse_token)?;
    check_target(exchange, &token)?;
    adopt(context, token.vm, &token.request);
    respond(exchange, session::resume(context, exchange, token)).await
}

fn refuse_token(error: token::Error) -> Refusal {
    let reason = match error {
        token::Error::Foreign => Reason::Forbidden,
        token::Error::Malformed | token::Error::Unauthentic => Reason::BadRequest,
    };
    Refusal::not_run(reason, error.to_string())
}

/// The engine must still be in force, and of the service that the path names.
fn check_target(exchange: &Exchange, token: &ResumeToken) -> Result<(), Refusal> {
    match exchange.deployment.snapshot.targets.get(token.target) {
        Some(target) if target.service == exchange.service => Ok(()),
        Some(_) => Err(Refusal::not_run(
            Reason::BadRequest,
            "the resume token is of another service",
        )),
        None => Err(Refusal {
            verdict: Verdict::Ran,
            ..Refusal::not_run(Reason::TargetLost, "the engine is not in force any more")
        }),
    }
}

/// Tells the former owner of a stream not to cancel its generation.
fn adopt(context: &Arc<Context>, vm: key::Vm, request: &str) {
    context.sessions.adopt(request);
    if vm == context.identity.vm {
        return;
    }
    let task = tell_owner(Arc::clone(context), vm, request.into());
    context.spawn(task);
}

async fn tell_owner(context: Arc<Context>, vm: key::Vm, request: Box<str>) {
    for _ in 0..ADOPT_ATTEMPTS {
        if inner::adopt(&context, vm, &request, ADOPT_LIMIT).await {
            return;
        }
        Timer::after(ADOPT_LIMIT).await;
    }
}

/// Waits for the first part, which decides between an answer and a plain error.
async fn respond(exchange: &Exchange, receiver: Receiver<Part>) -> Result<Response<Body>, Refusal> {
    let first = receiver.recv().await.map_err(|_closed| {
        Refusal::may_have_run(Reason::Internal, "the stream ended without an answer")
    })?;
    match first {
        Part::Refusal(refusal) => Err(refusal),
        Part::Whole(body) => Ok(answer::json(StatusCode::OK, &body)),
        Part::Bytes(bytes) => {
            let exchange = exchange.clone();
            let rest = receiver.filter_map(move |part| match part {
                Part::Bytes(bytes) => Some(bytes),
                Part::Refusal(refusal) => Some(session::error_event(&refusal, &exchange)),
                Part::Whole(_) => None,
            });
            Ok(events(smol::stream::once(bytes).chain(rest)))
        }
    }
}

fn events(
    parts: impl smol::stream::Stream<Item = bytes::Bytes> + Send + 'static,
) -> Response<Body> {
    let mut response = Response::new(answer::stream(parts));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
