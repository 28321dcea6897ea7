//! A caller receives every token exactly once, in order and from one generation, whatever fails.
//!
//! Tokens are compared one by one with the engine's output. Engines have different seeds, so the
//! tests also detect a stream that was joined from two generations.

mod support;

use {
    hyper::Method,
    serde_json::{Value, json},
    std::{thread, time::Duration},
    support::{Cluster, Completion, Outcome, Setup, wait_until},
};

/// Tokens of the completion for [`PROMPT`].
const TOKENS: usize = 100;
const PROMPT: &str = "a batch sheet for bigos #tokens=100";
/// Tokens that the caller reads before a fault is injected.
const TOKENS_BEFORE_FAULT: usize = 5;
/// How long a process is frozen; longer than any silence that the system tolerates.
const FREEZE_TIME: Duration = Duration::from_secs(6);

/// How a stream must end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// With every token.
    Complete,
    /// With an explicit error event after some of the tokens.
    Error,
    /// Truncated because the entry VM is gone; another entry VM resumes it.
    Resumed,
}

/// Injects a fault after the first tokens of a stream and checks how the stream ends.
fn check(inject: fn(&mut Cluster, &str), expected: Expected) {
    let mut cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    assert_eq!(stream.status, 200);
    let mut completion = stream.read(TOKENS_BEFORE_FAULT);
    let engine = cluster.engine_of(&completion);
    inject(&mut cluster, &engine);
    append(&mut completion, stream.read_to_end());
    match expected {
        Expected::Complete => assert_complete(&cluster, &completion),
        Expected::Error => {
            let Outcome::Error(error) = &completion.outcome else {
                panic!("the stream ended with {:?}", completion.outcome);
            };
            let verdict = error["error"]["verdict"].as_str().unwrap_or_default();
            assert!(["may_have_run", "ran"].contains(&verdict), "{error}");
        }
        Expected::Resumed => {
            assert_eq!(completion.outcome, Outcome::Truncated);
            let mut resumed = cluster
                .resume("vm-2", &completion.resume_token, "alpha-key")
                .unwrap();
            append(&mut completion, resumed.read_to_end());
            assert_complete(&cluster, &completion);
        }
    }
    cluster.assert_prefix(&completion, &engine, PROMPT);
    assert_eq!(completion.generations.len(), 1);
}

/// Sets the behaviour of engines, then checks rounds of streams until at least one of them has
/// misbehaved: the routing policy may leave an engine unused in a round.
fn check_behaviour(engines: &[&str], behaviour: &Value) {
    let cluster = Setup::default().start();
    for engine in engines {
        cluster.set_behaviour(engine, behaviour);
    }
    let has_misbehaved = |engine: &&str| {
        let response = cluster.get(engine, "/test/faults").unwrap().json();
        response["struck"]
            .as_object()
            .is_some_and(|faults| !faults.is_empty())
    };
    wait_until("an engine has misbehaved", || {
        check_concurrent_streams(&cluster);
        engines.iter().any(has_misbehaved)
    });
}

/// Reads concurrent streams through both entry VMs and asserts that all of them are complete.
fn check_concurrent_streams(cluster: &Cluster) {
    thread::scope(|scope| {
        for number in 0..4 {
            let vm = format!("vm-{}", number % 2 + 1);
            let prompt = format!("{PROMPT} number {number}");
            scope.spawn(move || {
                let completion = cluster.stream(&vm, &prompt).unwrap().read_to_end();
                assert_complete(cluster, &completion);
                cluster.assert_prefix(&completion, &cluster.engine_of(&completion), &prompt);
            });
        }
    });
}

fn assert_complete(cluster: &Cluster, completion: &Completion) {
    assert_eq!(
        completion.outcome,
        Outcome::Complete("stop".into()),
        "{}",
        cluster.log("vm-1")
    );
    assert_eq!(completion.tokens.len(), TOKENS);
    assert_eq!(completion.generations.len(), 1);
}

/// Appends the continuation of a completion.
fn append(completion: &mut Completion, continuation: Completion) {
    completion.tokens.extend(continuation.tokens);
    for generation in continuation.generations {
        if !completion.generations.contains(&generation) {
            completion.generations.push(generation);
        }
    }
    if !continuation.resume_token.is_empty() {
        completion.resume_token = continuation.resume_token;
    }
    completion.outcome = continuation.outcome;
}

/// Blocks the links of an entry VM to the platform, and those to and from the other entry VMs.
fn partition(cluster: &Cluster, vm: &str) {
    cluster.proxy_command(&format!("block platform/{vm}"));
    cluster.proxy_command(&format!("block {vm}"));
    for other in cluster.vms().iter().filter(|other| *other != vm) {
        cluster.proxy_command(&format!("block {other} from {vm}"));
    }
}

fn set_platform_mode(cluster: &Cluster, mode: &Value) {
    cluster.configure_fake("platform", "/test/mode", mode);
}

macro_rules! streams {
    ($($name:ident: $expected:ident, $inject:expr;)*) => {$(
        #[test]
        fn $name() {
            check($inject, Expected::$expected);
        }
    )*};
}

// Name: expected end of the stream, fault.
streams! {
    engine_link_cut: Complete, |cluster, engine| {
        cluster.proxy_command(&format!("cut {engine}"));
    };
    engine_link_silent: Complete, |cluster, engine| {
        cluster.proxy_command(&format!("silence {engine}"));
    };
    engine_link_slow: Complete, |cluster, engine| {
        cluster.proxy_command(&format!("throttle {engine} 20000"));
        cluster.proxy_command(&format!("delay {engine} 200"));
    };
    engine_link_refused: Error, |cluster, engine| {
        cluster.proxy_command(&format!("refuse {engine}"));
    };
    engine_link_blocked_for_good: Error, |cluster, engine| {
        cluster.proxy_command(&format!("block {engine}"));
    };
    engine_killed: Error, |cluster, engine| {
        cluster.process(engine).kill();
    };
    engine_frozen_for_good: Error, |cluster, engine| {
        cluster.process(engine).freeze();
    };
    engine_frozen_for_a_moment: Complete, |cluster, engine| {
        cluster.process(engine).freeze();
        thread::sleep(Duration::from_millis(300));
        cluster.process(engine).thaw();
    };
    entry_vm_killed: Resumed, |cluster, _| {
        cluster.process("vm-1").kill();
    };
    entry_vm_frozen_and_late: Complete, |cluster, _| {
        cluster.process("vm-1").freeze();
        thread::sleep(FREEZE_TIME);
        cluster.process("vm-1").thaw();
    };
    entry_vm_stopped: Complete, |cluster, _| {
        cluster.process("vm-1").terminate();
    };
    other_entry_vm_killed: Complete, |cluster, _| {
        cluster.process("vm-2").kill();
    };
    platform_down: Complete, |cluster, _| {
        set_platform_mode(cluster, &json!({"down": true}));
    };
    platform_silent: Complete, |cluster, _| {
        set_platform_mode(cluster, &json!({"silent": true}));
    };
    platform_stale: Complete, |cluster, _| {
        cluster.make_platform_stale();
    };
    engine_leaves_the_configuration: Complete, |cluster, engine| {
        cluster.publish_without_target(2, engine);
    };
    entry_vm_partitioned: Complete, |cluster, _| {
        partition(cluster, "vm-1");
    };
    link_cut_and_entry_vm_killed: Resumed, |cluster, engine| {
        cluster.proxy_command(&format!("cut {engine}"));
        cluster.process("vm-1").kill();
    };
    link_silent_and_platform_down: Complete, |cluster, engine| {
        set_platform_mode(cluster, &json!({"down": true}));
        cluster.proxy_command(&format!("silence {engine}"));
    };
    link_silent_and_entry_vm_frozen: Complete, |cluster, engine| {
        cluster.proxy_command(&format!("silence {engine}"));
        cluster.process("vm-1").freeze();
        thread::sleep(FREEZE_TIME);
        cluster.process("vm-1").thaw();
    };
    link_silent_twice: Complete, |cluster, engine| {
        cluster.proxy_command(&format!("silence {engine}"));
        wait_until("the stream is reconnected", || {
            cluster.proxy_command(&format!("open {engine}")) != "0"
        });
        thread::sleep(Duration::from_millis(1500));
        cluster.proxy_command(&format!("silence {engine}"));
    };
    engine_killed_in_a_partition: Error, |cluster, engine| {
        partition(cluster, "vm-1");
        cluster.process(engine).kill();
    };
    entry_vm_killed_and_platform_down: Resumed, |cluster, _| {
        set_platform_mode(cluster, &json!({"down": true}));
        cluster.process("vm-1").kill();
    };
}

macro_rules! behaviours {
    ($($name:ident: $engines:expr, $behaviour:tt;)*) => {$(
        #[test]
        fn $name() {
            check_behaviour(&$engines, &json!($behaviour));
        }
    )*};
}

const ALL_ENGINES: [&str; 2] = ["engine-1", "engine-2"];

// Name: engines that misbehave, their behaviour.
behaviours! {
    events_duplicated: ALL_ENGINES, {"duplicate_every": 3};
    events_missing: ALL_ENGINES, {"gap_every": 20};
    events_reordered: ALL_ENGINES, {"reorder_every": 20};
    events_crossed: ALL_ENGINES, {"cross_every": 20};
    connections_broken: ALL_ENGINES, {"break_after": 30};
    connections_silent: ALL_ENGINES, {"silent_after": 30, "times": 4};
    events_duplicated_missing_and_crossed: ALL_ENGINES,
        {"duplicate_every": 2, "gap_every": 25, "cross_every": 15};
    connections_broken_before_the_first_token: ["engine-1"], {"break_after": 0};
    connections_silent_before_the_first_token: ["engine-1"], {"silent_after": 0};
}

/// Data centres that are partitioned from each other continue to serve, one of them without the
/// platform.
#[test]
fn data_centres_partitioned() {
    let setup = Setup {
        data_centres: 2,
        engines: 1,
        ..Setup::default()
    };
    let cluster = setup.start();
    let (first, second) = (["vm-1", "vm-2"], ["vm-3", "vm-4"]);
    for (one, other) in first
        .iter()
        .flat_map(|one| second.map(|other| (one, other)))
    {
        cluster.proxy_command(&format!("block {one} from {other}"));
        cluster.proxy_command(&format!("block {other} from {one}"));
        cluster.proxy_command(&format!("block platform/{other}"));
    }
    thread::scope(|scope| {
        for vm in first.into_iter().chain(second) {
            let cluster = &cluster;
            scope.spawn(move || {
                let prompt = format!("{PROMPT} by {vm}");
                let completion = cluster.stream(vm, &prompt).unwrap().read_to_end();
                assert_complete(cluster, &completion);
                cluster.assert_prefix(&completion, &cluster.engine_of(&completion), &prompt);
                let headers = [("x-operation", vm)];
                let response = cluster.call(vm, &Method::POST, "/ledger/release", &headers, vm);
                assert_eq!(response.unwrap().status, 200);
                assert_eq!(cluster.run_count(vm), 1);
            });
        }
    });
}

/// An engine that delays each event must not cause a duplicate or a truncated stream.
#[test]
fn events_late() {
    let cluster = Setup::default().start();
    cluster.set_behaviour("engine-1", &json!({"late_ms": 60}));
    check_concurrent_streams(&cluster);
}

/// An engine that crashes before its first token has delivered nothing, so another engine can take
/// over.
#[test]
fn engine_killed_before_the_first_token() {
    let mut cluster = Setup::default().start();
    cluster.set_behaviour("engine-1", &json!({"die_after": 0}));
    wait_until("engine-1 has crashed", || {
        check_concurrent_streams(&cluster);
        cluster.process("engine-1").exit_status().is_some()
    });
}

/// The body of a completion that is not streamed must not mix the text of two engines when one
/// dies.
#[test]
fn engine_killed_while_whole_answers_are_made() {
    let mut cluster = Setup::default().start();
    cluster.set_behaviour("engine-1", &json!({"die_after": 20}));
    wait_until("engine-1 has crashed", || {
        check_concurrent_completions(&cluster);
        cluster.process("engine-1").exit_status().is_some()
    });
}

/// Requests concurrent completions that are not streamed; the text of each must come from one
/// engine.
fn check_concurrent_completions(cluster: &Cluster) {
    thread::scope(|scope| {
        for number in 0..4 {
            scope.spawn(move || {
                let prompt = format!("{PROMPT} number {number}");
                let response = cluster
                    .complete(&format!("vm-{}", number % 2 + 1), &prompt)
                    .unwrap();
                assert_eq!(response.status, 200, "{response:?}");
                let text = response.json()["choices"][0]["text"]
                    .as_str()
                    .unwrap()
                    .to_owned();
                let engines = cluster.engines();
                let mut expected = engines
                    .iter()
                    .map(|name| cluster.expected_tokens(name, &prompt, u32::MAX).concat());
                assert!(expected.any(|expected| expected == text));
            });
        }
    });
}

/// An engine that preempts a generation and computes it again must not cause lost or repeated
/// tokens.
#[test]
fn a_preempted_draft_loses_no_token() {
    let setup = Setup {
        engines: 1,
        engine_arguments: ["--memory", "160"].map(str::to_owned).to_vec(),
        ..Setup::default()
    };
    let cluster = setup.start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    let mut completion = stream.read(TOKENS_BEFORE_FAULT);
    // Another request with a higher priority takes the engine's memory for a while.
    let headers = [("x-request-id", "somebody-else"), ("x-priority", "9")];
    let prompt = json!({"prompt": "#tokens=140"}).to_string();
    let (address, path) = (cluster.addresses["engine-1"], "/v1/completions");
    let other = support::client::fetch(address, &Method::POST, path, &headers, &prompt);
    assert_eq!(other.unwrap().status, 200);
    append(&mut completion, stream.read_to_end());
    assert_complete(&cluster, &completion);
    cluster.assert_prefix(&completion, "engine-1", PROMPT);
    let runs = cluster.get("engine-1", "/test/runs").unwrap().json();
    assert!(runs["preemptions"].as_u64() > Some(0));
}

/// A resume token gives access to a generation, so another customer's key or a forged token must
/// fail.
#[test]
fn a_resume_token_of_another_customer_is_refused() {
    let cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    let completion = stream.read(TOKENS_BEFORE_FAULT);
    let refused = cluster
        .resume("vm-2", &completion.resume_token, "beta-key")
        .unwrap();
    assert_eq!(refused.status, 403);
    let forged = format!(
        "{}x",
        &completion.resume_token[..completion.resume_token.len() - 1]
    );
    let refused = cluster.resume("vm-2", &forged, "alpha-key").unwrap();
    assert!((400..500).contains(&refused.status));
    assert_eq!(
        stream.read_to_end().outcome,
        Outcome::Complete("stop".into())
    );
}

/// A prompt whose generation outlasts the grace period for a disconnected caller.
const LONG_PROMPT: &str = "a year of batch sheets #tokens=1500";

/// Checks that a caller resumes through the second entry VM after `inject` has affected the first
/// one; `clear` runs before the stream ends.
fn check_resume(inject: fn(&mut Cluster), clear: fn(&mut Cluster)) {
    let mut cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", LONG_PROMPT).unwrap();
    let mut completion = stream.read(TOKENS_BEFORE_FAULT);
    inject(&mut cluster);
    drop(stream);
    let mut resumed = cluster
        .resume("vm-2", &completion.resume_token, "alpha-key")
        .unwrap();
    append(&mut completion, resumed.read(TOKENS_BEFORE_FAULT));
    clear(&mut cluster);
    append(&mut completion, resumed.read_to_end());
    assert_eq!(completion.outcome, Outcome::Complete("stop".into()));
    assert_eq!(completion.tokens.len(), 1500);
    cluster.assert_prefix(&completion, &cluster.engine_of(&completion), LONG_PROMPT);
}

#[test]
fn caller_moved_from_a_live_entry_vm() {
    check_resume(|_| {}, |_| {});
}

#[test]
fn caller_moved_from_a_frozen_entry_vm_that_wakes_late() {
    check_resume(
        |cluster| cluster.process("vm-1").freeze(),
        |cluster| {
            thread::sleep(FREEZE_TIME);
            cluster.process("vm-1").thaw();
        },
    );
}

#[test]
fn caller_moved_from_a_partitioned_entry_vm() {
    check_resume(|cluster| partition(cluster, "vm-1"), |_| {});
}

/// Two callers resume the same generation through different entry VMs. The later one gets all
/// tokens, and the stream of the earlier one is truncated, but has no wrong token.
#[test]
fn the_last_of_two_callers_with_one_resume_token_gets_every_token() {
    let prompt = "a month of batch sheets #tokens=500";
    let cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", prompt).unwrap();
    let first = stream.read(TOKENS_BEFORE_FAULT);
    drop(stream);
    let completions = ["vm-1", "vm-2"]
        .map(|vm| {
            cluster
                .resume(vm, &first.resume_token, "alpha-key")
                .unwrap()
        })
        .map(|mut stream| {
            let mut completion = first.clone();
            append(&mut completion, stream.read_to_end());
            cluster.assert_prefix(&completion, &cluster.engine_of(&completion), prompt);
            completion
        });
    // The first entry VM learns that another caller has resumed the stream, and closes its own.
    assert_eq!(completions[1].outcome, Outcome::Complete("stop".into()));
    assert_eq!(completions[1].tokens.len(), 500);
    assert_eq!(completions[0].outcome, Outcome::Truncated);
}

/// A caller that disconnects and never resumes must not leave a long generation running.
#[test]
fn a_caller_that_is_gone_has_its_generation_cancelled() {
    let cluster = Setup::default().start();
    let mut stream = cluster
        .stream("vm-1", "a very long sheet #tokens=14000")
        .unwrap();
    let completion = stream.read(TOKENS_BEFORE_FAULT);
    let engine = cluster.engine_of(&completion);
    drop(stream);
    wait_until("the generation is cancelled", || {
        let response = cluster.get(&engine, "/test/cancelled").unwrap().json();
        response["cancelled"]
            .as_array()
            .is_some_and(|ids| !ids.is_empty())
    });
}
