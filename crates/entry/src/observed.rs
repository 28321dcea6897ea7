//! What this VM last saw of each target, for operators.

use {
    base::{Instant, key},
    route::Load,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// The last probe of each target.
#[derive(Debug, Default)]
pub struct Observed {
    probes: Mutex<HashMap<key::Target, Probe>>,
}

/// What a target answered.
#[derive(Clone, Debug)]
pub struct Probe {
    /// When it answered, or did not.
    pub at: Instant,
    /// Whether it could be reached.
    pub is_reachable: bool,
    /// Its load by the last report; `None` before the first.
    pub load: Option<Box<Load>>,
}

impl Observed {
    /// Notes a probe; a target that can't be reached keeps its last report.
    pub fn note(&self, target: key::Target, at: Instant, load: Option<&Load>) {
        let mut probes = self.lock();
        let former = probes.remove(&target).and_then(|probe| probe.load);
        let probe = Probe {
            at,
            is_reachable: load.is_some(),
            load: load.map(|load| Box::new(load.clone())).or(former),
        };
        probes.insert(target, probe);
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
