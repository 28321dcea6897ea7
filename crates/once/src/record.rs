//! Records of calls.

use {
    crate::Id,
    base::{Instant, Reason, Refusal, Verdict, key},
    derive_more::Debug,
    std::{sync::Arc, time::Duration},
};

/// Length of a fingerprint in bytes.
pub const FINGERPRINT_LENGTH: usize = 32;
/// Approximate size of a record without its reply, in bytes.
const RECORD_OVERHEAD: usize = 256;

/// SHA-256 over service, method, path and body of a call.
pub type Fingerprint = [u8; FINGERPRINT_LENGTH];

/// The reply of a target to a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    #[debug("{} headers", headers.len())]
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body, as received.
    #[debug("{} bytes", body.len())]
    pub body: Box<[u8]>,
}

/// The result of a call: the target's reply, or why there is none.
pub type Outcome = Result<Arc<Reply>, Refusal>;

/// Progress of a call at this VM.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// These previous owners have yet to seal the key.
    Sealing(Vec<key::Vm>),
    /// Only this VM may send it; it has not been sent yet.
    Claimed,
    /// It may have reached a target, at least in part.
    Sent,
    /// It has ended.
    Done(Outcome),
    /// Another entry VM holds the record.
    Moved(key::Vm),
}

/// The record of one call.
#[derive(Debug)]
pub(crate) struct Record {
    pub fingerprint: Fingerprint,
    pub stage: Stage,
    /// Callers that wait for the outcome.
    pub waiters: Vec<u64>,
    /// When the record may be dropped; `None` until the call has ended.
    pub expires_at: Option<Instant>,
    /// When the ticket expires; `None` for a bare key.
    pub ticket_expiry: Option<Instant>,
    /// Serial number of the ticket, if this incarnation issued it.
    pub serial: Option<u64>,
}

impl Record {
    pub fn new(fingerprint: Fingerprint, stage: Stage, waiter: u64) -> Self {
        Self {
            fingerprint,
            stage,
            waiters: vec![waiter],
            expires_at: None,
            ticket_expiry: None,
            serial: None,
        }
    }

    /// Returns the size of a finished call's reply in bytes, with overhead; 0 without a reply.
    pub fn reply_size(&self) -> usize {
        let Stage::Done(Ok(reply)) = &self.stage else {
            return 0;
        };
        let headers = reply.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        RECORD_OVERHEAD + headers + reply.body.len()
    }

    /// Returns the replica for another entry VM, to be kept for at least `min_retention`.
    ///
    /// If this VM `is_stopping`, an unfinished call is replicated as one that may have run.
    pub fn replica(
        &self,
        id: Id,
        now: Instant,
        min_retention: Duration,
        is_stopping: bool,
    ) -> Replica {
        let state = match &self.stage {
            Stage::Done(outcome) => State::Done(outcome.clone()),
            _ if is_stopping => State::Done(Err(owner_stopped())),
            _ => State::HeldBySender,
        };
        let remaining = self
            .expires_at
            .map_or(Duration::ZERO, |expires_at| expires_at.since(now));
        Replica {
            id,
            fingerprint: self.fingerprint,
            state,
            retention: remaining.max(min_retention),
        }
    }
}

/// The refusal for a call whose entry VM stopped before the call ended.
fn owner_stopped() -> Refusal {
    Refusal::may_have_run(
        Reason::PeerLost,
        "the entry VM stopped before the call ended",
    )
}

/// The refusal for a call that ran and whose reply was dropped.
pub(crate) fn reply_dropped() -> Refusal {
    Refusal {
        verdict: Verdict::Ran,
        ..Refusal::not_run(
            Reason::RecordDropped,
            "the call ran; its answer was dropped",
        )
    }
}

/// Progress of a call as reported in a replica.
#[derive(Clone, Debug)]
pub enum State {
    /// It has ended.
    Done(Outcome),
    /// The sender holds the record and is the one to ask for the outcome.
    HeldBySender,
}

/// A record as sent to another entry VM.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Id of the call.
    pub id: Id,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Progress of the call.
    pub state: State,
    /// Time until the record may be dropped.
    pub retention: Duration,
}
