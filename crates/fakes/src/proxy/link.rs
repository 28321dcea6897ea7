//! Rules of a link: what it does to the data that passes it.

use {
    super::{order::Change, source},
    crate::sync::{Signal, Waiter, lock},
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        net::IpAddr,
        sync::Mutex,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
};

/// How a link treats the data of one source.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rule {
    pub refused: bool,
    /// Whether the connections are refused that are not open yet.
    pub is_closed: bool,
    pub blocked: bool,
    pub delay: Duration,
    /// Bytes per second; 0 for no limit.
    pub throttle: u64,
    /// Percentage of datagrams to drop.
    pub drop: u64,
    /// Number of `cut` and `refuse` commands; a connection closes when this grows.
    pub cuts: u64,
    /// Number of `silence` commands; a connection stops carrying data when this grows.
    pub silences: u64,
}

/// State of a link, shared by its connections.
#[derive(Debug)]
pub(super) struct Link {
    /// Rule for all sources, and additional rules by source.
    rules: Mutex<(Rule, BTreeMap<Box<str>, Rule>)>,
    changed: Signal,
    open_connections: AtomicUsize,
    random: Mutex<SmallRng>,
}

impl Link {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rules: Mutex::default(),
            changed: Signal::default(),
            open_connections: AtomicUsize::new(0),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Changes the rule of one source, or the common rule; a common `heal` heals every source too.
    pub(super) fn change(&self, change: &Change, source: Option<&str>) {
        {
            let mut rules = lock(&self.rules);
            let (common, by_source) = &mut *rules;
            if let Some(source) = source {
                apply(by_source.entry(source.into()).or_default(), change);
            } else {
                apply(common, change);
            }
            if source.is_none() && matches!(change, Change::Heal) {
                for rule in by_source.values_mut() {
                    apply(rule, change);
                }
            }
        }
        self.changed.notify();
    }

    /// Returns the rule for a source: the common rule combined with its own, if it has one.
    pub(super) fn rule(&self, source: Option<&str>) -> Rule {
        let rules = lock(&self.rules);
        let (common, by_source) = &*rules;
        let Some(own) = source.and_then(|source| by_source.get(source)) else {
            return *common;
        };
        Rule {
            refused: common.refused || own.refused,
            is_closed: common.is_closed || own.is_closed,
            blocked: common.blocked || own.blocked,
            delay: common.delay.max(own.delay),
            throttle: if own.throttle > 0 {
                own.throttle
            } else {
                common.throttle
            },
            drop: common.drop.max(own.drop),
            cuts: common.cuts + own.cuts,
            silences: common.silences + own.silences,
        }
    }

    /// Returns the address of a client, if it has a rule of its own.
    pub(super) fn address_source(&self, client: IpAddr) -> Option<Box<str>> {
        let client = client.to_string();
        let rules = lock(&self.rules);
        let mut names = rules.1.keys();
        names.find(|name| ***name == *client).cloned()
    }

    /// Registers for the next change of the rules.
    pub(super) fn waiter(&self) -> Waiter {
        self.changed.waiter()
    }

    /// Returns the source that sent a greeting, if it has a rule of its own.
    pub(super) fn greeting_source(&self, bytes: &[u8]) -> Option<Box<str>> {
        let rules = lock(&self.rules);
        let mut names = rules.1.keys();
        names
            .find(|name| source::is_greeting_from(bytes, name))
            .cloned()
    }

    /// Returns the source that sent a datagram, if it has a rule of its own.
    pub(super) fn datagram_source(&self, bytes: &[u8]) -> Option<Box<str>> {
        let rules = lock(&self.rules);
        let mut names = rules.1.keys();
        names
            .find(|name| source::is_datagram_from(bytes, name))
            .cloned()
    }

    /// Decides at random whether to drop a datagram.
    pub(super) fn drops_datagram(&self, rule: &Rule) -> bool {
        rule.drop > 0 && lock(&self.random).random_range(0..100) < rule.drop
    }

    /// Counts an opened connection.
    pub(super) fn connection_opened(&self) {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a closed connection.
    pub(super) fn connection_closed(&self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open connections.
    pub(super) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }
}

fn apply(rule: &mut Rule, change: &Change) {
    match *change {
        Change::Cut => rule.cuts += 1,
        Change::Silence => rule.silences += 1,
        Change::Refuse => {
            rule.refused = true;
            rule.cuts += 1;
        }
        Change::Close => rule.is_closed = true,
        Change::Block => rule.blocked = true,
        Change::Delay(delay) => rule.delay = delay,
        Change::Throttle(rate) => rule.throttle = rate,
        Change::Drop(percent) => rule.drop = percent,
        Change::Heal => {
            *rule = Rule {
                cuts: rule.cuts,
                silences: rule.silences,
                ..Rule::default()
            }
        }
    }
}
