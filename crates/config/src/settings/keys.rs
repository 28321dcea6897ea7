//! `[keys]`: secrets, by file.

use {
    crate::{ini::Reader, settings::Section, value},
    std::path::PathBuf,
};

/// Secrets, by file.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    /// File with the deployment's key, for the inner protocol and tokens.
    pub deployment: PathBuf,
}

impl Section for Keys {
    fn read(&mut self, reader: &Reader<'_>) {
        self.deployment = reader.required("deployment", "a path", value::file);
    }
}
