//! Orders to load models: the state wished for, its fencing number and the time that loading takes.

use {
    super::Settings,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// The state wished for, as the body of `POST /v1/orders`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Wish {
    pub fence: u64,
    #[serde(default)]
    pub models: Vec<Box<str>>,
    #[serde(default)]
    pub role: Box<str>,
}

/// Orders that were taken, and what is loaded.
#[derive(Debug)]
pub(super) struct Orders {
    checked: bool,
    time_per_model: Duration,
    wish: Wish,
    /// Models with the time at which they are, or will be, loaded.
    loads: Vec<(Box<str>, Instant)>,
    unrestricted: bool,
    log: Vec<Value>,
}

impl Orders {
    pub(super) fn new(settings: &Settings) -> Self {
        let now = Instant::now();
        let seconds = settings.weight as f64 / settings.load_rate.max(1) as f64;
        Self {
            checked: settings.fencing,
            time_per_model: Duration::from_secs_f64(seconds),
            wish: Wish {
                models: settings.models.clone(),
                role: "serve".into(),
                fence: 0,
            },
            loads: settings.models.iter().map(|m| (m.clone(), now)).collect(),
            unrestricted: settings.models.is_empty(),
            log: Vec::new(),
        }
    }

    /// Takes an order.
    ///
    /// # Errors
    /// Returns the newest fencing number if that of the order is old and checked.
    pub(super) fn take(&mut self, wish: Wish) -> Result<(), u64> {
        let accepted = !self.checked || wish.fence >= self.wish.fence;
        self.log.push(json!({"order": wish, "accepted": accepted}));
        if !accepted {
            return Err(self.wish.fence);
        }
        let mut end = Instant::now();
        let mut loads = Vec::new();
        for model in &wish.models {
            let held = self.loads.iter().find(|(name, _)| name == model);
            let at = held.map_or_else(
                || {
                    end += self.time_per_model;
                    end
                },
                |(_, at)| *at,
            );
            loads.push((model.clone(), at));
        }
        self.loads = loads;
        self.unrestricted = false;
        self.wish = wish;
        Ok(())
    }

    /// Returns the models that are loaded.
    pub(super) fn loaded(&self) -> Vec<&str> {
        let now = Instant::now();
        let loaded = self.loads.iter().filter(|(_, at)| *at <= now);
        loaded.map(|(name, _)| &**name).collect()
    }

    /// Returns whether a model is served; a name without a version means any version.
    pub(super) fn serves(&self, model: &str) -> bool {
        let matches = |held: &&str| {
            let name = held.split_once('@').map_or(*held, |(name, _)| name);
            *held == model || name == model
        };
        self.unrestricted || model.is_empty() || self.loaded().iter().any(matches)
    }

    /// Describes the state wished for, with what is loaded.
    pub(super) fn describe(&self) -> Value {
        json!({
            "fence": self.wish.fence,
            "models": self.wish.models,
            "role": self.wish.role,
            "loaded": self.loaded(),
        })
    }

    /// Returns every order with whether it was accepted.
    pub(super) fn log(&self) -> &[Value] {
        &self.log
    }
}
