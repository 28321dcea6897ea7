//! How long the requests of each route have taken lately.
//!
//! What a stop may not cut is judged by the longest of them: a mean says little of a route whose
//! outputs differ in length or whose targets have become slow.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Number of durations that are kept for each route.
const SAMPLES: usize = 32;

/// The latest durations of each route's requests.
#[derive(Debug, Default)]
pub struct Durations {
    by_route: HashMap<Box<str>, VecDeque<Duration>>,
}

impl Durations {
    /// Returns the longest of a route's latest durations; `None` if there is none.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        self.by_route.get(route)?.iter().max().copied()
    }

    /// Adds the duration of a request that was served.
    pub fn record(&mut self, route: &str, duration: Duration) {
        if !self.by_route.contains_key(route) {
            self.by_route.insert(route.into(), VecDeque::new());
        }
        if let Some(durations) = self.by_route.get_mut(route) {
            if durations.len() == SAMPLES {
                durations.pop_front();
            }
            durations.push_back(duration);
        }
    }

    /// Adds the time after which a request failed, if it is longer than any duration.
    ///
    /// A shorter one says nothing of how long it would have taken.
    pub fn record_failure(&mut self, route: &str, duration: Duration) {
        if self.longest(route).is_none_or(|longest| duration > longest) {
            self.record(route, duration);
        }
    }
}
