//! Requests through entry VM, engine and service as separate processes.

mod support;

use {
    hyper::Method,
    support::{MODEL, MODEL_SERVICE, Outcome, PLAIN_SERVICE, Setup, wait_until},
};

const PROMPT: &str = "a sheet for forty trays of pierogi #tokens=40";

#[test]
fn a_stream_brings_every_token_of_one_engine() {
    let cluster = Setup::default().start();
    for vm in cluster.vms() {
        let completion = cluster.stream(&vm, PROMPT).unwrap().read_to_end();
        assert_eq!(completion.outcome, Outcome::Complete("stop".into()));
        assert_eq!(completion.generations.len(), 1);
        let engine = cluster.engine_of(&completion);
        cluster.assert_prefix(&completion, &engine, PROMPT);
        assert_eq!(completion.tokens.len(), 40);
    }
}

#[test]
fn a_whole_answer_holds_the_same_tokens() {
    let cluster = Setup::default().start();
    let body = serde_json::json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 7});
    let path = format!("/{MODEL_SERVICE}/v1/completions");
    let response = cluster.call("vm-1", &Method::POST, &path, &[], &body.to_string());
    let response = response.unwrap().json();
    let texts: Vec<_> = cluster
        .engines()
        .iter()
        .map(|engine| cluster.expected_tokens(engine, PROMPT, 7).concat())
        .collect();
    assert!(texts.contains(&response["choices"][0]["text"].as_str().unwrap().to_owned()));
    assert_eq!(response["choices"][0]["finish_reason"], "length");
    assert_eq!(response["usage"]["completion_tokens"], 7);
}

#[test]
fn a_plain_call_passes_through_and_runs_once() {
    let cluster = Setup::default().start();
    for vm in cluster.vms() {
        for path in ["/read", "/release"] {
            let operation = format!("{vm}{path}");
            let headers = [("x-operation", &*operation)];
            let response = cluster
                .call(
                    &vm,
                    &Method::POST,
                    &format!("/{PLAIN_SERVICE}{path}"),
                    &headers,
                    "lot 7",
                )
                .unwrap();
            assert_eq!(response.status, 200, "{response:?}");
            assert_eq!(response.json()["digest"], *fakes::service::digest(b"lot 7"));
            assert_eq!(response.header("x-configuration-version"), "1");
            assert_eq!(cluster.run_count(&operation), 1);
        }
    }
}

#[test]
fn a_call_that_belongs_to_another_entry_vm_crosses_to_it() {
    let cluster = Setup::default().start();
    for number in 0..32 {
        let key = format!("lot-{number}");
        let headers = [("idempotency-key", &*key), ("x-operation", &*key)];
        let path = format!("/{PLAIN_SERVICE}/release");
        let response = cluster.call("vm-1", &Method::POST, &path, &headers, &key);
        let response = response.unwrap();
        let may_have_run = response.verdict() == "may_have_run";
        assert!(response.status == 200 || may_have_run, "{response:?}");
        assert!(cluster.run_count(&key) <= 1);
    }
    assert!(cluster.log("vm-1").contains("\"event\":\"forward\""));
}

#[test]
fn a_planned_stop_exits_with_zero_after_the_last_stream() {
    let mut cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    assert_eq!(stream.read(1).tokens.len(), 1);
    cluster.process("vm-1").terminate();
    wait_until("vm-1 is not ready", || !cluster.is_ready("vm-1"));
    assert_eq!(
        stream.read_to_end().outcome,
        Outcome::Complete("stop".into())
    );
    drop(stream);
    wait_until("vm-1 has exited", || {
        cluster.process("vm-1").exit_status().is_some()
    });
    assert!(cluster.process("vm-1").exit_status().unwrap().success());
}
