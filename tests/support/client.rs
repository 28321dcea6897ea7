//! A small blocking HTTP client that reads server-sent events one by one.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, body::Incoming, client::conn::http1},
    serde_json::Value,
    smol::{Timer, future, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{collections::VecDeque, io, net::SocketAddr, time::Duration},
};

/// Limit of every wait; a test that exceeds it fails.
pub const TIMEOUT: Duration = Duration::from_secs(90);

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl Response {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the verdict of an error body, or an empty string.
    pub fn verdict(&self) -> String {
        let json = self.json();
        let verdict = json["error"]["verdict"].as_str();
        verdict.unwrap_or_default().to_owned()
    }

    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// One server-sent event.
#[derive(Clone, Debug, Default)]
pub struct Event {
    pub id: String,
    pub kind: String,
    pub data: String,
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// With this finish reason and `[DONE]`.
    Complete(String),
    /// With an error event of this data.
    Error(Value),
    /// Without an error event or a finish reason followed by `[DONE]`.
    Truncated,
}

/// The part of a completion that a stream has delivered.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Index and text of each token, in the order of arrival.
    pub tokens: Vec<(u64, String)>,
    /// Distinct generation ids, in the order of arrival.
    pub generations: Vec<String>,
    /// Id of the last event that has one.
    pub resume_token: String,
    pub outcome: Outcome,
}

/// A response body that is read event by event.
pub struct Stream {
    pub status: u16,
    pub headers: HeaderMap,
    body: Incoming,
    buffer: String,
    events: VecDeque<Event>,
}

/// Sends a request on a new connection and returns the response with its body unread.
pub fn send(
    address: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<hyper::Response<Incoming>> {
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        smol::spawn(connection).detach();
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers.iter().chain(&[("host", "test")]) {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = request.body(body).map_err(io::Error::other)?;
        sender.send_request(request).await.map_err(io::Error::other)
    };
    smol::block_on(with_timeout(exchange))
}

/// Sends a request on a new connection and reads the complete response.
pub fn fetch(
    address: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Response> {
    let response = send(address, method, path, headers, body)?;
    let (parts, body) = response.into_parts();
    let body = smol::block_on(with_timeout(async {
        body.collect().await.map_err(io::Error::other)
    }))?;
    Ok(Response {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    })
}

async fn with_timeout<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timeout = async {
        Timer::after(TIMEOUT).await;
        panic!("timed out after {TIMEOUT:?}");
    };
    future::or(work, timeout).await
}

impl Stream {
    pub fn new(response: hyper::Response<Incoming>) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            buffer: String::new(),
            events: VecDeque::new(),
        }
    }

    /// Returns the next event, or `None` once the body has ended or failed.
    pub fn next(&mut self) -> Option<Event> {
        while self.events.is_empty() {
            let frame = smol::block_on(with_timeout(async { Ok(self.body.frame().await) }));
            let data = frame.ok()??.ok()?.into_data().ok()?;
            self.buffer.push_str(&String::from_utf8_lossy(&data));
            while let Some(end) = self.buffer.find("\n\n") {
                let block: String = self.buffer.drain(..end + 2).collect();
                self.events.extend(parse(&block));
            }
        }
        self.events.pop_front()
    }

    /// Reads `count` tokens, or up to the end of the stream if it has fewer.
    pub fn read(&mut self, count: usize) -> Completion {
        let mut completion = Completion {
            tokens: Vec::new(),
            generations: Vec::new(),
            resume_token: String::new(),
            outcome: Outcome::Truncated,
        };
        let mut reason = None;
        while completion.tokens.len() < count {
            let Some(event) = self.next() else { break };
            if event.kind == "error" {
                let error = serde_json::from_str(&event.data).unwrap_or(Value::Null);
                completion.outcome = Outcome::Error(error);
                break;
            }
            if event.data == "[DONE]" {
                completion.outcome = reason.map_or(Outcome::Truncated, Outcome::Complete);
                break;
            }
            reason = reason.or(completion.push(&event));
        }
        completion
    }

    /// Reads all events up to the end of the stream.
    pub fn read_to_end(&mut self) -> Completion {
        self.read(usize::MAX)
    }
}

impl Completion {
    /// Appends the token of an event, or returns the finish reason if the event has one.
    fn push(&mut self, event: &Event) -> Option<String> {
        let data: Value = serde_json::from_str(&event.data).expect("the event data is JSON");
        let generation = data["id"].as_str().unwrap_or_default().to_owned();
        if !self.generations.contains(&generation) {
            self.generations.push(generation);
        }
        if !event.id.is_empty() {
            self.resume_token.clone_from(&event.id);
        }
        let choice = &data["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            return Some(reason.to_owned());
        }
        let index = data["index"].as_u64().expect("the event has a token index");
        let text = choice["text"].as_str().unwrap_or_default();
        self.tokens.push((index, text.to_owned()));
        None
    }
}

fn parse(block: &str) -> Option<Event> {
    let mut event = Event::default();
    for line in block.lines() {
        match line.split_once(": ") {
            Some(("id", value)) => value.clone_into(&mut event.id),
            Some(("event", value)) => value.clone_into(&mut event.kind),
            Some(("data", value)) => event.data.push_str(value),
            _ => {}
        }
    }
    (!event.data.is_empty()).then_some(event)
}
