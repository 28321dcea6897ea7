//! The retry budget of a service: a share of first attempts, so that retries can't amplify overload.

/// Parts that one retry costs, so that shares add up exactly.
const RETRY: u64 = 10_000;
/// Parts that may be saved up.
const FULL: u64 = 10 * RETRY;

/// Retries that are left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    parts: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { parts: FULL }
    }
}

impl Budget {
    /// Counts a first attempt, which earns its share of a retry, 0 to 1.
    pub fn earn(&mut self, share: f64) {
        let parts = (share * RETRY as f64).round() as u64;
        self.parts = (self.parts + parts).min(FULL);
    }

    /// Gives a retry back that the target's planned stop caused.
    pub fn give_back(&mut self) {
        self.parts = (self.parts + RETRY).min(FULL);
    }

    /// Spends one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let Some(parts) = self.parts.checked_sub(RETRY) else {
            return false;
        };
        self.parts = parts;
        true
    }
}
