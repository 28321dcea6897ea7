//! The configuration in force.

use {
    arc_swap::ArcSwapOption,
    platform::store::Published,
    std::sync::{Arc, Mutex, PoisonError},
};

/// Holds the newest configuration known; its version never decreases.
#[derive(Debug, Default)]
pub struct Current {
    published: ArcSwapOption<Published>,
    replace_lock: Mutex<()>,
}

impl Current {
    /// Returns the configuration; `None` before the first one.
    pub fn load(&self) -> Option<Arc<Published>> {
        self.published.load_full()
    }

    /// Returns the configuration's version; 0 before the first one.
    pub fn version(&self) -> u64 {
        let published = self.published.load();
        published
            .as_ref()
            .map_or(0, |published| published.configuration.version())
    }

    /// Returns the configuration's size in bytes; 0 before the first one.
    pub fn size_bytes(&self) -> u64 {
        let published = self.published.load();
        published
            .as_ref()
            .map_or(0, |published| published.bytes.len() as u64)
    }

    /// Replaces the configuration if `published` is newer; returns whether it is.
    pub fn replace_if_newer(&self, published: Published) -> bool {
        let _guard = self
            .replace_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if published.configuration.version() <= self.version() {
            return false;
        }
        self.published.store(Some(Arc::new(published)));
        true
    }
}
