//! Settings of the gateway and the template of the deploy files.

use {mastictrail_config::gateway, std::time::Duration};

/// The settings template of the deploy files, rendered with the platform's example values.
const RENDERED: &str = "[vm]\nname = edge-wlkp-a-1\ndata_centre = wlkp-a\n\n[listen]\n\
    clients = 10.1.0.19:8740\nreadiness = 10.1.0.19:8749\ncontrol = 10.1.0.19:8748\n\
    peers = 10.1.0.19:7200\nmetrics = 10.1.0.19:7201\n\n[platform]\naddress = 10.200.1.7:8742\n\
    history = 20s\n\n\
    [peers]\nseeds = 10.1.0.19:8748,10.2.0.13:8748\n\n[limits]\nthreads = 1\nlink_mbps = 10.0\nmemory_mb = 96\nkept_places = 256\n\n\
    [promises]\ngrace = 8s\nretry_ratio = 0.2\nretry_extra = 122\nretry_window = 10s\ncordon = 5000ms\n\
    probation = 10s\n";

fn faults(text: &str) -> Vec<String> {
    let faults = gateway::parse("gateway.ini", text).unwrap_err();
    let fault = |fault: &mastictrail_config::Fault| {
        format!("{} {}: {}", fault.section, fault.key, fault.message)
    };
    faults.iter().map(fault).collect()
}

#[test]
fn rendered_template_is_valid() {
    let settings = gateway::parse("gateway.ini", RENDERED).unwrap();
    assert_eq!(&*settings.vm.name, "edge-wlkp-a-1");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.promises.grace, Duration::from_secs(8));
    assert!((settings.promises.retry_extra - 122.0).abs() < f64::EPSILON);
    assert!((settings.limits.link_mbps - 10.0).abs() < f64::EPSILON);
    assert!((settings.limits.memory_mb - 96.0).abs() < f64::EPSILON);
}

/// The platform renders nothing for a field that it doesn't have.
#[test]
fn a_link_of_unknown_rate_is_valid() {
    for text in ["", "link_mbps =", "link_mbps = 0"] {
        let text = RENDERED.replace("link_mbps = 10.0", text);
        let settings = gateway::parse("gateway.ini", &text).unwrap();
        assert!(settings.limits.link_mbps.abs() < f64::EPSILON);
    }
    let text = RENDERED.replace("link_mbps = 10.0", "link_mbps = fast");
    assert_eq!(faults(&text), ["limits link_mbps: `fast` is not permitted"]);
}

/// Most deployments have no bound for cordons, so the template renders nothing or an empty line.
#[test]
fn a_deployment_without_cordons_is_valid() {
    let settings = gateway::parse("gateway.ini", RENDERED).unwrap();
    assert_eq!(settings.promises.cordon, Some(Duration::from_secs(5)));
    for text in ["", "cordon =", "cordon = "] {
        let text = RENDERED.replace("cordon = 5000ms", text);
        let settings = gateway::parse("gateway.ini", &text).unwrap();
        assert_eq!(settings.promises.cordon, None);
    }
    let text = RENDERED.replace("cordon = 5000ms", "cordon = soon");
    assert_eq!(faults(&text), ["promises cordon: `soon` is not permitted"]);
}

/// Most deployments have no bound for cold targets, so the template renders nothing for probation.
#[test]
fn a_deployment_without_probation_is_valid() {
    let settings = gateway::parse("gateway.ini", RENDERED).unwrap();
    assert_eq!(settings.promises.probation, Some(Duration::from_secs(10)));
    for text in ["", "probation =", "probation = "] {
        let text = RENDERED.replace("probation = 10s", text);
        let settings = gateway::parse("gateway.ini", &text).unwrap();
        assert_eq!(settings.promises.probation, None);
    }
    let text = RENDERED.replace("probation = 10s", "probation = soon");
    assert_eq!(
        faults(&text),
        ["promises probation: `soon` is not permitted"]
    );
}

/// The platform renders nothing for a field that it doesn't have.
#[test]
fn memory_of_unknown_size_is_valid() {
    for text in ["", "memory_mb =", "memory_mb = 0"] {
        let text = RENDERED.replace("memory_mb = 96", text);
        let settings = gateway::parse("gateway.ini", &text).unwrap();
        assert!(settings.limits.memory_mb.abs() < f64::EPSILON);
    }
    let text = RENDERED.replace("memory_mb = 96", "memory_mb = much");
    assert_eq!(faults(&text), ["limits memory_mb: `much` is not permitted"]);
}

/// Most deployments keep no places, so the template renders nothing or an empty line.
#[test]
fn a_deployment_without_kept_places_is_valid() {
    let settings = gateway::parse("gateway.ini", RENDERED).unwrap();
    assert_eq!(settings.limits.kept_places, 256);
    for text in ["", "kept_places =", "kept_places = 0"] {
        let text = RENDERED.replace("kept_places = 256", text);
        let settings = gateway::parse("gateway.ini", &text).unwrap();
        assert_eq!(settings.limits.kept_places, 0);
    }
    for value in ["-1", "4097", "many"] {
        let text = RENDERED.replace("kept_places = 256", &format!("kept_places = {value}"));
        let message = format!("limits kept_places: `{value}` is not permitted");
        assert_eq!(faults(&text), [message]);
    }
}

#[test]
fn template_has_the_keys_of_the_rendered_text() {
    let mut template = include_str!("../../../deploy/gateway.ini").to_owned();
    // A section of the template is rendered if its value is present.
    for section in ["Bounds.EvacuateMs", "Bounds.ColdSlack"] {
        template = template.replace(&format!("{{{{#{section}}}}}"), "");
        template = template.replace(&format!("{{{{/{section}}}}}"), "");
    }
    let keys = |text: &str| -> Vec<String> {
        let lines = text
            .lines()
            .map(|line| line.split('=').next().unwrap_or_default().trim().to_owned());
        lines.collect()
    };
    assert_eq!(keys(&template), keys(RENDERED));
}

#[test]
fn empty_seeds_and_fractional_seconds_are_valid() {
    let text = RENDERED.replace("seeds = 10.1.0.19:8748,10.2.0.13:8748", "seeds =");
    let text = text.replace("grace = 8s", "grace = 7.5s");
    let settings = gateway::parse("gateway.ini", &text).unwrap();
    assert!(settings.seeds.is_empty());
    assert_eq!(settings.promises.grace, Duration::from_millis(7_500));
}

#[test]
fn connections_have_a_local_address_only_if_it_is_set() {
    let settings = gateway::parse("gateway.ini", RENDERED).unwrap();
    assert_eq!(settings.targets.source, None);
    let text = format!("{RENDERED}\n[targets]\nsource = 10.1.0.19\n");
    let settings = gateway::parse("gateway.ini", &text).unwrap();
    assert_eq!(settings.targets.source, Some([10, 1, 0, 19].into()));
    let text = format!("{RENDERED}\n[targets]\nsource = here\n");
    assert_eq!(faults(&text).len(), 1);
}

#[test]
fn all_faults_are_reported() {
    assert_eq!(faults(""), ["vm : the section is missing"]);
    let text = RENDERED
        .replace("name = edge-wlkp-a-1", "name = not a name")
        .replace("grace = 8s", "grace = soon")
        .replace("retry_ratio = 0.2", "retry_ratio = -1")
        .replace("threads = 1", "threads = 0\ncolour = blue")
        .replace("[platform]", "[platforms]");
    assert_eq!(
        faults(&text),
        [
            "vm name: `not a name` is not permitted",
            "platforms : the section is unknown",
            "limits threads: `0` is not permitted",
            "limits colour: the key is unknown",
            "promises grace: `soon` is not permitted",
            "promises retry_ratio: `-1` is not permitted",
        ]
    );
}
