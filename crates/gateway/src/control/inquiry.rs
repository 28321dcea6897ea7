//! Polls engines for their departure while the store is unreachable.
//!
//! Engines announce their departure only in the store and exit two seconds later, so while the
//! store is unreachable, no VM would evacuate their runs. In each data centre, one of the VMs that
//! don't reach the store polls the engines instead and includes the departures in its reports.

use {
    crate::{Shared, control::reports},
    bytes::Bytes,
    dispatch::listing::Target,
    futures_util::future::join_all,
    hyper::Method,
    platform::engine,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Interval between polls: a fifth of the engines' notice period of two seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Response timeout; engines respond within a few milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Polls while the store is unreachable, until the process exits.
pub async fn run(shared: Arc<Shared>) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        if !shared.fleet.polls_departures(shared.now()) {
            continue;
        }
        let engines = local_engines(&shared);
        let leaving = join_all(engines.iter().map(|target| is_leaving(&shared, target))).await;
        let now = shared.now();
        let mut is_changed = false;
        for (target, _) in engines
            .iter()
            .zip(leaving)
            .filter(|(_, is_leaving)| *is_leaving)
        {
            is_changed |= shared
                .directory
                .mark_leaving(target.key, target.started_ms, now);
            log::info!(target: "target", target_key:% = target.key, instance:% = target.instance; "engine reports that it is leaving");
        }
        if is_changed {
            reports::send_now(&shared, true).await;
        }
    }
}

/// Returns the engines of the data centre that are not known to be leaving, unless it is cordoned.
fn local_engines(shared: &Shared) -> Vec<Target> {
    let Some(published) = shared.current.load() else {
        return Vec::new();
    };
    let data_centre = shared.settings.load().vm.data_centre.clone();
    let is_candidate = |target: &Target| {
        let service = published.configuration.service(target.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        is_engine && target.is_usable() && target.data_centre == data_centre
    };
    let all = shared.directory.all().into_iter();
    all.filter(is_candidate).collect()
}

/// Returns whether an engine reports that it is leaving; `false` if it doesn't respond.
async fn is_leaving(shared: &Shared, target: &Target) -> bool {
    let body = Bytes::new();
    let call = shared.client.call(
        target.address,
        Method::GET,
        engine::REPORT_PATH,
        body,
        RESPONSE_TIMEOUT,
    );
    let report = match call.await {
        Ok((status, body)) if status.is_success() => engine::parse_report(&body),
        Ok((status, _)) => {
            log::debug!(target: "target", instance:% = target.instance, status = status.as_u16(); "failed to fetch an engine's report");
            return false;
        }
        Err(failure) => {
            log::debug!(target: "target", instance:% = target.instance, reason:% = failure; "failed to fetch an engine's report");
            return false;
        }
    };
    report
        .inspect_err(|error| log::warn!(target: "target", instance:% = target.instance, error:% = error; "failed to parse an engine's report"))
        .is_ok_and(|report| report.is_leaving)
}
