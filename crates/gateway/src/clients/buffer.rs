//! Buffers whole bodies within a budget of the process.

use {
    bytes::{Buf, Bytes, BytesMut},
    entry::runtime::with_timeout,
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, SizeHint},
    smol::Timer,
    std::{
        convert::Infallible,
        fmt::Display,
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
};

/// Maximum size of one response body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Size of all response bodies for which there is room at any time, in bytes.
///
/// It is kept free of request bodies, because a response that finds no room is lost although its
/// request ran. Without a memory limit, it is also the maximum.
const RESPONSE_BYTES: usize = 12 << 20;
/// Memory of a process that buffers no bodies, in bytes.
const BASE_BYTES: usize = 40 << 20;
/// Minimum room for request bodies, in bytes: one body of the platform's maximum size of 4 MiB.
const MIN_REQUEST_BYTES: usize = 5 << 20;
/// Size up to which a request body counts as small, in bytes.
const SMALL_BYTES: usize = 64 << 10;
/// Fraction of the room for request bodies that is kept for small ones, as a divisor.
///
/// Without it, a few large uploads would make a VM refuse prompts, which are mostly a few KB.
const SMALL_DIVISOR: usize = 8;
/// Capacity that a body of unknown length starts with, in bytes; it doubles as the body grows.
const INITIAL_CAPACITY: usize = 8 << 10;
/// Maximum size of a slice of [`Sliced`], in bytes.
const SLICE_BYTES: usize = 32 << 10;
/// Interval between attempts of a waiting request to get room.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Room for the bodies that the process holds.
#[derive(Debug)]
pub struct Budget {
    /// Maximum size of all bodies, in bytes.
    total: usize,
    /// Maximum size of all bodies for a request to be admitted, in bytes; `None` if request bodies
    /// are not counted.
    requests: Option<usize>,
    used: AtomicUsize,
}

/// The room that one body takes; it is given back when this is dropped.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    bytes: usize,
}

/// Why a request body was not received.
#[derive(Debug)]
pub enum Shortfall {
    /// The body is longer than this number of bytes.
    TooLong(usize),
    /// The bodies of other requests take the room.
    NoRoom,
    /// The body broke off.
    Broken(Box<str>),
}

/// A buffer that keeps its share of the budget as long as any part of it is referenced.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Share {
    /// Increases the share to `bytes` if all shares then stay within `ceiling`; returns whether they do.
    fn grow(&mut self, bytes: usize, ceiling: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let result = self
            .budget
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                let used = used.saturating_add(added);
                (added == 0 || used <= ceiling).then_some(used)
            });
        if result.is_ok() {
            self.bytes += added;
        }
        result.is_ok()
    }

    /// Increases the share of a request body; returns whether there is room.
    fn grow_request(&mut self, bytes: usize) -> bool {
        match self.budget.request_ceiling(bytes) {
            Some(ceiling) => self.grow(bytes, ceiling),
            None => true,
        }
    }

    /// Ties the share to a buffer, if request bodies are counted.
    fn hold(self, bytes: Bytes) -> Bytes {
        if self.budget.requests.is_none() || bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _share: self,
        })
    }
}

impl Budget {
    /// Creates a budget for a process that may use `memory_mb` MB; 0 if that is not known.
    ///
    /// Two thirds of what exceeds the needs of a process without bodies are for bodies. The rest is
    /// for the buffers of connections and for what the allocator doesn't return to the system.
    pub fn new(memory_mb: f64) -> Self {
        let memory = (memory_mb * f64::from(1 << 20)) as usize;
        let total = memory.saturating_sub(BASE_BYTES) / 3 * 2;
        let total = total.max(RESPONSE_BYTES + MIN_REQUEST_BYTES);
        let is_limited = memory > 0;
        Self {
            total: if is_limited { total } else { RESPONSE_BYTES },
            requests: is_limited.then(|| total - RESPONSE_BYTES),
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the maximum size of all bodies for a request body of `bytes` to be admitted.
    fn request_ceiling(&self, bytes: usize) -> Option<usize> {
        let requests = self.requests?;
        if bytes <= SMALL_BYTES {
            return Some(requests);
        }
        Some(requests - requests / SMALL_DIVISOR)
    }

    fn share(self: &Arc<Self>) -> Share {
        Share {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Receives the whole body of a request; waits up to `max_wait` for room before it reads any of it.
    ///
    /// A body of unknown length takes room as it grows, and doesn't wait for any.
    ///
    /// # Errors
    /// Returns why the body was not received; the rest of it is still unread then.
    pub async fn receive<B>(
        self: &Arc<Self>,
        body: &mut B,
        max_bytes: usize,
        max_wait: Duration,
    ) -> Result<Bytes, Shortfall>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let size = body.size_hint();
        let length = usize::try_from(size.lower()).unwrap_or(usize::MAX);
        let max_bytes = max_bytes.min(self.request_ceiling(max_bytes).unwrap_or(usize::MAX));
        if length > max_bytes {
            return Err(Shortfall::TooLong(max_bytes));
        }
        let mut share = self.share();
        if !share.grow_request(length) {
            let grown = async {
                while !share.grow_request(length) {
                    Timer::after(POLL_INTERVAL).await;
                }
            };
            let grown = with_timeout(max_wait, grown).await;
            grown.ok_or(Shortfall::NoRoom)?;
        }
        // Frames are copied at once, so that the buffers in which they were read are free again.
        let mut received = BytesMut::with_capacity(length);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Shortfall::Broken(error.to_string().into()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed = received.len() + data.len();
            if needed > max_bytes {
                return Err(Shortfall::TooLong(max_bytes));
            }
            if needed > received.capacity() {
                let doubled = (received.capacity() * 2).max(INITIAL_CAPACITY);
                let capacity = doubled.min(max_bytes).max(needed);
                if !share.grow_request(capacity) {
                    return Err(Shortfall::NoRoom);
                }
                received.reserve(capacity - received.len());
            }
            received.extend_from_slice(&data);
        }
        Ok(share.hold(received.freeze()))
    }

    /// Receives the whole body of a response.
    ///
    /// # Errors
    /// Returns an error if the body breaks off, is larger than [`MAX_BODY_BYTES`] or exceeds the
    /// budget together with the others.
    pub async fn collect<B>(self: &Arc<Self>, body: B) -> Result<Bytes, Box<str>>
    where
        B: Body<Data = Bytes>,
        B::Error: Display,
    {
        let mut body = pin!(body);
        let mut share = self.share();
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = collected.len() + data.len();
            if length > MAX_BODY_BYTES {
                return Err(format!("the body is longer than {MAX_BODY_BYTES} bytes").into());
            }
            if !share.grow(length, self.total) {
                return Err("too many large bodies at the same time".into());
            }
            collected.extend_from_slice(&data);
        }
        Ok(share.hold(collected.freeze()))
    }
}

/// A body that is sent from a shared buffer in slices.
///
/// The HTTP library copies each frame into the buffer of its connection; a large body in one frame
/// would be held once more for each connection.
#[derive(Clone, Debug)]
pub struct Sliced {
    rest: Bytes,
}

impl Sliced {
    /// Creates a body of these bytes.
    pub fn new(bytes: Bytes) -> Self {
        Self { rest: bytes }
    }
}

impl Body for Sliced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.rest.has_remaining() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(SLICE_BYTES);
        let slice = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
