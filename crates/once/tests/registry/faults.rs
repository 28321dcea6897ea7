//! Faults in orders that could make a call run twice; [`World`] panics if one does.

use {
    crate::world::{HISTORY_TIME, VMS, World, key_call, ticket_call, vm},
    base::key,
    mastictrail_once::{Call, VmList},
};

fn world_with_history() -> World {
    let mut world = World::new();
    world.settle();
    world.advance(HISTORY_TIME, true);
    world
}

fn owner(world: &World, call: Call) -> key::Vm {
    let list = VmList::new(world.lists[world.lists.len() - 1].clone());
    list.owner(call.id).expect("an owner")
}

fn successor(world: &World, call: Call) -> key::Vm {
    let list = VmList::new(world.lists[0].clone());
    let owner = list.owner(call.id).expect("an owner");
    list.successor(call.id, owner).expect("a successor")
}

/// Returns the successor for a ticket that the first VM issued.
fn ticket_successor(world: &World, call: Call) -> key::Vm {
    let list = VmList::new(world.lists[0].clone());
    list.successor(call.id, vm(0)).expect("a successor")
}

/// Publishes a list without a VM; every other VM learns it.
fn remove_from_list(world: &mut World, removed: key::Vm) {
    world.publish((0..VMS).map(vm).filter(|&vm| vm != removed).collect());
    for other in (0..VMS).map(vm).filter(|&vm| vm != removed) {
        world.learn(other);
    }
}

#[test]
fn owner_paused_before_the_send_does_not_send_afterwards() {
    let mut world = world_with_history();
    let call = key_call(1);
    let paused = owner(&world, call);
    world.submit_to(call, paused);
    world.deliver(0);
    world.pause(paused, true);
    remove_from_list(&mut world, paused);
    world.advance(HISTORY_TIME, true);
    let caller = world.submit_to(call, owner(&world, call));
    world.deliver(0);
    world.send_and_complete();
    assert!(world.answer(caller).is_ok());
    world.resume_all();
    world.settle();
}

#[test]
fn sealed_key_is_not_run_by_its_previous_owner() {
    let mut world = world_with_history();
    let call = key_call(1);
    let previous = owner(&world, call);
    remove_from_list(&mut world, previous);
    let later = owner(&world, call);
    world.confirm();
    let caller = world.submit_to(call, later);
    world.settle();
    assert!(world.answer(caller).is_ok());
    // The previous owner has not seen the new list; its own was confirmed shortly before.
    world.submit_to(call, previous);
    world.settle();
}

#[test]
fn successor_stops_acting_before_a_new_incarnation_may_run_a_key() {
    let mut world = world_with_history();
    let call = key_call(1);
    let (stopped, successor_vm) = (owner(&world, call), successor(&world, call));
    world.stop(stopped);
    world.settle();
    world.start(stopped);
    world.drop_messages();
    world.advance(HISTORY_TIME, true);
    let caller = world.submit_to(call, stopped);
    world.settle();
    assert!(world.answer(caller).is_ok());
    world.submit_to(call, successor_vm);
    world.settle();
}

#[test]
fn successor_that_returned_a_key_does_not_run_it() {
    let mut world = world_with_history();
    let call = key_call(1);
    let (stopped, successor_vm) = (owner(&world, call), successor(&world, call));
    world.stop(stopped);
    world.settle();
    world.start(stopped);
    world.settle();
    world.confirm();
    let caller = world.submit_to(call, stopped);
    world.settle();
    assert!(world.answer(caller).is_ok());
    world.submit_to(call, successor_vm);
    world.settle();
}

#[test]
fn claimed_call_is_not_sent_once_the_handover_has_begun() {
    let mut world = world_with_history();
    let ticket = world.issue(vm(0)).expect("a ticket");
    let call = ticket_call(ticket);
    let first = world.submit_to(call, vm(0));
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
fn transferred_record_gives_the_same_answer_on_both_vms() {
    let mut world = world_with_history();
    let call = key_call(1);
    let (stopped, successor_vm) = (owner(&world, call), successor(&world, call));
    let first = world.submit_to(call, stopped);
    world.settle();
    world.stop(stopped);
    world.settle();
    let second = world.submit_to(call, successor_vm);
    world.settle();
    world.start(stopped);
    world.settle();
    let third = world.submit_to(call, stopped);
    world.settle();
    assert!(
        [first, second, third]
            .iter()
            .all(|&caller| world.answer(caller).is_ok())
    );
    assert_eq!(world.sends[&call.id].len(), 1);
}

#[test]
fn record_of_a_ticket_in_flight_at_the_stop_is_kept_for_as_long_as_it_could_run() {
    let mut world = world_with_history();
    let call = ticket_call(world.issue(vm(0)).expect("a ticket"));
    world.submit_to(call, vm(0));
    world.deliver(0);
    world.send(0, false);
    world.stop(vm(0));
    world.settle();
    world.advance(HISTORY_TIME, true);
    let again = world.submit(call, vm(1));
    world.settle();
    assert!(world.answer(again).is_err());
    assert_eq!(world.sends[&call.id].len(), 1);
}

#[test]
fn new_list_during_the_handover_changes_no_successor() {
    let mut world = world_with_history();
    let call = ticket_call(world.issue(vm(0)).expect("a ticket"));
    let first = world.submit(call, vm(0));
    world.settle();
    assert!(world.answer(first).is_ok());
    let other = (1..VMS)
        .map(vm)
        .find(|&vm| vm != ticket_successor(&world, call));
    world.publish(vec![other.expect("another VM")]);
    world.learn(other.expect("another VM"));
    world.stop(vm(0));
    world.learn(vm(0));
    world.settle();
    world.submit_to(call, other.expect("another VM"));
    world.settle();
    assert_eq!(world.sends[&call.id].len(), 1);
}
