//! Faults in the order that makes them dangerous; the world fails if a call runs twice.

use {
    crate::world::{QUIET, VMS, World, key_call, ticket_call, vm},
    base::key,
    mastictrail_once::{Call, VmList},
};

fn quiet() -> World {
    let mut world = World::new();
    world.settle();
    world.advance(QUIET, true);
    world
}

fn home(world: &World, call: Call) -> key::Vm {
    let list = VmList::new(world.lists[world.lists.len() - 1].clone());
    list.owner(call.id).expect("a home")
}

fn deputy(world: &World, call: Call) -> key::Vm {
    let list = VmList::new(world.lists[0].clone());
    let home = list.owner(call.id).expect("a home");
    list.successor(call.id, home).expect("a deputy")
}

/// Returns the next owner of a ticket that the first VM issued.
fn deputy_of(world: &World, call: Call) -> key::Vm {
    let list = VmList::new(world.lists[0].clone());
    list.successor(call.id, vm(0)).expect("a deputy")
}

/// Publishes a list without a VM; every other one learns it.
fn drop_from_list(world: &mut World, gone: key::Vm) {
    world.publish((0..VMS).map(vm).filter(|&vm| vm != gone).collect());
    for other in (0..VMS).map(vm).filter(|&vm| vm != gone) {
        world.learn(other);
    }
}

#[test]
fn home_that_sleeps_before_the_send_does_not_send_afterwards() {
    let mut world = quiet();
    let call = key_call(1);
    let asleep = home(&world, call);
    world.ask(call, asleep);
    world.deliver(0);
    world.pause(asleep, true);
    drop_from_list(&mut world, asleep);
    world.advance(QUIET, true);
    let caller = world.ask(call, home(&world, call));
    world.deliver(0);
    world.settle_awake();
    assert!(world.answer(caller).is_ok());
    world.wake_all();
    world.settle();
}

#[test]
fn key_that_was_sealed_is_not_run_here() {
    let mut world = quiet();
    let call = key_call(1);
    let former = home(&world, call);
    drop_from_list(&mut world, former);
    let later = home(&world, call);
    world.confirm();
    let caller = world.ask(call, later);
    world.settle();
    assert!(world.answer(caller).is_ok());
    // The former home has not seen the new list, and was confirmed just before it.
    world.ask(call, former);
    world.settle();
}

#[test]
fn deputy_stops_before_a_new_incarnation_is_free_of_doubt() {
    let mut world = quiet();
    let call = key_call(1);
    let (stopped, acting) = (home(&world, call), deputy(&world, call));
    world.stop(stopped);
    world.settle();
    world.start(stopped);
    world.cut();
    world.advance(QUIET, true);
    let caller = world.ask(call, stopped);
    world.settle();
    assert!(world.answer(caller).is_ok());
    world.ask(call, acting);
    world.settle();
}

#[test]
fn deputy_that_gave_back_does_not_run_any_more() {
    let mut world = quiet();
    let call = key_call(1);
    let (stopped, acting) = (home(&world, call), deputy(&world, call));
    world.stop(stopped);
    world.settle();
    world.start(stopped);
    world.settle();
    world.confirm();
    let caller = world.ask(call, stopped);
    world.settle();
    assert!(world.answer(caller).is_ok());
    world.ask(call, acting);
    world.settle();
}

#[test]
fn call_that_waits_while_the_stop_hands_over_is_not_sent() {
    let mut world = quiet();
    let ticket = world.issue(vm(0)).expect("a ticket");
    let call = ticket_call(ticket);
    let first = world.ask(call, vm(0));
    world.deliver(0);
    world.stop(vm(0));
    world.send(0, false);
    world.settle();
    let again = world.submit(call, vm(1));
    world.settle();
    assert!(world.answer(again).is_err());
    assert!(world.answer(first).is_err());
    assert!(world.sends.is_empty());
}

#[test]
fn record_that_moved_answers_the_same_on_both_sides() {
    let mut world = quiet();
    let call = key_call(1);
    let (stopped, acting) = (home(&world, call), deputy(&world, call));
    let first = world.ask(call, stopped);
    world.settle();
    world.stop(stopped);
    world.settle();
    let second = world.ask(call, acting);
    world.settle();
    world.start(stopped);
    world.settle();
    let third = world.ask(call, stopped);
    world.settle();
    assert!(
        [first, second, third]
            .iter()
            .all(|&caller| world.answer(caller).is_ok())
    );
    assert_eq!(world.sends[&call.id].len(), 1);
}

#[test]
fn ticket_in_flight_at_the_stop_is_remembered_for_as_long_as_it_could_run() {
    let mut world = quiet();
    let call = ticket_call(world.issue(vm(0)).expect("a ticket"));
    world.ask(call, vm(0));
    world.deliver(0);
    world.send(0, false);
    world.stop(vm(0));
    world.settle();
    world.advance(QUIET, true);
    let again = world.submit(call, vm(1));
    world.settle();
    assert!(world.answer(again).is_err());
    assert_eq!(world.sends[&call.id].len(), 1);
}

#[test]
fn list_that_comes_during_the_handover_changes_no_next_owner() {
    let mut world = quiet();
    let call = ticket_call(world.issue(vm(0)).expect("a ticket"));
    let first = world.submit(call, vm(0));
    world.settle();
    assert!(world.answer(first).is_ok());
    let other = (1..VMS).map(vm).find(|&vm| vm != deputy_of(&world, call));
    world.publish(vec![other.expect("another VM")]);
    world.learn(other.expect("another VM"));
    world.stop(vm(0));
    world.learn(vm(0));
    world.settle();
    world.ask(call, other.expect("another VM"));
    world.settle();
    assert_eq!(world.sends[&call.id].len(), 1);
}
