//! Progress and end of attempts, which update length estimates and the health of targets.

use {
    super::{Attempt, Predictive, settings::Mechanism},
    crate::{
        Action, Outcome,
        length::bucket,
        memory::Profile,
        outlier::{Health, may_eject},
    },
    base::{Instant, key},
};

impl Predictive {
    pub(super) fn handle_progress(&mut self, now: Instant, request: key::Request, tokens: u32) {
        let Some(attempt) = self.attempts.get_mut(request) else {
            return;
        };
        let old_bucket = bucket(attempt.output_tokens);
        let is_first = attempt.output_tokens == 0;
        let elapsed = now.since(attempt.last_token);
        attempt.output_tokens += tokens;
        attempt.last_token = now;
        let new_bucket = bucket(attempt.output_tokens);
        if let Some(engine) = self.engines.get_mut(attempt.target) {
            engine.usage.add_tokens(now, tokens);
            if is_first {
                engine.health.record_first_token(now);
            } else {
                engine.health.record_tokens(now, tokens, elapsed);
            }
        }
        if !is_first && let Some(service) = self.services.get_mut(attempt.group.service) {
            service.record_inter_token_time(tokens, elapsed);
        }
        if old_bucket == new_bucket {
            return;
        }
        self.lengths
            .move_running(attempt.group, Some(old_bucket), Some(new_bucket));
        let Some(curve) = self.lengths.curve(attempt.group) else {
            return;
        };
        let profile = Profile::predict(
            curve,
            attempt.prompt_tokens,
            attempt.output_tokens,
            attempt.max_tokens,
        );
        if let Some(engine) = self.engines.get_mut(attempt.target) {
            engine.usage.replace_profile(&attempt.profile, &profile);
        }
        attempt.profile = profile;
    }

    pub(super) fn handle_end(
        &mut self,
        now: Instant,
        request: key::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(request) else {
            return;
        };
        self.targets.end(attempt.target);
        self.limiter.end(attempt.customer);
        self.update_estimates(now, &attempt, outcome);
        if let Some(engine) = self.engines.get_mut(attempt.target) {
            let tokens = attempt.prompt_tokens.saturating_add(attempt.output_tokens);
            engine.end(now, tokens, &attempt.profile);
            if attempt.output_tokens > 0 {
                engine.health.end_stream();
            }
        }
        self.update_health(now, attempt.target, outcome);
        let service = attempt.group.service;
        self.dispatch_queued(now, service, Some(attempt.target), actions);
    }

    /// Updates length and duration estimates from an attempt that ended.
    fn update_estimates(&mut self, now: Instant, attempt: &Attempt, outcome: Outcome) {
        self.lengths
            .move_running(attempt.group, Some(bucket(attempt.output_tokens)), None);
        if attempt.output_tokens > 0 {
            // An output that reached the token limit is censored: it would have gone on.
            let is_complete =
                outcome == Outcome::Complete && attempt.output_tokens < attempt.max_tokens;
            self.lengths
                .observe(attempt.group, attempt.output_tokens, is_complete);
        }
        let Some(service) = self.services.get_mut(attempt.group.service) else {
            return;
        };
        if outcome == Outcome::Leaving {
            service.budget.refund();
        }
        let Some(class) = service.classes.get_mut(attempt.class) else {
            return;
        };
        class.in_flight = class.in_flight.saturating_sub(1);
        if outcome == Outcome::Complete {
            class.record_duration(now.since(attempt.started));
        }
    }

    /// Updates a target's health from the outcome of an attempt, or marks the target as leaving.
    pub(super) fn update_health(&mut self, now: Instant, target: key::Target, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        match outcome {
            Outcome::Complete => engine.health.record_success(),
            Outcome::Cancelled | Outcome::Refused => engine.health.record_neutral(),
            Outcome::Leaving => self.targets.set_leaving(target, true),
            Outcome::Failed => {
                if engine.health.record_failure() {
                    self.eject(now, target);
                }
            }
        }
    }

    /// Ejects a target for a while, unless too few of the service's targets would stay in use.
    pub(super) fn eject(&mut self, now: Instant, target: key::Target) {
        if !self.settings.is_enabled(Mechanism::Outlier) {
            return;
        }
        let Some(service) = self.targets.get(target).map(|target| target.service) else {
            return;
        };
        let others = self
            .targets
            .iter_by_service(service)
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

    pub(super) fn cancel_queued(&mut self, request: key::Request) {
        for (_, service) in self.services.iter_mut() {
            if let Some(entry) = service.queue.remove(request) {
                self.limiter.end(entry.request.customer);
                return;
            }
        }
    }
}
