//! Applies what targets say of themselves in their answers.

use {
    crate::{Shared, control::reports, tunnel::opener},
    base::Instant,
    dispatch::listing::Target,
    hyper::{HeaderMap, StatusCode},
    platform::request::{parse_notice, parse_occupancy},
    std::{net::Ipv4Addr, sync::Arc},
};

/// Applies what an answer says of its target: its limit and load, that it leaves, or that it wants a
/// pause.
///
/// `sent` is when the request was sent, and `via` the peer through which. The other VMs learn of it,
/// except of the load.
pub fn apply(
    shared: &Arc<Shared>,
    target: &Target,
    (status, headers): (StatusCode, &HeaderMap),
    sent: Instant,
    via: Option<Ipv4Addr>,
) {
    let now = shared.now();
    let notice = parse_notice(status, headers);
    if shared
        .dispatcher
        .record_limit(target.key, notice.limit, sent, now)
    {
        log::info!(
            target: "limit", instance:% = target.instance, is_limited = notice.limit.is_some(),
            limit = notice.limit.unwrap_or_default();
            "target changed the number of requests per second that it takes"
        );
    }
    if let Some(occupancy) = parse_occupancy(headers)
        && shared.dispatcher.record_occupancy(target, occupancy, now)
    {
        log::info!(
            target: "pace", instance:% = target.instance;
            "targets of the service report how long work takes on their hosts"
        );
    }
    let max_refusals = notice.max_refusals;
    if shared
        .dispatcher
        .record_brittle(target.key, max_refusals, sent, now)
    {
        log::info!(
            target: "limit", instance:% = target.instance, is_brittle = max_refusals.is_some(),
            max_refusals = max_refusals.unwrap_or_default();
            "target changed the number of refusals per second that it bears"
        );
    }
    if let Some(pause) = notice.pause {
        shared.dispatcher.record_pause(target.key, pause, now);
        log::info!(
            target: "limit", instance:% = target.instance, pause_ms = pause.as_millis() as u64;
            "target wants no requests from this VM for a time"
        );
        if let Some(peer) = via {
            let message = opener::send_pause(Arc::clone(shared), peer, target.key, pause);
            shared.runtime.spawn(message).detach();
        }
    }
    let cold_remaining = notice.cold_remaining;
    if cold_remaining.is_some_and(|remaining| shared.directory.mark_cold(target, remaining, now)) {
        log::info!(
            target: "limit", instance:% = target.instance,
            cold_ms = cold_remaining.unwrap_or_default().as_millis() as u64;
            "target says for how long it is still cold"
        );
    }
    if notice.is_leaving && shared.directory.mark_announced_leaving(target.key) {
        log::info!(target: "target", target_key:% = target.key, instance:% = target.instance; "target says that it is leaving");
        let sender = Arc::clone(shared);
        let report = async move { reports::send_now(&sender, true).await };
        shared.runtime.spawn(report).detach();
    }
}
