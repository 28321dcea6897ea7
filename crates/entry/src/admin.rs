//! The HTTP server for operators: health checks, metrics and status.

use {
    crate::{
        Context,
        answer::{self, Body},
        observed,
    },
    config::Snapshot,
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    serde_json::{Value, json},
    smol::{
        Timer,
        net::{TcpListener, TcpStream},
    },
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{
        convert::Infallible,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Most open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;
/// Delay after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Served paths.
const PATHS: [&str; 4] = ["/live", "/ready", "/metrics", "/status"];
/// Media type of Prometheus' text format.
const METRICS_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Accepts connections of operators until the process ends.
pub async fn listen(context: Arc<Context>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (task_context, task_open) = (Arc::clone(&context), Arc::clone(&open));
        context.spawn(async move {
            serve_connection(task_context, stream).await;
            task_open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(context: Arc<Context>, stream: TcpStream) {
    let limit = context.settings.limits.header_timeout;
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(handle(&context, &request)) }
    });
    let _ = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limit)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

fn handle(context: &Context, request: &Request<Incoming>) -> Response<Body> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return answer::json(
            StatusCode::METHOD_NOT_ALLOWED,
            &json!({"methods": ["GET", "HEAD"]}),
        );
    }
    match request.uri().path() {
        "/live" => answer::json(StatusCode::OK, &json!({"live": true})),
        "/ready" => ready(context),
        "/status" => answer::json(StatusCode::OK, &status(context)),
        "/metrics" => metrics(context),
        _ => answer::json(StatusCode::NOT_FOUND, &json!({"paths": PATHS})),
    }
}

fn metrics(context: &Context) -> Response<Body> {
    let text = match context.metrics.encode(context) {
        Ok(text) => text,
        Err(error) => {
            return answer::json(
                StatusCode::INTERNAL_SERVER_ERROR,
                &json!({"error": error.to_string()}),
            );
        }
    };
    let mut response = Response::new(answer::full(text));
    response.headers_mut().insert(CONTENT_TYPE, METRICS_TYPE);
    response
}

fn ready(context: &Context) -> Response<Body> {
    let ready = context.is_ready();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    answer::json(status, &json!({"ready": ready}))
}

fn status(context: &Context) -> Value {
    let snapshot = context.snapshot();
    json!({
        "vm": context.identity.name,
        "data_centre": context.settings.vm.data_centre,
        "incarnation": context.identity.incarnation,
        "ready": context.is_ready(),
        "leaving": context.drain.is_leaving(),
        "fresh": context.gossip.membership().is_fresh(),
        "deployment": snapshot.name,
        "configuration_version": snapshot.version,
        "policy": context.router.policy(),
        "queued": context.router.queued(),
        "in_flight": context.drain.in_flight(),
        "members": members(context),
        "targets": targets(context, &snapshot),
    })
}

/// Returns this VM's view of the targets, by name.
fn targets(context: &Context, snapshot: &Snapshot) -> Value {
    let now = context.now();
    let membership = context.gossip.membership();
    let departures = membership.departures();
    let targets = snapshot.targets.iter().map(|(key, target)| {
        let probe = context.probes.get(key);
        let load = probe.as_ref().and_then(|probe| probe.load.as_deref());
        let service = snapshot.services.get(target.service);
        let fields = json!({
            "service": service.map(|service| &service.name),
            "reachable": probe.as_ref().is_some_and(observed::Probe::is_reachable),
            "leaving": departures.is_leaving(key),
            "probed_ms_ago": probe.as_ref().map(|probe| now.since(probe.at).as_millis() as u64),
            "running": load.map(|load| load.running),
            "waiting": load.map(|load| load.waiting),
            "memory_used": load.map(|load| load.memory_used),
            "memory_total": load.map(|load| load.memory_total),
            "preemptions": load.map(|load| load.preemptions),
        });
        (target.name.to_string(), fields)
    });
    Value::Object(targets.collect())
}

/// Returns this VM's view of its peers, by name.
fn members(context: &Context) -> Value {
    let membership = context.gossip.membership();
    let members = membership
        .members()
        .map(|member| (member.name.to_string(), json!(member.state.to_string())));
    Value::Object(members.collect())
}
