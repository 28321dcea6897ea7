//! The end of a tunnel at the VM that has the request, as a connection to the target.

use {
    crate::tunnel::{
        Used,
        frame::{End, Frame, Frames, MAX_DATA_BYTES, decode, encode},
    },
    bytes::{Buf, Bytes},
    derive_more::Debug,
    futures_lite::{AsyncRead, AsyncWrite},
    futures_util::{Sink, StreamExt},
    std::{
        io::{self, ErrorKind},
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Error kind of a tunnel whose peer was lost; what the target did is then unknown.
pub const PEER_LOST: ErrorKind = ErrorKind::NotConnected;

/// A connection to a target through a peer.
#[derive(Debug)]
pub struct Stream {
    #[debug(skip)]
    frames: Frames,
    /// Data that was received and not read yet.
    received: Bytes,
    /// How the target ended the connection.
    end: Option<End>,
    _used: Used,
}

impl Stream {
    /// Creates the end of a tunnel that a peer has opened.
    pub(super) fn new(frames: Frames, used: Used) -> Self {
        Self {
            frames,
            received: Bytes::new(),
            end: None,
            _used: used,
        }
    }
}

/// The error of a tunnel whose peer was lost.
fn peer_lost(message: &str) -> io::Error {
    io::Error::new(PEER_LOST, message)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if !self.received.is_empty() {
                let length = buf.len().min(self.received.len());
                self.received.copy_to_slice(&mut buf[..length]);
                return Poll::Ready(Ok(length));
            }
            match self.end {
                Some(End::Closed) => return Poll::Ready(Ok(0)),
                Some(End::Reset) => return Poll::Ready(Err(ErrorKind::ConnectionReset.into())),
                Some(End::Lost | End::Unspecified) => {
                    return Poll::Ready(Err(ErrorKind::TimedOut.into()));
                }
                None => {}
            }
            let frame: Frame = match ready!(self.frames.poll_next_unpin(cx)) {
                Some(Ok(bytes)) => decode(bytes)?,
                Some(Err(error)) => return Poll::Ready(Err(peer_lost(&error.to_string()))),
                None => return Poll::Ready(Err(peer_lost("the peer closed the tunnel"))),
            };
            self.end = frame.end.is_some().then(|| frame.end());
            self.received = frame.data.unwrap_or_default();
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let lost = |error: io::Error| peer_lost(&error.to_string());
        ready!(Sink::<Bytes>::poll_ready(Pin::new(&mut self.frames), cx)).map_err(lost)?;
        let length = buf.len().min(MAX_DATA_BYTES);
        let frame = encode(&Frame::of_data(&buf[..length]));
        Pin::new(&mut self.frames).start_send(frame).map_err(lost)?;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let lost = |error: io::Error| peer_lost(&error.to_string());
        Sink::<Bytes>::poll_flush(Pin::new(&mut self.frames), cx).map_err(lost)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_close(Pin::new(&mut self.frames), cx)
    }
}
