//! Counters that this VM gossips to its peers: its usage of targets and its customers' demand.

use {
    base::{Instant, key},
    fleet::{Event, event::DEMAND_WINDOW},
    std::collections::HashMap,
};

/// Usage of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    /// Requests that were given a slot since the start of the process.
    sent: u64,
    /// Requests that ended since the start of the process.
    finished: u64,
    /// Context tokens of the requests in flight.
    tokens: u64,
    /// Whether a counter changed since the last flush.
    is_changed: bool,
}

/// Demand of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Requests since the start of the window.
    requests: u32,
    in_flight: u32,
}

/// Counters per target and per customer.
#[derive(Debug, Default)]
pub struct Usage {
    targets: HashMap<key::Target, Counters>,
    customers: HashMap<key::Customer, Demand>,
    window_start: Instant,
}

impl Usage {
    /// Counts a request that was given a slot on a target.
    pub fn start(&mut self, target: key::Target, customer: key::Customer, tokens: u64) {
        let counters = self.target(target);
        counters.sent += 1;
        counters.tokens += tokens;
        let demand = self.customers.entry(customer).or_default();
        demand.requests += 1;
        demand.in_flight += 1;
    }

    /// Counts tokens by which a request's context grew.
    pub fn add_tokens(&mut self, target: key::Target, tokens: u64) {
        self.target(target).tokens += tokens;
    }

    /// Counts the end of a request.
    pub fn end(&mut self, target: key::Target, customer: key::Customer, tokens: u64) {
        let counters = self.target(target);
        counters.finished += 1;
        counters.tokens = counters.tokens.saturating_sub(tokens);
        let demand = self.customers.entry(customer).or_default();
        demand.in_flight = demand.in_flight.saturating_sub(1);
    }

    /// Returns the usage that changed since the last call, and the demand once a window is over.
    pub fn flush(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        for (&target, counters) in &mut self.targets {
            if std::mem::take(&mut counters.is_changed) {
                events.push(Event::Usage {
                    target,
                    sent: counters.sent,
                    finished: counters.finished,
                    tokens: counters.tokens,
                });
            }
        }
        if now.since(self.window_start) >= DEMAND_WINDOW {
            self.window_start = now;
            self.flush_demand(&mut events);
        }
        events
    }

    fn flush_demand(&mut self, events: &mut Vec<Event>) {
        for (&customer, demand) in &mut self.customers {
            events.push(Event::Demand {
                customer,
                requests: std::mem::take(&mut demand.requests),
                in_flight: demand.in_flight,
            });
        }
        self.customers.retain(|_, demand| demand.in_flight > 0);
    }

    fn target(&mut self, target: key::Target) -> &mut Counters {
        let counters = self.targets.entry(target).or_default();
        counters.is_changed = true;
        counters
    }
}
