//! Drives one stream's state machine: the engine connection, the slot on the engine and the output
//! to the caller.

use {
    crate::{
        Context, Exchange, answer,
        engine::{self, Connection},
        gossip, metrics,
        prompt::Prompt,
        router::{self, Grant},
        runtime::with_timeout,
        sse,
    },
    base::{Machine, Refusal, Verdict, key},
    bytes::Bytes,
    derive_more::Debug,
    route::Outcome,
    serde_json::json,
    smol::{
        Task, Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{
        collections::HashMap,
        convert::Infallible,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    stream::{Action, Event, Failure, Finish, Mode, ResumeToken, Session, Start},
};

/// Capacity of a stream's channels, which buffer events for a slow caller.
const CHANNEL_CAPACITY: usize = 64;
/// Marker at the end of an event stream.
const DONE: &str = "data: [DONE]\n\n";

/// Output of a stream for its caller.
#[derive(Clone, Debug)]
pub enum Output {
    /// An encoded server-sent event.
    Event(Bytes),
    /// The complete JSON body for a caller that didn't ask for an event stream.
    Body(serde_json::Value),
    /// The error that ends the stream.
    Refusal(Refusal),
}

/// The streams of this process, by request id.
#[derive(Debug, Default)]
pub struct Sessions {
    /// One channel per stream, closed to end the stream here once its caller resumed it elsewhere.
    running: Mutex<HashMap<Box<str>, Sender<Infallible>>>,
}

impl Sessions {
    /// Ends the local session of a request that its caller resumed on another connection.
    pub fn release(&self, request: &str) {
        let released = self.lock().remove(base_id(request));
        if let Some(released) = released {
            released.close();
        }
    }

    fn register(&self, request: &str, released: Sender<Infallible>) {
        self.lock().insert(base_id(request).into(), released);
    }

    fn unregister(&self, request: &str, released: &Sender<Infallible>) {
        let mut running = self.lock();
        let request = base_id(request);
        if running
            .get(request)
            .is_some_and(|registered| registered.same_channel(released))
        {
            running.remove(request);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, Sender<Infallible>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Strips the attempt's suffix from its id, which leaves the request id.
fn base_id(attempt: &str) -> &str {
    attempt.split('.').next().unwrap_or(attempt)
}

/// An input that the driver waits for.
#[derive(Debug)]
enum Input {
    Event(Event),
    Granted(Grant),
    Timeout,
}

/// Performs the actions of one stream's state machine.
#[derive(Debug)]
struct Driver {
    context: Arc<Context>,
    exchange: Exchange,
    prompt: Option<Arc<Prompt>>,
    session: Session,
    /// Id of the request that started the stream, or of the attempt that is resumed.
    request: Box<str>,
    /// Slot on the engine; `None` while the stream is routed, and for a resumed stream.
    grant: Option<Grant>,
    /// Reads the connection or waits for the router; dropping it cancels either.
    #[debug(skip)]
    task: Option<Task<()>>,
    token_metrics: metrics::Stream,
    inputs: (Sender<Input>, Receiver<Input>),
    /// Closed when the caller resumes the stream on another connection.
    released: (Sender<Infallible>, Receiver<Infallible>),
    outputs: Sender<Output>,
}

/// Starts a stream for a new request; the channel closes after the last output.
pub fn start(context: &Arc<Context>, exchange: &Exchange, prompt: Prompt) -> Receiver<Output> {
    let mode = if prompt.is_stream {
        Mode::Streaming
    } else {
        Mode::Buffered
    };
    let session = Session::builder()
        .request(&exchange.id)
        .mode(mode)
        .deadline(exchange.deadline)
        .settings(stream::Settings::default())
        .seed(exchange.key.raw())
        .build();
    spawn_driver(
        context,
        exchange,
        Some(Arc::new(prompt)),
        session,
        exchange.id.clone(),
    )
}

/// Resumes a stream at the position of a caller's resume token.
pub fn resume(context: &Arc<Context>, exchange: &Exchange, token: ResumeToken) -> Receiver<Output> {
    let request = token.request.clone();
    let settings = stream::Settings::default();
    let session = Session::resume(token, exchange.deadline, settings, exchange.key.raw());
    spawn_driver(context, exchange, None, session, request)
}

fn spawn_driver(
    context: &Arc<Context>,
    exchange: &Exchange,
    prompt: Option<Arc<Prompt>>,
    session: Session,
    request: Box<str>,
) -> Receiver<Output> {
    let (outputs, receiver) = bounded(CHANNEL_CAPACITY);
    let inputs = bounded(CHANNEL_CAPACITY);
    let released = bounded(1);
    context.sessions.register(&request, released.0.clone());
    let class = prompt.as_ref().map_or(0, |prompt| prompt.class());
    let token_metrics = metrics::Stream::new(exchange.service(), class, context.now());
    let driver = Driver {
        token_metrics,
        context: Arc::clone(context),
        exchange: exchange.clone(),
        prompt,
        session,
        request,
        grant: None,
        task: None,
        inputs,
        released,
        outputs,
    };
    context.spawn(driver.run());
    receiver
}

impl Driver {
    async fn run(mut self) {
        let _guard = self.context.drain.track();
        self.handle(Event::Started).await;
        while !self.session.is_ended() {
            match self.next_input().await {
                Input::Event(event) => self.handle(event).await,
                Input::Granted(grant) => {
                    let target = grant.target();
                    self.grant = Some(grant);
                    self.handle(Event::Routed(target)).await;
                }
                // The caller may have resumed on another VM that can't reach this one. Ending
                // without a cancel keeps that VM's generation alive.
                Input::Timeout
                    if self.outputs.is_closed() && gossip::is_isolated(&self.context) =>
                {
                    break;
                }
                Input::Timeout => self.handle(Event::Tick).await,
            }
        }
        self.context
            .sessions
            .unregister(&self.request, &self.released.0);
    }

    /// Waits for the first of: an event, a takeover, the caller's disconnect or the timeout.
    async fn next_input(&self) -> Input {
        let event = async {
            let input = self.inputs.1.recv().await;
            input.unwrap_or(Input::Event(Event::CallerDisconnected))
        };
        let released = async {
            let _ = self.released.1.recv().await;
            Input::Event(Event::Adopted)
        };
        let caller = async {
            if self.outputs.is_closed() {
                // The state machine knows already and waits for the caller to resume.
                std::future::pending::<()>().await;
            }
            self.outputs.closed().await;
            Input::Event(Event::CallerDisconnected)
        };
        let timeout = async {
            match self.session.next_timeout() {
                Some(due) => Timer::after(due.since(self.context.now())).await,
                None => std::future::pending().await,
            };
            Input::Timeout
        };
        smol::future::or(
            released,
            smol::future::or(event, smol::future::or(caller, timeout)),
        )
        .await
    }

    async fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.session.handle(self.context.now(), event, &mut actions);
        for action in actions {
            self.perform(action).await;
        }
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Route { excluded, failure } => self.route(excluded, failure),
            Action::Connect {
                connection,
                target,
                request,
                start,
            } => self.connect(connection, target, request, start),
            Action::Disconnect { .. } => self.task = None,
            Action::Cancel { target, request } => self.cancel(target, request),
            Action::Token { index, text } => self.send_token(index, &text).await,
            Action::Finish { index, finish } => self.send_finish(index, finish).await,
            Action::Body {
                text,
                tokens,
                finish,
            } => self.send_body(&text, tokens, finish).await,
            Action::Refuse(refusal) => self.refuse(refusal).await,
            Action::Close => {
                self.outputs.close();
            }
        }
    }

    fn route(&mut self, excluded: Vec<key::Target>, failure: Option<Failure>) {
        self.end_attempt(failure);
        let Some(prompt) = &self.prompt else { return };
        let request = prompt.request(&self.exchange, excluded);
        let context = Arc::clone(&self.context);
        let exchange = self.exchange.clone();
        let inputs = self.inputs.0.clone();
        self.task = Some(self.context.runtime.spawn(async move {
            let input = match router::acquire(&context, request).await {
                Ok(grant) => {
                    router::log_decision(&exchange, &grant);
                    Input::Granted(grant)
                }
                Err(refusal) => Input::Event(Event::Refused(refusal)),
            };
            let _ = inputs.send(input).await;
        }));
    }

    /// Logs and counts a failed attempt, and releases its slot on the engine.
    fn end_attempt(&mut self, failure: Option<Failure>) {
        let Some(failure) = failure else { return };
        log::info!(
            target: "retry", request:% = self.exchange.id, loss:% = failure,
            configuration_version = self.exchange.version();
            "attempt failed; restarting the generation"
        );
        let service = self.exchange.service_name();
        self.context.metrics.count_retry(service, failure);
        if let Some(grant) = self.grant.take() {
            grant.end(outcome(failure));
        }
    }

    fn connect(&mut self, number: u32, target: key::Target, request: Box<str>, start: Start) {
        if let Start::Resume { generation, index } = &start {
            log::info!(
                target: "resume", request:% = self.exchange.id, origin:% = base_id(&self.request),
                generation:% = generation, index,
                configuration_version = self.exchange.version(); "resuming the generation"
            );
        }
        let connection = Connection {
            number,
            target,
            request,
            start,
            prompt: self.prompt.clone(),
        };
        let (events, received) = bounded(1);
        let read = engine::read_stream(
            Arc::clone(&self.context),
            self.exchange.clone(),
            connection,
            events,
        );
        let inputs = self.inputs.0.clone();
        let forward = async move {
            while let Ok(event) = received.recv().await {
                if inputs.send(Input::Event(event)).await.is_err() {
                    return;
                }
            }
        };
        self.task = Some(self.context.runtime.spawn(async move {
            smol::future::zip(read, forward).await;
        }));
    }

    fn cancel(&self, target: key::Target, request: Box<str>) {
        let context = Arc::clone(&self.context);
        let exchange = self.exchange.clone();
        self.context
            .spawn(engine::cancel(context, exchange, target, request));
    }

    async fn send_token(&mut self, index: u32, text: &str) {
        if let Some(grant) = &self.grant {
            grant.add_tokens(1);
        }
        self.token_metrics
            .record_token(&self.context.metrics, self.context.now());
        let id = self.resume_token(index + 1);
        let event = self.encode_event(id, index, text, None);
        self.send(Output::Event(event)).await;
    }

    async fn send_finish(&mut self, index: u32, finish: Finish) {
        self.token_metrics
            .record_end(&self.context.metrics, self.context.now());
        self.record_complete();
        let id = self.resume_token(index);
        let event = self.encode_event(id, index, "", Some(finish));
        self.send(Output::Event(event)).await;
        self.send(Output::Event(Bytes::from_static(DONE.as_bytes())))
            .await;
        self.outputs.close();
    }

    async fn send_body(&mut self, text: &str, tokens: u32, finish: Finish) {
        if let Some(grant) = &self.grant {
            grant.add_tokens(tokens);
        }
        self.record_complete();
        let body = json!({
            "id": self.session.generation(),
            "choices": [{"text": text, "finish_reason": finish.to_string()}],
            "usage": {"completion_tokens": tokens},
        });
        self.send(Output::Body(body)).await;
    }

    async fn refuse(&mut self, refusal: Refusal) {
        log::info!(
            target: "answer", request:% = self.exchange.id, verdict:% = refusal.verdict,
            reason:% = refusal.reason, configuration_version = self.exchange.version();
            "stream failed: {}", refusal.message
        );
        if self.token_metrics.has_tokens() {
            self.token_metrics
                .record_end(&self.context.metrics, self.context.now());
            let metrics = &self.context.metrics;
            metrics.count_refused(self.exchange.service_name(), &refusal);
        }
        self.task = None;
        if let Some(grant) = self.grant.take() {
            grant.end(Outcome::Failed);
        }
        self.send(Output::Refusal(refusal)).await;
        self.outputs.close();
    }

    /// Logs and counts a complete answer, and releases the slot on the engine.
    fn record_complete(&mut self) {
        let service = self.exchange.service_name();
        self.context.metrics.count_complete(service);
        log::info!(
            target: "answer", request:% = self.exchange.id, verdict:% = Verdict::Ran,
            generation:% = self.session.generation().unwrap_or_default(),
            configuration_version = self.exchange.version(); "complete"
        );
        if let Some(grant) = self.grant.take() {
            grant.end(Outcome::Complete);
        }
    }

    /// Sends an output; drops it if the caller doesn't read it before the deadline or a takeover.
    async fn send(&mut self, output: Output) {
        let limit = self.exchange.remaining(self.context.now());
        let sent = async {
            let _ = self.outputs.send(output).await;
        };
        let released = async {
            let _ = self.released.1.recv().await;
        };
        let _ = with_timeout(limit, smol::future::or(sent, released)).await;
    }

    /// Returns the sealed token with which the caller resumes at event `next`.
    fn resume_token(&self, next: u32) -> Box<str> {
        let Some((target, request)) = self.session.attempt() else {
            return Box::default();
        };
        let identity = &self.context.identity;
        let targets = &self.exchange.deployment.snapshot.targets;
        let token = ResumeToken {
            data_centre: targets
                .get(target)
                .map_or(identity.data_centre, |target| target.data_centre),
            target,
            vm: identity.vm,
            customer: self.exchange.customer,
            next,
            generation: self.session.generation().unwrap_or_default().into(),
            request: request.into(),
        };
        token.seal(&self.context.key)
    }

    fn encode_event(&self, id: Box<str>, index: u32, text: &str, finish: Option<Finish>) -> Bytes {
        let data = json!({
            "id": self.session.generation(),
            "index": index,
            "choices": [{"text": text, "finish_reason": finish.map(|finish| finish.to_string())}],
        });
        let event = sse::Event {
            id: Some(id),
            kind: None,
            data: data.to_string(),
        };
        event.encode().into()
    }
}

fn outcome(failure: Failure) -> Outcome {
    match failure {
        Failure::Refused => Outcome::Refused,
        Failure::Leaving => Outcome::Leaving,
        _ => Outcome::Failed,
    }
}

/// Encodes a refusal as the `error` event that ends a stream.
pub fn error_event(refusal: &Refusal, exchange: &Exchange) -> Bytes {
    let data = answer::error_body(refusal, &exchange.id, exchange.version());
    let event = sse::Event {
        id: None,
        kind: Some("error".into()),
        data: data.to_string(),
    };
    event.encode().into()
}
