//! Promise 6: a planned stop cuts nothing.
//!
//! Callers send long drafts, lookups and releases all the while, each to an entry VM that says it
//! is ready, as the platform's balancer does.

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

/// Answers of each kind that the load must have had before and after the stops.
const ROUND: u64 = 5;
/// The draft that is under way when a stop begins.
const HELD: &str = "a draft under way #tokens=100";

/// What one kind of caller does, again and again; the error says what went wrong.
type Work = fn(&Handle, &str, &str) -> Result<(), String>;

/// Callers that go on until they are told to end.
struct Load {
    ends: Arc<AtomicBool>,
    callers: Vec<(Arc<AtomicU64>, JoinHandle<Vec<String>>)>,
    handle: Handle,
}

impl Load {
    fn start(cluster: &Cluster) -> Self {
        Self::start_on(cluster, &cluster.vms())
    }

    /// Starts callers that the balancer sends to some of the entry VMs only.
    fn start_on(cluster: &Cluster, vms: &[String]) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let handle = cluster.handle.clone();
        let kinds: [(Work, usize); 3] = [(completion, 4), (lookup, 2), (release, 2)];
        let mut callers = Vec::new();
        for (work, count) in kinds {
            for _ in 0..count {
                let name = format!("caller-{}", callers.len());
                let (handle, vms, ends) = (handle.clone(), vms.to_vec(), Arc::clone(&ends));
                let done = Arc::new(AtomicU64::new(0));
                let counter = Arc::clone(&done);
                let caller =
                    thread::spawn(move || repeat(work, (&handle, &vms), &name, &ends, &counter));
                callers.push((done, caller));
            }
        }
        Self {
            ends,
            callers,
            handle,
        }
    }

    /// Waits until each caller has had a number of further answers.
    fn go_on(&self) {
        let counts = || {
            self.callers
                .iter()
                .map(|(done, _)| done.load(Ordering::SeqCst))
        };
        let before: Vec<_> = counts().collect();
        wait_until("every caller has had answers", || {
            counts()
                .zip(&before)
                .all(|(now, before)| now >= before + ROUND)
        });
    }

    /// Ends the load and expects that nothing went wrong and no release ran twice.
    fn end(self) {
        self.ends.store(true, Ordering::SeqCst);
        let mut faults = Vec::new();
        for (_, caller) in self.callers {
            faults.extend(caller.join().expect("the caller ended"));
        }
        assert!(faults.is_empty(), "{} cut: {faults:#?}", faults.len());
        for service in self.handle.services() {
            let runs = self.handle.get(&service, "/test/runs").unwrap().json();
            for (operation, count) in runs["runs"].as_object().unwrap() {
                assert_eq!(*count, 1, "{operation}");
            }
        }
    }
}

fn repeat(
    work: Work,
    (handle, vms): (&Handle, &[String]),
    name: &str,
    ends: &AtomicBool,
    done: &AtomicU64,
) -> Vec<String> {
    let mut faults = Vec::new();
    for (number, vm) in vms.iter().cycle().enumerate() {
        if ends.load(Ordering::SeqCst) {
            break;
        }
        if !handle.is_ready(vm) {
            continue;
        }
        let id = format!("{name}-{number}");
        if let Err(fault) = work(handle, vm, &id) {
            faults.push(format!("{id} by {vm}: {fault}"));
        }
        done.fetch_add(1, Ordering::SeqCst);
    }
    faults
}

fn completion(handle: &Handle, vm: &str, id: &str) -> Result<(), String> {
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
    let mut made = engines
        .iter()
        .map(|engine| handle.expected_tokens(engine, &prompt, 4).concat());
    if made.any(|made| text == made) {
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

/// A draft that is under way when a fault or a stop comes.
struct Held {
    stream: Stream,
    completion: Completion,
}

impl Held {
    fn open(handle: &Handle, vm: &str) -> Self {
        let mut stream = handle.stream(vm, HELD).unwrap();
        let completion = stream.read(5);
        Self { stream, completion }
    }

    fn finish(mut self, handle: &Handle) {
        let rest = self.stream.read_to_end();
        assert_eq!(rest.outcome, Outcome::Complete("stop".into()));
        let engine = handle.engine_of(&self.completion);
        self.completion.tokens.extend(rest.tokens);
        assert_eq!(self.completion.tokens.len(), 100);
        handle.assert_prefix(&self.completion, &engine, HELD);
    }
}

/// Stops entry VMs as planned, each with a draft under way, and expects that they end by
/// themselves; `trouble` comes once they have been told.
fn stop(cluster: &mut Cluster, vms: &[&str], trouble: fn(&Cluster)) {
    let held: Vec<_> = vms.iter().map(|vm| Held::open(cluster, vm)).collect();
    for vm in vms {
        cluster.process(vm).terminate();
    }
    trouble(cluster);
    for held in held {
        held.finish(cluster);
    }
    for vm in vms {
        wait_until(&format!("{vm} has ended"), || {
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

/// Checks a single stop under load.
fn check(vms: &[&str], trouble: fn(&Cluster)) {
    let mut cluster = three_vms();
    let load = Load::start(&cluster);
    load.go_on();
    stop(&mut cluster, vms, trouble);
    load.go_on();
    load.end();
}

#[test]
fn a_rolling_stop_of_the_entry_vms_cuts_nothing() {
    let mut cluster = three_vms();
    let load = Load::start(&cluster);
    load.go_on();
    for vm in cluster.vms() {
        stop(&mut cluster, &[&vm], |_| {});
        cluster.restart_vm(&vm);
    }
    load.go_on();
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

#[test]
fn a_stop_while_another_entry_vm_is_killed_cuts_nothing_on_the_others() {
    let mut cluster = three_vms();
    let others = ["vm-1", "vm-2"].map(str::to_owned);
    let load = Load::start_on(&cluster, &others);
    load.go_on();
    cluster.process("vm-3").kill();
    stop(&mut cluster, &["vm-1"], |_| {});
    load.go_on();
    load.end();
}

#[test]
fn a_stop_in_a_partition_cuts_nothing() {
    check(&["vm-1"], |cluster| {
        for order in ["block vm-1", "block vm-2 from vm-1", "block vm-3 from vm-1"] {
            cluster.proxy_command(order);
        }
    });
}

#[test]
fn a_stop_of_an_entry_vm_that_was_frozen_cuts_nothing() {
    check(&["vm-1"], |cluster| {
        let process = &cluster.processes["vm-1"];
        process.freeze();
        thread::sleep(Duration::from_secs(6));
        process.thaw();
    });
}

#[test]
fn a_rolling_stop_of_engines_cuts_nothing() {
    let setup = Setup {
        engines: 3,
        ..Setup::default()
    };
    let mut cluster = setup.start();
    let load = Load::start(&cluster);
    load.go_on();
    // One engine stays: those that come back are trusted again only after a while.
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
        load.go_on();
    }
    load.end();
}
