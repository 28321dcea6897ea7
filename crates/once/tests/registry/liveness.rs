//! Without a fault no call is answered "may have run", planned stops and new lists included.

use {
    crate::world::{HISTORY_TIME, VMS, World, key_call, ticket_call, vm},
    base::Reason,
    std::time::Duration,
};

fn world_with_history() -> World {
    let mut world = World::new();
    world.settle();
    world.advance(HISTORY_TIME, true);
    world
}

/// Sends each key through every running entry VM, and once more after that.
fn send_keys(world: &mut World, keys: std::ops::Range<u64>) {
    for number in keys {
        let vms: Vec<_> = world.current.keys().copied().collect();
        let callers: Vec<_> = vms
            .iter()
            .map(|&vm| world.submit(key_call(number), vm))
            .collect();
        world.settle();
        let late = world.submit(key_call(number), vms[0]);
        world.settle();
        for caller in callers.into_iter().chain([late]) {
            assert!(world.answer(caller).is_ok(), "{:?}", world.answer(caller));
        }
    }
}

#[test]
fn keys_run_without_a_fault() {
    let mut world = world_with_history();
    send_keys(&mut world, 0..50);
}

#[test]
fn tickets_run_from_the_start_through_any_vm() {
    let mut world = World::new();
    for number in 0..20 {
        let ticket = world.issue(vm(number)).expect("a ticket");
        let caller = world.submit(ticket_call(ticket), vm(number + 1));
        world.settle();
        assert!(world.answer(caller).is_ok());
    }
}

#[test]
fn keys_and_tickets_survive_a_planned_stop_and_restart() {
    let mut world = world_with_history();
    send_keys(&mut world, 0..30);
    let ran = world.issue(vm(0)).expect("a ticket");
    let first = world.submit(ticket_call(ran), vm(1));
    world.settle();
    assert!(world.answer(first).is_ok());
    let unused = world.issue(vm(0)).expect("a ticket");
    world.stop(vm(0));
    let during = world.submit(ticket_call(unused), vm(0));
    world.settle();
    assert!(world.node_id(vm(0)).is_none());
    assert!(world.answer(during).is_ok(), "{:?}", world.answer(during));
    let again = world.submit(ticket_call(ran), vm(2));
    world.settle();
    assert!(world.answer(again).is_ok());
    send_keys(&mut world, 10..60);
    world.start(vm(0));
    world.settle();
    world.confirm();
    send_keys(&mut world, 40..90);
}

#[test]
fn each_vm_stops_and_starts_in_turn() {
    let mut world = world_with_history();
    for number in 0..VMS {
        world.stop(vm(number));
        world.settle();
        world.start(vm(number));
        world.settle();
        world.advance(Duration::from_secs(1), true);
        send_keys(&mut world, number * 10..number * 10 + 20);
    }
}

#[test]
fn keys_move_to_their_new_owners_when_the_list_changes() {
    let mut world = world_with_history();
    send_keys(&mut world, 0..30);
    world.publish((0..VMS - 1).map(vm).collect());
    for number in 0..VMS {
        world.learn(vm(number));
    }
    world.confirm();
    send_keys(&mut world, 0..60);
}

#[test]
fn key_requested_before_the_reclaim_ends_may_be_retried_soon() {
    let mut world = world_with_history();
    world.stop(vm(0));
    world.settle();
    world.start(vm(0));
    world.confirm();
    let early: Vec<_> = (0..50)
        .map(|number| world.submit_to(key_call(number), vm(0)))
        .collect();
    world.settle();
    let answers = early.iter().map(|&caller| world.answer(caller));
    let refusals = answers.filter_map(|answer| answer.as_ref().err());
    // The other keys have another owner.
    let in_doubt: Vec<_> = refusals
        .filter(|refusal| refusal.reason == Reason::KeyInDoubt)
        .collect();
    assert!(!in_doubt.is_empty());
    let soon = Some(Duration::from_secs(1));
    assert!(in_doubt.iter().all(|refusal| refusal.retry_after == soon));
    send_keys(&mut world, 0..50);
}
