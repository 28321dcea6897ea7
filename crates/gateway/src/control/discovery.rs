//! Keeps the list of targets up to date.

use {
    crate::Shared,
    dispatch::listing::Target,
    platform::store::{Answer, Change, Failure, Store},
    rand::Rng,
    smol::Timer,
    std::{sync::Arc, time::Duration},
};

/// Time after a failed call until the next one.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Least time between two watches: changes that come together are read in one call.
const GATHER: Duration = Duration::from_millis(200);
/// Time between two looks at what has lapsed.
const TICK: Duration = Duration::from_millis(500);

/// Reads and watches the list until the process ends.
pub async fn run(shared: Arc<Shared>, store: Arc<Store>) {
    let mut revision = None;
    loop {
        let answer = match revision {
            None => store.targets().await,
            Some(revision) => {
                let wait = shared.settings.load().platform.watch;
                store.watch_targets(revision, wait).await
            }
        };
        match answer {
            Ok(answer) => {
                take(&shared, answer, &mut revision);
                Timer::after(GATHER).await;
            }
            Err(Failure::HistoryGone) => {
                log::info!(target: "store", of = "targets"; "the store dropped its history; reading the list anew");
                revision = None;
            }
            Err(failure) => {
                lose(&shared, &failure);
                let delay = RETRY_DELAY.mul_f64(rand::rng().random_range(0.7..1.5));
                Timer::after(delay).await;
            }
        }
    }
}

/// Drops lapsed targets until the process ends.
pub async fn tick(shared: Arc<Shared>) {
    loop {
        Timer::after(TICK).await;
        let now = shared.now();
        shared.directory.update(|listing| listing.advance(now));
    }
}

fn lose(shared: &Shared, failure: &Failure) {
    log::warn!(target: "store", of = "targets", reason:% = failure; "the store does not answer");
    shared.directory.update(|listing| {
        listing.lose_store();
        false
    });
}

fn take(shared: &Shared, answer: Answer<Vec<Change>>, revision: &mut Option<u64>) {
    let now = shared.now();
    let is_whole = revision.is_none();
    shared.directory.update(|listing| {
        if listing.regain_store(now) {
            log::info!(target: "store", of = "targets"; "the store answers again");
        }
        if is_whole {
            let targets = answer.content.into_iter().filter_map(put).collect();
            return listing.replace(targets, now);
        }
        let mut changed = false;
        for change in answer.content {
            changed |= match change {
                Change::Put(target) => {
                    let (key, is_leaving) = (target.key, target.is_leaving);
                    let is_change = listing.put(target);
                    if is_change {
                        log::info!(target: "target", target_key:% = key, is_leaving; "the store lists a target");
                    }
                    is_change
                }
                Change::Removed(key) => {
                    let is_change = listing.remove(key, now);
                    log::info!(target: "target", target_key:% = key, at_once = is_change; "the store no longer lists a target");
                    is_change
                }
                Change::Unreadable(key, error) => {
                    log::warn!(target: "target", target_key:% = key, error:% = error; "an entry of the store can't be read");
                    false
                }
            };
        }
        changed
    });
    shared.directory.set_revision(answer.revision);
    *revision = Some(answer.revision);
}

fn put(change: Change) -> Option<Target> {
    match change {
        Change::Put(target) => Some(target),
        Change::Removed(_) => None,
        Change::Unreadable(key, error) => {
            log::warn!(target: "target", target_key:% = key, error:% = error; "an entry of the store can't be read");
            None
        }
    }
}
