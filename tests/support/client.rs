//! A small blocking HTTP client that reads server-sent events one by one.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, Response, body::Incoming, client::conn::http1},
    serde_json::Value,
    smol::{Timer, future, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{collections::VecDeque, io, net::SocketAddr, time::Duration},
};

/// Longest wait for anything; a test that passes it has failed.
pub const PATIENCE: Duration = Duration::from_secs(90);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
}

impl Answer {
    /// Returns the body as JSON, null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Returns the verdict of an error body, or empty.
    pub fn verdict(&self) -> String {
        let json = self.json();
        let verdict = json["error"]["verdict"].as_str();
        verdict.unwrap_or_default().to_owned()
    }

    /// Returns a header, or empty.
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
pub enum End {
    /// With a finish reason and `[DONE]`.
    Complete(String),
    /// With an error event.
    Error(Value),
    /// Without either.
    Cut,
}

/// What a stream brought.
#[derive(Clone, Debug)]
pub struct Draft {
    pub tokens: Vec<(u64, String)>,
    pub generations: Vec<String>,
    pub resume: String,
    pub end: End,
}

/// An answer that comes event by event.
pub struct Stream {
    pub status: u16,
    pub headers: HeaderMap,
    body: Incoming,
    buffer: String,
    events: VecDeque<Event>,
}

/// Sends a request and returns the head of the answer.
pub fn open(
    address: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Response<Incoming>> {
    let asking = async {
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
    smol::block_on(in_time(asking))
}

/// Sends a request and reads the whole answer.
pub fn ask(
    address: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    let response = open(address, method, path, headers, body)?;
    let (parts, body) = response.into_parts();
    let body = smol::block_on(in_time(async {
        body.collect().await.map_err(io::Error::other)
    }))?;
    Ok(Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        text: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    })
}

async fn in_time<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::after(PATIENCE).await;
        panic!("nothing came within {PATIENCE:?}");
    };
    future::or(work, late).await
}

impl Stream {
    pub fn new(response: Response<Incoming>) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            buffer: String::new(),
            events: VecDeque::new(),
        }
    }

    /// Returns the next event; `None` once the body has ended, however it did.
    pub fn next(&mut self) -> Option<Event> {
        while self.events.is_empty() {
            let frame = smol::block_on(in_time(async { Ok(self.body.frame().await) }));
            let data = frame.ok()??.ok()?.into_data().ok()?;
            self.buffer.push_str(&String::from_utf8_lossy(&data));
            while let Some(end) = self.buffer.find("\n\n") {
                let block: String = self.buffer.drain(..end + 2).collect();
                self.events.extend(parse(&block));
            }
        }
        self.events.pop_front()
    }

    /// Reads tokens until there are `count`, or to the end.
    pub fn read(&mut self, count: usize) -> Draft {
        let mut draft = Draft {
            tokens: Vec::new(),
            generations: Vec::new(),
            resume: String::new(),
            end: End::Cut,
        };
        let mut reason = None;
        while draft.tokens.len() < count {
            let Some(event) = self.next() else { break };
            if event.kind == "error" {
                let error = serde_json::from_str(&event.data).unwrap_or(Value::Null);
                draft.end = End::Error(error);
                break;
            }
            if event.data == "[DONE]" {
                draft.end = reason.map_or(End::Cut, End::Complete);
                break;
            }
            reason = reason.or(draft.take(&event));
        }
        draft
    }

    /// Reads to the end.
    pub fn finish(&mut self) -> Draft {
        self.read(usize::MAX)
    }
}

impl Draft {
    /// Takes an event; returns the finish reason if it bears one.
    fn take(&mut self, event: &Event) -> Option<String> {
        let data: Value = serde_json::from_str(&event.data).expect("an event holds JSON");
        let generation = data["id"].as_str().unwrap_or_default().to_owned();
        if !self.generations.contains(&generation) {
            self.generations.push(generation);
        }
        if !event.id.is_empty() {
            self.resume.clone_from(&event.id);
        }
        let choice = &data["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            return Some(reason.to_owned());
        }
        let index = data["index"].as_u64().expect("an event has an index");
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
