//! Which requests a VM that stops still takes, and how long a route's requests take.

use {
    base::Instant,
    mastictrail_dispatch::{Drain, Durations},
    std::time::Duration,
};

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The first part lasts from 0 s to 3 s, the whole until 7 s.
fn drain() -> Drain {
    Drain {
        first_part_end: at(3_000),
        end: at(7_000),
    }
}

/// A request that is given up within the drain is answered in it, whatever the estimate says.
#[test]
fn a_request_that_is_certain_to_end_is_taken_until_the_end() {
    assert!(drain().admits(at(0), at(6_800), ms(60_000)));
    assert!(drain().admits(at(6_500), at(6_800), ms(60_000)));
    assert!(!drain().admits(at(6_500), at(6_950), ms(1)));
    assert!(!drain().admits(at(7_000), at(6_800), ms(1)));
}

/// An estimate can be wrong, so it counts only while a refused request may come back here.
#[test]
fn an_estimate_decides_in_the_first_part_only() {
    let deadline = at(30_000);
    assert!(drain().admits(at(2_000), deadline, ms(4_800)));
    assert!(!drain().admits(at(2_000), deadline, ms(5_000)));
    assert!(drain().admits(at(2_999), deadline, ms(100)));
    assert!(!drain().admits(at(3_000), deadline, ms(100)));
}

/// The mean of a route whose outputs differ in length would let the long ones be cut.
#[test]
fn the_longest_of_the_latest_durations_counts() {
    let mut durations = Durations::default();
    assert_eq!(durations.longest("a"), None);
    durations.record("a", ms(9_000));
    (0..31).for_each(|_| durations.record("a", ms(100)));
    durations.record("b", ms(1));
    assert_eq!(durations.longest("a"), Some(ms(9_000)));
    durations.record("a", ms(100));
    assert_eq!(durations.longest("a"), Some(ms(100)));
}

/// Requests that fail at once would hide how long the others take; those that are given up don't.
#[test]
fn a_failure_counts_only_if_it_took_longer() {
    let mut durations = Durations::default();
    durations.record("a", ms(500));
    (0..100).for_each(|_| durations.record_failure("a", ms(5)));
    assert_eq!(durations.longest("a"), Some(ms(500)));
    durations.record_failure("a", ms(8_000));
    assert_eq!(durations.longest("a"), Some(ms(8_000)));
}
