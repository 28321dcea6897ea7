//! Each VM's share of the customers' limits, from gossiped demand and without a store.
//!
//! A VM that hears its peers may use what they leave of a limit. Until they have had time to tell
//! of a new demand it keeps to the limit by the square root of the number of VMs, so that VMs
//! which are asked all at once pass the limit by that factor at most, and for that time only. A VM
//! that hears no peers keeps to an equal share.

use {
    base::{Instant, arena::Arena, key},
    config::deployment::Customer,
    std::time::Duration,
};

/// Window over which own demand is averaged.
const WINDOW: Duration = Duration::from_secs(5);
/// Age after which a peer's demand no longer counts.
const PEER_EXPIRY: Duration = Duration::from_secs(10);
/// Time that a rate may be saved up for a burst.
const BURST: Duration = Duration::from_secs(1);
/// Time without demand after which a customer's state is dropped.
const IDLE: Duration = Duration::from_secs(60);
/// Time after which the peers have told of their demand.
const TOLD: Duration = Duration::from_secs(6);
/// When to come back if too many requests are in flight.
const IN_FLIGHT_DELAY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Peer {
    vm: key::Vm,
    rate: f64,
    in_flight: u32,
    at: Instant,
}

/// Demand of one customer, here and elsewhere.
#[derive(Debug)]
struct Demand {
    rate: f64,
    in_flight: u32,
    tokens: f64,
    at: Instant,
    since: Instant,
    peers: Vec<Peer>,
}

/// What is known of the entry VMs that share a limit.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Their number, this one included.
    vms: u32,
    /// Whether this VM hears its peers.
    connected: bool,
}

impl Demand {
    fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            in_flight: 0,
            tokens: f64::INFINITY,
            at: now,
            since: now,
            peers: Vec::new(),
        }
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_fresh = move |peer: &&Peer| now.since(peer.at) < PEER_EXPIRY;
        self.peers.iter().filter(is_fresh)
    }

    /// Returns what this VM may use of a limit.
    fn allowed(
        &self,
        now: Instant,
        limit: f64,
        own: f64,
        of_peer: impl Fn(&Peer) -> f64,
        fleet: Fleet,
    ) -> f64 {
        let mut known = 0_u32;
        let mut others = 0.0;
        for peer in self.fresh(now) {
            known += 1;
            others += of_peer(peer);
        }
        let left = if fleet.connected && now.since(self.since) >= TOLD {
            limit - others
        } else {
            0.0
        };
        let vms = f64::from(fleet.vms.max(1));
        let first = if fleet.connected { vms.sqrt() } else { vms };
        // A VM without demand so far starts with an equal share of what is asked for.
        let own = own.max(others / vms);
        let fair = if known == 0 || own <= 0.0 {
            limit / first
        } else {
            limit * own / (own + others)
        };
        fair.max(left)
    }

    fn refill(&mut self, now: Instant, allowed: f64) {
        let passed = now.since(self.at);
        let burst = (allowed * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + allowed * passed.as_secs_f64()).min(burst);
        self.rate *= (-passed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.at = now;
    }
}

/// The limits of all customers as this VM enforces them.
#[derive(Debug, Default)]
pub struct Limit {
    demands: Arena<key::Customer, Demand>,
    connected: bool,
}

impl Limit {
    /// Notes whether this VM hears its peers.
    pub fn set_connected(&mut self, connected: bool) {
        self.connected = connected;
    }

    /// Admits a request of a customer; otherwise says when to come back.
    ///
    /// # Errors
    /// Returns the delay after which the share of this VM allows another request.
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
            connected: self.connected,
        };
        let rate = customer
            .rate
            .map(|limit| demand.allowed(now, limit, demand.rate, |peer| peer.rate, fleet));
        demand.refill(now, rate.unwrap_or(0.0));
        demand.rate += 1.0 / WINDOW.as_secs_f64();
        if let Some(limit) = customer.concurrency {
            let own = f64::from(demand.in_flight);
            let of_peer = |peer: &Peer| f64::from(peer.in_flight);
            let allowed = demand.allowed(now, f64::from(limit), own, of_peer, fleet);
            if own >= allowed.floor().max(1.0) {
                return Err(IN_FLIGHT_DELAY);
            }
        }
        if let Some(rate) = rate {
            if demand.tokens < 1.0 {
                return Err(Duration::from_secs_f64(
                    (1.0 - demand.tokens) / rate.max(0.001),
                ));
            }
            demand.tokens -= 1.0;
        }
        Ok(())
    }

    /// Counts an admitted request that has not ended.
    pub fn begin(&mut self, customer: key::Customer) {
        if let Some(demand) = self.demands.get_mut(customer) {
            demand.in_flight += 1;
        }
    }

    /// Counts an admitted request that ended or was refused later on.
    pub fn end(&mut self, customer: key::Customer) {
        if let Some(demand) = self.demands.get_mut(customer) {
            demand.in_flight = demand.in_flight.saturating_sub(1);
        }
    }

    /// Takes the demand that a peer has seen.
    pub fn peer(
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
                at: now,
            });
        }
    }

    /// Drops the state of customers without demand, here or elsewhere.
    pub fn expire(&mut self, now: Instant) {
        let idle: Vec<_> = self
            .demands
            .iter()
            .filter(|(_, demand)| {
                demand.in_flight == 0
                    && now.since(demand.at) > IDLE
                    && demand.fresh(now).next().is_none()
            })
            .map(|(key, _)| key)
            .collect();
        for key in idle {
            self.demands.remove(key);
        }
    }
}
