//! HTTP towards targets and the platform.
//!
//! Each request takes a new connection: one that went silent for good can't be told from an idle
//! one, and a stream keeps its connection for as long as it runs anyway.

use {
    crate::{Context, runtime::with_timeout},
    base::{Reason, Refusal},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, Response, body::Incoming, client::conn::http1, header::HOST},
    smol::net::TcpStream,
    smol_hyper::rt::FuturesIo,
    std::{net::SocketAddr, time::Duration},
};

/// Starts a request; the path is absolute.
///
/// # Errors
/// Returns a [`Reason::BadRequest`] refusal if the path is no URI.
pub fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, Refusal> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .map_err(|error| Refusal::not_run(Reason::BadRequest, error.to_string()))
}

/// Sends a request and returns the head of the answer.
///
/// # Errors
/// The refusal's verdict is `NotRun` if no byte of the request can have left, `MayHaveRun` otherwise.
pub async fn send(
    context: &Context,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Refusal> {
    let limit = context.settings.limits.connect_timeout;
    let connecting = with_timeout(limit, TcpStream::connect(address)).await;
    let stream = match connecting {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return Err(unreachable_target(&error.to_string())),
        None => return Err(unreachable_target("the connection timed out")),
    };
    let _ = stream.set_nodelay(true);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|error| unreachable_target(&error.to_string()))?;
    context.spawn(async move {
        let _ = connection.await;
    });
    sender.send_request(request).await.map_err(|error| {
        let message = format!("the target was lost: {error}");
        if error.is_canceled() {
            Refusal::not_run(Reason::TargetLost, message)
        } else {
            Refusal::may_have_run(Reason::TargetLost, message)
        }
    })
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// Returns a [`Reason::TargetLost`] refusal if the body breaks off or is longer.
pub async fn read(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    Limited::new(body, limit)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| Refusal::may_have_run(Reason::TargetLost, error.to_string()))
}

/// Gets a small JSON answer within a time limit.
///
/// # Errors
/// Returns a refusal if the target does not answer, or not with JSON.
pub async fn get_json(
    context: &Context,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<serde_json::Value, Refusal> {
    const BODY_LIMIT: usize = 4 << 20;
    let asking = async {
        let response = send(context, address, request(Method::GET, path, Bytes::new())?).await?;
        if !response.status().is_success() {
            let message = format!("the target answered {}", response.status());
            return Err(Refusal::may_have_run(Reason::TargetInvalid, message));
        }
        let body = read(response.into_body(), BODY_LIMIT).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Refusal::may_have_run(Reason::TargetInvalid, error.to_string()))
    };
    with_timeout(limit, asking).await.unwrap_or_else(|| {
        Err(Refusal::may_have_run(
            Reason::Deadline,
            "the target did not answer in time",
        ))
    })
}

fn unreachable_target(message: &str) -> Refusal {
    Refusal::not_run(
        Reason::TargetLost,
        format!("the target can't be reached: {message}"),
    )
}

/// Returns whether a target says that it refused a request before it started.
pub fn is_refused_before_start(response: &Response<Incoming>) -> bool {
    response.status() == hyper::StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key("x-not-started")
}
