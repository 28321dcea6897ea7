//! Opens tunnels through peers, and queries which targets they reach.

use {
    crate::{
        Shared,
        targets::{client::Failure, path::Purpose},
        tunnel::{
            frame::{Frame, Hello, Open, Outcome, Pause, Query, decode, encode, split},
            stream::Stream,
        },
    },
    base::{Instant, key},
    dispatch::listing::Target,
    entry::runtime::with_timeout,
    futures_util::{SinkExt, StreamExt},
    rand::seq::SliceRandom,
    std::{
        io::{self, ErrorKind},
        net::Ipv4Addr,
        sync::Arc,
        time::Duration,
    },
};

/// Maximum number of peers that are tried for one tunnel.
const MAX_PEERS: usize = 3;
/// Number of peers that can't reach a target after which it is given up.
const MAX_UNREACHABLE: u32 = 2;
/// Maximum time for a peer to open a tunnel: its own connection to the target, with a margin.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for a peer to answer a query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Opens a tunnel to a target.
///
/// Which targets will do depends on the `purpose`.
///
/// # Errors
/// Nothing was sent to the target. The failure is local if no peer could be used.
pub async fn open(
    shared: &Arc<Shared>,
    target: &Target,
    purpose: Purpose<'_>,
) -> Result<(Ipv4Addr, Stream), Failure> {
    let attempt = purpose.attempt;
    let mut unreachable = 0;
    let peers = candidates(shared);
    for peer in peers.into_iter().take(MAX_PEERS) {
        let request = Open {
            target: target.key.raw(),
            attempt: attempt.into(),
            may_leave: purpose.may_leave,
            is_control: purpose.is_control,
        };
        let opened = with_timeout(OPEN_TIMEOUT, request_tunnel(shared, peer, request)).await;
        let opened = opened.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()));
        let (is_open, detail) = match &opened {
            Ok(Ok(_)) => (true, Outcome::Opened.to_string()),
            Ok(Err(outcome)) => (false, outcome.to_string()),
            Err(error) => (false, error.to_string()),
        };
        log::info!(
            target: "tunnel", request:% = attempt, instance:% = target.instance, via:% = peer, is_open, detail;
            "tunnel requested from a peer"
        );
        shared.metrics.record_tunnel(is_open);
        match opened {
            Ok(Ok(stream)) => {
                shared.reach.record_seen(peer, &[target.key], shared.now());
                return Ok((peer, stream));
            }
            Ok(Err(Outcome::Unreachable)) => {
                shared.reach.record_unseen(peer);
                unreachable += 1;
                if unreachable >= MAX_UNREACHABLE {
                    return Err(Failure::not_run("no peer reaches the target"));
                }
            }
            Ok(Err(Outcome::NoTarget | Outcome::Paused | Outcome::Busy)) => {}
            Ok(Err(_)) | Err(_) => shared.reach.record_unseen(peer),
        }
    }
    Err(Failure {
        is_local: true,
        ..Failure::not_run("no peer opens a tunnel to the target")
    })
}

/// Returns whether a peer opens a tunnel to a target, without using it.
pub async fn probe(shared: &Shared, peer: Ipv4Addr, target: &Target, attempt: &str) -> bool {
    let request = Open {
        target: target.key.raw(),
        attempt: attempt.into(),
        may_leave: true,
        is_control: false,
    };
    let opened = with_timeout(OPEN_TIMEOUT, request_tunnel(shared, peer, request)).await;
    matches!(
        opened,
        Some(Ok(Ok(_) | Err(Outcome::Paused | Outcome::Busy)))
    )
}

/// Returns whether there is a peer through which targets may be reached.
pub fn has_candidate(shared: &Shared) -> bool {
    let now = shared.now();
    shared.fleet.peers().tunnel_peers(now).next().is_some()
}

/// Returns the peers that may open a tunnel, the best one first.
fn candidates(shared: &Shared) -> Vec<Ipv4Addr> {
    let now = shared.now();
    let data_centre = shared.fleet.data_centre();
    let mut peers: Vec<_> = shared.fleet.peers().tunnel_peers(now).collect();
    peers.shuffle(&mut rand::rng());
    peers.sort_by_cached_key(|(peer, peer_data_centre)| {
        (
            !shared.reach.is_witness(*peer, now),
            *peer_data_centre != data_centre,
            shared.tunnels.used(*peer),
        )
    });
    peers.into_iter().map(|(peer, _)| peer).collect()
}

async fn request_tunnel(
    shared: &Shared,
    peer: Ipv4Addr,
    request: Open,
) -> io::Result<Result<Stream, Outcome>> {
    let used = shared.tunnels.record_use(peer);
    let hello = Hello {
        open: Some(request),
        ..hello(shared)
    };
    let mut frames = split(shared.client.open(shared.fleet.peer_address(peer)).await?);
    frames.send(encode(&hello)).await?;
    let first = frames.next().await.ok_or(ErrorKind::UnexpectedEof)??;
    let frame: Frame = decode(first)?;
    Ok(match frame.outcome() {
        Outcome::Opened => Ok(Stream::new(frames, used)),
        outcome => Err(outcome),
    })
}

/// Returns the targets that a peer has reached since a time.
pub async fn query(
    shared: &Shared,
    peer: Ipv4Addr,
    targets: &[key::Target],
    since: Instant,
) -> Vec<key::Target> {
    let age = shared.now().since(since);
    let query = Query {
        targets: targets.iter().map(|target| target.raw()).collect(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    };
    let hello = Hello {
        query: Some(query),
        ..hello(shared)
    };
    let answered = async {
        let mut frames = split(shared.client.open(shared.fleet.peer_address(peer)).await?);
        frames.send(encode(&hello)).await?;
        let first = frames.next().await.ok_or(ErrorKind::UnexpectedEof)??;
        let frame: Frame = decode(first)?;
        Ok(frame.reached.unwrap_or_default().targets)
    };
    let reached = with_timeout(ANSWER_TIMEOUT, answered).await;
    let reached = reached.unwrap_or_else(|| Err(io::Error::from(ErrorKind::TimedOut)));
    match reached {
        Ok(targets) => targets.into_iter().map(key::Target::from_raw).collect(),
        Err(error) => {
            log::info!(target: "path", peer:% = peer, error:% = error; "peer did not answer a query");
            Vec::new()
        }
    }
}

/// Forwards a target's request for a pause to the peer that the target saw.
pub async fn send_pause(
    shared: Arc<Shared>,
    peer: Ipv4Addr,
    target: key::Target,
    duration: Duration,
) {
    let hello = Hello {
        pause: Some(Pause {
            target: target.raw(),
            duration_ms: u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
        }),
        ..hello(&shared)
    };
    let sent = async {
        let mut frames = split(shared.client.open(shared.fleet.peer_address(peer)).await?);
        frames.send(encode(&hello)).await
    };
    if let Err(error) = sent.await {
        log::warn!(target: "tunnel", peer:% = peer, error:% = error; "failed to forward a target's pause");
    }
}

fn hello(shared: &Shared) -> Hello {
    Hello {
        address: shared.fleet.own_address().into(),
        incarnation: shared.fleet.incarnation(),
        ..Hello::default()
    }
}
