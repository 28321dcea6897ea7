//! A small HTTP client for the subcommands that talk to entry VMs.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, client::conn::http1, header::HOST},
    serde_json::Value,
    smol::net::TcpStream,
    smol_hyper::rt::FuturesIo,
    std::{error::Error, net::SocketAddr},
};

/// A failure to ask or to answer.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Returns the JSON data of each server-sent event.
    pub fn events(&self) -> Vec<Value> {
        String::from_utf8_lossy(&self.body)
            .lines()
            .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
            .collect()
    }
}

/// What the stand-ins for engines counted, all together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Preemptions.
    pub preemptions: u64,
    /// Generations.
    pub generations: u64,
}

/// Sums the counters of stand-ins for engines.
///
/// # Errors
/// Returns an error if one does not answer with its counters.
pub async fn counts(engines: &[SocketAddr]) -> Result<Counts, BoxError> {
    let mut sums = Counts::default();
    for &engine in engines {
        let answer = get(engine, "/test/runs").await?;
        let counted: Value = serde_json::from_slice(&answer.body)?;
        sums.preemptions += counted["preemptions"].as_u64().unwrap_or(0);
        sums.generations += counted["runs"].as_object().map_or(0, serde_json::Map::len) as u64;
    }
    Ok(sums)
}

/// Asks with GET.
///
/// # Errors
/// Returns an error if there is no whole answer.
pub async fn get(address: SocketAddr, path: &str) -> Result<Response, BoxError> {
    ask(address, Method::GET, path, &[], "").await
}

/// Asks with POST.
///
/// # Errors
/// Returns an error if there is no whole answer.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Result<Response, BoxError> {
    ask(address, Method::POST, path, headers, body).await
}

async fn ask(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Result<Response, BoxError> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
    let stream = FuturesIo::new(TcpStream::connect(address).await?);
    let (mut sender, connection) = http1::handshake(stream).await?;
    let connection = smol::spawn(connection);
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await?.to_bytes();
    drop(sender);
    connection.cancel().await;
    Ok(Response { status, body })
}
