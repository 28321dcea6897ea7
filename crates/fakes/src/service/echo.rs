//! Stream that can send a response twice.

use {
    smol::io::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll, ready},
    },
};

/// Repeats the bytes written since the last read at the next flush, once each time it is armed.
#[derive(Debug)]
pub(super) struct RepeatingStream<S> {
    inner: S,
    /// Set to repeat the next response.
    armed: Arc<AtomicBool>,
    /// Bytes written since the last read.
    written: Vec<u8>,
    /// Bytes still to repeat.
    pending_repeat: Vec<u8>,
}

impl<S> RepeatingStream<S> {
    pub(super) fn new(inner: S, armed: Arc<AtomicBool>) -> Self {
        Self {
            inner,
            armed,
            written: Vec::new(),
            pending_repeat: Vec::new(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RepeatingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.written.clear();
        Poll::Ready(Ok(length))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RepeatingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.written.extend_from_slice(&buf[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.written.is_empty() && this.armed.swap(false, Ordering::SeqCst) {
            this.pending_repeat = std::mem::take(&mut this.written);
        }
        while !this.pending_repeat.is_empty() {
            let length = ready!(Pin::new(&mut this.inner).poll_write(cx, &this.pending_repeat))?;
            this.pending_repeat.drain(..length);
        }
        Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
