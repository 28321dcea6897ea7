//! What a link does to the bytes that cross it.

use {
    super::{order::Change, source},
    crate::sync::{Signal, Waiter, lock},
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        sync::Mutex,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
};

/// How a link treats one source.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rule {
    pub refused: bool,
    pub blocked: bool,
    pub delay: Duration,
    /// Bytes a second; 0 for no bound.
    pub throttle: u64,
    /// Datagrams lost, in percent.
    pub drop: u64,
    /// Counts the orders to cut.
    pub cuts: u64,
    /// Counts the orders to silence.
    pub silences: u64,
}

/// One link, shared by its connections.
#[derive(Debug)]
pub(super) struct Link {
    /// The rule for all sources, and those for single ones.
    rules: Mutex<(Rule, BTreeMap<Box<str>, Rule>)>,
    changed: Signal,
    open: AtomicUsize,
    random: Mutex<SmallRng>,
}

impl Link {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rules: Mutex::default(),
            changed: Signal::default(),
            open: AtomicUsize::new(0),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Changes the rule for a source, or for all.
    pub(super) fn change(&self, change: &Change, source: Option<&str>) {
        {
            let mut rules = lock(&self.rules);
            let (common, single) = &mut *rules;
            if let Some(source) = source {
                apply(single.entry(source.into()).or_default(), change);
            } else {
                apply(common, change);
            }
            if source.is_none() && matches!(change, Change::Heal) {
                for rule in single.values_mut() {
                    apply(rule, change);
                }
            }
        }
        self.changed.notify();
    }

    /// Returns the rule that holds for a source.
    pub(super) fn rule(&self, source: Option<&str>) -> Rule {
        let rules = lock(&self.rules);
        let (common, single) = &*rules;
        let Some(own) = source.and_then(|source| single.get(source)) else {
            return *common;
        };
        Rule {
            refused: common.refused || own.refused,
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

    /// Returns a place in the row of those that the next change wakes.
    pub(super) fn waiter(&self) -> Waiter {
        self.changed.waiter()
    }

    /// Returns which of the sources with rules of their own sent a greeting.
    pub(super) fn source_of_greeting(&self, bytes: &[u8]) -> Option<Box<str>> {
        let rules = lock(&self.rules);
        let mut names = rules.1.keys();
        names.find(|name| source::greets(bytes, name)).cloned()
    }

    /// Returns which of the sources with rules of their own sent a datagram.
    pub(super) fn source_of_datagram(&self, bytes: &[u8]) -> Option<Box<str>> {
        let rules = lock(&self.rules);
        let mut names = rules.1.keys();
        names.find(|name| source::sent(bytes, name)).cloned()
    }

    /// Draws whether a datagram is lost.
    pub(super) fn loses(&self, rule: &Rule) -> bool {
        rule.drop > 0 && lock(&self.random).random_range(0..100) < rule.drop
    }

    /// Counts a connection that opens.
    pub(super) fn enter(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that closes.
    pub(super) fn leave(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
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
