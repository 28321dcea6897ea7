//! Promise 4: a non-idempotent call runs at most once.
//!
//! The service counts the runs of each operation; a system that answers nothing would also pass
//! that, so each test says which answers must be whole.

mod support;

use {
    hyper::Method,
    std::{net::SocketAddr, thread},
    support::{Cluster, PLAIN_SERVICE, Response, Setup, client, wait_until},
};

const RELEASE: &str = "a release of bigos, lot 7";
/// Times of the records: the window is short enough to be waited for, and long to a planned stop.
const RECORDS: &str = "[records]\nwindow = 16s\nticket_lifetime = 600s\n";

/// What gives a call the right to run.
#[derive(Clone, Debug)]
enum Right {
    Ticket(String),
    Key(String),
}

impl Right {
    fn header(&self) -> (&'static str, &str) {
        match self {
            Self::Ticket(ticket) => ("x-ticket", ticket),
            Self::Key(key) => ("idempotency-key", key),
        }
    }
}

fn setup() -> Setup {
    Setup {
        vms: 3,
        engines: 1,
        settings: RECORDS.into(),
        ..Setup::default()
    }
}

fn ticket(cluster: &Cluster, vm: &str) -> Right {
    let response = cluster.call(vm, &Method::POST, "/v1/tickets", &[], "");
    let response = response.unwrap().json();
    Right::Ticket(
        response["tickets"][0]
            .as_str()
            .expect("a ticket")
            .to_owned(),
    )
}

/// Sends the release of an operation; `None` if the entry VM gave no answer.
fn send(address: SocketAddr, right: &Right, operation: &str) -> Option<Response> {
    let headers = [
        ("authorization", "Bearer alpha-key"),
        ("x-operation", operation),
        right.header(),
    ];
    let path = format!("/{PLAIN_SERVICE}/release");
    client::fetch(address, &Method::POST, &path, &headers, RELEASE).ok()
}

fn release(cluster: &Cluster, vm: &str, right: &Right, operation: &str) -> Response {
    send(cluster.caller_address(vm), right, operation).expect("an answer")
}

/// Sends the release on a thread of its own.
fn begin(
    cluster: &Cluster,
    vm: &str,
    right: &Right,
    operation: &str,
) -> thread::JoinHandle<Option<Response>> {
    let (address, right, operation) = (
        cluster.caller_address(vm),
        right.clone(),
        operation.to_owned(),
    );
    thread::spawn(move || send(address, &right, &operation))
}

/// Waits until the release has reached the service.
fn until_running(cluster: &Cluster) {
    wait_until("the service runs the call", || {
        let load = cluster.get("service-1", "/v1/load");
        load.is_ok_and(|load| load.json()["running"] == 1)
    });
}

/// Makes the service run a call at once and answer late.
fn answer_late(cluster: &Cluster, late_ms: u64) {
    cluster.set_behaviour("service-1", &serde_json::json!({"late_ms": late_ms}));
}

#[track_caller]
fn assert_ran(response: &Response) {
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.json()["run"], 1);
}

#[track_caller]
fn assert_refused(response: &Response, verdict: &str, reason: &str) {
    let error = response.json();
    assert_eq!(response.verdict(), verdict, "{response:?}");
    assert_eq!(error["error"]["reason"], reason, "{response:?}");
}

/// Waits until bare keys are run, which a new incarnation refuses for one and a half windows.
fn until_keys_run(cluster: &Cluster) {
    for vm in cluster.vms() {
        wait_until(&format!("{vm} runs keys"), || {
            // Each key has another home; some of them are this VM's.
            let keys = (0..8).map(|number| format!("{vm}-warm-{number}"));
            keys.map(|key| release(cluster, &vm, &Right::Key(key.clone()), &key))
                .all(|response| response.status == 200)
        });
    }
}

#[test]
fn tickets_run_once_through_every_vm_and_no_answer_is_in_doubt() {
    let cluster = Setup {
        data_centres: 2,
        vms: 2,
        ..setup()
    }
    .start();
    for issuer in cluster.vms() {
        for number in 0..4 {
            let operation = format!("{issuer}-{number}");
            let right = ticket(&cluster, &issuer);
            let vms = cluster.vms();
            let calls: Vec<_> = vms
                .iter()
                .map(|vm| begin(&cluster, vm, &right, &operation))
                .collect();
            for call in calls {
                assert_ran(&call.join().unwrap().expect("an answer"));
            }
            assert_ran(&release(&cluster, &vms[number], &right, &operation));
            assert_eq!(cluster.run_count(&operation), 1);
        }
    }
}

#[test]
fn keys_run_once_through_every_vm_and_no_answer_is_in_doubt() {
    let cluster = setup().start();
    until_keys_run(&cluster);
    for number in 0..12 {
        let operation = format!("lot-{number}");
        let right = Right::Key(operation.clone());
        let vms = cluster.vms();
        let calls: Vec<_> = vms
            .iter()
            .map(|vm| begin(&cluster, vm, &right, &operation))
            .collect();
        for call in calls {
            assert_ran(&call.join().unwrap().expect("an answer"));
        }
        assert_eq!(cluster.run_count(&operation), 1);
    }
}

#[test]
fn ticket_and_key_of_another_customer_or_request_do_not_run() {
    let cluster = setup().start();
    let right = ticket(&cluster, "vm-1");
    let path = format!("/{PLAIN_SERVICE}/release");
    let headers = [("authorization", "Bearer beta-key"), right.header()];
    let address = cluster.caller_address("vm-2");
    let foreign = client::fetch(address, &Method::POST, &path, &headers, RELEASE).unwrap();
    assert_refused(&foreign, "not_run", "forbidden");
    let forged = Right::Ticket("bm8gdGlja2V0".into());
    assert_refused(
        &release(&cluster, "vm-1", &forged, "forged"),
        "not_run",
        "bad_ticket",
    );
    assert_ran(&release(&cluster, "vm-2", &right, "own"));
    let headers = [("x-operation", "other"), right.header()];
    let other = cluster.call("vm-3", &Method::POST, &path, &headers, "another release");
    assert_refused(&other.unwrap(), "not_run", "bad_ticket");
    assert_eq!(cluster.run_count("other") + cluster.run_count("forged"), 0);
}

#[test]
fn retries_while_the_first_is_under_way_join_it() {
    let cluster = setup().start();
    answer_late(&cluster, 1500);
    let right = ticket(&cluster, "vm-1");
    let first = begin(&cluster, "vm-1", &right, "lot");
    until_running(&cluster);
    let retries: Vec<_> = cluster
        .vms()
        .iter()
        .map(|vm| begin(&cluster, vm, &right, "lot"))
        .collect();
    for call in retries.into_iter().chain([first]) {
        assert_ran(&call.join().unwrap().expect("an answer"));
    }
    assert_eq!(cluster.run_count("lot"), 1);
}

#[test]
fn retry_over_another_vm_does_not_repeat_the_call_of_a_frozen_one() {
    let mut cluster = setup().start();
    answer_late(&cluster, 500);
    let right = ticket(&cluster, "vm-1");
    let first = begin(&cluster, "vm-1", &right, "lot");
    until_running(&cluster);
    cluster.process("vm-1").freeze();
    let retry = release(&cluster, "vm-2", &right, "lot");
    assert_eq!(retry.verdict(), "may_have_run", "{retry:?}");
    cluster.process("vm-1").thaw();
    assert_ran(&first.join().unwrap().expect("an answer"));
    wait_until("the retry gets the first one's answer", || {
        release(&cluster, "vm-3", &right, "lot").status == 200
    });
    assert_eq!(cluster.run_count("lot"), 1);
}

#[test]
fn ticket_of_a_killed_vm_may_have_run_at_once() {
    let mut cluster = setup().start();
    answer_late(&cluster, 60_000);
    let (used, unused) = (ticket(&cluster, "vm-1"), ticket(&cluster, "vm-1"));
    let first = begin(&cluster, "vm-1", &used, "used");
    until_running(&cluster);
    cluster.process("vm-1").kill();
    assert!(first.join().unwrap().is_none());
    for vm in ["vm-2", "vm-3"] {
        let retry = release(&cluster, vm, &used, "used");
        assert_refused(&retry, "may_have_run", "ticket_vm_gone");
        let retry = release(&cluster, vm, &unused, "unused");
        assert_refused(&retry, "may_have_run", "ticket_vm_gone");
    }
    assert_eq!(cluster.run_count("used"), 1);
    assert_eq!(cluster.run_count("unused"), 0);
}

#[test]
fn new_incarnation_does_not_run_tickets_and_keys_of_the_earlier_one() {
    let mut cluster = setup().start();
    until_keys_run(&cluster);
    let used = ticket(&cluster, "vm-1");
    assert_ran(&release(&cluster, "vm-1", &used, "used"));
    let keys: Vec<_> = (0..12).map(|number| format!("key-{number}")).collect();
    for key in &keys {
        assert_ran(&release(&cluster, "vm-2", &Right::Key(key.clone()), key));
    }
    cluster.process("vm-1").kill();
    cluster.start_vm("vm-1");
    wait_until("vm-1 is ready", || cluster.is_ready("vm-1"));
    for vm in cluster.vms() {
        let retry = release(&cluster, &vm, &used, "used");
        assert_refused(&retry, "may_have_run", "ticket_vm_gone");
    }
    for key in &keys {
        let retry = release(&cluster, "vm-3", &Right::Key(key.clone()), key);
        assert!(
            retry.status == 200 || retry.verdict() == "may_have_run",
            "{retry:?}"
        );
        assert_eq!(cluster.run_count(key), 1);
    }
    assert_eq!(cluster.run_count("used"), 1);
}

#[test]
fn planned_stop_passes_tickets_and_keys_on_and_no_answer_is_in_doubt() {
    let mut cluster = setup().start();
    until_keys_run(&cluster);
    answer_late(&cluster, 3000);
    let right = ticket(&cluster, "vm-1");
    let unused = ticket(&cluster, "vm-1");
    let first = begin(&cluster, "vm-1", &right, "lot");
    until_running(&cluster);
    cluster.process("vm-1").terminate();
    let retry = begin(&cluster, "vm-2", &right, "lot");
    assert_ran(&first.join().unwrap().expect("an answer"));
    assert_ran(&retry.join().unwrap().expect("an answer"));
    answer_late(&cluster, 0);
    let mut keys = 0;
    let mut send_keys = |cluster: &Cluster, vm: &str| {
        for _ in 0..8 {
            keys += 1;
            let key = format!("key-{keys}");
            assert_ran(&release(cluster, vm, &Right::Key(key.clone()), &key));
            let again = format!("key-{}", (keys + 1) / 2);
            assert_ran(&release(cluster, vm, &Right::Key(again.clone()), &again));
            assert_eq!(cluster.run_count(&again), 1);
        }
    };
    while cluster.process("vm-1").exit_status().is_none() {
        send_keys(&cluster, "vm-2");
    }
    assert_ran(&release(&cluster, "vm-3", &right, "lot"));
    assert_ran(&release(&cluster, "vm-3", &unused, "unused"));
    send_keys(&cluster, "vm-3");
    cluster.start_vm("vm-1");
    wait_until("vm-1 is ready", || cluster.is_ready("vm-1"));
    send_keys(&cluster, "vm-1");
    for operation in ["lot", "unused"] {
        assert_eq!(cluster.run_count(operation), 1);
    }
}

#[test]
fn each_side_of_a_partition_runs_its_own_tickets() {
    let cluster = Setup {
        data_centres: 2,
        vms: 1,
        services: 1,
        ..setup()
    }
    .start();
    let before = ticket(&cluster, "vm-1");
    for vm in cluster.vms() {
        cluster.proxy_command(&format!("block {vm}"));
    }
    for vm in cluster.vms() {
        let right = ticket(&cluster, &vm);
        assert_ran(&release(&cluster, &vm, &right, &vm));
        assert_eq!(cluster.run_count(&vm), 1);
    }
    let over = release(&cluster, "vm-2", &before, "over");
    assert_eq!(over.verdict(), "may_have_run", "{over:?}");
    assert_eq!(cluster.run_count("over"), 0);
    assert_ran(&release(&cluster, "vm-1", &before, "over"));
    for vm in cluster.vms() {
        cluster.proxy_command(&format!("heal {vm}"));
    }
    wait_until("the other side hears the answer", || {
        release(&cluster, "vm-2", &before, "over").status == 200
    });
    assert_eq!(cluster.run_count("over"), 1);
}

#[test]
fn side_of_a_partition_without_a_majority_refuses_keys_and_runs_tickets() {
    let cluster = Setup {
        data_centres: 3,
        vms: 1,
        ..setup()
    }
    .start();
    until_keys_run(&cluster);
    cluster.proxy_command("block platform/vm-3");
    cluster.proxy_command("block vm-3");
    for other in ["vm-1", "vm-2"] {
        cluster.proxy_command(&format!("block {other} from vm-3"));
    }
    let mut keys = Vec::new();
    let mut send_keys = |vm: &str| -> Vec<Response> {
        let fresh = (0..4).map(|number| format!("key-{}", keys.len() + number));
        let fresh: Vec<_> = fresh.collect();
        keys.extend(fresh.iter().cloned());
        let calls = fresh
            .iter()
            .map(|key| begin(&cluster, vm, &Right::Key(key.clone()), key));
        let calls: Vec<_> = calls.collect();
        calls
            .into_iter()
            .map(|call| call.join().unwrap().expect("an answer"))
            .collect()
    };
    wait_until("vm-3 refuses its own keys", || {
        let responses = send_keys("vm-3");
        let in_doubt = responses
            .iter()
            .filter(|response| response.json()["error"]["reason"] == "key_in_doubt");
        in_doubt.count() > 0 && responses.iter().all(|response| response.status != 200)
    });
    wait_until("the majority runs its own keys", || {
        send_keys("vm-1")
            .iter()
            .any(|response| response.status == 200)
    });
    let right = ticket(&cluster, "vm-3");
    assert_ran(&release(&cluster, "vm-3", &right, "ticketed"));
    for key in &keys {
        assert!(cluster.run_count(key) <= 1);
    }
}

#[test]
fn call_whose_target_broke_off_is_not_sent_again() {
    let cluster = setup().start();
    let right = ticket(&cluster, "vm-1");
    cluster.set_behaviour("service-1", &serde_json::json!({"fail": "during"}));
    let first = release(&cluster, "vm-1", &right, "lot");
    assert_eq!(first.verdict(), "may_have_run", "{first:?}");
    cluster.set_behaviour("service-1", &serde_json::json!({}));
    for vm in cluster.vms() {
        let retry = release(&cluster, &vm, &right, "lot");
        assert_eq!(retry.verdict(), "may_have_run", "{retry:?}");
    }
    assert_eq!(cluster.run_count("lot"), 1);
}

#[test]
fn call_that_the_target_refused_may_be_sent_again_with_its_ticket() {
    let cluster = setup().start();
    let right = ticket(&cluster, "vm-1");
    cluster.set_behaviour("service-1", &serde_json::json!({"refuse": true}));
    let first = release(&cluster, "vm-2", &right, "lot");
    assert_eq!(first.verdict(), "not_run", "{first:?}");
    assert_eq!(cluster.run_count("lot"), 0);
    cluster.set_behaviour("service-1", &serde_json::json!({}));
    assert_ran(&release(&cluster, "vm-3", &right, "lot"));
}
