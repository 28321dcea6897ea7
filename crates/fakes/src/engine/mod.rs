//! Stand-in for a model engine: continuous batching, limited memory, prefix cache, resume and orders.

mod answer;
mod behaviour;
mod cache;
mod core;
mod law;
mod order;
mod report;

pub use self::{
    behaviour::Behaviour,
    law::{output_length, output_tokens},
};

use {
    self::{behaviour::Faults, core::Core},
    crate::{
        http,
        sync::{Signal, lock},
    },
    smol::{Timer, net::TcpListener},
    std::{
        io,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, part of the ids of its generations.
    pub name: Box<str>,
    /// Seed of the output lengths and texts.
    pub seed: u64,
    /// Time of one token step with an empty batch.
    pub step: Duration,
    /// Growth of the step with each request of the batch, as a share of the step.
    pub step_growth: f64,
    /// Most requests in the batch.
    pub max_batch: usize,
    /// Memory for contexts, in tokens.
    pub memory_tokens: u64,
    /// Tokens in one block of memory.
    pub block: u64,
    /// Prompt tokens that one step computes for a request.
    pub prefill: u64,
    /// Prefixes that the cache holds.
    pub cache: usize,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Age of the cache events.
    pub cache_lag: Duration,
    /// One in this many cache events is lost; 0 for none.
    pub cache_gap: u64,
    /// Time between heartbeats while no token is ready.
    pub heartbeat: Duration,
    /// Time for which a finished generation can be resumed.
    pub keep: Duration,
    /// Models that are loaded at the start; any model is served if there are none.
    pub models: Vec<Box<str>>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Size of the weights of one model in bytes.
    pub weight: u64,
    /// Bytes of weights loaded in a second.
    pub load_rate: u64,
    /// Faults that hold from the start.
    pub behaviour: Behaviour,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            seed: 1,
            step: Duration::from_millis(20),
            step_growth: 0.02,
            max_batch: 32,
            memory_tokens: 65_536,
            block: 16,
            prefill: 512,
            cache: 256,
            load_lag: Duration::from_millis(500),
            cache_lag: Duration::from_millis(500),
            cache_gap: 0,
            heartbeat: Duration::from_millis(500),
            keep: Duration::from_secs(60),
            models: Vec::new(),
            fencing: true,
            weight: 1 << 30,
            load_rate: 4 << 30,
            behaviour: Behaviour::default(),
        }
    }
}

/// The engine as its connections share it.
#[derive(Debug)]
struct Engine {
    settings: Settings,
    core: Mutex<Core>,
    faults: Mutex<Faults>,
    stepped: Signal,
}

/// Serves until the listener fails.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let engine = Arc::new(Engine {
        core: Mutex::new(Core::new(settings.clone())),
        faults: Mutex::new(Faults::new(settings.behaviour.clone())),
        settings,
        stepped: Signal::default(),
    });
    let steps = smol::spawn(run(Arc::clone(&engine)));
    let served = http::serve(listener, move |request| {
        let engine = Arc::clone(&engine);
        async move { Ok(engine.answer(&request)) }
    })
    .await;
    steps.cancel().await;
    served
}

/// Computes token steps for ever.
async fn run(engine: Arc<Engine>) {
    loop {
        let duration = lock(&engine.core).step_duration();
        Timer::after(duration).await;
        lock(&engine.core).step();
        engine.stepped.notify();
    }
}
