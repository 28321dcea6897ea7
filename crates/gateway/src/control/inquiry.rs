//! Asks engines whether they leave, while the store does not answer.
//!
//! Fault: engines announce in the store alone that they leave, and go two seconds later; while the
//! store is away nobody would copy their runs. The VMs that watch the store ask the engines of
//! their data centre instead, and pass the notice on with their reports.

use {
    crate::{
        Shared,
        control::{discovery::WATCHERS, reports},
    },
    bytes::Bytes,
    dispatch::listing::Target,
    futures_util::future::join_all,
    hyper::Method,
    platform::engine,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Time between two rounds of questions: a quarter of the notice that engines give.
const INTERVAL: Duration = Duration::from_millis(400);
/// Time for an answer; engines answer in a few milliseconds.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Asks while the store is away until the process ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        Timer::after(INTERVAL).await;
        let is_watcher = || shared.fleet.watch(WATCHERS, shared.now()).is_some();
        if !shared.fleet.is_store_lost() || !is_watcher() {
            continue;
        }
        let asked = near_engines(&shared);
        let leaving = join_all(asked.iter().map(|target| leaves(&shared, target))).await;
        let now = shared.now();
        let mut has_news = false;
        for (target, _) in asked.iter().zip(leaving).filter(|(_, leaves)| *leaves) {
            has_news |= shared.directory.notice(target.key, now);
            log::info!(target: "target", target_key:% = target.key, instance:% = target.instance; "the engine itself says that it is leaving");
        }
        if has_news {
            reports::announce(&shared, true).await;
        }
    }
}

/// Returns the engines of the data centre that stay as far as is known.
fn near_engines(shared: &Shared) -> Vec<Target> {
    let Some(published) = shared.current.load() else {
        return Vec::new();
    };
    let data_centre = shared.settings.load().vm.data_centre.clone();
    let is_asked = |target: &Target| {
        let service = published.configuration.service(target.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        is_engine && !target.is_leaving && target.data_centre == data_centre
    };
    let all = shared.directory.all().into_iter();
    all.filter(is_asked).collect()
}

/// Returns whether an engine says that it leaves; one that does not answer says nothing.
async fn leaves(shared: &Shared, target: &Target) -> bool {
    let body = Bytes::new();
    let call = shared.client.call(
        target.address,
        Method::GET,
        engine::REPORT_PATH,
        body,
        ANSWER_LIMIT,
    );
    let report = match call.await {
        Ok((status, body)) if status.is_success() => engine::parse_report(&body),
        Ok((status, _)) => {
            log::debug!(target: "target", instance:% = target.instance, status = status.as_u16(); "an engine gave no report");
            return false;
        }
        Err(failure) => {
            log::debug!(target: "target", instance:% = target.instance, reason:% = failure; "an engine gave no report");
            return false;
        }
    };
    report
        .inspect_err(|error| log::warn!(target: "target", instance:% = target.instance, error:% = error; "an engine's report can't be read"))
        .is_ok_and(|report| report.is_leaving)
}
