//! The inner protocol over TCP: authenticated connections between entry VMs, requests and handlers.

use {
    crate::{
        Context, Exchange,
        call::Call,
        configuration, handover,
        metrics::Rejected,
        owner::{self, Resolution},
        runtime::with_timeout,
        ticket,
    },
    base::{Reason, Refusal, Verdict, key},
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    hyper::{
        HeaderMap, Method,
        header::{HeaderName, HeaderValue},
    },
    once::Outcome,
    prost::Message,
    rand::Rng,
    smol::net::{TcpListener, TcpStream},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio_util::{
        codec::{Framed, LengthDelimitedCodec},
        compat::{Compat, FuturesAsyncReadCompatExt},
    },
    wire::{
        Error,
        channel::Channel,
        frame,
        handshake::{self, Side},
        msg::{self, Envelope, Hello, envelope::Body},
    },
};

/// Longest wait for the peer's `Hello`.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

type Stream = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// An authenticated connection to another entry VM.
#[derive(Debug)]
pub struct Link {
    stream: Stream,
    channel: Channel,
    /// The peer's handshake message.
    pub peer: Hello,
}

impl Link {
    /// Connects to another entry VM and performs the handshake.
    ///
    /// # Errors
    /// Returns a [`Reason::PeerLost`] refusal with the verdict `NotRun`.
    pub async fn connect(context: &Context, address: SocketAddr) -> Result<Self, Refusal> {
        let lost =
            |message: &str| Refusal::not_run(Reason::PeerLost, format!("{address}: {message}"));
        let limit = context.settings.limits.connect_timeout;
        let stream = with_timeout(limit, TcpStream::connect(address))
            .await
            .ok_or_else(|| lost("the connection timed out"))?
            .map_err(|error| lost(&error.to_string()))?;
        with_timeout(
            HANDSHAKE_TIMEOUT.min(limit),
            Self::establish(context, stream, Side::Client),
        )
        .await
        .ok_or_else(|| lost("no greeting in time"))?
        .map_err(|error| lost(&error.to_string()))
    }

    async fn establish(context: &Context, stream: TcpStream, side: Side) -> Result<Self, Error> {
        let _ = stream.set_nodelay(true);
        let mut stream = Framed::new(stream.compat(), frame::codec());
        let nonce = rand::rng().random();
        let identity = &context.identity;
        let ours = handshake::hello(&identity.name, identity.incarnation, nonce);
        let bytes = Bytes::from(ours.encode_to_vec());
        stream.send(bytes).await.map_err(|_error| Error::Closed)?;
        let bytes = next_frame(&mut stream).await?;
        let peer = Hello::decode(bytes).map_err(|_error| Error::Malformed)?;
        let channel = handshake::channel(&context.key, side, &ours, &peer)?;
        Ok(Self {
            stream,
            channel,
            peer,
        })
    }

    /// Sends a sealed message.
    ///
    /// # Errors
    /// Returns [`Error::Closed`] if the connection is lost.
    pub async fn send(&mut self, body: Body) -> Result<(), Error> {
        let bytes = self.channel.seal(&Envelope { body: Some(body) });
        self.stream
            .send(bytes)
            .await
            .map_err(|_error| Error::Closed)
    }

    /// Receives and opens a sealed message.
    ///
    /// # Errors
    /// Returns why the frame is invalid, or [`Error::Closed`].
    pub async fn receive(&mut self) -> Result<Body, Error> {
        let bytes = next_frame(&mut self.stream).await?;
        self.channel.open(bytes)?.body.ok_or(Error::Malformed)
    }
}

async fn next_frame(stream: &mut Stream) -> Result<BytesMut, Error> {
    match stream.next().await {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => Err(Error::TooLong),
        _ => Err(Error::Closed),
    }
}

/// Sends one request to another entry VM and waits for its response.
///
/// # Errors
/// Returns a refusal with the verdict `NotRun` if the message wasn't sent, else `MayHaveRun`.
pub async fn send_request(
    context: &Context,
    vm: key::Vm,
    body: Body,
    limit: Duration,
) -> Result<Body, Refusal> {
    let snapshot = context.snapshot();
    let vm = snapshot.vms.get(vm).ok_or_else(|| {
        Refusal::not_run(Reason::PeerLost, "the entry VM is not in the configuration")
    })?;
    let mut link = Link::connect(context, vm.inner).await?;
    let exchange = async {
        link.send(body).await?;
        link.receive().await
    };
    let lost =
        |message: &str| Refusal::may_have_run(Reason::PeerLost, format!("{}: {message}", vm.name));
    with_timeout(limit, exchange)
        .await
        .ok_or_else(|| lost("no answer in time"))?
        .map_err(|error| lost(&error.to_string()))
}

/// Forwards a call to another entry VM and returns its resolution there.
///
/// # Errors
/// Returns a [`Reason::PeerLost`] refusal if the other VM does not answer.
pub async fn forward(
    context: &Context,
    exchange: &Exchange,
    call: &Call,
    vm: key::Vm,
) -> Result<Resolution, Refusal> {
    let snapshot = &exchange.deployment.snapshot;
    let remaining = exchange.remaining(context.now());
    let message = msg::Call {
        number: 1,
        request: exchange.id.to_string(),
        customer: snapshot
            .customers
            .get(exchange.customer)
            .map_or_else(String::new, |customer| customer.name.to_string()),
        service: exchange
            .service()
            .map_or_else(String::new, |service| service.name.to_string()),
        method: call.method.to_string(),
        path: call.path.to_string(),
        headers: encode_headers(&call.headers),
        body: call.body.to_vec(),
        deadline_ms: remaining.as_millis() as u64,
        configuration_version: exchange.version(),
        ..msg::Call::default()
    };
    log::info!(
        target: "forward", request:% = exchange.id, to:% = snapshot.vms.get(vm).map_or("", |vm| &*vm.name),
        configuration_version = exchange.version(); "forwarding the call to its owner"
    );
    match send_request(context, vm, Body::Call(message), remaining).await? {
        Body::Reply(reply) if reply.elsewhere != 0 => {
            Ok(Resolution::Redirect(key::Vm::from_raw(reply.elsewhere)))
        }
        Body::Reply(reply) => Ok(Resolution::Outcome(decode_reply(reply))),
        _ => Err(Refusal::may_have_run(
            Reason::PeerLost,
            "the entry VM answered something else",
        )),
    }
}

/// Tells another entry VM that a stream's caller resumed it here; returns false if that failed.
///
/// A VM that is not in the configuration any more cancels nothing, so it isn't told.
pub async fn notify_takeover(
    context: &Context,
    vm: key::Vm,
    request: &str,
    limit: Duration,
) -> bool {
    if !context.snapshot().vms.contains(vm) {
        return true;
    }
    let message = msg::Adopt {
        number: 1,
        request: request.to_owned(),
    };
    send_request(context, vm, Body::Adopt(message), limit)
        .await
        .is_ok()
}

/// Accepts connections of other entry VMs until the process ends.
pub async fn listen(context: Arc<Context>, listener: TcpListener) {
    loop {
        if let Ok((stream, _peer)) = listener.accept().await {
            context.spawn(serve_connection(Arc::clone(&context), stream));
        }
    }
}

async fn serve_connection(context: Arc<Context>, stream: TcpStream) {
    let established = with_timeout(
        HANDSHAKE_TIMEOUT,
        Link::establish(&context, stream, Side::Server),
    )
    .await;
    let Some(Ok(mut link)) = established else {
        context.metrics.count_rejected(Rejected::Greeting);
        log::warn!(target: "inner", "refused a connection: the handshake failed");
        return;
    };
    loop {
        let body = match link.receive().await {
            Ok(body) => body,
            Err(Error::Closed) => return,
            Err(error) => {
                context.metrics.count_rejected(Rejected::Frame);
                log::warn!(
                    target: "inner", peer:% = link.peer.vm, error:% = error;
                    "closing a connection after an invalid frame"
                );
                return;
            }
        };
        let _guard = context.drain.track();
        let Some(response) = handle(&context, &link.peer, body).await else {
            return;
        };
        if link.send(response).await.is_err() {
            return;
        }
    }
}

/// Handles another entry VM's request and returns the response; `None` closes the connection.
async fn handle(context: &Arc<Context>, peer: &Hello, body: Body) -> Option<Body> {
    match body {
        Body::Call(call) => Some(Body::Reply(run_call(context, call).await)),
        Body::ConfigurationQuery(query) => {
            Some(Body::Configuration(configuration::answer(context, query)))
        }
        Body::Adopt(adopt) => {
            context.sessions.release(&adopt.request);
            let number = adopt.number;
            Some(Body::Adopted(msg::Adopted { number }))
        }
        other => handover::handle(context, peer, other).await,
    }
}

async fn run_call(context: &Arc<Context>, message: msg::Call) -> msg::Reply {
    let number = message.number;
    match submit_call(context, message).await {
        Ok(Resolution::Outcome(outcome)) => encode_reply(number, outcome),
        Ok(Resolution::Redirect(vm)) => msg::Reply {
            number,
            elsewhere: vm.raw(),
            ..msg::Reply::default()
        },
        Err(refusal) => encode_reply(number, Err(refusal)),
    }
}

async fn submit_call(context: &Arc<Context>, message: msg::Call) -> Result<Resolution, Refusal> {
    let (exchange, call) = decode_call(context, message)?;
    let claim = ticket::claim(context, &exchange, &call)?.ok_or_else(|| {
        let message = "only calls with a ticket or a key have an owner";
        Refusal::not_run(Reason::BadRequest, message)
    })?;
    owner::submit(context, &exchange, &call, claim).await
}

fn decode_call(context: &Context, message: msg::Call) -> Result<(Exchange, Call), Refusal> {
    let bad_request =
        |error: &dyn std::fmt::Display| Refusal::not_run(Reason::BadRequest, error.to_string());
    let deployment = context.deployment.load_full();
    let customer = key::Customer::of(&message.customer);
    let service = key::Service::of(&message.service);
    if !deployment.snapshot.customers.contains(customer)
        || !deployment.snapshot.services.contains(service)
    {
        return Err(bad_request(
            &"the customer or the service is not in force here",
        ));
    }
    let mut exchange = Exchange::new(context, deployment, customer, service);
    exchange.limit_deadline(Duration::from_millis(message.deadline_ms));
    exchange.key = key::Request::of(&message.request);
    exchange.id = message.request.into();
    let method: Method = message
        .method
        .parse()
        .map_err(|error| bad_request(&error))?;
    let headers = decode_headers(&message.headers);
    let call = Call::new(&method, &message.path, &headers, message.body.into());
    Ok((exchange, call))
}

fn encode_reply(number: u64, result: Outcome) -> msg::Reply {
    match result {
        Ok(reply) => msg::Reply {
            number,
            verdict: msg::Verdict::Ran.into(),
            status: reply.status.into(),
            headers: reply.headers.iter().map(encode_header).collect(),
            body: reply.body.to_vec(),
            ..msg::Reply::default()
        },
        Err(refusal) => msg::Reply {
            number,
            verdict: encode_verdict(refusal.verdict).into(),
            reason: refusal.reason.to_string(),
            retry_after_ms: refusal
                .retry_after
                .map_or(0, |delay| delay.as_millis() as u64),
            body: refusal.message.as_bytes().to_vec(),
            ..msg::Reply::default()
        },
    }
}

fn decode_reply(reply: msg::Reply) -> Outcome {
    if reply.reason.is_empty() {
        let headers = reply.headers.into_iter();
        return Ok(Arc::new(once::Reply {
            status: reply.status as u16,
            headers: headers
                .map(|header| (header.name.into(), header.value.into()))
                .collect(),
            body: reply.body.into(),
        }));
    }
    let verdict = decode_verdict(reply.verdict());
    let reason = serde_json::from_value(reply.reason.into()).unwrap_or(Reason::Internal);
    Err(Refusal {
        verdict,
        reason,
        retry_after: (reply.retry_after_ms > 0)
            .then(|| Duration::from_millis(reply.retry_after_ms)),
        message: String::from_utf8_lossy(&reply.body).into(),
    })
}

/// Converts a verdict to its wire form.
pub fn encode_verdict(verdict: Verdict) -> msg::Verdict {
    match verdict {
        Verdict::NotRun => msg::Verdict::NotRun,
        Verdict::MayHaveRun => msg::Verdict::MayHaveRun,
        Verdict::Ran => msg::Verdict::Ran,
    }
}

/// Converts a verdict from its wire form; an unspecified one becomes `MayHaveRun`.
pub fn decode_verdict(verdict: msg::Verdict) -> Verdict {
    match verdict {
        msg::Verdict::NotRun => Verdict::NotRun,
        msg::Verdict::Ran => Verdict::Ran,
        msg::Verdict::MayHaveRun | msg::Verdict::Unspecified => Verdict::MayHaveRun,
    }
}

/// Converts a recorded header to its wire form.
pub fn encode_header((name, value): &(Box<str>, Box<[u8]>)) -> msg::Header {
    msg::Header {
        name: name.to_string(),
        value: value.to_vec(),
    }
}

fn encode_headers(headers: &HeaderMap) -> Vec<msg::Header> {
    headers
        .iter()
        .map(|(name, value)| msg::Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn decode_headers(headers: &[msg::Header]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(&header.value).ok()?))
        })
        .collect()
}
