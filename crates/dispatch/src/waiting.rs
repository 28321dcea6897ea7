//! Requests that wait for room: in which order, and which ones had better come back later.
//!
//! Load pattern: a burst fills every engine for many seconds. A request that can't get room within
//! its objective learns so at once and is told when room is expected; those that wait are served by
//! urgency and then by arrival, so that no crowd of late ones keeps an early one out. The order holds
//! across VMs: when an engine starts, all of them see its room in the same moment, and each leaves
//! it to those at other VMs that go before.

use {
    base::{Instant, key},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Time of a run before one has ended: a draft of middle length.
const RUN_PRIOR: Duration = Duration::from_secs(4);
/// Part of a new run in the mean time of a service's runs.
const RUN_RATE: f64 = 0.1;
/// Longest time that a client is told to come back in; the load has changed by then.
const LONGEST_DELAY: Duration = Duration::from_secs(3);
/// Part of the mean run in which a client comes back that has waited in vain: the least, and the width
/// of the draw. Its objective is over, so it had better come when runs have ended than soon.
const RETURN_SHARE: (f64, f64) = (0.2, 0.5);
/// Shortest such time.
const SHORTEST_DELAY: Duration = Duration::from_millis(200);

/// A place in a queue: urgency first, then arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    priority: u32,
    arrived: Instant,
    number: u64,
}

/// Requests of one service that wait at this VM.
#[derive(Debug)]
struct Queue {
    /// Each place, with the end of its wait.
    turns: BTreeMap<Position, Instant>,
    mean_run: Duration,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            turns: BTreeMap::new(),
            mean_run: RUN_PRIOR,
        }
    }
}

/// A request that waits at this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Service that it waits for.
    pub service: key::Service,
    /// Urgency, 0 first.
    pub priority: u32,
    /// When it arrived.
    pub arrived: Instant,
    /// When it gives up.
    pub deadline: Instant,
}

/// Work of all VMs for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Requests in progress at its targets.
    pub runs: u32,
    /// Requests that wait at other VMs.
    pub remote_waiters: u32,
}

/// The queues of one VM.
#[derive(Debug, Default)]
pub struct Queues {
    by_service: HashMap<key::Service, Queue>,
    /// Requests that wait at other VMs.
    others: Vec<Waiter>,
    next: u64,
}

impl Queues {
    /// Takes a place if room is expected by `end`.
    ///
    /// # Errors
    /// Returns the time in which room is expected if that is later.
    pub fn enqueue(
        &mut self,
        service: key::Service,
        priority: u32,
        now: Instant,
        end: Instant,
        crowd: Demand,
    ) -> Result<Position, Duration> {
        let queue = self.by_service.entry(service).or_default();
        let turn = Position {
            priority,
            arrived: now,
            number: self.next,
        };
        let before = queue.turns.range(..turn).count();
        let expected = expected(queue.mean_run, before, crowd);
        if now + expected > end {
            return Err(expected.clamp(SHORTEST_DELAY, LONGEST_DELAY));
        }
        self.next += 1;
        queue.turns.insert(turn, end);
        Ok(turn)
    }

    /// Takes the requests that wait at other VMs.
    pub fn set_remote_waiters(&mut self, others: Vec<Waiter>) {
        self.others = others;
    }

    /// Returns how many requests wait at other VMs.
    pub fn remote_count(&self, service: key::Service, now: Instant) -> u32 {
        let others = self.others.iter();
        others
            .filter(|other| other.service == service && other.deadline > now)
            .count() as u32
    }

    /// Returns how many requests of this VM go before a turn.
    pub fn ahead_locally(&self, service: key::Service, turn: Position) -> usize {
        let queue = self.by_service.get(&service);
        queue.map_or(0, |queue| queue.turns.range(..turn).count())
    }

    /// Returns how many requests of all VMs go before a turn.
    pub fn ahead(&self, service: key::Service, turn: Position, now: Instant) -> usize {
        let before = |other: &&Waiter| {
            other.service == service
                && other.deadline > now
                && (other.priority, other.arrived) < (turn.priority, turn.arrived)
        };
        self.ahead_locally(service, turn) + self.others.iter().filter(before).count()
    }

    /// Returns how many requests of all VMs go before one that arrives now.
    pub fn ahead_of_arrival(&self, service: key::Service, priority: u32, now: Instant) -> usize {
        let last = Position {
            priority,
            arrived: now,
            number: u64::MAX,
        };
        self.ahead(service, last, now)
    }

    /// Returns when a client had better come back that has waited in vain; `draw` from 0 to 1 spreads
    /// the return of a crowd.
    pub fn retry_delay(&self, service: key::Service, draw: f64) -> Duration {
        let queue = self.by_service.get(&service);
        let mean = queue.map_or(RUN_PRIOR, |queue| queue.mean_run);
        let (least, width) = RETURN_SHARE;
        mean.mul_f64(least + width * draw).max(SHORTEST_DELAY)
    }

    /// Gives a place up.
    pub fn remove(&mut self, service: key::Service, turn: Position) {
        if let Some(queue) = self.by_service.get_mut(&service) {
            queue.turns.remove(&turn);
        }
    }

    /// Returns the requests that wait at this VM.
    pub fn local_waiters(&self) -> impl Iterator<Item = Waiter> {
        self.by_service.iter().flat_map(|(service, queue)| {
            queue.turns.iter().map(|(turn, end)| Waiter {
                service: *service,
                priority: turn.priority,
                arrived: turn.arrived,
                deadline: *end,
            })
        })
    }

    /// Learns from a run that has ended.
    pub fn record_run_time(&mut self, service: key::Service, time: Duration) {
        let queue = self.by_service.entry(service).or_default();
        let mean = queue.mean_run.as_secs_f64();
        queue.mean_run = Duration::from_secs_f64(mean + RUN_RATE * (time.as_secs_f64() - mean));
    }
}

/// Returns the time until the runs that end make room for one more request.
///
/// Each run that ends makes room for one; the VMs' queues advance side by side.
fn expected(mean_run: Duration, before: usize, crowd: Demand) -> Duration {
    let ahead = before as f64 + f64::from(crowd.remote_waiters) + 0.5;
    let ending = f64::from(crowd.runs.max(1));
    mean_run.mul_f64(ahead / ending)
}
