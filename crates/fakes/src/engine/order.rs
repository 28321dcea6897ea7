//! Orders to load models: the desired state, its fencing token and the simulated load time.

use {
    super::Settings,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// Desired state of an engine, the body of `POST /v1/orders`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct DesiredState {
    pub fence: u64,
    #[serde(default)]
    pub models: Vec<Box<str>>,
    #[serde(default)]
    pub role: Box<str>,
}

/// Orders received and models loaded.
#[derive(Debug)]
pub(super) struct Orders {
    checks_fence: bool,
    /// Simulated time to load one model.
    load_time: Duration,
    desired: DesiredState,
    /// Each model with the time at which its load finishes or finished.
    models: Vec<(Box<str>, Instant)>,
    /// Whether any model is served, as before the first order to an engine without models.
    serves_any_model: bool,
    history: Vec<Value>,
}

impl Orders {
    pub(super) fn new(settings: &Settings) -> Self {
        let now = Instant::now();
        let seconds = settings.model_bytes as f64 / settings.load_bytes_per_second.max(1) as f64;
        Self {
            checks_fence: settings.checks_fencing,
            load_time: Duration::from_secs_f64(seconds),
            desired: DesiredState {
                models: settings.models.clone(),
                role: "serve".into(),
                fence: 0,
            },
            models: settings.models.iter().map(|m| (m.clone(), now)).collect(),
            serves_any_model: settings.models.is_empty(),
            history: Vec::new(),
        }
    }

    /// Applies an order; models that are not loaded yet are loaded one after the other.
    ///
    /// # Errors
    /// Returns the current fencing token if the order's token is stale and fencing is checked.
    pub(super) fn apply(&mut self, desired: DesiredState) -> Result<(), u64> {
        let is_accepted = !self.checks_fence || desired.fence >= self.desired.fence;
        self.history
            .push(json!({"order": desired, "accepted": is_accepted}));
        if !is_accepted {
            return Err(self.desired.fence);
        }
        let mut last_loaded_at = Instant::now();
        let mut models = Vec::new();
        for model in &desired.models {
            let existing = self.models.iter().find(|(name, _)| name == model);
            let loaded_at = existing.map_or_else(
                || {
                    last_loaded_at += self.load_time;
                    last_loaded_at
                },
                |(_, loaded_at)| *loaded_at,
            );
            models.push((model.clone(), loaded_at));
        }
        self.models = models;
        self.serves_any_model = false;
        self.desired = desired;
        Ok(())
    }

    /// Returns the models whose load has finished.
    pub(super) fn loaded(&self) -> Vec<&str> {
        let now = Instant::now();
        let loaded = self
            .models
            .iter()
            .filter(|(_, loaded_at)| *loaded_at <= now);
        loaded.map(|(name, _)| &**name).collect()
    }

    /// Returns whether a model is served; a name without a version matches every version.
    pub(super) fn serves(&self, model: &str) -> bool {
        let matches = |loaded: &&str| {
            let name = loaded.split_once('@').map_or(*loaded, |(name, _)| name);
            *loaded == model || name == model
        };
        self.serves_any_model || model.is_empty() || self.loaded().iter().any(matches)
    }

    /// Returns the desired state and the loaded models as JSON.
    pub(super) fn to_json(&self) -> Value {
        json!({
            "fence": self.desired.fence,
            "models": self.desired.models,
            "role": self.desired.role,
            "loaded": self.loaded(),
        })
    }

    /// Returns every order received, each with whether it was accepted.
    pub(super) fn history(&self) -> &[Value] {
        &self.history
    }
}
