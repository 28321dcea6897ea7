//! One caller's request, token by token.

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

/// Time after the deadline at which a caller goes away.
const PATIENCE: Duration = Duration::from_secs(5);

/// Whom to ask, and as whom.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The entry VM.
    pub address: SocketAddr,
    /// The customer's key.
    pub key: Box<str>,
    /// Name of the class.
    pub class: Box<str>,
    /// Time to answer in full.
    pub deadline: Duration,
    /// When the run started.
    pub start: Instant,
}

impl Caller {
    /// Sends a request and follows its answer to the end.
    ///
    /// Times count from the intended arrival, so that a late start of the caller is not hidden.
    pub async fn ask(self, arrival: Arrival) -> Sample {
        let intended = self.start + arrival.at;
        let mut sample = Sample {
            kind: arrival.kind,
            customer: arrival.customer,
            arrival: arrival.at,
            outcome: Outcome::Failed,
            token_times: Vec::new(),
            elapsed: Duration::ZERO,
        };
        let answered = smol::future::or(
            async { self.follow(&arrival, intended, &mut sample).await.ok() },
            async {
                Timer::at(intended + self.deadline + PATIENCE).await;
                None
            },
        )
        .await;
        sample.elapsed = intended.elapsed();
        sample.outcome = match answered {
            Some(Outcome::Good) if sample.elapsed > self.deadline => Outcome::Late,
            Some(end) => end,
            None => Outcome::Failed,
        };
        sample
    }

    async fn follow(
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
            read(response, intended, &mut sample.token_times).await
        };
        let driven = async {
            connection.await?;
            std::future::pending().await
        };
        smol::future::or(exchange, driven).await
    }

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

/// Notes when each token of an answer comes.
async fn read(
    response: Response<Incoming>,
    intended: Instant,
    tokens: &mut Vec<Duration>,
) -> Result<Outcome, BoxError> {
    if !response.status().is_success() {
        let is_refusal = response.status().as_u16() == 503 || response.status().as_u16() == 429;
        let comes_back = response.headers().contains_key(RETRY_AFTER);
        response.into_body().collect().await?;
        return Ok(match (is_refusal, comes_back) {
            (true, true) => Outcome::Refused,
            (true, false) => Outcome::RefusedWithoutRetryAfter,
            _ => Outcome::Failed,
        });
    }
    let mut body = response.into_body();
    let mut rest = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let now = intended.elapsed();
        rest.extend_from_slice(&data);
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            let line: Vec<_> = rest.drain(..=end).collect();
            match kind_of(&line) {
                Line::Token => tokens.push(now),
                Line::Done => return Ok(Outcome::Good),
                Line::Error => return Ok(Outcome::Failed),
                Line::Other => {}
            }
        }
    }
    Ok(Outcome::Failed)
}

enum Line {
    Token,
    Done,
    Error,
    Other,
}

fn kind_of(line: &[u8]) -> Line {
    let contains = |part: &[u8]| line.windows(part.len()).any(|window| window == part);
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
