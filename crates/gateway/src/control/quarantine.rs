//! Exchanges evidence of requests that crash their targets, and logs what follows from it.

use {
    crate::{Shared, control::reports},
    base::key,
    dispatch::{
        feature::Feature,
        quarantine::{Admission, Change},
        report::Evidence,
    },
    entry::runtime::with_timeout,
    rand::Rng,
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Upper bound of the random delay before a message, after which other VMs' may make it needless.
const MAX_SEND_DELAY: Duration = Duration::from_millis(15);
/// Interval of evaluations without new evidence.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// The quarantine of this process, and the signal that it has changed.
#[derive(Debug)]
pub struct Quarantine {
    state: Mutex<dispatch::Quarantine>,
    notifier: Sender<()>,
    wakeups: Receiver<()>,
}

impl Quarantine {
    /// Creates a quarantine without evidence.
    pub fn new(state: dispatch::Quarantine) -> Self {
        let (notifier, wakeups) = bounded(1);
        Self {
            state: Mutex::new(state),
            notifier,
            wakeups,
        }
    }

    /// Returns the number of quarantined features.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns what a VM that has just started lacks; `None` if nothing.
    pub fn evidence(&self, shared: &Shared) -> Option<Evidence> {
        self.lock().evidence(shared.now())
    }

    fn lock(&self) -> MutexGuard<'_, dispatch::Quarantine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.notifier.try_send(());
    }
}

/// Decides about a request with the given features.
pub fn admit(shared: &Shared, features: &[Feature]) -> Admission {
    let mut state = shared.quarantine.lock();
    let admission = state.admit(features, shared.now());
    log_changes(&mut state);
    drop(state);
    if matches!(admission, Admission::Trial(_)) {
        shared.quarantine.notify();
    }
    admission
}

/// Returns the number of recent losses of which a feature is a suspect, at any VM.
pub fn losses(shared: &Shared, feature: Feature) -> usize {
    shared.quarantine.lock().losses(feature)
}

/// Records that a target broke off a request before or shortly after it began to answer.
pub fn record_loss(shared: &Shared, target: key::Target, features: &[Feature]) {
    let mut state = shared.quarantine.lock();
    state.record_loss(target, features, shared.now());
    log_changes(&mut state);
    drop(state);
    shared.quarantine.notify();
}

/// Records that a target has begun to answer a request and was not lost.
pub fn record_survival(shared: &Shared, features: &[Feature]) {
    let mut state = shared.quarantine.lock();
    state.record_survival(features, shared.now());
    let is_waiting = state.next_poll(shared.now()).is_some();
    log_changes(&mut state);
    drop(state);
    if is_waiting {
        shared.quarantine.notify();
    }
}

/// Adds what another VM knows.
pub fn receive(shared: &Shared, evidence: &Evidence) {
    let mut state = shared.quarantine.lock();
    state.receive(evidence, shared.now());
    log_changes(&mut state);
    drop(state);
    shared.quarantine.notify();
}

/// Evaluates the evidence and sends what the other VMs lack, until the process exits.
pub async fn run(shared: Arc<Shared>) {
    let quarantine = &shared.quarantine;
    loop {
        let delay = quarantine.lock().next_poll(shared.now());
        with_timeout(delay.unwrap_or(IDLE_INTERVAL), quarantine.wakeups.recv()).await;
        let delay = rand::rng().random_range(Duration::ZERO..MAX_SEND_DELAY);
        Timer::after(delay).await;
        let news = {
            let mut state = quarantine.lock();
            let news = state.take_news(shared.now());
            log_changes(&mut state);
            news
        };
        if let Some(news) = news {
            reports::send_evidence(&shared, news).await;
        }
    }
}

fn log_changes(state: &mut dispatch::Quarantine) {
    for change in state.take_changes() {
        match change {
            Change::Quarantined {
                feature,
                losses,
                level,
                duration,
            } => log::warn!(
                target: "quarantine", feature:% = feature, service:% = feature.service, losses, level,
                duration_ms = duration.as_millis() as u64;
                "targets crash on a feature of requests; refusing requests that have it"
            ),
            Change::Released { feature } => log::info!(
                target: "quarantine", feature:% = feature, service:% = feature.service;
                "requests with the feature are sent again"
            ),
        }
    }
}
