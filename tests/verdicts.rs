//! Promises 2 and 3: each caller gets its own answer, and "not run" means not run.
//!
//! Every answer is held against the runs that the service counted.

mod support;

use {
    hyper::Method,
    serde_json::{Value, json},
    std::{thread, time::Duration},
    support::{Cluster, MODEL, MODEL_SERVICE, PLAIN_SERVICE, Response, Setup},
};

/// Calls that are under way at once in each case.
const CALLS: usize = 6;
/// Deadline of a call that a fault meets, in milliseconds.
const DEADLINE: &str = "4000";
/// The share of calls that are named by a key and belong to an entry VM.
const KEYED: usize = 3;

/// A call and what the caller heard of it.
struct Heard {
    operation: String,
    vm: String,
    response: Option<Response>,
}

/// What all answers of a case must be.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The call's own answer.
    Own,
    /// A refusal with this verdict.
    Verdict(&'static str),
    /// A refusal that does not exclude a run.
    InDoubt,
    /// Any that agrees with the runs.
    True,
    /// Any that agrees with the runs, or none through the entry VM that is lost.
    Lost(&'static str),
}

impl Expected {
    /// Returns what holds for a call with a key, which may be refused for reasons of the key alone.
    fn of_keyed(self) -> Self {
        match self {
            Self::Lost(_) => self,
            _ => Self::True,
        }
    }
}

fn setup() -> Setup {
    Setup {
        engines: 1,
        ..Setup::default()
    }
}

/// Makes calls at once, through every entry VM, and strikes while they are under way.
fn call_and_strike(cluster: &mut Cluster, path: &str, strike: fn(&mut Cluster)) -> Vec<Heard> {
    let vms = cluster.vms();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let path = format!("/{PLAIN_SERVICE}{path}");
            let vm = vms[number % vms.len()].clone();
            let address = cluster.caller_address(&vm);
            thread::spawn(move || Heard {
                vm,
                ..call(address, &path, number)
            })
        })
        .collect();
    strike(cluster);
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}

fn call(address: std::net::SocketAddr, path: &str, number: usize) -> Heard {
    let operation = format!("lot-{number}");
    let mut headers = vec![
        ("authorization", "Bearer alpha-key"),
        ("x-operation", &operation),
        ("x-deadline-ms", DEADLINE),
    ];
    if number < KEYED {
        headers.push(("idempotency-key", &operation));
    }
    let response = support::client::fetch(address, &Method::POST, path, &headers, &operation);
    Heard {
        response: response.ok(),
        vm: String::new(),
        operation,
    }
}

/// Holds each answer against the runs that the service counted.
fn assert_true(cluster: &Cluster, heard: &[Heard], most: u64) {
    for service in cluster.services() {
        support::wait_until(&format!("{service} has ended its work"), || {
            let load = cluster.get(&service, "/v1/load").unwrap().json();
            load["running"] == 0
        });
    }
    for Heard {
        operation,
        response,
        ..
    } in heard
    {
        let runs = cluster.run_count(operation);
        assert!(runs <= most, "{operation} ran {runs} times");
        let Some(response) = response else { continue };
        if response.status == 200 {
            assert_own(operation, response);
            assert!(runs >= 1, "{operation} was answered and not run");
            continue;
        }
        match &*response.verdict() {
            "not_run" => assert_eq!(runs, 0, "{operation}: {response:?}"),
            "ran" => assert!(runs >= 1, "{operation}: {response:?}"),
            "may_have_run" => {}
            _ => assert_eq!(response.body, "failed", "{operation}: {response:?}"),
        }
    }
}

fn assert_own(operation: &str, response: &Response) {
    let json = response.json();
    assert_eq!(json["operation"], operation);
    assert_eq!(json["body"], operation);
    assert_eq!(
        json["digest"],
        *fakes::service::digest(operation.as_bytes())
    );
}

fn assert_expected(heard: &[Heard], expected: Expected) {
    for heard in heard {
        let operation = &heard.operation;
        let Some(response) = &heard.response else {
            let is_lost = matches!(expected, Expected::Lost(vm) if vm == heard.vm);
            assert!(is_lost, "{operation} got no answer");
            continue;
        };
        let verdict = response.verdict();
        match expected {
            Expected::Own => assert_eq!(response.status, 200, "{operation}: {response:?}"),
            Expected::Verdict(wanted) => assert_eq!(verdict, wanted, "{operation}: {response:?}"),
            Expected::InDoubt => {
                assert_ne!(response.status, 200, "{operation}");
                assert_ne!(verdict, "not_run", "{operation}: {response:?}");
            }
            Expected::True | Expected::Lost(_) => {}
        }
    }
}

/// Checks calls to a service that misbehaves, without and with a strike while they are under way.
fn check(behaviour: &Value, path: &str, strike: fn(&mut Cluster), expected: Expected) {
    let mut cluster = setup().start();
    cluster.set_behaviour("service-1", behaviour);
    let heard = call_and_strike(&mut cluster, path, strike);
    cluster.proxy_command("heal *");
    assert_true(&cluster, &heard, if path == "/read" { 3 } else { 1 });
    assert_expected(&heard[..KEYED], expected.of_keyed());
    assert_expected(&heard[KEYED..], expected);
}

/// Leaves the system alone.
fn nothing(_: &mut Cluster) {}

/// Waits until the calls have reached the service.
fn settle(cluster: &Cluster) {
    support::wait_until("the calls wait in the service", || {
        let load = cluster.get("service-1", "/v1/load").unwrap().json();
        load["running"].as_u64().unwrap_or_default() >= (CALLS - KEYED) as u64
    });
}

macro_rules! verdicts {
    ($($name:ident: $path:literal, $behaviour:tt, $strike:expr, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            check(&json!($behaviour), $path, $strike, $expected);
        }
    )*};
}

verdicts! {
    no_fault: "/release", {}, nothing, Expected::Own;
    refused_before_the_start: "/release", {"refuse": true}, nothing, Expected::Verdict("not_run");
    refused_as_leaving: "/release", {"leaving": true}, nothing, Expected::Verdict("not_run");
    failed_before_the_run: "/release", {"fail": "before"}, nothing, Expected::InDoubt;
    failed_during_the_run: "/release", {"fail": "during"}, nothing, Expected::InDoubt;
    failed_after_the_run: "/release", {"fail": "after"}, nothing, Expected::InDoubt;
    failed_with_an_answer: "/release", {"fail": "error"}, nothing, Expected::InDoubt;
    failed_before_the_run_of_a_read: "/read", {"fail": "before"}, nothing, Expected::InDoubt;
    failed_during_the_run_of_a_read: "/read", {"fail": "during"}, nothing, Expected::InDoubt;
    answered_twice: "/release", {"twice": true}, nothing, Expected::Own;
    answered_late: "/release", {"late_ms": 1000}, nothing, Expected::Own;
    answered_after_the_deadline: "/release", {"late_ms": 8000}, nothing, Expected::InDoubt;
    answered_to_the_wrong_caller: "/release", {"crossed": true}, nothing, Expected::True;
    answered_late_twice_and_to_the_wrong_caller: "/release",
        {"crossed": true, "twice": true, "late_ms": 500}, nothing, Expected::True;
    service_link_cut: "/release", {"slow_ms": 1500}, |cluster| {
        settle(cluster);
        cluster.proxy_command("cut service-1");
    }, Expected::InDoubt;
    service_link_silent: "/release", {"slow_ms": 500}, |cluster| {
        settle(cluster);
        cluster.proxy_command("silence service-1");
    }, Expected::InDoubt;
    service_killed: "/release", {"slow_ms": 60_000}, |cluster| {
        settle(cluster);
        cluster.process("service-1").kill();
        cluster.start_fake("service", "service-1");
    }, Expected::InDoubt;
    service_frozen: "/release", {"slow_ms": 1500}, |cluster| {
        settle(cluster);
        cluster.process("service-1").freeze();
        thread::sleep(Duration::from_secs(5));
        cluster.process("service-1").thaw();
    }, Expected::InDoubt;
    other_entry_vm_killed: "/release", {"slow_ms": 1500}, |cluster| {
        settle(cluster);
        cluster.restart_vm("vm-2");
    }, Expected::Lost("vm-2");
    service_link_cut_in_a_partition: "/release", {"slow_ms": 1500}, |cluster| {
        settle(cluster);
        cluster.proxy_command("block vm-1");
        cluster.proxy_command("block vm-2");
        cluster.proxy_command("cut service-1");
    }, Expected::InDoubt;
    service_frozen_and_platform_down: "/release", {"slow_ms": 1500}, |cluster| {
        settle(cluster);
        cluster.configure_fake("platform", "/test/mode", &json!({"down": true}));
        cluster.process("service-1").freeze();
        thread::sleep(Duration::from_secs(5));
        cluster.process("service-1").thaw();
    }, Expected::InDoubt;
}

/// Checks that calls go on as if nothing were, under a condition that came before them.
fn check_under(condition: fn(&Cluster)) {
    let mut cluster = setup().start();
    condition(&cluster);
    let heard = call_and_strike(&mut cluster, "/release", nothing);
    assert_true(&cluster, &heard, 1);
    assert_expected(&heard[KEYED..], Expected::Own);
}

#[test]
fn calls_go_on_while_the_platform_is_down() {
    check_under(|cluster| cluster.configure_fake("platform", "/test/mode", &json!({"down": true})));
}

#[test]
fn calls_go_on_while_the_platform_is_silent() {
    check_under(|cluster| {
        cluster.configure_fake("platform", "/test/mode", &json!({"silent": true}))
    });
}

#[test]
fn calls_go_on_while_the_platform_is_stale() {
    check_under(Cluster::make_platform_stale);
}

#[test]
fn calls_go_on_in_a_partition() {
    check_under(|cluster| {
        cluster.proxy_command("block vm-1");
        cluster.proxy_command("block vm-2");
    });
}

/// Checks calls while there is a second service to which a call could be sent again.
fn check_two(services: &[&str], path: &str, point: &str, expected: Expected, most: u64) {
    let setup = Setup {
        services: 2,
        ..setup()
    };
    let mut cluster = setup.start();
    for service in services {
        cluster.set_behaviour(service, &json!({"fail": point}));
    }
    let heard = call_and_strike(&mut cluster, path, nothing);
    assert_true(&cluster, &heard, most);
    assert_expected(&heard[KEYED..], expected);
}

const BOTH: [&str; 2] = ["service-1", "service-2"];

#[test]
fn a_release_that_may_have_run_is_not_sent_to_another_service() {
    for point in ["before", "during", "after"] {
        check_two(&BOTH, "/release", point, Expected::InDoubt, 1);
    }
}

#[test]
fn a_read_that_may_have_run_is_sent_to_another_service() {
    for point in ["before", "during", "after"] {
        check_two(&["service-1"], "/read", point, Expected::Own, 2);
    }
}

#[test]
fn a_read_that_fails_everywhere_is_in_doubt() {
    check_two(&BOTH, "/read", "during", Expected::InDoubt, 2);
}

/// Checks refusals of generations against the runs that the engines counted by request id.
fn check_generations(behaviour: &Value, order: &str, expected: &str) {
    let cluster = Setup::default().start();
    for engine in cluster.engines() {
        cluster.set_behaviour(&engine, behaviour);
    }
    cluster.proxy_command(order);
    for vm in cluster.vms() {
        let body = json!({"model": MODEL, "prompt": "a sheet #tokens=50"}).to_string();
        let path = format!("/{MODEL_SERVICE}/v1/completions");
        let headers = [("x-deadline-ms", DEADLINE)];
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
    ($($name:ident: $behaviour:tt, $order:literal, $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            check_generations(&json!($behaviour), $order, $expected);
        }
    )*};
}

generations! {
    generations_refused_before_the_start: {"refuse": true}, "heal *", "not_run";
    generations_refused_as_leaving: {"leaving": true}, "heal *", "not_run";
    generations_broken_before_the_first_token: {"break_after": 0}, "heal *", "in doubt";
    generations_without_events: {"gap_every": 1}, "heal *", "in doubt";
    generations_silent: {"silent_after": 0}, "heal *", "in doubt";
    generations_over_slow_links: {"late_ms": 300}, "delay * 100", "in doubt";
}

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
    let heard = call_and_strike(&mut cluster, "/release", nothing);
    assert_true(&cluster, &heard, 0);
}

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
