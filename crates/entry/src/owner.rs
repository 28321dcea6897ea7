//! The front of the registry of calls that run at most once.

use {
    crate::{Context, Exchange, call, handover, witness::Witness},
    base::{Instant, Machine, Reason, Refusal, key},
    config::Settings,
    derive_more::Debug,
    once::{Action, Event, Id, Outcome, Registry, SealState},
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

/// Time between two ticks; shorter than what the registry takes for a pause.
const TICK: Duration = Duration::from_millis(200);
/// Share of the window for which a peer's announcement counts.
const ANNOUNCEMENT_DIVISOR: u32 = 4;

/// How a call ended at this VM.
#[derive(Clone, Debug)]
pub enum Ending {
    /// With an outcome.
    Outcome(Outcome),
    /// Another entry VM is to be asked.
    Elsewhere(key::Vm),
}

/// An answer to another entry VM's question.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Whether a key is refused from now on, and the time for which every list was seen.
    Seal(SealState, Duration),
    /// What an earlier incarnation of the asker handed over.
    Return(Vec<once::Replica>, u64, bool),
}

/// The registry of this process, shared by its tasks.
#[derive(Debug)]
pub struct Owner {
    state: Mutex<State>,
    stopped: (Sender<Infallible>, Receiver<Infallible>),
}

#[derive(Debug)]
struct State {
    registry: Registry,
    witness: Witness,
    /// Version of the configuration that the registry was told last.
    version: u64,
    /// Version with which the list in force came.
    list_since: u64,
    count: u64,
    waiting: HashMap<u64, Waiting>,
    questions: HashMap<u64, Sender<Answer>>,
}

/// A caller's request that waits for its call's outcome.
#[derive(Debug)]
struct Waiting {
    exchange: Exchange,
    call: call::Call,
    ending: Sender<Ending>,
}

impl Owner {
    /// Makes the empty registry of this incarnation.
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
                registry: Registry::new(vm, incarnation, settings),
                witness: Witness::default(),
                version: 0,
                list_since: 0,
                count: 0,
                waiting: HashMap::new(),
                questions: HashMap::new(),
            }),
            stopped: bounded(1),
        }
    }

    /// Notes the configuration version that a peer announced.
    pub fn hear(&self, now: Instant, vm: key::Vm, version: u64) {
        self.lock().witness.hear(now, vm, version);
    }

    /// Issues a ticket.
    ///
    /// # Errors
    /// Returns a refusal once the planned stop hands over.
    pub fn issue(&self, now: Instant, customer: key::Customer) -> Result<once::Ticket, Refusal> {
        self.lock().registry.issue(now, customer)
    }

    /// Returns the entry VMs that may own a call, the likeliest first.
    pub fn owners(&self, call: &once::Call) -> Vec<key::Vm> {
        self.lock().registry.owners(call)
    }

    /// Returns whether some records of another VM can be taken over.
    pub fn has_room(&self, count: usize) -> bool {
        self.lock().registry.has_room(count)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }
}

/// Tells the registry what happened, and does what follows.
pub fn handle(context: &Arc<Context>, event: Event) {
    let mut actions = Vec::new();
    let mut state = context.owner.lock();
    state.registry.handle(context.now(), event, &mut actions);
    perform(context, &mut state, actions);
}

/// Asks whether a call may be sent now; its callers are answered if not.
pub fn permit(context: &Arc<Context>, id: Id) -> bool {
    let mut actions = Vec::new();
    let mut state = context.owner.lock();
    let permitted = state.registry.permit(context.now(), id, &mut actions);
    perform(context, &mut state, actions);
    permitted
}

/// Has a call run here, if this VM owns it, and waits for its end.
///
/// # Errors
/// Returns a refusal if the deadline passes first.
pub async fn submit(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &call::Call,
    claim: once::Call,
) -> Result<Ending, Refusal> {
    let (sender, ending) = bounded(1);
    let waiter = {
        let mut state = context.owner.lock();
        let waiter = state.number();
        let waiting = Waiting {
            exchange: exchange.clone(),
            call: call.clone(),
            ending: sender,
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
    let ended = crate::runtime::with_timeout(remaining, ending.recv()).await;
    context.owner.lock().waiting.remove(&waiter);
    match ended {
        Some(Ok(ending)) => Ok(ending),
        _ => Err(Refusal::may_have_run(
            Reason::Deadline,
            "the deadline passed before the call ended",
        )),
    }
}

/// Asks the registry for another entry VM; `event` gets the number of the question.
pub async fn question(context: &Arc<Context>, event: impl FnOnce(u64) -> Event) -> Option<Answer> {
    let (sender, answer) = bounded(1);
    let number = {
        let mut state = context.owner.lock();
        let number = state.number();
        state.questions.insert(number, sender);
        number
    };
    handle(context, event(number));
    answer.recv().await.ok()
}

/// Ticks the registry and confirms its list for as long as the process runs.
pub async fn run(context: Arc<Context>) {
    loop {
        let snapshot = context.snapshot();
        if snapshot.version > 0 {
            follow(&context, &snapshot);
        }
        handle(&context, Event::Tick);
        Timer::after(TICK).await;
    }
}

fn follow(context: &Arc<Context>, snapshot: &config::Snapshot) {
    let now = context.now();
    let limit = context.settings.records.window / ANNOUNCEMENT_DIVISOR;
    let own = context.identity.vm;
    let mut actions = Vec::new();
    let mut state = context.owner.lock();
    if snapshot.version > state.version {
        let vms: Vec<_> = snapshot.vms.keys().collect();
        if state.registry.is_other_list(&vms) {
            state.list_since = snapshot.version;
        }
        state.version = snapshot.version;
        state.registry.handle(now, Event::VmList(vms), &mut actions);
    }
    let since = state.list_since;
    if context.gossip.membership().is_fresh()
        && state.witness.confirms(now, own, snapshot, since, limit)
    {
        state
            .registry
            .handle(now, Event::VmListConfirmed, &mut actions);
    }
    perform(context, &mut state, actions);
}

/// Hands the records over to the other entry VMs; waits for its end at most `limit`.
pub async fn stop(context: &Arc<Context>, limit: Duration) {
    handle(context, Event::StartHandover);
    let stopped = context.owner.stopped.1.clone();
    let ended = crate::runtime::with_timeout(limit, stopped.recv()).await;
    log::info!(target: "stop", complete = ended.is_some(); "the records are handed over");
}

fn perform(context: &Arc<Context>, state: &mut State, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Run { id, waiter } => start(context, state, id, waiter),
            Action::Answer { waiter, outcome } => end(state, waiter, Ending::Outcome(outcome)),
            Action::Redirect { waiter, vm } => end(state, waiter, Ending::Elsewhere(vm)),
            Action::ReplySeal {
                request_id: number,
                state: seal,
                history_age: age,
            } => {
                answer(state, number, Answer::Seal(seal, age));
            }
            Action::Return {
                request_id: number,
                records,
                list_digest: list,
                includes_keys: settled,
            } => answer(state, number, Answer::Return(records, list, settled)),
            Action::HandoverDone => {
                context.owner.stopped.0.close();
            }
            request => context.spawn(handover::send(Arc::clone(context), request)),
        }
    }
}

fn start(context: &Arc<Context>, state: &State, id: Id, waiter: u64) {
    let work = state.waiting.get(&waiter);
    let work = work.map(|waiting| (waiting.exchange.clone(), waiting.call.clone()));
    let context = Arc::clone(context);
    context.clone().spawn(async move {
        let _guard = context.drain.enter();
        let outcome = match work {
            Some((exchange, call)) => call::run_once(&context, &exchange, &call, id).await,
            None => Some(Err(Refusal::not_run(
                Reason::Deadline,
                "the caller is gone",
            ))),
        };
        // Without the right the record is gone, or another run's.
        if let Some(outcome) = outcome {
            handle(&context, Event::Done { id, outcome });
        }
    });
}

fn end(state: &mut State, waiter: u64, ending: Ending) {
    if let Some(waiting) = state.waiting.remove(&waiter) {
        let _ = waiting.ending.try_send(ending);
    }
}

fn answer(state: &mut State, number: u64, answer: Answer) {
    if let Some(question) = state.questions.remove(&number) {
        let _ = question.try_send(answer);
    }
}
