//! Messages between the VMs, each of which fits in one datagram.

use {
    crate::{
        Load,
        feature::{Feature, Kind},
        listing,
        load::Pace,
        origin,
        returning::{Place, Places},
        revision::{Position, State},
        waiting::Waiter,
    },
    base::{Instant, key},
    prost::Message as _,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Tokens by which the memory of a run grows per second, to extrapolate reported loads: a decode
/// step of a busy engine takes about 11 ms.
const GROWTH_TOKENS_PER_SECOND: f64 = 90.0;
/// Maximum number of targets in a summary; each takes at most 46 bytes.
const MAX_SUMMARY_TARGETS: usize = 150;
/// Maximum size of the entries in a message about changes of the list of targets, in bytes.
///
/// Older builds receive datagrams of up to 8 KiB.
const MAX_CHANGES_BYTES: usize = 6 << 10;
/// Maximum number of VMs that a summary counts for a failing target; more make no difference.
const MAX_FAILING_VMS: u32 = 8;
/// Maximum number of keys of failing targets in a summary, of 8 bytes each.
const MAX_FAILING: usize = 64;
/// Maximum number of queued requests in a report.
const MAX_QUEUED: usize = 16;
/// Maximum number of places in a report.
pub const MAX_PLACES: usize = 32;
/// Longest time that a client of a place may have left, in milliseconds; no route permits an hour.
const MAX_REMAINING_MS: u32 = 3_600_000;
/// Maximum number of targets without load in a report whose pace the sender has measured.
const MAX_UNLOADED_PACES: usize = 16;

/// [`Load`] of one target in a message.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct TargetLoad {
    /// Raw key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub runs: u32,
    /// Memory that the runs are expected to need by the time they end, in tokens.
    #[prost(uint32, tag = "3")]
    pub peak_memory: u32,
    /// Prompt tokens that await prefill.
    #[prost(uint32, tag = "4")]
    pub pending_prefill: u32,
    /// Memory for copies of runs on other targets, in tokens.
    #[prost(uint32, tag = "5")]
    pub copy_memory: u32,
    /// Memory that the runs use now, in tokens.
    #[prost(uint32, tag = "6")]
    pub used_memory: u32,
    /// Time that work takes there relative to the expected one, in percent; 0 if it is not known.
    #[prost(uint32, tag = "7")]
    pub pace_percent: u32,
    /// Number of recent samples of the pace.
    #[prost(uint32, tag = "8")]
    pub pace_weight: u32,
}

impl TargetLoad {
    /// Encodes the load of a target.
    pub fn new(target: key::Target, load: Load) -> Self {
        Self {
            target: target.raw(),
            runs: load.runs,
            peak_memory: load.peak_memory,
            pending_prefill: load.pending_prefill,
            copy_memory: load.copy_memory,
            used_memory: load.used_memory,
            pace_percent: 0,
            pace_weight: 0,
        }
    }

    /// Adds the measured pace of the target, if there is any.
    #[must_use]
    pub fn with_pace(self, pace: Option<Pace>) -> Self {
        match pace {
            Some(pace) => Self {
                pace_percent: pace.percent,
                pace_weight: pace.weight,
                ..self
            },
            None => self,
        }
    }

    /// Adds measured paces to the loads of a report.
    ///
    /// Those of targets without load take entries of their own. Their number is limited, so that the
    /// size of a report doesn't grow with the number of targets; successive `round`s cover all.
    pub fn add_paces(loads: &mut Vec<Self>, paces: &HashMap<key::Target, Pace>, round: u64) {
        let mut unloaded: BTreeMap<u64, Pace> = paces
            .iter()
            .map(|(target, pace)| (target.raw(), *pace))
            .collect();
        for load in &mut *loads {
            *load = load.with_pace(unloaded.remove(&load.target));
        }
        let start = (round as usize).wrapping_mul(MAX_UNLOADED_PACES) % unloaded.len().max(1);
        let entries = unloaded.iter().cycle().skip(start);
        let entries = entries.take(unloaded.len().min(MAX_UNLOADED_PACES));
        loads.extend(entries.map(|(target, pace)| {
            let target = key::Target::from_raw(*target);
            Self::new(target, Load::default()).with_pace(Some(*pace))
        }));
    }

    /// Returns the measured pace of the target, if there is a valid one.
    pub fn pace(&self) -> Option<Pace> {
        let is_valid = self.pace_percent > 0 && (1..=255).contains(&self.pace_weight);
        is_valid.then_some(Pace {
            percent: self.pace_percent,
            weight: self.pace_weight,
        })
    }

    /// Returns the load with the expected growth of its runs during `age`.
    pub fn load(&self, age: Duration) -> Load {
        let growth = f64::from(self.runs) * GROWTH_TOKENS_PER_SECOND * age.as_secs_f64();
        Load {
            runs: self.runs,
            peak_memory: self.peak_memory,
            used_memory: self
                .peak_memory
                .max(self.used_memory)
                .min(self.used_memory + growth as u32),
            pending_prefill: self.pending_prefill,
            copy_memory: self.copy_memory,
        }
    }
}

/// Load and state of one VM; each replaces the previous one of the sender.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Report {
    /// IPv4 address of the sender; the port is the same on all VMs.
    #[prost(fixed32, tag = "1")]
    pub address: u32,
    /// Random number that the sender's process draws at its start.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// Revision of the last change in the sender's list of targets.
    #[prost(uint64, tag = "5")]
    pub targets_revision: u64,
    /// Load of the sender on each target.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<TargetLoad>,
    /// Raw keys of targets that are leaving.
    #[prost(fixed64, repeated, tag = "7")]
    pub leaving: Vec<u64>,
    /// Addresses of live peers of the sender, from which VMs learn of each other.
    #[prost(fixed32, repeated, tag = "8")]
    pub introductions: Vec<u32>,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "9")]
    pub is_stopping: bool,
    /// Whether the sender's last call to the store got no response.
    #[prost(bool, tag = "10")]
    pub is_store_unreachable: bool,
    /// Hash of the name of the sender's data centre.
    #[prost(fixed64, tag = "11")]
    pub data_centre: u64,
    /// Requests that are queued at the sender, the first ones of its queues.
    #[prost(message, repeated, tag = "12")]
    pub waiting: Vec<QueuedRequest>,
    /// Raw keys of targets that currently fail the sender's requests.
    #[prost(fixed64, repeated, tag = "13")]
    pub failing: Vec<u64>,
    /// Size of the configuration in force in bytes.
    #[prost(uint64, tag = "14")]
    pub configuration_bytes: u64,
    /// Whether the sender reaches no target, so that its failures are its own.
    #[prost(bool, tag = "15")]
    pub is_isolated: bool,
    /// Size of the configuration in force as peers may request it deflated, in bytes; 0 if they can't.
    #[prost(uint64, tag = "16")]
    pub configuration_transfer_bytes: u64,
    /// Rate of the sender's link in Mbit/s; 0 if it is not known.
    #[prost(uint32, tag = "17")]
    pub link_mbps: u32,
    /// Start of each target in `leaving`, in Unix milliseconds; 0 if it is not known.
    #[prost(uint64, repeated, tag = "18")]
    pub leaving_started_ms: Vec<u64>,
    /// Cordoned data centres; absent if the sender doesn't know or need them.
    #[prost(message, optional, tag = "19")]
    pub cordon: Option<Cordon>,
    /// Places of requests that the sender rejected, the newest ones.
    #[prost(message, repeated, tag = "20")]
    pub places: Vec<KeptPlace>,
    /// Raw keys of targets in `failing` that have failed no request: they want a pause, or their
    /// answer is overdue. Only from VMs that put failing targets on probation.
    #[prost(fixed64, repeated, tag = "24")]
    pub delayed: Vec<u64>,
}

/// A [`Place`]; ages replace times, as the VMs' clocks differ.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct KeptPlace {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Milliseconds since the client sent it for the first time.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Milliseconds until the client stops waiting.
    #[prost(uint32, tag = "3")]
    pub remaining_ms: u32,
    /// Milliseconds until the client may return.
    #[prost(uint32, tag = "4")]
    pub return_ms: u32,
}

impl KeptPlace {
    /// Encodes the newest places of requests that this VM rejected and whose clients are not due yet.
    pub fn newest(places: &Places, now: Instant) -> Vec<Self> {
        let places = places.local(MAX_PLACES, now).map(|place| Self {
            fingerprint: place.fingerprint.raw(),
            age_ms: now.since(place.arrived).as_millis() as u32,
            remaining_ms: place.deadline.since(now).as_millis() as u32,
            return_ms: place.returns.since(now).as_millis() as u32,
        });
        places.collect()
    }

    /// Decodes the place with times on the clock of the VM that received it at `received`.
    ///
    /// A place whose times don't fit together is ignored.
    pub fn to_place(&self, received: Instant) -> Option<Place> {
        let age_micros = u64::from(self.age_ms) * 1_000;
        (self.return_ms <= self.remaining_ms && self.remaining_ms <= MAX_REMAINING_MS).then(|| {
            Place {
                fingerprint: key::Fingerprint::from_raw(self.fingerprint),
                arrived: Instant::from_micros(received.as_micros().saturating_sub(age_micros)),
                deadline: received + Duration::from_millis(self.remaining_ms.into()),
                returns: received + Duration::from_millis(self.return_ms.into()),
            }
        })
    }
}

/// The cordoned data centres as of a position of the store.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Cordon {
    /// Era of the store.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Revision of the store within the era.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Names of the data centres.
    #[prost(string, repeated, tag = "3")]
    pub names: Vec<String>,
}

impl Report {
    /// Returns the targets that are leaving, with the starts of their processes.
    pub fn leaving_targets(&self) -> Vec<(key::Target, Option<u64>)> {
        let started = self.leaving_started_ms.iter().copied();
        // Older builds send no starts.
        let started = started.map(|started_ms| (started_ms > 0).then_some(started_ms));
        let started = started.chain(std::iter::repeat(None));
        let leaving = self.leaving.iter().map(|&raw| key::Target::from_raw(raw));
        leaving.zip(started).collect()
    }
}

/// Announcement of a VM that watches the store, to the VMs of its data centre.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Watch {
    /// IPv4 address of the sender.
    #[prost(fixed32, tag = "1")]
    pub address: u32,
    /// Random number that the sender's process draws at its start.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the announcement, of the same sequence as the reports'.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Hash of the name of the sender's data centre.
    #[prost(fixed64, tag = "4")]
    pub data_centre: u64,
    /// Milliseconds since the store last responded to the sender, of two watches the older one.
    #[prost(uint32, tag = "5")]
    pub response_age_ms: u32,
    /// Version of the sender's configuration.
    #[prost(uint64, tag = "6")]
    pub configuration_version: u64,
    /// Era and revision of the store at which the sender last found no newer configuration; 0 if
    /// it has not read any.
    #[prost(uint64, tag = "7")]
    pub configuration_era: u64,
    /// See `configuration_era`.
    #[prost(uint64, tag = "8")]
    pub configuration_revision: u64,
    /// Era and revision of the store up to which the sender's list of targets has all changes.
    #[prost(uint64, tag = "9")]
    pub targets_era: u64,
    /// See `targets_era`.
    #[prost(uint64, tag = "10")]
    pub targets_revision: u64,
    /// Hash of the entries of that list, see [`State`].
    #[prost(fixed64, tag = "11")]
    pub targets_digest: u64,
    /// Milliseconds by which removals are delayed; 0 unless the store was unavailable recently.
    #[prost(uint32, tag = "12")]
    pub removal_delay_ms: u32,
}

impl Watch {
    /// Returns the state of the sender's list of targets.
    pub fn targets(&self) -> State {
        State {
            position: Position {
                era: self.targets_era,
                revision: self.targets_revision,
            },
            digest: self.targets_digest,
        }
    }
}

/// A request that is queued at a VM; ages replace times, as the VMs' clocks differ.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct QueuedRequest {
    /// Raw key of the service that it waits for.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Rank; 0 is served first.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Milliseconds since its arrival.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Milliseconds until it stops waiting.
    #[prost(uint32, tag = "5")]
    pub remaining_ms: u32,
    /// Milliseconds until its turn, for which later requests go first; 0 once it has come.
    #[prost(uint32, tag = "6")]
    pub turn_ms: u32,
}

impl QueuedRequest {
    /// Encodes the requests that are served first, as many as fit in a report.
    pub fn most_urgent(waiters: impl Iterator<Item = Waiter>, now: Instant) -> Vec<Self> {
        let mut waiters: Vec<_> = waiters.collect();
        waiters.sort_unstable_by_key(|waiter| (waiter.priority, waiter.turn));
        let first = waiters.into_iter().take(MAX_QUEUED);
        let queued = first.map(|waiter| Self {
            service: waiter.service.raw(),
            priority: waiter.priority,
            age_ms: now.since(waiter.turn).as_millis() as u32,
            remaining_ms: waiter.deadline.since(now).as_millis() as u32,
            turn_ms: waiter.turn.since(now).as_millis() as u32,
        });
        queued.collect()
    }

    /// Decodes the request with times on the clock of the VM that received it at `received`.
    pub fn to_waiter(&self, received: Instant) -> Waiter {
        let age_micros = u64::from(self.age_ms) * 1_000;
        Waiter {
            service: key::Service::from_raw(self.service),
            priority: self.priority,
            turn: Instant::from_micros(received.as_micros().saturating_sub(age_micros))
                + Duration::from_millis(self.turn_ms.into()),
            deadline: received + Duration::from_millis(self.remaining_ms.into()),
        }
    }
}

/// Load of all VMs of a data centre, sent by one of them to VMs of the other data centres.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Summary {
    /// Hash of the name of the data centre.
    #[prost(fixed64, tag = "1")]
    pub data_centre: u64,
    /// Load of each target that has changed, or of all targets in a full summary.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<TargetLoad>,
    /// Whether this replaces all earlier summaries: targets that are not listed have no load.
    #[prost(bool, tag = "3")]
    pub is_full: bool,
    /// Targets that fail requests of the data centre's VMs; replaces those of earlier summaries.
    #[prost(message, optional, tag = "4")]
    pub failing: Option<Failing>,
}

/// Targets that fail requests, in a [`Summary`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Failing {
    /// Raw key of each target, once for each VM whose requests it fails.
    #[prost(fixed64, repeated, tag = "1")]
    pub targets: Vec<u64>,
    /// Raw key of each of these targets, once for each of the VMs of which it has failed no request.
    #[prost(fixed64, repeated, tag = "2")]
    pub delayed: Vec<u64>,
}

impl Failing {
    /// Encodes the number of VMs whose requests each target fails, as far as a datagram has room.
    pub fn new(counts: &HashMap<key::Target, u32>) -> Self {
        Self {
            targets: Self::encode(counts),
            delayed: Vec::new(),
        }
    }

    /// The same with the number of VMs among these of which each target has failed no request.
    pub fn with_delayed(
        counts: &HashMap<key::Target, u32>,
        delayed: &HashMap<key::Target, u32>,
    ) -> Self {
        let encoded_delayed = delayed.iter().map(|(target, delayed)| {
            // The difference of the two encoded numbers is to be that of VMs with failed requests.
            let count = counts.get(target).copied().unwrap_or_default();
            let failed = count.saturating_sub(*delayed);
            (*target, count.min(MAX_FAILING_VMS).saturating_sub(failed))
        });
        Self {
            targets: Self::encode(counts),
            delayed: Self::encode(&encoded_delayed.collect()),
        }
    }

    fn encode(counts: &HashMap<key::Target, u32>) -> Vec<u64> {
        let vms = |count: u32| count.min(MAX_FAILING_VMS) as usize;
        let mut targets: Vec<_> = counts
            .iter()
            .flat_map(|(target, count)| std::iter::repeat_n(target.raw(), vms(*count)))
            .collect();
        targets.sort_unstable();
        targets.truncate(MAX_FAILING);
        targets
    }
}

impl Summary {
    /// Splits loads into summaries that fit in a datagram each; only the first one may be full.
    pub fn split(data_centre: u64, loads: &[TargetLoad], is_full: bool) -> Vec<Self> {
        let empty = Self {
            data_centre,
            loads: Vec::new(),
            is_full,
            failing: None,
        };
        let mut parts: Vec<_> = loads
            .chunks(MAX_SUMMARY_TARGETS)
            .map(|chunk| Self {
                loads: chunk.to_vec(),
                is_full: false,
                ..empty.clone()
            })
            .collect();
        if let Some(part) = parts.first_mut() {
            part.is_full = is_full;
        } else if is_full {
            parts.push(empty);
        }
        parts
    }
}

/// An entry of [`Changes`]: a target that was added, updated or removed.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Entry {
    /// Revision of the store at which the change was made.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Raw key of the target.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// New description of the target; absent if its entry was removed.
    #[prost(message, optional, tag = "3")]
    pub description: Option<Description>,
}

/// A [`listing::Target`] without its key.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Description {
    /// Name of the target's instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// IPv4 address of the target.
    #[prost(fixed32, tag = "2")]
    pub address: u32,
    /// TCP port of the target.
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// Raw key of the service that it belongs to.
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// Name of the data centre that it runs in.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Number of requests that it can run concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    #[prost(bool, tag = "7")]
    pub is_leaving: bool,
    /// Start of its process in Unix milliseconds, if known.
    #[prost(uint64, optional, tag = "8")]
    pub started_ms: Option<u64>,
    /// Release of the software that it runs.
    #[prost(string, tag = "9")]
    pub release: String,
    /// Milliseconds for which it is still cold, if known.
    #[prost(uint32, optional, tag = "10")]
    pub cold_remaining_ms: Option<u32>,
}

impl Description {
    /// Returns the time for which the target is still cold; `None` if that can't be true.
    pub fn cold_remaining(&self) -> Option<Duration> {
        let remaining = Duration::from_millis(self.cold_remaining_ms?.into());
        (remaining <= listing::MAX_COLD_REMAINING).then_some(remaining)
    }
}

/// Changes of the list of targets, sent to all peers by a VM that watches the store.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Changes {
    /// Revision of the last change before these; a receiver with an older list has missed some.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision of the last of these changes.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// The changes in the order of their revisions.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Milliseconds by which removals are delayed; 0 unless the store was unavailable recently.
    #[prost(uint32, tag = "4")]
    pub removal_delay_ms: u32,
    /// Era of the store that the revisions belong to; 0 if it is not known.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

impl Changes {
    /// Splits changes into messages that fit in a datagram each and follow one another.
    ///
    /// Entries of one revision stay together. A receiver that misses a message applies none of
    /// those after it, and reads the changes from the store.
    pub fn split(self) -> Vec<Self> {
        let mut parts: Vec<Self> = Vec::new();
        let mut bytes = 0;
        let mut entries = self.entries;
        entries.sort_by_key(|entry| entry.revision);
        for entry in entries {
            let entry_bytes = entry.encoded_len();
            let last = parts.last_mut().filter(|part| {
                part.to == entry.revision || bytes + entry_bytes <= MAX_CHANGES_BYTES
            });
            if let Some(part) = last {
                bytes += entry_bytes;
                part.to = entry.revision;
                part.entries.push(entry);
                continue;
            }
            bytes = entry_bytes;
            parts.push(Self {
                from: parts.last().map_or(self.from, |part| part.to),
                to: entry.revision,
                entries: vec![entry],
                removal_delay_ms: self.removal_delay_ms,
                era: self.era,
            });
        }
        // Without entries, the revision alone has advanced.
        let Some(last) = parts.last_mut() else {
            return vec![Self {
                entries: Vec::new(),
                ..self
            }];
        };
        last.to = self.to;
        parts
    }
}

/// Where a stream began that clients may resume.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Origin {
    /// Raw key of the attempt that brought the first event.
    #[prost(fixed64, tag = "1")]
    pub attempt: u64,
    /// Milliseconds for which clients may resume the stream.
    #[prost(uint32, tag = "2")]
    pub lifetime_ms: u32,
    /// Raw key of the service.
    #[prost(fixed64, tag = "3")]
    pub service: u64,
    /// Release of the engine's software; an origin without one is not valid.
    #[prost(string, tag = "4")]
    pub release: String,
}

impl Origin {
    /// Encodes the origin of a stream that clients may resume within `lifetime`.
    pub fn new(attempt: key::Request, origin: &origin::Origin, lifetime: Duration) -> Self {
        Self {
            attempt: attempt.raw(),
            lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
            service: origin.service.raw(),
            release: origin.release.to_string(),
        }
    }

    /// Decodes the origin; `None` if it is not valid.
    pub fn origin(&self) -> Option<origin::Origin> {
        (!self.release.is_empty()).then(|| origin::Origin {
            service: key::Service::from_raw(self.service),
            release: self.release.as_str().into(),
        })
    }
}

/// A target that broke off a request before or shortly after it began to answer.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Loss {
    /// Raw key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Raw key of the service.
    #[prost(fixed64, tag = "2")]
    pub service: u64,
    /// Raw keys of the shared parts of the request's prompt, in their order.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// Milliseconds since the loss.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Raw key of the request's fingerprint.
    #[prost(fixed64, optional, tag = "5")]
    pub fingerprint: Option<u64>,
}

impl Loss {
    /// Encodes the loss of a request with these features, all of one service.
    pub fn new(target: key::Target, features: &[Feature], age: Duration) -> Self {
        let ids = |kind| {
            let of_kind = features.iter().filter(move |feature| feature.kind == kind);
            of_kind.map(|feature| feature.id)
        };
        Self {
            target: target.raw(),
            service: features.first().map_or(0, |feature| feature.service.raw()),
            parts: ids(Kind::Part).collect(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            fingerprint: ids(Kind::Request).next(),
        }
    }

    /// Decodes the features of the request.
    pub fn features(&self) -> impl Iterator<Item = Feature> + '_ {
        let service = key::Service::from_raw(self.service);
        let parts = self.parts.iter().map(move |&id| (Kind::Part, id));
        let request = self.fingerprint.iter().map(move |&id| (Kind::Request, id));
        let features = parts.chain(request);
        features.map(move |(kind, id)| Feature { service, kind, id })
    }
}

/// How often targets of a VM survived the beginning of an answer to requests with a suspect feature.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Survival {
    /// Raw key of the service.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Raw key of the part or of the request's fingerprint.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// Survivals since the feature became a suspect.
    #[prost(uint32, tag = "3")]
    pub recent: u32,
    /// Survivals before that.
    #[prost(uint32, tag = "4")]
    pub earlier: u32,
    /// Whether the feature is a request rather than a part.
    #[prost(bool, tag = "5")]
    pub is_request: bool,
}

impl Survival {
    /// Encodes the survivals of a feature.
    pub fn new(feature: Feature, recent: u32, earlier: u32) -> Self {
        Self {
            service: feature.service.raw(),
            id: feature.id,
            recent,
            earlier,
            is_request: feature.kind == Kind::Request,
        }
    }

    /// Decodes the feature.
    pub fn feature(&self) -> Feature {
        decode_feature(self.service, self.id, self.is_request)
    }
}

/// A feature that is quarantined, or was.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Quarantined {
    /// Raw key of the service.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Raw key of the part or of the request's fingerprint.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// Number of times that the feature was quarantined.
    #[prost(uint32, tag = "3")]
    pub level: u32,
    /// Milliseconds until the next trial.
    #[prost(uint32, tag = "4")]
    pub remaining_ms: u32,
    /// Whether the feature has been released since.
    #[prost(bool, tag = "5")]
    pub is_released: bool,
    /// Whether the feature is a request rather than a part.
    #[prost(bool, tag = "6")]
    pub is_request: bool,
}

impl Quarantined {
    /// Encodes the state of a feature.
    pub fn new(feature: Feature, level: u32, remaining: Duration, is_released: bool) -> Self {
        Self {
            service: feature.service.raw(),
            id: feature.id,
            level,
            remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            is_released,
            is_request: feature.kind == Kind::Request,
        }
    }

    /// Decodes the feature.
    pub fn feature(&self) -> Feature {
        decode_feature(self.service, self.id, self.is_request)
    }
}

fn decode_feature(service: u64, id: u64, is_request: bool) -> Feature {
    Feature {
        service: key::Service::from_raw(service),
        kind: if is_request {
            Kind::Request
        } else {
            Kind::Part
        },
        id,
    }
}

/// Number of requests that the targets of a service have survived lately.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Survived {
    /// Raw key of the service.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Number of the sender's requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

impl Survived {
    /// Encodes the number of requests of a service.
    pub fn new(service: key::Service, requests: u32) -> Self {
        Self {
            service: service.raw(),
            requests,
        }
    }

    /// Decodes the service.
    pub fn service(&self) -> key::Service {
        key::Service::from_raw(self.service)
    }
}

/// What a VM knows of features of requests that crash their targets.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Evidence {
    /// Random number that the sender's process draws at its start.
    #[prost(fixed64, tag = "1")]
    pub vm: u64,
    /// Recent losses of the sender's requests.
    #[prost(message, repeated, tag = "2")]
    pub losses: Vec<Loss>,
    /// Survivals of suspect features that the sender has seen itself.
    #[prost(message, repeated, tag = "3")]
    pub survivals: Vec<Survival>,
    /// Features that are quarantined, or were until recently.
    #[prost(message, repeated, tag = "4")]
    pub quarantined: Vec<Quarantined>,
    /// What targets have survived lately, one entry for each service.
    #[prost(message, repeated, tag = "6")]
    pub survived: Vec<Survived>,
}

/// The limit of one target in a message.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TargetLimit {
    /// Raw key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Requests per second that the target takes from all VMs together.
    #[prost(double, tag = "2")]
    pub rate: f64,
    /// Milliseconds since an answer last named the limit.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Requests that the sender has sent to the target since its last message.
    #[prost(uint32, tag = "4")]
    pub sent: u32,
    /// Milliseconds until the target takes requests again, by the sender's schedule.
    #[prost(uint32, tag = "5")]
    pub backlog_ms: u32,
    /// Whether the target no longer names a limit; the other fields are then absent.
    #[prost(bool, tag = "6")]
    pub is_ended: bool,
}

/// Limits that targets have named, and what was sent to these targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limits {
    /// One entry for each target.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<TargetLimit>,
    /// One entry for each target that falls over if it has to refuse many requests.
    #[prost(message, repeated, tag = "2")]
    pub brittle: Vec<BrittleTarget>,
}

/// A target that falls over if it has to refuse many requests.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct BrittleTarget {
    /// Raw key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Refusals per second beyond which it falls over.
    #[prost(uint32, tag = "2")]
    pub max_refusals: u32,
    /// Milliseconds since an answer last named the number.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Requests of the sender that it has refused since the sender's last message.
    #[prost(uint32, tag = "4")]
    pub refused: u32,
}

/// Content of one datagram; one field is present, or a report and an announcement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Load and state of the sender.
    #[prost(message, optional, tag = "1")]
    pub report: Option<Report>,
    /// Changes of the list of targets.
    #[prost(message, optional, tag = "2")]
    pub changes: Option<Changes>,
    /// Load of the sender's data centre.
    #[prost(message, optional, tag = "3")]
    pub summary: Option<Summary>,
    /// Origin of a stream that the sender has begun or resumed.
    #[prost(message, optional, tag = "4")]
    pub origin: Option<Origin>,
    /// What the sender knows of requests that crash their targets.
    #[prost(message, optional, tag = "5")]
    pub evidence: Option<Evidence>,
    /// Limits that targets have named.
    #[prost(message, optional, tag = "6")]
    pub limits: Option<Limits>,
    /// That the sender watches the store.
    #[prost(message, optional, tag = "7")]
    pub watch: Option<Watch>,
}
