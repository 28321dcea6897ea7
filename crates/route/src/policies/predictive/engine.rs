//! What the policy keeps for one target, and whether it has room for a request.

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

/// Memory that a request is taken to hold before any is known, in tokens.
const UNKNOWN_SIZE: f64 = 512.0;
/// Part of the free memory that all VMs together claim after one report.
const CLAIMED: f64 = 0.5;

/// The state of one target.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Requests and memory in use.
    pub usage: Usage,
    /// Failures, silence and pace.
    pub health: Health,
    /// Requests that this VM may still send on the strength of the newest report.
    claims: Option<u32>,
}

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Its predicted memory.
    pub profile: &'a Profile,
    /// The lengths of requests that others sent.
    pub typical: Option<&'a Curve>,
    /// Share of the target that its class may use.
    pub share: f64,
    /// Deviations of the predicted memory that are kept free.
    pub margin: f32,
    /// Whether memory is predicted; otherwise only the memory in use counts.
    pub forecast: bool,
    /// Whether free memory is divided among the VMs.
    pub claim: bool,
}

/// How full a target would be with a request.
#[derive(Clone, Copy, Debug)]
pub struct Fill {
    /// Predicted peak over the memory.
    pub memory: f64,
    /// Requests over the places.
    pub batch: f64,
    /// Requests that wait inside the target over the places.
    pub waiting: f64,
}

impl Engine {
    /// Takes a load report; `draw` from 0 to 1 rounds this VM's claim.
    pub fn report(&mut self, now: Instant, target: &Target, load: &Load, vms: u32, draw: f64) {
        let requests = load.running + load.waiting;
        let held = load.memory_used as f64 / f64::from(load.running.max(1));
        let waiting = (held * f64::from(load.waiting)) as u64;
        self.usage
            .report(now, load.age, requests, load.memory_used + waiting);
        self.claims = (vms > 1).then(|| {
            let free = self.free(target);
            (free * CLAIMED / f64::from(vms) + draw) as u32
        });
    }

    /// Returns how many typical requests there is room for.
    fn free(&self, target: &Target) -> f64 {
        let current = self.usage.current();
        let places = f64::from(target.concurrency) - current.requests as f64;
        if target.memory_tokens == 0 {
            return places.max(0.0);
        }
        let size = if current.requests > 0 {
            (current.tokens as f64 / current.requests as f64).max(1.0)
        } else {
            UNKNOWN_SIZE
        };
        let memory = (memory(target) - current.tokens as f64) / size;
        memory.min(places).max(0.0)
    }

    /// Counts a request that was sent.
    pub fn begin(&mut self, now: Instant, prompt: u32, profile: &Profile) {
        self.claims = self.claims.map(|claims| claims.saturating_sub(1));
        self.usage.begin(now, prompt, profile);
        self.health.begin(now);
    }

    /// Counts a request that ended; its room is this VM's to fill again.
    pub fn end(&mut self, now: Instant, tokens: u32, profile: &Profile) {
        self.claims = self.claims.map(|claims| claims + 1);
        self.usage.end(now, tokens, profile);
    }

    /// Returns how full the target would be, or `None` if it has no room.
    pub fn fit(&self, target: &Target, need: &Need<'_>) -> Option<Fill> {
        let requests = self.usage.current().requests.max(0) as f64;
        let concurrency = f64::from(target.concurrency);
        let fill = Fill {
            memory: self.filled(target, need),
            batch: (requests + 1.0) / concurrency.max(1.0),
            waiting: waiting(target) / concurrency.max(1.0),
        };
        if !target.has_place() {
            return None;
        }
        if self.usage.is_idle() {
            return Some(fill);
        }
        let places = (concurrency * need.share).floor().max(1.0);
        let claimed = need.claim && self.claims == Some(0);
        let fits = requests < places && fill.memory <= need.share && !claimed;
        fits.then_some(fill)
    }

    fn filled(&self, target: &Target, need: &Need<'_>) -> f64 {
        let memory = memory(target);
        if memory <= 0.0 {
            return 0.0;
        }
        let peak = match need.typical {
            Some(typical) if need.forecast => {
                f64::from(self.usage.peak(need.profile, typical, need.margin))
            }
            _ => self.usage.current().tokens as f64 + f64::from(need.profile.mean[0]),
        };
        peak / memory
    }
}

/// Returns the memory of a target in tokens, as it reports it or as it is configured.
fn memory(target: &Target) -> f64 {
    let reported = target.load.as_ref().map(|report| report.load.memory_total);
    let tokens = reported
        .filter(|&tokens| tokens > 0)
        .unwrap_or(target.memory_tokens);
    tokens as f64
}

fn waiting(target: &Target) -> f64 {
    target
        .load
        .as_ref()
        .map_or(0.0, |report| f64::from(report.load.waiting))
}
