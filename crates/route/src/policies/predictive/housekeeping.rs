//! Load reports and cache events of targets, and the work done at each tick.

use {
    super::{HOUSEKEEPING_INTERVAL, Predictive, RETRY_DELAY, refuse},
    crate::{Action, Load},
    base::{Instant, Reason, key},
    rand::Rng,
};

impl Predictive {
    pub(super) fn handle_report(
        &mut self,
        now: Instant,
        key: key::Target,
        load: Load,
        actions: &mut Vec<Action>,
    ) {
        let rounding = self.random.random::<f64>();
        if let (Some(target), Some(engine)) = (self.targets.get(key), self.engines.get_mut(key)) {
            engine.apply_report(now, target, &load, self.vms, rounding);
        }
        self.targets.set_load(now, key, load);
        self.dispatch_queued_to(now, key, actions);
    }

    /// Dispatches queued requests to a target that may have gained free capacity.
    pub(super) fn dispatch_queued_to(
        &mut self,
        now: Instant,
        target: key::Target,
        actions: &mut Vec<Action>,
    ) {
        if let Some(service) = self.targets.get(target).map(|target| target.service) {
            self.dispatch_queued(now, service, Some(target), actions);
        }
    }

    pub(super) fn update_prefixes(
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
            self.prefixes.insert(now, prefix, target);
        }
    }

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.since(self.last_housekeeping) >= HOUSEKEEPING_INTERVAL {
            self.last_housekeeping = now;
            self.run_housekeeping(now);
        }
        self.refuse_expired(now, actions);
        let services: Vec<_> = self.services.keys().collect();
        for service in services {
            self.dispatch_queued(now, service, None, actions);
        }
    }

    /// Refuses queued requests that could no longer be answered in full by their deadline.
    fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (_, service) in self.services.iter_mut() {
            while let Some(entry) = service.queue.pop_expired(now) {
                self.limiter.end(entry.request.customer);
                let message = "no target became free in time for a whole answer";
                actions.push(Action::Refuse {
                    request: entry.request.key,
                    refusal: refuse(Reason::Overloaded, message, RETRY_DELAY),
                });
            }
        }
    }

    /// Drops expired state and ejects targets whose streams have stalled.
    fn run_housekeeping(&mut self, now: Instant) {
        self.limiter.expire(now);
        let mut stalled = Vec::new();
        for (key, engine) in self.engines.iter_mut() {
            engine.usage.expire(now);
            if engine.health.is_stalled(now) {
                stalled.push(key);
            }
        }
        for target in stalled {
            self.eject(now, target);
        }
    }
}
