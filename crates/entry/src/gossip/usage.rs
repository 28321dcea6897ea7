//! What this VM has on targets and what its customers ask, counted for the peers.

use {
    base::{Instant, key},
    fleet::{Event, event::DEMAND_WINDOW},
    std::collections::HashMap,
};

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    sent: u64,
    finished: u64,
    tokens: u64,
    changed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    requests: u32,
    in_flight: u32,
}

/// Counters by target and by customer.
#[derive(Debug, Default)]
pub struct Usage {
    targets: HashMap<key::Target, Use>,
    customers: HashMap<key::Customer, Demand>,
    window: Instant,
}

impl Usage {
    /// Counts a request that got a place on a target.
    pub fn start(&mut self, target: key::Target, customer: key::Customer, tokens: u64) {
        let used = self.target(target);
        used.sent += 1;
        used.tokens += tokens;
        let demand = self.customers.entry(customer).or_default();
        demand.requests += 1;
        demand.in_flight += 1;
    }

    /// Counts tokens that a request added to its context.
    pub fn grow(&mut self, target: key::Target, tokens: u64) {
        self.target(target).tokens += tokens;
    }

    /// Counts the end of a request.
    pub fn end(&mut self, target: key::Target, customer: key::Customer, tokens: u64) {
        let used = self.target(target);
        used.finished += 1;
        used.tokens = used.tokens.saturating_sub(tokens);
        let demand = self.customers.entry(customer).or_default();
        demand.in_flight = demand.in_flight.saturating_sub(1);
    }

    /// Returns what changed since the last call, and the demand at the end of each window.
    pub fn flush(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        for (&target, used) in &mut self.targets {
            if std::mem::take(&mut used.changed) {
                events.push(Event::Usage {
                    target,
                    sent: used.sent,
                    finished: used.finished,
                    tokens: used.tokens,
                });
            }
        }
        if now.since(self.window) >= DEMAND_WINDOW {
            self.window = now;
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

    fn target(&mut self, target: key::Target) -> &mut Use {
        let used = self.targets.entry(target).or_default();
        used.changed = true;
        used
    }
}
