//! Queues of requests that wait for capacity, and admission to them.
//!
//! A burst can fill every engine for many seconds. A request that is not expected to get capacity
//! within its objective is rejected at once with the time to retry after. The others are served by
//! priority and then by arrival, so that later requests don't starve earlier ones. The order holds
//! across VMs: when an engine starts, all VMs see its capacity at the same time, and each of them
//! leaves it to requests at other VMs that go first.

use {
    base::{Instant, key},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Assumed duration of a run before one has ended: that of a generation of medium length.
const RUN_DURATION_PRIOR: Duration = Duration::from_secs(4);
/// Weight of a new sample in the moving average of a service's run durations.
const RUN_SAMPLE_WEIGHT: f64 = 0.1;
/// Upper bound of the retry delay for a rejected request; after that the load has changed anyway.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Retry delay after a request timed out in the queue, as a share of the mean run duration: the
/// minimum, and the width of the jitter. Its objective has passed, so it isn't urgent any more; a
/// retry that comes when runs have ended is more likely to succeed.
const TIMED_OUT_DELAY_SHARE: (f64, f64) = (0.2, 0.5);
/// Lower bound of all retry delays.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A position in a queue, ordered by priority and then by turn.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    priority: u32,
    turn: Instant,
    sequence: u64,
}

/// Requests of one service that are queued at this VM.
#[derive(Debug)]
struct Queue {
    /// Deadline of each position.
    positions: BTreeMap<Position, Instant>,
    mean_run_duration: Duration,
    /// Moving average of the squares of the durations, in seconds squared.
    mean_square: f64,
}

impl Queue {
    /// Returns the mean duration of the runs that are in progress at a moment.
    ///
    /// Most of these are long ones, as short ones are over soon.
    fn mean_duration_in_progress(&self) -> Duration {
        let mean = self.mean_run_duration.as_secs_f64();
        Duration::from_secs_f64(self.mean_square / mean.max(1e-3))
    }

    /// Returns the expected time until a request with `before` others ahead at this VM gets capacity.
    ///
    /// Each run that ends frees capacity for one request, and the VMs' queues advance in parallel.
    fn expected_wait(&self, before: usize, demand: Demand) -> Duration {
        let ahead = before as f64 + f64::from(demand.remote_waiters) + 0.5;
        let runs = f64::from(demand.runs.max(1));
        let duration = if demand.counts_in_progress {
            self.mean_duration_in_progress()
        } else {
            self.mean_run_duration
        };
        duration.mul_f64(ahead / runs)
    }
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            positions: BTreeMap::new(),
            mean_run_duration: RUN_DURATION_PRIOR,
            mean_square: RUN_DURATION_PRIOR.as_secs_f64().powi(2),
        }
    }
}

/// A queued request, of this VM or of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Service whose capacity it needs.
    pub service: key::Service,
    /// Rank; 0 is served first.
    pub priority: u32,
    /// Time of its arrival; that of a returning client's request is later by the time for which others
    /// go first.
    pub turn: Instant,
    /// Time at which it stops waiting.
    pub deadline: Instant,
}

/// Number of requests that are queued for one service, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Count {
    /// Service whose capacity they need.
    pub service: key::Service,
    /// Requests that are queued at this VM.
    pub local: usize,
    /// Requests that are queued at other VMs and have not timed out, as far as these report them.
    pub remote: usize,
}

/// A request that arrives at this VM.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Rank; 0 is served first.
    priority: u32,
    at: Instant,
    /// Time of the arrivals among which it is ordered.
    turn: Instant,
}

impl Arrival {
    /// Creates the arrival of a new request.
    pub fn new(priority: u32, now: Instant) -> Self {
        Self {
            priority,
            at: now,
            turn: now,
        }
    }

    /// Lets requests that arrive before `turn` go first.
    #[must_use]
    pub fn with_turn(self, turn: Instant) -> Self {
        Self { turn, ..self }
    }

    /// Returns the position after all that are queued by now and go first.
    fn last(self) -> Position {
        Position {
            priority: self.priority,
            turn: self.turn,
            sequence: u64::MAX,
        }
    }
}

/// Demand for one service beyond this VM's queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Runs on the service's targets, of all VMs.
    pub runs: u32,
    /// Requests that are queued at other VMs; with `counts_in_progress` only those that go first.
    pub remote_waiters: u32,
    /// Whether the wait is estimated from the runs that are in progress rather than from those that
    /// have ended.
    pub counts_in_progress: bool,
}

/// The queues of one VM, one per service.
#[derive(Debug, Default)]
pub struct Queues {
    by_service: HashMap<key::Service, Queue>,
    /// Requests that are queued at other VMs.
    remote_waiters: Vec<Waiter>,
    next_sequence: u64,
}

impl Queues {
    /// Adds a request to the queue of its service if capacity is expected before its deadline.
    ///
    /// # Errors
    /// Returns the time to retry after if capacity is expected later.
    pub fn enqueue(
        &mut self,
        service: key::Service,
        arrival: Arrival,
        deadline: Instant,
        demand: Demand,
    ) -> Result<Position, Duration> {
        let queue = self.by_service.entry(service).or_default();
        let position = Position {
            priority: arrival.priority,
            turn: arrival.turn,
            sequence: self.next_sequence,
        };
        let before = queue.positions.range(..position).count();
        let expected = queue.expected_wait(before, demand);
        if arrival.at + expected > deadline {
            return Err(if demand.counts_in_progress {
                expected.max(MIN_RETRY_DELAY)
            } else {
                expected.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
            });
        }
        self.next_sequence += 1;
        queue.positions.insert(position, deadline);
        Ok(position)
    }

    /// Replaces the requests that are queued at other VMs.
    pub fn set_remote_waiters(&mut self, waiters: Vec<Waiter>) {
        self.remote_waiters = waiters;
    }

    /// Returns the number of requests that are queued at other VMs and have not timed out.
    pub fn remote_count(&self, service: key::Service, now: Instant) -> u32 {
        let waiters = self.remote_waiters.iter();
        waiters
            .filter(|waiter| waiter.service == service && waiter.deadline > now)
            .count() as u32
    }

    /// Returns the number of requests that are queued at other VMs and go before one that arrives.
    pub fn remote_ahead(&self, service: key::Service, arrival: Arrival) -> u32 {
        self.remote_before(service, arrival.last(), arrival.at) as u32
    }

    /// Returns the number of requests of this VM that go before a position.
    pub fn ahead_locally(&self, service: key::Service, position: Position) -> usize {
        let queue = self.by_service.get(&service);
        queue.map_or(0, |queue| queue.positions.range(..position).count())
    }

    /// Returns the number of requests of all VMs that go before a position.
    pub fn ahead(&self, service: key::Service, position: Position, now: Instant) -> usize {
        self.ahead_locally(service, position) + self.remote_before(service, position, now)
    }

    fn remote_before(&self, service: key::Service, position: Position, now: Instant) -> usize {
        let goes_first = |waiter: &&Waiter| {
            waiter.service == service
                && waiter.deadline > now
                && (waiter.priority, waiter.turn) < (position.priority, position.turn)
        };
        self.remote_waiters.iter().filter(goes_first).count()
    }

    /// Returns the number of requests of all VMs that go before one that arrives.
    pub fn ahead_of_arrival(&self, service: key::Service, arrival: Arrival) -> usize {
        self.ahead(service, arrival.last(), arrival.at)
    }

    /// Returns the expected time until a request that arrives gets capacity.
    pub fn expected_wait(
        &self,
        service: key::Service,
        arrival: Arrival,
        demand: Demand,
    ) -> Duration {
        let queue = self.by_service.get(&service);
        queue.map_or(Duration::ZERO, |queue| {
            let before = queue.positions.range(..arrival.last()).count();
            queue.expected_wait(before, demand)
        })
    }

    /// Returns the retry delay for a request that timed out in the queue.
    ///
    /// `jitter` from 0 to 1 spreads the retries of requests that time out together.
    pub fn retry_delay(&self, service: key::Service, jitter: f64) -> Duration {
        let queue = self.by_service.get(&service);
        let mean = queue.map_or(RUN_DURATION_PRIOR, |queue| queue.mean_run_duration);
        let (minimum, width) = TIMED_OUT_DELAY_SHARE;
        mean.mul_f64(minimum + width * jitter).max(MIN_RETRY_DELAY)
    }

    /// Removes a request that was served or stopped waiting.
    pub fn remove(&mut self, service: key::Service, position: Position) {
        if let Some(queue) = self.by_service.get_mut(&service) {
            queue.positions.remove(&position);
        }
    }

    /// Returns the number of queued requests of each service that has any.
    pub fn counts(&self, now: Instant) -> impl Iterator<Item = Count> {
        let mut counts: HashMap<key::Service, (usize, usize)> = HashMap::new();
        for (service, queue) in &self.by_service {
            if !queue.positions.is_empty() {
                counts.entry(*service).or_default().0 = queue.positions.len();
            }
        }
        let remote = self.remote_waiters.iter();
        for waiter in remote.filter(|waiter| waiter.deadline > now) {
            counts.entry(waiter.service).or_default().1 += 1;
        }
        let counts = counts.into_iter();
        counts.map(|(service, (local, remote))| Count {
            service,
            local,
            remote,
        })
    }

    /// Returns the requests that are queued at this VM.
    pub fn local_waiters(&self) -> impl Iterator<Item = Waiter> {
        self.by_service.iter().flat_map(|(service, queue)| {
            queue.positions.iter().map(|(position, deadline)| Waiter {
                service: *service,
                priority: position.priority,
                turn: position.turn,
                deadline: *deadline,
            })
        })
    }

    /// Adds the duration of a finished run to the average of its service.
    pub fn record_run_time(&mut self, service: key::Service, time: Duration) {
        let queue = self.by_service.entry(service).or_default();
        let mean = queue.mean_run_duration.as_secs_f64();
        let seconds = time.as_secs_f64();
        queue.mean_run_duration =
            Duration::from_secs_f64(mean + RUN_SAMPLE_WEIGHT * (seconds - mean));
        queue.mean_square += RUN_SAMPLE_WEIGHT * (seconds.powi(2) - queue.mean_square);
    }
}
