//! The whole path through separate processes.

mod support;

use {
    hyper::Method,
    support::{End, MODEL, MODEL_SERVICE, PLAIN_SERVICE, Setup, wait_until},
};

const PROMPT: &str = "a sheet for forty trays of pierogi #tokens=40";

#[test]
fn a_stream_brings_every_token_of_one_engine() {
    let cluster = Setup::default().start();
    for vm in cluster.vms() {
        let draft = cluster.stream(&vm, PROMPT).unwrap().finish();
        assert_eq!(draft.end, End::Complete("stop".into()));
        assert_eq!(draft.generations.len(), 1);
        let engine = cluster.engine_of(&draft);
        cluster.assert_prefix(&draft, &engine, PROMPT);
        assert_eq!(draft.tokens.len(), 40);
    }
}

#[test]
fn a_whole_answer_holds_the_same_tokens() {
    let cluster = Setup::default().start();
    let body = serde_json::json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 7});
    let path = format!("/{MODEL_SERVICE}/v1/completions");
    let answer = cluster.call("vm-1", &Method::POST, &path, &[], &body.to_string());
    let answer = answer.unwrap().json();
    let texts: Vec<_> = cluster
        .engines()
        .iter()
        .map(|engine| cluster.expected(engine, PROMPT, 7).concat())
        .collect();
    assert!(texts.contains(&answer["choices"][0]["text"].as_str().unwrap().to_owned()));
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 7);
}

#[test]
fn a_plain_call_passes_through_and_runs_once() {
    let cluster = Setup::default().start();
    for vm in cluster.vms() {
        for path in ["/read", "/release"] {
            let operation = format!("{vm}{path}");
            let headers = [("x-operation", &*operation)];
            let answer = cluster
                .call(
                    &vm,
                    &Method::POST,
                    &format!("/{PLAIN_SERVICE}{path}"),
                    &headers,
                    "lot 7",
                )
                .unwrap();
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_eq!(answer.json()["digest"], *fakes::service::digest(b"lot 7"));
            assert_eq!(answer.header("x-configuration-version"), "1");
            assert_eq!(cluster.runs(&operation), 1);
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
        let answer = cluster.call("vm-1", &Method::POST, &path, &headers, &key);
        let answer = answer.unwrap();
        let is_in_doubt = answer.verdict() == "may_have_run";
        assert!(answer.status == 200 || is_in_doubt, "{answer:?}");
        assert!(cluster.runs(&key) <= 1);
    }
    assert!(cluster.log("vm-1").contains("\"event\":\"forward\""));
}

#[test]
fn a_planned_stop_exits_with_zero_after_the_last_stream() {
    let mut cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    assert_eq!(stream.read(1).tokens.len(), 1);
    cluster.process("vm-1").terminate();
    wait_until("the readiness is off", || !cluster.is_ready("vm-1"));
    assert_eq!(stream.finish().end, End::Complete("stop".into()));
    drop(stream);
    wait_until("vm-1 has ended", || {
        cluster.process("vm-1").ended().is_some()
    });
    assert!(cluster.process("vm-1").ended().unwrap().success());
}
