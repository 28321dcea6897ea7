//! A simulated caller: sends one request and records when each token of the response arrives.

use {
    crate::{
        client::BoxError,
        embedded::{MODEL, MODEL_SERVICE},
        load::{
            record::{Outcome, Sample},
            schedule::Arrival,
        },
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1,
        header::{AUTHORIZATION, HOST, RETRY_AFTER},
    },
    serde_json::json,
    smol::{Timer, net::TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time after the deadline until a caller abandons its request.
const ABANDON_DELAY: Duration = Duration::from_secs(5);

/// One caller: the entry VM that it uses, its credentials and its deadline.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Address of the entry VM's listener for callers.
    pub address: SocketAddr,
    /// API key of the customer.
    pub key: Box<str>,
    /// Name of the request class.
    pub class: Box<str>,
    /// Time in which a complete response counts as good.
    pub deadline: Duration,
    /// Start of the run.
    pub start: Instant,
}

impl Caller {
    /// Sends a request and reads its response to the end.
    ///
    /// Times are measured from the intended arrival, so that a delayed send counts as latency.
    pub async fn send(self, arrival: Arrival) -> Sample {
        let intended = self.start + arrival.at;
        let mut sample = Sample {
            kind: arrival.kind,
            customer: arrival.customer,
            arrival: arrival.at,
            outcome: Outcome::Failed,
            token_times: Vec::new(),
            elapsed: Duration::ZERO,
        };
        let completed = smol::future::or(
            async { self.exchange(&arrival, intended, &mut sample).await.ok() },
            async {
                Timer::at(intended + self.deadline + ABANDON_DELAY).await;
                None
            },
        )
        .await;
        sample.elapsed = intended.elapsed();
        sample.outcome = match completed {
            Some(Outcome::Good) if sample.elapsed > self.deadline => Outcome::Late,
            Some(outcome) => outcome,
            None => Outcome::Failed,
        };
        sample
    }

    /// Opens a connection for the request and reads the token times into the sample.
    async fn exchange(
        &self,
        arrival: &Arrival,
        intended: Instant,
        sample: &mut Sample,
    ) -> Result<Outcome, BoxError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
        let exchange = async {
            let response = sender.send_request(self.request(arrival)?).await?;
            read_response(response, intended, &mut sample.token_times).await
        };
        let connection_driver = async {
            connection.await?;
            std::future::pending().await
        };
        smol::future::or(exchange, connection_driver).await
    }

    /// Builds the streaming completion request.
    fn request(&self, arrival: &Arrival) -> Result<Request<Full<Bytes>>, BoxError> {
        let body = json!({
            "model": MODEL,
            "class": self.class,
            "prompt": arrival.prompt,
            "stream": true,
        });
        let request = Request::post(format!("/{MODEL_SERVICE}/v1/completions"))
            .header(HOST, self.address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body.to_string())))?;
        Ok(request)
    }
}

/// Reads a response, records when each of its tokens arrives, and returns its outcome.
async fn read_response(
    response: Response<Incoming>,
    intended: Instant,
    token_times: &mut Vec<Duration>,
) -> Result<Outcome, BoxError> {
    if !response.status().is_success() {
        let is_refusal = response.status().as_u16() == 503 || response.status().as_u16() == 429;
        let has_retry_after = response.headers().contains_key(RETRY_AFTER);
        response.into_body().collect().await?;
        return Ok(match (is_refusal, has_retry_after) {
            (true, true) => Outcome::Refused,
            (true, false) => Outcome::RefusedWithoutRetryAfter,
            _ => Outcome::Failed,
        });
    }
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let now = intended.elapsed();
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<_> = buffer.drain(..=end).collect();
            match classify_line(&line) {
                Line::Token => token_times.push(now),
                Line::Done => return Ok(Outcome::Good),
                Line::Error => return Ok(Outcome::Failed),
                Line::Other => {}
            }
        }
    }
    Ok(Outcome::Failed)
}

/// A line of the event stream, as far as the measurement needs it.
enum Line {
    Token,
    Done,
    Error,
    Other,
}

fn classify_line(line: &[u8]) -> Line {
    let contains = |text: &[u8]| line.windows(text.len()).any(|window| window == text);
    if line.starts_with(b"event: error") {
        return Line::Error;
    }
    if line.starts_with(b"data: [DONE]") {
        return Line::Done;
    }
    if line.starts_with(b"data: ") && contains(b"\"finish_reason\":null") {
        return Line::Token;
    }
    Line::Other
}
