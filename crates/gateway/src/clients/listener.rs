//! Connections of clients.

use {
    crate::{Shared, clients::exchange},
    hyper::{server::conn::http1, service::service_fn},
    smol::{
        Timer,
        net::{TcpListener, TcpStream},
    },
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{convert::Infallible, pin::pin, sync::Arc, time::Duration},
};

/// Delay after a connection that could not be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);
/// Time that a connection stays open beyond the idle limit that clients are told.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Least size of the buffer that `hyper` permits for a head, in bytes.
const LEAST_HEAD: usize = 8 << 10;

/// Accepts connections until the process ends.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = Arc::clone(&shared);
                shared.runtime.spawn(serve(serving, stream)).detach();
            }
            Err(error) => {
                log::warn!(target: "client", error:% = error; "a connection was not accepted");
                Timer::after(ACCEPT_DELAY).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "client", error:% = error; "a socket option was refused");
    }
    let limits = shared
        .current
        .load()
        .map(|published| *published.configuration.limits());
    let limits = limits.unwrap_or_default();
    let drain = Arc::clone(&shared.drain);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(exchange::serve(shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEAD))
        .keep_alive(true)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = smol::future::or(async { Some(connection.as_mut().await) }, async {
        drain.closed().await;
        None
    });
    let ended = if let Some(ended) = ended.await {
        ended
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = ended {
        log::debug!(target: "client", error:% = error; "a connection ended");
    }
}
