//! Tries policies against small in-memory engines; the figures are trials, not measurements.
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
    support::{DRAFT, Deployment, LOOKUP, Script, target_key},
};

const VMS: usize = 4;
const ENGINES: usize = 10;
const BATCH: usize = 32;
const MEMORY: u32 = 6_144;
const STEP: Duration = Duration::from_millis(20);
const GROWTH: f64 = 0.02;
const REPORT_STEPS: u64 = 25;
const REPORT_AGE: Duration = Duration::from_millis(500);
const GOSSIP_STEPS: u64 = 150;
const SECONDS: u64 = 70;
/// Time without arrivals at the end, for what is under way.
const DRAIN: f64 = 70.0;
const PREFILL: u32 = 512;
const PROMPT: u32 = 192;
/// Requests a second that the engines can serve, about.
const CAPACITY: f64 = 80.0;
const LOOKUPS: f64 = 0.7;
const PACE: f64 = 0.25;

#[derive(Debug)]
struct Run {
    request: key::Request,
    vm: usize,
    class: usize,
    produced: u32,
    length: u32,
    prefill: u32,
    arrival: f64,
    last: f64,
    stall: f64,
    deadline: f64,
    running: bool,
}

#[derive(Debug, Default)]
struct Engine {
    runs: Vec<Run>,
    due: f64,
    preemptions: u64,
    reports: VecDeque<(f64, Load)>,
}

impl Run {
    fn context(&self) -> u32 {
        PROMPT + self.produced
    }
}

impl Engine {
    fn used(&self) -> u32 {
        let running = self.runs.iter().filter(|run| run.running);
        running.map(Run::context).sum()
    }

    fn batch(&self) -> usize {
        self.runs.iter().filter(|run| run.running).count()
    }

    /// Computes one step; returns the finished runs and the requests that got a token.
    fn step(
        &mut self,
        now: f64,
        gaps: &mut [Vec<f64>; 2],
    ) -> (Vec<Run>, Vec<(usize, key::Request)>) {
        self.runs.sort_by_key(|run| run.class);
        for index in 0..self.runs.len() {
            let fits = self.batch() < BATCH && self.used() + self.runs[index].context() < MEMORY;
            if !self.runs[index].running && !fits {
                break;
            }
            self.runs[index].running = true;
        }
        let mut progress = Vec::new();
        for run in self.runs.iter_mut().filter(|run| run.running) {
            if run.prefill > 0 {
                run.prefill = run.prefill.saturating_sub(PREFILL);
                continue;
            }
            run.produced += 1;
            let gap = now - run.last;
            run.stall += (gap - PACE).max(0.0);
            if run.produced > 1 {
                gaps[run.class].push(gap);
            }
            run.last = now;
            progress.push((run.vm, run.request));
        }
        let (finished, runs) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.produced >= run.length);
        self.runs = runs;
        while self.used() > MEMORY {
            let Some(victim) = self.runs.iter_mut().rev().find(|run| run.running) else {
                break;
            };
            victim.running = false;
            victim.prefill = victim.context();
            self.preemptions += 1;
        }
        (finished, progress)
    }

    fn load(&self, age: Duration) -> Load {
        Load {
            age,
            running: self.batch() as u32,
            waiting: (self.runs.len() - self.batch()) as u32,
            memory_total: u64::from(MEMORY),
            memory_used: u64::from(self.used()),
            tokens_per_second: 1.0 / self.duration(),
            ..Load::default()
        }
    }

    fn duration(&self) -> f64 {
        STEP.as_secs_f64() * (1.0 + GROWTH * self.batch() as f64)
    }
}

#[derive(Debug, Default)]
struct Figures {
    arrived: u64,
    refused: [u64; 2],
    good: [u64; 2],
    late: u64,
    stalls: [Vec<f64>; 2],
    gaps: [Vec<f64>; 2],
    waits: Vec<f64>,
    used: Vec<f64>,
}

#[derive(Debug)]
struct World {
    random: SmallRng,
    scripts: Vec<Script>,
    engines: Vec<Engine>,
    pending: HashMap<key::Request, Run>,
    held: Vec<BTreeMap<usize, (u32, u64)>>,
    now: f64,
    figures: Figures,
}

impl World {
    fn new(policy: &str, seed: u64) -> Self {
        let deployment = Deployment {
            targets: ENGINES,
            concurrency: BATCH as u32,
            memory: u64::from(MEMORY),
            headroom: setting("HEADROOM", 0.05),
            customers: (0..10)
                .map(|index| (format!("c{index}"), String::new()))
                .collect(),
        };
        let mut scripts: Vec<_> = (0..VMS)
            .map(|vm| Script::of(make(policy, seed * 100 + vm as u64), &deployment))
            .collect();
        for script in &mut scripts {
            script.tell(Event::VmCount(VMS as u32));
        }
        Self {
            random: SmallRng::seed_from_u64(seed),
            scripts,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            pending: HashMap::new(),
            held: vec![BTreeMap::new(); VMS],
            now: 1.0,
            figures: Figures::default(),
        }
    }

    fn tell(&mut self, vm: usize, event: Event) {
        self.scripts[vm].now = base::Instant::from_micros((self.now * 1e6) as u64);
        let actions = self.scripts[vm].tell(event);
        self.perform(vm, actions);
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(decision) => {
                    let Some(run) = self.pending.remove(&decision.request) else {
                        continue;
                    };
                    let index = (0..ENGINES).find(|&index| target_key(index) == decision.target);
                    let index = index.expect("the target is known");
                    self.figures.waits.push(decision.waited.as_secs_f64());
                    self.engines[index].runs.push(run);
                }
                Action::Refuse { request, .. } => {
                    if let Some(run) = self.pending.remove(&request) {
                        self.figures.refused[run.class] += 1;
                    }
                }
            }
        }
        let _ = vm;
    }

    fn arrive(&mut self, serial: u64) {
        let vm = self.random.random_range(0..VMS);
        let class = if self.random.random_bool(LOOKUPS) {
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
        let length = (median * (spread * normal).exp()).clamp(1.0, 10_000.0) as u32;
        let limit = if class == LOOKUP { 10.0 } else { 60.0 };
        let customer = format!("c{}", (self.random.random::<f64>().powi(2) * 10.0) as u32);
        let mut request = self.scripts[vm].request(&customer, class);
        request.key = key::Request::from_raw(serial);
        request.prompt_tokens = PROMPT;
        request.deadline = base::Instant::from_micros(((self.now + limit) * 1e6) as u64);
        let run = Run {
            request: request.key,
            vm,
            class,
            produced: 0,
            length,
            prefill: PROMPT,
            arrival: self.now,
            last: self.now,
            stall: 0.0,
            deadline: self.now + limit,
            running: false,
        };
        self.figures.arrived += 1;
        self.pending.insert(run.request, run);
        self.tell(vm, Event::Arrived(Box::new(request)));
    }

    fn step_engine(&mut self, index: usize) {
        let (finished, progress) = self.engines[index].step(self.now, &mut self.figures.gaps);
        self.engines[index].due = self.now + self.engines[index].duration();
        for (vm, request) in progress {
            self.tell(vm, Event::Progress { request, tokens: 1 });
        }
        for run in finished {
            if self.now <= run.deadline {
                self.figures.good[run.class] += 1;
            } else {
                self.figures.late += 1;
            }
            self.figures.stalls[run.class].push(run.stall);
            let _ = run.arrival;
            let (request, outcome) = (run.request, Outcome::Complete);
            self.tell(run.vm, Event::Ended { request, outcome });
        }
    }

    fn report(&mut self) {
        for index in 0..ENGINES {
            let load = self.engines[index].load(REPORT_AGE);
            self.figures
                .used
                .push(load.memory_used as f64 / f64::from(MEMORY));
            self.engines[index].reports.push_back((self.now, load));
            let due = self.now - REPORT_AGE.as_secs_f64();
            let old = self.engines[index]
                .reports
                .iter()
                .rev()
                .find(|(at, _)| *at <= due);
            let Some((at, load)) = old.cloned() else {
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
                self.tell(
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
        for held in &mut self.held {
            held.clear();
        }
        for (index, engine) in self.engines.iter().enumerate() {
            for run in &engine.runs {
                let held = self.held[run.vm].entry(index).or_default();
                held.0 += 1;
                held.1 += u64::from(run.context());
            }
        }
        for from in 0..VMS {
            for index in 0..ENGINES {
                let (requests, tokens) = self.held[from].get(&index).copied().unwrap_or_default();
                for to in (0..VMS).filter(|&to| to != from) {
                    let vm = key::Vm::of(&format!("vm{from}"));
                    let target = target_key(index);
                    self.tell(
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
        let end = setting("SECONDS", SECONDS as f64);
        for step in 0..((end + DRAIN) / tick) as u64 {
            self.now += tick;
            while next <= self.now.min(end) {
                serial += 1;
                self.arrive(serial);
                next -= self.random.random::<f64>().max(1e-9).ln() / (CAPACITY * load);
            }
            for index in 0..ENGINES {
                if self.engines[index].due <= self.now {
                    self.step_engine(index);
                }
            }
            if step % (REPORT_STEPS * 4) == 0 {
                self.report();
            }
            if step % (GOSSIP_STEPS * 4) == 0 {
                self.gossip();
            }
            if step % 10 == 0 {
                (0..VMS).for_each(|vm| self.tell(vm, Event::Tick));
            }
        }
    }
}

/// Reads a number that a trial varies.
fn setting(name: &str, default: f64) -> f64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("a number"))
}

fn make(policy: &str, seed: u64) -> Box<dyn Policy> {
    let home = key::DataCentre::of("a");
    if policy == "predictive" {
        let default = Settings::default();
        let settings = Settings {
            margin: setting("MARGIN", f64::from(default.margin)) as f32,
            batch: setting("BATCH", default.batch),
            home: setting("HOME_BIAS", default.home),
            prefix: setting("PREFIX", default.prefix),
            samples: setting("SAMPLES", default.samples as f64) as usize,
            least_margin: setting("LEAST", f64::from(default.least_margin)) as f32,
            ..default
        };
        return Box::new(Predictive::new(seed, home, settings));
    }
    policies::make(policy, seed, home).expect("the policy is known")
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
        let mut world = World::new(policy, seed);
        world.run(load);
        let preemptions: u64 = world.engines.iter().map(|engine| engine.preemptions).sum();
        let figures = &mut world.figures;
        let mut gaps: Vec<_> = figures.gaps.iter().flatten().copied().collect();
        println!(
            "{:28} {:6} {:6} {:6} {:6} {:6} {:7} {:8.3} {:8.3} {:8.4} {:8.4} {:8.3} {:7.2} {:5.2}",
            policy,
            figures.good[0],
            figures.good[1],
            figures.late,
            figures.refused[0],
            figures.refused[1],
            preemptions,
            quantile(&mut figures.stalls[0], 0.99),
            quantile(&mut figures.stalls[1], 0.99),
            quantile(&mut gaps, 0.95),
            quantile(&mut gaps, 0.99),
            quantile(&mut gaps, 0.999),
            quantile(&mut figures.waits, 0.99),
            figures.used.iter().sum::<f64>() / figures.used.len() as f64,
        );
    }
}
