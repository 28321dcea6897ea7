//! State of one target and the check whether it has capacity for a request.

use {
    crate::{
        Load,
        length::Curve,
        memory::{Profile, Usage},
        outlier::Health,
        target::Target,
    },
    base::Instant,
};

/// Assumed context of a request while none is known, in tokens.
const DEFAULT_CONTEXT_TOKENS: f64 = 512.0;
/// Share of the free capacity that all VMs together may fill after one report.
const QUOTA_SHARE: f64 = 0.5;

/// State of one target.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Requests and memory in use.
    pub usage: Usage,
    /// Failures, stalls and speed.
    pub health: Health,
    /// Requests that this VM may still send before the next report; `None` if unlimited.
    quota: Option<u32>,
}

/// Capacity that a request needs on a target.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Predicted memory of the request.
    pub profile: &'a Profile,
    /// Length curve assumed for requests sent by other VMs.
    pub peer_curve: Option<&'a Curve>,
    /// Share of the target's capacity that the class may use.
    pub capacity_share: f64,
    /// Standard deviations of the predicted memory that are kept free.
    pub margin: f32,
    /// Whether memory is predicted; otherwise only the memory in use now counts.
    pub uses_forecast: bool,
    /// Whether the VM's quota of the free capacity applies.
    pub uses_quota: bool,
}

/// Occupancy of a target after adding a request.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Predicted peak memory over the memory capacity.
    pub memory: f64,
    /// Requests, with the added one, over the concurrency.
    pub batch: f64,
    /// Requests that wait inside the target over the concurrency.
    pub waiting: f64,
}

impl Engine {
    /// Applies a load report; `rounding`, random in 0 to 1, rounds this VM's quota up or down.
    pub fn apply_report(
        &mut self,
        now: Instant,
        target: &Target,
        load: &Load,
        vms: u32,
        rounding: f64,
    ) {
        let requests = load.running + load.waiting;
        let mean_context = load.memory_used as f64 / f64::from(load.running.max(1));
        let waiting_tokens = (mean_context * f64::from(load.waiting)) as u64;
        self.usage
            .apply_report(now, load.age, requests, load.memory_used + waiting_tokens);
        self.quota = (vms > 1).then(|| {
            let free = self.free_capacity(target);
            (free * QUOTA_SHARE / f64::from(vms) + rounding) as u32
        });
    }

    /// Returns the number of further requests of mean size that the target has room for.
    fn free_capacity(&self, target: &Target) -> f64 {
        let current = self.usage.current();
        let free_slots = f64::from(target.concurrency) - current.requests as f64;
        if target.memory_tokens == 0 {
            return free_slots.max(0.0);
        }
        let mean_context = if current.requests > 0 {
            (current.tokens as f64 / current.requests as f64).max(1.0)
        } else {
            DEFAULT_CONTEXT_TOKENS
        };
        let free_contexts = (memory_capacity(target) - current.tokens as f64) / mean_context;
        free_contexts.min(free_slots).max(0.0)
    }

    /// Counts a request that was dispatched.
    pub fn begin(&mut self, now: Instant, prompt_tokens: u32, profile: &Profile) {
        self.quota = self.quota.map(|quota| quota.saturating_sub(1));
        self.usage.begin(now, prompt_tokens, profile);
        self.health.begin(now);
    }

    /// Counts a request that ended; this VM may send another one in its place.
    pub fn end(&mut self, now: Instant, tokens: u32, profile: &Profile) {
        self.quota = self.quota.map(|quota| quota + 1);
        self.usage.end(now, tokens, profile);
    }

    /// Returns the occupancy with the request, or `None` if the target has no capacity for it.
    ///
    /// An idle target takes any request, whatever its predicted memory.
    pub fn check_fit(&self, target: &Target, requirements: &Requirements<'_>) -> Option<Occupancy> {
        let requests = self.usage.current().requests.max(0) as f64;
        let concurrency = f64::from(target.concurrency);
        let occupancy = Occupancy {
            memory: self.memory_occupancy(target, requirements),
            batch: (requests + 1.0) / concurrency.max(1.0),
            waiting: waiting_requests(target) / concurrency.max(1.0),
        };
        if !target.has_free_slot() {
            return None;
        }
        if self.usage.is_idle() {
            return Some(occupancy);
        }
        let allowed_slots = (concurrency * requirements.capacity_share).floor().max(1.0);
        let quota_spent = requirements.uses_quota && self.quota == Some(0);
        let fits = requests < allowed_slots
            && occupancy.memory <= requirements.capacity_share
            && !quota_spent;
        fits.then_some(occupancy)
    }

    fn memory_occupancy(&self, target: &Target, requirements: &Requirements<'_>) -> f64 {
        let capacity = memory_capacity(target);
        if capacity <= 0.0 {
            return 0.0;
        }
        let peak = match requirements.peer_curve {
            Some(peer_curve) if requirements.uses_forecast => f64::from(self.usage.predict_peak(
                requirements.profile,
                peer_curve,
                requirements.margin,
            )),
            _ => self.usage.current().tokens as f64 + f64::from(requirements.profile.mean[0]),
        };
        peak / capacity
    }
}

/// Returns the memory capacity of a target in tokens: as reported, else as configured.
fn memory_capacity(target: &Target) -> f64 {
    let reported = target.load.as_ref().map(|report| report.load.memory_total);
    let tokens = reported
        .filter(|&tokens| tokens > 0)
        .unwrap_or(target.memory_tokens);
    tokens as f64
}

fn waiting_requests(target: &Target) -> f64 {
    target
        .load
        .as_ref()
        .map_or(0.0, |report| f64::from(report.load.waiting))
}
