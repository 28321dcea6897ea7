//! Whether the VMs that watch the store on behalf of all still do.
//!
//! To a VM that doesn't watch, "no changes" and "nobody watches" look the same, and a configuration
//! must be in force everywhere sooner than a silent peer counts as gone. So the VMs that watch
//! announce it to their data centre at short intervals. Where the announcements stop, other VMs
//! take over one after the other, so that a loss of all watchers doesn't make all VMs read at once.

use {
    crate::{report, revision::State},
    base::Instant,
    derive_more::Display,
    std::{collections::HashMap, net::Ipv4Addr, time::Duration},
};

/// Interval between two announcements of a VM in a small fleet.
const INTERVAL: Duration = Duration::from_millis(250);
/// The same in a large fleet, where bounds are longer and each announcement has more receivers.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(400);
/// Intervals without an announcement after which a VM no longer counts as watching: two may be lost.
const MAX_SILENT_INTERVALS: f64 = 3.3;
/// Age from which a watcher's last response of the store shows that it is probably cut off.
///
/// The store responds at the end of each watch at the latest, and the next one follows soon.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1_600);
/// Age from which the watcher has noticed that itself, or has just begun to watch.
///
/// It then reports whether it reaches the store, which is what the ranking goes by.
const NOTICED_RESPONSE_AGE: Duration = Duration::from_secs(3);
/// Time from the start of the process in which the other VMs' watches may begin, as all may have
/// started together.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Delay between the takeovers of two VMs that are next to each other in the ranking.
const TAKEOVER_STEP: Duration = Duration::from_millis(60);
/// Maximum delay of a takeover by the rank of the VM.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Number of VMs of a data centre that watch in addition if its watchers get no responses.
///
/// More would not help against a store that is slow or away.
const AUXILIARIES: usize = 1;

/// Role of a VM that watches the store on behalf of all.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum WatchRole {
    /// Reads each change at once.
    Primary,
    /// Watches at longer intervals and reads what the primary missed.
    Standby,
    /// Watches because the regular watchers of the data centre have fallen silent.
    Substitute,
    /// Watches because those watchers get no response of the store.
    Auxiliary,
}

/// Returns the interval between two announcements of a VM.
pub fn interval(is_large_fleet: bool) -> Duration {
    if is_large_fleet {
        LARGE_FLEET_INTERVAL
    } else {
        INTERVAL
    }
}

/// Returns the time without an announcement after which a VM no longer counts as watching.
fn max_silence(is_large_fleet: bool) -> Duration {
    interval(is_large_fleet).mul_f64(MAX_SILENT_INTERVALS)
}

/// An announcement, with the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct Received {
    watch: report::Watch,
    at: Instant,
}

/// The latest announcements of the VMs that watch the store.
#[derive(Debug, Default)]
pub struct Watches {
    received: HashMap<Ipv4Addr, Received>,
}

impl Watches {
    /// Processes an announcement; returns whether it is newer than the last one of its sender.
    pub fn receive(&mut self, watch: report::Watch, now: Instant) -> bool {
        let address = Ipv4Addr::from(watch.address);
        let is_outdated = self.received.get(&address).is_some_and(|last| {
            last.watch.incarnation == watch.incarnation && last.watch.sequence >= watch.sequence
        });
        if !is_outdated {
            let received = Received { watch, at: now };
            self.received.insert(address, received);
        }
        !is_outdated
    }

    /// Forgets VMs that have been silent for long.
    pub fn expire(&mut self, lifetime: Duration, now: Instant) {
        self.received
            .retain(|_, received| now.since(received.at) < lifetime);
    }

    /// Returns the newest state of the list of targets that VMs still announce.
    pub fn targets(&self, is_large_fleet: bool, now: Instant) -> Option<State> {
        let silence = max_silence(is_large_fleet);
        let received = self.received.values();
        let recent = received.filter(|received| now.since(received.at) < silence);
        recent.map(|received| received.watch.targets()).max()
    }

    /// Returns whether a VM of the data centre has had a response of the store lately, as its
    /// announcements show.
    pub fn has_current(&self, data_centre: u64, now: Instant) -> bool {
        self.received.values().any(|received| {
            let age = Duration::from_millis(received.watch.response_age_ms.into());
            received.watch.data_centre == data_centre
                && age.saturating_add(now.since(received.at)) < MAX_RESPONSE_AGE
        })
    }

    /// Returns the role of a VM that is not one of the regular watchers of its data centre.
    ///
    /// `is_senior` returns whether a VM of the data centre ranks before this one, which comes `excess`
    /// ranks after the regular watchers.
    pub fn role(
        &self,
        data_centre: u64,
        is_senior: impl Fn(Ipv4Addr) -> bool,
        excess: usize,
        is_large_fleet: bool,
        now: Instant,
    ) -> Option<WatchRole> {
        let silence = max_silence(is_large_fleet);
        let startup = Instant::default() + STARTUP_TIME;
        let (mut announced_until, mut current_until) = (startup, startup);
        let seniors = self.received.iter().filter(|(address, received)| {
            received.watch.data_centre == data_centre && is_senior(**address)
        });
        for (_, received) in seniors {
            let end = received.at + silence;
            announced_until = announced_until.max(end);
            let age = Duration::from_millis(received.watch.response_age_ms.into());
            let current_end = if age < NOTICED_RESPONSE_AGE {
                end.min(received.at + MAX_RESPONSE_AGE.saturating_sub(age))
            } else {
                end
            };
            current_until = current_until.max(current_end);
        }
        let steps = u32::try_from(excess).unwrap_or(u32::MAX);
        let delay = TAKEOVER_STEP.saturating_mul(steps).min(MAX_TAKEOVER_DELAY);
        if now < current_until + delay {
            return None;
        }
        if now >= announced_until + delay {
            return Some(WatchRole::Substitute);
        }
        (excess < AUXILIARIES).then_some(WatchRole::Auxiliary)
    }
}
