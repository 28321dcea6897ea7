//! Errors at the start of the process.

use {
    derive_more::{Debug, Display, Error},
    std::{io, path::Path},
};

/// A start-up failure, with its I/O cause if there is one.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub struct Error {
    message: Box<str>,
    #[error(source)]
    cause: Option<io::Error>,
}

impl Error {
    /// Creates an error without a cause.
    pub fn new(message: impl Into<Box<str>>) -> Self {
        Self {
            message: message.into(),
            cause: None,
        }
    }

    /// Creates the error for a file that can't be read.
    pub fn file(path: &Path, cause: io::Error) -> Self {
        Self {
            message: format!("can't read {}: {cause}", path.display()).into(),
            cause: Some(cause),
        }
    }

    /// Creates the error for an address that can't be listened on.
    pub fn listen(address: std::net::SocketAddr, cause: io::Error) -> Self {
        Self {
            message: format!("can't listen on {address}: {cause}").into(),
            cause: Some(cause),
        }
    }
}
