//! Links of a given rate between the VMs, the store and other VMs, as proxies in front of servers.
//!
//! A node is identified by its IP address: a server by the address that its proxy listens on, a
//! client by the source address of its connections.

use {
    crate::sync::lock,
    smol::{
        Timer,
        io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
    socket2::{Domain, Protocol, SockAddr, SockRef, Socket, Type},
    std::{
        collections::HashMap,
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Bytes that take a place on a link at a time, so that connections share it evenly.
const CHUNK_BYTES: usize = 8 << 10;
/// Time for which an idle link may be ahead of its rate, so that late timers don't slow it down.
const BURST: Duration = Duration::from_millis(10);
/// Size of the receive buffer towards a server, so that a slow link slows the server down.
const RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Segment size towards a server; one larger than the receive buffer would wait for probe timers.
const SEGMENT_BYTES: u32 = 1_400;

/// What becomes of the connections of one client to one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Each request is answered with this status.
    Status(u16),
    /// Connections are reset.
    Reset,
    /// Connections are accepted and then silent.
    Silence,
    /// Responses stop after this number of bytes; the connection stays open.
    Stall(u64),
}

/// The links of all nodes.
#[derive(Clone, Debug, Default)]
pub struct Network {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lanes: HashMap<(IpAddr, Direction), Lane>,
    /// Faults by server and client; those of all clients have none.
    faults: HashMap<(IpAddr, Option<IpAddr>), Fault>,
    sent: HashMap<IpAddr, u64>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Direction {
    Up,
    Down,
}

/// One direction of a link.
#[derive(Clone, Copy, Debug)]
struct Lane {
    bytes_per_second: f64,
    free_at: Instant,
}

impl Network {
    /// Limits a node's link in each direction; it has no limit before.
    pub fn set_rate(&self, node: IpAddr, bytes_per_second: f64) {
        let lane = Lane {
            bytes_per_second,
            free_at: Instant::now(),
        };
        let mut state = lock(&self.state);
        for direction in [Direction::Up, Direction::Down] {
            state.lanes.insert((node, direction), lane);
        }
    }

    /// Sets what becomes of the connections to a server of one client, or of all.
    pub fn set_fault(&self, server: IpAddr, client: Option<IpAddr>, fault: Option<Fault>) {
        let mut state = lock(&self.state);
        match fault {
            Some(fault) => state.faults.insert((server, client), fault),
            None => state.faults.remove(&(server, client)),
        };
    }

    /// Returns the number of bytes that a server has sent over its link.
    pub fn sent(&self, server: IpAddr) -> u64 {
        lock(&self.state).sent.get(&server).copied().unwrap_or(0)
    }

    /// Accepts the connections to a server at `listen` and passes them on to `upstream`.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub fn proxy(&self, listen: SocketAddr, upstream: SocketAddr) -> io::Result<()> {
        let listener = smol::block_on(TcpListener::bind(listen))?;
        let network = self.clone();
        smol::spawn(async move {
            while let Ok((stream, client)) = listener.accept().await {
                let network = network.clone();
                let link = async move {
                    // A connection that breaks ends on both sides, as both sockets are dropped.
                    let carried = network.carry(stream, client.ip(), listen.ip(), upstream);
                    if let Err(error) = carried.await {
                        log::debug!(target: "fake", error:% = error; "connection broke");
                    }
                };
                smol::spawn(link).detach();
            }
        })
        .detach();
        Ok(())
    }

    async fn carry(
        &self,
        mut client_stream: TcpStream,
        client: IpAddr,
        server: IpAddr,
        upstream: SocketAddr,
    ) -> io::Result<()> {
        client_stream.set_nodelay(true)?;
        match self.fault(server, client) {
            Some(Fault::Status(status)) => {
                let mut request = vec![0; CHUNK_BYTES];
                client_stream.read(&mut request).await?;
                let response = format!("HTTP/1.1 {status} Fault\r\ncontent-length: 0\r\n\r\n");
                return client_stream.write_all(response.as_bytes()).await;
            }
            Some(Fault::Reset) => {
                return SockRef::from(&client_stream).set_linger(Some(Duration::ZERO));
            }
            Some(Fault::Silence) => {
                let mut request = vec![0; CHUNK_BYTES];
                while client_stream.read(&mut request).await? > 0 {}
                return Ok(());
            }
            Some(Fault::Stall(_)) | None => {}
        }
        let server_stream = connect(upstream).await?;
        let request = self.copy(client_stream.clone(), server_stream.clone(), client, server);
        let response = self.copy(server_stream, client_stream, server, client);
        smol::future::or(request, response).await
    }

    fn fault(&self, server: IpAddr, client: IpAddr) -> Option<Fault> {
        let state = lock(&self.state);
        let faults = [(server, Some(client)), (server, None)];
        faults.iter().find_map(|key| state.faults.get(key)).copied()
    }

    /// Passes bytes on at the rate of both links until the connection ends.
    async fn copy(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
        from: IpAddr,
        to: IpAddr,
    ) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut total = 0;
        loop {
            let length = reader.read(&mut buffer).await?;
            if length == 0 {
                return writer.close().await;
            }
            if let Some(Fault::Stall(limit)) = self.fault(from, to)
                && total >= limit
            {
                smol::future::pending::<()>().await;
            }
            let arrival = self.reserve(from, to, length);
            if arrival > Instant::now() {
                Timer::at(arrival).await;
            }
            writer.write_all(&buffer[..length]).await?;
            total += length as u64;
        }
    }

    /// Takes a place on both links and returns when the bytes arrive.
    fn reserve(&self, from: IpAddr, to: IpAddr, length: usize) -> Instant {
        let mut state = lock(&self.state);
        *state.sent.entry(from).or_default() += length as u64;
        let now = Instant::now();
        let mut arrival = now;
        for key in [(from, Direction::Up), (to, Direction::Down)] {
            if let Some(lane) = state.lanes.get_mut(&key) {
                let duration = Duration::from_secs_f64(length as f64 / lane.bytes_per_second);
                let earliest = now.checked_sub(BURST).unwrap_or(now);
                lane.free_at = lane.free_at.max(earliest) + duration;
                arrival = arrival.max(lane.free_at);
            }
        }
        arrival
    }
}

/// Connects with a small receive buffer.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    let stream = smol::unblock(move || {
        socket.connect(&SockAddr::from(address))?;
        io::Result::Ok(std::net::TcpStream::from(socket))
    });
    let stream = smol::Async::new(stream.await?)?;
    let stream = TcpStream::from(stream);
    stream.set_nodelay(true)?;
    Ok(stream)
}
