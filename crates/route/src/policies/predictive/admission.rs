//! A request arrives: it is refused, sent to a target or queued.

use {
    super::{
        COME_BACK, EVERYONE, Estimate, Predictive, Running,
        choice::{Choice, View},
        engine::Need,
        refuse,
        settings::Mechanism,
    },
    crate::{
        Action, Decision, Request,
        fair_queue::{Place, Waiting},
        length::{Book, Curve, Group, bucket},
        memory::Profile,
    },
    base::{Instant, Reason, Refusal, key},
};

impl Predictive {
    pub(super) fn arrive(
        &mut self,
        now: Instant,
        request: Box<Request>,
        actions: &mut Vec<Action>,
    ) {
        if let Err(refusal) = self.check(now, &request) {
            let request = request.key;
            actions.push(Action::Refuse { request, refusal });
            return;
        }
        self.limit.begin(request.customer);
        let estimate = self.estimate(&request);
        if !self.is_behind(&request)
            && let Some(choice) = self.choose(now, &request, &estimate, self.settings.margin, None)
        {
            self.dispatch(now, &request, now, choice, &estimate, actions);
            return;
        }
        self.enqueue(now, request, &estimate, actions);
    }

    /// Refuses what can't be served at all or is not allowed.
    fn check(&mut self, now: Instant, request: &Request) -> Result<(), Refusal> {
        if now >= request.deadline {
            return Err(refuse(
                Reason::Deadline,
                "the deadline has passed",
                COME_BACK,
            ));
        }
        let suited = self
            .targets
            .iter_service(request.service)
            .any(|target| target.suits(request));
        if !suited {
            let message = "no target can take the request";
            return Err(refuse(Reason::NoTarget, message, COME_BACK));
        }
        let Some(lane) = self.lanes.get_mut(request.service) else {
            return Err(Refusal::not_run(
                Reason::NotFound,
                "the service is not known",
            ));
        };
        if !request.excluded.is_empty() {
            if lane.budget.spend() {
                return Ok(());
            }
            let message = "the retry budget of the service is spent";
            return Err(refuse(Reason::TargetRefused, message, COME_BACK));
        }
        lane.budget.earn(lane.retry_share);
        let Some(customer) = self.snapshot.customers.get(request.customer) else {
            return Ok(());
        };
        self.limit
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
        let lane = self.lanes.get(request.service);
        let class = lane.and_then(|lane| lane.classes.get(request.class));
        let limit = class.map_or(u32::MAX, |class| class.max_tokens);
        let limit = limit.min(request.max_tokens).max(1);
        let weight = self.weight(request.customer);
        let group = Group {
            service: request.service,
            class: request.class,
            customers: Some(weight.max(1).ilog2() as u8),
        };
        if request.model.is_none() {
            return Estimate {
                group,
                limit,
                tokens: 0,
                median: 0,
                profile: Profile::default(),
            };
        }
        self.lengths
            .open(group, class.map_or(limit, |class| class.max_tokens));
        let curve = self.lengths.curve(group);
        Estimate {
            group,
            limit,
            tokens: curve.map_or(0, |curve| curve.rest(0, limit) as u32),
            median: curve.map_or(0, |curve| curve.median().min(limit)),
            profile: curve.map_or_else(Profile::default, |curve| {
                Profile::of(curve, request.prompt_tokens, 0, limit)
            }),
        }
    }

    fn weight(&self, customer: key::Customer) -> u32 {
        let customer = self.snapshot.customers.get(customer);
        customer.map_or(1, |customer| customer.weight)
    }

    pub(super) fn place(&self, request: &Request) -> Place {
        let lane = self.lanes.get(request.service);
        let class = lane.and_then(|lane| lane.classes.get(request.class));
        let fair = self.settings.has(Mechanism::Fairness);
        Place {
            priority: class.map_or(0, |class| class.priority),
            customer: if fair { request.customer } else { EVERYONE },
        }
    }

    /// Returns whether others wait that go before the request.
    fn is_behind(&self, request: &Request) -> bool {
        let priority = self.place(request).priority;
        let lane = self.lanes.get(request.service);
        lane.is_some_and(|lane| lane.queue.is_ahead(priority))
    }

    pub(super) fn choose(
        &mut self,
        now: Instant,
        request: &Request,
        estimate: &Estimate,
        margin: f32,
        first: Option<key::Target>,
    ) -> Option<Choice> {
        let lane = self.lanes.get(request.service)?;
        let class = lane.classes.get(request.class)?;
        let headroom = self.settings.has(Mechanism::Headroom);
        let view = View {
            now,
            settings: &self.settings,
            seed: self.seed,
            home: self.home,
            targets: &self.targets,
            engines: &self.engines,
            lane,
            prefixes: &self.prefixes,
            need: Need {
                profile: &estimate.profile,
                typical: typical(&self.lengths, estimate.group),
                share: if headroom { class.share } else { 1.0 },
                margin: if lane.is_first(request.class) {
                    0.0
                } else {
                    margin
                },
                forecast: self.settings.has(Mechanism::Forecast),
                claim: self.settings.has(Mechanism::Claim) && !lane.is_first(request.class),
            },
        };
        view.choose(request, first, &mut self.random, &mut self.candidates)
    }

    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        request: &Request,
        since: Instant,
        choice: Choice,
        estimate: &Estimate,
        actions: &mut Vec<Action>,
    ) {
        let target = choice.target;
        self.targets.begin(target);
        if let Some(engine) = self.engines.get_mut(target) {
            engine.begin(now, request.prompt_tokens, &estimate.profile);
        }
        if let Some(lane) = self.lanes.get_mut(request.service)
            && let Some(class) = lane.classes.get_mut(request.class)
        {
            class.in_flight += 1;
            class.rate.count(now);
        }
        for &prefix in &request.prefixes {
            self.prefixes.store(now, prefix, target);
        }
        self.lengths.advance(estimate.group, None, Some(bucket(0)));
        let running = Running {
            target,
            customer: request.customer,
            class: request.class,
            group: estimate.group,
            prompt: request.prompt_tokens,
            limit: estimate.limit,
            produced: 0,
            profile: estimate.profile,
            started: now,
            last_token: now,
        };
        self.running.insert(request.key, running);
        let candidates = self.candidates.iter();
        actions.push(Action::Dispatch(Box::new(Decision {
            request: request.key,
            target,
            candidates: candidates
                .map(|candidate| (candidate.target, candidate.score))
                .collect(),
            cause: choice.cause,
            waited: now.since(since),
            expected_tokens: estimate.tokens,
        })));
    }

    /// Queues a request, or refuses it at once if it would wait for too long.
    fn enqueue(
        &mut self,
        now: Instant,
        request: Box<Request>,
        estimate: &Estimate,
        actions: &mut Vec<Action>,
    ) {
        let place = self.place(&request);
        let weight = self.weight(request.customer);
        let refuses = self.settings.has(Mechanism::Refusal);
        let Some(lane) = self.lanes.get_mut(request.service) else {
            return;
        };
        let ahead = lane.queue.ahead(place, weight) + 1.0;
        let mean = lane.duration(request.class, estimate.tokens);
        let wait = lane.wait(now, request.class, ahead, mean);
        // Refused is what would more likely than not be late.
        let duration = lane.duration(request.class, estimate.median);
        let excess = (now + wait + duration).since(request.deadline);
        if refuses && !excess.is_zero() {
            self.limit.end(request.customer);
            let message = "the predicted wait passes the deadline";
            actions.push(Action::Refuse {
                request: request.key,
                refusal: refuse(Reason::Overloaded, message, excess.max(COME_BACK)),
            });
            return;
        }
        let give_up = if refuses {
            let left = request.deadline.since(now).saturating_sub(duration);
            now + left
        } else {
            request.deadline
        };
        let waiting = Waiting {
            cost: request.prompt_tokens.saturating_add(estimate.tokens),
            request,
            since: now,
            give_up,
        };
        lane.queue.push(place, weight, waiting);
    }
}

/// Returns the lengths by which requests of others on the same service are judged.
fn typical(lengths: &Book, group: Group) -> Option<&Curve> {
    lengths.curve(group.of_all())
}
