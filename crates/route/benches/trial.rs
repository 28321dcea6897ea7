//! Compares policies on small simulated engines; a rough guide, not a measurement.
//!
//! `cargo bench -p mastictrail-route --bench trial -- SEED LOAD POLICY…`

#[path = "../tests/support/mod.rs"]
mod support;

use {
    base::key,
    mastictrail_route::{
        Action, Event, Load, Outcome, Policy,
        policies::{
            self,
            predictive::{Predictive, settings::Settings},
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    support::{DRAFT, Deployment, Harness, LOOKUP, target_key},
};

const VMS: usize = 4;
const ENGINES: usize = 10;
const MAX_BATCH: usize = 32;
const KV_CAPACITY: u32 = 6_144;
/// Duration of an engine step with an empty batch.
const BASE_STEP: Duration = Duration::from_millis(20);
/// Relative growth of the step duration per request in the batch.
const STEP_GROWTH: f64 = 0.02;
/// Time between two load reports, in base steps.
const REPORT_INTERVAL_STEPS: u64 = 25;
const REPORT_AGE: Duration = Duration::from_millis(500);
/// Time between two rounds of gossip, in base steps.
const GOSSIP_INTERVAL_STEPS: u64 = 150;
const ARRIVAL_SECONDS: u64 = 70;
/// Time without arrivals at the end, in which requests in flight finish.
const DRAIN_SECONDS: f64 = 70.0;
/// Prompt tokens prefilled in one step.
const PREFILL_CHUNK: u32 = 512;
const PROMPT_TOKENS: u32 = 192;
/// Approximate capacity of the engines in requests per second.
const CAPACITY: f64 = 80.0;
const LOOKUP_SHARE: f64 = 0.7;
/// Time between tokens above which a stream counts as stalled, in seconds.
const STALL_THRESHOLD: f64 = 0.25;

#[derive(Debug)]
struct SimulatedRequest {
    key: key::Request,
    vm: usize,
    class: usize,
    output_tokens: u32,
    output_length: u32,
    remaining_prefill: u32,
    arrival: f64,
    last_token: f64,
    stall_seconds: f64,
    deadline: f64,
    running: bool,
}

#[derive(Debug, Default)]
struct SimulatedEngine {
    requests: Vec<SimulatedRequest>,
    next_step: f64,
    preemptions: u64,
    reports: VecDeque<(f64, Load)>,
}

impl SimulatedRequest {
    fn context_tokens(&self) -> u32 {
        PROMPT_TOKENS + self.output_tokens
    }
}

impl SimulatedEngine {
    fn used_tokens(&self) -> u32 {
        let running = self.requests.iter().filter(|request| request.running);
        running.map(SimulatedRequest::context_tokens).sum()
    }

    fn batch_size(&self) -> usize {
        self.requests
            .iter()
            .filter(|request| request.running)
            .count()
    }

    /// Runs one engine step; returns the finished requests, and the requests that got a token.
    fn step(
        &mut self,
        now: f64,
        inter_token_times: &mut [Vec<f64>; 2],
    ) -> (Vec<SimulatedRequest>, Vec<(usize, key::Request)>) {
        self.requests.sort_by_key(|request| request.class);
        for index in 0..self.requests.len() {
            let fits = self.batch_size() < MAX_BATCH
                && self.used_tokens() + self.requests[index].context_tokens() < KV_CAPACITY;
            if !self.requests[index].running && !fits {
                break;
            }
            self.requests[index].running = true;
        }
        let mut progress = Vec::new();
        for request in self.requests.iter_mut().filter(|request| request.running) {
            if request.remaining_prefill > 0 {
                request.remaining_prefill = request.remaining_prefill.saturating_sub(PREFILL_CHUNK);
                continue;
            }
            request.output_tokens += 1;
            let inter_token_time = now - request.last_token;
            request.stall_seconds += (inter_token_time - STALL_THRESHOLD).max(0.0);
            if request.output_tokens > 1 {
                inter_token_times[request.class].push(inter_token_time);
            }
            request.last_token = now;
            progress.push((request.vm, request.key));
        }
        let (finished, requests) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|request| request.output_tokens >= request.output_length);
        self.requests = requests;
        while self.used_tokens() > KV_CAPACITY {
            let Some(victim) = self
                .requests
                .iter_mut()
                .rev()
                .find(|request| request.running)
            else {
                break;
            };
            victim.running = false;
            victim.remaining_prefill = victim.context_tokens();
            self.preemptions += 1;
        }
        (finished, progress)
    }

    fn load(&self, age: Duration) -> Load {
        Load {
            age,
            running: self.batch_size() as u32,
            waiting: (self.requests.len() - self.batch_size()) as u32,
            memory_total: u64::from(KV_CAPACITY),
            memory_used: u64::from(self.used_tokens()),
            tokens_per_second: 1.0 / self.duration(),
            ..Load::default()
        }
    }

    fn duration(&self) -> f64 {
        BASE_STEP.as_secs_f64() * (1.0 + STEP_GROWTH * self.batch_size() as f64)
    }
}

#[derive(Debug, Default)]
struct Metrics {
    arrived: u64,
    refused: [u64; 2],
    met_deadline: [u64; 2],
    missed_deadline: u64,
    stall_seconds: [Vec<f64>; 2],
    inter_token_times: [Vec<f64>; 2],
    queue_waits: Vec<f64>,
    memory_use: Vec<f64>,
}

#[derive(Debug)]
struct Simulation {
    random: SmallRng,
    harnesses: Vec<Harness>,
    engines: Vec<SimulatedEngine>,
    pending: HashMap<key::Request, SimulatedRequest>,
    peer_usage: Vec<BTreeMap<usize, (u32, u64)>>,
    now: f64,
    metrics: Metrics,
}

impl Simulation {
    fn new(policy: &str, seed: u64) -> Self {
        let deployment = Deployment {
            targets: ENGINES,
            concurrency: MAX_BATCH as u32,
            memory: u64::from(KV_CAPACITY),
            headroom: setting("HEADROOM", 0.05),
            customers: (0..10)
                .map(|index| (format!("c{index}"), String::new()))
                .collect(),
        };
        let mut harnesses: Vec<_> = (0..VMS)
            .map(|vm| Harness::with_policy(make(policy, seed * 100 + vm as u64), &deployment))
            .collect();
        for harness in &mut harnesses {
            harness.handle(Event::VmCount(VMS as u32));
        }
        Self {
            random: SmallRng::seed_from_u64(seed),
            harnesses,
            engines: (0..ENGINES).map(|_| SimulatedEngine::default()).collect(),
            pending: HashMap::new(),
            peer_usage: vec![BTreeMap::new(); VMS],
            now: 1.0,
            metrics: Metrics::default(),
        }
    }

    fn handle(&mut self, vm: usize, event: Event) {
        self.harnesses[vm].now = base::Instant::from_micros((self.now * 1e6) as u64);
        let actions = self.harnesses[vm].handle(event);
        self.apply(vm, actions);
    }

    fn apply(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(decision) => {
                    let Some(request) = self.pending.remove(&decision.request) else {
                        continue;
                    };
                    let index = (0..ENGINES).find(|&index| target_key(index) == decision.target);
                    let index = index.expect("the target is known");
                    self.metrics.queue_waits.push(decision.waited.as_secs_f64());
                    self.engines[index].requests.push(request);
                }
                Action::Refuse { request, .. } => {
                    if let Some(request) = self.pending.remove(&request) {
                        self.metrics.refused[request.class] += 1;
                    }
                }
            }
        }
        let _ = vm;
    }

    fn arrive(&mut self, serial: u64) {
        let vm = self.random.random_range(0..VMS);
        let class = if self.random.random_bool(LOOKUP_SHARE) {
            LOOKUP
        } else {
            DRAFT
        };
        let (median, spread) = if class == LOOKUP {
            (12.0, 0.6)
        } else {
            (130.0, 0.9)
        };
        let normal = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let output_length = (median * (spread * normal).exp()).clamp(1.0, 10_000.0) as u32;
        let time_limit = if class == LOOKUP { 10.0 } else { 60.0 };
        let customer = format!("c{}", (self.random.random::<f64>().powi(2) * 10.0) as u32);
        let mut request = self.harnesses[vm].request(&customer, class);
        request.key = key::Request::from_raw(serial);
        request.prompt_tokens = PROMPT_TOKENS;
        request.deadline = base::Instant::from_micros(((self.now + time_limit) * 1e6) as u64);
        let simulated = SimulatedRequest {
            key: request.key,
            vm,
            class,
            output_tokens: 0,
            output_length,
            remaining_prefill: PROMPT_TOKENS,
            arrival: self.now,
            last_token: self.now,
            stall_seconds: 0.0,
            deadline: self.now + time_limit,
            running: false,
        };
        self.metrics.arrived += 1;
        self.pending.insert(simulated.key, simulated);
        self.handle(vm, Event::Arrived(Box::new(request)));
    }

    fn step_engine(&mut self, index: usize) {
        let (finished, progress) =
            self.engines[index].step(self.now, &mut self.metrics.inter_token_times);
        self.engines[index].next_step = self.now + self.engines[index].duration();
        for (vm, request) in progress {
            self.handle(vm, Event::Progress { request, tokens: 1 });
        }
        for finished in finished {
            if self.now <= finished.deadline {
                self.metrics.met_deadline[finished.class] += 1;
            } else {
                self.metrics.missed_deadline += 1;
            }
            self.metrics.stall_seconds[finished.class].push(finished.stall_seconds);
            let _ = finished.arrival;
            let (request, outcome) = (finished.key, Outcome::Complete);
            self.handle(finished.vm, Event::Ended { request, outcome });
        }
    }

    fn report(&mut self) {
        for index in 0..ENGINES {
            let load = self.engines[index].load(REPORT_AGE);
            self.metrics
                .memory_use
                .push(load.memory_used as f64 / f64::from(KV_CAPACITY));
            self.engines[index].reports.push_back((self.now, load));
            let newest_time = self.now - REPORT_AGE.as_secs_f64();
            let newest_visible = self.engines[index]
                .reports
                .iter()
                .rev()
                .find(|(at, _)| *at <= newest_time);
            let Some((at, load)) = newest_visible.cloned() else {
                continue;
            };
            while self.engines[index].reports.len() > 8 {
                self.engines[index].reports.pop_front();
            }
            for vm in 0..VMS {
                let load = Box::new(Load {
                    age: Duration::from_secs_f64(self.now - at),
                    ..load.clone()
                });
                self.handle(
                    vm,
                    Event::Report {
                        target: target_key(index),
                        load,
                    },
                );
            }
        }
    }

    fn gossip(&mut self) {
        for peer_usage in &mut self.peer_usage {
            peer_usage.clear();
        }
        for (index, engine) in self.engines.iter().enumerate() {
            for request in &engine.requests {
                let peer_usage = self.peer_usage[request.vm].entry(index).or_default();
                peer_usage.0 += 1;
                peer_usage.1 += u64::from(request.context_tokens());
            }
        }
        for from in 0..VMS {
            for index in 0..ENGINES {
                let (requests, tokens) = self.peer_usage[from]
                    .get(&index)
                    .copied()
                    .unwrap_or_default();
                for to in (0..VMS).filter(|&to| to != from) {
                    let vm = key::Vm::of(&format!("vm{from}"));
                    let target = target_key(index);
                    self.handle(
                        to,
                        Event::PeerUsage {
                            vm,
                            target,
                            requests,
                            tokens,
                        },
                    );
                }
            }
        }
    }

    fn run(&mut self, load: f64) {
        let tick = 0.005;
        let mut next = self.now;
        let mut serial = 0;
        let end = setting("SECONDS", ARRIVAL_SECONDS as f64);
        for step in 0..((end + DRAIN_SECONDS) / tick) as u64 {
            self.now += tick;
            while next <= self.now.min(end) {
                serial += 1;
                self.arrive(serial);
                next -= self.random.random::<f64>().max(1e-9).ln() / (CAPACITY * load);
            }
            for index in 0..ENGINES {
                if self.engines[index].next_step <= self.now {
                    self.step_engine(index);
                }
            }
            if step % (REPORT_INTERVAL_STEPS * 4) == 0 {
                self.report();
            }
            if step % (GOSSIP_INTERVAL_STEPS * 4) == 0 {
                self.gossip();
            }
            if step % 10 == 0 {
                (0..VMS).for_each(|vm| self.handle(vm, Event::Tick));
            }
        }
    }
}

/// Reads a number from the environment, which overrides a default.
fn setting(name: &str, default: f64) -> f64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("a number"))
}

fn make(policy: &str, seed: u64) -> Box<dyn Policy> {
    let data_centre = key::DataCentre::of("a");
    if policy == "predictive" {
        let default = Settings::default();
        let settings = Settings {
            margin: setting("MARGIN", f64::from(default.margin)) as f32,
            batch_weight: setting("BATCH", default.batch_weight),
            preference_weight: setting("HOME_BIAS", default.preference_weight),
            prefix_weight: setting("PREFIX", default.prefix_weight),
            samples: setting("SAMPLES", default.samples as f64) as usize,
            min_margin: setting("LEAST", f64::from(default.min_margin)) as f32,
            ..default
        };
        return Box::new(Predictive::new(seed, data_centre, settings));
    }
    policies::make(policy, seed, data_centre).expect("the policy is known")
}

fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share) as usize;
    values
        .get(index.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

fn main() {
    let arguments: Vec<_> = std::env::args()
        .skip(1)
        .filter(|text| text != "--bench")
        .collect();
    let [seed, load, policies @ ..] = &*arguments else {
        println!("usage: trial SEED LOAD POLICY…");
        return;
    };
    let (seed, load) = (seed.parse().expect("a seed"), load.parse().expect("a load"));
    // L stands for lookups, D for drafts.
    println!(
        "{:28} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>5}",
        "policy",
        "good L",
        "good D",
        "late",
        "ref L",
        "ref D",
        "preempt",
        "stallL99",
        "stallD99",
        "gap p95",
        "gap p99",
        "gap p999",
        "wait99",
        "used",
    );
    for policy in policies {
        let mut simulation = Simulation::new(policy, seed);
        simulation.run(load);
        let preemptions: u64 = simulation
            .engines
            .iter()
            .map(|engine| engine.preemptions)
            .sum();
        let metrics = &mut simulation.metrics;
        let mut inter_token_times: Vec<_> = metrics
            .inter_token_times
            .iter()
            .flatten()
            .copied()
            .collect();
        println!(
            "{:28} {:6} {:6} {:6} {:6} {:6} {:7} {:8.3} {:8.3} {:8.4} {:8.4} {:8.3} {:7.2} {:5.2}",
            policy,
            metrics.met_deadline[0],
            metrics.met_deadline[1],
            metrics.missed_deadline,
            metrics.refused[0],
            metrics.refused[1],
            preemptions,
            quantile(&mut metrics.stall_seconds[0], 0.99),
            quantile(&mut metrics.stall_seconds[1], 0.99),
            quantile(&mut inter_token_times, 0.95),
            quantile(&mut inter_token_times, 0.99),
            quantile(&mut inter_token_times, 0.999),
            quantile(&mut metrics.queue_waits, 0.99),
            metrics.memory_use.iter().sum::<f64>() / metrics.memory_use.len() as f64,
        );
    }
}
