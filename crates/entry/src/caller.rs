//! The HTTP server for callers: connection limits, authentication and request dispatch.

use {
    crate::{
        Context, Exchange,
        answer::{self, Body},
        call,
        deployment::Deployment,
        exchange, generation,
        runtime::with_timeout,
        ticket,
        timed::Timed,
    },
    base::{Reason, Refusal, key},
    bytes::{Bytes, BytesMut},
    config::deployment::Kind,
    http_body_util::BodyExt,
    hyper::{
        Method, Request, Response, body::Incoming, header::AUTHORIZATION, http::request::Parts,
        server::conn::http1, service::service_fn,
    },
    smol::net::{TcpListener, TcpStream},
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{convert::Infallible, pin::pin, sync::Arc, time::Duration},
};

/// Path of completions within a model service.
pub const COMPLETIONS: &str = "/v1/completions";

/// Retry delay for callers above the connection limit, and the header timeout of their connections.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest body of a request for tickets, in bytes.
const TICKET_BODY_LIMIT: usize = 4096;
/// Most bytes past a body's limit that are read and discarded.
const DISCARD_LIMIT: usize = 64 << 20;

/// Accepts callers until the drain closes the listener.
pub async fn listen(context: Arc<Context>, listener: TcpListener) {
    let connections = Arc::new(());
    loop {
        let accepted = smol::future::or(async { Some(listener.accept().await) }, async {
            context.drain.closed().await;
            None
        });
        match accepted.await {
            Some(Ok((stream, _peer))) => {
                let slot = Arc::clone(&connections);
                context.spawn(admit_connection(Arc::clone(&context), stream, slot));
            }
            Some(Err(error)) => {
                log::warn!(target: "caller", error:% = error; "can't accept a connection");
                smol::Timer::after(Duration::from_millis(10)).await;
            }
            None => return,
        }
    }
}

/// Serves a connection within the limit; the clones of `slot` count the open connections.
///
/// Up to as many more are answered with a refusal; further ones are closed at once.
async fn admit_connection(context: Arc<Context>, stream: TcpStream, slot: Arc<()>) {
    let limit = context.settings.limits.connections as usize;
    // The listener holds one clone.
    let open = Arc::strong_count(&slot) - 1;
    let _ = stream.set_nodelay(true);
    let stream = Timed::new(stream, context.settings.limits.write_timeout);
    if open <= limit {
        serve_connection(context, stream).await;
    } else if open <= limit * 2 {
        refuse_connection(context, stream).await;
    }
}

/// Refuses the first request of a connection above the limit.
async fn refuse_connection(context: Arc<Context>, stream: Timed<TcpStream>) {
    let shared = Arc::clone(&context);
    let service = service_fn(move |_request| {
        let refusal = Refusal::not_run(Reason::Overloaded, "too many connections");
        let response = refuse_early(&shared, &refusal.retry_after(BUSY_RETRY_AFTER));
        async move { Ok::<_, Infallible>(response) }
    });
    let _ = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(BUSY_RETRY_AFTER)
        .keep_alive(false)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

async fn serve_connection(context: Arc<Context>, stream: Timed<TcpStream>) {
    let _guard = context.drain.track();
    let shared = Arc::clone(&context);
    let service = service_fn(move |request| {
        let context = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(handle(&context, request).await) }
    });
    let limits = &context.settings.limits;
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .max_buf_size(limits.header_limit as usize)
        .header_read_timeout(limits.header_timeout)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let finished = smol::future::or(async { Some(connection.as_mut().await) }, async {
        context.drain.closed().await;
        None
    })
    .await;
    if finished.is_none() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Handles a request; a refusal becomes an error response.
async fn handle(context: &Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == ticket::PATH {
        return issue_tickets(context, &parts, body).await;
    }
    let exchange = match start_exchange(context, &parts) {
        Ok(exchange) => exchange,
        Err(refusal) => return refuse_early(context, &refusal),
    };
    let mut response = match dispatch(context, &exchange, &parts, body).await {
        Ok(response) => response,
        Err(refusal) => {
            log_refusal(&exchange.id, &refusal, exchange.version());
            context
                .metrics
                .count_refused(exchange.service_name(), &refusal);
            answer::refusal(&refusal, &exchange.id, exchange.version())
        }
    };
    answer::add_common_headers(&mut response, context, &exchange.id, exchange.version());
    response
}

/// Logs, counts and answers a refusal whose service isn't known yet.
fn refuse_early(context: &Context, refusal: &Refusal) -> Response<Body> {
    let id = exchange::new_id();
    let version = context.snapshot().version;
    log_refusal(&id, refusal, version);
    context.metrics.count_refused("", refusal);
    let mut response = answer::refusal(refusal, &id, version);
    answer::add_common_headers(&mut response, context, &id, version);
    response
}

fn log_refusal(request: &str, refusal: &Refusal, version: u64) {
    log::info!(
        target: "answer", request:% = request, verdict:% = refusal.verdict,
        reason:% = refusal.reason, configuration_version = version;
        "refused: {}", refusal.message
    );
}

async fn issue_tickets(context: &Arc<Context>, parts: &Parts, body: Incoming) -> Response<Body> {
    let answer = async {
        let (_, customer) = authenticate(context, parts)?;
        let body = read_body(context, body, TICKET_BODY_LIMIT).await?;
        ticket::issue(context, customer, &body)
    };
    match answer.await {
        Ok(mut response) => {
            let version = context.snapshot().version;
            answer::add_common_headers(&mut response, context, &exchange::new_id(), version);
            response
        }
        Err(refusal) => refuse_early(context, &refusal),
    }
}

/// Looks up the customer by the bearer key in the current configuration.
fn authenticate(
    context: &Context,
    parts: &Parts,
) -> Result<(Arc<Deployment>, key::Customer), Refusal> {
    let deployment = context.deployment.load_full();
    if deployment.snapshot.version == 0 {
        let refusal = Refusal::not_run(Reason::NotReady, "no configuration is in force yet");
        return Err(refusal.retry_after(Duration::from_secs(1)));
    }
    let customer = parts
        .headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .and_then(|key| deployment.customer(key))
        .ok_or_else(|| {
            Refusal::not_run(Reason::Unauthorized, "the customer key is missing or wrong")
        })?;
    Ok((deployment, customer))
}

/// Authenticates the customer and resolves the service and the deadline.
fn start_exchange(context: &Context, parts: &Parts) -> Result<Exchange, Refusal> {
    let (deployment, customer) = authenticate(context, parts)?;
    let (name, _) = split_path(parts.uri.path());
    let service = key::Service::of(name);
    if !deployment.snapshot.services.contains(service) {
        return Err(Refusal::not_run(
            Reason::NotFound,
            format!("there is no service `{name}`"),
        ));
    }
    let mut exchange = Exchange::new(context, deployment, customer, service);
    if let Some(limit) = requested_deadline(parts)? {
        exchange.limit_deadline(limit);
    }
    Ok(exchange)
}

/// Parses the optional `x-deadline-ms` header.
fn requested_deadline(parts: &Parts) -> Result<Option<Duration>, Refusal> {
    let Some(value) = parts.headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    let milliseconds = value.to_str().ok().and_then(|text| text.parse().ok());
    let milliseconds = milliseconds.ok_or_else(|| {
        let message = "`x-deadline-ms` must be a whole number of milliseconds";
        Refusal::not_run(Reason::BadRequest, message)
    })?;
    Ok(Some(Duration::from_millis(milliseconds)))
}

/// Splits `/SERVICE/PATH` into `SERVICE` and `/PATH`.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.find('/')
        .map_or((path, "/"), |slash| path.split_at(slash))
}

async fn dispatch(
    context: &Arc<Context>,
    exchange: &Exchange,
    parts: &Parts,
    body: Incoming,
) -> Result<Response<Body>, Refusal> {
    let service = exchange
        .service()
        .ok_or_else(|| Refusal::not_run(Reason::NotFound, "the service is gone"))?;
    let body = read_body(context, body, service.body_limit as usize).await?;
    let (_, path) = split_path(parts.uri.path());
    match (service.kind, &parts.method, path) {
        (Kind::Model, &Method::POST, COMPLETIONS) => {
            generation::serve(context, exchange, parts, &body).await
        }
        (Kind::Model, &Method::GET, COMPLETIONS) => {
            generation::resume(context, exchange, parts).await
        }
        (Kind::Model, ..) => {
            let message = format!("a model service answers GET and POST {COMPLETIONS}");
            Err(Refusal::not_run(Reason::NotFound, message))
        }
        (Kind::Plain, ..) => {
            let path = match parts.uri.query() {
                Some(query) => format!("{path}?{query}"),
                None => path.to_owned(),
            };
            let call = call::Call::new(&parts.method, &path, &parts.headers, body);
            call::serve(context, exchange, call).await
        }
    }
}

async fn read_body(context: &Context, body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match with_timeout(
        context.settings.limits.body_timeout,
        collect_body(body, limit),
    )
    .await
    {
        Some(Ok(Some(body))) => Ok(body),
        Some(Ok(None)) => {
            let message = format!("the body is longer than {limit} bytes");
            Err(Refusal::not_run(Reason::TooLarge, message))
        }
        Some(Err(error)) => Err(Refusal::not_run(Reason::BadRequest, error.to_string())),
        None => Err(Refusal::not_run(
            Reason::BadRequest,
            "the body did not come in time",
        )),
    }
}

/// Collects a body; `None` if it exceeds the limit.
///
/// The rest of an oversized body is read and discarded: a caller that is still writing when the
/// connection closes would not see the refusal.
async fn collect_body(mut body: Incoming, limit: usize) -> Result<Option<Bytes>, hyper::Error> {
    let mut collected = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        length += data.len();
        if length <= limit {
            collected.extend_from_slice(&data);
        } else if length <= limit + DISCARD_LIMIT {
            collected = BytesMut::new();
        } else {
            break;
        }
    }
    Ok((length <= limit).then(|| collected.freeze()))
}
