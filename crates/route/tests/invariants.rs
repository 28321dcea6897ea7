//! Invariants of every policy under any order of events.

mod support;

use {
    base::key,
    mastictrail_route::{Action, Event, Load, Outcome, policies::NAMES},
    proptest::prelude::*,
    std::{
        collections::{HashMap, HashSet},
        fmt::Write,
        time::Duration,
    },
    support::{Deployment, Harness, target_key},
};

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        customer: u8,
        class: usize,
        deadline_seconds: u64,
    },
    Progress {
        index: usize,
        tokens: u32,
    },
    End {
        index: usize,
        outcome: Outcome,
    },
    Cancel {
        index: usize,
    },
    Report {
        target: usize,
        used: u64,
        running: u32,
    },
    Reachable {
        target: usize,
        reachable: bool,
    },
    Leaving {
        target: usize,
        leaving: bool,
    },
    Peer {
        target: usize,
        requests: u32,
    },
    VmCount(u32),
    Advance(u64),
}

const TARGETS: usize = 4;
const CONCURRENCY: u32 = 4;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        Just(Outcome::Complete),
        Just(Outcome::Cancelled),
        Just(Outcome::Refused),
        Just(Outcome::Failed),
    ];
    let target = 0..TARGETS;
    let step = prop_oneof![
        6 => (0..4_u8, 0..2_usize, 0..60_u64)
            .prop_map(|(customer, class, deadline_seconds)| {
                Step::Arrive { customer, class, deadline_seconds }
            }),
        4 => (any::<usize>(), 1..400_u32)
            .prop_map(|(index, tokens)| Step::Progress { index, tokens }),
        4 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::End { index, outcome }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        2 => (target.clone(), 0..20_000_u64, 0..6_u32)
            .prop_map(|(target, used, running)| Step::Report { target, used, running }),
        1 => (target.clone(), any::<bool>())
            .prop_map(|(target, reachable)| Step::Reachable { target, reachable }),
        1 => (target.clone(), any::<bool>())
            .prop_map(|(target, leaving)| Step::Leaving { target, leaving }),
        1 => (target, 0..4_u32).prop_map(|(target, requests)| Step::Peer { target, requests }),
        1 => (1..20_u32).prop_map(Step::VmCount),
        2 => (0..5_000_u64).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..120)
}

/// Checks actions against the queued requests and the running attempts.
#[derive(Debug, Default)]
struct Checker {
    queued: HashSet<key::Request>,
    running: Vec<(key::Request, key::Target)>,
    /// Whether a target is unreachable, and whether it is leaving.
    unusable: HashMap<key::Target, (bool, bool)>,
}

impl Checker {
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Dispatch(decision) => {
                    assert!(self.queued.remove(&decision.request), "answered twice");
                    let unusable = self.unusable.get(&decision.target);
                    assert!(
                        unusable.is_none_or(|&(unreachable, leaving)| !unreachable && !leaving),
                        "dispatched to a target that is leaving or unreachable"
                    );
                    self.running.push((decision.request, decision.target));
                    let on_target = self
                        .running
                        .iter()
                        .filter(|(_, target)| *target == decision.target);
                    assert!(
                        on_target.count() <= CONCURRENCY as usize,
                        "above the concurrency"
                    );
                }
                Action::Refuse { request, refusal } => {
                    assert!(self.queued.remove(request), "answered twice");
                    assert!(refusal.verdict.is_repeatable());
                    assert!(
                        refusal.retry_after.is_some(),
                        "the refusal has no retry delay"
                    );
                }
            }
        }
    }

    fn running_attempt(&mut self, index: usize) -> Option<(key::Request, key::Target)> {
        let index = index.checked_rem(self.running.len())?;
        Some(self.running[index])
    }
}

fn apply(harness: &mut Harness, checker: &mut Checker, step: &Step) -> Vec<Action> {
    match *step {
        Step::Arrive {
            customer,
            class,
            deadline_seconds,
        } => {
            let mut request = harness.request(&format!("c{customer}"), class);
            request.deadline = harness.now + Duration::from_secs(deadline_seconds);
            checker.queued.insert(request.key);
            harness.handle(Event::Arrived(Box::new(request)))
        }
        Step::Progress { index, tokens } => {
            let Some((request, _)) = checker.running_attempt(index) else {
                return Vec::new();
            };
            harness.handle(Event::Progress { request, tokens })
        }
        Step::End { index, outcome } => {
            let Some((request, _)) = checker.running_attempt(index) else {
                return Vec::new();
            };
            checker.running.retain(|(running, _)| *running != request);
            harness.end(request, outcome)
        }
        Step::Cancel { index } => {
            let mut waiting: Vec<_> = checker.queued.iter().copied().collect();
            waiting.sort_unstable();
            let Some(index) = index.checked_rem(waiting.len()) else {
                return Vec::new();
            };
            checker.queued.remove(&waiting[index]);
            harness.handle(Event::Cancelled(waiting[index]))
        }
        Step::Report {
            target,
            used,
            running,
        } => harness.report(
            target,
            Load {
                running,
                memory_total: 16_384,
                memory_used: used,
                ..Load::default()
            },
        ),
        Step::Reachable { target, reachable } => {
            let target = target_key(target);
            checker.unusable.entry(target).or_default().0 = !reachable;
            harness.handle(Event::Reachable { target, reachable })
        }
        Step::Leaving { target, leaving } => {
            let target = target_key(target);
            checker.unusable.entry(target).or_default().1 = leaving;
            harness.handle(Event::Leaving { target, leaving })
        }
        Step::Peer { target, requests } => harness.handle(Event::PeerUsage {
            vm: key::Vm::of("peer"),
            target: target_key(target),
            requests,
            tokens: u64::from(requests) * 500,
        }),
        Step::VmCount(vms) => harness.handle(Event::VmCount(vms)),
        Step::Advance(milliseconds) => harness.advance(Duration::from_millis(milliseconds)),
    }
}

fn deployment() -> Deployment {
    Deployment {
        targets: TARGETS,
        concurrency: CONCURRENCY,
        customers: (0..4)
            .map(|index| (format!("c{index}"), format!("weight = {}", index + 1)))
            .collect(),
        ..Deployment::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_policy_keeps_its_invariants_under_any_events(steps in steps(), seed: u64) {
        for policy in NAMES {
            let mut harness = Harness::new(policy, seed, &deployment());
            let mut checker = Checker::default();
            for step in &steps {
                let actions = apply(&mut harness, &mut checker, step);
                checker.check(&actions);
                prop_assert_eq!(harness.policy.queued(), checker.queued.len(), "{}", policy);
            }
            // A queued request is answered by its deadline at the latest.
            let actions = harness.advance(Duration::from_secs(61));
            checker.check(&actions);
            prop_assert!(checker.queued.is_empty(), "{} keeps requests past their deadline", policy);
        }
    }

    #[test]
    fn a_policy_is_deterministic_for_the_same_seed(steps in steps(), seed: u64) {
        for policy in NAMES {
            let run = || {
                let mut harness = Harness::new(policy, seed, &deployment());
                let mut checker = Checker::default();
                let mut transcript = String::new();
                for step in &steps {
                    let actions = apply(&mut harness, &mut checker, step);
                    checker.check(&actions);
                    write!(transcript, "{actions:?}").expect("writing to a String can't fail");
                }
                transcript
            };
            prop_assert_eq!(run(), run(), "{}", policy);
        }
    }
}
