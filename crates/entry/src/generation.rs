//! A generation on a model engine, for one caller.

use {
    crate::{
        Context, Exchange,
        answer::{self, Body},
        http,
        router::{self, Grant},
        sse::{Event, Item, Parser},
    },
    base::{Reason, Refusal, key},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Method, Response,
        body::Incoming,
        header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
        http::request::Parts,
    },
    route::Outcome,
    serde_json::{Value, json},
    smol::channel::{Sender, bounded},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Bytes of a prompt that make one token, roughly.
const BYTES_PER_TOKEN: usize = 4;
/// Length of the shortest hashed prefix in bytes; each further one is twice as long.
const SHORTEST_PREFIX: usize = 256;
/// Events that may wait for a slow caller.
const EVENT_BUFFER: usize = 64;

/// What a caller asks of a model engine.
#[derive(Clone, Debug)]
pub struct Prompt {
    model: Box<str>,
    text: Box<str>,
    class: usize,
    max_tokens: u32,
    is_stream: bool,
}

impl Prompt {
    /// Reads the body of a completion request.
    ///
    /// # Errors
    /// Returns a [`Reason::BadRequest`] refusal that names the field.
    pub fn parse(exchange: &Exchange, parts: &Parts, body: &[u8]) -> Result<Self, Refusal> {
        let bad = |message: String| Refusal::not_run(Reason::BadRequest, message);
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| bad(format!("the body is no JSON: {error}")))?;
        let text = |field: &str| {
            let value = value[field].as_str();
            value.ok_or_else(|| bad(format!("`{field}` must be a string")))
        };
        let model = text("model")?;
        let service = exchange
            .service()
            .ok_or_else(|| bad("the service is gone".into()))?;
        if !service.models.contains(&key::Model::of(model)) {
            return Err(bad(format!("the service has no model `{model}`")));
        }
        let header = parts
            .headers
            .get("x-class")
            .and_then(|value| value.to_str().ok());
        let name = value["class"].as_str().or(header);
        let class = service.class(name).ok_or_else(|| {
            bad(format!(
                "the service has no class `{}`",
                name.unwrap_or_default()
            ))
        })?;
        let limit = service.classes[class].max_tokens;
        let max_tokens = match &value["max_tokens"] {
            Value::Null => limit,
            number => number
                .as_u64()
                .filter(|&number| number > 0)
                .map(|number| (number.min(u64::from(limit))) as u32)
                .ok_or_else(|| bad("`max_tokens` must be a number from 1".into()))?,
        };
        Ok(Self {
            model: model.into(),
            text: text("prompt")?.into(),
            class,
            max_tokens,
            is_stream: value["stream"] == Value::Bool(true),
        })
    }

    fn request(&self, exchange: &Exchange) -> route::Request {
        route::Request {
            key: exchange.key,
            customer: exchange.customer,
            service: exchange.service,
            class: self.class,
            model: Some(key::Model::of(&self.model)),
            prompt_tokens: (self.text.len() / BYTES_PER_TOKEN) as u32,
            max_tokens: self.max_tokens,
            prefixes: prefixes(self.text.as_bytes()),
            deadline: exchange.deadline,
            excluded: Vec::new(),
        }
    }

    fn body(&self) -> Bytes {
        let body = json!({
            "model": self.model,
            "prompt": self.text,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        body.to_string().into()
    }
}

fn prefixes(prompt: &[u8]) -> Box<[u64]> {
    std::iter::successors(Some(SHORTEST_PREFIX), |length| length.checked_mul(2))
        .take_while(|&length| length <= prompt.len())
        .map(|length| xxh3_64(&prompt[..length]))
        .collect()
}

/// Answers a caller with a stream or with the whole answer.
///
/// # Errors
/// Returns a refusal if nothing of an answer was sent.
pub async fn serve(
    context: &Arc<Context>,
    exchange: &Exchange,
    parts: &Parts,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let prompt = Prompt::parse(exchange, parts, body)?;
    let grant = router::acquire(context, prompt.request(exchange)).await?;
    router::log_decision(exchange, &grant);
    let answer = start(context, exchange, &prompt, grant.target()).await?;
    let (sender, receiver) = bounded(EVENT_BUFFER);
    let pump = pump(answer, grant, sender);
    if !prompt.is_stream {
        let collect = async {
            let mut events = Vec::new();
            while let Ok(event) = receiver.recv().await {
                events.push(event);
            }
            events
        };
        let (finished, events) = smol::future::zip(pump, collect).await;
        finished?;
        return whole(&events);
    }
    let exchange = exchange.clone();
    let (bytes, body) = bounded(EVENT_BUFFER);
    context.spawn(async move {
        let copy = copy(receiver, bytes.clone());
        let (finished, ()) = smol::future::zip(pump, copy).await;
        let last = match finished {
            Ok(()) => "data: [DONE]\n\n".to_owned(),
            Err(refusal) => Event {
                id: None,
                kind: Some("error".into()),
                data: answer::error_body(&refusal, &exchange.id, exchange.version()).to_string(),
            }
            .encode(),
        };
        let _ = bytes.send(last.into()).await;
    });
    let mut response = Response::new(answer::stream(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(response)
}

async fn copy(events: smol::channel::Receiver<Event>, bytes: Sender<Bytes>) {
    while let Ok(event) = events.recv().await {
        if bytes.send(event.encode().into()).await.is_err() {
            return;
        }
    }
}

/// Joins the events of a finished generation into one body.
fn whole(events: &[Event]) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut tokens = 0_u64;
    let mut last = Value::Null;
    for event in events {
        let value: Value = serde_json::from_str(&event.data)
            .map_err(|error| Refusal::may_have_run(Reason::TargetInvalid, error.to_string()))?;
        if value["choices"][0]["finish_reason"].is_null() {
            tokens += 1;
        }
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
        last = value;
    }
    Ok(answer::json(
        hyper::StatusCode::OK,
        &json!({
            "id": last["id"],
            "choices": [{"text": text, "finish_reason": last["choices"][0]["finish_reason"]}],
            "usage": {"completion_tokens": tokens},
        }),
    ))
}

async fn start(
    context: &Context,
    exchange: &Exchange,
    prompt: &Prompt,
    target: key::Target,
) -> Result<Incoming, Refusal> {
    let snapshot = &exchange.deployment.snapshot;
    let target = snapshot
        .targets
        .get(target)
        .ok_or_else(|| Refusal::not_run(Reason::NoTarget, "the target is gone"))?;
    let priority = exchange
        .service()
        .map_or(0, |service| service.classes[prompt.class].priority);
    let mut request = http::request(Method::POST, "/v1/completions", prompt.body())?;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert("x-priority", HeaderValue::from(u16::from(priority)));
    if let Ok(id) = exchange.id.parse() {
        headers.insert("x-request-id", id);
    }
    let response = http::send(context, target.address, request).await?;
    if http::is_refused_before_start(&response) {
        return Err(Refusal::not_run(
            Reason::TargetRefused,
            "the engine refused before it started",
        ));
    }
    if !response.status().is_success() {
        let message = format!("the engine answered {}", response.status());
        return Err(Refusal::may_have_run(Reason::TargetInvalid, message));
    }
    Ok(response.into_body())
}

/// Passes the engine's events on until the generation ends.
async fn pump(mut body: Incoming, grant: Grant, events: Sender<Event>) -> Result<(), Refusal> {
    let mut parser = Parser::default();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| Refusal::may_have_run(Reason::TargetLost, error.to_string()))?;
        let Some(chunk) = frame.data_ref() else {
            continue;
        };
        let items = parser
            .push(chunk)
            .ok_or_else(|| Refusal::may_have_run(Reason::TargetInvalid, "an event is too long"))?;
        for item in items {
            let Item::Event(event) = item else { continue };
            if event.data == "[DONE]" {
                grant.end(Outcome::Complete);
                return Ok(());
            }
            grant.progress(1);
            if events.send(event).await.is_err() {
                return Ok(());
            }
        }
    }
    grant.end(Outcome::Failed);
    Err(Refusal::may_have_run(
        Reason::TargetLost,
        "the engine's stream broke off",
    ))
}
