//! Data centres that the operator takes out of service, behind real gateway processes.

mod support;

use {
    fakes::site::{Target, partition::Kind, store::Mode, target::Behaviour},
    hyper::{Method, StatusCode},
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{
        process::free_address,
        site::{
            RESUMABLE_PATH, Response, SAFE_PATH, STREAM_PATH, Site, UNSAFE_PATH, event_stream,
            is_ready, read_to_end,
        },
        wait_until,
    },
};

/// Time after which no request may reach a cordoned data centre.
const BOUND: Duration = Duration::from_secs(5);
/// Setting of the gateways, in their last section, that enables cordons.
const ENABLED: &str = "cordon = 5s\n";
/// Key that cordons the second data centre.
const CORDON_KEY: &str = "op/evacuate/dc-2";
/// Method and path of a request of each kind.
const REQUESTS: [(Method, &str); 4] = [
    (Method::POST, STREAM_PATH),
    (Method::POST, RESUMABLE_PATH),
    (Method::POST, UNSAFE_PATH),
    (Method::GET, SAFE_PATH),
];

/// Starts gateways and, in each of two data centres, two engines and a plain service target.
fn start(gateways: usize, settings: &str) -> Site {
    let mut site = Site::new();
    site.data_centres = vec!["dc-1", "dc-2"];
    settings.clone_into(&mut site.settings);
    site.publish(1, |_| {});
    for (index, data_centre) in ["dc-1", "dc-1", "dc-2", "dc-2"].iter().enumerate() {
        site.add_engine(index, data_centre);
    }
    for (name, data_centre) in [("s-0", "dc-1"), ("s-1", "dc-2")] {
        let target = Target::start(free_address(), name, false, &site.copies);
        let target = target.expect("the address is free");
        site.register(&target, "ledger", data_centre, "ready");
        site.services.push(target);
    }
    let store = site.store.address;
    site.start_gateways(gateways, store);
    for gateway in &site.gateways {
        wait_until("a gateway is ready", || is_ready(gateway));
    }
    site.wait_for_peers();
    site
}

/// Waits until all gateways know the number of cordoned data centres, which must be in time.
fn wait_for_cordoned(site: &Site, count: usize) {
    let began = Instant::now();
    wait_until("all gateways know the cordoned data centres", || {
        (0..site.gateways.len()).all(|gateway| site.metric(gateway, "cordoned") == count)
    });
    assert!(began.elapsed() < BOUND, "{:?}", began.elapsed());
}

/// Sends a request of each kind through all gateways; returns the responses.
fn send_all(site: &Site, prefix: &str) -> Vec<Response> {
    let mut responses = Vec::new();
    for gateway in 0..site.gateways.len() {
        for (index, (method, path)) in REQUESTS.iter().enumerate() {
            let attempt = format!("{prefix}-{gateway}-{index}");
            let headers = [("x-attempt-id", &*attempt), ("x-token-usage", "1000,600")];
            responses.push(read_to_end(site.send(gateway, method, path, &headers)));
        }
    }
    responses
}

/// Returns the requests of attempts with a prefix that the second data centre got.
fn received(site: &Site, prefix: &str) -> Vec<String> {
    let targets = site.engines[2..].iter().chain(&site.services[1..]);
    let requests = targets.flat_map(Target::received);
    let requests = requests.filter(|request| request.attempt.starts_with(prefix));
    requests
        .map(|request| format!("{} {}", request.path, request.attempt))
        .collect()
}

/// Returns the addresses to which engines copied runs in the second data centre.
fn copies_there(site: &Site) -> usize {
    let copies = site.copies.lock().expect("the lock is not poisoned");
    let there = |address| {
        site.engines[2..]
            .iter()
            .any(|engine| engine.address == address)
    };
    copies.iter().filter(|(holder, _)| there(*holder)).count()
}

/// Retries and hedges would go there, as the targets of the first data centre fail or are slow.
#[test]
fn nothing_reaches_a_cordoned_data_centre_and_its_clients_are_served_elsewhere() {
    let site = start(4, ENABLED);
    assert!(
        send_all(&site, "early")
            .iter()
            .all(|response| response.status == StatusCode::OK)
    );
    assert!(
        !received(&site, "early").is_empty(),
        "the data centre is in use"
    );
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    let copies = copies_there(&site);
    for response in send_all(&site, "late") {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert!(response.body.is_some(), "a response is cut: {response:?}");
    }
    site.services[0].set_behaviour(Behaviour {
        delay: Duration::from_millis(700),
        ..Behaviour::default()
    });
    for response in send_all(&site, "late-slow") {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    site.services[0].set_behaviour(Behaviour {
        status: 500,
        ..Behaviour::default()
    });
    for engine in &site.engines[..2] {
        engine.set_behaviour(Behaviour {
            refuses: true,
            ..Behaviour::default()
        });
    }
    for response in send_all(&site, "late-failing") {
        assert!(response.status.is_server_error(), "{response:?}");
    }
    assert_eq!(received(&site, "late"), Vec::<String>::new());
    assert_eq!(copies_there(&site), copies, "runs were copied there");
}

/// What runs there is not moved: its engine stays.
#[test]
fn runs_in_a_cordoned_data_centre_finish_there() {
    let site = start(2, ENABLED);
    site.set_engine_behaviour(&Behaviour {
        events: 300,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    });
    let headers = [("x-attempt-id", "run"), ("x-token-usage", "1000,600")];
    let stream = site.send(1, &Method::POST, STREAM_PATH, &headers);
    wait_until("an engine runs the stream", || {
        site.engines
            .iter()
            .any(|engine| engine.active_streams() == 1)
    });
    let engine = site.engine_of("run").address;
    assert!(
        site.engines[2..]
            .iter()
            .any(|there| there.address == engine)
    );
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    assert_eq!(read_to_end(stream).body, Some(event_stream(300)));
    let runs: usize = site.engines.iter().map(Target::run_count).sum();
    assert_eq!(runs, 1, "the run was moved");
}

/// An engine that isn't probed would hold up its client until the longest silence is over.
#[test]
fn a_run_whose_cordoned_engine_stands_still_goes_on_elsewhere() {
    let site = start(2, ENABLED);
    site.set_engine_behaviour(&Behaviour {
        events: 200,
        event_interval: Duration::from_millis(20),
        silent_after: Some(100),
        ..Behaviour::default()
    });
    let headers = [("x-attempt-id", "run"), ("x-token-usage", "1000,600")];
    let stream = site.send(1, &Method::POST, STREAM_PATH, &headers);
    wait_until("an engine runs the stream", || {
        site.engines
            .iter()
            .any(|engine| engine.active_streams() == 1)
    });
    let engine = site.engine_of("run").address;
    let is_there = |there: &Target| there.address == engine;
    assert!(site.engines[2..].iter().any(is_there));
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    for engine in &site.engines[..2] {
        engine.set_behaviour(Behaviour {
            events: 200,
            ..Behaviour::default()
        });
    }
    let response = read_to_end(stream);
    assert_eq!(response.body, Some(event_stream(200)));
    let pause = response.longest_pause;
    assert!(pause < Duration::from_secs(2), "{pause:?}");
}

/// A VM that reaches no target itself would have a peer send requests there.
#[test]
fn no_request_goes_to_a_cordoned_data_centre_through_a_tunnel() {
    let site = start(3, ENABLED);
    site.cut(&[0], Kind::Refuse);
    wait_until("the gateway uses its peers", || {
        site.fetch(&Method::GET, SAFE_PATH, &[("x-attempt-id", "first")]);
        site.metric(0, "isolated") == 1
    });
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    for response in send_all(&site, "late") {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    assert_eq!(site.metric(0, "isolated"), 1);
    assert_eq!(received(&site, "late"), Vec::<String>::new());
}

/// A deletion that some VM misses would keep the capacity out of use.
#[test]
fn a_data_centre_is_used_again_after_the_key_is_deleted() {
    let site = start(4, ENABLED);
    site.store.put(CORDON_KEY, "anything");
    wait_for_cordoned(&site, 1);
    send_all(&site, "cordoned");
    assert_eq!(received(&site, "cordoned"), Vec::<String>::new());
    site.store.remove(CORDON_KEY);
    wait_for_cordoned(&site, 0);
    wait_until("the data centre gets requests", || {
        send_all(&site, "after");
        !received(&site, "after").is_empty()
    });
}

/// It would send requests there, as the set is not known from the store.
#[test]
fn a_vm_that_starts_while_the_store_is_away_learns_the_set_from_a_peer() {
    let mut site = start(3, ENABLED);
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    site.store.set_mode(Mode::Unavailable);
    thread::sleep(Duration::from_millis(300));
    site.restart(0);
    wait_for_cordoned(&site, 1);
    site.store.set_mode(Mode::Normal);
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    for response in send_all(&site, "late") {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    assert_eq!(received(&site, "late"), Vec::<String>::new());
}

/// Requests that wait for capacity which can't come take connections and the clients' time.
#[test]
fn a_request_is_refused_at_once_if_all_data_centres_are_cordoned() {
    let site = start(2, ENABLED);
    site.store.put(CORDON_KEY, "{}");
    site.store.put("op/evacuate/dc-1", "{}");
    wait_for_cordoned(&site, 2);
    for (method, path) in REQUESTS {
        let sent = Instant::now();
        let response = read_to_end(site.send(0, &method, path, &[]));
        assert!(
            sent.elapsed() < Duration::from_millis(500),
            "{path}: {:?}",
            sent.elapsed()
        );
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = response.headers["retry-after"].to_str();
        let retry_after: f64 = retry_after.expect("text").parse().expect("seconds");
        assert!((retry_after - 1.0).abs() < f64::EPSILON, "{retry_after}");
        assert!(
            response.received.contains("\"cordoned\""),
            "{}",
            response.received
        );
    }
    let targets = site.engines.iter().chain(&site.services);
    assert!(
        targets
            .map(Target::received)
            .all(|received| received.is_empty())
    );
}

/// Deployments without the setting must not pay for it or behave differently.
#[test]
fn without_the_setting_nothing_changes() {
    let site = start(1, "");
    site.store.put(CORDON_KEY, "{}");
    site.store.put("op/evacuate/dc-1", "{}");
    thread::sleep(Duration::from_secs(2));
    assert_eq!(site.metric(0, "cordoned"), 0);
    assert!(
        send_all(&site, "late")
            .iter()
            .all(|response| response.status == StatusCode::OK)
    );
    let calls = site.store.calls();
    assert_eq!(calls.get("/v1/kv-key?Key=op/config"), Some(&1), "{calls:?}");
    assert_eq!(calls.get("/v1/kv-range?PathPrefix=op/"), None, "{calls:?}");
}

/// The read of the set replaces that of the configuration, as each call is priced.
#[test]
fn the_set_is_read_together_with_the_configuration() {
    let site = start(1, ENABLED);
    thread::sleep(Duration::from_secs(2));
    let calls = site.store.calls();
    assert_eq!(
        calls.get("/v1/kv-range?PathPrefix=op/"),
        Some(&1),
        "{calls:?}"
    );
    assert_eq!(calls.get("/v1/kv-key?Key=op/config"), None, "{calls:?}");
}

/// The positions of the new era are below the known ones, so a VM that compares revisions alone keeps
/// the set of before.
#[test]
fn the_set_of_a_restored_store_replaces_the_known_one() {
    let site = start(6, ENABLED);
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    let backup = site.store.backup();
    site.store.remove(CORDON_KEY);
    for index in 0..20 {
        site.store.put("op/other", &index.to_string());
    }
    wait_for_cordoned(&site, 0);
    site.store.restore(backup);
    wait_for_cordoned(&site, 1);
    send_all(&site, "late");
    assert_eq!(received(&site, "late"), Vec::<String>::new());
    site.store.remove(CORDON_KEY);
    wait_for_cordoned(&site, 0);
}

/// The engine with the copy would go on with the run.
#[test]
fn a_run_does_not_go_on_from_a_copy_in_a_cordoned_data_centre() {
    let mut site = Site::new();
    ENABLED.clone_into(&mut site.settings);
    site.publish(1, |_| {});
    site.add_engine(0, "dc-1");
    site.add_engine(1, "dc-2");
    let store = site.store.address;
    site.start_gateways(1, store);
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    site.set_engine_behaviour(&Behaviour {
        events: 400,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    });
    let stream = site.open_stream("run", 600);
    wait_until("the run has a copy in the other data centre", || {
        site.engines[0].active_streams() == 1 && site.copy_count() == 1
    });
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    site.engines[0].crash();
    assert_eq!(read_to_end(stream).body, None);
    assert_eq!(site.engines[1].received().len(), 0);
}

/// The run counts as not copied, as the engine with its copy may not go on with it.
#[test]
fn a_run_whose_copy_is_in_a_cordoned_data_centre_survives_the_departure_of_its_engine() {
    let mut site = Site::new();
    ENABLED.clone_into(&mut site.settings);
    site.publish(1, |_| {});
    site.add_engine(0, "dc-1");
    site.add_engine(1, "dc-2");
    let store = site.store.address;
    site.start_gateways(1, store);
    wait_until("the gateway is ready", || is_ready(&site.gateways[0]));
    let behaviour = Behaviour {
        events: 400,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    };
    site.set_engine_behaviour(&behaviour);
    let stream = site.open_stream("run", 600);
    wait_until("the run has a copy in the other data centre", || {
        site.engines[0].active_streams() == 1 && site.copy_count() == 1
    });
    site.store.put(CORDON_KEY, "{}");
    wait_for_cordoned(&site, 1);
    site.add_engine(2, "dc-1");
    site.engines[2].set_behaviour(behaviour);
    site.wait_for_targets(3, 0);
    site.register(&site.engines[0], "engines", "dc-1", "draining");
    let new_copy = site.engines[2].address;
    wait_until("the run is copied again", || {
        site.engines[0].copied_to().contains(&new_copy)
    });
    // The gateway learns of the copy when the call has ended.
    thread::sleep(Duration::from_millis(200));
    site.engines[0].crash();
    assert_eq!(read_to_end(stream).body, Some(event_stream(400)));
    assert_eq!(
        site.engines[1].run_count(),
        0,
        "the run went on in the cordoned data centre"
    );
    assert_eq!(site.engines[2].run_count(), 1);
}
