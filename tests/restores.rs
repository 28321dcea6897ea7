//! A store that is restored from a backup some seconds old, behind real gateway processes.
//!
//! Its revisions go back and are assigned again, so what a gateway has read before no longer counts.

mod support;

use {
    fakes::site::{Target, store::Mode},
    hyper::{Method, StatusCode},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
    support::{
        process::free_address,
        site::{SAFE_PATH, Site, UNSAFE_PATH, read_to_end},
        wait_until,
    },
};

/// Time for which the store is away before it is back from the backup.
const AWAY: Duration = Duration::from_secs(2);
/// Time within which a new configuration must be in force, and a target that has left be excluded.
const BOUND: Duration = Duration::from_secs(2);
/// Time after a disturbance of the store from which the bounds hold.
const STABLE: Duration = Duration::from_secs(3);
/// A key that a later version of the configuration withdraws.
const WITHDRAWN_KEY: (&str, &str) = ("authorization", "Token key-withdrawn");

fn publish(site: &Site, version: u64, keys: &[&str]) {
    site.publish(version, |document| {
        document["Tenants"][0]["ApiKeys"] = json!(keys);
    });
}

fn status(site: &Site, gateway: usize, header: (&str, &str)) -> StatusCode {
    site.send(gateway, &Method::GET, SAFE_PATH, &[header])
        .status
}

/// Starts a service target of the site, without an entry in the store.
fn start_target(site: &mut Site, name: &str) {
    let target = Target::start(free_address(), name, false, &site.copies);
    site.services.push(target.expect("the address is free"));
}

fn register(site: &Site, index: usize) {
    site.register(&site.services[index], "ledger", "dc-1", "ready");
}

/// Sends requests through all gateways; returns how many of them each target got.
fn count_requests(site: &Site, prefix: &str) -> Vec<usize> {
    for gateway in 0..site.gateways.len() {
        for index in 0..8 {
            let attempt = format!("{prefix}-{gateway}-{index}");
            let headers = [("x-attempt-id", &*attempt)];
            read_to_end(site.send(gateway, &Method::POST, UNSAFE_PATH, &headers));
        }
    }
    let of_target = |target: &Target| {
        let received = target.received();
        let requests = received.iter();
        requests
            .filter(|request| request.attempt.starts_with(prefix))
            .count()
    };
    site.services.iter().map(of_target).collect()
}

/// Starts a site with two service targets; all gateways have version 2 of the configuration.
fn start(gateways: usize) -> Site {
    let site = Site::start(0, 2, gateways);
    publish(&site, 2, &["key-of-alpha", "key-withdrawn"]);
    wait_until("the key is in force", || {
        (0..gateways).all(|gateway| status(&site, gateway, WITHDRAWN_KEY) == StatusCode::OK)
    });
    site.wait_for_peers();
    site
}

/// Versions that are written soon after the restore bring the store back to the revision that the
/// gateways had, so a watch from there would never return them.
#[test]
fn a_version_under_a_revision_that_is_assigned_again_is_not_missed() {
    let mut site = start(3);
    let backup = site.store.backup();
    publish(&site, 3, &["key-of-alpha", "key-withdrawn", "key-3"]);
    start_target(&mut site, "s-joins");
    register(&site, 2);
    thread::sleep(Duration::from_secs(2));
    site.store.set_mode(Mode::Unavailable);
    thread::sleep(AWAY);
    site.store.restore(backup);
    publish(&site, 3, &["key-of-alpha", "key-withdrawn", "key-3"]);
    publish(&site, 4, &["key-of-alpha", "key-3"]);
    thread::sleep(Duration::from_millis(500));
    register(&site, 2);
    thread::sleep(BOUND.max(STABLE));
    for gateway in 0..3 {
        assert_eq!(
            status(&site, gateway, WITHDRAWN_KEY),
            StatusCode::UNAUTHORIZED,
            "gateway {gateway}"
        );
    }
}

/// A store whose revisions stay below the known ones has no news for a long time.
#[test]
fn changes_below_the_known_revision_are_not_missed_after_a_restore() {
    let mut site = start(6);
    let backup = site.store.backup();
    start_target(&mut site, "s-joins");
    for _ in 0..20 {
        register(&site, 2);
    }
    thread::sleep(Duration::from_secs(1));
    site.store.set_mode(Mode::Unavailable);
    thread::sleep(AWAY);
    site.store.restore(backup);
    thread::sleep(Duration::from_millis(500));
    register(&site, 2);
    thread::sleep(STABLE + BOUND);
    publish(&site, 3, &["key-of-alpha"]);
    site.store.remove("servers/s-0");
    let acknowledged = Instant::now();
    thread::sleep(BOUND);
    let counts = count_requests(&site, "late");
    assert!(acknowledged.elapsed() < BOUND * 3, "the requests take long");
    assert_eq!(counts[0], 0, "{counts:?}: the first target has left");
    assert!(counts[2] > 0, "{counts:?}: the third target is there");
    for gateway in 0..6 {
        let withdrawn = status(&site, gateway, WITHDRAWN_KEY);
        assert_eq!(withdrawn, StatusCode::UNAUTHORIZED, "gateway {gateway}");
    }
}

/// The backup has older versions and targets that have left; nothing of that comes into force.
#[test]
fn what_a_backup_has_of_before_does_not_come_back() {
    let site = start(3);
    let backup = site.store.backup();
    publish(&site, 3, &["key-of-alpha"]);
    site.store.remove("servers/s-0");
    wait_until("the key is withdrawn and the target is excluded", || {
        let is_withdrawn =
            |gateway| status(&site, gateway, WITHDRAWN_KEY) == StatusCode::UNAUTHORIZED;
        (0..3).all(is_withdrawn) && site.metrics(0).contains("targets{leaving=\"false\"} 1\n")
    });
    thread::sleep(Duration::from_secs(1));
    site.store.restore(backup);
    let restored = Instant::now();
    let mut round = 0;
    while restored.elapsed() < STABLE {
        round += 1;
        let counts = count_requests(&site, &format!("round-{round}"));
        assert_eq!(counts[0], 0, "{counts:?}: the target has left");
        for gateway in 0..3 {
            let withdrawn = status(&site, gateway, WITHDRAWN_KEY);
            assert_eq!(withdrawn, StatusCode::UNAUTHORIZED, "gateway {gateway}");
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// A target that the backup lacks is there still; it registers again within about two seconds.
#[test]
fn a_target_that_a_backup_lacks_gets_requests_until_it_registers_again() {
    let mut site = start(3);
    let backup = site.store.backup();
    start_target(&mut site, "s-joins");
    register(&site, 2);
    for index in 0..2 {
        site.store.remove(&format!("servers/s-{index}"));
    }
    wait_until("only the new target is known", || {
        (0..3).all(|gateway| {
            let text = site.metrics(gateway);
            text.contains("targets{leaving=\"false\"} 1\n")
        })
    });
    site.store.restore(backup);
    let restored = Instant::now();
    let mut round = 0;
    let mut is_registered = false;
    while restored.elapsed() < STABLE + BOUND {
        if !is_registered && restored.elapsed() > Duration::from_millis(1_300) {
            register(&site, 2);
            is_registered = true;
        }
        round += 1;
        let counts = count_requests(&site, &format!("round-{round}"));
        assert_eq!(
            counts[2],
            24,
            "{counts:?} {} ms after the restore",
            restored.elapsed().as_millis()
        );
        thread::sleep(Duration::from_millis(200));
    }
}
