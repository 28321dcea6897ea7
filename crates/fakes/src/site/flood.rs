//! Fake target that answers each request with bytes without end.

use {
    crate::sync::lock,
    futures_lite::{AsyncReadExt as _, AsyncWriteExt as _},
    smol::{
        Task,
        net::{TcpListener, TcpStream},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
    },
};

/// Size of the largest request that is read.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Where a response has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flood {
    /// In a line of its header.
    HeaderLine,
    /// In the number of lines of its header.
    HeaderLines,
    /// In the number of interim responses before it.
    Interim,
    /// In a body that ends with the connection.
    Body,
    /// In a body of chunks.
    Chunks,
    /// In an event of a stream: one line.
    EventLine,
    /// In an event of a stream: many lines.
    EventLines,
    /// In a stream of lines that are no events.
    Noise,
}

impl Flood {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::HeaderLine,
        Self::HeaderLines,
        Self::Interim,
        Self::Body,
        Self::Chunks,
        Self::EventLine,
        Self::EventLines,
        Self::Noise,
    ];

    /// Returns the beginning of the response, and what follows it again and again.
    fn response(self) -> (&'static str, String) {
        let filler = "x".repeat(1_000);
        let stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        match self {
            Self::HeaderLine => ("HTTP/1.1 200 OK\r\nX-Filler: ", filler),
            Self::HeaderLines => ("HTTP/1.1 200 OK\r\n", format!("X-Filler: {filler}\r\n")),
            Self::Interim => ("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(40)),
            Self::Body => (
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
                filler,
            ),
            Self::Chunks => (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                format!("3e8\r\n{filler}\r\n"),
            ),
            Self::EventLine => (stream, filler),
            Self::EventLines => (stream, format!("data: {filler}\n")),
            Self::Noise => (stream, format!("{filler}\n\n")),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    flood: Mutex<Option<Flood>>,
    open: AtomicUsize,
    requests: AtomicUsize,
    most_bytes: AtomicU64,
}

/// A running fake; it stops when dropped.
#[derive(Debug)]
pub struct Flooder {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    _server: Task<io::Result<()>>,
}

impl Flooder {
    /// Starts the fake.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, flood: Flood) -> io::Result<Self> {
        let listener = smol::block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            flood: Mutex::new(Some(flood)),
            ..State::default()
        });
        let server_state = Arc::clone(&state);
        let server = smol::spawn(async move {
            loop {
                let (stream, _peer) = listener.accept().await?;
                smol::spawn(serve(Arc::clone(&server_state), stream)).detach();
            }
        });
        Ok(Self {
            address,
            state,
            _server: server,
        })
    }

    /// Sets where further responses have no end.
    pub fn set_flood(&self, flood: Flood) {
        *lock(&self.state.flood) = Some(flood);
    }

    /// Returns the number of responses that are being written.
    pub fn open(&self) -> usize {
        self.state.open.load(Ordering::Relaxed)
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> usize {
        self.state.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of the longest response so far, as far as they were sent.
    pub fn most_bytes(&self) -> u64 {
        self.state.most_bytes.load(Ordering::Relaxed)
    }
}

/// Writes a response until the caller closes the connection.
async fn serve(state: Arc<State>, mut stream: TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 && request.len() < MAX_REQUEST_BYTES => {
                request.extend_from_slice(&buffer[..count]);
            }
            _ => return,
        }
    }
    let Some(flood) = *lock(&state.flood) else {
        return;
    };
    state.requests.fetch_add(1, Ordering::Relaxed);
    state.open.fetch_add(1, Ordering::Relaxed);
    let (head, rest) = flood.response();
    let mut sent = 0;
    let mut part = head.as_bytes();
    while stream.write_all(part).await.is_ok() {
        sent += part.len() as u64;
        state.most_bytes.fetch_max(sent, Ordering::Relaxed);
        part = rest.as_bytes();
    }
    state.open.fetch_sub(1, Ordering::Relaxed);
}
