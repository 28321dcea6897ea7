//! Messages of a tunnel, each of which is one frame of a length and its bytes.

use {
    bytes::{Bytes, BytesMut},
    derive_more::Display,
    prost::Message,
    smol::net::TcpStream,
    std::io,
    tokio_util::{
        codec::{Framed, LengthDelimitedCodec},
        compat::{Compat, FuturesAsyncReadCompatExt},
    },
};

/// Maximum number of bytes of data in a frame.
pub const MAX_DATA_BYTES: usize = 16 << 10;
/// Maximum size of a frame in bytes; data and what surrounds it.
const MAX_FRAME_BYTES: usize = MAX_DATA_BYTES + 1_024;

/// A connection between two VMs, split into frames.
pub type Frames = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// The first message of a connection: who sends it and what is wanted.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Hello {
    /// IPv4 address from which the sender reports.
    #[prost(fixed32, tag = "1")]
    pub address: u32,
    /// Random number of the sender's process, as in its reports.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Opens a tunnel.
    #[prost(message, optional, tag = "3")]
    pub open: Option<Open>,
    /// Queries which targets the receiver reaches.
    #[prost(message, optional, tag = "4")]
    pub query: Option<Query>,
    /// Forwards a target's request for a pause to the VM that the target saw.
    #[prost(message, optional, tag = "5")]
    pub pause: Option<Pause>,
}

/// A request for a tunnel.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Open {
    /// Raw key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// ID of the client's attempt, for the log.
    #[prost(string, tag = "2")]
    pub attempt: String,
    /// Whether a target that leaves will do, as for a run that it holds.
    #[prost(bool, tag = "3")]
    pub may_leave: bool,
    /// Whether a cordoned target will do, as for a call that moves a run away from it.
    #[prost(bool, tag = "4")]
    pub is_control: bool,
}

/// A query for targets that the receiver has reached.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Query {
    /// Raw keys of the targets.
    #[prost(fixed64, repeated, tag = "1")]
    pub targets: Vec<u64>,
    /// Milliseconds before the query; earlier contacts don't count.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// The answer to a [`Query`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Reached {
    /// Raw keys of the targets that the sender has reached.
    #[prost(fixed64, repeated, tag = "1")]
    pub targets: Vec<u64>,
}

/// A pause that a target has requested in an answer through a tunnel.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct Pause {
    /// Raw key of the target.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Milliseconds for which it wants no requests.
    #[prost(uint32, tag = "2")]
    pub duration_ms: u32,
}

/// Whether a peer has opened a tunnel.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[display(rename_all = "snake_case")]
#[repr(i32)]
pub enum Outcome {
    /// The peer gave no valid answer.
    Unspecified = 0,
    /// The target has accepted the connection.
    Opened = 1,
    /// The sender is no process that reports to the peer.
    Unauthenticated = 2,
    /// The peer stops, or reaches no targets itself.
    Unavailable = 3,
    /// The peer has too many tunnels.
    Busy = 4,
    /// The target is not in the peer's list, or is leaving by it.
    NoTarget = 5,
    /// The target has requested a pause from the peer.
    Paused = 6,
    /// The peer got no connection to the target.
    Unreachable = 7,
}

/// How a target ended its connection.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[display(rename_all = "snake_case")]
#[repr(i32)]
pub enum End {
    /// The connection has not ended.
    Unspecified = 0,
    /// It was closed.
    Closed = 1,
    /// It was reset.
    Reset = 2,
    /// Nothing came over it any more.
    Lost = 3,
}

/// A message after the first one; exactly one field is present.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Data in either direction.
    #[prost(bytes = "bytes", optional, tag = "1")]
    pub data: Option<Bytes>,
    /// Answer to [`Open`].
    #[prost(enumeration = "Outcome", optional, tag = "2")]
    pub outcome: Option<i32>,
    /// The target has ended its connection.
    #[prost(enumeration = "End", optional, tag = "3")]
    pub end: Option<i32>,
    /// Answer to [`Query`].
    #[prost(message, optional, tag = "4")]
    pub reached: Option<Reached>,
}

impl Frame {
    /// Creates a frame of data.
    pub fn of_data(bytes: &[u8]) -> Self {
        Self {
            data: Some(Bytes::copy_from_slice(bytes)),
            ..Self::default()
        }
    }

    /// Creates the answer to a request for a tunnel.
    pub fn of_outcome(outcome: Outcome) -> Self {
        Self {
            outcome: Some(outcome.into()),
            ..Self::default()
        }
    }

    /// Creates the last frame of a tunnel.
    pub fn of_end(end: End) -> Self {
        Self {
            end: Some(end.into()),
            ..Self::default()
        }
    }

    /// Creates the answer to a query.
    pub fn of_reached(targets: Vec<u64>) -> Self {
        Self {
            reached: Some(Reached { targets }),
            ..Self::default()
        }
    }
}

/// Splits a connection into frames.
pub fn split(stream: TcpStream) -> Frames {
    let mut builder = LengthDelimitedCodec::builder();
    let codec = builder.max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream.compat(), codec)
}

/// Encodes a message as the bytes of a frame.
pub fn encode(message: &impl Message) -> Bytes {
    message.encode_to_vec().into()
}

/// Decodes the bytes of a frame.
///
/// # Errors
/// Returns an error if they are no such message.
pub fn decode<M: Message + Default>(bytes: BytesMut) -> io::Result<M> {
    M::decode(bytes.freeze()).map_err(io::Error::other)
}
