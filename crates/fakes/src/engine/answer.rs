//! The engine's HTTP calls and event streams.

use {
    super::{
        Behaviour, Engine,
        behaviour::DEATH,
        core::{Order, Phase},
        law,
        order::Wish,
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

/// Output tokens of a request that names no limit.
const MAX_TOKENS: u32 = 4096;
/// Time for sent events to leave before the process dies.
const LAST_WORDS: Duration = Duration::from_millis(50);

type Refusal = Box<Response<Body>>;
type Pieces = Sender<io::Result<Bytes>>;

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: Box<str>,
    prompt: Box<str>,
    max_tokens: Option<u32>,
}

/// What a stream finds when it looks for its next event.
enum Next {
    Event(Value),
    Nothing,
    Gone,
}

impl Engine {
    /// Answers one call.
    pub(super) fn answer(self: &Arc<Self>, request: &Request) -> Response<Body> {
        let path: Vec<_> = request.path.split('/').skip(1).collect();
        let answer = match (&request.method, &*path) {
            (&Method::POST, ["v1", "completions"]) => self.start(request),
            (&Method::GET, ["v1", "generations", id, "events"]) => Ok(self.resume(id, request)),
            (&Method::DELETE, ["v1", "generations", id]) => Ok(self.cancel_generation(id)),
            (&Method::DELETE, ["v1", "requests", id]) => Ok(self.cancel_request(id)),
            (&Method::GET, ["v1", "load"]) => Ok(self.load()),
            (&Method::GET, ["v1", "cache-events"]) => Ok(self.cache_events(request)),
            (&Method::POST, ["v1", "orders"]) => self.order(request),
            (&Method::GET, ["v1", "orders"]) => Ok(http::json(&lock(&self.core).orders.describe())),
            (_, ["test", name]) => self.test(name, request),
            _ => Ok(http::status(StatusCode::NOT_FOUND, "no such call")),
        };
        answer.unwrap_or_else(|refusal| *refusal)
    }

    fn start(self: &Arc<Self>, request: &Request) -> Result<Response<Body>, Refusal> {
        let completion: Completion = request.json()?;
        let behaviour = lock(&self.faults).behaviour.clone();
        if behaviour.refuse || behaviour.leaving {
            return Ok(http::refusal(behaviour.leaving));
        }
        let mut core = lock(&self.core);
        if !core.orders.serves(&completion.model) {
            return Ok(http::refusal(false));
        }
        if law::prompt_tokens(&completion.prompt) >= self.settings.memory_tokens {
            let text = "the prompt is larger than the memory";
            return Ok(http::status(StatusCode::BAD_REQUEST, text));
        }
        let id = core.start(Order {
            request: request.header("x-request-id").into(),
            prompt: completion.prompt,
            max_tokens: completion.max_tokens.unwrap_or(MAX_TOKENS),
            priority: request.header("x-priority").parse().unwrap_or(0),
        });
        drop(core);
        Ok(self.open(id, 0))
    }

    fn resume(self: &Arc<Self>, id: &str, request: &Request) -> Response<Body> {
        let from = request.number("from").unwrap_or(0) as u32;
        let known = lock(&self.core).generations.get(id).is_some_and(|found| {
            let cancelled = matches!(found.phase, Phase::Cancelled(_));
            !cancelled && from <= found.length
        });
        if !known {
            let text = "the generation is not known";
            return http::status(StatusCode::NOT_FOUND, text);
        }
        self.open(id.into(), from)
    }

    fn cancel_generation(&self, id: &str) -> Response<Body> {
        let count = lock(&self.core).cancel(|generation, _| generation == id);
        self.stepped.notify();
        http::json(&json!({ "cancelled": count }))
    }

    fn cancel_request(&self, id: &str) -> Response<Body> {
        let count = lock(&self.core).cancel(|_, generation| &*generation.order.request == id);
        self.stepped.notify();
        http::json(&json!({ "cancelled": count }))
    }

    fn load(&self) -> Response<Body> {
        let core = lock(&self.core);
        let mut load = core.reports.read().unwrap_or_else(|| core.load());
        let behaviour = lock(&self.faults).behaviour.clone();
        load["leaving"] = (behaviour.leaving && !behaviour.unreported).into();
        http::json(&load)
    }

    fn cache_events(&self, request: &Request) -> Response<Body> {
        let after = request.number("after").unwrap_or(0);
        let (lag, gap) = (self.settings.cache_lag, self.settings.cache_gap);
        http::json(&lock(&self.core).cache.events(after, lag, gap))
    }

    fn order(&self, request: &Request) -> Result<Response<Body>, Refusal> {
        let wish: Wish = request.json()?;
        let taken = lock(&self.core).orders.take(wish);
        Ok(match taken {
            Ok(()) => http::json(&json!({})),
            Err(fence) => {
                let body = json!({ "fence": fence });
                http::status(StatusCode::CONFLICT, &body.to_string())
            }
        })
    }

    /// Answers the calls that only tests make.
    fn test(&self, name: &str, request: &Request) -> Result<Response<Body>, Refusal> {
        let core = lock(&self.core);
        let answer = match name {
            "runs" => json!({ "runs": core.runs, "preemptions": core.preemptions }),
            "cancelled" => json!({ "cancelled": core.cancelled }),
            "orders" => json!({ "orders": core.orders.log() }),
            "faults" => json!({ "struck": lock(&self.faults).struck() }),
            "behaviour" => {
                lock(&self.faults).set(request.json()?);
                json!({})
            }
            _ => return Ok(http::status(StatusCode::NOT_FOUND, "no such order")),
        };
        Ok(http::json(&answer))
    }

    /// Opens an event stream of a generation from an index.
    fn open(self: &Arc<Self>, id: Box<str>, from: u32) -> Response<Body> {
        let behaviour = lock(&self.faults).of_connection();
        let (sender, receiver): (Pieces, Receiver<_>) = bounded(4);
        let stream = Stream {
            engine: Arc::clone(self),
            id,
            behaviour,
            position: 0,
            held: None,
            pieces: sender,
        };
        smol::spawn(stream.run(from)).detach();
        http::stream(receiver, "text/event-stream")
    }

    /// Looks for the event of an index; the one after the last token bears the finish reason.
    fn next(&self, id: &str, index: u32) -> Next {
        let core = lock(&self.core);
        let Some(generation) = core.generations.get(id) else {
            return Next::Gone;
        };
        let seed = self.settings.seed;
        let order = &generation.order;
        let finished = matches!(generation.phase, Phase::Finished(_));
        let (text, reason) = match generation.phase {
            Phase::Cancelled(_) => return Next::Gone,
            _ if index < generation.produced => (law::text(seed, &order.prompt, index), None),
            _ if finished => ("".into(), Some(generation.finish_reason(seed))),
            _ => return Next::Nothing,
        };
        Next::Event(json!({
            "id": id,
            "request": order.request,
            "index": index,
            "choices": [{"text": text, "finish_reason": reason}],
        }))
    }
}

/// One connection that receives the events of a generation.
struct Stream {
    engine: Arc<Engine>,
    id: Box<str>,
    behaviour: Behaviour,
    /// Events sent on this connection.
    position: u64,
    /// An event that is held back to be sent after the next one.
    held: Option<Value>,
    pieces: Pieces,
}

impl Stream {
    /// Sends events until the generation ends, the peer goes away or a fault stops it.
    async fn run(mut self, from: u32) {
        let sent = self.send_all(from).await;
        if sent.is_none() {
            let _ = self.pieces.send(Err(http::hang_up())).await;
        }
    }

    async fn send_all(&mut self, from: u32) -> Option<()> {
        let mut index = from;
        loop {
            let waiter = self.engine.stepped.waiter();
            match self.engine.next(&self.id, index) {
                Next::Gone => return None,
                Next::Nothing => {
                    self.obey().await?;
                    if !waiter.wait(self.engine.settings.heartbeat).await {
                        self.write(": heartbeat\n\n").await?;
                    }
                }
                Next::Event(event) => {
                    let last = !event["choices"][0]["finish_reason"].is_null();
                    self.send(event, last).await?;
                    if last {
                        return self.write("data: [DONE]\n\n").await;
                    }
                    index += 1;
                }
            }
        }
    }

    /// Sends one event, with the faults that strike at its position.
    async fn send(&mut self, event: Value, last: bool) -> Option<()> {
        self.obey().await?;
        self.position += 1;
        Timer::after(Duration::from_millis(self.behaviour.late_ms)).await;
        if self.strikes(self.behaviour.cross_every, "cross") {
            let crossed = self.crossed(&event);
            self.write_event(&crossed).await?;
        }
        if self.strikes(self.behaviour.gap_every, "gap") {
            return Some(());
        }
        if self.strikes(self.behaviour.duplicate_every, "duplicate") {
            self.write_event(&event).await?;
        }
        if !last && self.held.is_none() && self.strikes(self.behaviour.reorder_every, "reorder") {
            self.held = Some(event);
            return Some(());
        }
        self.write_event(&event).await?;
        match self.held.take() {
            Some(held) => self.write_event(&held).await,
            None => Some(()),
        }
    }

    fn strikes(&self, period: u64, fault: &'static str) -> bool {
        let strikes = Behaviour::strikes(period, self.position);
        if strikes {
            lock(&self.engine.faults).count(fault);
        }
        strikes
    }

    /// Makes an event that bears another request's id and text.
    fn crossed(&self, event: &Value) -> Value {
        let request = event["request"].as_str().unwrap_or_default();
        let mut crossed = event.clone();
        let other = lock(&self.engine.faults).cross(request);
        crossed["request"] = json!(other);
        crossed["id"] = "another-generation".into();
        crossed["choices"][0]["text"] = " crossed".into();
        crossed
    }

    /// Dies, goes silent or breaks off if the time has come.
    async fn obey(&self) -> Option<()> {
        let due = |after: Option<u64>| after.is_some_and(|after| self.position >= after);
        if due(self.behaviour.die_after) {
            Timer::after(LAST_WORDS).await;
            std::process::exit(DEATH);
        }
        if due(self.behaviour.break_after) {
            lock(&self.engine.faults).count("break");
            return None;
        }
        if due(self.behaviour.silent_after) {
            lock(&self.engine.faults).count("silent");
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
        let piece = Ok(Bytes::copy_from_slice(text.as_bytes()));
        self.pieces.send(piece).await.ok()
    }
}
