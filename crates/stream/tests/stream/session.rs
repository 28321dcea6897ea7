//! Single faults of a stream and how the session responds to them.

use {
    crate::support::{Simulation, Step},
    base::{Instant, Machine, Reason, Verdict, key},
    mastictrail_stream::{Action, Event, Mode, ResumeToken, Session, Settings, Start},
    std::time::Duration,
};

fn tokens(simulation: &Simulation) -> usize {
    let is_token = |action: &&Action| matches!(action, Action::Token { .. });
    simulation.response.iter().filter(is_token).count()
}

fn refusal(simulation: &Simulation) -> base::Refusal {
    match simulation.response.last() {
        Some(Action::Refuse(refusal)) => refusal.clone(),
        other => panic!("not a refusal: {other:?}"),
    }
}

#[test]
fn failure_before_the_first_token_retries_on_another_engine_and_cancels_the_first() {
    let mut simulation = Simulation::new(Mode::Streaming, 3);
    simulation.step(Step::Disconnect);
    simulation.settle();
    assert_eq!(&*simulation.generations[1].request, "r.2");
    assert_eq!(simulation.cancelled, [Box::from("r")]);
    assert_eq!(tokens(&simulation), 3);
}

#[test]
fn forgotten_generation_after_the_first_token_ends_with_an_error() {
    let mut simulation = Simulation::new(Mode::Streaming, 3);
    simulation.step(Step::Next);
    simulation.step(Step::ForgetGeneration);
    let refusal = refusal(&simulation);
    assert_eq!(refusal.reason, Reason::TargetLost);
    assert_eq!(refusal.verdict, Verdict::Ran);
    assert_eq!(simulation.generations.len(), 1);
}

#[test]
fn buffered_response_is_retried_after_tokens_were_generated() {
    let mut simulation = Simulation::new(Mode::Buffered, 3);
    simulation.step(Step::Next);
    simulation.step(Step::ForgetGeneration);
    simulation.settle();
    let Some(Action::Body { text, .. }) = simulation.response.last() else {
        panic!("no response body: {:?}", simulation.response);
    };
    assert_eq!(**text, simulation.generations[1].full_text());
}

#[test]
fn refusals_before_the_start_are_not_run() {
    let mut simulation = Simulation::new(Mode::Streaming, 3);
    (0..3).for_each(|_| simulation.step(Step::Refuse));
    assert_eq!(refusal(&simulation).verdict, Verdict::NotRun);
    assert!(simulation.generations.is_empty());
}

#[test]
fn passed_deadline_is_refused_with_a_retry_delay() {
    let mut simulation = Simulation::new(Mode::Streaming, 3);
    simulation.step(Step::Next);
    simulation.now = simulation.now + Duration::from_secs(200_000);
    simulation.handle(Event::Tick);
    let refusal = refusal(&simulation);
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after.is_some());
    assert_eq!(simulation.cancelled.len(), 1);
}

#[test]
fn generation_of_a_disconnected_caller_is_cancelled_after_the_grace_period() {
    let mut simulation = Simulation::new(Mode::Streaming, 3);
    simulation.step(Step::Next);
    simulation.handle(Event::CallerDisconnected);
    assert!(simulation.cancelled.is_empty());
    simulation.wait();
    assert_eq!(simulation.cancelled.len(), 1);
}

#[test]
fn adopted_generation_is_not_cancelled() {
    let mut simulation = Simulation::new(Mode::Streaming, 3);
    simulation.step(Step::Next);
    simulation.handle(Event::CallerDisconnected);
    simulation.handle(Event::Adopted);
    simulation.wait();
    assert!(simulation.cancelled.is_empty());
    assert!(simulation.session.is_ended());
}

#[test]
fn heartbeats_keep_a_slow_stream_connected_and_silence_fails_its_connection() {
    let mut simulation = Simulation::new(Mode::Streaming, 3);
    simulation.step(Step::Next);
    for _ in 0..20 {
        simulation.now = simulation.now + Duration::from_millis(500);
        simulation.handle(Event::Tick);
        simulation.step(Step::Heartbeat);
    }
    assert_eq!(tokens(&simulation), 1);
    let silent_since = simulation.now;
    simulation.wait();
    assert!(simulation.now.since(silent_since) <= Duration::from_secs(2));
    simulation.settle();
    assert_eq!(tokens(&simulation), 3);
}

#[test]
fn resumed_session_connects_at_the_index_of_its_token() {
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
