//! HTTP client for targets, the store and peers.
//!
//! Each request uses a new connection. A pooled connection may be half-open or closed by the peer,
//! which would leave it unknown whether a non-idempotent request ran. A new connection also can't
//! deliver a late response to an earlier request.

use {
    crate::{
        targets::meter::{Allowance, Metered},
        tunnel::stream::PEER_LOST,
    },
    base::{Verdict, transfer::Bounds},
    bytes::{Bytes, BytesMut},
    derive_more::{Debug, Display, Error, From},
    entry::{
        http::is_final,
        runtime::{Runtime, with_timeout},
    },
    futures_lite::{AsyncRead, AsyncWrite},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::{Body, Incoming},
        client::conn::http1,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING},
    },
    platform::store::{self, Reply, Transport},
    smol::{Async, Task, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive},
    std::{
        convert::Infallible,
        error::Error as _,
        io,
        net::{Ipv4Addr, SocketAddr},
        pin::Pin,
        time::Duration,
    },
};

/// Time without an acknowledgement after which the kernel drops a connection to the store or a peer.
///
/// It also decides when keep-alive probes give up, whatever their number.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a target, which may be silent for a second or so while it runs a request.
const TARGET_TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a response's header with the interim responses before it, in bytes.
const MAX_HEAD_BYTES: u64 = 128 << 10;
/// Maximum size of the HTTP library's buffer, which bounds a header, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum size of a body that is not a stream of events, with its framing, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Maximum size of a small response, in bytes.
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// A request that received no usable response.
#[derive(Clone, Debug, Display, Error)]
#[display("{message}")]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Cause of the failure.
    pub message: Box<str>,
    /// Whether the other side ended the connection, as a process that crashes does.
    pub is_closed: bool,
    /// Whether nothing listens at the address.
    pub is_refused: bool,
    /// Whether it is this VM's or a peer's failure rather than the target's.
    pub is_local: bool,
}

/// Why a response was not received within its bounds.
#[derive(Clone, Debug, Display, From)]
pub enum Shortfall {
    /// It exceeds the maximum size.
    #[display("the answer is too long")]
    TooLong,
    /// It broke off or took too long, or there was none.
    Failed(Failure),
}

impl Failure {
    /// Creates a failure of a request of which nothing was sent.
    pub fn not_run(message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            message: message.into(),
            is_closed: false,
            is_refused: false,
            is_local: false,
        }
    }

    /// Creates a failure of a request that was at least partly sent.
    pub fn may_have_run(message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            message: message.into(),
            is_closed: false,
            is_refused: false,
            is_local: false,
        }
    }
}

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Framing {
    /// The header contains the length.
    #[display("length")]
    Length,
    /// A last chunk follows the others.
    #[display("chunks")]
    Chunks,
    /// The connection ends with the body, but also when the sender fails.
    #[display("close")]
    Close,
}

impl Framing {
    fn of(headers: &HeaderMap) -> Self {
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        if let Some(last) = codings.next_back() {
            let is_chunked = last.as_bytes().to_ascii_lowercase().ends_with(b"chunked");
            if is_chunked {
                Self::Chunks
            } else {
                Self::Close
            }
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }
}

/// The head of a response and the connection that delivers its body.
#[derive(Debug)]
pub struct Answer {
    /// Response whose body is still being received.
    pub response: Response<Incoming>,
    /// How the response marks the end of its body.
    pub framing: Framing,
    /// Connection of the body; dropping it closes the socket.
    pub connection: Connection,
}

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    #[debug(skip)]
    _driver: Task<()>,
}

/// Opens a connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    runtime: Runtime,
    connect_timeout: Duration,
    source: Option<Ipv4Addr>,
}

impl Client {
    /// Creates a client that drives its connections on `runtime`.
    ///
    /// The connections have the local address `source`, or one that the system chooses.
    pub fn new(runtime: Runtime, connect_timeout: Duration, source: Option<Ipv4Addr>) -> Self {
        Self {
            runtime,
            connect_timeout,
            source,
        }
    }

    /// Opens a connection, with the options that detect a silent one.
    ///
    /// # Errors
    /// Returns an error if it isn't established within the connect timeout.
    pub async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = with_timeout(self.connect_timeout, self.establish(address)).await;
        let stream = stream.unwrap_or_else(|| {
            let message = "the connection timed out";
            Err(io::Error::new(io::ErrorKind::TimedOut, message))
        })?;
        set_socket_options(&stream, TCP_USER_TIMEOUT);
        Ok(stream)
    }

    /// Opens a connection to a target.
    ///
    /// # Errors
    /// The failure's verdict is `NotRun`.
    pub async fn connect(&self, address: SocketAddr) -> Result<TcpStream, Failure> {
        let stream = self.open(address).await;
        let stream = stream.map_err(|error| not_connected(&error))?;
        let timeout = SockRef::from(&stream).set_tcp_user_timeout(Some(TARGET_TCP_USER_TIMEOUT));
        log_option(timeout);
        Ok(stream)
    }

    async fn establish(&self, address: SocketAddr) -> io::Result<TcpStream> {
        match self.source {
            Some(source) => connect_from(source, address).await,
            None => TcpStream::connect(address).await,
        }
    }

    /// Sends a request to the store or a peer and returns the head of the response.
    ///
    /// # Errors
    /// The failure's verdict is `NotRun` if the connection could not be established.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Failure> {
        let stream = self.open(address).await;
        let stream = stream.map_err(|error| not_connected(&error))?;
        self.exchange(stream, request).await
    }

    /// Sends a request over a connection and returns the head of the response.
    ///
    /// # Errors
    /// The request may have run.
    pub async fn exchange<S, B>(&self, stream: S, request: Request<B>) -> Result<Answer, Failure>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
        B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
    {
        let allowance = Allowance::new(MAX_HEAD_BYTES);
        let stream = Metered::new(stream, allowance.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(FuturesIo::new(stream));
        let (mut sender, connection) = handshake
            .await
            .map_err(|error| Failure::not_run(format!("no connection: {error}")))?;
        let driver = self.runtime.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "connection", error:% = error; "connection to a target closed with an error");
            }
        });
        let connection = Connection { _driver: driver };
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| Failure {
                is_closed: is_closed(&error),
                is_local: is_peer_lost(&error),
                ..Failure::may_have_run(format!("no answer: {error}"))
            })?;
        let status = response.status();
        if !is_final(status) {
            // What such a response says of whether the request ran doesn't count, either.
            let message = format!("no answer: invalid status {}", status.as_u16());
            return Err(Failure::may_have_run(message));
        }
        // The body is read only once it is polled, so no byte of it was refused before.
        let is_stream = is_event_stream(response.headers());
        allowance.set(if is_stream { u64::MAX } else { MAX_BODY_BYTES });
        Ok(Answer {
            framing: Framing::of(response.headers()),
            response,
            connection,
        })
    }

    /// Returns whether an address responds to a connection attempt within `timeout`.
    pub async fn is_reachable(&self, address: SocketAddr, timeout: Duration) -> bool {
        // A refused connection is a response, too: the network path is intact.
        with_timeout(timeout, self.establish(address))
            .await
            .is_some()
    }

    /// Sends a small request and buffers the response.
    ///
    /// # Errors
    /// Returns a failure if the response is not complete within `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = small_request(address, method, path, body)?;
        let bounds = Bounds::within(timeout, MAX_RESPONSE_BYTES);
        let response = self.fetch(address, request, bounds).await;
        let response = response.map_err(|shortfall| match shortfall {
            Shortfall::Failed(failure) => failure,
            Shortfall::TooLong => Failure::may_have_run(shortfall.to_string()),
        })?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request to the store or a peer and buffers the response.
    ///
    /// # Errors
    /// Returns a failure if the response exceeds `bounds`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        bounds: Bounds,
    ) -> Result<Response<Bytes>, Shortfall> {
        let exchange = async {
            let answer = with_timeout(bounds.head, self.send(address, request)).await;
            let answer = answer.ok_or_else(late)??;
            let _connection = answer.connection;
            receive(answer.response, bounds).await
        };
        let response = Box::pin(with_timeout(bounds.total, exchange)).await;
        response.ok_or_else(late)?
    }
}

/// Returns the failure of a connection that was not established.
fn not_connected(error: &io::Error) -> Failure {
    Failure {
        is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
        ..Failure::not_run(format!("no connection: {error}"))
    }
}

fn late() -> Failure {
    Failure::may_have_run("no answer in time")
}

/// Receives the body of a response, which may take long but not stop in between.
async fn receive(
    response: Response<Incoming>,
    bounds: Bounds,
) -> Result<Response<Bytes>, Shortfall> {
    let (head, mut body) = response.into_parts();
    // Of a response whose length is known to be too long, nothing is read.
    let length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if length > bounds.bytes {
        return Err(Shortfall::TooLong);
    }
    let mut received = BytesMut::with_capacity(length);
    loop {
        let Some(frame) = with_timeout(bounds.stall, body.frame()).await else {
            let message = format!("the answer stopped after {} bytes", received.len());
            return Err(Failure::may_have_run(message).into());
        };
        let Some(frame) = frame else {
            return Ok(Response::from_parts(head, received.freeze()));
        };
        let frame =
            frame.map_err(|error| Failure::may_have_run(format!("a broken answer: {error}")))?;
        if let Ok(data) = frame.into_data() {
            if received.len() + data.len() > bounds.bytes {
                return Err(Shortfall::TooLong);
            }
            received.extend_from_slice(&data);
        }
    }
}

/// Builds a request of which the path and the body are all that matters.
///
/// # Errors
/// Returns an error if the path is not valid.
pub fn small_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Failure> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(body));
    request.map_err(|error| Failure::not_run(error.to_string()))
}

/// Receives the whole body of a small response.
///
/// # Errors
/// Returns an error if the body breaks off or is too long.
pub async fn buffer(answer: Answer) -> Result<(StatusCode, Bytes), Failure> {
    let status = answer.response.status();
    let body = Limited::new(answer.response.into_body(), MAX_RESPONSE_BYTES).collect();
    let body = body
        .await
        .map_err(|error| Failure::may_have_run(format!("a broken answer: {error}")))?;
    Ok((status, body.to_bytes()))
}

impl Transport for Client {
    fn get(
        &self,
        address: SocketAddr,
        path: String,
        bounds: Bounds,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move {
            let request = small_request(address, Method::GET, &path, Bytes::new())
                .map_err(|failure| store::Failure::Unavailable(failure.message))?;
            let response = self.fetch(address, request, bounds).await;
            let response = response.map_err(|shortfall| match shortfall {
                Shortfall::TooLong => store::Failure::TooLong,
                Shortfall::Failed(failure) => store::Failure::Unavailable(failure.message),
            })?;
            let (head, body) = response.into_parts();
            Ok(store::Response {
                status: head.status,
                headers: head.headers,
                body,
            })
        })
    }
}

/// Returns whether a response's body is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}

/// Returns whether the other side ended the connection; otherwise it no longer responds, or without
/// end, or the peer was lost through which it was connected.
pub fn is_closed(error: &hyper::Error) -> bool {
    let is_own = |kind| matches!(kind, io::ErrorKind::TimedOut | io::ErrorKind::InvalidData);
    !is_peer_lost(error) && cause(error).is_none_or(|cause| !is_own(cause.kind()))
}

/// Returns whether the other side has not acknowledged what was sent for too long.
pub fn is_timeout(error: &hyper::Error) -> bool {
    cause(error).is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

/// Returns whether the peer was lost through which the connection led.
pub fn is_peer_lost(error: &hyper::Error) -> bool {
    cause(error).is_some_and(|cause| cause.kind() == PEER_LOST)
}

fn cause(error: &hyper::Error) -> Option<&io::Error> {
    error.source()?.downcast_ref()
}

/// Opens a connection with a given local address.
async fn connect_from(source: Ipv4Addr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        socket2::Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from((source, 0)).into())?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => return Err(error),
        _ => {}
    }
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream.into()),
    }
}

/// Configures the socket so that the kernel detects a half-open connection.
fn set_socket_options(stream: &TcpStream, user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    log_option(socket.set_tcp_nodelay(true));
    log_option(socket.set_tcp_user_timeout(Some(user_timeout)));
    log_option(socket.set_tcp_keepalive(&keepalive));
}

fn log_option(result: io::Result<()>) {
    if let Err(error) = result {
        log::debug!(target: "connection", error:% = error; "failed to set a socket option");
    }
}
