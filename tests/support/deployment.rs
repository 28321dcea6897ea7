//! The published value of a test's deployment.

use {
    super::{CUSTOMERS, Cluster, MODEL_SERVICE, PLAIN_SERVICE, client, wait_until},
    hyper::Method,
    sha2::{Digest, Sha256},
    std::fmt::Write as _,
};

impl Cluster {
    /// Returns the published value of a version, with further sections.
    pub fn value(&self, version: u64, sections: &str) -> String {
        let mut value = format!("[deployment]\nname = test\nversion = {version}\n");
        let setup = &self.setup;
        let mut add = |text: String| value.push_str(&text);
        for number in 1..=setup.data_centres {
            add(format!("[data_centre dc-{number}]\nregion = region-1\n"));
        }
        let place = |kind: &str, name: &str, each, part: &str| {
            let address = self.addresses[&format!("link:{name}")];
            let data_centre = Self::data_centre(name, each);
            format!("[{kind} {name}]\ndata_centre = {data_centre}\n{part} = {address}\n")
        };
        for vm in self.vms() {
            add(place("vm", &vm, setup.vms, "inner"));
        }
        for engine in self.engines() {
            add(place("target", &engine, setup.engines, "address"));
            add(format!(
                "service = {MODEL_SERVICE}\nmemory_tokens = 65536\nweights = 64GiB\n"
            ));
        }
        for service in self.services() {
            add(place("target", &service, setup.services, "address"));
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
        value
    }

    /// Publishes a version on the platform.
    pub fn publish(&self, version: u64, sections: &str) {
        self.publish_value(version, &self.value(version, sections));
    }

    /// Publishes version 2, waits until it is in force, and has the platform serve version 1 again.
    pub fn make_platform_stale(&self) {
        self.publish(2, "");
        for vm in self.vms() {
            wait_until(&format!("{vm} has version 2"), || {
                let status = self.get(&format!("{vm}/admin"), "/status");
                status.is_ok_and(|status| status.json()["configuration_version"] == 2)
            });
        }
        let stale = serde_json::json!({"stale": 1});
        self.order("platform", "/test/mode", &stale);
    }

    /// Publishes a version without one of the targets.
    pub fn publish_without(&self, version: u64, target: &str) {
        let value = self.value(version, "");
        let blocks = value.split_inclusive("\n[");
        let kept = blocks.filter(|block| !block.starts_with(&format!("target {target}]")));
        self.publish_value(version, &kept.collect::<String>());
    }

    /// Publishes a value under a version.
    pub fn publish_value(&self, version: u64, value: &str) {
        let headers = [("x-version", &*version.to_string())];
        let answer = client::ask(
            self.addresses["platform"],
            &Method::POST,
            "/test/publish",
            &headers,
            value,
        );
        assert_eq!(answer.expect("the platform answers").status, 200);
    }
}
