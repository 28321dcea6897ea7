//! Submits an at-most-once call to the entry VM that owns it.

use {
    crate::{
        Context, Exchange,
        call::{Call, Reply},
        inner,
        owner::{self, Resolution},
    },
    base::{Reason, Refusal, key},
    fleet::State,
    hyper::{
        HeaderMap, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    smol::Timer,
    std::{
        collections::{HashSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Most submissions in one search for the owner.
const MAX_HOPS: usize = 5;
/// Delay before the next search while a new list of entry VMs propagates.
const SEARCH_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time during which searches are repeated.
const SEARCH_LIMIT: Duration = Duration::from_secs(3);
/// Interval of the check whether the owner is still alive.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(250);
/// Retry delay for the caller if no owner could be reached or the owner is changing.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Submits a call to its owner and returns the reply; repeats the search while the owner changes.
///
/// # Errors
/// Returns the owner's refusal, or a `MayHaveRun` refusal if no owner could be reached.
pub async fn run(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    claim: once::Call,
) -> Result<Reply, Refusal> {
    let give_up_at = context.now() + SEARCH_LIMIT.min(exchange.remaining(context.now()));
    loop {
        let refusal = match search(context, exchange, call, claim).await {
            Ok(reply) => return Ok(reply),
            Err(refusal) => refusal,
        };
        if !is_transient(&refusal) || context.now() + SEARCH_BACKOFF >= give_up_at {
            return Err(refusal);
        }
        Timer::after(SEARCH_BACKOFF).await;
    }
}

/// Returns whether a refusal may resolve shortly, as while a new VM list or a handover propagates.
fn is_transient(refusal: &Refusal) -> bool {
    refusal.reason == Reason::KeyInDoubt
        && refusal
            .retry_after
            .is_some_and(|delay| delay <= RETRY_AFTER)
}

/// Tries the candidate owners in order, following redirects.
async fn search(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    claim: once::Call,
) -> Result<Reply, Refusal> {
    let mut candidates = VecDeque::from(context.registry.owners(&claim));
    if candidates.is_empty() {
        return Err(owner_changing());
    }
    let mut retried = HashSet::new();
    let mut unreachable = HashSet::new();
    for _ in 0..MAX_HOPS {
        if exchange.remaining(context.now()).is_zero() {
            let message = "the deadline passed while the owner was searched";
            return Err(Refusal::may_have_run(Reason::Deadline, message));
        }
        let next = candidates.pop_front();
        let Some(vm) = next.filter(|vm| !unreachable.contains(vm)) else {
            return Err(owner_unreachable());
        };
        let resolution = if vm == context.identity.vm {
            owner::submit(context, exchange, call, claim).await
        } else {
            forward(context, exchange, call, vm).await
        };
        match resolution {
            Ok(Resolution::Outcome(outcome)) => return outcome.map(|reply| decode(&reply)),
            Ok(Resolution::Redirect(next)) => {
                candidates.retain(|&candidate| candidate != next);
                candidates.push_front(next);
            }
            Err(refusal) if refusal.reason != Reason::PeerLost => return Err(refusal),
            // A repeated submission joins the call's existing run, so one more try is safe.
            Err(refusal) if !refusal.verdict.is_repeatable() && retried.insert(vm) => {
                candidates.push_front(vm);
            }
            Err(_) => {
                unreachable.insert(vm);
            }
        }
    }
    Err(owner_changing())
}

/// The refusal while entry VMs disagree on the owner, which resolves shortly.
fn owner_changing() -> Refusal {
    let message = "the owner of the call is changing";
    Refusal::may_have_run(Reason::KeyInDoubt, message).retry_after(RETRY_AFTER)
}

/// The refusal if no owner could be reached; an earlier attempt may have run.
fn owner_unreachable() -> Refusal {
    let message = "no entry VM that may own the call can be reached";
    Refusal::may_have_run(Reason::PeerLost, message).retry_after(RETRY_AFTER)
}

/// Forwards a call; gives up once the other VM is dead or has restarted.
async fn forward(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    vm: key::Vm,
) -> Result<Resolution, Refusal> {
    let dead = async {
        wait_until_dead(context, vm).await;
        Err(Refusal::may_have_run(
            Reason::PeerLost,
            "the entry VM that owns the call does not answer",
        )
        .retry_after(RETRY_AFTER))
    };
    smol::future::or(inner::forward(context, exchange, call, vm), dead).await
}

/// Waits until another entry VM is dead or runs as another incarnation.
async fn wait_until_dead(context: &Arc<Context>, vm: key::Vm) {
    let mut initial = None;
    loop {
        let member = {
            let membership = context.gossip.membership();
            let member = membership.members().find(|member| member.key == vm);
            member.map(|member| (member.incarnation, member.state))
        };
        if let Some((incarnation, state)) = member {
            let initial = *initial.get_or_insert(incarnation);
            if state == State::Dead || incarnation != initial {
                return;
            }
        }
        Timer::after(LIVENESS_INTERVAL).await;
    }
}

/// Converts a recorded reply to a response.
fn decode(reply: &once::Reply) -> Reply {
    let headers = reply.headers.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    });
    Reply {
        status: StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers: headers.collect::<HeaderMap>(),
        body: reply.body.to_vec().into(),
    }
}

/// Converts a response to its recorded form.
pub fn encode(reply: &Reply) -> once::Reply {
    let headers = reply.headers.iter();
    once::Reply {
        status: reply.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
            .collect(),
        body: reply.body.to_vec().into(),
    }
}
