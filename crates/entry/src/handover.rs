//! What the registries of entry VMs say to each other.

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

/// Size of a frame of records in bytes, beside its largest record.
const FRAME_SIZE: usize = 1 << 20;
/// Longest wait for another entry VM's answer.
const LIMIT: Duration = Duration::from_secs(2);

/// Sends a request of the registry and tells it the answer.
pub async fn send(context: Arc<Context>, request: Action) {
    match request {
        Action::QuerySeal { vm, id } => ask_seal(&context, vm, id).await,
        Action::Offer { vm, records } => offer(&context, vm, records).await,
        Action::Commit {
            vm,
            list_digest: list,
            includes_keys: settled,
        } => {
            let message = msg::Handover {
                last: true,
                list,
                settled,
                ..msg::Handover::default()
            };
            let accepted = hand_over(&context, vm, message).await;
            owner::handle(&context, Event::HandoverReply { vm, accepted });
        }
        Action::Reclaim { vm } => reclaim(&context, vm).await,
        _ => {}
    }
}

async fn ask_seal(context: &Arc<Context>, vm: key::Vm, id: Id) {
    let query = msg::SealQuery {
        number: 1,
        id: id.bytes().to_vec(),
    };
    let answer = inner::ask(context, vm, Body::SealQuery(query), LIMIT).await;
    let (seal, age) = match answer {
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
            state: seal,
            history_age: age,
        },
    );
}

/// Offers records in frames of bounded size; one that is not taken ends it.
async fn offer(context: &Arc<Context>, vm: key::Vm, records: Vec<Replica>) {
    let mut accepted = true;
    for records in frames(records) {
        let message = msg::Handover {
            records,
            ..msg::Handover::default()
        };
        accepted = accepted && hand_over(context, vm, message).await;
    }
    owner::handle(context, Event::HandoverReply { vm, accepted });
}

/// Splits records into groups that fit a frame; there is one at least.
fn frames(records: Vec<Replica>) -> Vec<Vec<msg::Record>> {
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

async fn hand_over(context: &Context, vm: key::Vm, message: msg::Handover) -> bool {
    let answer = inner::ask(context, vm, Body::Handover(message), LIMIT).await;
    matches!(answer, Ok(Body::HandoverDone(_)))
}

async fn reclaim(context: &Arc<Context>, vm: key::Vm) {
    let message = Body::Reclaim(msg::Reclaim { number: 1 });
    let returned = match inner::ask(context, vm, message, LIMIT).await {
        Ok(Body::Handover(returned)) => returned,
        _ => msg::Handover::default(),
    };
    let records = returned.records.into_iter().filter_map(decode).collect();
    let (list, settled) = (returned.list, returned.settled);
    owner::handle(
        context,
        Event::Returned {
            vm,
            records,
            list_digest: list,
            includes_keys: settled,
        },
    );
}

/// Answers another entry VM's registry; `None` if it gets no answer.
pub async fn answer(context: &Arc<Context>, peer: &Hello, body: Body) -> Option<Body> {
    let vm = key::Vm::of(&peer.vm);
    let incarnation = peer.incarnation;
    match body {
        Body::SealQuery(query) => {
            let id = Id::from_bytes(query.id.try_into().ok()?);
            let ask = |number| Event::SealQuery {
                request_id: number,
                vm,
                id,
            };
            let Answer::Seal(seal, age) = owner::question(context, ask).await? else {
                return None;
            };
            Some(Body::Seal(msg::Seal {
                number: query.number,
                state: encode_seal(seal).into(),
                incarnation_age_ms: age.as_millis() as u64,
            }))
        }
        Body::Handover(handover) => take_over(context, vm, incarnation, handover),
        Body::Reclaim(reclaim) => {
            let ask = |number| Event::ReclaimQuery {
                request_id: number,
                vm,
                incarnation,
            };
            let Answer::Return(records, list, settled) = owner::question(context, ask).await?
            else {
                return None;
            };
            Some(Body::Handover(msg::Handover {
                number: reclaim.number,
                records: fitting(records),
                last: true,
                list,
                settled,
            }))
        }
        _ => None,
    }
}

/// Writes records for one frame; of those that do not fit it says that the call is known here.
fn fitting(records: Vec<Replica>) -> Vec<msg::Record> {
    let mut size = 0;
    let shorten = |copy: Replica| {
        let whole = encode(copy.clone());
        size += whole.encoded_len();
        if size <= FRAME_SIZE {
            return whole;
        }
        encode(Replica {
            state: State::HeldBySender,
            ..copy
        })
    };
    records.into_iter().map(shorten).collect()
}

fn take_over(
    context: &Arc<Context>,
    vm: key::Vm,
    incarnation: u64,
    handover: msg::Handover,
) -> Option<Body> {
    if !context.owner.has_room(handover.records.len()) {
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
            // Records that can't be read must not be taken for records that there are not.
            records: records.collect::<Option<_>>()?,
        }
    };
    owner::handle(context, event);
    Some(Body::HandoverDone(msg::HandoverDone { number }))
}

fn encode_seal(seal: SealState) -> msg::SealState {
    match seal {
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

fn encode(copy: Replica) -> msg::Record {
    let mut record = msg::Record {
        id: copy.id.bytes().to_vec(),
        fingerprint: copy.fingerprint.to_vec(),
        retention_ms: copy.retention.as_millis() as u64 + 1,
        ..msg::Record::default()
    };
    match copy.state {
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
    // A record that says "not run" would let the call run again.
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
