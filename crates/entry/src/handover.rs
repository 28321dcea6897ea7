//! Messages between the call registries of entry VMs: seal queries, handovers and reclaims.

use {
    crate::{
        Context, inner,
        owner::{self, Answer},
    },
    base::{Reason, Refusal, Verdict, key},
    once::{
        Action, Event, Id, Replica, Reply, SealState,
        id::LENGTH,
        record::{FINGERPRINT_LENGTH, State},
    },
    prost::Message,
    std::{sync::Arc, time::Duration},
    wire::msg::{self, Hello, envelope::Body},
};

/// Target size of a frame of records in bytes; a single larger record still goes out in one frame.
const FRAME_SIZE: usize = 1 << 20;
/// Longest wait for another entry VM's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a registry's request to its peer and passes the answer back as an event.
pub async fn send(context: Arc<Context>, request: Action) {
    match request {
        Action::QuerySeal { vm, id } => query_seal(&context, vm, id).await,
        Action::Offer { vm, records } => offer(&context, vm, records).await,
        Action::Commit {
            vm,
            list_digest,
            includes_keys,
        } => {
            let message = msg::Handover {
                last: true,
                list: list_digest,
                settled: includes_keys,
                ..msg::Handover::default()
            };
            let accepted = send_handover(&context, vm, message).await;
            owner::handle(&context, Event::HandoverReply { vm, accepted });
        }
        Action::Reclaim { vm } => reclaim(&context, vm).await,
        _ => {}
    }
}

async fn query_seal(context: &Arc<Context>, vm: key::Vm, id: Id) {
    let query = msg::SealQuery {
        number: 1,
        id: id.bytes().to_vec(),
    };
    let answer = inner::send_request(context, vm, Body::SealQuery(query), ANSWER_TIMEOUT).await;
    let (state, history_age) = match answer {
        Ok(Body::Seal(seal)) => {
            let age = Duration::from_millis(seal.incarnation_age_ms);
            (decode_seal(seal.state()), age)
        }
        _ => (SealState::Unknown, Duration::ZERO),
    };
    owner::handle(
        context,
        Event::SealReply {
            vm,
            id,
            state,
            history_age,
        },
    );
}

/// Offers records in frames of bounded size; stops at the first one that isn't accepted.
async fn offer(context: &Arc<Context>, vm: key::Vm, records: Vec<Replica>) {
    let mut accepted = true;
    for records in split_into_frames(records) {
        let message = msg::Handover {
            records,
            ..msg::Handover::default()
        };
        accepted = accepted && send_handover(context, vm, message).await;
    }
    owner::handle(context, Event::HandoverReply { vm, accepted });
}

/// Splits records into groups that each fit a frame; returns at least one group.
fn split_into_frames(records: Vec<Replica>) -> Vec<Vec<msg::Record>> {
    let mut frames = vec![Vec::new()];
    let mut size = 0;
    for record in records.into_iter().map(encode) {
        size += record.encoded_len();
        if size > FRAME_SIZE {
            size = record.encoded_len();
            frames.push(Vec::new());
        }
        if let Some(frame) = frames.last_mut() {
            frame.push(record);
        }
    }
    frames
}

async fn send_handover(context: &Context, vm: key::Vm, message: msg::Handover) -> bool {
    let answer = inner::send_request(context, vm, Body::Handover(message), ANSWER_TIMEOUT).await;
    matches!(answer, Ok(Body::HandoverDone(_)))
}

async fn reclaim(context: &Arc<Context>, vm: key::Vm) {
    let message = Body::Reclaim(msg::Reclaim { number: 1 });
    let returned = match inner::send_request(context, vm, message, ANSWER_TIMEOUT).await {
        Ok(Body::Handover(returned)) => returned,
        _ => msg::Handover::default(),
    };
    let records = returned.records.into_iter().filter_map(decode).collect();
    let (list_digest, includes_keys) = (returned.list, returned.settled);
    owner::handle(
        context,
        Event::Returned {
            vm,
            records,
            list_digest,
            includes_keys,
        },
    );
}

/// Handles a request of another entry VM's registry; `None` if it is refused or not understood.
pub async fn handle(context: &Arc<Context>, peer: &Hello, body: Body) -> Option<Body> {
    let vm = key::Vm::of(&peer.vm);
    let incarnation = peer.incarnation;
    match body {
        Body::SealQuery(query) => {
            let id = Id::from_bytes(query.id.try_into().ok()?);
            let event = |request_id| Event::SealQuery { request_id, vm, id };
            let Answer::Seal(state, history_age) = owner::query(context, event).await? else {
                return None;
            };
            Some(Body::Seal(msg::Seal {
                number: query.number,
                state: encode_seal(state).into(),
                incarnation_age_ms: history_age.as_millis() as u64,
            }))
        }
        Body::Handover(handover) => accept_handover(context, vm, incarnation, handover),
        Body::Reclaim(reclaim) => {
            let event = |request_id| Event::ReclaimQuery {
                request_id,
                vm,
                incarnation,
            };
            let Answer::Return(records, list_digest, includes_keys) =
                owner::query(context, event).await?
            else {
                return None;
            };
            Some(Body::Handover(msg::Handover {
                number: reclaim.number,
                records: encode_for_frame(records),
                last: true,
                list: list_digest,
                settled: includes_keys,
            }))
        }
        _ => None,
    }
}

/// Encodes records for one frame; once it is full, further ones are sent without their outcome, as
/// [`State::HeldBySender`].
fn encode_for_frame(records: Vec<Replica>) -> Vec<msg::Record> {
    let mut size = 0;
    let encode_next = |replica: Replica| {
        let record = encode(replica.clone());
        size += record.encoded_len();
        if size <= FRAME_SIZE {
            return record;
        }
        encode(Replica {
            state: State::HeldBySender,
            ..replica
        })
    };
    records.into_iter().map(encode_next).collect()
}

fn accept_handover(
    context: &Arc<Context>,
    vm: key::Vm,
    incarnation: u64,
    handover: msg::Handover,
) -> Option<Body> {
    if !context.registry.has_room(handover.records.len()) {
        return None;
    }
    let number = handover.number;
    let event = if handover.last {
        Event::Committed {
            vm,
            incarnation,
            list_digest: handover.list,
            includes_keys: handover.settled,
        }
    } else {
        let records = handover.records.into_iter().map(decode);
        Event::Offered {
            vm,
            incarnation,
            // Skipping an unreadable record would make its call look as if it had never run.
            records: records.collect::<Option<_>>()?,
        }
    };
    owner::handle(context, event);
    Some(Body::HandoverDone(msg::HandoverDone { number }))
}

fn encode_seal(state: SealState) -> msg::SealState {
    match state {
        SealState::Sealed => msg::SealState::Sealed,
        SealState::Claimed => msg::SealState::Claimed,
        SealState::Unknown => msg::SealState::Unknown,
    }
}

fn decode_seal(state: msg::SealState) -> SealState {
    match state {
        msg::SealState::Sealed => SealState::Sealed,
        msg::SealState::Claimed => SealState::Claimed,
        msg::SealState::Unknown | msg::SealState::Unspecified => SealState::Unknown,
    }
}

fn encode(replica: Replica) -> msg::Record {
    let mut record = msg::Record {
        id: replica.id.bytes().to_vec(),
        fingerprint: replica.fingerprint.to_vec(),
        retention_ms: replica.retention.as_millis() as u64 + 1,
        ..msg::Record::default()
    };
    match replica.state {
        State::HeldBySender => {}
        State::Done(Ok(reply)) => {
            record.verdict = msg::Verdict::Ran.into();
            record.status = reply.status.into();
            record.headers = reply.headers.iter().map(inner::encode_header).collect();
            record.body = reply.body.to_vec();
        }
        State::Done(Err(refusal)) => {
            record.verdict = inner::encode_verdict(refusal.verdict).into();
            record.reason = refusal.reason.to_string();
            record.body = refusal.message.as_bytes().to_vec();
        }
    }
    record
}

fn decode(record: msg::Record) -> Option<Replica> {
    let fingerprint: [u8; FINGERPRINT_LENGTH] = record.fingerprint.as_slice().try_into().ok()?;
    let id: [u8; LENGTH] = record.id.as_slice().try_into().ok()?;
    Some(Replica {
        id: Id::from_bytes(id),
        fingerprint,
        retention: Duration::from_millis(record.retention_ms),
        state: decode_state(record),
    })
}

fn decode_state(record: msg::Record) -> State {
    if record.verdict() == msg::Verdict::Unspecified {
        return State::HeldBySender;
    }
    if record.reason.is_empty() {
        let headers = record.headers.into_iter();
        return State::Done(Ok(Arc::new(Reply {
            status: record.status as u16,
            headers: headers
                .map(|header| (header.name.into(), header.value.into()))
                .collect(),
            body: record.body.into(),
        })));
    }
    // A finished record is never `NotRun`; answering so would let the caller repeat the call.
    let verdict = match inner::decode_verdict(record.verdict()) {
        Verdict::Ran => Verdict::Ran,
        Verdict::NotRun | Verdict::MayHaveRun => Verdict::MayHaveRun,
    };
    let reason = serde_json::from_value(record.reason.into()).unwrap_or(Reason::Internal);
    State::Done(Err(Refusal {
        verdict,
        ..Refusal::not_run(reason, String::from_utf8_lossy(&record.body))
    }))
}
