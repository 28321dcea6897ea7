//! Messages of the inner protocol between the entry VMs; one datagram holds all that a VM has to say.

use {
    crate::{Load, waiting::Waiter},
    base::{Instant, key},
    std::time::Duration,
};

/// Tokens that a run adds to its memory in a second, by which older reports are brought forward: a
/// step of a busy engine takes about 11 ms.
const GROWTH_RATE: f64 = 90.0;
/// Most targets in a summary, of about 40 bytes each.
const MOST_WORK: usize = 150;
/// Most waiting requests in a report.
const MOST_WAITERS: usize = 16;

/// Work at one target, as the inner protocol carries it.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct TargetLoad {
    /// Raw key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub runs: u32,
    /// Tokens of memory that they need at their ends.
    #[prost(uint32, tag = "3")]
    pub peak_memory: u32,
    /// Tokens of prompts that have not been read yet.
    #[prost(uint32, tag = "4")]
    pub pending_prefill: u32,
    /// Tokens of memory of copies.
    #[prost(uint32, tag = "5")]
    pub copy_memory: u32,
    /// Tokens of memory that the requests need by now.
    #[prost(uint32, tag = "6")]
    pub used_memory: u32,
}

impl TargetLoad {
    /// Describes the load of a target.
    pub fn new(target: key::Target, load: Load) -> Self {
        Self {
            target: target.raw(),
            runs: load.runs,
            peak_memory: load.peak_memory,
            pending_prefill: load.pending_prefill,
            copy_memory: load.copy_memory,
            used_memory: load.used_memory,
        }
    }

    /// Returns the load, with what the requests have grown by since.
    pub fn load(&self, age: Duration) -> Load {
        let grown = f64::from(self.runs) * GROWTH_RATE * age.as_secs_f64();
        Load {
            runs: self.runs,
            peak_memory: self.peak_memory,
            used_memory: self
                .peak_memory
                .max(self.used_memory)
                .min(self.used_memory + grown as u32),
            pending_prefill: self.pending_prefill,
            copy_memory: self.copy_memory,
        }
    }
}

/// One VM's report.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Report {
    /// IP address of the sender; the port is the same on all VMs.
    #[prost(fixed32, tag = "1")]
    pub address: u32,
    /// Draw of the sender's process at its start.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Configuration version in force.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// Revision of the last change in its list of targets.
    #[prost(uint64, tag = "5")]
    pub targets_revision: u64,
    /// Work in progress.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<TargetLoad>,
    /// Raw keys of targets that leave.
    #[prost(fixed64, repeated, tag = "7")]
    pub leaving: Vec<u64>,
    /// Addresses of other VMs.
    #[prost(fixed32, repeated, tag = "8")]
    pub introductions: Vec<u32>,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "9")]
    pub is_stopping: bool,
    /// Whether the store left the sender's last call unanswered.
    #[prost(bool, tag = "10")]
    pub is_store_unreachable: bool,
    /// Hash of the sender's data centre.
    #[prost(fixed64, tag = "11")]
    pub data_centre: u64,
    /// Requests that wait for a place, by service.
    #[prost(message, repeated, tag = "12")]
    pub waiting: Vec<QueuedRequest>,
    /// Raw keys of targets that fail the sender's requests.
    #[prost(fixed64, repeated, tag = "13")]
    pub failing: Vec<u64>,
    /// Bytes of the configuration in force.
    #[prost(uint64, tag = "14")]
    pub configuration_bytes: u64,
}

/// A request that waits at a VM.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct QueuedRequest {
    /// Raw key of the service.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Urgency, 0 first.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Milliseconds since its arrival.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Milliseconds until it gives up.
    #[prost(uint32, tag = "5")]
    pub remaining_ms: u32,
}

impl QueuedRequest {
    /// Describes those of the requests that go first.
    pub fn most_urgent(waiters: impl Iterator<Item = Waiter>, now: Instant) -> Vec<Self> {
        let mut waiters: Vec<_> = waiters.collect();
        waiters.sort_unstable_by_key(|waiter| (waiter.priority, waiter.arrived));
        let first = waiters.into_iter().take(MOST_WAITERS);
        let waits = first.map(|waiter| Self {
            service: waiter.service.raw(),
            priority: waiter.priority,
            age_ms: now.since(waiter.arrived).as_millis() as u32,
            remaining_ms: waiter.deadline.since(now).as_millis() as u32,
        });
        waits.collect()
    }

    /// Returns the request, by the clock of the VM that heard of it.
    pub fn to_waiter(&self, heard: Instant) -> Waiter {
        let age = u64::from(self.age_ms) * 1_000;
        Waiter {
            service: key::Service::from_raw(self.service),
            priority: self.priority,
            arrived: Instant::from_micros(heard.as_micros().saturating_sub(age)),
            deadline: heard + Duration::from_millis(self.remaining_ms.into()),
        }
    }
}

/// Work of all VMs of a data centre, from one of them to some VMs of the other data centres.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Summary {
    /// Hash of the data centre.
    #[prost(fixed64, tag = "1")]
    pub data_centre: u64,
    /// Their work in progress; at targets that are not named it is as before.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<TargetLoad>,
    /// Whether there is no work at targets that are not named.
    #[prost(bool, tag = "3")]
    pub is_full: bool,
}

impl Summary {
    /// Splits work into summaries that fit a datagram each; only the first may be a whole one.
    pub fn split(data_centre: u64, work: &[TargetLoad], is_whole: bool) -> Vec<Self> {
        let first = Self {
            data_centre,
            loads: Vec::new(),
            is_full: is_whole,
        };
        let mut parts: Vec<_> = work
            .chunks(MOST_WORK)
            .map(|chunk| Self {
                loads: chunk.to_vec(),
                is_full: false,
                ..first.clone()
            })
            .collect();
        if let Some(part) = parts.first_mut() {
            part.is_full = is_whole;
        } else if is_whole {
            parts.push(first);
        }
        parts
    }
}

/// A target as the inner protocol carries it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Entry {
    /// Revision of the store at which it was written.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Raw key of the target.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Its description; absent if its entry was removed.
    #[prost(message, optional, tag = "3")]
    pub description: Option<Description>,
}

/// What a target says of itself.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Description {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// IP address.
    #[prost(fixed32, tag = "2")]
    pub address: u32,
    /// Port.
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// Raw key of the service.
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// Name of the data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether it leaves.
    #[prost(bool, tag = "7")]
    pub is_leaving: bool,
    /// Start of its process in Unix milliseconds.
    #[prost(uint64, optional, tag = "8")]
    pub started_ms: Option<u64>,
}

/// Changes of the list of targets, from a VM that watches the store to the others.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Changes {
    /// Revision of the last change before these.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Revision of the last of these.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// The changes in their order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Milliseconds for which removed entries may come back, since the store was in trouble.
    #[prost(uint32, tag = "4")]
    pub removal_delay_ms: u32,
}

/// What one datagram holds.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Datagram {
    /// A VM's report.
    #[prost(message, optional, tag = "1")]
    pub report: Option<Report>,
    /// Changes of the list of targets.
    #[prost(message, optional, tag = "2")]
    pub changes: Option<Changes>,
    /// Work of a data centre.
    #[prost(message, optional, tag = "3")]
    pub summary: Option<Summary>,
}
