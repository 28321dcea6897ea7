//! Records of calls.

use {
    crate::Id,
    base::{Instant, Reason, Refusal, Verdict, key},
    derive_more::Debug,
    std::{sync::Arc, time::Duration},
};

/// Length of a fingerprint in bytes.
pub const FINGERPRINT_LENGTH: usize = 32;
/// Bytes that a record takes beside its answer, roughly.
const OVERHEAD: usize = 256;

/// SHA-256 over service, method, path and body of a call.
pub type Fingerprint = [u8; FINGERPRINT_LENGTH];

/// The answer of a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    #[debug("{} headers", headers.len())]
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body.
    #[debug("{} bytes", body.len())]
    pub body: Box<[u8]>,
}

/// What became of a call.
pub type Outcome = Result<Arc<Reply>, Refusal>;

/// How far a call has come.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Earlier homes are asked to refuse it.
    Sealing(Vec<key::Vm>),
    /// It may be sent, by this VM alone.
    Claimed,
    /// Bytes of it may have reached a target.
    Sent,
    /// It is finished.
    Done(Outcome),
    /// Another entry VM has the record.
    Moved(key::Vm),
}

/// The record of one call.
#[derive(Debug)]
pub(crate) struct Record {
    pub fingerprint: Fingerprint,
    pub stage: Stage,
    /// Callers that wait for the outcome.
    pub waiters: Vec<u64>,
    /// When it may be dropped, once it is finished.
    pub until: Option<Instant>,
    /// Expiry of the ticket; `None` for a bare key.
    pub expiry: Option<Instant>,
    /// Serial of a ticket that this incarnation issued.
    pub serial: Option<u64>,
}

impl Record {
    pub fn new(fingerprint: Fingerprint, stage: Stage, waiter: u64) -> Self {
        Self {
            fingerprint,
            stage,
            waiters: vec![waiter],
            until: None,
            expiry: None,
            serial: None,
        }
    }

    /// Returns the bytes of the answer.
    pub fn weight(&self) -> usize {
        let Stage::Done(Ok(reply)) = &self.stage else {
            return 0;
        };
        let headers = reply.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        OVERHEAD + headers + reply.body.len()
    }

    /// Returns what another entry VM must know of the call, for at least `shortest`.
    pub fn copy(&self, id: Id, now: Instant, shortest: Duration, is_last: bool) -> Replica {
        let state = match &self.stage {
            Stage::Done(outcome) => State::Done(outcome.clone()),
            _ if is_last => State::Done(Err(unknown_fate())),
            _ => State::HeldBySender,
        };
        let left = self.until.map_or(Duration::ZERO, |until| until.since(now));
        Replica {
            id,
            fingerprint: self.fingerprint,
            state,
            retention: left.max(shortest),
        }
    }
}

/// The answer for a call whose VM stopped before its end.
fn unknown_fate() -> Refusal {
    Refusal::may_have_run(
        Reason::PeerLost,
        "the entry VM stopped before the call ended",
    )
}

/// The answer for a call whose result was dropped.
pub(crate) fn dropped() -> Refusal {
    Refusal {
        verdict: Verdict::Ran,
        ..Refusal::not_run(
            Reason::RecordDropped,
            "the call ran; its answer was dropped",
        )
    }
}

/// What the receiver of a record is told of the call.
#[derive(Clone, Debug)]
pub enum State {
    /// It is finished.
    Done(Outcome),
    /// The sender still runs it.
    HeldBySender,
}

/// A record on its way to another entry VM.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Id of the call.
    pub id: Id,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// How far the call has come.
    pub state: State,
    /// Time until the record may be dropped.
    pub retention: Duration,
}
