//! placeholder

use {smol::net::TcpListener, std::io};

/// How the proxy is set up.
#[derive(Clone, Debug, Default)]
pub struct Settings;

/// Serves until the listener fails.
///
/// # Errors
/// Returns the error of the listener.
pub async fn serve(_listener: TcpListener, _settings: Settings) -> io::Result<()> {
    std::future::pending().await
}
