//! Writes to a peer that stops reading time out; those to a slow peer don't.

use {
    mastictrail_entry::timed::Timed,
    smol::io::{AsyncWrite, AsyncWriteExt},
    std::{
        io::{self, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Accepts `room` bytes, one per write and only at every second poll, and then nothing more.
struct Reader {
    room: usize,
    is_second: bool,
}

impl AsyncWrite for Reader {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        _buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.room == 0 {
            return Poll::Pending;
        }
        self.is_second = !self.is_second;
        if self.is_second {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.room -= 1;
        Poll::Ready(Ok(1))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn write(room: usize, limit: Duration) -> io::Result<()> {
    let reader = Reader {
        room,
        is_second: false,
    };
    smol::block_on(Timed::new(reader, limit).write_all(&[0; 100]))
}

#[test]
fn a_write_to_a_stalled_reader_times_out() {
    let error = write(10, Duration::from_millis(20)).expect_err("the write should time out");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

#[test]
fn a_slow_reader_receives_everything() {
    write(100, Duration::from_secs(600)).expect("the write failed");
}
