//! Reports of targets, and what time alone brings about.

use {
    super::{COME_BACK, HOUSEKEEPING_STEP, Predictive, refuse},
    crate::{Action, Load},
    base::{Instant, Reason, key},
    rand::Rng,
};

impl Predictive {
    pub(super) fn report(
        &mut self,
        now: Instant,
        key: key::Target,
        load: Load,
        actions: &mut Vec<Action>,
    ) {
        let draw = self.random.random::<f64>();
        if let (Some(target), Some(engine)) = (self.targets.get(key), self.engines.get_mut(key)) {
            engine.report(now, target, &load, self.vms, draw);
        }
        self.targets.report(now, key, load);
        self.fill(now, key, actions);
    }

    /// Sends waiting requests to a target that may have got room.
    pub(super) fn fill(&mut self, now: Instant, target: key::Target, actions: &mut Vec<Action>) {
        if let Some(service) = self.targets.get(target).map(|target| target.service) {
            self.drain(now, service, Some(target), actions);
        }
    }

    pub(super) fn cache(
        &mut self,
        now: Instant,
        target: key::Target,
        stored: &[u64],
        removed: &[u64],
    ) {
        for &prefix in removed {
            self.prefixes.remove(prefix, target);
        }
        for &prefix in stored {
            self.prefixes.store(now, prefix, target);
        }
    }

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.since(self.cleaned) >= HOUSEKEEPING_STEP {
            self.cleaned = now;
            self.clean(now);
        }
        self.give_up(now, actions);
        let services: Vec<_> = self.lanes.keys().collect();
        for service in services {
            self.drain(now, service, None, actions);
        }
    }

    /// Refuses what could no longer be answered in time, before its deadline.
    fn give_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (_, lane) in self.lanes.iter_mut() {
            while let Some(waiting) = lane.queue.expire(now) {
                self.limit.end(waiting.request.customer);
                let message = "no target became free in time for a whole answer";
                actions.push(Action::Refuse {
                    request: waiting.request.key,
                    refusal: refuse(Reason::Overloaded, message, COME_BACK),
                });
            }
        }
    }

    /// Drops what is out of date and ejects targets whose streams fell silent.
    fn clean(&mut self, now: Instant) {
        self.limit.expire(now);
        let mut silent = Vec::new();
        for (key, engine) in self.engines.iter_mut() {
            engine.usage.expire(now);
            if engine.health.is_silent(now) {
                silent.push(key);
            }
        }
        for target in silent {
            self.eject(now, target);
        }
    }
}
