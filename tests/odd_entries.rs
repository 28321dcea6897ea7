//! Entries of other writers in the store: they name no target, and everything else stays in use.

mod support;

use {
    fakes::site::store::{HALF_PAIR, Mode},
    hyper::{Method, StatusCode},
    std::{thread, time::Duration},
    support::{
        site::{Connection, SAFE_PATH, STREAM_PATH, Site, read_to_end},
        wait_until,
    },
};

/// Characters that mean something else in a query, or that a request can't hold as they are.
const ODD_CHARACTERS: [char; 15] = [
    '&', '+', '#', '%', ' ', '=', '?', '/', '"', '\\', '\n', '\u{1}', 'é', '😀', HALF_PAIR,
];
/// Number of engines, which is also that of the services.
const TARGETS: usize = 2;

/// Names of entries that sort before, between and after those of the targets.
fn odd_names() -> Vec<String> {
    let prefixes = ["a", "e-0", "f", "s-0", "z"];
    let names = prefixes
        .iter()
        .flat_map(|prefix| ODD_CHARACTERS.map(|odd| format!("{prefix}{odd}x")));
    // Decoded twice, it is a key after those of all targets.
    names.chain(["a%7A".to_owned()]).collect()
}

/// Starts gateways on a store whose lists have pages of some items.
fn start(page_items: usize, write: impl FnOnce(&Site)) -> Site {
    let mut site = Site::new();
    site.store.set_page_items(page_items);
    site.publish(1, |_| {});
    (0..TARGETS).for_each(|index| site.add_engine(index, "dc-1"));
    site.add_services(TARGETS);
    write(&site);
    let store = site.store.address;
    site.start_gateways(3, store);
    site
}

fn write_odd_entries(site: &Site) {
    for (index, name) in odd_names().into_iter().enumerate() {
        let value = ["", "{}", "no JSON", "{\"Service\": 7}"][index % 4];
        site.store.put(&format!("servers/{name}"), value);
    }
}

/// Asserts that each gateway knows all targets and nothing else, and serves through them.
fn assert_in_service(site: &Site) {
    let known = format!("targets{{leaving=\"false\"}} {}\n", 2 * TARGETS);
    for (index, gateway) in site.gateways.iter().enumerate() {
        wait_until("the gateway knows all targets and nothing else", || {
            site.metrics(index).contains(&known)
        });
        for (method, path) in [(Method::GET, SAFE_PATH), (Method::POST, STREAM_PATH)] {
            let headers = [("x-attempt-id", "a-1"), ("x-token-usage", "10,40")];
            let mut connection = Connection::open(gateway.clients).expect("it accepts");
            let response = connection
                .send(&method, path, &headers)
                .expect("it answers");
            let response = read_to_end(response);
            assert_eq!(response.status, StatusCode::OK, "{path}: {response:?}");
        }
    }
}

/// The last key of a page goes into the query of the next one. As it was, an odd one made the request
/// invalid, led back to the same page, or to another place of the list.
#[test]
fn odd_names_at_the_end_of_a_page_hide_no_target() {
    for page_items in [1, 2, 3, 5, 500] {
        let mut site = start(page_items, write_odd_entries);
        assert_in_service(&site);
        (0..site.gateways.len()).for_each(|index| site.restart(index));
        assert_in_service(&site);
    }
}

/// A page may hold somewhat more than 1 MB, and a value up to 1 MiB, of which Base64 makes a third more.
#[test]
fn large_odd_entries_hide_no_target() {
    let write = |site: &Site| {
        for (name, length) in [
            ("a", 740_000),
            ("b", 1 << 20),
            ("y", 740_000),
            ("z", 1 << 20),
        ] {
            site.store
                .put(&format!("servers/{name}"), &"x".repeat(length));
        }
    };
    let mut site = start(500, write);
    assert_in_service(&site);
    (0..site.gateways.len()).for_each(|index| site.restart(index));
    assert_in_service(&site);
    write(&site);
    assert_in_service(&site);
}

/// The entries are read by a watch instead of the list.
#[test]
fn odd_entries_that_are_written_later_change_nothing() {
    let site = start(1, |_| {});
    assert_in_service(&site);
    write_odd_entries(&site);
    assert_in_service(&site);
}

/// The operator's keys are read like the targets. An odd name cordons no data centre that there is, and
/// a sound one beside it does.
#[test]
fn odd_names_beside_a_cordon_change_nothing_else() {
    for page_items in [1, 2, 5] {
        let mut site = Site::new();
        site.store.set_page_items(page_items);
        site.settings = "cordon = 5s\n".to_owned();
        site.publish(1, |_| {});
        site.add_engine(0, "dc-1");
        site.add_services(1);
        for odd in ODD_CHARACTERS {
            site.store.put(&format!("op/evacuate/dc-1{odd}"), "{}");
            site.store.put(&format!("op/{odd}"), "no JSON");
        }
        let store = site.store.address;
        site.start_gateways(2, store);
        let odd = ODD_CHARACTERS.len();
        for (count, expected) in [
            (odd, StatusCode::OK),
            (odd + 1, StatusCode::SERVICE_UNAVAILABLE),
        ] {
            for index in 0..2 {
                wait_until("the cordon is known", || {
                    site.metric(index, "cordoned") == count
                });
            }
            wait_until("requests are handled as the cordon says", || {
                let response = site.fetch(&Method::GET, SAFE_PATH, &[("x-attempt-id", "a-1")]);
                response.status == expected
            });
            site.store.put("op/evacuate/dc-1", "{}");
        }
        (0..2).for_each(|index| site.restart(index));
        wait_until("the cordon is known", || {
            site.metric(0, "cordoned") == odd + 1
        });
    }
}

/// The same page was read again at once and without end, and what was read kept each time.
#[test]
fn a_list_that_repeats_its_first_page_is_read_with_pauses() {
    /// Reads that the store permits in a second to all VMs, and the VMs of the largest deployment.
    const READS: u64 = 2_000;
    const VMS: u64 = 350;
    const SECONDS: u64 = 4;
    let mut site = start(1, |_| {});
    assert_in_service(&site);
    site.store.set_mode(Mode::RepeatedPages);
    (0..site.gateways.len()).for_each(|index| site.restart(index));
    let calls = || site.store.calls()["/v1/kv-range?PathPrefix=servers/"];
    let before = calls();
    thread::sleep(Duration::from_secs(SECONDS));
    let share = READS * SECONDS * site.gateways.len() as u64 / VMS;
    let count = calls() - before;
    assert!(
        count <= share,
        "{count} reads of the list, {share} permitted"
    );
    site.store.set_mode(Mode::Normal);
    assert_in_service(&site);
}

/// Its writer may renew an entry every second or so, as targets do.
#[test]
fn an_odd_entry_takes_no_log_line_each_time_it_is_written() {
    const WRITES: usize = 20;
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let path = folder.path().join("vm.log");
    let mut site = Site::new();
    site.settings = format!("[log]\nfile = {}\n", path.display());
    site.publish(1, |_| {});
    site.add_engine(0, "dc-1");
    site.add_services(1);
    let store = site.store.address;
    site.start_gateways(2, store);
    site.wait_for_targets(2, 0);
    site.wait_for_peers();
    let lines = || {
        let log = std::fs::read_to_string(&path).expect("the log is readable");
        let lines = log.lines();
        let lines = lines.filter(|line| line.contains("\"event\":\"target\""));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    let before = lines().len();
    for _ in 0..WRITES {
        write_odd_entry(&site);
        // More than between two watches.
        thread::sleep(Duration::from_millis(250));
    }
    let lines = &lines()[before..];
    // One for each gateway, and for each that it hears from.
    assert!((1..=4).contains(&lines.len()), "{lines:#?}");
}

fn write_odd_entry(site: &Site) {
    site.store.put("servers/a\n\u{1}&", "{\"Service\": 7}");
}
