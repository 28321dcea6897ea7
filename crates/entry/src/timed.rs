//! A connection that gives up on a reader that takes nothing.

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

/// A stream of bytes whose writes fail after `limit` without progress.
#[derive(Debug)]
pub struct Timed<S> {
    stream: S,
    limit: Duration,
    /// Runs while a write waits.
    stalled: Option<Timer>,
}

impl<S> Timed<S> {
    /// Limits the writes of a stream.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            stalled: None,
        }
    }

    /// Passes a write's result on, or fails once it has waited for too long.
    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stalled = None;
            return result;
        }
        let limit = self.limit;
        let timer = self.stalled.get_or_insert_with(|| Timer::after(limit));
        if Pin::new(timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        let message = "the caller takes nothing";
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
        self.watch(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.watch(cx, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_close(cx);
        self.watch(cx, result)
    }
}
