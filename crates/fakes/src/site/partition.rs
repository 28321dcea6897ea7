//! Partitions of chosen VMs from a target, while the others reach it.
//!
//! A VM is identified by the source address of its connections. A filter in the kernel drops its
//! packets, so a partition that hangs is one for the kernel's timers on both sides, too.

use {
    crate::sync::lock,
    smol::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
    },
    socket2::{SockFilter, SockRef},
    std::{
        collections::HashMap,
        io::{self, ErrorKind},
        net::{IpAddr, Ipv4Addr, Shutdown},
        pin::Pin,
        sync::{Arc, Mutex},
        task::{Context, Poll, Waker},
        time::Duration,
    },
};

/// Loads a word of the packet.
const LOAD_WORD: u16 = 0x20;
/// Skips instructions, depending on whether the word equals a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Ends the filter with the number of bytes of the packet to keep.
const RETURN: u16 = 0x06;
/// Offset of the source address, relative to the IPv4 header as the filter's machine counts.
const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;

/// What a partition does to the connections of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Nothing passes: open connections are silent, and new ones are not established.
    Hang,
    /// Open connections and new ones are reset.
    Reset,
    /// Open connections go on, new ones are reset.
    Refuse,
    /// Open connections are silent for good, new ones work.
    Silence,
}

/// The VMs that are partitioned from a target, and the open connections of all VMs.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    cut: HashMap<Ipv4Addr, Kind>,
    /// Time after which a new connection that is reset is.
    reset_delay: Duration,
    connections: Vec<Arc<Gate>>,
}

/// Whether data passes on a connection.
#[derive(Debug)]
struct Gate {
    vm: Option<Ipv4Addr>,
    stream: TcpStream,
    state: Mutex<Flow>,
}

#[derive(Debug, Default)]
struct Flow {
    is_closed: bool,
    is_reset: bool,
    wakers: Vec<Waker>,
}

/// A connection that passes no data while its VM is partitioned.
#[derive(Debug)]
pub struct Connection {
    gate: Arc<Gate>,
    partition: Partition,
    stream: TcpStream,
}

impl Partition {
    /// Partitions a VM from the target that listens on `listener`.
    ///
    /// # Errors
    /// Returns an error if a filter can't be attached.
    pub fn cut(&self, vm: Ipv4Addr, kind: Kind, listener: Option<&TcpListener>) -> io::Result<()> {
        let mut state = lock(&self.state);
        if kind != Kind::Silence {
            state.cut.insert(vm, kind);
        }
        for gate in state.connections.iter().filter(|gate| gate.vm == Some(vm)) {
            match kind {
                Kind::Hang | Kind::Silence => gate.close()?,
                Kind::Reset => gate.reset(),
                Kind::Refuse => {}
            }
        }
        listener.map_or(Ok(()), |listener| state.filter(listener))
    }

    /// Ends the partition of a VM.
    ///
    /// # Errors
    /// Returns an error if a filter can't be detached.
    pub fn heal(&self, vm: Ipv4Addr, listener: Option<&TcpListener>) -> io::Result<()> {
        let mut state = lock(&self.state);
        if state.cut.remove(&vm).is_some() {
            for gate in state.connections.iter().filter(|gate| gate.vm == Some(vm)) {
                gate.open()?;
            }
        }
        listener.map_or(Ok(()), |listener| state.filter(listener))
    }

    /// Lets new connections that are reset stay open for a time before.
    pub fn set_reset_delay(&self, delay: Duration) {
        lock(&self.state).reset_delay = delay;
    }

    /// Attaches the filter of the current partitions to a listener.
    ///
    /// # Errors
    /// Returns an error if the filter can't be attached.
    pub fn filter(&self, listener: &TcpListener) -> io::Result<()> {
        lock(&self.state).filter(listener)
    }

    /// Admits an accepted connection; `None` if it is reset.
    ///
    /// # Errors
    /// Returns an error if the connection can't be prepared.
    pub fn admit(&self, stream: TcpStream) -> io::Result<Option<Connection>> {
        let vm = match stream.peer_addr()?.ip() {
            IpAddr::V4(vm) => Some(vm),
            IpAddr::V6(_) => None,
        };
        let mut state = lock(&self.state);
        let kind = vm.and_then(|vm| state.cut.get(&vm));
        if matches!(kind, Some(Kind::Reset | Kind::Refuse)) {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            let delay = state.reset_delay;
            smol::spawn(async move {
                smol::Timer::after(delay).await;
                drop(stream);
            })
            .detach();
            return Ok(None);
        }
        // The filter of the listener is inherited.
        SockRef::from(&stream)
            .detach_filter()
            .or_else(ignore_missing)?;
        let gate = Arc::new(Gate {
            vm,
            stream: stream.clone(),
            state: Mutex::default(),
        });
        if kind.is_some() {
            gate.close()?;
        }
        state.connections.push(Arc::clone(&gate));
        Ok(Some(Connection {
            gate,
            partition: self.clone(),
            stream,
        }))
    }
}

impl State {
    /// Drops the packets of VMs that are to get no answer to new connections.
    fn filter(&self, listener: &TcpListener) -> io::Result<()> {
        let hanging = self.cut.iter().filter(|(_, kind)| **kind == Kind::Hang);
        let vms: Vec<_> = hanging.map(|(vm, _)| u32::from(*vm)).collect();
        let socket = SockRef::from(listener);
        if vms.is_empty() {
            return socket.detach_filter().or_else(ignore_missing);
        }
        let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
        for vm in vms {
            program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, vm));
            program.push(SockFilter::new(RETURN, 0, 0, 0));
        }
        program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
        socket.attach_filter(&program)
    }
}

/// Ignores that a socket has no filter.
fn ignore_missing(error: io::Error) -> io::Result<()> {
    if error.kind() == ErrorKind::NotFound {
        return Ok(());
    }
    Err(error)
}

impl Gate {
    fn close(&self) -> io::Result<()> {
        lock(&self.state).is_closed = true;
        let program = [SockFilter::new(RETURN, 0, 0, 0)];
        SockRef::from(&self.stream).attach_filter(&program)
    }

    fn open(&self) -> io::Result<()> {
        SockRef::from(&self.stream)
            .detach_filter()
            .or_else(ignore_missing)?;
        let mut state = lock(&self.state);
        state.is_closed = false;
        state.wakers.drain(..).for_each(Waker::wake);
        Ok(())
    }

    fn reset(&self) {
        let mut state = lock(&self.state);
        state.is_reset = true;
        state.wakers.drain(..).for_each(Waker::wake);
        drop(state);
        // Wakes a pending read; the socket itself is reset when it is dropped.
        let options = [
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)),
            self.stream.shutdown(Shutdown::Read),
        ];
        for error in options.into_iter().filter_map(Result::err) {
            log::debug!(target: "fake", error:% = error; "failed to reset a connection");
        }
    }

    /// Returns whether data passes now; otherwise the task is woken when that changes.
    fn poll(&self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        let mut state = lock(&self.state);
        if state.is_reset {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if state.is_closed {
            state.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = lock(&self.partition.state);
        state
            .connections
            .retain(|gate| !Arc::ptr_eq(gate, &self.gate));
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.gate.poll(cx) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        }
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match self.gate.poll(cx) {
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            _ => result,
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.gate.poll(cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_write(cx, buf),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.gate.poll(cx) {
            Poll::Ready(_) => Pin::new(&mut self.stream).poll_close(cx),
            Poll::Pending => Poll::Pending,
        }
    }
}
