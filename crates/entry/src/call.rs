//! A call of a plain service.

use {
    crate::{
        Context, Exchange,
        answer::{self, Body},
        http, owner, relay, router,
        runtime::with_timeout,
        ticket,
    },
    base::{Reason, Refusal, Verdict, key},
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Response, StatusCode,
        header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName, TRANSFER_ENCODING},
    },
    route::Outcome,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Most attempts of one call.
const ATTEMPTS: usize = 3;
/// Largest answer of a plain service in bytes; it fits a frame of the inner protocol.
const ANSWER_LIMIT: usize = 3 << 20;
/// Headers that concern one connection, or only the system, and are not passed on.
const OWN_HEADERS: [HeaderName; 5] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    TRANSFER_ENCODING,
];

/// What a caller asks of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path within the service, with the query.
    pub path: Box<str>,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Takes a call from its parts, without the headers that are not passed on.
    pub fn new(method: &Method, path: &str, headers: &HeaderMap, body: Bytes) -> Self {
        Self {
            method: method.clone(),
            path: path.into(),
            headers: passed_on(headers),
            body,
        }
    }

    fn is_idempotent(&self, exchange: &Exchange) -> bool {
        exchange
            .service()
            .is_some_and(|service| service.is_idempotent(self.method.as_str(), &self.path))
    }
}

/// Answers a caller, here or through the entry VM that owns the call.
///
/// # Errors
/// Returns the refusal of the VM that ran the call, or of the way to it.
pub async fn serve(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    let reply = match ticket::claim(context, exchange, &call)? {
        Some(claim) => relay::run(context, exchange, &call, claim).await?,
        None => run(context, exchange, &call).await?,
    };
    context.metrics.complete(exchange.service_name());
    log::info!(
        target: "answer", request:% = exchange.id, verdict:% = Verdict::Ran,
        status = reply.status.as_u16(), configuration_version = exchange.version(); "complete"
    );
    let mut response = Response::new(answer::full(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    Ok(response)
}

/// Runs a call on a target, with retries as far as it may be repeated.
///
/// # Errors
/// Returns the refusal of the last attempt, with what is known of all of them.
pub async fn run(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
) -> Result<Reply, Refusal> {
    let idempotent = call.is_idempotent(exchange);
    send_until(context, exchange, call, idempotent, || true).await
}

/// Runs a call that this VM owns; `None` if it lost the right to before the call was sent.
pub async fn run_once(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    id: once::Id,
) -> Option<once::Outcome> {
    let denied = AtomicBool::new(false);
    let permit = || {
        let permitted = owner::permit(context, id);
        denied.store(!permitted, Ordering::Relaxed);
        permitted
    };
    let outcome = send_until(context, exchange, call, false, permit).await;
    if denied.into_inner() {
        return None;
    }
    Some(outcome.map(|reply| Arc::new(relay::encode(&reply))))
}

/// Sends a call until it is answered, its retries are used up or `permit` denies the next send.
async fn send_until(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    idempotent: bool,
    permit: impl Fn() -> bool,
) -> Result<Reply, Refusal> {
    let mut excluded = Vec::new();
    let mut verdict = Verdict::NotRun;
    loop {
        let attempt = attempt(context, exchange, call, &mut excluded, &permit);
        let mut refusal = match attempt.await {
            Ok(reply) => return Ok(reply),
            Err(refusal) => refusal,
        };
        verdict = verdict.and(refusal.verdict);
        refusal.verdict = verdict;
        let repeatable = refusal.verdict == Verdict::NotRun || idempotent;
        let retried = matches!(refusal.reason, Reason::TargetLost | Reason::TargetRefused);
        if !(repeatable && retried) || excluded.len() >= ATTEMPTS {
            return Err(refusal);
        }
        log::info!(
            target: "retry", request:% = exchange.id, verdict:% = refusal.verdict,
            reason:% = refusal.reason, configuration_version = exchange.version();
            "the call is sent again"
        );
        let service = exchange.service_name();
        context.metrics.retry(service, refusal.reason);
    }
}

async fn attempt(
    context: &Arc<Context>,
    exchange: &Exchange,
    call: &Call,
    excluded: &mut Vec<key::Target>,
    permit: impl Fn() -> bool,
) -> Result<Reply, Refusal> {
    let request = route::Request {
        key: exchange.key,
        customer: exchange.customer,
        service: exchange.service,
        class: 0,
        model: None,
        prompt_tokens: 0,
        max_tokens: 0,
        prefixes: Box::default(),
        deadline: exchange.deadline,
        excluded: excluded.clone(),
    };
    let grant = router::acquire(context, request).await?;
    router::log_decision(exchange, &grant);
    excluded.push(grant.target());
    if !permit() {
        let message = "the right to run the call was lost";
        return Err(Refusal::not_run(Reason::KeyInDoubt, message));
    }
    let remaining = exchange.remaining(context.now());
    let answered = with_timeout(remaining, send(context, exchange, call, grant.target())).await;
    let answered = answered.unwrap_or_else(|| {
        Err(Refusal::may_have_run(
            Reason::Deadline,
            "the deadline passed while the target worked",
        ))
    });
    grant.end(outcome(&answered));
    answered
}

fn outcome(answered: &Result<Reply, Refusal>) -> Outcome {
    match answered {
        Ok(_) => Outcome::Complete,
        Err(refusal) if refusal.reason == Reason::TargetRefused => Outcome::Refused,
        Err(_) => Outcome::Failed,
    }
}

async fn send(
    context: &Context,
    exchange: &Exchange,
    call: &Call,
    target: key::Target,
) -> Result<Reply, Refusal> {
    let address = exchange
        .deployment
        .snapshot
        .targets
        .get(target)
        .map(|target| target.address)
        .ok_or_else(|| Refusal::not_run(Reason::NoTarget, "the target is gone"))?;
    let mut request = http::request(call.method.clone(), &call.path, call.body.clone())?;
    *request.headers_mut() = call.headers.clone();
    // A ticket is a right towards the system; the target has no use for it.
    request.headers_mut().remove(ticket::HEADER);
    if let Ok(id) = exchange.id.parse() {
        request.headers_mut().insert("x-request-id", id);
    }
    let response = http::send(context, address, request).await?;
    if http::is_refused_before_start(&response) {
        return Err(Refusal::not_run(
            Reason::TargetRefused,
            "the target refused before it started",
        ));
    }
    let answers = response.headers().get("x-request-id");
    if answers.is_none_or(|id| id.as_bytes() != exchange.id.as_bytes()) {
        let message = "the target answered another request";
        return Err(Refusal::may_have_run(Reason::TargetInvalid, message));
    }
    let status = response.status();
    let headers = passed_on(response.headers());
    let body = http::read(response.into_body(), ANSWER_LIMIT).await?;
    Ok(Reply {
        status,
        headers,
        body,
    })
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers
}
