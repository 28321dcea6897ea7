//! Load reports, which show the engine as it was a while ago.

use {
    super::core::{Core, Phase},
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Shortest time between two snapshots.
const INTERVAL: Duration = Duration::from_millis(20);

/// Snapshots of the load, the oldest first; the first one is older than the lag if any is.
#[derive(Debug, Default)]
pub(super) struct Reports {
    snapshots: VecDeque<(Instant, Value)>,
    sequence: u64,
}

impl Reports {
    /// Keeps a snapshot.
    pub(super) fn push(&mut self, mut load: Value, lag: Duration) {
        if let Some((newest, _)) = self.snapshots.back()
            && newest.elapsed() < INTERVAL
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

    /// Returns the report that the lag allows; a fresh one before the first step.
    pub(super) fn read(&self) -> Option<Value> {
        let (at, load) = self.snapshots.front()?;
        let mut load = load.clone();
        load["age_ms"] = (at.elapsed().as_millis() as u64).into();
        Some(load)
    }
}

impl Core {
    /// Describes the load of this moment.
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
