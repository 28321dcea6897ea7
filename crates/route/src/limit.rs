//! Customer limits over all entry VMs, from gossiped demand and without a shared store.
//!
//! A VM that receives gossip from its peers may use what they leave of a limit. Until they have had
//! time to report their demand for a new customer, it allows the limit divided by the square root
//! of the number of VMs: if requests reach all VMs at once, they exceed the limit by that factor at
//! most, and for that time only. A VM without gossip from peers allows an equal share.

use {
    base::{Instant, arena::Arena, key},
    config::deployment::Customer,
    std::time::Duration,
};

/// Time constant of the average of own demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Age after which a peer's demand no longer counts.
const PEER_TTL: Duration = Duration::from_secs(10);
/// Time over which unused rate accumulates for a burst.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Time without demand after which the state of a customer is dropped.
const IDLE_TTL: Duration = Duration::from_secs(60);
/// Time in which all peers have gossiped their demand for a newly seen customer.
const PEER_SYNC_DELAY: Duration = Duration::from_secs(6);
/// Retry delay of refusals when too many requests are in flight.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Peer {
    vm: key::Vm,
    rate: f64,
    in_flight: u32,
    received_at: Instant,
}

/// Demand of one customer, at this VM and its peers.
#[derive(Debug)]
struct Demand {
    /// Requests per second at this VM, as an average with exponential decay.
    rate: f64,
    /// Admitted requests of this VM that have not ended.
    in_flight: u32,
    /// Tokens of the token bucket that enforces the rate; one per request.
    bucket_tokens: f64,
    updated: Instant,
    first_seen: Instant,
    peers: Vec<Peer>,
}

/// The entry VMs that share a limit.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Number of VMs, this one included.
    vms: u32,
    /// Whether this VM receives gossip from its peers.
    peers_connected: bool,
}

impl Demand {
    fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            in_flight: 0,
            bucket_tokens: f64::INFINITY,
            updated: now,
            first_seen: now,
            peers: Vec::new(),
        }
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_live = move |peer: &&Peer| now.since(peer.received_at) < PEER_TTL;
        self.peers.iter().filter(is_live)
    }

    /// Returns the part of a limit that this VM may use.
    fn local_limit(
        &self,
        now: Instant,
        limit: f64,
        own: f64,
        demand_of_peer: impl Fn(&Peer) -> f64,
        fleet: Fleet,
    ) -> f64 {
        let mut peer_count = 0_u32;
        let mut peer_demand = 0.0;
        for peer in self.live_peers(now) {
            peer_count += 1;
            peer_demand += demand_of_peer(peer);
        }
        let unused = if fleet.peers_connected && now.since(self.first_seen) >= PEER_SYNC_DELAY {
            limit - peer_demand
        } else {
            0.0
        };
        let vms = f64::from(fleet.vms.max(1));
        let divisor = if fleet.peers_connected {
            vms.sqrt()
        } else {
            vms
        };
        // A VM without demand so far starts with an equal share of the total demand.
        let own = own.max(peer_demand / vms);
        let fair_share = if peer_count == 0 || own <= 0.0 {
            limit / divisor
        } else {
            limit * own / (own + peer_demand)
        };
        fair_share.max(unused)
    }

    fn refill(&mut self, now: Instant, local_rate: f64) {
        let elapsed = now.since(self.updated);
        let burst = (local_rate * BURST_WINDOW.as_secs_f64()).max(1.0);
        self.bucket_tokens = (self.bucket_tokens + local_rate * elapsed.as_secs_f64()).min(burst);
        self.rate *= (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.updated = now;
    }
}

/// The limits of all customers as this VM enforces them.
#[derive(Debug, Default)]
pub struct Limiter {
    demands: Arena<key::Customer, Demand>,
    peers_connected: bool,
}

impl Limiter {
    /// Sets whether this VM receives gossip from its peers.
    pub fn set_peers_connected(&mut self, peers_connected: bool) {
        self.peers_connected = peers_connected;
    }

    /// Admits a request of a customer, unless it is over this VM's part of a limit.
    ///
    /// # Errors
    /// Returns the delay after which the request may be retried.
    pub fn admit(
        &mut self,
        now: Instant,
        key: key::Customer,
        customer: &Customer,
        vms: u32,
    ) -> Result<(), Duration> {
        if customer.rate.is_none() && customer.concurrency.is_none() {
            return Ok(());
        }
        if !self.demands.contains(key) {
            self.demands.insert(key, Demand::new(now));
        }
        let Some(demand) = self.demands.get_mut(key) else {
            return Ok(());
        };
        let fleet = Fleet {
            vms,
            peers_connected: self.peers_connected,
        };
        let rate = customer
            .rate
            .map(|limit| demand.local_limit(now, limit, demand.rate, |peer| peer.rate, fleet));
        demand.refill(now, rate.unwrap_or(0.0));
        demand.rate += 1.0 / DEMAND_WINDOW.as_secs_f64();
        if let Some(limit) = customer.concurrency {
            let own = f64::from(demand.in_flight);
            let demand_of_peer = |peer: &Peer| f64::from(peer.in_flight);
            let local_limit = demand.local_limit(now, f64::from(limit), own, demand_of_peer, fleet);
            if own >= local_limit.floor().max(1.0) {
                return Err(CONCURRENCY_RETRY_DELAY);
            }
        }
        if let Some(rate) = rate {
            if demand.bucket_tokens < 1.0 {
                return Err(Duration::from_secs_f64(
                    (1.0 - demand.bucket_tokens) / rate.max(0.001),
                ));
            }
            demand.bucket_tokens -= 1.0;
        }
        Ok(())
    }

    /// Counts an admitted request as in flight.
    pub fn begin(&mut self, customer: key::Customer) {
        if let Some(demand) = self.demands.get_mut(customer) {
            demand.in_flight += 1;
        }
    }

    /// Counts the end or later refusal of an admitted request.
    pub fn end(&mut self, customer: key::Customer) {
        if let Some(demand) = self.demands.get_mut(customer) {
            demand.in_flight = demand.in_flight.saturating_sub(1);
        }
    }

    /// Replaces the demand that a peer has reported.
    pub fn update_peer(
        &mut self,
        now: Instant,
        vm: key::Vm,
        customer: key::Customer,
        rate: f64,
        in_flight: u32,
    ) {
        if !self.demands.contains(customer) {
            self.demands.insert(customer, Demand::new(now));
        }
        let Some(demand) = self.demands.get_mut(customer) else {
            return;
        };
        demand.peers.retain(|peer| peer.vm != vm);
        if rate > 0.0 || in_flight > 0 {
            demand.peers.push(Peer {
                vm,
                rate,
                in_flight,
                received_at: now,
            });
        }
    }

    /// Drops the state of customers without demand at this VM and its peers.
    pub fn expire(&mut self, now: Instant) {
        let idle: Vec<_> = self
            .demands
            .iter()
            .filter(|(_, demand)| {
                demand.in_flight == 0
                    && now.since(demand.updated) > IDLE_TTL
                    && demand.live_peers(now).next().is_none()
            })
            .map(|(key, _)| key)
            .collect();
        for key in idle {
            self.demands.remove(key);
        }
    }
}
