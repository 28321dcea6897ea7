//! The gateway as a real process in front of fakes of the users' platform.
//!
//! A draft is a streaming request of the route that is not resumable: another engine can continue
//! it only from a copy of the run.

mod support;

use {
    fakes::site::{
        Target,
        store::Mode,
        target::{Behaviour, Break, Framing},
    },
    hyper::{Method, StatusCode},
    serde_json::json,
    std::{
        fs::{self, File},
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
    support::{
        process::{Process, free_address},
        site::{
            API_KEY, HOST, PendingResponse, RESUMABLE_PATH, SAFE_PATH, STREAM_PATH, Site,
            UNSAFE_PATH, event_stream, is_ready, read_to_end, send,
        },
        wait_until,
    },
};

/// Returns the behaviour of an engine whose streams last about a second.
fn slow_stream() -> Behaviour {
    Behaviour {
        events: 60,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    }
}

/// Request and response headers pass through the gateway, except those that it sets itself: a
/// client must not be able to forge the tenant or the source of a KV cache.
#[test]
fn an_answer_comes_back_as_the_target_gave_it() {
    let site = Site::start(1, 1, 1);
    let headers = [
        ("x-attempt-id", "a-1"),
        ("x-custom", "kept"),
        ("x-tenant", "forged"),
        ("kv-from", "forged"),
        ("x-deadline-ms", "1000"),
    ];
    let response = site.fetch(&Method::POST, UNSAFE_PATH, &headers);
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body.as_deref(), Some("s-0 ran a-1"));
    assert_eq!(response.headers["x-server-signature"], "signed");
    let request = site.services[0].received().remove(0);
    assert_eq!(&*request.path, UNSAFE_PATH);
    assert_eq!(&*request.body, b"the body");
    assert_eq!(request.headers["x-custom"], "kept");
    assert_eq!(request.headers["x-tenant"], "alpha");
    assert_eq!(request.headers["x-expect-instance"], "s-0");
    assert!(!request.headers.contains_key("authorization"));
    assert!(!request.headers.contains_key("kv-from"));
    let remaining: u64 = request.headers["x-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((1..=1000).contains(&remaining));
}

#[test]
fn a_request_without_a_route_or_a_known_key_is_not_passed_on() {
    let site = Site::start(1, 1, 1);
    assert_eq!(
        site.fetch(&Method::GET, "/nothing/1", &[]).status,
        StatusCode::NOT_FOUND
    );
    let unknown_key = [("authorization", "Token nobody")];
    assert_eq!(
        site.fetch(&Method::GET, SAFE_PATH, &unknown_key).status,
        StatusCode::UNAUTHORIZED
    );
    let invalid_deadline = [("x-deadline-ms", "soon")];
    assert_eq!(
        site.fetch(&Method::GET, SAFE_PATH, &invalid_deadline)
            .status,
        StatusCode::BAD_REQUEST
    );
    assert!(site.services[0].received().is_empty());
}

/// A new version of the configuration is applied, and an older one from the store is ignored.
#[test]
fn a_new_configuration_is_in_force_within_its_bound() {
    let site = Site::start(1, 1, 1);
    site.publish(2, |document| {
        document["Tenants"][0]["ApiKeys"] = ["another"].into();
    });
    wait_until("the old key is refused", || {
        site.fetch(&Method::GET, SAFE_PATH, &[]).status == StatusCode::UNAUTHORIZED
    });
    site.publish(1, |_| {});
    let new_key = [("authorization", "Token another")];
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(
        site.fetch(&Method::GET, SAFE_PATH, &new_key).status,
        StatusCode::OK
    );
}

/// A notice that a target leaves outlived the target, and the gateways renewed it for one another, so
/// a service whose targets had all restarted under their ids got no request any more.
#[test]
fn a_target_that_is_back_under_its_id_gets_requests_again() {
    let site = Site::start(1, 1, 3);
    site.wait_for_peers();
    let target = &site.services[0];
    site.register(target, "ledger", "dc-1", "draining");
    wait_until("the target is known to be leaving", || {
        (0..3).all(|index| {
            site.metrics(index)
                .contains("targets{leaving=\"true\"} 1\n")
        })
    });
    // Each gateway has reports of the others that name the target.
    std::thread::sleep(Duration::from_secs(2));
    site.store.remove("servers/s-0");
    std::thread::sleep(Duration::from_millis(500));
    site.put_entry_of(target, target.address, "ledger", "dc-1", "ready", "v1", 2);
    std::thread::sleep(Duration::from_secs(2));
    for index in 0..3 {
        let response = site.send(index, &Method::GET, SAFE_PATH, &[]);
        assert_eq!(response.status, StatusCode::OK, "gateway {index}");
    }
}

/// A gateway that restarts while the store refuses calls must not stay without a configuration.
#[test]
fn a_vm_that_the_store_turns_away_gets_the_configuration_of_a_peer() {
    let mut site = Site::start(1, 1, 2);
    wait_until("all gateways are ready", || {
        site.gateways.iter().all(is_ready)
    });
    site.store.set_mode(Mode::Unavailable);
    std::thread::sleep(Duration::from_millis(300));
    site.restart(0);
    let has_configuration = || {
        let response = send(site.gateways[0].clients, &Method::GET, "/nothing/1", &[]);
        response.is_ok_and(|response| response.status == StatusCode::NOT_FOUND)
    };
    wait_until(
        "the restarted gateway knows the configuration",
        has_configuration,
    );
}

/// A call that the store never answers must not block later configurations once the store recovers.
#[test]
fn a_configuration_comes_soon_after_the_store_lost_its_answers() {
    let site = Site::start(1, 1, 2);
    site.store.set_mode(Mode::Unresponsive);
    std::thread::sleep(Duration::from_secs(3));
    site.store.set_mode(Mode::Normal);
    site.publish(2, |document| {
        document["Tenants"][0]["ApiKeys"] = ["another"].into();
    });
    let start = Instant::now();
    for gateway in &site.gateways {
        wait_until("the old key is refused", || {
            let response = send(gateway.clients, &Method::GET, SAFE_PATH, &[]);
            response.is_ok_and(|response| response.status == StatusCode::UNAUTHORIZED)
        });
    }
    // A gateway that waited up to 15 s for the response to each watch would miss this bound.
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{:?}",
        start.elapsed()
    );
}

/// A target that runs a request and then drops the connection may have run it, so the request must
/// not be retried.
#[test]
fn a_non_idempotent_request_whose_answer_is_lost_is_sent_once() {
    let site = Site::start(1, 2, 1);
    for service in &site.services {
        service.set_behaviour(Behaviour {
            drops_response: true,
            ..Behaviour::default()
        });
    }
    let response = site.fetch(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", "a-1")]);
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    let request_count: usize = site
        .services
        .iter()
        .map(|service| service.received().len())
        .sum();
    assert_eq!(request_count, 1);
}

/// Failing targets must not cause more attempts than the route's `MaxAttempts`.
#[test]
fn an_idempotent_request_is_sent_again_and_no_more_than_permitted() {
    let site = Site::start(1, 3, 1);
    for service in &site.services {
        service.set_behaviour(Behaviour {
            status: 500,
            ..Behaviour::default()
        });
    }
    let response = site.fetch(&Method::GET, SAFE_PATH, &[("x-attempt-id", "a-1")]);
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    let runs: usize = site.services.iter().map(Target::run_count).sum();
    assert_eq!(runs, 2);
}

#[test]
fn a_refusal_of_all_targets_says_not_run_and_when_to_come_back() {
    let site = Site::start(1, 2, 1);
    for service in &site.services {
        service.set_behaviour(Behaviour {
            refuses: true,
            ..Behaviour::default()
        });
    }
    let response = site.fetch(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", "a-1")]);
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(
        site.services.iter().map(Target::run_count).sum::<usize>(),
        0
    );
}

/// Idempotent requests are hedged, so one slow target does not delay them.
#[test]
fn a_slow_idempotent_request_also_goes_to_a_second_target() {
    let site = Site::start(1, 2, 1);
    site.services[0].set_behaviour(Behaviour {
        delay: Duration::from_secs(5),
        ..Behaviour::default()
    });
    for attempt in 0..4 {
        let response = site.fetch(
            &Method::GET,
            SAFE_PATH,
            &[("x-attempt-id", &format!("a-{attempt}"))],
        );
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(site.services[1].run_count(), 4);
}

/// An engine crashes in the middle of a stream that has a copy: the run continues from the copy,
/// and the client sees every event once.
#[test]
fn a_draft_outlives_the_crash_of_its_engine() {
    let site = Site::start(3, 1, 1);
    site.set_engine_behaviour(&slow_stream());
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines
            .iter()
            .any(|engine| engine.active_streams() == 1)
    });
    std::thread::sleep(Duration::from_millis(200));
    site.engine_of("a-1").crash();
    let response = read_to_end(stream);
    assert_eq!(response.body, Some(event_stream(60)));
    let engine_count = site
        .engines
        .iter()
        .filter(|engine| engine.run_count() == 1)
        .count();
    assert_eq!(
        engine_count, 2,
        "the run must continue at exactly one other engine"
    );
}

/// Long gaps between tokens are not a failure while the engine accepts connections.
#[test]
fn an_engine_that_is_silent_but_takes_connections_is_waited_for() {
    let site = Site::start(3, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        event_interval: Duration::from_millis(400),
        events: 6,
        ..slow_stream()
    });
    let response = read_to_end(site.open_stream("a-1", 600));
    assert_eq!(response.body, Some(event_stream(6)));
    assert_eq!(site.engines.iter().map(Target::run_count).sum::<usize>(), 1);
}

/// Opens a draft that has a copy and returns it with the engine that runs it and the other one.
fn open_copied_draft(site: &Site) -> (PendingResponse, &Target, &Target) {
    site.set_engine_behaviour(&slow_stream());
    let stream = site.open_stream("a-1", 600);
    std::thread::sleep(Duration::from_millis(200));
    let source = site.engine_of("a-1");
    let mut engines = site.engines.iter();
    let other = engines.find(|engine| engine.address != source.address);
    (stream, source, other.expect("there is another engine"))
}

/// Returns how often an engine was asked to go on with the draft.
fn takeovers(engine: &Target) -> usize {
    let received = engine.received();
    let takeovers = received
        .iter()
        .filter(|request| request.headers.contains_key("kv-from"));
    takeovers.count()
}

/// A stream that was only silent is cut because no other engine takes it.
#[test]
fn a_draft_whose_engine_stalls_is_not_cut_when_no_other_engine_takes_it() {
    let site = Site::start(2, 1, 1);
    let (stream, source, other) = open_copied_draft(&site);
    other.set_behaviour(Behaviour {
        refuses: true,
        ..slow_stream()
    });
    source.stall(Duration::from_millis(600)).unwrap();
    let received = read_to_end(stream);
    assert!(takeovers(other) >= 1, "the other engine was asked");
    assert_eq!(
        received.body,
        Some(event_stream(60)),
        "{}",
        received.received
    );
    assert_eq!(other.run_count(), 0);
}

/// A stream without a copy is cut because its engine is silent and its queue of connections full.
#[test]
fn a_draft_without_a_copy_is_not_cut_when_its_engine_stalls() {
    let site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&slow_stream());
    let mut stream = site.open_stream("a-1", 600);
    stream.read_part();
    site.engines[0].stall(Duration::from_millis(600)).unwrap();
    let rest = read_to_end(stream);
    assert!(
        rest.body
            .is_some_and(|body| event_stream(60).ends_with(&body))
    );
}

/// The engine with the copy sheds load as the draft's own engine crashes, and is asked only once.
#[test]
fn a_draft_goes_on_from_its_copy_once_the_engine_that_refused_it_has_room() {
    let site = Site::start(2, 1, 1);
    let (stream, source, other) = open_copied_draft(&site);
    other.set_behaviour(Behaviour {
        refuses: true,
        ..slow_stream()
    });
    source.crash();
    std::thread::sleep(Duration::from_millis(500));
    other.set_behaviour(slow_stream());
    let received = read_to_end(stream);
    assert_eq!(
        received.body,
        Some(event_stream(60)),
        "{}",
        received.received
    );
    assert_eq!(other.run_count(), 1);
}

/// The stream of an engine that is silent goes on elsewhere, and every event comes once.
#[test]
fn a_draft_whose_engine_stalls_goes_on_at_the_engine_with_its_copy() {
    let site = Site::start(2, 1, 1);
    let (stream, source, other) = open_copied_draft(&site);
    source.stall(Duration::from_secs(2)).unwrap();
    let received = read_to_end(stream);
    assert_eq!(received.body, Some(event_stream(60)));
    assert!(received.longest_pause < Duration::from_secs(1));
    assert_eq!(other.run_count(), 1);
    wait_until("the engine that stalled ends its run", || {
        source.active_streams() == 0
    });
}

/// Returns the behaviour of an engine that runs a request at once, but answers it late.
fn late_head(head_delay: Duration) -> Behaviour {
    Behaviour {
        head_delay,
        ..slow_stream()
    }
}

/// A draft runs at two engines at once: its own goes on after a short stall, while the one with the
/// copy has begun to run it and has yet to answer.
#[test]
fn a_draft_whose_engine_goes_on_does_not_run_at_a_second_one_as_well() {
    let site = Site::start(2, 1, 1);
    let (stream, source, other) = open_copied_draft(&site);
    other.set_behaviour(late_head(Duration::from_secs(1)));
    // An engine is not probed in the first 400 ms of its stream.
    std::thread::sleep(Duration::from_millis(300));
    source.stall(Duration::from_millis(300)).unwrap();
    wait_until("the engine with the copy runs the draft", || {
        takeovers(other) > 0
    });
    std::thread::sleep(Duration::from_millis(450));
    let active = (source.active_streams(), other.active_streams());
    let received = read_to_end(stream);
    assert_eq!(received.body, Some(event_stream(60)));
    assert_ne!(active, (1, 1), "both engines run the draft");
}

/// Events of an engine that stalled for a moment wait until the engine with the copy has answered,
/// as the stream isn't read meanwhile.
#[test]
fn a_draft_whose_engine_goes_on_is_not_held_by_the_one_with_its_copy() {
    let site = Site::start(2, 1, 1);
    let (stream, source, other) = open_copied_draft(&site);
    other.set_behaviour(late_head(Duration::from_secs(10)));
    source.stall(Duration::from_millis(300)).unwrap();
    let received = read_to_end(stream);
    assert_eq!(received.body, Some(event_stream(60)));
    assert!(
        received.longest_pause < Duration::from_secs(1),
        "{:?}",
        received.longest_pause
    );
}

/// A client whose draft can't go on is held to its deadline by an engine that takes connections and
/// never answers.
#[test]
fn a_draft_whose_copy_is_at_a_mute_engine_ends_before_its_client_would_leave() {
    let site = Site::start(2, 1, 1);
    let (stream, source, other) = open_copied_draft(&site);
    other.set_behaviour(late_head(Duration::from_secs(60)));
    source.crash();
    let crashed = Instant::now();
    let received = read_to_end(stream);
    assert_eq!(received.body, None);
    let waited = crashed.elapsed();
    // Four latency objectives, and a second for the processes.
    assert!(waited < Duration::from_secs(7), "{waited:?}");
}

/// A stream whose copy is at a mute engine stays open beyond its deadline, which is not checked
/// while that engine is asked.
#[test]
fn a_draft_whose_copy_is_at_a_mute_engine_ends_at_its_deadline() {
    let site = Site::start(2, 1, 1);
    site.set_engine_behaviour(&slow_stream());
    let headers = [
        ("x-attempt-id", "a-1"),
        ("x-token-usage", "1000,600"),
        ("x-deadline-ms", "3000"),
    ];
    let opened = Instant::now();
    let stream = site.send(0, &Method::POST, STREAM_PATH, &headers);
    std::thread::sleep(Duration::from_millis(200));
    let source = site.engine_of("a-1");
    let others = site.engines.iter();
    for other in others.filter(|engine| engine.address != source.address) {
        other.set_behaviour(late_head(Duration::from_secs(10)));
    }
    source.crash();
    let received = read_to_end(stream);
    assert_eq!(received.body, None);
    let lasted = opened.elapsed();
    assert!(lasted < Duration::from_millis(3_500), "{lasted:?}");
}

/// Opens a resumable stream that has a copy; returns it with its engine and the one with the copy.
fn open_copied_resumable(site: &Site) -> (PendingResponse, &Target, &Target) {
    site.set_engine_behaviour(&slow_stream());
    let headers = [("x-attempt-id", "a-1"), ("x-token-usage", "1000,600")];
    let stream = site.send(0, &Method::POST, RESUMABLE_PATH, &headers);
    std::thread::sleep(Duration::from_millis(200));
    let source = site.engine_of("a-1");
    let request = source.received().remove(0);
    let backup = request.headers["x-kv-backup"].to_str().unwrap().to_owned();
    let mut engines = site.engines.iter();
    let holder = engines.find(|engine| engine.address.to_string() == backup);
    (stream, source, holder.expect("an engine holds the copy"))
}

/// A stream that could begin again at a third engine waits for a mute one to its deadline.
#[test]
fn a_resumable_stream_whose_copy_is_at_a_mute_engine_goes_on_at_another() {
    let site = Site::start(3, 1, 1);
    let (stream, source, holder) = open_copied_resumable(&site);
    holder.set_behaviour(late_head(Duration::from_secs(60)));
    source.crash();
    let received = read_to_end(stream);
    assert_eq!(
        received.body,
        Some(event_stream(60)),
        "{}",
        received.received
    );
}

/// A copy that no engine goes on from keeps its memory after the stream has begun again elsewhere.
#[test]
fn the_copy_of_a_stream_that_begins_again_elsewhere_is_freed() {
    let site = Site::start(3, 1, 1);
    let (stream, source, holder) = open_copied_resumable(&site);
    holder.set_behaviour(Behaviour {
        refuses: true,
        ..slow_stream()
    });
    assert_eq!(site.copy_count(), 1);
    source.crash();
    assert_eq!(read_to_end(stream).body, Some(event_stream(60)));
    wait_until("the copy is freed", || site.copy_count() == 0);
}

/// The run at the engine with the copy, whose answer is lost, isn't counted, so that a third engine
/// is sent a request of which its route permits two runs, while its own engine only stalls.
#[test]
fn a_stream_that_was_only_suspected_runs_at_no_more_targets_than_its_route_permits() {
    let site = Site::start(3, 1, 1);
    let (stream, source, holder) = open_copied_resumable(&site);
    holder.set_behaviour(Behaviour {
        drops_response: true,
        ..slow_stream()
    });
    source.stall(Duration::from_millis(300)).unwrap();
    let received = read_to_end(stream);
    assert_eq!(received.body, Some(event_stream(60)));
    let runs = site.engines.iter().map(Target::run_count);
    let runs = runs.collect::<Vec<_>>();
    assert!(runs.iter().sum::<usize>() <= 2, "{runs:?}");
}

/// The stream starts while there is no second engine to hold a copy. Its run is copied once the
/// engine is listed as draining, so the crash of the engine after that must not break the stream.
#[test]
fn a_draft_without_a_copy_is_copied_when_its_engine_gives_notice() {
    let mut site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        events: 250,
        ..slow_stream()
    });
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    site.add_engine(1, "dc-1");
    site.engines[1].set_behaviour(Behaviour {
        events: 250,
        ..slow_stream()
    });
    site.wait_for_targets(3, 0);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    wait_until("the run is copied", || site.copy_count() == 1);
    site.engines[0].crash();
    assert_eq!(read_to_end(stream).body, Some(event_stream(250)));
    assert_eq!(site.engines[1].run_count(), 1);
}

/// The engines that are asked first for a copy are full. A gateway that asks the next one only with the
/// next event of the stream loses several hundred milliseconds of the notice.
#[test]
fn a_copy_that_full_engines_refuse_is_at_another_one_before_the_next_event() {
    /// Less than the latency objective; no event comes between the refusals and the copy.
    const EVENT_INTERVAL: Duration = Duration::from_secs(1);
    let behaviour = Behaviour {
        events: 8,
        event_interval: EVENT_INTERVAL,
        copy_refusals: 3,
        ..Behaviour::default()
    };
    let mut site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&behaviour);
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    for index in 1..=4 {
        site.add_engine(index, "dc-1");
    }
    site.set_engine_behaviour(&behaviour);
    site.wait_for_targets(6, 0);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    wait_until("a copy is refused", || {
        !site.engines[0].refused_copies().is_empty()
    });
    let refused = Instant::now();
    wait_until("the run is copied", || site.copy_count() == 1);
    let copied = refused.elapsed();
    assert!(copied < EVENT_INTERVAL.mul_f64(0.9), "{copied:?}");
    let mut asked = site.engines[0].refused_copies();
    asked.extend(site.engines[0].copied_to().first());
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 4, "each engine is asked once");
    // The gateway learns of the copy when the call has ended.
    thread::sleep(Duration::from_millis(200));
    site.engines[0].crash();
    assert_eq!(read_to_end(stream).body, Some(event_stream(8)));
}

/// While another target fails, checks of this VM's connections are 150 ms apart. The stream of an engine
/// that leaves as planned waited for one that began after its end.
#[test]
fn a_draft_whose_engine_leaves_soon_after_another_target_failed_goes_on_in_time() {
    /// Longest permitted gap between two events.
    const MAX_GAP: Duration = Duration::from_millis(180);
    let behaviour = Behaviour {
        // Usual time to the first event of an engine that goes on with a stream.
        delay: Duration::from_millis(63),
        events: 200,
        ..Behaviour::default()
    };
    let mut site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&behaviour);
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    site.add_engine(1, "dc-1");
    site.set_engine_behaviour(&behaviour);
    site.wait_for_targets(3, 0);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    wait_until("the run is copied", || site.copy_count() == 1);
    thread::sleep(Duration::from_millis(200));
    site.services[0].set_behaviour(Behaviour {
        drops_response: true,
        ..Behaviour::default()
    });
    let received = thread::scope(|scope| {
        scope.spawn(|| {
            site.fetch(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", "a-2")]);
            // The check that this causes takes some 15 ms.
            thread::sleep(Duration::from_millis(10));
            site.engines[0].crash();
        });
        read_to_end(stream)
    });
    assert_eq!(received.body, Some(event_stream(200)));
    assert!(
        received.longest_pause < MAX_GAP,
        "{:?}",
        received.longest_pause
    );
}

/// The store is unavailable, so the gateway learns that the engine leaves from the engine itself.
/// The stream must be copied before the engine crashes.
#[test]
fn a_draft_is_copied_when_its_engine_leaves_while_the_store_is_away() {
    let mut site = Site::start(1, 1, 1);
    let behaviour = Behaviour {
        events: 500,
        ..slow_stream()
    };
    site.set_engine_behaviour(&behaviour);
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    site.add_engine(1, "dc-1");
    site.engines[1].set_behaviour(behaviour.clone());
    site.wait_for_targets(3, 0);
    site.store.set_mode(Mode::Unavailable);
    site.engines[0].set_behaviour(Behaviour {
        leaves: true,
        ..behaviour
    });
    wait_until("the run is copied", || site.copy_count() == 1);
    site.engines[0].crash();
    assert_eq!(read_to_end(stream).body, Some(event_stream(500)));
    assert_eq!(site.engines[1].run_count(), 1);
}

/// Most gateways don't watch the store, so they never notice that it is silent, and those that do
/// give the watch up to others. An engine's notice must be learned from the engine nevertheless.
#[test]
fn a_draft_is_copied_when_its_engine_leaves_while_the_watch_of_a_silent_store_is_passed_on() {
    /// Time after which the first watchers have noticed that the store is silent.
    const SILENCE: Duration = Duration::from_millis(2_500);
    /// Shortest notice of an engine that leaves.
    const NOTICE: Duration = Duration::from_millis(1_500);
    let mut site = Site::start(1, 1, 9);
    site.wait_for_peers();
    let behaviour = Behaviour {
        events: 400,
        ..slow_stream()
    };
    site.set_engine_behaviour(&behaviour);
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    site.add_engine(1, "dc-1");
    site.engines[1].set_behaviour(behaviour.clone());
    site.wait_for_targets(3, 0);
    site.store.set_mode(Mode::Unresponsive);
    thread::sleep(SILENCE);
    site.engines[0].set_behaviour(Behaviour {
        leaves: true,
        ..behaviour
    });
    thread::sleep(NOTICE);
    site.engines[0].crash();
    assert_eq!(read_to_end(stream).body, Some(event_stream(400)));
    assert_eq!(site.engines[1].run_count(), 1);
}

/// A copy that is no longer needed must not keep memory of the other engine.
#[test]
fn the_copy_of_a_draft_that_ends_before_its_engine_has_left_is_freed() {
    let mut site = Site::start(1, 1, 1);
    let behaviour = Behaviour {
        events: 100,
        ..slow_stream()
    };
    site.set_engine_behaviour(&behaviour);
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    site.add_engine(1, "dc-1");
    site.wait_for_targets(3, 0);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    wait_until("the run is copied", || site.copy_count() == 1);
    assert_eq!(read_to_end(stream).body, Some(event_stream(100)));
    wait_until("the copy is freed", || site.copy_count() == 0);
    assert_eq!(site.engines[1].run_count(), 0);
}

/// Engines that break a stream one after another must not cause more runs than `MaxAttempts`.
#[test]
fn a_resumable_stream_runs_at_no_more_targets_than_its_route_permits() {
    let site = Site::start(4, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        break_after: Some(2),
        ..slow_stream()
    });
    // The stream is too short to be copied, so each break starts a new run.
    let headers = [("x-attempt-id", "a-1"), ("x-token-usage", "1000,40")];
    let response = read_to_end(site.send(0, &Method::POST, RESUMABLE_PATH, &headers));
    assert_eq!(response.body, None, "every engine breaks the stream");
    assert_eq!(site.engines.iter().map(Target::run_count).sum::<usize>(), 2);
}

/// A stream that can't continue is truncated; the client must not take it for a complete one.
#[test]
fn a_draft_without_any_copy_ends_broken_and_never_looks_whole() {
    let site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        break_after: Some(5),
        ..slow_stream()
    });
    let response = read_to_end(site.open_stream("a-1", 600));
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body, None);
}

/// The ways in which an engine can break off a stream.
const BREAKS: [(Framing, Break); 7] = [
    (Framing::Chunks, Break::Close),
    (Framing::Chunks, Break::Reset),
    (Framing::Chunks, Break::End),
    (Framing::Length, Break::Close),
    (Framing::Length, Break::Reset),
    (Framing::Close, Break::Close),
    (Framing::Close, Break::Reset),
];

fn broken_stream(framing: Framing, break_kind: Break) -> Behaviour {
    Behaviour {
        break_after: Some(5),
        break_kind,
        framing,
        ..Behaviour::default()
    }
}

/// A stream without a length or chunks ends with its connection, and so does one that was broken
/// off. An incomplete event at the end is then the only difference.
#[test]
fn a_stream_that_its_engine_breaks_off_never_looks_complete() {
    let looks_complete = |&(framing, break_kind): &(Framing, Break)| {
        let site = Site::start(1, 1, 1);
        site.set_engine_behaviour(&broken_stream(framing, break_kind));
        let response = read_to_end(site.open_stream("a-1", 600));
        assert_eq!(response.status, StatusCode::OK);
        response.body.is_some() || response.received != event_stream(6)
    };
    let failed: Vec<_> = BREAKS.into_iter().filter(looks_complete).collect();
    assert_eq!(failed, []);
}

#[test]
fn a_draft_that_its_engine_breaks_off_goes_on_from_its_copy() {
    let is_cut = |&(framing, break_kind): &(Framing, Break)| {
        let site = Site::start(2, 1, 1);
        site.set_engine_behaviour(&broken_stream(framing, break_kind));
        let stream = site.open_stream("a-1", 600);
        site.set_engine_behaviour(&Behaviour {
            framing,
            ..Behaviour::default()
        });
        read_to_end(stream).body != Some(event_stream(20))
    };
    let failed: Vec<_> = BREAKS.into_iter().filter(is_cut).collect();
    assert_eq!(failed, []);
}

/// An engine that fails before its first event leaves nothing but the end of the connection.
#[test]
fn an_unframed_stream_without_any_event_never_looks_complete() {
    let site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        events: 0,
        framing: Framing::Close,
        ..Behaviour::default()
    });
    assert_eq!(read_to_end(site.open_stream("a-1", 600)).body, None);
}

/// Without chunks, a client can tell a whole body from a broken one only by its length.
#[test]
fn a_client_without_chunks_gets_a_length_or_a_failure() {
    let site = Site::start(1, 1, 1);
    let fetch = || {
        let request = format!(
            "POST {STREAM_PATH} HTTP/1.0\r\nHost: {HOST}\r\nAuthorization: Token {API_KEY}\r\n\
             X-Attempt-Id: a-1\r\nContent-Length: 0\r\n\r\n"
        );
        let mut stream = TcpStream::connect(site.gateways[0].clients).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    };
    let whole = fetch();
    let length = format!("content-length: {}\r\n", event_stream(20).len());
    assert!(whole.starts_with("HTTP/1.0 200"), "{whole}");
    assert!(whole.contains(&length), "{whole}");
    assert!(whole.ends_with(&event_stream(20)), "{whole}");
    site.set_engine_behaviour(&broken_stream(Framing::Chunks, Break::Close));
    let broken = fetch();
    assert!(broken.starts_with("HTTP/1.0 502"), "{broken}");
}

/// The run goes on in the answer of another request, whose bytes must not reach the client.
#[test]
fn a_stream_never_goes_on_with_the_answer_to_another_request() {
    let site = Site::start(2, 1, 1);
    site.set_engine_behaviour(&broken_stream(Framing::Chunks, Break::Close));
    let stream = site.open_stream("a-1", 600);
    site.set_engine_behaviour(&Behaviour {
        answers_for: Some("a-2".into()),
        ..Behaviour::default()
    });
    let response = read_to_end(stream);
    assert_eq!(response.body, None);
    assert_eq!(response.received, event_stream(6));
}

/// A stream has begun and breaks off, and the next engine answers with an error. Neither its text nor
/// its head belongs into the stream, which must not look complete either.
#[test]
fn a_stream_never_goes_on_with_an_error_of_the_next_engine() {
    const EVENTS: &str = "text/event-stream";
    let errors = [
        (500, "text/plain", "HTTP/1.1 500 Internal Server Error"),
        (500, EVENTS, "id: 6\ndata: internal error\n\n"),
        (404, "application/json", "{\"error\": \"no such model\"}"),
        (200, "text/plain", "out of memory"),
        (200, "application/json", "{\"error\": \"out of memory\"}"),
        (200, EVENTS, ""),
        (204, EVENTS, ""),
        (200, EVENTS, "event: error\ndata: out of memory\n\n"),
        (200, EVENTS, "{\"error\": \"out of memory\"}\n\n"),
        (
            200,
            EVENTS,
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        ),
        (200, EVENTS, "id: 6\ndata: tok"),
    ];
    for (path, tokens) in [(STREAM_PATH, "1000,600"), (RESUMABLE_PATH, "1000,40")] {
        for error in errors {
            let site = Site::start(2, 1, 1);
            site.set_engine_behaviour(&broken_stream(Framing::Chunks, Break::Close));
            let headers = [("x-attempt-id", "a-1"), ("x-token-usage", tokens)];
            let stream = site.send(0, &Method::POST, path, &headers);
            site.set_engine_behaviour(&Behaviour {
                error: Some(error),
                ..Behaviour::default()
            });
            let response = read_to_end(stream);
            assert_eq!(response.body, None, "{path} {error:?}");
            assert_eq!(response.received, event_stream(6), "{path} {error:?}");
        }
    }
}

#[test]
fn a_whole_stream_is_complete_however_its_end_is_marked() {
    let site = Site::start(1, 1, 1);
    for framing in [Framing::Chunks, Framing::Length, Framing::Close] {
        site.set_engine_behaviour(&Behaviour {
            framing,
            ..Behaviour::default()
        });
        let response = read_to_end(site.open_stream("a-1", 600));
        assert_eq!(response.body, Some(event_stream(20)), "{framing:?}");
    }
}

/// The client must not take half a response of a service for a whole one.
#[test]
fn a_response_that_its_service_breaks_off_never_looks_complete() {
    let breaks = [
        (Framing::Chunks, Break::Close),
        (Framing::Chunks, Break::Reset),
        (Framing::Length, Break::Close),
        (Framing::Length, Break::Reset),
        (Framing::Close, Break::Reset),
    ];
    for (framing, break_kind) in breaks {
        let site = Site::start(1, 1, 1);
        site.services[0].set_behaviour(broken_stream(framing, break_kind));
        for path in [UNSAFE_PATH, SAFE_PATH] {
            let response = site.fetch(&Method::POST, path, &[("x-attempt-id", "a-1")]);
            let case = format!("{framing:?} {break_kind:?} {path}");
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{case}");
        }
    }
}

#[test]
fn a_whole_response_is_complete_however_its_end_is_marked() {
    let site = Site::start(1, 1, 1);
    for framing in [Framing::Chunks, Framing::Length, Framing::Close] {
        site.services[0].set_behaviour(Behaviour {
            framing,
            ..Behaviour::default()
        });
        let response = site.fetch(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", "a-1")]);
        assert_eq!(response.body.as_deref(), Some("s-0 ran a-1"), "{framing:?}");
    }
}

#[test]
fn a_resumable_stream_goes_on_at_another_engine_after_its_last_event() {
    let site = Site::start(2, 1, 1);
    let headers = [("x-attempt-id", "a-1"), ("x-token-usage", "1000,80")];
    site.set_engine_behaviour(&Behaviour {
        break_after: Some(5),
        ..Behaviour::default()
    });
    let stream = site.send(0, &Method::POST, RESUMABLE_PATH, &headers);
    site.set_engine_behaviour(&Behaviour::default());
    assert_eq!(read_to_end(stream).body, Some(event_stream(20)));
    let resumed = site.engines.iter().flat_map(Target::received);
    let resumed = resumed.filter_map(|request| request.headers.get("last-event-id").cloned());
    assert_eq!(resumed.collect::<Vec<_>>(), ["5"]);
}

/// Breaks off a stream after its sixth event while its engine is the only one of its release.
///
/// Returns the number of engines that ran it.
fn break_off_between_releases(site: &Site, path: &str, tokens: &str) -> usize {
    site.set_engine_behaviour(&broken_stream(Framing::Chunks, Break::Close));
    let headers = [("x-attempt-id", "a-1"), ("x-token-usage", tokens)];
    let stream = site.send(0, &Method::POST, path, &headers);
    site.set_engine_behaviour(&Behaviour::default());
    let response = read_to_end(stream);
    assert_eq!(response.body, None);
    assert_eq!(response.received, event_stream(6));
    site.engines.iter().map(Target::run_count).sum()
}

/// What two releases write doesn't fit together, and engines don't check it.
#[test]
fn a_draft_never_goes_on_at_an_engine_of_another_release() {
    let site = Site::start_releases(&["v1", "v2"], 1, 1);
    assert_eq!(
        break_off_between_releases(&site, STREAM_PATH, "1000,600"),
        1
    );
}

#[test]
fn a_resumable_stream_never_goes_on_at_an_engine_of_another_release() {
    let site = Site::start_releases(&["v1", "v2"], 1, 1);
    assert_eq!(
        break_off_between_releases(&site, RESUMABLE_PATH, "1000,40"),
        1
    );
}

#[test]
fn a_draft_is_not_copied_to_another_release_when_its_engine_leaves() {
    let mut site = Site::start_releases(&["v1"], 1, 1);
    let behaviour = Behaviour {
        events: 150,
        ..slow_stream()
    };
    site.set_engine_behaviour(&behaviour);
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    site.add_engine_of(1, "dc-1", "v2");
    site.wait_for_targets(3, 0);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    site.wait_for_targets(2, 1);
    assert_eq!(site.engines[0].active_streams(), 1);
    assert_eq!(read_to_end(stream).body, Some(event_stream(150)));
    assert_eq!(site.engines[0].copied_to(), []);
}

/// Two engines of each release serve side by side, as during a rolling update.
#[test]
fn a_stream_goes_on_at_another_engine_of_its_release() {
    for (path, tokens) in [(STREAM_PATH, "1000,600"), (RESUMABLE_PATH, "1000,40")] {
        let site = Site::start_releases(&["v1", "v2", "v1", "v2"], 1, 1);
        site.set_engine_behaviour(&broken_stream(Framing::Chunks, Break::Close));
        let headers = [("x-attempt-id", "a-1"), ("x-token-usage", tokens)];
        let stream = site.send(0, &Method::POST, path, &headers);
        site.set_engine_behaviour(&Behaviour::default());
        assert_eq!(read_to_end(stream).body, Some(event_stream(20)), "{path}");
        let runs: Vec<_> = site.engines.iter().map(Target::run_count).collect();
        assert!(
            runs == [1, 0, 1, 0] || runs == [0, 1, 0, 1],
            "{path}: {runs:?}"
        );
    }
}

/// Nothing of the first engine has reached the client, so nothing has to fit together.
#[test]
fn a_stream_without_any_event_may_begin_again_at_another_release() {
    let site = Site::start_releases(&["v1", "v2"], 1, 1);
    site.set_engine_behaviour(&Behaviour {
        events: 0,
        framing: Framing::Close,
        delay: Duration::from_millis(100),
        ..Behaviour::default()
    });
    let headers = [("x-attempt-id", "a-1"), ("x-token-usage", "1000,40")];
    let stream = site.send(0, &Method::POST, RESUMABLE_PATH, &headers);
    site.set_engine_behaviour(&Behaviour::default());
    assert_eq!(read_to_end(stream).body, Some(event_stream(20)));
}

/// Engines of two releases, two of each.
const MIXED_RELEASES: [&str; 4] = ["v1", "v2", "v1", "v2"];

/// Begins a resumable stream at a gateway and leaves after its first event.
fn begin_stream(site: &Site, gateway: usize, attempt: &str) {
    let headers = [("x-attempt-id", attempt), ("x-token-usage", "1000,40")];
    let mut stream = site.send(gateway, &Method::POST, RESUMABLE_PATH, &headers);
    assert!(stream.read_part().starts_with("id: 0\n"));
}

/// Resumes a stream at a gateway after its first event.
fn resume_stream(site: &Site, gateway: usize, resumed: &str, attempt: &str) -> PendingResponse {
    let headers = [
        ("x-attempt-id", attempt),
        ("x-token-usage", "1000,40"),
        ("last-event-id", "0"),
        ("resumes", resumed),
    ];
    site.send(gateway, &Method::POST, RESUMABLE_PATH, &headers)
}

/// Returns the release of the engine that runs an attempt, at a site of [`MIXED_RELEASES`].
fn release_of(site: &Site, attempt: &str) -> &'static str {
    let instance = &site.engine_of(attempt).instance;
    let index = site
        .engines
        .iter()
        .position(|engine| engine.instance == *instance);
    MIXED_RELEASES[index.expect("the engine is one of the site's")]
}

/// Resumes six streams, since one alone meets the right release by chance.
fn resume_streams(site: &Site, gateway: usize, prefix: &str) {
    for stream in 0..6 {
        let (begun, resumed) = (format!("{prefix}-{stream}"), format!("r{prefix}-{stream}"));
        let response = read_to_end(resume_stream(site, gateway, &begun, &resumed));
        assert_eq!(response.status, StatusCode::OK, "{resumed}");
        assert!(event_stream(20).ends_with(&response.body.expect("the stream is complete")));
        assert_eq!(
            release_of(site, &resumed),
            release_of(site, &begun),
            "{resumed}"
        );
    }
}

/// A client whose connection broke comes back at any VM, which doesn't know the stream.
#[test]
fn a_client_resumes_its_stream_at_the_release_that_began_it() {
    let mut site = Site::start_releases(&MIXED_RELEASES, 1, 2);
    site.wait_for_peers();
    for stream in 0..6 {
        begin_stream(&site, 0, &format!("a-{stream}"));
        begin_stream(&site, 1, &format!("b-{stream}"));
    }
    resume_streams(&site, 0, "a");
    resume_streams(&site, 0, "b");
    // After its restart, the VM remembers nothing, and the other one is asked.
    site.restart(0);
    site.wait_for_peers();
    resume_streams(&site, 0, "b");
}

/// The VM that knew where the streams began is gone, which is why the clients come back.
#[test]
fn a_client_resumes_the_stream_of_a_vm_that_was_killed() {
    let mut site = Site::start_releases(&MIXED_RELEASES, 1, 3);
    site.wait_for_peers();
    for stream in 0..6 {
        begin_stream(&site, 0, &format!("a-{stream}"));
    }
    wait_until("another VM knows the streams", || {
        site.metric(1, "origins") == 6
    });
    site.gateways[0].process.kill();
    resume_streams(&site, 1, "a");
}

/// The route is split between two services, or leads to another one when the client comes back.
#[test]
fn a_client_resumes_its_stream_at_the_service_that_began_it() {
    let mut site = Site::start(2, 1, 1);
    for index in 2..4 {
        site.add_engine(index, "dc-1");
        let engine = &site.engines[index];
        site.register(engine, "others", "dc-1", "ready");
    }
    let others = |document: &mut serde_json::Value| {
        let mut service = document["Services"][0].clone();
        service["Name"] = "others".into();
        document["Services"].as_array_mut().unwrap().push(service);
    };
    site.publish(2, |document| {
        others(document);
        let split = |service, weight| json!({"Service": service, "Weight": weight});
        document["Routes"][1]["TrafficSplit"] = json!([split("engines", 50), split("others", 50)]);
    });
    site.wait_for_targets(5, 0);
    wait_until("the version is in force", || {
        site.metric(0, "configuration_version") == 2
    });
    let is_other = |attempt: &str| {
        let instance = &site.engine_of(attempt).instance;
        ["e-2", "e-3"].contains(&&**instance)
    };
    for stream in 0..12 {
        let (begun, resumed) = (format!("a-{stream}"), format!("r-{stream}"));
        begin_stream(&site, 0, &begun);
        let response = read_to_end(resume_stream(&site, 0, &begun, &resumed));
        assert!(response.body.is_some());
        assert_eq!(is_other(&begun), is_other(&resumed), "{resumed}");
    }
    site.publish(3, |document| {
        others(document);
        document["Routes"][1]["Service"] = "others".into();
    });
    wait_until("the version is in force", || {
        site.metric(0, "configuration_version") == 3
    });
    for stream in 0..12 {
        let (begun, resumed) = (format!("a-{stream}"), format!("s-{stream}"));
        let status = resume_stream(&site, 0, &begun, &resumed).status;
        assert_eq!(status == StatusCode::OK, is_other(&begun), "{resumed}");
    }
}

/// Nobody remembers where the stream began, so none of the releases is safe.
#[test]
fn a_stream_of_unknown_origin_is_not_resumed_while_two_releases_serve() {
    let mut site = Site::start_releases(&MIXED_RELEASES, 1, 1);
    begin_stream(&site, 0, "a-1");
    site.restart(0);
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    site.wait_for_targets(5, 0);
    let response = resume_stream(&site, 0, "a-1", "a-2");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(read_to_end(response).headers.contains_key("retry-after"));
    let received = site.engines.iter().flat_map(Target::received);
    assert_eq!(
        received
            .filter(|request| &*request.attempt == "a-2")
            .count(),
        0
    );
}

#[test]
fn a_stream_of_unknown_origin_is_resumed_while_one_release_serves() {
    let mut site = Site::start(2, 1, 1);
    begin_stream(&site, 0, "a-1");
    site.restart(0);
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    site.wait_for_targets(3, 0);
    let response = read_to_end(resume_stream(&site, 0, "a-1", "a-2"));
    assert!(event_stream(20).ends_with(&response.body.expect("the stream is complete")));
}

/// All VMs died, and the last engine of the release that began the stream left meanwhile. Nothing that
/// is listed shows that there was another release.
#[test]
fn a_stream_is_not_joined_from_two_releases_after_all_vms_were_killed() {
    for leaves_with_notice in [true, false] {
        let mut site = Site::start_releases(&["v1"], 1, 2);
        site.wait_for_peers();
        begin_stream(&site, 0, "a-1");
        site.add_engine_of(1, "dc-1", "v2");
        for gateway in &mut site.gateways {
            gateway.process.kill();
        }
        if leaves_with_notice {
            site.register(&site.engines[0], "engines", "dc-1", "draining");
        } else {
            // Older changes are no longer in the history.
            site.store.compact();
        }
        site.store
            .remove(&format!("servers/{}", site.engines[0].instance));
        for index in 0..2 {
            site.restart(index);
        }
        for gateway in &site.gateways {
            wait_until("the gateway is ready", || is_ready(gateway));
        }
        site.wait_for_targets(2, 0);
        let asked = Instant::now();
        let response = resume_stream(&site, 0, "a-1", "a-2");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(asked.elapsed() < Duration::from_millis(500));
        assert!(read_to_end(response).headers.contains_key("retry-after"));
        assert_eq!(site.engines[1].run_count(), 0);
    }
}

/// The same, but nothing has left, or only what ran the same release.
#[test]
fn a_stream_goes_on_after_all_vms_were_killed_if_there_was_one_release() {
    let mut site = Site::start(3, 1, 2);
    site.wait_for_peers();
    begin_stream(&site, 0, "a-1");
    for gateway in &mut site.gateways {
        gateway.process.kill();
    }
    site.store.compact();
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    site.store
        .remove(&format!("servers/{}", site.engines[0].instance));
    for index in 0..2 {
        site.restart(index);
    }
    for gateway in &site.gateways {
        wait_until("the gateway is ready", || is_ready(gateway));
    }
    site.wait_for_targets(3, 0);
    let goes_on = || {
        let response = read_to_end(resume_stream(&site, 0, "a-1", "a-2"));
        let body = response.body.expect("the stream is complete");
        response.status == StatusCode::OK && event_stream(20).ends_with(&body)
    };
    // The history is read just after the list.
    wait_until("the stream goes on", goes_on);
}

/// The only release was the right one as the request came, but not the only one any more as an engine
/// had room.
#[test]
fn a_stream_of_unknown_origin_is_not_resumed_at_a_release_that_came_while_it_waited() {
    let mut site = Site::start(1, 1, 1);
    begin_stream(&site, 0, "a-1");
    site.publish(2, |document| {
        document["Routes"][1]["TargetLatencyMs"] = 6_000.into();
    });
    site.restart(0);
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    site.wait_for_targets(2, 0);
    site.set_engine_behaviour(&Behaviour {
        event_interval: Duration::from_millis(40),
        ..slow_stream()
    });
    let fill = |index: usize| {
        let attempt = format!("fill-{index}");
        let headers = [("x-attempt-id", &*attempt), ("x-token-usage", "100,40")];
        site.send(0, &Method::POST, STREAM_PATH, &headers)
    };
    let _filling: Vec<_> = (0..8).map(fill).collect();
    let status = std::thread::scope(|scope| {
        let waiting = scope.spawn(|| resume_stream(&site, 0, "a-1", "a-2").status);
        std::thread::sleep(Duration::from_millis(200));
        assert!(!waiting.is_finished(), "the engine is full");
        let added = Target::start(free_address(), "e-1", true, &site.copies);
        let added = added.expect("the address is free");
        site.put_entry(&added, added.address, "engines", "dc-1", "ready", "v2");
        let status = waiting.join().expect("the client doesn't panic");
        assert_eq!(added.run_count(), 0);
        status
    });
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}

/// A release joins, and a stream that it has begun breaks off, while a VM misses all that: it is cut off
/// from the others, or its watches of the store are silent. Its list has the former release only.
#[test]
fn a_stream_is_not_joined_from_two_releases_at_a_vm_that_is_out_of_step() {
    for mode in [Mode::SilentWatches, Mode::Unresponsive, Mode::Unavailable] {
        let mut site = Site::start(1, 1, 1);
        // The VM has read the history of the store.
        wait_until("a stream goes on", || {
            let response = resume_stream(&site, 0, "a-0", "r-0");
            response.status == StatusCode::OK && read_to_end(response).body.is_some()
        });
        let runs = site.engines[0].run_count();
        site.store.set_mode(mode);
        site.add_engine_of(1, "dc-1", "v2");
        let asked = Instant::now();
        let response = resume_stream(&site, 0, "a-1", "r-1");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{mode:?}");
        assert!(asked.elapsed() < Duration::from_secs(1), "{mode:?}");
        assert!(read_to_end(response).headers.contains_key("retry-after"));
        assert_eq!(site.engines[0].run_count(), runs, "{mode:?}");
        assert_eq!(site.engines[1].run_count(), 0, "{mode:?}");
    }
}

/// Once the VM is in step again, streams of a single release go on.
#[test]
fn a_stream_of_unknown_origin_goes_on_once_the_store_is_back() {
    let site = Site::start(1, 1, 1);
    let mut stream = 0;
    let mut goes_on = || {
        stream += 1;
        let (begun, resumed) = (format!("a-{stream}"), format!("r-{stream}"));
        let response = resume_stream(&site, 0, &begun, &resumed);
        response.status == StatusCode::OK && read_to_end(response).body.is_some()
    };
    wait_until("a stream goes on", &mut goes_on);
    site.store.set_mode(Mode::Unavailable);
    assert!(!goes_on());
    site.store.set_mode(Mode::Normal);
    wait_until("a stream goes on", goes_on);
}

/// The request can't be served now and must not wait for it; it has not run.
#[test]
fn a_stream_whose_release_has_left_is_refused_at_once() {
    let site = Site::start_releases(&["v1", "v2"], 1, 1);
    begin_stream(&site, 0, "a-1");
    let engine = site.engine_of("a-1");
    site.store.remove(&format!("servers/{}", engine.instance));
    site.wait_for_targets(2, 0);
    let asked = Instant::now();
    let response = resume_stream(&site, 0, "a-1", "a-2");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(asked.elapsed() < Duration::from_millis(500));
    assert!(read_to_end(response).headers.contains_key("retry-after"));
}

/// One engine runs the request and drops the connection, and the other one refuses the retry. The
/// refusal of the second must not be reported as the result of both: 503 means that nothing ran.
#[test]
fn what_one_engine_may_have_run_is_not_called_not_run_after_the_refusal_of_another() {
    let site = Site::start(2, 1, 1);
    site.engines[0].set_behaviour(Behaviour {
        drops_response: true,
        ..Behaviour::default()
    });
    site.engines[1].set_behaviour(Behaviour {
        refuses: true,
        ..Behaviour::default()
    });
    for attempt in 0..6 {
        let attempt = format!("a-{attempt}");
        let headers = [("x-attempt-id", &*attempt), ("x-token-usage", "1000,80")];
        let response = site.fetch(&Method::POST, RESUMABLE_PATH, &headers);
        let may_have_run = site.engines[0]
            .received()
            .iter()
            .any(|request| *request.attempt == *attempt);
        let is_not_run = response.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(
            !(may_have_run && is_not_run),
            "{attempt}: {:?}",
            response.status
        );
    }
    assert!(site.engines[0].run_count() > 0);
}

#[test]
fn nothing_is_sent_to_a_target_that_leaves() {
    let site = Site::start(2, 1, 1);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    site.wait_for_targets(2, 1);
    for attempt in 0..8 {
        let headers = [
            ("x-attempt-id", &*format!("a-{attempt}")),
            ("x-token-usage", "10,8"),
        ];
        assert_eq!(
            site.fetch(&Method::POST, STREAM_PATH, &headers).status,
            StatusCode::OK
        );
    }
    assert_eq!(site.engines[0].run_count(), 0);
    assert_eq!(site.engines[1].run_count(), 8);
}

#[test]
fn an_entry_that_cannot_be_read_names_no_target() {
    let mut site = Site::start(1, 1, 1);
    site.store.put("servers/e-bad", "{\"Service\":7}");
    site.store.put("servers/e-worse", "no json");
    site.add_engine(1, "dc-1");
    site.wait_for_targets(3, 0);
    assert_eq!(
        read_to_end(site.open_stream("a-1", 8)).body,
        Some(event_stream(20))
    );
}

/// Returns entries that name no target to use, by the store key.
fn odd_entries() -> Vec<(String, String)> {
    let entry = json!({
        "Service": "ledger", "Address": "127.0.0.9:9", "Zone": "dc-1", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": 1,
    });
    let with = |field: &str, value: serde_json::Value| {
        let mut entry = entry.clone();
        entry[field] = value;
        entry.to_string()
    };
    let without = |field: &str| {
        let mut entry = entry.clone();
        entry.as_object_mut().expect("an object").remove(field);
        entry.to_string()
    };
    let number = |number: &str| {
        entry
            .to_string()
            .replace("\"Slots\":8", &format!("\"Slots\":{number}"))
    };
    let nested = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let values = [
        nested,
        number("1e999"),
        number("4294967296"),
        number("99999999999999999999999999"),
        number("-1"),
        number("0"),
        number("4294967295"),
        with("Address", "127.0.0.9:65536".into()),
        with("Address", "127.0.0.9:0".into()),
        with("Address", "0.0.0.0:80".into()),
        with("Address", "[::1]:80".into()),
        with("Address", "somewhere:80".into()),
        with("Address", 80.into()),
        with("born", (-1).into()),
        with("born", "yesterday".into()),
        with("State", "odd".into()),
        with("Service", json!(["ledger"])),
        with("Version", serde_json::Value::Null),
        without("Zone"),
        "\u{feff}".to_owned(),
        String::new(),
    ];
    let entries = values.into_iter().enumerate();
    let entries = entries.map(|(index, value)| (format!("servers/odd-{index}"), value));
    // The name of an instance goes into a header field.
    let keys = ["servers/a\nb", "servers/\u{1}", "servers/żur"];
    let named = keys.map(|key| (key.to_owned(), entry.to_string()));
    entries.chain(named).collect()
}

/// Another writer left odd entries among those of the targets: they are in the list that a gateway
/// reads as it starts, in the changes that it watches, and in what it passes on to peers.
#[test]
fn odd_entries_name_no_target_and_the_others_hold() {
    let mut site = Site::start(1, 2, 5);
    site.wait_for_peers();
    let processes: Vec<_> = site
        .gateways
        .iter()
        .map(|gateway| gateway.process.id())
        .collect();
    let counts = |site: &Site, count: usize| {
        let line = format!("mastictrail_gateway_targets{{leaving=\"false\"}} {count}\n");
        let mut gateways = 0..site.gateways.len();
        gateways.all(|index| site.metrics(index).contains(&line))
    };
    let serve = |site: &Site| {
        for gateway in &site.gateways {
            for _ in 0..8 {
                let response = send(gateway.clients, &Method::GET, SAFE_PATH, &[]);
                let response = read_to_end(response.expect("the gateway responds"));
                assert_eq!(response.status, StatusCode::OK);
            }
        }
    };
    for (key, value) in odd_entries() {
        site.store.put(&key, &value);
    }
    // The list is followed after that, too.
    site.add_engine(1, "dc-1");
    wait_until("the gateways follow the list", || counts(&site, 4));
    serve(&site);
    // The entry of a target that is in use turns odd, and is written again.
    let name = format!("servers/{}", site.services[1].instance);
    for (_, value) in odd_entries().into_iter().take(8) {
        site.store.put(&name, &value);
        wait_until("the target is not used", || counts(&site, 3));
        serve(&site);
        site.register(&site.services[1], "ledger", "dc-1", "ready");
        wait_until("the target is used again", || counts(&site, 4));
    }
    for gateway in &mut site.gateways {
        assert_eq!(gateway.process.exit_status(), None);
    }
    assert_eq!(
        processes,
        site.gateways
            .iter()
            .map(|gateway| gateway.process.id())
            .collect::<Vec<_>>()
    );
    site.restart(0);
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    wait_until("the gateways follow the list", || counts(&site, 4));
    serve(&site);
}

/// A watch can't continue from a revision that the store has compacted; the gateway must list the
/// targets again.
#[test]
fn the_history_that_the_store_drops_is_read_anew() {
    let mut site = Site::start(1, 1, 1);
    site.store.compact();
    site.add_engine(1, "dc-1");
    site.store.remove("servers/e-0");
    wait_until("the new engine is used", || {
        read_to_end(site.open_stream("a", 8)).status == StatusCode::OK
            && site.engines[1].run_count() > 0
    });
}

/// A client that closes its connection must not leave a run behind that takes up the engine.
#[test]
fn a_client_that_leaves_ends_the_run() {
    let site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        events: 1000,
        ..slow_stream()
    });
    let stream = site.open_stream("a-1", 2000);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    drop(stream);
    wait_until("the engine sees the connection close", || {
        !site.engines[0].cancelled().is_empty()
    });
}

/// A graceful shutdown completes open streams and short requests, but refuses new long streams.
#[test]
fn a_planned_stop_finishes_what_runs_and_sends_new_drafts_elsewhere() {
    let mut site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&slow_stream());
    let stream = site.open_stream("a-1", 600);
    wait_until("an engine runs the stream", || {
        site.engines[0].active_streams() == 1
    });
    site.gateways[0].process.terminate();
    wait_until("the gateway is not ready", || !is_ready(&site.gateways[0]));
    let refused = site.open_stream("a-2", 2000);
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(read_to_end(refused).headers["retry-after"], "0.00");
    assert_eq!(read_to_end(stream).body, Some(event_stream(60)));
    let response = site.fetch(&Method::POST, UNSAFE_PATH, &[("x-attempt-id", "a-3")]);
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["connection"], "close");
    wait_until("the process has exited", || {
        site.gateways[0].process.exit_status().is_some()
    });
}

/// Its stream lasts longer than the grace period, so that it is lost; the log must account for it.
#[test]
fn a_stream_that_a_planned_stop_cuts_is_logged_as_failed() {
    let mut site = Site::start(1, 1, 1);
    site.set_engine_behaviour(&Behaviour {
        events: 400,
        event_interval: Duration::from_millis(40),
        ..Behaviour::default()
    });
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let path = folder.path().join("vm.log");
    let log = File::create(&path).expect("the log is created");
    let settings = site.gateways[0].settings.display().to_string();
    site.gateways[0].process.kill();
    site.gateways[0].process = Process::start_with_output(
        env!("CARGO_BIN_EXE_mastictrail"),
        &["gateway".to_owned(), settings],
        log.into(),
    );
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    site.wait_for_targets(2, 0);
    let mut stream = site.open_stream("a-1", 4_000);
    assert!(stream.read_part().starts_with("id: 0\n"));
    site.gateways[0].process.terminate();
    assert_eq!(read_to_end(stream).body, None);
    wait_until("the process has exited", || {
        site.gateways[0].process.exit_status().is_some()
    });
    let log = fs::read_to_string(&path).expect("the log is readable");
    let ended = log
        .lines()
        .find(|line| line.contains("\"event\":\"ended\"") && line.contains("\"request\":\"a-1\""));
    let ended = ended.expect("the end of the stream is logged");
    assert!(ended.contains("\"outcome\":\"failed\""), "{ended}");
    assert!(ended.contains("this VM has stopped"), "{ended}");
}

/// A gateway that starts while the store is silent refuses requests and is not ready.
#[test]
fn a_gateway_without_a_configuration_says_not_run() {
    let site = Site::start(1, 1, 1);
    site.store.set_mode(Mode::Unresponsive);
    let mut site = site;
    site.restart(0);
    let status = || {
        let response = send(
            site.gateways[0].clients,
            &Method::GET,
            SAFE_PATH,
            &[("authorization", API_KEY)],
        );
        response.map(|response| response.status)
    };
    wait_until("the gateway listens", || status().is_ok());
    assert_eq!(status().unwrap(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!is_ready(&site.gateways[0]));
}

/// Each gateway sees an engine only now and then, so one that measured a slow engine must tell the
/// others; a deployment whose engines don't report the pace of their hosts must see no change.
#[test]
fn gateways_share_the_pace_of_engines_that_report_their_hosts() {
    let factor = |site: &Site, gateway: usize| {
        let text = site.metrics(gateway);
        let prefix = "mastictrail_gateway_pace{of=\"slowest\",service=\"engines\"} ";
        let mut values = text.lines().filter_map(|line| line.strip_prefix(prefix));
        values
            .next()
            .map(|value| value.parse::<f64>().expect("a number"))
    };
    let open = |site: &Site, gateway: usize, attempt: &str| {
        let headers = [("x-attempt-id", attempt), ("x-token-usage", "100,300")];
        site.send(gateway, &Method::POST, STREAM_PATH, &headers)
    };
    for reports_pace in [false, true] {
        let site = Site::start(3, 1, 2);
        site.wait_for_peers();
        for (index, engine) in site.engines.iter().enumerate() {
            let load = if reports_pace { "1,0,8,100" } else { "1,0,8" };
            let interval = if index == 0 { 100 } else { 25 };
            engine.set_behaviour(Behaviour {
                events: 6_000 / interval,
                event_interval: Duration::from_millis(interval),
                notices: vec![("x-server-load", load.to_owned())],
                ..Behaviour::default()
            });
        }
        let mut streams: Vec<_> = (0..15)
            .map(|index| open(&site, 0, &format!("a-{index}")))
            .collect();
        // The first response shows gateway 1 that the engines report the pace of their hosts.
        drop(open(&site, 1, "b-0"));
        if !reports_pace {
            std::thread::sleep(Duration::from_secs(4));
            streams.push(open(&site, 0, "a-last"));
            assert_eq!((factor(&site, 0), factor(&site, 1)), (None, None));
            continue;
        }
        for gateway in 0..2 {
            let mut count = 0;
            wait_until("the gateway knows of the slow engine", || {
                count += 1;
                // Factors are computed as requests are placed. Gateway 1 measures none itself, as its
                // clients leave too soon.
                let stream = open(&site, gateway, &format!("c-{gateway}-{count}"));
                if gateway == 0 {
                    streams.push(stream);
                }
                std::thread::sleep(Duration::from_millis(300));
                factor(&site, gateway).is_some_and(|factor| factor > 2.0)
            });
        }
    }
}
