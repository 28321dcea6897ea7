//! Answers to clients.

use {
    base::{Reason, Refusal, Verdict},
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::{
        Response, StatusCode,
        header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::convert::Infallible,
};

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// An answer that ends before it is whole; the connection is closed.
#[derive(Clone, Debug, Display, Error)]
#[display("{message}")]
pub struct BodyError {
    /// Why.
    pub message: Box<str>,
}

/// Makes a body of whole bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Makes the answer to a request that was given up.
pub fn refusal(refusal: &Refusal) -> Response<Body> {
    let text = format!(
        "{{\"reason\":\"{}\",\"verdict\":\"{}\"}}\n",
        refusal.reason, refusal.verdict
    );
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status_code(refusal);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = refusal.retry_after
        && let Ok(delay) = HeaderValue::from_str(&format!("{:.2}", delay.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, delay);
    }
    response
}

/// Asks the client to take another connection for its next request.
pub fn set_connection_close(response: &mut Response<Body>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Only a request that did not run may get a status that says so.
fn status_code(refusal: &Refusal) -> StatusCode {
    match (refusal.verdict, refusal.reason) {
        (_, Reason::BadRequest) => StatusCode::BAD_REQUEST,
        (_, Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, Reason::Unauthorized) => StatusCode::UNAUTHORIZED,
        (_, Reason::NotFound) => StatusCode::NOT_FOUND,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
