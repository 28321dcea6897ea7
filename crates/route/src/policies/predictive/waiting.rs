//! Waiting requests: who is next, and with what margin.

use {
    super::{Estimate, HEADS, Predictive, choice::Choice, settings::Settings},
    crate::{
        Action,
        fair_queue::{Place, Queue, Waiting},
    },
    base::{Instant, key},
};

impl Predictive {
    /// Sends waiting requests of a service while there is room; `free` has just got some.
    pub(super) fn drain(
        &mut self,
        now: Instant,
        service: key::Service,
        free: Option<key::Target>,
        actions: &mut Vec<Action>,
    ) {
        while let Some((place, choice, estimate)) = self.next(now, service, free) {
            let queue = self.lanes.get_mut(service).map(|lane| &mut lane.queue);
            let Some(waiting) = queue.and_then(|queue| queue.pop(place)) else {
                return;
            };
            let since = waiting.since;
            self.dispatch(now, &waiting.request, since, choice, &estimate, actions);
        }
    }

    /// Finds the next waiting request that has a target.
    fn next(
        &mut self,
        now: Instant,
        service: key::Service,
        free: Option<key::Target>,
    ) -> Option<(Place, Choice, Estimate)> {
        let queue = std::mem::take(&mut self.lanes.get_mut(service)?.queue);
        let next = self.next_of(now, &queue, free);
        self.lanes.get_mut(service)?.queue = queue;
        next
    }

    /// Tries the heads in order; one that may run on the free target but has no room there is
    /// not overtaken.
    fn next_of(
        &mut self,
        now: Instant,
        queue: &Queue,
        free: Option<key::Target>,
    ) -> Option<(Place, Choice, Estimate)> {
        for (place, waiting) in queue.heads().take(HEADS) {
            let request = &waiting.request;
            let estimate = self.estimate(request);
            let margin = self.margin(now, waiting);
            if let Some(choice) = self.choose(now, request, &estimate, margin, free) {
                return Some((place, choice, estimate));
            }
            let target = free.and_then(|free| self.targets.get(free));
            if target.is_none_or(|target| target.suits(request)) {
                return None;
            }
        }
        None
    }

    /// Returns the margin for a waiting request: it shrinks as the time to wait runs out.
    fn margin(&self, now: Instant, waiting: &Waiting) -> f32 {
        let waited = now.since(waiting.since).as_secs_f32();
        let allowed = waiting.give_up.since(waiting.since).as_secs_f32();
        let left = 1.0 - waited / allowed.max(f32::MIN_POSITIVE);
        let Settings {
            margin,
            least_margin,
            ..
        } = self.settings;
        least_margin + (margin - least_margin) * left.clamp(0.0, 1.0)
    }
}
