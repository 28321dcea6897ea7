//! HTTP towards operators: health and status.

use {
    crate::{
        Context,
        answer::{self, Body},
    },
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    serde_json::json,
    smol::net::{TcpListener, TcpStream},
    smol_hyper::rt::FuturesIo,
    std::{convert::Infallible, sync::Arc},
};

/// Accepts operators for as long as the process runs.
pub async fn listen(context: Arc<Context>, listener: TcpListener) {
    loop {
        if let Ok((stream, _peer)) = listener.accept().await {
            context.spawn(connection(Arc::clone(&context), stream));
        }
    }
}

async fn connection(context: Arc<Context>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(serve(&context, &request)) }
    });
    let _ = http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

fn serve(context: &Context, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/live" => answer::json(StatusCode::OK, &json!({"live": true})),
        "/ready" => ready(context),
        "/status" => answer::json(StatusCode::OK, &status(context)),
        _ => answer::json(
            StatusCode::NOT_FOUND,
            &json!({"paths": ["/live", "/ready", "/status"]}),
        ),
    }
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

fn status(context: &Context) -> serde_json::Value {
    let snapshot = context.snapshot();
    let members = members(context);
    json!({
        "members": members,
        "fresh": context.gossip.membership().is_fresh(),
        "vm": context.identity.name,
        "incarnation": context.identity.incarnation,
        "ready": context.is_ready(),
        "leaving": context.drain.is_leaving(),
        "configuration_version": snapshot.version,
        "policy": context.router.policy(),
        "queued": context.router.queued(),
        "connections": context.drain.in_flight(),
    })
}

/// Returns what this VM believes of its peers, by name.
fn members(context: &Context) -> serde_json::Value {
    let membership = context.gossip.membership();
    let members = membership
        .members()
        .map(|member| (member.name.to_string(), json!(member.state.to_string())));
    serde_json::Value::Object(members.collect())
}
