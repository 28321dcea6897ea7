//! Promise 1: every token exactly once, in order, from one generation, whatever fails.
//!
//! Tokens are compared one by one with what the engine makes. Engines have different seeds, so a
//! splice of two generations shows as well.

mod support;

use {
    hyper::Method,
    serde_json::{Value, json},
    std::{thread, time::Duration},
    support::{Cluster, Completion, Outcome, Setup, wait_until},
};

/// Tokens of the draft that a fault meets.
const TOKENS: usize = 100;
const PROMPT: &str = "a batch sheet for bigos #tokens=100";
/// Tokens that reach the caller before a fault strikes.
const BEFORE: usize = 5;
/// A pause that is longer than any silence that the system overlooks.
const PAUSE: Duration = Duration::from_secs(6);

/// How a stream must end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// With every token.
    Whole,
    /// With an explicit error event after a part of them.
    Error,
    /// Without an end, as the entry VM is gone; another one goes on with it.
    Resumed,
}

/// Checks a stream that was struck after its first tokens.
fn check(strike: fn(&mut Cluster, &str), expected: Expected) {
    let mut cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    assert_eq!(stream.status, 200);
    let mut completion = stream.read(BEFORE);
    let engine = cluster.engine_of(&completion);
    strike(&mut cluster, &engine);
    join(&mut completion, stream.read_to_end());
    match expected {
        Expected::Whole => assert_whole(&cluster, &completion),
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
            join(&mut completion, resumed.read_to_end());
            assert_whole(&cluster, &completion);
        }
    }
    cluster.assert_prefix(&completion, &engine, PROMPT);
    assert_eq!(completion.generations.len(), 1);
}

/// Checks streams of engines that misbehave from the start until at least one has been struck: the
/// policy may leave an engine out of a round.
fn check_behaviour(engines: &[&str], behaviour: &Value) {
    let cluster = Setup::default().start();
    for engine in engines {
        cluster.set_behaviour(engine, behaviour);
    }
    let struck = |engine: &&str| {
        let response = cluster.get(engine, "/test/faults").unwrap().json();
        response["struck"]
            .as_object()
            .is_some_and(|struck| !struck.is_empty())
    };
    wait_until("a fault has struck", || {
        check_several(&cluster);
        engines.iter().any(struck)
    });
}

/// Reads several streams at once, so that every engine has one, and expects them whole.
fn check_several(cluster: &Cluster) {
    thread::scope(|scope| {
        for number in 0..4 {
            let vm = format!("vm-{}", number % 2 + 1);
            let prompt = format!("{PROMPT} number {number}");
            scope.spawn(move || {
                let completion = cluster.stream(&vm, &prompt).unwrap().read_to_end();
                assert_whole(cluster, &completion);
                cluster.assert_prefix(&completion, &cluster.engine_of(&completion), &prompt);
            });
        }
    });
}

fn assert_whole(cluster: &Cluster, completion: &Completion) {
    assert_eq!(
        completion.outcome,
        Outcome::Complete("stop".into()),
        "{}",
        cluster.log("vm-1")
    );
    assert_eq!(completion.tokens.len(), TOKENS);
    assert_eq!(completion.generations.len(), 1);
}

/// Appends what came later.
fn join(completion: &mut Completion, later: Completion) {
    completion.tokens.extend(later.tokens);
    for generation in later.generations {
        if !completion.generations.contains(&generation) {
            completion.generations.push(generation);
        }
    }
    if !later.resume_token.is_empty() {
        completion.resume_token = later.resume_token;
    }
    completion.outcome = later.outcome;
}

/// Cuts an entry VM off from the platform and from the other entry VM, both ways.
fn partition(cluster: &Cluster, vm: &str) {
    cluster.proxy_command(&format!("block platform/{vm}"));
    cluster.proxy_command(&format!("block {vm}"));
    for other in cluster.vms().iter().filter(|other| *other != vm) {
        cluster.proxy_command(&format!("block {other} from {vm}"));
    }
}

fn mode(cluster: &Cluster, mode: &Value) {
    cluster.configure_fake("platform", "/test/mode", mode);
}

macro_rules! streams {
    ($($name:ident: $expected:ident, $strike:expr;)*) => {$(
        #[test]
        fn $name() {
            check($strike, Expected::$expected);
        }
    )*};
}

streams! {
    engine_link_cut: Whole, |cluster, engine| {
        cluster.proxy_command(&format!("cut {engine}"));
    };
    engine_link_silent: Whole, |cluster, engine| {
        cluster.proxy_command(&format!("silence {engine}"));
    };
    engine_link_slow: Whole, |cluster, engine| {
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
    engine_frozen_for_a_moment: Whole, |cluster, engine| {
        cluster.process(engine).freeze();
        thread::sleep(Duration::from_millis(300));
        cluster.process(engine).thaw();
    };
    entry_vm_killed: Resumed, |cluster, _| {
        cluster.process("vm-1").kill();
    };
    entry_vm_frozen_and_late: Whole, |cluster, _| {
        cluster.process("vm-1").freeze();
        thread::sleep(PAUSE);
        cluster.process("vm-1").thaw();
    };
    entry_vm_stopped: Whole, |cluster, _| {
        cluster.process("vm-1").terminate();
    };
    other_entry_vm_killed: Whole, |cluster, _| {
        cluster.process("vm-2").kill();
    };
    platform_down: Whole, |cluster, _| {
        mode(cluster, &json!({"down": true}));
    };
    platform_silent: Whole, |cluster, _| {
        mode(cluster, &json!({"silent": true}));
    };
    platform_stale: Whole, |cluster, _| {
        cluster.make_platform_stale();
    };
    engine_leaves_the_configuration: Whole, |cluster, engine| {
        cluster.publish_without_target(2, engine);
    };
    entry_vm_partitioned: Whole, |cluster, _| {
        partition(cluster, "vm-1");
    };
    link_cut_and_entry_vm_killed: Resumed, |cluster, engine| {
        cluster.proxy_command(&format!("cut {engine}"));
        cluster.process("vm-1").kill();
    };
    link_silent_and_platform_down: Whole, |cluster, engine| {
        mode(cluster, &json!({"down": true}));
        cluster.proxy_command(&format!("silence {engine}"));
    };
    link_silent_and_entry_vm_frozen: Whole, |cluster, engine| {
        cluster.proxy_command(&format!("silence {engine}"));
        cluster.process("vm-1").freeze();
        thread::sleep(PAUSE);
        cluster.process("vm-1").thaw();
    };
    link_silent_twice: Whole, |cluster, engine| {
        cluster.proxy_command(&format!("silence {engine}"));
        wait_until("the stream has come back", || cluster.proxy_command(&format!("open {engine}")) != "0");
        thread::sleep(Duration::from_millis(1500));
        cluster.proxy_command(&format!("silence {engine}"));
    };
    engine_killed_in_a_partition: Error, |cluster, engine| {
        partition(cluster, "vm-1");
        cluster.process(engine).kill();
    };
    entry_vm_killed_and_platform_down: Resumed, |cluster, _| {
        mode(cluster, &json!({"down": true}));
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

const BOTH: [&str; 2] = ["engine-1", "engine-2"];

behaviours! {
    events_duplicated: BOTH, {"duplicate_every": 3};
    events_missing: BOTH, {"gap_every": 20};
    events_reordered: BOTH, {"reorder_every": 20};
    events_crossed: BOTH, {"cross_every": 20};
    connections_broken: BOTH, {"break_after": 30};
    connections_silent: BOTH, {"silent_after": 30, "times": 4};
    events_duplicated_missing_and_crossed: BOTH, {"duplicate_every": 2, "gap_every": 25, "cross_every": 15};
    connections_broken_before_the_first_token: ["engine-1"], {"break_after": 0};
    connections_silent_before_the_first_token: ["engine-1"], {"silent_after": 0};
}

/// Each data centre, cut off from the other and one of them from the platform, goes on serving.
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
                assert_whole(cluster, &completion);
                cluster.assert_prefix(&completion, &cluster.engine_of(&completion), &prompt);
                let headers = [("x-operation", vm)];
                let response = cluster.call(vm, &Method::POST, "/ledger/release", &headers, vm);
                assert_eq!(response.unwrap().status, 200);
                assert_eq!(cluster.run_count(vm), 1);
            });
        }
    });
}

#[test]
fn events_late() {
    let cluster = Setup::default().start();
    cluster.set_behaviour("engine-1", &json!({"late_ms": 60}));
    check_several(&cluster);
}

#[test]
fn engine_killed_before_the_first_token() {
    let mut cluster = Setup::default().start();
    cluster.set_behaviour("engine-1", &json!({"die_after": 0}));
    wait_until("engine-1 has died of a request", || {
        check_several(&cluster);
        cluster.process("engine-1").exit_status().is_some()
    });
}

#[test]
fn engine_killed_while_whole_answers_are_made() {
    let mut cluster = Setup::default().start();
    cluster.set_behaviour("engine-1", &json!({"die_after": 20}));
    wait_until("engine-1 has died of a request", || {
        ask_for_whole_answers(&cluster);
        cluster.process("engine-1").exit_status().is_some()
    });
}

/// Asks for several whole answers at once and expects each to be that of one engine.
fn ask_for_whole_answers(cluster: &Cluster) {
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
                let mut made = engines
                    .iter()
                    .map(|name| cluster.expected_tokens(name, &prompt, u32::MAX).concat());
                assert!(made.any(|made| made == text));
            });
        }
    });
}

#[test]
fn a_preempted_draft_loses_no_token() {
    let setup = Setup {
        engines: 1,
        engine_arguments: ["--memory", "160"].map(str::to_owned).to_vec(),
        ..Setup::default()
    };
    let cluster = setup.start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    let mut completion = stream.read(BEFORE);
    // Somebody else's request of a higher priority takes the memory for a while.
    let headers = [("x-request-id", "somebody-else"), ("x-priority", "9")];
    let prompt = json!({"prompt": "#tokens=140"}).to_string();
    let (address, path) = (cluster.addresses["engine-1"], "/v1/completions");
    let other = support::client::fetch(address, &Method::POST, path, &headers, &prompt);
    assert_eq!(other.unwrap().status, 200);
    join(&mut completion, stream.read_to_end());
    assert_whole(&cluster, &completion);
    cluster.assert_prefix(&completion, "engine-1", PROMPT);
    let runs = cluster.get("engine-1", "/test/runs").unwrap().json();
    assert!(runs["preemptions"].as_u64() > Some(0));
}

#[test]
fn a_resume_token_of_another_customer_is_refused() {
    let cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", PROMPT).unwrap();
    let completion = stream.read(BEFORE);
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

/// Tokens that take longer than the grace for a caller that is gone.
const LONG: &str = "a year of batch sheets #tokens=1500";

/// A caller goes on through the second entry VM while the first is in trouble.
fn check_moved(trouble: fn(&mut Cluster), relief: fn(&mut Cluster)) {
    let mut cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", LONG).unwrap();
    let mut completion = stream.read(BEFORE);
    trouble(&mut cluster);
    drop(stream);
    let mut resumed = cluster
        .resume("vm-2", &completion.resume_token, "alpha-key")
        .unwrap();
    join(&mut completion, resumed.read(BEFORE));
    relief(&mut cluster);
    join(&mut completion, resumed.read_to_end());
    assert_eq!(completion.outcome, Outcome::Complete("stop".into()));
    assert_eq!(completion.tokens.len(), 1500);
    cluster.assert_prefix(&completion, &cluster.engine_of(&completion), LONG);
}

#[test]
fn caller_moved_from_a_live_entry_vm() {
    check_moved(|_| {}, |_| {});
}

#[test]
fn caller_moved_from_a_frozen_entry_vm_that_wakes_late() {
    check_moved(
        |cluster| cluster.process("vm-1").freeze(),
        |cluster| {
            thread::sleep(PAUSE);
            cluster.process("vm-1").thaw();
        },
    );
}

#[test]
fn caller_moved_from_a_partitioned_entry_vm() {
    check_moved(|cluster| partition(cluster, "vm-1"), |_| {});
}

#[test]
fn the_last_of_two_callers_with_one_resume_token_gets_every_token() {
    let prompt = "a month of batch sheets #tokens=500";
    let cluster = Setup::default().start();
    let mut stream = cluster.stream("vm-1", prompt).unwrap();
    let begun = stream.read(BEFORE);
    drop(stream);
    let completions = ["vm-1", "vm-2"]
        .map(|vm| {
            cluster
                .resume(vm, &begun.resume_token, "alpha-key")
                .unwrap()
        })
        .map(|mut stream| {
            let mut completion = begun.clone();
            join(&mut completion, stream.read_to_end());
            cluster.assert_prefix(&completion, &cluster.engine_of(&completion), prompt);
            completion
        });
    // The entry VM of the first is told that its caller has moved on, and closes it.
    assert_eq!(completions[1].outcome, Outcome::Complete("stop".into()));
    assert_eq!(completions[1].tokens.len(), 500);
    assert_eq!(completions[0].outcome, Outcome::Truncated);
}

#[test]
fn a_caller_that_is_gone_has_its_generation_cancelled() {
    let cluster = Setup::default().start();
    let mut stream = cluster
        .stream("vm-1", "a very long sheet #tokens=14000")
        .unwrap();
    let completion = stream.read(BEFORE);
    let engine = cluster.engine_of(&completion);
    drop(stream);
    wait_until("the generation is cancelled", || {
        let response = cluster.get(&engine, "/test/cancelled").unwrap().json();
        response["cancelled"]
            .as_array()
            .is_some_and(|ids| !ids.is_empty())
    });
}
