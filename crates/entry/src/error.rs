//! Why a process can't start.

use {
    derive_more::{Debug, Display, Error},
    std::{io, path::Path},
};

/// A failure at start, with its cause.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub struct Error {
    message: Box<str>,
    #[error(source)]
    cause: Option<io::Error>,
}

impl Error {
    /// Makes an error without a cause.
    pub fn new(message: impl Into<Box<str>>) -> Self {
        Self {
            message: message.into(),
            cause: None,
        }
    }

    /// Makes an error of a file that can't be read.
    pub fn file(path: &Path, cause: io::Error) -> Self {
        Self {
            message: format!("can't read {}: {cause}", path.display()).into(),
            cause: Some(cause),
        }
    }

    /// Makes an error of an address that can't be listened on.
    pub fn listen(address: std::net::SocketAddr, cause: io::Error) -> Self {
        Self {
            message: format!("can't listen on {address}: {cause}").into(),
            cause: Some(cause),
        }
    }
}
