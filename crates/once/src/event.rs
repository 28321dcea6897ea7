//! What the registry is told, and what it asks for.

use {
    crate::{Id, Outcome, Replica, Ticket, record::Fingerprint},
    base::key,
    std::time::Duration,
};

/// What gives the right to run a call.
#[derive(Clone, Copy, Debug)]
pub enum Source {
    /// A ticket.
    Ticket(Ticket),
    /// A bare key.
    Key,
}

/// A call that wants to run at most once.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its id.
    pub id: Id,
    /// What gives it the right to run.
    pub source: Source,
    /// Digest of what is asked.
    pub fingerprint: Fingerprint,
}

/// What an earlier home says of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SealState {
    /// Never seen in this incarnation, and refused from now on.
    Sealed,
    /// The key was claimed there.
    Claimed,
    /// It can't tell.
    Unknown,
}

/// What the world tells the registry.
#[derive(Clone, Debug)]
pub enum Event {
    /// The entry VMs of the configuration in force.
    VmList(Vec<key::Vm>),
    /// No newer configuration is in force anywhere.
    VmListConfirmed,
    /// A call arrived here.
    Call {
        /// Who waits for the outcome.
        waiter: u64,
        /// The call.
        call: Call,
    },
    /// A call that was to be run has ended; `NotRun` gives the right to run it again.
    Done {
        /// The call.
        id: Id,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A later home asks to refuse a key from now on.
    SealQuery {
        /// Number of the question.
        request_id: u64,
        /// Who asks.
        vm: key::Vm,
        /// The key.
        id: Id,
    },
    /// An earlier home answered, or did not.
    SealReply {
        /// The earlier home.
        vm: key::Vm,
        /// The key.
        id: Id,
        /// Its answer.
        state: SealState,
        /// Time for which it has seen every list.
        history_age: Duration,
    },
    /// A VM in a planned stop hands over its records.
    Offered {
        /// The VM.
        vm: key::Vm,
        /// Its incarnation.
        incarnation: u64,
        /// The records of which this VM is the next owner.
        records: Vec<Replica>,
    },
    /// The rights of that VM pass to this one.
    Committed {
        /// The VM.
        vm: key::Vm,
        /// Its incarnation.
        incarnation: u64,
        /// Digest of the list that it goes by.
        list_digest: u64,
        /// Whether it had no doubt about any key.
        includes_keys: bool,
    },
    /// A new incarnation of a VM asks for what the earlier one handed over.
    ReclaimQuery {
        /// Number of the question.
        request_id: u64,
        /// The VM.
        vm: key::Vm,
        /// The new incarnation.
        incarnation: u64,
    },
    /// Another VM gave back what an earlier incarnation of this one handed over, or did not answer.
    Returned {
        /// The other VM.
        vm: key::Vm,
        /// The records.
        records: Vec<Replica>,
        /// Digest of the list that it goes by.
        list_digest: u64,
        /// Whether the rights come with them.
        includes_keys: bool,
    },
    /// A VM took what it was offered, or a commit, or did not answer.
    HandoverReply {
        /// The VM.
        vm: key::Vm,
        /// Whether it answered.
        accepted: bool,
    },
    /// Nothing is in flight; the planned stop hands over.
    StartHandover,
    /// Time has passed.
    Tick,
}

/// What the registry asks of the world.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run a call; [`crate::Registry::permit`] is to be asked just before each send.
    Run {
        /// The call.
        id: Id,
        /// The caller whose request is to be sent.
        waiter: u64,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        waiter: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// Tell a caller's VM to ask another entry VM.
    Redirect {
        /// The caller.
        waiter: u64,
        /// The entry VM to ask.
        vm: key::Vm,
    },
    /// Ask an earlier home to refuse a key from now on.
    QuerySeal {
        /// The earlier home.
        vm: key::Vm,
        /// The key.
        id: Id,
    },
    /// Answer a later home.
    ReplySeal {
        /// Number of the question.
        request_id: u64,
        /// The answer.
        state: SealState,
        /// Time for which this VM has seen every list.
        history_age: Duration,
    },
    /// Offer records to their next owner.
    Offer {
        /// The next owner.
        vm: key::Vm,
        /// The records.
        records: Vec<Replica>,
    },
    /// Pass the rights that belong to the offered records.
    Commit {
        /// The next owner.
        vm: key::Vm,
        /// Digest of the list that this VM goes by.
        list_digest: u64,
        /// Whether this VM had no doubt about any key.
        includes_keys: bool,
    },
    /// Ask a VM for what an earlier incarnation handed over.
    Reclaim {
        /// The VM.
        vm: key::Vm,
    },
    /// Give back what an earlier incarnation of the asker handed over.
    Return {
        /// Number of the question.
        request_id: u64,
        /// The records.
        records: Vec<Replica>,
        /// Digest of the list that this VM goes by.
        list_digest: u64,
        /// Whether the rights go with them.
        includes_keys: bool,
    },
    /// The handover is over.
    HandoverDone,
}
