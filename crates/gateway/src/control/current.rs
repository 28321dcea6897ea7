//! The configuration in force.

use {
    crate::control::encoding::Encoding,
    arc_swap::ArcSwapOption,
    base::Instant,
    dispatch::{Configuration, Position},
    std::sync::{Arc, Mutex, PoisonError},
};

/// One version of the configuration, decoded and as it is sent to peers.
#[derive(Debug)]
pub struct Snapshot {
    /// The decoded configuration.
    pub configuration: Configuration,
    /// The encoded value.
    pub encoding: Encoding,
}

/// Holds the newest configuration known; its version never decreases.
#[derive(Debug, Default)]
pub struct Current {
    snapshot: ArcSwapOption<Snapshot>,
    replace_lock: Mutex<()>,
    /// Newest version that a peer announced, and since when that or one before it has been missing.
    lag: ArcSwapOption<(u64, Instant)>,
    /// Position of the store up to which a version was the newest one, and that version.
    newest_until: Mutex<Option<(Position, u64)>>,
}

impl Current {
    /// Returns the configuration; `None` before the first one.
    pub fn load(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Returns the configuration's version; 0 before the first one.
    pub fn version(&self) -> u64 {
        let snapshot = self.snapshot.load();
        snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.configuration.version())
    }

    /// Returns the configuration's size in bytes; 0 before the first one.
    pub fn size_bytes(&self) -> u64 {
        let snapshot = self.snapshot.load();
        snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.encoding.plain_bytes() as u64)
    }

    /// Returns the size of the deflated configuration in bytes; 0 if it is kept as published.
    pub fn deflated_bytes(&self) -> u64 {
        let snapshot = self.snapshot.load();
        let encoding = snapshot.as_ref().map(|snapshot| &snapshot.encoding);
        let deflated = encoding.filter(|encoding| encoding.is_deflated());
        deflated.map_or(0, |encoding| encoding.body().len() as u64)
    }

    /// Returns the newest version that a peer announced, and since when it or one before it has been
    /// missing; `None` if the newest version known is in force.
    pub fn lag(&self) -> Option<(u64, Instant)> {
        self.lag.load().as_deref().copied()
    }

    /// Sets what [`Self::lag`] returns.
    pub fn set_lag(&self, lag: Option<(u64, Instant)>) {
        if self.lag() != lag {
            self.lag.store(lag.map(Arc::new));
        }
    }

    /// Returns the position of the store up to which the configuration in force is the newest one.
    pub fn newest_until(&self) -> Option<Position> {
        let version = self.version();
        let known = self.newest_until.lock();
        let known = known.unwrap_or_else(PoisonError::into_inner);
        known.and_then(|(position, of)| (of == version).then_some(position))
    }

    /// Sets what [`Self::newest_until`] returns while a version is in force.
    pub fn set_newest_until(&self, known: Option<(Position, u64)>) {
        let newest_until = self.newest_until.lock();
        *newest_until.unwrap_or_else(PoisonError::into_inner) = known;
    }

    /// Replaces the configuration if `snapshot` is newer; returns whether it is.
    pub fn replace_if_newer(&self, snapshot: Snapshot) -> bool {
        let _guard = self
            .replace_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if snapshot.configuration.version() <= self.version() {
            return false;
        }
        self.snapshot.store(Some(Arc::new(snapshot)));
        true
    }
}
