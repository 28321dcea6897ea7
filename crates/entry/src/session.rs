//! Drives the state machine of one stream: its connections, its place on an engine, its caller.

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

/// Events that may wait for a slow caller.
const EVENT_BUFFER: usize = 64;
/// Last bytes of a stream.
const DONE: &str = "data: [DONE]\n\n";

/// What a caller is sent.
#[derive(Clone, Debug)]
pub enum Part {
    /// Bytes of a stream.
    Bytes(Bytes),
    /// The whole answer.
    Whole(serde_json::Value),
    /// The end of an answer that can't go on.
    Refusal(Refusal),
}

/// The streams that this process carries, by request id.
#[derive(Debug, Default)]
pub struct Sessions {
    /// A stream's channel is closed when its caller went on elsewhere.
    running: Mutex<HashMap<Box<str>, Sender<Infallible>>>,
}

impl Sessions {
    /// Tells a stream that its caller went on elsewhere.
    pub fn adopt(&self, request: &str) {
        let session = self.lock().remove(first(request));
        if let Some(session) = session {
            session.close();
        }
    }

    fn enter(&self, request: &str, session: Sender<Infallible>) {
        self.lock().insert(first(request).into(), session);
    }

    fn leave(&self, request: &str, session: &Sender<Infallible>) {
        let mut running = self.lock();
        let request = first(request);
        if running
            .get(request)
            .is_some_and(|own| own.same_channel(session))
        {
            running.remove(request);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, Sender<Infallible>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the request id of an attempt's id.
fn first(attempt: &str) -> &str {
    attempt.split('.').next().unwrap_or(attempt)
}

#[derive(Debug)]
enum Input {
    Event(Event),
    Granted(Grant),
    Timeout,
}

/// One stream and what it holds.
#[derive(Debug)]
struct Driver {
    context: Arc<Context>,
    exchange: Exchange,
    prompt: Option<Arc<Prompt>>,
    session: Session,
    request: Box<str>,
    grant: Option<Grant>,
    /// Reads the connection or waits for the router; dropped with what it does.
    #[debug(skip)]
    task: Option<Task<()>>,
    meter: metrics::Stream,
    inputs: (Sender<Input>, Receiver<Input>),
    adopted: (Sender<Infallible>, Receiver<Infallible>),
    parts: Sender<Part>,
}

/// Starts a stream for a new request; the parts come until the answer ends.
pub fn begin(context: &Arc<Context>, exchange: &Exchange, prompt: Prompt) -> Receiver<Part> {
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
    run(
        context,
        exchange,
        Some(Arc::new(prompt)),
        session,
        exchange.id.clone(),
    )
}

/// Goes on with a stream at a caller's resume token.
pub fn resume(context: &Arc<Context>, exchange: &Exchange, token: ResumeToken) -> Receiver<Part> {
    let request = token.request.clone();
    let settings = stream::Settings::default();
    let session = Session::resume(token, exchange.deadline, settings, exchange.key.raw());
    run(context, exchange, None, session, request)
}

fn run(
    context: &Arc<Context>,
    exchange: &Exchange,
    prompt: Option<Arc<Prompt>>,
    session: Session,
    request: Box<str>,
) -> Receiver<Part> {
    let (parts, receiver) = bounded(EVENT_BUFFER);
    let inputs = bounded(EVENT_BUFFER);
    let adopted = bounded(1);
    context.sessions.enter(&request, adopted.0.clone());
    let class = prompt.as_ref().map_or(0, |prompt| prompt.class());
    let meter = metrics::Stream::new(exchange.service(), class, context.now());
    let driver = Driver {
        meter,
        context: Arc::clone(context),
        exchange: exchange.clone(),
        prompt,
        session,
        request,
        grant: None,
        task: None,
        inputs,
        adopted,
        parts,
    };
    context.spawn(driver.drive());
    receiver
}

impl Driver {
    async fn drive(mut self) {
        let _guard = self.context.drain.enter();
        self.handle(Event::Started).await;
        while !self.session.is_ended() {
            match self.input().await {
                Input::Event(event) => self.handle(event).await,
                Input::Granted(grant) => {
                    let target = grant.target();
                    self.grant = Some(grant);
                    self.handle(Event::Routed(target)).await;
                }
                // The caller may have gone on elsewhere, and nobody could tell this VM.
                Input::Timeout if self.parts.is_closed() && gossip::is_cut_off(&self.context) => {
                    break;
                }
                Input::Timeout => self.handle(Event::Tick).await,
            }
        }
        self.context.sessions.leave(&self.request, &self.adopted.0);
    }

    /// Waits for whatever comes first: an event, the caller's departure or the timeout.
    async fn input(&self) -> Input {
        let event = async {
            let input = self.inputs.1.recv().await;
            input.unwrap_or(Input::Event(Event::CallerDisconnected))
        };
        let adopted = async {
            let _ = self.adopted.1.recv().await;
            Input::Event(Event::Adopted)
        };
        let caller = async {
            if self.parts.is_closed() {
                // Already told; the grace runs.
                std::future::pending::<()>().await;
            }
            self.parts.closed().await;
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
            adopted,
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
            Action::Route {
                excluded,
                failure: loss,
            } => self.route(excluded, loss),
            Action::Connect {
                connection,
                target,
                request,
                start,
            } => self.connect(connection, target, request, start),
            Action::Disconnect { .. } => self.task = None,
            Action::Cancel { target, request } => self.cancel(target, request),
            Action::Token { index, text } => self.token(index, &text).await,
            Action::Finish { index, finish } => self.finish(index, finish).await,
            Action::Body {
                text,
                tokens,
                finish,
            } => self.whole(&text, tokens, finish).await,
            Action::Refuse(refusal) => self.refuse(refusal).await,
            Action::Close => {
                self.parts.close();
            }
        }
    }

    fn route(&mut self, excluded: Vec<key::Target>, loss: Option<Failure>) {
        self.end_attempt(loss);
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

    /// Ends the place on the engine that was lost.
    fn end_attempt(&mut self, loss: Option<Failure>) {
        let Some(loss) = loss else { return };
        log::info!(
            target: "retry", request:% = self.exchange.id, loss:% = loss,
            configuration_version = self.exchange.version(); "the generation is begun anew"
        );
        let service = self.exchange.service_name();
        self.context.metrics.retry(service, loss);
        if let Some(grant) = self.grant.take() {
            grant.end(outcome(loss));
        }
    }

    fn connect(&mut self, number: u32, target: key::Target, request: Box<str>, start: Start) {
        if let Start::Resume { generation, index } = &start {
            log::info!(
                target: "resume", request:% = self.exchange.id, origin:% = first(&self.request),
                generation:% = generation, index,
                configuration_version = self.exchange.version(); "the generation is resumed"
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
        let reading = engine::read(
            Arc::clone(&self.context),
            self.exchange.clone(),
            connection,
            events,
        );
        let inputs = self.inputs.0.clone();
        let passing = async move {
            while let Ok(event) = received.recv().await {
                if inputs.send(Input::Event(event)).await.is_err() {
                    return;
                }
            }
        };
        self.task = Some(self.context.runtime.spawn(async move {
            smol::future::zip(reading, passing).await;
        }));
    }

    fn cancel(&self, target: key::Target, request: Box<str>) {
        let context = Arc::clone(&self.context);
        let exchange = self.exchange.clone();
        self.context
            .spawn(engine::cancel(context, exchange, target, request));
    }

    async fn token(&mut self, index: u32, text: &str) {
        if let Some(grant) = &self.grant {
            grant.progress(1);
        }
        self.meter.token(&self.context.metrics, self.context.now());
        let id = self.resume_token(index + 1);
        let event = self.event(id, index, text, None);
        self.send(Part::Bytes(event)).await;
    }

    async fn finish(&mut self, index: u32, finish: Finish) {
        self.meter.end(&self.context.metrics, self.context.now());
        self.complete();
        let id = self.resume_token(index);
        let event = self.event(id, index, "", Some(finish));
        self.send(Part::Bytes(event)).await;
        self.send(Part::Bytes(Bytes::from_static(DONE.as_bytes())))
            .await;
        self.parts.close();
    }

    async fn whole(&mut self, text: &str, tokens: u32, finish: Finish) {
        if let Some(grant) = &self.grant {
            grant.progress(tokens);
        }
        self.complete();
        let body = json!({
            "id": self.session.generation(),
            "choices": [{"text": text, "finish_reason": finish.to_string()}],
            "usage": {"completion_tokens": tokens},
        });
        self.send(Part::Whole(body)).await;
    }

    async fn refuse(&mut self, refusal: Refusal) {
        log::info!(
            target: "answer", request:% = self.exchange.id, verdict:% = refusal.verdict,
            reason:% = refusal.reason, configuration_version = self.exchange.version();
            "the stream ends: {}", refusal.message
        );
        if self.meter.has_begun() {
            self.meter.end(&self.context.metrics, self.context.now());
            let metrics = &self.context.metrics;
            metrics.refused(self.exchange.service_name(), &refusal);
        }
        self.task = None;
        if let Some(grant) = self.grant.take() {
            grant.end(Outcome::Failed);
        }
        self.send(Part::Refusal(refusal)).await;
        self.parts.close();
    }

    fn complete(&mut self) {
        let service = self.exchange.service_name();
        self.context.metrics.complete(service);
        log::info!(
            target: "answer", request:% = self.exchange.id, verdict:% = Verdict::Ran,
            generation:% = self.session.generation().unwrap_or_default(),
            configuration_version = self.exchange.version(); "complete"
        );
        if let Some(grant) = self.grant.take() {
            grant.end(Outcome::Complete);
        }
    }

    /// Sends a part; a caller that does not take it before the deadline loses it.
    async fn send(&mut self, part: Part) {
        let limit = self.exchange.remaining(self.context.now());
        let sending = async {
            let _ = self.parts.send(part).await;
        };
        let adopted = async {
            let _ = self.adopted.1.recv().await;
        };
        let _ = with_timeout(limit, smol::future::or(sending, adopted)).await;
    }

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

    fn event(&self, id: Box<str>, index: u32, text: &str, finish: Option<Finish>) -> Bytes {
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

fn outcome(loss: Failure) -> Outcome {
    match loss {
        Failure::Refused => Outcome::Refused,
        Failure::Leaving => Outcome::Leaving,
        _ => Outcome::Failed,
    }
}

/// Writes a refusal as the last event of a stream.
pub fn error_event(refusal: &Refusal, exchange: &Exchange) -> Bytes {
    let data = answer::error_body(refusal, &exchange.id, exchange.version());
    let event = sse::Event {
        id: None,
        kind: Some("error".into()),
        data: data.to_string(),
    };
    event.encode().into()
}
