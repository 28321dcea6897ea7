//! `[routing]`: selection of a target for each request.

use crate::{ini::Reader, settings::Section, value};

/// Selection of a target for each request.
#[derive(Clone, Debug)]
pub struct Routing {
    /// Name of the routing policy.
    pub policy: Box<str>,
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            policy: "predictive".into(),
        }
    }
}

impl Section for Routing {
    fn read(&mut self, reader: &Reader<'_>) {
        reader.update("policy", &mut self.policy, value::text);
    }
}
