//! Bounds the bytes that a connection accepts.
//!
//! A target, the store or a peer may send without end. The HTTP library bounds a line and a header
//! but not the number of interim responses, which it reads without yielding.

use {
    futures_lite::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
};

/// The number of bytes that a connection may still receive.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicU64>);

impl Allowance {
    /// Creates an allowance of some bytes.
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Replaces what is left.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn left(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn spend(&self, bytes: u64) {
        self.0.fetch_sub(bytes.min(self.left()), Ordering::Relaxed);
    }
}

/// A connection that fails once its allowance is spent.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    allowance: Allowance,
}

impl<S> Metered<S> {
    /// Meters a connection.
    pub fn new(stream: S, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = usize::try_from(self.allowance.left()).unwrap_or(usize::MAX);
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the response is too long");
            return Poll::Ready(Err(error));
        }
        let length = buf.len().min(left);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..length]);
        if let Poll::Ready(Ok(count)) = &read {
            self.allowance.spend(*count as u64);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
