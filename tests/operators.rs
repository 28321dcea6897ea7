//! What operators see of running processes (health, metrics, status, logs) and the limits that they
//! set.

mod support;

use {
    hyper::Method,
    std::{
        collections::BTreeSet,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        process::Command,
    },
    support::{
        CUSTOMERS, Cluster, MODEL_SERVICE, PLAIN_SERVICE, Setup, TIMEOUT, client, process,
        wait_until,
    },
};

const PROMPT: &str = "a sheet for forty trays of pierogi #tokens=40";

/// Returns a setup of a single entry VM with additional sections in its settings.
fn setup(settings: &str) -> Setup {
    Setup {
        vms: 1,
        settings: settings.into(),
        ..Setup::default()
    }
}

/// Sends bytes and returns everything received until the connection is closed.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the VM listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is set");
    stream.write_all(bytes).expect("the VM accepts the data");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into()
}

/// The names and types of all metrics are a snapshot, since dashboards depend on them. Customers and
/// their keys must not appear anywhere in the output.
#[test]
fn metrics_tell_the_measures_and_name_no_customer() {
    let cluster = Setup::default().start();
    cluster.stream("vm-1", PROMPT).unwrap().read_to_end();
    let path = format!("/{PLAIN_SERVICE}/read");
    cluster
        .call("vm-1", &Method::POST, &path, &[], "lot 7")
        .unwrap();
    cluster
        .call("vm-1", &Method::GET, "/nothing", &[], "")
        .unwrap();
    let scrape = || cluster.get("vm-1/admin", "/metrics").unwrap();
    wait_until("the metrics of peers and engines are present", || {
        let text = scrape().body;
        text.contains("mastictrail_control_io") && text.contains("mastictrail_engine_preemptions")
    });
    let response = scrape();
    assert!(response.header("content-type").starts_with("text/plain"));
    let names: BTreeSet<_> = response
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .collect();
    insta::assert_snapshot!("metrics", names.into_iter().collect::<Vec<_>>().join("\n"));
    let value = |name: &str| {
        let found = response.body.lines().find(|text| text.starts_with(name));
        let parsed = found.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        parsed.unwrap_or_else(|| panic!("{name} is missing in\n{}", response.body))
    };
    assert!((value("mastictrail_token_interval_seconds_count") - 39.0).abs() < 0.5);
    assert!((value("mastictrail_request_first_token_seconds_count") - 1.0).abs() < 0.5);
    assert!((value("mastictrail_configuration_version") - 1.0).abs() < 0.5);
    assert!(value("mastictrail_engine_preemptions") >= 0.0);
    for (customer, key) in CUSTOMERS {
        assert!(
            !response.body.contains(customer),
            "the metrics name the customer {customer}"
        );
        assert!(!response.body.contains(key));
    }
}

/// The status must change when a target becomes unreachable.
#[test]
fn status_tells_what_is_believed_of_targets_and_members() {
    let mut cluster = Setup::default().start();
    let status = || cluster.get("vm-1/admin", "/status").unwrap().json();
    wait_until("the targets are reachable and the member is live", || {
        let status = status();
        let targets = ["engine-1", "engine-2", "service-1"];
        targets
            .iter()
            .all(|target| status["targets"][target]["reachable"] == true)
            && status["members"]["vm-2"] == "live"
    });
    assert_eq!(status()["configuration_version"], 1);
    assert_eq!(status()["targets"]["engine-1"]["leaving"], false);
    cluster.process("engine-2").kill();
    let status = || cluster.get("vm-1/admin", "/status").unwrap().json();
    wait_until("the killed engine is unreachable", || {
        status()["targets"]["engine-2"]["reachable"] == false
    });
    assert_eq!(status()["targets"]["engine-1"]["reachable"], true);
}

/// Each log line is JSON with documented fields and without keys, and `mastictrail explain` shows a
/// retry between its two routing decisions.
#[test]
fn logs_hold_no_secret_and_explain_a_retried_request() {
    let cluster = Setup {
        services: 2,
        ..setup("")
    }
    .start();
    cluster.set_behaviour("service-1", &serde_json::json!({"refuse": true}));
    let path = format!("/{PLAIN_SERVICE}/read");
    let mut retried = String::new();
    wait_until("a call is retried", || {
        let response = cluster.call("vm-1", &Method::POST, &path, &[], "lot 7");
        let response = response.unwrap();
        let id = response.header("x-request-id").to_owned();
        wait_until("the end of the call is logged", || {
            let log = cluster.log("vm-1");
            let mut lines = log.lines().filter(|line| line.contains(&id));
            lines.any(|line| line.contains("\"event\":\"answer\""))
        });
        let log = cluster.log("vm-1");
        let is_retry = |line: &str| line.contains(&id) && line.contains("\"event\":\"retry\"");
        if log.lines().any(is_retry) {
            assert_eq!(response.status, 200, "{response:?}");
            retried = id;
        }
        !retried.is_empty()
    });
    let events = explain(&cluster, &retried);
    let expected = ["vm-1 route:", "vm-1 retry:", "vm-1 route:", "vm-1 answer:"];
    assert_eq!(events, expected);
    let log = cluster.log("vm-1");
    let documentation = include_str!("../docs/OPERATIONS.md");
    for line in log.lines() {
        let line: serde_json::Map<_, _> =
            serde_json::from_str(line).expect("each log line is a JSON object");
        for field in line.keys() {
            assert!(
                documentation.contains(&format!("`{field}`")),
                "OPERATIONS.md does not mention the field {field}"
            );
        }
    }
    for secret in ["alpha-key", "0123456789abcdef0123456789abcdef"] {
        assert!(!log.contains(secret), "the log contains {secret}");
    }
}

/// Returns the VM and the event of each line that `mastictrail explain` prints for a request from
/// all logs.
fn explain(cluster: &Cluster, request: &str) -> Vec<String> {
    let output = Command::new(env!("CARGO_BIN_EXE_mastictrail"))
        .args(["explain", request])
        .args(cluster.vms().iter().map(|vm| cluster.log_path(vm)))
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let entries = text.lines().filter(|line| !line.starts_with(' '));
    let events = entries.map(|line| line.split_whitespace().skip(1).take(2).collect::<Vec<_>>());
    events.map(|words| words.join(" ")).collect()
}

/// `mastictrail explain` merges the log of a killed VM with that of the VM which resumed its stream.
#[test]
fn a_stream_is_explained_over_the_loss_of_its_vm() {
    let mut cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", "a long report #tokens=100").unwrap();
    let id = stream.headers["x-request-id"].to_str().unwrap().to_owned();
    let first = stream.read(5);
    wait_until("the route of the stream is logged", || {
        cluster.log("vm-1").contains(&id)
    });
    cluster.process("vm-1").kill();
    let mut resumed = cluster
        .resume("vm-2", &first.resume_token, "alpha-key")
        .unwrap();
    resumed.read_to_end();
    let events = || explain(&cluster, &id);
    wait_until("the end of the stream is logged", || {
        events().iter().any(|event| event == "vm-2 answer:")
    });
    assert_eq!(events(), ["vm-1 route:", "vm-2 resume:", "vm-2 answer:"]);
}

/// A request that is rejected before routing must be found by the id in its response.
#[test]
fn requests_refused_early_are_explained_too() {
    let cluster = setup("").start();
    let address = cluster.addresses["vm-1/caller"];
    let path = format!("/{PLAIN_SERVICE}/read");
    let key = ("authorization", "Bearer alpha-key");
    let cases = [
        (&*path, ("authorization", "Bearer wrong"), 401),
        ("/nothing", ("x-none", ""), 404),
        (&*path, ("x-deadline-ms", "soon"), 400),
    ];
    for (path, header, status) in cases {
        let headers = [key, header];
        let headers = if header.0 == key.0 {
            &headers[1..]
        } else {
            &headers
        };
        let response = client::fetch(address, &Method::POST, path, headers, "").unwrap();
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(response.verdict(), "not_run");
        let id = response.header("x-request-id").to_owned();
        assert_eq!(response.json()["error"]["request"], *id);
        wait_until("the rejection is logged", || {
            explain(&cluster, &id) == ["vm-1 answer:"]
        });
    }
}

/// A caller must not be able to fill the log with a long value.
#[test]
fn what_callers_send_makes_no_long_lines() {
    let cluster = setup("").start();
    let model = "ż".repeat(100_000);
    let body = serde_json::json!({"model": model, "prompt": "a"}).to_string();
    let path = format!("/{MODEL_SERVICE}/v1/completions");
    let response = cluster
        .call("vm-1", &Method::POST, &path, &[], &body)
        .unwrap();
    assert_eq!(response.status, 400);
    let id = response.header("x-request-id");
    wait_until("the rejection is logged", || {
        cluster.log("vm-1").contains(id)
    });
    let longest = cluster.log("vm-1").lines().map(str::len).max();
    assert!(longest < Some(4096), "{longest:?}");
}

/// A log file that can't be written must not block startup, health checks or shutdown.
#[test]
fn a_full_disk_under_the_log_stops_nothing() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let key = directory.path().join("key");
    std::fs::write(&key, "0123456789abcdef").expect("the file is written");
    support::restrict_access(&key);
    let [caller, inner, admin, platform] = [(); 4].map(|()| process::free_address());
    let settings = directory.path().join("entry.ini");
    let text = format!(
        "[vm]\nname = vm-1\ndata_centre = dc-1\n[listen]\ncaller = {caller}\ninner = {inner}\n\
         admin = {admin}\n[platform]\naddress = {platform}\n[keys]\ndeployment = {}\n\
         [log]\nfile = /dev/full\nlevel = trace\n",
        key.display()
    );
    std::fs::write(&settings, text).expect("the file is written");
    let arguments = ["serve".to_owned(), settings.display().to_string()];
    let mut process = process::Process::start(env!("CARGO_BIN_EXE_mastictrail"), &arguments);
    let get = |path| client::fetch(admin, &Method::GET, path, &[], "");
    wait_until("the VM is live", || {
        get("/live").is_ok_and(|response| response.status == 200)
    });
    assert_eq!(get("/ready").unwrap().status, 503);
    process.terminate();
    wait_until("the VM has exited", || process.exit_status().is_some());
    assert!(process.exit_status().unwrap().success());
}

/// Callers that never complete their header or body must not hold connections.
#[test]
fn slow_callers_are_let_go() {
    let cluster = setup("[limits]\nheader_timeout = 200ms\nbody_timeout = 200ms\n").start();
    let address = cluster.addresses["vm-1/caller"];
    let response = send_raw(address, b"GET /ledger/read HTTP/1.1\r\nx-slow");
    assert!(!response.contains(" 200 "), "{response}");
    let head = format!(
        "POST /{PLAIN_SERVICE}/read HTTP/1.1\r\nhost: a\r\nauthorization: Bearer alpha-key\r\n\
         content-length: 10\r\nconnection: close\r\n\r\nshort"
    );
    let response = send_raw(address, head.as_bytes());
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("not_run"), "{response}");
}

#[test]
fn oversized_requests_are_refused_before_they_run() {
    let cluster = setup("[limits]\nheader_limit = 8KiB\n").start();
    let address = cluster.addresses["vm-1/caller"];
    let filler = "x".repeat(32 << 10);
    let head =
        format!("GET /{PLAIN_SERVICE}/read HTTP/1.1\r\nhost: a\r\nx-filler: {filler}\r\n\r\n");
    let response = send_raw(address, head.as_bytes());
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    let body = "x".repeat((1 << 20) + 1);
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let path = format!("/{service}/v1/completions");
        let response = cluster
            .call("vm-1", &Method::POST, &path, &[], &body)
            .unwrap();
        assert_eq!(response.status, 413, "{response:?}");
        assert_eq!(response.verdict(), "not_run");
    }
}

/// Connections above the limit get 503 with `Retry-After` and are accepted once others have closed.
#[test]
fn callers_beyond_the_limit_are_told_when_to_come_back() {
    let cluster = setup("[limits]\nconnections = 2\n").start();
    let address = cluster.addresses["vm-1/caller"];
    let connections =
        [(); 2].map(|()| TcpStream::connect(address).expect("the VM accepts the connection"));
    let path = format!("/{PLAIN_SERVICE}/read");
    let call = || cluster.call("vm-1", &Method::POST, &path, &[], "lot 7");
    wait_until("the connection limit is reached", || {
        call().is_ok_and(|response| response.status == 503)
    });
    let response = call().unwrap();
    assert_eq!(response.verdict(), "not_run");
    assert_eq!(response.header("retry-after"), "1");
    drop(connections);
    wait_until("connections are accepted again", || {
        call().is_ok_and(|response| response.status == 200)
    });
}

#[test]
fn a_malformed_inner_frame_closes_that_connection_only_and_is_counted() {
    let cluster = Setup::default().start();
    let mut connection = TcpStream::connect(cluster.addresses["vm-1/inner"]).unwrap();
    let frame = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    connection.write_all(&frame).unwrap();
    let mut greeting = Vec::new();
    let _ = connection.read_to_end(&mut greeting);
    wait_until("the rejected frame is counted", || {
        let text = cluster.get("vm-1/admin", "/metrics").unwrap().body;
        text.contains("mastictrail_control_rejected_total{kind=\"greeting\"} 1")
    });
    let path = "/v1/tickets";
    let tickets = cluster.call("vm-1", &Method::POST, path, &[], "{\"count\": 1}");
    let tickets = tickets.unwrap().json();
    let ticket = tickets["tickets"][0]
        .as_str()
        .expect("the response has a ticket");
    let path = format!("/{PLAIN_SERVICE}/release");
    let headers = [("x-ticket", ticket)];
    let response = cluster.call("vm-2", &Method::POST, &path, &headers, "lot 7");
    assert_eq!(
        response.unwrap().status,
        200,
        "peers must still reach the VM"
    );
}
