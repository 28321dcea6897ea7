//! What this VM last saw of each target, for operators.

use {
    base::{Instant, key},
    route::Load,
    std::{
        collections::{HashMap, HashSet},
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Probes without an answer in a row after which a target counts as unreachable; a single one may
/// be a busy target or this VM's own delay.
pub const UNREACHABLE_AFTER: u32 = 3;

/// The last probe of each target.
#[derive(Debug, Default)]
pub struct Observed {
    probes: Mutex<HashMap<key::Target, Probe>>,
    /// Targets that are being asked now.
    pending: Mutex<HashSet<key::Target>>,
}

/// What a target answered.
#[derive(Clone, Debug)]
pub struct Probe {
    /// When it answered, or did not.
    pub at: Instant,
    /// Probes without an answer since the last one with an answer.
    pub failures: u32,
    /// Its load by the last report; `None` before the first.
    pub load: Option<Box<Load>>,
}

impl Probe {
    /// Returns whether the target counts as reachable.
    pub fn is_reachable(&self) -> bool {
        self.failures < UNREACHABLE_AFTER
    }
}

impl Observed {
    /// Begins a probe; returns false while an earlier one of the target has not ended.
    pub fn begin(&self, target: key::Target) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.insert(target)
    }

    /// Notes the end of a probe and returns whether the target counts as reachable; one that does not answer
    /// keeps its last report.
    pub fn note(&self, target: key::Target, at: Instant, load: Option<&Load>) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.remove(&target);
        drop(pending);
        let mut probes = self.lock();
        let former = probes.remove(&target);
        let failures = former.as_ref().map_or(0, |probe| probe.failures);
        let probe = Probe {
            at,
            failures: if load.is_some() { 0 } else { failures + 1 },
            load: load
                .map(|load| Box::new(load.clone()))
                .or(former.and_then(|probe| probe.load)),
        };
        let reachable = probe.is_reachable();
        probes.insert(target, probe);
        reachable
    }

    /// Returns the last probe of a target.
    pub fn get(&self, target: key::Target) -> Option<Probe> {
        self.lock().get(&target).cloned()
    }

    /// Forgets targets that are not in force any more.
    pub fn retain(&self, is_in_force: impl Fn(key::Target) -> bool) {
        self.lock().retain(|target, _| is_in_force(*target));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<key::Target, Probe>> {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
