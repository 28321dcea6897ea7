//! Each caller gets the response to its own request, and the verdict `not_run` is never given for a
//! request that ran.
//!
//! Every response is compared with the number of runs that the service counted for the operation.

mod support;

use {
    hyper::Method,
    serde_json::{Value, json},
    std::{thread, time::Duration},
    support::{Cluster, MODEL, MODEL_SERVICE, PLAIN_SERVICE, Response, Setup},
};

/// Concurrent calls in each case.
const CALLS: usize = 6;
/// Deadline of a call in milliseconds.
const DEADLINE_MS: &str = "4000";
/// Calls, out of [`CALLS`], that have an idempotency key, which is owned by one of the entry VMs.
const KEYED_CALLS: usize = 3;

/// A finished call with the response that the caller received, if any.
struct Call {
    operation: String,
    vm: String,
    response: Option<Response>,
}

/// The responses that a case allows.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The response to the call itself.
    OwnResponse,
    /// A rejection with this verdict.
    Verdict(&'static str),
    /// An error whose verdict does not rule out a run.
    PossibleRun,
    /// Any response that is consistent with the runs.
    Consistent,
    /// Any response that is consistent with the runs, or none from this entry VM, which is killed.
    KilledVm(&'static str),
}

impl Expected {
    /// Returns the expectation for a call with an idempotency key, which may also be rejected
    /// because of the key.
    fn for_keyed_call(self) -> Self {
        match self {
            Self::KilledVm(_) => self,
            _ => Self::Consistent,
        }
    }
}

fn setup() -> Setup {
    Setup {
        engines: 1,
        ..Setup::default()
    }
}

/// Sends concurrent calls through all entry VMs and injects a fault while they are in flight.
fn call_with_fault(cluster: &mut Cluster, path: &str, inject: fn(&mut Cluster)) -> Vec<Call> {
    let vms = cluster.vms();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let path = format!("/{PLAIN_SERVICE}{path}");
            let vm = vms[number % vms.len()].clone();
            let address = cluster.caller_address(&vm);
            thread::spawn(move || Call {
                vm,
                ..call(address, &path, number)
            })
        })
        .collect();
    inject(cluster);
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}

/// Sends a call; the first [`KEYED_CALLS`] have an idempotency key.
fn call(address: std::net::SocketAddr, path: &str, number: usize) -> Call {
    let operation = format!("lot-{number}");
    let mut headers = vec![
        ("authorization", "Bearer alpha-key"),
        ("x-operation", &operation),
        ("x-deadline-ms", DEADLINE_MS),
    ];
    if number < KEYED_CALLS {
        headers.push(("idempotency-key", &operation));
    }
    let response = support::client::fetch(address, &Method::POST, path, &headers, &operation);
    Call {
        response: response.ok(),
        vm: String::new(),
        operation,
    }
}

/// Asserts that each response is consistent with the runs that the services counted, and that no
/// operation ran more than `max_runs` times.
fn assert_consistent(cluster: &Cluster, calls: &[Call], max_runs: u64) {
    for service in cluster.services() {
        support::wait_until(&format!("{service} is idle"), || {
            let load = cluster.get(&service, "/v1/load").unwrap().json();
            load["running"] == 0
        });
    }
    for Call {
        operation,
        response,
        ..
    } in calls
    {
        let runs = cluster.run_count(operation);
        assert!(runs <= max_runs, "{operation} ran {runs} times");
        let Some(response) = response else { continue };
        if response.status == 200 {
            assert_own_response(operation, response);
            assert!(runs >= 1, "{operation} got a response but did not run");
            continue;
        }
        match &*response.verdict() {
            "not_run" => assert_eq!(runs, 0, "{operation}: {response:?}"),
            "ran" => assert!(runs >= 1, "{operation}: {response:?}"),
            "may_have_run" => {}
            // An error response of the fake service is passed on and has no verdict.
            _ => assert_eq!(response.body, "failed", "{operation}: {response:?}"),
        }
    }
}

/// Asserts that a response is the service's response to this operation.
fn assert_own_response(operation: &str, response: &Response) {
    let json = response.json();
    assert_eq!(json["operation"], operation);
    assert_eq!(json["body"], operation);
    assert_eq!(
        json["digest"],
        *fakes::service::digest(operation.as_bytes())
    );
}

fn assert_expected(calls: &[Call], expected: Expected) {
    for call in calls {
        let operation = &call.operation;
        let Some(response) = &call.response else {
            let is_vm_killed = matches!(expected, Expected::KilledVm(vm) if vm == call.vm);
            assert!(is_vm_killed, "{operation} got no response");
            continue;
        };
        let verdict = response.verdict();
        match expected {
            Expected::OwnResponse => assert_eq!(response.status, 200, "{operation}: {response:?}"),
            Expected::Verdict(expected) => {
                assert_eq!(verdict, expected, "{operation}: {response:?}");
            }
            Expected::PossibleRun => {
                assert_ne!(response.status, 200, "{operation}");
                assert_ne!(verdict, "not_run", "{operation}: {response:?}");
            }
            Expected::Consistent | Expected::KilledVm(_) => {}
        }
    }
}

/// Sets the behaviour of the service, and checks calls during which a fault is injected.
fn check(behaviour: &Value, path: &str, inject: fn(&mut Cluster), expected: Expected) {
    let mut cluster = setup().start();
    cluster.set_behaviour("service-1", behaviour);
    let calls = call_with_fault(&mut cluster, path, inject);
    cluster.proxy_command("heal *");
    assert_consistent(&cluster, &calls, if path == "/read" { 3 } else { 1 });
    assert_expected(&calls[..KEYED_CALLS], expected.for_keyed_call());
    assert_expected(&calls[KEYED_CALLS..], expected);
}

/// Injects no fault.
fn no_op(_: &mut Cluster) {}

/// Waits until at least the calls without a key run at the service.
fn wait_for_calls(cluster: &Cluster) {
    support::wait_until("the service runs the calls", || {
        let load = cluster.get("service-1", "/v1/load").unwrap().json();
        load["running"].as_u64().unwrap_or_default() >= (CALLS - KEYED_CALLS) as u64
    });
}

macro_rules! verdicts {
    ($($name:ident: $path:literal, $behaviour:tt, $inject:expr, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            check(&json!($behaviour), $path, $inject, $expected);
        }
    )*};
}

// Name: path, behaviour of the service, fault, expected responses.
verdicts! {
    no_fault: "/release", {}, no_op, Expected::OwnResponse;
    refused_before_the_start: "/release", {"refuse": true}, no_op, Expected::Verdict("not_run");
    refused_as_leaving: "/release", {"leaving": true}, no_op, Expected::Verdict("not_run");
    failed_before_the_run: "/release", {"fail": "before"}, no_op, Expected::PossibleRun;
    failed_during_the_run: "/release", {"fail": "during"}, no_op, Expected::PossibleRun;
    failed_after_the_run: "/release", {"fail": "after"}, no_op, Expected::PossibleRun;
    failed_with_an_answer: "/release", {"fail": "error"}, no_op, Expected::PossibleRun;
    failed_with_an_invalid_status: "/release", {"fail": "status"}, no_op,
        Expected::Verdict("may_have_run");
    failed_before_the_run_of_a_read: "/read", {"fail": "before"}, no_op, Expected::PossibleRun;
    failed_during_the_run_of_a_read: "/read", {"fail": "during"}, no_op, Expected::PossibleRun;
    answered_twice: "/release", {"twice": true}, no_op, Expected::OwnResponse;
    answered_late: "/release", {"late_ms": 1000}, no_op, Expected::OwnResponse;
    answered_after_the_deadline: "/release", {"late_ms": 8000}, no_op, Expected::PossibleRun;
    answered_to_the_wrong_caller: "/release", {"crossed": true}, no_op, Expected::Consistent;
    answered_late_twice_and_to_the_wrong_caller: "/release",
        {"crossed": true, "twice": true, "late_ms": 500}, no_op, Expected::Consistent;
    service_link_cut: "/release", {"slow_ms": 1500}, |cluster| {
        wait_for_calls(cluster);
        cluster.proxy_command("cut service-1");
    }, Expected::PossibleRun;
    service_link_silent: "/release", {"slow_ms": 500}, |cluster| {
        wait_for_calls(cluster);
        cluster.proxy_command("silence service-1");
    }, Expected::PossibleRun;
    service_killed: "/release", {"slow_ms": 60_000}, |cluster| {
        wait_for_calls(cluster);
        cluster.process("service-1").kill();
        cluster.start_fake("service", "service-1");
    }, Expected::PossibleRun;
    service_frozen: "/release", {"slow_ms": 1500}, |cluster| {
        wait_for_calls(cluster);
        cluster.process("service-1").freeze();
        thread::sleep(Duration::from_secs(5));
        cluster.process("service-1").thaw();
    }, Expected::PossibleRun;
    other_entry_vm_killed: "/release", {"slow_ms": 1500}, |cluster| {
        wait_for_calls(cluster);
        cluster.restart_vm("vm-2");
    }, Expected::KilledVm("vm-2");
    service_link_cut_in_a_partition: "/release", {"slow_ms": 1500}, |cluster| {
        wait_for_calls(cluster);
        cluster.proxy_command("block vm-1");
        cluster.proxy_command("block vm-2");
        cluster.proxy_command("cut service-1");
    }, Expected::PossibleRun;
    service_frozen_and_platform_down: "/release", {"slow_ms": 1500}, |cluster| {
        wait_for_calls(cluster);
        cluster.configure_fake("platform", "/test/mode", &json!({"down": true}));
        cluster.process("service-1").freeze();
        thread::sleep(Duration::from_secs(5));
        cluster.process("service-1").thaw();
    }, Expected::PossibleRun;
}

/// Injects a fault, then checks that calls without an idempotency key succeed while it lasts.
fn check_during(inject: fn(&Cluster)) {
    let mut cluster = setup().start();
    inject(&cluster);
    let calls = call_with_fault(&mut cluster, "/release", no_op);
    assert_consistent(&cluster, &calls, 1);
    assert_expected(&calls[KEYED_CALLS..], Expected::OwnResponse);
}

#[test]
fn calls_go_on_while_the_platform_is_down() {
    check_during(|cluster| {
        cluster.configure_fake("platform", "/test/mode", &json!({"down": true}));
    });
}

#[test]
fn calls_go_on_while_the_platform_is_silent() {
    check_during(|cluster| {
        cluster.configure_fake("platform", "/test/mode", &json!({"silent": true}));
    });
}

#[test]
fn calls_go_on_while_the_platform_is_stale() {
    check_during(Cluster::make_platform_stale);
}

#[test]
fn calls_go_on_in_a_partition() {
    check_during(|cluster| {
        cluster.proxy_command("block vm-1");
        cluster.proxy_command("block vm-2");
    });
}

/// Checks calls with two targets, so that a call can be retried on the other one.
///
/// The targets in `services` fail at `point` of the run.
fn check_retry(services: &[&str], path: &str, point: &str, expected: Expected, max_runs: u64) {
    let setup = Setup {
        services: 2,
        ..setup()
    };
    let mut cluster = setup.start();
    for service in services {
        cluster.set_behaviour(service, &json!({"fail": point}));
    }
    let calls = call_with_fault(&mut cluster, path, no_op);
    assert_consistent(&cluster, &calls, max_runs);
    assert_expected(&calls[KEYED_CALLS..], expected);
}

const ALL_SERVICES: [&str; 2] = ["service-1", "service-2"];

/// A non-idempotent call whose target fails may have run there, so a retry could run it twice.
#[test]
fn a_release_that_may_have_run_is_not_sent_to_another_service() {
    for point in ["before", "during", "after"] {
        check_retry(&ALL_SERVICES, "/release", point, Expected::PossibleRun, 1);
    }
}

/// An idempotent call is retried at the other target, whatever the first one did with it.
#[test]
fn a_read_that_may_have_run_is_sent_to_another_service() {
    for point in ["before", "during", "after"] {
        check_retry(&["service-1"], "/read", point, Expected::OwnResponse, 2);
    }
}

#[test]
fn a_read_that_fails_everywhere_is_in_doubt() {
    check_retry(&ALL_SERVICES, "/read", "during", Expected::PossibleRun, 2);
}

/// Sets the behaviour of all engines, sends a command to the fault proxy, and compares the verdicts
/// of the failed generations with the runs that the engines counted by request id.
fn check_generations(behaviour: &Value, command: &str, expected: &str) {
    let cluster = Setup::default().start();
    for engine in cluster.engines() {
        cluster.set_behaviour(&engine, behaviour);
    }
    cluster.proxy_command(command);
    for vm in cluster.vms() {
        let body = json!({"model": MODEL, "prompt": "a sheet #tokens=50"}).to_string();
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        let headers = [("x-deadline-ms", DEADLINE_MS)];
        let response = cluster.call(&vm, &Method::POST, &path, &headers, &body);
        let response = response.unwrap();
        let runs = cluster.run_count(response.header("x-request-id"));
        assert_ne!(response.status, 200);
        let verdict = &*response.verdict();
        if expected == "not_run" {
            assert_eq!((verdict, runs), ("not_run", 0), "{response:?}");
            continue;
        }
        assert!(runs > 0);
        assert!(["may_have_run", "ran"].contains(&verdict), "{response:?}");
    }
}

macro_rules! generations {
    ($($name:ident: $behaviour:tt, $command:literal, $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            check_generations(&json!($behaviour), $command, $expected);
        }
    )*};
}

// Name: behaviour of the engines, proxy command, expected verdict; `may_have_run` also allows
// `ran`.
generations! {
    generations_refused_before_the_start: {"refuse": true}, "heal *", "not_run";
    generations_refused_as_leaving: {"leaving": true}, "heal *", "not_run";
    generations_broken_before_the_first_token: {"break_after": 0}, "heal *", "may_have_run";
    generations_without_events: {"gap_every": 1}, "heal *", "may_have_run";
    generations_silent: {"silent_after": 0}, "heal *", "may_have_run";
    generations_over_slow_links: {"late_ms": 300}, "delay * 100", "may_have_run";
}

/// A call is forwarded to the entry VM that issued its ticket, runs, and that VM is killed before
/// it returns the response. The VM that forwarded it must not report `not_run`.
#[test]
fn a_call_handed_to_an_entry_vm_that_is_killed_is_in_doubt() {
    let mut cluster = setup().start();
    cluster.set_behaviour("service-1", &json!({"late_ms": 3000}));
    let tickets = cluster.call("vm-2", &Method::POST, "/v1/tickets", &[], "");
    let tickets = tickets.unwrap().json();
    let ticket = tickets["tickets"][0].as_str().unwrap().to_owned();
    let address = cluster.caller_address("vm-1");
    let call = thread::spawn(move || {
        let headers = [
            ("authorization", "Bearer alpha-key"),
            ("x-operation", "lot"),
            ("x-ticket", &ticket),
        ];
        let path = format!("/{PLAIN_SERVICE}/release");
        support::client::fetch(address, &Method::POST, &path, &headers, "lot").unwrap()
    });
    support::wait_until("the call has run", || cluster.run_count("lot") == 1);
    cluster.process("vm-2").kill();
    let response = call.join().unwrap();
    assert!(
        ["may_have_run", "ran"].contains(&&*response.verdict()),
        "{response:?}"
    );
}

#[test]
fn unreachable_services_are_not_run() {
    let mut cluster = setup().start();
    cluster.proxy_command("refuse service-1");
    let calls = call_with_fault(&mut cluster, "/release", no_op);
    assert_consistent(&cluster, &calls, 0);
}

/// Requests that are rejected for their route, key, size or body must not reach a target.
#[test]
fn bad_requests_are_not_run() {
    let cluster = setup().start();
    let large = "x".repeat(9 << 20);
    let cases = [
        ("/nowhere/release", "alpha-key", "lot", 404),
        ("/ledger/release", "no-key", "lot", 401),
        ("/ledger/release", "alpha-key", &*large, 413),
        ("/desk/v1/completions", "alpha-key", "{", 400),
    ];
    for (path, key, body, status) in cases {
        let authorization = format!("Bearer {key}");
        let headers = [("authorization", &*authorization), ("x-operation", "bad")];
        let address = cluster.caller_address("vm-1");
        let response =
            support::client::fetch(address, &Method::POST, path, &headers, body).unwrap();
        assert_eq!(
            (response.status, &*response.verdict()),
            (status, "not_run"),
            "{path}"
        );
    }
    assert_eq!(cluster.run_count("bad"), 0);
}
