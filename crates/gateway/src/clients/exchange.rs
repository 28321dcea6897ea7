//! Handles one client request, from routing to the head of its response.

use {
    crate::{
        Shared,
        clients::{
            answer::{self, Body},
            buffer::{Shortfall, Sliced},
            generation,
            handover::Handover,
            plain, resumption,
        },
        control::{cordon, current::Snapshot, drain::Guard, origins, quarantine},
        metrics::Outcome,
        targets::path,
    },
    base::{Instant, Reason, Refusal, Verdict, key},
    bytes::Bytes,
    dispatch::{
        configuration::{ColdStart, RetryPolicy, Route},
        feature::{Feature, Kind},
        listing::Target,
        origin::Origin,
        quarantine::Admission,
    },
    entry::runtime::with_timeout,
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
        body::Incoming,
        header::{EXPECT, HOST},
    },
    platform::request::{GatewayFields, Head, forwarded_headers},
    rand::Rng,
    smol::Timer,
    std::{
        net::Ipv4Addr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// Retry delay sent while there is no usable configuration: the duration of a startup.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay sent when all targets are cordoned, which lasts until the operator ends it.
const CORDON_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay sent when a request times out before it was sent to a target.
const TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry delay sent when large bodies take the VM's memory: about the duration of an upload of 4 MiB
/// beside others.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum time that a request with a large body waits for memory before its body is read.
const MAX_BODY_WAIT: Duration = Duration::from_millis(500);
/// Share of its time that such a request may wait; the rest is for the upload and the response.
const BODY_WAIT_SHARE: f64 = 0.1;
/// Maximum time for which the rest of a refused body is read and dropped.
///
/// Most clients read the response only once they have sent the body, and lose it if the connection
/// is closed before.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(5);

/// Maximum number of targets that may be lost as they begin to answer one request.
///
/// The second one may be lost to another request; a third is not risked.
const MAX_LOSSES: u32 = 2;

/// Delay before a request is sent again whose target was lost as it began to answer.
///
/// By then the other VMs have reported what they lost with that target, and the runs that it broke
/// off are safe elsewhere.
const REPEAT_DELAY: Duration = Duration::from_millis(150);

/// Factor by which a request may take longer than planned and than any lately on its route.
const DURATION_MARGIN: f64 = 1.25;

/// A routed request.
#[derive(Debug)]
pub struct Exchange {
    /// State shared by all requests of the process.
    pub shared: Arc<Shared>,
    /// Configuration in force when the request arrived.
    pub published: Arc<Snapshot>,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Service, drawn at random by the route's traffic shares.
    pub service: key::Service,
    /// Name of the authenticated customer; `None` if the request has no valid customer key.
    pub customer: Option<Box<str>>,
    /// Metadata from the request's headers.
    pub head: Head,
    /// What the request consists of: method, path, customer and body.
    pub fingerprint: key::Fingerprint,
    /// What may crash its targets: the shared parts of its prompt, and the request itself.
    features: Box<[Feature]>,
    /// Whether the store has confirmed the list of targets since the request arrived, which a stream of
    /// unknown origin requires.
    pub is_list_confirmed: bool,
    /// Arrival time.
    pub arrived: Instant,
    /// Time at which the request is abandoned.
    pub deadline: Instant,
    /// Calls to engines that the request has left.
    pub handover: Handover,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    is_sent: AtomicBool,
    /// Where the stream began; set once the client has an event of it.
    origin: OnceLock<Origin>,
    /// Number of targets that ran the request or may have run it.
    runs: AtomicU32,
    /// Number of targets that were lost before or shortly after they began to answer.
    losses: AtomicU32,
    /// Whether the request shows if targets survive a feature that was quarantined.
    is_trial: AtomicBool,
    _guard: Guard,
}

impl Exchange {
    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.shared.now())
    }

    /// Builds the request that is forwarded to a target.
    pub fn request(&self, target: &Target, fields: &GatewayFields<'_>) -> Request<Sliced> {
        let fields = GatewayFields {
            deadline: self.remaining(),
            instance: &target.instance,
            customer: self.customer.as_deref(),
            ..*fields
        };
        let mut request = Request::new(Sliced::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = forwarded_headers(&self.headers, &fields);
        request
    }

    /// Returns how the service's targets warm up; `None` if they take all requests at once.
    pub fn cold_start(&self) -> Option<ColdStart> {
        self.published.configuration.cold_start(self.service)
    }

    /// Returns where the client's stream began, if it has begun and that is known.
    pub fn origin(&self) -> Option<&Origin> {
        self.origin.get()
    }

    /// Records which release made the stream's first event in this response.
    ///
    /// If the client may resume the stream, other VMs are told.
    pub fn record_release(&self, release: &str) {
        let origin = self.origin.get_or_init(|| Origin {
            service: self.service,
            release: release.into(),
        });
        let head = &self.head;
        let attempt = head.resumes.as_ref().unwrap_or(&head.attempt_id);
        if self.route.retry_policy == RetryPolicy::Resumable && !attempt.is_empty() {
            let wait = head.deadline.unwrap_or(self.route.timeout);
            let lifetime = (self.arrived + wait).since(self.shared.now());
            origins::publish(&self.shared, key::Request::of(attempt), origin, lifetime);
        }
    }

    /// Returns whether this VM stops before the request would end if it is sent to a target now.
    ///
    /// `planned` is the least time that it is expected to take. What a target may have run already
    /// can't be left to another VM, and goes on.
    pub fn outlasts_drain(&self, planned: Duration) -> bool {
        let Some(drain) = self.shared.drain.current() else {
            return false;
        };
        let has_run = self.runs.load(Ordering::Relaxed) > 0;
        !has_run && !drain.admits(self.shared.now(), self.deadline, self.estimate(planned))
    }

    /// Checks that the request would end before this VM stops, before it is sent to a target.
    ///
    /// # Errors
    /// Returns a refusal that sends the client to another VM if it wouldn't.
    pub fn check_drain(&self, planned: Duration) -> Result<(), Refusal> {
        if !self.outlasts_drain(planned) {
            return Ok(());
        }
        let now = self.shared.now();
        let drain_end = self.shared.drain.current().map(|drain| drain.end);
        log::info!(
            target: "drain", request:% = self.head.attempt_id, route:% = self.route.name, is_sent = false,
            drain_ms = drain_end.map_or(0, |end| end.since(now).as_millis() as u64),
            remaining_ms = self.remaining().as_millis() as u64,
            estimate_ms = self.estimate(planned).as_millis() as u64;
            "request left to another VM"
        );
        let message = "this VM stops before the answer would end";
        Err(Refusal::not_run(Reason::NotReady, message).retry_after(Duration::ZERO))
    }

    /// Checks that not all targets of the service are in cordoned data centres.
    ///
    /// # Errors
    /// Returns a refusal if they are.
    pub fn check_cordon(&self) -> Result<(), Refusal> {
        if !self.shared.directory.is_service_cordoned(self.service) {
            return Ok(());
        }
        let names = cordon::join(&self.shared.cordon.names());
        let message = format!("all targets are in cordoned data centres ({names})");
        Err(Refusal::not_run(Reason::Cordoned, message).retry_after(CORDON_RETRY_AFTER))
    }

    /// Returns how long the request is expected to take.
    fn estimate(&self, planned: Duration) -> Duration {
        let longest = self.shared.dispatcher.longest_duration(&self.route.name);
        longest
            .map_or(planned, |longest| longest.max(planned))
            .mul_f64(DURATION_MARGIN)
    }

    /// Returns what a path to a target is opened for when the request is sent there.
    pub fn purpose(&self) -> path::Purpose<'_> {
        path::Purpose {
            attempt: &self.head.attempt_id,
            may_leave: false,
            is_control: false,
        }
    }

    /// Returns whether a connection was lost through the fault of its target.
    ///
    /// One that was closed by the other side or became silent may have been cut off from this VM.
    pub async fn is_targets_fault(&self, target: &Target, is_closed: bool) -> bool {
        let now = self.shared.now();
        self.is_targets_fault_since(target, is_closed, now).await
    }

    /// Does the same with evidence since an earlier time.
    pub async fn is_targets_fault_since(
        &self,
        target: &Target,
        is_closed: bool,
        since: Instant,
    ) -> bool {
        let is_targets_fault = path::is_targets_fault(&self.shared, target, since).await;
        if !is_targets_fault {
            log::info!(
                target: "path", request:% = self.head.attempt_id, instance:% = target.instance, is_closed;
                "connection lost on this VM's side"
            );
        }
        is_targets_fault
    }

    /// Records that a target may receive the request from now on, through a peer if `via` is given.
    pub fn mark_sent(&self, target: &Target, via: Option<Ipv4Addr>) {
        if let Some(peer) = via {
            log::info!(
                target: "tunnel", request:% = self.head.attempt_id, instance:% = target.instance, via:% = peer;
                "request sent through a peer"
            );
        }
        if let Some(drain) = self.shared.drain.current() {
            log::info!(
                target: "drain", request:% = self.head.attempt_id, route:% = self.route.name, is_sent = true,
                drain_ms = drain.end.since(self.shared.now()).as_millis() as u64,
                remaining_ms = self.remaining().as_millis() as u64;
                "request sent while this VM stops"
            );
        }
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Records that a target ran the request or may have run it.
    pub fn record_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back [`Self::record_run`] for a target that states that it did not run the request.
    pub fn retract_run(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }

    /// Checks that the request may be sent to a target, for the first time or again.
    ///
    /// # Errors
    /// Returns a refusal if targets crash on one of its features, or were lost to this request.
    pub fn check_quarantine(&self) -> Result<(), Refusal> {
        let losses = self.losses.load(Ordering::Relaxed);
        let is_trial = self.is_trial.load(Ordering::Relaxed);
        if losses >= MAX_LOSSES || is_trial && losses > 0 {
            let message = "targets were lost as they began to answer the request";
            return Err(Refusal::may_have_run(Reason::Quarantined, message));
        }
        if is_trial {
            return Ok(());
        }
        match quarantine::admit(&self.shared, &self.features) {
            Admission::Admitted => Ok(()),
            Admission::Trial(feature) => {
                self.is_trial.store(true, Ordering::Relaxed);
                log::info!(
                    target: "quarantine", request:% = self.head.attempt_id, feature:% = feature;
                    "sending a request as a trial of a quarantined feature"
                );
                Ok(())
            }
            Admission::Refused {
                feature,
                retry_after,
            } => {
                let message = match feature.kind {
                    Kind::Part => format!("engines crash on the {feature} of the prompt"),
                    Kind::Request => "targets crash on this request".to_owned(),
                };
                let refusal = Refusal::not_run(Reason::Quarantined, message);
                Err(refusal.retry_after(retry_after))
            }
        }
    }

    /// Returns whether a target of any VM was lost lately as it began to answer the same request.
    pub fn is_suspect(&self) -> bool {
        let feature = Feature::request(self.service, self.fingerprint);
        self.is_trial.load(Ordering::Relaxed) || quarantine::losses(&self.shared, feature) > 0
    }

    /// Records that a target broke off the request before or shortly after it began to answer.
    ///
    /// A target that leaves by plan breaks off whatever it still runs.
    pub fn record_loss(&self, target: &Target) {
        if !self.shared.directory.is_active(target.key) {
            return;
        }
        self.losses.fetch_add(1, Ordering::Relaxed);
        quarantine::record_loss(&self.shared, target.key, &self.features);
    }

    /// Waits for evidence from other VMs before the request is sent again after a loss.
    ///
    /// A plain request whose first known loss this is mostly ran beside the cause, and has little
    /// time; it is sent again at once.
    pub async fn wait_after_loss(&self) {
        let losses = self.losses.load(Ordering::Relaxed);
        let feature = Feature::request(self.service, self.fingerprint);
        if losses > 0 && (self.route.is_stream || quarantine::losses(&self.shared, feature) > 1) {
            Timer::after(REPEAT_DELAY).await;
        }
    }

    /// Records that a target has begun to answer and was not lost.
    pub fn record_survival(&self) {
        quarantine::record_survival(&self.shared, &self.features);
    }

    /// Returns whether the route permits another run.
    pub fn may_run_again(&self) -> bool {
        self.runs.load(Ordering::Relaxed) < self.route.max_attempts
    }

    /// Returns the shared parts of the prompt for the log, separated by commas.
    pub fn shared_parts(&self) -> String {
        let parts = self.head.shared_parts.iter();
        parts.map(ToString::to_string).collect::<Vec<_>>().join(",")
    }

    /// Checks that a target's answer doesn't deny that a request ran which must not run again.
    ///
    /// A target that did not run the request says so in a field of its own; without it, the request may
    /// have run, whatever the status. Clients may repeat an idempotent request anyway, so that they get
    /// the answer as it is.
    ///
    /// # Errors
    /// Returns a refusal, whose verdict is that the request may have run, if it does.
    pub fn check_promise(&self, status: StatusCode) -> Result<(), Refusal> {
        let is_idempotent = self.route.retry_policy != RetryPolicy::AtMostOnce;
        if is_idempotent || !answer::promises_no_run(status) {
            return Ok(());
        }
        let message = format!("the target answered {status}, but may have run the request");
        Err(Refusal::may_have_run(Reason::TargetInvalid, message))
    }

    /// Logs that a target answered with an error, which the client gets as it is.
    pub fn log_error(&self, status: StatusCode) {
        log::info!(
            target: "answer", request:% = self.head.attempt_id, route:% = self.route.name,
            verdict:% = Verdict::Ran, status = status.as_u16(),
            elapsed_ms = self.shared.now().since(self.arrived).as_millis() as u64,
            configuration = self.published.configuration.version();
            "the target answered with an error"
        );
    }

    /// Records the request's outcome in the metrics.
    pub fn record_outcome(&self, outcome: Outcome, reason: &str) {
        let route = &self.route.name;
        let duration = self.shared.now().since(self.arrived);
        let dispatcher = &self.shared.dispatcher;
        match outcome {
            Outcome::Served => dispatcher.record_duration(route, duration),
            Outcome::Failed | Outcome::Left => dispatcher.record_failed_duration(route, duration),
            Outcome::Refused => {}
        }
        self.shared
            .metrics
            .record_request(route, outcome, reason, duration);
    }
}

/// Handles a request and returns the response, which is a refusal if it fails.
pub async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let is_draining = shared.drain.is_draining();
    let knows_chunks = request.version() >= Version::HTTP_11;
    let attempt_id: Box<str> = platform::request::attempt_id(request.headers()).into();
    let accepted = smol::future::or(accept(&shared, request), async {
        shared.drain.wait_for_end().await;
        Err(stop_refusal())
    });
    let mut response = match accepted.await {
        Ok(exchange) => respond(Arc::new(exchange)).await,
        Err(refusal) => {
            log::info!(
                target: "answer", request:% = attempt_id, verdict:% = refusal.verdict, reason:% = refusal.reason,
                configuration = shared.current.version();
                "request refused before routing: {}", refusal.message
            );
            shared.metrics.record_request(
                "",
                Outcome::Refused,
                &refusal.reason.to_string(),
                Duration::ZERO,
            );
            answer::refusal(&refusal)
        }
    };
    if !knows_chunks {
        response = answer::buffered(response, &shared.buffers, &attempt_id).await;
    }
    if is_draining || shared.drain.is_draining() {
        answer::set_connection_close(&mut response);
    }
    response
}

/// Returns the configuration once all is known that requests need.
fn known_configuration(shared: &Shared) -> Result<Arc<Snapshot>, Refusal> {
    let not_ready =
        |message| Refusal::not_run(Reason::NotReady, message).retry_after(STARTUP_RETRY_AFTER);
    let published = shared.current.load();
    let published = published.ok_or_else(|| not_ready("no configuration is known yet"))?;
    if !shared.cordon.is_known() {
        return Err(not_ready(
            "it is not known yet which data centres are cordoned",
        ));
    }
    Ok(published)
}

/// Routes and authenticates a request and reads its body.
async fn accept(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Exchange, Refusal> {
    let guard = shared.drain.enter();
    let arrived = shared.now();
    let published = known_configuration(shared)?;
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
    let resumption::Lookup {
        origin,
        is_list_confirmed,
    } = resumption::look_up(shared, &route, &head).await;
    let continued = origin.as_ref().map(|origin| origin.service);
    let continued =
        continued.filter(|service| route.shares.iter().any(|share| share.service == *service));
    let service = continued.or_else(|| route.pick_service(rand::rng().random_range(0.0..1.0)));
    let service = service.ok_or_else(|| {
        Refusal::not_run(Reason::NoTarget, "the route names no service")
            .retry_after(STARTUP_RETRY_AFTER)
    })?;
    let timeout = head
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let expects_continue = parts.headers.contains_key(EXPECT);
    let max_bytes = configuration.limits().max_body_bytes;
    let body = read_body(shared, body, max_bytes, timeout, expects_continue).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = path.parse();
    let uri = uri.map_err(|_error| Refusal::not_run(Reason::BadRequest, "the path is no path"))?;
    let fingerprint = key::Fingerprint::of_fields(&[
        parts.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        customer.as_deref().unwrap_or_default().as_bytes(),
        &body,
    ]);
    shared.dispatcher.record_request(service, arrived);
    Ok(Exchange {
        shared: Arc::clone(shared),
        route,
        service,
        customer,
        features: features(service, &head, fingerprint),
        head,
        fingerprint,
        arrived,
        deadline: arrived + timeout,
        handover: Handover::default(),
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        is_sent: AtomicBool::new(false),
        origin: origin.map_or_else(OnceLock::new, OnceLock::from),
        runs: AtomicU32::new(0),
        losses: AtomicU32::new(0),
        is_list_confirmed,
        is_trial: AtomicBool::new(false),
        published,
        _guard: guard,
    })
}

/// Returns the features of a request, the most specific one last.
fn features(service: key::Service, head: &Head, fingerprint: key::Fingerprint) -> Box<[Feature]> {
    let parts = head.shared_parts.iter();
    let parts = parts.map(|&part| Feature::part(service, part));
    let request = Feature::request(service, fingerprint);
    parts.chain([request]).collect()
}

/// Receives the body of a request within the memory for bodies.
async fn read_body(
    shared: &Arc<Shared>,
    mut body: Incoming,
    max_bytes: usize,
    timeout: Duration,
    expects_continue: bool,
) -> Result<Bytes, Refusal> {
    let max_wait = MAX_BODY_WAIT.min(timeout.mul_f64(BODY_WAIT_SHARE));
    let received = shared.buffers.receive(&mut body, max_bytes, max_wait);
    let shortfall = match with_timeout(timeout, received).await {
        Some(Ok(body)) => return Ok(body),
        Some(Err(shortfall)) => shortfall,
        None => Shortfall::Broken("the body did not come in time".into()),
    };
    let refusal = match shortfall {
        Shortfall::Broken(message) => return Err(Refusal::not_run(Reason::BadRequest, message)),
        Shortfall::TooLong(max_bytes) => {
            let message = format!("the body is longer than {max_bytes} bytes");
            Refusal::not_run(Reason::TooLarge, message)
        }
        Shortfall::NoRoom => {
            let message = "large bodies of other requests take the memory of this VM";
            Refusal::not_run(Reason::Overloaded, message).retry_after(BODY_RETRY_AFTER)
        }
    };
    // A client that expects a status before the body sends none after the refusal.
    if !expects_continue {
        shared
            .runtime
            .spawn(discard(Arc::clone(shared), body))
            .detach();
    }
    Err(refusal)
}

/// Reads and drops the rest of a body while its connection stays open.
async fn discard(shared: Arc<Shared>, mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let discarded = smol::future::or(rest, shared.drain.wait_for_close());
    with_timeout(MAX_DISCARD_TIME, discarded).await;
}

async fn respond(exchange: Arc<Exchange>) -> Response<Body> {
    let response = async {
        if exchange.route.is_stream {
            generation::serve(&exchange).await
        } else {
            Box::pin(plain::serve(&exchange)).await
        }
    };
    let response = smol::future::or(response, async {
        exchange.shared.drain.wait_for_end().await;
        Err(if exchange.is_sent.load(Ordering::Relaxed) {
            Refusal::may_have_run(Reason::NotReady, "this VM has stopped")
        } else {
            stop_refusal()
        })
    });
    let result = with_timeout(exchange.remaining(), response).await;
    let refusal = match result.unwrap_or_else(|| Err(timeout_refusal(&exchange))) {
        Ok(response) => return response,
        Err(refusal) => refusal,
    };
    log::info!(
        target: "answer", request:% = exchange.head.attempt_id, route:% = exchange.route.name,
        verdict:% = refusal.verdict, reason:% = refusal.reason,
        elapsed_ms = exchange.shared.now().since(exchange.arrived).as_millis() as u64,
        retry_after_ms = refusal.retry_after.map_or(0, |delay| delay.as_millis() as u64),
        configuration = exchange.published.configuration.version();
        "request refused: {}", refusal.message
    );
    let outcome = if refusal.verdict == Verdict::NotRun {
        Outcome::Refused
    } else {
        Outcome::Failed
    };
    exchange.record_outcome(outcome, &refusal.reason.to_string());
    answer::refusal(&refusal)
}

/// The refusal of a request that was not sent to a target when the drain ended.
fn stop_refusal() -> Refusal {
    Refusal::not_run(Reason::NotReady, "this VM has stopped").retry_after(Duration::ZERO)
}

fn timeout_refusal(exchange: &Exchange) -> Refusal {
    if exchange.is_sent.load(Ordering::Relaxed) {
        Refusal::may_have_run(Reason::Deadline, "the time is over")
    } else {
        Refusal::not_run(Reason::Deadline, "the time is over").retry_after(TIMEOUT_RETRY_AFTER)
    }
}
