//! Limits of one stream.

use std::time::Duration;

/// How often and how long a stream is tried.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Most generations that are begun for one request.
    pub max_attempts: u32,
    /// Most resumes in a row without a new token.
    pub max_resumes: u32,
    /// Wait before the first resume; doubled for each further one.
    pub backoff: Duration,
    /// Longest wait before a resume.
    pub max_backoff: Duration,
    /// Time for a caller to resume before its generation is cancelled.
    pub grace: Duration,
    /// When a caller shall come back after a final refusal.
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
