//! Dispatch of queued requests: which one is next, and with what memory margin.

use {
    super::{Estimate, MAX_HEADS, Predictive, choice::Choice, settings::Settings},
    crate::{
        Action,
        fair_queue::{Entry, FlowKey, Queue},
    },
    base::{Instant, key},
};

impl Predictive {
    /// Dispatches queued requests of a service while there is capacity.
    ///
    /// `freed` is a target that has just gained free capacity.
    pub(super) fn dispatch_queued(
        &mut self,
        now: Instant,
        service: key::Service,
        freed: Option<key::Target>,
        actions: &mut Vec<Action>,
    ) {
        while let Some((flow, choice, estimate)) = self.next_dispatch(now, service, freed) {
            let queue = self.services.get_mut(service).map(|state| &mut state.queue);
            let Some(entry) = queue.and_then(|queue| queue.pop(flow)) else {
                return;
            };
            let queued_at = entry.queued_at;
            self.dispatch(now, &entry.request, queued_at, choice, &estimate, actions);
        }
    }

    /// Returns the next queued request that can be dispatched, and its target.
    fn next_dispatch(
        &mut self,
        now: Instant,
        service: key::Service,
        freed: Option<key::Target>,
    ) -> Option<(FlowKey, Choice, Estimate)> {
        let queue = std::mem::take(&mut self.services.get_mut(service)?.queue);
        let next = self.first_dispatchable(now, &queue, freed);
        self.services.get_mut(service)?.queue = queue;
        next
    }

    /// Returns the first flow whose head can be dispatched, in the order of service.
    ///
    /// A head that may run on the freed target but has no room there is not overtaken.
    fn first_dispatchable(
        &mut self,
        now: Instant,
        queue: &Queue,
        freed: Option<key::Target>,
    ) -> Option<(FlowKey, Choice, Estimate)> {
        for (flow, entry) in queue.heads().take(MAX_HEADS) {
            let request = &entry.request;
            let estimate = self.estimate(request);
            let margin = self.margin(now, entry);
            if let Some(choice) = self.select_target(now, request, &estimate, margin, freed) {
                return Some((flow, choice, estimate));
            }
            let target = freed.and_then(|freed| self.targets.get(freed));
            if target.is_none_or(|target| target.can_serve(request)) {
                return None;
            }
        }
        None
    }

    /// Returns the memory margin for a queued request; it shrinks as its queueing time runs out.
    fn margin(&self, now: Instant, entry: &Entry) -> f32 {
        let waited = now.since(entry.queued_at).as_secs_f32();
        let allowed = entry.expires_at.since(entry.queued_at).as_secs_f32();
        let remaining = 1.0 - waited / allowed.max(f32::MIN_POSITIVE);
        let Settings {
            margin, min_margin, ..
        } = self.settings;
        min_margin + (margin - min_margin) * remaining.clamp(0.0, 1.0)
    }
}
