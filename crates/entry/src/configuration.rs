//! The platform's configuration and list of VMs.

use {
    crate::{Context, deployment::Deployment, http, runtime::within},
    base::{Refusal, key},
    bytes::Bytes,
    config::Snapshot,
    hyper::Method,
    route::Event,
    serde_json::Value,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Largest value that the platform holds, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Wait after a failed call to the platform.
const BACKOFF: Duration = Duration::from_secs(1);
/// Longest wait for an answer beyond the watch itself.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Watches the published value, for as long as the process runs.
pub async fn watch(context: Arc<Context>) {
    loop {
        let after = context.snapshot().version;
        match read(&context, after).await {
            Ok(Some(value)) => {
                if !apply(&context, &value) {
                    Timer::after(BACKOFF).await;
                }
            }
            Ok(None) => {}
            Err(refusal) => {
                log::warn!(target: "configuration", error:% = refusal; "the platform did not answer");
                Timer::after(BACKOFF).await;
            }
        }
    }
}

/// Reads a value newer than `after`; `None` if there was none within the watch.
async fn read(context: &Context, after: u64) -> Result<Option<Box<str>>, Refusal> {
    let platform = &context.settings.platform;
    let wait = platform.watch.as_millis();
    let path = format!("/v1/config?after={after}&wait_ms={wait}");
    let asking = async {
        let mut request = http::request(Method::GET, &path, Bytes::new())?;
        if let Ok(name) = context.identity.name.parse() {
            request.headers_mut().insert("x-vm", name);
        }
        let response = http::send(context, platform.address, request).await?;
        if !response.status().is_success() {
            return Ok(None);
        }
        let body = http::read(response.into_body(), VALUE_LIMIT).await?;
        Ok(Some(String::from_utf8_lossy(&body).into()))
    };
    within(platform.watch + ANSWER_LIMIT, asking)
        .await
        .unwrap_or(Ok(None))
}

/// Brings a value into force if it is newer and free of faults; returns whether it did.
pub fn apply(context: &Context, value: &str) -> bool {
    let snapshot = match config::parse::snapshot("published value", value) {
        Ok(snapshot) => snapshot,
        Err(faults) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            log::error!(target: "configuration", faults = faults.len(), first:% = first; "the value was refused");
            return false;
        }
    };
    let in_force = context.snapshot().version;
    if snapshot.version <= in_force {
        log::warn!(target: "configuration", offered = snapshot.version, in_force; "an older value was ignored");
        return false;
    }
    install(context, snapshot);
    true
}

fn install(context: &Context, snapshot: Snapshot) {
    let snapshot = Arc::new(snapshot);
    let version = snapshot.version;
    let deployment = Deployment::new(Arc::clone(&snapshot));
    context.deployment.store(Arc::new(deployment));
    context
        .router
        .handle(context.now(), Event::Configuration(snapshot));
    log::info!(target: "configuration", configuration_version = version; "in force");
}

/// Reads the list of VMs, for as long as the process runs.
pub async fn list(context: Arc<Context>) {
    loop {
        let platform = &context.settings.platform;
        let answer = http::get_json(&context, platform.address, "/v1/vms", ANSWER_LIMIT).await;
        if let Ok(value) = answer {
            apply_list(&context, &value);
        }
        Timer::after(platform.list_interval).await;
    }
}

fn apply_list(context: &Context, value: &Value) {
    for vm in value["vms"].as_array().into_iter().flatten() {
        let Some(name) = vm["name"].as_str() else {
            continue;
        };
        let target = key::Target::of(name);
        let leaving = vm["state"] == "leaving";
        if context.snapshot().targets.contains(target) {
            context
                .router
                .handle(context.now(), Event::Leaving { target, leaving });
        }
    }
}
