//! Attempts under way: tokens, ends, and what they say of the target.

use {
    super::{Predictive, Running, settings::Mechanism},
    crate::{
        Action, Outcome,
        length::bucket,
        memory::Profile,
        outlier::{Health, may_eject},
    },
    base::{Instant, key},
};

impl Predictive {
    pub(super) fn progress(&mut self, now: Instant, request: key::Request, tokens: u32) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let before = bucket(running.produced);
        let first = running.produced == 0;
        let took = now.since(running.last_token);
        running.produced += tokens;
        running.last_token = now;
        let after = bucket(running.produced);
        if let Some(engine) = self.engines.get_mut(running.target) {
            engine.usage.grow(now, tokens);
            if first {
                engine.health.first_token(now);
            } else {
                engine.health.progress(now, tokens, took);
            }
        }
        if !first && let Some(lane) = self.lanes.get_mut(running.group.service) {
            lane.observe_gap(tokens, took);
        }
        if before == after {
            return;
        }
        self.lengths
            .advance(running.group, Some(before), Some(after));
        let Some(curve) = self.lengths.curve(running.group) else {
            return;
        };
        let profile = Profile::of(curve, running.prompt, running.produced, running.limit);
        if let Some(engine) = self.engines.get_mut(running.target) {
            engine.usage.update(&running.profile, &profile);
        }
        running.profile = profile;
    }

    pub(super) fn end(
        &mut self,
        now: Instant,
        request: key::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        self.targets.end(running.target);
        self.limit.end(running.customer);
        self.observe(now, &running, outcome);
        if let Some(engine) = self.engines.get_mut(running.target) {
            let tokens = running.prompt.saturating_add(running.produced);
            engine.end(now, tokens, &running.profile);
            if running.produced > 0 {
                engine.health.end_stream();
            }
        }
        self.judge(now, running.target, outcome);
        let service = running.group.service;
        self.drain(now, service, Some(running.target), actions);
    }

    /// Learns lengths and durations from an attempt that ended.
    fn observe(&mut self, now: Instant, running: &Running, outcome: Outcome) {
        self.lengths
            .advance(running.group, Some(bucket(running.produced)), None);
        if running.produced > 0 {
            // What reached the caller's limit would have gone on.
            let whole = outcome == Outcome::Complete && running.produced < running.limit;
            self.lengths.observe(running.group, running.produced, whole);
        }
        let Some(lane) = self.lanes.get_mut(running.group.service) else {
            return;
        };
        if outcome == Outcome::Leaving {
            lane.budget.give_back();
        }
        let Some(class) = lane.classes.get_mut(running.class) else {
            return;
        };
        class.in_flight = class.in_flight.saturating_sub(1);
        if outcome == Outcome::Complete {
            class.observe(now.since(running.started));
        }
    }

    /// Learns the health of a target from how an attempt ended.
    pub(super) fn judge(&mut self, now: Instant, target: key::Target, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        match outcome {
            Outcome::Complete => engine.health.succeed(),
            Outcome::Cancelled | Outcome::Refused => engine.health.pass(),
            Outcome::Leaving => self.targets.set_leaving(target, true),
            Outcome::Failed => {
                if engine.health.fail() {
                    self.eject(now, target);
                }
            }
        }
    }

    /// Takes a target out of use for a while, unless too few would stay.
    pub(super) fn eject(&mut self, now: Instant, target: key::Target) {
        if !self.settings.has(Mechanism::Outlier) {
            return;
        }
        let Some(service) = self.targets.get(target).map(|target| target.service) else {
            return;
        };
        let others = self
            .targets
            .iter_service(service)
            .filter(|other| other.key != target && other.is_usable());
        let (mut targets, mut ejected) = (1, 0);
        for other in others {
            targets += 1;
            let health = self.engines.get(other.key).map(|engine| &engine.health);
            ejected += usize::from(health.is_some_and(Health::is_ejected));
        }
        if may_eject(ejected, targets)
            && let Some(engine) = self.engines.get_mut(target)
        {
            engine.health.eject(now);
        }
    }

    pub(super) fn withdraw(&mut self, request: key::Request) {
        for (_, lane) in self.lanes.iter_mut() {
            if let Some(waiting) = lane.queue.remove(request) {
                self.limit.end(waiting.request.customer);
                return;
            }
        }
    }
}
