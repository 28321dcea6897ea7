//! The examples that operators begin from are valid and have the sizes that they stand for.

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

fn is_repeatable(snapshot: &Snapshot, service: &str, path: &str) -> bool {
    let services = snapshot.services.values();
    let mut found = services.filter(|found| &*found.name == service && found.kind == Kind::Plain);
    let service = found.next().expect("the service is plain");
    service.is_idempotent("POST", path)
}

#[test]
fn wielkopolanka_has_the_sizes_of_today() {
    let snapshot = example("wielkopolanka");
    assert_eq!(snapshot.data_centres.len(), 4);
    assert_eq!(snapshot.vms.len(), 19);
    assert_eq!(targets(&snapshot, "kucharz"), 10);
    assert_eq!(targets(&snapshot, "receptury"), 4);
    assert_eq!(snapshot.customers.len(), 10);
    assert!(!is_repeatable(&snapshot, "receptury", "/releases"));
}

#[test]
fn association_has_the_sizes_of_today() {
    let snapshot = example("association");
    assert_eq!(snapshot.data_centres.len(), 3);
    assert_eq!(snapshot.vms.len(), 18);
    assert_eq!(targets(&snapshot, "assistant-pool"), 10);
    assert_eq!(targets(&snapshot, "member-portal"), 3);
    assert_eq!(snapshot.customers.len(), 10);
    assert!(!is_repeatable(&snapshot, "member-portal", "/holds"));
}

#[test]
fn rendered_value_is_the_same_deployment() {
    for folder in ["wielkopolanka", "association"] {
        let whole = example(folder);
        let value = source::render(&sources(folder));
        let again = parse::snapshot("value", &value).expect("the rendered value is valid");
        assert_eq!(whole.digest, again.digest);
        assert_eq!(whole.customers.len(), again.customers.len());
        assert_eq!(whole.value, again.value);
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
