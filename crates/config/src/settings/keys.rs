//! `[keys]`: files that contain secrets.

use {
    crate::{ini::Reader, settings::Section, value},
    std::path::PathBuf,
};

/// Files that contain secrets.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    /// File with the deployment's key, which authenticates the inner protocol and tokens.
    pub deployment: PathBuf,
}

impl Section for Keys {
    fn read(&mut self, reader: &Reader<'_>) {
        self.deployment = reader.required("deployment", "a path", value::file);
    }
}
