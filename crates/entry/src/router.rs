//! Asynchronous access to the routing policy: requests wait here for a slot on a target.

use {
    crate::{Context, gossip},
    base::{Instant, Reason, Refusal, key},
    derive_more::Debug,
    fleet::Observation,
    route::{Action, Decision, Event, Outcome, Policy},
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Interval of the policy's timer tick.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

type Answer = Result<Box<Decision>, Refusal>;

/// Admits requests and selects their targets; shared by all requests of the process.
///
/// The policy is one state machine behind a lock. A decision takes microseconds and a VM serves a
/// few requests per second, so the lock is not contended.
#[derive(Debug)]
pub struct Router {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    policy: Box<dyn Policy>,
    actions: Vec<Action>,
    waiting: HashMap<key::Request, Sender<Answer>>,
}

/// A slot on a target, released on drop.
///
/// A dropped grant counts as cancelled, unless [`Grant::end`] set another outcome.
#[derive(Debug)]
pub struct Grant {
    context: Arc<Context>,
    /// The decision that assigned the slot.
    pub decision: Box<Decision>,
    outcome: Outcome,
    customer: key::Customer,
    /// Context tokens that the request occupies on the target.
    tokens: AtomicU64,
}

/// A queued request; withdrawn from the queue if it is dropped before its decision arrives.
struct Waiter<'a> {
    context: &'a Context,
    request: key::Request,
    answer: Receiver<Answer>,
}

impl Router {
    /// Wraps a policy.
    pub fn new(policy: Box<dyn Policy>) -> Self {
        Self {
            state: Mutex::new(State {
                policy,
                actions: Vec::new(),
                waiting: HashMap::new(),
            }),
        }
    }

    /// Passes an event to the policy and performs the resulting actions.
    pub fn handle(&self, now: Instant, event: Event) {
        self.lock().handle(now, event);
    }

    /// Returns the number of requests that wait for a target.
    pub fn queued(&self) -> usize {
        self.lock().policy.queued()
    }

    /// Returns the name of the policy.
    pub fn policy(&self) -> &'static str {
        self.lock().policy.name()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue(&self, now: Instant, request: route::Request) -> Receiver<Answer> {
        let (sender, receiver) = bounded(1);
        let mut state = self.lock();
        state.waiting.insert(request.key, sender);
        state.handle(now, Event::Arrived(Box::new(request)));
        receiver
    }
}

impl State {
    fn handle(&mut self, now: Instant, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        let (request, answer) = match action {
            Action::Dispatch(decision) => (decision.request, Ok(decision)),
            Action::Refuse { request, refusal } => (request, Err(refusal)),
        };
        if let Some(waiting) = self.waiting.remove(&request) {
            let _ = waiting.try_send(answer);
        }
    }
}

/// Waits for a slot on a target.
///
/// # Errors
/// Returns the policy's refusal, or a [`Reason::Internal`] one if the router drops the request.
pub async fn acquire(context: &Arc<Context>, request: route::Request) -> Result<Grant, Refusal> {
    let (key, customer, model) = (request.key, request.customer, request.model);
    let (service, class) = (request.service, request.class);
    let tokens = u64::from(request.prompt_tokens);
    let waiter = Waiter {
        context,
        request: key,
        answer: context.router.enqueue(context.now(), request),
    };
    let answer = waiter.answer.recv().await;
    drop(waiter);
    let decision = answer.unwrap_or_else(|_closed| {
        Err(Refusal::not_run(
            Reason::Internal,
            "the router dropped the request",
        ))
    })?;
    let snapshot = context.snapshot();
    let service = snapshot.services.get(service);
    context
        .metrics
        .record_queue_wait(service, class, decision.waited);
    if let Some(model) = model {
        context.orders.count_request(model);
    }
    context
        .gossip
        .usage()
        .start(decision.target, customer, tokens);
    Ok(Grant {
        context: Arc::clone(context),
        decision,
        outcome: Outcome::Cancelled,
        customer,
        tokens: AtomicU64::new(tokens),
    })
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let router = &self.context.router;
        let now = self.context.now();
        let mut state = router.lock();
        if state.waiting.remove(&self.request).is_some() {
            state.handle(now, Event::Cancelled(self.request));
        } else if let Ok(Ok(decision)) = self.answer.try_recv() {
            state.handle(
                now,
                Event::Ended {
                    request: decision.request,
                    outcome: Outcome::Cancelled,
                },
            );
        }
    }
}

impl Grant {
    /// Records tokens that the target generated.
    pub fn add_tokens(&self, tokens: u32) {
        let request = self.decision.request;
        let added = u64::from(tokens);
        self.tokens.fetch_add(added, Ordering::Relaxed);
        self.context
            .gossip
            .usage()
            .add_tokens(self.decision.target, added);
        self.context
            .router
            .handle(self.context.now(), Event::Progress { request, tokens });
    }

    /// Releases the slot and reports the attempt's outcome to the policy.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Returns the chosen target.
    pub fn target(&self) -> key::Target {
        self.decision.target
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let target = self.decision.target;
        let tokens = self.tokens.load(Ordering::Relaxed);
        self.context
            .gossip
            .usage()
            .end(target, self.customer, tokens);
        if self.outcome == Outcome::Leaving {
            let observation = Observation::Refused;
            gossip::handle(
                &self.context,
                fleet::Event::TargetObserved {
                    target,
                    observation,
                },
            );
        }
        let event = Event::Ended {
            request: self.decision.request,
            outcome: self.outcome,
        };
        self.context.router.handle(self.context.now(), event);
    }
}

/// Ticks the policy until the process ends.
pub async fn tick(context: Arc<Context>) {
    loop {
        Timer::after(TICK_INTERVAL).await;
        context.router.handle(context.now(), Event::Tick);
    }
}

/// Logs a routing decision with its candidates' scores.
pub fn log_decision(exchange: &crate::Exchange, grant: &Grant) {
    let decision = &grant.decision;
    let snapshot = &exchange.deployment.snapshot;
    let name = |target| {
        let target = snapshot.targets.get(target);
        target.map_or("", |target| &*target.name)
    };
    let candidates = decision
        .candidates
        .iter()
        .map(|&(target, score)| format!("{}={score:.3}", name(target)))
        .collect::<Vec<_>>()
        .join(" ");
    let customer = snapshot.customers.get(exchange.customer);
    log::info!(
        target: "route", request:% = exchange.id,
        customer:% = customer.map_or("", |customer| &*customer.name),
        service:% = exchange.service().map_or("", |service| &*service.name),
        candidates:% = candidates, chosen:% = name(decision.target), cause:% = decision.cause,
        waited_ms = decision.waited.as_millis() as u64, expected_tokens = decision.expected_tokens,
        configuration_version = exchange.version();
        "dispatched"
    );
}
