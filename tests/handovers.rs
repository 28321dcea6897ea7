//! Streams that go on at another engine although the engine before is reached and would work on.
//!
//! A gateway that takes the end or the silence of a connection for the end of the run lets two
//! engines work on a request that may run only once.

mod support;

use {
    fakes::site::{
        Target,
        partition::Kind,
        target::{Behaviour, Break, Run},
    },
    hyper::Method,
    std::{thread, time::Duration},
    support::{
        site::{
            HOST, RESUMABLE_PATH, Response, SAFE_PATH, STREAM_PATH, Site, event_stream,
            read_to_end, send,
        },
        wait_until,
    },
};

const ATTEMPT: &str = "a-1";
const EVENTS: u64 = 300;
/// Time for which engines work on runs that have lost their connection, unless they are stopped.
const LINGER: Duration = Duration::from_secs(12);
/// Time for which the engine before may work on once another one has begun.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Longest pause of a stream whose engine is sound; the sites permit 180 ms.
const MAX_PAUSE: Duration = Duration::from_millis(180);
/// Longest pause of a stream whose connection falls silent while its engine accepts others.
const MAX_SILENCE: Duration = Duration::from_millis(5_500);
/// Output tokens of a run that is copied as it grows, and of one that is begun again.
const LONG: u32 = 600;
const SHORT: u32 = 40;

/// Behaviour of an engine that works on when its connection is lost.
fn lingering() -> Behaviour {
    Behaviour {
        events: EVENTS,
        linger: LINGER,
        ..Behaviour::default()
    }
}

/// Behaviour of an engine that loses its answer after some events.
fn losing(kind: Break) -> Behaviour {
    Behaviour {
        break_after: Some(30),
        break_kind: kind,
        ..lingering()
    }
}

fn silent() -> Behaviour {
    Behaviour {
        silent_after: Some(30),
        ..lingering()
    }
}

/// Requests a stream whose first engine has the behaviour `first`; the others work on when they lose
/// a connection.
fn fetch(site: &Site, path: &str, tokens: u32, first: &Behaviour) -> Response {
    site.set_engine_behaviour(first);
    let usage = format!("1000,{tokens}");
    let headers = [
        ("x-attempt-id", ATTEMPT),
        ("x-token-usage", &*usage),
        ("x-deadline-ms", "20000"),
    ];
    let address = site.gateways[0].clients;
    thread::scope(|scope| {
        let response = scope.spawn(move || {
            let response = send(address, &Method::POST, path, &headers);
            read_to_end(response.expect("the gateway responds"))
        });
        let has_request = |engine: &Target| {
            let received = engine.received();
            received.iter().any(|request| &*request.attempt == ATTEMPT)
        };
        wait_until("an engine has the request", || {
            site.engines.iter().any(has_request)
        });
        let first = site.engine_of(ATTEMPT);
        let others = site.engines.iter();
        for engine in others.filter(|engine| engine.instance != first.instance) {
            engine.set_behaviour(lingering());
        }
        response.join().expect("the client does not panic")
    })
}

/// Returns the runs of the request at all engines, in the order in which these got it.
fn runs(site: &Site) -> Vec<Run> {
    let runs = site.engines.iter().flat_map(Target::runs);
    let mut runs: Vec<_> = runs.filter(|run| &*run.attempt == ATTEMPT).collect();
    runs.sort_by_key(|run| run.received);
    runs
}

/// Asserts that the stream is whole and that no two engines worked on it for long.
fn assert_handed_over(site: &Site, response: &Response, max_pause: Duration) {
    let runs = runs(site);
    assert!(runs.len() > 1, "the stream did not go on: {runs:?}");
    for pair in runs.windows(2) {
        let overlap = pair[0].overlap(&pair[1]);
        assert!(
            overlap <= MAX_OVERLAP,
            "two engines at work for {overlap:?}: {runs:?}"
        );
    }
    let body = response.body.as_deref();
    assert_eq!(body, Some(&*event_stream(EVENTS)), "{runs:?}");
    let pause = response.longest_pause;
    assert!(pause <= max_pause, "a pause of {pause:?}: {runs:?}");
}

/// Guards against a run at two engines: an engine loses the answer of a run and works on.
#[test]
fn a_run_whose_answer_is_lost_is_stopped_before_its_copy_goes_on() {
    for kind in [Break::Close, Break::Reset, Break::End] {
        let site = Site::start(2, 0, 1);
        let response = fetch(&site, STREAM_PATH, LONG, &losing(kind));
        assert_handed_over(&site, &response, MAX_PAUSE);
        let runs = runs(&site);
        assert!(runs[0].is_stopped, "{kind:?}: {runs:?}");
        wait_until("no copy is left", || site.copy_count() == 0);
    }
}

/// Guards against a run at two engines: the connection falls silent, and new ones work.
#[test]
fn a_run_whose_connection_falls_silent_is_stopped_once_its_copy_goes_on() {
    let site = Site::start(2, 0, 1);
    let response = fetch(&site, STREAM_PATH, LONG, &silent());
    assert_handed_over(&site, &response, MAX_SILENCE);
}

/// The same for streams that begin again at another engine, as they have no copy.
#[test]
fn a_run_is_stopped_before_its_stream_begins_again_elsewhere() {
    let site = Site::start(2, 0, 1);
    let response = fetch(&site, RESUMABLE_PATH, SHORT, &losing(Break::Close));
    assert_handed_over(&site, &response, MAX_PAUSE);
}

#[test]
fn a_silent_run_is_stopped_once_its_stream_has_begun_again_elsewhere() {
    let site = Site::start(2, 0, 1);
    let response = fetch(&site, RESUMABLE_PATH, SHORT, &silent());
    assert_handed_over(&site, &response, MAX_SILENCE);
}

/// The same before the first event: the engine has begun, and its answer is lost.
#[test]
fn a_run_is_stopped_before_its_request_is_tried_elsewhere() {
    let site = Site::start(2, 0, 1);
    let first = Behaviour {
        drops_response: true,
        ..lingering()
    };
    let response = fetch(&site, RESUMABLE_PATH, SHORT, &first);
    assert_handed_over(&site, &response, MAX_PAUSE);
}

/// Guards against a run at two engines: the request still waits in the queue of the first engine when
/// its answer is lost, and the engine, which has no such run yet, begins it later.
#[test]
fn a_request_that_waits_in_a_queue_is_stopped_once_it_begins() {
    let site = Site::start(2, 0, 1);
    let first = Behaviour {
        drops_response: true,
        head_delay: Duration::from_millis(300),
        queue_delay: Duration::from_millis(800),
        ..lingering()
    };
    let response = fetch(&site, RESUMABLE_PATH, SHORT, &first);
    assert_handed_over(&site, &response, MAX_PAUSE);
}

/// The same after the head of the answer, as its stream stays silent.
#[test]
fn a_request_that_waits_in_a_queue_after_its_head_is_stopped_once_it_begins() {
    let site = Site::start(2, 0, 1);
    let first = Behaviour {
        queue_delay: Duration::from_millis(5_600),
        ..lingering()
    };
    let response = fetch(&site, RESUMABLE_PATH, SHORT, &first);
    assert_handed_over(&site, &response, MAX_SILENCE);
}

/// The engine with the copy runs it, but doesn't answer in time, and a third one takes the stream.
#[test]
fn a_run_at_an_engine_that_was_given_up_is_stopped() {
    let mut site = Site::start(2, 0, 1);
    site.set_engine_behaviour(&losing(Break::Close));
    let response = site.send(
        0,
        &Method::POST,
        RESUMABLE_PATH,
        &[("x-attempt-id", ATTEMPT), ("x-token-usage", "1000,600")],
    );
    let first = site.engine_of(ATTEMPT).instance.clone();
    let others = site.engines.iter();
    for engine in others.filter(|engine| engine.instance != first) {
        engine.set_behaviour(Behaviour {
            head_delay: LINGER,
            ..lingering()
        });
    }
    site.add_engine(2, "dc-1");
    site.engines[2].set_behaviour(lingering());
    site.wait_for_targets(3, 0);
    let response = read_to_end(response);
    let runs = runs(&site);
    assert_eq!(runs.len(), 3, "{runs:?}");
    assert_handed_over(&site, &response, Duration::from_secs(2));
}

/// A copy made by order, as the engine is leaving; its answer is lost before it has left.
#[test]
fn a_run_of_a_leaving_engine_whose_answer_is_lost_is_stopped() {
    let mut site = Site::start(1, 0, 1);
    site.set_engine_behaviour(&Behaviour {
        break_after: Some(250),
        ..losing(Break::Close)
    });
    let response = site.open_stream(ATTEMPT, LONG);
    site.add_engine(1, "dc-1");
    site.engines[1].set_behaviour(lingering());
    site.wait_for_targets(2, 0);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    wait_until("the run is copied", || {
        !site.engines[0].copied_to().is_empty()
    });
    let response = read_to_end(response);
    assert_handed_over(&site, &response, MAX_PAUSE);
}

/// The gateway reaches its engines through another one.
#[test]
fn a_run_behind_a_tunnel_is_stopped_before_its_copy_goes_on() {
    let mut site = Site::start(2, 1, 2);
    site.wait_for_peers();
    site.cut(&[0], Kind::Reset);
    wait_until("the gateway finds out that it is cut off", || {
        let headers = [("host", HOST)];
        let response = send(site.gateways[0].clients, &Method::GET, SAFE_PATH, &headers);
        drop(response.map(read_to_end));
        site.metric(0, "isolated") == 1
    });
    let response = fetch(&site, STREAM_PATH, LONG, &losing(Break::Close));
    assert_handed_over(&site, &response, MAX_PAUSE);
    site.gateways.clear();
}

/// An engine that says that it works on must not be overtaken, however soon the copy could go on.
#[test]
fn a_stream_does_not_go_on_while_its_engine_says_that_it_works_on() {
    let site = Site::start(2, 0, 1);
    let first = Behaviour {
        stop_conflicts: 4,
        ..losing(Break::Close)
    };
    let response = fetch(&site, STREAM_PATH, LONG, &first);
    assert_handed_over(&site, &response, Duration::from_secs(2));
    let runs = runs(&site);
    let ended = runs[0].ended.expect("the first run has ended");
    assert!(ended <= runs[1].began, "{runs:?}");
}

/// Guards against a run at two engines: the silent engine refuses the call while it copies the run.
#[test]
fn a_silent_run_that_is_being_copied_is_stopped_soon_after() {
    let site = Site::start(2, 0, 1);
    let first = Behaviour {
        stop_conflicts: 4,
        ..silent()
    };
    let response = fetch(&site, STREAM_PATH, LONG, &first);
    assert_handed_over(&site, &response, MAX_SILENCE);
}

/// An engine that has crashed can't be asked, and must not delay the stream.
#[test]
fn a_stream_does_not_wait_for_an_engine_that_is_gone() {
    let site = Site::start(2, 0, 1);
    site.set_engine_behaviour(&lingering());
    let response = site.open_stream(ATTEMPT, LONG);
    wait_until("an engine runs the stream", || !runs(&site).is_empty());
    thread::sleep(Duration::from_millis(500));
    site.engine_of(ATTEMPT).crash();
    let response = read_to_end(response);
    assert_handed_over(&site, &response, MAX_PAUSE);
}
