//! A graceful shutdown interrupts no request.
//!
//! Callers continuously send streamed completions, short completions and non-idempotent calls, each
//! to an entry VM that reports that it is ready, as the platform's load balancer does.

mod support;

use {
    hyper::Method,
    serde_json::json,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
    support::{Cluster, Completion, Handle, Outcome, PLAIN_SERVICE, Setup, Stream, wait_until},
};

/// Requests that each caller must finish before and after the stops.
const REQUESTS: u64 = 5;
/// The prompt of the stream that is open when a stop begins.
const OPEN_PROMPT: &str = "a draft under way #tokens=100";

/// Sends one request through an entry VM under an id and checks the response.
type Request = fn(&Handle, &str, &str) -> Result<(), String>;

/// Callers that send requests until the load is ended.
struct Load {
    is_ending: Arc<AtomicBool>,
    /// The number of finished requests of each caller, and its thread, which returns the errors.
    callers: Vec<(Arc<AtomicU64>, JoinHandle<Vec<String>>)>,
    handle: Handle,
}

impl Load {
    fn start(cluster: &Cluster) -> Self {
        Self::start_on(cluster, &cluster.vms())
    }

    /// Starts callers that use only some of the entry VMs.
    fn start_on(cluster: &Cluster, vms: &[String]) -> Self {
        let is_ending = Arc::new(AtomicBool::new(false));
        let handle = cluster.handle.clone();
        let kinds: [(Request, usize); 3] = [(stream_completion, 4), (lookup, 2), (release, 2)];
        let mut callers = Vec::new();
        for (send, count) in kinds {
            for _ in 0..count {
                let name = format!("caller-{}", callers.len());
                let (handle, vms, is_ending) =
                    (handle.clone(), vms.to_vec(), Arc::clone(&is_ending));
                let finished = Arc::new(AtomicU64::new(0));
                let counter = Arc::clone(&finished);
                let caller = thread::spawn(move || {
                    repeat(send, (&handle, &vms), &name, &is_ending, &counter)
                });
                callers.push((finished, caller));
            }
        }
        Self {
            is_ending,
            callers,
            handle,
        }
    }

    /// Waits until each caller has finished [`REQUESTS`] more requests.
    fn wait_for_progress(&self) {
        let counts = || {
            self.callers
                .iter()
                .map(|(finished, _)| finished.load(Ordering::SeqCst))
        };
        let before: Vec<_> = counts().collect();
        wait_until("every caller has finished requests", || {
            counts()
                .zip(&before)
                .all(|(now, before)| now >= before + REQUESTS)
        });
    }

    /// Ends the load and asserts that no request failed and no operation ran twice.
    fn end(self) {
        self.is_ending.store(true, Ordering::SeqCst);
        let mut errors = Vec::new();
        for (_, caller) in self.callers {
            errors.extend(caller.join().expect("the caller does not panic"));
        }
        assert!(
            errors.is_empty(),
            "{} requests failed: {errors:#?}",
            errors.len()
        );
        for service in self.handle.services() {
            let runs = self.handle.get(&service, "/test/runs").unwrap().json();
            for (operation, count) in runs["runs"].as_object().unwrap() {
                assert_eq!(*count, 1, "{operation}");
            }
        }
    }
}

/// Sends requests to each ready VM in turn until the load ends, and returns the errors.
fn repeat(
    send: Request,
    (handle, vms): (&Handle, &[String]),
    name: &str,
    is_ending: &AtomicBool,
    finished: &AtomicU64,
) -> Vec<String> {
    let mut errors = Vec::new();
    for (number, vm) in vms.iter().cycle().enumerate() {
        if is_ending.load(Ordering::SeqCst) {
            break;
        }
        if !handle.is_ready(vm) {
            continue;
        }
        let id = format!("{name}-{number}");
        if let Err(error) = send(handle, vm, &id) {
            errors.push(format!("{id} by {vm}: {error}"));
        }
        finished.fetch_add(1, Ordering::SeqCst);
    }
    errors
}

fn stream_completion(handle: &Handle, vm: &str, id: &str) -> Result<(), String> {
    let prompt = format!("{id} #tokens=60");
    let mut stream = handle
        .stream(vm, &prompt)
        .map_err(|error| error.to_string())?;
    let completion = stream.read_to_end();
    if completion.outcome != Outcome::Complete("stop".into()) || completion.tokens.len() != 60 {
        let count = completion.tokens.len();
        return Err(format!(
            "{} after {count} tokens: {:?}",
            stream.status, completion.outcome
        ));
    }
    handle.assert_prefix(&completion, &handle.engine_of(&completion), &prompt);
    Ok(())
}

fn lookup(handle: &Handle, vm: &str, id: &str) -> Result<(), String> {
    let prompt = format!("{id} #lookup #tokens=4");
    let response = handle
        .complete(vm, &prompt)
        .map_err(|error| error.to_string())?;
    let text = response.json()["choices"][0]["text"].clone();
    let engines = handle.engines();
    let mut expected = engines
        .iter()
        .map(|engine| handle.expected_tokens(engine, &prompt, 4).concat());
    if expected.any(|expected| text == expected) {
        return Ok(());
    }
    Err(format!("{response:?}"))
}

fn release(handle: &Handle, vm: &str, id: &str) -> Result<(), String> {
    let path = format!("/{PLAIN_SERVICE}/release");
    let headers = [("x-operation", id)];
    let response = handle.call(vm, &Method::POST, &path, &headers, id);
    let response = response.map_err(|error| error.to_string())?;
    if response.status == 200 && response.json()["operation"] == id {
        return Ok(());
    }
    Err(format!("{response:?}"))
}

/// A stream that is open when a stop begins.
struct OpenStream {
    stream: Stream,
    completion: Completion,
}

impl OpenStream {
    fn start(handle: &Handle, vm: &str) -> Self {
        let mut stream = handle.stream(vm, OPEN_PROMPT).unwrap();
        let completion = stream.read(5);
        Self { stream, completion }
    }

    /// Reads the rest of the stream and asserts that the completion has every token.
    fn finish(mut self, handle: &Handle) {
        let rest = self.stream.read_to_end();
        assert_eq!(rest.outcome, Outcome::Complete("stop".into()));
        let engine = handle.engine_of(&self.completion);
        self.completion.tokens.extend(rest.tokens);
        assert_eq!(self.completion.tokens.len(), 100);
        handle.assert_prefix(&self.completion, &engine, OPEN_PROMPT);
    }
}

/// Shuts entry VMs down gracefully, each with an open stream, and asserts that they exit with
/// success; `inject` is called after the signals were sent.
fn stop(cluster: &mut Cluster, vms: &[&str], inject: fn(&Cluster)) {
    let streams: Vec<_> = vms
        .iter()
        .map(|vm| OpenStream::start(cluster, vm))
        .collect();
    for vm in vms {
        cluster.process(vm).terminate();
    }
    inject(cluster);
    for stream in streams {
        stream.finish(cluster);
    }
    for vm in vms {
        wait_until(&format!("{vm} has exited"), || {
            cluster.process(vm).exit_status().is_some()
        });
        let exit_status = cluster.process(vm).exit_status();
        assert!(
            exit_status.is_some_and(|status| status.success()),
            "{vm}: {exit_status:?}"
        );
    }
}

fn three_vms() -> Cluster {
    let setup = Setup {
        vms: 3,
        ..Setup::default()
    };
    setup.start()
}

/// Checks that a graceful shutdown under load interrupts no request while there is a fault.
fn check(vms: &[&str], inject: fn(&Cluster)) {
    let mut cluster = three_vms();
    let load = Load::start(&cluster);
    load.wait_for_progress();
    stop(&mut cluster, vms, inject);
    load.wait_for_progress();
    load.end();
}

#[test]
fn a_rolling_stop_of_the_entry_vms_cuts_nothing() {
    let mut cluster = three_vms();
    let load = Load::start(&cluster);
    load.wait_for_progress();
    for vm in cluster.vms() {
        stop(&mut cluster, &[&vm], |_| {});
        cluster.restart_vm(&vm);
    }
    load.wait_for_progress();
    load.end();
}

#[test]
fn a_stop_of_two_entry_vms_at_once_cuts_nothing() {
    check(&["vm-1", "vm-2"], |_| {});
}

#[test]
fn a_stop_while_the_platform_is_down_cuts_nothing() {
    check(&["vm-1"], |cluster| {
        cluster.configure_fake("platform", "/test/mode", &json!({"down": true}));
    });
}

#[test]
fn a_stop_while_the_platform_is_stale_cuts_nothing() {
    check(&["vm-1"], Cluster::make_platform_stale);
}

#[test]
fn a_stop_while_links_to_engines_are_silent_or_cut_cuts_nothing() {
    check(&["vm-1"], |cluster| {
        cluster.proxy_command("silence engine-1");
        cluster.proxy_command("cut engine-2");
    });
}

/// The VM that shuts down can't hand its records over to the one that was killed.
#[test]
fn a_stop_while_another_entry_vm_is_killed_cuts_nothing_on_the_others() {
    let mut cluster = three_vms();
    let others = ["vm-1", "vm-2"].map(str::to_owned);
    let load = Load::start_on(&cluster, &others);
    load.wait_for_progress();
    cluster.process("vm-3").kill();
    stop(&mut cluster, &["vm-1"], |_| {});
    load.wait_for_progress();
    load.end();
}

#[test]
fn a_stop_in_a_partition_cuts_nothing() {
    check(&["vm-1"], |cluster| {
        for command in ["block vm-1", "block vm-2 from vm-1", "block vm-3 from vm-1"] {
            cluster.proxy_command(command);
        }
    });
}

/// The VM is frozen for several seconds during its shutdown.
#[test]
fn a_stop_of_an_entry_vm_that_was_frozen_cuts_nothing() {
    check(&["vm-1"], |cluster| {
        let process = &cluster.processes["vm-1"];
        process.freeze();
        thread::sleep(Duration::from_secs(6));
        process.thaw();
    });
}

/// Engines leave, finish their requests, are killed and start again, one after the other.
#[test]
fn a_rolling_stop_of_engines_cuts_nothing() {
    let setup = Setup {
        engines: 3,
        ..Setup::default()
    };
    let mut cluster = setup.start();
    let load = Load::start(&cluster);
    load.wait_for_progress();
    // One engine keeps running: a restarted engine gets requests again only after a while.
    for engine in &cluster.engines()[1..] {
        cluster.set_behaviour(engine, &json!({"leaving": true}));
        wait_until(&format!("{engine} is idle"), || {
            let load = cluster.get(engine, "/v1/load").unwrap().json();
            load["running"] == 0
                && load["waiting"] == 0
                && cluster.proxy_command(&format!("open {engine}")) == "0"
        });
        cluster.process(engine).kill();
        cluster.start_fake("engine", engine);
        load.wait_for_progress();
    }
    load.end();
}
