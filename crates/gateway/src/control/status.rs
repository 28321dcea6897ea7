//! The state of the process for operators, as JSON.
//!
//! To add a list: a type for its entries that implements [`Entry`], a field of [`Report`], and a
//! function that returns the entries as a [`List`].

use {
    crate::Shared,
    base::key,
    dispatch::{Configuration, listing::Target, pace::Factors},
    serde::Serialize,
    std::cmp::{Ordering, Reverse},
};

/// Path of the status endpoint.
pub const PATH: &str = "/status";
/// Maximum number of entries of a list, which bounds the response in a fleet of hundreds of targets.
pub const MAX_ENTRIES: usize = 64;
/// Range of the factors of targets that are not listed.
const NORMAL_FACTORS: (f64, f64) = (0.8, 1.25);

/// What the process knows.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of this VM.
    pub vm: Box<str>,
    /// Data centre of this VM.
    pub data_centre: Box<str>,
    /// Whether it takes new connections.
    pub ready: bool,
    /// Version of the configuration in force; 0 before the first one.
    pub configuration_version: u64,
    /// Data centres that the operator has taken out of service.
    pub cordon: Cordon,
    /// Targets that are warming up, those with the longest remaining time first.
    pub cold_targets: List<Cold>,
    /// Instances on probation after they failed a request, by name.
    pub probation: List<Box<str>>,
    /// Targets that are slower or faster than normal, those that differ most first.
    pub paces: List<Pace>,
    /// Services with queued requests, those with the most first.
    pub queued: List<Queue>,
    /// Rejected requests whose clients are expected back.
    pub kept_places: usize,
}

/// An entry of a list.
pub trait Entry {
    /// Returns the order in which entries are listed; the last ones are left out of a long list.
    fn order(&self, other: &Self) -> Ordering;
}

/// The first entries of a list, with the number of all.
#[derive(Debug, Serialize)]
pub struct List<T> {
    total: usize,
    entries: Vec<T>,
}

/// The data centres that are out of service, as of a position of the store.
#[derive(Debug, Serialize)]
pub struct Cordon {
    /// Whether the settings permit that data centres are cordoned.
    pub enabled: bool,
    /// Position of the store; `None` until the set is known.
    pub position: Option<Position>,
    /// Names of the data centres.
    pub data_centres: List<Box<str>>,
}

/// A position of the store.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Position {
    /// Number of times that the store's history has begun anew.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}

/// A target that is warming up.
#[derive(Debug, Serialize)]
pub struct Cold {
    /// Name of the instance.
    pub target: Box<str>,
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Data centre that it runs in.
    pub data_centre: Box<str>,
    /// Time for which it is still cold; 0 if it is cold only until this VM knows its peers.
    pub remaining_ms: u64,
}

/// A target that is slower or faster than normal.
#[derive(Debug, Serialize)]
pub struct Pace {
    /// Name of the instance.
    pub target: Box<str>,
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Data centre that it runs in.
    pub data_centre: Box<str>,
    /// Time that work takes there now, relative to the median target.
    pub factor: f64,
    /// Time that work takes there in the long run, relative to the median target.
    pub usual_factor: f64,
}

/// The queued requests of a service.
#[derive(Debug, Serialize)]
pub struct Queue {
    /// Service that they wait for.
    pub service: Box<str>,
    /// Requests that are queued at this VM.
    pub local: usize,
    /// Requests that are queued at other VMs, as far as these report them.
    pub remote: usize,
}

impl Report {
    /// Reads the state of the process.
    pub fn collect(shared: &Shared) -> Self {
        // A VM without requests passes on what peers report only with its heartbeats.
        shared.refresh_peers();
        let settings = shared.settings.load();
        let current = shared.current.load();
        let configuration = current.as_ref().map(|current| &current.configuration);
        Self {
            vm: settings.vm.name.clone(),
            data_centre: settings.vm.data_centre.clone(),
            ready: shared.is_ready(),
            configuration_version: configuration.map_or(0, Configuration::version),
            cordon: cordon(shared),
            cold_targets: cold_targets(shared, configuration),
            probation: probation(shared),
            paces: paces(shared, configuration),
            queued: queued(shared, configuration),
            kept_places: shared.dispatcher.kept_places(shared.now()),
        }
    }
}

impl<T: Entry> List<T> {
    /// Keeps the first [`MAX_ENTRIES`] entries.
    pub fn new(entries: impl IntoIterator<Item = T>) -> Self {
        let mut entries: Vec<_> = entries.into_iter().collect();
        let total = entries.len();
        entries.sort_unstable_by(T::order);
        entries.truncate(MAX_ENTRIES);
        Self { total, entries }
    }
}

impl Entry for Box<str> {
    fn order(&self, other: &Self) -> Ordering {
        self.cmp(other)
    }
}

impl Entry for Cold {
    fn order(&self, other: &Self) -> Ordering {
        let key = |entry: &Self| Reverse(entry.remaining_ms);
        let order = key(self).cmp(&key(other));
        order.then_with(|| self.target.cmp(&other.target))
    }
}

impl Entry for Pace {
    fn order(&self, other: &Self) -> Ordering {
        let order = other.deviation().total_cmp(&self.deviation());
        order.then_with(|| self.target.cmp(&other.target))
    }
}

impl Entry for Queue {
    fn order(&self, other: &Self) -> Ordering {
        let key = |entry: &Self| Reverse(entry.local + entry.remote);
        let order = key(self).cmp(&key(other));
        order.then_with(|| self.service.cmp(&other.service))
    }
}

impl Pace {
    /// Creates the entry of a target; `None` if both of its factors are normal.
    pub fn new(target: &Target, service: Box<str>, factors: Factors) -> Option<Self> {
        let (fastest, slowest) = NORMAL_FACTORS;
        let is_normal = |factor| (fastest..=slowest).contains(&factor);
        (!is_normal(factors.current) || !is_normal(factors.usual)).then(|| Self {
            target: target.instance.clone(),
            service,
            data_centre: target.data_centre.clone(),
            factor: round(factors.current),
            usual_factor: round(factors.usual),
        })
    }

    /// Returns how far the factors are from 1, as a logarithm.
    fn deviation(&self) -> f64 {
        self.factor.ln().abs().max(self.usual_factor.ln().abs())
    }
}

fn cordon(shared: &Shared) -> Cordon {
    let set = shared.cordon.report();
    let position = set.as_ref().map(|set| Position {
        era: set.era,
        revision: set.revision,
    });
    let names = set.into_iter().flat_map(|set| set.names);
    Cordon {
        enabled: shared.cordon.is_enabled(),
        position,
        data_centres: List::new(names.map(Box::from)),
    }
}

fn cold_targets(shared: &Shared, configuration: Option<&Configuration>) -> List<Cold> {
    let targets = shared.cold_targets().into_iter();
    List::new(targets.map(|(target, remaining)| Cold {
        service: service_name(configuration, target.service),
        target: target.instance,
        data_centre: target.data_centre,
        remaining_ms: remaining.as_millis() as u64,
    }))
}

fn probation(shared: &Shared) -> List<Box<str>> {
    let targets = shared.dispatcher.targets_on_probation(shared.now());
    let known = targets.iter().filter_map(|key| shared.directory.get(*key));
    List::new(known.map(|target| target.instance))
}

fn paces(shared: &Shared, configuration: Option<&Configuration>) -> List<Pace> {
    let targets = shared.directory.all();
    let factors = shared.dispatcher.factors(&targets, shared.now());
    let factors = targets.iter().zip(factors);
    List::new(factors.filter_map(|(target, factors)| {
        let service = service_name(configuration, target.service);
        Pace::new(target, service, factors)
    }))
}

fn queued(shared: &Shared, configuration: Option<&Configuration>) -> List<Queue> {
    let counts = shared.dispatcher.queued_counts(shared.now()).into_iter();
    List::new(counts.map(|count| Queue {
        service: service_name(configuration, count.service),
        local: count.local,
        remote: count.remote,
    }))
}

/// Returns the name of a service, or its key if the configuration doesn't have it.
fn service_name(configuration: Option<&Configuration>, service: key::Service) -> Box<str> {
    let known = configuration.and_then(|configuration| configuration.service(service));
    known.map_or_else(|| service.to_string().into(), |known| known.name.clone())
}

fn round(factor: f64) -> f64 {
    (factor * 100.0).round() / 100.0
}
