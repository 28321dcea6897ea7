//! Finds out which targets this VM reaches, by connections to some of them and queries to peers.

use {
    crate::{Shared, control::reports, tunnel::opener},
    base::{Instant, key},
    dispatch::{
        listing::Target,
        reach::{Change, Check},
    },
    entry::runtime::with_timeout,
    futures_util::{
        AsyncReadExt,
        future::{join, join_all},
    },
    rand::seq::IteratorRandom,
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        net::Ipv4Addr,
        pin::pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Time for which a probe's connection must stay open.
///
/// A connection that is reset as soon as it is established carries no request.
const PROBE_HOLD: Duration = Duration::from_millis(10);
/// The same while this VM is isolated: a reset may come late, and would end the isolation.
const RECOVERY_PROBE_HOLD: Duration = Duration::from_millis(250);
/// Time for the first probe of a check before the others follow; a target mostly answers in it.
const FIRST_PROBE_TIME: Duration = Duration::from_millis(25);
/// Number of peers that are queried in one check.
const QUERIED_PEERS: usize = 3;
/// Minimum time between two rounds of the task.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time for which a failed request waits for the check that is under way.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(450);
/// Interval at which it looks for the result.
const SETTLE_INTERVAL: Duration = Duration::from_millis(5);

/// What this VM reaches, and the signal that a check may be due.
#[derive(Debug)]
pub struct Reach {
    state: Mutex<dispatch::Reach>,
    /// When the latest finished check began, in microseconds of the clock.
    checked: AtomicU64,
    notifier: Sender<()>,
    wakeups: Receiver<()>,
}

impl Reach {
    /// Starts without any contact; `seed` determines which targets are probed.
    pub fn new(seed: u64) -> Self {
        let (notifier, wakeups) = bounded(1);
        Self {
            state: Mutex::new(dispatch::Reach::new(seed)),
            checked: AtomicU64::new(0),
            notifier,
            wakeups,
        }
    }

    /// Returns whether this VM reaches no target while others do.
    pub fn is_isolated(&self) -> bool {
        self.lock().is_isolated()
    }

    /// Returns whether this VM must reach a target through a peer.
    pub fn needs_tunnel(&self, target: key::Target) -> bool {
        self.lock().needs_tunnel(target)
    }

    /// Returns whether this VM has reached a target since a time; `None` if it hasn't tried.
    pub fn reaches(&self, target: key::Target, since: Instant) -> Option<bool> {
        self.lock().reaches(target, since)
    }

    /// Returns whether there is recent evidence that a peer reaches targets.
    pub fn is_witness(&self, peer: Ipv4Addr, now: Instant) -> bool {
        self.lock().is_witness(peer, now)
    }

    /// Records that a peer has reached targets.
    pub fn record_seen(&self, peer: Ipv4Addr, targets: &[key::Target], now: Instant) {
        self.lock().record_seen(peer, targets, now);
    }

    /// Records that a peer could not reach a target.
    pub fn record_unseen(&self, peer: Ipv4Addr) {
        self.lock().record_unseen(peer);
    }

    /// Records that a target has answered this VM on a new connection.
    pub fn record_reached(&self, target: &Target, now: Instant) {
        self.lock().record_reached(target, now);
    }

    fn lock(&self) -> MutexGuard<'_, dispatch::Reach> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that an attempt to reach a target failed that began at `began`.
pub fn record_unreached(shared: &Shared, target: &Target, began: Instant) {
    let now = shared.now();
    if shared.reach.lock().record_unreached(target, began, now) {
        // If the channel is full, a wake-up is already pending.
        let _ = shared.reach.notifier.try_send(());
    }
}

/// Returns whether a failure at a target since `began` is this VM's own.
///
/// Waits for a check if no target was reached since.
pub async fn is_own_fault(shared: &Shared, target: key::Target, began: Instant) -> bool {
    let deadline = shared.now() + SETTLE_TIMEOUT;
    loop {
        let now = shared.now();
        {
            let state = shared.reach.lock();
            if state.needs_tunnel(target) {
                return true;
            }
            let is_checked = shared.reach.checked.load(Ordering::Acquire) >= began.as_micros();
            if !state.is_suspected() || state.has_reached_since(began) || is_checked {
                return false;
            }
        }
        if now >= deadline {
            return false;
        }
        Timer::after(SETTLE_INTERVAL).await;
    }
}

/// Connects to a target without a request; returns whether it is reached.
pub async fn probe(shared: &Shared, target: &Target) -> bool {
    let began = shared.now();
    let hold = if shared.reach.is_isolated() {
        RECOVERY_PROBE_HOLD
    } else {
        PROBE_HOLD
    };
    let is_reached = match shared.client.connect(target.address).await {
        Ok(mut stream) => {
            let closed = with_timeout(hold, stream.read(&mut [0])).await;
            closed.is_none()
        }
        Err(_) => false,
    };
    if is_reached {
        shared.reach.record_reached(target, shared.now());
    } else {
        record_unreached(shared, target, began);
    }
    is_reached
}

/// Checks what this VM reaches whenever that is in doubt, until the process exits.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let delay = shared.reach.lock().next_check(shared.now());
        let wakeup = shared.reach.wakeups.recv();
        match delay {
            Some(delay) => {
                with_timeout(delay, wakeup).await;
            }
            None => {
                // `shared` owns the sender, so the channel is never closed.
                let _ = wakeup.await;
            }
        }
        let targets = shared.directory.all();
        let began = shared.now();
        let check = shared.reach.lock().check(&targets, began);
        let Some(check) = check else {
            Timer::after(MIN_INTERVAL).await;
            continue;
        };
        run_check(&shared, &check).await;
        let change = shared.reach.lock().evaluate(&targets);
        if let Some(change) = change {
            apply(&shared, change).await;
        }
        let began = began.as_micros();
        shared.reach.checked.fetch_max(began, Ordering::AcqRel);
    }
}

/// Connects to a first target, and to the others and peers only if that isn't reached at once.
async fn run_check(shared: &Shared, check: &Check) {
    let mut first = pin!(async {
        match check.probes.first() {
            Some(target) => probe(shared, target).await,
            None => false,
        }
    });
    let early = with_timeout(FIRST_PROBE_TIME, first.as_mut()).await;
    let mut reached = usize::from(early == Some(true));
    let is_enough = reached > 0 && !shared.reach.is_isolated();
    if !is_enough {
        let peers: Vec<_> = {
            let now = shared.now();
            let peers = shared.fleet.peers();
            let addresses = peers.tunnel_peers(now).map(|(address, _)| address);
            addresses.choose_multiple(&mut rand::rng(), QUERIED_PEERS)
        };
        let queries = peers.iter().map(|&peer| async move {
            if !check.queried.is_empty() {
                let seen = opener::query(shared, peer, &check.queried, check.since).await;
                shared.reach.record_seen(peer, &seen, shared.now());
            }
        });
        let others = check.probes.iter().skip(1);
        let others = others.map(|target| probe(shared, target));
        let late = async { early.is_none() && first.await };
        let (late, (others, _)) = join(late, join(join_all(others), join_all(queries))).await;
        reached += usize::from(late);
        reached += others.into_iter().filter(|is_reached| *is_reached).count();
    }
    log::info!(
        target: "path", probes = check.probes.len(), reached, is_enough, queried = check.queried.len(),
        is_isolated = shared.reach.is_isolated();
        "checked which targets are reached"
    );
}

/// Logs a change, and reports it to the other VMs.
async fn apply(shared: &Arc<Shared>, change: Change) {
    match change {
        Change::Isolated { failed, since } => {
            log::warn!(
                target: "path", is_isolated = true, failed,
                failing_ms = shared.now().since(since).as_millis() as u64;
                "no target is reached that other VMs reach; sending requests through them"
            );
            shared.dispatcher.forget_failures();
        }
        Change::Recovered => log::warn!(
            target: "path", is_isolated = false;
            "targets are reached again; sending requests to them directly"
        ),
    }
    reports::send_now(shared, true).await;
}
