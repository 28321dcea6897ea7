//! The retry budget of a service: a share of first attempts, so that retries can't amplify overload.

/// Retries that may be saved up.
const FULL: f64 = 10.0;

/// Retries that are left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { left: FULL }
    }
}

impl Budget {
    /// Counts a first attempt, which earns its share of a retry.
    pub fn earn(&mut self, share: f64) {
        self.left = (self.left + share).min(FULL);
    }

    /// Gives a retry back that the target's planned stop caused.
    pub fn give_back(&mut self) {
        self.left = (self.left + 1.0).min(FULL);
    }

    /// Spends one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
