//! Write timeout for connections whose peer doesn't read.

use {
    smol::{
        Timer,
        io::{AsyncRead, AsyncWrite},
    },
    std::{
        io::{self, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// A byte stream whose writes fail after `limit` without progress.
#[derive(Debug)]
pub struct Timed<S> {
    stream: S,
    limit: Duration,
    /// Runs while a write is pending.
    timer: Option<Timer>,
}

impl<S> Timed<S> {
    /// Wraps a stream; `limit` is the longest that a write may be pending.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: None,
        }
    }

    /// Returns a write's result, or an error once the write has been pending for too long.
    fn check_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Timer::after(limit));
        if Pin::new(timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        let message = "write timed out";
        Poll::Ready(Err(io::Error::new(ErrorKind::TimedOut, message)))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Timed<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Timed<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_timeout(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.check_timeout(cx, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_close(cx);
        self.check_timeout(cx, result)
    }
}
