//! TCP links of the fault proxy.

use {
    super::link::{Link, Rule},
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
        future,
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
    socket2::SockRef,
    std::{
        io,
        net::{IpAddr, Shutdown, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of bytes read and written at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Initial bytes of a connection that are peeked at to identify its source.
const MAX_GREETING_BYTES: usize = 256;
/// Maximum number of chunks queued in one direction.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Interval at which a waiting connection checks its rule without a notification.
const RECHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Opens a listener for a link and returns its address.
pub(super) async fn open(
    link: Arc<Link>,
    listen: SocketAddr,
    upstream: SocketAddr,
) -> io::Result<Box<str>> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?.to_string().into();
    smol::spawn(accept(link, listener, upstream)).detach();
    Ok(address)
}

async fn accept(link: Arc<Link>, listener: TcpListener, upstream: SocketAddr) -> io::Result<()> {
    loop {
        let (client, _peer) = listener.accept().await?;
        let link = Arc::clone(&link);
        smol::spawn(async move {
            link.connection_opened();
            let result = serve_connection(&link, client, upstream).await;
            link.connection_closed();
            // Failed connections are expected, since the link injects faults.
            drop(result);
        })
        .detach();
    }
}

/// A connection through a link.
struct Connection<'a> {
    link: &'a Link,
    client: IpAddr,
    /// First bytes that the client sent.
    greeting: Vec<u8>,
    /// Value of [`Rule::cuts`] when the connection was admitted.
    cuts: u64,
    /// Value of [`Rule::silences`] when the connection was admitted.
    silences: u64,
}

async fn serve_connection(link: &Link, client: TcpStream, upstream: SocketAddr) -> io::Result<()> {
    client.set_nodelay(true)?;
    let connection = Connection::new(link, client.clone()).await?;
    let relaying = connection.relay(&client, upstream);
    if let Err(error) = future::or(relaying, connection.wait_for_cut()).await {
        // Closed instead of reset, a response without a length would look complete.
        SockRef::from(&client).set_linger(Some(Duration::ZERO))?;
        return Err(error);
    }
    client.shutdown(Shutdown::Both)
}

impl<'a> Connection<'a> {
    /// Peeks at the greeting to find the rule of the source, and admits the connection.
    async fn new(link: &'a Link, client: TcpStream) -> io::Result<Self> {
        let mut connection = Self {
            link,
            client: client.peer_addr()?.ip(),
            greeting: Vec::new(),
            cuts: 0,
            silences: 0,
        };
        connection.admit()?;
        let mut greeting = [0; MAX_GREETING_BYTES];
        let length = client.peek(&mut greeting).await?;
        connection.greeting = greeting[..length].to_vec();
        connection.admit()?;
        Ok(connection)
    }

    /// Records the current cuts and silences, or fails if the link refuses connections.
    fn admit(&mut self) -> io::Result<()> {
        let rule = self.rule();
        self.cuts = rule.cuts;
        self.silences = rule.silences;
        if rule.refused || rule.is_closed {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(())
    }

    fn rule(&self) -> Rule {
        let source = self.link.greeting_source(&self.greeting);
        let source = source.or_else(|| self.link.address_source(self.client));
        self.link.rule(source.as_deref())
    }

    /// Relays bytes in both directions until both peers have closed.
    async fn relay(&self, client: &TcpStream, upstream: SocketAddr) -> io::Result<()> {
        self.wait_while_blocked().await;
        let server = TcpStream::connect(upstream).await?;
        server.set_nodelay(true)?;
        let to_server = self.relay_one_way(client.clone(), server.clone());
        let to_client = self.relay_one_way(server.clone(), client.clone());
        let relayed = future::try_zip(to_server, to_client).await;
        server.shutdown(Shutdown::Both)?;
        relayed.map(|_| ())
    }

    /// Relays bytes in one direction.
    async fn relay_one_way(&self, from: TcpStream, to: TcpStream) -> io::Result<()> {
        let (sender, receiver) = bounded(MAX_QUEUED_CHUNKS);
        let read = self.read(from, sender);
        let write = self.write(to, receiver);
        future::try_zip(read, write).await.map(|_| ())
    }

    async fn read(
        &self,
        mut from: TcpStream,
        chunks: Sender<(Instant, Vec<u8>)>,
    ) -> io::Result<()> {
        loop {
            self.wait_while_blocked().await;
            let mut chunk = vec![0; MAX_CHUNK_BYTES];
            let length = from.read(&mut chunk).await?;
            if length == 0 {
                return Ok(());
            }
            chunk.truncate(length);
            if chunks.send((Instant::now(), chunk)).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        mut to: TcpStream,
        chunks: Receiver<(Instant, Vec<u8>)>,
    ) -> io::Result<()> {
        while let Ok((received_at, chunk)) = chunks.recv().await {
            let rule = self.rule();
            Timer::at(received_at + rule.delay).await;
            if rule.throttle > 0 {
                let seconds = chunk.len() as f64 / rule.throttle as f64;
                Timer::after(Duration::from_secs_f64(seconds)).await;
            }
            self.wait_while_blocked().await;
            to.write_all(&chunk).await?;
        }
        self.wait_while_blocked().await;
        to.shutdown(Shutdown::Write)
    }

    /// Waits until bytes may pass; on a silenced connection they never do.
    async fn wait_while_blocked(&self) {
        loop {
            let waiter = self.link.waiter();
            let rule = self.rule();
            if rule.silences <= self.silences && !rule.blocked {
                return;
            }
            waiter.wait(RECHECK_INTERVAL).await;
        }
    }

    /// Waits until the connection is cut, and returns the error that closes it.
    async fn wait_for_cut(&self) -> io::Result<()> {
        loop {
            let waiter = self.link.waiter();
            if self.rule().cuts > self.cuts {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            waiter.wait(RECHECK_INTERVAL).await;
        }
    }
}
