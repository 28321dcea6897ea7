//! Waiting for room, under a replayed burst.

use {
    base::{Instant, key},
    mastictrail_dispatch::{
        Waiting,
        waiting::{Crowd, Turn},
    },
    std::time::Duration,
};

const PATIENCE: Duration = Duration::from_secs(1);

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn service() -> key::Service {
    key::Service::of("s")
}

/// What became of the requests of a burst.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    refused_at_once: usize,
    waited_in_vain: usize,
    longest_refused_delay: Duration,
}

/// Load pattern: 40 places, runs of 4 s, so that 10 requests a second are served; for 6 s there come
/// 30 a second.
fn replay_burst() -> Outcome {
    const PLACES: usize = 40;
    const RUN_MS: u64 = 4_000;
    let mut waiting = Waiting::default();
    let mut running: Vec<u64> = (0..PLACES as u64)
        .map(|place| place * RUN_MS / PLACES as u64)
        .collect();
    let mut queue: Vec<(u64, Turn)> = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..8_000_u64 {
        running.retain(|&end| {
            if end <= now {
                waiting.ended(service(), Duration::from_millis(RUN_MS));
            }
            end > now
        });
        queue.retain(|&(arrived, turn)| {
            if running.len() < PLACES && waiting.is_next(service(), turn) {
                waiting.leave(service(), turn);
                running.push(now + RUN_MS);
                outcome.served += 1;
                return false;
            }
            let is_patient = at(arrived) + PATIENCE > at(now);
            if !is_patient {
                waiting.leave(service(), turn);
                outcome.waited_in_vain += 1;
            }
            is_patient
        });
        if now < 6_000 && now % 33 == 0 {
            let crowd = Crowd {
                runs: running.len() as u32,
                waiting: 0,
            };
            match waiting.enter(service(), 0, at(now), at(now) + PATIENCE, crowd) {
                Ok(turn) => queue.push((now, turn)),
                Err(delay) => {
                    outcome.refused_at_once += 1;
                    outcome.longest_refused_delay = outcome.longest_refused_delay.max(delay);
                }
            }
        }
    }
    outcome
}

#[test]
fn in_a_burst_those_without_a_prospect_are_refused_at_once_and_the_others_are_served() {
    let outcome = replay_burst();
    let all = outcome.served + outcome.refused_at_once + outcome.waited_in_vain;
    assert!(outcome.refused_at_once * 2 > all, "{outcome:?}");
    assert!(outcome.waited_in_vain * 20 < all, "{outcome:?}");
    assert!(outcome.served >= 60, "no place stays empty: {outcome:?}");
    assert!(outcome.longest_refused_delay >= PATIENCE, "{outcome:?}");
}

#[test]
fn urgency_goes_before_arrival() {
    let mut waiting = Waiting::default();
    let crowd = Crowd {
        runs: 100,
        waiting: 0,
    };
    let mut enter = |priority, now| {
        waiting
            .enter(service(), priority, at(now), at(now + 60_000), crowd)
            .expect("a place")
    };
    let draft = enter(1, 0);
    let late_check = enter(0, 20);
    let early_check = enter(0, 10);
    for turn in [early_check, late_check, draft] {
        assert!(waiting.is_next(service(), turn));
        waiting.leave(service(), turn);
    }
    assert!(waiting.is_empty(service()));
}

#[test]
fn those_that_wait_at_other_vms_count() {
    let mut waiting = Waiting::default();
    let crowd = |others| Crowd {
        runs: 10,
        waiting: others,
    };
    let alone = waiting.enter(service(), 0, at(0), at(1_000), crowd(0));
    waiting.leave(service(), alone.expect("a place"));
    let refused = waiting.enter(service(), 0, at(0), at(1_000), crowd(5));
    assert!(refused.is_err_and(|delay| delay > Duration::from_secs(1)));
}
