//! A small HTTP client for subcommands that send requests to entry VMs and fakes.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, client::conn::http1, header::HOST},
    serde_json::Value,
    smol::net::TcpStream,
    smol_hyper::rt::FuturesIo,
    std::{error::Error, net::SocketAddr},
};

/// Any error of a request: of its connection, of HTTP or of the response.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body as received, event streams included.
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

/// Sums of the counters of several fake engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Number of preemptions.
    pub preemptions: u64,
    /// Number of distinct generations that were run.
    pub generations: u64,
}

/// Reads the counters of fake engines and returns their sums.
///
/// # Errors
/// Returns an error if an engine does not respond with its counters.
pub async fn engine_counters(addresses: &[SocketAddr]) -> Result<Counters, BoxError> {
    let mut sums = Counters::default();
    for &address in addresses {
        let response = get(address, "/test/runs").await?;
        let counters: Value = serde_json::from_slice(&response.body)?;
        sums.preemptions += counters["preemptions"].as_u64().unwrap_or(0);
        sums.generations += counters["runs"].as_object().map_or(0, serde_json::Map::len) as u64;
    }
    Ok(sums)
}

/// Sends a GET request.
///
/// # Errors
/// Returns an error if no complete response arrives.
pub async fn get(address: SocketAddr, path: &str) -> Result<Response, BoxError> {
    send(address, Method::GET, path, &[], "").await
}

/// Sends a POST request.
///
/// # Errors
/// Returns an error if no complete response arrives.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Result<Response, BoxError> {
    send(address, Method::POST, path, headers, body).await
}

async fn send(
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
