//! Completion requests: parsing a caller's and building an engine's.

use {
    crate::Exchange,
    base::{Reason, Refusal, key},
    bytes::Bytes,
    hyper::http::request::Parts,
    serde_json::{Value, json},
    xxhash_rust::xxh3::xxh3_64,
};

/// Approximate number of bytes per token of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Length of the shortest hashed prefix in bytes; each further one is twice as long.
const MIN_PREFIX_BYTES: usize = 256;

/// A caller's parsed completion request.
#[derive(Clone, Debug)]
pub struct Prompt {
    model: Box<str>,
    text: Box<str>,
    /// Index of the class within its service.
    class: usize,
    max_tokens: u32,
    /// Whether the caller wants an event stream.
    pub is_stream: bool,
}

impl Prompt {
    /// Parses a completion request's body and its `x-class` header.
    ///
    /// # Errors
    /// Returns a [`Reason::BadRequest`] refusal that names the invalid field.
    pub fn parse(exchange: &Exchange, parts: &Parts, body: &[u8]) -> Result<Self, Refusal> {
        let bad_request = |message: String| Refusal::not_run(Reason::BadRequest, message);
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| bad_request(format!("the body is no JSON: {error}")))?;
        let text = |field: &str| {
            let value = value[field].as_str();
            value.ok_or_else(|| bad_request(format!("`{field}` must be a string")))
        };
        let model = text("model")?;
        let service = exchange
            .service()
            .ok_or_else(|| bad_request("the service is gone".into()))?;
        if !service.models.contains(&key::Model::of(model)) {
            return Err(bad_request(format!("the service has no model `{model}`")));
        }
        let header = parts
            .headers
            .get("x-class")
            .and_then(|value| value.to_str().ok());
        let name = value["class"].as_str().or(header);
        let class = service.class(name).ok_or_else(|| {
            bad_request(format!(
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
                .ok_or_else(|| bad_request("`max_tokens` must be a number from 1".into()))?,
        };
        Ok(Self {
            model: model.into(),
            text: text("prompt")?.into(),
            class,
            max_tokens,
            is_stream: value["stream"] == Value::Bool(true),
        })
    }

    /// Builds the routing request; `excluded` lists the targets on which earlier attempts failed.
    pub fn request(&self, exchange: &Exchange, excluded: Vec<key::Target>) -> route::Request {
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
            excluded,
        }
    }

    /// Returns the index of the request's class within its service.
    pub fn class(&self) -> usize {
        self.class
    }

    /// Returns the priority of the request's class.
    pub fn priority(&self, exchange: &Exchange) -> u8 {
        exchange
            .service()
            .map_or(0, |service| service.classes[self.class].priority)
    }

    /// Builds the body of the request to the engine.
    pub fn body(&self) -> Bytes {
        let body = json!({
            "model": self.model,
            "prompt": self.text,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        body.to_string().into()
    }
}

/// Hashes the prompt's prefixes, by which the policy finds engines with a matching prefix cache.
fn prefixes(prompt: &[u8]) -> Box<[u64]> {
    std::iter::successors(Some(MIN_PREFIX_BYTES), |length| length.checked_mul(2))
        .take_while(|&length| length <= prompt.len())
        .map(|length| xxh3_64(&prompt[..length]))
        .collect()
}
