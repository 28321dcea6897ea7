//! The faults of one stream, one by one.

use {
    crate::support::{Step, World},
    base::{Instant, Machine, Reason, Verdict, key},
    mastictrail_stream::{Action, Event, Mode, ResumeToken, Session, Settings, Start},
    std::time::Duration,
};

fn tokens(world: &World) -> usize {
    let is_token = |action: &&Action| matches!(action, Action::Token { .. });
    world.answer.iter().filter(is_token).count()
}

fn refusal(world: &World) -> base::Refusal {
    match world.answer.last() {
        Some(Action::Refuse(refusal)) => refusal.clone(),
        other => panic!("no refusal: {other:?}"),
    }
}

#[test]
fn loss_before_the_first_token_restarts_elsewhere_and_cancels_the_old() {
    let mut world = World::new(Mode::Streaming, 3);
    world.step(Step::Cut);
    world.settle();
    assert_eq!(&*world.generations[1].request, "r.2");
    assert_eq!(world.cancelled, [Box::from("r")]);
    assert_eq!(tokens(&world), 3);
}

#[test]
fn forgotten_generation_after_the_first_token_ends_with_an_error() {
    let mut world = World::new(Mode::Streaming, 3);
    world.step(Step::Next);
    world.step(Step::Forget);
    let refusal = refusal(&world);
    assert_eq!(refusal.reason, Reason::TargetLost);
    assert_eq!(refusal.verdict, Verdict::Ran);
    assert_eq!(world.generations.len(), 1);
}

#[test]
fn whole_answer_may_be_restarted_after_tokens_were_made() {
    let mut world = World::new(Mode::Buffered, 3);
    world.step(Step::Next);
    world.step(Step::Forget);
    world.settle();
    let Some(Action::Body { text, .. }) = world.answer.last() else {
        panic!("no answer: {:?}", world.answer);
    };
    assert_eq!(**text, world.generations[1].whole());
}

#[test]
fn refusals_before_the_start_are_not_run() {
    let mut world = World::new(Mode::Streaming, 3);
    (0..3).for_each(|_| world.step(Step::Refuse));
    assert_eq!(refusal(&world).verdict, Verdict::NotRun);
    assert!(world.generations.is_empty());
}

#[test]
fn deadline_is_answered_at_once_with_when_to_come_back() {
    let mut world = World::new(Mode::Streaming, 3);
    world.step(Step::Next);
    world.now = world.now + Duration::from_secs(200_000);
    world.tell(Event::Tick);
    let refusal = refusal(&world);
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after.is_some());
    assert_eq!(world.cancelled.len(), 1);
}

#[test]
fn generation_of_a_gone_caller_is_cancelled_after_the_grace() {
    let mut world = World::new(Mode::Streaming, 3);
    world.step(Step::Next);
    world.tell(Event::CallerDisconnected);
    assert!(world.cancelled.is_empty());
    world.wait();
    assert_eq!(world.cancelled.len(), 1);
}

#[test]
fn adopted_generation_is_not_cancelled() {
    let mut world = World::new(Mode::Streaming, 3);
    world.step(Step::Next);
    world.tell(Event::CallerDisconnected);
    world.tell(Event::Adopted);
    world.wait();
    assert!(world.cancelled.is_empty());
    assert!(world.session.is_ended());
}

#[test]
fn heartbeats_keep_a_slow_stream_and_silence_ends_its_connection() {
    let mut world = World::new(Mode::Streaming, 3);
    world.step(Step::Next);
    for _ in 0..20 {
        world.now = world.now + Duration::from_millis(500);
        world.tell(Event::Tick);
        world.step(Step::Heartbeat);
    }
    assert_eq!(tokens(&world), 1);
    let quiet = world.now;
    world.wait();
    assert!(world.now.since(quiet) <= Duration::from_secs(2));
    world.settle();
    assert_eq!(tokens(&world), 3);
}

#[test]
fn resumed_session_connects_at_the_token() {
    let token = ResumeToken {
        data_centre: key::DataCentre::of("a"),
        target: key::Target::of("engine"),
        vm: key::Vm::of("vm"),
        customer: key::Customer::of("customer"),
        next: 5,
        generation: "g".into(),
        request: "r.2".into(),
    };
    let deadline = Instant::default() + Duration::from_secs(9);
    let mut session = Session::resume(token, deadline, Settings::default(), 1);
    let mut actions = Vec::new();
    session.handle(Instant::default(), Event::Started, &mut actions);
    let expected = Action::Connect {
        connection: 1,
        target: key::Target::of("engine"),
        request: "r.2".into(),
        start: Start::Resume {
            generation: "g".into(),
            index: 5,
        },
    };
    assert_eq!(actions, [expected]);
}
