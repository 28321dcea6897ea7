//! The form in which a configuration is kept and sent to peers.

use {
    bytes::Bytes,
    flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder},
    std::io::{self, Read as _, Write as _},
};

/// Value of the header fields `Accept-Encoding` and `Content-Encoding` for the deflated form.
pub const DEFLATE: &str = "deflate";
/// Size from which a configuration is deflated, and decoded by a thread of its own, in bytes.
pub const LARGE_BYTES: usize = 32 << 10;
/// Maximum size of a configuration, in bytes.
const MAX_BYTES: usize = 2 << 20;

/// An encoded configuration; a large one is deflated.
#[derive(Clone, Debug)]
pub struct Encoding {
    /// The bytes, deflated or as published.
    body: Bytes,
    is_deflated: bool,
    /// Size as published.
    plain_bytes: usize,
}

impl Encoding {
    /// Encodes a configuration as it is published; deflates it if that is worth it.
    ///
    /// # Errors
    /// Returns an error if it can't be deflated.
    pub fn new(plain: Bytes) -> io::Result<Self> {
        let plain_bytes = plain.len();
        if plain_bytes <= LARGE_BYTES {
            return Ok(Self {
                body: plain,
                is_deflated: false,
                plain_bytes,
            });
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain)?;
        Ok(Self {
            body: encoder.finish()?.into(),
            is_deflated: true,
            plain_bytes,
        })
    }

    /// Takes what a peer sent, and returns it with the configuration as published.
    ///
    /// # Errors
    /// Returns an error if the bytes are damaged or inflate to more than a configuration may have.
    pub fn from_peer(body: Bytes, is_deflated: bool) -> io::Result<(Self, Bytes)> {
        let encoding = Self {
            is_deflated,
            plain_bytes: body.len(),
            body,
        };
        let plain = encoding.plain()?;
        if !is_deflated {
            return Ok((Self::new(plain.clone())?, plain));
        }
        let encoding = Self {
            plain_bytes: plain.len(),
            ..encoding
        };
        Ok((encoding, plain))
    }

    /// Returns the bytes, deflated if [`Self::is_deflated`].
    pub fn body(&self) -> Bytes {
        self.body.clone()
    }

    /// Returns whether the bytes are deflated.
    pub fn is_deflated(&self) -> bool {
        self.is_deflated
    }

    /// Returns the size as published, in bytes.
    pub fn plain_bytes(&self) -> usize {
        self.plain_bytes
    }

    /// Returns the configuration as published.
    ///
    /// # Errors
    /// Returns an error if the bytes are damaged or inflate to more than a configuration may have.
    pub fn plain(&self) -> io::Result<Bytes> {
        if !self.is_deflated {
            return Ok(self.body.clone());
        }
        let mut plain = Vec::with_capacity(self.plain_bytes.min(MAX_BYTES));
        let limit = MAX_BYTES as u64 + 1;
        ZlibDecoder::new(&*self.body)
            .take(limit)
            .read_to_end(&mut plain)?;
        if plain.len() > MAX_BYTES {
            let message = "the configuration is too large";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(plain.into())
    }
}
