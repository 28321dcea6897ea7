//! Checks that docs/OPERATIONS.md lists the settings, metrics and log events of the program.

use {
    config::{gateway, parse, settings},
    std::{collections::BTreeSet, fs, path::Path},
};

/// A row of a documented table of keys.
#[derive(Debug)]
struct Row {
    key: String,
    default: String,
}

/// Reads a file of the repository.
fn read_file(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the sections documented under headings `### KIND [SECTION …]`, with their rows.
fn tables(kind: &str) -> Vec<(String, Vec<Row>)> {
    let page = read_file("docs/OPERATIONS.md");
    let prefix = format!("### {kind} `[");
    let mut tables = Vec::new();
    for part in page.split("\n### ").map(|part| format!("### {part}")) {
        let Some(rest) = part.strip_prefix(&prefix) else {
            continue;
        };
        let (section, body) = rest.split_once("]`").expect("the heading names a section");
        let body = body.split("\n## ").next().unwrap_or_default();
        let rows = body.lines().filter_map(parse_row).collect();
        tables.push((section.to_owned(), rows));
    }
    tables
}

fn parse_row(line: &str) -> Option<Row> {
    let mut cells = line.strip_prefix("| `")?.split(" | ");
    Some(Row {
        key: cells.next()?.trim_end_matches('`').to_owned(),
        default: cells.next()?.trim_matches('`').to_owned(),
    })
}

fn keys(rows: &[Row]) -> BTreeSet<String> {
    rows.iter().map(|row| row.key.clone()).collect()
}

/// Returns the documented defaults as lines of an INI file.
fn documented_defaults(rows: &[Row]) -> String {
    let has_default = |row: &&Row| {
        !["required", "none"].contains(&&*row.default) && !row.default.starts_with("the ")
    };
    let lines = rows.iter().filter(has_default);
    lines
        .map(|row| format!("{} = {}\n", row.key, row.default))
        .collect::<Vec<_>>()
        .concat()
}

/// Returns the keys that the program lists as permitted when it rejects an unknown one.
fn permitted_keys(faults: &[config::Fault]) -> BTreeSet<String> {
    let fault = faults
        .iter()
        .find(|fault| &*fault.key == "unknown_key")
        .expect("the key is rejected");
    fault.permitted.split(", ").map(str::to_owned).collect()
}

#[test]
fn every_setting_is_documented_with_its_default() {
    let tables = tables("Settings");
    let kinds: Vec<_> = tables.iter().map(|(section, _)| &**section).collect();
    let faults = settings::parse("a", "[unknown]\n").expect_err("the section is unknown");
    assert_eq!(&*faults[0].permitted, kinds.join(", "));
    let required = "[vm]\nname = a\ndata_centre = b\n[keys]\ndeployment = k\n";
    let mut explicit = String::new();
    for (section, rows) in &tables {
        let unknown = format!("[{section}]\nunknown_key = 1\n");
        let faults = settings::parse("a", &unknown).expect_err("the key is unknown");
        assert_eq!(keys(rows), permitted_keys(&faults), "[{section}]");
        let required_keys = required.split_once(&format!("[{section}]\n"));
        let required_keys = required_keys.and_then(|(_, rest)| rest.split('[').next());
        explicit.extend([
            "[",
            section,
            "]\n",
            required_keys.unwrap_or_default(),
            &documented_defaults(rows),
        ]);
    }
    let documented = settings::parse("a", &explicit).expect("the defaults are valid");
    let built_in = settings::parse("a", required).expect("the required keys suffice");
    assert_eq!(format!("{documented:#?}"), format!("{built_in:#?}"));
}

/// Every section of a deployment, as documented and with its required keys only.
const DEPLOYMENT_SECTIONS: [(&str, &str); 9] = [
    ("deployment", "[deployment]\nname = a\nversion = 1\n"),
    ("data_centre NAME", "[data_centre a]\nregion = a\n"),
    ("vm NAME", "[vm a]\ndata_centre = a\ninner = 127.0.0.1:1\n"),
    ("model NAME", "[model a]\nversion = a\nweight = 1B\n"),
    ("service NAME", "[service a]\nkind = plain\n"),
    ("class SERVICE NAME", "[class a a]\n"),
    (
        "route SERVICE NAME",
        "[route a a]\npath = /\nidempotent = yes\n",
    ),
    (
        "target NAME",
        "[target a]\nservice = a\ndata_centre = a\naddress = 127.0.0.1:2\n",
    ),
    (
        "customer NAME",
        "[customer a]\nkey_sha256 = 6ca13d52ca70c883e0f0bb101e425a89e8624de51db2d2392593af6a84118090\n",
    ),
];

#[test]
fn every_deployment_key_is_documented_with_its_default() {
    let tables = tables("Deployment");
    let names: Vec<_> = tables.iter().map(|(section, _)| &**section).collect();
    assert_eq!(names, DEPLOYMENT_SECTIONS.map(|(section, _)| section));
    let mut built_in = String::new();
    let mut explicit = String::new();
    for ((section, rows), (_, required)) in tables.iter().zip(DEPLOYMENT_SECTIONS) {
        let unknown = format!("{required}unknown_key = 1\n");
        let faults = parse::snapshot("a", &unknown).expect_err("the key is unknown");
        assert_eq!(keys(rows), permitted_keys(&faults), "[{section}]");
        built_in += required;
        explicit.extend([required, &documented_defaults(rows)]);
    }
    let parse = |text: &str| {
        let mut snapshot = parse::snapshot("a", text).expect("the defaults are valid");
        snapshot.value = Box::default();
        snapshot.digest = [0; 32];
        format!("{snapshot:#?}")
    };
    assert_eq!(parse(&explicit), parse(&built_in));
}

#[test]
fn every_metric_and_event_is_documented() {
    let page = read_file("docs/OPERATIONS.md");
    let metrics = read_file("tests/snapshots/operators__metrics.snap");
    let metrics = metrics.lines().filter(|line| {
        let kinds = [" counter", " gauge", " histogram"];
        kinds.iter().any(|kind| line.ends_with(kind))
    });
    for metric in metrics.filter_map(|line| line.split(' ').next()) {
        assert!(page.contains(&format!("| `{metric}` |")), "{metric}");
    }
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../entry/src");
    for event in log_events(&folder) {
        assert!(page.contains(&format!("\n| `{event}` |")), "event {event}");
    }
}

#[test]
fn every_gateway_setting_is_documented_with_its_default() {
    let tables = tables("Gateway");
    let required = "[vm]\nname = a\ndata_centre = b\n";
    let mut explicit = String::new();
    for (section, rows) in &tables {
        let required = if section == "vm" {
            "name = a\ndata_centre = b\n"
        } else {
            ""
        };
        let vm = if section == "vm" {
            ""
        } else {
            "[vm]\nname = a\ndata_centre = b\n"
        };
        let unknown = format!("{vm}[{section}]\n{required}unknown_key = 1\n");
        let faults = gateway::parse("a", &unknown).expect_err("the key is unknown");
        assert_eq!(keys(rows), permitted_keys(&faults), "[{section}]");
        explicit.extend([
            format!("[{section}]\n"),
            required.to_owned(),
            documented_defaults(rows),
        ]);
    }
    let documented = gateway::parse("a", &explicit).expect("the defaults are valid");
    let built_in = gateway::parse("a", required).expect("the required keys suffice");
    assert_eq!(format!("{documented:#?}"), format!("{built_in:#?}"));
}

#[test]
fn every_gateway_metric_and_event_is_documented() {
    let page = read_file("docs/OPERATIONS.md");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../gateway/src");
    for event in log_events(&folder) {
        assert!(page.contains(&format!("\n| `{event}` |")), "event {event}");
    }
    let source = read_file("crates/gateway/src/metrics.rs");
    for name in source.split("\"mastictrail.gateway.").skip(1) {
        let name = name.split('"').next().unwrap_or_default().replace('.', "_");
        assert!(
            page.contains(&format!("| `mastictrail_gateway_{name}")),
            "metric {name}"
        );
    }
}

/// Returns the event names in the log calls of all source files below a folder.
fn log_events(folder: &Path) -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path.is_dir() {
            events.extend(self::log_events(&path));
            continue;
        }
        let text = fs::read_to_string(&path).expect("the source is readable");
        for part in text.split("target: \"").skip(1) {
            events.extend(part.split('"').next().map(str::to_owned));
        }
    }
    events
}
