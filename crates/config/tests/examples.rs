//! The example deployments are valid and have the expected sizes.

use {
    mastictrail_config::{Snapshot, Source, deployment::Kind, diagnostic, parse, settings, source},
    std::{fs, path::Path},
};

fn sources(folder: &str) -> Vec<Source> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(folder);
    let mut paths: Vec<_> = fs::read_dir(folder)
        .expect("the example exists")
        .map(|entry| entry.expect("the folder is readable").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "ini"))
        .collect();
    paths.sort();
    let read = |path: &Path| fs::read_to_string(path).expect("the file is readable");
    paths
        .iter()
        .map(|path| Source::new(&*path.to_string_lossy(), read(path)))
        .collect()
}

fn example(folder: &str) -> Snapshot {
    let sources = sources(folder);
    parse::deployment(&sources)
        .unwrap_or_else(|faults| panic!("{}", diagnostic::render(&faults, &sources, false)))
}

fn targets(snapshot: &Snapshot, service: &str) -> usize {
    let key = base::key::Service::of(service);
    let targets = snapshot.targets.values();
    targets.filter(|target| target.service == key).count()
}

fn is_idempotent(snapshot: &Snapshot, service: &str, path: &str) -> bool {
    let services = snapshot.services.values();
    let mut matches = services.filter(|other| &*other.name == service && other.kind == Kind::Plain);
    let service = matches.next().expect("the service is plain");
    service.is_idempotent("POST", path)
}

#[test]
fn wielkopolanka_has_the_expected_sizes() {
    let snapshot = example("wielkopolanka");
    assert_eq!(snapshot.data_centres.len(), 4);
    assert_eq!(snapshot.vms.len(), 19);
    assert_eq!(targets(&snapshot, "kucharz"), 10);
    assert_eq!(targets(&snapshot, "receptury"), 4);
    assert_eq!(snapshot.customers.len(), 10);
    assert!(!is_idempotent(&snapshot, "receptury", "/releases"));
}

#[test]
fn association_has_the_expected_sizes() {
    let snapshot = example("association");
    assert_eq!(snapshot.data_centres.len(), 3);
    assert_eq!(snapshot.vms.len(), 18);
    assert_eq!(targets(&snapshot, "assistant-pool"), 10);
    assert_eq!(targets(&snapshot, "member-portal"), 3);
    assert_eq!(snapshot.customers.len(), 10);
    assert!(!is_idempotent(&snapshot, "member-portal", "/holds"));
}

#[test]
fn rendered_value_parses_to_the_same_deployment() {
    for folder in ["wielkopolanka", "association"] {
        let original = example(folder);
        let value = source::render(&sources(folder));
        let parsed = parse::snapshot("value", &value).expect("the rendered value is valid");
        assert_eq!(original.digest, parsed.digest);
        assert_eq!(original.customers.len(), parsed.customers.len());
        assert_eq!(original.value, parsed.value);
    }
}

#[test]
fn settings_of_the_examples_are_valid() {
    for folder in ["wielkopolanka/settings", "association/settings"] {
        for source in sources(folder) {
            let parsed = settings::parse(&source.file, &source.text);
            assert_eq!(parsed.err(), None);
        }
    }
}
