//! The status for operators: the names and bounds of its lists.

use {
    base::key,
    dispatch::{
        listing::{Target, WarmUp},
        pace::Factors,
    },
    mastictrail_gateway::control::status::{
        Cold, Cordon, List, MAX_ENTRIES, Pace, Position, Queue, Report,
    },
    serde_json::{Value, json},
};

fn cold(index: u64) -> Cold {
    Cold {
        target: format!("t-{index}").into(),
        service: "ledger".into(),
        data_centre: "dc-1".into(),
        remaining_ms: index,
    }
}

fn pace(current: f64, usual: f64) -> Option<Pace> {
    let target = Target {
        key: key::Target::of("e-0"),
        instance: "e-0".into(),
        address: "10.0.0.1:80".parse().expect("valid address"),
        service: key::Service::of("engines"),
        data_centre: "dc-1".into(),
        slots: 24,
        is_leaving: false,
        is_cordoned: false,
        started_ms: None,
        release: "v1".into(),
        warm_up: WarmUp::default(),
    };
    Pace::new(&target, "engines".into(), Factors { current, usual })
}

fn queue(service: &str, local: usize, remote: usize) -> Queue {
    Queue {
        service: service.into(),
        local,
        remote,
    }
}

fn to_json(value: impl serde::Serialize) -> Value {
    serde_json::to_value(value).expect("the value is encoded")
}

/// Scripts of operators read these names.
#[test]
fn the_status_has_the_documented_names() {
    let report = Report {
        vm: "vm-0".into(),
        data_centre: "dc-1".into(),
        ready: true,
        configuration_version: 3,
        cordon: Cordon {
            enabled: true,
            position: Some(Position {
                era: 1,
                revision: 17,
            }),
            data_centres: List::new(["dc-2".into()]),
        },
        cold_targets: List::new([cold(1_500)]),
        probation: List::new(["e-1".into()]),
        paces: List::new(pace(2.504, 2.396)),
        queued: List::new([queue("engines", 4, 7)]),
        kept_places: 3,
    };
    let expected = json!({
        "vm": "vm-0",
        "data_centre": "dc-1",
        "ready": true,
        "configuration_version": 3,
        "cordon": {
            "enabled": true,
            "position": {"era": 1, "revision": 17},
            "data_centres": {"total": 1, "entries": ["dc-2"]},
        },
        "cold_targets": {"total": 1, "entries": [{
            "target": "t-1500", "service": "ledger", "data_centre": "dc-1", "remaining_ms": 1500,
        }]},
        "paces": {"total": 1, "entries": [{
            "target": "e-0", "service": "engines", "data_centre": "dc-1",
            "factor": 2.5, "usual_factor": 2.4,
        }]},
        "queued": {"total": 1, "entries": [{"service": "engines", "local": 4, "remote": 7}]},
        "probation": {"total": 1, "entries": ["e-1"]},
        "kept_places": 3,
    });
    assert_eq!(to_json(&report), expected);
}

/// Hundreds of targets are cold when a data centre comes back.
#[test]
fn a_long_list_is_cut_to_its_first_entries_and_gives_the_total() {
    let list = to_json(List::new((0..200).map(cold)));
    assert_eq!(list["total"], 200);
    let entries = list["entries"].as_array().expect("a list of entries");
    let remaining: Vec<_> = entries
        .iter()
        .map(|entry| entry["remaining_ms"].as_u64().expect("a number"))
        .collect();
    let longest: Vec<_> = (0..200).rev().take(MAX_ENTRIES).collect();
    assert_eq!(remaining, longest);
}

/// Of a cut list, the operator needs the entries that stand out most.
#[test]
fn the_most_unusual_paces_and_the_longest_queues_come_first() {
    let paces = [(1.3, 1.0), (1.0, 0.25), (2.4, 2.4)];
    let paces =
        to_json(List::new(paces.map(|(current, usual)| {
            pace(current, usual).expect("the pace is unusual")
        })));
    let factors = |index: usize| paces["entries"][index]["usual_factor"].clone();
    assert_eq!([factors(0), factors(1), factors(2)], [0.25, 2.4, 1.0]);
    let queues = to_json(List::new([
        queue("a", 1, 0),
        queue("b", 0, 3),
        queue("c", 2, 0),
    ]));
    let services = |index: usize| queues["entries"][index]["service"].clone();
    assert_eq!([services(0), services(1), services(2)], ["b", "c", "a"]);
}

/// A target that is slow at this moment only, or usually only, would be missed otherwise.
#[test]
fn a_target_is_listed_if_either_factor_is_outside_the_normal_range() {
    for (current, usual) in [(1.0, 1.0), (0.8, 0.8), (1.25, 1.25)] {
        assert!(pace(current, usual).is_none(), "{current} {usual}");
    }
    for (current, usual) in [(1.26, 1.0), (1.0, 0.79), (0.79, 0.79), (1.26, 1.26)] {
        assert!(pace(current, usual).is_some(), "{current} {usual}");
    }
}
