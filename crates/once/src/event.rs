//! Events and actions of the registry's state machine.

use {
    crate::{Id, Outcome, Replica, Ticket, record::Fingerprint},
    base::key,
    std::time::Duration,
};

/// What identifies a call and determines its owner.
#[derive(Clone, Copy, Debug)]
pub enum Source {
    /// A ticket issued by an entry VM.
    Ticket(Ticket),
    /// An idempotency key without a ticket.
    Key,
}

/// A call that must run at most once.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Identifier of the call's record.
    pub id: Id,
    /// Whether it came with a ticket or a bare key.
    pub source: Source,
    /// Digest of the request, to detect reuse of a ticket or key for another one.
    pub fingerprint: Fingerprint,
}

/// The answer of a key's previous owner to an [`Action::QuerySeal`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SealState {
    /// This incarnation never saw the key, and refuses it from now on.
    Sealed,
    /// The previous owner has a record of the key.
    Claimed,
    /// The previous owner can't decide, or did not answer.
    Unknown,
}

/// An input of the registry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration with these entry VMs came into force.
    VmList(Vec<key::Vm>),
    /// The VM list in force was confirmed as the newest one.
    VmListConfirmed,
    /// A call arrived here.
    Call {
        /// Number of the caller that waits for the outcome.
        waiter: u64,
        /// The call.
        call: Call,
    },
    /// A call named by [`Action::Run`] has ended; after `NotRun` it may be run again.
    Done {
        /// The call.
        id: Id,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The new owner of a key asks this VM to seal it, that is to refuse it from now on.
    SealQuery {
        /// Number of the request, repeated in the reply.
        request_id: u64,
        /// The new owner.
        vm: key::Vm,
        /// The key.
        id: Id,
    },
    /// A previous owner answered an [`Action::QuerySeal`], or the query failed.
    SealReply {
        /// The previous owner.
        vm: key::Vm,
        /// The key.
        id: Id,
        /// Its answer; [`SealState::Unknown`] if the query failed.
        state: SealState,
        /// Time for which the previous owner has seen every VM list.
        history_age: Duration,
    },
    /// A stopping VM offers records to this one.
    Offered {
        /// The VM.
        vm: key::Vm,
        /// Its incarnation.
        incarnation: u64,
        /// The records whose successor is this VM.
        records: Vec<Replica>,
    },
    /// The stopping VM commits the handover: this VM may run the calls instead of it.
    Committed {
        /// The VM.
        vm: key::Vm,
        /// Its incarnation.
        incarnation: u64,
        /// Digest of the VM list in force there.
        list_digest: u64,
        /// Whether the bare keys are handed over as well; only if none is in doubt.
        includes_keys: bool,
    },
    /// A new incarnation of a VM asks for the records and keys that an earlier one handed over.
    ReclaimQuery {
        /// Number of the request, repeated in the reply.
        request_id: u64,
        /// The VM.
        vm: key::Vm,
        /// The new incarnation.
        incarnation: u64,
    },
    /// A VM answered an [`Action::Reclaim`]; empty if the request failed.
    Returned {
        /// The VM that answered.
        vm: key::Vm,
        /// The records.
        records: Vec<Replica>,
        /// Digest of the VM list in force there.
        list_digest: u64,
        /// Whether the keys that were handed over are returned.
        includes_keys: bool,
    },
    /// A VM answered an [`Action::Offer`] or [`Action::Commit`], or the request failed.
    HandoverReply {
        /// The VM.
        vm: key::Vm,
        /// Whether the VM accepted it.
        accepted: bool,
    },
    /// The planned stop begins its handover; no call is in flight any more.
    StartHandover,
    /// Periodic timer, to drop expired records.
    Tick,
}

/// An output of the registry, to be carried out by its driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run a call; [`crate::Registry::permit`] must be called right before each send.
    Run {
        /// The call.
        id: Id,
        /// The caller whose request is to be sent.
        waiter: u64,
    },
    /// Answer a caller with the outcome of its call.
    Answer {
        /// The caller.
        waiter: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// Redirect a caller to another entry VM.
    Redirect {
        /// The caller.
        waiter: u64,
        /// The entry VM to ask.
        vm: key::Vm,
    },
    /// Ask a previous owner to seal a key.
    QuerySeal {
        /// The previous owner.
        vm: key::Vm,
        /// The key.
        id: Id,
    },
    /// Answer an [`Event::SealQuery`].
    ReplySeal {
        /// Number of the request, repeated in the reply.
        request_id: u64,
        /// The answer.
        state: SealState,
        /// Time for which this VM has seen every VM list.
        history_age: Duration,
    },
    /// Offer records to their successor.
    Offer {
        /// The successor.
        vm: key::Vm,
        /// The records.
        records: Vec<Replica>,
    },
    /// Commit the handover to a successor that accepted the offered records.
    Commit {
        /// The successor.
        vm: key::Vm,
        /// Digest of the VM list in force here.
        list_digest: u64,
        /// Whether the bare keys are handed over as well; only if none is in doubt.
        includes_keys: bool,
    },
    /// Ask a VM for the records and keys that an earlier incarnation of this VM handed over.
    Reclaim {
        /// The VM.
        vm: key::Vm,
    },
    /// Answer an [`Event::ReclaimQuery`].
    Return {
        /// Number of the request, repeated in the reply.
        request_id: u64,
        /// The records.
        records: Vec<Replica>,
        /// Digest of the VM list in force here.
        list_digest: u64,
        /// Whether the keys that were handed over are returned.
        includes_keys: bool,
    },
    /// The handover has ended.
    HandoverDone,
}
