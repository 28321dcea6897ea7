//! HTTP endpoints for the load balancer, peers and operators.

use {
    crate::{
        Shared,
        control::{
            origins,
            status::{self, Report},
            transfer,
        },
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    smol::net::{TcpListener, TcpStream},
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{
        convert::Infallible,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Path of the metrics endpoint.
pub const METRICS_PATH: &str = "/metrics";
/// Media type of the status.
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");
/// Maximum idle time of a connection between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed `accept` call.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Who connects to an address; decides which endpoints it serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// The load balancer or the other VMs.
    Machines,
    /// Operators, who also get the status.
    Operators,
}

/// Serves the endpoints on one address until the process exits.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener, audience: Audience) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection_shared = Arc::clone(&shared);
                shared
                    .runtime
                    .spawn(serve(connection_shared, stream, audience))
                    .detach();
            }
            Err(error) => {
                log::warn!(target: "admin", error:% = error; "failed to accept a connection");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, audience: Audience) {
    // Held until the connection ends, when a configuration has been received by the peer.
    let place = Mutex::new(None);
    let service = service_fn(|request: Request<Incoming>| {
        let is_transfer = request.method() == Method::GET && request.uri().path() == transfer::PATH;
        let response = if is_transfer {
            let (response, taken) = transfer::answer(&shared, &request);
            *place.lock().unwrap_or_else(PoisonError::into_inner) = taken;
            response
        } else {
            answer(&shared, &request, audience)
        };
        async move { Ok::<_, Infallible>(response) }
    });
    let result = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!(target: "admin", error:% = error; "connection closed with an error");
    }
}

fn answer(
    shared: &Shared,
    request: &Request<Incoming>,
    audience: Audience,
) -> Response<Full<Bytes>> {
    let is_status = request.method() == Method::GET && request.uri().path() == status::PATH;
    if is_status && audience == Audience::Operators {
        return status(shared);
    }
    let (status, body) = match (request.method(), request.uri().path()) {
        (&Method::GET, platform::READINESS_PATH) if shared.is_ready() => {
            (StatusCode::OK, Bytes::new())
        }
        (&Method::GET, platform::READINESS_PATH) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        (&Method::GET, path) if path.starts_with(origins::PATH) => origins::answer(shared, path)
            .map_or_else(
                || (StatusCode::NOT_FOUND, Bytes::new()),
                |origin| (StatusCode::OK, origin),
            ),
        (&Method::GET, METRICS_PATH) => match shared.metrics.encode(shared) {
            Ok(text) => (StatusCode::OK, text.into()),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        },
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn status(shared: &Shared) -> Response<Full<Bytes>> {
    match serde_json::to_vec(&Report::collect(shared)) {
        Ok(text) => {
            let mut response = Response::new(Full::new(text.into()));
            response.headers_mut().insert(CONTENT_TYPE, JSON_TYPE);
            response
        }
        Err(error) => {
            let mut response = Response::new(Full::new(error.to_string().into()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
