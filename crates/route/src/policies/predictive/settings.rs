//! Settings of the predictive policy.

use derive_more::{Display, FromStr};

/// A part of the policy that measurements can switch off.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Mechanism {
    /// Admission by predicted instead of current memory.
    Forecast,
    /// Memory and places kept for classes of higher priority.
    Headroom,
    /// Fair queueing by customer.
    Fairness,
    /// Preference for targets that hold a prefix of the prompt.
    Affinity,
    /// Refusal when the predicted wait passes the deadline.
    Refusal,
    /// Ejection of targets that fail.
    Outlier,
    /// Division of free memory among the VMs that saw the same report.
    Claim,
}

/// How the policy weighs what it knows.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Parts that are switched off.
    pub off: Vec<Mechanism>,
    /// Deviations of the predicted memory that are kept free.
    pub margin: f32,
    /// The margin for a request that has waited for as long as it can.
    pub least_margin: f32,
    /// Targets drawn for one decision.
    pub samples: usize,
    /// Targets looked at, at most, if none of the drawn ones fits.
    pub scan: usize,
    /// Score of a full batch.
    pub batch: f64,
    /// Score of a target in another data centre of the region.
    pub remote: f64,
    /// Score of the last target in this VM's own order if its memory is full, in proportion to that.
    ///
    /// VMs that prefer different targets know most of what their own ones run without a lag.
    pub home: f64,
    /// Largest random score, so that targets that are nearly alike all get requests.
    pub jitter: f64,
    /// Score that a prompt wholly held by the target saves.
    pub prefix: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            off: Vec::new(),
            margin: 1.75,
            least_margin: -1.0,
            samples: 10,
            scan: 64,
            batch: 0.3,
            remote: 0.02,
            home: 1.0,
            jitter: 0.0,
            prefix: 0.5,
        }
    }
}

impl Settings {
    /// Returns whether a part of the policy is switched on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
