//! TCP links.

use {
    super::link::{Link, Rule},
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
        future,
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
    std::{
        io,
        net::{Shutdown, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Largest piece that is passed on at once, in bytes.
const PIECE: usize = 16 << 10;
/// Bytes of a greeting that are looked at.
const GREETING: usize = 256;
/// Pieces under way in one direction.
const PIECES: usize = 64;
/// Time after which a state is looked at again without a change.
const RECHECK: Duration = Duration::from_secs(60);

/// Opens a link and returns its address.
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
            link.enter();
            let ended = run(&link, client, upstream).await;
            link.leave();
            // An end that fails is what the link is for.
            drop(ended);
        })
        .detach();
    }
}

/// One connection across a link.
struct Connection<'a> {
    link: &'a Link,
    /// The first bytes that the client sent.
    greeting: Vec<u8>,
    /// Orders to cut and to silence that came before the connection.
    cuts: u64,
    silences: u64,
}

async fn run(link: &Link, client: TcpStream, upstream: SocketAddr) -> io::Result<()> {
    client.set_nodelay(true)?;
    let connection = Connection::new(link, client.clone()).await?;
    let carried = connection.carry(&client, upstream);
    future::or(carried, connection.wait_for_cut()).await?;
    client.shutdown(Shutdown::Both)
}

impl<'a> Connection<'a> {
    /// Waits for the greeting, which is left unread, and finds the rule by it.
    async fn new(link: &'a Link, client: TcpStream) -> io::Result<Self> {
        let mut connection = Self {
            link,
            greeting: Vec::new(),
            cuts: 0,
            silences: 0,
        };
        connection.admit()?;
        let mut greeting = [0; GREETING];
        let length = client.peek(&mut greeting).await?;
        connection.greeting = greeting[..length].to_vec();
        connection.admit()?;
        Ok(connection)
    }

    /// Takes note of the orders so far, or refuses the connection.
    fn admit(&mut self) -> io::Result<()> {
        let rule = self.rule();
        self.cuts = rule.cuts;
        self.silences = rule.silences;
        if rule.refused {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(())
    }

    fn rule(&self) -> Rule {
        let source = self.link.source_of_greeting(&self.greeting);
        self.link.rule(source.as_deref())
    }

    /// Carries bytes both ways until both ends have closed.
    async fn carry(&self, client: &TcpStream, upstream: SocketAddr) -> io::Result<()> {
        self.wait_for_pass().await;
        let server = TcpStream::connect(upstream).await?;
        server.set_nodelay(true)?;
        let there = self.direction(client.clone(), server.clone());
        let back = self.direction(server.clone(), client.clone());
        let both = future::try_zip(there, back).await;
        server.shutdown(Shutdown::Both)?;
        both.map(|_| ())
    }

    /// Carries bytes one way.
    async fn direction(&self, from: TcpStream, to: TcpStream) -> io::Result<()> {
        let (sender, receiver) = bounded(PIECES);
        let read = self.read(from, sender);
        let write = self.write(to, receiver);
        future::try_zip(read, write).await.map(|_| ())
    }

    async fn read(
        &self,
        mut from: TcpStream,
        pieces: Sender<(Instant, Vec<u8>)>,
    ) -> io::Result<()> {
        loop {
            self.wait_for_pass().await;
            let mut piece = vec![0; PIECE];
            let length = from.read(&mut piece).await?;
            if length == 0 {
                return Ok(());
            }
            piece.truncate(length);
            if pieces.send((Instant::now(), piece)).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        mut to: TcpStream,
        pieces: Receiver<(Instant, Vec<u8>)>,
    ) -> io::Result<()> {
        while let Ok((at, piece)) = pieces.recv().await {
            let rule = self.rule();
            Timer::at(at + rule.delay).await;
            if rule.throttle > 0 {
                let seconds = piece.len() as f64 / rule.throttle as f64;
                Timer::after(Duration::from_secs_f64(seconds)).await;
            }
            self.wait_for_pass().await;
            to.write_all(&piece).await?;
        }
        self.wait_for_pass().await;
        to.shutdown(Shutdown::Write)
    }

    /// Waits until bytes may pass; for ever once the connection was silenced.
    async fn wait_for_pass(&self) {
        loop {
            let waiter = self.link.waiter();
            let rule = self.rule();
            if rule.silences <= self.silences && !rule.blocked {
                return;
            }
            waiter.wait(RECHECK).await;
        }
    }

    /// Waits for an order to cut.
    async fn wait_for_cut(&self) -> io::Result<()> {
        loop {
            let waiter = self.link.waiter();
            if self.rule().cuts > self.cuts {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            waiter.wait(RECHECK).await;
        }
    }
}
