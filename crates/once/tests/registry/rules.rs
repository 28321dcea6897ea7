//! Rules of a single registry.

use {
    crate::world::{
        HISTORY_TIME, IN_DOUBT_PERIOD, World, customer, key_call, settings, ticket_call, vm,
    },
    base::{Instant, Machine, Reason, Refusal, Verdict, key},
    mastictrail_once::{
        Action, Call, Event, Id, Registry, Reply, Settings, Ticket, ticket::Invalid,
    },
    std::{sync::Arc, time::Duration},
};

const KEY: &[u8] = b"key";

fn handle(registry: &mut Registry, now: Instant, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    registry.handle(now, event, &mut actions);
    actions
}

fn call(registry: &mut Registry, now: Instant, call: Call) -> Vec<Action> {
    handle(registry, now, Event::Call { waiter: 1, call })
}

fn refusal(actions: &[Action]) -> Refusal {
    match actions {
        [
            Action::Answer {
                outcome: Err(refusal),
                ..
            },
        ] => refusal.clone(),
        other => panic!("expected one refusal, got {other:?}"),
    }
}

/// Completes a call with a reply of `size` bytes.
fn complete(registry: &mut Registry, now: Instant, id: Id, size: usize) {
    let reply = Reply {
        body: vec![0; size].into(),
        ..Reply::default()
    };
    let outcome = Ok(Arc::new(reply));
    handle(registry, now, Event::Done { id, outcome });
}

/// Runs a ticket's call to completion.
fn run(registry: &mut Registry, now: Instant, ticket: Ticket, size: usize) {
    let id = ticket.id();
    call(registry, now, ticket_call(ticket));
    assert!(registry.permit(now, id, &mut Vec::new()));
    complete(registry, now, id, size);
}

fn single_registry(settings: Settings) -> (Registry, Instant) {
    let mut registry = Registry::new(vm(0), 1, settings);
    let now = Instant::default();
    handle(&mut registry, now, Event::VmList(vec![vm(0)]));
    (registry, now)
}

#[test]
fn ticket_of_another_customer_is_refused() {
    let (mut registry, now) = single_registry(settings());
    let text = registry.issue(now, customer()).unwrap().encode(KEY);
    let other = key::Customer::of("other");
    assert_eq!(Ticket::decode(&text, KEY, other), Err(Invalid::Foreign));
    let forged = Ticket::decode(&text, b"other key", customer());
    assert_eq!(forged, Err(Invalid::Unauthentic));
    assert!(Ticket::decode(&text, KEY, customer()).is_ok_and(|ticket| ticket.vm == vm(0)));
}

#[test]
fn ticket_of_an_ended_incarnation_is_refused_at_once_as_may_have_run() {
    let mut world = World::new();
    let ticket = world.issue(vm(0)).unwrap();
    world.kill(vm(0));
    world.start(vm(0));
    let caller = world.submit(ticket_call(ticket), vm(1));
    world.settle();
    let refusal = world.answer(caller).clone().unwrap_err();
    assert_eq!(refusal.reason, Reason::TicketVmGone);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert!(world.sends.is_empty());
}

#[test]
fn key_used_with_another_request_is_a_conflict() {
    let mut world = World::new();
    world.advance(HISTORY_TIME, true);
    let first = world.submit(key_call(1), vm(0));
    let other = Call {
        fingerprint: [1; 32],
        ..key_call(1)
    };
    world.settle();
    assert!(world.answer(first).is_ok());
    let owner = mastictrail_once::VmList::new(world.lists[0].clone()).owner(other.id);
    let node_id = world.node_id(owner.unwrap()).unwrap();
    let now = world.now;
    let registry = &mut world.nodes.get_mut(&node_id).unwrap().registry;
    let refusal = refusal(&call(registry, now, other));
    assert_eq!(refusal.reason, Reason::KeyConflict);
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

#[test]
fn refusal_of_a_key_in_doubt_gives_a_retry_delay() {
    let (mut registry, now) = single_registry(settings());
    handle(&mut registry, now, Event::VmListConfirmed);
    let refusal = refusal(&call(&mut registry, now, key_call(1)));
    assert_eq!(refusal.reason, Reason::KeyInDoubt);
    assert_eq!(refusal.retry_after, Some(IN_DOUBT_PERIOD));
}

#[test]
fn key_is_refused_after_a_pause_until_the_list_is_confirmed() {
    let mut world = World::new();
    world.advance(HISTORY_TIME, true);
    world.now = world.now + Duration::from_secs(5);
    let caller = world.submit(key_call(1), vm(0));
    world.settle();
    assert_eq!(
        world.answer(caller).clone().unwrap_err().reason,
        Reason::KeyInDoubt
    );
    world.confirm();
    let caller = world.submit(key_call(1), vm(0));
    world.settle();
    assert!(world.answer(caller).is_ok());
}

#[test]
fn full_registry_refuses_calls_instead_of_dropping_unfinished_records() {
    let (mut registry, now) = single_registry(Settings {
        max_records: 2,
        ..settings()
    });
    let tickets: Vec<_> = (0..4)
        .map(|_| registry.issue(now, customer()).unwrap())
        .collect();
    call(&mut registry, now, ticket_call(tickets[0]));
    call(&mut registry, now, ticket_call(tickets[1]));
    let full = refusal(&call(&mut registry, now, ticket_call(tickets[2])));
    assert_eq!(full.reason, Reason::Overloaded);
    assert_eq!(full.verdict, Verdict::NotRun);
    let id = tickets[0].id();
    assert!(registry.permit(now, id, &mut Vec::new()));
    complete(&mut registry, now, id, 1);
    run(&mut registry, now, tickets[2], 1);
    let dropped = refusal(&call(&mut registry, now, ticket_call(tickets[0])));
    assert_eq!(dropped.reason, Reason::RecordDropped);
    assert_eq!(dropped.verdict, Verdict::MayHaveRun);
}

#[test]
fn replies_beyond_the_size_limit_are_dropped_but_not_their_records() {
    let (mut registry, now) = single_registry(Settings {
        max_reply_bytes: 2000,
        ..settings()
    });
    let tickets: Vec<_> = (0..2)
        .map(|_| registry.issue(now, customer()).unwrap())
        .collect();
    for &ticket in &tickets {
        run(&mut registry, now, ticket, 1500);
    }
    let dropped = refusal(&call(&mut registry, now, ticket_call(tickets[0])));
    assert_eq!(dropped.reason, Reason::RecordDropped);
    assert_eq!(dropped.verdict, Verdict::Ran);
}

#[test]
fn expired_ticket_does_not_run() {
    let (mut registry, now) = single_registry(settings());
    let ticket = registry.issue(now, customer()).unwrap();
    let refusal = refusal(&call(&mut registry, ticket.expiry, ticket_call(ticket)));
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}
