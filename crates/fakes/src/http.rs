//! The HTTP server that the stand-ins share.

use {
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
    std::{fmt::Debug, io},
};

/// Largest request body in bytes.
pub const BODY_LIMIT: usize = 16 << 20;

/// Body of an answer.
pub type Body = BoxBody<Bytes, io::Error>;

/// Answer of a stand-in; an error closes the connection without an answer.
pub type Answer = Result<hyper::Response<Body>, io::Error>;

/// A request, read in full.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: Box<str>,
    /// Query, or empty.
    pub query: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Reads a request in full.
    async fn read(request: hyper::Request<Incoming>) -> io::Result<Self> {
        let (parts, body) = request.into_parts();
        let body = Limited::new(body, BODY_LIMIT)
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

    /// Returns a header, or empty.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns a number from the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.parse().ok())?
        })
    }

    /// Reads the body as JSON; the error is the answer to give.
    ///
    /// # Errors
    /// Returns a 400 answer that names the fault.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Box<hyper::Response<Body>>> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Box::new(status(StatusCode::BAD_REQUEST, &error.to_string())))
    }
}

/// Makes an answer with a JSON body.
pub fn json(value: &serde_json::Value) -> hyper::Response<Body> {
    let mut response = status(StatusCode::OK, &value.to_string());
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Makes an answer with a status and a text.
pub fn status(status: StatusCode, text: &str) -> hyper::Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()))
        .map_err(|never| match never {})
        .boxed();
    let mut response = hyper::Response::new(body);
    *response.status_mut() = status;
    response
}

/// Makes a refusal before the start; `leaving` says that nothing will be started any more.
pub fn refusal(leaving: bool) -> hyper::Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE, "not started");
    let yes = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-started", yes.clone());
    if leaving {
        response.headers_mut().insert("x-leaving", yes);
    }
    response
}

/// Makes an answer whose body comes piece by piece; an error piece closes the connection.
pub fn stream(pieces: Receiver<io::Result<Bytes>>, kind: &'static str) -> hyper::Response<Body> {
    let frames = pieces.map(|piece| piece.map(Frame::data));
    let mut response = hyper::Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let kind = hyper::header::HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// The error that closes a connection without an answer.
pub fn hang_up() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

/// Accepts connections for ever and hands each request to the handler.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let (stream, _peer) = listener.accept().await?;
        stream.set_nodelay(true)?;
        smol::spawn(connection::<TcpStream, H, F>(stream, handler.clone())).detach();
    }
}

/// Serves one connection until it ends.
pub async fn connection<S, H, F>(stream: S, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { handler(Request::read(request).await?).await }
    });
    let served = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    // A peer that hangs up, or a fault that was asked for, is no error of the stand-in.
    drop(served);
}
