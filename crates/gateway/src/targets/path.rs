//! The path to a target: a connection of this VM or, if it doesn't reach the target, of a peer.

use {
    crate::{
        Shared,
        control::reach,
        targets::client::{Answer, Failure, buffer, small_request},
        tunnel::{opener, stream::Stream as Tunnel},
    },
    base::{Instant, Reason, Refusal},
    bytes::Bytes,
    dispatch::listing::Target,
    entry::runtime::with_timeout,
    futures_lite::{AsyncRead, AsyncWrite},
    hyper::{Method, Request, StatusCode, body::Body},
    smol::net::TcpStream,
    std::{
        convert::Infallible,
        io,
        net::{Ipv4Addr, SocketAddr},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Retry delay sent while no target is reached and no peer could help: the time between two checks.
const ISOLATED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What a path is opened for.
#[derive(Clone, Copy, Debug)]
pub struct Purpose<'a> {
    /// ID of the client's attempt, for the log.
    pub attempt: &'a str,
    /// Whether the target may be leaving, as one that holds the run.
    pub may_leave: bool,
    /// Whether the target may be cordoned, as for a call that moves a run away from it.
    pub is_control: bool,
}

/// An open connection on which nothing has been sent.
#[derive(Debug)]
pub struct Path {
    stream: Stream,
    target: Target,
    began: Instant,
    /// Peer through which the connection leads.
    pub via: Option<Ipv4Addr>,
}

/// A connection to a target.
#[derive(Debug)]
enum Stream {
    Direct(TcpStream),
    Tunnel(Box<Tunnel>),
}

/// Checks that there may be a path to targets.
///
/// # Errors
/// Returns a refusal if this VM reaches no target and there is no peer to open tunnels.
pub fn check(shared: &Shared) -> Result<(), Refusal> {
    if !shared.reach.is_isolated() || opener::has_candidate(shared) {
        return Ok(());
    }
    let message = "no target is reached, and no other VM that reaches one";
    Err(Refusal::not_run(Reason::NotReady, message).retry_after(ISOLATED_RETRY_AFTER))
}

/// Opens a connection to a target.
///
/// # Errors
/// Nothing was sent: the verdict is `NotRun`.
pub async fn open(
    shared: &Arc<Shared>,
    target: &Target,
    purpose: Purpose<'_>,
) -> Result<Path, Failure> {
    let began = shared.now();
    let path = |stream, via| Path {
        stream,
        target: target.clone(),
        began,
        via,
    };
    // Also after the target was connected, as that takes time.
    let check = || {
        let is_cordoned = !purpose.is_control && shared.cordon.contains(&target.data_centre);
        let message = "the target's data centre is cordoned";
        let failure = Failure {
            is_local: true,
            ..Failure::not_run(message)
        };
        (!is_cordoned).then_some(()).ok_or(failure)
    };
    check()?;
    if !shared.reach.needs_tunnel(target.key) {
        let failure = match shared.client.connect(target.address).await {
            Ok(stream) => {
                check()?;
                return Ok(path(Stream::Direct(stream), None));
            }
            Err(failure) => failure,
        };
        reach::record_unreached(shared, target, began);
        if !reach::is_own_fault(shared, target.key, began).await {
            return Err(failure);
        }
    }
    // Boxed, as most requests need no tunnel.
    let tunnel = opener::open(shared, target, purpose);
    let (peer, tunnel) = Box::pin(tunnel).await?;
    check()?;
    Ok(path(Stream::Tunnel(Box::new(tunnel)), Some(peer)))
}

impl Path {
    /// Sends a request and returns the head of the response.
    ///
    /// # Errors
    /// The request may have run.
    pub async fn send<B>(self, shared: &Arc<Shared>, request: Request<B>) -> Result<Answer, Failure>
    where
        B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
    {
        let result = shared.client.exchange(self.stream, request).await;
        if self.via.is_none() {
            match &result {
                Ok(_) => shared.reach.record_reached(&self.target, shared.now()),
                Err(failure) if failure.is_closed => {
                    reach::record_unreached(shared, &self.target, self.began);
                }
                Err(_) => {}
            }
        }
        result
    }
}

/// Returns whether a failure of a connection that was lost at `lost` is the target's.
///
/// A VM that is cut off loses the connections to all targets.
pub async fn is_targets_fault(shared: &Shared, target: &Target, lost: Instant) -> bool {
    reach::record_unreached(shared, target, lost);
    !reach::is_own_fault(shared, target.key, lost).await
}

/// Returns whether a target accepts a connection within `timeout`, of this VM or of the peer `via`.
pub async fn is_reachable(
    shared: &Arc<Shared>,
    target: &Target,
    attempt: &str,
    via: Option<Ipv4Addr>,
    timeout: Duration,
) -> bool {
    match via {
        Some(peer) => Box::pin(opener::probe(shared, peer, target, attempt)).await,
        None => shared.client.is_reachable(target.address, timeout).await,
    }
}

/// Sends a small request to the target at an address and buffers the response.
///
/// # Errors
/// Returns a failure if the response is not complete within `timeout`.
pub async fn call(
    shared: &Arc<Shared>,
    address: SocketAddr,
    attempt: &str,
    (method, path, body): (Method, &str, Bytes),
    timeout: Duration,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut targets = shared.directory.all().into_iter();
    let target = targets.find(|target| target.address == address);
    let needs_tunnel = |target: &Target| shared.reach.needs_tunnel(target.key);
    let Some(target) = target.filter(needs_tunnel) else {
        return shared
            .client
            .call(address, method, path, body, timeout)
            .await;
    };
    let request = small_request(address, method, path, body)?;
    let call = async {
        let purpose = Purpose {
            attempt,
            may_leave: true,
            is_control: true,
        };
        let path = open(shared, &target, purpose).await?;
        buffer(path.send(shared, request).await?).await
    };
    let result = with_timeout(timeout, call).await;
    result.unwrap_or_else(|| Err(Failure::may_have_run("no answer in time")))
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::Tunnel(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_write(cx, buf),
            Self::Tunnel(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
            Self::Tunnel(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tunnel(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_close(cx),
            Self::Tunnel(stream) => Pin::new(stream).poll_close(cx),
        }
    }
}
