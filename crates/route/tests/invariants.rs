//! What every policy holds under any order of events.

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
    support::{Deployment, Script, target_key},
};

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        customer: u8,
        class: usize,
        due: u64,
    },
    Progress {
        pick: usize,
        tokens: u32,
    },
    End {
        pick: usize,
        outcome: Outcome,
    },
    Withdraw {
        pick: usize,
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
    Vms(u32),
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
            .prop_map(|(customer, class, due)| Step::Arrive { customer, class, due }),
        4 => (any::<usize>(), 1..400_u32).prop_map(|(pick, tokens)| Step::Progress { pick, tokens }),
        4 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Withdraw { pick }),
        2 => (target.clone(), 0..20_000_u64, 0..6_u32)
            .prop_map(|(target, used, running)| Step::Report { target, used, running }),
        1 => (target.clone(), any::<bool>())
            .prop_map(|(target, reachable)| Step::Reachable { target, reachable }),
        1 => (target.clone(), any::<bool>())
            .prop_map(|(target, leaving)| Step::Leaving { target, leaving }),
        1 => (target, 0..4_u32).prop_map(|(target, requests)| Step::Peer { target, requests }),
        1 => (1..20_u32).prop_map(Step::Vms),
        2 => (0..5_000_u64).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..120)
}

/// Counts what the actions promise and checks it.
#[derive(Debug, Default)]
struct Check {
    open: HashSet<key::Request>,
    running: Vec<(key::Request, key::Target)>,
    unusable: HashMap<key::Target, (bool, bool)>,
}

impl Check {
    fn take(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Dispatch(decision) => {
                    assert!(self.open.remove(&decision.request), "answered twice");
                    let unusable = self.unusable.get(&decision.target);
                    assert!(
                        unusable.is_none_or(|&(unreachable, leaving)| !unreachable && !leaving),
                        "sent to a target that is leaving or unreachable"
                    );
                    self.running.push((decision.request, decision.target));
                    let same = self
                        .running
                        .iter()
                        .filter(|(_, target)| *target == decision.target);
                    assert!(
                        same.count() <= CONCURRENCY as usize,
                        "above the concurrency"
                    );
                }
                Action::Refuse { request, refusal } => {
                    assert!(self.open.remove(request), "answered twice");
                    assert!(refusal.verdict.is_repeatable());
                    assert!(
                        refusal.retry_after.is_some(),
                        "no word on when to come back"
                    );
                }
            }
        }
    }

    fn pick(&mut self, pick: usize) -> Option<(key::Request, key::Target)> {
        let index = pick.checked_rem(self.running.len())?;
        Some(self.running[index])
    }
}

fn perform(script: &mut Script, check: &mut Check, step: &Step) -> Vec<Action> {
    match *step {
        Step::Arrive {
            customer,
            class,
            due,
        } => {
            let mut request = script.request(&format!("c{customer}"), class);
            request.deadline = script.now + Duration::from_secs(due);
            check.open.insert(request.key);
            script.tell(Event::Arrived(Box::new(request)))
        }
        Step::Progress { pick, tokens } => {
            let Some((request, _)) = check.pick(pick) else {
                return Vec::new();
            };
            script.tell(Event::Progress { request, tokens })
        }
        Step::End { pick, outcome } => {
            let Some((request, _)) = check.pick(pick) else {
                return Vec::new();
            };
            check.running.retain(|(running, _)| *running != request);
            script.end(request, outcome)
        }
        Step::Withdraw { pick } => {
            let mut waiting: Vec<_> = check.open.iter().copied().collect();
            waiting.sort_unstable();
            let Some(index) = pick.checked_rem(waiting.len()) else {
                return Vec::new();
            };
            check.open.remove(&waiting[index]);
            script.tell(Event::Cancelled(waiting[index]))
        }
        Step::Report {
            target,
            used,
            running,
        } => script.report(
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
            check.unusable.entry(target).or_default().0 = !reachable;
            script.tell(Event::Reachable { target, reachable })
        }
        Step::Leaving { target, leaving } => {
            let target = target_key(target);
            check.unusable.entry(target).or_default().1 = leaving;
            script.tell(Event::Leaving { target, leaving })
        }
        Step::Peer { target, requests } => script.tell(Event::PeerUsage {
            vm: key::Vm::of("peer"),
            target: target_key(target),
            requests,
            tokens: u64::from(requests) * 500,
        }),
        Step::Vms(vms) => script.tell(Event::VmCount(vms)),
        Step::Advance(millis) => script.advance(Duration::from_millis(millis)),
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
    fn every_policy_keeps_its_promises_under_any_events(steps in steps(), seed: u64) {
        for policy in NAMES {
            let mut script = Script::new(policy, seed, &deployment());
            let mut check = Check::default();
            for step in &steps {
                let actions = perform(&mut script, &mut check, step);
                check.take(&actions);
                prop_assert_eq!(script.policy.queued(), check.open.len(), "{}", policy);
            }
            // Whatever waits is answered by its deadline at the latest.
            let actions = script.advance(Duration::from_secs(61));
            check.take(&actions);
            prop_assert!(check.open.is_empty(), "{} holds requests past their deadline", policy);
        }
    }

    #[test]
    fn a_policy_decides_alike_for_the_same_seed(steps in steps(), seed: u64) {
        for policy in NAMES {
            let run = || {
                let mut script = Script::new(policy, seed, &deployment());
                let mut check = Check::default();
                let mut log = String::new();
                for step in &steps {
                    let actions = perform(&mut script, &mut check, step);
                    check.take(&actions);
                    write!(log, "{actions:?}").expect("a string takes all");
                }
                log
            };
            prop_assert_eq!(run(), run(), "{}", policy);
        }
    }
}
