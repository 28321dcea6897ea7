//! HTTP API and event streams of the fake engine.

use {
    super::{
        Behaviour, Engine,
        behaviour::CRASH_EXIT_CODE,
        core::{GenerationRequest, Phase},
        law,
        order::DesiredState,
    },
    crate::{
        http::{self, Body, Request},
        sync::lock,
    },
    bytes::Bytes,
    hyper::{Method, Response, StatusCode},
    serde::Deserialize,
    serde_json::{Value, json},
    smol::{
        Timer,
        channel::{Receiver, Sender, bounded},
    },
    std::{io, sync::Arc, time::Duration},
};

/// Output limit of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 4096;
/// Time to flush sent events before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(50);

type ErrorResponse = Box<Response<Body>>;
type ChunkSender = Sender<io::Result<Bytes>>;

/// Body of `POST /v1/completions`.
#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: Box<str>,
    prompt: Box<str>,
    max_tokens: Option<u32>,
}

/// State of the event at an index of a generation.
enum NextEvent {
    Ready(Value),
    /// The token has not been generated yet.
    Pending,
    /// The generation is cancelled or no longer retained.
    Gone,
}

impl Engine {
    /// Handles a request.
    pub(super) fn handle(self: &Arc<Self>, request: &Request) -> Response<Body> {
        let path: Vec<_> = request.path.split('/').skip(1).collect();
        let response = match (&request.method, &*path) {
            (&Method::POST, ["v1", "completions"]) => self.start(request),
            (&Method::GET, ["v1", "generations", id, "events"]) => Ok(self.resume(id, request)),
            (&Method::DELETE, ["v1", "generations", id]) => Ok(self.cancel_generation(id)),
            (&Method::DELETE, ["v1", "requests", id]) => Ok(self.cancel_request(id)),
            (&Method::GET, ["v1", "load"]) => Ok(self.load()),
            (&Method::GET, ["v1", "cache-events"]) => Ok(self.cache_events(request)),
            (&Method::POST, ["v1", "orders"]) => self.apply_order(request),
            (&Method::GET, ["v1", "orders"]) => {
                Ok(http::json(&lock(&self.scheduler).orders.to_json()))
            }
            (_, ["test", name]) => self.test(name, request),
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such call")),
        };
        response.unwrap_or_else(|error| *error)
    }

    fn start(self: &Arc<Self>, request: &Request) -> Result<Response<Body>, ErrorResponse> {
        let completion: Completion = request.json()?;
        let behaviour = lock(&self.faults).behaviour.clone();
        if behaviour.refuse || behaviour.leaving {
            return Ok(http::not_started(behaviour.leaving));
        }
        let mut scheduler = lock(&self.scheduler);
        if !scheduler.orders.serves(&completion.model) {
            return Ok(http::not_started(false));
        }
        if law::prompt_tokens(&completion.prompt) >= self.settings.memory_tokens {
            let text = "the prompt is larger than the memory";
            return Ok(http::text(StatusCode::BAD_REQUEST, text));
        }
        let id = scheduler.start(GenerationRequest {
            id: request.header("x-request-id").into(),
            prompt: completion.prompt,
            max_tokens: completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: request.header("x-priority").parse().unwrap_or(0),
        });
        drop(scheduler);
        Ok(self.open_stream(id, 0))
    }

    fn resume(self: &Arc<Self>, id: &str, request: &Request) -> Response<Body> {
        let from = request.query_number("from").unwrap_or(0) as u32;
        let is_known = lock(&self.scheduler)
            .generations
            .get(id)
            .is_some_and(|generation| {
                let is_cancelled = matches!(generation.phase, Phase::Cancelled(_));
                !is_cancelled && from <= generation.length
            });
        if !is_known {
            let text = "the generation is not known";
            return http::text(StatusCode::NOT_FOUND, text);
        }
        self.open_stream(id.into(), from)
    }

    fn cancel_generation(&self, id: &str) -> Response<Body> {
        let count = lock(&self.scheduler).cancel(|generation, _| generation == id);
        self.stepped.notify();
        http::json(&json!({ "cancelled": count }))
    }

    fn cancel_request(&self, id: &str) -> Response<Body> {
        let count = lock(&self.scheduler).cancel(|_, generation| &*generation.request.id == id);
        self.stepped.notify();
        http::json(&json!({ "cancelled": count }))
    }

    fn load(&self) -> Response<Body> {
        let scheduler = lock(&self.scheduler);
        let mut load = scheduler.reports.read().unwrap_or_else(|| scheduler.load());
        let behaviour = lock(&self.faults).behaviour.clone();
        load["leaving"] = (behaviour.leaving && !behaviour.unreported).into();
        http::json(&load)
    }

    fn cache_events(&self, request: &Request) -> Response<Body> {
        let after = request.query_number("after").unwrap_or(0);
        let (lag, gap) = (self.settings.cache_lag, self.settings.cache_gap);
        http::json(&lock(&self.scheduler).cache.events(after, lag, gap))
    }

    fn apply_order(&self, request: &Request) -> Result<Response<Body>, ErrorResponse> {
        let desired: DesiredState = request.json()?;
        let applied = lock(&self.scheduler).orders.apply(desired);
        Ok(match applied {
            Ok(()) => http::json(&json!({})),
            Err(fence) => {
                let body = json!({ "fence": fence });
                http::text(StatusCode::CONFLICT, &body.to_string())
            }
        })
    }

    /// Handles requests under `/test/`, which only tests send.
    fn test(&self, name: &str, request: &Request) -> Result<Response<Body>, ErrorResponse> {
        let scheduler = lock(&self.scheduler);
        let body = match name {
            "runs" => json!({ "runs": scheduler.runs, "preemptions": scheduler.preemptions }),
            "cancelled" => json!({ "cancelled": scheduler.cancelled }),
            "orders" => json!({ "orders": scheduler.orders.history() }),
            "faults" => json!({ "struck": lock(&self.faults).injected() }),
            "behaviour" => {
                lock(&self.faults).set(request.json()?);
                json!({})
            }
            _ => return Ok(http::text(StatusCode::NOT_FOUND, "no such order")),
        };
        Ok(http::json(&body))
    }

    /// Opens an event stream of a generation, starting at an index.
    fn open_stream(self: &Arc<Self>, id: Box<str>, from: u32) -> Response<Body> {
        let behaviour = lock(&self.faults).for_connection();
        let (sender, receiver): (ChunkSender, Receiver<_>) = bounded(4);
        let stream = Stream {
            engine: Arc::clone(self),
            id,
            behaviour,
            position: 0,
            held: None,
            chunks: sender,
        };
        smol::spawn(stream.run(from)).detach();
        http::stream(receiver, "text/event-stream")
    }

    /// Returns the event at an index; the event after the last token carries the finish reason.
    fn next_event(&self, id: &str, index: u32) -> NextEvent {
        let scheduler = lock(&self.scheduler);
        let Some(generation) = scheduler.generations.get(id) else {
            return NextEvent::Gone;
        };
        let seed = self.settings.seed;
        let request = &generation.request;
        let is_finished = matches!(generation.phase, Phase::Finished(_));
        let (text, reason) = match generation.phase {
            Phase::Cancelled(_) => return NextEvent::Gone,
            _ if index < generation.produced => {
                (law::token_text(seed, &request.prompt, index), None)
            }
            _ if is_finished => ("".into(), Some(generation.finish_reason(seed))),
            _ => return NextEvent::Pending,
        };
        NextEvent::Ready(json!({
            "id": id,
            "request": request.id,
            "index": index,
            "choices": [{"text": text, "finish_reason": reason}],
        }))
    }
}

/// Event stream of a generation on one connection.
struct Stream {
    engine: Arc<Engine>,
    id: Box<str>,
    behaviour: Behaviour,
    /// Number of events so far on this connection, including omitted ones.
    position: u64,
    /// Event to send after the next one.
    held: Option<Value>,
    chunks: ChunkSender,
}

impl Stream {
    /// Sends events until the generation ends, the client disconnects or a fault ends the stream.
    async fn run(mut self, from: u32) {
        let completed = self.send_all(from).await;
        if completed.is_none() {
            let _ = self.chunks.send(Err(http::aborted())).await;
        }
    }

    /// Sends all events; returns `None` if the stream ended early.
    async fn send_all(&mut self, from: u32) -> Option<()> {
        let mut index = from;
        loop {
            let waiter = self.engine.stepped.waiter();
            match self.engine.next_event(&self.id, index) {
                NextEvent::Gone => return None,
                NextEvent::Pending => {
                    self.apply_terminal_faults().await?;
                    if !waiter.wait(self.engine.settings.heartbeat).await {
                        self.write(": heartbeat\n\n").await?;
                    }
                }
                NextEvent::Ready(event) => {
                    let is_last = !event["choices"][0]["finish_reason"].is_null();
                    self.send(event, is_last).await?;
                    if is_last {
                        return self.write("data: [DONE]\n\n").await;
                    }
                    index += 1;
                }
            }
        }
    }

    /// Sends one event, with the faults that are due at its position.
    async fn send(&mut self, event: Value, is_last: bool) -> Option<()> {
        self.apply_terminal_faults().await?;
        self.position += 1;
        Timer::after(Duration::from_millis(self.behaviour.late_ms)).await;
        if self.inject(self.behaviour.cross_every, "cross") {
            let crossed = self.other_event(&event);
            self.write_event(&crossed).await?;
        }
        if self.inject(self.behaviour.gap_every, "gap") {
            return Some(());
        }
        if self.inject(self.behaviour.duplicate_every, "duplicate") {
            self.write_event(&event).await?;
        }
        if !is_last && self.held.is_none() && self.inject(self.behaviour.reorder_every, "reorder") {
            self.held = Some(event);
            return Some(());
        }
        self.write_event(&event).await?;
        match self.held.take() {
            Some(held) => self.write_event(&held).await,
            None => Some(()),
        }
    }

    /// Returns whether a fault is due at this position, and counts it if so.
    fn inject(&self, every: u64, fault: &'static str) -> bool {
        let is_due = Behaviour::is_due(every, self.position);
        if is_due {
            lock(&self.engine.faults).record(fault);
        }
        is_due
    }

    /// Returns a copy of an event with another request's id and text.
    fn other_event(&self, event: &Value) -> Value {
        let request = event["request"].as_str().unwrap_or_default();
        let mut crossed = event.clone();
        let other = lock(&self.engine.faults).other_request(request);
        crossed["request"] = json!(other);
        crossed["id"] = "another-generation".into();
        crossed["choices"][0]["text"] = " crossed".into();
        crossed
    }

    /// Exits the process, aborts the stream or stops sending once the fault is due.
    async fn apply_terminal_faults(&self) -> Option<()> {
        let is_due = |after: Option<u64>| after.is_some_and(|after| self.position >= after);
        if is_due(self.behaviour.die_after) {
            Timer::after(FLUSH_TIME).await;
            std::process::exit(CRASH_EXIT_CODE);
        }
        if is_due(self.behaviour.break_after) {
            lock(&self.engine.faults).record("break");
            return None;
        }
        if is_due(self.behaviour.silent_after) {
            lock(&self.engine.faults).record("silent");
            std::future::pending::<()>().await;
        }
        Some(())
    }

    async fn write_event(&self, event: &Value) -> Option<()> {
        let id = event["id"].as_str().unwrap_or_default();
        self.write(&format!("id: {id}:{}\ndata: {event}\n\n", event["index"]))
            .await
    }

    async fn write(&self, text: &str) -> Option<()> {
        let chunk = Ok(Bytes::copy_from_slice(text.as_bytes()));
        self.chunks.send(chunk).await.ok()
    }
}
