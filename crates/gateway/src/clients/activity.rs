//! Observes a client's connection to tell when it can be closed without losing a request.

use {
    base::{Clock, Instant},
    derive_more::Debug,
    smol::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
    std::{
        io::{IoSlice, Result},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
};

/// What has happened on a connection.
#[derive(Debug)]
pub struct Activity {
    #[debug(skip)]
    clock: Arc<dyn Clock>,
    /// When bytes were last received or sent, in microseconds of the clock.
    latest: AtomicU64,
    /// Whether bytes were received to which no response has begun.
    is_unanswered: AtomicBool,
}

impl Activity {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            latest: AtomicU64::new(clock.now().as_micros()),
            is_unanswered: AtomicBool::new(false),
            clock,
        }
    }

    /// Records that the response to what was received begins.
    pub fn record_response(&self) {
        self.touch();
        self.is_unanswered.store(false, Ordering::Relaxed);
    }

    /// Returns whether nothing has been received or sent for a time and no request has begun.
    pub fn is_quiet(&self, duration: Duration) -> bool {
        let latest = Instant::from_micros(self.latest.load(Ordering::Relaxed));
        !self.is_unanswered.load(Ordering::Relaxed) && self.clock.now().since(latest) >= duration
    }

    fn touch(&self) {
        let now = self.clock.now().as_micros();
        self.latest.store(now, Ordering::Relaxed);
    }

    fn record_received(&self, result: &Poll<Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.touch();
            self.is_unanswered.store(true, Ordering::Relaxed);
        }
    }

    fn record_sent(&self, result: &Poll<Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.touch();
        }
    }
}

/// A connection whose activity is recorded.
#[derive(Debug)]
pub struct Observed {
    /// The connection.
    pub stream: TcpStream,
    /// What has happened on it.
    pub activity: Arc<Activity>,
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.activity.record_received(&result);
        result
    }
}

impl AsyncWrite for Observed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.record_sent(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.record_sent(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
