//! Limits that targets name, kept by several VMs that exchange messages.

use {
    base::{Instant, key},
    mastictrail_dispatch::{Limits, report},
    prost::Message,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(5);
const VMS: usize = 18;

fn target() -> key::Target {
    key::Target::of("t")
}

fn start() -> Instant {
    Instant::from_micros(1_000_000_000)
}

/// Sends a target as much as it takes for a time, with messages that take `delay`.
///
/// Returns when requests were sent. Each VM has a request in one of three steps.
fn flood(rate: f64, delay: Duration, message_loss: f64, duration: Duration) -> Vec<Instant> {
    let mut random = SmallRng::seed_from_u64(3);
    let mut vms: Vec<Limits> = (0..VMS as u64).map(Limits::new).collect();
    let mut messages: Vec<(Instant, report::Limits)> = Vec::new();
    let mut sends = Vec::new();
    let mut now = start();
    vms[0].record_answer(target(), Some(rate), now, now);
    while now < start() + duration {
        now = now + STEP;
        let (due, rest) = messages.into_iter().partition(|(at, _)| *at <= now);
        messages = rest;
        for (_, message) in due {
            for vm in &mut vms {
                if !random.random_bool(message_loss) {
                    vm.receive(&message, now);
                }
            }
        }
        for (number, vm) in vms.iter_mut().enumerate() {
            if random.random_bool(1.0 / 3.0) && vm.delay(target(), now).is_zero() {
                vm.record_sent(target(), now);
                sends.push(now);
            }
            if let Some(news) = vm.take_news(now) {
                messages.push((now + delay, news));
            }
            if number == 0 && now.as_micros().is_multiple_of(1_200_000) {
                let snapshot = vm.snapshot(now).into_iter();
                messages.extend(snapshot.map(|message| (now + delay, message)));
            }
        }
    }
    sends
}

fn most_in(sends: &[Instant], from: Instant, window: Duration) -> usize {
    let starts = sends.iter().filter(|at| **at >= from);
    let counts = starts.map(|start| {
        let in_window = sends
            .iter()
            .filter(|at| **at >= *start && **at < *start + window);
        in_window.count()
    });
    counts.max().unwrap_or_default()
}

/// Every VM has more requests than the target takes from all of them.
#[test]
fn vms_send_a_target_no_more_than_its_limit_together() {
    for rate in [0.5, 5.0, 40.0] {
        for (delay, message_loss) in [(5, 0.0), (20, 0.0), (5, 0.05)] {
            let sends = flood(
                rate,
                Duration::from_millis(delay),
                message_loss,
                Duration::from_secs(20),
            );
            let window = Duration::from_secs(4);
            let most = most_in(&sends, start() + Duration::from_secs(3), window) as f64;
            let case = format!("{rate} a second, {delay} ms, {message_loss} lost: {most}");
            assert!(most <= 1.5 * rate * 4.0 + 5.0, "{case}");
            assert!(most >= (0.7 * rate * 4.0).floor(), "{case}");
        }
    }
}

/// An answer that was on its way when the target named its limit says nothing about it.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut limits = Limits::new(1);
    let before = start();
    let named = before + Duration::from_millis(20);
    assert!(limits.record_answer(target(), Some(5.0), before, named));
    let later = named + Duration::from_millis(10);
    assert!(!limits.record_answer(target(), None, before, later));
    assert_eq!(limits.len(), 1);
    assert!(limits.record_answer(target(), None, later, later + STEP));
    assert!(limits.is_empty());
}

#[test]
fn a_limit_that_has_ended_does_not_come_back_with_an_older_message() {
    let (mut one, mut other) = (Limits::new(1), Limits::new(2));
    let now = start();
    one.record_answer(target(), Some(5.0), now, now);
    let [old] = &*one.snapshot(now + STEP) else {
        panic!("one message carries the limit");
    };
    other.receive(old, now + STEP);
    let later = now + Duration::from_secs(1);
    one.record_answer(target(), None, later, later + STEP);
    other.receive(&one.take_news(later + STEP).unwrap(), later + STEP);
    assert!(other.is_empty());
    let entry = report::TargetLimit {
        age_ms: 1_200,
        ..old.entries[0]
    };
    let message = report::Limits {
        entries: vec![entry],
        ..report::Limits::default()
    };
    other.receive(&message, later + STEP * 2);
    assert!(other.is_empty());
}

/// A rate of zero must not be for ever: only an answer can say that it is over.
#[test]
fn a_target_that_takes_nothing_is_asked_again_after_some_time() {
    let mut limits = Limits::new(1);
    let now = start();
    limits.record_answer(target(), Some(0.0), now, now);
    limits.record_sent(target(), now);
    limits.record_sent(target(), now);
    assert!(limits.delay(target(), now) > Duration::from_secs(20));
    assert!(
        limits
            .delay(target(), now + Duration::from_secs(60))
            .is_zero()
    );
}

/// Requests that were under way at the same time may be refused with pauses of several lengths.
#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut limits = Limits::new(1);
    let now = start();
    limits.pause(target(), Duration::from_secs(3), now);
    let later = now + Duration::from_millis(5);
    limits.pause(target(), Duration::from_millis(30), later);
    limits.pause(target(), Duration::ZERO, later);
    let delay = limits.delay(target(), now + Duration::from_secs(1));
    assert_eq!(delay, Duration::from_secs(2));
}

/// An entry in the store lapses and returns while its target runs.
#[test]
fn a_pause_outlives_the_entry_of_its_target() {
    let mut limits = Limits::new(1);
    let now = start();
    limits.pause(target(), Duration::from_secs(3), now);
    limits.retain(|_| false);
    let delay = limits.delay(target(), now + Duration::from_secs(1));
    assert_eq!(delay, Duration::from_secs(2));
}

/// The pauses that end first are forgotten if there are too many.
#[test]
fn a_long_pause_is_kept_beside_many_short_ones() {
    let mut limits = Limits::new(1);
    for index in 0..10_000_u64 {
        let target = key::Target::from_raw(index);
        limits.pause(target, Duration::from_secs(10), start());
    }
    limits.pause(target(), Duration::from_secs(60), start());
    let later = start() + Duration::from_secs(9);
    assert_eq!(limits.delay(target(), later), Duration::from_secs(51));
    assert!(limits.paused(later).count() < 10_000);
}

#[test]
fn a_pause_ends_and_is_bounded() {
    let mut limits = Limits::new(1);
    let now = start();
    limits.pause(target(), Duration::from_secs(2), now);
    assert_eq!(limits.closed(now), [target()]);
    assert!(limits.closed(now + Duration::from_secs(2)).is_empty());
    limits.pause(target(), Duration::from_secs(1_000_000), now);
    assert!(limits.closed(now + Duration::from_secs(301)).is_empty());
}

#[test]
fn many_targets_with_notices_take_bounded_memory() {
    let mut limits = Limits::new(1);
    for number in 0..100_000 {
        let target = key::Target::from_raw(number);
        limits.record_answer(target, Some(1.0), start(), start());
        limits.pause(target, Duration::from_secs(10), start());
    }
    assert!(limits.len() <= 4_096);
    assert!(limits.closed(start()).len() <= 4_096);
    limits.retain(|target| target.raw() < 10);
    assert_eq!(limits.len(), 10);
}

/// Each VM has few requests, all of which are refused, so none sees much of it itself.
#[test]
fn a_brittle_target_refuses_few_requests_of_all_vms_together() {
    const MAX_REFUSALS: u32 = 6;
    let mut random = SmallRng::seed_from_u64(5);
    let mut vms: Vec<Limits> = (0..VMS as u64).map(Limits::new).collect();
    let mut messages: Vec<(Instant, report::Limits)> = Vec::new();
    let mut refusals = Vec::new();
    let mut now = start();
    vms[0].record_brittle(target(), Some(MAX_REFUSALS), now, now);
    while now < start() + Duration::from_secs(20) {
        now = now + STEP;
        let (due, rest) = messages.into_iter().partition(|(at, _)| *at <= now);
        messages = rest;
        for (_, message) in due {
            for vm in &mut vms {
                vm.receive(&message, now);
            }
        }
        for vm in &mut vms {
            // About three requests a second.
            if random.random_bool(0.015) && vm.delay(target(), now).is_zero() {
                vm.record_brittle(target(), Some(MAX_REFUSALS), now, now);
                vm.record_refusal(target(), now);
                refusals.push(now);
            }
            let news = vm.take_news(now);
            messages.extend(news.map(|news| (now + STEP, news)));
        }
    }
    let known = start() + Duration::from_secs(3);
    let most = most_in(&refusals, known, Duration::from_secs(1));
    assert!(most <= MAX_REFUSALS as usize, "{most} refusals in a second");
    // It is tried again all the while.
    assert!(refusals.len() >= 20, "{} refusals", refusals.len());
}

#[test]
fn a_target_that_no_answer_calls_brittle_any_more_is_not() {
    let mut limits = Limits::new(1);
    let now = start();
    assert!(limits.record_brittle(target(), Some(1), now, now));
    assert!(limits.record_refusal(target(), now));
    assert!(!limits.delay(target(), now + STEP).is_zero());
    let later = now + STEP * 2;
    // An answer to a request that was sent before is no evidence.
    assert!(!limits.record_brittle(target(), None, now, later));
    assert_eq!(limits.brittle(later).count(), 1);
    assert!(limits.record_brittle(target(), None, later, later));
    assert!(!limits.record_refusal(target(), later));
    assert!(limits.delay(target(), later).is_zero());
    limits.record_brittle(target(), Some(1), now, now);
    assert_eq!(limits.brittle(now + Duration::from_secs(60)).count(), 0);
}

/// A VM that has started late gets all limits, also where there are more than one message carries.
#[test]
fn the_limits_of_all_targets_reach_a_vm_that_has_missed_them() {
    const TARGETS: usize = 352;
    let targets: Vec<_> = (0..TARGETS)
        .map(|index| key::Target::of(&format!("t-{index}")))
        .collect();
    let mut known = Limits::new(1);
    for target in &targets {
        known.record_answer(*target, Some(0.5), start(), start());
        known.record_brittle(*target, Some(3), start(), start());
    }
    let mut late = Limits::new(2);
    for message in known.snapshot(start()) {
        assert!(message.encoded_len() < 8 << 10);
        late.receive(&message, start());
    }
    assert_eq!(late.len(), TARGETS);
    assert_eq!(late.brittle(start()).count(), TARGETS);
}
