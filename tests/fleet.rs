//! Promises about configurations and leaving VMs, with real processes behind the fault proxy.

mod support;

use {
    hyper::Method,
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{Cluster, MODEL, Outcome, Setup, client, wait_until},
};

/// Sends each VM's requests to every engine in turn, so that a leaving one is met for certain.
const IN_TURN: &str = "[routing]\npolicy = round_robin";
const PROMPT: &str = "a sheet for forty trays of pierogi #tokens=8";

impl Cluster {
    fn version(&self, vm: &str) -> u64 {
        let response = self.get(&format!("{vm}/admin"), "/status");
        response.map_or(0, |response| {
            response.json()["configuration_version"]
                .as_u64()
                .unwrap_or(0)
        })
    }

    fn wait_for_version(&self, vms: &[String], version: u64) {
        for vm in vms {
            wait_until(&format!("{vm} has version {version}"), || {
                self.version(vm) >= version
            });
            assert_eq!(self.version(vm), version);
        }
    }

    /// Returns the versions that a VM brought into force, in order.
    fn versions(&self, vm: &str) -> Vec<u64> {
        let log = self.log(vm);
        let lines = log
            .lines()
            .filter(|line| line.contains("\"message\":\"in force\""));
        let versions = lines.filter_map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).ok()?;
            line["configuration_version"].as_u64()
        });
        versions.collect()
    }

    fn assert_versions_rise(&self) {
        for vm in self.vms() {
            assert!(
                self.versions(&vm).is_sorted(),
                "{vm}: {:?}",
                self.versions(&vm)
            );
        }
    }

    /// Waits until every VM has heard from every other one of its data centre.
    fn wait_for_members(&self) {
        let each = self.setup.vms;
        for vm in self.vms() {
            wait_until(&format!("{vm} knows its peers"), || {
                let response = self.get(&format!("{vm}/admin"), "/status");
                let members = response.map(|response| response.json()["members"].clone());
                let members = members.unwrap_or_default();
                members
                    .as_object()
                    .is_some_and(|members| members.len() == each - 1)
            });
        }
    }

    fn has_departure(&self, vm: &str, target: &str, cause: &str) -> bool {
        self.log(vm).lines().any(|line| {
            line.contains("\"event\":\"departure\"")
                && line.contains(&format!("\"departing\":\"{target}\""))
                && line.contains(&format!("\"cause\":\"{cause}\""))
        })
    }

    /// Publishes a version in which the model has the same version.
    fn publish_model(&self, version: u64) {
        let value = self.configuration_text(version, "");
        let model = format!("version = {version}\nweight");
        self.publish_text(version, &value.replace("version = 1\nweight", &model));
    }

    /// Returns whether an engine was ordered to hold a version of the model, and has loaded it.
    fn holds(&self, engine: &str, version: u64) -> bool {
        let Ok(response) = self.get(engine, "/v1/orders") else {
            return false;
        };
        let (response, wanted) = (response.json(), json!([format!("{MODEL}@{version}")]));
        response["models"] == wanted && response["loaded"] == wanted
    }

    /// Sends an order of an older version, as a process would that was frozen while it sent it.
    fn order_engine(&self, engine: &str, version: u64) -> u16 {
        let fence = place::Fence { version, term: 9 }.number();
        let models = [format!("{MODEL}@{version}")];
        let order = json!({"fence": fence, "models": models, "role": "serve"}).to_string();
        let address = self.addresses[engine];
        let response = client::fetch(address, &Method::POST, "/v1/orders", &[], &order);
        response.unwrap().status
    }

    /// Returns the fencing numbers of the orders that an engine took.
    fn fences(&self, engine: &str) -> Vec<u64> {
        let response = self.get(engine, "/test/orders").unwrap().json();
        let orders = response["orders"].as_array().cloned().unwrap_or_default();
        let accepted = orders.iter().filter(|order| order["accepted"] == true);
        accepted
            .filter_map(|order| order["order"]["fence"].as_u64())
            .collect()
    }

    fn configuration_calls(&self) -> u64 {
        let calls = self.get("platform", "/test/calls").unwrap().json();
        let vms = calls["calls"].as_object().cloned().unwrap_or_default();
        vms.values()
            .filter_map(|vm| vm["/v1/config"].as_u64())
            .sum()
    }
}

#[test]
fn a_configuration_spreads_though_the_platform_answers_one_vm_of_each_data_centre() {
    let setup = Setup {
        data_centres: 2,
        vms: 3,
        engines: 1,
        ..Setup::default()
    };
    let cluster = setup.start();
    cluster.wait_for_members();
    for (version, answered) in [
        (2, ["vm-1", "vm-4"]),
        (3, ["vm-2", "vm-5"]),
        (4, ["vm-3", "vm-6"]),
    ] {
        for vm in cluster.vms() {
            let order = if answered.contains(&&*vm) {
                "heal"
            } else {
                "block"
            };
            cluster.proxy_command(&format!("{order} platform/{vm}"));
        }
        cluster.publish(version, "");
        cluster.wait_for_version(&cluster.vms(), version);
    }
    cluster.assert_versions_rise();
}

#[test]
fn a_configuration_crosses_to_a_data_centre_without_the_platform_under_loss() {
    let setup = Setup {
        data_centres: 2,
        vms: 2,
        engines: 1,
        ..Setup::default()
    };
    let cluster = setup.start();
    for vm in ["vm-3", "vm-4"] {
        cluster.proxy_command(&format!("block platform/{vm}"));
    }
    for vm in cluster.vms() {
        cluster.proxy_command(&format!("drop {vm} 20"));
    }
    cluster.publish(2, "");
    cluster.wait_for_version(&cluster.vms(), 2);
}

#[test]
fn a_replaced_vm_takes_the_newest_from_its_peers_while_the_platform_is_stale() {
    let setup = Setup {
        vms: 4,
        engines: 1,
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.publish(2, "");
    cluster.publish(3, "");
    cluster.wait_for_version(&cluster.vms(), 3);
    cluster.configure_fake("platform", "/test/mode", &json!({"stale": 1}));
    cluster.process("vm-2").kill();
    cluster.process("vm-3").freeze();
    for peer in ["vm-1", "vm-4"] {
        cluster.proxy_command(&format!("delay {peer} 200"));
    }
    cluster.start_vm("vm-2");
    wait_until("vm-2 is ready", || cluster.is_ready("vm-2"));
    assert_eq!(cluster.version("vm-2"), 3);
    cluster.process("vm-3").thaw();
    cluster.configure_fake("platform", "/test/mode", &json!({"down": true}));
    cluster.process("vm-1").kill();
    cluster.start_vm("vm-1");
    wait_until("vm-1 is ready", || cluster.is_ready("vm-1"));
    cluster.wait_for_version(&cluster.vms(), 3);
}

#[test]
fn a_process_that_was_frozen_during_a_publication_catches_up_and_never_goes_back() {
    let setup = Setup {
        vms: 3,
        engines: 1,
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.wait_for_members();
    cluster.process("vm-2").freeze();
    let others = ["vm-1".to_owned(), "vm-3".to_owned()];
    cluster.publish(2, "");
    cluster.wait_for_version(&others, 2);
    cluster.publish(3, "");
    cluster.wait_for_version(&others, 3);
    cluster.configure_fake("platform", "/test/mode", &json!({"stale": 2}));
    thread::sleep(fleet::membership::PAUSE_THRESHOLD * 2);
    cluster.process("vm-2").thaw();
    cluster.wait_for_version(&cluster.vms(), 3);
    wait_until("vm-2 notices its pause", || {
        cluster.log("vm-2").contains("the process was paused")
    });
    cluster.assert_versions_rise();
}

#[test]
fn a_faulty_configuration_is_refused_as_a_whole_with_the_reason() {
    let cluster = Setup {
        vms: 3,
        engines: 1,
        ..Setup::default()
    }
    .start();
    let sections = "[customer gamma]\nkey_sha256 = 12\n[data_centre dc-9]\nregion = region-1\n";
    cluster.publish(2, sections);
    wait_until("a VM refuses it", || {
        cluster.vms().iter().any(|vm| {
            let log = cluster.log(vm);
            log.contains("refused as a whole") && log.contains("key_sha256")
        })
    });
    cluster.wait_for_version(&cluster.vms(), 1);
    cluster.publish(3, "");
    cluster.wait_for_version(&cluster.vms(), 3);
    for vm in cluster.vms() {
        assert_eq!(cluster.versions(&vm), [1, 3]);
    }
}

#[test]
fn calls_to_the_platform_do_not_come_from_every_vm() {
    const WINDOW: Duration = Duration::from_secs(20);
    let cluster = Setup {
        vms: 8,
        engines: 1,
        ..Setup::default()
    }
    .start();
    cluster.wait_for_members();
    let (start, before) = (Instant::now(), cluster.configuration_calls());
    thread::sleep(WINDOW);
    let calls = (cluster.configuration_calls() - before) as f64;
    let watched = fleet::spread::WATCHERS as f64 / fleet::spread::WATCH_TIMEOUT.as_secs_f64();
    let rate = watched + fleet::spread::SAMPLE_RATE;
    let elapsed = start.elapsed().as_secs_f64();
    assert!(
        calls <= 2.0 * rate * elapsed,
        "{calls} calls in {elapsed} s"
    );
}

#[test]
fn a_leaving_engine_gets_no_new_work_from_any_vm_while_the_list_lags() {
    let setup = Setup {
        vms: 3,
        engines: 2,
        settings: IN_TURN.into(),
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.wait_for_members();
    cluster.configure_fake("platform", "/test/mode", &json!({"list_lag_ms": 30_000}));
    cluster.set_behaviour("engine-1", &json!({"leaving": true, "unreported": true}));
    wait_until("vm-1 is refused", || {
        let completion = cluster.stream("vm-1", PROMPT).unwrap().read_to_end();
        assert_eq!(completion.outcome, Outcome::Complete("stop".into()));
        cluster.has_departure("vm-1", "engine-1", "refused")
    });
    for vm in ["vm-2", "vm-3"] {
        wait_until("the others are told", || {
            cluster.has_departure(vm, "engine-1", "peer")
        });
    }
    cluster.set_behaviour("engine-1", &json!({}));
    cluster.publish_without_target(2, "engine-1");
    cluster.wait_for_version(&cluster.vms(), 2);
    cluster.publish(3, "");
    cluster.wait_for_version(&cluster.vms(), 3);
    for _ in 0..8 {
        for vm in cluster.vms() {
            let completion = cluster.stream(&vm, PROMPT).unwrap().read_to_end();
            assert_eq!(cluster.engine_of(&completion), "engine-2");
        }
    }
    cluster.process("engine-1").kill();
    cluster.start_fake("engine", "engine-1");
    for vm in cluster.vms() {
        wait_until(&format!("{vm} uses the new process"), || {
            let completion = cluster.stream(&vm, PROMPT).unwrap().read_to_end();
            cluster.engine_of(&completion) == "engine-1"
        });
    }
}

#[test]
fn a_target_that_the_list_names_as_leaving_gets_no_new_work_and_its_stream_is_not_cut() {
    let setup = Setup {
        vms: 3,
        engines: 2,
        ..Setup::default()
    };
    let cluster = setup.start();
    cluster.wait_for_members();
    let mut stream = cluster.stream("vm-1", "a long sheet #tokens=120").unwrap();
    let first = stream.read(1);
    let engine = cluster.engine_of(&first);
    let other = cluster
        .engines()
        .into_iter()
        .find(|name| *name != engine)
        .unwrap();
    let list = json!({"vms": [
        {"name": engine, "state": "leaving"},
        {"name": other, "state": "live"},
    ]});
    cluster.configure_fake("platform", "/test/vms", &list);
    for vm in cluster.vms() {
        wait_until(&format!("{vm} learns it"), || {
            cluster.has_departure(&vm, &engine, "listed_leaving")
                || cluster.has_departure(&vm, &engine, "peer")
        });
    }
    for vm in cluster.vms() {
        let completion = cluster.stream(&vm, PROMPT).unwrap().read_to_end();
        assert_eq!(cluster.engine_of(&completion), other);
    }
    assert_eq!(
        stream.read_to_end().outcome,
        Outcome::Complete("stop".into())
    );
}

#[test]
fn a_planned_stop_is_told_to_the_peers() {
    let setup = Setup {
        vms: 3,
        engines: 1,
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.wait_for_members();
    cluster.process("vm-1").terminate();
    for vm in ["vm-2", "vm-3"] {
        wait_until("the peers are told", || {
            cluster.log(vm).lines().any(|line| {
                line.contains("\"member\":\"vm-1\"") && line.contains("\"state\":\"leaving\"")
            })
        });
    }
}

/// Keeps an entry VM and the platform and its peers from each other, or ends that.
fn isolate(cluster: &Cluster, vm: &str, verb: &str) {
    cluster.proxy_command(&format!("{verb} platform/{vm}"));
    for peer in cluster.vms().iter().filter(|peer| **peer != vm) {
        cluster.proxy_command(&format!("{verb} {peer} from {vm}"));
        cluster.proxy_command(&format!("{verb} {vm} from {peer}"));
    }
}

#[test]
fn a_publication_spreads_whatever_fails_meanwhile() {
    let setup = Setup {
        data_centres: 2,
        vms: 3,
        engines: 1,
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.wait_for_members();
    let (near, far) = (["vm-1", "vm-2", "vm-3"], ["vm-4", "vm-5", "vm-6"]);
    let answer_only = |cluster: &Cluster, answered: &[&str]| {
        cluster.proxy_command("heal *");
        for vm in cluster
            .vms()
            .iter()
            .filter(|vm| !answered.contains(&&***vm))
        {
            cluster.proxy_command(&format!("block platform/{vm}"));
        }
    };
    for (version, order) in [(2, "cut *"), (3, "silence *"), (4, "drop * 30")] {
        answer_only(&cluster, &["vm-1", "vm-4"]);
        cluster.proxy_command(order);
        cluster.publish(version, "");
        cluster.wait_for_version(&cluster.vms(), version);
    }
    answer_only(&cluster, &["vm-2", "vm-4"]);
    cluster.process("vm-1").kill();
    cluster.publish(5, "");
    cluster.wait_for_version(&cluster.vms()[1..], 5);
    cluster.start_vm("vm-1");
    cluster.wait_for_version(&cluster.vms(), 5);
    answer_only(&cluster, &["vm-3"]);
    for (one, other) in near.iter().flat_map(|one| far.map(|other| (one, other))) {
        cluster.proxy_command(&format!("block {one} from {other}"));
        cluster.proxy_command(&format!("block {other} from {one}"));
    }
    cluster.publish(6, "");
    cluster.wait_for_version(&near.map(str::to_owned), 6);
    for vm in far {
        assert!(cluster.is_ready(vm) && cluster.version(vm) == 5, "{vm}");
    }
    answer_only(&cluster, &["vm-3"]);
    cluster.wait_for_version(&cluster.vms(), 6);
    cluster.assert_versions_rise();
}

/// A fault and how it is brought about.
type Named<'a> = (&'a str, &'a dyn Fn(&mut Cluster));

#[test]
fn a_leaving_engine_becomes_known_whatever_fails_meanwhile() {
    let down = |cluster: &mut Cluster| {
        cluster.configure_fake("platform", "/test/mode", &json!({"down": true}));
    };
    let lossy = |cluster: &mut Cluster| {
        cluster.proxy_command("silence *");
        cluster.proxy_command("drop * 30");
    };
    let frozen = |cluster: &mut Cluster| cluster.process("vm-2").freeze();
    let killed = |cluster: &mut Cluster| cluster.process("vm-2").kill();
    let cut_off = |cluster: &mut Cluster| isolate(cluster, "vm-2", "block");
    let faults: [Named<'_>; 5] = [
        ("the platform is down", &down),
        ("links are silent and lossy", &lossy),
        ("a VM is frozen", &frozen),
        ("a VM is killed", &killed),
        ("a VM is cut off from the others", &cut_off),
    ];
    for (name, fault) in faults {
        let setup = Setup {
            vms: 4,
            settings: IN_TURN.into(),
            ..Setup::default()
        };
        let mut cluster = setup.start();
        cluster.wait_for_members();
        fault(&mut cluster);
        cluster.set_behaviour("engine-1", &json!({"leaving": true, "unreported": true}));
        wait_until(&format!("vm-1 is refused while {name}"), || {
            let completion = cluster.stream("vm-1", PROMPT).unwrap().read_to_end();
            assert_eq!(
                completion.outcome,
                Outcome::Complete("stop".into()),
                "{name}"
            );
            cluster.has_departure("vm-1", "engine-1", "refused")
        });
        for vm in ["vm-3", "vm-4"] {
            wait_until(&format!("{vm} is told while {name}"), || {
                cluster.has_departure(vm, "engine-1", "peer")
            });
        }
    }
}

/// What happens to the VM that orders for an engine.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Freeze,
    Kill,
    Partition,
}

impl Fault {
    fn strike(self, cluster: &mut Cluster, vm: &str) {
        match self {
            Self::Freeze => cluster.process(vm).freeze(),
            Self::Kill => cluster.process(vm).kill(),
            Self::Partition => isolate(cluster, vm, "block"),
        }
    }

    fn end(self, cluster: &mut Cluster, vm: &str) {
        match self {
            Self::Freeze => cluster.process(vm).thaw(),
            Self::Kill => cluster.start_vm(vm),
            Self::Partition => isolate(cluster, vm, "heal"),
        }
    }
}

fn newest_orders_win(fault: Fault, arguments: &[&str]) {
    let quick = ["--weight", "1000", "--load-rate", "1000000"];
    let arguments_of_all = quick.iter().chain(arguments);
    let setup = Setup {
        vms: 3,
        engine_arguments: arguments_of_all.map(|&it| it.to_owned()).collect(),
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.wait_for_members();
    let engines = cluster.engines();
    let all_hold = |cluster: &Cluster, version| {
        wait_until(&format!("the engines hold version {version}"), || {
            engines.iter().all(|engine| cluster.holds(engine, version))
        });
    };
    cluster.publish_model(2);
    all_hold(&cluster, 2);
    let ordered = |vm: &String| {
        let log = cluster.log(vm);
        log.lines()
            .any(|line| line.contains("\"engine\":\"engine-1\""))
    };
    let responsible = cluster.vms().into_iter().find(ordered).unwrap();
    fault.strike(&mut cluster, &responsible);
    cluster.publish_model(3);
    all_hold(&cluster, 3);
    if fault == Fault::Partition {
        thread::sleep(place::placement::SETTLE_DELAY + place::placement::READ_INTERVAL * 2);
        all_hold(&cluster, 3);
    }
    fault.end(&mut cluster, &responsible);
    let is_checked = arguments.is_empty();
    if fault == Fault::Freeze {
        assert_eq!(cluster.order_engine("engine-1", 2) == 409, is_checked);
    }
    cluster.wait_for_version(&cluster.vms(), 3);
    all_hold(&cluster, 3);
    let fences = cluster.fences("engine-1");
    let is_sorted = is_checked || fault != Fault::Freeze;
    assert_eq!(fences.is_sorted(), is_sorted, "{fences:?}");
    thread::sleep(place::placement::READ_INTERVAL * 2);
    assert_eq!(cluster.fences("engine-1"), fences, "the orders alternate");
    assert!(cluster.holds("engine-1", 3));
}

#[test]
fn an_engine_that_checks_fencing_ends_with_the_newest_orders() {
    newest_orders_win(Fault::Freeze, &[]);
}

#[test]
fn an_engine_that_ignores_fencing_ends_with_the_newest_orders() {
    newest_orders_win(Fault::Freeze, &["--ignore-fencing"]);
}

#[test]
fn orders_go_on_when_the_responsible_vm_is_killed() {
    newest_orders_win(Fault::Kill, &["--ignore-fencing"]);
}

#[test]
fn a_vm_that_is_cut_off_from_its_peers_does_not_order_an_older_state() {
    newest_orders_win(Fault::Partition, &["--ignore-fencing"]);
}
