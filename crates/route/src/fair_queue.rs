//! Start-time fair queueing by customer, under strict priorities.

use {
    crate::Request,
    base::{Instant, arena::Arena, key},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
    },
};

/// Virtual time units per token for a customer of weight 1.
const VIRTUAL_UNITS_PER_TOKEN: u64 = 1 << 16;

/// A queued request.
#[derive(Debug)]
pub struct Entry {
    /// The request.
    pub request: Box<Request>,
    /// When it was queued.
    pub queued_at: Instant,
    /// Cost of serving it, in prompt and expected output tokens.
    pub cost: u32,
    /// When it is refused, since a complete response could no longer meet the deadline.
    pub expires_at: Instant,
}

/// The flow that a request belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowKey {
    /// Priority of the class.
    pub priority: u8,
    /// The customer.
    pub customer: key::Customer,
}

/// Queued requests of one customer at one priority.
#[derive(Debug)]
struct Flow {
    waiting: VecDeque<Entry>,
    weight: u32,
    /// Start tag of the first request, in virtual time.
    start_tag: u64,
}

/// Flows of one priority.
#[derive(Debug, Default)]
struct Level {
    flows: BTreeMap<key::Customer, Flow>,
    /// Flows with queued requests, by start tag.
    by_start_tag: BTreeSet<(u64, key::Customer)>,
    /// Highest start tag of a request that was served.
    virtual_time: u64,
    /// Sum of the weights of flows with queued requests.
    active_weight: u64,
    queued: usize,
}

/// Queued requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<Reverse<u8>, Level>,
    flow_keys: Arena<key::Request, FlowKey>,
    expirations: BTreeSet<(Instant, key::Request)>,
}

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.flow_keys.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.flow_keys.is_empty()
    }

    /// Returns whether a request of this or a higher priority is queued.
    pub fn has_queued_at_or_above(&self, priority: u8) -> bool {
        let levels = self.levels.range(..=Reverse(priority));
        levels.into_iter().any(|(_, level)| level.queued > 0)
    }

    /// Estimates how many queued requests go before a new one of a flow.
    pub fn estimate_ahead(&self, key: FlowKey, weight: u32) -> f64 {
        let higher = self.levels.range(..Reverse(key.priority));
        let higher: usize = higher.map(|(_, level)| level.queued).sum();
        let Some(level) = self.levels.get(&Reverse(key.priority)) else {
            return higher as f64;
        };
        let flow = level.flows.get(&key.customer);
        let own_count = flow.map_or(0, |flow| flow.waiting.len());
        let added_weight = if own_count == 0 { weight } else { 0 };
        let rounds =
            (level.active_weight + u64::from(added_weight)) as f64 / f64::from(weight.max(1));
        let fair_estimate = (own_count + 1) as f64 * rounds - 1.0;
        higher as f64 + fair_estimate.clamp(own_count as f64, level.queued as f64)
    }

    /// Appends a request to its flow.
    pub fn push(&mut self, key: FlowKey, weight: u32, entry: Entry) {
        let request = entry.request.key;
        self.expirations.insert((entry.expires_at, request));
        self.flow_keys.insert(request, key);
        let level = self.levels.entry(Reverse(key.priority)).or_default();
        level.push(key.customer, weight.max(1), entry);
    }

    /// Iterates over the first request of each flow, in the order of service.
    pub fn heads(&self) -> impl Iterator<Item = (FlowKey, &Entry)> {
        self.levels.iter().flat_map(|(&Reverse(priority), level)| {
            level.by_start_tag.iter().filter_map(move |&(_, customer)| {
                let head = level.flows.get(&customer)?.waiting.front()?;
                Some((FlowKey { priority, customer }, head))
            })
        })
    }

    /// Removes the first request of a flow and charges the flow for its cost.
    pub fn pop(&mut self, key: FlowKey) -> Option<Entry> {
        let level = self.levels.get_mut(&Reverse(key.priority))?;
        let entry = level.pop(key.customer)?;
        self.unindex(&entry);
        Some(entry)
    }

    /// Removes a request without charging its flow.
    pub fn remove(&mut self, request: key::Request) -> Option<Entry> {
        let key = *self.flow_keys.get(request)?;
        let level = self.levels.get_mut(&Reverse(key.priority))?;
        let entry = level.remove(key.customer, request)?;
        self.unindex(&entry);
        Some(entry)
    }

    /// Removes the next request whose expiry has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Entry> {
        let &(at, request) = self.expirations.first()?;
        if at > now {
            return None;
        }
        self.remove(request)
    }

    /// Returns when the next request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expirations.first().map(|(at, _)| *at)
    }

    fn unindex(&mut self, entry: &Entry) {
        let request = entry.request.key;
        self.flow_keys.remove(request);
        self.expirations.remove(&(entry.expires_at, request));
    }
}

impl Level {
    fn push(&mut self, customer: key::Customer, weight: u32, entry: Entry) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(customer).or_insert_with(|| Flow {
            waiting: VecDeque::new(),
            weight,
            start_tag: virtual_time,
        });
        if flow.waiting.is_empty() {
            flow.weight = weight;
            flow.start_tag = flow.start_tag.max(virtual_time);
            self.active_weight += u64::from(weight);
            self.by_start_tag.insert((flow.start_tag, customer));
        }
        flow.waiting.push_back(entry);
        self.queued += 1;
    }

    fn pop(&mut self, customer: key::Customer) -> Option<Entry> {
        let flow = self.flows.get_mut(&customer)?;
        let entry = flow.waiting.pop_front()?;
        self.queued -= 1;
        self.by_start_tag.remove(&(flow.start_tag, customer));
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag +=
            u64::from(entry.cost.max(1)) * VIRTUAL_UNITS_PER_TOKEN / u64::from(flow.weight);
        if flow.waiting.is_empty() {
            self.active_weight -= u64::from(flow.weight);
        } else {
            self.by_start_tag.insert((flow.start_tag, customer));
        }
        self.reset_if_empty();
        Some(entry)
    }

    fn remove(&mut self, customer: key::Customer, request: key::Request) -> Option<Entry> {
        let flow = self.flows.get_mut(&customer)?;
        let index = flow
            .waiting
            .iter()
            .position(|entry| entry.request.key == request)?;
        let entry = flow.waiting.remove(index)?;
        self.queued -= 1;
        if flow.waiting.is_empty() {
            self.by_start_tag.remove(&(flow.start_tag, customer));
            self.active_weight -= u64::from(flow.weight);
        }
        self.reset_if_empty();
        Some(entry)
    }

    /// Drops all flows once the level is empty, so that a new backlog starts with equal tags.
    fn reset_if_empty(&mut self) {
        if self.queued == 0 {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }
}
