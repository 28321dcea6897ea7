//! Logs which targets begin and end their probation.

use {
    crate::Shared,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Interval between two looks at the changes, each of which logs a bounded number of lines.
const INTERVAL: Duration = Duration::from_millis(500);

/// Logs the changes of probation until the process ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        Timer::after(INTERVAL).await;
        shared.refresh_peers();
        let changes = shared.dispatcher.take_probation_changes(shared.now());
        for change in &changes.changes {
            let target = shared.directory.get(change.target);
            let instance = target.map(|target| target.instance).unwrap_or_default();
            log::info!(
                target: "probation", target_key:% = change.target, instance:% = instance,
                is_begin = change.is_begin(), cause:% = change.cause, omitted = changes.omitted;
                "a target begins or ends its probation"
            );
        }
    }
}
