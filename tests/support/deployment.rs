//! The configuration of a test cluster and its publication on the fake platform.

use {
    super::{CUSTOMERS, Cluster, MODEL_SERVICE, PLAIN_SERVICE, client, wait_until},
    hyper::Method,
    sha2::{Digest, Sha256},
    std::fmt::Write as _,
};

impl Cluster {
    /// Returns the configuration text of a version, with additional sections appended.
    pub fn configuration_text(&self, version: u64, sections: &str) -> String {
        let mut configuration = format!("[deployment]\nname = test\nversion = {version}\n");
        let setup = &self.setup;
        let mut add = |text: String| configuration.push_str(&text);
        for number in 1..=setup.data_centres {
            add(format!("[data_centre dc-{number}]\nregion = region-1\n"));
        }
        let section = |kind: &str, name: &str, per_data_centre, address_key: &str| {
            let address = self.addresses[&format!("link:{name}")];
            let data_centre = Self::data_centre(name, per_data_centre);
            format!("[{kind} {name}]\ndata_centre = {data_centre}\n{address_key} = {address}\n")
        };
        for vm in self.vms() {
            add(section("vm", &vm, setup.vms, "inner"));
        }
        for engine in self.engines() {
            add(section("target", &engine, setup.engines, "address"));
            add(format!(
                "service = {MODEL_SERVICE}\nmemory_tokens = 65536\nweights = 64GiB\n"
            ));
        }
        for service in self.services() {
            add(section("target", &service, setup.services, "address"));
            add(format!("service = {PLAIN_SERVICE}\n"));
        }
        for (name, key) in CUSTOMERS {
            let digest = Sha256::digest(key)
                .iter()
                .fold(String::new(), |mut text, byte| {
                    let _ = write!(text, "{byte:02x}");
                    text
                });
            add(format!("[customer {name}]\nkey_sha256 = {digest}\n"));
        }
        add(include_str!("services.ini").into());
        add(setup.configuration.clone());
        add(sections.into());
        configuration
    }

    /// Publishes a version of the configuration, with additional sections, on the fake platform.
    pub fn publish(&self, version: u64, sections: &str) {
        self.publish_text(version, &self.configuration_text(version, sections));
    }

    /// Publishes version 2, waits until every VM has it, and makes the platform serve version 1
    /// again.
    pub fn make_platform_stale(&self) {
        self.publish(2, "");
        for vm in self.vms() {
            wait_until(&format!("{vm} has version 2"), || {
                let status = self.get(&format!("{vm}/admin"), "/status");
                status.is_ok_and(|status| status.json()["configuration_version"] == 2)
            });
        }
        let stale = serde_json::json!({"stale": 1});
        self.configure_fake("platform", "/test/mode", &stale);
    }

    /// Publishes a version of the configuration that lacks one target.
    pub fn publish_without_target(&self, version: u64, target: &str) {
        let configuration = self.configuration_text(version, "");
        let sections = configuration.split_inclusive("\n[");
        let kept = sections.filter(|section| !section.starts_with(&format!("target {target}]")));
        self.publish_text(version, &kept.collect::<String>());
    }

    /// Publishes a configuration text under a version number.
    pub fn publish_text(&self, version: u64, configuration: &str) {
        let headers = [("x-version", &*version.to_string())];
        let response = client::fetch(
            self.addresses["platform"],
            &Method::POST,
            "/test/publish",
            &headers,
            configuration,
        );
        assert_eq!(response.expect("the fake platform responds").status, 200);
    }
}
