//! HTTP handlers for completions: start a generation, or resume its event stream.

use {
    crate::{
        Context, Exchange,
        answer::{self, Body},
        inner,
        prompt::Prompt,
        session::{self, Output},
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

/// Header with the id of the last event that the caller received, which is a resume token.
const LAST_EVENT_ID: &str = "last-event-id";
/// Attempts to notify the entry VM that carried the stream before.
const TAKEOVER_ATTEMPTS: u32 = 5;
/// Longest wait for its answer, and the delay before the next attempt.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a generation and answers with an event stream or the complete JSON body.
///
/// # Errors
/// Returns a refusal if the request is invalid, or the stream fails before its first output.
pub async fn serve(
    context: &Arc<Context>,
    exchange: &Exchange,
    parts: &Parts,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let prompt = Prompt::parse(exchange, parts, body)?;
    let exchange = &exchange.with_class(prompt.class());
    respond(exchange, session::start(context, exchange, prompt)).await
}

/// Resumes an interrupted stream after the event in the caller's `Last-Event-ID`.
///
/// # Errors
/// Returns a refusal if the token is invalid or another customer's, if its engine is not configured
/// for the service any more, or if the stream fails before its first output.
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
    let token = ResumeToken::open(text, &context.key, exchange.customer).map_err(token_refusal)?;
    check_target(exchange, &token)?;
    take_over(context, token.vm, &token.request);
    respond(exchange, session::resume(context, exchange, token)).await
}

fn token_refusal(error: token::Error) -> Refusal {
    let reason = match error {
        token::Error::Foreign => Reason::Forbidden,
        token::Error::Malformed | token::Error::Unauthentic => Reason::BadRequest,
    };
    Refusal::not_run(reason, error.to_string())
}

/// Checks that the token's engine is still configured and belongs to the requested service.
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

/// Ends the stream's previous session, here or on its former entry VM, without cancelling the
/// generation.
fn take_over(context: &Arc<Context>, vm: key::Vm, request: &str) {
    context.sessions.release(request);
    if vm == context.identity.vm {
        return;
    }
    let task = notify_former_vm(Arc::clone(context), vm, request.into());
    context.spawn(task);
}

async fn notify_former_vm(context: Arc<Context>, vm: key::Vm, request: Box<str>) {
    for _ in 0..TAKEOVER_ATTEMPTS {
        if inner::notify_takeover(&context, vm, &request, TAKEOVER_TIMEOUT).await {
            return;
        }
        Timer::after(TAKEOVER_TIMEOUT).await;
    }
}

/// Waits for the first output: an error response, a JSON body or the start of an event stream.
async fn respond(
    exchange: &Exchange,
    receiver: Receiver<Output>,
) -> Result<Response<Body>, Refusal> {
    let first = receiver.recv().await.map_err(|_closed| {
        Refusal::may_have_run(Reason::Internal, "the stream ended without an answer")
    })?;
    match first {
        Output::Refusal(refusal) => Err(refusal),
        Output::Body(body) => Ok(answer::json(StatusCode::OK, &body)),
        Output::Event(event) => {
            let exchange = exchange.clone();
            let rest = receiver.filter_map(move |output| match output {
                Output::Event(event) => Some(event),
                Output::Refusal(refusal) => Some(session::error_event(&refusal, &exchange)),
                Output::Body(_) => None,
            });
            Ok(event_stream(smol::stream::once(event).chain(rest)))
        }
    }
}

fn event_stream(
    events: impl smol::stream::Stream<Item = bytes::Bytes> + Send + 'static,
) -> Response<Body> {
    let mut response = Response::new(answer::stream(events));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
