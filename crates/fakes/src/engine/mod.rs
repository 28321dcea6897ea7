//! Fake inference engine with continuous batching, a limited KV cache and a prefix cache.
//!
//! Streams can be resumed, and orders load models.

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
    self::{behaviour::Faults, core::Scheduler},
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

/// Configuration of a fake engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Engine name, the prefix of its generation ids.
    pub name: Box<str>,
    /// Seed of the deterministic output lengths and token texts.
    pub seed: u64,
    /// Duration of a scheduler step with an empty batch.
    pub step: Duration,
    /// Relative growth of the step duration with each running request.
    pub step_growth: f64,
    /// Maximum number of running requests.
    pub max_batch: usize,
    /// KV cache capacity in tokens.
    pub memory_tokens: u64,
    /// Tokens per KV cache block.
    pub block_tokens: u64,
    /// Maximum prompt tokens prefilled per request and step.
    pub prefill_chunk: u64,
    /// Maximum number of prefixes in the prefix cache.
    pub cache_capacity: usize,
    /// Age of the state that load reports show.
    pub load_lag: Duration,
    /// Delay after which cache events become visible.
    pub cache_lag: Duration,
    /// Leaves out every Nth cache event; 0 leaves out none.
    pub cache_gap: u64,
    /// Interval between heartbeats on a stream without a token to send.
    pub heartbeat: Duration,
    /// How long a finished or cancelled generation is retained.
    pub retention: Duration,
    /// Models loaded at startup; if empty, every model is served.
    pub models: Vec<Box<str>>,
    /// Whether orders with a stale fencing token are rejected.
    pub checks_fencing: bool,
    /// Size of one model's weights in bytes.
    pub model_bytes: u64,
    /// Rate at which the weights of a model are loaded.
    pub load_bytes_per_second: u64,
    /// Faults injected from startup.
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
            block_tokens: 16,
            prefill_chunk: 512,
            cache_capacity: 256,
            load_lag: Duration::from_millis(500),
            cache_lag: Duration::from_millis(500),
            cache_gap: 0,
            heartbeat: Duration::from_millis(500),
            retention: Duration::from_secs(60),
            models: Vec::new(),
            checks_fencing: true,
            model_bytes: 1 << 30,
            load_bytes_per_second: 4 << 30,
            behaviour: Behaviour::default(),
        }
    }
}

/// Engine state shared by all connections.
#[derive(Debug)]
struct Engine {
    settings: Settings,
    scheduler: Mutex<Scheduler>,
    faults: Mutex<Faults>,
    /// Notified after each scheduler step.
    stepped: Signal,
}

/// Serves requests until the listener fails.
///
/// # Errors
/// Returns an error if accepting a connection fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> io::Result<()> {
    let engine = Arc::new(Engine {
        scheduler: Mutex::new(Scheduler::new(settings.clone())),
        faults: Mutex::new(Faults::new(settings.behaviour.clone())),
        settings,
        stepped: Signal::default(),
    });
    let step_loop = smol::spawn(run(Arc::clone(&engine)));
    let served = http::serve(listener, move |request| {
        let engine = Arc::clone(&engine);
        async move { Ok(engine.handle(&request)) }
    })
    .await;
    step_loop.cancel().await;
    served
}

/// Runs scheduler steps in an endless loop.
async fn run(engine: Arc<Engine>) {
    loop {
        let duration = lock(&engine.scheduler).step_duration();
        Timer::after(duration).await;
        lock(&engine.scheduler).step();
        engine.stepped.notify();
    }
}
