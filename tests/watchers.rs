//! The gateways that watch the store on behalf of all are lost at the same time.
//!
//! They are chosen by what the store has seen of them. The others are never disturbed and reach the
//! store, so the bounds hold for them.

mod support;

use {
    hyper::{Method, StatusCode},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{
        site::{SAFE_PATH, Site, UNSAFE_PATH, is_ready, read_to_end, send},
        wait_until,
    },
};

/// Time within which a new configuration must be in force, and a target that has left be excluded.
const BOUND: Duration = Duration::from_secs(2);
/// Time for which the gateways are observed after that.
const OBSERVED: Duration = Duration::from_secs(2);
const GATEWAYS: usize = 9;
/// Key of the target that leaves.
const REMOVED_KEY: &str = "servers/s-0";
/// A key that a later version of the configuration withdraws.
const WITHDRAWN_KEY: (&str, &str) = ("authorization", "Token key-withdrawn");

/// A site in three data centres, with the gateways that watch the store and the others.
struct Watched {
    site: Site,
    watchers: Vec<usize>,
    others: Vec<usize>,
}

impl Watched {
    fn start() -> Self {
        let mut site = Site::new();
        site.data_centres = vec!["dc-1", "dc-2", "dc-3"];
        site.has_callers = true;
        site.publish(1, |document| {
            document["Tenants"][0]["ApiKeys"] = json!(["key-of-alpha", "key-withdrawn"]);
        });
        site.add_services(3);
        let store = site.store.address;
        site.start_gateways(GATEWAYS, store);
        for gateway in &site.gateways {
            wait_until("a gateway is ready", || is_ready(gateway));
        }
        site.wait_for_peers();
        let watchers = site.wait_for_watchers();
        let others: Vec<_> = (0..GATEWAYS)
            .filter(|gateway| !watchers.contains(gateway))
            .collect();
        assert!(!others.is_empty(), "some gateways don't watch");
        Self {
            site,
            watchers,
            others,
        }
    }

    /// Withdraws the key; the others must refuse it from the end of the bound on.
    fn assert_key_is_withdrawn_in_time(&self) {
        self.site.publish(2, |_| {});
        let acknowledged = Instant::now();
        thread::sleep(BOUND);
        while acknowledged.elapsed() < BOUND + OBSERVED {
            for &gateway in &self.others {
                let sent = acknowledged.elapsed().as_millis();
                let address = self.site.gateways[gateway].clients;
                let response = send(address, &Method::GET, SAFE_PATH, &[WITHDRAWN_KEY]);
                let status = response.expect("the gateway responds").status;
                assert_eq!(
                    status,
                    StatusCode::UNAUTHORIZED,
                    "gateway {gateway}, {sent} ms after the version was acknowledged"
                );
            }
        }
    }

    /// Removes a target without notice; the others must exclude it from the end of the bound on.
    fn assert_target_is_excluded_in_time(&self) {
        self.site.store.remove(REMOVED_KEY);
        self.assert_target_is_excluded(Instant::now());
    }

    /// Checks that the others exclude the target from the end of the bound on.
    fn assert_target_is_excluded(&self, acknowledged: Instant) {
        thread::sleep(BOUND.saturating_sub(acknowledged.elapsed()));
        while acknowledged.elapsed() < BOUND + OBSERVED {
            for &gateway in &self.others {
                let attempt = format!("late-{gateway}-{}", acknowledged.elapsed().as_millis());
                let headers = [("x-attempt-id", &*attempt)];
                let address = self.site.gateways[gateway].clients;
                let response = send(address, &Method::POST, UNSAFE_PATH, &headers);
                read_to_end(response.expect("the gateway responds"));
            }
        }
        let received = self.site.services[0].received();
        let late = received.iter().map(|request| &*request.attempt);
        let late: Vec<_> = late
            .filter(|attempt| attempt.starts_with("late-"))
            .collect();
        assert!(
            late.is_empty(),
            "requests to a target that has left: {late:?}"
        );
    }

    fn kill_watchers(&mut self) {
        for &gateway in &self.watchers {
            self.site.gateways[gateway].process.kill();
        }
    }

    fn freeze_watchers(&self) {
        for &gateway in &self.watchers {
            self.site.gateways[gateway].process.freeze();
        }
    }
}

/// A silent peer counts as alive for longer than a version may take.
#[test]
fn a_version_is_in_force_in_time_though_all_watchers_are_killed() {
    let mut watched = Watched::start();
    watched.kill_watchers();
    thread::sleep(Duration::from_millis(50));
    watched.assert_key_is_withdrawn_in_time();
}

/// The version is read by a watcher that fails before it has passed it on.
#[test]
fn a_version_is_in_force_in_time_though_all_watchers_stand_still() {
    let watched = Watched::start();
    watched.freeze_watchers();
    watched.assert_key_is_withdrawn_in_time();
}

/// The watchers are alive and have no response for longer than usual.
#[test]
fn a_version_is_in_force_in_time_though_the_store_no_longer_answers_the_watchers() {
    let watched = Watched::start();
    for &gateway in &watched.watchers {
        watched.site.store.set_cut(gateway, true);
    }
    watched.assert_key_is_withdrawn_in_time();
}

/// The list of targets is watched like the configuration.
#[test]
fn a_removed_target_is_excluded_in_time_though_all_watchers_are_killed() {
    let mut watched = Watched::start();
    watched.kill_watchers();
    thread::sleep(Duration::from_millis(50));
    watched.assert_target_is_excluded_in_time();
}

#[test]
fn a_removed_target_is_excluded_in_time_though_all_watchers_stand_still() {
    let watched = Watched::start();
    watched.freeze_watchers();
    watched.assert_target_is_excluded_in_time();
}

/// Watchers that start again have read a list without the target, and see no change in it.
#[test]
fn a_removal_is_not_missed_though_all_watchers_restart_meanwhile() {
    let mut watched = Watched::start();
    watched.kill_watchers();
    thread::sleep(Duration::from_millis(200));
    watched.site.store.remove(REMOVED_KEY);
    let acknowledged = Instant::now();
    thread::sleep(Duration::from_millis(300));
    for index in watched.watchers.clone() {
        watched.site.restart(index);
    }
    watched.assert_target_is_excluded(acknowledged);
}

/// The watchers read the whole list instead of the history, which no longer has the removal.
#[test]
fn a_removal_is_not_missed_though_the_history_is_dropped_with_it() {
    let watched = Watched::start();
    watched.site.store.remove_and_compact(REMOVED_KEY);
    watched.assert_target_is_excluded(Instant::now());
}

/// Once the regular watchers are back, the others stop: each watch costs calls to the store.
#[test]
fn as_many_gateways_watch_as_before_once_the_watchers_are_back() {
    let mut watched = Watched::start();
    watched.kill_watchers();
    thread::sleep(BOUND);
    for index in watched.watchers.clone() {
        watched.site.restart(index);
    }
    wait_until("the gateways have discovered each other", || {
        (0..GATEWAYS).all(|index| watched.site.metric(index, "vms") == GATEWAYS)
    });
    wait_until("only the regular watchers watch", || {
        watched.site.watchers() == watched.watchers
    });
    assert_eq!(watched.site.wait_for_watchers(), watched.watchers);
}
