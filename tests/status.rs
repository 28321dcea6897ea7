//! `mastictrail status` of real gateway processes.

mod support;

use {
    fakes::site::{Target, target::Behaviour},
    hyper::{Method, StatusCode},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        process::{Command, Output},
        thread,
        time::Duration,
    },
    support::{
        process::free_address,
        site::{SAFE_PATH, Site, is_ready, read_to_end, send},
        wait_until,
    },
};

/// Exit code of a failure.
const FAILURE: i32 = 1;

fn run(address: SocketAddr, options: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mastictrail"))
        .args(["status", &address.to_string()])
        .args(options)
        .output()
        .expect("the command runs")
}

/// Returns the status that a gateway reports.
fn status(site: &Site, gateway: usize) -> Value {
    let output = run(site.gateways[gateway].metrics, &["--json"]);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

/// Starts two gateways and, in each of two data centres, a target of a service that warms up.
fn start() -> Site {
    let mut site = Site::new();
    site.data_centres = vec!["dc-1", "dc-2"];
    "cordon = 5s\n".clone_into(&mut site.settings);
    site.publish(3, |document| {
        // Requests for generations wait for longer than a test takes.
        document["Routes"][0]["TargetLatencyMs"] = 15_000.into();
        document["Services"][1]["ColdStartS"] = 30.into();
        document["Services"][1]["ColdPerS"] = 4.into();
    });
    for (name, data_centre) in [("s-0", "dc-1"), ("s-1", "dc-2")] {
        let target = Target::start(free_address(), name, false, &site.copies);
        let target = target.expect("the address is free");
        site.register(&target, "ledger", data_centre, "ready");
        site.services.push(target);
    }
    let store = site.store.address;
    site.start_gateways(2, store);
    for gateway in &site.gateways {
        wait_until("a gateway is ready", || is_ready(gateway));
    }
    site.wait_for_peers();
    site
}

/// An operator can't tell otherwise whether all VMs know of the cordon, and since which change.
#[test]
fn the_status_shows_cordoned_data_centres_with_their_position() {
    let site = start();
    let empty = json!({"total": 0, "entries": []});
    let before = status(&site, 0);
    assert_eq!(before["vm"], "vm-0");
    assert_eq!(before["data_centre"], "dc-1");
    assert_eq!(before["ready"], true);
    assert_eq!(before["configuration_version"], 3);
    assert_eq!(before["cordon"]["enabled"], true);
    for list in [&before["cordon"]["data_centres"], &before["cold_targets"]] {
        assert_eq!(*list, empty, "{before}");
    }
    assert_eq!([&before["paces"], &before["queued"]], [&empty, &empty]);
    let revision = |status: &Value| status["cordon"]["position"]["revision"].as_u64();
    let position = revision(&before).expect("the position is known");

    site.store.put("op/evacuate/dc-2", "{}");
    let cordoned = json!({"total": 1, "entries": ["dc-2"]});
    for gateway in 0..2 {
        wait_until("the status has the cordoned data centre", || {
            status(&site, gateway)["cordon"]["data_centres"] == cordoned
        });
        assert!(revision(&status(&site, gateway)) > Some(position));
    }
    let plain = run(site.gateways[0].metrics, &[]);
    let text = String::from_utf8_lossy(&plain.stdout);
    assert!(plain.status.success(), "{text}");
    assert!(text.contains("\nconfiguration_version 3\n"), "{text}");
    assert!(text.contains("    entries dc-2\n"), "{text}");
    assert!(text.contains("\nqueued\n  entries none\n"), "{text}");

    site.store.remove("op/evacuate/dc-2");
    wait_until("the status has no cordoned data centre", || {
        status(&site, 0)["cordon"]["data_centres"] == empty
    });
}

/// The gauge gives the number of cold targets only.
#[test]
fn the_status_shows_cold_targets_with_the_remaining_time() {
    let site = start();
    site.put_cold_entry(&site.services[0], Duration::from_secs(30));
    wait_until("the status has a cold target", || {
        status(&site, 0)["cold_targets"]["total"] == 1
    });
    let entry = &status(&site, 0)["cold_targets"]["entries"][0];
    assert_eq!(entry["target"], "s-0");
    assert_eq!(entry["service"], "ledger");
    assert_eq!(entry["data_centre"], "dc-1");
    let remaining = entry["remaining_ms"].as_u64().expect("a number");
    assert!((1..=30_000).contains(&remaining), "{remaining}");
}

/// An operator sees the slowest target only as a metric, without its name.
#[test]
fn the_status_shows_targets_that_report_slow_hosts() {
    let site = start();
    site.services[0].set_behaviour(Behaviour {
        notices: vec![("x-server-load", "1,0,8,250".to_owned())],
        ..Behaviour::default()
    });
    // What a response reports is valid for 300 ms.
    let mut status = Value::Null;
    wait_until("the status has a slow target", || {
        site.fetch(&Method::GET, SAFE_PATH, &[]);
        status = self::status(&site, 0);
        status["paces"]["total"] == 1
    });
    let expected = json!([{
        "target": "s-0", "service": "ledger", "data_centre": "dc-1",
        "factor": 2.5, "usual_factor": 1.0,
    }]);
    assert_eq!(status["paces"]["entries"], expected);
}

/// A VM without queued requests may be asked about an overload of the whole deployment.
#[test]
fn the_status_shows_queued_requests_of_both_gateways() {
    let mut site = start();
    site.add_engine(0, "dc-1");
    site.set_engine_behaviour(&Behaviour {
        events: 1_500,
        event_interval: Duration::from_millis(20),
        ..Behaviour::default()
    });
    site.wait_for_targets(3, 0);
    // They take all slots of the engine.
    let names = (0..8).map(|index| format!("run-{index}"));
    let streams: Vec<_> = names.map(|name| site.open_stream(&name, 600)).collect();
    let queued = |gateway: usize, name: &str| {
        let entry = &status(&site, gateway)["queued"]["entries"][0];
        entry["service"] == "engines" && entry[name] == 1
    };
    thread::scope(|scope| {
        let client = scope.spawn(|| site.open_stream("waiting", 600).status);
        wait_until("the status has the queued request of the VM", || {
            queued(0, "local")
        });
        wait_until("the status has the queued request of a peer", || {
            queued(1, "remote")
        });
        drop(streams);
        assert_eq!(client.join().expect("the client gets a response"), 200);
    });
    let empty = json!({"total": 0, "entries": []});
    wait_until("the status has no queued request", || {
        (0..2).all(|gateway| status(&site, gateway)["queued"] == empty)
    });
}

/// Clients, the load balancer and other VMs must not read it, and whoever mistakes one of their
/// addresses for the metrics address must learn that.
#[test]
fn an_address_without_a_status_gives_a_clear_error() {
    let mut site = start();
    let gateway = &site.gateways[0];
    for address in [gateway.clients, gateway.readiness] {
        let response = send(address, &Method::GET, "/status", &[]).map(read_to_end);
        let response = response.expect("the gateway responds");
        assert_eq!(response.status, StatusCode::NOT_FOUND);
        let output = run(address, &[]);
        assert_eq!(output.status.code(), Some(FAILURE));
        let stderr = String::from_utf8_lossy(&output.stderr);
        let expected = format!("{address}: responded with HTTP status 4");
        assert!(stderr.starts_with(&expected), "{stderr}");
        assert!(stderr.contains("metrics address"), "{stderr}");
        assert!(output.stdout.is_empty());
    }
    let metrics = gateway.metrics;
    site.gateways[0].process.kill();
    let output = run(metrics, &[]);
    assert_eq!(output.status.code(), Some(FAILURE));
    let stderr = String::from_utf8_lossy(&output.stderr);
    let expected = format!("{metrics}: no response: Connection refused");
    assert!(stderr.starts_with(&expected), "{stderr}");
    assert!(output.stdout.is_empty());
}
