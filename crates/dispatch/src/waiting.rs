//! Requests that wait for room: in which order, and which ones had better come back later.
//!
//! Load pattern: a burst fills every engine for many seconds. A request that can't get room within
//! its objective learns so at once and is told when room is expected; those that wait are served by
//! urgency and then by arrival, so that no crowd of late ones keeps an early one out.

use {
    base::{Instant, key},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Time of a run before one has ended: a draft of middle length.
const RUN_PRIOR: Duration = Duration::from_secs(4);
/// Part of a new run in the mean time of a service's runs.
const RUN_RATE: f64 = 0.1;
/// Longest time that a client is told to come back in; the load has changed by then.
const LONGEST_DELAY: Duration = Duration::from_secs(3);
/// Shortest such time.
const SHORTEST_DELAY: Duration = Duration::from_millis(200);

/// A place in a queue: urgency first, then arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Turn {
    priority: u32,
    arrived: Instant,
    number: u64,
}

/// Requests of one service that wait at this VM.
#[derive(Debug)]
struct Queue {
    turns: BTreeSet<Turn>,
    mean_run: Duration,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            turns: BTreeSet::new(),
            mean_run: RUN_PRIOR,
        }
    }
}

/// Work of all VMs for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowd {
    /// Requests in progress at its targets.
    pub runs: u32,
    /// Requests that wait at other VMs.
    pub waiting: u32,
}

/// The queues of one VM.
#[derive(Debug, Default)]
pub struct Waiting {
    queues: HashMap<key::Service, Queue>,
    next: u64,
}

impl Waiting {
    /// Takes a place if room is expected by `end`.
    ///
    /// # Errors
    /// Returns the time in which room is expected if that is later.
    pub fn enter(
        &mut self,
        service: key::Service,
        priority: u32,
        now: Instant,
        end: Instant,
        crowd: Crowd,
    ) -> Result<Turn, Duration> {
        let queue = self.queues.entry(service).or_default();
        let turn = Turn {
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
        queue.turns.insert(turn);
        Ok(turn)
    }

    /// Returns whether no other request of the service goes before.
    pub fn is_next(&self, service: key::Service, turn: Turn) -> bool {
        let queue = self.queues.get(&service);
        queue.is_none_or(|queue| queue.turns.first().is_none_or(|first| *first == turn))
    }

    /// Gives a place up.
    pub fn leave(&mut self, service: key::Service, turn: Turn) {
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.turns.remove(&turn);
        }
    }

    /// Returns whether requests of a service wait.
    pub fn is_empty(&self, service: key::Service) -> bool {
        self.queues
            .get(&service)
            .is_none_or(|queue| queue.turns.is_empty())
    }

    /// Returns the requests that wait for each service.
    pub fn counts(&self) -> impl Iterator<Item = (key::Service, u32)> {
        let queues = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.turns.is_empty());
        queues.map(|(service, queue)| (*service, queue.turns.len() as u32))
    }

    /// Learns from a run that has ended.
    pub fn ended(&mut self, service: key::Service, time: Duration) {
        let queue = self.queues.entry(service).or_default();
        let mean = queue.mean_run.as_secs_f64();
        queue.mean_run = Duration::from_secs_f64(mean + RUN_RATE * (time.as_secs_f64() - mean));
    }
}

/// Returns the time until the runs that end make room for one more request.
///
/// Each run that ends makes room for one; the VMs' queues advance side by side.
fn expected(mean_run: Duration, before: usize, crowd: Crowd) -> Duration {
    let ahead = before as f64 + f64::from(crowd.waiting) + 0.5;
    let ending = f64::from(crowd.runs.max(1));
    mean_run.mul_f64(ahead / ending)
}
