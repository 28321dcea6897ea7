//! Accepts client connections and serves HTTP/1 on them.

use {
    crate::{
        Shared,
        clients::{
            activity::{Activity, Observed},
            exchange,
        },
    },
    hyper::{server::conn::http1, service::service_fn},
    smol::{
        Timer,
        net::{TcpListener, TcpStream},
    },
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{convert::Infallible, pin::pin, sync::Arc, time::Duration},
};

/// Delay after a failed `accept` call.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that an idle connection stays open beyond the idle timeout promised to clients.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a connection must have been silent before a stopping VM closes it.
///
/// A client that sends one request after the other is told by a response that it ends; a request
/// that crosses the close would be lost.
const LINGER_TIME: Duration = Duration::from_millis(250);
/// Interval between checks of a connection that is to be closed.
const LINGER_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum read buffer size that `hyper` permits, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections until the process exits.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection_shared = Arc::clone(&shared);
                shared
                    .runtime
                    .spawn(serve(connection_shared, stream))
                    .detach();
            }
            Err(error) => {
                log::warn!(target: "client", error:% = error; "failed to accept a connection");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "client", error:% = error; "failed to set TCP_NODELAY");
    }
    let limits = shared
        .current
        .load()
        .map(|published| *published.configuration.limits());
    let limits = limits.unwrap_or_default();
    let drain = Arc::clone(&shared.drain);
    let _guard = drain.connect();
    let activity = Arc::new(Activity::new(Arc::clone(&shared.clock)));
    let stream = Observed {
        stream,
        activity: Arc::clone(&activity),
    };
    let service_activity = Arc::clone(&activity);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let activity = Arc::clone(&service_activity);
        async move {
            // Boxed, so that an idle connection doesn't hold the memory of a request.
            let response = Box::pin(exchange::serve(shared, request)).await;
            activity.record_response();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .keep_alive(true)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = smol::future::or(async { Some(connection.as_mut().await) }, async {
        drain.wait_for_close().await;
        while !activity.is_quiet(LINGER_TIME) {
            Timer::after(LINGER_POLL_INTERVAL).await;
        }
        None
    });
    let result = if let Some(result) = result.await {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = result {
        log::debug!(target: "client", error:% = error; "connection closed with an error");
    }
}
