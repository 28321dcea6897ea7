//! Finds the entry VM that owns a call and has it run there, at most once.

use {
    crate::{
        Context, Exchange,
        call::{Call, Reply},
        inner,
        owner::{self, Ending},
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

/// Most entry VMs that are asked in one search for the owner.
const HOPS: usize = 5;
/// Wait before another search while the list of entry VMs spreads.
const SEARCH_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time to search again.
const SEARCH_LIMIT: Duration = Duration::from_secs(3);
/// Time between two looks at whether the owner still lives.
const WATCH: Duration = Duration::from_millis(250);
/// When a caller shall come back if no owner could be reached.
const RETRY: Duration = Duration::from_secs(1);

/// Has the owner run a call.
///
/// # Errors
/// Returns the owner's refusal; `MayHaveRun` if no owner could be reached.
pub async fn run(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    claim: once::Call,
) -> Result<Reply, Refusal> {
    let limit = context.now() + SEARCH_LIMIT.min(exchange.remaining(context.now()));
    loop {
        let refusal = match search(context, exchange, call, claim).await {
            Ok(reply) => return Ok(reply),
            Err(refusal) => refusal,
        };
        if !is_passing(&refusal) || context.now() + SEARCH_BACKOFF >= limit {
            return Err(refusal);
        }
        Timer::after(SEARCH_BACKOFF).await;
    }
}

/// Returns whether a refusal may pass within moments, while a new list or a handover spreads.
fn is_passing(refusal: &Refusal) -> bool {
    refusal.reason == Reason::KeyInDoubt && refusal.retry_after.is_some_and(|delay| delay <= RETRY)
}

async fn search(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    claim: once::Call,
) -> Result<Reply, Refusal> {
    let mut candidates = VecDeque::from(context.owner.owners(&claim));
    if candidates.is_empty() {
        return Err(changing());
    }
    let mut lost = HashSet::new();
    let mut unreachable = HashSet::new();
    for _ in 0..HOPS {
        if exchange.remaining(context.now()).is_zero() {
            let message = "the deadline passed while the owner was searched";
            return Err(Refusal::may_have_run(Reason::Deadline, message));
        }
        let next = candidates.pop_front();
        let Some(vm) = next.filter(|vm| !unreachable.contains(vm)) else {
            return Err(unowned());
        };
        let ending = if vm == context.identity.vm {
            owner::submit(context, exchange, call, claim).await
        } else {
            forward(context, exchange, call, vm).await
        };
        match ending {
            Ok(Ending::Outcome(outcome)) => return outcome.map(|reply| decode(&reply)),
            Ok(Ending::Elsewhere(next)) => {
                candidates.retain(|&candidate| candidate != next);
                candidates.push_front(next);
            }
            Err(refusal) if refusal.reason != Reason::PeerLost => return Err(refusal),
            // The owner joins a call that it knows, so it may be asked again.
            Err(refusal) if !refusal.verdict.is_repeatable() && lost.insert(vm) => {
                candidates.push_front(vm);
            }
            Err(_) => {
                unreachable.insert(vm);
            }
        }
    }
    Err(changing())
}

/// The answer while entry VMs do not agree on an owner; it passes within moments.
fn changing() -> Refusal {
    let message = "the owner of the call is changing";
    Refusal::may_have_run(Reason::KeyInDoubt, message).retry_after(RETRY)
}

/// The answer if no owner could be reached: an earlier attempt may have run.
fn unowned() -> Refusal {
    let message = "no entry VM that may own the call can be reached";
    Refusal::may_have_run(Reason::PeerLost, message).retry_after(RETRY)
}

/// Hands a call over, and gives up once the other VM is known to be dead.
async fn forward(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    vm: key::Vm,
) -> Result<Ending, Refusal> {
    let dead = async {
        watch(context, vm).await;
        Err(Refusal::may_have_run(
            Reason::PeerLost,
            "the entry VM that owns the call does not answer",
        )
        .retry_after(RETRY))
    };
    smol::future::or(inner::forward(context, exchange, call, vm), dead).await
}

/// Waits until another entry VM is dead, or runs as a later incarnation.
async fn watch(context: &Arc<Context>, vm: key::Vm) {
    let mut first = None;
    loop {
        let member = {
            let membership = context.gossip.membership();
            let member = membership.members().find(|member| member.key == vm);
            member.map(|member| (member.incarnation, member.state))
        };
        if let Some((incarnation, state)) = member {
            let known = *first.get_or_insert(incarnation);
            if state == State::Dead || incarnation != known {
                return;
            }
        }
        Timer::after(WATCH).await;
    }
}

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

/// Keeps an answer for the record.
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
