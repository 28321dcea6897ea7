//! The faults reported to operators for each kind of invalid deployment or settings file.

use mastictrail_config::{Source, diagnostic, parse, settings};

const DEPLOYMENT: &str = "\
[deployment]
name = desk
version = 3

[data_centre east]
region = north

[model base]
version = 1
weight = 10GiB

[model adapter]
base = base
version = 2
weight = 100MiB

[service drafts]
kind = model
models = base, adapter

[class drafts lookup]
priority = 9
headroom = 0.2

[class drafts draft]
deadline = 20m

[service ledger]
kind = plain

[route ledger release]
method = POST
path = /releases
idempotent = no

[vm entry-1]
data_centre = east
inner = 10.0.0.1:8081

[target engine-1]
service = drafts
data_centre = east
address = 10.0.0.2:9000
memory_tokens = 1000
weights = 20GiB

[target ledger-1]
service = ledger
data_centre = east
address = 10.0.0.3:9000

[customer anna]
key_sha256 = 6ca13d52ca70c883e0f0bb101e425a89e8624de51db2d2392593af6a84118090
rate = 20/s

[customers]
berta = kYUYGIYJYgsqiwZ0hYfhLKSOQKAUzdaBsN0u0vGPV7Y weight=2 rate=5/s
";

const SETTINGS: &str = "\
[vm]
name = entry-1
data_centre = east

[listen]
caller = 127.0.0.1:8080

[keys]
deployment = /run/mastictrail/deployment.key

[limits]
header_timeout = 5s
";

/// A case: its name, a part of the valid text, and the text that replaces it.
type Case = (&'static str, &'static str, &'static str);

const INVALID_DEPLOYMENTS: [Case; 46] = [
    ("header_not_closed", "[customers]", "[customers"),
    ("line_without_value", "rate = 20/s", "rate\nweight = 2"),
    (
        "key_before_sections",
        "[deployment]",
        "name = x\n[deployment]",
    ),
    ("section_unknown", "[customer anna]", "[custmer anna]"),
    (
        "section_missing",
        "[deployment]\nname = desk\nversion = 3\n",
        "",
    ),
    (
        "section_twice",
        "[data_centre east]",
        "[deployment]\n\n[data_centre east]",
    ),
    ("key_unknown", "rate = 20/s", "rates = 20/s"),
    ("key_twice", "rate = 20/s", "rate = 20/s\nrate = 30/s"),
    ("key_missing", "inner = 10.0.0.1:8081\n", ""),
    ("value_empty", "region = north", "region ="),
    ("version_zero", "version = 3", "version = 0"),
    ("version_text", "version = 3", "version = three"),
    ("name_characters", "[vm entry-1]", "[vm entry/1]"),
    ("name_missing", "[vm entry-1]", "[vm]"),
    ("name_twice", "[target ledger-1]", "[target engine-1]"),
    ("service_reserved", "[service ledger]", "[service v1]"),
    ("service_unknown", "service = ledger", "service = ledgr"),
    (
        "service_of_class_unknown",
        "[class drafts draft]",
        "[class draft draft]",
    ),
    (
        "service_without_target",
        "service = ledger",
        "service = drafts\nmemory_tokens = 1",
    ),
    ("service_kind", "kind = plain", "kind = simple"),
    (
        "data_centre_unknown",
        "data_centre = east\ninner",
        "data_centre = west\ninner",
    ),
    (
        "class_without_service",
        "[class drafts draft]",
        "[class draft]",
    ),
    (
        "class_twice",
        "[class drafts draft]",
        "[class drafts lookup]",
    ),
    ("class_priority", "priority = 9", "priority = 900"),
    ("headroom_percent", "headroom = 0.2", "headroom = 20%"),
    ("headroom_sum", "deadline = 20m", "headroom = 0.8"),
    (
        "route_twice",
        "[vm entry-1]",
        "[route ledger release]\npath = /x\nidempotent = yes\n[vm entry-1]",
    ),
    (
        "route_of_model_service",
        "[route ledger release]",
        "[route drafts release]",
    ),
    ("route_path", "path = /releases", "path = releases"),
    ("route_method", "method = POST", "method = SEND"),
    ("route_flag", "idempotent = no", "idempotent = never"),
    ("adapter_base_unknown", "base = base", "base = bass"),
    ("adapter_of_adapter", "base = base", "base = adapter"),
    (
        "adapter_without_base",
        "models = base, adapter",
        "models = adapter",
    ),
    (
        "model_unknown",
        "models = base, adapter",
        "models = base, adaptor",
    ),
    (
        "model_service_without_models",
        "models = base, adapter\n",
        "",
    ),
    (
        "plain_service_with_models",
        "kind = plain",
        "kind = plain\nmodels = base",
    ),
    ("unit_missing", "deadline = 20m", "deadline = 20"),
    ("unit_of_size", "weight = 10GiB", "weight = 10 gigs"),
    ("engine_without_memory", "memory_tokens = 1000\n", ""),
    ("engine_too_small", "weights = 20GiB", "weights = 1GiB"),
    (
        "address_taken",
        "address = 10.0.0.3:9000",
        "address = 10.0.0.2:9000",
    ),
    ("customer_digest", "berta = kYU", "berta = YU"),
    ("customer_limit_unknown", "weight=2", "wait=2"),
    ("customer_twice", "berta = ", "anna = "),
    (
        "customer_key_taken",
        "kYUYGIYJYgsqiwZ0hYfhLKSOQKAUzdaBsN0u0vGPV7Y",
        "6ca13d52ca70c883e0f0bb101e425a89e8624de51db2d2392593af6a84118090",
    ),
];

const INVALID_SETTINGS: [Case; 8] = [
    ("settings_key_unknown", "header_timeout", "headers_timeout"),
    ("settings_section_unknown", "[limits]", "[limit]"),
    (
        "settings_section_missing",
        "[keys]\ndeployment = /run/mastictrail/deployment.key\n",
        "",
    ),
    ("settings_section_twice", "[limits]", "[listen]"),
    ("settings_address", "127.0.0.1:8080", "localhost:8080"),
    ("settings_unit", "5s", "5"),
    ("settings_zero", "5s", "0s"),
    (
        "settings_level",
        "[limits]",
        "[log]\nlevel = loud\n[limits]",
    ),
];

fn invalid(text: &str, (name, from, to): Case) -> Source {
    assert!(
        text.contains(from),
        "{name}: `{from}` is not in the valid text"
    );
    Source::new("broken.ini", text.replacen(from, to, 1))
}

#[test]
fn unmodified_texts_are_valid() {
    assert_eq!(parse::snapshot("valid.ini", DEPLOYMENT).err(), None);
    assert_eq!(settings::parse("valid.ini", SETTINGS).err(), None);
}

#[test]
fn faults_of_invalid_deployments_are_reported() {
    for case in INVALID_DEPLOYMENTS {
        let source = invalid(DEPLOYMENT, case);
        let faults = parse::snapshot(&source.file, &source.text).expect_err(case.0);
        insta::assert_snapshot!(case.0, diagnostic::render(&faults, &[source], false));
    }
}

#[test]
fn faults_of_invalid_settings_are_reported() {
    for case in INVALID_SETTINGS {
        let source = invalid(SETTINGS, case);
        let faults = settings::parse(&source.file, &source.text).expect_err(case.0);
        insta::assert_snapshot!(case.0, diagnostic::render(&faults, &[source], false));
    }
}

#[test]
fn faults_of_several_files_are_reported_together() {
    let first = Source::new(
        "first.ini",
        DEPLOYMENT.replace("kind = plain", "kind = simple"),
    );
    let second = Source::new("second.ini", "[vm entry-1]\ninner = nowhere\n");
    let sources = [first, second];
    let faults = parse::deployment(&sources).expect_err("both files are invalid");
    insta::assert_snapshot!(
        "several_files",
        diagnostic::render(&faults, &sources, false)
    );
}

#[test]
fn value_over_the_size_limit_is_rejected() {
    let line = |number| format!("customer-{number} = {number:064x}");
    let customers: Vec<_> = (0..20_000).map(line).collect();
    let text = format!("{DEPLOYMENT}{}", customers.join("\n"));
    let faults = parse::snapshot("large.ini", &text).expect_err("the value is too large");
    let permitted: Vec<_> = faults.iter().map(|fault| &*fault.permitted).collect();
    assert_eq!(permitted, ["up to 1000000 bytes"]);
}
