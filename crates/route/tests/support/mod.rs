//! Runs a policy with a simulated clock, for tests and benchmarks.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use {
    base::{Instant, Refusal, key},
    config::{Snapshot, parse},
    mastictrail_route::{
        self as route, Action, Decision, Event, Load, Outcome, Policy, Request, policies,
    },
    std::{fmt::Write, sync::Arc, time::Duration},
};

/// The model service of the test deployment.
pub const SERVICE: &str = "kucharz";
/// Index of its class of short outputs and high priority.
pub const LOOKUP: usize = 0;
/// Index of its class of long outputs and low priority.
pub const DRAFT: usize = 1;

/// A deployment with one model service.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub targets: usize,
    pub concurrency: u32,
    pub memory: u64,
    pub headroom: f64,
    pub customers: Vec<(String, String)>,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            targets: 4,
            concurrency: 4,
            memory: 16_384,
            headroom: 0.25,
            customers: vec![("anna".into(), String::new())],
        }
    }
}

impl Deployment {
    pub fn snapshot(&self) -> Arc<Snapshot> {
        let mut text = format!(
            "[deployment]\nname = test\nversion = 1\n[data_centre a]\nregion = r\n\
             [model m]\nversion = 1\nweight = 1GiB\n\
             [service {SERVICE}]\nkind = model\nmodels = m\ndeadline = 60s\n\
             [class {SERVICE} lookup]\npriority = 5\nmax_tokens = 256\nheadroom = {}\n\
             [class {SERVICE} draft]\npriority = 1\nmax_tokens = 16384\n",
            self.headroom
        );
        for index in 0..self.targets {
            writeln!(
                text,
                "[target t{index}]\nservice = {SERVICE}\ndata_centre = a\n\
                 address = 127.0.0.1:{}\nmemory_tokens = {}\nconcurrency = {}",
                9000 + index,
                self.memory,
                self.concurrency
            )
            .expect("writing to a String can't fail");
        }
        for (index, (name, settings)) in self.customers.iter().enumerate() {
            writeln!(
                text,
                "[customer {name}]\nkey_sha256 = {index:064x}\n{settings}"
            )
            .expect("writing to a String can't fail");
        }
        Arc::new(parse::snapshot("test", &text).expect("the deployment is valid"))
    }
}

/// A policy and the simulated time at which it handles events.
#[derive(Debug)]
pub struct Harness {
    pub policy: Box<dyn Policy>,
    pub now: Instant,
    request_count: u64,
}

impl Harness {
    pub fn new(policy: &str, seed: u64, deployment: &Deployment) -> Self {
        let data_centre = key::DataCentre::of("a");
        let policy = policies::make(policy, seed, data_centre).expect("the policy is known");
        Self::with_policy(policy, deployment)
    }

    pub fn with_policy(policy: Box<dyn Policy>, deployment: &Deployment) -> Self {
        let mut harness = Self {
            policy,
            now: Instant::default() + Duration::from_secs(1),
            request_count: 0,
        };
        harness.handle(Event::Configuration(deployment.snapshot()));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        route::policy::step(&mut *self.policy, self.now, event)
    }

    pub fn advance(&mut self, duration: Duration) -> Vec<Action> {
        self.now = self.now + duration;
        self.handle(Event::Tick)
    }

    pub fn request(&mut self, customer: &str, class: usize) -> Request {
        self.request_count += 1;
        Request {
            key: key::Request::from_raw(self.request_count),
            customer: key::Customer::of(customer),
            service: key::Service::of(SERVICE),
            class,
            model: Some(key::Model::of("m")),
            prompt_tokens: 128,
            max_tokens: 16_384,
            prefixes: Box::default(),
            deadline: self.now + Duration::from_secs(60),
            excluded: Vec::new(),
        }
    }

    pub fn arrive(&mut self, customer: &str, class: usize) -> (key::Request, Vec<Action>) {
        let request = self.request(customer, class);
        (request.key, self.handle(Event::Arrived(Box::new(request))))
    }

    pub fn end(&mut self, request: key::Request, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::Ended { request, outcome })
    }

    /// Runs one request from arrival to a complete response of `tokens` tokens.
    pub fn run(&mut self, customer: &str, class: usize, tokens: u32) -> Option<key::Target> {
        let (request, actions) = self.arrive(customer, class);
        let target = dispatched(&actions).first()?.target;
        for _ in 0..tokens {
            self.now = self.now + Duration::from_millis(20);
            self.handle(Event::Progress { request, tokens: 1 });
        }
        self.end(request, Outcome::Complete);
        Some(target)
    }

    pub fn report(&mut self, target: usize, load: Load) -> Vec<Action> {
        self.handle(Event::Report {
            target: target_key(target),
            load: Box::new(load),
        })
    }
}

pub fn target_key(index: usize) -> key::Target {
    key::Target::of(&format!("t{index}"))
}

pub fn dispatched(actions: &[Action]) -> Vec<&Decision> {
    let decisions = actions.iter().filter_map(|action| match action {
        Action::Dispatch(decision) => Some(&**decision),
        Action::Refuse { .. } => None,
    });
    decisions.collect()
}

pub fn refused(actions: &[Action]) -> Vec<(key::Request, &Refusal)> {
    let refusals = actions.iter().filter_map(|action| match action {
        Action::Refuse { request, refusal } => Some((*request, refusal)),
        Action::Dispatch(_) => None,
    });
    refusals.collect()
}
