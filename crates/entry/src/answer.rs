//! Builders for HTTP responses to callers and operators.

use {
    crate::Context,
    base::{Reason, Refusal},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        Response, StatusCode,
        body::Frame,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    serde_json::json,
    smol::stream::{Stream, StreamExt},
    std::convert::Infallible,
};

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Builds a body from complete bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Builds a body that streams chunks.
pub fn stream(chunks: impl Stream<Item = Bytes> + Send + 'static) -> Body {
    StreamBody::new(chunks.map(|bytes| Ok(Frame::data(bytes)))).boxed_unsync()
}

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the JSON error body for a refusal.
pub fn error_body(refusal: &Refusal, request: &str, version: u64) -> serde_json::Value {
    json!({"error": {
        "verdict": refusal.verdict,
        "reason": refusal.reason,
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after.map(|delay| delay.as_millis() as u64),
        "request": request,
        "configuration_version": version,
    }})
}

/// Builds the error response for a refusal.
pub fn refusal(refusal: &Refusal, request: &str, version: u64) -> Response<Body> {
    let body = error_body(refusal, request, version);
    let mut response = json(status(refusal.reason), &body);
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_millis().div_ceil(1000) as u64;
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Adds the headers that every response to a caller has.
pub fn add_common_headers(
    response: &mut Response<Body>,
    context: &Context,
    request: &str,
    version: u64,
) {
    let headers = response.headers_mut();
    headers.insert("x-configuration-version", HeaderValue::from(version));
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert("x-request-id", id);
    }
    if context.drain.is_leaving() {
        headers.insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
    }
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest | Reason::BadTicket => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Forbidden => StatusCode::FORBIDDEN,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::Overloaded
        | Reason::NoTarget
        | Reason::Cordoned
        | Reason::NotReady
        | Reason::Quarantined
        | Reason::TargetRefused => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetLost | Reason::TargetInvalid | Reason::PeerLost => StatusCode::BAD_GATEWAY,
        Reason::TicketVmGone | Reason::KeyInDoubt | Reason::RecordDropped => StatusCode::CONFLICT,
        Reason::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
