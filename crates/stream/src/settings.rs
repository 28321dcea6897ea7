//! Retry and resume limits of a session.

use std::time::Duration;

/// Retry and resume limits of a session.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Limit on attempts for one request, each of which starts a new generation.
    pub max_attempts: u32,
    /// Limit on consecutive resumes without a new token.
    pub max_resumes: u32,
    /// Delay before the first resume; doubled for each further one.
    pub backoff: Duration,
    /// Upper bound of the delay before a resume.
    pub max_backoff: Duration,
    /// Time that a disconnected caller has to resume before its generation is cancelled.
    pub grace: Duration,
    /// Delay that a final refusal asks the caller to wait before it retries.
    pub retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            max_resumes: 5,
            backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            grace: Duration::from_secs(15),
            retry_after: Duration::from_secs(1),
        }
    }
}
