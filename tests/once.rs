//! A non-idempotent call runs at most once.
//!
//! The service counts the runs of each operation. A system that never responds would pass that
//! check alone, so each test also states which calls must succeed.

mod support;

use {
    hyper::Method,
    std::{net::SocketAddr, thread},
    support::{Cluster, PLAIN_SERVICE, Response, Setup, client, wait_until},
};

const BODY: &str = "a release of bigos, lot 7";
/// Retention of idempotency records: short enough for a test to wait for, and much longer than a
/// graceful shutdown.
const RECORD_SETTINGS: &str = "[records]\nwindow = 16s\nticket_lifetime = 600s\n";

/// A ticket or an idempotency key; a call that has one runs at most once.
#[derive(Clone, Debug)]
enum IdempotencyToken {
    Ticket(String),
    Key(String),
}

impl IdempotencyToken {
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
        settings: RECORD_SETTINGS.into(),
        ..Setup::default()
    }
}

fn ticket(cluster: &Cluster, vm: &str) -> IdempotencyToken {
    let response = cluster.call(vm, &Method::POST, "/v1/tickets", &[], "");
    let response = response.unwrap().json();
    IdempotencyToken::Ticket(
        response["tickets"][0]
            .as_str()
            .expect("the response has a ticket")
            .to_owned(),
    )
}

/// Calls `/release` for an operation; returns `None` if the entry VM sent no response.
fn send(address: SocketAddr, token: &IdempotencyToken, operation: &str) -> Option<Response> {
    let headers = [
        ("authorization", "Bearer alpha-key"),
        ("x-operation", operation),
        token.header(),
    ];
    let path = format!("/{PLAIN_SERVICE}/release");
    client::fetch(address, &Method::POST, &path, &headers, BODY).ok()
}

fn release(cluster: &Cluster, vm: &str, token: &IdempotencyToken, operation: &str) -> Response {
    send(cluster.caller_address(vm), token, operation).expect("the entry VM responds")
}

/// Calls `/release` for an operation on a new thread.
fn spawn_release(
    cluster: &Cluster,
    vm: &str,
    token: &IdempotencyToken,
    operation: &str,
) -> thread::JoinHandle<Option<Response>> {
    let (address, token, operation) = (
        cluster.caller_address(vm),
        token.clone(),
        operation.to_owned(),
    );
    thread::spawn(move || send(address, &token, &operation))
}

/// Waits until the service runs a call.
fn wait_until_running(cluster: &Cluster) {
    wait_until("the service runs the call", || {
        let load = cluster.get("service-1", "/v1/load");
        load.is_ok_and(|load| load.json()["running"] == 1)
    });
}

/// Makes the service run calls at once and delay the responses.
fn delay_responses(cluster: &Cluster, late_ms: u64) {
    cluster.set_behaviour("service-1", &serde_json::json!({"late_ms": late_ms}));
}

#[track_caller]
fn assert_ran(response: &Response) {
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.json()["run"], 1);
}

#[track_caller]
fn assert_error(response: &Response, verdict: &str, reason: &str) {
    let error = response.json();
    assert_eq!(response.verdict(), verdict, "{response:?}");
    assert_eq!(error["error"]["reason"], reason, "{response:?}");
}

/// Waits until every VM accepts keys, which a new incarnation rejects for one and a half windows.
fn wait_until_keys_are_accepted(cluster: &Cluster) {
    for vm in cluster.vms() {
        wait_until(&format!("{vm} accepts keys"), || {
            // The owner of a key depends on the key; this VM owns some of them.
            let keys = (0..8).map(|number| format!("{vm}-warm-{number}"));
            keys.map(|key| release(cluster, &vm, &IdempotencyToken::Key(key.clone()), &key))
                .all(|response| response.status == 200)
        });
    }
}

/// The same ticket is used through all VMs at once, also across data centres: the call runs once,
/// and every VM returns its response.
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
            let token = ticket(&cluster, &issuer);
            let vms = cluster.vms();
            let calls: Vec<_> = vms
                .iter()
                .map(|vm| spawn_release(&cluster, vm, &token, &operation))
                .collect();
            for call in calls {
                assert_ran(&call.join().unwrap().expect("the entry VM responds"));
            }
            assert_ran(&release(&cluster, &vms[number], &token, &operation));
            assert_eq!(cluster.run_count(&operation), 1);
        }
    }
}

/// The same idempotency key is used through all VMs at once: the call runs once, and every VM
/// returns its response.
#[test]
fn keys_run_once_through_every_vm_and_no_answer_is_in_doubt() {
    let cluster = setup().start();
    wait_until_keys_are_accepted(&cluster);
    for number in 0..12 {
        let operation = format!("lot-{number}");
        let token = IdempotencyToken::Key(operation.clone());
        let vms = cluster.vms();
        let calls: Vec<_> = vms
            .iter()
            .map(|vm| spawn_release(&cluster, vm, &token, &operation))
            .collect();
        for call in calls {
            assert_ran(&call.join().unwrap().expect("the entry VM responds"));
        }
        assert_eq!(cluster.run_count(&operation), 1);
    }
}

/// A ticket is bound to its customer and to the first request that used it.
#[test]
fn ticket_and_key_of_another_customer_or_request_do_not_run() {
    let cluster = setup().start();
    let token = ticket(&cluster, "vm-1");
    let path = format!("/{PLAIN_SERVICE}/release");
    let headers = [("authorization", "Bearer beta-key"), token.header()];
    let address = cluster.caller_address("vm-2");
    let foreign = client::fetch(address, &Method::POST, &path, &headers, BODY).unwrap();
    assert_error(&foreign, "not_run", "forbidden");
    let forged = IdempotencyToken::Ticket("bm8gdGlja2V0".into());
    assert_error(
        &release(&cluster, "vm-1", &forged, "forged"),
        "not_run",
        "bad_ticket",
    );
    assert_ran(&release(&cluster, "vm-2", &token, "own"));
    let headers = [("x-operation", "other"), token.header()];
    let other = cluster.call("vm-3", &Method::POST, &path, &headers, "another release");
    assert_error(&other.unwrap(), "not_run", "bad_ticket");
    assert_eq!(cluster.run_count("other") + cluster.run_count("forged"), 0);
}

/// Retries of a call that is in flight must wait for its response instead of running it again.
#[test]
fn retries_while_the_first_is_under_way_join_it() {
    let cluster = setup().start();
    delay_responses(&cluster, 1500);
    let token = ticket(&cluster, "vm-1");
    let first = spawn_release(&cluster, "vm-1", &token, "lot");
    wait_until_running(&cluster);
    let retries: Vec<_> = cluster
        .vms()
        .iter()
        .map(|vm| spawn_release(&cluster, vm, &token, "lot"))
        .collect();
    for call in retries.into_iter().chain([first]) {
        assert_ran(&call.join().unwrap().expect("the entry VM responds"));
    }
    assert_eq!(cluster.run_count("lot"), 1);
}

/// The VM that issued the ticket is frozen while the call is in flight. Another VM can't know the
/// result, so it must not run the retry itself.
#[test]
fn retry_over_another_vm_does_not_repeat_the_call_of_a_frozen_one() {
    let mut cluster = setup().start();
    delay_responses(&cluster, 500);
    let token = ticket(&cluster, "vm-1");
    let first = spawn_release(&cluster, "vm-1", &token, "lot");
    wait_until_running(&cluster);
    cluster.process("vm-1").freeze();
    let retry = release(&cluster, "vm-2", &token, "lot");
    assert_eq!(retry.verdict(), "may_have_run", "{retry:?}");
    cluster.process("vm-1").thaw();
    assert_ran(&first.join().unwrap().expect("the entry VM responds"));
    wait_until("the retry gets the response to the first call", || {
        release(&cluster, "vm-3", &token, "lot").status == 200
    });
    assert_eq!(cluster.run_count("lot"), 1);
}

/// The record of a ticket is lost with the VM that issued it, so other VMs must report
/// `may_have_run` even for a ticket that was never used.
#[test]
fn ticket_of_a_killed_vm_may_have_run_at_once() {
    let mut cluster = setup().start();
    delay_responses(&cluster, 60_000);
    let (used, unused) = (ticket(&cluster, "vm-1"), ticket(&cluster, "vm-1"));
    let first = spawn_release(&cluster, "vm-1", &used, "used");
    wait_until_running(&cluster);
    cluster.process("vm-1").kill();
    assert!(first.join().unwrap().is_none());
    for vm in ["vm-2", "vm-3"] {
        let retry = release(&cluster, vm, &used, "used");
        assert_error(&retry, "may_have_run", "ticket_vm_gone");
        let retry = release(&cluster, vm, &unused, "unused");
        assert_error(&retry, "may_have_run", "ticket_vm_gone");
    }
    assert_eq!(cluster.run_count("used"), 1);
    assert_eq!(cluster.run_count("unused"), 0);
}

/// A VM that restarts after a crash has lost its records and must not run a call a second time.
#[test]
fn new_incarnation_does_not_run_tickets_and_keys_of_the_earlier_one() {
    let mut cluster = setup().start();
    wait_until_keys_are_accepted(&cluster);
    let used = ticket(&cluster, "vm-1");
    assert_ran(&release(&cluster, "vm-1", &used, "used"));
    let keys: Vec<_> = (0..12).map(|number| format!("key-{number}")).collect();
    for key in &keys {
        assert_ran(&release(
            &cluster,
            "vm-2",
            &IdempotencyToken::Key(key.clone()),
            key,
        ));
    }
    cluster.process("vm-1").kill();
    cluster.start_vm("vm-1");
    wait_until("vm-1 is ready", || cluster.is_ready("vm-1"));
    for vm in cluster.vms() {
        let retry = release(&cluster, &vm, &used, "used");
        assert_error(&retry, "may_have_run", "ticket_vm_gone");
    }
    for key in &keys {
        let retry = release(&cluster, "vm-3", &IdempotencyToken::Key(key.clone()), key);
        assert!(
            retry.status == 200 || retry.verdict() == "may_have_run",
            "{retry:?}"
        );
        assert_eq!(cluster.run_count(key), 1);
    }
    assert_eq!(cluster.run_count("used"), 1);
}

/// A VM hands its records over to its peers before it shuts down, so no ticket or key is lost.
#[test]
fn planned_stop_passes_tickets_and_keys_on_and_no_answer_is_in_doubt() {
    let mut cluster = setup().start();
    wait_until_keys_are_accepted(&cluster);
    delay_responses(&cluster, 3000);
    let token = ticket(&cluster, "vm-1");
    let unused = ticket(&cluster, "vm-1");
    let first = spawn_release(&cluster, "vm-1", &token, "lot");
    wait_until_running(&cluster);
    cluster.process("vm-1").terminate();
    let retry = spawn_release(&cluster, "vm-2", &token, "lot");
    assert_ran(&first.join().unwrap().expect("the entry VM responds"));
    assert_ran(&retry.join().unwrap().expect("the entry VM responds"));
    delay_responses(&cluster, 0);
    let mut key_count = 0;
    // Sends new keys, and after each of them repeats the key of half its number, which must not run
    // again.
    let mut send_keys = |cluster: &Cluster, vm: &str| {
        for _ in 0..8 {
            key_count += 1;
            let key = format!("key-{key_count}");
            assert_ran(&release(
                cluster,
                vm,
                &IdempotencyToken::Key(key.clone()),
                &key,
            ));
            let earlier = format!("key-{}", (key_count + 1) / 2);
            assert_ran(&release(
                cluster,
                vm,
                &IdempotencyToken::Key(earlier.clone()),
                &earlier,
            ));
            assert_eq!(cluster.run_count(&earlier), 1);
        }
    };
    while cluster.process("vm-1").exit_status().is_none() {
        send_keys(&cluster, "vm-2");
    }
    assert_ran(&release(&cluster, "vm-3", &token, "lot"));
    assert_ran(&release(&cluster, "vm-3", &unused, "unused"));
    send_keys(&cluster, "vm-3");
    cluster.start_vm("vm-1");
    wait_until("vm-1 is ready", || cluster.is_ready("vm-1"));
    send_keys(&cluster, "vm-1");
    for operation in ["lot", "unused"] {
        assert_eq!(cluster.run_count(operation), 1);
    }
}

/// A ticket runs only on the side of the VM that issued it; the other side reports `may_have_run`.
#[test]
fn each_side_of_a_partition_runs_its_own_tickets() {
    let cluster = Setup {
        data_centres: 2,
        vms: 1,
        services: 1,
        ..setup()
    }
    .start();
    let vm_1_ticket = ticket(&cluster, "vm-1");
    for vm in cluster.vms() {
        cluster.proxy_command(&format!("block {vm}"));
    }
    for vm in cluster.vms() {
        let token = ticket(&cluster, &vm);
        assert_ran(&release(&cluster, &vm, &token, &vm));
        assert_eq!(cluster.run_count(&vm), 1);
    }
    let response = release(&cluster, "vm-2", &vm_1_ticket, "over");
    assert_eq!(response.verdict(), "may_have_run", "{response:?}");
    assert_eq!(cluster.run_count("over"), 0);
    assert_ran(&release(&cluster, "vm-1", &vm_1_ticket, "over"));
    for vm in cluster.vms() {
        cluster.proxy_command(&format!("heal {vm}"));
    }
    wait_until("the other side gets the stored response", || {
        release(&cluster, "vm-2", &vm_1_ticket, "over").status == 200
    });
    assert_eq!(cluster.run_count("over"), 1);
}

/// Both sides of a partition could claim a key, so only a side with a majority may run it.
#[test]
fn side_of_a_partition_without_a_majority_refuses_keys_and_runs_tickets() {
    let cluster = Setup {
        data_centres: 3,
        vms: 1,
        ..setup()
    }
    .start();
    wait_until_keys_are_accepted(&cluster);
    cluster.proxy_command("block platform/vm-3");
    cluster.proxy_command("block vm-3");
    for other in ["vm-1", "vm-2"] {
        cluster.proxy_command(&format!("block {other} from vm-3"));
    }
    let mut keys = Vec::new();
    let mut send_keys = |vm: &str| -> Vec<Response> {
        let new_keys = (0..4).map(|number| format!("key-{}", keys.len() + number));
        let new_keys: Vec<_> = new_keys.collect();
        keys.extend(new_keys.iter().cloned());
        let calls = new_keys
            .iter()
            .map(|key| spawn_release(&cluster, vm, &IdempotencyToken::Key(key.clone()), key));
        let calls: Vec<_> = calls.collect();
        calls
            .into_iter()
            .map(|call| call.join().unwrap().expect("the entry VM responds"))
            .collect()
    };
    wait_until("vm-3 rejects the keys that it owns", || {
        let responses = send_keys("vm-3");
        let in_doubt = responses
            .iter()
            .filter(|response| response.json()["error"]["reason"] == "key_in_doubt");
        in_doubt.count() > 0 && responses.iter().all(|response| response.status != 200)
    });
    wait_until("the majority runs the keys that it owns", || {
        send_keys("vm-1")
            .iter()
            .any(|response| response.status == 200)
    });
    let token = ticket(&cluster, "vm-3");
    assert_ran(&release(&cluster, "vm-3", &token, "ticketed"));
    for key in &keys {
        assert!(cluster.run_count(key) <= 1);
    }
}

/// The target drops the connection during the run, so a retry through any VM must not run the call
/// again.
#[test]
fn call_whose_target_broke_off_is_not_sent_again() {
    let cluster = setup().start();
    let token = ticket(&cluster, "vm-1");
    cluster.set_behaviour("service-1", &serde_json::json!({"fail": "during"}));
    let first = release(&cluster, "vm-1", &token, "lot");
    assert_eq!(first.verdict(), "may_have_run", "{first:?}");
    cluster.set_behaviour("service-1", &serde_json::json!({}));
    for vm in cluster.vms() {
        let retry = release(&cluster, &vm, &token, "lot");
        assert_eq!(retry.verdict(), "may_have_run", "{retry:?}");
    }
    assert_eq!(cluster.run_count("lot"), 1);
}

/// A call that certainly did not run must not use up its ticket.
#[test]
fn call_that_the_target_refused_may_be_sent_again_with_its_ticket() {
    let cluster = setup().start();
    let token = ticket(&cluster, "vm-1");
    cluster.set_behaviour("service-1", &serde_json::json!({"refuse": true}));
    let first = release(&cluster, "vm-2", &token, "lot");
    assert_eq!(first.verdict(), "not_run", "{first:?}");
    assert_eq!(cluster.run_count("lot"), 0);
    cluster.set_behaviour("service-1", &serde_json::json!({}));
    assert_ran(&release(&cluster, "vm-3", &token, "lot"));
}
