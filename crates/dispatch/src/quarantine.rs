//! Finds what requests carry along that crashes their targets, and holds back such requests.
//!
//! A target may crash whenever it begins to run a certain request, whoever repeats that, or, an
//! engine, to answer a prompt that contains a certain part. If such requests are sent on, they take
//! down one target after the other, and with each of them all that it runs.
//!
//! A *loss* is a target that broke off requests which it had not begun or had only just begun to
//! answer; their features are suspects: the parts of the prompt, and the request itself. Each VM
//! tells the others about its losses, and which suspects its targets have survived. A feature is
//! quarantined if it explains several losses that are apart in time and targets rarely survive it. A
//! feature that was only present is cleared: either targets survive it, or another feature explains
//! all its losses, or it may have its losses by chance because requests without it are lost as
//! often. A quarantine ends with a trial, one request of the whole deployment; it is prolonged if the
//! target is lost again.

use {
    crate::{
        feature::{Feature, Kind},
        report::{Evidence, Loss, Quarantined, Survival, Survived},
    },
    base::{Instant, key, rendezvous},
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        time::Duration,
    },
};

/// Losses, apart in time, that a part of prompts must explain to be quarantined.
const MIN_PART_LOSSES: usize = 4;
/// Losses that a request must explain to be quarantined.
///
/// Other requests share its parts, but nothing else shares its fingerprint.
const MIN_REQUEST_LOSSES: usize = 3;
/// Number of times, apart from each other, at which these must have happened.
const MIN_REQUEST_EPISODES: usize = 2;
/// Losses, apart in time, that a feature must explain that targets used to survive.
const MIN_LOSSES_OF_SURVIVED: usize = 6;
/// Maximum probability that a feature has its losses by chance.
const MAX_CHANCE: f64 = 1e-3;
/// Requests without the feature that targets must have survived, as nothing else tells it from them.
const MIN_OTHER_SURVIVALS: f64 = 3.0;
/// Maximum number of VMs whose survivals are counted.
const MAX_VMS: usize = 1_024;
/// Losses at shorter intervals count once, as one failure may take several targets.
const EPISODE_INTERVAL: Duration = Duration::from_millis(250);
/// Reports of a target within this time are about the same loss.
const MERGE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between a loss and its evaluation, in which the other VMs report their suspects.
const SETTLE_DELAY: Duration = Duration::from_millis(100);
/// Time for which a loss counts.
const LOSS_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of losses that are remembered, as many as a bit set holds.
const MAX_LOSSES: usize = u64::BITS as usize;
/// Maximum number of requests of a loss that are remembered.
const MAX_REQUESTS: usize = 32;
/// Maximum number of suspects of a loss.
const MAX_SUSPECTS: usize = 64;
/// Maximum number of features in each half of a service's memory of survivals.
const MAX_SURVIVED: usize = 4_096;
/// Maximum number of services whose survivals are counted.
const MAX_SERVICES: usize = 16;
/// Time after which a half of the memory of survivals is replaced.
const SURVIVAL_PERIOD: Duration = Duration::from_secs(60);
/// Survivals reported by this many VMs are enough; the other VMs needn't report theirs.
const ENOUGH_REPORTERS: usize = 8;
/// Survivals of a quarantined feature, of requests sent before, after which it is released.
const RELEASING_SURVIVALS: u32 = 2;
/// Share of the duration for which a feature is first quarantined that targets used to survive.
const SURVIVED_DURATION_SHARE: f64 = 1.0 / 3.0;
/// Time for which a trial holds back further ones.
const TRIAL_DURATION: Duration = Duration::from_secs(10);
/// Minimum time by which another VM's trial prolongs a quarantine.
const MIN_EXTENSION: Duration = Duration::from_secs(2);
/// Time over which the VMs spread the start of a trial, so that one of them is first.
const TRIAL_SPREAD: Duration = Duration::from_secs(3);
/// Time after its end for which a quarantine is remembered, to prolong the next one.
const VERDICT_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of quarantined and released features that are remembered.
const MAX_VERDICTS: usize = 256;
/// Time for which a loss and a release are repeated to the other VMs.
const REPEAT_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of losses in a message; it must fit in a datagram.
const MAX_SENT_LOSSES: usize = 12;
/// Maximum number of survivals and of verdicts in a message.
const MAX_SENT_PARTS: usize = 32;

/// Durations of a quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Duration of a feature's first quarantine; each further one takes twice as long.
    pub duration: Duration,
    /// Upper bound of the duration.
    pub max_duration: Duration,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// None of its features is quarantined.
    Admitted,
    /// The quarantine of a feature is over, and this request shows whether targets survive it.
    Trial(Feature),
    /// A feature is quarantined.
    Refused {
        /// The quarantined feature.
        feature: Feature,
        /// Time until the next trial.
        retry_after: Duration,
    },
}

/// A change of the quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A feature is quarantined, or its quarantine prolonged.
    Quarantined {
        /// The feature.
        feature: Feature,
        /// Number of known losses of which it is a suspect.
        losses: usize,
        /// Number of times that it was quarantined.
        level: u32,
        /// Time until the next trial.
        duration: Duration,
    },
    /// A feature is no longer quarantined.
    Released {
        /// The feature.
        feature: Feature,
    },
}

/// A target that was lost, and the features that it may have been lost to.
#[derive(Debug)]
struct Case {
    target: key::Target,
    at: Instant,
    /// Suspects of all VMs, with their position in the prompt.
    suspects: Vec<(Feature, usize)>,
    /// Requests of all VMs that were lost with the target.
    requests: Vec<Request>,
}

/// A request that was lost with its target.
#[derive(Debug)]
struct Request {
    features: Box<[Feature]>,
    /// Whether it is one of this VM's, to be repeated to the others.
    is_own: bool,
}

impl Case {
    /// Adds a request unless it is known.
    fn add(&mut self, features: &[Feature], is_own: bool) {
        let mut known = self.requests.iter_mut();
        if let Some(known) = known.find(|request| *request.features == *features) {
            known.is_own |= is_own;
        } else if self.requests.len() < MAX_REQUESTS {
            self.requests.push(Request {
                features: features.into(),
                is_own,
            });
        }
    }

    /// Returns the number of requests for a service that don't have a feature.
    fn lost_without(&self, feature: Feature) -> usize {
        let others = self.requests.iter().filter(|request| {
            let mut features = request.features.iter();
            features.all(|other| other.service == feature.service && *other != feature)
        });
        others.count()
    }

    fn has(&self, feature: Feature) -> bool {
        self.suspects.iter().any(|(suspect, _)| *suspect == feature)
    }

    /// Returns whether the other VMs have had time to report their suspects.
    fn is_settled(&self, now: Instant) -> bool {
        now.since(self.at) >= SETTLE_DELAY
    }
}

/// What speaks against a feature.
#[derive(Debug, Default)]
struct Suspect {
    /// Bit set of the cases that it may explain.
    cases: u64,
    /// When those happened that the other VMs had time to report on.
    settled: Vec<Instant>,
    /// Position in the prompt.
    position: usize,
}

impl Suspect {
    fn losses(&self) -> usize {
        self.cases.count_ones() as usize
    }

    /// Returns whether the losses are enough; `is_ambiguous` if another feature explains them, too.
    fn is_sufficient(&self, kind: Kind, was_survived: bool, is_ambiguous: bool) -> bool {
        let episodes = count_episodes(&self.settled);
        match kind {
            _ if was_survived => episodes >= MIN_LOSSES_OF_SURVIVED,
            Kind::Part => episodes >= MIN_PART_LOSSES,
            // One that is repeated after each loss meets the cause of it at the next target.
            Kind::Request => {
                let min_losses = MIN_REQUEST_LOSSES + usize::from(is_ambiguous);
                self.settled.len() >= min_losses && episodes >= MIN_REQUEST_EPISODES
            }
        }
    }
}

/// Survivals of a suspect, by the VM that reported them.
#[derive(Debug, Default)]
struct Tally {
    /// Since it became a suspect.
    recent: BTreeMap<u64, u32>,
    /// Before that.
    earlier: BTreeMap<u64, u32>,
}

impl Tally {
    fn recent(&self) -> u32 {
        self.recent
            .values()
            .fold(0, |sum, &count| sum.saturating_add(count))
    }

    fn was_survived(&self) -> bool {
        self.earlier.values().any(|&count| count > 0)
    }

    fn add(counts: &mut BTreeMap<u64, u32>, vm: u64, count: u32) {
        if count > 0 && (counts.len() < ENOUGH_REPORTERS || counts.contains_key(&vm)) {
            let known = counts.entry(vm).or_default();
            *known = (*known).max(count);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Verdict {
    /// Number of times that the feature was quarantined.
    level: u32,
    /// End of the quarantine, or when it was released.
    until: Instant,
    is_released: bool,
    /// Whether this VM runs the trial.
    is_own_trial: bool,
}

impl Verdict {
    fn is_in_force(&self) -> bool {
        !self.is_released
    }
}

/// Requests of one service that targets have survived lately, and their features.
///
/// Two halves that replace each other bound the memory.
#[derive(Debug, Default)]
struct Survivals {
    current: HashMap<Feature, u32>,
    previous: HashMap<Feature, u32>,
    /// Number of requests in each half.
    totals: [u32; 2],
    started: Instant,
}

impl Survivals {
    /// Records a request with the given features.
    fn record(&mut self, features: &[Feature], now: Instant) {
        if self.current.len() >= MAX_SURVIVED || now.since(self.started) > SURVIVAL_PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.totals = [0, self.totals[0]];
            self.started = now;
        }
        self.totals[0] += 1;
        for feature in features {
            *self.current.entry(*feature).or_default() += 1;
        }
    }

    fn total(&self) -> u32 {
        self.totals[0] + self.totals[1]
    }

    fn count(&self, feature: Feature) -> u32 {
        let halves = [&self.current, &self.previous];
        halves.iter().filter_map(|half| half.get(&feature)).sum()
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.since(self.started) > 2 * SURVIVAL_PERIOD
    }
}

/// The evidence that this VM and its peers have, and the features that are quarantined.
#[derive(Debug)]
pub struct Quarantine {
    policy: Policy,
    /// Random number that identifies this process.
    vm: u64,
    cases: VecDeque<Case>,
    tallies: HashMap<Feature, Tally>,
    survivals: HashMap<key::Service, Survivals>,
    /// Number of requests that targets of the other VMs survived, and when they said so.
    survivals_elsewhere: HashMap<(key::Service, u64), (u32, Instant)>,
    verdicts: HashMap<Feature, Verdict>,
    /// When the evidence that has changed is to be evaluated.
    evaluation_due: Option<Instant>,
    changes: Vec<Change>,
    /// Whether the other VMs lack a survival or a verdict.
    has_news: bool,
}

impl Quarantine {
    /// Creates a quarantine without evidence; `vm` identifies this process.
    pub fn new(policy: Policy, vm: u64) -> Self {
        Self {
            policy,
            vm,
            cases: VecDeque::new(),
            tallies: HashMap::new(),
            survivals: HashMap::new(),
            survivals_elsewhere: HashMap::new(),
            verdicts: HashMap::new(),
            evaluation_due: None,
            changes: Vec::new(),
            has_news: false,
        }
    }

    /// Decides about a request with the given features.
    pub fn admit(&mut self, features: &[Feature], now: Instant) -> Admission {
        self.poll(now);
        let mut trial = None;
        for &feature in features {
            let verdict = self.verdicts.get(&feature);
            let Some(verdict) = verdict.filter(|verdict| verdict.is_in_force()) else {
                continue;
            };
            let opens = verdict.until + self.trial_delay(feature);
            if now < opens {
                return Admission::Refused {
                    feature,
                    retry_after: opens.since(now),
                };
            }
            trial = Some(feature);
        }
        let Some(feature) = trial else {
            return Admission::Admitted;
        };
        for feature in features {
            if let Some(verdict) = self.verdicts.get_mut(feature)
                && verdict.is_in_force()
            {
                verdict.until = now + TRIAL_DURATION;
                verdict.is_own_trial = true;
            }
        }
        self.has_news = true;
        Admission::Trial(feature)
    }

    /// Returns the number of recent losses of which a feature is a suspect.
    pub fn losses(&self, feature: Feature) -> usize {
        self.cases.iter().filter(|case| case.has(feature)).count()
    }

    /// Records that a target of this VM broke off a request before or shortly after its beginning.
    pub fn record_loss(&mut self, target: key::Target, features: &[Feature], now: Instant) {
        let features: Vec<_> = features.iter().copied().take(MAX_SUSPECTS).collect();
        if features.is_empty() {
            return;
        }
        for &feature in &features {
            if self
                .verdicts
                .get(&feature)
                .is_some_and(|verdict| verdict.is_own_trial && verdict.is_in_force())
            {
                self.quarantine(feature, now);
            }
        }
        self.suspect(target, &features, now, now)
            .add(&features, true);
        self.has_news = true;
    }

    /// Records that a target of this VM has begun to answer a request and was not lost.
    pub fn record_survival(&mut self, features: &[Feature], now: Instant) {
        if let Some(service) = features.first().map(|feature| feature.service)
            && (self.survivals.len() < MAX_SERVICES || self.survivals.contains_key(&service))
        {
            let survivals = self.survivals.entry(service).or_default();
            survivals.record(features, now);
        }
        for &feature in features {
            if let Some(verdict) = self.verdicts.get_mut(&feature)
                && std::mem::take(&mut verdict.is_own_trial)
                && verdict.is_in_force()
            {
                self.release(feature, now);
            }
            if let Some(tally) = self.tallies.get_mut(&feature) {
                let count = tally.recent.get(&self.vm).copied().unwrap_or_default() + 1;
                Tally::add(&mut tally.recent, self.vm, count);
                self.schedule(now);
                self.has_news |= count == 1 || count.is_power_of_two();
            }
        }
    }

    /// Adds what another VM knows.
    pub fn receive(&mut self, evidence: &Evidence, now: Instant) {
        if evidence.vm == self.vm {
            return;
        }
        for survived in evidence.survived.iter().take(MAX_SERVICES) {
            let key = (survived.service(), evidence.vm);
            let is_known = self.survivals_elsewhere.contains_key(&key);
            if is_known || self.survivals_elsewhere.len() < MAX_VMS {
                self.survivals_elsewhere
                    .insert(key, (survived.requests, now));
            }
        }
        for loss in &evidence.losses {
            let age = Duration::from_millis(loss.age_ms.into());
            let at = Instant::from_micros(
                now.as_micros()
                    .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
            );
            let features: Vec<_> = loss.features().take(MAX_SUSPECTS).collect();
            let target = key::Target::from_raw(loss.target);
            self.suspect(target, &features, at, now)
                .add(&features, false);
        }
        for survival in &evidence.survivals {
            if let Some(tally) = self.tallies.get_mut(&survival.feature()) {
                Tally::add(&mut tally.recent, evidence.vm, survival.recent);
                Tally::add(&mut tally.earlier, evidence.vm, survival.earlier);
                self.schedule(now);
            }
        }
        for quarantined in &evidence.quarantined {
            self.adopt(quarantined, now);
        }
    }

    /// Returns what the other VMs lack since the last call; `None` if nothing.
    pub fn take_news(&mut self, now: Instant) -> Option<Evidence> {
        self.poll(now);
        std::mem::take(&mut self.has_news).then(|| self.evidence(now))?
    }

    /// Returns all that the other VMs may lack, to make up for lost messages; `None` if nothing.
    pub fn evidence(&mut self, now: Instant) -> Option<Evidence> {
        self.poll(now);
        self.expire(now);
        let own = self.cases.iter().rev();
        let recent = own.filter(|case| now.since(case.at) < REPEAT_PERIOD);
        let losses = recent.flat_map(|case| {
            let own = case.requests.iter().filter(|request| request.is_own);
            own.map(|request| Loss::new(case.target, &request.features, now.since(case.at)))
        });
        let survivals = self.tallies.iter().filter_map(|(feature, tally)| {
            let own = |counts: &BTreeMap<u64, u32>| counts.get(&self.vm).copied();
            let (recent, earlier) = (own(&tally.recent), own(&tally.earlier));
            if recent.is_none() && earlier.is_none() {
                return None;
            }
            let is_close = self.losses(*feature) + 1 >= min_losses(feature.kind);
            let survival = Survival::new(
                *feature,
                recent.unwrap_or_default(),
                earlier.unwrap_or_default(),
            );
            is_close.then_some(survival)
        });
        let verdicts = self.verdicts.iter().filter(|(_, verdict)| {
            verdict.is_in_force() || now.since(verdict.until) < REPEAT_PERIOD
        });
        let quarantined = verdicts.map(|(feature, verdict)| {
            let remaining = verdict.until.since(now);
            Quarantined::new(*feature, verdict.level, remaining, verdict.is_released)
        });
        let survived = self
            .survivals
            .iter()
            .map(|(service, survivals)| Survived::new(*service, survivals.total()));
        let evidence = Evidence {
            vm: self.vm,
            survived: survived.collect(),
            losses: losses.take(MAX_SENT_LOSSES).collect(),
            survivals: survivals.take(MAX_SENT_PARTS).collect(),
            quarantined: quarantined.take(MAX_SENT_PARTS).collect(),
        };
        let is_empty = evidence.losses.is_empty()
            && evidence.survivals.is_empty()
            && evidence.quarantined.is_empty();
        (!is_empty).then_some(evidence)
    }

    /// Evaluates the evidence if that is due, and forgets what is too old.
    pub fn poll(&mut self, now: Instant) {
        if self.evaluation_due.is_some_and(|due| now >= due) {
            self.evaluation_due = None;
            self.expire(now);
            self.evaluate(now);
            if self.cases.iter().any(|case| !case.is_settled(now)) {
                self.schedule(now);
            }
        }
    }

    /// Returns the time until [`Self::poll`] evaluates new evidence; `None` if there is none.
    pub fn next_poll(&self, now: Instant) -> Option<Duration> {
        self.evaluation_due.map(|due| due.since(now))
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of quarantined features.
    pub fn len(&self) -> usize {
        let verdicts = self.verdicts.values();
        verdicts.filter(|verdict| verdict.is_in_force()).count()
    }

    /// Returns whether no feature is quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of features that are remembered for any reason.
    pub fn remembered_features(&self) -> usize {
        let suspects = self.cases.iter().map(|case| {
            let requests = case.requests.iter();
            case.suspects.len()
                + requests
                    .map(|request| request.features.len())
                    .sum::<usize>()
        });
        let survivals = self.survivals.values();
        let survivals =
            survivals.map(|survivals| survivals.current.len() + survivals.previous.len());
        suspects.sum::<usize>()
            + self.tallies.len()
            + survivals.sum::<usize>()
            + self.verdicts.len()
    }

    /// Returns how long after the end of a quarantine this VM may start the trial.
    fn trial_delay(&self, feature: Feature) -> Duration {
        let spread = TRIAL_SPREAD.as_millis() as u64;
        Duration::from_millis(rendezvous::weight(feature.id, self.vm) % spread)
    }

    /// Adds suspects to the loss of a target.
    fn suspect(
        &mut self,
        target: key::Target,
        features: &[Feature],
        at: Instant,
        now: Instant,
    ) -> &mut Case {
        let is_same = |case: &Case| {
            let distance = case.at.since(at).max(at.since(case.at));
            case.target == target && distance < MERGE_INTERVAL
        };
        let index = self.cases.iter().position(is_same);
        let index = index.unwrap_or_else(|| {
            if self.cases.len() >= MAX_LOSSES {
                self.cases.pop_front();
            }
            self.cases.push_back(Case {
                target,
                at,
                suspects: Vec::new(),
                requests: Vec::new(),
            });
            self.cases.len() - 1
        });
        for (position, &feature) in features.iter().enumerate() {
            let was_released = self
                .verdicts
                .get(&feature)
                .is_some_and(|verdict| verdict.is_released && at <= verdict.until);
            let case = &mut self.cases[index];
            if was_released || case.has(feature) || case.suspects.len() >= MAX_SUSPECTS {
                continue;
            }
            case.suspects.push((feature, position));
            let earlier = self.survivals.get(&feature.service);
            let earlier = earlier.map_or(0, |survivals| survivals.count(feature));
            let vm = self.vm;
            let is_new = !self.tallies.contains_key(&feature);
            let tally = self.tallies.entry(feature).or_default();
            if is_new {
                Tally::add(&mut tally.earlier, vm, earlier);
            }
            let is_reported = tally.earlier.len() + tally.recent.len() >= ENOUGH_REPORTERS;
            let is_own = tally.earlier.contains_key(&vm) || tally.recent.contains_key(&vm);
            self.has_news |= is_own && !is_reported;
        }
        self.schedule(now);
        &mut self.cases[index]
    }

    fn schedule(&mut self, now: Instant) {
        let due = now + SETTLE_DELAY;
        self.evaluation_due.get_or_insert(due);
    }

    /// Quarantines the features that explain the losses, and releases those that don't.
    ///
    /// The feature that explains most losses comes first; its losses then count for no other feature.
    fn evaluate(&mut self, now: Instant) {
        let mut open: Vec<usize> = (0..self.cases.len()).collect();
        let mut explaining = HashSet::new();
        while let Some(feature) = self.best_explanation(&open, now) {
            open.retain(|&case| !self.cases[case].has(feature));
            explaining.insert(feature);
        }
        for &feature in &explaining {
            let is_in_force = self
                .verdicts
                .get(&feature)
                .is_some_and(Verdict::is_in_force);
            if !is_in_force {
                self.quarantine(feature, now);
            }
        }
        let in_force = self.verdicts.iter();
        let in_force = in_force.filter(|(_, verdict)| verdict.is_in_force());
        let in_force: Vec<_> = in_force.map(|(feature, _)| *feature).collect();
        for feature in in_force {
            let losses = self.losses(feature);
            let survivals = self.recent_survivals(feature);
            let is_innocent = losses > 0 && !explaining.contains(&feature);
            let is_survived = survivals >= RELEASING_SURVIVALS && !exceeds(losses, survivals);
            if is_innocent || is_survived {
                self.release(feature, now);
            }
        }
    }

    /// Returns the feature that explains most of the given losses; `None` if none explains enough.
    fn best_explanation(&self, open: &[usize], now: Instant) -> Option<Feature> {
        let mut suspects: HashMap<Feature, Suspect> = HashMap::new();
        for &index in open {
            let case = &self.cases[index];
            for &(feature, position) in &case.suspects {
                let suspect = suspects.entry(feature).or_default();
                suspect.cases |= 1 << index;
                suspect.position = suspect.position.max(position);
                if case.is_settled(now) {
                    suspect.settled.push(case.at);
                }
            }
        }
        let eligible = suspects.iter().filter_map(|(&feature, suspect)| {
            let is_in_force = self
                .verdicts
                .get(&feature)
                .is_some_and(Verdict::is_in_force);
            let survivals = self.recent_survivals(feature);
            let was_survived = self.tallies.get(&feature).is_some_and(Tally::was_survived);
            let losses = suspect.losses();
            let is_alike = |other: &Suspect| suspect.cases & !other.cases == 0;
            let is_ambiguous = feature.kind == Kind::Request
                && suspects.iter().any(|(&other_feature, other)| {
                    other_feature != feature
                        && is_alike(other)
                        && self.recent_survivals(other_feature) <= survivals
                });
            let is_guilty = suspect.is_sufficient(feature.kind, was_survived, is_ambiguous)
                && self.chance(feature, losses, open) <= MAX_CHANCE
                && exceeds(losses, survivals);
            // Of equals, a part is in the request, and a later part is the more specific one.
            let rank = (
                losses,
                u32::MAX - survivals,
                !was_survived,
                is_in_force,
                feature.kind == Kind::Part,
                suspect.position,
                feature,
            );
            (is_in_force || is_guilty).then_some((rank, feature))
        });
        eligible.max().map(|(_, feature)| feature)
    }

    /// Returns the probability that requests with a feature were lost `losses` times by chance.
    ///
    /// It is estimated from the requests without the feature; 1 if targets have survived too few of
    /// them.
    fn chance(&self, feature: Feature, losses: usize, open: &[usize]) -> f64 {
        let own = self.survivals.get(&feature.service);
        let (total, with_feature) = own.map_or((0, 0), |survivals| {
            (survivals.total(), survivals.count(feature))
        });
        let share = if total > 0 {
            1.0 - f64::from(with_feature) / f64::from(total)
        } else {
            1.0
        };
        let elsewhere = self.survivals_elsewhere.iter();
        let elsewhere = elsewhere.filter(|((service, _), _)| *service == feature.service);
        let total = elsewhere.fold(f64::from(total), |sum, (_, (count, _))| {
            sum + f64::from(*count)
        });
        let survivals = total * share;
        if survivals < MIN_OTHER_SURVIVALS {
            return 1.0;
        }
        let open = open.iter().map(|&index| &self.cases[index]);
        let lost = open.map(|case| case.lost_without(feature)).sum::<usize>() as f64;
        let probability = (lost + 1.0) / (lost + survivals + 2.0);
        probability.powf(losses as f64)
    }

    fn recent_survivals(&self, feature: Feature) -> u32 {
        self.tallies.get(&feature).map_or(0, Tally::recent)
    }

    /// Quarantines a feature for longer than the last time.
    fn quarantine(&mut self, feature: Feature, now: Instant) {
        let level = self
            .verdicts
            .get(&feature)
            .map_or(0, |verdict| verdict.level)
            + 1;
        let was_survived = self.tallies.get(&feature).is_some_and(Tally::was_survived);
        let duration = if was_survived {
            self.policy.duration.mul_f64(SURVIVED_DURATION_SHARE)
        } else {
            self.policy.duration
        };
        let factor = 2_u32.saturating_pow(level - 1);
        let duration = duration
            .saturating_mul(factor)
            .min(self.policy.max_duration);
        self.set_verdict(
            feature,
            Verdict {
                level,
                until: now + duration,
                is_released: false,
                is_own_trial: false,
            },
        );
        self.changes.push(Change::Quarantined {
            feature,
            losses: self.losses(feature),
            level,
            duration,
        });
        self.has_news = true;
    }

    /// Ends a quarantine; the losses so far no longer count against the feature.
    fn release(&mut self, feature: Feature, now: Instant) {
        if let Some(verdict) = self.verdicts.get_mut(&feature) {
            verdict.is_released = true;
            verdict.is_own_trial = false;
            verdict.until = now;
        }
        self.forget_losses(feature);
        self.changes.push(Change::Released { feature });
        self.has_news = true;
    }

    fn forget_losses(&mut self, feature: Feature) {
        for case in &mut self.cases {
            case.suspects.retain(|(suspect, _)| *suspect != feature);
        }
        self.tallies.remove(&feature);
    }

    /// Takes over the verdict of another VM if it is newer.
    fn adopt(&mut self, quarantined: &Quarantined, now: Instant) {
        let feature = quarantined.feature();
        let remaining = Duration::from_millis(quarantined.remaining_ms.into());
        let until = now + remaining.min(self.policy.max_duration);
        let known = self.verdicts.get_mut(&feature);
        if let Some(known) = known
            && (known.level, known.is_released) >= (quarantined.level, quarantined.is_released)
        {
            let is_same = known.level == quarantined.level && known.is_in_force();
            let is_running = !quarantined.is_released && !remaining.is_zero();
            // The time that a message takes must not prolong a quarantine with each repetition.
            if is_same && is_running && until > known.until + MIN_EXTENSION {
                known.until = until;
            }
            return;
        }
        let was_in_force = self
            .verdicts
            .get(&feature)
            .is_some_and(Verdict::is_in_force);
        self.set_verdict(
            feature,
            Verdict {
                level: quarantined.level,
                until,
                is_released: quarantined.is_released,
                is_own_trial: false,
            },
        );
        if quarantined.is_released {
            self.forget_losses(feature);
        }
        if !quarantined.is_released {
            self.changes.push(Change::Quarantined {
                feature,
                losses: self.losses(feature),
                level: quarantined.level,
                duration: remaining,
            });
        } else if was_in_force {
            self.changes.push(Change::Released { feature });
        }
    }

    fn set_verdict(&mut self, feature: Feature, verdict: Verdict) {
        if self.verdicts.len() >= MAX_VERDICTS && !self.verdicts.contains_key(&feature) {
            let oldest = self
                .verdicts
                .iter()
                .min_by_key(|(_, verdict)| verdict.until);
            if let Some(oldest) = oldest.map(|(feature, _)| *feature) {
                self.verdicts.remove(&oldest);
            }
        }
        self.verdicts.insert(feature, verdict);
    }

    fn expire(&mut self, now: Instant) {
        self.cases.retain(|case| now.since(case.at) < LOSS_LIFETIME);
        let suspects = self.cases.iter().flat_map(|case| &case.suspects);
        let suspects: HashSet<_> = suspects.map(|(feature, _)| *feature).collect();
        self.tallies.retain(|feature, _| suspects.contains(feature));
        self.survivals_elsewhere
            .retain(|_, (_, received)| now.since(*received) < SURVIVAL_PERIOD);
        self.survivals
            .retain(|_, survivals| !survivals.is_expired(now));
        self.verdicts
            .retain(|_, verdict| now.since(verdict.until) < VERDICT_LIFETIME);
    }
}

/// Returns the least number of losses that a feature must explain to be quarantined.
fn min_losses(kind: Kind) -> usize {
    match kind {
        Kind::Part => MIN_PART_LOSSES,
        Kind::Request => MIN_REQUEST_LOSSES,
    }
}

/// Returns whether losses outweigh survivals: most requests with the feature lost their target.
fn exceeds(losses: usize, survivals: u32) -> bool {
    losses > 2 * survivals as usize
}

/// Returns the number of times that are at least [`EPISODE_INTERVAL`] apart.
fn count_episodes(times: &[Instant]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut last: Option<Instant> = None;
    let mut count = 0;
    for time in times {
        if last.is_none_or(|last| time.since(last) >= EPISODE_INTERVAL) {
            last = Some(time);
            count += 1;
        }
    }
    count
}
