//! Opens tunnels for peers, and answers their queries for targets that this VM reaches.

use {
    crate::{
        Shared,
        control::reach,
        tunnel::frame::{
            End, Frame, Frames, Hello, MAX_DATA_BYTES, Open, Outcome, Query, decode, encode, split,
        },
    },
    base::{Instant, key},
    entry::runtime::with_timeout,
    futures_util::{SinkExt, StreamExt, future::join_all},
    smol::{
        Timer, future,
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    std::{
        io::{self, ErrorKind},
        net::Ipv4Addr,
        sync::Arc,
        time::Duration,
    },
};

/// Delay after a failed `accept` call.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time until the first message of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of targets that are probed for one query.
const MAX_PROBES: usize = 2;

/// Serves peers until the process exits.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection_shared = Arc::clone(&shared);
                let connection = async move {
                    if let Err(error) = serve(&connection_shared, stream).await {
                        log::debug!(target: "tunnel", error:% = error; "connection of a peer closed with an error");
                    }
                };
                shared.runtime.spawn(connection).detach();
            }
            Err(error) => {
                log::warn!(target: "tunnel", error:% = error; "failed to accept a connection");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(shared: &Arc<Shared>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = split(stream);
    let first = with_timeout(HELLO_TIMEOUT, frames.next()).await;
    let Some(first) = first.flatten() else {
        return Ok(());
    };
    let hello: Hello = decode(first?)?;
    let peer = Ipv4Addr::from(hello.address);
    let now = shared.now();
    let is_peer = shared
        .fleet
        .peers()
        .is_process_at(peer, hello.incarnation, now);
    if !is_peer {
        log::warn!(target: "tunnel", peer:% = peer; "refused a connection that is not of a known VM");
        return frames
            .send(encode(&Frame::of_outcome(Outcome::Unauthenticated)))
            .await;
    }
    if let Some(pause) = hello.pause {
        let duration = Duration::from_millis(pause.duration_ms.into());
        let target = key::Target::from_raw(pause.target);
        shared.dispatcher.record_pause(target, duration, now);
        log::info!(
            target: "limit", target_key:% = target, peer:% = peer, pause_ms = pause.duration_ms;
            "target wants no requests from this VM for a time"
        );
    }
    if let Some(query) = hello.query {
        let reached = answer(shared, &query).await;
        return frames.send(encode(&Frame::of_reached(reached))).await;
    }
    match hello.open {
        Some(open) => serve_tunnel(shared, frames, peer, &open).await,
        None => Ok(()),
    }
}

/// Returns the targets in a query that this VM has reached, or reaches now.
async fn answer(shared: &Arc<Shared>, query: &Query) -> Vec<u64> {
    let age = Duration::from_millis(query.age_ms.into());
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    let since = Instant::from_micros(shared.now().as_micros().saturating_sub(age));
    let mut reached = Vec::new();
    let mut unknown = Vec::new();
    for &raw in &query.targets {
        let target = key::Target::from_raw(raw);
        match shared.reach.reaches(target, since) {
            Some(true) => reached.push(raw),
            Some(false) => {}
            None => {
                let known = shared.directory.get(target);
                unknown.extend(known.filter(|target| !target.is_cordoned));
            }
        }
    }
    unknown.truncate(MAX_PROBES);
    let probes = unknown.iter().map(|target| async move {
        let is_reached = reach::probe(shared, target).await;
        is_reached.then(|| target.key.raw())
    });
    reached.extend(join_all(probes).await.into_iter().flatten());
    reached
}

/// Opens a tunnel and passes data until either side ends it.
async fn serve_tunnel(
    shared: &Arc<Shared>,
    mut frames: Frames,
    peer: Ipv4Addr,
    open: &Open,
) -> io::Result<()> {
    let _guard = shared.drain.enter();
    let served = shared.tunnels.serve();
    let connected = match &served {
        Some(_) => connect(shared, open).await,
        None => Err(Outcome::Busy),
    };
    let outcome = connected.as_ref().err().copied();
    log::info!(
        target: "tunnel", request:% = open.attempt, peer:% = peer,
        target_key:% = key::Target::from_raw(open.target), outcome:% = outcome.unwrap_or(Outcome::Opened),
        tunnels = shared.tunnels.served();
        "tunnel requested by a peer"
    );
    let target = match connected {
        Ok(target) => target,
        Err(outcome) => return frames.send(encode(&Frame::of_outcome(outcome))).await,
    };
    frames
        .send(encode(&Frame::of_outcome(Outcome::Opened)))
        .await?;
    future::or(relay(frames, target), async {
        shared.drain.wait_for_end().await;
        Ok(())
    })
    .await
}

/// Connects to the target of a tunnel if this VM may send requests there.
async fn connect(shared: &Arc<Shared>, open: &Open) -> Result<TcpStream, Outcome> {
    let key = key::Target::from_raw(open.target);
    let target = shared.directory.get(key).ok_or(Outcome::NoTarget)?;
    if shared.drain.is_draining() || shared.reach.needs_tunnel(key) {
        return Err(Outcome::Unavailable);
    }
    let is_refused = target.is_leaving && !open.may_leave || target.is_cordoned && !open.is_control;
    if is_refused {
        return Err(Outcome::NoTarget);
    }
    let now = shared.now();
    if shared.dispatcher.is_paused(key, now) {
        return Err(Outcome::Paused);
    }
    let result = shared.client.connect(target.address).await;
    result.map_err(|failure| {
        reach::record_unreached(shared, &target, now);
        log::debug!(target: "tunnel", request:% = open.attempt, reason:% = failure; "no connection to the target");
        Outcome::Unreachable
    })
}

/// Passes data between a peer and a target.
async fn relay(frames: Frames, target: TcpStream) -> io::Result<()> {
    let (mut sink, mut source) = frames.split();
    let (mut reader, mut writer) = (target.clone(), target);
    let to_target = async {
        while let Some(bytes) = source.next().await {
            let frame: Frame = decode(bytes?)?;
            let data = frame.data.unwrap_or_default();
            if let Err(error) = writer.write_all(&data).await {
                // What the target sent before it closed the connection is still passed on.
                log::debug!(target: "tunnel", error:% = error; "the target takes no more data");
                return future::pending().await;
            }
        }
        Ok(())
    };
    let to_peer = async {
        let mut buffer = vec![0; MAX_DATA_BYTES];
        let end = loop {
            match reader.read(&mut buffer).await {
                Ok(0) => break End::Closed,
                Ok(length) => {
                    let frame = Frame::of_data(&buffer[..length]);
                    sink.send(encode(&frame)).await?;
                }
                Err(error) if error.kind() == ErrorKind::TimedOut => break End::Lost,
                Err(_) => break End::Reset,
            }
        };
        sink.send(encode(&Frame::of_end(end))).await?;
        sink.close().await
    };
    future::or(to_peer, to_target).await
}
