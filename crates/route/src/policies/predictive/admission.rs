//! Admission: each arriving request is refused, dispatched to a target or queued.

use {
    super::{
        Attempt, Estimate, Predictive, RETRY_DELAY, SHARED_FLOW,
        choice::{Choice, Selector},
        engine::Requirements,
        refuse,
        settings::Mechanism,
    },
    crate::{
        Action, Decision, Request,
        fair_queue::{Entry, FlowKey},
        length::{Curve, Estimator, Group, bucket},
        memory::Profile,
    },
    base::{Instant, Reason, Refusal, key},
};

impl Predictive {
    pub(super) fn handle_arrival(
        &mut self,
        now: Instant,
        request: Box<Request>,
        actions: &mut Vec<Action>,
    ) {
        if let Err(refusal) = self.check_admission(now, &request) {
            let request = request.key;
            actions.push(Action::Refuse { request, refusal });
            return;
        }
        self.limiter.begin(request.customer);
        let estimate = self.estimate(&request);
        if !self.has_queued_before(&request)
            && let Some(choice) =
                self.select_target(now, &request, &estimate, self.settings.margin, None)
        {
            self.dispatch(now, &request, now, choice, &estimate, actions);
            return;
        }
        self.enqueue(now, request, &estimate, actions);
    }

    /// Refuses a request that no target can serve or that is over a limit.
    fn check_admission(&mut self, now: Instant, request: &Request) -> Result<(), Refusal> {
        if now >= request.deadline {
            return Err(refuse(
                Reason::Deadline,
                "the deadline has passed",
                RETRY_DELAY,
            ));
        }
        let is_servable = self
            .targets
            .iter_by_service(request.service)
            .any(|target| target.can_serve(request));
        if !is_servable {
            let message = "no target can take the request";
            return Err(refuse(Reason::NoTarget, message, RETRY_DELAY));
        }
        let Some(service) = self.services.get_mut(request.service) else {
            return Err(Refusal::not_run(
                Reason::NotFound,
                "the service is not known",
            ));
        };
        if !request.excluded.is_empty() {
            if service.budget.withdraw() {
                return Ok(());
            }
            let message = "the retry budget of the service is spent";
            return Err(refuse(Reason::TargetRefused, message, RETRY_DELAY));
        }
        service.budget.deposit(service.retry_share);
        let Some(customer) = self.snapshot.customers.get(request.customer) else {
            return Ok(());
        };
        self.limiter
            .admit(now, request.customer, customer, self.vms)
            .map_err(|delay| {
                refuse(
                    Reason::CustomerLimit,
                    "the customer is over its limit",
                    delay,
                )
            })
    }

    pub(super) fn estimate(&mut self, request: &Request) -> Estimate {
        let service = self.services.get(request.service);
        let class = service.and_then(|service| service.classes.get(request.class));
        let max_tokens = class.map_or(u32::MAX, |class| class.max_tokens);
        let max_tokens = max_tokens.min(request.max_tokens).max(1);
        let weight = self.customer_weight(request.customer);
        let group = Group {
            service: request.service,
            class: request.class,
            weight_class: Some(weight.max(1).ilog2() as u8),
        };
        if request.model.is_none() {
            return Estimate {
                group,
                max_tokens,
                mean_tokens: 0,
                median_tokens: 0,
                profile: Profile::default(),
            };
        }
        self.lengths
            .ensure_group(group, class.map_or(max_tokens, |class| class.max_tokens));
        let curve = self.lengths.curve(group);
        Estimate {
            group,
            max_tokens,
            mean_tokens: curve.map_or(0, |curve| curve.expected_remaining(0, max_tokens) as u32),
            median_tokens: curve.map_or(0, |curve| curve.median().min(max_tokens)),
            profile: curve.map_or_else(Profile::default, |curve| {
                Profile::predict(curve, request.prompt_tokens, 0, max_tokens)
            }),
        }
    }

    fn customer_weight(&self, customer: key::Customer) -> u32 {
        let customer = self.snapshot.customers.get(customer);
        customer.map_or(1, |customer| customer.weight)
    }

    pub(super) fn flow(&self, request: &Request) -> FlowKey {
        let service = self.services.get(request.service);
        let class = service.and_then(|service| service.classes.get(request.class));
        let is_fair = self.settings.is_enabled(Mechanism::Fairness);
        FlowKey {
            priority: class.map_or(0, |class| class.priority),
            customer: if is_fair {
                request.customer
            } else {
                SHARED_FLOW
            },
        }
    }

    /// Returns whether requests of the same or a higher priority are queued.
    fn has_queued_before(&self, request: &Request) -> bool {
        let priority = self.flow(request).priority;
        let service = self.services.get(request.service);
        service.is_some_and(|service| service.queue.has_queued_at_or_above(priority))
    }

    pub(super) fn select_target(
        &mut self,
        now: Instant,
        request: &Request,
        estimate: &Estimate,
        margin: f32,
        freed: Option<key::Target>,
    ) -> Option<Choice> {
        let service = self.services.get(request.service)?;
        let class = service.classes.get(request.class)?;
        let has_headroom = self.settings.is_enabled(Mechanism::Headroom);
        let selector = Selector {
            now,
            settings: &self.settings,
            seed: self.seed,
            data_centre: self.data_centre,
            targets: &self.targets,
            engines: &self.engines,
            service,
            prefixes: &self.prefixes,
            requirements: Requirements {
                profile: &estimate.profile,
                peer_curve: peer_curve(&self.lengths, estimate.group),
                capacity_share: if has_headroom {
                    class.capacity_share
                } else {
                    1.0
                },
                margin: if service.is_top_priority(request.class) {
                    0.0
                } else {
                    margin
                },
                uses_forecast: self.settings.is_enabled(Mechanism::Forecast),
                uses_quota: self.settings.is_enabled(Mechanism::Claim)
                    && !service.is_top_priority(request.class),
            },
        };
        selector.choose(request, freed, &mut self.random, &mut self.candidates)
    }

    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        request: &Request,
        queued_at: Instant,
        choice: Choice,
        estimate: &Estimate,
        actions: &mut Vec<Action>,
    ) {
        let target = choice.target;
        self.targets.begin(target);
        if let Some(engine) = self.engines.get_mut(target) {
            engine.begin(now, request.prompt_tokens, &estimate.profile);
        }
        if let Some(service) = self.services.get_mut(request.service)
            && let Some(class) = service.classes.get_mut(request.class)
        {
            class.in_flight += 1;
            class.rate.count(now);
        }
        for &prefix in &request.prefixes {
            self.prefixes.insert(now, prefix, target);
        }
        self.lengths
            .move_running(estimate.group, None, Some(bucket(0)));
        let attempt = Attempt {
            target,
            customer: request.customer,
            class: request.class,
            group: estimate.group,
            prompt_tokens: request.prompt_tokens,
            max_tokens: estimate.max_tokens,
            output_tokens: 0,
            profile: estimate.profile,
            started: now,
            last_token: now,
        };
        self.attempts.insert(request.key, attempt);
        let candidates = self.candidates.iter();
        actions.push(Action::Dispatch(Box::new(Decision {
            request: request.key,
            target,
            candidates: candidates
                .map(|candidate| (candidate.target, candidate.score))
                .collect(),
            cause: choice.cause,
            waited: now.since(queued_at),
            expected_tokens: estimate.mean_tokens,
        })));
    }

    /// Queues a request, or refuses it at once if its predicted wait passes the deadline.
    fn enqueue(
        &mut self,
        now: Instant,
        request: Box<Request>,
        estimate: &Estimate,
        actions: &mut Vec<Action>,
    ) {
        let flow = self.flow(&request);
        let weight = self.customer_weight(request.customer);
        let refuses_early = self.settings.is_enabled(Mechanism::Refusal);
        let Some(service) = self.services.get_mut(request.service) else {
            return;
        };
        let ahead = service.queue.estimate_ahead(flow, weight) + 1.0;
        let mean = service.expected_duration(request.class, estimate.mean_tokens);
        let wait = service.expected_wait(now, request.class, ahead, mean);
        // With the median, a request is refused if it would more likely than not miss its deadline.
        let duration = service.expected_duration(request.class, estimate.median_tokens);
        let excess = (now + wait + duration).since(request.deadline);
        if refuses_early && !excess.is_zero() {
            self.limiter.end(request.customer);
            let message = "the predicted wait passes the deadline";
            actions.push(Action::Refuse {
                request: request.key,
                refusal: refuse(Reason::Overloaded, message, excess.max(RETRY_DELAY)),
            });
            return;
        }
        let expires_at = if refuses_early {
            let remaining = request.deadline.since(now).saturating_sub(duration);
            now + remaining
        } else {
            request.deadline
        };
        let entry = Entry {
            cost: request.prompt_tokens.saturating_add(estimate.mean_tokens),
            request,
            queued_at: now,
            expires_at,
        };
        service.queue.push(flow, weight, entry);
    }
}

/// Returns the length curve assumed for requests that other VMs sent to the same service.
fn peer_curve(lengths: &Estimator, group: Group) -> Option<&Curve> {
    lengths.curve(group.all_customers())
}
