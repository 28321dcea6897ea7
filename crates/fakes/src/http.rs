//! HTTP server shared by the fakes.

use {
    crate::site::partition::Partition,
    bytes::Bytes,
    futures_lite::StreamExt as _,
    http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody},
    hyper::{
        Method, StatusCode,
        body::{Frame, Incoming},
        header::{CONTENT_TYPE, HeaderMap},
        server::conn::http1,
        service::service_fn,
    },
    serde::de::DeserializeOwned,
    smol::{
        channel::Receiver,
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
    },
    smol_hyper::rt::{FuturesIo, SmolTimer},
    socket2::SockRef,
    std::{error::Error as _, fmt::Debug, io, time::Duration},
};

/// Maximum size of a request body; larger requests fail.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Body of a response.
pub type Body = BoxBody<Bytes, io::Error>;

/// Response of a handler; an error closes the connection without a response.
pub type HandlerResult = Result<hyper::Response<Body>, io::Error>;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// URL path without the query.
    pub path: Box<str>,
    /// URL query without the question mark; empty if there is none.
    pub query: Box<str>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Request {
    /// Reads the whole body of a request.
    async fn read(request: hyper::Request<Incoming>) -> io::Result<Self> {
        let (parts, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        Ok(Self {
            method: parts.method,
            path: parts.uri.path().into(),
            query: parts.uri.query().unwrap_or_default().into(),
            headers: parts.headers,
            body,
        })
    }

    /// Returns a header's value, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns a numeric query parameter.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.parse().ok())?
        })
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// Returns the 400 response to send, with the parser's message.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Box<hyper::Response<Body>>> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Box::new(text(StatusCode::BAD_REQUEST, &error.to_string())))
    }
}

/// Returns a 200 response with a JSON body.
pub fn json(value: &serde_json::Value) -> hyper::Response<Body> {
    json_text(&value.to_string())
}

/// Returns a 200 response with a JSON body that is already encoded.
pub fn json_text(body: &str) -> hyper::Response<Body> {
    let mut response = text(StatusCode::OK, body);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns a response with a status and a plain body.
pub fn text(status: StatusCode, body: &str) -> hyper::Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()))
        .map_err(|never| match never {})
        .boxed();
    let mut response = hyper::Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a 503 response to a request that was not started.
///
/// `is_leaving` announces that no further request will be started.
pub fn not_started(is_leaving: bool) -> hyper::Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "not started");
    let yes = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-started", yes.clone());
    if is_leaving {
        response.headers_mut().insert("x-leaving", yes);
    }
    response
}

/// Returns a response that streams its body in chunks; an error chunk closes the connection.
pub fn stream(
    chunks: Receiver<io::Result<Bytes>>,
    content_type: &'static str,
) -> hyper::Response<Body> {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    let mut response = hyper::Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns the error that makes a handler or body stream close its connection.
pub fn aborted() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

/// Returns the error that makes a body stream reset its connection.
pub fn reset() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionReset)
}

/// Accepts connections in an endless loop and passes each request to the handler.
///
/// # Errors
/// Returns an error if accepting a connection fails.
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let (stream, _peer) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        smol::spawn(serve_socket(stream.clone(), stream, handler)).detach();
    }
}

/// Accepts connections in an endless loop, without those of the VMs that are partitioned.
///
/// # Errors
/// Returns an error if accepting a connection fails.
pub async fn serve_partitioned<H, F>(
    listener: TcpListener,
    partition: Partition,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let (stream, _peer) = listener.accept().await?;
        stream.set_nodelay(true)?;
        match partition.admit(stream.clone()) {
            Ok(Some(connection)) => {
                let handler = handler.clone();
                smol::spawn(serve_socket(connection, stream, handler)).detach();
            }
            Ok(None) => {}
            Err(error) => {
                log::debug!(target: "fake", error:% = error; "failed to admit a connection");
            }
        }
    }
}

/// Serves a connection, and resets its socket if the handler ends it with [`reset`].
async fn serve_socket<S, H, F>(connection: S, socket: TcpStream, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let result = serve_http1::<S, H, F>(connection, handler).await;
    if result.is_err_and(|error| is_reset(&error))
        && let Err(error) = SockRef::from(&socket).set_linger(Some(Duration::ZERO))
    {
        log::debug!(target: "fake", error:% = error; "failed to reset a connection");
    }
}

/// Returns whether a connection ended with the error of [`reset`].
fn is_reset(error: &hyper::Error) -> bool {
    let source = error.source();
    let cause = source.and_then(|source| source.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionReset)
}

/// Serves the requests of one connection until it closes.
pub async fn serve_connection<S, H, F>(stream: S, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    // A disconnect by the client or an injected fault is no error of the fake.
    drop(serve_http1(stream, handler).await);
}

async fn serve_http1<S, H, F>(stream: S, handler: H) -> Result<(), hyper::Error>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { handler(Request::read(request).await?).await }
    });
    http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), service)
        .await
}
