//! Differences between the list of a VM and the one that the VMs announce which watch the store.

use {
    base::Instant,
    mastictrail_dispatch::{CatchUp, Position, catch_up::Step, revision::State},
    std::time::Duration,
};

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

fn state(era: u64, revision: u64, digest: u64) -> State {
    State {
        position: Position { era, revision },
        digest,
    }
}

/// Returns the first step that isn't waiting, with the time since 0.
fn first_read(catch_up: &mut CatchUp, own: State, announced: State, is_large: bool) -> (u64, Step) {
    (0..2_000)
        .step_by(10)
        .find_map(|time| {
            let step = catch_up.step(own, Some(announced), is_large, at(time));
            (!matches!(step, Step::Wait(_))).then_some((time, step))
        })
        .expect("it does not wait for ever")
}

#[test]
fn a_list_that_is_the_same_or_newer_is_not_read() {
    let mut catch_up = CatchUp::new(1);
    let own = state(1, 10, 77);
    for announced in [
        None,
        Some(state(1, 10, 77)),
        Some(state(1, 12, 77)),
        Some(state(1, 9, 78)),
        Some(state(0, 20, 78)),
    ] {
        assert_eq!(catch_up.step(own, announced, false, at(0)), Step::Idle);
    }
}

/// Changes of a peer are usually in transit when an announcement already includes them.
#[test]
fn a_difference_that_passes_costs_no_read() {
    let mut catch_up = CatchUp::new(1);
    let announced = Some(state(1, 12, 78));
    let step = catch_up.step(state(1, 10, 77), announced, false, at(0));
    assert!(matches!(step, Step::Wait(_)));
    let step = catch_up.step(state(1, 12, 78), announced, false, at(100));
    assert_eq!(step, Step::Idle);
    let step = catch_up.step(state(1, 12, 78), Some(state(1, 13, 79)), false, at(1_000));
    assert!(matches!(step, Step::Wait(until) if until > at(1_100)));
}

/// A removal that lies below the known revision is in no later change, only missing in the list.
#[test]
fn the_whole_list_is_read_if_the_changes_do_not_resolve_the_difference() {
    let mut catch_up = CatchUp::new(1);
    let (own, announced) = (state(1, 10, 77), state(1, 12, 78));
    let (time, step) = first_read(&mut catch_up, own, announced, false);
    assert_eq!(step, Step::ReadChanges);
    assert!((150..=400).contains(&time));
    let own = state(1, 12, 77);
    let step = catch_up.step(own, Some(announced), false, at(time));
    assert_eq!(step, Step::ReadList);
}

#[test]
fn the_whole_list_is_read_in_a_new_era() {
    let mut catch_up = CatchUp::new(1);
    let (own, announced) = (state(1, 10, 77), state(2, 3, 77));
    let (_, step) = first_read(&mut catch_up, own, announced, false);
    assert_eq!(step, Step::ReadList);
}

/// If the VM that watches has the wrong list, the others must not read it again and again.
#[test]
fn a_difference_that_a_read_of_the_list_leaves_costs_one_read() {
    let mut catch_up = CatchUp::new(1);
    let (own, announced) = (state(1, 12, 77), state(1, 12, 78));
    first_read(&mut catch_up, own, announced, false);
    catch_up.record_list(own, Some(announced));
    let step = catch_up.step(own, Some(announced), false, at(5_000));
    assert_eq!(step, Step::Idle);
    let newer = state(1, 13, 79);
    let step = catch_up.step(own, Some(newer), false, at(5_000));
    assert!(matches!(step, Step::Wait(_)));
}

/// A removal that all have missed makes hundreds of VMs differ at the same time.
#[test]
fn the_reads_of_a_large_fleet_are_spread() {
    let reads: Vec<_> = (0..294)
        .map(|seed| {
            let mut catch_up = CatchUp::new(seed);
            first_read(&mut catch_up, state(1, 10, 77), state(1, 12, 78), true).0
        })
        .collect();
    for begin in (100..800).step_by(100) {
        let burst = reads
            .iter()
            .filter(|time| (begin..begin + 100).contains(*time));
        assert!(burst.count() < 294 / 3, "{begin} ms: {reads:?}");
    }
    assert!(reads.iter().all(|time| *time <= 750), "{reads:?}");
}
