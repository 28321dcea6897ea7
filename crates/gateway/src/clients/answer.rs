//! Responses to clients.

use {
    crate::clients::buffer::{Budget, Sliced},
    base::{Reason, Refusal, Verdict},
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    http_body_util::{BodyExt, combinators::UnsyncBoxBody},
    hyper::{
        Response, StatusCode,
        header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::{convert::Infallible, sync::Arc},
};

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Error that truncates a response body and closes the connection.
#[derive(Clone, Debug, Display, Error)]
#[display("{message}")]
pub struct BodyError {
    /// Cause of the error.
    pub message: Box<str>,
}

/// Creates a body from a buffer.
pub fn full(bytes: Bytes) -> Body {
    Sliced::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Reads the whole body of a response, so that it has a length; becomes a refusal if it breaks off.
///
/// A client that knows no chunks can't tell a broken body without a length from a whole one.
pub async fn buffered(
    response: Response<Body>,
    buffers: &Arc<Budget>,
    attempt_id: &str,
) -> Response<Body> {
    let (parts, body) = response.into_parts();
    match buffers.collect(body).await {
        Ok(body) => Response::from_parts(parts, full(body)),
        Err(message) => {
            log::info!(target: "answer", request:% = attempt_id, reason:% = Reason::TargetLost; "request refused: {message}");
            refusal(&Refusal::may_have_run(Reason::TargetLost, message))
        }
    }
}

/// Creates the response for a refusal.
pub fn refusal(refusal: &Refusal) -> Response<Body> {
    // Clients can act on limits; other messages may name what is inside the deployment.
    let message = match refusal.reason {
        Reason::Overloaded | Reason::TooLarge => format!(",\"message\":{:?}", refusal.message),
        _ => String::new(),
    };
    let text = format!(
        "{{\"reason\":\"{}\",\"verdict\":\"{}\"{message}}}\n",
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

/// Marks the connection to be closed, so that the client's next request opens a new one.
pub fn set_connection_close(response: &mut Response<Body>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Returns whether clients take a status for the statement that their request did not run and never
/// will, so that they may send it again.
pub fn promises_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the status code; only requests that did not run get 503, which permits a retry.
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
