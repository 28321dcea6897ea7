//! The gateway as a real process before stand-ins of the users' platform.

mod support;

use {
    fakes::site::{Target, store::Mode, target::Behaviour},
    hyper::{Method, StatusCode},
    std::time::{Duration, Instant},
    support::{
        site::{CHECK, DRAFT, HOLD, KEY, READ, Site, events, finish, is_ready, open},
        wait_until,
    },
};

fn slow_draft() -> Behaviour {
    Behaviour {
        events: 60,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    }
}

#[test]
fn an_answer_comes_back_as_the_target_gave_it() {
    let site = Site::start(1, 1, 1);
    let fields = [
        ("x-attempt-id", "a-1"),
        ("x-custom", "kept"),
        ("x-tenant", "forged"),
        ("kv-from", "forged"),
        ("x-deadline-ms", "1000"),
    ];
    let reply = site.ask(&Method::POST, HOLD, &fields);
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body.as_deref(), Some("s-0 ran a-1"));
    assert_eq!(reply.headers["x-server-signature"], "signed");
    let seen = site.services[0].received().remove(0);
    assert_eq!(&*seen.path, HOLD);
    assert_eq!(&*seen.body, b"the body");
    assert_eq!(seen.headers["x-custom"], "kept");
    assert_eq!(seen.headers["x-tenant"], "alpha");
    assert_eq!(seen.headers["x-expect-instance"], "s-0");
    assert!(!seen.headers.contains_key("authorization"));
    assert!(!seen.headers.contains_key("kv-from"));
    let left: u64 = seen.headers["x-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((1..=1000).contains(&left));
}

#[test]
fn a_request_without_a_route_or_a_known_key_is_not_passed_on() {
    let site = Site::start(1, 1, 1);
    assert_eq!(
        site.ask(&Method::GET, "/nothing/1", &[]).status,
        StatusCode::NOT_FOUND
    );
    let unknown = [("authorization", "Token nobody")];
    assert_eq!(
        site.ask(&Method::GET, READ, &unknown).status,
        StatusCode::UNAUTHORIZED
    );
    let wrong = [("x-deadline-ms", "soon")];
    assert_eq!(
        site.ask(&Method::GET, READ, &wrong).status,
        StatusCode::BAD_REQUEST
    );
    assert!(site.services[0].received().is_empty());
}

#[test]
fn a_new_configuration_is_in_force_within_its_bound() {
    let site = Site::start(1, 1, 1);
    site.publish(2, |document| {
        document["Tenants"][0]["ApiKeys"] = ["another"].into();
    });
    wait_until("the old key is refused", || {
        site.ask(&Method::GET, READ, &[]).status == StatusCode::UNAUTHORIZED
    });
    site.publish(1, |_| {});
    let another = [("authorization", "Token another")];
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(
        site.ask(&Method::GET, READ, &another).status,
        StatusCode::OK
    );
}

#[test]
fn a_vm_that_the_store_turns_away_gets_the_configuration_of_a_peer() {
    let mut site = Site::start(1, 1, 2);
    wait_until("the gateways have met", || {
        site.gateways.iter().all(is_ready)
    });
    site.store.set_mode(Mode::Unavailable);
    std::thread::sleep(Duration::from_millis(300));
    site.restart(0);
    let served = || {
        let reply = open(site.gateways[0].clients, &Method::GET, "/nothing/1", &[]);
        reply.is_ok_and(|open| open.status == StatusCode::NOT_FOUND)
    };
    wait_until("the restarted gateway knows the configuration", served);
}

#[test]
fn a_configuration_comes_soon_after_the_store_lost_its_answers() {
    let site = Site::start(1, 1, 2);
    site.store.set_mode(Mode::Unresponsive);
    std::thread::sleep(Duration::from_secs(3));
    site.store.set_mode(Mode::Normal);
    site.publish(2, |document| {
        document["Tenants"][0]["ApiKeys"] = ["another"].into();
    });
    let begun = Instant::now();
    for gateway in &site.gateways {
        wait_until("the old key is refused", || {
            let reply = open(gateway.clients, &Method::GET, READ, &[]);
            reply.is_ok_and(|open| open.status == StatusCode::UNAUTHORIZED)
        });
    }
    // A call that was never answered would hold the news up for the length of a watch, 15 s.
    assert!(
        begun.elapsed() < Duration::from_secs(10),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn a_non_idempotent_request_whose_answer_is_lost_is_sent_once() {
    let site = Site::start(1, 2, 1);
    for service in &site.services {
        service.set_behaviour(Behaviour {
            drops_response: true,
            ..Behaviour::default()
        });
    }
    let reply = site.ask(&Method::POST, HOLD, &[("x-attempt-id", "a-1")]);
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    let seen: usize = site
        .services
        .iter()
        .map(|service| service.received().len())
        .sum();
    assert_eq!(seen, 1);
}

#[test]
fn an_idempotent_request_is_sent_again_and_no_more_than_permitted() {
    let site = Site::start(1, 3, 1);
    for service in &site.services {
        service.set_behaviour(Behaviour {
            status: 500,
            ..Behaviour::default()
        });
    }
    let reply = site.ask(&Method::GET, READ, &[("x-attempt-id", "a-1")]);
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
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
    let reply = site.ask(&Method::POST, HOLD, &[("x-attempt-id", "a-1")]);
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(
        site.services.iter().map(Target::run_count).sum::<usize>(),
        0
    );
}

#[test]
fn a_slow_idempotent_request_also_goes_to_a_second_target() {
    let site = Site::start(1, 2, 1);
    site.services[0].set_behaviour(Behaviour {
        delay: Duration::from_secs(5),
        ..Behaviour::default()
    });
    for attempt in 0..4 {
        let reply = site.ask(
            &Method::GET,
            READ,
            &[("x-attempt-id", &format!("a-{attempt}"))],
        );
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(site.services[1].run_count(), 4);
}

#[test]
fn a_draft_outlives_the_crash_of_its_engine() {
    let site = Site::start(3, 1, 1);
    site.engines_behave(&slow_draft());
    let draft = site.draft("a-1", 600);
    wait_until("the draft runs", || {
        site.engines
            .iter()
            .any(|engine| engine.active_streams() == 1)
    });
    std::thread::sleep(Duration::from_millis(200));
    site.engine_of("a-1").crash();
    let reply = finish(draft);
    assert_eq!(reply.body, Some(events(60)));
    let ran = site
        .engines
        .iter()
        .filter(|engine| engine.run_count() == 1)
        .count();
    assert_eq!(ran, 2, "the run went on at one other engine");
}

#[test]
fn an_engine_that_is_silent_but_takes_connections_is_waited_for() {
    let site = Site::start(3, 1, 1);
    site.engines_behave(&Behaviour {
        event_interval: Duration::from_millis(400),
        events: 6,
        ..slow_draft()
    });
    let reply = finish(site.draft("a-1", 600));
    assert_eq!(reply.body, Some(events(6)));
    assert_eq!(site.engines.iter().map(Target::run_count).sum::<usize>(), 1);
}

#[test]
fn a_draft_without_a_copy_is_copied_when_its_engine_gives_notice() {
    let mut site = Site::start(1, 1, 1);
    site.engines_behave(&Behaviour {
        events: 250,
        ..slow_draft()
    });
    let draft = site.draft("a-1", 600);
    wait_until("the draft runs", || site.engines[0].active_streams() == 1);
    site.add_engine(1, "dc-1");
    site.engines[1].set_behaviour(Behaviour {
        events: 250,
        ..slow_draft()
    });
    site.wait_for_targets(3, 0);
    site.list(&site.engines[0], "engines", "dc-1", "draining");
    wait_until("the run is copied", || site.copies() == 1);
    site.engines[0].crash();
    assert_eq!(finish(draft).body, Some(events(250)));
    assert_eq!(site.engines[1].run_count(), 1);
}

#[test]
fn a_draft_is_copied_when_its_engine_leaves_while_the_store_is_away() {
    let mut site = Site::start(1, 1, 1);
    let slow = Behaviour {
        events: 500,
        ..slow_draft()
    };
    site.engines_behave(&slow);
    let draft = site.draft("a-1", 600);
    wait_until("the draft runs", || site.engines[0].active_streams() == 1);
    site.add_engine(1, "dc-1");
    site.engines[1].set_behaviour(slow.clone());
    site.wait_for_targets(3, 0);
    site.store.set_mode(Mode::Unavailable);
    site.engines[0].set_behaviour(Behaviour {
        leaves: true,
        ..slow
    });
    wait_until("the run is copied", || site.copies() == 1);
    site.engines[0].crash();
    assert_eq!(finish(draft).body, Some(events(500)));
    assert_eq!(site.engines[1].run_count(), 1);
}

#[test]
fn the_copy_of_a_draft_that_ends_before_its_engine_has_left_is_freed() {
    let mut site = Site::start(1, 1, 1);
    let slow = Behaviour {
        events: 100,
        ..slow_draft()
    };
    site.engines_behave(&slow);
    let draft = site.draft("a-1", 600);
    wait_until("the draft runs", || site.engines[0].active_streams() == 1);
    site.add_engine(1, "dc-1");
    site.wait_for_targets(3, 0);
    site.list(&site.engines[0], "engines", "dc-1", "draining");
    wait_until("the run is copied", || site.copies() == 1);
    assert_eq!(finish(draft).body, Some(events(100)));
    wait_until("the copy is freed", || site.copies() == 0);
    assert_eq!(site.engines[1].run_count(), 0);
}

#[test]
fn a_resumable_stream_runs_at_no_more_targets_than_its_route_permits() {
    let site = Site::start(4, 1, 1);
    site.engines_behave(&Behaviour {
        break_after: Some(2),
        ..slow_draft()
    });
    // Too short for a copy, so that each break begins a run anew.
    let usage = [("x-attempt-id", "a-1"), ("x-token-usage", "1000,40")];
    let reply = finish(site.open(0, &Method::POST, CHECK, &usage));
    assert_eq!(reply.body, None, "each engine breaks off");
    assert_eq!(site.engines.iter().map(Target::run_count).sum::<usize>(), 2);
}

#[test]
fn a_draft_without_any_copy_ends_broken_and_never_looks_whole() {
    let site = Site::start(1, 1, 1);
    site.engines_behave(&Behaviour {
        break_after: Some(5),
        ..slow_draft()
    });
    let reply = finish(site.draft("a-1", 600));
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, None);
}

#[test]
fn a_resumable_stream_goes_on_at_another_engine_after_its_last_event() {
    let site = Site::start(2, 1, 1);
    let usage = [("x-attempt-id", "a-1"), ("x-token-usage", "1000,80")];
    site.engines_behave(&Behaviour {
        break_after: Some(5),
        ..Behaviour::default()
    });
    let check = site.open(0, &Method::POST, CHECK, &usage);
    site.engines_behave(&Behaviour::default());
    assert_eq!(finish(check).body, Some(events(20)));
    let resumed = site.engines.iter().flat_map(Target::received);
    let resumed = resumed.filter_map(|seen| seen.headers.get("last-event-id").cloned());
    assert_eq!(resumed.collect::<Vec<_>>(), ["5"]);
}

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
        let fields = [("x-attempt-id", &*attempt), ("x-token-usage", "1000,80")];
        let reply = site.ask(&Method::POST, CHECK, &fields);
        let ran = site.engines[0]
            .received()
            .iter()
            .any(|seen| *seen.attempt == *attempt);
        let is_not_run = reply.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!(ran && is_not_run), "{attempt}: {:?}", reply.status);
    }
    assert!(site.engines[0].run_count() > 0);
}

#[test]
fn nothing_is_sent_to_a_target_that_leaves() {
    let site = Site::start(2, 1, 1);
    site.list(&site.engines[0], "engines", "dc-1", "draining");
    site.wait_for_targets(2, 1);
    for attempt in 0..8 {
        let fields = [
            ("x-attempt-id", &*format!("a-{attempt}")),
            ("x-token-usage", "10,8"),
        ];
        assert_eq!(
            site.ask(&Method::POST, DRAFT, &fields).status,
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
    assert_eq!(finish(site.draft("a-1", 8)).body, Some(events(20)));
}

#[test]
fn the_history_that_the_store_drops_is_read_anew() {
    let mut site = Site::start(1, 1, 1);
    site.store.compact();
    site.add_engine(1, "dc-1");
    site.store.remove("servers/e-0");
    wait_until("the new engine is used", || {
        finish(site.draft("a", 8)).status == StatusCode::OK && site.engines[1].run_count() > 0
    });
}

#[test]
fn a_client_that_leaves_ends_the_run() {
    let site = Site::start(1, 1, 1);
    site.engines_behave(&Behaviour {
        events: 1000,
        ..slow_draft()
    });
    let draft = site.draft("a-1", 2000);
    wait_until("the draft runs", || site.engines[0].active_streams() == 1);
    drop(draft);
    wait_until("the engine sees the connection close", || {
        !site.engines[0].cancelled().is_empty()
    });
}

#[test]
fn a_planned_stop_finishes_what_runs_and_sends_new_drafts_elsewhere() {
    let mut site = Site::start(1, 1, 1);
    site.engines_behave(&slow_draft());
    let draft = site.draft("a-1", 600);
    wait_until("the draft runs", || site.engines[0].active_streams() == 1);
    site.gateways[0].process.terminate();
    wait_until("the gateway is not ready", || !is_ready(&site.gateways[0]));
    let refused = site.draft("a-2", 2000);
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(finish(refused).headers["retry-after"], "0.00");
    assert_eq!(finish(draft).body, Some(events(60)));
    let hold = site.ask(&Method::POST, HOLD, &[("x-attempt-id", "a-3")]);
    assert_eq!(hold.status, StatusCode::OK);
    assert_eq!(hold.headers["connection"], "close");
    wait_until("the process has ended", || {
        site.gateways[0].process.ended().is_some()
    });
}

#[test]
fn a_gateway_without_a_configuration_says_not_run() {
    let site = Site::start(1, 1, 1);
    site.store.set_mode(Mode::Unresponsive);
    let mut site = site;
    site.restart(0);
    let status = || {
        let open = open(
            site.gateways[0].clients,
            &Method::GET,
            READ,
            &[("authorization", KEY)],
        );
        open.map(|open| open.status)
    };
    wait_until("the gateway listens", || status().is_ok());
    assert_eq!(status().unwrap(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!is_ready(&site.gateways[0]));
}
