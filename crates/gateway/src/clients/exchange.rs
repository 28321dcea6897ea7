//! One request of a client, from its head to the head of its answer.

use {
    crate::{
        Shared,
        clients::{
            answer::{self, Body},
            generation, plain,
        },
        control::drain::Guard,
        metrics::Outcome,
    },
    base::{Instant, Reason, Refusal, Verdict, key},
    bytes::Bytes,
    dispatch::{configuration::Route, listing::Target},
    entry::runtime::within,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming, header::HOST},
    platform::{
        request::{GatewayFields, Head, forwarded_headers},
        store::Published,
    },
    rand::Rng,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// When to come back to a VM that knows no configuration: the time that a start takes.
const START_DELAY: Duration = Duration::from_millis(500);
/// Longest time that is told to come back in, before a request's own deadline counts.
const TIMEOUT_DELAY: Duration = Duration::from_millis(300);

/// A request with all that was decided when it arrived.
#[derive(Debug)]
pub struct Exchange {
    /// The process.
    pub shared: Arc<Shared>,
    /// The configuration in force at its arrival.
    pub published: Arc<Published>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its service, drawn by the route's shares.
    pub service: key::Service,
    /// Name of its customer.
    pub customer: Option<Box<str>>,
    /// What it says of itself.
    pub head: Head,
    /// When it arrived.
    pub arrived: Instant,
    /// When it ends at the latest.
    pub deadline: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    sent: AtomicBool,
    /// Targets that have run it, or may have.
    runs: AtomicU32,
    _guard: Guard,
}

impl Exchange {
    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.since(self.shared.now())
    }

    /// Builds the request as it goes to a target.
    pub fn request(&self, target: &Target, added: &GatewayFields<'_>) -> Request<Full<Bytes>> {
        let added = GatewayFields {
            deadline: self.left(),
            instance: &target.instance,
            customer: self.customer.as_deref(),
            ..*added
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = forwarded_headers(&self.headers, &added);
        request
    }

    /// Notes that a target may have the request from now on.
    pub fn note_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }

    /// Notes that a target has run it, or may have.
    pub fn note_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the route permits a run at one more target.
    pub fn may_run_again(&self) -> bool {
        self.runs.load(Ordering::Relaxed) < self.route.max_attempts
    }

    /// Writes what became of the request.
    pub fn record(&self, outcome: Outcome, reason: &str) {
        let now = self.shared.now();
        self.shared
            .metrics
            .request(&self.route.name, outcome, reason, now.since(self.arrived));
    }
}

/// Answers one request.
pub async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let is_leaving = shared.drain.is_leaving();
    let attempt: Box<str> = platform::request::attempt_id(request.headers()).into();
    let mut response = match begin(&shared, request).await {
        Ok(exchange) => respond(Arc::new(exchange)).await,
        Err(refusal) => {
            log::info!(
                target: "answer", request:% = attempt, verdict:% = refusal.verdict, reason:% = refusal.reason,
                configuration = shared.current.version();
                "refused before its route was known: {}", refusal.message
            );
            shared.metrics.request(
                "",
                Outcome::Refused,
                &refusal.reason.to_string(),
                Duration::ZERO,
            );
            answer::refusal(&refusal)
        }
    };
    if is_leaving || shared.drain.is_leaving() {
        answer::close_after(&mut response);
    }
    response
}

async fn begin(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Exchange, Refusal> {
    let guard = shared.drain.enter();
    let arrived = shared.now();
    let Some(published) = shared.current.load() else {
        let refusal = Refusal::not_run(Reason::NotReady, "no configuration is known yet");
        return Err(refusal.retry_after(START_DELAY));
    };
    let (parts, body) = request.into_parts();
    let configuration = &published.configuration;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = configuration.route(host, parts.uri.path());
    let route = route
        .cloned()
        .ok_or_else(|| Refusal::not_run(Reason::NotFound, "no route"))?;
    let head = platform::request::parse_head(&parts.headers)
        .map_err(|error| Refusal::not_run(Reason::BadRequest, error.to_string()))?;
    let customer = head
        .api_key
        .as_deref()
        .and_then(|key| configuration.customer(key));
    if customer.is_none() && configuration.has_customers() && !route.is_public {
        return Err(Refusal::not_run(
            Reason::Unauthorized,
            "the customer key is missing or unknown",
        ));
    }
    let customer = customer.map(|customer| customer.name.clone());
    let service = route.pick_service(rand::rng().random_range(0.0..1.0));
    let service = service.ok_or_else(|| {
        Refusal::not_run(Reason::NoTarget, "the route names no service").retry_after(START_DELAY)
    })?;
    let limit = head
        .deadline
        .map_or(route.timeout, |limit| limit.min(route.timeout));
    let body = within(limit, read(body, configuration.limits().max_body_bytes)).await;
    let body = body.unwrap_or_else(|| {
        Err(Refusal::not_run(
            Reason::BadRequest,
            "the body did not come in time",
        ))
    })?;
    let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = uri.parse();
    let uri = uri.map_err(|_error| Refusal::not_run(Reason::BadRequest, "the path is no path"))?;
    shared.dispatcher.request(service, arrived);
    Ok(Exchange {
        shared: Arc::clone(shared),
        route,
        service,
        customer,
        head,
        arrived,
        deadline: arrived + limit,
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        sent: AtomicBool::new(false),
        runs: AtomicU32::new(0),
        published,
        _guard: guard,
    })
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is longer than {limit} bytes");
            Err(Refusal::not_run(Reason::TooLarge, message))
        }
        Err(error) => Err(Refusal::not_run(Reason::BadRequest, error.to_string())),
    }
}

async fn respond(exchange: Arc<Exchange>) -> Response<Body> {
    let answered = async {
        if exchange.route.is_stream {
            generation::serve(&exchange).await
        } else {
            plain::serve(&exchange).await
        }
    };
    let answered = within(exchange.left(), answered).await;
    let refusal = match answered.unwrap_or_else(|| Err(timed_out(&exchange))) {
        Ok(response) => return response,
        Err(refusal) => refusal,
    };
    log::info!(
        target: "answer", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
        verdict:% = refusal.verdict, reason:% = refusal.reason,
        elapsed_ms = exchange.shared.now().since(exchange.arrived).as_millis() as u64,
        retry_after_ms = refusal.retry_after.map_or(0, |delay| delay.as_millis() as u64),
        configuration = exchange.published.configuration.version();
        "refused: {}", refusal.message
    );
    let outcome = if refusal.verdict == Verdict::NotRun {
        Outcome::Refused
    } else {
        Outcome::Failed
    };
    exchange.record(outcome, &refusal.reason.to_string());
    answer::refusal(&refusal)
}

fn timed_out(exchange: &Exchange) -> Refusal {
    if exchange.sent.load(Ordering::Relaxed) {
        Refusal::may_have_run(Reason::Deadline, "the time is over")
    } else {
        Refusal::not_run(Reason::Deadline, "the time is over").retry_after(TIMEOUT_DELAY)
    }
}
