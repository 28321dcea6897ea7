//! Asynchronous access to the registry of the at-most-once calls that this VM owns.

use {
    crate::{Context, Exchange, call, handover, witness::Announcements},
    base::{Instant, Machine, Reason, Refusal, key},
    config::Settings,
    derive_more::Debug,
    once::{Action, Event, Id, Outcome, SealState},
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        collections::HashMap,
        convert::Infallible,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Interval of the registry's tick; shorter than the gap that it treats as a pause of the process.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// A peer's announcement expires after the retention window divided by this.
const ANNOUNCEMENT_DIVISOR: u32 = 4;

/// Result of a call that was submitted to a VM.
#[derive(Clone, Debug)]
pub enum Resolution {
    /// The call ended with an outcome.
    Outcome(Outcome),
    /// The call must be submitted to another entry VM.
    Redirect(key::Vm),
}

/// The registry's answer to another entry VM's query.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Whether a key is sealed, which means refused from now on, and for how long this VM has seen
    /// every VM list.
    Seal(SealState, Duration),
    /// Records that an earlier incarnation of the peer handed over, the digest of this VM's list,
    /// and whether the permission to run bare keys comes with them.
    Return(Vec<once::Replica>, u64, bool),
}

/// The registry of this process, shared by its tasks.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<State>,
    /// Closed once the handover has ended.
    handed_over: (Sender<Infallible>, Receiver<Infallible>),
}

#[derive(Debug)]
struct State {
    registry: once::Registry,
    announcements: Announcements,
    /// Configuration version that the registry last processed.
    version: u64,
    /// Configuration version that introduced the current VM list.
    list_version: u64,
    /// Last id given to a waiter or a query.
    last_id: u64,
    waiting: HashMap<u64, Waiting>,
    queries: HashMap<u64, Sender<Answer>>,
}

/// A request that waits for its call's outcome.
#[derive(Debug)]
struct Waiting {
    exchange: Exchange,
    call: call::Call,
    resolution: Sender<Resolution>,
}

impl Registry {
    /// Creates the empty registry of this incarnation.
    pub fn new(vm: key::Vm, incarnation: u64, settings: &Settings) -> Self {
        let records = &settings.records;
        let settings = once::Settings {
            retention: records.window,
            ticket_lifetime: records.ticket_lifetime,
            max_records: records.limit as usize,
            max_reply_bytes: records.size as usize,
        };
        Self {
            state: Mutex::new(State {
                registry: once::Registry::new(vm, incarnation, settings),
                announcements: Announcements::default(),
                version: 0,
                list_version: 0,
                last_id: 0,
                waiting: HashMap::new(),
                queries: HashMap::new(),
            }),
            handed_over: bounded(1),
        }
    }

    /// Records the configuration version that a peer announced.
    pub fn record_announcement(&self, now: Instant, vm: key::Vm, version: u64) {
        self.lock().announcements.record(now, vm, version);
    }

    /// Issues a ticket.
    ///
    /// # Errors
    /// Returns a refusal once the handover of a planned stop has begun.
    pub fn issue(&self, now: Instant, customer: key::Customer) -> Result<once::Ticket, Refusal> {
        self.lock().registry.issue(now, customer)
    }

    /// Returns the entry VMs that may own a call, the most likely one first.
    pub fn owners(&self, call: &once::Call) -> Vec<key::Vm> {
        self.lock().registry.owners(call)
    }

    /// Returns whether `count` records of another VM can be taken over.
    pub fn has_room(&self, count: usize) -> bool {
        self.lock().registry.has_room(count)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Passes an event to the registry and performs the resulting actions.
pub fn handle(context: &Arc<Context>, event: Event) {
    let mut actions = Vec::new();
    let mut state = context.registry.lock();
    state.registry.handle(context.now(), event, &mut actions);
    perform(context, &mut state, actions);
}

/// Returns whether a call may be sent now; answers its callers if not.
pub fn permit(context: &Arc<Context>, id: Id) -> bool {
    let mut actions = Vec::new();
    let mut state = context.registry.lock();
    let permitted = state.registry.permit(context.now(), id, &mut actions);
    perform(context, &mut state, actions);
    permitted
}

/// Submits a call to this VM's registry and waits for its resolution.
///
/// # Errors
/// Returns a [`Reason::Deadline`] refusal if the deadline passes first.
pub async fn submit(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &call::Call,
    claim: once::Call,
) -> Result<Resolution, Refusal> {
    let (sender, resolution) = bounded(1);
    let waiter = {
        let mut state = context.registry.lock();
        let waiter = state.next_id();
        let waiting = Waiting {
            exchange: exchange.clone(),
            call: call.clone(),
            resolution: sender,
        };
        state.waiting.insert(waiter, waiting);
        waiter
    };
    handle(
        context,
        Event::Call {
            waiter,
            call: claim,
        },
    );
    let remaining = exchange.remaining(context.now());
    let resolved = crate::runtime::with_timeout(remaining, resolution.recv()).await;
    context.registry.lock().waiting.remove(&waiter);
    match resolved {
        Some(Ok(resolution)) => Ok(resolution),
        _ => Err(Refusal::may_have_run(
            Reason::Deadline,
            "the deadline passed before the call ended",
        )),
    }
}

/// Queries the registry on behalf of another entry VM; `event` takes the id of the query.
pub async fn query(context: &Arc<Context>, event: impl FnOnce(u64) -> Event) -> Option<Answer> {
    let (sender, answer) = bounded(1);
    let id = {
        let mut state = context.registry.lock();
        let id = state.next_id();
        state.queries.insert(id, sender);
        id
    };
    handle(context, event(id));
    answer.recv().await.ok()
}

/// Ticks the registry and keeps its VM list up to date until the process ends.
pub async fn run(context: Arc<Context>) {
    loop {
        update_vm_list(&context);
        handle(&context, Event::Tick);
        Timer::after(TICK_INTERVAL).await;
    }
}

/// Passes a new VM list to the registry, and confirms the current one if enough peers announced it.
pub fn update_vm_list(context: &Arc<Context>) {
    let snapshot = context.snapshot();
    if snapshot.version == 0 {
        return;
    }
    let now = context.now();
    let max_age = context.settings.records.window / ANNOUNCEMENT_DIVISOR;
    let own_vm = context.identity.vm;
    let mut actions = Vec::new();
    let mut state = context.registry.lock();
    if snapshot.version > state.version {
        let vms: Vec<_> = snapshot.vms.keys().collect();
        if state.registry.is_other_list(&vms) {
            state.list_version = snapshot.version;
        }
        state.version = snapshot.version;
        state.registry.handle(now, Event::VmList(vms), &mut actions);
    }
    let list_version = state.list_version;
    if context.gossip.membership().is_fresh()
        && state
            .announcements
            .confirm(now, own_vm, &snapshot, list_version, max_age)
    {
        state
            .registry
            .handle(now, Event::VmListConfirmed, &mut actions);
    }
    perform(context, &mut state, actions);
}

/// Hands the records over to the other entry VMs; waits at most `limit` for the end.
pub async fn hand_over(context: &Arc<Context>, limit: Duration) {
    handle(context, Event::StartHandover);
    let handed_over = context.registry.handed_over.1.clone();
    let finished = crate::runtime::with_timeout(limit, handed_over.recv()).await;
    log::info!(target: "stop", complete = finished.is_some(); "record handover ended");
}

fn perform(context: &Arc<Context>, state: &mut State, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Run { id, waiter } => run_call(context, state, id, waiter),
            Action::Answer { waiter, outcome } => {
                resolve(state, waiter, Resolution::Outcome(outcome));
            }
            Action::Redirect { waiter, vm } => resolve(state, waiter, Resolution::Redirect(vm)),
            Action::ReplySeal {
                request_id,
                state: seal,
                history_age,
            } => {
                answer(state, request_id, Answer::Seal(seal, history_age));
            }
            Action::Return {
                request_id,
                records,
                list_digest,
                includes_keys,
            } => answer(
                state,
                request_id,
                Answer::Return(records, list_digest, includes_keys),
            ),
            Action::HandoverDone => {
                context.registry.handed_over.0.close();
            }
            request => context.spawn(handover::send(Arc::clone(context), request)),
        }
    }
}

fn run_call(context: &Arc<Context>, state: &State, id: Id, waiter: u64) {
    let submitted = state.waiting.get(&waiter);
    let submitted = submitted.map(|waiting| (waiting.exchange.clone(), waiting.call.clone()));
    let context = Arc::clone(context);
    context.clone().spawn(async move {
        let _guard = context.drain.track();
        let outcome = match submitted {
            Some((exchange, call)) => call::run_once(&context, &exchange, &call, id).await,
            None => Some(Err(Refusal::not_run(
                Reason::Deadline,
                "the caller is gone",
            ))),
        };
        // Without an outcome the permission was lost: the record is gone or belongs to another run.
        if let Some(outcome) = outcome {
            handle(&context, Event::Done { id, outcome });
        }
    });
}

fn resolve(state: &mut State, waiter: u64, resolution: Resolution) {
    if let Some(waiting) = state.waiting.remove(&waiter) {
        let _ = waiting.resolution.try_send(resolution);
    }
}

fn answer(state: &mut State, request_id: u64, answer: Answer) {
    if let Some(query) = state.queries.remove(&request_id) {
        let _ = query.try_send(answer);
    }
}
