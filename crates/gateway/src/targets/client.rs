//! The one HTTP client of the process.
//!
//! Each request takes a connection of its own. An idle one may have gone silent or been closed
//! unseen, which would leave the fate of a non-idempotent request unknown; a late answer to an
//! earlier request can't be taken for the answer to this one.

use {
    base::Verdict,
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    entry::runtime::{Runtime, within},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode, body::Incoming, client::conn::http1, header::HOST,
    },
    platform::store::{Reply, Transport},
    smol::{Task, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    socket2::{SockRef, TcpKeepalive},
    std::{net::SocketAddr, pin::Pin, time::Duration},
};

/// Time that sent bytes may stay unacknowledged; a link that is silent for longer is taken as cut.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without bytes after which the other end is asked for a sign of life.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest answer of the store or a peer in bytes: a configuration of 1 MB in base64, and its frame.
const MAX_REPLY_BYTES: usize = 2 << 20;

/// A request that got no answer.
#[derive(Clone, Debug, Display, Error)]
#[display("{message}")]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What happened.
    pub message: Box<str>,
}

impl Failure {
    /// Makes a failure of a request that no byte was sent of.
    pub fn not_run(message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            message: message.into(),
        }
    }

    /// Makes a failure of a request that was handed over.
    pub fn may_have_run(message: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            message: message.into(),
        }
    }
}

/// The head of an answer with the connection that its body comes over.
#[derive(Debug)]
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Closes the connection when it is dropped.
    pub connection: Connection,
}

/// A connection to a target; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    #[debug(skip)]
    _driver: Task<()>,
}

/// Opens connections.
#[derive(Clone, Debug)]
pub struct Client {
    runtime: Runtime,
    connect_timeout: Duration,
}

impl Client {
    /// Makes a client whose connections are driven by a runtime.
    pub fn new(runtime: Runtime, connect_timeout: Duration) -> Self {
        Self {
            runtime,
            connect_timeout,
        }
    }

    /// Sends a request over a new connection and returns the head of the answer.
    ///
    /// # Errors
    /// The failure's verdict is `NotRun` if the connection was never made.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Failure> {
        let stream = match within(self.connect_timeout, TcpStream::connect(address)).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(Failure::not_run(format!("no connection: {error}"))),
            None => return Err(Failure::not_run("the connection timed out")),
        };
        set_socket_options(&stream);
        let handshake = http1::Builder::new().handshake(FuturesIo::new(stream));
        let (mut sender, connection) = handshake
            .await
            .map_err(|error| Failure::not_run(format!("no connection: {error}")))?;
        let driver = self.runtime.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "connection", error:% = error; "a connection to a target ended");
            }
        });
        let connection = Connection { _driver: driver };
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| Failure::may_have_run(format!("no answer: {error}")))?;
        Ok(Answer {
            response,
            connection,
        })
    }

    /// Returns whether a connection to an address is made within `limit`.
    pub async fn can_connect(&self, address: SocketAddr, timeout: Duration) -> bool {
        // A refused connection shows that the link is whole.
        within(timeout, TcpStream::connect(address)).await.is_some()
    }

    /// Sends a small request and returns the whole answer.
    ///
    /// # Errors
    /// Returns a failure if there is no whole answer within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|error| Failure::not_run(error.to_string()))?;
        let call = async {
            let answer = self.send(address, request).await?;
            let status = answer.response.status();
            let body = Limited::new(answer.response.into_body(), MAX_REPLY_BYTES).collect();
            let body = body
                .await
                .map_err(|error| Failure::may_have_run(format!("a broken answer: {error}")))?;
            Ok((status, body.to_bytes()))
        };
        let answer = within(timeout, call).await;
        answer.unwrap_or_else(|| Err(Failure::may_have_run("no answer in time")))
    }
}

impl Transport for Client {
    fn get(
        &self,
        address: SocketAddr,
        path: String,
        timeout: Duration,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move {
            let answer = self.call(address, Method::GET, &path, Bytes::new(), timeout);
            answer.await.map_err(|failure| failure.message)
        })
    }
}

/// Asks the kernel to end a connection whose link went silent.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    let options = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in options.into_iter().filter_map(Result::err) {
        log::debug!(target: "connection", error:% = error; "a socket option was refused");
    }
}
