//! The HTTP client for targets and the platform.
//!
//! Each request opens a new connection instead of using a pool: a half-open connection can't be
//! told from an idle one, and a stream occupies its connection until it ends anyway.

use {
    crate::{Context, runtime::with_timeout},
    base::{Reason, Refusal},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode, body::Incoming, client::conn::http1, header::HOST,
    },
    smol::net::TcpStream,
    smol_hyper::rt::FuturesIo,
    std::{net::SocketAddr, time::Duration},
};

/// Builds a request for an absolute path.
///
/// # Errors
/// Returns a [`Reason::BadRequest`] refusal if the path is not a valid URI.
pub fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, Refusal> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .map_err(|error| Refusal::not_run(Reason::BadRequest, error.to_string()))
}

/// Sends a request on a new connection and returns the response once its head has arrived.
///
/// # Errors
/// Returns a refusal with the verdict `NotRun` if no byte was sent, else `MayHaveRun`.
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
    let response = sender.send_request(request).await.map_err(|error| {
        let message = format!("the target was lost: {error}");
        if error.is_canceled() {
            Refusal::not_run(Reason::TargetLost, message)
        } else {
            Refusal::may_have_run(Reason::TargetLost, message)
        }
    })?;
    if !is_final(response.status()) {
        let message = format!("invalid status {}", response.status().as_u16());
        return Err(Refusal::may_have_run(Reason::TargetInvalid, message));
    }
    Ok(response)
}

/// Returns whether a status is that of a final response (RFC 9110, section 15).
///
/// The HTTP library accepts all numbers from 100 to 999, and a switch to another protocol that was not
/// asked for.
pub fn is_final(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() < 600
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// Returns a [`Reason::TargetLost`] refusal if the body is incomplete or too long.
pub async fn read(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    Limited::new(body, limit)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| Refusal::may_have_run(Reason::TargetLost, error.to_string()))
}

/// Sends a GET request and parses the JSON response, all within a time limit.
///
/// # Errors
/// Returns a refusal if there is no answer in time, an error status or a body that isn't JSON.
pub async fn get_json(
    context: &Context,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<serde_json::Value, Refusal> {
    const BODY_LIMIT: usize = 4 << 20;
    let exchange = async {
        let response = send(context, address, request(Method::GET, path, Bytes::new())?).await?;
        if !response.status().is_success() {
            let message = format!("the target answered {}", response.status());
            return Err(Refusal::may_have_run(Reason::TargetInvalid, message));
        }
        let body = read(response.into_body(), BODY_LIMIT).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Refusal::may_have_run(Reason::TargetInvalid, error.to_string()))
    };
    with_timeout(limit, exchange).await.unwrap_or_else(|| {
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

/// Returns whether a target refused a request before starting it.
pub fn is_refused_before_start(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key("x-not-started")
}
