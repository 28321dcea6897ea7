//! Which runs are copied off engines that leave, in which order, and where they are refused.

use {
    base::{key, rendezvous},
    mastictrail_dispatch::evacuation::{Failures, Run, SPREAD, interval},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::time::Duration,
};

fn run(name: &str, tokens: u32) -> Run {
    Run {
        key: key::Request::of(name),
        tokens,
        estimated_tokens: 750,
        is_repeatable: false,
    }
}

/// Otherwise a run with little to lose takes the link before one with much.
#[test]
fn the_delay_decreases_with_the_tokens_that_the_run_has_produced() {
    for name in ["a", "b", "c"] {
        let delays = [0, 100, 400, 800, 1_600, u32::MAX].map(|tokens| run(name, tokens).delay());
        assert!(delays.is_sorted_by(|one, next| one > next), "{delays:?}");
        assert!(delays[0] <= SPREAD, "{delays:?}");
    }
    for (more, less) in [("a", "b"), ("b", "c"), ("c", "a")] {
        assert!(run(more, 700).delay() < run(less, 150).delay());
    }
}

/// The VMs of runs that began together would all choose destinations from the same load.
#[test]
fn runs_with_equal_tokens_are_copied_at_different_times() {
    let delays = (0..20).map(|index| run(&index.to_string(), 300).delay());
    let mut delays: Vec<_> = delays.collect();
    delays.sort_unstable();
    let range = delays[19].saturating_sub(delays[0]);
    assert!(range > Duration::from_millis(20), "{range:?}");
    assert!(range <= SPREAD / 5, "{range:?}");
}

/// A copy of a short run would delay the copies of runs that can't be started again.
#[test]
fn only_a_short_run_that_may_be_started_again_is_not_copied() {
    let short = Run {
        estimated_tokens: 99,
        is_repeatable: true,
        ..run("a", 0)
    };
    assert!(!short.is_copied());
    for copied in [
        Run {
            is_repeatable: false,
            ..short
        },
        Run {
            estimated_tokens: 100,
            ..short
        },
        // The estimate was too low.
        Run {
            tokens: 100,
            ..short
        },
    ] {
        assert!(copied.is_copied(), "{copied:?}");
    }
}

/// Without the bound, a run without room anywhere sends calls to the leaving engine all the time.
#[test]
fn four_engines_are_asked_one_right_after_the_other_and_then_all_again_later() {
    let engines = ["e-0", "e-1", "e-2", "e-3", "e-4"].map(key::Target::of);
    let mut failures = Failures::default();
    for count in 1..=3 {
        assert!(failures.record_refusal(engines[count - 1]));
        assert_eq!(failures.engines(), &engines[..count]);
    }
    assert!(!failures.record_refusal(engines[3]));
    assert_eq!(failures.engines(), []);
    assert!(!failures.record_refusal(engines[4]));
    assert_eq!(failures.engines(), &engines[4..]);
}

/// A fixed interval lets a run with a quick copy lose what it produced since, and repeated copies of
/// whole runs keep others off the link.
#[test]
fn a_quick_copy_is_repeated_sooner_than_a_slow_one() {
    let interval = |milliseconds| interval(Duration::from_millis(milliseconds)).as_millis();
    assert_eq!(interval(5), 100);
    assert_eq!(interval(90), 180);
    assert_eq!(interval(930), 400);
}

/// Returns the tokens lost when ten engines with five runs each leave after the shortest notice.
///
/// A copy occupies the links of both engines, and each link transfers one at a time.
fn lost_tokens(seed: u64, delay: impl Fn(&Run) -> Duration) -> u32 {
    const ENGINES: usize = 10;
    const RUNS: usize = 50;
    /// Engines that stay in the data centres of those that leave.
    const DESTINATIONS: usize = 50;
    const NOTICE: Duration = Duration::from_millis(1_500);
    /// 3,400 tokens of 164 kB at 24,000 Mbit/s.
    const TRANSFER: Duration = Duration::from_micros(3_400 * 164 * 8 / 24);
    let mut random = SmallRng::seed_from_u64(seed);
    let runs = (0..RUNS).map(|index| {
        let run = run(&format!("{seed}-{index}"), random.random_range(0..=800));
        (delay(&run), index % ENGINES, run.tokens)
    });
    let mut runs: Vec<_> = runs.collect();
    runs.sort_unstable();
    let destinations: Vec<_> = (0..DESTINATIONS).collect();
    let mut sources_free = [Duration::ZERO; ENGINES];
    let mut destinations_free = [Duration::ZERO; DESTINATIONS];
    let mut lost = 0;
    for (requested, source, tokens) in runs {
        let destination = *destinations.choose(&mut random).expect("not empty");
        let begins = requested
            .max(sources_free[source])
            .max(destinations_free[destination]);
        let ends = begins + TRANSFER;
        if ends > NOTICE {
            lost += tokens;
        }
        sources_free[source] = ends;
        destinations_free[destination] = ends;
    }
    lost
}

/// Copies that wait for a link are cut off by the end of the notice, whatever they are worth.
#[test]
fn less_is_lost_when_runs_with_many_tokens_are_copied_first() {
    let random =
        |run: &Run| SPREAD.mul_f64(rendezvous::weight(run.key.raw(), 0) as f64 / u64::MAX as f64);
    let total = |delay: &dyn Fn(&Run) -> Duration| -> u32 {
        (1..=20).map(|seed| lost_tokens(seed, delay)).sum()
    };
    let (unordered, ordered) = (total(&random), total(&Run::delay));
    println!("lost in 20 departures: {unordered} unordered, {ordered} ordered");
    assert!(unordered > 0, "the notice is long enough for all copies");
    assert!(
        ordered < unordered,
        "{ordered} ordered, {unordered} unordered"
    );
}
