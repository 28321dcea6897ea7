//! Transfer of the configuration from one VM to another.

use {
    crate::{
        Shared,
        control::encoding::{DEFLATE, LARGE_BYTES},
        targets::client::small_request,
    },
    base::transfer::Bounds,
    bytes::Bytes,
    dispatch::replication::{BUSY_RETRY_AFTER, Upload, Uploads},
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode,
        header::{ACCEPT_ENCODING, CONNECTION, CONTENT_ENCODING, HeaderValue, RETRY_AFTER},
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Path at which VMs serve their configuration to peers.
pub const PATH: &str = "/configuration";
/// Time to the first byte of a peer's response, and longest time between two parts of it.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which a peer's response must be complete.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a peer's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// A configuration as a peer sent it.
#[derive(Debug)]
pub struct Received {
    /// The bytes.
    pub body: Bytes,
    /// Whether they are deflated.
    pub is_deflated: bool,
}

/// Why a peer gave no configuration.
#[derive(Debug)]
pub enum Failure {
    /// It is sending its configuration to others, and takes requests again after this time.
    Busy(Duration),
    /// It did not respond, or not with a valid configuration.
    Other(Box<str>),
}

/// Requests the configuration of a peer.
///
/// # Errors
/// Returns a failure if the peer is busy or its response exceeds the time limits.
pub async fn fetch(shared: &Shared, peer: Ipv4Addr) -> Result<Received, Failure> {
    let port = shared.settings.load().listen.control.port();
    let address = SocketAddr::from((peer, port));
    let mut request = small_request(address, Method::GET, PATH, Bytes::new())
        .map_err(|failure| Failure::Other(failure.message))?;
    let encoding = HeaderValue::from_static(DEFLATE);
    request.headers_mut().insert(ACCEPT_ENCODING, encoding);
    let bounds = Bounds::builder()
        .head(STALL_TIMEOUT)
        .stall(STALL_TIMEOUT)
        .total(TRANSFER_TIMEOUT)
        .bytes(MAX_RESPONSE_BYTES)
        .build();
    let response = shared
        .client
        .fetch(address, request, bounds)
        .await
        .map_err(|shortfall| Failure::Other(shortfall.to_string().into()))?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && let Some(retry_after) = retry_after(&response)
    {
        return Err(Failure::Busy(retry_after));
    }
    if !response.status().is_success() {
        let message = format!("the peer responded with {}", response.status());
        return Err(Failure::Other(message.into()));
    }
    let is_deflated = response
        .headers()
        .get(CONTENT_ENCODING)
        .is_some_and(|encoding| encoding == DEFLATE);
    Ok(Received {
        is_deflated,
        body: response.into_body(),
    })
}

fn retry_after(response: &Response<Bytes>) -> Option<Duration> {
    let value = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(value.parse().ok()?).ok()
}

/// The transfers that a VM is sending.
#[derive(Debug, Default)]
pub struct Sender {
    uploads: Mutex<Uploads>,
}

/// A place among the transfers of a VM, which ends when it is dropped.
#[derive(Debug)]
pub struct Place {
    shared: Arc<Shared>,
    upload: Upload,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.sender.lock().end(self.upload);
    }
}

impl Sender {
    fn lock(&self) -> std::sync::MutexGuard<'_, Uploads> {
        self.uploads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the response to a peer's request, and the place that it takes until its connection ends.
pub fn answer<B>(
    shared: &Arc<Shared>,
    request: &Request<B>,
) -> (Response<Full<Bytes>>, Option<Place>) {
    let Some(snapshot) = shared.current.load() else {
        return (respond(StatusCode::NOT_FOUND, Bytes::new()), None);
    };
    let encoding = &snapshot.encoding;
    if encoding.plain_bytes() <= LARGE_BYTES {
        return (respond(StatusCode::OK, encoding.body()), None);
    }
    let is_deflated = encoding.is_deflated() && accepts_deflate(request);
    let Some(upload) = shared.sender.lock().begin(is_deflated, shared.now()) else {
        let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        let seconds = BUSY_RETRY_AFTER.as_secs_f64().to_string();
        if let Ok(seconds) = HeaderValue::try_from(seconds) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        return (response, None);
    };
    let place = Place {
        shared: Arc::clone(shared),
        upload,
    };
    let mut response = if is_deflated {
        let mut response = respond(StatusCode::OK, encoding.body());
        let encoding = HeaderValue::from_static(DEFLATE);
        response.headers_mut().insert(CONTENT_ENCODING, encoding);
        response
    } else {
        match encoding.plain() {
            Ok(plain) => respond(StatusCode::OK, plain),
            Err(error) => {
                log::error!(target: "configuration", error:% = error; "failed to inflate the configuration for a peer");
                respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    };
    // The end of the connection shows that the peer has received everything.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    (response, Some(place))
}

fn accepts_deflate<B>(request: &Request<B>) -> bool {
    let values = request.headers().get_all(ACCEPT_ENCODING).iter();
    let mut codings = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    codings.any(|coding| coding.trim() == DEFLATE)
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
