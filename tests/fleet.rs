//! Guarantees about the spread of configurations, departing targets and orders to engines, with
//! real processes behind the fault proxy.

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

/// Routes requests to every engine in turn, so that some are certain to reach a leaving one.
const ROUND_ROBIN: &str = "[routing]\npolicy = round_robin";
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

    /// Returns the configuration versions that a VM applied, in order.
    fn versions(&self, vm: &str) -> Vec<u64> {
        let log = self.log(vm);
        let lines = log
            .lines()
            .filter(|line| line.contains("\"message\":\"configuration in force\""));
        let versions = lines.filter_map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).ok()?;
            line["configuration_version"].as_u64()
        });
        versions.collect()
    }

    fn assert_versions_increase(&self) {
        for vm in self.vms() {
            assert!(
                self.versions(&vm).is_sorted(),
                "{vm}: {:?}",
                self.versions(&vm)
            );
        }
    }

    /// Waits until every VM lists as many members as there are other VMs in its data centre.
    fn wait_for_members(&self) {
        let vms = self.setup.vms;
        for vm in self.vms() {
            wait_until(&format!("{vm} knows its peers"), || {
                let response = self.get(&format!("{vm}/admin"), "/status");
                let members = response.map(|response| response.json()["members"].clone());
                let members = members.unwrap_or_default();
                members
                    .as_object()
                    .is_some_and(|members| members.len() == vms - 1)
            });
        }
    }

    /// Returns whether a VM logged that a target departs, with this cause.
    fn has_departure(&self, vm: &str, target: &str, cause: &str) -> bool {
        self.log(vm).lines().any(|line| {
            line.contains("\"event\":\"departure\"")
                && line.contains(&format!("\"departing\":\"{target}\""))
                && line.contains(&format!("\"cause\":\"{cause}\""))
        })
    }

    /// Publishes a version of the configuration in which the model has the same version number.
    fn publish_model(&self, version: u64) {
        let configuration = self.configuration_text(version, "");
        let model = format!("version = {version}\nweight");
        self.publish_text(
            version,
            &configuration.replace("version = 1\nweight", &model),
        );
    }

    /// Returns whether an engine's current order names only this version of the model, and the
    /// engine has loaded it.
    fn has_loaded(&self, engine: &str, version: u64) -> bool {
        let Ok(response) = self.get(engine, "/v1/orders") else {
            return false;
        };
        let (response, expected) = (response.json(), json!([format!("{MODEL}@{version}")]));
        response["models"] == expected && response["loaded"] == expected
    }

    /// Sends an order of an older version, as a VM does that was frozen while sending it, and
    /// returns the status.
    fn send_stale_order(&self, engine: &str, version: u64) -> u16 {
        let fence = place::Fence { version, term: 9 }.number();
        let models = [format!("{MODEL}@{version}")];
        let order = json!({"fence": fence, "models": models, "role": "serve"}).to_string();
        let address = self.addresses[engine];
        let response = client::fetch(address, &Method::POST, "/v1/orders", &[], &order);
        response.unwrap().status
    }

    /// Returns the fencing tokens of the orders that an engine accepted.
    fn fences(&self, engine: &str) -> Vec<u64> {
        let response = self.get(engine, "/test/orders").unwrap().json();
        let orders = response["orders"].as_array().cloned().unwrap_or_default();
        let accepted = orders.iter().filter(|order| order["accepted"] == true);
        accepted
            .filter_map(|order| order["order"]["fence"].as_u64())
            .collect()
    }

    /// Returns how many requests for the configuration all VMs have sent to the platform.
    fn configuration_calls(&self) -> u64 {
        let calls = self.get("platform", "/test/calls").unwrap().json();
        let vms = calls["calls"].as_object().cloned().unwrap_or_default();
        vms.values()
            .filter_map(|vm| vm["/v1/config"].as_u64())
            .sum()
    }
}

/// Every VM but one per data centre is cut off from the platform; the others must get each new
/// version from their peers.
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
    for (version, allowed) in [
        (2, ["vm-1", "vm-4"]),
        (3, ["vm-2", "vm-5"]),
        (4, ["vm-3", "vm-6"]),
    ] {
        for vm in cluster.vms() {
            let command = if allowed.contains(&&*vm) {
                "heal"
            } else {
                "block"
            };
            cluster.proxy_command(&format!("{command} platform/{vm}"));
        }
        cluster.publish(version, "");
        cluster.wait_for_version(&cluster.vms(), version);
    }
    cluster.assert_versions_increase();
}

/// One data centre can't reach the platform, and links lose 20 % of the datagrams; its VMs must get
/// the configuration from the other data centre.
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

/// A VM restarts while the platform serves an old version and one peer is frozen, and another one
/// while the platform is down. Both must get the newest version from their peers before they are
/// ready.
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

/// A VM sleeps through two publications and wakes up while the platform serves the older one.
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
    wait_until("vm-2 detects that it was paused", || {
        cluster.log("vm-2").contains("the process was paused")
    });
    cluster.assert_versions_increase();
}

/// A configuration with an error in one section must not be applied in part, and the next valid
/// version must still be applied.
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
    wait_until("a VM rejects the configuration", || {
        cluster.vms().iter().any(|vm| {
            let log = cluster.log(vm);
            log.contains("rejected an invalid configuration") && log.contains("key_sha256")
        })
    });
    cluster.wait_for_version(&cluster.vms(), 1);
    cluster.publish(3, "");
    cluster.wait_for_version(&cluster.vms(), 3);
    for vm in cluster.vms() {
        assert_eq!(cluster.versions(&vm), [1, 3]);
    }
}

/// Only a few VMs watch the platform; the rate of requests to it must not grow with the fleet.
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
    let (start, calls_before) = (Instant::now(), cluster.configuration_calls());
    thread::sleep(WINDOW);
    let calls = (cluster.configuration_calls() - calls_before) as f64;
    let watch_rate = fleet::spread::WATCHERS as f64 / fleet::spread::WATCH_TIMEOUT.as_secs_f64();
    let rate = watch_rate + fleet::spread::SAMPLE_RATE;
    let elapsed = start.elapsed().as_secs_f64();
    assert!(
        calls <= 2.0 * rate * elapsed,
        "{calls} calls in {elapsed} s"
    );
}

/// An engine refuses work because it leaves, while the platform's list does not show it yet. VMs
/// learn it from their peer, and don't use the engine again until a new process has taken its
/// place, even if its entry is removed from the configuration and added again.
#[test]
fn a_leaving_engine_gets_no_new_work_from_any_vm_while_the_list_lags() {
    let setup = Setup {
        vms: 3,
        engines: 2,
        settings: ROUND_ROBIN.into(),
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.wait_for_members();
    cluster.configure_fake("platform", "/test/mode", &json!({"list_lag_ms": 30_000}));
    cluster.set_behaviour("engine-1", &json!({"leaving": true, "unreported": true}));
    wait_until("engine-1 refuses a request of vm-1", || {
        let completion = cluster.stream("vm-1", PROMPT).unwrap().read_to_end();
        assert_eq!(completion.outcome, Outcome::Complete("stop".into()));
        cluster.has_departure("vm-1", "engine-1", "refused")
    });
    for vm in ["vm-2", "vm-3"] {
        wait_until(&format!("{vm} learns of the departure"), || {
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

/// New requests go to the other engine, and the open stream of the leaving one runs to its end.
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
        wait_until(&format!("{vm} learns of the departure"), || {
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

/// Peers learn of a graceful shutdown from the VM itself, not from missed heartbeats.
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
        wait_until(&format!("{vm} knows that vm-1 is leaving"), || {
            cluster.log(vm).lines().any(|line| {
                line.contains("\"member\":\"vm-1\"") && line.contains("\"state\":\"leaving\"")
            })
        });
    }
}

/// Sends a proxy command, `block` or `heal`, for all links of an entry VM to the platform and its
/// peers.
fn command_links(cluster: &Cluster, vm: &str, command: &str) {
    cluster.proxy_command(&format!("{command} platform/{vm}"));
    for peer in cluster.vms().iter().filter(|peer| **peer != vm) {
        cluster.proxy_command(&format!("{command} {peer} from {vm}"));
        cluster.proxy_command(&format!("{command} {vm} from {peer}"));
    }
}

/// Publishes while links are cut, silent or lossy, while a VM is down, and while the data centres
/// are partitioned. Every reachable VM must get the new version, and the others once the fault is
/// over.
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
    let (first, second) = (["vm-1", "vm-2", "vm-3"], ["vm-4", "vm-5", "vm-6"]);
    // Heals all links, then cuts off the platform from all VMs but the allowed ones.
    let allow_platform = |cluster: &Cluster, allowed: &[&str]| {
        cluster.proxy_command("heal *");
        for vm in cluster.vms().iter().filter(|vm| !allowed.contains(&&***vm)) {
            cluster.proxy_command(&format!("block platform/{vm}"));
        }
    };
    for (version, command) in [(2, "cut *"), (3, "silence *"), (4, "drop * 30")] {
        allow_platform(&cluster, &["vm-1", "vm-4"]);
        cluster.proxy_command(command);
        cluster.publish(version, "");
        cluster.wait_for_version(&cluster.vms(), version);
    }
    allow_platform(&cluster, &["vm-2", "vm-4"]);
    cluster.process("vm-1").kill();
    cluster.publish(5, "");
    cluster.wait_for_version(&cluster.vms()[1..], 5);
    cluster.start_vm("vm-1");
    cluster.wait_for_version(&cluster.vms(), 5);
    allow_platform(&cluster, &["vm-3"]);
    for (one, other) in first
        .iter()
        .flat_map(|one| second.map(|other| (one, other)))
    {
        cluster.proxy_command(&format!("block {one} from {other}"));
        cluster.proxy_command(&format!("block {other} from {one}"));
    }
    cluster.publish(6, "");
    cluster.wait_for_version(&first.map(str::to_owned), 6);
    for vm in second {
        assert!(cluster.is_ready(vm) && cluster.version(vm) == 5, "{vm}");
    }
    allow_platform(&cluster, &["vm-3"]);
    cluster.wait_for_version(&cluster.vms(), 6);
    cluster.assert_versions_increase();
}

/// The description of a fault and a function that injects it.
type NamedFault<'a> = (&'a str, &'a dyn Fn(&mut Cluster));

/// VMs must learn from a peer that an engine leaves, even if the platform or another VM has failed.
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
    let cut_off = |cluster: &mut Cluster| command_links(cluster, "vm-2", "block");
    let faults: [NamedFault<'_>; 5] = [
        ("the platform is down", &down),
        ("links are silent and lossy", &lossy),
        ("a VM is frozen", &frozen),
        ("a VM is killed", &killed),
        ("a VM is cut off from the others", &cut_off),
    ];
    for (name, fault) in faults {
        let setup = Setup {
            vms: 4,
            settings: ROUND_ROBIN.into(),
            ..Setup::default()
        };
        let mut cluster = setup.start();
        cluster.wait_for_members();
        fault(&mut cluster);
        cluster.set_behaviour("engine-1", &json!({"leaving": true, "unreported": true}));
        wait_until(
            &format!("engine-1 refuses a request of vm-1 while {name}"),
            || {
                let completion = cluster.stream("vm-1", PROMPT).unwrap().read_to_end();
                assert_eq!(
                    completion.outcome,
                    Outcome::Complete("stop".into()),
                    "{name}"
                );
                cluster.has_departure("vm-1", "engine-1", "refused")
            },
        );
        for vm in ["vm-3", "vm-4"] {
            wait_until(
                &format!("{vm} learns of the departure while {name}"),
                || cluster.has_departure(vm, "engine-1", "peer"),
            );
        }
    }
}

/// A fault of the VM that sends the orders to an engine.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Freeze,
    Kill,
    Partition,
}

impl Fault {
    fn inject(self, cluster: &mut Cluster, vm: &str) {
        match self {
            Self::Freeze => cluster.process(vm).freeze(),
            Self::Kill => cluster.process(vm).kill(),
            Self::Partition => command_links(cluster, vm, "block"),
        }
    }

    fn clear(self, cluster: &mut Cluster, vm: &str) {
        match self {
            Self::Freeze => cluster.process(vm).thaw(),
            Self::Kill => cluster.start_vm(vm),
            Self::Partition => command_links(cluster, vm, "heal"),
        }
    }
}

/// Checks that engines end up with the newest model version when the VM responsible for their
/// orders fails between two publications and then comes back.
///
/// A frozen VM may deliver an outdated order when it wakes. An engine that checks fencing rejects
/// it; one that ignores fencing takes it, and must get the newest order again.
fn check_newest_orders_win(fault: Fault, arguments: &[&str]) {
    let fast_loading = ["--weight", "1000", "--load-rate", "1000000"];
    let engine_arguments = fast_loading.iter().chain(arguments);
    let setup = Setup {
        vms: 3,
        engine_arguments: engine_arguments.map(|&it| it.to_owned()).collect(),
        ..Setup::default()
    };
    let mut cluster = setup.start();
    cluster.wait_for_members();
    let engines = cluster.engines();
    let wait_for_model = |cluster: &Cluster, version| {
        wait_until(
            &format!("all engines have loaded version {version}"),
            || {
                engines
                    .iter()
                    .all(|engine| cluster.has_loaded(engine, version))
            },
        );
    };
    cluster.publish_model(2);
    wait_for_model(&cluster, 2);
    let has_sent_order = |vm: &String| {
        let log = cluster.log(vm);
        log.lines()
            .any(|line| line.contains("\"engine\":\"engine-1\""))
    };
    let responsible = cluster.vms().into_iter().find(has_sent_order).unwrap();
    fault.inject(&mut cluster, &responsible);
    cluster.publish_model(3);
    wait_for_model(&cluster, 3);
    if fault == Fault::Partition {
        thread::sleep(place::placement::SETTLE_DELAY + place::placement::READ_INTERVAL * 2);
        wait_for_model(&cluster, 3);
    }
    fault.clear(&mut cluster, &responsible);
    let checks_fencing = arguments.is_empty();
    if fault == Fault::Freeze {
        assert_eq!(
            cluster.send_stale_order("engine-1", 2) == 409,
            checks_fencing
        );
    }
    cluster.wait_for_version(&cluster.vms(), 3);
    wait_for_model(&cluster, 3);
    let fences = cluster.fences("engine-1");
    let is_sorted = checks_fencing || fault != Fault::Freeze;
    assert_eq!(fences.is_sorted(), is_sorted, "{fences:?}");
    thread::sleep(place::placement::READ_INTERVAL * 2);
    assert_eq!(cluster.fences("engine-1"), fences, "orders keep changing");
    assert!(cluster.has_loaded("engine-1", 3));
}

/// The responsible VM is frozen; the engine rejects the outdated order.
#[test]
fn an_engine_that_checks_fencing_ends_with_the_newest_orders() {
    check_newest_orders_win(Fault::Freeze, &[]);
}

/// The responsible VM is frozen; the engine accepts the outdated order and is then corrected.
#[test]
fn an_engine_that_ignores_fencing_ends_with_the_newest_orders() {
    check_newest_orders_win(Fault::Freeze, &["--ignore-fencing"]);
}

#[test]
fn orders_go_on_when_the_responsible_vm_is_killed() {
    check_newest_orders_win(Fault::Kill, &["--ignore-fencing"]);
}

/// The responsible VM is partitioned before the next publication and must not keep sending orders
/// of the version that it still has.
#[test]
fn a_vm_that_is_cut_off_from_its_peers_does_not_order_an_older_state() {
    check_newest_orders_win(Fault::Partition, &["--ignore-fencing"]);
}
