//! Start-time fair queueing by customer, under strict priorities.

use {
    crate::Request,
    base::{Instant, arena::Arena, key},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
    },
};

/// Units of virtual time for one token of a customer of weight 1.
const TOKEN: u64 = 1 << 16;

/// A request that waits.
#[derive(Debug)]
pub struct Waiting {
    /// The request.
    pub request: Box<Request>,
    /// Since when it waits.
    pub since: Instant,
    /// Cost of serving it, in tokens.
    pub cost: u32,
    /// When it is given up: its answer could no longer be whole by its deadline.
    pub give_up: Instant,
}

/// Where a waiting request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Priority of its class.
    pub priority: u8,
    /// Its customer.
    pub customer: key::Customer,
}

/// The requests of one customer at one priority.
#[derive(Debug)]
struct Flow {
    waiting: VecDeque<Waiting>,
    weight: u32,
    /// Virtual time at which its first request may start.
    start: u64,
}

#[derive(Debug, Default)]
struct Level {
    flows: BTreeMap<key::Customer, Flow>,
    /// Flows with waiting requests by their start.
    order: BTreeSet<(u64, key::Customer)>,
    virtual_time: u64,
    weight: u64,
    queued: usize,
}

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<Reverse<u8>, Level>,
    places: Arena<key::Request, Place>,
    give_ups: BTreeSet<(Instant, key::Request)>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether a request waits at a priority or above.
    pub fn is_ahead(&self, priority: u8) -> bool {
        let levels = self.levels.range(..=Reverse(priority));
        levels.into_iter().any(|(_, level)| level.queued > 0)
    }

    /// Returns how many requests go before a new one of a customer, about.
    pub fn ahead(&self, place: Place, weight: u32) -> f64 {
        let higher = self.levels.range(..Reverse(place.priority));
        let higher: usize = higher.map(|(_, level)| level.queued).sum();
        let Some(level) = self.levels.get(&Reverse(place.priority)) else {
            return higher as f64;
        };
        let flow = level.flows.get(&place.customer);
        let own = flow.map_or(0, |flow| flow.waiting.len());
        let added = if own == 0 { weight } else { 0 };
        let turns = (level.weight + u64::from(added)) as f64 / f64::from(weight.max(1));
        let fair = (own + 1) as f64 * turns - 1.0;
        higher as f64 + fair.clamp(own as f64, level.queued as f64)
    }

    /// Adds a request at the end of its customer's flow.
    pub fn push(&mut self, place: Place, weight: u32, waiting: Waiting) {
        let request = waiting.request.key;
        self.give_ups.insert((waiting.give_up, request));
        self.places.insert(request, place);
        let level = self.levels.entry(Reverse(place.priority)).or_default();
        level.push(place.customer, weight.max(1), waiting);
    }

    /// Iterates over the first request of each flow, in the order of service.
    pub fn heads(&self) -> impl Iterator<Item = (Place, &Waiting)> {
        self.levels.iter().flat_map(|(&Reverse(priority), level)| {
            level.order.iter().filter_map(move |&(_, customer)| {
                let head = level.flows.get(&customer)?.waiting.front()?;
                Some((Place { priority, customer }, head))
            })
        })
    }

    /// Takes the first request of a flow and charges its customer.
    pub fn pop(&mut self, place: Place) -> Option<Waiting> {
        let level = self.levels.get_mut(&Reverse(place.priority))?;
        let waiting = level.pop(place.customer)?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// Takes a request out without charging its customer.
    pub fn remove(&mut self, request: key::Request) -> Option<Waiting> {
        let place = *self.places.get(request)?;
        let level = self.levels.get_mut(&Reverse(place.priority))?;
        let waiting = level.remove(place.customer, request)?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// Takes out the next request that is to be given up by now.
    pub fn expire(&mut self, now: Instant) -> Option<Waiting> {
        let &(at, request) = self.give_ups.first()?;
        if at > now {
            return None;
        }
        self.remove(request)
    }

    /// Returns when the next request is to be given up.
    pub fn next_give_up(&self) -> Option<Instant> {
        self.give_ups.first().map(|(at, _)| *at)
    }

    fn forget(&mut self, waiting: &Waiting) {
        let request = waiting.request.key;
        self.places.remove(request);
        self.give_ups.remove(&(waiting.give_up, request));
    }
}

impl Level {
    fn push(&mut self, customer: key::Customer, weight: u32, waiting: Waiting) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(customer).or_insert_with(|| Flow {
            waiting: VecDeque::new(),
            weight,
            start: virtual_time,
        });
        if flow.waiting.is_empty() {
            flow.weight = weight;
            flow.start = flow.start.max(virtual_time);
            self.weight += u64::from(weight);
            self.order.insert((flow.start, customer));
        }
        flow.waiting.push_back(waiting);
        self.queued += 1;
    }

    fn pop(&mut self, customer: key::Customer) -> Option<Waiting> {
        let flow = self.flows.get_mut(&customer)?;
        let waiting = flow.waiting.pop_front()?;
        self.queued -= 1;
        self.order.remove(&(flow.start, customer));
        self.virtual_time = self.virtual_time.max(flow.start);
        flow.start += u64::from(waiting.cost.max(1)) * TOKEN / u64::from(flow.weight);
        if flow.waiting.is_empty() {
            self.weight -= u64::from(flow.weight);
        } else {
            self.order.insert((flow.start, customer));
        }
        self.prune();
        Some(waiting)
    }

    fn remove(&mut self, customer: key::Customer, request: key::Request) -> Option<Waiting> {
        let flow = self.flows.get_mut(&customer)?;
        let index = flow
            .waiting
            .iter()
            .position(|waiting| waiting.request.key == request)?;
        let waiting = flow.waiting.remove(index)?;
        self.queued -= 1;
        if flow.waiting.is_empty() {
            self.order.remove(&(flow.start, customer));
            self.weight -= u64::from(flow.weight);
        }
        self.prune();
        Some(waiting)
    }

    /// Forgets all flows once nothing waits: a new backlog begins with equal claims.
    fn prune(&mut self) {
        if self.queued == 0 {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }
}
