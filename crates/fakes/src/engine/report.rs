//! Load reports, which lag behind the engine's state by a configured delay.

use {
    super::core::{Phase, Scheduler},
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Minimum time between two snapshots.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Load snapshots, oldest first; all before the newest one that is at least `lag` old are dropped.
#[derive(Debug, Default)]
pub(super) struct Reports {
    snapshots: VecDeque<(Instant, Value)>,
    sequence: u64,
}

impl Reports {
    /// Adds a snapshot unless the previous one was taken less than `MIN_INTERVAL` ago.
    pub(super) fn push(&mut self, mut load: Value, lag: Duration) {
        if let Some((taken_at, _)) = self.snapshots.back()
            && taken_at.elapsed() < MIN_INTERVAL
        {
            return;
        }
        self.sequence += 1;
        load["sequence"] = self.sequence.into();
        self.snapshots.push_back((Instant::now(), load));
        while self.snapshots.len() > 1 && self.snapshots[1].0.elapsed() >= lag {
            self.snapshots.pop_front();
        }
    }

    /// Returns the oldest retained snapshot with its age, or `None` before the first step.
    pub(super) fn read(&self) -> Option<Value> {
        let (taken_at, load) = self.snapshots.front()?;
        let mut load = load.clone();
        load["age_ms"] = (taken_at.elapsed().as_millis() as u64).into();
        Some(load)
    }
}

impl Scheduler {
    /// Returns the current load as JSON.
    pub(super) fn load(&self) -> Value {
        json!({
            "sequence": 0,
            "age_ms": 0,
            "running": self.running(),
            "waiting": self.count(Phase::Waiting),
            "memory_total": self.memory_total(),
            "memory_used": self.memory_used(),
            "preemptions": self.preemptions,
            "tokens_per_second": 1.0 / self.step_duration().as_secs_f64(),
            "models": self.orders.loaded(),
            "leaving": false,
        })
    }
}
