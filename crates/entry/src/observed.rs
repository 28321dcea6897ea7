//! The last probe result of each target: its reachability and load.

use {
    base::{Instant, key},
    route::Load,
    std::{
        collections::{HashMap, HashSet},
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Consecutive failed probes after which a target counts as unreachable; a single failure may come
/// from a busy target or a delay of this VM.
pub const UNREACHABLE_AFTER: u32 = 3;

/// The last probe of each target and the probes in progress.
#[derive(Debug, Default)]
pub struct Probes {
    last: Mutex<HashMap<key::Target, Probe>>,
    /// Targets with a probe in progress.
    pending: Mutex<HashSet<key::Target>>,
}

/// Result of the last probe of a target, and its last known load.
#[derive(Clone, Debug)]
pub struct Probe {
    /// When the probe ended.
    pub at: Instant,
    /// Failed probes since the last successful one.
    pub failures: u32,
    /// Load by the last report; `None` before the first.
    pub load: Option<Box<Load>>,
}

impl Probe {
    /// Returns whether the target counts as reachable.
    pub fn is_reachable(&self) -> bool {
        self.failures < UNREACHABLE_AFTER
    }
}

impl Probes {
    /// Starts a probe; returns false while an earlier probe of the target is in progress.
    pub fn start(&self, target: key::Target) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.insert(target)
    }

    /// Records the end of a probe and returns whether the target counts as reachable.
    ///
    /// A failed probe, without `load`, keeps the last report.
    pub fn record(&self, target: key::Target, at: Instant, load: Option<&Load>) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.remove(&target);
        drop(pending);
        let mut probes = self.lock();
        let previous = probes.remove(&target);
        let failures = previous.as_ref().map_or(0, |probe| probe.failures);
        let probe = Probe {
            at,
            failures: if load.is_some() { 0 } else { failures + 1 },
            load: load
                .map(|load| Box::new(load.clone()))
                .or(previous.and_then(|probe| probe.load)),
        };
        let reachable = probe.is_reachable();
        probes.insert(target, probe);
        reachable
    }

    /// Returns the last probe of a target.
    pub fn get(&self, target: key::Target) -> Option<Probe> {
        self.lock().get(&target).cloned()
    }

    /// Drops the probes of targets that are not in use any more.
    pub fn retain(&self, is_in_use: impl Fn(key::Target) -> bool) {
        self.lock().retain(|target, _| is_in_use(*target));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<key::Target, Probe>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
