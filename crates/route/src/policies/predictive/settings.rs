//! Settings of the predictive policy.

use derive_more::{Display, FromStr};

/// A mechanism of the policy that can be disabled, to measure what it contributes.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Mechanism {
    /// Admission by predicted instead of current memory.
    Forecast,
    /// Memory and slots reserved for classes of higher priority.
    Headroom,
    /// Fair queueing by customer.
    Fairness,
    /// Preference for targets that cache a prefix of the prompt.
    Affinity,
    /// Refusal when the predicted wait passes the deadline.
    Refusal,
    /// Ejection of failing targets.
    Outlier,
    /// Division of a target's free capacity among the VMs that received the same report.
    Claim,
}

/// Parameters of the policy; the score of a target is a cost, the lowest wins.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Disabled mechanisms.
    pub disabled: Vec<Mechanism>,
    /// Standard deviations of the predicted memory that are kept free.
    pub margin: f32,
    /// The margin for a request whose queueing time is used up.
    pub min_margin: f32,
    /// Targets sampled for one decision.
    pub samples: usize,
    /// Most targets considered in each group of a scan, after no sampled one had capacity.
    pub scan_limit: usize,
    /// Score added by a full batch.
    pub batch_weight: f64,
    /// Score added by a target in another data centre.
    pub remote_penalty: f64,
    /// Score added by the last target in this VM's preference order if its memory is full.
    ///
    /// It grows with the rank in that order and with the memory in use. VMs that prefer different
    /// targets know most of the load of their preferred ones without a lag.
    pub preference_weight: f64,
    /// Largest random score added, so that nearly equal targets all get requests.
    pub jitter: f64,
    /// Score subtracted if the target caches the whole prompt.
    pub prefix_weight: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            disabled: Vec::new(),
            margin: 1.75,
            min_margin: -1.0,
            samples: 10,
            scan_limit: 64,
            batch_weight: 0.3,
            remote_penalty: 0.02,
            preference_weight: 1.0,
            jitter: 0.0,
            prefix_weight: 0.5,
        }
    }
}

impl Settings {
    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
